#include "platform.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "private/clock.h"
#include "private/platform_wire.h"
#include "stream.h"

#define CONNECTIONS_MAX 4096
/* Allows several records of the maximum size in one append. */
#define BODY_MAX_BYTES (8U * 1024 * 1024)
#define READ_WAIT_MAX_MS 30000
/* Allowed burst: the appends of a tenth of a second. */
#define APPEND_BURST_US (RJ_US_PER_S / 10)

/* A read or long poll; talloc child of its request. */
struct pending_read {
	struct rj_list link;
	struct rj_standin_platform *platform;
	struct rj_http_exchange *request;
	struct rj_standin_stream *stream;
	uint64_t from;
	uint64_t max;
};

/* A list change that is not visible yet; talloc child of platform->mem. */
struct list_change {
	struct rj_standin_platform *platform;
	struct rj_instance instance;
	bool removed; /* deregistered */
};

/* Answers with status 200 and a JSON text. */
static void send_json(struct rj_http_exchange *request, const char *text)
{
	rj_http_exchange_answer(request, MHD_HTTP_OK, text, strlen(text));
}

/* Returns the stream `name`, created if missing, after removal of its expired
 * records. */
static struct rj_standin_stream *
get_stream(struct rj_standin_platform *platform, const char *name)
{
	struct rj_standin_stream *stream =
		g_hash_table_lookup(platform->streams, name);
	uint64_t now_us = rj_clock_now_us();

	if (!stream) {
		stream = rj_standin_stream_new(platform->mem);
		g_hash_table_insert(platform->streams, g_strdup(name), stream);
	}
	if (now_us > platform->options.retention_us)
		rj_standin_stream_expire(
			stream, now_us - platform->options.retention_us);
	return stream;
}

/* Takes one append from the token bucket; false if the rate is exceeded. */
static bool take_append_credit(struct rj_standin_platform *platform)
{
	uint64_t now_us = rj_clock_now_us();
	uint64_t cost_us;

	if (!platform->options.append_rate)
		return true;
	cost_us = RJ_US_PER_S / platform->options.append_rate;
	platform->append_credit_us += now_us - platform->credited_at_us;
	platform->credited_at_us = now_us;
	if (platform->append_credit_us > APPEND_BURST_US + cost_us)
		platform->append_credit_us = APPEND_BURST_US + cost_us;
	if (platform->append_credit_us < cost_us)
		return false;
	platform->append_credit_us -= cost_us;
	return true;
}

/* Answers a read with the stream's current records and frees it. */
static void answer_read(struct pending_read *pending_read)
{
	struct rj_http_exchange *request = pending_read->request;
	struct rj_log_page page;

	rj_standin_stream_read(pending_read->stream, pending_read,
			       pending_read->from, pending_read->max,
			       rj_clock_now_us(), &page);
	send_json(request, rj_log_page_encode(request, &page));
	talloc_free(pending_read);
}

/* Answers the long polls that wait for records of `stream`. */
static void answer_pending_reads(struct rj_standin_platform *platform,
				 const struct rj_standin_stream *stream)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &platform->pending_reads) {
		struct pending_read *pending_read =
			RJ_CONTAINER(at, struct pending_read, link);

		if (pending_read->stream == stream &&
		    pending_read->from < stream->head)
			answer_read(pending_read);
	}
}

/* Returns the records of an append, which the caller releases, or NULL if the
 * body is invalid. */
static json_t *append_records(const struct rj_http_exchange *request)
{
	json_t *body =
		json_loadb(request->body.data, request->body.length, 0, NULL);
	json_t *records = json_incref(json_object_get(body, "records"));
	const json_t *text;
	size_t i;

	json_decref(body);
	if (!json_is_array(records) || !json_array_size(records))
		goto fail;
	json_array_foreach(records, i,
			   text) if (!json_is_string(text)) goto fail;
	return records;

fail:
	json_decref(records);
	return NULL;
}

/* POST /v1/streams/NAME/append, with its injected faults. */
static void handle_append(struct rj_standin_platform *platform,
			  struct rj_http_exchange *request, const char *name)
{
	json_t *records = append_records(request);
	struct rj_standin_stream *stream;
	uint64_t first;
	const json_t *text;
	size_t i;

	if (!records) {
		rj_http_exchange_error(request, MHD_HTTP_BAD_REQUEST,
				       "records: not a list of strings; send "
				       "at least one");
		return;
	}
	if (platform->drop_appends) {
		platform->drop_appends--;
		json_decref(records);
		rj_http_exchange_abort(request);
		return;
	}
	if (!take_append_credit(platform)) {
		json_decref(records);
		rj_http_exchange_error(request, MHD_HTTP_TOO_MANY_REQUESTS,
				       "append: above the rate; nothing was "
				       "appended, try again later");
		return;
	}
	stream = get_stream(platform, name);
	first = stream->head;
	json_array_foreach(records, i, text) rj_standin_stream_append(
		stream, json_string_value(text), rj_clock_now_us());
	json_decref(records);
	if (platform->lose_answers) {
		platform->lose_answers--;
		rj_http_exchange_abort(request);
	} else {
		send_json(request, rj_append_answer_encode(request, first));
	}
	answer_pending_reads(platform, stream);
}

