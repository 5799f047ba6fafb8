/*
 * The owner of a cell: the one instance that sends orders to its workers.
 *
 * Life cycle: `rj_cell_owner_init`; `rj_cell_owner_begin_takeover` with the
 * offset of the ownership record as the fencing token;
 * `rj_cell_owner_complete_takeover` once the progress of all jobs is loaded,
 * which adopts all runs; `rj_cell_owner_resign` when a higher token is seen or
 * the log has been unavailable for too long. Between these calls the owner
 * receives records, worker entries and ticks. Every decision that must survive
 * a takeover is stored through the owner's writers before it takes effect.
 *
 * Dependencies go one way: records and replies -> completions (their effect on
 * tasks and jobs) -> plan -> orders.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_OWNER_H
#define RADISHJUNCTION_PRIVATE_CELL_OWNER_H

#include "private/cell_ended_runs.h"
#include "private/cell_account_shares.h"
#include "private/cell_activity.h"
#include "private/cell_advice.h"
#include "private/cell_backlog.h"
#include "private/cell_call_window.h"
#include "private/cell_failure.h"
#include "private/cell_features.h"
#include "private/cell_departure.h"
#include "private/cell_fleet.h"
#include "private/cell_forecast.h"
#include "private/cell_guarantee.h"
#include "private/cell_handover.h"
#include "private/cell_lease_bounds.h"
#include "private/cell_return_order.h"
#include "private/cell_service_rate.h"
#include "private/cell_view.h"
#include "private/cell_workers.h"
#include "private/cell_writer.h"

/* Limits set by the deployment. */
struct rj_cell_limits {
	uint32_t lease_max_ms; /* a worker shortens longer leases */
	uint32_t status_retention_ms; /* status of an ended job is kept */
	uint32_t reclaim_ms; /* guaranteed work starts within this */
	uint32_t revoke_ms; /* a removed key stays valid for this long */
	uint32_t entry_expiry_ms; /* worker's entry without heartbeats */
	/* Time after publication from which nothing starts on a draining
	 * worker; 0: no limit. */
	uint32_t drain_ms;
	uint32_t cordon_ms; /* the same in a cordoned failure domain */
	uint32_t stop_ms; /* a run ends within this after its stop */
	/* What the log accepts: bytes of a record with its key, and of all
	 * records of one append; 0: no limit. */
	uint32_t record_max_bytes;
	uint32_t append_max_bytes;
	struct rj_cell_features features;
};

struct rj_cell_owner_counters {
	/* From acceptance of a job to its first start. */
	struct rj_latency first_start_waits[RJ_CELL_PRIORITY_CLASSES];
	struct rj_latency start_latency; /* accepted starts only */
	uint64_t starts;
	uint64_t backfills; /* planned starts beside a promise */
	uint64_t stops;
	uint64_t polls;
	uint64_t probes;
	uint64_t answers[RJ_CELL_ORDER_STATUS_COUNT]; /* to any call */
	uint64_t completions[RJ_CELL_COMPLETION_COUNT];
	uint64_t bad_ends[RJ_CELL_BAD_END_COUNT];
	uint64_t completed;
	uint64_t failed;
	uint64_t takeovers;
	uint64_t resignations;
	uint64_t departures; /* inferred, see cell_departure.h */
	uint64_t plans;
	/* Checks for a plan that was due, by outcome. */
	uint64_t plan_blocks[RJ_CELL_PLAN_BLOCK_COUNT];
	uint64_t plan_effort_max; /* largest effort of one plan */
};

/* Token bucket that limits calls to workers. */
struct rj_cell_rate_limit {
	double available;
	uint64_t updated_us;
};

struct rj_cell_owner {
	void *mem;
	char name[RJ_NAME_BYTES];
	uint64_t incarnation;
	struct rj_cell_view *view;
	struct rj_cell_store *store;
	struct rj_cell_workers *workers;
	struct rj_cell_advisor *advisor; /* NULL: none */
	bool advice_pending;
	uint64_t advice_due_us; /* earliest time of the next request */
	struct rj_cell_limits limits;
	const struct rj_cell_config *config; /* set by the node */
	const struct rj_cell_cordons *cordons; /* owned by the node */
	bool taking_over;
	bool active;
	bool release_pending; /* a release record is to be written */
	uint64_t released_us; /* when it was written; 0: it was not */
	bool fenced; /* resign after the present event */
	uint32_t generation; /* replies to earlier ones are ignored */
	uint64_t token;
	/* Of the last earlier owner that could grant leases; 0: unknown. */
	uint64_t former_token;
	struct rj_cell_writer writer; /* job states and heartbeats */
	struct rj_cell_writer progress_writer;
	/* Of the instance, to the log of requests; set by the node. */
	struct rj_cell_writer *requests_writer;
	struct rj_cell_fleet fleet;
	/* Entries of workers that are read back after a takeover. */
	struct rj_cell_entry_marks entry_marks;
	struct rj_cell_lease_bounds leases;
	/* Of the last term that was published; owned by the node. */
	const struct rj_cell_term_clock *term_clock;
	struct rj_list jobs;
	struct rj_list dirty_jobs; /* jobs with changes that are not stored */
	struct rj_cell_ended_runs ended_runs; /* that are not stored */
	/* Jobs whose last record the log has rejected as invalid. */
	struct rj_list unstorable_jobs;
	GPtrArray *ended_jobs; /* ids of jobs whose keys may be removed */
	struct rj_cell_forecast forecast;
	struct rj_cell_handover handover;
	struct rj_cell_service_rate service_rate; /* of the present term */
	struct rj_cell_failure_burst failure_burst;
	struct rj_cell_return_order return_order;
	/* The former owner's announcements have been taken over. */
	bool announcements_resumed;
	struct rj_cell_account_shares account_shares; /* of this term */
	struct rj_cell_guarantees guarantees; /* as of the last update */
	uint32_t strength; /* of the instance, in hundredths of a core */
	bool plan_wanted;
	uint64_t plan_due_us; /* without other events */
	uint64_t plan_not_before_us;
	struct rj_cell_backlog backlog; /* as of the last plan */
	uint64_t backlog_log_due_us; /* next log event */
	uint32_t writes_pending; /* records being appended to the logs */
	bool write_failed; /* by a record of the present flush */
	uint64_t busy_check_due_us;
	uint64_t occurrence_check_due_us;
	struct rj_cell_call_window order_window; /* starts, stops, probes */
	bool orders_wait; /* for room in the window, as of the last tick */
	struct rj_cell_call_window poll_window; /* answered at once */
	struct rj_cell_rate_limit idle_poll_limit; /* idle workers */
	struct rj_cell_rate_limit retry_poll_limit; /* unreachable, with runs */
	uint64_t retention_check_due_us; /* next check for expired jobs */
	uint64_t heartbeat_due_us;
	/* The newest one of the former owner, set by the node at a takeover:
	 * until the jobs are loaded, its queue loads are published on. */
	struct rj_cell_owner_heartbeat former_heartbeat;
	uint32_t heartbeat_number;
	/* Each log is known completely up to these times. */
	uint64_t requests_read_us;
	uint64_t workers_read_us;
	uint64_t operators_read_us;
	uint64_t now_us;
	uint64_t wall_ms; /* Unix time */
	struct rj_cell_owner_counters counters;
	struct rj_cell_activity activity;
	/* As of the last log event about the activity. */
	struct rj_cell_owner_counters logged_counters;
};

