#include "private/cell_follow.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/log_event.h"

/* A failed read is repeated after this, doubled with each failure in a row;
 * a store that turns calls away must not get more of them. */
#define RETRY_US (100 * RJ_US_PER_MS)
#define RETRY_MAX_US (800 * RJ_US_PER_MS)

const char *const rj_cell_topic_string[RJ_CELL_TOPIC_COUNT] = {
	[RJ_CELL_TOPIC_JOBS] = "jobs",
	[RJ_CELL_TOPIC_PROGRESS] = "progress",
	[RJ_CELL_TOPIC_CONFIG] = "config",
	[RJ_CELL_TOPIC_WORKERS] = "workers",
};

const char *const rj_cell_store_status_string[RJ_CELL_STORE_STATUS_COUNT] = {
	[RJ_CELL_STORE_OK] = "ok",
	[RJ_CELL_STORE_REFUSED] = "refused",
	[RJ_CELL_STORE_FENCED] = "fenced",
	[RJ_CELL_STORE_SEQUENCE] = "sequence",
	[RJ_CELL_STORE_GONE] = "gone",
	[RJ_CELL_STORE_LOST] = "lost",
	[RJ_CELL_STORE_BAD] = "bad",
};

/* A long poll brings what was appended within a round trip; what is known to
 * be there for longer is read without waiting. */
#define LAG_US (30 * RJ_US_PER_MS)

/* What one call remembers until its answer. */
struct call {
	struct rj_cell_follow *follow;
	uint32_t generation;
	uint64_t sent_us;
	uint64_t from;
	bool quick;
};

static void send_read(struct rj_cell_follow *follow, bool quick);
static void send_newest(struct rj_cell_follow *follow);

/*
 * Prepare to follow a log. Nothing is read before rj_cell_follow_start.
 */
void rj_cell_follow_init(struct rj_cell_follow *follow, void *mem,
			 struct rj_cell_store *store, enum rj_cell_topic topic,
			 const struct rj_cell_follow_ops *ops,
			 void *private_data)
{
	memset(follow, 0, sizeof(*follow));
	follow->mem = mem;
	follow->store = store;
	follow->topic = topic;
	follow->ops = ops;
	follow->private_data = private_data;
	rj_list_init(&follow->syncs);
}

/* Remember one call. */
static struct call *call_new(struct rj_cell_follow *follow, bool quick)
{
	struct call *call = talloc_zero(follow->mem, struct call);

	assert(call);
	call->follow = follow;
	call->generation = follow->generation;
	call->sent_us = follow->now_us;
	call->from = follow->next;
	call->quick = quick;
	return call;
}

/* End the syncs that a read sent at `sent_us` speaks for. */
static void end_syncs(struct rj_cell_follow *follow, uint64_t sent_us,
		      bool reached)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &follow->syncs) {
		struct rj_cell_sync *sync =
			RJ_CONTAINER(at, struct rj_cell_sync, link);

		if (sync->since_us > sent_us)
			continue;
		rj_list_remove(at);
		sync->done(sync, reached);
	}
}

/* A read has failed: come back later, and say so once. */
static void note_failure(struct rj_cell_follow *follow,
			 enum rj_cell_store_status status)
{
	uint64_t delay_us = RETRY_US
			    << (follow->failures < 3 ? follow->failures : 3);

	if (!follow->failures)
		rj_log_event(
			"log_lost",
			RJ_LOG_TEXT("log", rj_cell_topic_string[follow->topic]),
			RJ_LOG_TEXT("why", rj_cell_store_status_string[status]),
			RJ_LOG_NUMBER("from", follow->next),
			RJ_LOG_AGE_MS(
				"confirmed_ms",
				rj_cell_follow_age_us(follow, follow->now_us)));
	follow->failures++;
	if (delay_us > RETRY_MAX_US)
		delay_us = RETRY_MAX_US;
	follow->due_us = follow->now_us + delay_us;
}

