#include "private/worker_wire.h"

#include <assert.h>
#include <sodium.h>
#include <string.h>
#include <talloc.h>

#include "private/wire_json.h"

#define DIGEST_HEX_BYTES (2 * RJ_DIGEST_BYTES + 1)

static void set_resources(json_t *object, const struct rj_resources *resources)
{
	rj_wire_set_count(object, "slots", resources->slots);
	rj_wire_set_count(object, "accelerators", resources->accelerators);
	rj_wire_set_count(object, "cores", resources->cores);
	rj_wire_set_count(object, "memory_mb", resources->memory_mb);
}

static int get_resources(const json_t *object, struct rj_resources *resources,
			 struct rj_error *err)
{
	if (rj_wire_get_u32(object, "slots", &resources->slots, err) ||
	    rj_wire_get_u32(object, "accelerators", &resources->accelerators,
			    err) ||
	    rj_wire_get_u32(object, "cores", &resources->cores, err))
		return -1;
	return rj_wire_get_u32(object, "memory_mb", &resources->memory_mb, err);
}

static void set_attempt(json_t *object, const struct rj_attempt *attempt,
			uint32_t member)
{
	rj_wire_set_hex(object, "job", attempt->job_id);
	rj_wire_set_hex(object, "owner", attempt->owner);
	rj_wire_set_count(object, "attempt", attempt->number);
	rj_wire_set_count(object, "member", member);
}

static int get_attempt(const json_t *object, struct rj_attempt *attempt,
		       uint32_t *member, struct rj_error *err)
{
	if (rj_wire_get_hex(object, "job", &attempt->job_id, err) ||
	    rj_wire_get_hex(object, "owner", &attempt->owner, err) ||
	    rj_wire_get_u32(object, "attempt", &attempt->number, err))
		return -1;
	return rj_wire_get_u32(object, "member", member, err);
}

static void digest_hex(char hex[DIGEST_HEX_BYTES], const struct rj_bytes *bytes)
{
	uint8_t digest[RJ_DIGEST_BYTES];

	rj_digest(digest, bytes, 1);
	sodium_bin2hex(hex, DIGEST_HEX_BYTES, digest, sizeof(digest));
}

/* A result goes with its length and digest: see get_result. */
static void set_result(json_t *object, const struct rj_bytes *result)
{
	char hex[DIGEST_HEX_BYTES];

	digest_hex(hex, result);
	rj_wire_set_bytes(object, "result", result);
	rj_wire_set_count(object, "result_length", result->length);
	json_object_set_new(object, "result_digest", json_string(hex));
}

/*
 * Read a result and check its length and digest.
 *
 * Guards against a result that was cut or mixed with another on its way: a
 * tutor would get part of a lesson pack. The digest holds because the worker
 * took it over what the task gave.
 */
static int get_result(void *mem, const json_t *object, struct rj_bytes *result,
		      struct rj_error *err)
{
	const char *sent =
		json_string_value(json_object_get(object, "result_digest"));
	char hex[DIGEST_HEX_BYTES];
	uint32_t length;

	if (rj_wire_get_bytes(mem, object, "result", result, err) ||
	    rj_wire_get_u32(object, "result_length", &length, err))
		return -1;
	digest_hex(hex, result);
	if (length != result->length || !sent || strcmp(sent, hex) != 0)
		return rj_error_set(err, RJ_ERR_MALFORMED,
				    "result: %u bytes do not match their "
				    "length or digest; ask again",
				    result->length);
	return 0;
}

/*
 * A call as the body of POST /v1/OP. The worker's address and the timeout
 * stay with the caller.
 */
char *rj_worker_wire_encode_call(void *mem, const struct rj_worker_call *call)
{
	json_t *object = json_object();
	char *text;

	assert(object);
	rj_wire_set_hex(object, "call", call->call_id);
	json_object_set_new(object, "op",
			    json_string(rj_worker_op_string[call->op]));
	json_object_set_new(object, "worker", json_string(call->worker));
	rj_wire_set_hex(object, "holder", call->holder);
	set_attempt(object, &call->attempt, call->member);
	rj_wire_set_count(object, "gang", call->gang);
	rj_wire_set_hex(object, "token", call->token);
	json_object_set_new(object, "account", json_string(call->account));
	json_object_set_new(object, "class", json_string(call->class_name));
	set_resources(object, &call->each);
	rj_wire_set_count(object, "life_us", call->life_us);
	rj_wire_set_count(object, "limit_us", call->limit_us);
	rj_wire_set_count(object, "throttle_percent", call->throttle_percent);
	rj_wire_set_count(object, "resume_us", call->resume_us);
	json_object_set_new(object, "wait", json_boolean(call->wait));
	rj_wire_set_count(object, "declared_us", call->declared_us);
	rj_wire_set_bytes(object, "body", &call->body);
	text = rj_wire_text(mem, object);
	json_decref(object);
	return text;
}

static int get_call(void *mem, const json_t *object,
		    struct rj_worker_call *call, struct rj_error *err)
{
	uint32_t op;

