#include "private/log_event.h"

#include <glib.h>

/*
 * Hand one event to the program's log. Without a writer that knows notes,
 * only the event's name is logged.
 */
void rj_log_event_emit(const char *event,
		       const struct rj_log_event_field *fields)
{
	const struct rj_log_event note = { event, fields };
	const GLogField parts[] = {
		{ RJ_LOG_EVENT_FIELD, &note, sizeof(note) },
		{ "MESSAGE", event, -1 },
		{ "GLIB_DOMAIN", "radishjunction", -1 },
	};

	g_log_structured_array(G_LOG_LEVEL_INFO, parts, G_N_ELEMENTS(parts));
}
