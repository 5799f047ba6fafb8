#include "support/config_stream.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define HASH "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

/*
 * Creates an empty stream. Free it with config_stream_free().
 */
struct config_stream *config_stream_new(void)
{
	struct config_stream *stream = g_new0(struct config_stream, 1);

	stream->mem = talloc_new(NULL);
	return stream;
}

/*
 * Frees the stream and its records.
 */
void config_stream_free(struct config_stream *stream)
{
	talloc_free(stream->mem);
	g_free(stream);
}

/*
 * Appends an empty record, which is malformed until the caller fills it.
 */
struct rj_record *config_stream_append(struct config_stream *stream)
{
	struct rj_record *record = &stream->records[stream->head];

	g_assert_cmpuint(stream->head, <, CONFIG_STREAM_MAX);
	memset(record, 0, sizeof(*record));
	record->offset = stream->head++;
	return record;
}

/*
 * Appends a complete configuration that is based on revision `base`.
 */
struct rj_record *config_stream_publish(struct config_stream *stream,
					const char *id, uint64_t base,
					const char *text)
{
	struct rj_record *record = config_stream_append(stream);

	record->kind = RJ_RECORD_CONFIG;
	snprintf(record->config_id, sizeof(record->config_id), "%s", id);
	record->base_revision = base;
	record->revision = base + 1;
	record->config_text = talloc_strdup(stream->mem, text);
	return record;
}

/*
 * Appends the change from revision `base` to `text`. `base_text` is what the
 * author takes for the text of that revision.
 */
struct rj_record *config_stream_change(struct config_stream *stream,
				       const char *id, uint64_t base,
				       const char *base_text, const char *text)
{
	struct rj_record *record =
		config_stream_publish(stream, id, base, text);

	record->config_text = NULL;
	(void)rj_config_change_make(stream->mem, base_text, text,
				    &record->config_change);
	return record;
}

/*
 * Appends the reader's configuration in force again, as a carried record.
 */
void config_stream_carry(struct config_stream *stream,
			 const struct rj_config_log *log)
{
	struct rj_record *record = config_stream_append(stream);
	uint64_t offset = record->offset;

	rj_config_log_fill_carried(log, record);
	record->offset = offset;
	record->config_text = talloc_strdup(stream->mem, record->config_text);
}

/*
 * Applies at most `limit` records from the reader's position, as one read.
 * Returns the verdict on the last one.
 */
enum rj_config_verdict config_stream_read(const struct config_stream *stream,
					  struct rj_config_log *log,
					  uint32_t limit)
{
	enum rj_config_verdict verdict = RJ_CONFIG_MALFORMED;
	struct rj_error_list errors;

	rj_error_list_init(&errors, NULL);
	rj_config_log_begin_batch(log, stream->oldest);
	rj_config_log_skip_ahead(log, stream->head);
	while (limit-- && log->next < stream->head)
		verdict = rj_config_log_apply(log, &stream->records[log->next],
					      0, &errors);
	rj_error_list_finish(&errors);
	return verdict;
}

/*
 * Formats a valid configuration whose account has the limit `open_max`. The
 * text is a talloc child of `mem`.
 */
char *config_stream_text(void *mem, uint32_t open_max)
{
	return talloc_asprintf(
		mem,
		"{\"domains\":[{\"name\":\"d\",\"region\":\"r\",\"racks\":1,"
		"\"workers_per_rack\":1,\"worker\":{\"slots\":1,"
		"\"accelerators\":1,\"cores\":1,\"memory_mb\":1}}],"
		"\"accounts\":[{\"name\":\"a\",\"token_hash\":\"" HASH
		"\",\"open_max\":%u}],\"classes\":[{\"name\":\"c\","
		"\"idempotent\":true,\"expected_ms\":1}]}",
		open_max);
}
