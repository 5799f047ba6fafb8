#include <assert.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "private/clock.h"
#include "private/wire.h"
#include "standin.h"

#define BODY_MAX_BYTES (1024 * 1024)
#define CONNECTIONS_MAX 64
#define RACK_WORKERS 4
/* Completions that an answer lists. */
#define COMPLETIONS_MAX 500
/* A stalled run reports at most this progress. */
#define STALLED_PERCENT_MAX 60
/* Time from a crash to the next incarnation. */
#define DOWN_US (100 * RJ_US_PER_MS)
/* Heartbeats that are missed before an entry expires. */
#define EXPIRY_HEARTBEATS 3

/* A long poll that waits for a completion. */
struct waiting_poll {
	struct standin_worker *worker;
	struct rj_http_exchange *exchange;
	uint64_t until_ms;
	struct waiting_poll **disconnect_hook; /* freed with the exchange */
};

/*
 * Returns the time in milliseconds by the clock of the stand-in.
 */
uint64_t standin_now_ms(void)
{
	return rj_clock_now_us() / RJ_US_PER_MS;
}

/* Returns the worker's clock, which starts anew in each incarnation. */
static uint64_t clock_ms(const struct standin_worker *worker)
{
	return rj_clock_now_us() / RJ_US_PER_MS - worker->incarnation + 1;
}

/* Prints an event of a run for a test to read. */
static void print_event(const struct standin_worker *worker, const char *event,
			const char *name, json_int_t run, const char *detail)
{
	if (!worker->prints_events)
		return;
	printf("{\"event\":\"%s\",\"worker\":\"%s\",\"task\":\"%s\","
	       "\"run\":%" JSON_INTEGER_FORMAT
	       ",\"how\":\"%s\",\"t_ms\":%" G_GUINT64_FORMAT "}\n",
	       event, worker->id, name, run, detail, standin_now_ms());
	fflush(stdout);
}

/* Sends an answer with the worker's clock; takes `body`. */
static void send_answer(const struct standin_worker *worker,
			struct rj_http_exchange *exchange, unsigned int status,
			json_t *body)
{
	char *text;

	json_object_set_new(body, "ClockMs",
			    json_integer((json_int_t)clock_ms(worker)));
	text = rj_wire_text(exchange, body);
	rj_http_exchange_answer(exchange, status, text, strlen(text));
	json_decref(body);
}

/* Rejects an order. */
static void reject_order(const struct standin_worker *worker,
			 struct rj_http_exchange *exchange, const char *reason)
{
	send_answer(worker, exchange, 409,
		    json_pack("{s:s}", "Reason", reason));
}

/* Returns the first completions, as many as an answer holds. */
static json_t *first_completions(const struct standin_worker *worker)
{
	json_t *rows = json_array();

	for (size_t i = 0;
	     i < MIN(json_array_size(worker->finished), COMPLETIONS_MAX); i++)
		json_array_append(rows, json_array_get(worker->finished, i));
	return rows;
}

/* Answers a poll with the lists of runs and completions. */
static void answer_poll(struct standin_worker *worker,
			struct rj_http_exchange *exchange)
{
	json_t *rows = json_array();
	json_int_t percent_max =
		worker->faults.stall_runs ? STALLED_PERCENT_MAX : 100;
	const char *name;
	json_t *run;

	json_object_foreach(worker->running, name, run)
	{
		uint64_t now_ms = clock_ms(worker);
		json_int_t from =
			json_integer_value(json_object_get(run, "from_ms"));
		json_int_t until =
			json_integer_value(json_object_get(run, "until_ms"));
		json_int_t percent = ((json_int_t)now_ms - from) * 100 /
				     MAX(until - from, 1);

		json_array_append_new(
			rows, json_pack("[s,O,s,I,i]", name,
					json_object_get(run, "run"), "",
					CLAMP(percent, 0, percent_max), 0));
	}
	send_answer(worker, exchange, 200,
		    json_pack("{s:I,s:o,s:o}", "born",
			      (json_int_t)worker->incarnation, "Running", rows,
			      "Finished", first_completions(worker)));
}

