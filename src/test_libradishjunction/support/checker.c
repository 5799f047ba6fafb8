#include "support/checker.h"

#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

const char *const promise_string[PROMISE_COUNT] = {
	[PROMISE_GUARANTEE] = "guarantee", [PROMISE_GANG] = "gang",
	[PROMISE_ANSWER] = "answer",	   [PROMISE_NOT_RUN] = "not_run",
	[PROMISE_ONCE] = "once",	   [PROMISE_LEAVING] = "leaving",
	[PROMISE_STOP] = "stop",	   [PROMISE_CONFIG] = "config",
	[PROMISE_ACCEPTED] = "accepted",
};

enum member_bit {
	MEMBER_STARTED = 1,
	MEMBER_RUNNING = 2,
	MEMBER_RAN = 4,
	MEMBER_ENDED = 8,
};

/*
 * Count a violation and keep the first one's words.
 */
static void __attribute__((format(printf, 4, 5)))
violation(struct checker *checker, uint64_t now_us, enum promise promise,
	  const char *format, ...)
{
	char text[160];
	char line[200];
	va_list args;

	va_start(args, format);
	(void)vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	(void)snprintf(line, sizeof(line), "%" PRIu64 " VIOLATION %s: %s",
		       now_us, promise_string[promise], text);
	if (!checker->violations[promise]++)
		memcpy(checker->first[promise], line, sizeof(line));
	if (checker->tell)
		checker->tell(checker->tell_data, line);
}

static guint attempt_hash(gconstpointer key)
{
	const struct rj_attempt *id = key;

	return (guint)rj_hash64(&id->job_id, sizeof(id->job_id),
				id->owner ^ id->number);
}

static gboolean attempt_equal(gconstpointer left, gconstpointer right)
{
	const struct rj_attempt *a = left;
	const struct rj_attempt *b = right;

	return a->job_id == b->job_id && a->owner == b->owner &&
	       a->number == b->number;
}

/* Free what GLib allocated when the talloc parent goes. */
static int checker_release(struct checker **holder)
{
	struct checker *checker = *holder;

	g_array_unref(checker->intents);
	g_array_unref(checker->settle_us);
	g_hash_table_unref(checker->requests);
	g_hash_table_unref(checker->attempts);
	g_ptr_array_unref(checker->gangs);
	g_ptr_array_unref(checker->config_ids);
	return 0;
}

/*
 * Start with an empty history. Durations are set to the usual ones and may
 * be changed by the caller.
 */
void checker_init(struct checker *checker, void *mem)
{
	struct checker **holder;

	memset(checker, 0, sizeof(*checker));
	checker->mem = mem;
	checker->lease_life_us = 5 * RJ_US_PER_S;
	checker->guarantee_limit_us = 15 * RJ_US_PER_S;
	checker->calm_us = RJ_NEVER_US;
	checker->intents =
		g_array_new(FALSE, TRUE, sizeof(struct checker_intent));
	checker->settle_us = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	checker->requests = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  g_free, g_free);
	checker->attempts = g_hash_table_new_full(attempt_hash, attempt_equal,
						  NULL, g_free);
	checker->gangs = g_ptr_array_new();
	checker->config_ids = g_ptr_array_new_with_free_func(g_free);
	for (uint32_t i = 0; i < CHECKER_NODES_MAX; i++)
		checker->nodes[i].reached_us = RJ_NEVER_US;
	holder = talloc(mem, struct checker *);
	assert(holder);
	*holder = checker;
	talloc_set_destructor(holder, checker_release);
}

/*
 * Add what a caller wants; its number is what the body names.
 */
uint32_t checker_intent_add(struct checker *checker,
			    const struct checker_intent *intent)
{
	struct checker_intent copy = *intent;

	copy.whole_us = RJ_NEVER_US;
	copy.answered_us = RJ_NEVER_US;
	g_array_append_val(checker->intents, copy);
	return checker->intents->len - 1;
}

