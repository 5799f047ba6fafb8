/*
 * rj-standin-users: a log and workers that implement the users' protocol.
 */
#include <argtable2.h>
#include <assert.h>
#include <stdio.h>
#include <talloc.h>

#include "private/clock.h"
#include "standin.h"

#define WORKERS_MAX 2048
#define STEP_US (20 * RJ_US_PER_MS)
#define HEARTBEAT_MS 500
#define LEASE_MAX_MS 6000
#define ERRORS_MAX 8

/* All workers of this process. */
struct fleet {
	struct standin_worker workers[WORKERS_MAX];
	uint32_t count;
	uint32_t next; /* to send a heartbeat */
};

/* Advances the runs of all workers. */
static void step(struct tevent_context *ev, struct tevent_timer *timer,
		 struct timeval now, void *private_data)
{
	struct fleet *fleet = private_data;

	for (uint32_t i = 0; i < fleet->count; i++)
		standin_worker_advance(&fleet->workers[i]);
	timer = tevent_add_timer(ev, fleet, rj_clock_timeval_in(STEP_US), step,
				 fleet);
	assert(timer);
}

/* Sends the heartbeat of the next worker, so that they are spread over the
 * interval. */
static void beat(struct tevent_context *ev, struct tevent_timer *timer,
		 struct timeval now, void *private_data)
{
	struct fleet *fleet = private_data;
	uint64_t interval_us =
		fleet->workers[0].log->heartbeat_ms * RJ_US_PER_MS;

	standin_worker_heartbeat(&fleet->workers[fleet->next++ % fleet->count]);
	timer = tevent_add_timer(
		ev, fleet, rj_clock_timeval_in(interval_us / fleet->count),
		beat, fleet);
	assert(timer);
}

/* Prints the listen addresses, one JSON object on one line. */
static void print_listening(const struct standin_log *log,
			    const struct fleet *fleet)
{
	printf("{\"listening\":{\"log\":\"127.0.0.1:%u\",\"workers\":[",
	       log->server.address.port);
	for (uint32_t i = 0; i < fleet->count; i++)
		printf("%s\"127.0.0.1:%u\"", i ? "," : "",
		       fleet->workers[i].server.address.port);
	printf("]}}\n");
	fflush(stdout);
}

int main(int argc, char **argv)
{
	struct arg_int *workers =
		arg_int0(NULL, "workers", "N", "workers, 4 by default");
	struct arg_int *lease =
		arg_int0(NULL, "lease-max-ms", "MS", "longest lease");
	struct arg_int *heartbeat =
		arg_int0(NULL, "heartbeat-ms", "MS", "between heartbeats");
	struct arg_lit *events =
		arg_lit0(NULL, "events", "print the events of runs");
	struct arg_end *errors = arg_end(ERRORS_MAX);
	void *table[] = { workers, lease, heartbeat, events, errors };
	struct tevent_context *ev = tevent_context_init(NULL);
	struct standin_log *log = talloc_zero(ev, struct standin_log);
	struct fleet *fleet = talloc_zero(ev, struct fleet);
	struct rj_error err;

	if (arg_nullcheck(table) || arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, errors, "rj-standin-users");
		return 2;
	}
	fleet->count = workers->count ? (uint32_t)workers->ival[0] : 4;
	if (fleet->count > WORKERS_MAX)
		fleet->count = WORKERS_MAX;
	log->lease_max_ms =
		lease->count ? (uint32_t)lease->ival[0] : LEASE_MAX_MS;
	log->heartbeat_ms =
		heartbeat->count ? (uint32_t)heartbeat->ival[0] : HEARTBEAT_MS;
	if (standin_log_init(log, ev, ev, &err))
		goto fail;
	for (uint32_t i = 0; i < fleet->count; i++) {
		if (standin_worker_init(&fleet->workers[i], ev, log, i, &err))
			goto fail;
		fleet->workers[i].prints_events = events->count > 0;
		standin_worker_heartbeat(&fleet->workers[i]);
	}
	step(ev, NULL, tevent_timeval_zero(), fleet);
	beat(ev, NULL, tevent_timeval_zero(), fleet);
	print_listening(log, fleet);
	return tevent_loop_wait(ev);
fail:
	fprintf(stderr, "rj-standin-users: %s\n", err.message);
	return 4;
}
