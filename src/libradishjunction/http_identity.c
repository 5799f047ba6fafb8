#include "private/http_identity.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/clock.h"

/* A response with a lower status has been carried out. */
#define STATUS_REFUSED_MIN 300
/* A handshake without a response is repeated up to this many times in all, if
 * the first request that waits for it has time left: a server may lose some of
 * its calls, and repeating this one is harmless. */
#define HANDSHAKES_MAX 3

/* A process of a server, by an address of a handshake and an identity, for as
 * long as requests wait for a connection to it. */
struct target {
	struct rj_http_identity *owner;
	char *key;
	uint64_t identity;
	struct rj_list waiting; /* struct pending; empty: all were sent */
	uint32_t handshakes; /* sent in a row; 0: none is open */
	uint64_t (*read_identity)(const struct rj_http_result *result);
};

/* A request until its end. */
struct pending {
	struct rj_list link; /* in its target, while it waits */
	struct rj_http_identity *owner;
	struct rj_http_request request; /* its texts are children */
	struct rj_http_handshake handshake; /* likewise */
	uint64_t expires_us; /* it is not sent after this */
};

/* The private data of one attempt to send a request; the client frees it. */
struct attempt {
	struct pending *pending;
};

/*
 * Initializes requests over `client`, which must outlive `identity`.
 */
void rj_http_identity_init(struct rj_http_identity *identity,
			   struct rj_http_client *client)
{
	memset(identity, 0, sizeof(*identity));
	identity->client = client;
	identity->targets = g_hash_table_new(g_str_hash, g_str_equal);
}

static void finish_pending(struct pending *pending,
			   const struct rj_http_result *result)
{
	pending->request.done(pending->request.private_data, result);
	talloc_free(pending);
}

static char *target_key(const char *handshake_url, uint64_t identity)
{
	return talloc_asprintf(NULL, "%s %llu", handshake_url,
			       (unsigned long long)identity);
}

/* Returns the target of a request, created if there is none. */
static struct target *obtain_target(const struct pending *pending)
{
	struct rj_http_identity *owner = pending->owner;
	char *key =
		target_key(pending->handshake.url, pending->request.identity);
	struct target *target = g_hash_table_lookup(owner->targets, key);

	if (target) {
		talloc_free(key);
		return target;
	}
	target = talloc_zero(owner->client->mem, struct target);
	assert(target);
	target->owner = owner;
	target->key = talloc_steal(target, key);
	target->identity = pending->request.identity;
	target->read_identity = pending->handshake.read_identity;
	rj_list_init(&target->waiting);
	g_hash_table_insert(owner->targets, target->key, target);
	return target;
}

static void free_target(struct target *target)
{
	g_hash_table_remove(target->owner->targets, target->key);
	talloc_free(target);
}

static void attempt_done(void *private_data,
			 const struct rj_http_result *result);

/* Passes a request to the client, which sends it if it has a connection to its
 * process. */
static void try_send(struct pending *pending)
{
	struct rj_http_request request = pending->request;
	struct attempt *attempt = talloc(NULL, struct attempt);

	assert(attempt);
	attempt->pending = pending;
	request.done = attempt_done;
	request.private_data = attempt;
	rj_http_client_send(pending->owner->client, &request);
}

/*
 * A connection that leads to process `identity` of the server at `handshake_url`
 * has become idle: the first request that waits for one is sent over it.
 *
 * Prevents requests from waiting for the connection of a handshake, which may
 * take long to open, beside a connection that is known and idle.
 */
void rj_http_identity_idle(struct rj_http_identity *identity,
			   const char *handshake_url, uint64_t process)
{
	char *key = target_key(handshake_url, process);
	struct target *target = g_hash_table_lookup(identity->targets, key);
	struct pending *first;

	talloc_free(key);
	if (!target || target->waiting.next == &target->waiting)
		return;
	first = RJ_CONTAINER(target->waiting.next, struct pending, link);
	rj_list_remove(&first->link);
	try_send(first);
}

/* Ends all requests that wait for a target with the same result. */
static void fail_waiting(struct target *target,
			 const struct rj_http_result *result)
{
	struct rj_list waiting;

	rj_list_init(&waiting);
	while (target->waiting.next != &target->waiting) {
		struct rj_list *first = target->waiting.next;

		rj_list_remove(first);
		rj_list_append(&waiting, first);
	}
	/* Their callbacks may send further requests to the target. */
	free_target(target);
	while (waiting.next != &waiting) {
		struct pending *pending =
			RJ_CONTAINER(waiting.next, struct pending, link);

		rj_list_remove(&pending->link);
		finish_pending(pending, result);
	}
}

/* Sends all requests that wait for a target. The connection suffices for one;
 * the others wait in the client for it, or here for another connection. */
static void send_waiting(struct target *target)
{
	while (target->waiting.next != &target->waiting) {
		struct pending *pending = RJ_CONTAINER(target->waiting.next,
						       struct pending, link);

		rj_list_remove(&pending->link);
		try_send(pending);
	}
	free_target(target);
}

static void send_handshake(struct target *target,
			   const struct pending *pending);

/*
 * Handles the end of a handshake. If it was refused, or got no response, so do
 * the requests that wait for it.
 */