	if (rj_wire_get_hex(object, "call", &call->call_id, err) ||
	    rj_wire_get_choice(object, "op", rj_worker_op_string,
			       RJ_WORKER_OP_COUNT, &op, err) ||
	    rj_wire_get_name(object, "worker", call->worker, err) ||
	    rj_wire_get_hex(object, "holder", &call->holder, err) ||
	    get_attempt(object, &call->attempt, &call->member, err) ||
	    rj_wire_get_u32(object, "gang", &call->gang, err) ||
	    rj_wire_get_hex(object, "token", &call->token, err) ||
	    rj_wire_get_name(object, "account", call->account, err) ||
	    rj_wire_get_name(object, "class", call->class_name, err) ||
	    get_resources(object, &call->each, err) ||
	    rj_wire_get_u64(object, "life_us", &call->life_us, err) ||
	    rj_wire_get_u64(object, "limit_us", &call->limit_us, err) ||
	    rj_wire_get_u32(object, "throttle_percent", &call->throttle_percent,
			    err) ||
	    rj_wire_get_u64(object, "resume_us", &call->resume_us, err) ||
	    rj_wire_get_bool(object, "wait", &call->wait, err) ||
	    rj_wire_get_u64(object, "declared_us", &call->declared_us, err))
		return -1;
	call->op = op;
	return rj_wire_get_bytes(mem, object, "body", &call->body, err);
}

/*
 * Read what rj_worker_wire_encode_call wrote. Returns 0, or -1 with `err`
 * naming the first field that is wrong.
 */
int rj_worker_wire_decode_call(void *mem, const char *text, size_t length,
			       struct rj_worker_call *call,
			       struct rj_error *err)
{
	json_t *object = json_loadb(text, length, 0, NULL);
	int result;

	memset(call, 0, sizeof(*call));
	if (!object)
		return rj_error_set(err, RJ_ERR_MALFORMED,
				    "body: not JSON; send one object");
	result = get_call(mem, object, call, err);
	json_decref(object);
	return result;
}

static json_t *encode_task(const struct rj_task_report *task)
{
	json_t *object = json_object();

	assert(object);
	set_attempt(object, &task->attempt, task->member);
	rj_wire_set_hex(object, "holder", task->holder);
	rj_wire_set_count(object, "gang", task->gang);
	rj_wire_set_hex(object, "token", task->token);
	json_object_set_new(object, "account", json_string(task->account));
	json_object_set_new(object, "class", json_string(task->class_name));
	json_object_set_new(object, "state",
			    json_string(rj_task_state_string[task->state]));
	set_resources(object, &task->each);
	rj_wire_set_count(object, "ran_us", task->ran_us);
	rj_wire_set_count(object, "lease_left_us", task->lease_left_us);
	set_result(object, &task->result);
	return object;
}

static int decode_task(void *mem, const json_t *object,
		       struct rj_task_report *task, struct rj_error *err)
{
	uint32_t state;

	if (get_attempt(object, &task->attempt, &task->member, err) ||
	    rj_wire_get_hex(object, "holder", &task->holder, err) ||
	    rj_wire_get_u32(object, "gang", &task->gang, err) ||
	    rj_wire_get_hex(object, "token", &task->token, err) ||
	    rj_wire_get_name(object, "account", task->account, err) ||
	    rj_wire_get_name(object, "class", task->class_name, err) ||
	    rj_wire_get_choice(object, "state", rj_task_state_string,
			       RJ_TASK_STATE_COUNT, &state, err) ||
	    get_resources(object, &task->each, err) ||
	    rj_wire_get_u64(object, "ran_us", &task->ran_us, err) ||
	    rj_wire_get_u64(object, "lease_left_us", &task->lease_left_us, err))
		return -1;
	task->state = state;
	return get_result(mem, object, &task->result, err);
}

static json_t *encode_report(const struct rj_worker_report *report)
{
	json_t *object = json_object();
	json_t *tasks = json_array();

	assert(object && tasks);
	rj_wire_set_hex(object, "incarnation", report->incarnation);
	json_object_set_new(object, "leaving", json_boolean(report->leaving));
	set_resources(object, &report->capacity);
	for (uint32_t i = 0; i < report->task_count; i++)
		json_array_append_new(tasks, encode_task(&report->tasks[i]));
	json_object_set_new(object, "tasks", tasks);
	return object;
}

static int decode_report(void *mem, const json_t *object,
			 struct rj_worker_report *report, struct rj_error *err)
{
	const json_t *tasks = json_object_get(object, "tasks");

	if (rj_wire_get_hex(object, "incarnation", &report->incarnation, err) ||
	    rj_wire_get_bool(object, "leaving", &report->leaving, err) ||
	    get_resources(object, &report->capacity, err))
		return -1;
	if (!json_is_array(tasks))
		return rj_error_set(err, RJ_ERR_MALFORMED,
				    "tasks: missing or not a list");
	report->task_count = (uint32_t)json_array_size(tasks);
	report->tasks = talloc_zero_array(mem, struct rj_task_report,
					  report->task_count);
	assert(report->tasks);
	for (uint32_t i = 0; i < report->task_count; i++)
		if (decode_task(mem, json_array_get(tasks, i),
				&report->tasks[i], err))
			return -1;
	return 0;
}

