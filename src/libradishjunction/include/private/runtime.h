/*
 * Histogram of run times of a job class, per client account.
 *
 * Buckets are logarithmic, four to each power of two: a quantile is accurate to
 * a fifth and the histogram takes a few hundred bytes. When it holds
 * RJ_RUNTIME_SAMPLES_MAX samples all counts are halved, so that old samples
 * decay.
 *
 * Life cycle: zeroed memory is an empty histogram; there is nothing to free.
 */
#ifndef RADISHJUNCTION_PRIVATE_RUNTIME_H
#define RADISHJUNCTION_PRIVATE_RUNTIME_H

#include <stdint.h>

#define RJ_RUNTIME_BUCKETS 112 /* 1 ms to three days */
#define RJ_RUNTIME_SAMPLES_MAX 512
/* With fewer samples the histogram of the whole class is used. */
#define RJ_RUNTIME_SAMPLES_MIN 8

struct rj_runtime {
	uint16_t counts[RJ_RUNTIME_BUCKETS];
	uint32_t total;
	uint64_t expected_us; /* configured; used below SAMPLES_MIN */
	struct rj_runtime *fallback; /* the class over all accounts, or NULL */
};

void rj_runtime_record(struct rj_runtime *runtime, uint64_t ran_us);
uint64_t rj_runtime_quantile_us(const struct rj_runtime *runtime,
				uint32_t percent, uint64_t elapsed_us);

#endif