/* A read has succeeded after failures. */
static void note_success(struct rj_cell_follow *follow)
{
	if (follow->failures)
		rj_log_event(
			"log_regained",
			RJ_LOG_TEXT("log", rj_cell_topic_string[follow->topic]),
			RJ_LOG_NUMBER("failures", follow->failures));
	follow->failures = 0;
	follow->answered_us = follow->now_us;
}

/* Hand on the records of a read that the follower has not seen yet; a long
 * poll and a quick read may bring the same ones. */
static void take_records(struct rj_cell_follow *follow,
			 const struct rj_cell_store_reply *reply)
{
	for (uint32_t i = 0; i < reply->count; i++) {
		if (reply->records[i].offset < follow->next)
			continue;
		follow->next = reply->records[i].offset + 1;
		follow->ops->record(follow->private_data, &reply->records[i]);
	}
	if (reply->next > follow->next)
		follow->next = reply->next;
}

/* Load anew: the records from here on have expired. */
static void reload(struct rj_cell_follow *follow)
{
	rj_log_event("log_reload",
		     RJ_LOG_TEXT("log", rj_cell_topic_string[follow->topic]),
		     RJ_LOG_NUMBER("from", follow->next));
	rj_cell_follow_start(follow, follow->now_us);
}

/* The answer to a read. */
static void read_done(void *private_data,
		      const struct rj_cell_store_reply *reply)
{
	struct call *call = private_data;
	struct rj_cell_follow *follow = call->follow;
	bool reached;

	if (call->generation != follow->generation) {
		talloc_free(call);
		return;
	}
	follow->now_us = reply->now_us;
	if (call->quick)
		follow->quick_open = false;
	else
		follow->poll_open = false;
	if (reply->status == RJ_CELL_STORE_GONE) {
		reload(follow);
	} else if (reply->status != RJ_CELL_STORE_OK) {
		note_failure(follow, reply->status);
		end_syncs(follow, call->sent_us, false);
	} else {
		note_success(follow);
		take_records(follow, reply);
		reached = follow->next >= reply->end;
		if (reached && call->sent_us > follow->confirmed_us)
			follow->confirmed_us = call->sent_us;
		if (reached)
			follow->caught_up = true;
		if (!call->quick)
			follow->due_us =
				reached ? follow->now_us + follow->pause_us :
					  follow->now_us;
		if (reached)
			end_syncs(follow, call->sent_us, true);
	}
	follow->ops->progress(follow->private_data, follow);
	/* Syncs that came while the quick read was on its way need another. */
	if (call->quick && follow->state == RJ_CELL_FOLLOW_READING &&
	    !follow->quick_open && follow->syncs.next != &follow->syncs)
		send_read(follow, true);
	talloc_free(call);
}

/* The answer to a load of a page. */
static void newest_done(void *private_data,
			const struct rj_cell_store_reply *reply)
{
	struct call *call = private_data;
	struct rj_cell_follow *follow = call->follow;

	if (call->generation != follow->generation) {
		talloc_free(call);
		return;
	}
	follow->now_us = reply->now_us;
	follow->poll_open = false;
	if (reply->status != RJ_CELL_STORE_OK) {
		note_failure(follow, reply->status);
		end_syncs(follow, call->sent_us, false);
		talloc_free(call);
		return;
	}
	note_success(follow);
	/* Pages are read one after the other, while records are appended:
	 * what the first page did not see is read from its end on. */
	if (!follow->loaded_once)
		follow->next = reply->end;
	follow->loaded_once = true;
	for (uint32_t i = 0; i < reply->count; i++)
		follow->ops->record(follow->private_data, &reply->records[i]);
	talloc_free(follow->after);
	follow->after =
		reply->count ?
			talloc_strdup(follow->mem,
				      reply->records[reply->count - 1].key) :
			NULL;
	if (!reply->more || !reply->count) {
		follow->state = RJ_CELL_FOLLOW_READING;
		if (follow->ops->load_end)
			follow->ops->load_end(follow->private_data);
	}
	follow->due_us = follow->now_us;
	talloc_free(call);
	rj_cell_follow_tick(follow, follow->now_us);
}

