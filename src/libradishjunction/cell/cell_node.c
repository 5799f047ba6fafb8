#include "private/cell_node.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/log_event.h"

/* Long polls: short enough that the age of what is known stays well below
 * what keys allow, and that an owner's silence shows. */
#define CONFIG_WAIT_MS 1000
/* ... a part of what operators were promised: what is known may be twice as
 * old as a poll lasts. */
#define WAIT_BOUND_PART 4
#define JOBS_WAIT_MS 1000
#define FLEET_WAIT_MS 1000
/*
 * Pauses between reads gather records. An instance that does not own the cell
 * needs the jobs for callers, who make it read when they ask, and to see that
 * the owner lives, whose silence shows so much later at most. The same load of
 * 372 jobs at 31 instances took 23,978 calls to the log with a pause of 60 ms
 * and 13,173 with this one, the reads for callers included.
 */
#define JOBS_PAUSE_US (300 * RJ_US_PER_MS)
#define OWNER_JOBS_PAUSE_US (5 * RJ_US_PER_MS)
#define FLEET_PAUSE_US (150 * RJ_US_PER_MS)
/*
 * An owner that has written nothing for so long, though the log could be
 * read, is taken to be gone. It writes every 0.4 s; an append takes up to a
 * quarter of a second when the log is slow.
 */
#define OWNER_SILENT_US (900 * RJ_US_PER_MS)
/* Those who would take over do so one after the other; each reads the log
 * first, which takes some 6 ms, and sees who was before it. */
#define STAGGER_STEPS 32
#define STAGGER_STEP_US (8 * RJ_US_PER_MS)
/*
 * An owner's work grows with its workers, so the cell goes to a strong
 * instance: one with half as much again takes it from a weaker one, once it
 * has been up for a while, and a weaker one leaves it to others first. An
 * eighth of a core cannot keep up with 350 workers; its polls time out.
 */
#define WEAKER_PART 3
#define WEAKER_OF 2
#define WEAK_WAIT_US (1000 * RJ_US_PER_MS)
#define STRONG_WAIT_US (2 * RJ_US_PER_S)
/* Times of day of one machine may jump by so much between two moments. */
#define CLOCKS_APART_US (5 * RJ_US_PER_S)
/* An instance that has just tried waits before it tries again. */
#define ACQUIRE_PAUSE_US (300 * RJ_US_PER_MS)

/* One page of the log of workers: a heartbeat, or an entry that is gone. */
static void fleet_record(void *private_data,
			 const struct rj_cell_record *record)
{
	struct rj_cell_node *node = private_data;
	struct rj_cell_heartbeat heartbeat;
	struct rj_error err = { .message = "the worker's name is too long" };
	/* A load shows entries of any age. */
	uint64_t written_us = node->fleet.state == RJ_CELL_FOLLOW_READING ?
				      node->fleet.confirmed_us :
				      0;

	if (!node->owner.active)
		return;
	node->owner.now_us = node->fleet.now_us;
	if (!record->value.length) {
		rj_cell_owner_worker(&node->owner, record->key, NULL, 0);
		return;
	}
	if (strlen(record->key) >= RJ_NAME_BYTES ||
	    node->options.codec->decode_worker(record->value, &heartbeat,
					       &err)) {
		rj_log_event("worker_entry_bad",
			     RJ_LOG_TEXT("worker", record->key),
			     RJ_LOG_TEXT("error", err.message));
		return;
	}
	rj_cell_owner_worker(&node->owner, record->key, &heartbeat, written_us);
}

/* Nothing more to do when a read has ended. */
static void no_progress(void *private_data, struct rj_cell_follow *follow)
{
}

/* All entries of workers have been shown. */
static void fleet_load_end(void *private_data)
{
	struct rj_cell_node *node = private_data;

	if (!node->owner.active)
		return;
	node->owner.now_us = node->fleet.now_us;
	rj_cell_polls_loaded(&node->owner);
}

