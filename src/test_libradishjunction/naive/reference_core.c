#include "naive/reference_core.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#define WORKERS_MAX 64
#define PEERS_MAX 16
#define HEARTBEAT_US RJ_US_PER_S
#define RETRY_DELAY_US (100 * RJ_US_PER_MS)
#define TRIES_MAX 100
#define LEASE_LIFE_US (3 * RJ_US_PER_S)
#define CALL_TIMEOUT_US RJ_US_PER_S
#define RUN_TIMEOUT_US (60 * RJ_US_PER_S)

struct member {
	char worker[RJ_NAME_BYTES];
	uint64_t call_id; /* outstanding call; 0: none */
	uint64_t token;
	bool done;
};

struct job {
	struct job *next;
	struct rj_job_spec spec;
	struct rj_attempt attempt;
	uint64_t request_id; /* request waiting for the outcome; 0: none */
	uint64_t retry_us; /* time of the next attempt */
	uint32_t tries;
	bool ended;
	struct rj_answer answer;
	struct member *members; /* one for each task */
};

struct reference_core {
	struct rj_core_options options;
	uint64_t random;
	uint64_t heartbeat_us;
	uint64_t next_call;
	uint64_t revision;
	struct rj_instance workers[WORKERS_MAX];
	uint32_t worker_count;
	uint32_t next_worker;
	char peers[PEERS_MAX][RJ_NAME_BYTES];
	uint32_t peer_count;
	bool connected;
	struct job *jobs;
};

/*
 * Creates a core as a talloc child of `mem`. `options` is copied.
 */
struct reference_core *
reference_core_create(void *mem, const struct rj_core_options *options)
{
	struct reference_core *core = talloc_zero(mem, struct reference_core);

	assert(core && options->peer_count <= PEERS_MAX);
	core->options = *options;
	core->random = options->seed;
	core->peer_count = options->peer_count;
	for (uint32_t i = 0; i < options->peer_count; i++)
		memcpy(core->peers[i], options->peers[i].name, RJ_NAME_BYTES);
	return core;
}

/*
 * Returns the time at which the core needs its next timer event.
 */
uint64_t reference_core_wake_us(const struct reference_core *core)
{
	uint64_t wake_us = core->heartbeat_us;

	for (const struct job *job = core->jobs; job; job = job->next)
		if (!job->ended && job->retry_us < wake_us)
			wake_us = job->retry_us;
	return wake_us;
}

/* Adds a worker call with a new id. `job` may be NULL for a call without a
 * task. */
static struct rj_worker_call *
add_worker_call(struct reference_core *core, struct rj_actions *actions,
		const struct job *job, uint32_t member, enum rj_worker_op op)
{
	struct rj_action *action =
		rj_actions_add(actions, RJ_ACTION_WORKER_CALL);
	struct rj_worker_call *worker_call = &action->u.worker_call;

	worker_call->call_id = ++core->next_call;
	worker_call->op = op;
	worker_call->timeout_us = CALL_TIMEOUT_US;
	worker_call->holder = core->options.incarnation;
	worker_call->life_us = LEASE_LIFE_US;
	if (!job)
		return worker_call;
	worker_call->attempt = job->attempt;
	worker_call->member = member;
	worker_call->gang = job->spec.shape.tasks;
	worker_call->token = job->members[member].token;
	worker_call->each = job->spec.shape.each;
	worker_call->body = job->spec.body;
	memcpy(worker_call->worker, job->members[member].worker, RJ_NAME_BYTES);
	memcpy(worker_call->account, job->spec.account, RJ_NAME_BYTES);
	memcpy(worker_call->class_name, job->spec.class_name, RJ_NAME_BYTES);
	job->members[member].call_id = worker_call->call_id;
	return worker_call;
}

/* Answers a request; no effect for request id 0. */
static void send_answer(struct rj_actions *actions, uint64_t request_id,
			const struct rj_answer *response)
{
	struct rj_action *action;

	if (!request_id)
		return;
	action = rj_actions_add(actions, RJ_ACTION_ANSWER);
	action->u.answer.request_id = request_id;
	action->u.answer.answer = *response;
}

