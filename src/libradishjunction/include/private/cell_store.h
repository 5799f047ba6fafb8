/*
 * Interface to the platform's log. An adapter provides the operations.
 *
 * Every operation calls `done` exactly once, and not before it has returned.
 * The reply and all it points to are valid until `done` returns.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_STORE_H
#define RADISHJUNCTION_PRIVATE_CELL_STORE_H

#include "radishjunction/types.h"

/* Logs that a node reads. Each is compacted to the newest record per key. */
enum rj_cell_topic {
	RJ_CELL_TOPIC_JOBS, /* own: states of jobs, ownership */
	/* own: specs and cancellations of jobs, followed by the owner only */
	RJ_CELL_TOPIC_REQUESTS,
	RJ_CELL_TOPIC_PROGRESS, /* own: tasks and runs, read by owners only */
	RJ_CELL_TOPIC_CONFIG, /* published by operators */
	RJ_CELL_TOPIC_WORKERS, /* heartbeats of the workers */
	RJ_CELL_TOPIC_COUNT
};

extern const char *const rj_cell_topic_string[RJ_CELL_TOPIC_COUNT];

struct rj_cell_record {
	const char *key;
	struct rj_bytes value; /* empty: deletes the key */
	uint64_t offset; /* set for records that were read */
};

enum rj_cell_store_status {
	RJ_CELL_STORE_OK,
	RJ_CELL_STORE_REFUSED, /* nothing was done: overloaded or unavailable */
	/* Nothing was done, and a repeat would get the same answer: the store
	 * does not accept the contents of the call. */
	RJ_CELL_STORE_INVALID,
	RJ_CELL_STORE_FENCED, /* a producer with a higher epoch has written */
	/* Not the next sequence number of this producer. */
	RJ_CELL_STORE_SEQUENCE,
	RJ_CELL_STORE_EXPIRED, /* the requested records have expired */
	RJ_CELL_STORE_LOST, /* no answer; it may be carried out, even later */
	RJ_CELL_STORE_MALFORMED, /* the answer could not be parsed */
	RJ_CELL_STORE_STATUS_COUNT
};

extern const char
	*const rj_cell_store_status_string[RJ_CELL_STORE_STATUS_COUNT];

struct rj_cell_append {
	enum rj_cell_topic topic; /* one of the own logs */
	const char *producer;
	uint64_t epoch;
	uint64_t sequence; /* one more than in the previous append */
	const struct rj_cell_record *records;
	uint32_t count;
};

struct rj_cell_store_reply {
	enum rj_cell_store_status status;
	uint64_t now_us; /* when the answer arrived, by the node's clock */
	uint64_t end; /* offset after the last record of the log */
	uint64_t next; /* reads: offset after the last record returned */
	const struct rj_cell_record *records;
	uint32_t count;
	bool more; /* newest: more keys follow */
	/* Newest: the key after which the next page begins; NULL: the last
	 * one. */
	const char *after;
};

/* Completion callback of an operation. */
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
	/* Reads records from an offset on; waits up to wait_ms for the
	 * first. */
	void (*read)(struct rj_cell_store *store, enum rj_cell_topic topic,
		     uint64_t from, uint32_t wait_ms,
		     struct rj_cell_store_done done);
	/* Reads the newest record of each key after `after` (NULL: of all
	 * keys). */
	void (*newest)(struct rj_cell_store *store, enum rj_cell_topic topic,
		       const char *after, struct rj_cell_store_done done);
};

struct rj_cell_store {
	const struct rj_cell_store_ops *ops; /* must be the first member */
};

#endif
