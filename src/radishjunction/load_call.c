#include "load_call.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "http.h"
#include "private/clock.h"

#define ANSWER_MAX_BYTES (1024 * 1024)
#define SUBMIT_TIMEOUT_US (60 * RJ_US_PER_S)
/* A waiting look-up is asked again after this, perhaps elsewhere. */
#define WAIT_TIMEOUT_US (20 * RJ_US_PER_S)
/* Before trying another instance, or when no time to come back was told. */
#define RETRY_MS 200
#define JITTER_PERCENT 25

struct load_call {
	struct load *load;
	struct load_job *job;
	bool repeat;
	bool by_id; /* accepted: asks for its outcome */
	bool cancel_next;
	bool cancel_sent;
	char id[20];
	uint32_t instance;
	uint32_t tries;
	uint64_t began_us;
	uint64_t sent_us;
	const char *op; /* of the last sending: submit, wait or cancel */
};

/* What an answer says, or that there was none. */
struct reply {
	bool whole;
	enum rj_answer_kind answer;
	enum rj_reason reason;
	uint64_t retry_after_ms;
	const char *job; /* "" if not named */
	const json_t *result;
};

static void send_call(struct load_call *call);

/*
 * The index of `name` in a table, or `fallback`.
 */
static uint32_t index_of(const char *const *strings, uint32_t count,
			 const char *name, uint32_t fallback)
{
	for (uint32_t i = 0; name && i < count; i++)
		if (!strcmp(strings[i], name))
			return i;
	return fallback;
}

static void read_reply(struct reply *reply, const json_t *json)
{
	const char *job = json_string_value(json_object_get(json, "job"));
	uint32_t kind =
		index_of(rj_answer_kind_string, RJ_ANSWER_KIND_COUNT,
			 json_string_value(json_object_get(json, "answer")),
			 RJ_ANSWER_KIND_COUNT);

	memset(reply, 0, sizeof(*reply));
	reply->whole = kind < RJ_ANSWER_KIND_COUNT;
	if (reply->whole)
		reply->answer = (enum rj_answer_kind)kind;
	reply->reason = (enum rj_reason)index_of(
		rj_reason_string, RJ_REASON_COUNT,
		json_string_value(json_object_get(json, "reason")),
		RJ_REASON_NONE);
	reply->retry_after_ms = (uint64_t)json_integer_value(
		json_object_get(json, "retry_after_ms"));
	reply->job = job ? job : "";
	reply->result = json_object_get(json, "result");
}

static void write_record(const struct load *load, json_t *record)
{
	if (load->records) {
		json_dumpf(record, load->records, JSON_COMPACT);
		fputc('\n', load->records);
	}
	json_decref(record);
}

/*
 * Note one answer, or its absence.
 */
static void record_reply(const struct load_call *call,
			 const struct rj_http_result *result,
			 const struct reply *reply)
{
	char where[RJ_IP_BYTES + 16];

	if (!call->load->records)
		return;
	address_text(where, &call->load->targets.instances[call->instance]);
	write_record(
		call->load,
		json_pack("{s:s,s:i,s:b,s:i,s:s,s:s,s:s,s:i,s:s,s:s,s:s,s:I}",
			  "event", "answer", "request", (int)call->job->number,
			  "repeat", call->repeat, "try", (int)call->tries,
			  "instance", where, "call", call->op, "outcome",
			  rj_http_outcome_string[result->outcome], "status",
			  (int)result->status, "answer",
			  reply->whole ? rj_answer_kind_string[reply->answer] :
					 "none",
			  "reason", rj_reason_string[reply->reason], "job",
			  reply->job, "ms",
			  (json_int_t)((rj_clock_now_us() - call->sent_us) /
				       RJ_US_PER_MS)));
}

/*
 * Whether the result is not that of this request: another echo, or another
 * job than the answer names.
 */
static bool is_wrong(const struct load_call *call, const struct reply *reply)
{
	const char *echo =
		json_string_value(json_object_get(reply->result, "echo"));
	const char *job =
		json_string_value(json_object_get(reply->result, "job"));

	if (reply->answer == RJ_ANSWER_FAILED && !echo)
		return false;
	if (reply->answer != RJ_ANSWER_DONE &&
	    reply->answer != RJ_ANSWER_FAILED)
		return false;
	if (!echo || strcmp(echo, call->job->echo) != 0)
		return true;
	return !job || strcmp(job, reply->job) != 0 ||
	       (call->id[0] && strcmp(job, call->id) != 0);
}