void rj_cell_owner_init(struct rj_cell_owner *owner, void *mem,
			const char *name, uint64_t incarnation,
			struct rj_cell_view *view, struct rj_cell_store *store,
			struct rj_cell_workers *workers,
			const struct rj_cell_limits *limits);
void rj_cell_owner_begin_takeover(struct rj_cell_owner *owner, uint64_t token,
				  uint64_t epoch, uint64_t now_us,
				  uint64_t wall_ms);
void rj_cell_owner_complete_takeover(struct rj_cell_owner *owner,
				     const struct rj_cell_lease_record *former,
				     uint64_t leases_until_us, uint64_t now_us,
				     uint64_t wall_ms);
void rj_cell_owner_resign(struct rj_cell_owner *owner, const char *reason);
void rj_cell_owner_finish(struct rj_cell_owner *owner);
void rj_cell_owner_release(struct rj_cell_owner *owner, uint64_t now_us);
void rj_cell_owner_update_job(struct rj_cell_owner *owner,
			      struct rj_cell_view_entry *entry);
void rj_cell_owner_update_worker(struct rj_cell_owner *owner, const char *id,
				 const struct rj_cell_heartbeat *heartbeat,
				 uint64_t written_us);
void rj_cell_owner_refresh_worker(struct rj_cell_owner *owner,
				  struct rj_cell_worker *worker,
				  uint64_t clock_ms, uint64_t written_us);
void rj_cell_owner_advance(struct rj_cell_owner *owner, uint64_t now_us,
			   uint64_t wall_ms);

/* Shared by the source files of the owner. */
void rj_cell_owner_mark_dirty(struct rj_cell_owner *owner,
			      struct rj_cell_job *job);
bool rj_cell_owner_may_start(const struct rj_cell_owner *owner);
bool rj_cell_owner_may_grant(struct rj_cell_owner *owner,
			     const struct rj_cell_worker *worker);
void rj_cell_orders_tick(struct rj_cell_owner *owner);
void rj_cell_polls_reset_limits(struct rj_cell_owner *owner);
void rj_cell_polls_accept_heartbeat(struct rj_cell_owner *owner,
				    struct rj_cell_worker *worker);
void rj_cell_polls_fleet_loaded(struct rj_cell_owner *owner);
void rj_cell_polls_worker_listed(struct rj_cell_owner *owner,
				 struct rj_cell_worker *worker);
void rj_cell_polls_schedule_now(struct rj_cell_owner *owner,
				struct rj_cell_worker *worker);
void rj_cell_completions_end_gang_runs(struct rj_cell_owner *owner,
				       struct rj_cell_worker *worker);
void rj_cell_completions_apply(struct rj_cell_owner *owner,
			       struct rj_cell_run *run,
			       enum rj_cell_completion end, const char *saved);
void rj_cell_completions_apply_orphan(
	struct rj_cell_owner *owner, const char *worker,
	const struct rj_cell_completion_report *row);
void rj_cell_completions_stop_job(struct rj_cell_owner *owner,
				  struct rj_cell_job *job, const char *reason);
void rj_cell_completions_stop_run(struct rj_cell_owner *owner,
				  struct rj_cell_run *run, const char *reason);
void rj_cell_completions_avoid_worker(struct rj_cell_owner *owner,
				      struct rj_cell_task *task,
				      const struct rj_cell_worker *worker);
void rj_cell_completions_close_job(struct rj_cell_owner *owner,
				   struct rj_cell_job *job,
				   enum rj_cell_job_state state);
void rj_cell_completions_begin_occurrences(struct rj_cell_owner *owner,
					   struct rj_cell_job *job);
struct rj_cell_task *rj_cell_owner_find_task(struct rj_cell_owner *owner,
					     const char *name,
					     struct rj_cell_view_entry **entry);

#endif
