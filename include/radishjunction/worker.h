/*
 * Worker calls and replies, independent of the wire format.
 *
 * A worker runs tasks under leases and is the authority on its own leases: a
 * token that has expired, was released or was fenced never starts a task. It
 * keeps completed tasks for a while, so that a new owner can query them. After
 * a restart it has a higher incarnation and no state.
 *
 * LEASE, START, RUN, RENEW, STOP, RELEASE and FENCE are idempotent: the same
 * call for the same attempt and member returns the same answer. The worker
 * stops a running task whose lease expires.
 */
#ifndef RADISHJUNCTION_WORKER_H
#define RADISHJUNCTION_WORKER_H

#include "radishjunction/types.h"

enum rj_worker_op {
	/* Reserve capacity; nothing runs. */
	RJ_WORKER_LEASE,
	/* Start under a leased token. Answers immediately, or with `wait` on
	   completion of the task. */
	RJ_WORKER_START,
	/* Lease and start in one call; answers on completion of the task. */
	RJ_WORKER_RUN,
	/* Extend one lease; `holder` becomes the instance that renews it. */
	RJ_WORKER_RENEW,
	/* Save the progress, then stop, within limit_us. */
	RJ_WORKER_CHECKPOINT,
	RJ_WORKER_THROTTLE, /* set the speed of a started task */
	RJ_WORKER_STOP,
	/* Invalidate a token that was not started; forget a completed task. */
	RJ_WORKER_RELEASE,
	/* Return the state of an attempt and invalidate its token if it was
	   not started. */
	RJ_WORKER_FENCE,
	/* List all leases and running tasks; with life_us, first renew those
	   of `holder` in the same call. A completed task is listed until its
	   completion has been reported by the answer to RUN or to START with
	   `wait`, or until RELEASE. FENCE can query it for longer. */
	RJ_WORKER_REPORT,
	RJ_WORKER_OP_COUNT
};

extern const char *const rj_worker_op_string[RJ_WORKER_OP_COUNT];

enum rj_task_state {
	RJ_TASK_NONE, /* the worker knows no such task */
	RJ_TASK_HELD, /* leased, not started */
	RJ_TASK_RUNNING,
	RJ_TASK_DONE,
	RJ_TASK_FAILED,
	RJ_TASK_STOPPED, /* started, then stopped before completion */
	RJ_TASK_DEAD, /* never started; its token expired or was fenced */
	RJ_TASK_STATE_COUNT
};

extern const char *const rj_task_state_string[RJ_TASK_STATE_COUNT];

enum rj_reply_status {
	RJ_REPLY_OK,
	RJ_REPLY_REFUSED, /* guaranteed without effect; see reason */
	RJ_REPLY_LOST, /* no complete answer: it may have taken effect */
	RJ_REPLY_STATUS_COUNT
};

extern const char *const rj_reply_status_string[RJ_REPLY_STATUS_COUNT];

struct rj_worker_call {
	uint64_t call_id;
	enum rj_worker_op op;
	char worker[RJ_NAME_BYTES];
	struct rj_address address;
	uint64_t timeout_us;
	uint64_t holder; /* incarnation of the calling instance */
	struct rj_attempt attempt;
	/* A member is all tasks of a gang on one worker, with one lease and
	   one start; `each` is the member's total demand. */
	uint32_t member; /* index of the member within its gang */
	uint32_t gang; /* members of the whole gang */
	/* Token of the lease; 0 for LEASE, RUN and REPORT. In CHECKPOINT, STOP,
	   RELEASE and FENCE, 0 refers to the lease of this attempt and
	   member. */
	uint64_t token;
	char account[RJ_NAME_BYTES];
	char class_name[RJ_NAME_BYTES];
	struct rj_resources each;
	uint64_t life_us; /* LEASE, RUN, RENEW */
	uint64_t limit_us; /* CHECKPOINT */
	/* START, THROTTLE: 0 suspends a started task, 100 runs it at full
	   speed. A gang starts at 0 and runs once all members have started. */
	uint32_t throttle_percent;
	uint64_t resume_us; /* START, RUN: progress saved by checkpoints */
	bool wait; /* START: answer on completion */
	uint64_t declared_us;
	uint64_t known_version; /* REPORT: version the caller has; 0: none */
	uint32_t connections_max; /* to one worker; 0: unchanged */
	struct rj_bytes body;
};

/*
 * Of a worker's 64 connections, the owner of its rack uses at most 14 and
 * every other instance, which only queries the worker, at most 2.
 */
#define RJ_WORKER_CONNECTIONS 64
#define RJ_WORKER_CONNECTIONS_OWNER 14
#define RJ_WORKER_CONNECTIONS_OTHER 2
#define RJ_WORKER_CONNECTIONS_MIN 3 /* one for each pool */

/* One lease or task known to a worker. */
struct rj_task_report {
	struct rj_attempt attempt;
	uint64_t holder; /* incarnation of the instance that renews the lease */
	uint32_t member;
	uint32_t gang;
	uint64_t token;
	char account[RJ_NAME_BYTES];
	char class_name[RJ_NAME_BYTES];
	enum rj_task_state state;
	struct rj_resources each;
	uint64_t ran_us;
	uint64_t lease_left_us;
	struct rj_bytes result; /* DONE or FAILED */
};

struct rj_worker_report {
	uint64_t incarnation;
	bool leaving;
	struct rj_resources capacity;
	/* Digest of the report; see rj_worker_report_set_version. */
	uint64_t version;
	bool unchanged; /* same version as the caller has; no tasks listed */
	struct rj_task_report *tasks;
	uint32_t task_count;
};

struct rj_worker_reply {
	uint64_t call_id;
	enum rj_worker_op op;
	char worker[RJ_NAME_BYTES];
	enum rj_reply_status status;
	enum rj_reason reason; /* with REFUSED */
	bool leaving; /* the worker is about to deregister */
	uint64_t incarnation; /* of the worker */
	struct rj_attempt attempt; /* echoed by the worker */
	uint64_t token;
	enum rj_task_state state;
	struct rj_bytes result;
	uint64_t ran_us;
	struct rj_worker_report report; /* REPORT */
};

void rj_worker_report_set_version(struct rj_worker_report *report,
				  uint64_t known_version);

#endif
