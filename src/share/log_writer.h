/*
 * Log lines in JSON, by way of GLib's logging: one for each message, decision
 * and note. Never blocks; what a stalled reader leaves no room for is dropped
 * and counted, and so are notes of one event beyond a rate.
 *
 * Life cycle: `rj_log_writer_init` once, after which every GLib message and every
 * decision is a line; lines are buffered for a moment, and `rj_log_writer_finish`
 * writes what is left.
 */
#ifndef RADISHJUNCTION_SHARE_LOG_WRITER_H
#define RADISHJUNCTION_SHARE_LOG_WRITER_H

#include "radishjunction/action.h"

struct tevent_context;

void rj_log_writer_init(struct tevent_context *loop, const char *instance,
			int fd);
void rj_log_writer_decision(const struct rj_decision_log *decision);
uint64_t rj_log_writer_dropped(void);
void rj_log_writer_finish(void);

#endif