/* Drops a waiting poll whose client has disconnected. */
static int detach_poll(struct waiting_poll **disconnect_hook)
{
	if (*disconnect_hook) {
		g_ptr_array_remove((*disconnect_hook)->worker->waiting_polls,
				   *disconnect_hook);
		g_free(*disconnect_hook);
	}
	return 0;
}

/* Answers the polls whose wait time has passed, or all. */
static void answer_waiting_polls(struct standin_worker *worker, bool all)
{
	for (guint i = worker->waiting_polls->len; i > 0; i--) {
		struct waiting_poll *poll = worker->waiting_polls->pdata[i - 1];

		if (!all && clock_ms(worker) < poll->until_ms)
			continue;
		g_ptr_array_remove_index(worker->waiting_polls, i - 1);
		*poll->disconnect_hook = NULL;
		answer_poll(worker, poll->exchange);
		g_free(poll);
	}
}

/* Completes a run; it stays listed until a poll has acknowledged it. */
static void complete_run(struct standin_worker *worker, const char *name,
			 const char *outcome)
{
	json_t *run = json_object_get(worker->running, name);
	json_t *number = json_object_get(run, "run");
	uint64_t now_ms = clock_ms(worker);

	json_array_append_new(worker->finished,
			      json_pack("[I,s,O,s,s]",
					(json_int_t)++worker->completion_count,
					name, number, outcome, ""));
	g_array_append_val(worker->completed_ms, now_ms);
	json_object_set(worker->closed_runs, name, number);
	print_event(worker, "end", name, json_integer_value(number), outcome);
	if (!strcmp(outcome, "done"))
		json_object_set_new(
			worker->completed_counts, name,
			json_integer(1 +
				     json_integer_value(json_object_get(
					     worker->completed_counts, name))));
	json_object_del(worker->running, name);
}

/*
 * Completes the runs that are due or whose lease has expired, and answers
 * waiting polls.
 */
void standin_worker_advance(struct standin_worker *worker)
{
	uint64_t now_ms = clock_ms(worker);
	const char *outcome = worker->faults.fail_runs ? "failed" : "done";
	bool completed = false;
	const char *name;
	json_t *run;
	void *next;

	if (worker->down)
		return;
	if (now_ms > worker->lease_until_ms)
		worker->lease_expired_ms = now_ms;

	json_object_foreach_safe(worker->running, next, name, run)
	{
		uint64_t until_ms = (uint64_t)json_integer_value(
			json_object_get(run, "until_ms"));

		if (now_ms <= worker->lease_until_ms &&
		    (now_ms < until_ms || worker->faults.stall_runs))
			continue;
		complete_run(worker, name,
			     now_ms > worker->lease_until_ms ? "lapsed" :
							       outcome);
		completed = true;
	}
	answer_waiting_polls(worker, completed);
}

/* Handles the fencing token and the lease that all orders carry. Returns false
 * when it has rejected the order. */
static bool accept_order(struct standin_worker *worker,
			 struct rj_http_exchange *exchange, const json_t *body)
{
	uint64_t token = (uint64_t)json_integer_value(
		json_object_get(body, "FencingToken"));
	uint64_t deadline_ms = (uint64_t)json_integer_value(
		json_object_get(body, "DeadlineMs"));
	uint64_t deadline_max_ms = clock_ms(worker) + worker->log->lease_max_ms;

	if (token < worker->token) {
		reject_order(worker, exchange, "fence");
		return false;
	}
	worker->token = token;
	worker->lease_until_ms =
		MAX(worker->lease_until_ms, MIN(deadline_ms, deadline_max_ms));
	return true;
}

/* Starts a run; the spec is its duration in milliseconds. */
static void handle_start(struct standin_worker *worker,
			 struct rj_http_exchange *exchange, const json_t *body)
{
	const char *name = json_string_value(json_object_get(body, "Task"));
	const char *spec = json_string_value(json_object_get(body, "Spec"));
	json_t *number = json_object_get(body, "RunId");
	json_t *run = json_object_get(worker->running, name);
	json_int_t last_closed =
		json_integer_value(json_object_get(worker->closed_runs, name));
	uint64_t now_ms = clock_ms(worker);
	uint64_t until_ms = now_ms + g_ascii_strtoull(spec, NULL, 10);

