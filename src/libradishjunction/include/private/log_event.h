/*
 * Structured log events. An event is a name and a list of fields that is
 * passed to GLib's structured logging; the log writer of each program formats
 * it as one line of JSON.
 *
 * Fields are borrowed for the duration of the call.
 */
#ifndef RADISHJUNCTION_PRIVATE_LOG_EVENT_H
#define RADISHJUNCTION_PRIVATE_LOG_EVENT_H

#include <stdint.h>

/* GLib log field whose value points to a struct rj_log_event. */
#define RJ_LOG_EVENT_FIELD "RADISHJUNCTION_NOTE"

struct rj_log_event_field {
	const char *name; /* NULL ends a list */
	const char *text; /* NULL: the value is `number` */
	int64_t number;
};

struct rj_log_event {
	const char *event;
	const struct rj_log_event_field *fields;
};

/* The text, or "" for NULL. */
static inline const char *rj_log_event_text_or_empty(const char *text)
{
	return text ? text : "";
}

#define RJ_LOG_TEXT(name_, text_)     \
	((struct rj_log_event_field){ \
		.name = (name_), .text = rj_log_event_text_or_empty(text_) })
#define RJ_LOG_NUMBER(name_, number_)                  \
	((struct rj_log_event_field){ .name = (name_), \
				      .number = (int64_t)(number_) })
/* A duration in microseconds, logged in ms; -1 for RJ_NEVER_US. */
#define RJ_LOG_AGE_MS(name_, us_)     \
	((struct rj_log_event_field){ \
		.name = (name_),      \
		.number =             \
			(us_) == UINT64_MAX ? -1 : (int64_t)((us_) / 1000) })

#define rj_log_event(event_, ...)                                      \
	rj_log_event_emit(event_, (const struct rj_log_event_field[]){ \
					  __VA_ARGS__,                 \
					  { NULL, NULL, 0 },           \
				  })

void rj_log_event_emit(const char *event,
		       const struct rj_log_event_field *fields);

#endif
