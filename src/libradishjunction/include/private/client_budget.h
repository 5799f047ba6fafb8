/*
 * What clients may make a process hold: one budget of memory for all
 * listeners, and for each listener a share of the connections. Decides which
 * client gives way when a budget is exhausted.
 *
 * Each connection is a `struct rj_client`, and each byte that is held for it is
 * charged before it is held. If a charge does not fit, the connection with the
 * least progress gives way: it is marked, its socket is shut down, and
 * `give_way` frees what is held for its request. A request that was received
 * completely gives way only for a new connection, if its client has closed its
 * sending side; if nobody can give way, the charge is refused.
 *
 * Life cycle: `rj_client_budget_init`; `rj_client_listener_init` for each
 * listener. For each connection `rj_client_open`; for each of its requests
 * `rj_client_begin` when its headers are complete, `rj_client_received` and
 * `rj_client_charge` for its body, `rj_client_complete`, and `rj_client_end`;
 * then `rj_client_close`. No call blocks, allocates or reads the clock.
 */
#ifndef RADISHJUNCTION_PRIVATE_CLIENT_BUDGET_H
#define RADISHJUNCTION_PRIVATE_CLIENT_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "private/list.h"

/* Of the machine's memory, unless settings say otherwise. */
#define RJ_CLIENT_MEMORY_PERCENT 33

/* Why a client was refused or had to give way. */
enum rj_client_refusal {
	RJ_CLIENT_REFUSAL_MEMORY, /* the budget of memory is exhausted */
	RJ_CLIENT_REFUSAL_CONNECTIONS, /* all connections are taken */
	RJ_CLIENT_REFUSAL_HEADERS, /* the headers exceed their limit */
	RJ_CLIENT_REFUSAL_BODY, /* the body exceeds its limit */
	RJ_CLIENT_REFUSAL_VALUES, /* the body has too many values */
	RJ_CLIENT_REFUSAL_FRAMING, /* its framing cannot be processed */
	RJ_CLIENT_REFUSAL_COUNT
};

extern const char *const rj_client_refusal_string[RJ_CLIENT_REFUSAL_COUNT];

struct rj_client;

struct rj_client_budget {
	uint64_t memory_max_bytes;
	uint64_t memory_bytes; /* charged */
	uint64_t memory_peak_bytes;
	uint32_t values_max; /* of one body */
	struct rj_list clients;
	uint64_t refused[RJ_CLIENT_REFUSAL_COUNT];
	uint64_t gave_way[RJ_CLIENT_REFUSAL_COUNT];
	uint64_t now_us; /* of the newest call */
	uint64_t logged_us[RJ_CLIENT_REFUSAL_COUNT];
	uint64_t unlogged[RJ_CLIENT_REFUSAL_COUNT];
};

struct rj_client_listener {
	struct rj_client_budget *budget;
	const char *name; /* in logs and metrics */
	uint32_t connections_max;
	uint32_t connections;
};

enum rj_client_state {
	RJ_CLIENT_IDLE, /* between requests, or its headers are incomplete */
	RJ_CLIENT_RECEIVING, /* its body is incomplete */
	RJ_CLIENT_COMPLETE, /* until its answer is sent */
	RJ_CLIENT_GIVING_WAY, /* its socket is shut down */
};

/* A connection, in memory of its owner. */
struct rj_client {
	struct rj_list link;
	struct rj_client_listener *listener;
	int fd;
	enum rj_client_state state;
	bool served; /* has had a complete request */
	bool may_be_gone; /* it sends nothing more, and waits or is gone */
	bool chunked; /* the request's body has no announced length */
	uint64_t held_bytes; /* charged for its request */
	uint64_t begun_us; /* of the request, or of the wait for it */
	uint64_t received_us; /* when bytes last arrived */
	uint64_t decayed_bytes; /* received, halved for each half-life */
	uint64_t decayed_us;
	/* Frees what is held for its request. */
	void (*give_way)(struct rj_client *client);
};

void rj_client_budget_init(struct rj_client_budget *budget,
			   uint64_t memory_max_bytes, uint32_t values_max);
uint32_t rj_client_budget_connections(const struct rj_client_budget *budget);
int rj_client_budget_hold(struct rj_client_budget *budget, uint64_t bytes);
void rj_client_budget_release(struct rj_client_budget *budget, uint64_t bytes);
void rj_client_budget_refuse(struct rj_client_budget *budget,
			     enum rj_client_refusal reason,
			     const char *listener);
void rj_client_budget_end_stall(struct rj_client_budget *budget,
				const struct rj_client_listener *listener,
				uint64_t silent_since_us, uint64_t now_us);
void rj_client_budget_write(const struct rj_client_budget *budget,
			    GString *text);
void rj_client_listener_init(struct rj_client_listener *listener,
			     struct rj_client_budget *budget, const char *name,
			     uint32_t connections_max);
uint32_t rj_client_listener_stalled(const struct rj_client_listener *listener,
				    uint64_t now_us);
bool rj_client_listener_has_new(const struct rj_client_listener *listener,
				uint64_t now_us);
bool rj_client_listener_has_unread(const struct rj_client_listener *listener);
void rj_client_listener_write(const struct rj_client_listener *listener,
			      GString *text);
int rj_client_open(struct rj_client *client,
		   struct rj_client_listener *listener, int fd,
		   void (*give_way)(struct rj_client *client), uint64_t now_us);
bool rj_client_has_unread(const struct rj_client *client);
void rj_client_begin(struct rj_client *client, bool chunked, uint64_t now_us);
void rj_client_received(struct rj_client *client, uint64_t bytes,
			uint64_t now_us);
int rj_client_charge(struct rj_client *client, uint64_t bytes);
void rj_client_charge_answer(struct rj_client *client, uint64_t bytes);
void rj_client_discharge(struct rj_client *client);
void rj_client_complete(struct rj_client *client, uint64_t now_us);
void rj_client_set_may_be_gone(struct rj_client *client, bool may_be_gone);
void rj_client_end(struct rj_client *client, uint64_t now_us);
void rj_client_close(struct rj_client *client);

#endif