	if (worker->faults.refuse_starts) {
		rj_http_exchange_error(exchange, 503,
				       "unhealthy, as requested");
		return;
	}
	if (!accept_order(worker, exchange, body))
		return;
	if (run && json_equal(json_object_get(run, "run"), number)) {
		send_answer(worker, exchange, 200, json_object());
		return;
	}
	if (run || json_integer_value(number) <= last_closed) {
		reject_order(worker, exchange, "old");
		return;
	}
	print_event(worker, "begin", name, json_integer_value(number), spec);
	json_object_set_new(worker->running, name,
			    json_pack("{s:O,s:I,s:I}", "run", number, "from_ms",
				      (json_int_t)now_ms, "until_ms",
				      (json_int_t)until_ms));
	send_answer(worker, exchange, 200, json_object());
}

/* Stops a run, or rejects it in advance if its start has not arrived yet. */
static void handle_stop(struct standin_worker *worker,
			struct rj_http_exchange *exchange, const json_t *body)
{
	const char *name = json_string_value(json_object_get(body, "Task"));

	if (!accept_order(worker, exchange, body))
		return;
	if (json_object_get(worker->running, name))
		complete_run(worker, name, "stopped");
	else
		json_object_set(worker->closed_runs, name,
				json_object_get(body, "RunId"));
	send_answer(worker, exchange, 200, json_object());
	answer_waiting_polls(worker, true);
}

/* Drops the completions up to the position that a poll has acknowledged. */
static void remove_seen_completions(struct standin_worker *worker,
				    json_int_t seen)
{
	while (json_array_size(worker->finished)) {
		const json_t *row = json_array_get(worker->finished, 0);

		if (json_integer_value(json_array_get(row, 0)) > seen)
			break;
		/* A completion from before the lease expired does not count as
		 * acknowledged. */
		print_event(worker,
			    g_array_index(worker->completed_ms, uint64_t, 0) >
					    worker->lease_expired_ms ?
				    "noted" :
				    "forgotten",
			    json_string_value(json_array_get(row, 1)),
			    json_integer_value(json_array_get(row, 2)),
			    json_string_value(json_array_get(row, 3)));
		json_array_remove(worker->finished, 0);
		g_array_remove_index(worker->completed_ms, 0);
	}
}

/* Answers a poll, at once if there are completions to list. */
static void handle_poll(struct standin_worker *worker,
			struct rj_http_exchange *exchange, const json_t *body)
{
	json_int_t seen = json_integer_value(json_object_get(body, "LastSeen"));
	json_int_t wait_ms =
		json_integer_value(json_object_get(body, "WaitMs"));
	struct waiting_poll *poll;

	if (!accept_order(worker, exchange, body))
		return;
	remove_seen_completions(worker, seen);
	if (!wait_ms || json_array_size(worker->finished)) {
		answer_poll(worker, exchange);
		return;
	}
	poll = g_new0(struct waiting_poll, 1);
	poll->worker = worker;
	poll->exchange = exchange;
	poll->until_ms = clock_ms(worker) + (uint64_t)wait_ms;
	poll->disconnect_hook = talloc(exchange, struct waiting_poll *);
	*poll->disconnect_hook = poll;
	talloc_set_destructor(poll->disconnect_hook, detach_poll);
	g_ptr_array_add(worker->waiting_polls, poll);
}

/* Calls `call` with the worker in `delay_us`. */
static void call_in(struct standin_worker *worker, uint64_t delay_us,
		    tevent_timer_handler_t call)
{
	struct tevent_timer *timer =
		tevent_add_timer(worker->log->ev, worker->log->ev,
				 rj_clock_timeval_in(delay_us), call, worker);

	assert(timer);
	(void)timer;
}

/* Serves the worker's address again, as its next incarnation. */
static void restart(struct tevent_context *ev, struct tevent_timer *timer,
		    struct timeval now, void *private_data)
{
	struct standin_worker *worker = private_data;
	struct rj_http_server_options options = worker->server.options;
	struct rj_error err;

	options.address = worker->server.address;
	worker->down = false;
	worker->incarnation = standin_now_ms();
	if (rj_http_server_init(&worker->server, worker->mem, ev, &options,
				&err))
		g_error("stand-in: %s", err.message);
	standin_worker_heartbeat(worker);
}