static const struct rj_cell_follow_ops fleet_ops = {
	.record = fleet_record,
	.progress = no_progress,
	.load_end = fleet_load_end,
};

/* A new version of the configuration, if it is one. */
static void config_record(struct rj_cell_node *node,
			  const struct rj_cell_record *record)
{
	struct rj_cell_config *config;
	struct rj_error err;

	if (!record->value.length)
		return;
	config = node->options.codec->decode_config(node->mem, record->value,
						    &err);
	if (!config) {
		rj_log_event("config_bad", RJ_LOG_TEXT("key", record->key),
			     RJ_LOG_TEXT("error", err.message));
		return;
	}
	/* Versions rise; a load may show an older one again. */
	if (node->config && config->version <= node->config->version) {
		talloc_free(config);
		return;
	}
	rj_log_event("config", RJ_LOG_NUMBER("version", config->version),
		     RJ_LOG_NUMBER("before",
				   node->config ? node->config->version : 0),
		     RJ_LOG_NUMBER("queues", config->queue_count),
		     RJ_LOG_NUMBER("accounts", config->account_count));
	talloc_free(node->config);
	node->config = config;
	node->front.config = config;
	node->owner.config = config;
	node->owner.plan_wanted = true;
}

/* A failure domain is cordoned, or given back. */
static void cordon_record(struct rj_cell_node *node, const char *domain,
			  const struct rj_cell_record *record)
{
	if (!domain[0] || strlen(domain) >= RJ_NAME_BYTES) {
		rj_log_event("cordon_bad", RJ_LOG_TEXT("key", record->key),
			     RJ_LOG_TEXT("error", "no failure domain of such a "
						  "name; remove the record"));
		return;
	}
	if (record->value.length)
		rj_cell_cordons_set(&node->cordons, domain, record->offset);
	else
		rj_cell_cordons_clear(&node->cordons, domain, record->offset);
}

/* One record of what operators publish. */
static void operators_record(void *private_data,
			     const struct rj_cell_record *record)
{
	struct rj_cell_node *node = private_data;
	const char *name = "";

	switch (node->options.codec->classify(record->key, &name)) {
	case RJ_CELL_PUBLISHED_CONFIG:
		config_record(node, record);
		break;
	case RJ_CELL_PUBLISHED_CORDON:
		cordon_record(node, name, record);
		break;
	default:
		rj_log_event("operators_record_unknown",
			     RJ_LOG_TEXT("key", record->key),
			     RJ_LOG_NUMBER("version", record->offset),
			     RJ_LOG_NUMBER("length", record->value.length));
	}
}

/* The operators' log is loaded, at the start or because its history went. */
static void operators_load_begin(void *private_data)
{
	struct rj_cell_node *node = private_data;

	rj_cell_cordons_load_begin(&node->cordons);
}

/* All of it has been shown. */
static void operators_load_end(void *private_data)
{
	struct rj_cell_node *node = private_data;

	rj_cell_cordons_load_end(&node->cordons);
}

static const struct rj_cell_follow_ops operators_ops = {
	operators_record,
	no_progress,
	operators_load_begin,
	operators_load_end,
};

/* Somebody has taken the cell over. */
static void owner_record(struct rj_cell_node *node,
			 const struct rj_cell_record *record)
{
	struct rj_cell_owner_record owner;
	struct rj_error err;

	if (rj_cell_owner_decode(record->value, &owner, &err)) {
		rj_log_event("record_bad", RJ_LOG_TEXT("key", record->key),
			     RJ_LOG_TEXT("error", err.message));
		return;
	}
	if (node->tenure.known && record->offset + 1 <= node->tenure.token)
		return;
	if (node->tenure.known)
		node->former = node->tenure.record;
	node->tenure.known = true;
	node->tenure.record = owner;
	node->tenure.token = record->offset + 1;
	node->tenure.seen_us = node->jobs.now_us;
	rj_log_event("owner_seen", RJ_LOG_TEXT("instance", owner.name),
		     RJ_LOG_NUMBER("token", node->tenure.token),
		     RJ_LOG_NUMBER("leaving", owner.leaving));
}

