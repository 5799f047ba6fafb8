#include "private/note.h"

#include <glib.h>

/*
 * Hand one event to the program's log. Without a writer that knows notes,
 * only the event's name is logged.
 */
void rj_note_emit(const char *event, const struct rj_note_field *fields)
{
	const struct rj_note note = { event, fields };
	const GLogField parts[] = {
		{ RJ_NOTE_FIELD, &note, sizeof(note) },
		{ "MESSAGE", event, -1 },
		{ "GLIB_DOMAIN", "radishjunction", -1 },
	};

	g_log_structured_array(G_LOG_LEVEL_INFO, parts, G_N_ELEMENTS(parts));
}
