/*
 * The parts of the topology planner and their shared state.
 *
 * planner_topology.c implements the planner interface with the help of
 * topology_state.c (access to the state), topology_pass.c (steps of a pass),
 * topology_queue.c (queue order), topology_place.c (placement),
 * topology_guarantee.c (workers that hold guaranteed shapes),
 * topology_reserve.c (reservations for waiting jobs) and topology_reclaim.c
 * (preemption for waiting jobs).
 */
#ifndef RADISHJUNCTION_PRIVATE_TOPOLOGY_H
#define RADISHJUNCTION_PRIVATE_TOPOLOGY_H

#include "private/guarantee_layout.h"
#include "private/ledger.h"
#include "private/runtime.h"
#include "radishjunction/planner_topology.h"

struct rj_plan_account {
	char name[RJ_NAME_BYTES];
	uint32_t share;
	uint64_t guaranteed; /* accelerators in this domain */
	uint64_t used; /* accelerators of running jobs */
	/* For its guarantees: reserved, or in use on other workers. */
	struct rj_resources granted;
	uint32_t queued;
	bool active; /* has waiting or running jobs */
};

/* Waiting jobs that differ only in their arrival time. */
struct rj_plan_bucket {
	struct rj_plan_account *account;
	enum rj_priority priority;
	struct rj_shape shape;
	bool preemptible;
	GQueue queue;
	uint64_t blocked_version; /* `version` at which its head did not fit */
	uint64_t sort_key; /* scratch: key in the present pass */
};

/* A guaranteed shape and the worker positions that hold it. */
struct rj_guaranteed_shape {
	struct rj_plan_account *account;
	struct rj_shape shape;
	uint32_t number; /* in configuration order */
	struct rj_layout_parts parts;
};

/* The candidate workers of a placement: one rack, or all. */
struct rj_worker_set {
	struct rj_capacity_worker **workers;
	uint32_t count;
};

struct rj_topology_state {
	struct rj_capacity capacity;
	struct rj_plan_table table;
	GHashTable *accounts;
	GHashTable *runtimes;
	GPtrArray *buckets; /* in order of creation */
	GQueue delayed; /* jobs in back-off, by end of the back-off */
	GSequence *deadlines;
	GPtrArray *reservations;
	GPtrArray *guaranteed_shapes;
	struct rj_domain domain;
	struct rj_config_limits limits;
	struct rj_job_class *classes;
	uint32_t class_count;
	uint64_t retry_us; /* when to retry blocked jobs without an event */
	uint64_t share_total;
	uint64_t share_active; /* sum over accounts with jobs */
	uint64_t accelerators; /* of usable workers */
	uint64_t backlog[RJ_PRIORITY_COUNT]; /* accelerators * us */
	uint64_t version; /* incremented when a blocked job may fit */
	uint64_t stamp; /* number of the last search for victims */
	uint32_t worker_accelerators; /* of the largest worker */
	uint32_t queued;
	bool workers_changed; /* any change of a worker */
	bool guarantees_changed; /* set of workers, or guaranteed shapes */
	GPtrArray *all_workers; /* scratch: owned racks first */
	struct rj_plan_member members[RJ_GANG_MAX]; /* scratch */
	uint32_t considered; /* workers examined by the last placement */
	void *mem;
};

/* topology_state.c */
struct rj_plan_account *rj_topology_account(struct rj_topology_state *state,
					    const char *name);
struct rj_runtime *rj_topology_runtime(struct rj_topology_state *state,
				       const struct rj_plan_job *job);
uint64_t rj_topology_expected_end_us(const struct rj_plan_entry *entry,
				     uint32_t percent, uint64_t now_us);
uint32_t rj_topology_job_size(const struct rj_plan_entry *entry);
struct rj_worker_set rj_topology_all_workers(struct rj_topology_state *state);
struct rj_worker_set
rj_topology_rack_workers(const struct rj_topology_state *state, uint32_t index);

