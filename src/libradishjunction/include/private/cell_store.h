/*
 * What the cells ask of the platform's log. An adapter fills the vtable.
 *
 * Every call ends in exactly one call of `done`, never before the call has
 * returned; what the reply points to lives until `done` returns.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_STORE_H
#define RADISHJUNCTION_PRIVATE_CELL_STORE_H

#include "radishjunction/types.h"

/* The logs that a node follows. Each keeps the newest record of a key. */
enum rj_cell_topic {
	RJ_CELL_TOPIC_JOBS, /* ours: jobs, their states, ownership */
	RJ_CELL_TOPIC_PROGRESS, /* ours: tasks and runs, for owners alone */
	RJ_CELL_TOPIC_CONFIG, /* what operators publish */
	RJ_CELL_TOPIC_WORKERS, /* the workers' heartbeats */
	RJ_CELL_TOPIC_COUNT
};

extern const char *const rj_cell_topic_string[RJ_CELL_TOPIC_COUNT];

struct rj_cell_record {
	const char *key;
	struct rj_bytes value; /* empty: the key is dropped */
	uint64_t offset; /* of records that were read */
};

enum rj_cell_store_status {
	RJ_CELL_STORE_OK,
	RJ_CELL_STORE_REFUSED, /* nothing was done: overloaded or away */
	RJ_CELL_STORE_FENCED, /* a producer of a higher epoch has written */
	RJ_CELL_STORE_SEQUENCE, /* not the next append of this producer */
	RJ_CELL_STORE_EXPIRED, /* the records asked for have expired */
	RJ_CELL_STORE_LOST, /* no answer: it may have been done, or will be */
	RJ_CELL_STORE_MALFORMED, /* an answer that cannot be understood */
	RJ_CELL_STORE_STATUS_COUNT
};

extern const char
	*const rj_cell_store_status_string[RJ_CELL_STORE_STATUS_COUNT];

struct rj_cell_append {
	enum rj_cell_topic topic; /* one of ours */
	const char *producer;
	uint64_t epoch;
	uint64_t sequence; /* one more than that of the append before */
	const struct rj_cell_record *records;
	uint32_t count;
};

struct rj_cell_store_reply {
	enum rj_cell_store_status status;
	uint64_t now_us; /* when the answer came, by the node's clock */
	uint64_t end; /* offset after the last record of the log */
	uint64_t next; /* reads: offset after the last record returned */
	const struct rj_cell_record *records;
	uint32_t count;
	bool more; /* newest: there are more keys */
};

/* What is called once a call has ended. */
struct rj_cell_store_done {
	void (*call)(void *private_data,
		     const struct rj_cell_store_reply *reply);
	void *private_data;
};

struct rj_cell_store;

struct rj_cell_store_ops {
	void (*append)(struct rj_cell_store *store,
		       const struct rj_cell_append *append,
		       struct rj_cell_store_done done);
	/* Records from an offset on; waits up to wait_ms for the first. */
	void (*read)(struct rj_cell_store *store, enum rj_cell_topic topic,
		     uint64_t from, uint32_t wait_ms,
		     struct rj_cell_store_done done);
	/* The newest record of each key after `after` (NULL: of all). */
	void (*newest)(struct rj_cell_store *store, enum rj_cell_topic topic,
		       const char *after, struct rj_cell_store_done done);
};

struct rj_cell_store {
	const struct rj_cell_store_ops *ops; /* first member, always */
};

#endif
