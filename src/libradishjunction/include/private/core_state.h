/*
 * The state of one instance's decisions, shared by its filters and
 * controllers.
 *
 * Each controller owns its part and is the only one to write it; others read
 * it or call its functions. `now_us` and `actions` are set while an event is
 * processed and at no other time.
 */
#ifndef RADISHJUNCTION_PRIVATE_CORE_STATE_H
#define RADISHJUNCTION_PRIVATE_CORE_STATE_H

#include <glib.h>

#include "private/list.h"
#include "private/timer.h"
#include "radishjunction/config_log.h"
#include "radishjunction/core.h"

/* The decisions that `explain` can look back on. */
#define RJ_EXPLAIN_ENTRIES 4096

struct rj_explain_entry {
	uint64_t at_us;
	struct rj_decision_log log;
};

/* The reading and appending of one stream. */
struct rj_log_stream {
	enum rj_stream stream;
	uint64_t next; /* the offset to read on from */
	bool read_before; /* a read was answered since the start */
	bool caught_up; /* everything up to the head was applied */
	bool tried; /* was caught up once, or a read has failed */
	bool reading;
	uint64_t backoff_us;
	uint64_t asked_us; /* when the read that is out was sent */
	uint64_t fresh_us; /* what was read holds at least up to here */
	uint64_t oldest; /* the oldest offset that the log kept then */
	uint64_t newest_us; /* when the newest record was appended */
	struct rj_timer retry;
	/* group commit: one append at a time, the rest waits */
	struct rj_record **waiting; /* talloc array */
	uint32_t waiting_count;
	struct rj_record *in_flight;
	uint32_t in_flight_count;
	uint64_t append_id; /* 0 when none is in flight */
	uint64_t append_after_us; /* this instance's share of appends */
	struct rj_timer append_timer;
};

/* What the log says of one job. */
struct rj_job_entry {
	struct rj_list link;
	uint64_t job_id;
	struct rj_job_spec spec; /* body only when accepted */
	char author[RJ_NAME_BYTES]; /* of the open claim */
	char domain[RJ_NAME_BYTES];
	bool accepted;
	bool cancelled;
	bool claimed; /* a claim is open */
	uint64_t first_owner; /* of the first claim that was ever open */
	bool claimed_before; /* an attempt before the present one */
	bool several_owners; /* others had claims open after it */
	struct rj_attempt attempt; /* of the open or the settled claim */
	struct rj_claim_member *members;
	uint32_t member_count;
	uint64_t lease_life_us;
	bool settled;
	enum rj_answer_kind outcome;
	enum rj_reason reason;
	struct rj_bytes result;
	uint64_t first_us; /* when its first record was appended */
	uint64_t recorded_us; /* when its newest record was appended */
	uint64_t base_us; /* when the oldest was that it is known from */
	uint64_t carry_us; /* when it was last carried from here */
	uint64_t dropped_us; /* its records are gone: carry from then on */
	bool doubtful; /* attempts of it may be missing, for good */
	uint64_t accept_at; /* the offset of its newest accept */
	uint64_t claim_at; /* the offset of its newest open claim */
	uint64_t whole_from; /* the offset from which the log says all of it */
};

struct rj_job_ledger {
	GHashTable *by_job; /* &entry->job_id -> entry */
	struct rj_list entries;
	uint32_t count;
	/* Since when older records may be missing, so that carried ones count
	   more; 0: none is. */
	uint64_t gap_us;
};

struct rj_rack_summary {
	struct rj_list link;
	uint32_t rack;
	uint64_t owner;
	uint64_t version;
	uint32_t worker_count;
	struct rj_resources free[RJ_RACK_WORKERS_MAX];
};

/* Another instance, as far as it is known here. */
struct rj_member_view {
	struct rj_list link;
	char name[RJ_NAME_BYTES];
	char domain[RJ_NAME_BYTES];
	struct rj_address address;
	bool wanted; /* a link to it is kept */
	bool connected;
	bool heard; /* a heartbeat came since the link stood */
	bool draining;
	bool log_usable;
	bool cut_off; /* it alone has lost the log */
	bool listed; /* by the platform or the settings */
	bool in_settings; /* tried for good */
	uint64_t incarnation;
	uint64_t heard_us;
	uint64_t config_revision;
	uint32_t queued;
	uint64_t wait_us;
	uint64_t log_from; /* see struct rj_peer_heartbeat */
	uint64_t log_next;
	bool config_changes; /* it takes changes of configuration */
	struct rj_list summaries;
	/* Messages but for heartbeats since the link stands. */
	uint64_t sent;
	uint64_t received;
	uint64_t lost; /* of the peer's */
	uint64_t lost_there; /* of ours, as the peer says */
};

