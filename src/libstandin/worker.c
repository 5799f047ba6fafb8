#include "worker.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/clock.h"
#include "private/wire.h"
#include "private/worker_wire.h"

/* Allows a body of the maximum size as base64, and the other fields. */
#define BODY_MAX_BYTES (2U * RJ_BODY_MAX_BYTES)

/* A call that waits for the end of its task; talloc child of its request. */
struct waiter {
	struct rj_list link;
	struct rj_http_exchange *request;
	struct rj_worker_call call;
	struct rj_worker_reply reply;
};

static void arm_timer(struct rj_standin_worker *worker);

/* Sends an answer, subject to the injected faults. */
static void send_answer(struct rj_standin_worker *worker,
			struct rj_http_exchange *request,
			const struct rj_worker_call *call,
			const struct rj_worker_reply *reply)
{
	char *text = rj_worker_wire_encode_reply(request, call, reply);
	size_t length = strlen(text);
	char *last = worker->last_answer;

	worker->last_answer = talloc_strdup(worker->mem, text);
	if (worker->lose_answers) {
		worker->lose_answers--;
		rj_http_exchange_abort(request);
	} else if (worker->cut_answers) {
		worker->cut_answers--;
		rj_http_exchange_answer(request, MHD_HTTP_OK, text, length / 2);
	} else if (worker->cross_answers && last) {
		worker->cross_answers--;
		rj_http_exchange_answer(request, MHD_HTTP_OK, last,
					strlen(last));
	} else {
		rj_http_exchange_answer(request, MHD_HTTP_OK, text, length);
	}
	talloc_free(last);
}

/* Answers the waiting calls whose tasks have ended. */
static void answer_waiters(struct rj_standin_worker *worker, uint64_t now_us)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &worker->waiting) {
		struct waiter *waiter = RJ_CONTAINER(at, struct waiter, link);
		struct rj_task *task =
			rj_tasks_find(&worker->tasks, &waiter->call);

		if (waiter->request->aborted || !task ||
		    rj_task_is_active(task))
			continue;
		rj_list_remove(at);
		rj_tasks_fill_reply(&worker->tasks, task, now_us,
				    &waiter->reply);
		if (waiter->call.op != RJ_WORKER_CHECKPOINT)
			task->end_reported =
				!rj_http_exchange_disconnected(waiter->request);
		send_answer(worker, waiter->request, &waiter->call,
			    &waiter->reply);
		talloc_free(waiter);
	}
}

/* Advances the tasks when a lease, task or checkpoint is due. */
static void task_due(struct tevent_context *ev, struct tevent_timer *timer,
		     struct timeval now, void *private_data)
{
	struct rj_standin_worker *worker = private_data;
	uint64_t now_us = rj_clock_now_us();

	worker->timer = NULL;
	rj_tasks_advance(&worker->tasks, now_us);
	if (!worker->fault_injector.paused)
		answer_waiters(worker, now_us);
	arm_timer(worker);
}

/* Arms the timer for the next due time. */
static void arm_timer(struct rj_standin_worker *worker)
{
	uint64_t due_us = rj_tasks_due_us(&worker->tasks);
	uint64_t now_us = rj_clock_now_us();

	TALLOC_FREE(worker->timer);
	if (due_us == RJ_NEVER_US)
		return;
	worker->timer = tevent_add_timer(
		worker->ev, worker->mem,
		rj_clock_timeval_in(due_us > now_us ? due_us - now_us : 0),
		task_due, worker);
	assert(worker->timer);
}

/* Whether the call is answered only once its task is no longer active. */
static bool waits_for_end(const struct rj_worker_call *call,
			  const struct rj_worker_reply *reply,
			  const struct rj_task *task)
{
	if (!task || reply->status != RJ_REPLY_OK)
		return false;
	if (call->op == RJ_WORKER_CHECKPOINT)
		return task->saving;
	return call->op == RJ_WORKER_RUN ||
	       (call->op == RJ_WORKER_START && call->wait);
}

/* Removes a call from the list when its request ends. */
static int waiter_destructor(struct waiter *waiter)
{
	rj_list_remove(&waiter->link);
	return 0;
}

