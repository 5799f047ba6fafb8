/*
 * Text exposition of one node's counters, gauges and latency histograms.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_METRICS_H
#define RADISHJUNCTION_PRIVATE_CELL_METRICS_H

#include "private/cell_node.h"

void rj_cell_metrics_write(const struct rj_cell_node *node, uint64_t now_us,
			   GString *text);

#endif
