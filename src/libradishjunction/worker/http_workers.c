#include "radishjunction/http_workers.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/clock.h"
#include "private/http_client.h"
#include "private/worker_wire.h"

/* Holds a result of the largest size in base64, or a report of many tasks. */
#define ANSWER_MAX_BYTES (4UL * 1024 * 1024)
#define STATUS_OK 200
#define STATUS_BAD_REQUEST 400

const char *const rj_worker_pool_string[RJ_WORKER_POOL_COUNT] = {
	[RJ_WORKER_POOL_RUN] = "run",
	[RJ_WORKER_POOL_CHECKPOINT] = "checkpoint",
	[RJ_WORKER_POOL_CONTROL] = "control",
};

static const uint32_t pool_connections_max[RJ_WORKER_POOL_COUNT] = {
	[RJ_WORKER_POOL_RUN] = RJ_WORKER_RUN_CONNECTIONS,
	[RJ_WORKER_POOL_CHECKPOINT] = RJ_WORKER_CHECKPOINT_CONNECTIONS,
	[RJ_WORKER_POOL_CONTROL] = RJ_WORKER_CONTROL_CONNECTIONS,
};

/* State of a call until its answer; owned by the HTTP client. */
struct pending {
	struct rj_http_workers *workers;
	struct rj_worker_call call; /* without its body */
};

/* Fill a reply that the adapter generates itself, without a worker's answer. */
static void fill_reply(struct rj_worker_reply *reply,
		       const struct rj_worker_call *call,
		       enum rj_reply_status status, enum rj_reason reason)
{
	memset(reply, 0, sizeof(*reply));
	reply->call_id = call->call_id;
	reply->op = call->op;
	memcpy(reply->worker, call->worker, sizeof(reply->worker));
	reply->attempt = call->attempt;
	reply->status = status;
	reply->reason = reason;
}

/*
 * Convert the result of an HTTP request to a reply.
 *
 * A call that took effect must never be reported as refused, or its job would
 * be started a second time elsewhere. Only a request that was never sent, or
 * that the worker rejected as malformed, is refused; any other outcome without
 * a complete and matching answer is lost.
 */
static void decode_reply(void *mem, const struct rj_worker_call *call,
			 const struct rj_http_result *result,
			 struct rj_worker_reply *reply)
{
	if (result->outcome == RJ_HTTP_ANSWERED &&
	    result->status == STATUS_OK &&
	    !rj_worker_wire_decode_reply(mem, result->body, call, reply, NULL))
		return;
	if (result->outcome == RJ_HTTP_NOT_SENT)
		fill_reply(reply, call, RJ_REPLY_REFUSED,
			   RJ_REASON_WORKER_LOST);
	else if (result->outcome == RJ_HTTP_ANSWERED &&
		 result->status == STATUS_BAD_REQUEST)
		fill_reply(reply, call, RJ_REPLY_REFUSED,
			   RJ_REASON_BAD_REQUEST);
	else
		fill_reply(reply, call, RJ_REPLY_LOST, RJ_REASON_NONE);
}

/* Deliver the reply to a call; its bytes are freed after delivery. */
static void call_done(void *private_data, const struct rj_http_result *result)
{
	const struct pending *pending = private_data;
	struct rj_event event = { .kind = RJ_EVENT_WORKER_REPLY };
	void *mem = talloc_new(NULL);

	assert(mem);
	decode_reply(mem, &pending->call, result, &event.u.worker_reply);
	event.now_us = rj_clock_now_us();
	pending->workers->sink->deliver(pending->workers->sink, &event);
	talloc_free(mem);
}

/*
 * The pool whose connections a call may use.
 *
 * Calls that block never use the control pool. Otherwise they could occupy all
 * connections and delay lease renewals, and the worker would stop tasks of a
 * live owner when their leases expire.
 */
static enum rj_worker_pool pool_for_call(const struct rj_worker_call *call)
{
	if (call->op == RJ_WORKER_RUN ||
	    (call->op == RJ_WORKER_START && call->wait))
		return RJ_WORKER_POOL_RUN;
	if (call->op == RJ_WORKER_CHECKPOINT)
		return RJ_WORKER_POOL_CHECKPOINT;
	return RJ_WORKER_POOL_CONTROL;
}