static void handshake_done(void *private_data,
			   const struct rj_http_result *result)
{
	struct target *target = *(struct target **)private_data;
	bool is_awaited = target->waiting.next != &target->waiting;
	const struct pending *first =
		RJ_CONTAINER(target->waiting.next, struct pending, link);
	struct rj_http_result failure = *result;
	uint64_t identity = result->outcome == RJ_HTTP_ANSWERED ?
				    target->read_identity(result) :
				    0;

	if (result->outcome != RJ_HTTP_ANSWERED && is_awaited &&
	    target->handshakes < HANDSHAKES_MAX &&
	    rj_clock_now_us() < first->expires_us) {
		send_handshake(target, first);
		return;
	}
	rj_http_client_identify(target->owner->client, result, identity);
	if (identity == target->identity) {
		send_waiting(target);
		return;
	}
	if (identity) {
		failure.outcome = RJ_HTTP_ANSWERED;
		failure.status = RJ_HTTP_STATUS_MISDIRECTED;
		failure.body = "{}";
		failure.length = strlen(failure.body);
	} else if (result->outcome == RJ_HTTP_ANSWERED &&
		   result->status < STATUS_REFUSED_MIN) {
		failure.outcome = RJ_HTTP_NOT_SENT;
	}
	fail_waiting(target, &failure);
}

/* Sends a handshake, which opens a connection if all others are in use. */
static void send_handshake(struct target *target, const struct pending *pending)
{
	struct rj_http_request request = {
		.method = "POST",
		.url = pending->handshake.url,
		.body = pending->handshake.body,
		.length = strlen(pending->handshake.body),
		.timeout_us = pending->handshake.timeout_us,
		.response_max_bytes = pending->request.response_max_bytes,
		.headers = pending->request.headers,
		.header_count = pending->request.header_count,
		.done = handshake_done,
	};
	struct target **data = talloc(NULL, struct target *);

	assert(data);
	*data = target;
	request.private_data = data;
	target->handshakes++;
	target->owner->handshakes++;
	rj_http_client_send(target->owner->client, &request);
}

/* Handles the end of an attempt: if no connection led to the process, the
 * request waits for a handshake. */
static void attempt_done(void *private_data,
			 const struct rj_http_result *result)
{
	const struct attempt *attempt = private_data;
	struct pending *pending = attempt->pending;
	const struct rj_http_result expired = { .outcome = RJ_HTTP_NOT_SENT };
	struct target *target;

	if (result->outcome != RJ_HTTP_NO_CONNECTION) {
		struct rj_http_identity *owner = pending->owner;
		char *url = talloc_strdup(NULL, pending->handshake.url);
		uint64_t process = pending->request.identity;

		finish_pending(pending, result);
		if (result->outcome == RJ_HTTP_ANSWERED)
			rj_http_identity_idle(owner, url, process);
		talloc_free(url);
		return;
	}
	if (rj_clock_now_us() >= pending->expires_us) {
		finish_pending(pending, &expired);
		return;
	}
	target = obtain_target(pending);
	rj_list_append(&target->waiting, &pending->link);
	if (!target->handshakes)
		send_handshake(target, pending);
}

/* Copies the headers of a request. */
static const char *const *copy_headers(void *mem,
				       const struct rj_http_request *request)
{
	const char **headers =
		talloc_array(mem, const char *, request->header_count);

	for (uint32_t i = 0; i < request->header_count; i++)
		headers[i] = talloc_strdup(headers, request->headers[i]);
	return headers;
}

/*
 * Sends a request to the process `request->identity` of a server; 0: to any,
 * as rj_http_client_send does. Everything that `request` and `handshake` point
 * to is copied, except private_data, which is taken over.
 *
 * The result has the status RJ_HTTP_STATUS_MISDIRECTED, and nothing was sent, if
 * another process serves the address.
 */
void rj_http_identity_send(struct rj_http_identity *identity,
			   const struct rj_http_request *request,
			   const struct rj_http_handshake *handshake)
{
	struct pending *pending;
	struct rj_http_request *copy;

	if (!request->identity) {
		rj_http_client_send(identity->client, request);
		return;
	}
	pending = talloc_zero(identity->client->mem, struct pending);
	assert(pending);
	copy = &pending->request;
	pending->owner = identity;
	pending->expires_us = rj_clock_now_us() + request->timeout_us;
	*copy = *request;
	copy->method = talloc_strdup(pending, request->method);
	copy->url = talloc_strdup(pending, request->url);
	copy->body = talloc_memdup(pending, request->body, request->length);
	copy->headers = copy_headers(pending, request);
	copy->private_data = talloc_steal(pending, request->private_data);
	pending->handshake = *handshake;
	pending->handshake.url = talloc_strdup(pending, handshake->url);
	pending->handshake.body = talloc_strdup(pending, handshake->body);
	try_send(pending);
}

/*
 * Frees the requests that wait, without calling `done`. The client must be
 * finished.
 */
void rj_http_identity_finish(struct rj_http_identity *identity)
{
	if (identity->targets)
		g_hash_table_destroy(identity->targets);
	identity->targets = NULL;
}
