#include "private/cell_front.h"

#include <assert.h>
#include <ctype.h>
#include <string.h>
#include <talloc.h>

#include "private/log_event.h"

/* A client that does not say how long it waits is taken to wait this long. */
#define WAIT_MS 3000
/* The last answer leaves so long before the client gives up. */
#define ANSWER_MARGIN_MS 120
/* One who has little time left still gets most of it: an append takes 10 ms. */
#define ANSWER_MARGIN_PART 4
/*
 * States are told at once from what was read so lately; else the log is read
 * first, which takes some 6 ms. Callers ask once or twice a job, so that this
 * costs far fewer reads than to follow the log closely at every instance.
 */
#define STATE_FRESH_US (80 * RJ_US_PER_MS)
/* Where the log cannot be read, states are told that are no older. */
#define STATE_AGE_MAX_US (1200 * RJ_US_PER_MS)
/* What the owner said of its backlog counts for so long; it says so anew
 * every 0.4 s. */
#define BEAT_AGE_MAX_US (3 * RJ_US_PER_S)
/*
 * Keys are used while the configuration is known to be younger than this
 * part of what operators were promised; the rest covers a call's way to a
 * worker and a clock that runs 2 % slow.
 */
#define KEY_FRESH_PERCENT 78

const char *const rj_cell_verb_string[RJ_CELL_VERB_COUNT] = {
	[RJ_CELL_VERB_SUBMIT] = "submit",
	[RJ_CELL_VERB_ASK] = "ask",
	[RJ_CELL_VERB_CANCEL] = "cancel",
};

const char *const rj_cell_verdict_string[RJ_CELL_VERDICT_COUNT] = {
	[RJ_CELL_VERDICT_ACCEPTED] = "accepted",
	[RJ_CELL_VERDICT_STATE] = "state",
	[RJ_CELL_VERDICT_PENDING] = "pending",
	[RJ_CELL_VERDICT_CANCELLED] = "cancelled",
	[RJ_CELL_VERDICT_NO_QUEUE] = "no_queue",
	[RJ_CELL_VERDICT_NO_JOB] = "no_job",
	[RJ_CELL_VERDICT_BAD_KEY] = "bad_key",
	[RJ_CELL_VERDICT_MALFORMED] = "malformed",
	[RJ_CELL_VERDICT_BUSY] = "busy",
	[RJ_CELL_VERDICT_AWAY] = "away",
	[RJ_CELL_VERDICT_UNKNOWN] = "unknown",
};

/* A call that waits for the log. */
struct request {
	struct rj_list link;
	struct rj_cell_front *front;
	struct rj_cell_call *call;
	char id[RJ_CELL_ID_BYTES];
	char account[RJ_NAME_BYTES];
	uint64_t begun_us;
	uint64_t due_us; /* the last answer leaves then */
	bool answered;
	bool writing; /* a write refers to it */
	struct rj_cell_sync sync;
	bool syncing;
};

/*
 * Prepare to answer clients. The writer must be open before a call comes.
 */
void rj_cell_front_init(struct rj_cell_front *front, void *mem,
			struct rj_cell_view *view, struct rj_cell_follow *jobs,
			struct rj_cell_follow *configs,
			struct rj_cell_writer *writer,
			const struct rj_cell_codec *codec, uint32_t revoke_ms)
{
	memset(front, 0, sizeof(*front));
	front->mem = mem;
	front->view = view;
	front->jobs = jobs;
	front->configs = configs;
	front->writer = writer;
	front->codec = codec;
	front->revoke_ms = revoke_ms;
	rj_list_init(&front->requests);
}

/*
 * Whether keys may be believed: a key that was taken away must not be used
 * later than operators were promised, however long this instance has been
 * cut off or asleep.
 */
bool rj_cell_front_keys_fresh(const struct rj_cell_front *front,
			      uint64_t now_us)
{
	uint64_t limit_us = (uint64_t)front->revoke_ms * RJ_US_PER_MS *
			    KEY_FRESH_PERCENT / 100;

	return front->config &&
	       rj_cell_follow_age_us(front->configs, now_us) < limit_us;
}

