#include "private/worker_wire.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/wire.h"

/* JSON integers are signed 64-bit numbers. */
#define NUMBER_MAX INT64_MAX
/* Maximum number of tasks in a report; exceeds a worker's slots plus the
 * completed tasks it keeps. */
#define REPORT_TASKS_MAX 4096

static const struct rj_schema_field attempt_fields[] = {
	{ RJ_FIELD(id, rj_attempt, job_id) },
	{ RJ_FIELD(id, rj_attempt, owner) },
	{ RJ_FIELD(u32, rj_attempt, number), .max = UINT32_MAX },
};

static const struct rj_schema attempt_schema = {
	.fields = attempt_fields,
	.field_count = RJ_FIELD_COUNT(attempt_fields),
	.size = sizeof(struct rj_attempt),
	.allow_unknown = true,
};

static const struct rj_schema_field resources_fields[] = {
	{ RJ_FIELD(u32, rj_resources, slots), .max = UINT32_MAX },
	{ RJ_FIELD(u32, rj_resources, accelerators), .max = UINT32_MAX },
	{ RJ_FIELD(u32, rj_resources, cores), .max = UINT32_MAX },
	{ RJ_FIELD(u32, rj_resources, memory_mb), .max = UINT32_MAX },
};

static const struct rj_schema resources_schema = {
	.fields = resources_fields,
	.field_count = RJ_FIELD_COUNT(resources_fields),
	.size = sizeof(struct rj_resources),
	.allow_unknown = true,
};

static const struct rj_schema_field call_fields[] = {
	{ RJ_FIELD(id, rj_worker_call, call_id) },
	{ RJ_FIELD(choice, rj_worker_call, op), .choices = rj_worker_op_string,
	  .max = RJ_WORKER_OP_COUNT },
	{ RJ_FIELD(name, rj_worker_call, worker) },
	{ RJ_FIELD(id, rj_worker_call, holder) },
	{ RJ_FIELD(object, rj_worker_call, attempt), .optional = true,
	  .schema = &attempt_schema },
	{ RJ_FIELD(u32, rj_worker_call, member), .optional = true,
	  .max = UINT32_MAX },
	{ RJ_FIELD(u32, rj_worker_call, gang), .optional = true,
	  .max = UINT32_MAX },
	{ RJ_FIELD(id, rj_worker_call, token), .optional = true },
	{ RJ_FIELD(name, rj_worker_call, account), .optional = true },
	{ RJ_FIELD(name, rj_worker_call, class_name), .optional = true },
	{ RJ_FIELD(object, rj_worker_call, each), .optional = true,
	  .schema = &resources_schema },
	{ RJ_FIELD(u64, rj_worker_call, life_us), .optional = true,
	  .max = NUMBER_MAX },
	{ RJ_FIELD(u64, rj_worker_call, limit_us), .optional = true,
	  .max = NUMBER_MAX },
	{ RJ_FIELD(u32, rj_worker_call, throttle_percent), .optional = true,
	  .max = 100 },
	{ RJ_FIELD(u64, rj_worker_call, resume_us), .optional = true,
	  .max = NUMBER_MAX },
	{ RJ_FIELD(bool, rj_worker_call, wait), .optional = true },
	{ RJ_FIELD(id, rj_worker_call, known_version), .optional = true },
	{ RJ_FIELD(u64, rj_worker_call, declared_us), .optional = true,
	  .max = NUMBER_MAX },
	{ RJ_FIELD(base64, rj_worker_call, body), .optional = true,
	  .max = RJ_BODY_MAX_BYTES },
};

static const struct rj_schema call_schema = {
	.fields = call_fields,
	.field_count = RJ_FIELD_COUNT(call_fields),
	.size = sizeof(struct rj_worker_call),
	.allow_unknown = true,
};

/* A result with the length and digest that verify its integrity. */
struct wire_result {
	struct rj_bytes bytes;
	uint32_t length;
	uint8_t digest[RJ_DIGEST_BYTES];
};

static const struct rj_schema_field result_fields[] = {
	{ RJ_FIELD(base64, wire_result, bytes), .max = RJ_BODY_MAX_BYTES },
	{ RJ_FIELD(u32, wire_result, length), .max = RJ_BODY_MAX_BYTES },
	{ RJ_FIELD(hex, wire_result, digest), .size = RJ_DIGEST_BYTES },
};