/*
 * The intent of that number; good until the next one is added.
 */
struct checker_intent *checker_intent_get(struct checker *checker,
					  uint32_t intent)
{
	assert(intent < checker->intents->len);
	return &g_array_index(checker->intents, struct checker_intent, intent);
}

/*
 * A request was put to an instance.
 */
void checker_request(struct checker *checker, uint64_t now_us,
		     uint64_t request_id, uint32_t node, uint32_t intent,
		     enum rj_request_op op)
{
	struct checker_intent *wanted = checker_intent_get(checker, intent);
	struct checker_request *request = g_new0(struct checker_request, 1);
	uint64_t *key = g_new(uint64_t, 1);

	*key = request_id;
	request->intent = intent;
	request->node = node;
	request->op = op;
	g_hash_table_insert(checker->requests, key, request);
	if (op == RJ_REQUEST_CANCEL)
		wanted->cancelled = true;
	if (op != RJ_REQUEST_SUBMIT)
		return;
	if (!wanted->requests++)
		wanted->submitted_us = now_us;
}

/*
 * The caller has stopped waiting, or its instance died.
 */
void checker_request_gone(struct checker *checker, uint64_t request_id)
{
	struct checker_request *request =
		g_hash_table_lookup(checker->requests, &request_id);

	if (request)
		request->gone = true;
}

/*
 * The request has reached its instance, which owes it an answer from now on.
 */
void checker_request_delivered(struct checker *checker, uint64_t request_id)
{
	struct checker_request *request =
		g_hash_table_lookup(checker->requests, &request_id);

	if (request)
		request->delivered = true;
}

static void mark_gone(gpointer key, gpointer value, gpointer data)
{
	struct checker_request *request = value;
	const uint32_t *node = data;

	if (request->node == *node)
		request->gone = true;
}

/*
 * An instance has ended, and the connections of its callers with it.
 */
void checker_node_gone(struct checker *checker, uint32_t node)
{
	g_hash_table_foreach(checker->requests, mark_gone, &node);
}

/*
 * An instance starts empty, or goes on after a pause: what it was told
 * meanwhile it learns only now.
 */
void checker_node_wakes(struct checker *checker, uint64_t now_us, uint32_t node,
			bool empty)
{
	struct checker_node *self = &checker->nodes[node];

	for (uint32_t i = 0; i < CHECKER_WORKERS_MAX; i++) {
		if (empty)
			self->learnt[i] = 0;
		if (self->learnt_us[i])
			self->learnt_us[i] = now_us;
	}
}

/* Whether `result` is one or more whole results of the intent. */
static bool result_is_whole(const struct checker_intent *intent,
			    const struct rj_bytes *result)
{
	uint32_t length = (uint32_t)strlen(intent->result);

	if (!result->length || result->length % length)
		return false;
	for (uint32_t at = 0; at < result->length; at += length)
		if (memcmp(result->data + at, intent->result, length) != 0)
			return false;
	return true;
}

/* An answer that ends the matter: asking again would bring no other. */
static bool is_final(const struct rj_answer *answer)
{
	if (answer->kind == RJ_ANSWER_ACCEPTED)
		return false;
	if (answer->kind != RJ_ANSWER_UNKNOWN)
		return true;
	return answer->reason == RJ_REASON_WORKER_LOST ||
	       answer->reason == RJ_REASON_LEASE_LAPSED ||
	       answer->reason == RJ_REASON_CANCELLED ||
	       answer->reason == RJ_REASON_KEY_EXPIRED;
}

