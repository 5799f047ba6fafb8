/*
 * review-users: the project's stand-in of the users' platform
 * (src/standin_users/), whose workers can be restarted as PROTOCOL.md tells it:
 * "A worker may start again under the `Id` that it had. It then holds and knows
 * nothing of before, and its counts start anew". A restart closes the listener
 * and all channels, and after DOWN_MS the worker serves again at its address.
 *
 * usage: review-users WORKERS
 *
 * Prints the addresses of the log and the control, then the events of runs. POST
 * /restart/N to the control restarts worker N, CRASH_MS after it has next
 * answered a waiting poll with an end.
 */
#include <assert.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "private/clock.h"
#include "../../src/standin_users/standin.h"

#define WORKERS_MAX 256
#define STEP_US (5 * RJ_US_PER_MS)
#define HEARTBEAT_US (500 * RJ_US_PER_MS)
#define DOWN_MS 100
#define CRASH_MS 5

struct fleet {
	struct tevent_context *ev;
	struct standin_log log;
	struct standin_worker workers[WORKERS_MAX];
	bool down[WORKERS_MAX];
	bool to_restart[WORKERS_MAX];
	uint32_t count;
	struct rj_http_server control;
};

struct restart {
	struct fleet *fleet;
	uint32_t number;
	struct rj_http_server_options options;
};

static void event(const struct standin_worker *worker, const char *name,
		  const char *task, long long run)
{
	printf("{\"event\":\"%s\",\"worker\":\"%s\",\"task\":\"%s\","
	       "\"run\":%lld,\"how\":\"gone\"}\n",
	       name, worker->id, task, run);
	fflush(stdout);
}

static void beat(struct tevent_context *ev, struct tevent_timer *timer,
		 struct timeval now, void *private_data)
{
	struct fleet *fleet = private_data;

	for (uint32_t i = 0; i < fleet->count; i++)
		if (!fleet->down[i])
			standin_worker_heartbeat(&fleet->workers[i]);
	timer = tevent_add_timer(ev, fleet, rj_clock_timeval_in(HEARTBEAT_US),
				 beat, fleet);
	assert(timer);
}

static void up_again(struct tevent_context *ev, struct tevent_timer *timer,
		     struct timeval now, void *private_data)
{
	struct restart *restart = private_data;
	struct standin_worker *worker =
		&restart->fleet->workers[restart->number];
	struct rj_error err;

	worker->incarnation = standin_now_ms();
	if (rj_http_server_init(&worker->server, restart->fleet, ev,
				&restart->options, &err)) {
		fprintf(stderr, "%s\n", err.message);
		exit(4);
	}
	restart->fleet->down[restart->number] = false;
	standin_worker_heartbeat(worker);
	event(worker, "up", "", (long long)worker->incarnation);
	talloc_free(restart);
}

static void stop(struct tevent_context *ev, struct tevent_timer *timer,
		 struct timeval now, void *private_data)
{
	struct restart *restart = private_data;
	struct fleet *fleet = restart->fleet;
	struct standin_worker *worker = &fleet->workers[restart->number];
	const char *name;
	json_t *run;

	fleet->down[restart->number] = true;
	restart->options = worker->server.options;
	restart->options.address = worker->server.address;
	rj_http_server_finish(&worker->server);
	json_object_foreach(worker->running, name, run)
		event(worker, "end", name,
		      json_integer_value(json_object_get(run, "run")));
	event(worker, "down", "", (long long)worker->incarnation);
	json_object_clear(worker->running);
	json_array_clear(worker->finished);
	g_array_set_size(worker->completed_ms, 0);
	json_object_clear(worker->closed_runs);
	worker->completion_count = 0;
	worker->token = 0;
	worker->lease_until_ms = 0;
	worker->lease_expired_ms = 0;
	timer = tevent_add_timer(ev, restart,
				 rj_clock_timeval_in(DOWN_MS * RJ_US_PER_MS),
				 up_again, restart);
	assert(timer);
}

static void restart_soon(struct fleet *fleet, uint32_t number)
{
	struct restart *restart = talloc_zero(fleet, struct restart);
	struct tevent_timer *timer;

	fleet->to_restart[number] = false;
	restart->fleet = fleet;
	restart->number = number;
	timer = tevent_add_timer(fleet->ev, restart,
				 rj_clock_timeval_in(CRASH_MS * RJ_US_PER_MS),
				 stop, restart);
	assert(timer);
}

/* Whether the worker answers a waiting poll with an end now. */
static bool advance(struct standin_worker *worker)
{
	bool waited = worker->waiting_polls->len;

	standin_worker_advance(worker);
	return waited && !worker->waiting_polls->len &&
	       json_array_size(worker->finished);
}

static void step(struct tevent_context *ev, struct tevent_timer *timer,
		 struct timeval now, void *private_data)
{
	struct fleet *fleet = private_data;

	for (uint32_t i = 0; i < fleet->count; i++)
		if (!fleet->down[i] && advance(&fleet->workers[i]) &&
		    fleet->to_restart[i])
			restart_soon(fleet, i);
	timer = tevent_add_timer(ev, fleet, rj_clock_timeval_in(STEP_US), step,
				 fleet);
	assert(timer);
}

static void handle(void *private_data, struct rj_http_exchange *exchange)
{
	struct fleet *fleet = private_data;
	uint32_t number;

	if (!g_str_has_prefix(exchange->path, "/restart/")) {
		rj_http_exchange_error(exchange, 404, "no such call");
		return;
	}
	number = (uint32_t)atoi(exchange->path + strlen("/restart/"));
	if (number < fleet->count)
		fleet->to_restart[number] = true;
	rj_http_exchange_answer(exchange, 200, "{}", 2);
}

int main(int argc, char **argv)
{
	struct tevent_context *ev = tevent_context_init(NULL);
	struct fleet *fleet = talloc_zero(ev, struct fleet);
	struct rj_http_server_options options = {
		.address = { .ip = "127.0.0.1" },
		.connections_max = 16,
		.body_max_bytes = 1024,
		.handle = handle,
		.private_data = fleet
	};
	struct rj_error err;

	fleet->ev = ev;
	fleet->count = argc == 2 ? (uint32_t)atoi(argv[1]) : 0;
	if (!fleet->count || fleet->count > WORKERS_MAX)
		return 2;
	if (standin_log_init(&fleet->log, fleet, ev, &err) ||
	    rj_http_server_init(&fleet->control, fleet, ev, &options, &err))
		goto fail;
	for (uint32_t i = 0; i < fleet->count; i++) {
		if (standin_worker_init(&fleet->workers[i], fleet, &fleet->log,
					i, &err))
			goto fail;
		fleet->workers[i].prints_events = true;
	}
	step(ev, NULL, tevent_timeval_zero(), fleet);
	beat(ev, NULL, tevent_timeval_zero(), fleet);
	printf("{\"listening\":{\"log\":\"127.0.0.1:%u\",\"control\":"
	       "\"127.0.0.1:%u\"}}\n",
	       fleet->log.server.address.port, fleet->control.address.port);
	fflush(stdout);
	return tevent_loop_wait(ev);
fail:
	fprintf(stderr, "review-users: %s\n", err.message);
	return 4;
}
