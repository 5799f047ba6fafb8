#include "private/cell_candidate.h"

#include <string.h>
#include <talloc.h>

#include "private/cell_acquire.h"
#include "private/log_event.h"

/*
 * An owner that wrote nothing for this long while the log was readable is
 * considered failed. It writes every 0.4 s, and an append takes up to 0.25 s
 * while the log is slow.
 */
#define OWNER_TIMEOUT_US (900 * RJ_US_PER_MS)
/*
 * The owner's load grows with the number of workers, so a strong instance
 * should own the cell: one with 1.5 times the strength takes it from a weaker
 * owner after a minimum uptime, and a weaker one waits longer before it
 * acquires the cell. With an eighth of a core an owner cannot keep up with 350
 * workers; its polls time out.
 */
#define STRENGTH_RATIO_NUMERATOR 3
#define STRENGTH_RATIO_DENOMINATOR 2
#define WEAKER_DELAY_US (1000 * RJ_US_PER_MS)
#define STRONGER_UPTIME_US (2 * RJ_US_PER_S)
/* Pause of an instance between two attempts to acquire the cell. */
#define ACQUIRE_RETRY_US (300 * RJ_US_PER_MS)

/* Returns this instance's delay before it acquires the cell. */
static uint64_t acquire_delay_us(const struct rj_cell_node *node)
{
	return rj_cell_acquire_delay_us(node->options.name,
					node->ownership.token, node->answer_us);
}

/* The outcome is not final: ownership is decided by the record read from the
 * log. */
static void acquire_done(void *private_data,
			 const struct rj_cell_store_reply *reply)
{
	struct rj_cell_node *node = private_data;

	node->acquiring = false;
	node->acquire_due_us = reply->now_us + ACQUIRE_RETRY_US;
	rj_log_event("acquire",
		     RJ_LOG_TEXT("outcome",
				 rj_cell_store_status_string[reply->status]),
		     RJ_LOG_NUMBER("end", reply->end));
	node->jobs.due_us = reply->now_us;
}

/*
 * Appends an ownership record.
 *
 * Prevents two owners: the record's offset is the fencing token, and its epoch
 * is higher than that of every owner whose record has been read, so the log
 * rejects their later appends. All their earlier records precede it and are
 * read before this instance owns the cell. An epoch that is too low is
 * rejected. Instances that have read to the same offset use the same epoch, and
 * only the first of their appends is stored.
 *
 * The log need not be idle: under load, clients append records faster than an
 * instance can read the log and append to it.
 */
static void write_owner(struct rj_cell_node *node)
{
	struct rj_cell_owner_record owner = { .incarnation =
						      node->options.incarnation,
					      .strength =
						      node->options.strength,
					      .since_ms = node->wall_ms,
					      .epoch = node->jobs.next + 1 };
	struct rj_cell_record record;
	struct rj_cell_append append = { .topic = RJ_CELL_TOPIC_JOBS,
					 .producer = "owner",
					 .epoch = owner.epoch,
					 .records = &record,
					 .count = 1 };
	char key[RJ_CELL_KEY_BYTES];

	memcpy(owner.name, node->options.name, sizeof(owner.name));
	rj_cell_record_key(key, RJ_CELL_RECORD_OWNER, "");
	record.key = key;
	record.value = rj_cell_owner_encode(node->mem, &owner);
	node->acquiring = true;
	node->options.store->ops->append(
		node->options.store, &append,
		(struct rj_cell_store_done){ acquire_done, node });
	talloc_free((void *)record.value.data);
}

/* Whether an instance is weak enough, compared to another, that the other
 * should own the cell. */
static bool is_weaker(uint32_t strength, uint32_t other)
{
	return strength * STRENGTH_RATIO_NUMERATOR <
	       other * STRENGTH_RATIO_DENOMINATOR;
}

/* Whether the owner was an earlier incarnation of this instance. */
static bool was_owner(const struct rj_cell_node *node)
{
	const struct rj_cell_owner_record *record = &node->ownership.record;

	return node->ownership.known &&
	       !strcmp(record->name, node->options.name) &&
	       record->incarnation != node->options.incarnation;
}

