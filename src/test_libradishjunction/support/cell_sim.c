#include "support/cell_sim.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <time.h>

#include "private/log_event.h"

#define TICK_US (20 * MS)
#define WALL_MS 1700000000000ULL
#define ATTEMPTS_MAX 4
#define DEFAULT_ACCOUNTS 2
#define LEASE_MAX_MS 6000
/* A removed key is not served after this. */
#define REVOKE_MS 5000
/* Nothing starts on a draining worker after this. */
#define DRAIN_MS 2000
/* Bound for a stop, and for the end of all members of a gang. */
#define STOP_MS 200
/* Nothing starts in a cordoned failure domain after this. */
#define CORDON_MS 5000
/* A call still carries the key removed last if the time in milliseconds is a
 * multiple of this. */
#define REMOVED_KEY_ONE_IN 7

struct cell_sim_event {
	uint64_t at_us;
	uint64_t sequence;
	void (*call)(void *);
	void *data;
};

/* By time, then in the order of creation. */
static gint by_time(gconstpointer a, gconstpointer b, gpointer unused)
{
	const struct cell_sim_event *left = a;
	const struct cell_sim_event *right = b;

	if (left->at_us != right->at_us)
		return left->at_us < right->at_us ? -1 : 1;
	return left->sequence < right->sequence ? -1 : 1;
}

/*
 * Calls `call` with `data` after `delay_us`.
 */
void cell_sim_schedule(struct cell_sim *sim, uint64_t delay_us,
		       void (*call)(void *), void *data)
{
	struct cell_sim_event *event = g_new0(struct cell_sim_event, 1);

	event->at_us = sim->now_us + delay_us;
	event->sequence = sim->sequence++;
	event->call = call;
	event->data = data;
	g_sequence_insert_sorted(sim->events, event, by_time, NULL);
}

/*
 * Returns a number below `below`; the sequence depends on the seed alone.
 */
uint32_t cell_sim_random(struct cell_sim *sim, uint32_t below)
{
	return below ? (uint32_t)(rj_random64(&sim->random) % below) : 0;
}

/*
 * Milliseconds since 1970 by the simulated clock.
 */
uint64_t cell_sim_wall_ms(const struct cell_sim *sim)
{
	return WALL_MS + sim->now_us / MS;
}

/*
 * Advances the simulated time, and handles the events that are due.
 */
void cell_sim_run(struct cell_sim *sim, uint64_t for_us)
{
	uint64_t until_us = sim->now_us + for_us;

	for (;;) {
		GSequenceIter *first = g_sequence_get_begin_iter(sim->events);
		struct cell_sim_event *event;

		if (g_sequence_iter_is_end(first))
			break;
		event = g_sequence_get(first);
		if (event->at_us > until_us)
			break;
		sim->now_us = event->at_us;
		g_sequence_remove(first);
		event->call(event->data);
		g_free(event);
	}
	sim->now_us = until_us;
}

/*
 * Whether a node's process is still the one that made a call.
 */
bool cell_sim_node_is_current(const struct cell_sim_node *node,
			      uint32_t incarnation)
{
	return node->up && node->incarnation == incarnation;
}

/*
 * Whether a node is paused. If so, schedules `call` with `data` for when it
 * resumes.
 */
bool cell_sim_defer_if_paused(struct cell_sim_node *node, void (*call)(void *),
			      void *data)
{
	uint64_t now_us = node->sim->now_us;

	if (node->paused_until_us <= now_us)
		return false;
	cell_sim_schedule(node->sim, node->paused_until_us - now_us + 1, call,
			  data);
	return true;
}

/* The simulation whose log events are printed, and the node that runs. */
static struct {
	struct cell_sim *sim;
	const struct cell_sim_node *node;
} trace;

/* Prints one log event, with the seconds since the simulation began at 3,600 s
 * and the node; 99 stands for none. */
static GLogWriterOutput print_log_event(GLogLevelFlags level,
					const GLogField *fields, gsize count,
					gpointer unused)
{
	const struct rj_log_event_field *field;

	for (gsize i = 0; i < count; i++) {
		const struct rj_log_event *note = fields[i].value;

		if (strcmp(fields[i].key, RJ_LOG_EVENT_FIELD) != 0)
			continue;
		printf("%9.3f n%u %s",
		       (double)trace.sim->now_us / (double)S - 3600,
		       trace.node ? trace.node->index : 99, note->event);
		for (field = note->fields; field->name; field++)
			if (field->text)
				printf(" %s=%s", field->name, field->text);
			else
				printf(" %s=%" G_GINT64_FORMAT, field->name,
				       field->number);
		printf("\n");
	}
	return G_LOG_WRITER_HANDLED;
}

/*
 * Prints the log events of this simulation from now on. Call it once in a
 * process, as GLib allows one log writer.
 */
