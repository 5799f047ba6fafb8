/*
 * Log lines in JSON on standard error, by way of GLib's logging.
 *
 * Life cycle: `log_init` once, after which every GLib message and every
 * decision is a line; lines are buffered for a moment, and `log_finish`
 * writes what is left.
 */
#ifndef RADISHJUNCTIOND_LOG_H
#define RADISHJUNCTIOND_LOG_H

#include "radishjunction/action.h"

struct tevent_context;

void log_init(struct tevent_context *loop, const char *instance);
void log_decision(const struct rj_decision_log *decision);
uint64_t log_lost(void);
void log_finish(void);

#endif
