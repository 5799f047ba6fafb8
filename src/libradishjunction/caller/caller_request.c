#include "private/caller_request.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "private/caller_json.h"
#include "private/http_body.h"
#include "private/json_values.h"

#define JOBS_PATH "/v1/jobs"
#define EXPLAIN_SUFFIX "/explain"
#define BEARER "Bearer "
#define KEY_HEADER "Idempotency-Key"
/* Total length of the names and values of a request's headers. */
#define HEADERS_MAX_BYTES 8192
/* Mean Retry-After of callers refused for lack of capacity, with a jitter of
 * plus or minus half of it. */
#define BUSY_RETRY_US (1 * RJ_US_PER_S)
#define JSON_TYPE "application/json"

/* Free the text, unless a response has taken it over. */
static int request_destructor(struct rj_caller_request *request)
{
	request->state->open--;
	request->peer->request = NULL;
	if (!request->over_limit)
		rj_client_end(&request->peer->client, rj_clock_now_us());
	free(request->text);
	return 0;
}

/*
 * Create a request whose headers are complete, a talloc child of `state`.
 */
struct rj_caller_request *
rj_caller_request_begin(struct rj_http_callers_state *state,
			struct MHD_Connection *connection,
			struct rj_caller_connection *peer, const char *method)
{
	struct rj_caller_request *request =
		talloc_zero(state, struct rj_caller_request);

	assert(request);
	request->state = state;
	request->connection = connection;
	request->peer = peer;
	peer->request = request;
	request->over_limit = peer->over_limit;
	request->headers_received_us = rj_clock_now_us();
	request->unkeyed_submission =
		strcmp(method, MHD_HTTP_METHOD_POST) == 0 &&
		!MHD_lookup_connection_value(connection, MHD_HEADER_KIND,
					     KEY_HEADER);
	state->open++;
	talloc_set_destructor(request, request_destructor);
	return request;
}

/* Set the text to send, allocated with malloc; the request takes it over. */
static void set_text(struct rj_caller_request *request, unsigned int status,
		     char *text, const char *content_type)
{
	assert(!request->answered);
	request->status = status;
	request->text = text;
	request->text_length = strlen(text);
	request->content_type = content_type;
	request->answered = true;
}

/* Answer with `json`, whose reference is taken over; NULL sends "{}". */
static void set_json(struct rj_caller_request *request, unsigned int status,
		     json_t *json)
{
	char *text = json ? json_dumps(json, JSON_COMPACT) : strdup("{}");

	json_decref(json);
	assert(text);
	set_text(request, status, text, JSON_TYPE);
}

/*
 * Set the answer. To a request for an explanation, the core's answer only tells
 * whether the caller may see the job; if so, the explanation is sent instead.
 */
void rj_caller_request_answer(struct rj_caller_request *request,
			      const struct rj_answer *answer,
			      const struct rj_error_list *errors)
{
	struct rj_caller_views *views = request->state->options.views;
	json_t *explanation = NULL;

	if (request->explain && answer->reason != RJ_REASON_UNAUTHORIZED &&
	    answer->reason != RJ_REASON_NO_SUCH_JOB)
		explanation = views->ops->explain(views, request->job_id);
	rj_caller_metrics_add(&request->state->metrics, answer->kind,
			      answer->reason,
			      rj_clock_now_us() - request->headers_received_us);
	request->retry_after_us = answer->retry_after_us;
	if (explanation) {
		set_json(request, MHD_HTTP_OK, explanation);
		return;
	}
	set_text(request, rj_caller_http_status(answer),
		 rj_caller_answer_text(answer, errors), JSON_TYPE);
}

/*
 * The Retry-After time of a caller that is refused for lack of capacity.
 *
 * It is randomized: callers that are refused together with the same time would
 * retry together and be refused again, leaving the instance idle in between.
 */
static uint64_t busy_retry_us(struct rj_http_callers_state *state)
{
	return BUSY_RETRY_US / 2 +
	       rj_random64(&state->random) % (BUSY_RETRY_US + 1);
}

/*
 * Refuse a request that was not delivered to the core. With `status` 0 the
 * HTTP status follows from the reason.
 *
 * When capacity is exhausted or the instance stops, `not_run` is right only for
 * a submission without a key. One with a key may run on behalf of a request at
 * another instance, and a job that is looked up may have run: the answer is
 * `unknown`.
 */
