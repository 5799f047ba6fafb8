#include "log_writer.h"

#include <assert.h>
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <talloc.h>
#include <tevent.h>
#include <unistd.h>

#include "private/clock.h"
#include "private/log_event.h"

#define DOMAIN "radishjunction"
/* GLib log field with a pointer to the decision. */
#define DECISION_FIELD "RADISHJUNCTION_DECISION"
/* Lines are buffered for this time, to write several with one call. */
#define FLUSH_US (50 * RJ_US_PER_MS)
/* PIPE_BUF: a pipe that polls writable accepts this many bytes. */
#define WRITE_BYTES 4096
/* Lines are dropped while more than this is buffered: the reader stalls. */
#define BUFFER_MAX_BYTES (1024 * 1024)

/* Global, because GLib has one log writer for each process. */
static struct {
	struct tevent_context *loop;
	struct tevent_timer *timer;
	char instance[RJ_NAME_BYTES];
	int fd;
	GString *buffer;
	uint64_t dropped;
	uint64_t rate_second; /* wall clock second of event_counts */
	GHashTable *event_counts; /* event -> lines in that second */
} logger;

/* Rate limit of each event: enough to follow a burst, and few enough that an
 * event storm costs at most a hundredth of a core. */
#define EVENT_LINES_PER_SECOND_MAX 60

/* Wall clock in microseconds, so that logs of instances can be merged. */
static uint64_t calendar_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (uint64_t)now.tv_sec * RJ_US_PER_S +
	       (uint64_t)now.tv_nsec / 1000;
}

/*
 * Writes as much of the buffer as the reader accepts.
 *
 * With a stalled log reader a blocking write would stop the whole instance,
 * and its leases would expire. The file is therefore written only while it
 * polls writable; the rest stays buffered, up to BUFFER_MAX_BYTES.
 */
static void flush(void)
{
	struct pollfd poll_fd = { .fd = logger.fd, .events = POLLOUT };
	size_t done = 0;

	while (done < logger.buffer->len) {
		size_t length = logger.buffer->len - done;
		ssize_t written;

		if (length > WRITE_BYTES)
			length = WRITE_BYTES;
		if (poll(&poll_fd, 1, 0) != 1 || !(poll_fd.revents & POLLOUT))
			break;
		written = write(logger.fd, logger.buffer->str + done, length);
		if (written <= 0)
			break;
		done += (size_t)written;
	}
	g_string_erase(logger.buffer, 0, (gssize)done);
}

/* Flushes the buffer; arms the timer again while data is left. */
static void on_timer(struct tevent_context *loop, struct tevent_timer *timer,
		     struct timeval now, void *private_data);

static void arm_timer(void)
{
	if (logger.timer)
		return;
	logger.timer =
		tevent_add_timer(logger.loop, logger.loop,
				 rj_clock_timeval_in(FLUSH_US), on_timer, NULL);
}

static void on_timer(struct tevent_context *loop, struct tevent_timer *timer,
		     struct timeval now, void *private_data)
{
	logger.timer = NULL;
	flush();
	if (logger.buffer->len)
		arm_timer();
}

/* Appends `,"name":"text"`, escaped if necessary. */
static void add_text(GString *line, const char *name, const char *text)
{
	json_t *json;
	char *quoted;

	if (!text[strcspn(text, "\"\\")] && g_str_is_ascii(text) &&
	    !strpbrk(text, "\n\r\t\b\f")) {
		g_string_append_printf(line, ",\"%s\":\"%s\"", name, text);
		return;
	}
	json = json_string(text);
	quoted = json ? json_dumps(json, JSON_ENCODE_ANY | JSON_ENSURE_ASCII) :
			NULL;
	g_string_append_printf(line, ",\"%s\":%s", name,
			       quoted ? quoted : "null");
	free(quoted);
	json_decref(json);
}

/* Appends the fields of a decision. */
static void add_decision(GString *line, const struct rj_decision_log *decision)
{
	add_text(line, "event", rj_decision_event_string[decision->event]);
	if (decision->job_id)
		g_string_append_printf(line, ",\"job\":\"%016" PRIx64 "\"",
				       decision->job_id);
	if (decision->account[0])
		add_text(line, "account", decision->account);
	if (decision->target[0])
		add_text(line, "target", decision->target);
	add_text(line, "why", rj_reason_string[decision->why]);
	if (decision->event == RJ_LOG_END || decision->event == RJ_LOG_REFUSE)
		add_text(line, "answer",
			 rj_answer_kind_string[decision->answer]);
	g_string_append_printf(line,
			       ",\"waited_ms\":%" PRIu64 ",\"considered\":%u",
			       (uint64_t)(decision->waited_us / RJ_US_PER_MS),
			       decision->considered);
}

/* Appends the fields of a log event. */
static void add_log_event(GString *line, const struct rj_log_event *log_event)
{
	const struct rj_log_event_field *field;

	add_text(line, "event", log_event->event);
	for (field = log_event->fields; field->name; field++) {
		if (field->text)
			add_text(line, field->name, field->text);
		else
			g_string_append_printf(line, ",\"%s\":%" PRId64,
					       field->name, field->number);
	}
}