/* Ends an incarnation: its connections are closed, and all runs, completions
 * and counts are lost. Returns false if it had ended. */
static bool end_incarnation(struct standin_worker *worker)
{
	const char *name;
	json_t *run;

	if (worker->down)
		return false;
	worker->down = true;
	worker->departure_ms = 0;
	rj_http_server_finish(&worker->server);
	json_object_foreach(worker->running, name, run) print_event(
		worker, "end", name,
		json_integer_value(json_object_get(run, "run")), "gone");
	json_object_clear(worker->running);
	json_array_clear(worker->finished);
	g_array_set_size(worker->completed_ms, 0);
	json_object_clear(worker->closed_runs);
	worker->completion_count = 0;
	worker->token = 0;
	worker->lease_until_ms = 0;
	worker->lease_expired_ms = 0;
	return true;
}

static void crash(struct tevent_context *ev, struct tevent_timer *timer,
		  struct timeval now, void *private_data)
{
	struct standin_worker *worker = private_data;

	if (end_incarnation(worker))
		call_in(worker, DOWN_US, restart);
}

/* Serves the address of a worker that has ended, as another worker. */
static void replace(struct tevent_context *ev, struct tevent_timer *timer,
		    struct timeval now, void *private_data)
{
	struct standin_worker *worker = private_data;

	(void)g_snprintf(worker->id, sizeof(worker->id), "w%u.%u",
			 worker->number, ++worker->replacements);
	memset(&worker->faults, 0, sizeof(worker->faults));
	restart(ev, timer, now, worker);
}

static void remove_entry(struct tevent_context *ev, struct tevent_timer *timer,
			 struct timeval now, void *private_data)
{
	struct standin_worker *worker = private_data;

	standin_log_append(worker->log, "keyed.servers", worker->id, NULL, 0);
	if (worker->replaced_in_ms)
		call_in(worker, worker->replaced_in_ms * RJ_US_PER_MS, replace);
}

/* Ends a worker that has announced it. Its entry is removed at once. */
static void leave(struct tevent_context *ev, struct tevent_timer *timer,
		  struct timeval now, void *private_data)
{
	struct standin_worker *worker = private_data;

	/* It may have crashed since. */
	if (worker->departure_ms && clock_ms(worker) >= worker->departure_ms &&
	    end_incarnation(worker))
		remove_entry(ev, timer, now, worker);
}

/* Ends the worker for good. Its entry expires. */
static void vanish(struct tevent_context *ev, struct tevent_timer *timer,
		   struct timeval now, void *private_data)
{
	struct standin_worker *worker = private_data;

	if (end_incarnation(worker))
		call_in(worker,
			EXPIRY_HEARTBEATS * worker->log->heartbeat_ms *
				RJ_US_PER_MS,
			remove_entry);
}

/* Announces that the worker leaves in `drain_ms`, or `linger_ms` later. */
static void announce_departure(struct standin_worker *worker,
			       json_int_t drain_ms, json_int_t linger_ms)
{
	if (worker->departure_ms)
		return;
	worker->departure_ms = clock_ms(worker) + (uint64_t)drain_ms;
	call_in(worker, (uint64_t)(drain_ms + linger_ms) * RJ_US_PER_MS, leave);
}

/* Sets the worker's faults and its published address. */
static void handle_fault(struct standin_worker *worker,
			 struct rj_http_exchange *exchange, const json_t *body)
{
	struct standin_faults *faults = &worker->faults;
	const char *published_address =
		json_string_value(json_object_get(body, "published"));
	json_int_t drain_ms =
		json_integer_value(json_object_get(body, "leaves_in_ms"));

	faults->fail_runs = json_is_true(json_object_get(body, "fails"));
	faults->stall_runs =
		json_is_true(json_object_get(body, "stands_still"));
	faults->refuse_starts = json_is_true(json_object_get(body, "sick"));
	faults->draining = json_is_true(json_object_get(body, "leaving"));
	worker->replaced_in_ms = (uint64_t)json_integer_value(
		json_object_get(body, "replaced_in_ms"));
	if (published_address)
		g_strlcpy(worker->published_address, published_address,
			  sizeof(worker->published_address));
	if (drain_ms)
		announce_departure(
			worker, drain_ms,
			json_integer_value(json_object_get(body, "linger_ms")));
	/* After the answer, as it closes the connection. */
	if (json_is_true(json_object_get(body, "vanish")))
		call_in(worker, 0, vanish);
	if (json_is_true(json_object_get(body, "crash")))
		call_in(worker, 0, crash);
	standin_worker_heartbeat(worker);
	send_answer(worker, exchange, 200, json_object());
}

