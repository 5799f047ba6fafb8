/*
 * The owner of a cell: the one instance that orders its workers.
 *
 * Life cycle: `rj_cell_owner_init`; `rj_cell_owner_complete_takeover` once the ownership
 * record has been read back, with its offset as the fencing token, which
 * adopts all that runs; `rj_cell_owner_resign` when a higher token is seen or
 * the log has been out of reach too long. Between these, records, workers'
 * entries and ticks come in; everything that must last goes out through the
 * owner's writer before it takes effect.
 *
 * Dependencies go one way: records and replies -> ends (what they do to
 * tasks and jobs) -> plan -> orders.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_OWNER_H
#define RADISHJUNCTION_PRIVATE_CELL_OWNER_H

#include "private/cell_advice.h"
#include "private/cell_backlog.h"
#include "private/cell_failure.h"
#include "private/cell_fleet.h"
#include "private/cell_forecast.h"
#include "private/cell_view.h"
#include "private/cell_workers.h"
#include "private/cell_writer.h"

/* What the deployment lays down. */
struct rj_cell_limits {
	uint32_t lease_max_ms; /* a worker shortens longer leases */
	uint32_t status_retention_ms; /* an ended job is remembered so long */
	uint32_t reclaim_ms; /* guaranteed work begins so soon */
	uint32_t revoke_ms; /* a key is good so long after its removal */
	uint32_t
		entry_expiry_ms; /* a silent worker's entry expires after this */
	/* Nothing starts on a draining worker, or in a cordoned failure
	 * domain, so long after that was published; 0: no bound. */
	uint32_t drain_ms;
	uint32_t cordon_ms;
	uint32_t stop_ms; /* a run that is to end is gone after this */
};

struct rj_cell_owner_counters {
	struct rj_latency first_start_waits
		[RJ_CELL_PRIORITIES]; /* until the first start */
	struct rj_latency start_latency; /* starts that were taken */
	uint64_t starts;
	uint64_t stops;
	uint64_t polls;
	uint64_t completions[RJ_CELL_END_COUNT];
	uint64_t completed;
	uint64_t failed;
	uint64_t takeovers;
	uint64_t resignations;
	uint64_t plans;
	uint64_t plan_effort_max; /* the most that one plan has weighed */
};

/* Calls that may be sent now, and when that was last brought up to date. */
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
	struct rj_cell_advisor *advisor; /* NULL: there is none */
	bool advice_pending; /* a question is on its way */
	uint64_t advice_due_us; /* when the next one may be sent */
	struct rj_cell_limits limits;
	const struct rj_cell_config *config; /* replaced by the node */
	const struct rj_cell_cordons *cordons; /* the node's */
	bool taking_over; /* the cell is being taken over */
	bool active;
	bool release_pending; /* says in the log that the cell is free */
	bool fenced; /* fenced: resign as soon as the present event is done */
	uint32_t generation; /* answers to orders of an earlier one are late */
	uint64_t token;
	struct rj_cell_writer writer; /* of states, and of its life */
	struct rj_cell_writer progress_writer;
	struct rj_cell_fleet fleet;
	struct rj_list jobs;
	struct rj_list dirty_jobs; /* works with changes that are not stored */
	GPtrArray *ended_jobs; /* ids of jobs whose keys may go */
	struct rj_cell_forecast forecast;
	struct rj_cell_failure_burst failure_burst;
	uint32_t strength; /* of the instance, in hundredths of a core */
	bool plan_wanted;
	uint64_t plan_due_us; /* without other events */
	uint64_t plan_not_before_us; /* no earlier */
	struct rj_cell_backlog backlog; /* as the last plan left it */
	uint64_t backlog_log_due_us; /* when it is logged */
	uint32_t writes_pending; /* records on their way into the logs */
	bool write_failed; /* one of the present flush was not stored */
	uint64_t busy_check_due_us; /* when busy workers are visited */
	uint64_t
		occurrence_check_due_us; /* when jobs with times are looked through */
	struct rj_cell_rate_limit
		idle_poll_limit; /* at workers that hold nothing */
	struct rj_cell_rate_limit retry_poll_limit; /* at silent ones that do */
	uint64_t
		retention_check_due_us; /* when ended jobs are looked through */
	uint64_t heartbeat_due_us;
	uint32_t heartbeat_number;
	/* All that was in these logs then is known. */
	uint64_t jobs_read_us; /* of jobs */
	uint64_t workers_read_us;
	uint64_t operators_read_us;
	uint64_t now_us;
	uint64_t wall_ms; /* since 1970 */
	struct rj_cell_owner_counters counters;
};

