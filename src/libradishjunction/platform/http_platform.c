#include "radishjunction/http_platform.h"

#include <assert.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "private/clock.h"
#include "private/http_client.h"
#include "private/instance_list.h"
#include "private/platform_wire.h"
#include "private/wire.h"

#define APPEND_TIMEOUT_US (3 * RJ_US_PER_S)
#define LIST_TIMEOUT_US (3 * RJ_US_PER_S)
/* Added to the time that a long poll asks the platform to wait. */
#define READ_TIMEOUT_US (3 * RJ_US_PER_S)
/* A long poll per stream, the list, and concurrent appends. */
#define CONNECTIONS_MAX 16
/* Holds a page of many small records, or of several of the largest. */
#define ANSWER_MAX_BYTES (16UL * 1024 * 1024)
#define READ_RECORDS_MAX 500
#define STATUS_OK 200
#define STATUS_BAD_REQUEST 400
#define STATUS_NOT_FOUND 404
#define STATUS_TOO_MANY_REQUESTS 429

/* State of a call until its answer; owned by the HTTP client. */
struct pending {
	struct rj_http_platform *platform;
	enum rj_stream stream;
	uint64_t append_id;
	uint64_t from;
	uint64_t wait_us;
};

/* Allocate the state of a call; the HTTP client frees it with the transfer. */
static struct pending *pending_new(struct rj_http_platform *platform)
{
	struct pending *pending = talloc_zero(NULL, struct pending);

	assert(pending);
	pending->platform = platform;
	return pending;
}

/* Deliver an event, stamped with the current time. */
static void deliver(struct rj_http_platform *platform, struct rj_event *event)
{
	event->now_us = rj_clock_now_us();
	platform->sink->deliver(platform->sink, event);
}

/* Send a request to a formatted path; `request` lacks only the URL. */
static void send_request(struct rj_http_platform *platform,
			 struct rj_http_request *request, const char *format,
			 ...) __attribute__((format(printf, 3, 4)));

static void send_request(struct rj_http_platform *platform,
			 struct rj_http_request *request, const char *format,
			 ...)
{
	char *path;
	va_list args;

	va_start(args, format);
	path = talloc_vasprintf(request->private_data, format, args);
	va_end(args);
	request->url =
		rj_http_url(request->private_data, &platform->address, path);
	request->response_max_bytes = ANSWER_MAX_BYTES;
	rj_http_client_send(platform->client, request);
}

/*
 * The outcome of an append.
 *
 * A lost answer must not count as a refusal: the claim would be abandoned
 * although it may be in the log. Only an answer that the protocol defines as
 * without effect, or a request that was never sent, is a refusal.
 */
static enum rj_append_status append_status(const struct rj_http_result *result,
					   uint64_t *first_offset)
{
	if (result->outcome == RJ_HTTP_NOT_SENT)
		return RJ_APPEND_REFUSED;
	if (result->outcome == RJ_HTTP_LOST)
		return RJ_APPEND_LOST;
	if (result->status == STATUS_BAD_REQUEST ||
	    result->status == STATUS_NOT_FOUND ||
	    result->status == STATUS_TOO_MANY_REQUESTS)
		return RJ_APPEND_REFUSED;
	if (result->status != STATUS_OK ||
	    rj_append_answer_decode(result->body, first_offset, NULL))
		return RJ_APPEND_LOST;
	return RJ_APPEND_OK;
}

/* Deliver the result of an append. */
static void append_done(void *private_data, const struct rj_http_result *result)
{
	const struct pending *pending = private_data;
	struct rj_event event = { .kind = RJ_EVENT_APPENDED };

	event.u.appended.append_id = pending->append_id;
	event.u.appended.status =
		append_status(result, &event.u.appended.first_offset);
	deliver(pending->platform, &event);
}

