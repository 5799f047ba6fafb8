/*
 * The workers as targets of calls, their racks, and the tasks of other
 * instances on them.
 */
#ifndef RADISHJUNCTION_PRIVATE_UPSTREAMS_H
#define RADISHJUNCTION_PRIVATE_UPSTREAMS_H

#include <glib.h>
#include "private/list.h"
#include "private/timer.h"
#include "radishjunction/planner.h"
#include "radishjunction/worker.h"

struct rj_core_state;
struct rj_peer_leaving;
struct rj_peer_summary;
struct rj_instance;

enum rj_upstream_health {
	RJ_UPSTREAM_HEALTHY,
	RJ_UPSTREAM_UNREACHABLE, /* does not answer polls */
	RJ_UPSTREAM_QUARANTINED, /* fails what it starts; retried later */
	RJ_UPSTREAM_HEALTH_COUNT
};

/* Failed jobs remembered per worker, to tell a faulty worker from a faulty
 * job. */
#define RJ_FAILED_JOBS 4

/* A rack of this instance's failure domain. */
struct rj_rack {
	struct rj_list link;
	uint32_t number;
	struct rj_upstream **workers; /* talloc array, sorted by name */
	uint32_t count;
	bool owned; /* by this instance */
	const char *owner; /* the peer that owns it, or NULL */
};

/* A worker as a target of calls. */
struct rj_upstream {
	struct rj_list link;
	uint32_t index; /* worker id used with the planner */
	char name[RJ_NAME_BYTES];
	char domain[RJ_NAME_BYTES];
	uint32_t rack;
	struct rj_rack *rack_view; /* in this failure domain, or NULL */
	struct rj_address address;
	uint64_t incarnation;
	uint64_t leaving_incarnation; /* that is or was leaving */
	uint64_t leaving_since_us; /* when this was learnt */
	bool leaving;
	bool owned;
	bool known; /* it has answered a poll, or an offer was received */
	bool polling;
	uint32_t polls_lost;
	uint64_t report_version; /* of the last full report; 0: none */
	uint32_t unchanged_reports; /* since the last full report */
	uint64_t answered_us;
	enum rj_upstream_health health;
	struct rj_resources capacity;
	struct rj_resources foreign; /* used by tasks not in the plan */
	struct rj_resources free_now; /* for any instance, as last reported */
	/* What the rack's owner offers to its peers: sent if owned here, else
	 * received from the owner. */
	struct rj_resources offered;
	struct rj_list members; /* of this instance's jobs */
	struct rj_list foreign_tasks; /* of other instances, preemptible */
	uint32_t own_members; /* length of `members` */
	uint64_t failed_jobs[RJ_FAILED_JOBS];
	uint32_t failed_count;
	uint64_t quarantine_us; /* duration of the next quarantine */
	struct rj_timer poll;
	struct rj_timer probe; /* end of the quarantine */
	struct rj_core_state *core;
};

struct rj_upstreams {
	struct rj_list list;
	struct rj_list racks;
	GHashTable *by_name;
	struct rj_upstream **by_index; /* talloc array */
	uint32_t count;
	uint64_t summary_version;
};

/* controllers/upstreams_controller.c */
void rj_upstreams_init(struct rj_core_state *core);
void rj_upstreams_apply_list(struct rj_core_state *core,
			     const struct rj_instance *list, uint32_t count);
void rj_upstreams_receive_report(struct rj_core_state *core,
				 struct rj_upstream *upstream,
				 const struct rj_worker_reply *reply,
				 uint64_t asked_us);
void rj_upstreams_mark_leaving(struct rj_core_state *core,
			       struct rj_upstream *upstream,
			       uint64_t incarnation);
void rj_upstreams_send_leaving(struct rj_core_state *core, const char *peer);
void rj_upstreams_resend_leaving(struct rj_core_state *core);
void rj_upstreams_receive_leaving(struct rj_core_state *core,
				  const struct rj_peer_leaving *leaving);
void rj_upstreams_record_failure(struct rj_core_state *core,
				 struct rj_upstream *upstream, uint64_t job_id);
void rj_upstreams_record_success(struct rj_core_state *core,
				 struct rj_upstream *upstream);
uint64_t rj_upstreams_lease_duration_us(const struct rj_core_state *core);
void rj_upstreams_poll_now(struct rj_core_state *core,
			   struct rj_upstream *upstream);
struct rj_upstream *rj_upstreams_find(const struct rj_core_state *core,
				      const char *name);

bool rj_upstreams_usable(const struct rj_upstream *upstream);
void rj_upstreams_set_owned(struct rj_core_state *core,
			    struct rj_upstream *upstream, bool owned);
void rj_upstreams_request_full_reports(struct rj_core_state *core);
void rj_upstreams_update_offer(struct rj_core_state *core,
			       struct rj_upstream *upstream);
void rj_upstreams_receive_offer(struct rj_core_state *core,
				struct rj_upstream *upstream,
				const struct rj_resources *available);

/* controllers/foreign_controller.c */
void rj_foreign_init(struct rj_core_state *core);
void rj_foreign_finish(struct rj_core_state *core);
bool rj_foreign_is_planned(const struct rj_core_state *core,
			   const struct rj_upstream *upstream,
			   const struct rj_task_report *task_report);
void rj_foreign_apply_report(struct rj_core_state *core,
			     struct rj_upstream *upstream,
			     const struct rj_worker_report *report);
void rj_foreign_disown(struct rj_core_state *core,
		       struct rj_upstream *upstream);
void rj_foreign_reclaim(struct rj_core_state *core,
			const struct rj_decision *decision);

/* controllers/racks_controller.c */
uint64_t rj_racks_key(const struct rj_core_state *core, uint32_t rack);
uint64_t rj_racks_job_key(const struct rj_core_state *core, const char *domain,
			  uint64_t job_id);
void rj_racks_add_worker(struct rj_core_state *core,
			 struct rj_upstream *upstream);
bool rj_racks_owned_by(const struct rj_core_state *core, uint32_t number,
		       const char *name);
void rj_racks_update_ownership(struct rj_core_state *core);
bool rj_racks_cannot_place(const struct rj_core_state *core);
bool rj_rack_shape_fits(const struct rj_rack *rack,
			const struct rj_shape *shape);
void rj_racks_send_summary(struct rj_core_state *core,
			   const struct rj_rack *rack);
void rj_racks_send_summaries(struct rj_core_state *core, const char *peer);
void rj_racks_receive_summary(struct rj_core_state *core,
			      const struct rj_peer_summary *summary);

#endif