static const struct rj_schema result_schema = {
	.fields = result_fields,
	.field_count = RJ_FIELD_COUNT(result_fields),
	.size = sizeof(struct wire_result),
	.allow_unknown = true,
};

struct wire_task {
	struct rj_task_report task; /* except its result */
	struct wire_result result;
};

#define TASK_FIELD(type_, member_)                    \
	.type = &rj_schema_##type_, .name = #member_, \
	.offset = offsetof(struct wire_task, task.member_)

static const struct rj_schema_field task_fields[] = {
	{ TASK_FIELD(object, attempt), .schema = &attempt_schema },
	{ TASK_FIELD(id, holder) },
	{ TASK_FIELD(u32, member), .max = UINT32_MAX },
	{ TASK_FIELD(u32, gang), .max = UINT32_MAX },
	{ TASK_FIELD(id, token) },
	{ TASK_FIELD(name, account), .optional = true },
	{ TASK_FIELD(name, class_name), .optional = true },
	{ TASK_FIELD(choice, state), .choices = rj_task_state_string,
	  .max = RJ_TASK_STATE_COUNT },
	{ TASK_FIELD(object, each), .schema = &resources_schema },
	{ TASK_FIELD(u64, ran_us), .max = NUMBER_MAX },
	{ TASK_FIELD(u64, lease_left_us), .max = NUMBER_MAX },
	{ RJ_FIELD(object, wire_task, result), .schema = &result_schema },
};

static const struct rj_schema task_schema = {
	.fields = task_fields,
	.field_count = RJ_FIELD_COUNT(task_fields),
	.size = sizeof(struct wire_task),
	.allow_unknown = true,
};

struct wire_report {
	uint64_t incarnation;
	bool leaving;
	struct rj_resources capacity;
	uint64_t version;
	bool unchanged;
	struct wire_task *tasks;
	uint32_t task_count;
};

static const struct rj_schema_field report_fields[] = {
	{ RJ_FIELD(id, wire_report, incarnation) },
	{ RJ_FIELD(bool, wire_report, leaving), .optional = true },
	{ RJ_FIELD(object, wire_report, capacity),
	  .schema = &resources_schema },
	{ RJ_FIELD(id, wire_report, version) },
	{ RJ_FIELD(bool, wire_report, unchanged), .optional = true },
	{ RJ_FIELD(array, wire_report, tasks), .optional = true,
	  .count_offset = offsetof(struct wire_report, task_count),
	  .schema = &task_schema, .max = REPORT_TASKS_MAX },
};

static const struct rj_schema report_schema = {
	.fields = report_fields,
	.field_count = RJ_FIELD_COUNT(report_fields),
	.size = sizeof(struct wire_report),
	.allow_unknown = true,
};

struct wire_reply {
	struct rj_worker_reply reply; /* except its result and report */
	uint32_t member; /* echoed, like the attempt */
	struct wire_result result;
	struct wire_report report;
};

#define REPLY_FIELD(type_, member_)                   \
	.type = &rj_schema_##type_, .name = #member_, \
	.offset = offsetof(struct wire_reply, reply.member_)

/* Fields of the reply to every operation except REPORT. */
static const struct rj_schema_field reply_fields[] = {
	{ REPLY_FIELD(id, call_id) },
	{ REPLY_FIELD(choice, op), .choices = rj_worker_op_string,
	  .max = RJ_WORKER_OP_COUNT },
	{ REPLY_FIELD(name, worker) },
	{ REPLY_FIELD(object, attempt), .schema = &attempt_schema },
	{ RJ_FIELD(u32, wire_reply, member), .max = UINT32_MAX },
	{ REPLY_FIELD(choice, status), .choices = rj_reply_status_string,
	  .max = RJ_REPLY_LOST }, /* which is never sent */
	{ REPLY_FIELD(choice, reason), .choices = rj_reason_string,
	  .max = RJ_REASON_COUNT },
	{ REPLY_FIELD(bool, leaving) },
	{ REPLY_FIELD(id, incarnation) },
	{ REPLY_FIELD(id, token) },
	{ REPLY_FIELD(choice, state), .choices = rj_task_state_string,
	  .max = RJ_TASK_STATE_COUNT },
	{ REPLY_FIELD(u64, ran_us), .max = NUMBER_MAX },
	{ RJ_FIELD(object, wire_reply, result), .schema = &result_schema },
};

