/*
 * One instance of the scheduler. It reads the configuration and the jobs from
 * the platform's log, answers clients, and owns the cell when it has acquired
 * it. All durable state is in the log.
 *
 * After `rj_cell_node_init` and `rj_cell_node_start`, call
 * `rj_cell_node_advance` every few milliseconds and after each other event;
 * `rj_cell_node_drain` before a shutdown.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_NODE_H
#define RADISHJUNCTION_PRIVATE_CELL_NODE_H

#include "private/cell_frontend.h"
#include "private/cell_takeover.h"

struct rj_cell_node_options {
	char name[RJ_NAME_BYTES];
	uint64_t incarnation; /* differs after each restart of the process */
	/* Hundredths of a core; stronger instances are preferred as owner. */
	uint32_t strength;
	struct rj_cell_limits limits;
	struct rj_cell_store *store;
	struct rj_cell_workers *workers;
	struct rj_cell_advisor *advisor; /* NULL: no policy service */
	const struct rj_cell_codec *codec;
	struct rj_client_budget *budget; /* of clients; NULL: no limit */
};

/* Ownership of the cell according to the log. */
struct rj_cell_ownership {
	bool known; /* an ownership record has been read */
	struct rj_cell_owner_record record;
	uint64_t token; /* offset of the record, plus one */
	uint64_t seen_us; /* when the owner's last record was read */
};

struct rj_cell_node {
	void *mem;
	struct rj_cell_node_options options;
	struct rj_cell_config *config;
	struct rj_cell_cordons cordons;
	struct rj_cell_view view;
	struct rj_cell_log_reader jobs;
	/* Read while this instance owns the cell, and to its end when a client
	 * asks for a job that is not known. */
	struct rj_cell_log_reader requests;
	struct rj_cell_log_reader configs;
	/* Read only while this instance owns the cell. */
	struct rj_cell_log_reader fleet;
	struct rj_cell_writer writer; /* of clients' requests */
	struct rj_cell_frontend frontend;
	struct rj_cell_owner owner;
	struct rj_cell_takeover takeover;
	struct rj_cell_ownership ownership;
	struct rj_cell_term_clock term_clock;
	uint64_t fenced_token; /* of the last ownership that it gave up */
	bool probing; /* reading the log to its end before acquiring the cell */
	struct rj_cell_sync probe;
	uint64_t started_us;
	bool acquiring; /* an ownership record is being appended */
	uint64_t acquire_due_us;
	uint64_t answer_us; /* duration of the last probe */
	/* Since when the owner has to be replaced; 0: it does not. */
	uint64_t candidate_us;
	bool draining;
	uint64_t now_us;
	uint64_t wall_ms;
};

void rj_cell_node_init(struct rj_cell_node *node, void *mem,
		       const struct rj_cell_node_options *options);
void rj_cell_node_set_advisor(struct rj_cell_node *node,
			      struct rj_cell_advisor *advisor);
void rj_cell_node_start(struct rj_cell_node *node, uint64_t now_us,
			uint64_t wall_ms);
void rj_cell_node_advance(struct rj_cell_node *node, uint64_t now_us,
			  uint64_t wall_ms);
bool rj_cell_node_is_owner(const struct rj_cell_node *node);
bool rj_cell_node_ready(const struct rj_cell_node *node, uint64_t now_us);
void rj_cell_node_drain(struct rj_cell_node *node, uint64_t now_us);
bool rj_cell_node_drained(const struct rj_cell_node *node);
void rj_cell_node_finish(struct rj_cell_node *node);

#endif
