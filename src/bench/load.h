/*
 * An HTTP load generator: sends similar requests and records their latencies.
 *
 * Life cycle: fill the options, `load_run`, read the counts and
 * `load_percentile_us`, then `load_finish`.
 */
#ifndef BENCH_LOAD_H
#define BENCH_LOAD_H

#include "private/http_client.h"

struct load;

struct load_options {
	/* Sets URL and body of request `index`, as talloc children of `mem`. */
	void (*make)(const struct load *load, void *mem, uint32_t index,
		     struct rj_http_request *send);
	/* Whether the answer is the expected one. */
	bool (*check)(const struct load *load, const char *answer);
	const void *data; /* for make and check */
	const char *header; /* sent with each, or NULL */
	uint32_t count;
	uint32_t concurrency; /* maximum of open requests */
	uint32_t rate; /* per second, at least 2; 0: unlimited */
	uint64_t timeout_us;
};

struct load {
	struct load_options options;
	void *mem;
	struct tevent_context *ev;
	struct rj_http_client client;
	uint32_t sent;
	uint32_t ended;
	uint32_t wrong; /* without the expected answer */
	uint64_t started_us;
	uint64_t last_answer_us;
	/* Of the daemon, set by the caller: */
	uint64_t cpu_us;
	uint64_t run_delay_us; /* runnable, waiting for a CPU */
	uint32_t *latencies_us; /* of ended requests; sorted by load_run */
};

int load_run(struct load *load, const struct load_options *options);
uint32_t load_percentile_us(const struct load *load, uint32_t per_mille);
double load_per_second(const struct load *load);
void load_finish(struct load *load);

#endif
