#include "private/caller_metrics.h"

#include <assert.h>
#include <inttypes.h>

/*
 * Count one answer, `took_us` after the headers of its request were received.
 */
void rj_caller_metrics_add(struct rj_caller_metrics *metrics,
			   enum rj_answer_kind kind, enum rj_reason reason,
			   uint64_t took_us)
{
	assert(kind < RJ_ANSWER_KIND_COUNT && reason < RJ_REASON_COUNT);
	rj_latency_add(&metrics->answers[kind], took_us);
	metrics->reasons[reason]++;
}

/*
 * Append all metrics to `text`, one line "name value" each.
 */
void rj_caller_metrics_write(const struct rj_caller_metrics *metrics,
			     GString *text)
{
	for (uint32_t i = 0; i < RJ_ANSWER_KIND_COUNT; i++)
		rj_latency_write(&metrics->answers[i],
				 "radishjunction_answer_ms", "answer",
				 rj_answer_kind_string[i], text);
	for (uint32_t i = 0; i < RJ_REASON_COUNT; i++)
		if (metrics->reasons[i])
			g_string_append_printf(
				text,
				"radishjunction_answer_reasons{reason=\"%s\"} "
				"%" PRIu64 "\n",
				rj_reason_string[i], metrics->reasons[i]);
	g_string_append_printf(text,
			       "radishjunction_callers_gone %" PRIu64 "\n",
			       metrics->disconnected);
}
