#include "private/runtime.h"

#include <assert.h>
#include <math.h>
#include <stdbool.h>

#include "radishjunction/types.h"

#define BUCKETS_PER_OCTAVE 4

/*
 * Returns the bucket of `time_us`; times out of range fall into the first or
 * last bucket.
 */
static uint32_t bucket_of(uint64_t time_us)
{
	double bucket;

	if (time_us <= RJ_US_PER_MS)
		return 0;
	bucket = log2((double)time_us / RJ_US_PER_MS) * BUCKETS_PER_OCTAVE;
	if (bucket >= RJ_RUNTIME_BUCKETS - 1)
		return RJ_RUNTIME_BUCKETS - 1;
	return (uint32_t)bucket;
}

/*
 * Returns the upper bound of a bucket in microseconds.
 */
static uint64_t bucket_end_us(uint32_t bucket)
{
	return (uint64_t)(RJ_US_PER_MS *
			  exp2((bucket + 1.0) / BUCKETS_PER_OCTAVE));
}

/*
 * Records that a job ran to its end in `ran_us`.
 */
void rj_runtime_record(struct rj_runtime *runtime, uint64_t ran_us)
{
	uint32_t total = 0;

	if (runtime->fallback)
		rj_runtime_record(runtime->fallback, ran_us);
	runtime->counts[bucket_of(ran_us)]++;
	if (++runtime->total < RJ_RUNTIME_SAMPLES_MAX)
		return;
	for (uint32_t i = 0; i < RJ_RUNTIME_BUCKETS; i++) {
		runtime->counts[i] /= 2;
		total += runtime->counts[i];
	}
	runtime->total = total;
}

/*
 * Returns the total run time that `percent` of the jobs that have run for
 * `elapsed_us` do not exceed. With fewer than RJ_RUNTIME_SAMPLES_MIN samples,
 * uses the fallback histogram or else `expected_us`. If the job has run for
 * longer than all of these, assumes that half of the run time has elapsed.
 */
uint64_t rj_runtime_quantile_us(const struct rj_runtime *runtime,
				uint32_t percent, uint64_t elapsed_us)
{
	uint32_t first = bucket_of(elapsed_us);
	uint64_t remaining = 0;
	uint64_t seen = 0;

	assert(percent <= 100);
	if (runtime->total < RJ_RUNTIME_SAMPLES_MIN) {
		if (runtime->fallback)
			return rj_runtime_quantile_us(runtime->fallback,
						      percent, elapsed_us);
		return runtime->expected_us > elapsed_us ?
			       runtime->expected_us :
			       2 * elapsed_us;
	}
	for (uint32_t i = first; i < RJ_RUNTIME_BUCKETS; i++)
		remaining += runtime->counts[i];
	if (!remaining)
		return 2 * elapsed_us;
	for (uint32_t i = first; i < RJ_RUNTIME_BUCKETS; i++) {
		seen += runtime->counts[i];
		if (seen * 100 >= remaining * percent && seen)
			return bucket_end_us(i);
	}
	return 2 * elapsed_us;
}