/* The owner shows that it lives, and how loaded the cell is. */
static void beat_record(struct rj_cell_node *node,
			const struct rj_cell_record *record)
{
	struct rj_cell_beat beat;
	struct rj_error err;

	if (rj_cell_beat_decode(record->value, &beat, &err)) {
		rj_log_event("record_bad", RJ_LOG_TEXT("key", record->key),
			     RJ_LOG_TEXT("error", err.message));
		return;
	}
	node->front.beat = beat;
	node->front.beat_us = node->jobs.now_us;
}

/* One record of the jobs' log. */
static void jobs_record(void *private_data, const struct rj_cell_record *record)
{
	struct rj_cell_node *node = private_data;
	enum rj_cell_record_kind kind;
	struct rj_cell_entry *entry;
	const char *id;

	if (rj_cell_record_kind(record->key, &kind, &id)) {
		rj_log_event(
			"record_bad", RJ_LOG_TEXT("key", record->key),
			RJ_LOG_TEXT("error", "a key that we did not write"));
		return;
	}
	if (kind == RJ_CELL_RECORD_STATE || kind == RJ_CELL_RECORD_BEAT ||
	    kind == RJ_CELL_RECORD_OWNER)
		node->tenure.seen_us = node->jobs.now_us;
	if (kind == RJ_CELL_RECORD_OWNER) {
		owner_record(node, record);
		return;
	}
	if (kind == RJ_CELL_RECORD_BEAT) {
		beat_record(node, record);
		return;
	}
	entry = rj_cell_view_apply(&node->view, record, node->jobs.now_us);
	if (entry && node->owner.active && kind != RJ_CELL_RECORD_STATE) {
		node->owner.now_us = node->jobs.now_us;
		rj_cell_owner_entry(&node->owner, entry);
	}
}

/* Whether the newest ownership record is ours, of this life. */
static bool is_ours(const struct rj_cell_node *node)
{
	/* A fenced owner may not have read yet who has taken over. */
	return node->tenure.known && !node->tenure.record.leaving &&
	       node->tenure.token > node->fenced_token &&
	       node->tenure.record.incarnation == node->options.incarnation &&
	       !strcmp(node->tenure.record.name, node->options.name);
}

/* Whether this instance owns the cell, or is taking it over. */
static bool is_owner(const struct rj_cell_node *node)
{
	return node->owner.active || node->owner.taking;
}

/* Give the cell up. What was decided and not stored has not been shown. */
static void step_down(struct rj_cell_node *node, const char *why)
{
	node->fenced_token = node->owner.token;
	rj_cell_takeover_stop(&node->takeover);
	rj_cell_owner_resign(&node->owner, why);
	rj_cell_follow_stop(&node->fleet);
	node->jobs.pause_us = JOBS_PAUSE_US;
	node->acquire_due_us = node->now_us + ACQUIRE_PAUSE_US;
}

/*
 * For how long former owners may still renew leases.
 *
 * Load that it answers: all instances lose power, and a worker has gone with
 * its tasks meanwhile: they wait until its lease must have lapsed. Where the
 * former owner was this instance, in a life that has ended, it renews nothing
 * any more; those before it were fenced by its record, and go on without the log
 * for no longer than an owner does.
 */
static uint64_t renewals_us(const struct rj_cell_node *node)
{
	const struct rj_cell_owner_record *former = &node->former;
	uint64_t settled_us = RJ_CELL_BLIND_US + CLOCKS_APART_US;
	uint64_t age_us;

	if (strcmp(former->name, node->options.name) != 0 ||
	    former->incarnation == node->options.incarnation ||
	    !former->since_ms || node->wall_ms < former->since_ms)
		return RJ_CELL_BLIND_US;
	age_us = (node->wall_ms - former->since_ms) * RJ_US_PER_MS;
	if (age_us >= settled_us)
		return 0;
	return MIN(RJ_CELL_BLIND_US, settled_us - age_us);
}