void rj_caller_request_refuse(struct rj_caller_request *request,
			      unsigned int status, enum rj_reason reason,
			      const char *detail)
{
	struct rj_answer answer = {
		.kind = RJ_ANSWER_NOT_RUN,
		.reason = reason,
	};

	if (reason == RJ_REASON_QUEUE_FULL || reason == RJ_REASON_DRAINING) {
		answer.retry_after_us = busy_retry_us(request->state);
		if (!request->unkeyed_submission)
			answer.kind = RJ_ANSWER_UNKNOWN;
	}
	g_strlcpy(answer.detail, detail, sizeof(answer.detail));
	request->explain = false;
	rj_caller_request_answer(request, &answer, NULL);
	if (status)
		request->status = status;
}

/*
 * Answer a request that was delivered to the core but will not be answered by
 * it: its job may have run.
 */
void rj_caller_request_abandon(struct rj_caller_request *request)
{
	struct rj_answer answer = {
		.kind = RJ_ANSWER_UNKNOWN,
		.reason = RJ_REASON_DRAINING,
		.retry_after_us = busy_retry_us(request->state),
		.detail = "this instance has stopped: ask another one",
	};

	request->explain = false;
	rj_caller_request_answer(request, &answer, NULL);
}

/*
 * Refuse a request that is above the connection limit, has too long headers or
 * announces too long a body, before the caller sends the body. Returns whether
 * it was refused.
 */
bool rj_caller_request_check_headers(struct rj_caller_request *request)
{
	const struct rj_http_callers_options *options =
		&request->state->options;
	const char *length = MHD_lookup_connection_value(
		request->connection, MHD_HEADER_KIND,
		MHD_HTTP_HEADER_CONTENT_LENGTH);
	size_t headers = rj_http_headers_length(request->connection);

	if (request->over_limit)
		rj_caller_request_refuse(
			request, 0, RJ_REASON_QUEUE_FULL,
			"connections: all are taken; retry later "
			"or ask another instance");
	else if (headers > HEADERS_MAX_BYTES) {
		rj_client_budget_refuse(&request->state->budget,
					RJ_CLIENT_REFUSAL_HEADERS, "callers");
		rj_caller_request_refuse(
			request, MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE,
			RJ_REASON_TOO_LARGE,
			"headers: above 8192 bytes; send fewer");
	} else if (length &&
		   strtoull(length, NULL, 10) > options->body_max_bytes) {
		rj_client_budget_refuse(&request->state->budget,
					RJ_CLIENT_REFUSAL_BODY, "callers");
		rj_caller_request_refuse(request, 0, RJ_REASON_TOO_LARGE,
					 "body: above the limit; send less");
	}
	return request->answered;
}

/*
 * Append a piece of the body. From the piece that exceeds the body limit on,
 * nothing is kept. Returns 0, or -1 if there is no memory for it and the
 * connection is to be closed.
 */
int rj_caller_request_append_body(struct rj_caller_request *request,
				  const char *data, size_t length)
{
	struct rj_client *client = &request->peer->client;
	uint32_t max = request->state->options.body_max_bytes;
	bool was_too_long = request->body_received > max;

	request->body_received += length;
	rj_client_received(client, length, rj_clock_now_us());
	if (client->state == RJ_CLIENT_GIVING_WAY)
		return -1;
	if (request->body_received > max) {
		rj_buffer_clear(&request->body);
		rj_client_discharge(client);
		if (!was_too_long)
			rj_client_budget_refuse(&request->state->budget,
						RJ_CLIENT_REFUSAL_BODY,
						"callers");
		return 0;
	}
	if (!rj_http_body_append(&request->body, request, client, max, data,
				 length))
		return 0;
	if (client->state != RJ_CLIENT_GIVING_WAY)
		rj_client_budget_refuse(&request->state->budget,
					RJ_CLIENT_REFUSAL_MEMORY, "callers");
	return -1;
}

/* Copy the caller's token. Returns 0; or -1 if there is no well-formed one and
 * the request was refused. */
static int read_token(struct rj_caller_request *request,
		      char token[RJ_TOKEN_BYTES])
{
	const char *header = MHD_lookup_connection_value(
		request->connection, MHD_HEADER_KIND,
		MHD_HTTP_HEADER_AUTHORIZATION);
	size_t length;

	if (header && g_str_has_prefix(header, BEARER)) {
		header += strlen(BEARER);
		length = strlen(header);
		if (length > 0 && length < RJ_TOKEN_BYTES) {
			g_strlcpy(token, header, RJ_TOKEN_BYTES);
			return 0;
		}
	}
	rj_caller_request_refuse(request, 0, RJ_REASON_UNAUTHORIZED,
				 "Authorization: no token; send \"Bearer "
				 "TOKEN\" with the account's token");
	return -1;
}

