/*
 * One log line for one decision or one change of belief: an event and its
 * fields, handed to GLib's logging as structured data. A program's log
 * writer makes a line of JSON of it.
 *
 * Fields are only borrowed for the call.
 */
#ifndef RADISHJUNCTION_PRIVATE_NOTE_H
#define RADISHJUNCTION_PRIVATE_NOTE_H

#include <stdint.h>

/* The field of a structured message that points to a struct rj_note. */
#define RJ_NOTE_FIELD "RADISHJUNCTION_NOTE"

struct rj_note_field {
	const char *name; /* NULL ends a list */
	const char *text; /* NULL: the number counts */
	int64_t number;
};

struct rj_note {
	const char *event;
	const struct rj_note_field *fields;
};

/* A text that may be missing. */
static inline const char *rj_note_or_empty(const char *text)
{
	return text ? text : "";
}

#define RJ_NOTE_TEXT(name_, text_)                \
	((struct rj_note_field){ .name = (name_), \
				 .text = rj_note_or_empty(text_) })
#define RJ_NOTE_NUMBER(name_, number_)            \
	((struct rj_note_field){ .name = (name_), \
				 .number = (int64_t)(number_) })
/* A duration in microseconds, shown in ms; -1 for "never". */
#define RJ_NOTE_AGE_MS(name_, us_)                               \
	((struct rj_note_field){ .name = (name_),                \
				 .number = (us_) == UINT64_MAX ? \
						   -1 :          \
						   (int64_t)((us_) / 1000) })

#define rj_note(event_, ...)                                 \
	rj_note_emit(event_, (const struct rj_note_field[]){ \
				     __VA_ARGS__,            \
				     { NULL, NULL, 0 },      \
			     })

void rj_note_emit(const char *event, const struct rj_note_field *fields);

#endif