/* "Not run" must be true of all that has happened so far. */
static void check_not_run(struct checker *checker, uint64_t now_us,
			  const struct checker_request *request,
			  struct checker_intent *intent,
			  const struct rj_answer *answer)
{
	checker->checks[PROMISE_NOT_RUN]++;
	if (intent->ran)
		violation(checker, now_us, PROMISE_NOT_RUN,
			  "intent %u was told not_run (%s) and had run",
			  request->intent, rj_reason_string[answer->reason]);
	if (intent->accepted && answer->reason == RJ_REASON_NO_SUCH_JOB)
		violation(checker, now_us, PROMISE_ACCEPTED,
			  "accepted intent %u is no longer known",
			  request->intent);
	if (request->op == RJ_REQUEST_SUBMIT)
		intent->refused++;
	else if (request->op == RJ_REQUEST_CANCEL && !intent->key)
		intent->refused = intent->requests;
}

/*
 * An instance answered a request.
 */
void checker_answer(struct checker *checker, uint64_t now_us, uint32_t node,
		    uint64_t request_id, const struct rj_answer *answer)
{
	struct checker_request *request =
		g_hash_table_lookup(checker->requests, &request_id);
	struct checker_intent *intent;

	checker->checks[PROMISE_ANSWER]++;
	if (!request || request->node != node) {
		violation(checker, now_us, PROMISE_ANSWER,
			  "node %u answered request %" PRIu64
			  ", which it never got",
			  node, request_id);
		return;
	}
	intent = checker_intent_get(checker, request->intent);
	if (request->answers++)
		violation(checker, now_us, PROMISE_ANSWER,
			  "request %" PRIu64 " was answered twice", request_id);
	if (answer->kind == RJ_ANSWER_DONE) {
		if (!result_is_whole(intent, &answer->result))
			violation(checker, now_us, PROMISE_ANSWER,
				  "intent %u: the result is not its own whole",
				  request->intent);
		if (!intent->completed)
			violation(checker, now_us, PROMISE_ANSWER,
				  "intent %u: done, but no run of it ended",
				  request->intent);
	}
	if (answer->kind == RJ_ANSWER_FAILED && !intent->ran)
		violation(checker, now_us, PROMISE_ANSWER,
			  "intent %u: failed (%s), but it never ran",
			  request->intent, rj_reason_string[answer->reason]);
	if (answer->kind == RJ_ANSWER_NOT_RUN)
		check_not_run(checker, now_us, request, intent, answer);
	if (answer->kind == RJ_ANSWER_ACCEPTED)
		intent->accepted = true;
	if (!request->gone && is_final(answer) &&
	    intent->answered_us == RJ_NEVER_US) {
		intent->answered_us = now_us;
		intent->answer = answer->kind;
	}
}

static struct checker_attempt *attempt_get(struct checker *checker,
					   const struct rj_attempt *id)
{
	return g_hash_table_lookup(checker->attempts, id);
}

/*
 * A worker was asked to start a task with a body that no caller had sent.
 */
void checker_foreign_body(struct checker *checker, uint64_t now_us,
			  const struct rj_attempt *id)
{
	violation(checker, now_us, PROMISE_ANSWER,
		  "job %016" PRIx64
		  " is started with a body that no caller sent",
		  id->job_id);
}

/*
 * A worker started a task; it makes no progress yet.
 */
void checker_task_started(struct checker *checker, uint64_t now_us,
			  const struct rj_attempt *id, uint32_t intent,
			  uint32_t member, uint32_t gang)
{
	struct checker_attempt *attempt = attempt_get(checker, id);

	assert(member < RJ_GANG_MAX);
	if (!attempt) {
		attempt = g_new0(struct checker_attempt, 1);
		attempt->id = *id;
		attempt->intent = intent;
		attempt->gang = gang;
		attempt->broken_us = RJ_NEVER_US;
		g_hash_table_insert(checker->attempts, &attempt->id, attempt);
		if (gang > 1)
			g_ptr_array_add(checker->gangs, attempt);
	}
	if (attempt->intent != intent)
		violation(checker, now_us, PROMISE_ANSWER,
			  "an attempt of intent %u runs the body of %u",
			  attempt->intent, intent);
	if (!(attempt->member[member] & MEMBER_STARTED))
		attempt->started++;
	else if (!checker_intent_get(checker, intent)->idempotent)
		violation(checker, now_us, PROMISE_ONCE,
			  "intent %u: member %u started twice", intent, member);
	attempt->member[member] |= MEMBER_STARTED;
}