/* Keeps a call until answer_waiters finds its task ended. */
static void wait_for_end(struct rj_standin_worker *worker,
			 struct rj_http_exchange *request,
			 const struct rj_worker_call *call,
			 const struct rj_worker_reply *reply)
{
	struct waiter *waiter = talloc_zero(request, struct waiter);

	assert(waiter);
	waiter->request = request;
	waiter->call = *call;
	waiter->reply = *reply;
	rj_list_init(&waiter->link);
	rj_list_append(&worker->waiting, &waiter->link);
	talloc_set_destructor(waiter, waiter_destructor);
}

/* Fills in the report, or a cached one that is less than report_lag_us old. */
static void fill_report(struct rj_standin_worker *worker, void *mem,
			uint64_t now_us, struct rj_worker_report *report)
{
	bool fresh =
		worker->cached_report_mem &&
		worker->cached_report.incarnation ==
			worker->tasks.incarnation &&
		now_us < worker->cached_report_at_us + worker->report_lag_us;

	if (!worker->report_lag_us) {
		rj_tasks_report(&worker->tasks, mem, now_us, report);
		return;
	}
	if (!fresh) {
		talloc_free(worker->cached_report_mem);
		worker->cached_report_mem =
			talloc_named_const(worker->mem, 0, "report");
		rj_tasks_report(&worker->tasks, worker->cached_report_mem,
				now_us, &worker->cached_report);
		worker->cached_report_at_us = now_us;
	}
	*report = worker->cached_report;
}

/* Executes a call and answers it, at once or when its task has ended. */
static void handle_call(struct rj_standin_worker *worker,
			struct rj_http_exchange *request,
			const struct rj_worker_call *call)
{
	uint64_t now_us = rj_clock_now_us();
	struct rj_worker_reply reply;
	struct rj_task *task =
		rj_tasks_call(&worker->tasks, call, now_us, &reply);
	bool waits = waits_for_end(call, &reply, task);

	if (call->op == RJ_WORKER_REPORT) {
		fill_report(worker, request, now_us, &reply.report);
		rj_worker_report_set_version(&reply.report,
					     call->known_version);
	}
	if (waits && rj_task_is_active(task)) {
		wait_for_end(worker, request, call, &reply);
	} else {
		if (waits && call->op != RJ_WORKER_CHECKPOINT)
			task->end_reported = true;
		send_answer(worker, request, call, &reply);
	}
	answer_waiters(worker, now_us);
	arm_timer(worker);
}

/* GET /v1/ran: all task starts, to be checked against callers' answers. */
static void handle_ran(struct rj_standin_worker *worker,
		       struct rj_http_exchange *request)
{
	json_t *object = json_pack("{s:s, s:o}", "worker", worker->options.name,
				   "ran", rj_tasks_starts_json(&worker->tasks));
	char *text = rj_wire_text(request, object);

	json_decref(object);
	rj_http_exchange_answer(request, MHD_HTTP_OK, text, strlen(text));
}

/* Applies the fields of POST /v1/fault. Returns 0, or -1 if one has another
 * type. */
static int set_faults(struct rj_standin_worker *worker, const json_t *faults,
		      const struct rj_http_exchange *request)
{
	uint64_t lag_ms = worker->report_lag_us / RJ_US_PER_MS;
	bool restart = false;

	if (rj_fault_read_bool(faults, "fail_all", &worker->tasks.fail_all) ||
	    rj_fault_read_bool(faults, "leaving", &worker->tasks.leaving) ||
	    rj_fault_read_bool(faults, "restart", &restart) ||
	    rj_fault_read_count(faults, "report_lag_ms", &lag_ms) ||
	    rj_fault_read_count(faults, "lose_next_answers",
				&worker->lose_answers) ||
	    rj_fault_read_count(faults, "cut_next_answers",
				&worker->cut_answers) ||
	    rj_fault_read_count(faults, "cross_next_answers",
				&worker->cross_answers) ||
	    rj_fault_injector_configure(&worker->fault_injector,
					&worker->server, faults, request))
		return -1;
	worker->report_lag_us = lag_ms * RJ_US_PER_MS;
	if (restart) {
		rj_tasks_restart(&worker->tasks);
		rj_http_server_abort_open(&worker->server, request);
	}
	return 0;
}

