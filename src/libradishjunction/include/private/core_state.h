/*
 * State of one instance's decision core, shared by its filters and controllers.
 *
 * Each controller owns its part and is the only writer of it; others read it or
 * call its functions. `now_us` and `actions` are only valid while an event is
 * processed.
 */
#ifndef RADISHJUNCTION_PRIVATE_CORE_STATE_H
#define RADISHJUNCTION_PRIVATE_CORE_STATE_H

#include <glib.h>

#include "private/filters.h"
#include "private/job_ledger.h"
#include "private/jobs.h"
#include "private/membership.h"
#include "private/timer.h"
#include "private/upstreams.h"
#include "radishjunction/config_log.h"
#include "radishjunction/core.h"

/* Number of recent decisions kept for `explain`. */
#define RJ_EXPLAIN_ENTRIES 4096

struct rj_explain_entry {
	uint64_t at_us;
	struct rj_decision_log log;
};

/* Reads and appends of one stream of the log. */
struct rj_log_stream {
	enum rj_stream stream;
	uint64_t next; /* offset of the next read */
	bool read_before; /* a read has succeeded since the start */
	bool caught_up; /* all records up to the head are applied */
	bool tried; /* has been caught up, or a read has failed */
	bool reading;
	uint64_t backoff_us;
	uint64_t read_sent_us; /* when the read in flight was sent */
	uint64_t current_as_of_us; /* read completely up to then */
	uint64_t oldest; /* oldest offset retained at the last read */
	uint64_t newest_us; /* when the newest record was appended */
	struct rj_timer retry;
	/* Group commit: one append in flight, other records wait. */
	struct rj_record **waiting; /* talloc array */
	uint32_t waiting_count;
	struct rj_record *in_flight;
	uint32_t in_flight_count;
	uint64_t append_id; /* 0: none in flight */
	uint64_t append_after_us; /* rate limit: no append before this time */
	struct rj_timer append_timer;
};

struct rj_core_state {
	char name[RJ_NAME_BYTES];
	char domain[RJ_NAME_BYTES];
	uint64_t incarnation;
	uint64_t random; /* state of the random number generator */
	uint64_t last_id; /* of calls, appends and forwards */
	uint32_t last_attempt; /* number, unique within an incarnation */
	uint64_t retention_us;
	struct rj_planner *planner;
	uint64_t now_us;
	struct rj_actions *actions;
	struct rj_timers timers;
	struct rj_config *config; /* in force, or NULL */
	struct rj_config_log config_log;
	uint64_t config_carried_us; /* when this instance last appended it */
	struct rj_log_stream streams[RJ_STREAM_COUNT];
	bool platform_up;
	uint64_t paused_before_us; /* end of a pause; 0 once the log was read */
	uint64_t gap_end_offset; /* reading resumed here after a gap */
	struct rj_job_ledger ledger;
	struct rj_membership membership;
	struct rj_upstreams upstreams;
	struct rj_jobs jobs;
	GHashTable *foreign; /* &task->plan_id -> task of another instance */
	bool stopping;
	uint64_t stopping_us; /* when the drain started */
	struct rj_timer drain; /* end of the drain limit */
	struct rj_timer drain_watch; /* redirects callers of watched jobs */
	uint64_t drain_limit_us;
	uint64_t drain_answered_us; /* when the last request was answered */
	bool drain_expired; /* the drain limit has passed */
	uint64_t counters[RJ_COUNT_COUNT];
	struct rj_explain_entry *explain; /* ring buffer, talloc array */
	uint32_t explain_next;
	uint64_t wake_us;
};

/* Mean retry delay for callers that cannot be answered conclusively yet. */
#define RJ_RETRY_AFTER_US (2 * RJ_US_PER_S)

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
void rj_log_receive_records(struct rj_core_state *core,
			    const struct rj_records *records);
void rj_log_read_failed(struct rj_core_state *core, enum rj_stream stream);
void rj_log_appended(struct rj_core_state *core,
		     const struct rj_appended *appended);
bool rj_log_usable(const struct rj_core_state *core);
enum rj_reason rj_log_unavailable_reason(const struct rj_core_state *core);
void rj_log_check_gap(struct rj_core_state *core);
void rj_log_tick(struct rj_core_state *core);
void rj_log_fill_heartbeat(const struct rj_core_state *core,
			   struct rj_peer_heartbeat *heartbeat);

/* controllers/config_controller.c */
void rj_config_controller_apply_records(struct rj_core_state *core,
					const struct rj_records *records);
void rj_config_controller_receive(struct rj_core_state *core,
				  const struct rj_peer_config *offer);
void rj_config_controller_send(struct rj_core_state *core, const char *peer);
void rj_config_controller_tick(struct rj_core_state *core);

/* controllers/drain_controller.c */
void rj_drain_init(struct rj_core_state *core);
void rj_drain_start(struct rj_core_state *core);
bool rj_drain_admits(const struct rj_core_state *core,
		     const struct rj_job_class *class);
void rj_drain_hand_over_jobs(struct rj_core_state *core);
void rj_job_hand_over(struct rj_job *job);
void rj_drain_check_finished(struct rj_core_state *core);

#endif