struct rj_membership {
	struct rj_list members; /* of all failure domains, without this one */
	uint32_t count;
	struct rj_timer heartbeat;
	uint64_t beats; /* heartbeats so far */
	struct rj_timer list;
	uint64_t view_digest;
	uint64_t alone_us; /* since when only peers have the log; 0: not so */
};

enum rj_upstream_health {
	RJ_UPSTREAM_HEALTHY,
	RJ_UPSTREAM_SILENT, /* does not answer */
	RJ_UPSTREAM_SET_ASIDE, /* fails what it starts; probed later */
	RJ_UPSTREAM_HEALTH_COUNT
};

/* Jobs whose failure on one worker is remembered, to tell a bad worker. */
#define RJ_FAILED_JOBS 4

/* A rack of the own failure domain. */
struct rj_rack {
	struct rj_list link;
	uint32_t number;
	struct rj_upstream **workers; /* talloc array, by name */
	uint32_t count;
	bool owned; /* by this instance */
	const char *owner; /* the peer that owns it, or NULL */
};

/* A worker as a target of calls. */
struct rj_upstream {
	struct rj_list link;
	uint32_t index; /* its id towards the planner */
	char name[RJ_NAME_BYTES];
	char domain[RJ_NAME_BYTES];
	uint32_t rack;
	struct rj_rack *rack_view; /* of the own failure domain */
	struct rj_address address;
	uint64_t incarnation;
	uint64_t left_incarnation; /* the one that is or was leaving */
	uint64_t left_us; /* when that was learnt */
	bool leaving;
	bool owned;
	bool known; /* has answered a report */
	bool polling;
	uint32_t polls_lost;
	uint64_t report_version; /* of the last whole report; 0: none */
	uint32_t short_reports; /* since then, with nothing changed */
	uint64_t answered_us;
	enum rj_upstream_health health;
	struct rj_resources capacity;
	struct rj_resources foreign;
	struct rj_resources free_now; /* for anyone, as last reported */
	/* What the rack's owner offers to its peers: told, or heard. */
	struct rj_resources offered;
	struct rj_list members; /* of own jobs on it */
	struct rj_list foreign_tasks; /* of others, which may be stopped */
	uint32_t own_members; /* how many */
	uint64_t failed_jobs[RJ_FAILED_JOBS];
	uint32_t failed_count;
	uint64_t set_aside_us; /* how long it is set aside next time */
	struct rj_timer poll;
	struct rj_timer probe;
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

enum rj_job_state {
	RJ_JOB_ACCEPTING, /* its accept record was appended, not read yet */
	RJ_JOB_QUEUED, /* waits in the planner */
	RJ_JOB_HOLDING, /* leases are being taken */
	RJ_JOB_CLAIMING, /* its claim was appended, not read yet */
	RJ_JOB_STARTING, /* starts were sent */
	RJ_JOB_RUNNING,
	RJ_JOB_STOPPING, /* its members are being stopped */
	RJ_JOB_SETTLING, /* the workers are asked what became of it */
	RJ_JOB_FORWARDED, /* a peer serves it */
	RJ_JOB_WATCHING, /* another instance serves it; the log will tell */
	RJ_JOB_ENDED, /* only its outcome record is still to be written */
	RJ_JOB_STATE_COUNT
};

extern const char *const rj_job_state_string[RJ_JOB_STATE_COUNT];

/* One worker's part of a gang. */
struct rj_member {
	struct rj_list link; /* in its upstream's members */
	struct rj_job *job;
	struct rj_upstream *upstream; /* NULL when its worker is not known */
	char worker[RJ_NAME_BYTES];
	uint32_t tasks;
	uint64_t token;
	uint64_t incarnation; /* of the worker that granted the lease */
	enum rj_task_state state;
	bool start_sent; /* a start may have reached the worker */
	uint64_t start_us; /* when it was sent */
	bool reported; /* in the report that is being read */
	uint64_t call_id; /* the call that is out, or 0 */
	uint32_t tries; /* of the present step */
	bool settled; /* its worker said what became of it */
	uint8_t *result; /* talloc child of the job */
	uint32_t result_length;
	uint64_t ran_us;
};

/* Who waits for a job's answer. */
struct rj_waiter {
	struct rj_list link;
	uint64_t request_id; /* 0 when a peer waits */
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
	bool bodiless; /* known from a claim only: cannot be started here */
	bool planned; /* the planner counts it as waiting or running */
	bool accepted; /* its accept record is in the log */
	bool claimed; /* its claim is in the log, and won */
	bool started; /* a start was sent in this attempt */
	bool ran_before; /* an earlier attempt had started */
	bool ran; /* a worker said so: some attempt made progress */
	bool ran_elsewhere; /* a peer that was lost may have run it */
	bool cancelled;
	bool reclaimed; /* being stopped for someone's guarantee */
	bool ending; /* STOPPING ends it with `final`, else it is requeued */
	struct rj_answer final;
	uint64_t arrived_us;
	uint64_t started_us;
	uint64_t resume_us; /* progress saved by checkpoints */
	uint64_t deadline_us;
	uint64_t step_started_us;
	uint32_t failed_on[RJ_PLAN_AVOID_MAX]; /* workers on which it failed */
	uint32_t failures;
	uint32_t hops;
	bool other_domain; /* it came from another failure domain */
	char peer[RJ_NAME_BYTES]; /* FORWARDED: to whom */
	uint64_t forward_id;
	struct rj_list waiters;
	struct rj_timer deadline;
	struct rj_timer step; /* the retry or limit of the present state */
};

struct rj_call {
	uint64_t call_id;
	enum rj_worker_op op;
	uint64_t job_id; /* 0 for a report */
	uint64_t owner; /* of the attempt, with its number */
	uint32_t attempt;
	uint32_t member;
	uint64_t sent_us;
	uint32_t upstream; /* index */
};

struct rj_jobs {
	struct rj_list list;
	GHashTable *by_id; /* &job->spec.job_id -> job */
	GHashTable *calls; /* &call->call_id -> call */
	GHashTable *waiters; /* &waiter->request_id -> waiter */
	GHashTable *forwards; /* &job->forward_id -> job */
	uint32_t count;
	uint32_t open; /* waiters */
	GHashTable *open_by_name[2]; /* jobs by account, by class */
	struct rj_timer plan; /* when the planner wants its next pass */
	struct rj_timer tick; /* settles what dead instances left */
	bool plan_wanted;
	struct rj_decisions decisions;
	double retry_tokens; /* the retry budget */
};

struct rj_core_state {
	char name[RJ_NAME_BYTES];
	char domain[RJ_NAME_BYTES];
	uint64_t incarnation;
	uint64_t random;
	uint64_t next_id; /* of calls, appends and forwards */
	uint32_t next_attempt; /* numbers are not reused by an incarnation */
	uint64_t retention_us;
	struct rj_planner *planner;
	uint64_t now_us;
	struct rj_actions *actions;
	struct rj_timers timers;
	struct rj_config *config; /* in force, or NULL */
	struct rj_config_log config_log;
	uint64_t config_carried_us; /* when it was last appended from here */
	struct rj_log_stream streams[RJ_STREAM_COUNT];
	bool platform_up;
	uint64_t woke_us; /* from a pause; 0 once the log was read since */
	uint64_t gap_from; /* the offset from which was read then */
	struct rj_job_ledger ledger;
	struct rj_membership membership;
	struct rj_upstreams upstreams;
	struct rj_jobs jobs;
	GHashTable *foreign; /* &task->plan_id -> task of another instance */
	bool stopping;
	uint64_t stopping_us; /* since when */
	struct rj_timer drain;
	struct rj_timer drain_watch;
	uint64_t drain_limit_us;
	uint64_t drain_answered_us; /* when the last request was answered */
	bool drain_over; /* the limit of the drain has passed */
	uint64_t counters[RJ_COUNT_COUNT];
	struct rj_explain_entry *explain; /* ring, talloc array */
	uint32_t explain_next;
	uint64_t wake_us;
};

/* Who cannot be told more for now is told to come back after about this. */
#define RJ_COME_BACK_US (2 * RJ_US_PER_S)

/* core.c */
struct rj_decision_log *
rj_core_log(struct rj_core_state *core, enum rj_decision_event event,
	    enum rj_reason why, const struct rj_job *job, const char *target);
void rj_core_count(struct rj_core_state *core, enum rj_counter counter);
uint64_t rj_core_jitter_us(struct rj_core_state *core, uint64_t base_us);
uint64_t rj_core_next_id(struct rj_core_state *core);
void rj_bytes_copy(void *mem, struct rj_bytes *to, const struct rj_bytes *from);

/* controllers/log_controller.c */
void rj_log_init(struct rj_core_state *core);
void rj_log_start(struct rj_core_state *core);
void rj_log_append(struct rj_core_state *core, enum rj_stream stream,
		   const struct rj_record *record);
bool rj_log_idle(const struct rj_core_state *core);
void rj_log_records(struct rj_core_state *core,
		    const struct rj_records *records);
void rj_log_read_failed(struct rj_core_state *core, enum rj_stream stream);
void rj_log_appended(struct rj_core_state *core,
		     const struct rj_appended *appended);
bool rj_log_usable(const struct rj_core_state *core);
enum rj_reason rj_log_reason(const struct rj_core_state *core);
void rj_log_gap_check(struct rj_core_state *core);
void rj_log_tick(struct rj_core_state *core);
void rj_log_fill_heartbeat(const struct rj_core_state *core,
			   struct rj_peer_heartbeat *heartbeat);

/* job_ledger.c */
void rj_job_ledger_init(struct rj_job_ledger *ledger, void *mem);
void rj_job_ledger_finish(struct rj_job_ledger *ledger);
void rj_job_ledger_reset(struct rj_job_ledger *ledger);
struct rj_job_entry *rj_job_ledger_find(const struct rj_job_ledger *ledger,
					uint64_t job_id);
struct rj_job_entry *rj_job_ledger_apply(struct rj_job_ledger *ledger,
					 void *mem,
					 const struct rj_record *record,
					 uint64_t now_us);
void rj_job_ledger_doubt(struct rj_job_ledger *ledger);
bool rj_job_entry_matters(const struct rj_job_entry *entry);
void rj_job_ledger_forget(struct rj_job_ledger *ledger,
			  struct rj_job_entry *entry);

/* controllers/config_controller.c */
void rj_config_controller_records(struct rj_core_state *core,
				  const struct rj_records *records);
void rj_config_controller_peer(struct rj_core_state *core,
			       const struct rj_peer_config *offer);
void rj_config_controller_tell(struct rj_core_state *core, const char *peer);
void rj_config_controller_tick(struct rj_core_state *core);

/* controllers/membership_controller.c */
void rj_membership_init(struct rj_core_state *core,
			const struct rj_core_options *options);
void rj_membership_start(struct rj_core_state *core);
void rj_membership_list(struct rj_core_state *core,
			const struct rj_instance *list, uint32_t count);
void rj_membership_received(struct rj_core_state *core, const char *name);
void rj_membership_up(struct rj_core_state *core, const char *name);
void rj_membership_down(struct rj_core_state *core, const char *name);
void rj_membership_heartbeat(struct rj_core_state *core, const char *name,
			     const struct rj_peer_heartbeat *heartbeat);
void rj_membership_summary(struct rj_core_state *core, const char *name,
			   const struct rj_peer_summary *summary);
void rj_membership_summaries_again(struct rj_core_state *core);
uint32_t rj_membership_beats_between(uint32_t domains);
void rj_membership_heartbeat_all(struct rj_core_state *core);
struct rj_member_view *rj_membership_find(struct rj_core_state *core,
					  const char *name);
bool rj_membership_alive(const struct rj_core_state *core,
			 const struct rj_member_view *member);
bool rj_membership_takes_work(const struct rj_core_state *core,
			      const struct rj_member_view *member);
bool rj_membership_incarnation_alive(const struct rj_core_state *core,
				     uint64_t incarnation);
uint32_t rj_membership_connections(const struct rj_core_state *core);
const char *rj_membership_name_of(const struct rj_core_state *core,
				  uint64_t incarnation);
struct rj_peer_message *rj_membership_send(struct rj_core_state *core,
					   const char *peer,
					   enum rj_peer_message_kind kind);
void rj_membership_send_domain(struct rj_core_state *core,
			       const struct rj_peer_message *message);

/* ownership.c */
uint64_t rj_ownership_weight(const char *name, uint64_t key, bool cut_off);
bool rj_ownership_cut_off(const struct rj_core_state *core);
bool rj_ownership_owns(const struct rj_core_state *core, const char *domain,
		       uint64_t key);
const char *rj_ownership_owner(struct rj_core_state *core, uint64_t key);

/* controllers/upstreams_controller.c */
void rj_upstreams_init(struct rj_core_state *core);
void rj_upstreams_list(struct rj_core_state *core,
		       const struct rj_instance *list, uint32_t count);
void rj_upstreams_report(struct rj_core_state *core,
			 struct rj_upstream *upstream,
			 const struct rj_worker_reply *reply,
			 uint64_t asked_us);
void rj_upstreams_leaving(struct rj_core_state *core,
			  struct rj_upstream *upstream, uint64_t incarnation);
void rj_upstreams_tell_leaving(struct rj_core_state *core, const char *peer);
void rj_upstreams_leaving_again(struct rj_core_state *core);
void rj_upstreams_peer_leaving(struct rj_core_state *core,
			       const struct rj_peer_leaving *leaving);
void rj_upstreams_failed(struct rj_core_state *core,
			 struct rj_upstream *upstream, uint64_t job_id);
void rj_upstreams_succeeded(struct rj_core_state *core,
			    struct rj_upstream *upstream);
uint64_t rj_upstreams_lease_life_us(const struct rj_core_state *core);
void rj_upstreams_poll_soon(struct rj_core_state *core,
			    struct rj_upstream *upstream);
struct rj_upstream *rj_upstreams_find(const struct rj_core_state *core,
				      const char *name);

bool rj_upstreams_usable(const struct rj_upstream *upstream);
void rj_upstreams_own(struct rj_core_state *core, struct rj_upstream *upstream,
		      bool owned);
void rj_upstreams_whole_reports(struct rj_core_state *core);
void rj_upstreams_offer(struct rj_core_state *core,
			struct rj_upstream *upstream);
void rj_upstreams_told_free(struct rj_core_state *core,
			    struct rj_upstream *upstream,
			    const struct rj_resources *left);

/* controllers/foreign_controller.c */
void rj_foreign_init(struct rj_core_state *core);
void rj_foreign_finish(struct rj_core_state *core);
bool rj_foreign_is_planned(const struct rj_core_state *core,
			   const struct rj_upstream *upstream,
			   const struct rj_task_report *line);
void rj_foreign_report(struct rj_core_state *core, struct rj_upstream *upstream,
		       const struct rj_worker_report *report);
void rj_foreign_disown(struct rj_core_state *core,
		       struct rj_upstream *upstream);
void rj_foreign_reclaim(struct rj_core_state *core,
			const struct rj_decision *decision);

/* controllers/racks_controller.c */
uint64_t rj_racks_key(const struct rj_core_state *core, uint32_t rack);
uint64_t rj_racks_job_key(const struct rj_core_state *core, const char *domain,
			  uint64_t job_id);
void rj_racks_place(struct rj_core_state *core, struct rj_upstream *upstream);
bool rj_racks_owned_by(const struct rj_core_state *core, uint32_t number,
		       const char *name);
void rj_racks_ownership(struct rj_core_state *core);
bool rj_racks_hand_on(const struct rj_core_state *core);
bool rj_rack_has_room(const struct rj_rack *rack, const struct rj_shape *shape);
void rj_racks_tell(struct rj_core_state *core, const struct rj_rack *rack);
void rj_racks_tell_peer(struct rj_core_state *core, const char *peer);
void rj_racks_peer_summary(struct rj_core_state *core,
			   const struct rj_peer_summary *summary);

/* controllers/jobs_controller.c */
void rj_jobs_init(struct rj_core_state *core);
void rj_jobs_finish(struct rj_core_state *core);
struct rj_job *rj_job_new(struct rj_core_state *core,
			  const struct rj_job_spec *spec,
			  const struct rj_job_class *class);
void rj_job_enter(struct rj_job *job, enum rj_job_state state);
void rj_job_free(struct rj_job *job);
uint32_t rj_jobs_open(const struct rj_core_state *core, bool of_class,
		      const char *name);
struct rj_job *rj_jobs_find(const struct rj_core_state *core, uint64_t job_id);
void rj_job_wait(struct rj_job *job, uint64_t request_id, const char *peer,
		 uint64_t forward_id);
void rj_job_answer_waiters(struct rj_job *job, const struct rj_answer *answer);
void rj_job_tell_waiters(struct rj_job *job, enum rj_answer_kind kind,
			 enum rj_reason reason, uint64_t retry_after_us);
void rj_job_answer_in_progress(struct rj_job *job, enum rj_reason reason);
bool rj_job_may_tell(const struct rj_job *job);
void rj_job_end(struct rj_job *job, const struct rj_answer *answer);
void rj_job_end_plain(struct rj_job *job, enum rj_answer_kind kind,
		      enum rj_reason reason, uint64_t retry_after_us);
void rj_job_not_started(struct rj_job *job, enum rj_reason reason,
			uint64_t retry_after_us);
void rj_job_give_up(struct rj_job *job, enum rj_reason reason,
		    uint64_t retry_after_us);
void rj_job_cancel(struct rj_job *job, enum rj_reason reason);
void rj_job_set_deadline(struct rj_job *job, uint64_t in_us);
void rj_jobs_caller_gone(struct rj_core_state *core, uint64_t request_id);
void rj_core_answer(struct rj_core_state *core, uint64_t request_id,
		    const struct rj_answer *answer);

/* controllers/placement_controller.c: QUEUED and HOLDING */
void rj_job_plan_view(const struct rj_job *job, struct rj_plan_job *plan);
void rj_job_submit(struct rj_job *job);
void rj_job_requeue(struct rj_job *job, uint64_t delay_us,
		    enum rj_reason reason);
void rj_jobs_plan(struct rj_core_state *core);
void rj_job_reclaim_for_peer(struct rj_core_state *core,
			     const struct rj_peer_cancel *cancel);
void rj_job_release_members(struct rj_job *job);
void rj_job_unplan(struct rj_job *job, bool succeeded);
void rj_job_lease_reply(struct rj_job *job, struct rj_member *member,
			const struct rj_worker_reply *reply);

/* controllers/claims_controller.c: ACCEPTING, CLAIMING, WATCHING */
bool rj_job_needs_claim(const struct rj_job *job);
void rj_job_accept(struct rj_job *job);
void rj_job_claim(struct rj_job *job);
void rj_job_watch(struct rj_job *job);
bool rj_job_leave_bodiless(struct rj_job *job);

/* controllers/recovery_controller.c: SETTLING */
void rj_job_settle(struct rj_job *job);
void rj_job_fence_reply(struct rj_job *job, struct rj_member *member,
			const struct rj_worker_reply *reply);
void rj_job_renew_reply(struct rj_job *job, struct rj_member *member,
			const struct rj_worker_reply *reply);
void rj_claims_tick(struct rj_core_state *core);

void rj_claims_record(struct rj_core_state *core,
		      const struct rj_record *record);
void rj_claims_appended(struct rj_core_state *core,
			const struct rj_record *record,
			enum rj_append_status status);
void rj_claims_void(struct rj_job *job);
void rj_claims_running(struct rj_job *job);
void rj_claims_outcome(struct rj_job *job);
void rj_claims_answer(const struct rj_job_entry *entry,
		      struct rj_answer *answer);
void rj_claims_platform_down(struct rj_core_state *core);
void rj_claims_step_due(struct rj_job *job);
void rj_claims_cancel(struct rj_job *job);

/* controllers/calls_controller.c */
/* A call that does not wait for a task's end is answered within this. */
#define RJ_CALL_TIMEOUT_US (2 * RJ_US_PER_S)

void rj_job_set_members(struct rj_job *job, uint32_t count);
void rj_job_drop_members(struct rj_job *job);
void rj_member_attach(struct rj_job *job, struct rj_member *member,
		      struct rj_upstream *upstream);
void rj_member_keep_result(struct rj_job *job, struct rj_member *member,
			   const struct rj_bytes *result);
void rj_call_clear(struct rj_core_state *core,
		   const struct rj_upstream *upstream, enum rj_worker_op op,
		   const struct rj_attempt *attempt, uint32_t member,
		   uint64_t token);
struct rj_worker_call *rj_job_call(struct rj_job *job, struct rj_member *member,
				   enum rj_worker_op op);
void rj_jobs_worker_reply(struct rj_core_state *core,
			  const struct rj_worker_reply *reply);

/* controllers/run_controller.c: STARTING, RUNNING */
void rj_job_start(struct rj_job *job);
void rj_job_run_on(struct rj_job *job);
void rj_job_start_reply(struct rj_job *job, struct rj_member *member,
			const struct rj_worker_reply *reply);
void rj_job_start_lost(struct rj_job *job, struct rj_member *member);
void rj_job_throttle_reply(struct rj_job *job, struct rj_member *member,
			   const struct rj_worker_reply *reply);
void rj_job_check(struct rj_job *job);
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
void rj_job_stopped_check(struct rj_job *job);

/* controllers/report_controller.c */
void rj_job_note_progress(struct rj_job *job, enum rj_task_state state,
			  uint64_t ran_us);
void rj_jobs_report(struct rj_core_state *core, struct rj_upstream *upstream,
		    const struct rj_worker_report *report, uint64_t asked_us);
bool rj_jobs_report_unchanged(const struct rj_upstream *upstream);
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

/* controllers/drain_controller.c */
void rj_drain_init(struct rj_core_state *core);
void rj_drain_stop(struct rj_core_state *core);
bool rj_drain_takes_more(const struct rj_core_state *core,
			 const struct rj_job_class *class);
void rj_drain_hand_over(struct rj_core_state *core);
void rj_job_hand_over(struct rj_job *job);
void rj_drain_check(struct rj_core_state *core);

/* filters/: a request on its way through the chain */
struct rj_submission {
	uint64_t request_id; /* 0 when a peer forwards it */
	const char *peer;
	uint64_t forward_id;
	uint32_t hops;
	bool other_domain;
	enum rj_request_op op;
	const char *token;
	bool wait;
	struct rj_job_spec spec; /* body is the event's */
	const struct rj_account *account;
	const struct rj_job_class *class;
	struct rj_job *job; /* made by the last filters, or given again */
};

enum rj_filter_verdict {
	RJ_FILTER_NEXT, /* the next filter goes on */
	RJ_FILTER_TAKEN, /* answered, or someone will answer it */
	RJ_FILTER_VERDICT_COUNT
};

extern const char *const rj_filter_verdict_string[RJ_FILTER_VERDICT_COUNT];

struct rj_filter {
	const char *name;
	enum rj_filter_verdict (*pass)(struct rj_core_state *core,
				       struct rj_submission *submission);
};

extern const struct rj_filter rj_filter_identify;
extern const struct rj_filter rj_filter_find;
extern const struct rj_filter rj_filter_validate;
extern const struct rj_filter rj_filter_repeat;
extern const struct rj_filter rj_filter_limit;
extern const struct rj_filter rj_filter_log;
extern const struct rj_filter rj_filter_route;
extern const struct rj_filter rj_filter_place;

enum rj_filter_verdict rj_filter_refuse(struct rj_core_state *core,
					const struct rj_submission *submission,
					enum rj_answer_kind kind,
					enum rj_reason reason,
					uint64_t retry_after_us,
					const char *detail);
void rj_filter_answer(struct rj_core_state *core,
		      const struct rj_submission *submission,
		      const struct rj_answer *answer);
struct rj_job *rj_filter_job(struct rj_core_state *core,
			     struct rj_submission *submission);

/* filters/route.c */
bool rj_route_leads_away(const struct rj_job *job);

/* filters/chain.c */
void rj_filters_request(struct rj_core_state *core,
			const struct rj_request *request);
void rj_filters_forward(struct rj_core_state *core, const char *peer,
			const struct rj_peer_forward *forward);
void rj_filters_again(struct rj_job *job);

#endif