/* Free a request that nothing refers to any more. */
static void release(struct request *request)
{
	if (request->answered && !request->writing && !request->syncing)
		talloc_free(request);
}

/* Answer a request, once. */
static void answer(struct request *request, const struct rj_cell_answer *what)
{
	struct rj_cell_front *front = request->front;

	if (request->answered)
		return;
	assert(request->call);
	request->answered = true;
	rj_list_remove(&request->link);
	front->open--;
	rj_latency_add(&front->counters.answers[what->verdict],
		       front->now_us - request->begun_us);
	if (request->call->verb != RJ_CELL_VERB_ASK ||
	    what->verdict >= RJ_CELL_VERDICT_NO_QUEUE)
		rj_log_event(
			"answer", RJ_LOG_TEXT("job", request->id),
			RJ_LOG_TEXT("account", request->account),
			RJ_LOG_TEXT("call",
				    rj_cell_verb_string[request->call->verb]),
			RJ_LOG_TEXT("verdict",
				    rj_cell_verdict_string[what->verdict]),
			RJ_LOG_TEXT("why", what->why),
			RJ_LOG_NUMBER("come_back_ms", what->come_back_ms),
			RJ_LOG_AGE_MS("took_ms",
				      front->now_us - request->begun_us),
			RJ_LOG_NUMBER("config", front->config ?
							front->config->version :
							0),
			RJ_LOG_AGE_MS("config_ms",
				      rj_cell_follow_age_us(front->configs,
							    front->now_us)),
			RJ_LOG_AGE_MS("jobs_ms",
				      rj_cell_follow_age_us(front->jobs,
							    front->now_us)));
	request->call->answer(request->call, what);
	request->call = NULL;
	release(request);
}

/* An answer that carries nothing but its verdict. */
static void answer_plain(struct request *request, enum rj_cell_verdict verdict,
			 const char *why, uint32_t come_back_ms)
{
	const struct rj_cell_answer what = { .verdict = verdict,
					     .why = why,
					     .come_back_ms = come_back_ms };

	answer(request, &what);
}

/* Nothing can be done without the log, or has been. */
static void answer_away(struct request *request, const char *why)
{
	answer_plain(request, RJ_CELL_VERDICT_AWAY, why,
		     rj_cell_contact_come_back_ms(&request->front->contact,
						  request->front->now_us));
}

/* The last part of the path as the id of a job. Returns 0, or -1. */
static int take_id(const char *text, char id[RJ_CELL_ID_BYTES])
{
	if (strlen(text) != RJ_CELL_ID_BYTES - 1)
		return -1;
	for (const char *c = text; *c; c++)
		if (!isxdigit((unsigned char)*c))
			return -1;
	memcpy(id, text, RJ_CELL_ID_BYTES);
	return 0;
}

/* A job's state, as callers may be told it. */
static void answer_state(struct request *request,
			 const struct rj_cell_entry *entry)
{
	struct rj_cell_answer what = { .verdict = RJ_CELL_VERDICT_STATE,
				       .state = entry->told.state,
				       .why = "known" };

	if (entry->cancelled && entry->told.state < RJ_CELL_JOB_COMPLETED)
		what.state = RJ_CELL_JOB_CANCELLED;
	answer(request, &what);
}

/* Whether a job is known here. */
static struct rj_cell_entry *known(const struct request *request)
{
	struct rj_cell_entry *entry =
		rj_cell_view_find(request->front->view, request->id);

	return rj_cell_view_knows(entry) ? entry : NULL;
}