/* Reports are polled continuously, so their reply omits the attempt and the
 * result, which do not apply to them. */
static const struct rj_schema_field report_reply_fields[] = {
	{ REPLY_FIELD(id, call_id) },
	{ REPLY_FIELD(choice, op), .choices = rj_worker_op_string,
	  .max = RJ_WORKER_OP_COUNT },
	{ REPLY_FIELD(name, worker) },
	{ REPLY_FIELD(choice, status), .choices = rj_reply_status_string,
	  .max = RJ_REPLY_LOST },
	{ REPLY_FIELD(choice, reason), .optional = true,
	  .choices = rj_reason_string, .max = RJ_REASON_COUNT },
	{ REPLY_FIELD(bool, leaving), .optional = true },
	{ RJ_FIELD(object, wire_reply, report), .schema = &report_schema },
};

static const struct rj_schema reply_schema = {
	.fields = reply_fields,
	.field_count = RJ_FIELD_COUNT(reply_fields),
	.size = sizeof(struct wire_reply),
	.allow_unknown = true,
};

static const struct rj_schema report_reply_schema = {
	.fields = report_reply_fields,
	.field_count = RJ_FIELD_COUNT(report_reply_fields),
	.size = sizeof(struct wire_reply),
	.allow_unknown = true,
};

static const struct rj_schema *reply_schema_for(enum rj_worker_op op)
{
	return op == RJ_WORKER_REPORT ? &report_reply_schema : &reply_schema;
}

/* Limit a duration such as RJ_NEVER_US to the range of JSON integers. */
static uint64_t clamp_duration(uint64_t duration_us)
{
	return duration_us < NUMBER_MAX ? duration_us : NUMBER_MAX;
}

/*
 * Encode a call as the body of POST /v1/OP. The worker's address and the
 * timeout are not encoded. Returns the text, a talloc child of `mem`.
 */
char *rj_worker_wire_encode_call(void *mem, const struct rj_worker_call *call)
{
	struct rj_worker_call wire = *call;

	wire.life_us = clamp_duration(call->life_us);
	wire.limit_us = clamp_duration(call->limit_us);
	wire.resume_us = clamp_duration(call->resume_us);
	wire.declared_us = clamp_duration(call->declared_us);
	return rj_wire_encode(mem, &call_schema, &wire);
}

/*
 * Decode the body of a call; its body is allocated on `mem`. Returns 0, or -1
 * with `err` naming the first invalid field.
 */
int rj_worker_wire_decode_call(void *mem, const char *text,
			       struct rj_worker_call *call,
			       struct rj_error *err)
{
	return rj_wire_decode(&call_schema, mem, text, call, err);
}

/* Fill in a result, which is not copied, with its length and digest. */
static void encode_result(struct wire_result *wire,
			  const struct rj_bytes *result)
{
	wire->bytes = *result;
	wire->length = result->length;
	rj_digest(wire->digest, result, 1);
}

/*
 * Verify a result against its length and digest, which the worker computes
 * over the task's output. Detects results that were truncated or mixed with
 * another in transit, which a caller would otherwise receive as complete.
 * Returns 0, or -1 with `err`.
 */
static int decode_result(const struct wire_result *wire,
			 struct rj_bytes *result, struct rj_error *err)
{
	uint8_t digest[RJ_DIGEST_BYTES];

	rj_digest(digest, &wire->bytes, 1);
	if (wire->length != wire->bytes.length ||
	    memcmp(wire->digest, digest, sizeof(digest)) != 0)
		return rj_error_set(err, RJ_ERR_MALFORMED,
				    "result: %u bytes do not match their "
				    "length or digest; retry the call",
				    wire->bytes.length);
	*result = wire->bytes;
	return 0;
}

