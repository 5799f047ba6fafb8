#include "private/cell_activity.h"

#include "private/cell_owner.h"
#include "private/log_event.h"

#define LOG_INTERVAL_US RJ_US_PER_S

const char *const rj_cell_plan_block_string[RJ_CELL_PLAN_BLOCK_COUNT] = {
	[RJ_CELL_PLAN_ALLOWED] = "none",
	[RJ_CELL_PLAN_BLOCK_APPEND] = "append",
	[RJ_CELL_PLAN_BLOCK_LOG_AGE] = "log_age",
	[RJ_CELL_PLAN_BLOCK_PAUSE] = "pause",
	[RJ_CELL_PLAN_BLOCK_WINDOW] = "window",
};

/* Returns the age of a log that is known up to `read_us` (0: not yet read). */
static uint64_t age_us(const struct rj_cell_owner *owner, uint64_t read_us)
{
	return read_us ? owner->now_us - read_us : RJ_NEVER_US;
}

/* Logs what the owner has done since the last such event. */
static void log_activity(const struct rj_cell_owner *owner)
{
	const struct rj_cell_activity *activity = &owner->activity;
	const struct rj_cell_owner_counters *now = &owner->counters;
	const struct rj_cell_owner_counters *before = &owner->logged_counters;

#define SINCE(field) (now->field - before->field)
	rj_log_event(
		"owner_activity", RJ_LOG_NUMBER("starts", SINCE(starts)),
		RJ_LOG_NUMBER("stops", SINCE(stops)),
		RJ_LOG_NUMBER("polls", SINCE(polls)),
		RJ_LOG_NUMBER("probes", SINCE(probes)),
		RJ_LOG_NUMBER("handshakes", owner->workers->handshakes -
						    activity->handshakes),
		RJ_LOG_NUMBER("ok", SINCE(answers[RJ_CELL_ORDER_OK])),
		RJ_LOG_NUMBER("lost", SINCE(answers[RJ_CELL_ORDER_LOST])),
		RJ_LOG_NUMBER("unsent", SINCE(answers[RJ_CELL_ORDER_UNSENT])),
		RJ_LOG_NUMBER("plans", SINCE(plans)),
		RJ_LOG_NUMBER("wait_append",
			      SINCE(plan_blocks[RJ_CELL_PLAN_BLOCK_APPEND])),
		RJ_LOG_NUMBER("wait_log",
			      SINCE(plan_blocks[RJ_CELL_PLAN_BLOCK_LOG_AGE])),
		RJ_LOG_NUMBER("wait_pause",
			      SINCE(plan_blocks[RJ_CELL_PLAN_BLOCK_PAUSE])),
		RJ_LOG_NUMBER("wait_window",
			      SINCE(plan_blocks[RJ_CELL_PLAN_BLOCK_WINDOW])),
		RJ_LOG_AGE_MS("append_ms", MAX(owner->writer.took_us,
					       owner->progress_writer.took_us)),
		RJ_LOG_AGE_MS("requests_age_ms",
			      age_us(owner, owner->requests_read_us)),
		RJ_LOG_AGE_MS("workers_age_ms",
			      age_us(owner, owner->workers_read_us)),
		RJ_LOG_AGE_MS("gap_ms", activity->gap_max_us));
#undef SINCE
}

/*
 * Records that the owner was advanced, and logs its activity if that is due.
 */
void rj_cell_activity_advanced(struct rj_cell_owner *owner)
{
	struct rj_cell_activity *activity = &owner->activity;

	if (activity->advanced_us)
		activity->gap_max_us =
			MAX(activity->gap_max_us,
			    owner->now_us - activity->advanced_us);
	activity->advanced_us = owner->now_us;
	if (owner->now_us < activity->log_due_us)
		return;
	activity->log_due_us = owner->now_us + LOG_INTERVAL_US;
	log_activity(owner);
	owner->logged_counters = owner->counters;
	activity->handshakes = owner->workers->handshakes;
	activity->gap_max_us = 0;
}