/* Returns a numeric query argument, at most `max`, or `default_value`. */
static uint64_t query_number(struct rj_http_exchange *request, const char *name,
			     uint64_t default_value, uint64_t max)
{
	const char *text = rj_http_exchange_argument(request, name);
	uint64_t value = text ? strtoull(text, NULL, 10) : default_value;

	return value < max ? value : max;
}

/* Removes a long poll from the list when its request ends. */
static int reader_destructor(struct pending_read *pending_read)
{
	rj_list_remove(&pending_read->link);
	return 0;
}

/* Answers a long poll that has timed out, with an empty page. */
static void reader_timeout(struct tevent_context *ev,
			   struct tevent_timer *timer, struct timeval now,
			   void *private_data)
{
	answer_read(private_data);
}

/* GET /v1/streams/NAME: answers at once, or after an append or wait_ms. */
static void handle_read(struct rj_standin_platform *platform,
			struct rj_http_exchange *request, const char *name)
{
	struct pending_read *pending_read =
		talloc_zero(request, struct pending_read);
	uint64_t wait_ms =
		query_number(request, "wait_ms", 0, READ_WAIT_MAX_MS);
	struct tevent_timer *timer;

	assert(pending_read);
	rj_list_init(&pending_read->link);
	talloc_set_destructor(pending_read, reader_destructor);
	pending_read->platform = platform;
	pending_read->request = request;
	pending_read->stream = get_stream(platform, name);
	pending_read->from = query_number(request, "from", 0, UINT64_MAX);
	pending_read->max =
		query_number(request, "max", RJ_LOG_PAGE_MAX, RJ_LOG_PAGE_MAX);
	if (pending_read->from < pending_read->stream->head || !wait_ms) {
		answer_read(pending_read);
		return;
	}
	timer = tevent_add_timer(platform->ev, pending_read,
				 rj_clock_timeval_in(wait_ms * RJ_US_PER_MS),
				 reader_timeout, pending_read);
	assert(timer);
	(void)timer;
	rj_list_append(&platform->pending_reads, &pending_read->link);
}

/* Returns the list index of `name`, or instance_count. */
static uint32_t list_index(const struct rj_standin_platform *platform,
			   const char *name)
{
	uint32_t index = 0;

	while (index < platform->instance_count &&
	       strcmp(platform->instances[index].name, name) != 0)
		index++;
	return index;
}

/* Makes a list change visible and frees it. */
static void apply_change(struct list_change *change)
{
	struct rj_standin_platform *platform = change->platform;
	uint32_t index = list_index(platform, change->instance.name);
	bool listed = index < platform->instance_count;

	rj_standin_history_record(
		&platform->history,
		rj_instances_version(platform->instances,
				     platform->instance_count),
		change->instance.name);
	if (change->removed && listed) {
		platform->instance_count--;
		platform->instances[index] =
			platform->instances[platform->instance_count];
	} else if (!change->removed) {
		if (!listed)
			platform->instances = talloc_realloc(
				platform->mem, platform->instances,
				struct rj_instance, ++platform->instance_count);
		assert(platform->instances);
		platform->instances[index] = change->instance;
	}
	talloc_free(change);
}

static void change_due(struct tevent_context *ev, struct tevent_timer *timer,
		       struct timeval now, void *private_data)
{
	apply_change(private_data);
}

/* Changes the list after list_lag_us. */
static void change_list(struct rj_standin_platform *platform,
			const struct rj_instance *instance, bool removed)
{
	struct list_change *change =
		talloc_zero(platform->mem, struct list_change);
	struct tevent_timer *timer;

	assert(change);
	change->platform = platform;
	change->instance = *instance;
	change->removed = removed;
	if (!platform->options.list_lag_us) {
		apply_change(change);
		return;
	}
	timer = tevent_add_timer(
		platform->ev, change,
		rj_clock_timeval_in(platform->options.list_lag_us), change_due,
		change);
	assert(timer);
	(void)timer;
}

/* /v1/instances/NAME: PUT registers an instance, DELETE removes it. */
static void handle_instance(struct rj_standin_platform *platform,
			    struct rj_http_exchange *request, const char *name)
{
	bool removed = !strcmp(request->method, "DELETE");
	struct rj_instance instance;
	struct rj_error err;

	memset(&instance, 0, sizeof(instance));
	if (!removed &&
	    rj_instance_decode(request->body.data, &instance, &err)) {
		rj_http_exchange_error(request, MHD_HTTP_BAD_REQUEST,
				       err.message);
		return;
	}
	if (rj_name_set(instance.name, name)) {
		rj_http_exchange_error(request, MHD_HTTP_BAD_REQUEST,
				       "name: too long; give a shorter one");
		return;
	}
	change_list(platform, &instance, removed);
	send_json(request, "{}");
}

/* POST /v1/fault: applies all of its fields, or none. */
static void handle_fault(struct rj_standin_platform *platform,
			 struct rj_http_exchange *request)
{
	json_t *faults =
		json_loadb(request->body.data, request->body.length, 0, NULL);
	uint64_t lose_answers_count = platform->lose_answers;
	uint64_t drop_appends_count = platform->drop_appends;