/*
 * Tell the load and leave it; `reply` is NULL when time ran out.
 */
static void end_call(struct load_call *call, const struct reply *reply)
{
	const struct load_job *job = call->job;
	struct load_ending ending = { .tries = call->tries };

	ending.took_us = rj_clock_now_us() - call->began_us;
	if (reply) {
		ending.answered = true;
		ending.answer = reply->answer;
		ending.wrong = is_wrong(call, reply);
	}
	snprintf(ending.job, sizeof(ending.job), "%s",
		 reply && reply->job[0] ? reply->job : call->id);
	write_record(
		call->load,
		json_pack("{s:s,s:i,s:b,s:s,s:s,s:s,s:s,s:s,s:i,s:b,s:s,s:s,"
			  "s:s,s:i,s:I,s:b}",
			  "event", "final", "request", (int)job->number,
			  "repeat", call->repeat, "kind", job->kind->name,
			  "class", job->kind->class_name, "account",
			  job->kind->account, "key", job->key, "digest",
			  job->digest, "tasks", (int)job->kind->tasks,
			  "idempotent", job->kind->idempotent, "answer",
			  reply ? rj_answer_kind_string[reply->answer] : "none",
			  "reason",
			  rj_reason_string[reply ? reply->reason :
						   RJ_REASON_NONE],
			  "job", ending.job, "tries", (int)call->tries, "ms",
			  (json_int_t)(ending.took_us / RJ_US_PER_MS), "wrong",
			  ending.wrong));
	call->load->call_ended(call->load, call->job, call->repeat, &ending);
	talloc_free(call);
}

static void retry_due(struct tevent_context *ev, struct tevent_timer *timer,
		      struct timeval now, void *private_data)
{
	talloc_free(timer);
	send_call(private_data);
}

/*
 * Send again after `delay_ms` and some jitter, or end when that is too late.
 */
static void send_later(struct load_call *call, uint64_t delay_ms)
{
	struct load *load = call->load;
	uint64_t jitter =
		rj_random64(&load->random) % (JITTER_PERCENT * delay_ms + 1);
	uint64_t delay_us =
		delay_ms * RJ_US_PER_MS + jitter * RJ_US_PER_MS / 100;

	if (rj_clock_now_us() + delay_us >= load->deadline_us) {
		end_call(call, NULL);
		return;
	}
	if (!tevent_add_timer(load->ev, call, rj_clock_timeval_in(delay_us),
			      retry_due, call))
		abort();
}

static void use_next_instance(struct load_call *call)
{
	call->instance = (call->instance + 1) % call->load->targets.count;
}

/*
 * Whether a refused request is refused for good: sending the same again
 * cannot help.
 */
static bool is_final_refusal(const struct reply *reply)
{
	switch (reply->reason) {
	case RJ_REASON_BAD_REQUEST:
	case RJ_REASON_TOO_LARGE:
	case RJ_REASON_UNAUTHORIZED:
	case RJ_REASON_NO_SUCH_CLASS:
	case RJ_REASON_KEY_REQUIRED:
	case RJ_REASON_KEY_REUSED:
	case RJ_REASON_KEY_EXPIRED:
	case RJ_REASON_NEVER_FITS:
	case RJ_REASON_DEADLINE_PASSED:
	case RJ_REASON_CANCELLED:
		return true;
	case RJ_REASON_DEADLINE_TOO_SOON:
		return !reply->retry_after_ms;
	default:
		return false;
	}
}

/*
 * Whether sending the submission again cannot run it twice.
 */
static bool may_send_again(const struct load_call *call)
{
	return call->by_id || call->job->key[0] || call->job->kind->idempotent;
}

/*
 * Go on after a whole answer.
 */