/* Copy the idempotency key, if any. Returns 0; or -1 if it is malformed and the
 * request was refused. */
static int read_key(struct rj_caller_request *request, char key[RJ_KEY_BYTES])
{
	const char *header = MHD_lookup_connection_value(
		request->connection, MHD_HEADER_KIND, KEY_HEADER);
	size_t length = header ? strlen(header) : 0;

	if (!header)
		return 0;
	for (size_t i = 0; i < length; i++)
		if (!g_ascii_isgraph(header[i]))
			length = 0;
	if (length > 0 && length < RJ_KEY_BYTES) {
		g_strlcpy(key, header, RJ_KEY_BYTES);
		return 0;
	}
	rj_caller_request_refuse(request, 0, RJ_REASON_BAD_REQUEST,
				 "Idempotency-Key: not 1 to 71 printable ASCII "
				 "characters without a space; send such a key");
	return -1;
}

/* Deliver a submission, lookup or cancellation to the core; refuse it if too
 * many requests are open or the instance has stopped. */
static void deliver_to_core(struct rj_caller_request *request,
			    struct rj_event *event)
{
	struct rj_http_callers_state *state = request->state;

	if (state->dispatch_stopped) {
		rj_caller_request_refuse(request, 0, RJ_REASON_DRAINING,
					 "this instance has stopped: ask "
					 "another one");
		return;
	}
	if (g_hash_table_size(state->pending) >= state->options.requests_max) {
		rj_caller_request_refuse(
			request, 0, RJ_REASON_QUEUE_FULL,
			"requests: too many are open; retry later "
			"or ask another instance");
		return;
	}
	request->id = ++state->last_request_id;
	event->kind = RJ_EVENT_REQUEST;
	event->u.request.request_id = request->id;
	g_hash_table_insert(state->pending, &request->id, request);
	state->options.sink->deliver(state->options.sink, event);
}

/* Charge the memory that parsing the body takes. Returns 0, or -1 if the
 * request was refused. */
static int hold_parsed(struct rj_caller_request *request, uint64_t *bytes)
{
	struct rj_client_budget *budget = &request->state->budget;
	const struct rj_buffer *body = &request->body;
	uint32_t values = rj_json_count_values(body->data, body->length);

	/* The text is kept once more, in canonical form. */
	*bytes = body->length + (uint64_t)values * RJ_JSON_VALUE_BYTES;
	if (!rj_client_budget_hold(budget, *bytes))
		return 0;
	rj_client_budget_refuse(budget, RJ_CLIENT_REFUSAL_MEMORY, "callers");
	rj_caller_request_refuse(request, 0, RJ_REASON_QUEUE_FULL,
				 "memory: too many requests are open; retry "
				 "later or ask another instance");
	return -1;
}

/* POST /v1/jobs */
static void post_job(struct rj_caller_request *request)
{
	struct rj_event event = { 0 };
	struct rj_request *core_request = &event.u.request;
	const char *text = request->body.data ? request->body.data : "";
	struct rj_error_list errors;
	struct rj_answer answer = {
		.kind = RJ_ANSWER_NOT_RUN,
		.reason = RJ_REASON_BAD_REQUEST,
	};
	uint64_t parsed_bytes;
	int failed;

	if (read_token(request, core_request->token))
		return;
	if (strlen(text) != request->body.length) {
		rj_caller_request_refuse(request, 0, RJ_REASON_BAD_REQUEST,
					 "body: holds a zero byte; send JSON");
		return;
	}
	if (hold_parsed(request, &parsed_bytes))
		return;
	rj_error_list_init(&errors, request);
	failed = rj_caller_parse_submit(request, text, &core_request->spec,
					&errors);
	rj_client_budget_release(&request->state->budget, parsed_bytes);
	if (failed) {
		g_strlcpy(answer.detail, errors.errors[0].message,
			  sizeof(answer.detail));
		rj_caller_request_answer(request, &answer, &errors);
		return;
	}
	/* What was charged for the text now stands for the parsed body. */
	rj_buffer_clear(&request->body);
	if (read_key(request, core_request->spec.key))
		return;
	core_request->op = RJ_REQUEST_SUBMIT;
	deliver_to_core(request, &event);
}

/* Look up or cancel the job with this id. */
static void request_job(struct rj_caller_request *request,
			enum rj_request_op op, const char *id)
{
	const char *wait = MHD_lookup_connection_value(
		request->connection, MHD_GET_ARGUMENT_KIND, "wait");
	struct rj_event event = { 0 };
	struct rj_request *core_request = &event.u.request;