/* Sets the final answer of a job and sends it to a waiting request. Copies
 * `result`, which may be NULL. */
static void complete_job(struct job *job, struct rj_actions *actions,
			 enum rj_answer_kind kind, enum rj_reason reason,
			 const struct rj_bytes *result)
{
	if (job->ended)
		return;
	job->ended = true;
	job->answer.kind = kind;
	job->answer.reason = reason;
	job->answer.job_id = job->attempt.job_id;
	if (result && result->length) {
		job->answer.result.data =
			talloc_memdup(job, result->data, result->length);
		job->answer.result.length = result->length;
	}
	send_answer(actions, job->request_id, &job->answer);
	job->request_id = 0;
}

/* Chooses workers round robin, skipping those that are leaving. */
static bool choose_worker(struct reference_core *core,
			  char worker[RJ_NAME_BYTES])
{
	for (uint32_t i = 0; i < core->worker_count; i++) {
		const struct rj_instance *entry =
			&core->workers[core->next_worker++ %
				       core->worker_count];

		if (entry->leaving)
			continue;
		memcpy(worker, entry->name, RJ_NAME_BYTES);
		return true;
	}
	return false;
}

/* Requests leases for all tasks of a new attempt, or schedules a retry if
 * no worker is live. After TRIES_MAX attempts the job ends as not run. */
static void start_attempt(struct reference_core *core, struct job *job,
			  uint64_t now_us, struct rj_actions *actions)
{
	job->retry_us = RJ_NEVER_US;
	if (job->tries++ >= TRIES_MAX) {
		complete_job(job, actions, RJ_ANSWER_NOT_RUN,
			     RJ_REASON_RETRY_BUDGET, NULL);
		return;
	}
	job->attempt.number++;
	for (uint32_t i = 0; i < job->spec.shape.tasks; i++) {
		struct member *member = &job->members[i];

		memset(member, 0, sizeof(*member));
		if (!choose_worker(core, member->worker)) {
			job->retry_us = now_us + RETRY_DELAY_US;
			return;
		}
		(void)add_worker_call(core, actions, job, i, RJ_WORKER_LEASE);
	}
}

static struct job *find_job(struct reference_core *core, uint64_t job_id)
{
	struct job *job = core->jobs;

	while (job && job->attempt.job_id != job_id)
		job = job->next;
	return job;
}

/* Returns the job with that idempotency key, NULL for an empty key. */
static struct job *find_key(struct reference_core *core, const char *key)
{
	struct job *job = core->jobs;

	while (job && (!key[0] || strcmp(job->spec.key, key) != 0))
		job = job->next;
	return job;
}

/* Starts a new job, or answers from the existing one with the same key. */
static void submit(struct reference_core *core,
		   const struct rj_request *request, uint64_t now_us,
		   struct rj_actions *actions)
{
	struct job *job = find_key(core, request->spec.key);

	if (!job) {
		job = talloc_zero(core, struct job);
		assert(job);
		job->spec = request->spec;
		job->spec.body.data =
			talloc_memdup(job, request->spec.body.data,
				      request->spec.body.length);
		job->members = talloc_zero_array(job, struct member,
						 job->spec.shape.tasks);
		job->attempt.job_id = rj_random64(&core->random);
		job->attempt.owner = core->options.incarnation;
		job->next = core->jobs;
		core->jobs = job;
		start_attempt(core, job, now_us, actions);
	}
	if (job->ended) {
		send_answer(actions, request->request_id, &job->answer);
	} else if (request->spec.wait) {
		job->request_id = request->request_id;
	} else {
		struct rj_answer response = { .kind = RJ_ANSWER_ACCEPTED };

		response.job_id = job->attempt.job_id;
		send_answer(actions, request->request_id, &response);
	}
}

/* Stops all leased tasks and completes the job as cancelled. */
static void cancel(struct reference_core *core, struct job *job,
		   struct rj_actions *actions)
{
	for (uint32_t i = 0; i < job->spec.shape.tasks; i++)
		if (job->members[i].token)
			(void)add_worker_call(core, actions, job, i,
					      RJ_WORKER_STOP);
	complete_job(job, actions, RJ_ANSWER_NOT_RUN, RJ_REASON_CANCELLED,
		     NULL);
}