/* The first progress of an attempt is what counts as a run. */
static void check_run(struct checker *checker, uint64_t now_us,
		      struct checker_attempt *attempt)
{
	struct checker_intent *intent =
		checker_intent_get(checker, attempt->intent);
	uint32_t ran = 0;

	attempt->ran = true;
	intent->ran++;
	checker->checks[PROMISE_NOT_RUN]++;
	if (intent->refused >= intent->requests)
		violation(checker, now_us, PROMISE_NOT_RUN,
			  "intent %u runs after every answer was not_run",
			  attempt->intent);
	if (intent->idempotent)
		return;
	checker->checks[PROMISE_ONCE]++;
	for (uint32_t i = 0; i < checker->intents->len; i++) {
		struct checker_intent *other = checker_intent_get(checker, i);

		if (i == attempt->intent ||
		    (intent->key && other->key == intent->key))
			ran += other->ran;
	}
	if (ran > 1)
		violation(checker, now_us, PROMISE_ONCE,
			  "intent %u (key %u) runs for the %uth time",
			  attempt->intent, intent->key, ran);
}

/* The account has what it asked for once all of the shape has progressed. */
static void check_whole(struct checker *checker, uint64_t now_us,
			const struct checker_attempt *attempt)
{
	struct checker_intent *intent =
		checker_intent_get(checker, attempt->intent);

	if (intent->whole_us != RJ_NEVER_US)
		return;
	intent->whole_us = now_us;
	checker->checks[PROMISE_GUARANTEE] += intent->guaranteed;
}

/*
 * A started task begins or ceases to make progress.
 */
void checker_task_progress(struct checker *checker, uint64_t now_us,
			   const struct rj_attempt *id, uint32_t member,
			   bool progress)
{
	struct checker_attempt *attempt = attempt_get(checker, id);
	bool was;

	assert(attempt && (attempt->member[member] & MEMBER_STARTED));
	was = attempt->member[member] & MEMBER_RUNNING;
	if (was == progress)
		return;
	attempt->member[member] ^= MEMBER_RUNNING;
	if (!progress) {
		attempt->running--;
		return;
	}
	attempt->running++;
	if (!(attempt->member[member] & MEMBER_RAN))
		attempt->progressed++;
	attempt->member[member] |= MEMBER_RAN;
	if (!attempt->ran)
		check_run(checker, now_us, attempt);
	if (attempt->progressed == attempt->gang)
		check_whole(checker, now_us, attempt);
	checker->checks[PROMISE_GANG] += attempt->gang > 1;
	if (attempt->started < attempt->gang)
		violation(checker, now_us, PROMISE_GANG,
			  "intent %u: member %u runs with %u of %u started",
			  attempt->intent, member, attempt->started,
			  attempt->gang);
}

/*
 * A task ended: done, failed, stopped, or lost with its worker (NONE).
 */
void checker_task_ended(struct checker *checker, uint64_t now_us,
			const struct rj_attempt *id, uint32_t member,
			enum rj_task_state state)
{
	struct checker_attempt *attempt = attempt_get(checker, id);

	if (!attempt || !(attempt->member[member] & MEMBER_STARTED) ||
	    (attempt->member[member] & MEMBER_ENDED))
		return;
	checker_task_progress(checker, now_us, id, member, false);
	attempt->member[member] |= MEMBER_ENDED;
	if (state != RJ_TASK_DONE) {
		if (attempt->broken_us == RJ_NEVER_US)
			attempt->broken_us = now_us;
		return;
	}
	if (++attempt->done == attempt->gang)
		checker_intent_get(checker, attempt->intent)->completed++;
}

/*
 * An instance was told that a worker leaves.
 */