void cell_sim_trace(struct cell_sim *sim)
{
	trace.sim = sim;
	g_log_set_writer_func(print_log_event, NULL, NULL);
}

/* CPU time of this thread. */
static uint64_t cpu_now_ns(void)
{
	struct timespec time;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
	return (uint64_t)time.tv_sec * G_GUINT64_CONSTANT(1000000000) +
	       (uint64_t)time.tv_nsec;
}

/*
 * Call before a node's code: attributes log events and CPU time to it.
 */
void cell_sim_node_enter(struct cell_sim_node *node)
{
	trace.node = node;
	node->cpu_ns -= cpu_now_ns();
}

/*
 * Call after a node's code: ends the count of its CPU time.
 */
void cell_sim_node_leave(struct cell_sim_node *node)
{
	node->cpu_ns += cpu_now_ns();
}

/* Advances a node, as its timer does. */
static void tick(void *data)
{
	struct cell_sim_node *node = data;
	struct cell_sim *sim = node->sim;

	cell_sim_node_enter(node);
	if (node->up && node->paused_until_us <= sim->now_us)
		rj_cell_node_advance(&node->node, sim->now_us,
				     cell_sim_wall_ms(sim));
	cell_sim_node_leave(node);
	cell_sim_schedule(sim, TICK_US, tick, node);
}

/*
 * Starts a node's process, without any state of its previous one.
 */
void cell_sim_node_start(struct cell_sim *sim, uint32_t index)
{
	struct cell_sim_node *node = &sim->nodes[index];
	struct rj_cell_node_options options = {
		.strength = 25,
		.limits = { .status_retention_ms = 120000, .reclaim_ms = 2900 },
		.codec = &cell_sim_codec,
		.store = &node->store,
		.workers = &node->workers,
		.advisor = &node->advisor
	};

	options.limits.lease_max_ms = sim->options.lease_max_ms;
	options.limits.revoke_ms = sim->options.revoke_ms;
	options.limits.drain_ms = DRAIN_MS;
	options.limits.stop_ms = STOP_MS;
	options.limits.record_max_bytes = sim->options.record_max_bytes;
	options.limits.append_max_bytes = CELL_SIM_APPEND_MAX_BYTES;
	options.limits.features = sim->options.features;
	options.limits.cordon_ms = CORDON_MS;
	options.limits.entry_expiry_ms =
		CELL_SIM_HEARTBEAT_MS * CELL_SIM_ENTRY_HEARTBEATS;
	if (node->up)
		return;
	cell_sim_node_enter(node);
	node->up = true;
	node->incarnation++;
	node->mem = talloc_named_const(sim->mem, 0, "node");
	(void)g_snprintf(options.name, sizeof(options.name), "n%u", index);
	options.incarnation = node->incarnation * 100 + index + 1;
	rj_cell_node_init(&node->node, node->mem, &options);
	rj_cell_node_start(&node->node, sim->now_us, cell_sim_wall_ms(sim));
	cell_sim_node_leave(node);
}

/*
 * Kills a node's process; its clients get no more answers.
 */
void cell_sim_node_kill(struct cell_sim *sim, uint32_t index)
{
	struct cell_sim_node *node = &sim->nodes[index];

	if (!node->up)
		return;
	node->up = false;
	rj_cell_node_finish(&node->node);
	TALLOC_FREE(node->mem);
}

/*
 * Pauses a node; what arrives meanwhile is handled when it resumes.
 */
void cell_sim_node_pause(struct cell_sim *sim, uint32_t index, uint64_t for_us)
{
	sim->nodes[index].paused_until_us = sim->now_us + for_us;
}

/*
 * Returns the first node that considers itself the owner, or -1. There may be
 * two such nodes for a time.
 */
int cell_sim_owner(const struct cell_sim *sim)
{
	for (uint32_t i = 0; i < sim->options.nodes; i++)
		if (sim->nodes[i].up && sim->nodes[i].node.owner.active)
			return (int)i;
	return -1;
}

/*
 * Creates a site and starts its workers and nodes. Jobs are accepted after one
 * to two seconds of simulated time.
 */