/* What was to be stored is, or is not. */
static void write_done(void *private_data, enum rj_cell_write_outcome outcome)
{
	struct request *request = private_data;

	request->writing = false;
	request->front->now_us = request->front->writer->now_us;
	if (request->answered) {
		release(request);
		return;
	}
	if (outcome == RJ_CELL_WRITE_STORED)
		answer_plain(request,
			     request->call->verb == RJ_CELL_VERB_CANCEL ?
				     RJ_CELL_VERDICT_CANCELLED :
				     RJ_CELL_VERDICT_ACCEPTED,
			     "stored", 0);
	else if (outcome == RJ_CELL_WRITE_NOT_STORED)
		answer_away(request, "log_refused");
	else
		answer_plain(request, RJ_CELL_VERDICT_UNKNOWN, "log_unknown",
			     0);
}

/* Store a record of the request's job; the answer follows. */
static void store(struct request *request, enum rj_cell_record_kind kind,
		  struct rj_bytes value)
{
	struct rj_cell_writer *writer = request->front->writer;
	char key[RJ_CELL_KEY_BYTES];

	rj_cell_record_key(key, kind, request->id);
	request->writing = true;
	rj_cell_writer_add(writer, key, value,
			   (struct rj_cell_write_done){ write_done, request });
	rj_cell_writer_flush(writer, request->front->now_us);
}

/* A wish to cancel a job that is known. */
static void cancel_known(struct request *request, struct rj_cell_entry *entry)
{
	struct rj_bytes mark = { (const uint8_t *)"\xc0", 1 };

	if (entry->cancelled || entry->told.state >= RJ_CELL_JOB_COMPLETED) {
		answer_plain(request, RJ_CELL_VERDICT_CANCELLED, "ended", 0);
		return;
	}
	if (request->front->contact.away_us) {
		answer_away(request, "log_away");
		return;
	}
	store(request, RJ_CELL_RECORD_CANCEL, mark);
}

/*
 * Whether what is known of a job is no older than `age_max_us`; an end stays.
 *
 * Guards against a state that goes back: a client that was told that its job
 * has ended asks again, at an instance that has been cut off since before.
 */
static bool is_current(const struct rj_cell_front *front,
		       const struct rj_cell_entry *entry, uint64_t age_max_us)
{
	return entry->told.state >= RJ_CELL_JOB_COMPLETED ||
	       rj_cell_follow_age_us(front->jobs, front->now_us) < age_max_us;
}

/* The log could not be read: a state may still be told, if it is not old. */
static void answer_unread(struct request *request,
			  const struct rj_cell_entry *entry)
{
	if (entry && request->call->verb == RJ_CELL_VERB_ASK &&
	    is_current(request->front, entry, STATE_AGE_MAX_US))
		answer_state(request, entry);
	else
		answer_away(request, "log_unread");
}

/* The log has been read to its end: what is not known now does not exist. */
static void sync_done(struct rj_cell_sync *sync, bool reached)
{
	struct request *request = RJ_CONTAINER(sync, struct request, sync);
	struct rj_cell_entry *entry;

	request->syncing = false;
	request->front->now_us = request->front->jobs->now_us;
	if (request->answered) {
		release(request);
		return;
	}
	entry = known(request);
	/* A read that ends so late tells what was, not what is. */
	if (!reached || request->front->now_us >= request->due_us)
		answer_unread(request, entry);
	else if (!entry)
		answer_plain(request, RJ_CELL_VERDICT_NO_JOB, "not_in_log", 0);
	else if (request->call->verb == RJ_CELL_VERB_CANCEL)
		cancel_known(request, entry);
	else
		answer_state(request, entry);
}

/* Read the log to its end before the job is said not to exist. */
static void look_up(struct request *request)
{
	if (request->front->contact.away_us) {
		answer_unread(request, known(request));
		return;
	}
	request->syncing = true;
	rj_cell_follow_sync(request->front->jobs, &request->sync,
			    request->front->now_us);
}

