#include "private/caller_metrics.h"

#include <assert.h>
#include <inttypes.h>

/* The upper bounds of the buckets: 1, 2, 5 in each decade to 100 s. */
static const uint32_t bucket_ms[RJ_LATENCY_BUCKETS] = {
	1,   2,	   5,	 10,   20,    50,    100,   200,
	500, 1000, 2000, 5000, 10000, 20000, 50000, 100000,
};

/*
 * Count one answer that took `took_us` from the end of its headers.
 */
void rj_caller_metrics_add(struct rj_caller_metrics *metrics,
			   enum rj_answer_kind kind, enum rj_reason reason,
			   uint64_t took_us)
{
	struct rj_latency *latency = &metrics->answers[kind];
	uint32_t bucket = 0;

	assert(kind < RJ_ANSWER_KIND_COUNT && reason < RJ_REASON_COUNT);
	while (bucket < RJ_LATENCY_BUCKETS &&
	       took_us > bucket_ms[bucket] * RJ_US_PER_MS)
		bucket++;
	latency->buckets[bucket]++;
	latency->sum_us += took_us;
	latency->count++;
	metrics->reasons[reason]++;
}

/* The lines of one kind of answer: cumulative buckets, sum and count. */
static void write_latency(const struct rj_latency *latency, const char *kind,
			  GString *text)
{
	uint64_t below = 0;

	for (uint32_t i = 0; i < RJ_LATENCY_BUCKETS; i++) {
		below += latency->buckets[i];
		g_string_append_printf(
			text,
			"radishjunction_answer_ms_bucket{answer=\"%s\","
			"le=\"%u\"} %" PRIu64 "\n",
			kind, bucket_ms[i], below);
	}
	g_string_append_printf(text,
			       "radishjunction_answer_ms_bucket{answer=\"%s\","
			       "le=\"+Inf\"} %" PRIu64 "\n",
			       kind, latency->count);
	g_string_append_printf(text,
			       "radishjunction_answer_ms_sum{answer=\"%s\"} "
			       "%" PRIu64 "\n",
			       kind,
			       (uint64_t)(latency->sum_us / RJ_US_PER_MS));
	g_string_append_printf(text,
			       "radishjunction_answer_ms_count{answer=\"%s\"} "
			       "%" PRIu64 "\n",
			       kind, latency->count);
}

/*
 * Append every count as lines of text, a name and a value each.
 */
void rj_caller_metrics_write(const struct rj_caller_metrics *metrics,
			     GString *text)
{
	for (uint32_t i = 0; i < RJ_ANSWER_KIND_COUNT; i++)
		write_latency(&metrics->answers[i], rj_answer_kind_string[i],
			      text);
	for (uint32_t i = 0; i < RJ_REASON_COUNT; i++)
		if (metrics->reasons[i])
			g_string_append_printf(
				text,
				"radishjunction_answer_reasons{reason=\"%s\"} "
				"%" PRIu64 "\n",
				rj_reason_string[i], metrics->reasons[i]);
	g_string_append_printf(text,
			       "radishjunction_callers_gone %" PRIu64 "\n",
			       metrics->gone);
}