void checker_leaving_learnt(struct checker *checker, uint64_t now_us,
			    uint32_t node, uint32_t worker,
			    uint64_t incarnation)
{
	struct checker_node *known = &checker->nodes[node];

	if (known->learnt[worker] >= incarnation)
		return;
	known->learnt[worker] = incarnation;
	known->learnt_us[worker] = now_us;
}

/*
 * An instance sends new work to a worker that would take it.
 * `heard_since_us` is since when it has heard all of its domain's instances
 * without a break.
 */
void checker_new_work(struct checker *checker, uint64_t now_us, uint32_t node,
		      uint32_t worker, uint64_t incarnation,
		      uint64_t heard_since_us)
{
	struct checker_node *self = &checker->nodes[node];

	checker->checks[PROMISE_LEAVING]++;
	for (uint32_t i = 0; i < CHECKER_NODES_MAX; i++) {
		struct checker_node *other = &checker->nodes[i];
		uint64_t since_us = other->learnt_us[worker];

		if (other->domain != self->domain ||
		    other->learnt[worker] != incarnation)
			continue;
		if (i != node && heard_since_us > since_us)
			since_us = heard_since_us;
		if (now_us > since_us + CHECKER_LEAVING_US)
			violation(checker, now_us, PROMISE_LEAVING,
				  "node %u sends work to worker %u, known to "
				  "leave for %" PRIu64 " us",
				  node, worker,
				  now_us - other->learnt_us[worker]);
	}
}

static gboolean is_open_at(gpointer key, gpointer value, gpointer data)
{
	const struct checker_request *request = value;
	const uint32_t *node = data;

	return request->node == *node && request->delivered &&
	       !request->answers && !request->gone;
}

/*
 * An instance says that its stop is complete.
 */
void checker_exit(struct checker *checker, uint64_t now_us, uint32_t node)
{
	const struct checker_request *open =
		g_hash_table_find(checker->requests, is_open_at, &node);

	checker->checks[PROMISE_STOP]++;
	if (open)
		violation(checker, now_us, PROMISE_STOP,
			  "node %u exits with a request of intent %u open",
			  node, open->intent);
}

/*
 * The log took a publication that by its order is the accepted one.
 */
void checker_config_accepted(struct checker *checker, uint64_t now_us,
			     uint64_t revision, const char *id)
{
	assert(revision == checker->config_ids->len + 1);
	g_ptr_array_add(checker->config_ids, g_strdup(id));
	checker->revision = revision;
	checker->revision_us = now_us;
}

/*
 * An instance hands on what it takes for the accepted one of a revision.
 */
void checker_config_offered(struct checker *checker, uint64_t now_us,
			    uint32_t node, uint64_t revision, const char *id)
{
	const char *accepted = NULL;

	if (revision && revision <= checker->config_ids->len)
		accepted = checker->config_ids->pdata[revision - 1];
	checker->checks[PROMISE_CONFIG]++;
	if (!accepted || strcmp(accepted, id) != 0)
		violation(checker, now_us, PROMISE_CONFIG,
			  "node %u holds %s for revision %" PRIu64 ", not %s",
			  node, id, revision, accepted ? accepted : "none");
}

/*
 * An instance says which revision is in force at it.
 */
void checker_config_seen(struct checker *checker, uint64_t now_us,
			 uint32_t node, uint64_t incarnation, uint64_t revision)
{
	struct checker_node *seen = &checker->nodes[node];

	checker->checks[PROMISE_CONFIG]++;
	if (seen->incarnation != incarnation) {
		seen->incarnation = incarnation;
		seen->revision = 0;
	}
	if (revision > checker->revision)
		violation(checker, now_us, PROMISE_CONFIG,
			  "node %u has revision %" PRIu64
			  ", which was not accepted",
			  node, revision);
	if (revision < seen->revision)
		violation(checker, now_us, PROMISE_CONFIG,
			  "node %u went back from revision %" PRIu64
			  " to %" PRIu64,
			  node, seen->revision, revision);
	if (revision > seen->revision && revision == checker->revision) {
		uint64_t took_us = now_us - checker->revision_us;

		g_array_append_val(checker->settle_us, took_us);
	}
	seen->revision = revision;
}

