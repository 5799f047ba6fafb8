/*
 * Open connections of callers: their count, and a time limit for receiving the
 * headers of a request.
 *
 * Life cycle: `rj_caller_connections_init`, then for each connection
 * `rj_caller_connection_open`, `rj_caller_connection_busy` and
 * `rj_caller_connection_idle` around each of its requests, and
 * `rj_caller_connection_close`, which frees it.
 */
#ifndef RADISHJUNCTION_PRIVATE_CALLER_CONNECTIONS_H
#define RADISHJUNCTION_PRIVATE_CALLER_CONNECTIONS_H

#include <stdbool.h>

#include "private/client_budget.h"
#include "private/list.h"
#include "radishjunction/types.h"

struct tevent_context;
struct tevent_timer;

struct rj_caller_connections {
	struct rj_client_listener listener;
	struct rj_list list;
	void *mem; /* parent of all connections */
	struct tevent_context *loop;
	struct tevent_timer *check_timer; /* NULL without connections */
	uint64_t headers_limit_us;
	uint32_t count;
};

struct rj_caller_request;

struct rj_caller_connection {
	struct rj_client client; /* first member, always */
	struct rj_caller_request *request; /* NULL: none */
	struct rj_list link;
	struct rj_caller_connections *connections;
	int fd;
	uint64_t idle_since_us; /* 0 while a request is open */
	bool over_limit; /* refused by the budget of clients */
};

void rj_caller_connections_init(struct rj_caller_connections *connections,
				void *mem, struct tevent_context *loop,
				struct rj_client_budget *budget, uint32_t max,
				uint64_t headers_limit_us);
struct rj_caller_connection *
rj_caller_connection_open(struct rj_caller_connections *connections, int fd,
			  void (*give_way)(struct rj_client *client));
void rj_caller_connection_busy(struct rj_caller_connection *connection);
void rj_caller_connection_idle(struct rj_caller_connection *connection);
void rj_caller_connection_close(struct rj_caller_connection *connection);

#endif