/*
 * The answer to `call`, with what names the call, so that the caller can
 * tell a crossed answer.
 */
char *rj_worker_wire_encode_reply(void *mem, const struct rj_worker_call *call,
				  const struct rj_worker_reply *reply)
{
	json_t *object = json_object();
	char *text;

	assert(object);
	assert(reply->status != RJ_REPLY_LOST);
	rj_wire_set_hex(object, "call", call->call_id);
	json_object_set_new(object, "op",
			    json_string(rj_worker_op_string[call->op]));
	json_object_set_new(object, "worker", json_string(reply->worker));
	set_attempt(object, &reply->attempt, call->member);
	json_object_set_new(object, "status",
			    json_string(rj_reply_status_string[reply->status]));
	json_object_set_new(object, "reason",
			    json_string(rj_reason_string[reply->reason]));
	json_object_set_new(object, "leaving", json_boolean(reply->leaving));
	rj_wire_set_hex(object, "incarnation", reply->incarnation);
	rj_wire_set_hex(object, "token", reply->token);
	json_object_set_new(object, "state",
			    json_string(rj_task_state_string[reply->state]));
	rj_wire_set_count(object, "ran_us", reply->ran_us);
	set_result(object, &reply->result);
	if (call->op == RJ_WORKER_REPORT)
		json_object_set_new(object, "report",
				    encode_report(&reply->report));
	text = rj_wire_text(mem, object);
	json_decref(object);
	return text;
}

/*
 * Check that an answer is the one to `call`.
 *
 * Guards against a crossed answer: one buyer would get another's quote. It
 * shows as another call, operation, worker, attempt or member, which the
 * worker echoes from the call that it answers.
 */
static int check_echo(const json_t *object, const struct rj_worker_call *call,
		      struct rj_worker_reply *reply, struct rj_error *err)
{
	uint64_t call_id;
	uint32_t op;
	uint32_t member;

	if (rj_wire_get_hex(object, "call", &call_id, err) ||
	    rj_wire_get_choice(object, "op", rj_worker_op_string,
			       RJ_WORKER_OP_COUNT, &op, err) ||
	    rj_wire_get_name(object, "worker", reply->worker, err) ||
	    get_attempt(object, &reply->attempt, &member, err))
		return -1;
	if (call_id != call->call_id || op != call->op ||
	    strcmp(reply->worker, call->worker) != 0 ||
	    reply->attempt.job_id != call->attempt.job_id ||
	    reply->attempt.owner != call->attempt.owner ||
	    reply->attempt.number != call->attempt.number ||
	    member != call->member)
		return rj_error_set(err, RJ_ERR_MALFORMED,
				    "call: the answer is to another call; "
				    "drop it");
	reply->op = call->op;
	reply->call_id = call->call_id;
	return 0;
}

static int get_reply(void *mem, const json_t *object,
		     const struct rj_worker_call *call,
		     struct rj_worker_reply *reply, struct rj_error *err)
{
	uint32_t status;
	uint32_t reason;
	uint32_t state;

	if (check_echo(object, call, reply, err) ||
	    rj_wire_get_choice(object, "status", rj_reply_status_string,
			       RJ_REPLY_LOST, &status, err) ||
	    rj_wire_get_choice(object, "reason", rj_reason_string,
			       RJ_REASON_COUNT, &reason, err) ||
	    rj_wire_get_bool(object, "leaving", &reply->leaving, err) ||
	    rj_wire_get_hex(object, "incarnation", &reply->incarnation, err) ||
	    rj_wire_get_hex(object, "token", &reply->token, err) ||
	    rj_wire_get_choice(object, "state", rj_task_state_string,
			       RJ_TASK_STATE_COUNT, &state, err) ||
	    rj_wire_get_u64(object, "ran_us", &reply->ran_us, err) ||
	    get_result(mem, object, &reply->result, err))
		return -1;
	reply->status = status;
	reply->reason = reason;
	reply->state = state;
	if (call->op != RJ_WORKER_REPORT)
		return 0;
	return decode_report(mem, json_object_get(object, "report"),
			     &reply->report, err);
}

/*
 * Read the answer to `call`. Returns 0 when it is whole and answers this
 * very call; otherwise -1 with `err`, and nothing of `reply` may be used.
 */
int rj_worker_wire_decode_reply(void *mem, const char *text, size_t length,
				const struct rj_worker_call *call,
				struct rj_worker_reply *reply,
				struct rj_error *err)
{
	json_t *object = json_loadb(text, length, 0, NULL);
	int result;

	memset(reply, 0, sizeof(*reply));
	if (!object)
		return rj_error_set(err, RJ_ERR_MALFORMED,
				    "body: not JSON; the answer was cut");
	result = get_reply(mem, object, call, reply, err);
	json_decref(object);
	return result;
}
