/*
 * What the files of `bench cost` share: the sizes, the clock, and how a
 * slope is printed.
 */
#ifndef BENCH_COST_H
#define BENCH_COST_H

#include <stdbool.h>
#include <stdint.h>

#define COST_SIZES 5

/* The sizes asked for, and an owner's share of the largest. */
extern const uint32_t cost_worker_counts[COST_SIZES];

double cost_now_ns(void);
void cost_print_slope(const char *name, const char *unit, uint32_t accounts,
		      const double *samples, uint32_t from);
void cost_read(uint32_t accounts, uint32_t repeats);
void cost_catch_up(uint32_t accounts);
void cost_publication(uint32_t accounts, bool whole);

#endif
