/*
 * One log line for one decision or one change of belief: an event and its
 * fields, handed to GLib's logging as structured data. A program's log
 * writer makes a line of JSON of it.
 *
 * Fields are only borrowed for the call.
 */
#ifndef RADISHJUNCTION_PRIVATE_LOG_EVENT_H
#define RADISHJUNCTION_PRIVATE_LOG_EVENT_H

#include <stdint.h>

/* The field of a structured message that points to a struct rj_log_event. */
#define RJ_LOG_EVENT_FIELD "RADISHJUNCTION_NOTE"

struct rj_log_event_field {
	const char *name; /* NULL ends a list */
	const char *text; /* NULL: the number counts */
	int64_t number;
};

struct rj_log_event {
	const char *event;
	const struct rj_log_event_field *fields;
};

/* A text that may be missing. */
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
/* A duration in microseconds, shown in ms; -1 for "never". */
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