static void handle_reply(struct load_call *call, const struct reply *reply)
{
	uint64_t delay_ms =
		reply->retry_after_ms ? reply->retry_after_ms : RETRY_MS;

	if (reply->job[0])
		snprintf(call->id, sizeof(call->id), "%s", reply->job);
	switch (reply->answer) {
	case RJ_ANSWER_ACCEPTED:
		call->by_id = true;
		call->cancel_next = call->job->cancelled && !call->cancel_sent;
		send_later(call, call->cancel_next ? RETRY_MS : 0);
		return;
	case RJ_ANSWER_UNKNOWN:
		if (!may_send_again(call) ||
		    (!reply->retry_after_ms &&
		     reply->reason != RJ_REASON_IN_PROGRESS &&
		     !call->job->kind->idempotent)) {
			end_call(call, reply);
			return;
		}
		if (reply->reason != RJ_REASON_IN_PROGRESS)
			use_next_instance(call);
		send_later(call, delay_ms);
		return;
	case RJ_ANSWER_NOT_RUN:
		/* A new instance may not have read of the job yet. */
		if (call->by_id ? reply->reason != RJ_REASON_NO_SUCH_JOB :
				  is_final_refusal(reply)) {
			end_call(call, reply);
			return;
		}
		use_next_instance(call);
		send_later(call, delay_ms);
		return;
	default:
		end_call(call, reply);
	}
}

/*
 * What became of one sending.
 */
static void call_done(void *private_data, const struct rj_http_result *result)
{
	/* The transfer owns only this pointer: the call outlives it. */
	struct load_call *call = *(struct load_call **)private_data;
	struct reply reply = { 0 };
	json_t *json = NULL;

	if (result->outcome == RJ_HTTP_ANSWERED)
		json = json_loadb(result->body, result->length, 0, NULL);
	read_reply(&reply, json);
	record_reply(call, result, &reply);
	if (reply.whole) {
		handle_reply(call, &reply);
	} else if (result->outcome == RJ_HTTP_NOT_SENT ||
		   may_send_again(call)) {
		use_next_instance(call);
		send_later(call, RETRY_MS);
	} else {
		reply.answer = RJ_ANSWER_UNKNOWN;
		end_call(call, &reply);
	}
	json_decref(json);
}

/*
 * Fill method and path of the next sending, as talloc children of `mem`.
 */
static void choose_op(struct load_call *call, struct rj_http_send *send,
		      void *mem, const char *where)
{
	const char *rest = "";

	if (!call->by_id) {
		call->op = "submit";
		send->method = "POST";
		send->url = talloc_asprintf(mem, "http://%s/v1/jobs", where);
		send->body = call->job->text;
		send->length = strlen(call->job->text);
		return;
	}
	send->body = "";
	send->timeout_us = WAIT_TIMEOUT_US;
	call->op = call->cancel_next ? "cancel" : "wait";
	send->method = call->cancel_next ? "DELETE" : "GET";
	if (!call->cancel_next)
		rest = "?wait=1";
	call->cancel_sent = call->cancel_sent || call->cancel_next;
	call->cancel_next = false;
	send->url = talloc_asprintf(mem, "http://%s/v1/jobs/%s%s", where,
				    call->id, rest);
}

/*
 * Send what is next.
 */
static void send_call(struct load_call *call)
{
	struct load *load = call->load;
	void *mem = talloc_new(NULL);
	uint32_t kind = (uint32_t)(call->job->kind - load->mix->kinds);
	const char *headers[3] = { NULL };
	char where[RJ_IP_BYTES + 16];
	struct rj_http_send send = {
		.headers = headers,
		.timeout_us = SUBMIT_TIMEOUT_US,
		.answer_max_bytes = ANSWER_MAX_BYTES,
		.done = call_done,
	};
	uint64_t left_us;
	struct load_call **owner = talloc(NULL, struct load_call *);

	assert(mem && owner);
	*owner = call;
	send.private_data = owner;
	call->tries++;
	call->sent_us = rj_clock_now_us();
	left_us = load->deadline_us > call->sent_us ?
			  load->deadline_us - call->sent_us :
			  0;
	address_text(where, &load->targets.instances[call->instance]);
	choose_op(call, &send, mem, where);
	if (send.timeout_us > left_us)
		send.timeout_us = left_us;
	headers[0] = talloc_asprintf(mem, "Authorization: Bearer %s",
				     load->tokens[kind]);
	if (!call->by_id && call->job->key[0])
		headers[1] = talloc_asprintf(mem, "Idempotency-Key: %s",
					     call->job->key);
	rj_http_client_send(&load->client, &send);
	talloc_free(mem);
}

/*
 * Send a request, or its repeat at another instance, until it has a final
 * answer.
 */
void load_call_start(struct load *load, struct load_job *job, bool repeat)
{
	struct load_call *call = talloc_zero(load->mem, struct load_call);

	assert(call);
	call->load = load;
	call->job = job;
	call->repeat = repeat;
	call->instance = repeat ? job->repeat_instance : job->instance;
	call->began_us = rj_clock_now_us();
	send_call(call);
}