/* POST /v1/fault. Leases run on during a fault, so the tasks are advanced
 * before waiting calls are answered. */
static void handle_fault(struct rj_standin_worker *worker,
			 struct rj_http_exchange *request)
{
	json_t *faults =
		json_loadb(request->body.data, request->body.length, 0, NULL);

	if (set_faults(worker, faults, request)) {
		rj_http_exchange_error(request, MHD_HTTP_BAD_REQUEST,
				       "fault: a field has the wrong type; see "
				       "the worker protocol");
		json_decref(faults);
		return;
	}
	json_decref(faults);
	rj_http_exchange_answer(request, MHD_HTTP_OK, "{}", 2);
	rj_tasks_advance(&worker->tasks, rj_clock_now_us());
	if (!worker->fault_injector.paused)
		answer_waiters(worker, rj_clock_now_us());
	arm_timer(worker);
	if (worker->options.changed)
		worker->options.changed(worker);
}

/* POST /v1/OP with a call whose operation must match the path. */
static void dispatch(void *private_data, struct rj_http_exchange *request)
{
	struct rj_standin_worker *worker = private_data;
	const char *op = request->path + strlen("/v1/");
	struct rj_worker_call call;
	struct rj_error err;

	if (rj_worker_wire_decode_call(request, request->body.data, &call,
				       &err)) {
		rj_http_exchange_error(request, MHD_HTTP_BAD_REQUEST,
				       err.message);
		return;
	}
	if (strcmp(op, rj_worker_op_string[call.op]) != 0 ||
	    strcmp(call.worker, worker->options.name) != 0) {
		rj_http_exchange_error(request, MHD_HTTP_BAD_REQUEST,
				       "op, worker: not those of this path and "
				       "worker; ask the one that is meant");
		return;
	}
	handle_call(worker, request, &call);
}

/* /v1/fault and /v1/ran bypass the fault injector, so that a pause can be
 * ended and starts can be checked during faults. */
static void receive(void *private_data, struct rj_http_exchange *request)
{
	struct rj_standin_worker *worker = private_data;

	if (!strcmp(request->path, "/v1/fault"))
		handle_fault(worker, request);
	else if (!strcmp(request->path, "/v1/ran"))
		handle_ran(worker, request);
	else if (!strncmp(request->path, "/v1/", strlen("/v1/")))
		rj_fault_injector_submit(&worker->fault_injector, request);
	else
		rj_http_exchange_error(
			request, MHD_HTTP_NOT_FOUND,
			"path: unknown; see the worker protocol");
}

/*
 * Listens on options->address and serves it from `ev`. Returns 0, or -1 with
 * `err` if the server cannot listen.
 */
int rj_standin_worker_init(struct rj_standin_worker *worker, void *mem,
			   struct tevent_context *ev,
			   const struct rj_standin_worker_options *options,
			   struct rj_error *err)
{
	struct rj_http_server_options server_options = {
		.address = options->address,
		.connections_max = options->connections_max,
		.body_max_bytes = BODY_MAX_BYTES,
		.handle = receive,
		.private_data = worker,
	};

	memset(worker, 0, sizeof(*worker));
	worker->options = *options;
	worker->ev = ev;
	rj_list_init(&worker->waiting);
	if (rj_http_server_init(&worker->server, mem, ev, &server_options, err))
		return -1;
	worker->mem = talloc_named_const(mem, 0, "worker");
	assert(worker->mem);
	rj_fault_injector_init(&worker->fault_injector, worker->mem, ev,
			       dispatch, worker);
	rj_tasks_init(&worker->tasks, worker->mem, options->name,
		      &options->capacity);
	return 0;
}

/*
 * Closes all connections and frees all tasks. Harmless when repeated.
 */
void rj_standin_worker_finish(struct rj_standin_worker *worker)
{
	if (!worker->mem)
		return;
	rj_http_server_finish(&worker->server);
	rj_fault_injector_finish(&worker->fault_injector);
	rj_tasks_finish(&worker->tasks);
	TALLOC_FREE(worker->mem);
}