	if (read_token(request, core_request->token))
		return;
	if (rj_caller_parse_job_id(&request->job_id, id)) {
		rj_caller_request_refuse(request, 0, RJ_REASON_BAD_REQUEST,
					 "job: not 16 hexadecimal digits; send "
					 "the \"job\" of an answer");
		return;
	}
	core_request->op = op;
	core_request->job_id = request->job_id;
	core_request->wait =
		!request->explain && wait && strcmp(wait, "1") == 0;
	deliver_to_core(request, &event);
}

/* GET /metrics */
static void get_metrics(struct rj_caller_request *request)
{
	struct rj_http_callers_state *state = request->state;
	struct rj_caller_views *views = state->options.views;
	GString *text = g_string_new(NULL);

	rj_caller_metrics_write(&state->metrics, text);
	g_string_append_printf(text, "radishjunction_caller_connections %u\n",
			       state->connections.count);
	g_string_append_printf(text, "radishjunction_requests_open %u\n",
			       g_hash_table_size(state->pending));
	rj_client_budget_write(&state->budget, text);
	rj_client_listener_write(&state->connections.listener, text);
	views->ops->metrics(views, text);
	set_text(request, MHD_HTTP_OK, strdup(text->str), "text/plain");
	g_string_free(text, TRUE);
}

/* GET /v1/ready, for load balancers: 200 if this instance serves, else 503. */
static void get_ready(struct rj_caller_request *request)
{
	struct rj_caller_views *views = request->state->options.views;
	bool is_ready = !request->state->draining && views->ops->ready(views);

	set_json(request, is_ready ? MHD_HTTP_OK : MHD_HTTP_SERVICE_UNAVAILABLE,
		 json_pack("{s:b}", "ready", is_ready));
}

/* Answer a path that the core is not asked for. Returns false if there is no
 * such path. */
static bool dispatch_view(struct rj_caller_request *request, const char *url)
{
	struct rj_caller_views *views = request->state->options.views;

	if (strcmp(url, "/v1/ready") == 0)
		get_ready(request);
	else if (strcmp(url, "/v1/status") == 0)
		set_json(request, MHD_HTTP_OK, views->ops->status(views));
	else if (strcmp(url, "/v1/revision") == 0)
		set_json(request, MHD_HTTP_OK, views->ops->revision(views));
	else if (strcmp(url, "/metrics") == 0)
		get_metrics(request);
	else
		return false;
	return true;
}

/* GET or DELETE under /v1/jobs/; false if there is no such path. */
static bool dispatch_job_path(struct rj_caller_request *request,
			      const char *path, const char *method)
{
	char *id;

	if (strcmp(method, MHD_HTTP_METHOD_DELETE) == 0) {
		request_job(request, RJ_REQUEST_CANCEL, path);
		return true;
	}
	if (strcmp(method, MHD_HTTP_METHOD_GET) != 0)
		return false;
	request->explain = g_str_has_suffix(path, EXPLAIN_SUFFIX);
	id = talloc_strdup(request, path);
	if (request->explain)
		id[strlen(id) - strlen(EXPLAIN_SUFFIX)] = 0;
	request_job(request, RJ_REQUEST_LOOKUP, id);
	return true;
}

/*
 * Answer a completely received request, or deliver it to the core, which may
 * have answered on return.
 */
void rj_caller_request_dispatch(struct rj_caller_request *request,
				const char *url, const char *method)
{
	bool known = false;

	if (request->body_received > request->state->options.body_max_bytes) {
		rj_caller_request_refuse(request, 0, RJ_REASON_TOO_LARGE,
					 "body: above the limit; send less");
		return;
	}
	if (strcmp(url, JOBS_PATH) == 0 &&
	    strcmp(method, MHD_HTTP_METHOD_POST) == 0) {
		post_job(request);
		known = true;
	} else if (g_str_has_prefix(url, JOBS_PATH "/")) {
		known = dispatch_job_path(request, url + strlen(JOBS_PATH "/"),
					  method);
	} else if (strcmp(method, MHD_HTTP_METHOD_GET) == 0) {
		known = dispatch_view(request, url);
	}
	if (!known)
		rj_caller_request_refuse(request, MHD_HTTP_NOT_FOUND,
					 RJ_REASON_BAD_REQUEST,
					 "path: not known for this method; see "
					 "docs/API.md");
}
