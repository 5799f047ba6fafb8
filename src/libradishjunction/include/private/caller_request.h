/*
 * One HTTP request of a caller, from its headers to its answer.
 *
 * Life cycle: `rj_caller_request_begin` once the headers are received,
 * `rj_caller_request_append_body` for each piece of the body, then
 * `rj_caller_request_dispatch`, which answers immediately or hands the request
 * to the core; `rj_caller_request_answer` sets the answer; freed with talloc.
 */
#ifndef RADISHJUNCTION_PRIVATE_CALLER_REQUEST_H
#define RADISHJUNCTION_PRIVATE_CALLER_REQUEST_H

#include "private/buffer.h"
#include "private/caller_connections.h"
#include "private/caller_metrics.h"
#include "private/clock.h"
#include "private/http_loop.h"
#include "radishjunction/http_callers.h"

struct tevent_fd;

struct rj_http_callers_state {
	struct rj_http_callers_options options;
	struct rj_address bound_address;
	struct MHD_Daemon *daemon;
	struct rj_http_loop loop;
	bool draining;
	struct rj_client_budget budget; /* of callers */
	bool dispatch_stopped; /* the core accepts no more events */
	struct rj_caller_connections connections;
	uint64_t random; /* state of the Retry-After jitter */
	uint32_t open; /* requests whose answer is not completely sent */
	GHashTable *pending; /* id -> request waiting for the core */
	uint64_t last_request_id;
	struct rj_caller_metrics metrics;
};

struct rj_caller_request {
	struct rj_http_callers_state *state;
	struct MHD_Connection *connection;
	struct rj_caller_connection *peer;
	uint64_t id; /* of the core event; 0 if none was delivered */
	uint64_t headers_received_us;
	bool unkeyed_submission; /* POST without an idempotency key */
	bool over_limit; /* its connection is above the limit */
	bool explain; /* answer with the explanation, if permitted */
	uint64_t job_id;
	bool suspended;
	bool answered;
	unsigned int status;
	uint64_t retry_after_us;
	char *text; /* of the answer; owned by the response once sent */
	size_t text_length;
	const char *content_type;
	struct rj_buffer body;
	uint64_t body_received; /* bytes, including discarded ones */
	struct tevent_fd
		*disconnect_watch; /* detects that the caller disconnected */
};

struct rj_caller_request *
rj_caller_request_begin(struct rj_http_callers_state *state,
			struct MHD_Connection *connection,
			struct rj_caller_connection *peer, const char *method);
int rj_caller_request_append_body(struct rj_caller_request *request,
				  const char *data, size_t length);
void rj_caller_request_dispatch(struct rj_caller_request *request,
				const char *url, const char *method);
void rj_caller_request_answer(struct rj_caller_request *request,
			      const struct rj_answer *answer,
			      const struct rj_error_list *errors);
void rj_caller_request_refuse(struct rj_caller_request *request,
			      unsigned int status, enum rj_reason reason,
			      const char *detail);
void rj_caller_request_abandon(struct rj_caller_request *request);
bool rj_caller_request_check_headers(struct rj_caller_request *request);

#endif