/*
 * An instance can, or cannot, reach the platform.
 */
void checker_node_reach(struct checker *checker, uint64_t now_us, uint32_t node,
			bool reached)
{
	struct checker_node *seen = &checker->nodes[node];

	if (!reached)
		seen->reached_us = RJ_NEVER_US;
	else if (seen->reached_us == RJ_NEVER_US)
		seen->reached_us = now_us;
}

static void tick_config(struct checker *checker, uint64_t now_us)
{
	for (uint32_t i = 0; i < CHECKER_NODES_MAX; i++) {
		struct checker_node *seen = &checker->nodes[i];
		uint64_t since_us = checker->revision_us;

		if (seen->reached_us == RJ_NEVER_US ||
		    seen->revision >= checker->revision)
			continue;
		if (seen->reached_us > since_us)
			since_us = seen->reached_us;
		if (now_us <= since_us + CHECKER_CONFIG_US)
			continue;
		violation(checker, now_us, PROMISE_CONFIG,
			  "node %u has revision %" PRIu64 ", not %" PRIu64, i,
			  seen->revision, checker->revision);
		seen->reached_us = now_us;
	}
}

static void tick_gangs(struct checker *checker, uint64_t now_us)
{
	uint64_t limit_us = checker->lease_life_us + CHECKER_GANG_MARGIN_US;

	for (guint i = 0; i < checker->gangs->len; i++) {
		struct checker_attempt *attempt =
			g_ptr_array_index(checker->gangs, i);

		if (attempt->broken_us == RJ_NEVER_US || !attempt->running ||
		    attempt->told || now_us <= attempt->broken_us + limit_us)
			continue;
		attempt->told = true;
		violation(
			checker, now_us, PROMISE_GANG,
			"intent %u: %u members still run, one ended at %" PRIu64,
			attempt->intent, attempt->running, attempt->broken_us);
	}
}

static void tick_guarantees(struct checker *checker, uint64_t now_us)
{
	for (guint i = 0; i < checker->intents->len; i++) {
		struct checker_intent *intent = checker_intent_get(checker, i);
		uint64_t since_us = intent->submitted_us;

		if (!intent->guaranteed || !intent->requests ||
		    intent->whole_us != RJ_NEVER_US || intent->late_told ||
		    intent->cancelled)
			continue;
		if (checker->calm_us == RJ_NEVER_US)
			continue;
		if (checker->calm_us > since_us)
			since_us = checker->calm_us;
		if (now_us <= since_us + checker->guarantee_limit_us)
			continue;
		intent->late_told = true;
		violation(checker, now_us, PROMISE_GUARANTEE,
			  "intent %u waits for its guaranteed shape since "
			  "%" PRIu64,
			  i, since_us);
	}
}

/*
 * Time has passed: judge what had to happen by now.
 */
void checker_tick(struct checker *checker, uint64_t now_us)
{
	tick_config(checker, now_us);
	tick_gangs(checker, now_us);
	tick_guarantees(checker, now_us);
}

/*
 * Faults are over and callers have asked for long enough: every accepted
 * job must have an outcome.
 */
void checker_finish_run(struct checker *checker, uint64_t now_us)
{
	for (guint i = 0; i < checker->intents->len; i++) {
		struct checker_intent *intent = checker_intent_get(checker, i);

		if (!intent->accepted)
			continue;
		checker->checks[PROMISE_ACCEPTED]++;
		if (intent->answered_us == RJ_NEVER_US)
			violation(checker, now_us, PROMISE_ACCEPTED,
				  "accepted intent %u has no outcome", i);
	}
}

/*
 * All violations of the run together.
 */
uint32_t checker_violations(const struct checker *checker)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < PROMISE_COUNT; i++)
		sum += checker->violations[i];
	return sum;
}
