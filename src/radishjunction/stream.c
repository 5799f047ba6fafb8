#include "stream.h"

#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define READ_TIMEOUT_MS 10000
#define PAGE_RECORDS 100

/*
 * Initialises `stream` at the beginning of the platform's config stream.
 */
void stream_init(struct stream *stream, void *mem,
		 const struct rj_address *platform)
{
	memset(stream, 0, sizeof(*stream));
	stream->platform = *platform;
	rj_config_log_init(&stream->log, mem);
}

/*
 * Applies one record to the config log. Records the newest accepted publication
 * and the verdict on the awaited one, of which the first verdict counts.
 */
static void apply_record(struct stream *stream, const json_t *json)
{
	void *mem = talloc_new(NULL);
	const char *text = json_string_value(json_object_get(json, "text"));
	enum rj_config_verdict verdict;
	struct rj_error_list errors;
	struct rj_record record;

	rj_error_list_init(&errors, mem);
	memset(&record, 0, sizeof(record));
	if (text)
		rj_record_decode(mem, text, &record, NULL);
	record.offset =
		(uint64_t)json_integer_value(json_object_get(json, "offset"));
	verdict = rj_config_log_apply(&stream->log, &record, 0, &errors);
	if (verdict == RJ_CONFIG_ACCEPTED) {
		memcpy(stream->winner_id, record.config_id,
		       sizeof(stream->winner_id));
		memcpy(stream->winner_author, record.author,
		       sizeof(stream->winner_author));
	}
	if (stream->awaited_id && !stream->found &&
	    verdict != RJ_CONFIG_READ_AGAIN &&
	    !strcmp(record.config_id, stream->awaited_id)) {
		stream->found = true;
		stream->verdict = verdict;
	}
	talloc_free(mem);
}

/*
 * Reads and applies one page. Returns 0, or -1 with `err` of kind
 * RJ_ERR_UNAVAILABLE if the platform gave no valid answer.
 */
int stream_read(struct stream *stream, struct rj_error *err)
{
	char *path = talloc_asprintf(
		NULL, "/v1/streams/config?from=%" PRIu64 "&max=%d&wait_ms=0",
		stream->log.next, PAGE_RECORDS);
	struct http_call call = { .method = "GET",
				  .address = stream->platform,
				  .path = path,
				  .timeout_ms = READ_TIMEOUT_MS };
	struct http_answer answer;
	const json_t *records;
	json_t *record;
	int result = 0;
	size_t i;

	http_call(&call, &answer);
	talloc_free(path);
	records = json_object_get(answer.json, "records");
	if (answer.outcome != HTTP_ANSWERED || !json_is_array(records)) {
		result = rj_error_set(err, RJ_ERR_UNAVAILABLE,
				      "platform: %s; check its address and "
				      "that it is running",
				      answer.outcome == HTTP_ANSWERED ?
					      "no records in its answer" :
					      answer.detail);
		goto out;
	}
	rj_config_log_begin_batch(
		&stream->log, (uint64_t)json_integer_value(
				      json_object_get(answer.json, "oldest")));
	stream->head = (uint64_t)json_integer_value(
		json_object_get(answer.json, "head"));
	rj_config_log_skip_ahead(&stream->log, stream->head);
	json_array_foreach(records, i, record) apply_record(stream, record);
out:
	json_decref(answer.json);
	return result;
}

/*
 * Reads and applies all pages up to the head of the stream, or to the last one
 * that the platform serves now. Returns 0, or -1 with `err` as `stream_read`.
 */
int stream_read_all(struct stream *stream, struct rj_error *err)
{
	do {
		uint64_t before = stream->log.next;

		if (stream_read(stream, err))
			return -1;
		/* No progress: the platform does not serve the rest now. */
		if (stream->log.next == before)
			break;
	} while (stream->log.next < stream->head);
	return 0;
}

/*
 * Appends one record. Only HTTP_UNREACHABLE, which includes a refusal by the
 * platform, guarantees that the append had no effect. `err` is set unless the
 * outcome is HTTP_ANSWERED.
 */
enum http_outcome stream_append(const struct stream *stream,
				const struct rj_record *record,
				struct rj_error *err)
{
	char *text = rj_record_encode(NULL, record);
	json_t *json = json_pack("{s:[s]}", "records", text ? text : "");
	char *body = json_dumps(json, JSON_COMPACT);
	struct http_call call = { .method = "POST",
				  .address = stream->platform,
				  .path = "/v1/streams/config/append",
				  .body = body,
				  .timeout_ms = READ_TIMEOUT_MS };
	struct http_answer answer;

	assert(text && body);
	http_call(&call, &answer);
	if (answer.outcome == HTTP_ANSWERED &&
	    !json_object_get(answer.json, "first_offset")) {
		rj_error_set(err, RJ_ERR_UNAVAILABLE,
			     "platform: status %ld to an append; retry "
			     "when it accepts appends",
			     answer.status);
		/* By the protocol, a refused append has no effect. */
		answer.outcome = answer.status >= 400 && answer.status < 500 ?
					 HTTP_UNREACHABLE :
					 HTTP_LOST;
	} else if (answer.outcome != HTTP_ANSWERED) {
		rj_error_set(err, RJ_ERR_UNAVAILABLE, "platform: %s",
			     answer.detail);
	}
	json_decref(answer.json);
	json_decref(json);
	free(body);
	talloc_free(text);
	return answer.outcome;
}

/*
 * Releases the config log.
 */
void stream_finish(struct stream *stream)
{
	rj_config_log_finish(&stream->log);
}