/*
 * Divide the connections allowed to one worker among the pools. Each pool gets
 * at least one; the run pool gets what the others leave.
 */
static void share_connections(struct rj_http_workers *workers, uint32_t total)
{
	uint32_t share[RJ_WORKER_POOL_COUNT];
	uint32_t control = total > RJ_WORKER_CONNECTIONS_MIN ?
				   RJ_WORKER_CONTROL_CONNECTIONS :
				   1;
	uint32_t checkpoint = (total - control) / 3;

	assert(total >= RJ_WORKER_CONNECTIONS_MIN &&
	       total <= RJ_WORKER_CONNECTIONS_OWNER);
	if (!checkpoint)
		checkpoint = 1;
	share[RJ_WORKER_POOL_CONTROL] = control;
	share[RJ_WORKER_POOL_CHECKPOINT] = checkpoint;
	share[RJ_WORKER_POOL_RUN] = total - control - checkpoint;
	workers->connections_max = total;
	for (uint32_t i = 0; i < RJ_WORKER_POOL_COUNT; i++)
		rj_http_client_set_host_connections_max(workers->pools[i],
							share[i]);
}

/* See rj_workers_ops: sends a POST whose path names the operation. */
static void http_call(struct rj_workers *base,
		      const struct rj_worker_call *call)
{
	struct rj_http_workers *workers = (struct rj_http_workers *)base;
	struct pending *pending = talloc_zero(NULL, struct pending);
	struct rj_http_request request = {
		.method = "POST",
		.timeout_us = call->timeout_us,
		.response_max_bytes = ANSWER_MAX_BYTES,
		.done = call_done,
		.private_data = pending,
	};
	char *path;

	assert(pending && call->op < RJ_WORKER_OP_COUNT);
	if (call->connections_max &&
	    call->connections_max != workers->connections_max)
		share_connections(workers, call->connections_max);
	pending->workers = workers;
	pending->call = *call;
	memset(&pending->call.body, 0, sizeof(pending->call.body));
	path = talloc_asprintf(pending, "/v1/%s",
			       rj_worker_op_string[call->op]);
	request.url = rj_http_url(pending, &call->address, path);
	request.body = rj_worker_wire_encode_call(pending, call);
	request.length = strlen(request.body);
	rj_http_client_send(workers->pools[pool_for_call(call)], &request);
}

/* See rj_workers_ops: open calls deliver no event. */
static void http_finish(struct rj_workers *base)
{
	struct rj_http_workers *workers = (struct rj_http_workers *)base;

	for (uint32_t i = 0; i < RJ_WORKER_POOL_COUNT; i++) {
		if (!workers->pools[i])
			continue;
		rj_http_client_finish(workers->pools[i]);
		TALLOC_FREE(workers->pools[i]);
	}
}

static const struct rj_workers_ops http_workers_ops = {
	.name = "http",
	.call = http_call,
	.finish = http_finish,
};

/*
 * Initialize an adapter that identifies itself to workers as `instance_name`.
 * Events are delivered to `sink` from the loop `ev`, never from within a call.
 * Returns 0, or -1 with `err`.
 */
int rj_http_workers_init(struct rj_http_workers *workers, void *mem,
			 struct tevent_context *ev, struct rj_sink *sink,
			 const char *instance_name, struct rj_error *err)
{
	memset(workers, 0, sizeof(*workers));
	workers->base.ops = &http_workers_ops;
	workers->sink = sink;
	for (uint32_t i = 0; i < RJ_WORKER_POOL_COUNT; i++) {
		struct rj_http_client *pool =
			talloc_zero(mem, struct rj_http_client);

		assert(pool);
		workers->pools[i] = pool;
		if (rj_http_client_init(pool, pool, ev, instance_name,
					pool_connections_max[i], err))
			goto fail;
	}
	return 0;

fail:
	http_finish(&workers->base);
	return -1;
}
