/*
 * The jobs that this instance serves, and the functions that handle them, by
 * file and job state; docs/DESIGN.md has the state diagram.
 */
#ifndef RADISHJUNCTION_PRIVATE_JOBS_H
#define RADISHJUNCTION_PRIVATE_JOBS_H

#include <glib.h>
#include "private/list.h"
#include "private/timer.h"
#include "radishjunction/config.h"
#include "radishjunction/core.h"

struct rj_core_state;
struct rj_job_entry;
struct rj_upstream;

enum rj_job_state {
	RJ_JOB_ACCEPTING, /* accept record appended, not read back yet */
	RJ_JOB_QUEUED, /* waiting in the planner */
	RJ_JOB_LEASING, /* acquiring leases */
	RJ_JOB_CLAIMING, /* claim appended, not read back yet */
	RJ_JOB_STARTING, /* starts sent */
	RJ_JOB_RUNNING,
	RJ_JOB_STOPPING, /* stopping its members */
	RJ_JOB_SETTLING, /* asking the workers for its outcome */
	RJ_JOB_FORWARDED, /* served by a peer */
	RJ_JOB_WATCHING, /* another instance serves it; follow the log */
	RJ_JOB_ENDED, /* only its outcome record is still unwritten */
	RJ_JOB_STATE_COUNT
};

extern const char *const rj_job_state_string[RJ_JOB_STATE_COUNT];

/* The part of a job that runs on one worker. */
struct rj_member {
	struct rj_list link; /* in the upstream's `members` */
	struct rj_job *job;
	struct rj_upstream *upstream; /* NULL if the worker is unknown */
	char worker[RJ_NAME_BYTES];
	uint32_t tasks;
	uint64_t token;
	uint64_t incarnation; /* of the worker that granted the lease */
	enum rj_task_state state;
	bool start_sent; /* a start may have reached the worker */
	uint64_t start_us; /* when the start was sent */
	bool reported; /* listed in the report being processed */
	uint64_t call_id; /* call in flight, or 0 */
	uint32_t tries; /* repeated calls, to stop or to throttle */
	bool settled; /* SETTLING: its worker has answered or timed out */
	uint8_t *result; /* talloc child of the job */
	uint32_t result_length;
	uint64_t ran_us;
};

/* A caller or peer that waits for a job's answer. */
struct rj_waiter {
	struct rj_list link;
	uint64_t request_id; /* 0: a peer waits */
	char peer[RJ_NAME_BYTES];
	uint64_t forward_id;
	uint64_t since_us;
	struct rj_job *job;
};

struct rj_job {
	struct rj_list link;
	struct rj_core_state *core;
	struct rj_job_spec spec;
	enum rj_priority priority;
	bool idempotent;
	bool checkpoint;
	enum rj_job_state state;
	struct rj_attempt attempt;
	struct rj_member *members;
	uint32_t member_count;
	bool body_missing; /* known from a claim only: cannot start here */
	bool planned; /* the planner counts it as waiting or running */
	bool accepted; /* its accept record is in the log */
	bool claimed; /* its claim is in the log and valid */
	bool started; /* a start was sent in this attempt */
	bool ran_before; /* an earlier attempt may have been started */
	bool ran; /* a worker reported progress of some attempt */
	bool ran_elsewhere; /* a lost peer may have run it */
	bool cancelled;
	bool reclaimed; /* being stopped to reclaim its capacity */
	bool ending; /* after STOPPING: ends with `final`, else runs again */
	struct rj_answer final;
	uint64_t arrived_us;
	uint64_t started_us;
	uint64_t resume_us; /* progress saved by checkpoints */
	uint64_t deadline_us;
	uint64_t state_entered_us;
	uint32_t failed_on[RJ_PLAN_AVOID_MAX]; /* upstream indices */
	uint32_t failures;
	uint32_t hops; /* how often it was forwarded */
	bool other_domain; /* has crossed failure domains on its way here */
	char peer[RJ_NAME_BYTES]; /* FORWARDED: the peer that serves it */
	uint64_t forward_id;
	struct rj_list waiters;
	struct rj_timer deadline;
	struct rj_timer state_timer; /* retry or limit of the present state */
};

