/*
 * Records in the cell's own logs: per job its spec, its state, a cancellation
 * request and, in a log that only owners read, its progress; and the ownership
 * of the cell. Each kind has its own key, so that a repeated submission cannot
 * reset the progress.
 *
 * No function reads a clock or does I/O. Decoded strings and bytes are copies.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_RECORD_H
#define RADISHJUNCTION_PRIVATE_CELL_RECORD_H

#include "private/cell_fleet.h"
#include "private/cell_active_job.h"

#define RJ_CELL_KEY_BYTES (RJ_CELL_ID_BYTES + 1)
/* Of a record that is keyed by the name of an instance. */
#define RJ_CELL_INSTANCE_KEY_BYTES (RJ_NAME_BYTES + 1)
#define RJ_CELL_QUEUE_LOADS_MAX 32
/* Two hexadecimal digits that number a part of the snapshot, and the
 * terminating zero. */
#define RJ_CELL_PART_ID_BYTES 3
#define RJ_CELL_ANNOUNCED_MAX 32
#define RJ_CELL_REFUSED_MAX 32

enum rj_cell_record_kind {
	RJ_CELL_RECORD_JOB_SPEC,
	RJ_CELL_RECORD_PROGRESS, /* in a separate log */
	/* The part of the progress that callers may see. */
	RJ_CELL_RECORD_STATE,
	RJ_CELL_RECORD_CANCEL,
	RJ_CELL_RECORD_OWNER, /* its offset is the fencing token */
	/* Shows that the owner is alive, and the cell's load. */
	RJ_CELL_RECORD_HEARTBEAT,
	/* The first record of an owner in the log of progress. */
	RJ_CELL_RECORD_FENCE,
	/* The owner's lease bounds, in the log of progress. Its key is that of
	 * RJ_CELL_RECORD_OWNER, under which earlier versions store their fence
	 * there: so the bounds vanish when such an owner, which keeps none,
	 * takes over. */
	RJ_CELL_RECORD_LEASE_BOUNDS,
	/* A part of what the owner has learnt, in the log of progress; its id
	 * is the number of the part. Earlier versions skip the key. */
	RJ_CELL_RECORD_SNAPSHOT,
	/* The submissions that an instance has rejected, in the log of
	 * requests; its id is the name of the instance. */
	RJ_CELL_RECORD_REJECTIONS,
	/* The ends of runs that an instance could not store while it owned the
	 * cell, in the log of requests; its id is the name of the instance.
	 * Earlier versions skip the key. */
	RJ_CELL_RECORD_ENDED_RUNS,
	RJ_CELL_RECORD_KIND_COUNT
};

struct rj_cell_owner_record {
	char name[RJ_NAME_BYTES]; /* of the instance */
	uint64_t incarnation;
	uint32_t strength; /* hundredths of a core */
	bool leaving; /* resigned: any instance may acquire the cell */
	/* When it wrote this, Unix time by its clock; 0: not recorded. Read by
	 * earlier versions only. */
	uint64_t since_ms;
	uint64_t epoch; /* of its appends to the log; 0: not recorded */
};

/* Load of one queue, as the owner reports it to the instances that take
 * calls. */
struct rj_cell_queue_load {
	char queue[RJ_NAME_BYTES];
	uint32_t mean_ms; /* learned run time of its tasks; 0: unknown */
	bool refuse; /* new jobs would be late or have no workers */
	uint32_t retry_after_ms; /* when capacity is expected to be free */
	uint32_t pending; /* jobs of which no task has started */
};

/* A rejected submission whose turn it is. */
struct rj_cell_announced {
	uint64_t id; /* of the job */
	uint64_t due_ms; /* when its delay has passed, Unix time */
	uint32_t queue; /* index of its queue's load */
};

/* An account that queues reject although they accept others. */
struct rj_cell_refused_account {
	char account[RJ_NAME_BYTES];
	uint32_t queues; /* bit i: queue_loads[i] rejects it */
	uint32_t retry_after_ms;
};