/* Begin to take the cell: the log up to our own record has been read. */
static void begin_takeover(struct rj_cell_node *node)
{
	for (uint32_t i = 0;
	     node->front.beat_us && i < node->front.beat.share_count; i++)
		rj_cell_forecast_set(&node->owner.forecast,
				     node->front.beat.shares[i].queue,
				     node->front.beat.shares[i].mean_ms);
	rj_cell_takeover_begin(&node->takeover, node->tenure.token,
			       node->tenure.record.epoch, node->now_us,
			       node->wall_ms);
	node->jobs.pause_us = OWNER_JOBS_PAUSE_US;
}

/* Take the cell: the progress of all jobs is known. */
static void step_up(struct rj_cell_node *node)
{
	rj_cell_takeover_stop(&node->takeover);
	rj_cell_owner_take(&node->owner, renewals_us(node), node->now_us,
			   node->wall_ms);
	rj_cell_follow_start(&node->fleet, node->now_us);
}

/* A read of the jobs has ended: see who owns the cell now. */
static void jobs_progress(void *private_data, struct rj_cell_follow *follow)
{
	struct rj_cell_node *node = private_data;

	node->now_us = follow->now_us;
	if (is_owner(node) && node->owner.token != node->tenure.token)
		step_down(node, "superseded");
	else if (!is_owner(node) && follow->caught_up && is_ours(node) &&
		 !node->draining)
		begin_takeover(node);
}

static const struct rj_cell_follow_ops jobs_ops = { .record = jobs_record,
						    .progress = jobs_progress };

/* How long a poll may wait where what it brings has to be known within a
 * bound (0: none). */
static uint32_t wait_within(uint32_t wait_ms, uint32_t bound_ms)
{
	return bound_ms ? MIN(wait_ms, bound_ms / WAIT_BOUND_PART) : wait_ms;
}

/*
 * Prepare a node. Nothing is read before rj_cell_node_start.
 */
void rj_cell_node_init(struct rj_cell_node *node, void *mem,
		       const struct rj_cell_node_options *options)
{
	char producer[RJ_NAME_BYTES * 2];
	uint64_t place = rj_hash64_string(options->name, 0) % STAGGER_STEPS;

	memset(node, 0, sizeof(*node));
	node->mem = mem;
	node->options = *options;
	node->stagger_us = (uint32_t)(place * STAGGER_STEP_US);
	rj_cell_cordons_init(&node->cordons);
	rj_cell_view_init(&node->view, mem);
	rj_cell_follow_init(&node->jobs, mem, options->store,
			    RJ_CELL_TOPIC_JOBS, &jobs_ops, node);
	rj_cell_follow_init(&node->configs, mem, options->store,
			    RJ_CELL_TOPIC_CONFIG, &operators_ops, node);
	rj_cell_follow_init(&node->fleet, mem, options->store,
			    RJ_CELL_TOPIC_WORKERS, &fleet_ops, node);
	node->jobs.wait_ms = JOBS_WAIT_MS;
	node->jobs.pause_us = JOBS_PAUSE_US;
	node->configs.wait_ms = wait_within(
		wait_within(CONFIG_WAIT_MS, options->terms.revoke_ms),
		options->terms.cordon_ms);
	node->fleet.wait_ms =
		wait_within(FLEET_WAIT_MS, options->terms.drain_ms);
	node->fleet.pause_us = FLEET_PAUSE_US;
	(void)g_snprintf(producer, sizeof(producer),
			 "%s-%" G_GINT64_MODIFIER "x", options->name,
			 options->incarnation);
	rj_cell_writer_init(&node->writer, mem, options->store,
			    RJ_CELL_TOPIC_JOBS, producer);
	rj_cell_front_init(&node->front, mem, &node->view, &node->jobs,
			   &node->configs, &node->writer, options->codec,
			   options->terms.revoke_ms);
	rj_cell_owner_init(&node->owner, mem, options->name,
			   options->incarnation, &node->view, options->store,
			   options->workers, &options->terms);
	node->owner.advisor = options->advisor;
	node->owner.cordons = &node->cordons;
	node->owner.strength = options->strength;
	rj_cell_takeover_init(&node->takeover, mem, options->store,
			      &node->owner);
}