/* How long the owner may write nothing before it is considered failed. */
static uint64_t owner_timeout_us(const struct rj_cell_node *node)
{
	const struct rj_cell_owner_record *record = &node->ownership.record;
	uint64_t timeout_us = 0;

	if (was_owner(node))
		return 0;
	if (node->ownership.known && !record->leaving)
		timeout_us = OWNER_TIMEOUT_US;
	if (node->ownership.known &&
	    is_weaker(node->options.strength, record->strength))
		timeout_us += WEAKER_DELAY_US;
	return timeout_us;
}

/* Whether the owner has timed out or is too weak compared to this instance. */
static bool should_replace_owner(const struct rj_cell_node *node)
{
	uint64_t since_seen_us = node->now_us - node->ownership.seen_us;

	if (node->ownership.known &&
	    is_weaker(node->ownership.record.strength,
		      node->options.strength) &&
	    node->now_us >= node->started_us + STRONGER_UPTIME_US)
		return true;
	return since_seen_us >= owner_timeout_us(node);
}

/* Whether this instance's delay has passed since it became a candidate. */
static bool has_waited(const struct rj_cell_node *node)
{
	return was_owner(node) ||
	       node->now_us >= node->candidate_us + acquire_delay_us(node);
}

/* Acquires the cell if the end of the log has been reached, the owner still has
 * to be replaced, and it is this instance's turn. */
static void probe_done(struct rj_cell_sync *sync, bool reached)
{
	struct rj_cell_node *node =
		RJ_CONTAINER(sync, struct rj_cell_node, probe);

	node->probing = false;
	node->now_us = node->jobs.now_us;
	node->answer_us = node->now_us - sync->since_us;
	if (!reached) {
		node->acquire_due_us = node->now_us + ACQUIRE_RETRY_US;
		return;
	}
	if (rj_cell_node_is_owner(node) || node->acquiring || node->draining ||
	    !should_replace_owner(node) || !has_waited(node))
		return;
	rj_log_event("owner_silent",
		     RJ_LOG_TEXT("instance", node->ownership.record.name),
		     RJ_LOG_NUMBER("token", node->ownership.token),
		     RJ_LOG_NUMBER("strength", node->ownership.record.strength),
		     RJ_LOG_AGE_MS("silent_ms",
				   node->now_us - node->ownership.seen_us),
		     RJ_LOG_AGE_MS("answer_ms", node->answer_us),
		     RJ_LOG_AGE_MS("delay_ms", acquire_delay_us(node)));
	write_owner(node);
}

/*
 * Begins to acquire the cell if its owner has failed or is too weak. The
 * instance reads the log to its end when it becomes a candidate, which also
 * shows how fast the log answers, and again after its delay.
 *
 * An instance that is partitioned from the log would mistake its own lack of
 * data for a failed owner; it therefore reads the log to its end before it
 * acquires the cell.
 */
void rj_cell_candidate_tick(struct rj_cell_node *node)
{
	if (rj_cell_node_is_owner(node) || node->acquiring || node->probing ||
	    node->draining || !node->jobs.caught_up || !node->config ||
	    node->now_us < node->acquire_due_us)
		return;
	if (!should_replace_owner(node)) {
		node->candidate_us = 0;
		return;
	}
	if (node->candidate_us && !has_waited(node))
		return;
	if (!node->candidate_us)
		node->candidate_us = node->now_us;
	node->probing = true;
	rj_cell_log_reader_sync(&node->jobs, &node->probe, node->now_us);
}

/*
 * Prepares the checks of the owner; call it once, when the node starts.
 */
void rj_cell_candidate_init(struct rj_cell_node *node)
{
	node->probe.done = probe_done;
}

/*
 * Keeps this instance from acquiring the cell at once after it gave it up.
 */
void rj_cell_candidate_pause(struct rj_cell_node *node)
{
	node->acquire_due_us = node->now_us + ACQUIRE_RETRY_US;
}
