/*
 * One instance on a platform whose log keeps what must last: it follows the
 * configuration and the jobs, answers clients, and owns the cell when it is
 * its turn.
 *
 * Life cycle: `rj_cell_node_init` with the adapters, `rj_cell_node_start`, a
 * tick every few milliseconds and `rj_cell_node_advance` after each other
 * event; `rj_cell_node_drain` when it is to stop; `rj_cell_node_finish`.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_NODE_H
#define RADISHJUNCTION_PRIVATE_CELL_NODE_H

#include "private/cell_front.h"
#include "private/cell_takeover.h"

struct rj_cell_node_options {
	char name[RJ_NAME_BYTES];
	uint64_t incarnation; /* differs in each life of the process */
	uint32_t strength; /* hundredths of a core; the strongest own */
	struct rj_cell_limits terms;
	struct rj_cell_store *store;
	struct rj_cell_workers *workers;
	struct rj_cell_advisor *advisor; /* NULL: there is none */
	const struct rj_cell_codec *codec;
};

/* The ownership of the cell, as the log shows it. */
struct rj_cell_tenure {
	bool known; /* some record has been read */
	struct rj_cell_owner_record record;
	uint64_t token; /* offset of the record, plus one */
	uint64_t seen_us; /* when the owner was last seen to write */
};

struct rj_cell_node {
	void *mem;
	struct rj_cell_node_options options;
	struct rj_cell_config *config;
	struct rj_cell_cordons cordons;
	struct rj_cell_view view;
	struct rj_cell_follow jobs;
	struct rj_cell_follow configs;
	struct rj_cell_follow fleet; /* read by the owner alone */
	struct rj_cell_writer writer; /* of what clients ask for */
	struct rj_cell_front front;
	struct rj_cell_owner owner;
	struct rj_cell_takeover takeover;
	struct rj_cell_tenure tenure;
	struct rj_cell_owner_record former; /* of the tenure before */
	uint64_t fenced_token; /* the last that was taken from us */
	bool probing; /* reading the log to its end before it acquires */
	struct rj_cell_sync probe;
	uint64_t started_us;
	bool acquiring; /* an ownership record is on its way */
	uint64_t acquire_due_us;
	uint32_t stagger_us; /* this instance waits so much longer */
	bool draining;
	uint64_t now_us;
	uint64_t wall_ms;
};

void rj_cell_node_init(struct rj_cell_node *node, void *mem,
		       const struct rj_cell_node_options *options);
void rj_cell_node_start(struct rj_cell_node *node, uint64_t now_us,
			uint64_t wall_ms);
void rj_cell_node_advance(struct rj_cell_node *node, uint64_t now_us,
			  uint64_t wall_ms);
bool rj_cell_node_ready(const struct rj_cell_node *node, uint64_t now_us);
void rj_cell_node_drain(struct rj_cell_node *node, uint64_t now_us);
bool rj_cell_node_drained(const struct rj_cell_node *node);
void rj_cell_node_finish(struct rj_cell_node *node);

#endif
