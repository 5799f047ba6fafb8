#include "private/core_state.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

/*
 * Timers wake an instance every second. After a longer gap between events it
 * was paused, and its peers may consider it dead.
 */
#define PAUSE_MIN_US (2 * RJ_US_PER_S)

/*
 * Returns a unique number for the next call, append or forward; never 0.
 */
uint64_t rj_core_next_id(struct rj_core_state *core)
{
	return ++core->last_id;
}

/*
 * Returns a random time between half of and one and a half times `base_us`, so
 * that callers refused at the same time do not retry at the same time.
 */
uint64_t rj_core_jitter_us(struct rj_core_state *core, uint64_t base_us)
{
	if (!base_us)
		return 0;
	return base_us / 2 + rj_random64(&core->random) % (base_us + 1);
}

void rj_core_count(struct rj_core_state *core, enum rj_counter counter)
{
	core->counters[counter]++;
}

/*
 * Copies bytes as a talloc child of `mem`; `data` is NULL for empty bytes.
 */
void rj_bytes_copy(void *mem, struct rj_bytes *to, const struct rj_bytes *from)
{
	to->length = from->length;
	to->data = NULL;
	if (!from->length)
		return;
	to->data = talloc_memdup(mem, from->data, from->length);
	assert(to->data);
}

/*
 * Logs a decision and keeps it for `rj_core_explain`. `job` and `target` may be
 * NULL. Returns the log entry so that the caller can set further fields; it is
 * valid until the next action is added.
 */
struct rj_decision_log *
rj_core_log(struct rj_core_state *core, enum rj_decision_event event,
	    enum rj_reason why, const struct rj_job *job, const char *target)
{
	struct rj_action *action;
	struct rj_decision_log *log;
	struct rj_explain_entry *entry;

	action = rj_actions_add(core->actions, RJ_ACTION_LOG);
	log = &action->u.log;
	log->event = event;
	log->why = why;
	if (target)
		g_strlcpy(log->target, target, sizeof(log->target));
	if (job) {
		log->job_id = job->spec.job_id;
		g_strlcpy(log->account, job->spec.account,
			  sizeof(log->account));
		log->waited_us = core->now_us - job->arrived_us;
		log->considered = job->member_count;
		log->answer = job->final.kind;
	}
	entry = &core->explain[core->explain_next++ % RJ_EXPLAIN_ENTRIES];
	entry->at_us = core->now_us;
	entry->log = *log;
	return log;
}

/*
 * Answers a caller. Must be called exactly once per request.
 */
void rj_core_answer(struct rj_core_state *core, uint64_t request_id,
		    const struct rj_answer *answer)
{
	static const enum rj_counter counters[RJ_ANSWER_KIND_COUNT] = {
		[RJ_ANSWER_DONE] = RJ_COUNT_DONE,
		[RJ_ANSWER_FAILED] = RJ_COUNT_FAILED,
		[RJ_ANSWER_NOT_RUN] = RJ_COUNT_NOT_RUN,
		[RJ_ANSWER_UNKNOWN] = RJ_COUNT_UNKNOWN,
		[RJ_ANSWER_ACCEPTED] = RJ_COUNT_ACCEPTED,
	};
	struct rj_action *action;

	action = rj_actions_add(core->actions, RJ_ACTION_ANSWER);
	action->u.answer.request_id = request_id;
	action->u.answer.answer = *answer;
	rj_bytes_copy(core->actions->mem, &action->u.answer.answer.result,
		      &answer->result);
	rj_core_count(core, counters[answer->kind]);
}

/*
 * Creates the core of one instance as a talloc child of `mem`. The planner in
 * `options` is owned by the caller and must outlive the core. Returns 0, or -1
 * with `err` of kind RJ_ERR_INVALID if a name or the planner is missing.
 */
int rj_core_init(struct rj_core *core, void *mem,
		 const struct rj_core_options *options, struct rj_error *err)
{
	struct rj_core_state *state;

	if (!options->name[0] || !options->domain[0] || !options->planner)
		return rj_error_set(err, RJ_ERR_INVALID,
				    "core: name, domain and planner must be "
				    "set; take them from the settings");
	state = talloc_zero(mem, struct rj_core_state);
	assert(state);
	g_strlcpy(state->name, options->name, sizeof(state->name));
	g_strlcpy(state->domain, options->domain, sizeof(state->domain));
	state->incarnation = options->incarnation;
	state->random = options->seed;
	state->retention_us = options->retention_us;
	state->drain_limit_us = options->drain_limit_us;
	state->planner = options->planner;
	state->explain = talloc_zero_array(state, struct rj_explain_entry,
					   RJ_EXPLAIN_ENTRIES);
	assert(state->explain);
	rj_timers_init(&state->timers, state);
	rj_config_log_init(&state->config_log, state);
	rj_log_init(state);
	rj_job_ledger_init(&state->ledger, state);
	rj_membership_init(state, options);
	rj_upstreams_init(state);
	rj_jobs_init(state);
	rj_foreign_init(state);
	rj_drain_init(state);
	core->state = state;
	return 0;
}

/*
 * Frees the core. Open requests get no answer; a graceful stop sends
 * RJ_EVENT_STOP and waits for RJ_ACTION_EXIT first.
 */
void rj_core_finish(struct rj_core *core)
{
	struct rj_core_state *state = core->state;

	if (!state)
		return;
	rj_jobs_finish(state);
	rj_foreign_finish(state);
	rj_job_ledger_finish(&state->ledger);
	g_hash_table_destroy(state->upstreams.by_name);
	rj_config_log_finish(&state->config_log);
	if (state->config)
		rj_config_unref(state->config);
	TALLOC_FREE(core->state);
}