static void probed(struct rj_cell_sync *sync, bool reached);

/*
 * Begin to follow the log and to answer clients.
 */
void rj_cell_node_start(struct rj_cell_node *node, uint64_t now_us,
			uint64_t wall_ms)
{
	node->now_us = now_us;
	node->wall_ms = wall_ms;
	node->started_us = now_us;
	node->probe.done = probed;
	rj_cell_writer_open(&node->writer, 1, 0, now_us);
	rj_cell_follow_start(&node->configs, now_us);
	rj_cell_follow_start(&node->jobs, now_us);
}

/* The answer says little: whether the cell was acquired is read in the log. */
static void acquire_done(void *private_data,
			 const struct rj_cell_store_reply *reply)
{
	struct rj_cell_node *node = private_data;

	node->acquiring = false;
	node->acquire_due_us =
		reply->now_us + ACQUIRE_PAUSE_US + node->stagger_us;
	rj_log_event("acquire",
		     RJ_LOG_TEXT("outcome",
				 rj_cell_store_status_string[reply->status]),
		     RJ_LOG_NUMBER("end", reply->end));
	node->jobs.due_us = reply->now_us;
}

/*
 * Write an ownership record.
 *
 * Guards against two owners: the record's offset is the fencing token, and
 * its epoch is higher than that of any owner whose record has been read, so
 * that behind it the log takes nothing from them. All that they had written
 * stands before it, and is read before this instance owns the cell. An epoch
 * that is too low is refused, and one that another instance has used for the
 * same offset appends nothing.
 *
 * The log need not be quiet: under load it takes records from clients faster
 * than it can be read and appended to.
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

/* Whether one instance is so much weaker than another that the cell had
 * better be owned by the other. */
static bool is_weaker(uint32_t strength, uint32_t than)
{
	return strength * WEAKER_PART < than * WEAKER_OF;
}

/* How long the owner may be silent before this instance steps in. */
static uint64_t patience_us(const struct rj_cell_node *node)
{
	const struct rj_cell_owner_record *record = &node->tenure.record;
	uint64_t patience_us = OWNER_SILENT_US + node->stagger_us;

	/* The owner was this process, in a life that has ended. */
	if (node->tenure.known && !strcmp(record->name, node->options.name) &&
	    record->incarnation != node->options.incarnation)
		return 0;
	if (!node->tenure.known || record->leaving)
		patience_us = node->stagger_us / 4;
	if (node->tenure.known &&
	    is_weaker(node->options.strength, record->strength))
		patience_us += WEAK_WAIT_US;
	return patience_us;
}

/* Whether the owner has been silent for too long, or is too weak. */
static bool should_acquire(const struct rj_cell_node *node)
{
	uint64_t silent_us = node->now_us - node->tenure.seen_us;

	if (node->tenure.known &&
	    is_weaker(node->tenure.record.strength, node->options.strength) &&
	    node->now_us >=
		    node->started_us + STRONG_WAIT_US + node->stagger_us)
		return true;
	return silent_us >= patience_us(node);
}

/* The log has been read to its end since the owner seemed silent: acquire
 * the cell, if it still does. */