/* Logs how many lines of each event were suppressed in the last second. */
static void log_suppressed_counts(void)
{
	GHashTableIter iter;
	gpointer event;
	gpointer count;

	g_hash_table_iter_init(&iter, logger.event_counts);
	while (g_hash_table_iter_next(&iter, &event, &count)) {
		uint32_t number = GPOINTER_TO_UINT(count);

		if (number <= EVENT_LINES_PER_SECOND_MAX)
			continue;
		g_string_append_printf(logger.buffer, "{\"t_us\":%" PRIu64,
				       calendar_us());
		add_text(logger.buffer, "instance", logger.instance);
		add_text(logger.buffer, "event", "left_out");
		add_text(logger.buffer, "of", event);
		g_string_append_printf(logger.buffer, ",\"count\":%u}\n",
				       number - EVENT_LINES_PER_SECOND_MAX);
	}
	g_hash_table_remove_all(logger.event_counts);
}

/*
 * Counts a line of `event` and returns whether it is within the rate limit.
 *
 * Each refused call and each lost run is a line: without a limit an event
 * storm would make logging the main load of an instance.
 */
static bool within_rate(const char *event)
{
	uint64_t rate_second = calendar_us() / RJ_US_PER_S;
	uint32_t count;

	if (rate_second != logger.rate_second) {
		log_suppressed_counts();
		logger.rate_second = rate_second;
	}
	count = GPOINTER_TO_UINT(
			g_hash_table_lookup(logger.event_counts, event)) +
		1;
	g_hash_table_insert(logger.event_counts, (gpointer)event,
			    GUINT_TO_POINTER(count));
	return count <= EVENT_LINES_PER_SECOND_MAX;
}

/* Returns the value of a GLib log field, or NULL. */
static const void *field_value(const GLogField *fields, gsize count,
			       const char *key)
{
	for (gsize i = 0; i < count; i++)
		if (strcmp(fields[i].key, key) == 0)
			return fields[i].value;
	return NULL;
}

static const char *level_name(GLogLevelFlags level)
{
	if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
		return "error";
	if (level & G_LOG_LEVEL_WARNING)
		return "warning";
	if (level & (G_LOG_LEVEL_MESSAGE | G_LOG_LEVEL_INFO))
		return "info";
	return "debug";
}

/* GLogWriterFunc: buffers one line of JSON; warnings and errors are flushed
 * at once. */
static GLogWriterOutput write_line(GLogLevelFlags level,
				   const GLogField *fields, gsize count,
				   gpointer private_data)
{
	const struct rj_decision_log *decision =
		field_value(fields, count, DECISION_FIELD);
	const struct rj_log_event *log_event =
		field_value(fields, count, RJ_LOG_EVENT_FIELD);
	const char *text = field_value(fields, count, "MESSAGE");
	GString *line = logger.buffer;

	if (level & G_LOG_LEVEL_DEBUG ||
	    (log_event && !within_rate(log_event->event)))
		return G_LOG_WRITER_HANDLED;
	if (line->len > BUFFER_MAX_BYTES) {
		logger.dropped++;
		return G_LOG_WRITER_HANDLED;
	}
	g_string_append_printf(line, "{\"t_us\":%" PRIu64, calendar_us());
	add_text(line, "instance", logger.instance);
	if (log_event) {
		add_log_event(line, log_event);
	} else if (decision) {
		add_decision(line, decision);
	} else {
		add_text(line, "event", "message");
		add_text(line, "level", level_name(level));
		add_text(line, "text", text ? text : "");
	}
	g_string_append(line, "}\n");
	if (level &
	    (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_WARNING))
		flush();
	else
		arm_timer();
	return G_LOG_WRITER_HANDLED;
}

/*
 * Installs the log writer, which writes to `fd` from now on. `loop` must
 * live until `rj_log_writer_finish`.
 */
void rj_log_writer_init(struct tevent_context *loop, const char *instance,
			int fd)
{
	logger.loop = loop;
	logger.fd = fd;
	logger.event_counts = g_hash_table_new(g_str_hash, g_str_equal);
	g_strlcpy(logger.instance, instance, sizeof(logger.instance));
	logger.buffer = g_string_new(NULL);
	g_log_set_writer_func(write_line, NULL, NULL);
}

/*
 * Logs one scheduling decision.
 */
void rj_log_writer_decision(const struct rj_decision_log *decision)
{
	const GLogField fields[] = {
		{ DECISION_FIELD, decision, sizeof(*decision) },
		{ "GLIB_DOMAIN", DOMAIN, -1 },
	};

	g_log_structured_array(G_LOG_LEVEL_INFO, fields, G_N_ELEMENTS(fields));
}

/*
 * Returns the number of lines dropped because the log reader stalled.
 */
uint64_t rj_log_writer_dropped(void)
{
	return logger.dropped;
}

/*
 * Flushes the buffer. GLib accepts a log writer only once, so it stays
 * installed for later messages.
 */
void rj_log_writer_finish(void)
{
	TALLOC_FREE(logger.timer);
	logger.loop = NULL;
	flush();
}
