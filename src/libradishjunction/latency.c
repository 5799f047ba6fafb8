#include "private/latency.h"

#include <inttypes.h>

#include "radishjunction/types.h"

/* Upper bounds of the buckets: 1, 2 and 5 in each decade, up to 100 s. */
static const uint32_t bucket_ms[RJ_LATENCY_BUCKETS] = {
	1,   2,	   5,	 10,   20,    50,    100,   200,
	500, 1000, 2000, 5000, 10000, 20000, 50000, 100000,
};

/*
 * Count one event of duration `duration_us`.
 */
void rj_latency_add(struct rj_latency *latency, uint64_t duration_us)
{
	uint32_t bucket = 0;

	while (bucket < RJ_LATENCY_BUCKETS &&
	       duration_us > bucket_ms[bucket] * RJ_US_PER_MS)
		bucket++;
	latency->buckets[bucket]++;
	latency->sum_us += duration_us;
	latency->count++;
}

/*
 * Append the histogram to `text` in the Prometheus text format: cumulative
 * buckets, the sum in milliseconds and the count, each with one label.
 */
void rj_latency_write(const struct rj_latency *latency, const char *name,
		      const char *label, const char *value, GString *text)
{
	uint64_t below = 0;

	for (uint32_t i = 0; i < RJ_LATENCY_BUCKETS; i++) {
		below += latency->buckets[i];
		g_string_append_printf(
			text, "%s_bucket{%s=\"%s\",le=\"%u\"} %" PRIu64 "\n",
			name, label, value, bucket_ms[i], below);
	}
	g_string_append_printf(text,
			       "%s_bucket{%s=\"%s\",le=\"+Inf\"} %" PRIu64 "\n",
			       name, label, value, latency->count);
	g_string_append_printf(text, "%s_sum{%s=\"%s\"} %" PRIu64 "\n", name,
			       label, value,
			       (uint64_t)(latency->sum_us / RJ_US_PER_MS));
	g_string_append_printf(text, "%s_count{%s=\"%s\"} %" PRIu64 "\n", name,
			       label, value, latency->count);
}