static void probed(struct rj_cell_sync *sync, bool reached)
{
	struct rj_cell_node *node =
		RJ_CONTAINER(sync, struct rj_cell_node, probe);

	node->probing = false;
	node->now_us = node->jobs.now_us;
	if (!reached) {
		node->acquire_due_us = node->now_us + ACQUIRE_PAUSE_US;
		return;
	}
	if (is_owner(node) || node->acquiring || node->draining ||
	    !should_acquire(node))
		return;
	rj_log_event("owner_silent",
		     RJ_LOG_TEXT("instance", node->tenure.record.name),
		     RJ_LOG_NUMBER("token", node->tenure.token),
		     RJ_LOG_NUMBER("strength", node->tenure.record.strength),
		     RJ_LOG_AGE_MS("silent_ms",
				   node->now_us - node->tenure.seen_us));
	write_owner(node);
}

/*
 * Take over from an owner that is silent.
 *
 * Guards against an instance that is cut off from the log and takes its own
 * silence for the owner's: before it acquires the cell, it reads the log to the end once
 * more.
 */
static void watch_owner(struct rj_cell_node *node)
{
	if (is_owner(node) || node->acquiring || node->probing ||
	    node->draining || !node->jobs.caught_up || !node->config ||
	    node->now_us < node->acquire_due_us || !should_acquire(node))
		return;
	node->probing = true;
	rj_cell_follow_sync(&node->jobs, &node->probe, node->now_us);
}

/*
 * Do all that is due.
 */
void rj_cell_node_advance(struct rj_cell_node *node, uint64_t now_us,
			  uint64_t wall_ms)
{
	node->now_us = now_us;
	node->wall_ms = wall_ms;
	if (node->owner.active)
		rj_cell_follow_expect(
			&node->jobs,
			MAX(node->owner.writer.end, node->writer.end), now_us);
	rj_cell_follow_tick(&node->configs, now_us);
	rj_cell_follow_tick(&node->jobs, now_us);
	rj_cell_follow_tick(&node->fleet, now_us);
	rj_cell_writer_tick(&node->writer, now_us);
	rj_cell_front_tick(&node->front, now_us);
	node->owner.read_us = node->jobs.confirmed_us;
	node->owner.workers_read_us = node->fleet.confirmed_us;
	node->owner.operators_read_us = node->configs.confirmed_us;
	rj_cell_takeover_tick(&node->takeover, now_us);
	if (rj_cell_takeover_is_loaded(&node->takeover))
		step_up(node);
	rj_cell_owner_advance(&node->owner, now_us, wall_ms);
	if (node->owner.lost)
		step_down(node, "fenced");
	watch_owner(node);
}

/*
 * Whether new clients should come here: the jobs are known, and keys may be
 * believed.
 */
bool rj_cell_node_ready(const struct rj_cell_node *node, uint64_t now_us)
{
	return !node->draining && node->jobs.caught_up &&
	       !node->front.contact.away_us &&
	       rj_cell_front_keys_fresh(&node->front, now_us);
}

/*
 * Leave: take no new clients, and give the cell up so that another instance
 * takes it at once. Clients that are connected are served on.
 */
void rj_cell_node_drain(struct rj_cell_node *node, uint64_t now_us)
{
	if (node->draining)
		return;
	node->now_us = now_us;
	node->draining = true;
	rj_log_event("drain", RJ_LOG_NUMBER("open", node->front.open),
		     RJ_LOG_NUMBER("owner", is_owner(node)));
	rj_cell_owner_leave(&node->owner, now_us);
}

/*
 * Whether no client waits for an answer.
 */
bool rj_cell_node_drained(const struct rj_cell_node *node)
{
	return node->draining && !node->front.open;
}

/*
 * Stop all. Answers on their way are dropped.
 */
void rj_cell_node_finish(struct rj_cell_node *node)
{
	rj_cell_front_finish(&node->front);
	rj_cell_takeover_stop(&node->takeover);
	rj_cell_owner_finish(&node->owner);
	rj_cell_writer_close(&node->writer);
	rj_cell_follow_stop(&node->jobs);
	rj_cell_follow_stop(&node->configs);
	rj_cell_follow_stop(&node->fleet);
	rj_cell_view_finish(&node->view);
	rj_cell_cordons_finish(&node->cordons);
}
