/*
 * Common parts of `bench cost`: the sizes, the clock and the output of slopes.
 */
#ifndef BENCH_COST_H
#define BENCH_COST_H

#include <stdbool.h>
#include <stdint.h>

#define COST_SIZES 5

/* The required numbers of workers, and an owner's share of the largest. */
extern const uint32_t cost_worker_counts[COST_SIZES];

double cost_now_ns(void);
void cost_print_slope(const char *name, const char *unit, uint32_t accounts,
		      const double *samples, uint32_t from);
void cost_read(uint32_t accounts, uint32_t repeats);
void cost_catch_up(uint32_t accounts);
void cost_publication(uint32_t accounts, bool whole);

#endif