/* Encode the body of an append; NULL if a record cannot be encoded. */
static char *append_body(void *mem, const struct rj_append *append)
{
	json_t *records = json_array();
	json_t *body = json_pack("{s:o}", "records", records);
	char *text = NULL;

	assert(body);
	for (uint32_t i = 0; i < append->count; i++) {
		char *record = rj_record_encode(mem, &append->records[i]);

		if (!record)
			goto out;
		json_array_append_new(records, json_string(record));
		talloc_free(record);
	}
	text = rj_wire_text(mem, body);
out:
	json_decref(body);
	return text;
}

/* Deliver a refusal from the event loop, like every other result. */
static void refuse_append(struct tevent_context *ev, struct tevent_timer *timer,
			  struct timeval now, void *private_data)
{
	struct rj_http_result result = { .outcome = RJ_HTTP_NOT_SENT };

	append_done(private_data, &result);
	talloc_free(private_data);
}

/* See rj_platform_ops: the records of one request are appended atomically. */
static void http_append(struct rj_platform *base,
			const struct rj_append *append)
{
	struct rj_http_platform *platform = (struct rj_http_platform *)base;
	struct pending *pending = pending_new(platform);
	struct rj_http_request request = {
		.method = "POST",
		.timeout_us = APPEND_TIMEOUT_US,
		.done = append_done,
		.private_data = pending,
	};

	pending->append_id = append->append_id;
	request.body = append_body(pending, append);
	if (!request.body) {
		talloc_steal(platform->client, pending);
		if (!tevent_add_timer(platform->client->ev, pending,
				      rj_clock_timeval_in(0), refuse_append,
				      pending))
			assert(0);
		return;
	}
	request.length = strlen(request.body);
	send_request(platform, &request, "/v1/streams/%s/append",
		     rj_stream_string[append->stream]);
}

/* Decode the records of a page into those of an event. */
static void decode_records(void *mem, const struct rj_log_page *page,
			   struct rj_records *records)
{
	records->oldest = page->oldest;
	records->next = page->next;
	records->head = page->head;
	records->count = page->count;
	records->records =
		talloc_zero_array(mem, struct rj_record, page->count);
	assert(records->records);
	for (uint32_t i = 0; i < page->count; i++) {
		struct rj_record *record = &records->records[i];

		/* A malformed record is skipped by every reader alike. */
		if (rj_record_decode(records->records, page->records[i].text,
				     record, NULL))
			record->kind = RJ_RECORD_MALFORMED;
		record->offset = page->records[i].offset;
		record->age_us = page->records[i].age_ms * RJ_US_PER_MS;
	}
}

static void http_read(struct rj_platform *base, const struct rj_read *read);

/*
 * Adapt the number of records to request to the length of the last page.
 * Returns true if the read has been sent again for fewer records.
 *
 * A page of many records of the largest size exceeds the limit of an answer.
 * Without this, the same read would fail forever and the instance would never
 * read the later records. A single record always fits.
 */
static bool retry_with_fewer_records(const struct pending *pending,
				     const struct rj_http_result *result)
{
	struct rj_http_platform *platform = pending->platform;
	uint32_t *max = &platform->read_max[pending->stream];
	struct rj_read again = { pending->stream, pending->from,
				 pending->wait_us };

	if (!result->too_long) {
		if (result->length < ANSWER_MAX_BYTES / 4 &&
		    *max <= READ_RECORDS_MAX / 2)
			*max *= 2;
		return false;
	}
	if (*max == 1)
		return false;
	*max /= 2;
	http_read(&platform->base, &again);
	return true;
}

/* Deliver the result of a read; its records are freed after delivery. */
static void read_done(void *private_data, const struct rj_http_result *result)
{
	const struct pending *pending = private_data;
	struct rj_event event = { .kind = RJ_EVENT_READ_FAILED };
	struct rj_log_page page;
	void *mem;

	if (retry_with_fewer_records(pending, result))
		return;
	mem = talloc_new(NULL);
	assert(mem);
	if (result->outcome == RJ_HTTP_ANSWERED &&
	    result->status == STATUS_OK &&
	    !rj_log_page_decode(mem, result->body, &page, NULL) &&
	    page.from >= pending->from) {
		event.kind = RJ_EVENT_RECORDS;
		event.u.records.stream = pending->stream;
		event.u.records.from = pending->from;
		decode_records(mem, &page, &event.u.records);
	} else {
		event.u.stream = pending->stream;
	}
	deliver(pending->platform, &event);
	talloc_free(mem);
}

