#include "support/checker_private.h"

#include <inttypes.h>
#include <string.h>

/*
 * Records a request that a caller sends to an instance, for the job that it
 * wants, `intent`.
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
 * Records that the caller no longer waits for an answer to the request.
 */
void checker_request_abandoned(struct checker *checker, uint64_t request_id)
{
	struct checker_request *request =
		g_hash_table_lookup(checker->requests, &request_id);

	if (request)
		request->abandoned = true;
}

/*
 * Records that the request has reached its instance, which must answer it.
 */
void checker_request_delivered(struct checker *checker, uint64_t request_id)
{
	struct checker_request *request =
		g_hash_table_lookup(checker->requests, &request_id);

	if (request)
		request->delivered = true;
}

static void mark_abandoned(gpointer key, gpointer value, gpointer data)
{
	struct checker_request *request = value;
	const uint32_t *node = data;

	if (request->node == *node)
		request->abandoned = true;
}

/*
 * Records that an instance has ended, which closes its callers' connections.
 */
void checker_node_ended(struct checker *checker, uint32_t node)
{
	g_hash_table_foreach(checker->requests, mark_abandoned, &node);
}

/* Returns whether `result` consists of the intent's result, once or several
 * times. */
static bool result_is_complete(const struct checker_intent *intent,
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

/* Returns whether the answer is final: a later lookup cannot return another.
 * For RJ_ANSWER_UNKNOWN this depends on the reason. */
static bool is_final(const struct rj_answer *answer)
{
	if (answer->kind == RJ_ANSWER_ACCEPTED)
		return false;
	if (answer->kind != RJ_ANSWER_UNKNOWN)
		return true;
	return answer->reason == RJ_REASON_WORKER_LOST ||
	       answer->reason == RJ_REASON_LEASE_EXPIRED ||
	       answer->reason == RJ_REASON_CANCELLED ||
	       answer->reason == RJ_REASON_KEY_EXPIRED;
}

/* Checks a not_run answer: the intent must not have run so far, and must be
 * known if it was accepted. */
static void check_not_run(struct checker *checker, uint64_t now_us,
			  const struct checker_request *request,
			  struct checker_intent *intent,
			  const struct rj_answer *answer)
{
	checker->checks[INVARIANT_NOT_RUN]++;
	if (intent->ran)
		checker_violation(checker, now_us, INVARIANT_NOT_RUN,
				  "intent %u: not_run (%s), but it had run",
				  request->intent,
				  rj_reason_string[answer->reason]);
	if (intent->accepted && answer->reason == RJ_REASON_NO_SUCH_JOB)
		checker_violation(checker, now_us, INVARIANT_ACCEPTED,
				  "accepted intent %u is no longer known",
				  request->intent);
	/* Without a key, a cancellation answers for all submissions. */
	if (request->op == RJ_REQUEST_SUBMIT)
		intent->refused++;
	else if (request->op == RJ_REQUEST_CANCEL && !intent->key)
		intent->refused = intent->requests;
}

/*
 * Records and checks an instance's answer to a request.
 */
void checker_answer(struct checker *checker, uint64_t now_us, uint32_t node,
		    uint64_t request_id, const struct rj_answer *answer)
{
	struct checker_request *request =
		g_hash_table_lookup(checker->requests, &request_id);
	struct checker_intent *intent;

	checker->checks[INVARIANT_ANSWER]++;
	if (!request || request->node != node) {
		checker_violation(checker, now_us, INVARIANT_ANSWER,
				  "node %u answered request %" PRIu64
				  ", which it never got",
				  node, request_id);
		return;
	}
	intent = checker_intent_get(checker, request->intent);
	if (request->answers++)
		checker_violation(checker, now_us, INVARIANT_ANSWER,
				  "request %" PRIu64 " was answered twice",
				  request_id);
	if (answer->kind == RJ_ANSWER_DONE) {
		if (!result_is_complete(intent, &answer->result))
			checker_violation(
				checker, now_us, INVARIANT_ANSWER,
				"intent %u: the result is foreign or partial",
				request->intent);
		if (!intent->completed)
			checker_violation(
				checker, now_us, INVARIANT_ANSWER,
				"intent %u: done, but no run of it completed",
				request->intent);
	}
	if (answer->kind == RJ_ANSWER_FAILED && !intent->ran)
		checker_violation(checker, now_us, INVARIANT_ANSWER,
				  "intent %u: failed (%s), but it never ran",
				  request->intent,
				  rj_reason_string[answer->reason]);
	if (answer->kind == RJ_ANSWER_NOT_RUN)
		check_not_run(checker, now_us, request, intent, answer);
	if (answer->kind == RJ_ANSWER_ACCEPTED)
		intent->accepted = true;
	if (!request->abandoned && is_final(answer) &&
	    intent->answered_us == RJ_NEVER_US) {
		intent->answered_us = now_us;
		intent->answer = answer->kind;
	}
}

/* Returns whether the request is delivered to the instance `*data` and
 * unanswered while its caller waits. */
static gboolean is_open_at(gpointer key, gpointer value, gpointer data)
{
	const struct checker_request *request = value;
	const uint32_t *node = data;

	return request->node == *node && request->delivered &&
	       !request->answers && !request->abandoned;
}

/*
 * Records that an instance has completed its graceful stop.
 */
void checker_exit(struct checker *checker, uint64_t now_us, uint32_t node)
{
	const struct checker_request *open =
		g_hash_table_find(checker->requests, is_open_at, &node);

	checker->checks[INVARIANT_STOP]++;
	if (open)
		checker_violation(
			checker, now_us, INVARIANT_STOP,
			"node %u exits with a request of intent %u open", node,
			open->intent);
}