/* Fill `wire` from a report to send; its tasks are a talloc child of `mem`. */
static void encode_report(void *mem, struct wire_report *wire,
			  const struct rj_worker_report *report)
{
	wire->incarnation = report->incarnation;
	wire->leaving = report->leaving;
	wire->capacity = report->capacity;
	wire->version = report->version;
	wire->unchanged = report->unchanged;
	wire->task_count = report->task_count;
	wire->tasks =
		talloc_zero_array(mem, struct wire_task, report->task_count);
	assert(wire->tasks);
	for (uint32_t i = 0; i < report->task_count; i++) {
		const struct rj_task_report *task = &report->tasks[i];

		wire->tasks[i].task = *task;
		wire->tasks[i].task.ran_us = clamp_duration(task->ran_us);
		wire->tasks[i].task.lease_left_us =
			clamp_duration(task->lease_left_us);
		encode_result(&wire->tasks[i].result, &task->result);
	}
}

/* Fill `report` from a received one; its tasks are a talloc child of `mem`.
 * Returns 0, or -1 with `err` if any result is invalid. */
static int decode_report(void *mem, const struct wire_report *wire,
			 struct rj_worker_report *report, struct rj_error *err)
{
	report->incarnation = wire->incarnation;
	report->leaving = wire->leaving;
	report->capacity = wire->capacity;
	report->version = wire->version;
	report->unchanged = wire->unchanged;
	report->task_count = wire->task_count;
	report->tasks =
		talloc_zero_array(mem, struct rj_task_report, wire->task_count);
	assert(report->tasks);
	for (uint32_t i = 0; i < wire->task_count; i++) {
		report->tasks[i] = wire->tasks[i].task;
		if (decode_result(&wire->tasks[i].result,
				  &report->tasks[i].result, err))
			return -1;
	}
	return 0;
}

/*
 * Encode the reply to `call`. It echoes the identity of the call, so that the
 * caller can detect an answer to another call. Returns the text, a talloc child
 * of `mem`.
 */
char *rj_worker_wire_encode_reply(void *mem, const struct rj_worker_call *call,
				  const struct rj_worker_reply *reply)
{
	struct wire_reply wire = { .reply = *reply, .member = call->member };
	char *text;

	assert(reply->status != RJ_REPLY_LOST);
	assert(reply->op == call->op && reply->call_id == call->call_id);
	wire.reply.ran_us = clamp_duration(reply->ran_us);
	encode_result(&wire.result, &reply->result);
	if (call->op == RJ_WORKER_REPORT)
		encode_report(NULL, &wire.report, &reply->report);
	text = rj_wire_encode(mem, reply_schema_for(call->op), &wire);
	talloc_free(wire.report.tasks);
	return text;
}

/*
 * Whether a reply belongs to `call`: the worker echoes the call id, operation,
 * worker, attempt and member. Without this check the answer to another call
 * would deliver the result of another caller's job.
 */
static bool reply_matches_call(const struct wire_reply *wire,
			       const struct rj_worker_call *call)
{
	const struct rj_attempt *attempt = &wire->reply.attempt;

	return wire->reply.call_id == call->call_id &&
	       wire->reply.op == call->op &&
	       !strcmp(wire->reply.worker, call->worker) &&
	       attempt->job_id == call->attempt.job_id &&
	       attempt->owner == call->attempt.owner &&
	       attempt->number == call->attempt.number &&
	       wire->member == call->member;
}

/*
 * Decode the reply to `call`; its data is allocated on `mem`. Returns 0 if it
 * is complete and belongs to `call`; otherwise -1 with `err`, and `reply` must
 * not be used.
 */
int rj_worker_wire_decode_reply(void *mem, const char *text,
				const struct rj_worker_call *call,
				struct rj_worker_reply *reply,
				struct rj_error *err)
{
	struct wire_reply wire;

	memset(reply, 0, sizeof(*reply));
	if (rj_wire_decode(reply_schema_for(call->op), mem, text, &wire, err))
		return -1;
	if (call->op == RJ_WORKER_REPORT) {
		wire.reply.attempt = call->attempt; /* not echoed in reports */
		wire.member = call->member;
	}
	if (!reply_matches_call(&wire, call))
		return rj_error_set(err, RJ_ERR_MALFORMED,
				    "call_id: the answer is to another call; "
				    "drop it");
	*reply = wire.reply;
	if (call->op != RJ_WORKER_REPORT)
		return decode_result(&wire.result, &reply->result, err);
	reply->incarnation = wire.report.incarnation;
	return decode_report(mem, &wire.report, &reply->report, err);
}
