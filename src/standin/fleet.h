/*
 * Several worker stand-ins in one process, each registered with the platform.
 *
 * Life cycle: `rj_fleet_init` starts all workers and registers them in the
 * background, again after each change of state; `rj_fleet_finish`.
 */
#ifndef RADISHJUNCTION_STANDIN_FLEET_H
#define RADISHJUNCTION_STANDIN_FLEET_H

#include <jansson.h>

#include "private/http_client.h"
#include "worker.h"

struct rj_fleet_options {
	const char *listen_ip;
	const char *name_prefix;
	const char *domain;
	const char *platform; /* IP:PORT, or NULL: no registration */
	uint32_t count;
	uint32_t first_rack;
	uint32_t workers_per_rack;
	uint32_t connections_max; /* of each worker */
	struct rj_resources capacity; /* of each worker */
};

struct rj_fleet_member;

struct rj_fleet {
	struct rj_fleet_options options;
	char domain[RJ_NAME_BYTES];
	void *mem;
	struct tevent_context *ev;
	struct rj_http_client client;
	struct rj_fleet_member *members; /* talloc array */
	uint32_t count; /* members in service */
};

int rj_fleet_init(struct rj_fleet *fleet, void *mem, struct tevent_context *ev,
		  const struct rj_fleet_options *options, struct rj_error *err);
json_t *rj_fleet_listening(const struct rj_fleet *fleet);
void rj_fleet_finish(struct rj_fleet *fleet);

#endif
