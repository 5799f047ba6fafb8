#include "stream.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#define FIRST_CAPACITY 64

/*
 * Returns an empty stream, a talloc child of `mem`.
 */
struct rj_standin_stream *rj_standin_stream_new(void *mem)
{
	struct rj_standin_stream *stream =
		talloc_zero(mem, struct rj_standin_stream);

	assert(stream);
	return stream;
}

/* Ensures space for one more record, by compaction or growth. */
static void reserve_slot(struct rj_standin_stream *stream)
{
	uint32_t count = (uint32_t)(stream->head - stream->oldest);

	if (stream->first + count < stream->capacity)
		return;
	if (stream->first > count) {
		memcpy(stream->records, stream->records + stream->first,
		       count * sizeof(*stream->records));
		stream->first = 0;
		return;
	}
	stream->capacity =
		stream->capacity ? 2 * stream->capacity : FIRST_CAPACITY;
	stream->records =
		talloc_realloc(stream, stream->records,
			       struct rj_standin_record, stream->capacity);
	assert(stream->records);
}

/*
 * Appends a copy of `text`.
 */
void rj_standin_stream_append(struct rj_standin_stream *stream,
			      const char *text, uint64_t now_us)
{
	struct rj_standin_record *record;

	reserve_slot(stream);
	record =
		&stream->records[stream->first + stream->head - stream->oldest];
	record->text = talloc_strdup(stream, text);
	assert(record->text);
	record->appended_at_us = now_us;
	stream->head++;
}

/*
 * Drops the records that were appended before `before_us`.
 */
void rj_standin_stream_expire(struct rj_standin_stream *stream,
			      uint64_t before_us)
{
	while (stream->oldest < stream->head &&
	       stream->records[stream->first].appended_at_us < before_us) {
		talloc_free(stream->records[stream->first].text);
		stream->first++;
		stream->oldest++;
	}
}

/*
 * Reads at most `max` records from offset `from` into `page`. The array is a
 * talloc child of `mem`; the texts belong to the stream. The page starts at
 * the oldest record if `from` has expired.
 */
void rj_standin_stream_read(const struct rj_standin_stream *stream, void *mem,
			    uint64_t from, uint64_t max, uint64_t now_us,
			    struct rj_log_page *page)
{
	uint64_t at = from < stream->oldest ? stream->oldest : from;
	uint64_t available = at < stream->head ? stream->head - at : 0;

	page->count = (uint32_t)(available < max ? available : max);
	page->oldest = stream->oldest;
	page->from = at;
	page->next = at + page->count;
	page->head = stream->head;
	page->records = talloc_array(mem, struct rj_log_entry, page->count);
	assert(page->records);
	for (uint32_t i = 0; i < page->count; i++) {
		const struct rj_standin_record *record =
			&stream->records[stream->first + at + i -
					 stream->oldest];

		page->records[i].offset = at + i;
		page->records[i].age_ms =
			(now_us - record->appended_at_us) / RJ_US_PER_MS;
		page->records[i].text = record->text;
	}
}
