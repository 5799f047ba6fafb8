/*
 * Fault injection common to both stand-ins, applied to each request before it
 * takes effect: an outage, partitioned clients, a pause and a delay.
 *
 * Life cycle: `rj_fault_injector_init` on the caller's memory. A request
 * passed to `rj_fault_injector_submit` is forwarded at once, later or never.
 */
#ifndef RADISHJUNCTION_STANDIN_FAULT_INJECTOR_H
#define RADISHJUNCTION_STANDIN_FAULT_INJECTOR_H

#include <jansson.h>

#include "http_server.h"

struct rj_fault_injector {
	struct tevent_context *ev;
	void *mem;
	bool outage; /* connections are closed without an answer */
	bool paused; /* requests wait until the pause ends */
	uint64_t delay_us; /* delay of each request */
	json_t *cut_from; /* names of blocked clients, or NULL */
	struct rj_list waiting; /* received while paused, in order */
	void (*forward)(void *private_data, struct rj_http_exchange *request);
	void *private_data;
};

void rj_fault_injector_init(struct rj_fault_injector *injector, void *mem,
			    struct tevent_context *ev,
			    void (*forward)(void *private_data,
					    struct rj_http_exchange *request),
			    void *private_data);
void rj_fault_injector_submit(struct rj_fault_injector *injector,
			      struct rj_http_exchange *request);
int rj_fault_read_bool(const json_t *faults, const char *field, bool *value);
int rj_fault_read_count(const json_t *faults, const char *field,
			uint64_t *value);
int rj_fault_injector_configure(struct rj_fault_injector *injector,
				struct rj_http_server *server,
				const json_t *faults,
				const struct rj_http_exchange *fault_request);
bool rj_fault_injector_blocks(const struct rj_fault_injector *injector,
			      struct rj_http_exchange *request);
void rj_fault_injector_finish(struct rj_fault_injector *injector);

#endif