struct rj_call {
	uint64_t call_id;
	enum rj_worker_op op;
	uint64_t job_id; /* 0 for a report */
	uint64_t owner; /* with `attempt`: the attempt it is for */
	uint32_t attempt;
	uint32_t member;
	uint64_t sent_us;
	uint32_t upstream; /* index of the upstream */
};

struct rj_jobs {
	struct rj_list list;
	GHashTable *by_id; /* &job->spec.job_id -> job */
	GHashTable *calls; /* &call->call_id -> call */
	GHashTable *waiters; /* &waiter->request_id -> waiter */
	GHashTable *forwards; /* &job->forward_id -> job */
	uint32_t count;
	uint32_t waiter_count;
	GHashTable *open_by_name[2]; /* open jobs by account, by class */
	struct rj_timer plan; /* the planner's next pass */
	struct rj_timer tick; /* rj_claims_tick() and rj_log_tick() */
	bool plan_wanted;
	struct rj_decisions decisions;
	double retry_tokens; /* tokens left in the retry budget */
};

/* controllers/jobs_controller.c */
void rj_jobs_init(struct rj_core_state *core);
void rj_jobs_finish(struct rj_core_state *core);
struct rj_job *rj_job_new(struct rj_core_state *core,
			  const struct rj_job_spec *spec,
			  const struct rj_job_class *class);
void rj_job_enter_state(struct rj_job *job, enum rj_job_state state);
void rj_job_free(struct rj_job *job);
uint32_t rj_jobs_open_count(const struct rj_core_state *core, bool of_class,
			    const char *name);
struct rj_job *rj_jobs_find(const struct rj_core_state *core, uint64_t job_id);
void rj_job_add_waiter(struct rj_job *job, uint64_t request_id,
		       const char *peer, uint64_t forward_id);
void rj_job_answer_waiters(struct rj_job *job, const struct rj_answer *answer);
void rj_job_answer_without_result(struct rj_job *job, enum rj_answer_kind kind,
				  enum rj_reason reason,
				  uint64_t retry_after_us);
void rj_job_answer_in_progress(struct rj_job *job, enum rj_reason reason);
bool rj_job_answer_is_final(const struct rj_job *job);
void rj_job_end(struct rj_job *job, const struct rj_answer *answer);
void rj_job_end_without_result(struct rj_job *job, enum rj_answer_kind kind,
			       enum rj_reason reason, uint64_t retry_after_us);
void rj_job_not_started(struct rj_job *job, enum rj_reason reason,
			uint64_t retry_after_us);
void rj_job_abandon(struct rj_job *job, enum rj_reason reason,
		    uint64_t retry_after_us);
void rj_job_cancel(struct rj_job *job, enum rj_reason reason);
void rj_job_set_deadline(struct rj_job *job, uint64_t in_us);
void rj_jobs_caller_disconnected(struct rj_core_state *core,
				 uint64_t request_id);
void rj_core_answer(struct rj_core_state *core, uint64_t request_id,
		    const struct rj_answer *answer);

/* controllers/placement_controller.c: QUEUED, LEASING */
void rj_job_fill_plan(const struct rj_job *job, struct rj_plan_job *plan);
void rj_job_submit(struct rj_job *job);
void rj_job_requeue(struct rj_job *job, uint64_t delay_us,
		    enum rj_reason reason);
void rj_jobs_plan(struct rj_core_state *core);
void rj_job_reclaim_for_peer(struct rj_core_state *core,
			     const struct rj_peer_cancel *cancel);
void rj_job_release_members(struct rj_job *job);
void rj_job_remove_from_plan(struct rj_job *job, bool succeeded);
void rj_job_lease_reply(struct rj_job *job, struct rj_member *member,
			const struct rj_worker_reply *reply);

/* controllers/claims_controller.c: ACCEPTING, CLAIMING, WATCHING */
bool rj_job_needs_claim(const struct rj_job *job);
void rj_job_accept(struct rj_job *job);
void rj_job_claim(struct rj_job *job);
void rj_job_watch(struct rj_job *job);
bool rj_job_drop_if_body_missing(struct rj_job *job);

/* controllers/recovery_controller.c: SETTLING */
void rj_job_settle(struct rj_job *job);
void rj_job_fence_reply(struct rj_job *job, struct rj_member *member,
			const struct rj_worker_reply *reply);