/* What an owner publishes regularly. A zeroed struct is empty; it is copied with
 * rj_cell_owner_heartbeat_copy and ended with _finish. */
struct rj_cell_owner_heartbeat {
	uint64_t incarnation; /* of the owner */
	uint32_t number; /* rises by one */
	/* Clock of the last term with stored lease bounds: token of its owner,
	 * and time since it began; both 0: not recorded. */
	uint64_t term_token;
	uint64_t term_ms;
	uint32_t queue_load_count;
	struct rj_cell_queue_load queue_loads[RJ_CELL_QUEUE_LOADS_MAX];
	/* Pending jobs of queues that are not in `queue_loads`, by name; NULL:
	 * none. Holds a reference. */
	GHashTable *further_pending;
	/* Submissions that are accepted although their queue rejects others,
	 * the next one first. */
	uint32_t announced_count;
	struct rj_cell_announced announced[RJ_CELL_ANNOUNCED_MAX];
	/* Minimum time between two records of rejections of an instance; 0: the
	 * default. */
	uint32_t rejections_interval_ms;
	/* Bit i: queue_loads[i] rejects only accounts that are listed with
	 * it. */
	uint32_t queues_by_share;
	uint32_t refused_account_count;
	struct rj_cell_refused_account refused_accounts[RJ_CELL_REFUSED_MAX];
};

/* The part of a job's progress that callers may see. */
struct rj_cell_summary {
	enum rj_cell_job_state state;
	bool started;
};

void rj_cell_record_key(char key[RJ_CELL_KEY_BYTES],
			enum rj_cell_record_kind kind, const char *id);
void rj_cell_record_instance_key(char key[RJ_CELL_INSTANCE_KEY_BYTES],
				 enum rj_cell_record_kind kind,
				 const char *instance);
int rj_cell_record_kind(const char *key, enum rj_cell_record_kind *kind,
			const char **id);
struct rj_bytes rj_cell_progress_encode(void *mem,
					const struct rj_cell_job *job,
					bool with_checkpoints);
int rj_cell_progress_summary(struct rj_bytes bytes,
			     struct rj_cell_summary *summary,
			     struct rj_error *err);
struct rj_bytes rj_cell_summary_encode(void *mem,
				       const struct rj_cell_summary *summary);
int rj_cell_summary_decode(struct rj_bytes bytes,
			   struct rj_cell_summary *summary,
			   struct rj_error *err);
int rj_cell_progress_decode(struct rj_bytes bytes, struct rj_cell_job *job,
			    struct rj_cell_fleet *fleet, uint64_t now_us,
			    struct rj_error *err);
struct rj_bytes rj_cell_owner_encode(void *mem,
				     const struct rj_cell_owner_record *owner);
int rj_cell_owner_decode(struct rj_bytes bytes,
			 struct rj_cell_owner_record *owner,
			 struct rj_error *err);
void rj_cell_owner_heartbeat_copy(struct rj_cell_owner_heartbeat *to,
				  const struct rj_cell_owner_heartbeat *from);
void rj_cell_owner_heartbeat_finish(struct rj_cell_owner_heartbeat *heartbeat);
void rj_cell_owner_heartbeat_set_pending(
	struct rj_cell_owner_heartbeat *heartbeat, const char *queue,
	uint32_t pending);
uint32_t
rj_cell_owner_heartbeat_pending(const struct rj_cell_owner_heartbeat *heartbeat,
				const char *queue);
struct rj_bytes
rj_cell_owner_heartbeat_encode(void *mem,
			       const struct rj_cell_owner_heartbeat *heartbeat);
int rj_cell_owner_heartbeat_decode(struct rj_bytes bytes,
				   struct rj_cell_owner_heartbeat *heartbeat,
				   struct rj_error *err);

#endif