void cell_sim_init(struct cell_sim *sim, const struct cell_sim_options *options)
{
	memset(sim, 0, sizeof(*sim));
	sim->options = *options;
	if (!options->attempts_max)
		sim->options.attempts_max = ATTEMPTS_MAX;
	if (!options->lease_max_ms)
		sim->options.lease_max_ms = LEASE_MAX_MS;
	if (!sim->options.record_max_bytes)
		sim->options.record_max_bytes = CELL_SIM_RECORD_MAX_BYTES;
	if (!options->revoke_ms)
		sim->options.revoke_ms = REVOKE_MS;
	sim->mem = talloc_named_const(NULL, 0, "cell simulation");
	sim->random = options->seed ^ 0x9e3779b97f4a7c15ULL;
	sim->now_us = 3600 * S;
	sim->events = g_sequence_new(NULL);
	sim->jobs = g_hash_table_new(g_str_hash, g_str_equal);
	sim->gangs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   (GDestroyNotify)g_ptr_array_unref);
	sim->job_list = g_ptr_array_new();
	sim->violations = g_ptr_array_new_with_free_func(g_free);
	sim->cordons =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	cell_log_init(sim);
	cell_workers_init(sim);
	if (!sim->options.accounts)
		sim->options.accounts = DEFAULT_ACCOUNTS;
	for (uint32_t j = 0; j < sim->options.accounts; j++)
		sim->guaranteed[j] = sim->options.guaranteed;
	cell_sim_publish(sim, "k1");
	for (uint32_t i = 0; i < options->nodes; i++) {
		struct cell_sim_node *node = &sim->nodes[i];

		node->sim = sim;
		node->index = i;
		node->store.ops = &cell_log_ops;
		node->workers.ops = &cell_workers_ops;
		node->advisor.ops = &cell_advice_ops;
		cell_sim_node_start(sim, i);
		cell_sim_schedule(sim, TICK_US, tick, node);
	}
}

/*
 * Stops and frees everything.
 */
void cell_sim_finish(struct cell_sim *sim)
{
	GSequenceIter *at;

	for (uint32_t i = 0; i < sim->options.nodes; i++)
		cell_sim_node_kill(sim, i);
	for (at = g_sequence_get_begin_iter(sim->events);
	     !g_sequence_iter_is_end(at); at = g_sequence_iter_next(at))
		g_free(g_sequence_get(at));
	g_sequence_free(sim->events);
	cell_workers_finish(sim);
	g_hash_table_destroy(sim->gangs);
	cell_log_finish(sim);
	for (guint i = 0; i < sim->job_list->len; i++)
		g_hash_table_destroy(
			((struct cell_client_job *)sim->job_list->pdata[i])
				->tasks);
	g_ptr_array_free(sim->job_list, TRUE);
	g_hash_table_destroy(sim->jobs);
	g_hash_table_destroy(sim->cordons);
	g_ptr_array_free(sim->violations, TRUE);
	talloc_free(sim->mem);
}

/*
 * Returns a step of tasks with an accelerator count and default cores and
 * memory.
 */
struct rj_cell_step cell_sim_plain_step(uint32_t tasks, uint32_t accelerators,
					uint32_t estimate_ms)
{
	struct rj_cell_step step = { .task_count = tasks,
				     .each = { 1000, 1000, accelerators },
				     .estimate_ms = estimate_ms };

	return step;
}

/*
 * Creates a job that a client may submit; it is freed with the simulation. Each
 * of its tasks takes `duration_us` at speed 1.
 */
struct cell_client_job *cell_sim_job_new(struct cell_sim *sim,
					 const char *queue, const char *account,
					 const struct rj_cell_step *steps,
					 uint32_t step_count,
					 uint64_t duration_us)
{
	struct cell_client_job *job =
		talloc_zero(sim->mem, struct cell_client_job);
	struct rj_cell_job_spec *spec =
		talloc_zero(job, struct rj_cell_job_spec);
	struct rj_error err;

	(void)g_snprintf(job->id, sizeof(job->id), "%016x", ++sim->job_count);
	memcpy(spec->id, job->id, sizeof(spec->id));
	g_strlcpy(spec->queue, queue, RJ_NAME_BYTES);
	g_strlcpy(spec->account, account, RJ_NAME_BYTES);
	spec->spec = talloc_strdup(spec, "spec");
	spec->attempts_max = sim->options.attempts_max;
	spec->steps = talloc_memdup(spec, steps, sizeof(*steps) * step_count);
	spec->step_count = step_count;
	for (uint32_t i = 0; i < step_count; i++)
		spec->steps[i].after =
			talloc_memdup(spec, steps[i].after,
				      sizeof(uint32_t) * steps[i].after_count);
	g_assert_false(rj_cell_job_spec_check(spec, &err));
	job->spec = spec;
	job->duration_us = duration_us;
	job->tasks =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(sim->jobs, job->id, job);
	g_ptr_array_add(sim->job_list, job);
	return job;
}

/* A call of a client. */
struct client_call {
	struct rj_cell_call call;
	struct cell_sim *sim;
	struct cell_sim_node *node;
	uint32_t node_incarnation;
	struct cell_client_job *job;
	bool key_expired; /* its key's grace period had expired when it was sent */
	char path[64];
	char key[RJ_NAME_BYTES];
};

