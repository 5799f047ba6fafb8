/*
 * Caller adapter over HTTP and JSON; docs/API.md describes the interface.
 *
 * Life cycle: `rj_http_callers_init` listens and serves immediately, or from
 * `rj_http_callers_serve` on if the options defer it. Each request becomes an
 * RJ_EVENT_REQUEST, whose `now_us` the sink sets, and is answered through
 * `base.ops->answer`. After `rj_http_callers_drain` every answer closes its
 * connection; after `rj_http_callers_stop_listening` connections are refused.
 * `rj_http_callers_stop_dispatch` is called once the core accepts no more
 * events. `base.ops->finish` interrupts no caller if
 * `rj_http_callers_open_requests` is then 0.
 */
#ifndef RADISHJUNCTION_HTTP_CALLERS_H
#define RADISHJUNCTION_HTTP_CALLERS_H

#include <glib.h>
#include <jansson.h>

#include "radishjunction/adapter.h"
#include "radishjunction/error.h"

struct tevent_context;
struct rj_caller_views;

/* State that callers may read without an event to the core. */
struct rj_caller_views_ops {
	bool (*ready)(struct rj_caller_views *views);
	/* These return new references; NULL if there is nothing to show. */
	json_t *(*status)(struct rj_caller_views *views);
	json_t *(*explain)(struct rj_caller_views *views, uint64_t job_id);
	/* Append lines "name value". */
	void (*metrics)(struct rj_caller_views *views, GString *text);
	json_t *(*revision)(struct rj_caller_views *views);
};

struct rj_caller_views {
	const struct rj_caller_views_ops *ops; /* first member, always */
};

struct rj_http_callers_options {
	struct tevent_context *loop;
	struct rj_sink *sink;
	struct rj_caller_views *views;
	struct rj_address address; /* port 0: any free one */
	uint64_t memory_bytes; /* that callers may take */
	uint32_t body_max_bytes;
	uint32_t connections_max;
	uint32_t requests_max; /* open at once */
	uint32_t idle_timeout_s; /* of a connection; also limits one body */
	uint64_t seed; /* for the jitter of Retry-After */
	bool deferred; /* serve only after `rj_http_callers_serve` */
};

struct rj_http_callers_state;

struct rj_http_callers {
	struct rj_callers base; /* first member, always */
	struct rj_http_callers_state *state; /* talloc child of init's mem */
};

int rj_http_callers_init(struct rj_http_callers *callers, void *mem,
			 const struct rj_http_callers_options *options,
			 struct rj_error *err);
struct rj_address
rj_http_callers_address(const struct rj_http_callers *callers);
void rj_http_callers_serve(struct rj_http_callers *callers);
void rj_http_callers_drain(struct rj_http_callers *callers);
void rj_http_callers_stop_listening(struct rj_http_callers *callers);
void rj_http_callers_stop_dispatch(struct rj_http_callers *callers);
uint32_t rj_http_callers_open_requests(const struct rj_http_callers *callers);
uint32_t rj_http_callers_connections(const struct rj_http_callers *callers);

#endif
