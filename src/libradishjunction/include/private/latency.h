/*
 * Latency histogram in the form that a metrics endpoint exports.
 *
 * A zeroed struct is an empty histogram; it owns no memory.
 */
#ifndef RADISHJUNCTION_PRIVATE_LATENCY_H
#define RADISHJUNCTION_PRIVATE_LATENCY_H

#include <glib.h>
#include <stdint.h>

#define RJ_LATENCY_BUCKETS 16

struct rj_latency {
	uint64_t buckets[RJ_LATENCY_BUCKETS + 1]; /* last: above all bounds */
	uint64_t sum_us;
	uint64_t count;
};

void rj_latency_add(struct rj_latency *latency, uint64_t duration_us);
void rj_latency_write(const struct rj_latency *latency, const char *name,
		      const char *label, const char *value, GString *text);

#endif
