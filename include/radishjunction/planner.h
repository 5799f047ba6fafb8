/*
 * Planner: decides where and when jobs run. It keeps the capacity, queue,
 * guarantees and reservations of the workers that one instance plans.
 *
 * Life cycle: init (of the variant), `configure`, then `worker`, `submit`,
 * `ended`, `requeue` and `adopt` in any order, each followed by `pass`, which
 * returns the decisions; `finish`. A planner does no I/O and uses no clock or
 * globals.
 *
 * From the START of a job until its `ended` or `requeue`, the planner counts
 * the capacity of its members as allocated. A RECLAIM asks the caller to stop
 * the job; its capacity is free after `ended` or `requeue`.
 */
#ifndef RADISHJUNCTION_PLANNER_H
#define RADISHJUNCTION_PLANNER_H

#include "radishjunction/config.h"
#include "radishjunction/types.h"

/* A worker as the planner sees it. */
struct rj_plan_worker {
	uint32_t id; /* small, stable index assigned by the caller */
	/* Determines its position in the rack; "": order of discovery. */
	char name[RJ_NAME_BYTES];
	uint32_t rack;
	struct rj_resources capacity;
	struct rj_resources foreign; /* used by tasks of other planners */
	bool usable; /* accepts new work */
	bool owned; /* in a rack that this instance owns */
	/* In a peer's rack; `offered` is what the peer offers of it. */
	bool limited;
	struct rj_resources offered;
};

#define RJ_PLAN_AVOID_MAX 4

struct rj_plan_job {
	uint64_t job_id;
	char account[RJ_NAME_BYTES];
	char class_name[RJ_NAME_BYTES];
	struct rj_shape shape;
	enum rj_priority priority;
	bool preemptible; /* idempotent or checkpointed: may borrow */
	bool checkpoint;
	uint64_t declared_us;
	uint64_t queued_us; /* arrival time */
	uint64_t deadline_us; /* RJ_NEVER_US if none */
	/* Workers on which it failed: used only if no other fits. */
	uint32_t avoid[RJ_PLAN_AVOID_MAX];
	uint32_t avoid_count;
};

/* The number of tasks of a gang on one worker. */
struct rj_plan_member {
	uint32_t worker;
	uint32_t tasks;
};

enum rj_decision_kind {
	RJ_DECISION_START,
	RJ_DECISION_RECLAIM, /* checkpoint, then stop, within limit_us */
	RJ_DECISION_REFUSE, /* abandon a waiting job */
	RJ_DECISION_KIND_COUNT
};

extern const char *const rj_decision_kind_string[RJ_DECISION_KIND_COUNT];

struct rj_decision {
	enum rj_decision_kind kind;
	enum rj_reason reason;
	uint64_t job_id;
	struct rj_plan_member *members; /* START; child of the list's `mem` */
	uint32_t member_count;
	bool checkpoint; /* RECLAIM */
	uint64_t limit_us; /* RECLAIM */
	uint64_t for_job; /* RECLAIM: the job that capacity is reclaimed for */
	uint64_t retry_after_us; /* REFUSE */
	uint32_t considered; /* workers (START) or jobs (RECLAIM) examined */
};

struct rj_decisions {
	struct rj_decision *list;
	uint32_t count;
	uint32_t capacity;
	void *mem;
};

/* Totals for status, summaries and the policy benchmark. */
struct rj_plan_view {
	uint32_t queued;
	uint32_t running;
	uint32_t accelerators;
	uint32_t accelerators_free;
	uint32_t largest_waiting; /* accelerators of the largest waiting job */
	/* Free accelerators that the largest waiting shape cannot use. */
	uint32_t accelerators_stranded;
	uint64_t small_wait_us; /* expected wait of a small job */
};

struct rj_planner;

struct rj_planner_ops {
	const char *name;
	void (*configure)(struct rj_planner *planner,
			  const struct rj_config *config, const char *domain,
			  uint64_t now_us);
	void (*worker)(struct rj_planner *planner,
		       const struct rj_plan_worker *worker, uint64_t now_us);
	void (*worker_removed)(struct rj_planner *planner, uint32_t worker,
			       uint64_t now_us);
	/* Returns 0, or -1 with the reason and a retry delay. */
	int (*submit)(struct rj_planner *planner, const struct rj_plan_job *job,
		      uint64_t now_us, enum rj_reason *reason,
		      uint64_t *retry_after_us);
	/* The job has ended, or was abandoned while waiting. */
	void (*ended)(struct rj_planner *planner, uint64_t job_id,
		      bool succeeded, uint64_t ran_us, uint64_t now_us);
	/* The job returns to the queue; its progress may be lost. */
	void (*requeue)(struct rj_planner *planner, uint64_t job_id,
			uint64_t not_before_us, uint64_t now_us);
	/* Adds a job that was found running, with its members. */
	void (*adopt)(struct rj_planner *planner, const struct rj_plan_job *job,
		      const struct rj_plan_member *members, uint32_t count,
		      uint64_t now_us);
	void (*pass)(struct rj_planner *planner, uint64_t now_us,
		     struct rj_decisions *decisions);
	/* When `pass` should run again if no event occurs. */
	uint64_t (*wake_us)(const struct rj_planner *planner);
	void (*view)(const struct rj_planner *planner, uint64_t now_us,
		     struct rj_plan_view *view);
	/*
	 * The group of a rack. Racks spanned by one guaranteed shape form a
	 * group with a single owner, which can reclaim the whole shape. NULL:
	 * each rack is its own group.
	 */
	uint32_t (*rack_group)(const struct rj_planner *planner, uint32_t rack);
	/*
	 * A rack that holds a guaranteed shape of `account` large enough for
	 * `shape`, or UINT32_MAX. NULL: the planner has no guarantees.
	 */
	uint32_t (*guarantee_rack)(const struct rj_planner *planner,
				   const char *account,
				   const struct rj_shape *shape);
	/*
	 * The capacity of a worker under firm reservation for waiting jobs,
	 * which must not be offered to other instances. NULL: the planner makes
	 * no reservations.
	 */
	void (*reserved)(const struct rj_planner *planner, uint32_t worker,
			 struct rj_resources *reserved);
	void (*finish)(struct rj_planner *planner);
};

struct rj_planner {
	const struct rj_planner_ops *ops; /* must be the first member */
};

void rj_decisions_init(struct rj_decisions *decisions, void *mem);
struct rj_decision *rj_decisions_add(struct rj_decisions *decisions,
				     enum rj_decision_kind kind);
struct rj_decision *rj_decisions_add_start(struct rj_decisions *decisions,
					   uint64_t job_id,
					   enum rj_reason reason,
					   const struct rj_plan_member *members,
					   uint32_t count);
void rj_decisions_clear(struct rj_decisions *decisions);
void rj_decisions_finish(struct rj_decisions *decisions);

/* First fit in order of arrival: the baseline planner. */
struct rj_planner_first_fit {
	struct rj_planner base;
	struct rj_first_fit_state *state;
};
int rj_planner_first_fit_init(struct rj_planner_first_fit *planner, void *mem);

#endif
