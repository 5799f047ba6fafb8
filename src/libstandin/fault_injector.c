#include "fault_injector.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/clock.h"

/* A paused or delayed request; talloc child of the request. */
struct delayed_request {
	struct rj_list link;
	struct rj_fault_injector *injector;
	struct rj_http_exchange *request;
};

/* Removes a waiting request from the list when it ends. */
static int delayed_request_destructor(struct delayed_request *delayed_request)
{
	rj_list_remove(&delayed_request->link);
	return 0;
}

/*
 * Initialises an injector without faults that passes requests to `forward`.
 */
void rj_fault_injector_init(struct rj_fault_injector *injector, void *mem,
			    struct tevent_context *ev,
			    void (*forward)(void *private_data,
					    struct rj_http_exchange *request),
			    void *private_data)
{
	memset(injector, 0, sizeof(*injector));
	injector->ev = ev;
	injector->mem = mem;
	injector->forward = forward;
	injector->private_data = private_data;
	rj_list_init(&injector->waiting);
}

/*
 * Whether the client that sent `request`, by its X-Instance header, is blocked.
 */
bool rj_fault_injector_blocks(const struct rj_fault_injector *injector,
			      struct rj_http_exchange *request)
{
	const char *name = rj_http_exchange_header(request, "X-Instance");
	const json_t *cut;
	size_t i;

	if (!name)
		return false;
	json_array_foreach(
		injector->cut_from, i,
		cut) if (!strcmp(name, json_string_value(cut))) return true;
	return false;
}

/* Forwards a request, unless it was aborted meanwhile. */
static void forward(struct delayed_request *delayed_request)
{
	struct rj_fault_injector *injector = delayed_request->injector;
	struct rj_http_exchange *request = delayed_request->request;

	talloc_free(delayed_request);
	if (request->aborted)
		return;
	injector->forward(injector->private_data, request);
}

static void delay_over(struct tevent_context *ev, struct tevent_timer *timer,
		       struct timeval now, void *private_data)
{
	forward(private_data);
}

/* Forwards the request now, or after the delay. */
static void forward_delayed(struct delayed_request *delayed_request)
{
	struct tevent_timer *timer;

	if (!delayed_request->injector->delay_us) {
		forward(delayed_request);
		return;
	}
	timer = tevent_add_timer(
		delayed_request->injector->ev, delayed_request,
		rj_clock_timeval_in(delayed_request->injector->delay_us),
		delay_over, delayed_request);
	assert(timer);
	(void)timer;
}

/*
 * Applies the configured faults to a new request.
 */
void rj_fault_injector_submit(struct rj_fault_injector *injector,
			      struct rj_http_exchange *request)
{
	struct delayed_request *delayed_request;

	if (injector->outage || rj_fault_injector_blocks(injector, request)) {
		rj_http_exchange_abort(request);
		return;
	}
	if (!injector->paused && !injector->delay_us) {
		injector->forward(injector->private_data, request);
		return;
	}
	delayed_request = talloc_zero(request, struct delayed_request);
	assert(delayed_request);
	rj_list_init(&delayed_request->link);
	delayed_request->injector = injector;
	delayed_request->request = request;
	talloc_set_destructor(delayed_request, delayed_request_destructor);
	if (injector->paused)
		rj_list_append(&injector->waiting, &delayed_request->link);
	else
		forward_delayed(delayed_request);
}

/* Forwards the requests received during the pause, in their order. */
static void release_paused(struct rj_fault_injector *injector)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &injector->waiting) {
		struct delayed_request *delayed_request =
			RJ_CONTAINER(at, struct delayed_request, link);

		rj_list_remove(at);
		forward_delayed(delayed_request);
	}
}

/* Aborts the open requests of blocked clients, except `fault_request`. */
static void abort_blocked(struct rj_fault_injector *injector,
			  struct rj_http_server *server,
			  const struct rj_http_exchange *fault_request)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &server->open) {
		struct rj_http_exchange *request =
			RJ_CONTAINER(at, struct rj_http_exchange, link);

		if (request != fault_request &&
		    rj_fault_injector_blocks(injector, request))
			rj_http_exchange_abort(request);
	}
}

static bool is_name_list(const json_t *cut)
{
	const json_t *name;
	size_t i;

	if (!json_is_array(cut))
		return false;
	json_array_foreach(cut, i,
			   name) if (!json_is_string(name)) return false;
	return true;
}

/*
 * Reads a boolean of `faults` into `value`, which is unchanged if the field
 * is missing. Returns 0, or -1 if the field has another type.
 */
int rj_fault_read_bool(const json_t *faults, const char *field, bool *value)
{
	const json_t *flag = json_object_get(faults, field);

	if (!flag)
		return 0;
	if (!json_is_boolean(flag))
		return -1;
	*value = json_is_true(flag);
	return 0;
}

/*
 * Like rj_fault_read_bool, for an integer of at least 0.
 */
int rj_fault_read_count(const json_t *faults, const char *field,
			uint64_t *value)
{
	const json_t *count = json_object_get(faults, field);

	if (!count)
		return 0;
	if (!json_is_integer(count) || json_integer_value(count) < 0)
		return -1;
	*value = (uint64_t)json_integer_value(count);
	return 0;
}

/*
 * Applies the fields outage, pause, slow_ms and cut_from of `faults`; missing
 * fields are unchanged. `fault_request` is the request with the fields, or
 * NULL; it is not aborted. Returns 0, or -1 without any change if a field has
 * another type.
 */
int rj_fault_injector_configure(struct rj_fault_injector *injector,
				struct rj_http_server *server,
				const json_t *faults,
				const struct rj_http_exchange *fault_request)
{
	json_t *cut_from = json_object_get(faults, "cut_from");
	uint64_t slow_ms = injector->delay_us / RJ_US_PER_MS;
	bool outage = injector->outage;
	bool paused = injector->paused;

	if (!json_is_object(faults) ||
	    rj_fault_read_bool(faults, "outage", &outage) ||
	    rj_fault_read_bool(faults, "pause", &paused) ||
	    rj_fault_read_count(faults, "slow_ms", &slow_ms) ||
	    (cut_from && !is_name_list(cut_from)))
		return -1;
	injector->delay_us = slow_ms * RJ_US_PER_MS;
	injector->outage = outage;
	injector->paused = paused;
	if (cut_from) {
		json_decref(injector->cut_from);
		injector->cut_from = json_incref(cut_from);
		abort_blocked(injector, server, fault_request);
	}
	if (injector->outage)
		rj_http_server_abort_open(server, fault_request);
	if (!injector->paused)
		release_paused(injector);
	return 0;
}

/*
 * Frees the faults. The server must be finished first.
 */
void rj_fault_injector_finish(struct rj_fault_injector *injector)
{
	assert(injector->waiting.next == &injector->waiting);
	json_decref(injector->cut_from);
	injector->cut_from = NULL;
}
