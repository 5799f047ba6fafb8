#include "private/cell_returns.h"

#include <string.h>

#include "private/log_event.h"

/* A queue has a backlog when one of its jobs has waited for this long. */
#define BACKLOG_WAIT_US RJ_US_PER_S

/*
 * Empties the list before the log of requests is loaded. Call it when a takeover
 * begins.
 */
void rj_cell_returns_begin(struct rj_cell_owner *owner)
{
	if (!owner->limits.features.return_order)
		return;
	rj_cell_return_order_begin(&owner->return_order);
	owner->announcements_resumed = false;
}

/*
 * Applies a record of the log of requests if it holds an instance's rejections.
 */
void rj_cell_returns_read(struct rj_cell_owner *owner,
			  const struct rj_cell_record *record, uint64_t wall_ms)
{
	struct rj_cell_rejection_list list;
	enum rj_cell_record_kind kind;
	const char *instance;
	struct rj_error err;

	if (!owner->limits.features.return_order ||
	    rj_cell_record_kind(record->key, &kind, &instance) ||
	    kind != RJ_CELL_RECORD_REJECTIONS)
		return;
	if (!record->value.length) {
		rj_cell_return_order_forget_record(&owner->return_order,
						   instance);
		return;
	}
	if (rj_cell_rejections_decode(record->value, &list, &err)) {
		rj_log_event("record_bad", RJ_LOG_TEXT("key", record->key),
			     RJ_LOG_TEXT("error", err.message));
		return;
	}
	rj_cell_return_order_read(&owner->return_order, instance, &list,
				  owner->view, wall_ms);
}

/*
 * Ends the turn of a job that was accepted, if it had been rejected before.
 */
void rj_cell_returns_accepted(struct rj_cell_owner *owner,
			      const struct rj_cell_job_spec *spec)
{
	struct rj_cell_return_entry entry;
	uint64_t id;

	if (!owner->limits.features.return_order ||
	    !rj_cell_rejection_id(spec->id, &id) ||
	    !rj_cell_return_order_accept(&owner->return_order, id, &entry))
		return;
	rj_log_event("returned", RJ_LOG_TEXT("job", spec->id),
		     RJ_LOG_TEXT("account", spec->account),
		     RJ_LOG_TEXT("queue", spec->queue),
		     RJ_LOG_TEXT("rejected_by", entry.instance),
		     RJ_LOG_NUMBER("first_rejected_ms", entry.first_ms),
		     RJ_LOG_NUMBER("waited_ms",
				   spec->accepted_ms > entry.first_ms ?
					   spec->accepted_ms - entry.first_ms :
					   0),
		     RJ_LOG_NUMBER("in_turn", entry.announced));
}

/* A record that was not removed is found again by the next owner. */
static void remove_done(void *private_data, enum rj_cell_write_outcome outcome)
{
}

/* Removes the record of an instance that is gone or has rejected nothing for
 * long. */
static void remove_old_record(struct rj_cell_owner *owner)
{
	const char *instance = rj_cell_return_order_old_record(
		&owner->return_order, owner->wall_ms);
	char key[RJ_CELL_INSTANCE_KEY_BYTES];

	if (!instance)
		return;
	rj_cell_record_instance_key(key, RJ_CELL_RECORD_REJECTIONS, instance);
	rj_cell_writer_add(owner->requests_writer, key,
			   (struct rj_bytes){ NULL, 0 },
			   (struct rj_cell_write_done){ remove_done, NULL });
	rj_cell_writer_flush(owner->requests_writer, owner->now_us);
	rj_cell_return_order_forget_record(&owner->return_order, instance);
}

/* Whether a job has waited for its first start for so long that its queue has a
 * backlog. */
static bool is_backlogged(const struct rj_cell_owner *owner,
			  const struct rj_cell_job *job)
{
	return !job->started && !job->cancelled && !job->job_spec->repeats &&
	       job->state == RJ_CELL_JOB_QUEUED &&
	       owner->now_us >= job->accepted_us + BACKLOG_WAIT_US;
}

/* Returns the bits of the loads whose queue has a backlog. */
static uint32_t find_backlogs(const struct rj_cell_owner *owner,
			      const struct rj_cell_owner_heartbeat *heartbeat)
{
	const struct rj_list *at;
	uint32_t backlogged = 0;

	for (at = owner->jobs.next; at != &owner->jobs; at = at->next) {
		const struct rj_cell_job *job =
			RJ_CONTAINER(at, struct rj_cell_job, link);
		const char *queue = job->job_spec->queue;

		if (!is_backlogged(owner, job))
			continue;
		for (uint32_t i = 0; i < heartbeat->queue_load_count; i++)
			if (!strcmp(heartbeat->queue_loads[i].queue, queue))
				backlogged |= UINT32_C(1) << i;
	}
	return backlogged;
}

/* Logs the order of return if it has changed since `former`. */
static void log_order(const struct rj_cell_return_order *order,
		      const struct rj_cell_return_counters *former,
		      const struct rj_cell_owner_heartbeat *heartbeat)
{
	const struct rj_cell_return_counters *counters = &order->counters;

	if (counters->announced == former->announced &&
	    counters->expired == former->expired)
		return;
	rj_log_event(
		"return_order",
		RJ_LOG_NUMBER("waiting", g_hash_table_size(order->by_id)),
		RJ_LOG_NUMBER("outstanding", heartbeat->announced_count),
		RJ_LOG_NUMBER("announced",
			      counters->announced - former->announced),
		RJ_LOG_NUMBER("expired", counters->expired - former->expired),
		RJ_LOG_NUMBER("instances", g_hash_table_size(order->written)));
}

/*
 * Fills a heartbeat, whose loads of the queues are set, with the submissions
 * whose turn it is, and removes an old record.
 */
void rj_cell_returns_announce(struct rj_cell_owner *owner,
			      struct rj_cell_owner_heartbeat *heartbeat)
{
	struct rj_cell_return_counters former = owner->return_order.counters;

	if (!owner->limits.features.return_order)
		return;
	if (!owner->announcements_resumed)
		rj_cell_return_order_resume(&owner->return_order,
					    &owner->former_heartbeat,
					    owner->wall_ms);
	owner->announcements_resumed = true;
	rj_cell_return_order_announce(&owner->return_order, heartbeat,
				      find_backlogs(owner, heartbeat),
				      owner->wall_ms);
	log_order(&owner->return_order, &former, heartbeat);
	remove_old_record(owner);
}