static void handle_request(struct reference_core *core,
			   const struct rj_request *request, uint64_t now_us,
			   struct rj_actions *actions)
{
	struct rj_answer response = { .kind = RJ_ANSWER_NOT_RUN,
				      .reason = RJ_REASON_NO_SUCH_JOB };
	struct job *job;

	if (request->op == RJ_REQUEST_SUBMIT) {
		submit(core, request, now_us, actions);
		return;
	}
	job = find_job(core, request->job_id);
	if (job && request->op == RJ_REQUEST_CANCEL && !job->ended)
		cancel(core, job, actions);
	if (job && job->ended) {
		response = job->answer;
	} else if (job) {
		response.kind = RJ_ANSWER_UNKNOWN;
		response.reason = RJ_REASON_IN_PROGRESS;
	}
	send_answer(actions, request->request_id, &response);
}

/* Completes the job once all of its members are done. */
static void member_done(struct job *job, struct member *member,
			const struct rj_worker_reply *reply,
			struct rj_actions *actions)
{
	member->done = true;
	for (uint32_t i = 0; i < job->spec.shape.tasks; i++)
		if (!job->members[i].done)
			return;
	complete_job(job, actions, RJ_ANSWER_DONE, RJ_REASON_NONE,
		     &reply->result);
}

/* Advances a member: starts it once leased, ends the job with its outcome,
 * and retries the job after any refusal or loss. */
static void handle_member_reply(struct reference_core *core, struct job *job,
				uint32_t index,
				const struct rj_worker_reply *reply,
				uint64_t now_us, struct rj_actions *actions)
{
	struct member *member = &job->members[index];
	struct rj_worker_call *start;

	member->call_id = 0;
	if (reply->status != RJ_REPLY_OK) {
		job->retry_us = now_us + RETRY_DELAY_US;
		return;
	}
	if (reply->op == RJ_WORKER_LEASE) {
		member->token = reply->token;
		start = add_worker_call(core, actions, job, index,
					RJ_WORKER_START);
		start->wait = true;
		start->throttle_percent = 100;
		start->timeout_us = RUN_TIMEOUT_US;
	} else if (reply->state == RJ_TASK_DONE) {
		member_done(job, member, reply, actions);
	} else if (reply->state == RJ_TASK_FAILED) {
		complete_job(job, actions, RJ_ANSWER_FAILED,
			     RJ_REASON_TASK_FAILED, &reply->result);
	} else {
		job->retry_us = now_us + RETRY_DELAY_US;
	}
}

static void handle_reply(struct reference_core *core,
			 const struct rj_worker_reply *reply, uint64_t now_us,
			 struct rj_actions *actions)
{
	for (struct job *job = core->jobs; job; job = job->next) {
		for (uint32_t i = 0; i < job->spec.shape.tasks; i++) {
			if (job->members[i].call_id != reply->call_id ||
			    job->ended)
				continue;
			handle_member_reply(core, job, i, reply, now_us,
					    actions);
			return;
		}
	}
}

static void read_config(struct rj_actions *actions, uint64_t from)
{
	struct rj_action *action = rj_actions_add(actions, RJ_ACTION_READ);

	action->u.read.stream = RJ_STREAM_CONFIG;
	action->u.read.from = from;
	action->u.read.wait_us = 10 * RJ_US_PER_S;
}

/* Sends a configuration record to all peers. */
static void forward_config(struct reference_core *core,
			   const struct rj_record *record,
			   struct rj_actions *actions)
{
	for (uint32_t i = 0; i < core->peer_count; i++) {
		struct rj_peer_message *message =
			talloc_zero(actions->mem, struct rj_peer_message);
		struct rj_action *action =
			rj_actions_add(actions, RJ_ACTION_PEER_SEND);

		message->kind = RJ_PEER_CONFIG;
		message->u.config.revision = record->revision;
		message->u.config.text = talloc_strdup(
			message,
			record->config_text ? record->config_text : "");
		memcpy(message->u.config.id, record->config_id,
		       sizeof(message->u.config.id));
		memcpy(action->u.peer.name, core->peers[i], RJ_NAME_BYTES);
		action->u.peer.message = message;
	}
}