	if (rj_fault_read_count(faults, "lose_next_append_answers",
				&lose_answers_count) ||
	    rj_fault_read_count(faults, "drop_next_appends",
				&drop_appends_count) ||
	    rj_fault_injector_configure(&platform->fault_injector,
					&platform->server, faults, request)) {
		rj_http_exchange_error(request, MHD_HTTP_BAD_REQUEST,
				       "fault: a field has the wrong type; see "
				       "the platform protocol");
	} else {
		platform->lose_answers = lose_answers_count;
		platform->drop_appends = drop_appends_count;
		send_json(request, "{}");
	}
	json_decref(faults);
}

/* Returns the part of the path between `prefix` and `suffix`, or NULL. */
static const char *path_name(struct rj_http_exchange *request,
			     const char *prefix, const char *suffix)
{
	const char *path = request->path;
	size_t length = strlen(path);
	size_t prefix_length = strlen(prefix);
	size_t suffix_length = strlen(suffix);

	if (length <= prefix_length + suffix_length ||
	    strncmp(path, prefix, prefix_length) != 0 ||
	    strcmp(path + length - suffix_length, suffix) != 0)
		return NULL;
	return talloc_strndup(request, path + prefix_length,
			      length - prefix_length - suffix_length);
}

/* GET /v1/instances: answers with the whole list, with the changes since the
 * version `known`, or with no more than that version if it is current. */
static void handle_list(struct rj_standin_platform *platform,
			struct rj_http_exchange *request)
{
	const char *text = rj_http_exchange_argument(request, "known");
	uint64_t known = text ? strtoull(text, NULL, 16) : 0;
	bool wants_changes = query_number(request, "changes", 0, 1);
	struct rj_instances_answer part;

	if (wants_changes &&
	    known != rj_instances_version(platform->instances,
					  platform->instance_count) &&
	    rj_standin_history_since(&platform->history, request, known,
				     platform->instances,
				     platform->instance_count, &part)) {
		send_json(request, rj_instances_encode_changes(request, &part));
		return;
	}
	send_json(request,
		  rj_instances_encode(request, platform->instances,
				      platform->instance_count, known));
}

/* Routes a request that the fault injector has forwarded. */
static void dispatch(void *private_data, struct rj_http_exchange *request)
{
	struct rj_standin_platform *platform = private_data;
	const char *method = request->method;
	const char *name;

	if (!strcmp(method, "POST") &&
	    (name = path_name(request, "/v1/streams/", "/append")))
		handle_append(platform, request, name);
	else if (!strcmp(method, "GET") &&
		 (name = path_name(request, "/v1/streams/", "")))
		handle_read(platform, request, name);
	else if (!strcmp(method, "GET") &&
		 !strcmp(request->path, "/v1/instances"))
		handle_list(platform, request);
	else if ((!strcmp(method, "PUT") || !strcmp(method, "DELETE")) &&
		 (name = path_name(request, "/v1/instances/", "")))
		handle_instance(platform, request, name);
	else
		rj_http_exchange_error(request, MHD_HTTP_NOT_FOUND,
				       "path: unknown; see the platform "
				       "protocol");
}

/* /v1/fault bypasses the fault injector, so that an outage can be ended. */
static void receive(void *private_data, struct rj_http_exchange *request)
{
	struct rj_standin_platform *platform = private_data;

	if (!strcmp(request->path, "/v1/fault"))
		handle_fault(platform, request);
	else
		rj_fault_injector_submit(&platform->fault_injector, request);
}

/*
 * Listens on options->address and serves it from `ev`. Returns 0, or -1 with
 * `err` if the server cannot listen.
 */
int rj_standin_platform_init(struct rj_standin_platform *platform, void *mem,
			     struct tevent_context *ev,
			     const struct rj_standin_platform_options *options,
			     struct rj_error *err)
{
	struct rj_http_server_options server_options = {
		.address = options->address,
		.connections_max = CONNECTIONS_MAX,
		.body_max_bytes = BODY_MAX_BYTES,
		.handle = receive,
		.private_data = platform,
	};

	memset(platform, 0, sizeof(*platform));
	platform->options = *options;
	platform->ev = ev;
	platform->credited_at_us = rj_clock_now_us();
	rj_list_init(&platform->pending_reads);
	if (rj_http_server_init(&platform->server, mem, ev, &server_options,
				err))
		return -1;
	platform->mem = talloc_named_const(mem, 0, "platform");
	assert(platform->mem);
	rj_fault_injector_init(&platform->fault_injector, platform->mem, ev,
			       dispatch, platform);
	platform->streams =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return 0;
}

/*
 * Closes all connections and frees all records. Harmless when repeated.
 */
void rj_standin_platform_finish(struct rj_standin_platform *platform)
{
	if (!platform->mem)
		return;
	rj_http_server_finish(&platform->server);
	rj_fault_injector_finish(&platform->fault_injector);
	g_hash_table_destroy(platform->streams);
	TALLOC_FREE(platform->mem);
}