void rj_topology_attach(struct rj_topology_state *state,
			struct rj_plan_entry *entry,
			const struct rj_plan_member *members, uint32_t count,
			uint64_t now_us);
void rj_topology_detach(struct rj_topology_state *state,
			struct rj_plan_entry *entry);
void rj_topology_remove(struct rj_topology_state *state,
			struct rj_plan_entry *entry);

/* topology_pass.c */
void rj_topology_pass(struct rj_topology_state *state, uint64_t now_us,
		      struct rj_decisions *decisions);

/* topology_queue.c */
uint64_t rj_topology_fair_share(const struct rj_topology_state *state,
				const struct rj_plan_account *account);
void rj_topology_update_active(struct rj_topology_state *state,
			       struct rj_plan_account *account);
void rj_topology_enqueue(struct rj_topology_state *state,
			 struct rj_plan_entry *entry, uint64_t now_us);
void rj_topology_dequeue(struct rj_topology_state *state,
			 struct rj_plan_entry *entry);
void rj_topology_release_delayed(struct rj_topology_state *state,
				 uint64_t now_us);
struct rj_plan_bucket *rj_topology_next_bucket(struct rj_topology_state *state,
					       uint64_t now_us);
uint64_t rj_topology_expected_wait_us(const struct rj_topology_state *state,
				      enum rj_priority priority);
uint64_t rj_topology_retry_after_us(uint64_t wait_us, uint64_t job_id);
bool rj_topology_queue_is_full(const struct rj_topology_state *state,
			       const struct rj_plan_entry *entry);

/* topology_place.c */
struct rj_resources
rj_topology_available(const struct rj_capacity_worker *worker,
		      const struct rj_plan_entry *entry, uint64_t now_us,
		      bool firm_only);
uint32_t rj_topology_place(struct rj_topology_state *state,
			   struct rj_plan_entry *entry, uint64_t now_us);
bool rj_topology_is_backfill(const struct rj_plan_entry *entry,
			     const struct rj_plan_member *members,
			     uint32_t count,
			     const struct rj_capacity *capacity);

/* topology_guarantee.c */
void rj_topology_layout_guarantees(struct rj_topology_state *state,
				   const struct rj_config *config);
void rj_topology_apply_guarantees(struct rj_topology_state *state);
uint32_t rj_topology_rack_group(const struct rj_topology_state *state,
				uint32_t rack);
uint32_t rj_topology_guarantee_rack(const struct rj_topology_state *state,
				    const char *account,
				    const struct rj_shape *shape);
bool rj_topology_is_entitled(const struct rj_topology_state *state,
			     const struct rj_plan_entry *entry);

/* topology_reserve.c */
struct rj_reservation *rj_topology_reserve(struct rj_topology_state *state,
					   struct rj_plan_entry *entry,
					   const struct rj_plan_member *members,
					   uint32_t count, bool firm,
					   uint64_t at_us);
void rj_topology_unreserve(struct rj_topology_state *state,
			   struct rj_reservation *reservation);
bool rj_reservation_includes(const struct rj_reservation *reservation,
			     uint32_t worker);
void rj_topology_grant(struct rj_plan_entry *entry);
void rj_topology_revoke(struct rj_plan_entry *entry);
void rj_topology_cancel_reservation(struct rj_topology_state *state,
				    struct rj_reservation *reservation,
				    uint64_t now_us);
void rj_topology_displace_reservations(struct rj_topology_state *state,
				       const struct rj_plan_member *members,
				       uint32_t count, uint64_t now_us);
void rj_topology_reserve_earliest(struct rj_topology_state *state,
				  struct rj_plan_entry *entry, uint64_t now_us);

/* topology_reclaim.c */
uint64_t rj_topology_preemption_delay_us(const struct rj_topology_state *state,
					 const struct rj_plan_entry *entry);
bool rj_topology_reclaim(struct rj_topology_state *state,
			 struct rj_plan_entry *entry, uint64_t now_us,
			 struct rj_decisions *decisions);

#endif