void rj_job_renew_reply(struct rj_job *job, struct rj_member *member,
			const struct rj_worker_reply *reply);
void rj_claims_tick(struct rj_core_state *core);

/* controllers/claims_controller.c: records of the `jobs` stream */
void rj_claims_apply_record(struct rj_core_state *core,
			    const struct rj_record *record);
void rj_claims_append_failed(struct rj_core_state *core,
			     const struct rj_record *record,
			     enum rj_append_status status);
void rj_claims_append_void(struct rj_job *job);
void rj_claims_claim_running(struct rj_job *job);
void rj_claims_append_outcome(struct rj_job *job);
void rj_claims_fill_answer(const struct rj_job_entry *entry,
			   struct rj_answer *answer);
void rj_claims_platform_down(struct rj_core_state *core);
void rj_claims_append_timeout(struct rj_job *job);
void rj_claims_append_cancel(struct rj_job *job);

/* controllers/calls_controller.c */
/* Time limit of calls that do not wait for a task to end. */
#define RJ_CALL_TIMEOUT_US (2 * RJ_US_PER_S)

void rj_job_alloc_members(struct rj_job *job, uint32_t count);
void rj_job_free_members(struct rj_job *job);
void rj_member_attach(struct rj_job *job, struct rj_member *member,
		      struct rj_upstream *upstream);
void rj_member_keep_result(struct rj_job *job, struct rj_member *member,
			   const struct rj_bytes *result);
void rj_call_clean_up(struct rj_core_state *core,
		      const struct rj_upstream *upstream, enum rj_worker_op op,
		      const struct rj_attempt *attempt, uint32_t member,
		      uint64_t token);
struct rj_worker_call *rj_job_call(struct rj_job *job, struct rj_member *member,
				   enum rj_worker_op op);
void rj_jobs_worker_reply(struct rj_core_state *core,
			  const struct rj_worker_reply *reply);

/* controllers/run_controller.c: STARTING, RUNNING */
void rj_job_start(struct rj_job *job);
void rj_job_lease_and_start(struct rj_job *job);
void rj_job_start_reply(struct rj_job *job, struct rj_member *member,
			const struct rj_worker_reply *reply);
void rj_job_start_unconfirmed(struct rj_job *job, struct rj_member *member);
void rj_job_throttle_reply(struct rj_job *job, struct rj_member *member,
			   const struct rj_worker_reply *reply);
void rj_job_check_members(struct rj_job *job);
bool rj_job_all_done(const struct rj_job *job);
void rj_job_succeeded(struct rj_job *job);
void rj_job_end_with_result(struct rj_job *job, enum rj_answer_kind kind,
			    enum rj_reason reason);
void rj_job_stop_after_failure(struct rj_job *job, enum rj_reason reason);
void rj_job_retry(struct rj_job *job, enum rj_reason reason);

/* controllers/stop_controller.c: STOPPING */
void rj_job_stop(struct rj_job *job, bool checkpoint, uint64_t limit_us);
void rj_job_stop_reply(struct rj_job *job, struct rj_member *member,
		       const struct rj_worker_reply *reply);
void rj_job_check_stopped(struct rj_job *job);

/* controllers/report_controller.c */
void rj_job_record_progress(struct rj_job *job, enum rj_task_state state,
			    uint64_t ran_us);
void rj_jobs_apply_report(struct rj_core_state *core,
			  struct rj_upstream *upstream,
			  const struct rj_worker_report *report,
			  uint64_t asked_us);
bool rj_jobs_unchanged_suffices(const struct rj_upstream *upstream);
void rj_jobs_worker_lost(struct rj_core_state *core,
			 struct rj_upstream *upstream);

/* controllers/forward_controller.c: FORWARDED */
void rj_forward_cancel(struct rj_job *job);
bool rj_job_forward(struct rj_job *job, const char *peer, bool other_domain);
void rj_forward_received(struct rj_core_state *core, const char *peer,
			 const struct rj_peer_forward *forward);
void rj_forward_answered(struct rj_core_state *core, const char *peer,
			 const struct rj_peer_forward_answer *answer);
void rj_forward_cancelled(struct rj_core_state *core, const char *peer,
			  const struct rj_peer_cancel *cancel);
void rj_forward_peer_lost(struct rj_core_state *core, const char *peer);

#endif
