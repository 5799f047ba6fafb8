/*
 * Counts and latencies of the answers sent to callers.
 *
 * Life cycle: a zeroed struct is empty; owns no memory.
 */
#ifndef RADISHJUNCTION_PRIVATE_CALLER_METRICS_H
#define RADISHJUNCTION_PRIVATE_CALLER_METRICS_H

#include <glib.h>

#include "private/latency.h"
#include "radishjunction/types.h"

struct rj_caller_metrics {
	struct rj_latency answers[RJ_ANSWER_KIND_COUNT];
	uint64_t reasons[RJ_REASON_COUNT];
	uint64_t disconnected; /* callers that did not wait for the answer */
};

void rj_caller_metrics_add(struct rj_caller_metrics *metrics,
			   enum rj_answer_kind kind, enum rj_reason reason,
			   uint64_t took_us);
void rj_caller_metrics_write(const struct rj_caller_metrics *metrics,
			     GString *text);

#endif
