#include "private/log_event.h"

#include <glib.h>

/*
 * Pass one event to GLib's logging at level INFO. A log writer that does not
 * know RJ_LOG_EVENT_FIELD logs only the name of the event.
 */
void rj_log_event_emit(const char *event,
		       const struct rj_log_event_field *fields)
{
	const struct rj_log_event log_event = { event, fields };
	const GLogField parts[] = {
		{ RJ_LOG_EVENT_FIELD, &log_event, sizeof(log_event) },
		{ "MESSAGE", event, -1 },
		{ "GLIB_DOMAIN", "radishjunction", -1 },
	};

	g_log_structured_array(G_LOG_LEVEL_INFO, parts, G_N_ELEMENTS(parts));
}
