#include "stream.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/wire_json.h"

#define FIRST_CAPACITY 64

static int stream_destructor(struct rj_standin_stream *stream)
{
	rj_standin_stream_expire(stream, UINT64_MAX);
	return 0;
}

/*
 * An empty stream, a talloc child of `mem`.
 */
struct rj_standin_stream *rj_standin_stream_new(void *mem)
{
	struct rj_standin_stream *stream =
		talloc_zero(mem, struct rj_standin_stream);

	assert(stream);
	talloc_set_destructor(stream, stream_destructor);
	return stream;
}

/* Make room for one more record behind the newest. */
static void make_room(struct rj_standin_stream *stream)
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
 * Append `text`, of which the stream takes a reference.
 */
void rj_standin_stream_append(struct rj_standin_stream *stream, json_t *text,
			      uint64_t now_us)
{
	struct rj_standin_record *record;

	make_room(stream);
	record =
		&stream->records[stream->first + stream->head - stream->oldest];
	record->text = json_incref(text);
	record->at_us = now_us;
	stream->head++;
}

/*
 * Drop the records that were appended before `before_us`.
 */
void rj_standin_stream_expire(struct rj_standin_stream *stream,
			      uint64_t before_us)
{
	while (stream->oldest < stream->head &&
	       stream->records[stream->first].at_us < before_us) {
		json_decref(stream->records[stream->first].text);
		stream->first++;
		stream->oldest++;
	}
}

/*
 * The answer to a read of at most `max` records from offset `from`; it
 * starts at the oldest record when that is newer than `from`.
 */
json_t *rj_standin_stream_read(const struct rj_standin_stream *stream,
			       uint64_t from, uint64_t max, uint64_t now_us)
{
	json_t *answer = json_object();
	json_t *list = json_array();
	uint64_t at = from < stream->oldest ? stream->oldest : from;
	uint64_t next = at;

	assert(answer && list);
	for (; next < stream->head && next - at < max; next++) {
		const struct rj_standin_record *record =
			&stream->records[stream->first + next - stream->oldest];
		json_t *item = json_object();

		rj_wire_set_count(item, "offset", next);
		rj_wire_set_count(item, "age_ms",
				  (now_us - record->at_us) / RJ_US_PER_MS);
		json_object_set(item, "text", record->text);
		json_array_append_new(list, item);
	}
	rj_wire_set_count(answer, "oldest", stream->oldest);
	rj_wire_set_count(answer, "from", at);
	rj_wire_set_count(answer, "next", next);
	rj_wire_set_count(answer, "head", stream->head);
	json_object_set_new(answer, "records", list);
	return answer;
}