/* Fill in the terms of the queue. */
static void set_terms(struct rj_cell_def *def, const struct request *request,
		      const struct rj_cell_queue *queue)
{
	memcpy(def->id, request->id, sizeof(def->id));
	memcpy(def->queue, queue->name, sizeof(def->queue));
	memcpy(def->service, queue->service, sizeof(def->service));
	memcpy(def->account, request->account, sizeof(def->account));
	def->priority = queue->priority;
	def->attempts_max = queue->attempts_max;
	def->stretch_milli = queue->stretch_milli;
	def->latency_ms = queue->latency_ms;
	def->accepted_ms = request->call->wall_ms;
}

/* The share of a queue in the owner's newest heartbeat, or NULL. */
static struct rj_cell_share *share_of(struct rj_cell_front *front,
				      const struct rj_cell_queue *queue)
{
	for (uint32_t i = 0; front->beat_us && i < front->beat.share_count; i++)
		if (!strcmp(front->beat.shares[i].queue, queue->name))
			return &front->beat.shares[i];
	return NULL;
}

/*
 * When a refused caller is to come back: between the time when room is
 * likely and half as much later, by its job's id.
 *
 * Guards against a crowd that returns as one: those who were refused
 * together would be refused together again.
 */
static uint32_t spread(const char *id, uint32_t come_back_ms)
{
	return come_back_ms +
	       (uint32_t)(rj_hash64_string(id, 0) % (come_back_ms / 2 + 1));
}

/* A new job: refused at once when it would not be served in time. */
static void submit(struct request *request, const struct rj_cell_queue *queue)
{
	struct rj_cell_front *front = request->front;
	const struct rj_cell_share *share = share_of(front, queue);
	struct rj_cell_def *def;
	struct rj_bytes value;
	struct rj_error err;

	if (known(request)) {
		answer_plain(request, RJ_CELL_VERDICT_ACCEPTED, "known", 0);
		return;
	}
	if (front->contact.away_us) {
		answer_away(request, "log_away");
		return;
	}
	def = front->codec->decode_job(request, request->call->body, &err);
	if (!def) {
		answer_plain(request, RJ_CELL_VERDICT_MALFORMED, err.message,
			     0);
		return;
	}
	if (share && share->refuse &&
	    front->now_us <= front->beat_us + BEAT_AGE_MAX_US) {
		answer_plain(request, RJ_CELL_VERDICT_BUSY, "backlog",
			     spread(request->id, share->come_back_ms));
		return;
	}
	set_terms(def, request, queue);
	value = rj_cell_def_encode(request, def);
	store(request, RJ_CELL_RECORD_DEFINITION, value);
}

/* A call for a queue as a whole. */
static void ask_queue(struct request *request,
		      const struct rj_cell_queue *queue)
{
	const struct rj_cell_answer what = { .verdict = RJ_CELL_VERDICT_PENDING,
					     .pending = rj_cell_view_pending(
						     request->front->view,
						     queue->name),
					     .why = "counted" };

	answer(request, &what);
}

/* The call is allowed: do what it asks. */
static void serve(struct request *request, const struct rj_cell_queue *queue)
{
	struct rj_cell_front *front = request->front;
	const struct rj_cell_call *call = request->call;
	const char *rest = call->path + strlen(queue->prefix);
	uint64_t age_max_us = call->verb == RJ_CELL_VERB_CANCEL ?
				      STATE_AGE_MAX_US :
				      STATE_FRESH_US;
	struct rj_cell_entry *entry;

	if (!front->jobs->caught_up) {
		answer_away(request, "jobs_unread");
		return;
	}
	if (!*rest && call->verb == RJ_CELL_VERB_ASK) {
		ask_queue(request, queue);
		return;
	}
	if (take_id(rest, request->id)) {
		answer_plain(request, RJ_CELL_VERDICT_NO_QUEUE, "no_id", 0);
		return;
	}
	entry = known(request);
	if (call->verb == RJ_CELL_VERB_SUBMIT)
		submit(request, queue);
	else if (!entry || !is_current(front, entry, age_max_us))
		look_up(request);
	else if (call->verb == RJ_CELL_VERB_CANCEL)
		cancel_known(request, entry);
	else
		answer_state(request, entry);
}

