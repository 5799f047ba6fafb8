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

#include "private/filters.h"
#include "private/job_ledger.h"
#include "private/jobs.h"
#include "private/membership.h"
#include "private/timer.h"
#include "private/upstreams.h"
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
