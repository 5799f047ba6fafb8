/*
 * What is asked of a worker and what it answers, in whatever wire format.
 *
 * A worker runs tasks under leases. It is the arbiter of its own leases: a
 * token that has lapsed, was released or was fenced never starts a task. It
 * remembers ended tasks for a while, so that a new owner can ask. A restart
 * gives it a higher incarnation and makes it forget everything.
 *
 * LEASE, START, RUN, RENEW, STOP, RELEASE and FENCE are idempotent: the same
 * call for the same attempt and member repeats its answer. A running task
 * whose lease lapses is stopped by the worker.
 */
#ifndef RADISHJUNCTION_WORKER_H
#define RADISHJUNCTION_WORKER_H

#include "radishjunction/types.h"

enum rj_worker_op {
	/* Reserve; nothing runs. */
	RJ_WORKER_LEASE,
	/* Start under a held token. Answers at once, or with `wait` at the
	   task's end. */
	RJ_WORKER_START,
	/* Lease and start in one; answers at the task's end. */
	RJ_WORKER_RUN,
	/* Extend one lease; `holder` becomes the one who renews it. */
	RJ_WORKER_RENEW,
	/* Save the progress, then stop, within limit_us. */
	RJ_WORKER_CHECKPOINT,
	RJ_WORKER_THROTTLE,
	RJ_WORKER_STOP,
	/* A token that was not started is dead; an ended task is forgotten. */
	RJ_WORKER_RELEASE,
	/* Say what became of an attempt; a token that was not started is
	   dead afterwards. */
	RJ_WORKER_FENCE,
	/* List all leases and running tasks; with life_us, first renew those
	   of `holder` in the same call. An ended task is listed until its end
	   has been told: by the answer to RUN or to START with `wait`, or
	   until RELEASE. FENCE knows it for longer. */
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
	RJ_TASK_STOPPED, /* started, then stopped before its end */
	RJ_TASK_DEAD, /* its token lapsed or was fenced; never started */
	RJ_TASK_STATE_COUNT
};

extern const char *const rj_task_state_string[RJ_TASK_STATE_COUNT];

enum rj_reply_status {
	RJ_REPLY_OK,
	RJ_REPLY_REFUSED, /* surely without effect; see reason */
	RJ_REPLY_LOST, /* no whole answer: it may have taken effect */
	RJ_REPLY_STATUS_COUNT
};

extern const char *const rj_reply_status_string[RJ_REPLY_STATUS_COUNT];

struct rj_worker_call {
	uint64_t call_id;
	enum rj_worker_op op;
	char worker[RJ_NAME_BYTES];
	struct rj_address address;
	uint64_t timeout_us;
	uint64_t holder; /* incarnation of the instance that calls */
	struct rj_attempt attempt;
	/* A member is all of a gang's tasks on one worker: one lease, one
	   start; `each` is what the member needs in all. */
	uint32_t member; /* index of the member within its gang */
	uint32_t gang; /* members of the whole gang */
	/* Of the lease; 0 for LEASE, RUN and REPORT. CHECKPOINT, STOP, RELEASE
	   and FENCE with 0 mean the lease of this attempt and member. */
	uint64_t token;
	char account[RJ_NAME_BYTES];
	char class_name[RJ_NAME_BYTES];
	struct rj_resources each;
	uint64_t life_us; /* LEASE, RUN, RENEW */
	uint64_t limit_us; /* CHECKPOINT */
	/* START, THROTTLE: 0 holds a started task still, 100 lets it run.
	   A gang starts at 0 and is let run when all of it has started. */
	uint32_t throttle_percent;
	uint64_t resume_us; /* START, RUN: progress saved by checkpoints */
	bool wait; /* START: answer at the end */
	uint64_t declared_us;
	uint64_t known_version; /* REPORT: the caller has this one; 0: none */
	/* How many connections to a worker the caller may have now. */
	uint32_t connections_max;
	struct rj_bytes body;
};

/*
 * Of a worker's 64 connections, the owner of its rack takes at most 14 and
 * each other instance, which only asks, at most 2.
 */
#define RJ_WORKER_CONNECTIONS 64
#define RJ_WORKER_CONNECTIONS_OWNER 14
#define RJ_WORKER_CONNECTIONS_OTHER 2
#define RJ_WORKER_CONNECTIONS_MIN 3 /* one for each way of waiting */

/* One lease or task that a worker knows of. */
struct rj_task_report {
	struct rj_attempt attempt;
	uint64_t holder; /* who renews its lease */
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
	/* Digest of the rest; see rj_worker_report_set_version. */
	uint64_t version;
	bool unchanged; /* as in the report that the caller knows; no tasks */
	struct rj_task_report *tasks;
	uint32_t task_count;
};

struct rj_worker_reply {
	uint64_t call_id;
	enum rj_worker_op op;
	char worker[RJ_NAME_BYTES];
	enum rj_reply_status status;
	enum rj_reason reason; /* with REFUSED */
	bool leaving; /* the worker says that it is leaving */
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