/* Whether the call's key lets it in; else it has been answered. */
static bool admit_key(struct request *request,
		      const struct rj_cell_queue *queue)
{
	struct rj_cell_front *front = request->front;
	const struct rj_cell_account *account;

	if (queue->open)
		return true;
	if (!rj_cell_front_keys_fresh(front, front->now_us)) {
		answer_away(request, "keys_too_old");
		return false;
	}
	account = request->call->key ? rj_cell_config_key(front->config,
							  request->call->key) :
				       NULL;
	if (!account) {
		answer_plain(request, RJ_CELL_VERDICT_BAD_KEY, "no_such_key",
			     0);
		return false;
	}
	memcpy(request->account, account->name, sizeof(request->account));
	return true;
}

/*
 * Take one call. It is answered at once where that is possible, else when
 * the log has answered or shortly before the client gives up.
 */
void rj_cell_front_take(struct rj_cell_front *front, struct rj_cell_call *call)
{
	struct request *request = talloc_zero(front->mem, struct request);
	const struct rj_cell_queue *queue;
	uint32_t wait_ms = call->wait_ms ? call->wait_ms : WAIT_MS;

	assert(request);
	front->now_us = call->now_us;
	front->counters.calls[call->verb]++;
	front->open++;
	request->front = front;
	request->call = call;
	request->begun_us = call->now_us;
	request->due_us =
		call->now_us + (wait_ms - MIN(ANSWER_MARGIN_MS,
					      wait_ms / ANSWER_MARGIN_PART)) *
				       RJ_US_PER_MS;
	rj_list_init(&request->sync.link);
	request->sync.done = sync_done;
	rj_list_append(&front->requests, &request->link);
	if (!front->config) {
		answer_away(request, "no_config");
		return;
	}
	queue = rj_cell_config_route(front->config, call->host, call->path);
	if (!queue) {
		answer_plain(request, RJ_CELL_VERDICT_NO_QUEUE, "no_route", 0);
		return;
	}
	if (admit_key(request, queue))
		serve(request, queue);
}

/* The last answer to a request that waits for the log: what is on its way
 * there may arrive, so nothing else can be said of it. */
static void answer_open(struct request *request, const char *why)
{
	if (request->writing)
		answer_plain(request, RJ_CELL_VERDICT_UNKNOWN, why, 0);
	else
		answer_away(request, why);
}

/* See whether the log can be reached. */
static void watch_log(struct rj_cell_front *front)
{
	uint64_t answered_us =
		MAX(MAX(front->jobs->answered_us, front->configs->answered_us),
		    front->writer->answered_us);
	bool refuses = front->jobs->failures && front->configs->failures;

	if (answered_us && rj_cell_contact_update(&front->contact, answered_us,
						  refuses, front->now_us))
		rj_log_event(
			front->contact.away_us ? "log_away" : "log_back",
			RJ_LOG_AGE_MS("silent_ms", front->now_us - answered_us),
			RJ_LOG_NUMBER("refuses", refuses),
			RJ_LOG_NUMBER("open", front->open));
}

/*
 * Answer the calls whose clients are about to give up, and all that wait for
 * a log that is out of reach.
 */
void rj_cell_front_tick(struct rj_cell_front *front, uint64_t now_us)
{
	struct rj_list *at;
	struct rj_list *next;

	front->now_us = now_us;
	watch_log(front);
	RJ_FOR_EACH (at, next, &front->requests) {
		struct request *request =
			RJ_CONTAINER(at, struct request, link);

		if (front->contact.away_us)
			answer_open(request, "log_away");
		else if (now_us >= request->due_us)
			answer_open(request, "log_slow");
	}
}

/*
 * Answer all that is open.
 */
void rj_cell_front_finish(struct rj_cell_front *front)
{
	while (front->requests.next != &front->requests) {
		struct request *request = RJ_CONTAINER(front->requests.next,
						       struct request, link);

		answer_open(request, "stopping");
	}
}
