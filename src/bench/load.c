#include "load.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <sys/timerfd.h>
#include <talloc.h>
#include <time.h>
#include <unistd.h>

#include "private/clock.h"

#define ANSWER_MAX_BYTES (1024UL * 1024)

/* One request; freed by the HTTP client. */
struct request {
	struct load *load;
	uint64_t due_us; /* scheduled time */
};

static void send_due(struct load *load);

/* Counts an answer, then sends the requests that are due. */
static void request_done(void *private_data,
			 const struct rj_http_result *result)
{
	const struct request *request = private_data;
	struct load *load = request->load;
	uint64_t now_us = rj_clock_now_us();

	load->latencies_us[load->ended++] =
		(uint32_t)(now_us - request->due_us);
	load->last_answer_us = now_us;
	if (result->outcome != RJ_HTTP_ANSWERED ||
	    !load->options.check(load, result->body))
		load->wrong++;
	send_due(load);
}

/* Sends the next request, whose latency is counted from `due_us`. */
static void send_request(struct load *load, uint64_t due_us)
{
	struct request *request = talloc_zero(NULL, struct request);
	struct rj_http_request send = {
		.method = "POST",
		.timeout_us = load->options.timeout_us,
		.response_max_bytes = ANSWER_MAX_BYTES,
		.done = request_done,
		.private_data = request,
	};

	assert(request);
	request->load = load;
	request->due_us = due_us;
	load->options.make(load, request, load->sent++, &send);
	rj_http_client_send(&load->client, &send);
}

/* Returns when the next request is due at the configured rate. */
static uint64_t next_due_us(const struct load *load)
{
	return load->started_us +
	       (uint64_t)load->sent * RJ_US_PER_S / load->options.rate;
}

/*
 * Sends all requests that are due. With a rate, latency is counted from the
 * scheduled time, so that a stall shows in every request it delayed.
 */
static void send_due(struct load *load)
{
	uint64_t now_us = rj_clock_now_us();

	while (load->sent < load->options.count &&
	       load->sent - load->ended < load->options.concurrency) {
		uint64_t due_us =
			load->options.rate ? next_due_us(load) : now_us;

		if (due_us > now_us)
			return;
		send_request(load, due_us);
	}
}

static void ticked(struct tevent_context *ev, struct tevent_fd *fde,
		   uint16_t flags, void *private_data)
{
	uint64_t ticks;

	if (read((int)tevent_fd_get_tag(fde), &ticks, sizeof(ticks)) ==
	    (ssize_t)sizeof(ticks))
		send_due(private_data);
}

/*
 * Starts a periodic timer at the configured rate. An event loop timer is up to
 * a millisecond late, which would distort the latencies. Returns 0 or -1.
 */
static int start_clock(struct load *load)
{
	long interval_ns = 1000000000L / (long)load->options.rate;
	struct itimerspec spec = { { 0, interval_ns }, { 0, interval_ns } };
	int fd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
	struct tevent_fd *fde;

	if (fd < 0)
		return -1;
	if (timerfd_settime(fd, 0, &spec, NULL)) {
		close(fd);
		return -1;
	}
	fde = tevent_add_fd(load->ev, load->mem, fd, TEVENT_FD_READ, ticked,
			    load);
	assert(fde);
	tevent_fd_set_tag(fde, (uint64_t)fd);
	tevent_fd_set_auto_close(fde);
	return 0;
}

static int compare_u32(const void *a, const void *b)
{
	uint32_t one = *(const uint32_t *)a;
	uint32_t two = *(const uint32_t *)b;

	return one < two ? -1 : one > two;
}

/*
 * Sends all requests and waits for all answers. Returns 0, or -1 if libcurl or
 * the timer cannot be started; the load is freed then.
 */
int load_run(struct load *load, const struct load_options *options)
{
	memset(load, 0, sizeof(*load));
	load->options = *options;
	load->ev = tevent_context_init(NULL);
	load->mem = talloc_named_const(load->ev, 0, "load");
	load->latencies_us = talloc_array(load->mem, uint32_t, options->count);
	assert(load->ev && load->mem && load->latencies_us);
	if (rj_http_client_init(&load->client, load->mem, load->ev, NULL,
				options->concurrency, NULL)) {
		TALLOC_FREE(load->ev);
		return -1;
	}
	if (options->rate && start_clock(load)) {
		load_finish(load);
		return -1;
	}
	if (options->header)
		rj_http_client_add_header(&load->client, options->header);
	load->started_us = rj_clock_now_us();
	if (!options->rate)
		send_due(load);
	while (load->ended < options->count)
		tevent_loop_once(load->ev);
	qsort(load->latencies_us, load->ended, sizeof(*load->latencies_us),
	      compare_u32);
	return 0;
}

/*
 * Returns the latency within which `per_mille` of a thousand requests were
 * answered.
 */
uint32_t load_percentile_us(const struct load *load, uint32_t per_mille)
{
	uint64_t index = (uint64_t)load->ended * per_mille / 1000;

	assert(load->ended);
	return load
		->latencies_us[index < load->ended ? index : load->ended - 1];
}

/*
 * Returns the throughput in answers a second, from the start to the last
 * answer.
 */
double load_per_second(const struct load *load)
{
	return (double)load->ended * (double)RJ_US_PER_S /
	       (double)(load->last_answer_us - load->started_us);
}

/*
 * Closes the connections and frees the load.
 */
void load_finish(struct load *load)
{
	rj_http_client_finish(&load->client);
	TALLOC_FREE(load->ev);
}