/* Ask for the next page of newest records. */
static void send_newest(struct rj_cell_follow *follow)
{
	struct rj_cell_store_done done = { newest_done,
					   call_new(follow, false) };

	follow->poll_open = true;
	follow->store->ops->newest(follow->store, follow->topic, follow->after,
				   done);
}

/* Ask for what follows; a quick read does not wait for records. */
static void send_read(struct rj_cell_follow *follow, bool quick)
{
	struct rj_cell_store_done done = { read_done, call_new(follow, quick) };
	uint32_t wait_ms = quick || !follow->caught_up ? 0 : follow->wait_ms;

	if (quick)
		follow->quick_open = true;
	else
		follow->poll_open = true;
	follow->store->ops->read(follow->store, follow->topic, follow->next,
				 wait_ms, done);
}

/*
 * Begin, or begin anew, with the newest record of each key.
 */
void rj_cell_follow_start(struct rj_cell_follow *follow, uint64_t now_us)
{
	rj_cell_follow_stop(follow);
	follow->state = RJ_CELL_FOLLOW_LOADING;
	if (follow->ops->load_begin)
		follow->ops->load_begin(follow->private_data);
	rj_cell_follow_tick(follow, now_us);
}

/*
 * Stop reading. Answers still on their way are dropped, and waiting syncs
 * end without success.
 */
void rj_cell_follow_stop(struct rj_cell_follow *follow)
{
	follow->state = RJ_CELL_FOLLOW_IDLE;
	follow->generation++;
	follow->caught_up = false;
	follow->loaded_once = false;
	follow->poll_open = false;
	follow->quick_open = false;
	follow->due_us = 0;
	TALLOC_FREE(follow->after);
	end_syncs(follow, RJ_NEVER_US, false);
}

/*
 * The log is known to end at `end` or later, from the answer to an append.
 */
void rj_cell_follow_expect(struct rj_cell_follow *follow, uint64_t end,
			   uint64_t now_us)
{
	if (end <= follow->known_end)
		return;
	follow->known_end = end;
	follow->known_us = now_us;
}

/*
 * Read what is known to be there when the long poll does not bring it.
 *
 * Load that it answers: a store that wakes no long poll for a second while it
 * drops its history.
 */
static void catch_up(struct rj_cell_follow *follow)
{
	if (follow->state != RJ_CELL_FOLLOW_READING || follow->quick_open ||
	    follow->next >= follow->known_end ||
	    follow->now_us < follow->known_us + LAG_US)
		return;
	follow->known_us = follow->now_us;
	send_read(follow, true);
}

/*
 * Send what is due.
 */
void rj_cell_follow_tick(struct rj_cell_follow *follow, uint64_t now_us)
{
	follow->now_us = now_us;
	catch_up(follow);
	if (follow->state == RJ_CELL_FOLLOW_IDLE || now_us < follow->due_us)
		return;
	if (follow->poll_open)
		return;
	if (follow->state == RJ_CELL_FOLLOW_LOADING)
		send_newest(follow);
	else
		send_read(follow, false);
}

/*
 * Call sync->done once all that had been appended by now is known. The
 * caller keeps `sync` until then, or removes its link from the list.
 */
void rj_cell_follow_sync(struct rj_cell_follow *follow,
			 struct rj_cell_sync *sync, uint64_t now_us)
{
	follow->now_us = now_us;
	sync->since_us = now_us;
	rj_list_init(&sync->link);
	rj_list_append(&follow->syncs, &sync->link);
	if (follow->state == RJ_CELL_FOLLOW_READING && !follow->quick_open)
		send_read(follow, true);
}

/*
 * How old the knowledge of the log is: all that was appended longer ago has
 * been handed on. RJ_NEVER_US when nothing is known.
 */
uint64_t rj_cell_follow_age_us(const struct rj_cell_follow *follow,
			       uint64_t now_us)
{
	if (!follow->confirmed_us)
		return RJ_NEVER_US;
	return now_us > follow->confirmed_us ? now_us - follow->confirmed_us :
					       0;
}