/* Handles the answer to a call. */
static void handle_answer(struct rj_cell_call *base,
			  const struct rj_cell_answer *answer)
{
	struct client_call *call = (struct client_call *)base;
	struct cell_client_job *job = call->job;
	struct cell_sim *sim = call->sim;

	if (!cell_sim_node_is_current(call->node, call->node_incarnation)) {
		talloc_free(call);
		return;
	}
	if (call->key_expired && answer->verdict <= RJ_CELL_VERDICT_CANCELLED)
		cell_sim_violation(sim, "key: %s is served with %s", job->id,
				   call->key);
	switch (answer->verdict) {
	case RJ_CELL_VERDICT_ACCEPTED:
		if (!job->accepted)
			job->accepted_us = sim->now_us;
		job->accepted = true;
		break;
	case RJ_CELL_VERDICT_BUSY:
	case RJ_CELL_VERDICT_UNAVAILABLE:
		if (base->verb == RJ_CELL_VERB_SUBMIT) {
			job->refusals++;
			job->retry_after_ms = answer->retry_after_ms;
		}
		break;
	case RJ_CELL_VERDICT_CANCELLED:
		if (!job->cancelled)
			job->cancelled_us = sim->now_us;
		job->cancelled = true;
		break;
	case RJ_CELL_VERDICT_STATE:
		/* Once a client was told that its job has ended, only calls
		 * made before that may return an earlier state. */
		if (job->has_state && answer->state < job->state) {
			if (base->now_us > job->state_us &&
			    job->state >= RJ_CELL_JOB_COMPLETED)
				cell_sim_violation(
					sim, "mixed: %s was %s", job->id,
					rj_cell_job_state_string[job->state]);
			break;
		}
		if (!job->has_state || answer->state > job->state)
			job->state_us = sim->now_us;
		job->has_state = true;
		job->state = answer->state;
		if (answer->state >= RJ_CELL_JOB_COMPLETED && !job->ended_us)
			job->ended_us = sim->now_us;
		break;
	case RJ_CELL_VERDICT_NO_JOB:
		/* Acknowledges a cancellation as well. */
		if (base->verb == RJ_CELL_VERB_CANCEL && !job->cancelled) {
			job->cancelled = true;
			job->cancelled_us = sim->now_us;
		}
		if (job->accepted && base->verb == RJ_CELL_VERB_QUERY)
			job->not_found = true;
		break;
	default:
		break;
	}
	talloc_free(call);
}

/* Sends a call to a node; one that is down or paused does not answer. */
static void send_call(struct cell_sim *sim, uint32_t index,
		      struct cell_client_job *job, enum rj_cell_verb verb)
{
	struct cell_sim_node *node = &sim->nodes[index];
	struct client_call *call;
	const char *key = sim->key;

	if (!node->up || node->paused_until_us > sim->now_us)
		return;
	call = talloc_zero(sim->mem, struct client_call);
	(void)g_snprintf(call->path, sizeof(call->path), "%s%s",
			 cell_sim_queue_prefix(job->spec->queue), job->id);
	if (sim->removed_key && sim->now_us / MS % REMOVED_KEY_ONE_IN == 0) {
		key = sim->removed_key;
		call->key_expired =
			sim->now_us >
			sim->key_removed_us + sim->options.revoke_ms * MS;
	}
	(void)g_snprintf(call->key, sizeof(call->key), "%s-%s", key,
			 job->spec->account);
	call->sim = sim;
	call->node = node;
	call->node_incarnation = node->incarnation;
	call->job = job;
	call->call.verb = verb;
	call->call.host = "host:80";
	call->call.path = call->path;
	call->call.key = call->key;
	call->call.wait_ms = 3000;
	call->call.now_us = sim->now_us;
	call->call.wall_ms = cell_sim_wall_ms(sim);
	call->call.answer = handle_answer;
	if (verb == RJ_CELL_VERB_SUBMIT)
		call->call.body = rj_cell_job_spec_encode(call, job->spec);
	cell_sim_node_enter(node);
	rj_cell_frontend_handle(&node->node.frontend, &call->call);
	cell_sim_node_leave(node);
}

/*
 * Submits a job, for the first time or again.
 */
void cell_sim_submit(struct cell_sim *sim, uint32_t node,
		     struct cell_client_job *job)
{
	if (!job->sent_us)
		job->sent_us = sim->now_us;
	job->submissions++;
	send_call(sim, node, job, RJ_CELL_VERB_SUBMIT);
}

/*
 * Queries the state of a job.
 */
void cell_sim_query(struct cell_sim *sim, uint32_t node,
		    struct cell_client_job *job)
{
	send_call(sim, node, job, RJ_CELL_VERB_QUERY);
}

/*
 * Requests the cancellation of a job.
 */
void cell_sim_cancel(struct cell_sim *sim, uint32_t node,
		     struct cell_client_job *job)
{
	job->cancel_sent = true;
	send_call(sim, node, job, RJ_CELL_VERB_CANCEL);
}