void rj_cell_owner_init(struct rj_cell_owner *owner, void *mem,
			const char *name, uint64_t incarnation,
			struct rj_cell_view *view, struct rj_cell_store *store,
			struct rj_cell_workers *workers,
			const struct rj_cell_limits *limits);
/*
 * An owner that cannot write the log goes on for so long: it keeps what runs,
 * as the log may be away for all, and starts nothing. Then it lets leases
 * lapse, so that a successor who cannot reach some workers knows when nothing
 * runs there. The users' log is away for 9 s at most.
 */
#define RJ_CELL_LOG_UNAVAILABLE_MAX_US (10 * RJ_US_PER_S)

void rj_cell_owner_begin_takeover(struct rj_cell_owner *owner, uint64_t token,
				  uint64_t epoch, uint64_t now_us,
				  uint64_t wall_ms);
void rj_cell_owner_complete_takeover(struct rj_cell_owner *owner,
				     uint64_t renewals_us, uint64_t now_us,
				     uint64_t wall_ms);
void rj_cell_owner_resign(struct rj_cell_owner *owner, const char *reason);
void rj_cell_owner_finish(struct rj_cell_owner *owner);
void rj_cell_owner_release(struct rj_cell_owner *owner, uint64_t now_us);
void rj_cell_owner_update_job(struct rj_cell_owner *owner,
			      struct rj_cell_entry *entry);
void rj_cell_owner_update_worker(struct rj_cell_owner *owner, const char *id,
				 const struct rj_cell_heartbeat *heartbeat,
				 uint64_t written_us);
void rj_cell_owner_advance(struct rj_cell_owner *owner, uint64_t now_us,
			   uint64_t wall_ms);

/* Between the files of the owner. */
void rj_cell_owner_mark_dirty(struct rj_cell_owner *owner,
			      struct rj_cell_work *job);
bool rj_cell_owner_may_start(const struct rj_cell_owner *owner);
bool rj_cell_owner_log_unavailable(const struct rj_cell_owner *owner);
void rj_cell_orders_tick(struct rj_cell_owner *owner);
void rj_cell_polls_reset_limits(struct rj_cell_owner *owner);
void rj_cell_polls_accept_heartbeat(struct rj_cell_owner *owner,
				    struct rj_cell_worker *worker);
void rj_cell_polls_fleet_loaded(struct rj_cell_owner *owner);
void rj_cell_polls_schedule_now(struct rj_cell_owner *owner,
				struct rj_cell_worker *worker);
void rj_cell_completions_expire_gangs(struct rj_cell_owner *owner,
				      struct rj_cell_worker *worker);
void rj_cell_completions_apply(struct rj_cell_owner *owner,
			       struct rj_cell_run *run, enum rj_cell_end end,
			       const char *saved);
void rj_cell_completions_apply_orphan(struct rj_cell_owner *owner,
				      struct rj_cell_worker *worker,
				      const struct rj_cell_end_row *row);
void rj_cell_completions_stop_job(struct rj_cell_owner *owner,
				  struct rj_cell_work *job, const char *reason);
void rj_cell_completions_stop_run(struct rj_cell_owner *owner,
				  struct rj_cell_run *run, const char *reason);
void rj_cell_completions_avoid_worker(struct rj_cell_owner *owner,
				      struct rj_cell_task *task,
				      const struct rj_cell_worker *worker);
void rj_cell_completions_close_job(struct rj_cell_owner *owner,
				   struct rj_cell_work *job,
				   enum rj_cell_job_state state);
void rj_cell_completions_begin_occurrences(struct rj_cell_owner *owner,
					   struct rj_cell_work *job);
struct rj_cell_task *rj_cell_owner_find_task(struct rj_cell_owner *owner,
					     const char *name,
					     struct rj_cell_entry **entry);

#endif