/* Dispatches a peer message to its controller. */
static void process_peer_message(struct rj_core_state *core, const char *peer,
				 const struct rj_peer_message *message)
{
	rj_core_count(core, RJ_COUNT_PEER_MESSAGES);
	if (message->kind != RJ_PEER_HEARTBEAT)
		rj_membership_count_received(core, peer);
	switch (message->kind) {
	case RJ_PEER_HEARTBEAT:
		rj_membership_receive_heartbeat(core, peer,
						&message->u.heartbeat);
		break;
	case RJ_PEER_SUMMARY:
		rj_membership_receive_summary(core, peer, &message->u.summary);
		break;
	case RJ_PEER_CONFIG:
		rj_config_controller_receive(core, &message->u.config);
		break;
	case RJ_PEER_LEAVING:
		rj_upstreams_receive_leaving(core, &message->u.leaving);
		break;
	case RJ_PEER_FORWARD:
		rj_forward_received(core, peer, &message->u.forward);
		break;
	case RJ_PEER_FORWARD_ANSWER:
		rj_forward_answered(core, peer, &message->u.forward_answer);
		break;
	case RJ_PEER_CANCEL:
		rj_forward_cancelled(core, peer, &message->u.cancel);
		break;
	case RJ_PEER_MESSAGE_KIND_COUNT:
		break;
	}
}

static void process_timers(struct rj_core_state *core)
{
	struct rj_timer *timer;

	while ((timer = rj_timers_pop_due(&core->timers, core->now_us)))
		timer->fire(core, timer);
}

/* Dispatches an event to the filters or to its controller. */
static void process_event(struct rj_core_state *core,
			  const struct rj_event *event)
{
	switch (event->kind) {
	case RJ_EVENT_REQUEST:
		rj_filters_request(core, &event->u.request);
		break;
	case RJ_EVENT_CALLER_DISCONNECTED:
		rj_jobs_caller_disconnected(core, event->u.request_id);
		break;
	case RJ_EVENT_RECORDS:
		rj_log_receive_records(core, &event->u.records);
		break;
	case RJ_EVENT_READ_FAILED:
		rj_log_read_failed(core, event->u.stream);
		break;
	case RJ_EVENT_APPENDED:
		rj_log_appended(core, &event->u.appended);
		break;
	case RJ_EVENT_INSTANCES:
		rj_membership_apply_list(core, event->u.instances.list,
					 event->u.instances.count);
		rj_upstreams_apply_list(core, event->u.instances.list,
					event->u.instances.count);
		break;
	case RJ_EVENT_WORKER_REPLY:
		rj_jobs_worker_reply(core, &event->u.worker_reply);
		break;
	case RJ_EVENT_PEER_UP:
		rj_membership_link_up(core, event->u.peer.name);
		break;
	case RJ_EVENT_PEER_DOWN:
		rj_membership_link_down(core, event->u.peer.name);
		break;
	case RJ_EVENT_PEER_MESSAGE:
		process_peer_message(core, event->u.peer.name,
				     event->u.peer.message);
		break;
	case RJ_EVENT_STOP:
		rj_drain_start(core);
		break;
	case RJ_EVENT_TIMER:
	case RJ_EVENT_KIND_COUNT:
		break;
	}
}

/*
 * Processes one event and appends the resulting actions to `actions`. Time is
 * monotonic: an event with an earlier time than its predecessor is processed at
 * the predecessor's time. The first event of any kind also starts the core,
 * which reads the log and the instance list and connects to its peers.
 */
void rj_core_process(struct rj_core *core, const struct rj_event *event,
		     struct rj_actions *actions)
{
	struct rj_core_state *state = core->state;
	bool first = !state->actions && !state->now_us;

	state->actions = actions;
	if (!first && event->now_us > state->now_us + PAUSE_MIN_US)
		state->paused_before_us = event->now_us;
	if (event->now_us > state->now_us || first)
		state->now_us = event->now_us ? event->now_us : 1;
	if (first) {
		rj_log_start(state);
		rj_membership_start(state);
	}
	process_event(state, event);
	process_timers(state);
	rj_jobs_plan(state);
	rj_drain_check_finished(state);
	state->wake_us = rj_timers_next_us(&state->timers);
	state->actions = NULL;
}

/*
 * Returns when to send RJ_EVENT_TIMER, on the clock of the events; RJ_NEVER_US
 * if no timer is armed, 0 before the first event.
 */
uint64_t rj_core_wake_us(const struct rj_core *core)
{
	return core->state->now_us ? core->state->wake_us : 0;
}

/*
 * Whether callers may be routed here: a configuration is in force, the log has
 * been read or is known to be unavailable, and no stop was requested.
 *
 * Guards against refusals by an instance that has just started. A peer may send
 * it the configuration before its first read of the log is answered; until then
 * it would refuse jobs that must be accepted into the log. During a real log
 * outage it is ready, since it can still serve idempotent jobs.
 */
bool rj_core_ready(const struct rj_core *core)
{
	const struct rj_core_state *state = core->state;

	return state->config && state->streams[RJ_STREAM_JOBS].tried &&
	       !state->stopping;
}

/*
 * Returns the value of a counter since the start.
 */
uint64_t rj_core_counter(const struct rj_core *core, enum rj_counter counter)
{
	return core->state->counters[counter];
}
