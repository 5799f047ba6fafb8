/*
 * Writes GLib log messages, scheduling decisions and log events as lines of
 * JSON. Never blocks: lines that exceed the buffer of a stalled reader are
 * dropped and counted, and so are lines above the rate limit of an event.
 *
 * Life cycle: `rj_log_writer_init` once. Lines are buffered for up to 50 ms;
 * `rj_log_writer_finish` writes what is left.
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
