/*
 * An HTTP server under a tevent loop: libmicrohttpd in external epoll mode,
 * without threads.
 *
 * Life cycle: `rj_http_server_init` listens and calls `handle` once for each
 * complete request. The handler answers at once, or keeps the request and
 * answers later; the connection is suspended meanwhile. A request is freed
 * after its answer was sent or its client disconnected, together with its
 * talloc children (such as a handler's timer). `rj_http_server_finish` closes
 * all connections.
 */
#ifndef RADISHJUNCTION_SHARE_HTTP_SERVER_H
#define RADISHJUNCTION_SHARE_HTTP_SERVER_H

#include "private/buffer.h"
#include "private/client_budget.h"
#include "private/http_loop.h"
#include "private/list.h"
#include "radishjunction/error.h"
#include "radishjunction/types.h"

struct rj_http_server;
struct connection;

/* Why the client of a request that was read whole got no complete answer. */
enum rj_http_unanswered {
	RJ_HTTP_UNANSWERED_CLIENT_GONE, /* the client closed its connection */
	RJ_HTTP_UNANSWERED_SEND_FAILED, /* the connection broke */
	RJ_HTTP_UNANSWERED_STOPPED, /* the server stopped */
	RJ_HTTP_UNANSWERED_UNREAD, /* input was unread as the server closed */
	RJ_HTTP_UNANSWERED_COUNT
};

extern const char *const rj_http_unanswered_string[RJ_HTTP_UNANSWERED_COUNT];

/* One request, from its headers until its answer is sent. */
struct rj_http_exchange {
	struct rj_list link; /* in server->open */
	struct rj_http_server *server;
	struct MHD_Connection *connection;
	const char *method;
	const char *path;
	struct rj_buffer body; /* data is not NULL once handled */
	struct connection *peer; /* its connection's share of the budget */
	uint32_t body_max; /* bytes */
	bool handled; /* the handler has been called */
	bool suspended;
	bool aborted; /* the connection closes without an answer */
	struct tevent_fd *close_watch; /* while suspended */
	bool close_after_answer; /* adds Connection: close */
	const char *extra_header_name; /* one additional header, or NULL */
	const char *extra_header_value;
	struct MHD_Response *response;
	unsigned int status;
};

struct rj_http_server_options {
	struct rj_address address; /* port 0: any free port */
	struct rj_client_budget
		*budget; /* shared by listeners; NULL: no limit */
	const char *name; /* of the listener, in logs and metrics */
	uint32_t connections_max; /* above it, connections give way */
	uint32_t headers_max_bytes; /* 0: the default */
	uint32_t body_max_bytes;
	void (*handle)(void *private_data, struct rj_http_exchange *request);
	void *private_data;
};

struct rj_http_server {
	struct rj_http_server_options options;
	void *mem; /* parent of all requests */
	struct tevent_context *ev;
	struct MHD_Daemon *daemon;
	struct rj_http_loop loop;
	struct rj_client_budget own_budget; /* if the options have none */
	struct rj_client_listener listener;
	struct rj_address address; /* with the actual port */
	struct rj_list open; /* handled, not yet answered */
	uint32_t requests; /* started, answer not yet sent in full */
	bool draining; /* each answer closes its connection */
	uint32_t connections;
	bool finishing; /* new requests are refused until connections close */
	int listen_fd; /* -1: new connections are refused */
	uint64_t unanswered[RJ_HTTP_UNANSWERED_COUNT];
};

int rj_http_server_init(struct rj_http_server *server, void *mem,
			struct tevent_context *ev,
			const struct rj_http_server_options *options,
			struct rj_error *err);
const char *rj_http_exchange_header(struct rj_http_exchange *request,
				    const char *name);
const char *rj_http_exchange_argument(struct rj_http_exchange *request,
				      const char *name);
void rj_http_exchange_add_header(struct rj_http_exchange *request,
				 const char *name, const char *value);
void rj_http_exchange_close(struct rj_http_exchange *request);
void rj_http_exchange_answer(struct rj_http_exchange *request,
			     unsigned int status, const char *text,
			     size_t length);
void rj_http_exchange_error(struct rj_http_exchange *request,
			    unsigned int status, const char *message);
void rj_http_exchange_release_body(struct rj_http_exchange *request);
void rj_http_exchange_abort(struct rj_http_exchange *request);
bool rj_http_exchange_disconnected(const struct rj_http_exchange *request);
bool rj_http_server_is_settled(const struct rj_http_server *server);
void rj_http_server_abort_open(struct rj_http_server *server,
			       const struct rj_http_exchange *except);
void rj_http_server_write(const struct rj_http_server *server, GString *text);
void rj_http_server_drain(struct rj_http_server *server);
void rj_http_server_stop_listening(struct rj_http_server *server);
void rj_http_server_finish(struct rj_http_server *server);

#endif