static void handle_records(struct reference_core *core,
			   const struct rj_records *records,
			   struct rj_actions *actions)
{
	for (uint32_t i = 0; i < records->count; i++) {
		const struct rj_record *record = &records->records[i];

		if (record->kind != RJ_RECORD_CONFIG)
			continue;
		core->revision = record->revision;
		forward_config(core, record, actions);
	}
	read_config(actions, records->next);
}

static void handle_instances(struct reference_core *core,
			     const struct rj_instance *list, uint32_t count)
{
	core->worker_count = 0;
	for (uint32_t i = 0; i < count && core->worker_count < WORKERS_MAX; i++)
		if (list[i].role == RJ_ROLE_WORKER &&
		    !strcmp(list[i].domain, core->options.domain))
			core->workers[core->worker_count++] = list[i];
}

static void send_heartbeats(struct reference_core *core,
			    struct rj_actions *actions)
{
	for (uint32_t i = 0; i < core->peer_count; i++) {
		struct rj_peer_message *message =
			talloc_zero(actions->mem, struct rj_peer_message);
		struct rj_action *action;

		action = rj_actions_add(
			actions, core->connected ? RJ_ACTION_PEER_SEND :
						   RJ_ACTION_PEER_CONNECT);
		memcpy(action->u.peer.name, core->peers[i], RJ_NAME_BYTES);
		message->u.heartbeat.config_revision = core->revision;
		action->u.peer.message = message;
	}
}

/* Requests a report from each worker, which renews the leases there. */
static void renew_leases(struct reference_core *core,
			 struct rj_actions *actions)
{
	for (uint32_t i = 0; i < core->worker_count; i++) {
		struct rj_worker_call *report = add_worker_call(
			core, actions, NULL, 0, RJ_WORKER_REPORT);

		memcpy(report->worker, core->workers[i].name, RJ_NAME_BYTES);
	}
}

static void handle_timer(struct reference_core *core, uint64_t now_us,
			 struct rj_actions *actions)
{
	for (struct job *job = core->jobs; job; job = job->next)
		if (!job->ended && job->retry_us <= now_us)
			start_attempt(core, job, now_us, actions);
	if (now_us < core->heartbeat_us)
		return;
	send_heartbeats(core, actions);
	renew_leases(core, actions);
	(void)rj_actions_add(actions, RJ_ACTION_LIST);
	if (!core->connected)
		read_config(actions, 0);
	core->connected = true;
	core->heartbeat_us = now_us + HEARTBEAT_US;
}

/*
 * Processes one event and appends the resulting actions, like rj_core_process.
 */
void reference_core_process(struct reference_core *core,
			    const struct rj_event *event,
			    struct rj_actions *actions)
{
	switch (event->kind) {
	case RJ_EVENT_REQUEST:
		handle_request(core, &event->u.request, event->now_us, actions);
		break;
	case RJ_EVENT_CALLER_DISCONNECTED:
		for (struct job *job = core->jobs; job; job = job->next)
			if (job->request_id == event->u.request_id)
				job->request_id = 0;
		break;
	case RJ_EVENT_RECORDS:
		handle_records(core, &event->u.records, actions);
		break;
	case RJ_EVENT_READ_FAILED:
		read_config(actions, 0);
		break;
	case RJ_EVENT_INSTANCES:
		handle_instances(core, event->u.instances.list,
				 event->u.instances.count);
		break;
	case RJ_EVENT_WORKER_REPLY:
		handle_reply(core, &event->u.worker_reply, event->now_us,
			     actions);
		break;
	case RJ_EVENT_TIMER:
		handle_timer(core, event->now_us, actions);
		break;
	case RJ_EVENT_STOP:
		(void)rj_actions_add(actions, RJ_ACTION_EXIT);
		break;
	default:
		break;
	}
}
