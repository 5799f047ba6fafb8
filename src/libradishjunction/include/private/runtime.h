/*
 * Run times as they were, for each job class of each client account.
 *
 * A histogram over powers of two, four steps to each, so that a quantile is
 * known within a fifth at a few hundred bytes. Old times fade: at
 * RJ_RUNTIME_SAMPLES_MAX samples all counts are halved.
 *
 * Life cycle: zeroed memory is an empty one; nothing to finish.
 */
#ifndef RADISHJUNCTION_PRIVATE_RUNTIME_H
#define RADISHJUNCTION_PRIVATE_RUNTIME_H

#include <stdint.h>

#define RJ_RUNTIME_BUCKETS 112 /* 1 ms to three days */
#define RJ_RUNTIME_SAMPLES_MAX 512
/* Fewer samples than this say little; the class as a whole is asked. */
#define RJ_RUNTIME_SAMPLES_MIN 8

struct rj_runtime {
	uint16_t counts[RJ_RUNTIME_BUCKETS];
	uint32_t total;
	uint64_t expected_us; /* until enough has been learnt */
	struct rj_runtime *fallback; /* of the class, all accounts; or NULL */
};

void rj_runtime_record(struct rj_runtime *runtime, uint64_t ran_us);
uint64_t rj_runtime_quantile_us(const struct rj_runtime *runtime,
				uint32_t percent, uint64_t elapsed_us);

#endif