/* Handles an order of an instance, or a call of a test. */
static void handle(void *private_data, struct rj_http_exchange *exchange)
{
	struct standin_worker *worker = private_data;
	const char *target =
		rj_http_exchange_header(exchange, "Target-Instance");
	json_t *body =
		json_loadb(exchange->body.data, exchange->body.length, 0, NULL);

	if (target && strcmp(target, worker->id) != 0)
		send_answer(worker, exchange, 421, json_object());
	else if (!strcmp(exchange->path, "/-/run-start"))
		handle_start(worker, exchange, body);
	else if (!strcmp(exchange->path, "/-/run-stop"))
		handle_stop(worker, exchange, body);
	else if (!strcmp(exchange->path, "/-/hold"))
		handle_poll(worker, exchange, body);
	else if (!strcmp(exchange->path, "/standin/fault"))
		handle_fault(worker, exchange, body);
	else if (!strcmp(exchange->path, "/standin/done"))
		send_answer(worker, exchange, 200,
			    json_deep_copy(worker->completed_counts));
	else
		rj_http_exchange_error(exchange, 404, "no such call");
	json_decref(body);
}

/*
 * Appends the worker's heartbeat to the log.
 */
void standin_worker_heartbeat(struct standin_worker *worker)
{
	uint64_t now_ms = clock_ms(worker);
	char rack[16];
	json_t *entry;
	char *text;

	if (worker->down)
		return;

	(void)g_snprintf(rack, sizeof(rack), "r%u",
			 worker->number / RACK_WORKERS);
	entry = json_pack(
		"{s:s,s:s,s:s,s:s,s:{s:i,s:i,s:i},s:[s,s],s:I,s:I,s:I}",
		"Service", "render", "Address", worker->published_address,
		"Zone", "z", "State",
		worker->faults.draining || worker->departure_ms ? "draining" :
								  "ready",
		"Capacity", "Cpu", 64000, "MemMb", 65536, "Gpu", 8, "Labels",
		"a", rack, "born", (json_int_t)worker->incarnation, "ClockMs",
		(json_int_t)now_ms, "Sequence",
		(json_int_t)++worker->heartbeat_count);
	if (worker->departure_ms)
		json_object_set_new(
			entry, "DrainRemainingMs",
			json_integer(
				(json_int_t)(MAX(worker->departure_ms, now_ms) -
					     now_ms)));
	text = json_dumps(entry, JSON_COMPACT);
	standin_log_append(worker->log, "keyed.servers", worker->id, text,
			   strlen(text));
	free(text);
	json_decref(entry);
}

/*
 * Serves a worker on a free port of 127.0.0.1. Returns 0, or -1 with `err`.
 */
int standin_worker_init(struct standin_worker *worker, void *mem,
			struct standin_log *log, uint32_t number,
			struct rj_error *err)
{
	struct rj_http_server_options options = {
		.address = { .ip = "127.0.0.1" },
		.connections_max = CONNECTIONS_MAX,
		.body_max_bytes = BODY_MAX_BYTES,
		.handle = handle,
		.private_data = worker
	};

	memset(worker, 0, sizeof(*worker));
	worker->mem = mem;
	worker->log = log;
	worker->number = number;
	worker->incarnation = standin_now_ms();
	worker->running = json_object();
	worker->finished = json_array();
	worker->completed_ms = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	worker->closed_runs = json_object();
	worker->completed_counts = json_object();
	worker->waiting_polls = g_ptr_array_new();
	(void)g_snprintf(worker->id, sizeof(worker->id), "w%u", number);
	if (rj_http_server_init(&worker->server, mem, log->ev, &options, err))
		return -1;
	(void)g_snprintf(worker->published_address,
			 sizeof(worker->published_address), "%s:%u",
			 worker->server.address.ip,
			 worker->server.address.port);
	return 0;
}