/* See rj_platform_ops: a long poll of one stream. */
static void http_read(struct rj_platform *base, const struct rj_read *read)
{
	struct rj_http_platform *platform = (struct rj_http_platform *)base;
	struct pending *pending = pending_new(platform);
	struct rj_http_request request = {
		.method = "GET",
		.timeout_us = read->wait_us + READ_TIMEOUT_US,
		.done = read_done,
		.private_data = pending,
	};

	pending->stream = read->stream;
	pending->from = read->from;
	pending->wait_us = read->wait_us;
	send_request(platform, &request,
		     "/v1/streams/%s?from=%" PRIu64 "&max=%u&wait_ms=%" PRIu64,
		     rj_stream_string[read->stream], read->from,
		     platform->read_max[read->stream],
		     (uint64_t)(read->wait_us / RJ_US_PER_MS));
}

/* Deliver a changed list. A failed query or an unchanged list delivers no
 * event; the core queries it again. */
static void list_done(void *private_data, const struct rj_http_result *result)
{
	const struct pending *pending = private_data;
	struct rj_event event = { .kind = RJ_EVENT_INSTANCES };
	struct rj_instance_list *list = &pending->platform->list;
	void *mem = talloc_new(NULL);
	struct rj_instances_answer answer;

	assert(mem);
	if (result->outcome == RJ_HTTP_ANSWERED &&
	    result->status == STATUS_OK &&
	    !rj_instances_decode(mem, result->body, &answer, NULL) &&
	    rj_instance_list_apply(list, &answer)) {
		event.u.instances.list = list->lines;
		event.u.instances.count = list->count;
		deliver(pending->platform, &event);
	}
	talloc_free(mem);
}

/* See rj_platform_ops. */
static void http_list(struct rj_platform *base)
{
	struct rj_http_platform *platform = (struct rj_http_platform *)base;
	struct rj_http_request request = {
		.method = "GET",
		.timeout_us = LIST_TIMEOUT_US,
		.done = list_done,
		.private_data = pending_new(platform),
	};

	send_request(platform, &request,
		     "/v1/instances?known=%016" PRIx64 "&changes=1",
		     platform->list.version);
}

/* See rj_platform_ops: open calls deliver no event. */
static void http_finish(struct rj_platform *base)
{
	struct rj_http_platform *platform = (struct rj_http_platform *)base;

	rj_http_client_finish(platform->client);
	TALLOC_FREE(platform->client);
}

static const struct rj_platform_ops http_platform_ops = {
	.name = "http",
	.append = http_append,
	.read = http_read,
	.list = http_list,
	.finish = http_finish,
};

/*
 * Initialize an adapter for the platform at `address` that identifies itself
 * as `instance_name`. Events are delivered to `sink` from the loop `ev`, never
 * from within a call. Returns 0, or -1 with `err`.
 */
int rj_http_platform_init(struct rj_http_platform *platform, void *mem,
			  struct tevent_context *ev, struct rj_sink *sink,
			  const struct rj_address *address,
			  const char *instance_name, struct rj_error *err)
{
	memset(platform, 0, sizeof(*platform));
	platform->base.ops = &http_platform_ops;
	platform->sink = sink;
	platform->address = *address;
	for (uint32_t i = 0; i < RJ_STREAM_COUNT; i++)
		platform->read_max[i] = READ_RECORDS_MAX;
	rj_instance_list_init(&platform->list, mem);
	platform->client = talloc_zero(mem, struct rj_http_client);
	assert(platform->client);
	if (rj_http_client_init(platform->client, platform->client, ev,
				instance_name, CONNECTIONS_MAX, err)) {
		TALLOC_FREE(platform->client);
		return -1;
	}
	return 0;
}
