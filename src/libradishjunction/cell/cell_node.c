#include "private/cell_node.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/cell_acquire.h"
#include "private/log_event.h"

/* Long-poll durations. They keep the age of the data well below the limit for
 * API keys, and reveal an unreachable owner soon enough. */
#define CONFIG_WAIT_MS 1000
/* A poll lasts at most the limit on the age of its data (see struct
 * rj_cell_limits) divided by this: data may be twice as old as a poll lasts. */
#define WAIT_BOUND_DIVISOR 4
#define JOBS_WAIT_MS 1000
#define FLEET_WAIT_MS 1000
/* Short, as the store may wake no long poll while it discards history, and the
 * owner learns of new jobs from this one alone. */
#define REQUESTS_WAIT_MS 250
/*
 * Pauses between reads batch records. An instance that does not own the cell
 * reads the jobs' log to answer callers, who trigger extra reads, and to
 * monitor the owner, whose failure is noticed later by up to this pause. 372
 * jobs on 31 instances cause 13,173 calls to the log with 300 ms and 23,978
 * with 60 ms, including the reads for callers.
 */
#define JOBS_PAUSE_US (300 * RJ_US_PER_MS)
#define REQUESTS_PAUSE_US (5 * RJ_US_PER_MS)
#define FLEET_PAUSE_US (150 * RJ_US_PER_MS)
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
/* Largest step of one machine's wall clock between two readings. */
#define WALL_CLOCK_STEP_MAX_US (5 * RJ_US_PER_S)
/* Pause of an instance between two attempts to acquire the cell. */
#define ACQUIRE_RETRY_US (300 * RJ_US_PER_MS)

/* Whether this instance owns the cell or is taking it over. */
static bool is_owner(const struct rj_cell_node *node)
{
	return node->owner.active || node->owner.taking_over;
}

/* Handles a record of the workers' log: a heartbeat or a deletion. */
static void fleet_record(void *private_data,
			 const struct rj_cell_record *record)
{
	struct rj_cell_node *node = private_data;
	struct rj_cell_heartbeat heartbeat;
	struct rj_error err = { .message = "the worker's name is too long" };
	/* Records passed on by a load can be of any age. */
	uint64_t written_us = node->fleet.state == RJ_CELL_LOG_READER_READING ?
				      node->fleet.confirmed_us :
				      0;

	if (!is_owner(node))
		return;
	node->owner.now_us = node->fleet.now_us;
	if (!record->value.length) {
		rj_cell_owner_update_worker(&node->owner, record->key, NULL, 0);
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
	rj_cell_owner_update_worker(&node->owner, record->key, &heartbeat,
				    written_us);
}

/* For readers that need no action after a read. */
static void ignore_progress(void *private_data,
			    struct rj_cell_log_reader *reader)
{
}

/* All worker entries have been loaded. */
static void fleet_load_end(void *private_data)
{
	struct rj_cell_node *node = private_data;

	if (!is_owner(node))
		return;
	node->owner.now_us = node->fleet.now_us;
	rj_cell_polls_fleet_loaded(&node->owner);
}

static const struct rj_cell_log_reader_ops fleet_ops = {
	.record = fleet_record,
	.progress = ignore_progress,
	.load_end = fleet_load_end,
};

/* Applies a configuration record if its version is newer. */
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
	/* Versions rise; a load may return an older one again. */
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
	node->frontend.config = config;
	node->owner.config = config;
	node->owner.plan_wanted = true;
}

/* Sets or clears the cordon of a failure domain. */
static void cordon_record(struct rj_cell_node *node, const char *domain,
			  const struct rj_cell_record *record)
{
	if (!domain[0] || strlen(domain) >= RJ_NAME_BYTES) {
		rj_log_event("cordon_bad", RJ_LOG_TEXT("key", record->key),
			     RJ_LOG_TEXT("error", "not a valid failure domain "
						  "name; remove the record"));
		return;
	}
	if (record->value.length)
		rj_cell_cordons_set(&node->cordons, domain, record->offset);
	else
		rj_cell_cordons_clear(&node->cordons, domain, record->offset);
}

/* Handles a record of the operators' log. */
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

/* The operators' log is being loaded, at the start or because its history has
 * expired. */
static void operators_load_begin(void *private_data)
{
	struct rj_cell_node *node = private_data;

	rj_cell_cordons_load_begin(&node->cordons);
}

static void operators_load_end(void *private_data)
{
	struct rj_cell_node *node = private_data;

	rj_cell_cordons_load_end(&node->cordons);
}

static const struct rj_cell_log_reader_ops operators_ops = {
	operators_record,
	ignore_progress,
	operators_load_begin,
	operators_load_end,
};

/* Handles an ownership record; records that are not newer are ignored. */
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
	if (node->ownership.known &&
	    record->offset + 1 <= node->ownership.token)
		return;
	if (node->ownership.known)
		node->former = node->ownership.record;
	node->ownership.known = true;
	node->ownership.record = owner;
	node->ownership.token = record->offset + 1;
	node->ownership.seen_us = node->jobs.now_us;
	rj_log_event("owner_seen", RJ_LOG_TEXT("instance", owner.name),
		     RJ_LOG_NUMBER("token", node->ownership.token),
		     RJ_LOG_NUMBER("leaving", owner.leaving));
}

/* Handles a heartbeat of the owner, which carries the load of the queues. */
static void heartbeat_record(struct rj_cell_node *node,
			     const struct rj_cell_record *record)
{
	struct rj_cell_owner_heartbeat heartbeat;
	struct rj_error err;

	if (rj_cell_owner_heartbeat_decode(record->value, &heartbeat, &err)) {
		rj_log_event("record_bad", RJ_LOG_TEXT("key", record->key),
			     RJ_LOG_TEXT("error", err.message));
		return;
	}
	node->frontend.heartbeat = heartbeat;
	node->frontend.heartbeat_us = node->jobs.now_us;
}

/* Handles a record of the jobs' log. */
static void jobs_record(void *private_data, const struct rj_cell_record *record)
{
	struct rj_cell_node *node = private_data;
	enum rj_cell_record_kind kind;
	struct rj_cell_view_entry *entry;
	const char *id;

	if (rj_cell_record_kind(record->key, &kind, &id)) {
		rj_log_event("record_bad", RJ_LOG_TEXT("key", record->key),
			     RJ_LOG_TEXT("error", "unknown record key"));
		return;
	}
	if (kind == RJ_CELL_RECORD_STATE || kind == RJ_CELL_RECORD_HEARTBEAT ||
	    kind == RJ_CELL_RECORD_OWNER)
		node->ownership.seen_us = node->jobs.now_us;
	if (kind == RJ_CELL_RECORD_OWNER) {
		owner_record(node, record);
		return;
	}
	if (kind == RJ_CELL_RECORD_HEARTBEAT) {
		heartbeat_record(node, record);
		return;
	}
	entry = rj_cell_view_apply(&node->view, record, node->jobs.now_us);
	if (entry && kind == RJ_CELL_RECORD_JOB_SPEC)
		entry->spec_in_jobs_log = true;
	if (entry && node->owner.active && kind != RJ_CELL_RECORD_STATE) {
		node->owner.now_us = node->jobs.now_us;
		rj_cell_owner_update_job(&node->owner, entry);
	}
}

/* Handles a record of the log of requests: a job's spec or its cancellation. */
static void requests_record(void *private_data,
			    const struct rj_cell_record *record)
{
	struct rj_cell_node *node = private_data;
	struct rj_cell_view_entry *entry =
		rj_cell_view_apply(&node->view, record, node->requests.now_us);

	if (!entry || !node->owner.active)
		return;
	node->owner.now_us = node->requests.now_us;
	rj_cell_owner_update_job(&node->owner, entry);
}

static const struct rj_cell_log_reader_ops requests_ops = {
	.record = requests_record,
	.progress = ignore_progress,
};

/* Whether the newest ownership record was written by this incarnation of the
 * instance. */
static bool is_owned_by_this_process(const struct rj_cell_node *node)
{
	/* A fenced owner may not have read its successor's record yet. */
	return node->ownership.known && !node->ownership.record.leaving &&
	       node->ownership.token > node->fenced_token &&
	       node->ownership.record.incarnation ==
		       node->options.incarnation &&
	       !strcmp(node->ownership.record.name, node->options.name);
}

/* Gives up ownership. Decisions that are not stored are dropped; clients have
 * not seen them. */
static void step_down(struct rj_cell_node *node, const char *reason)
{
	node->fenced_token = node->owner.token;
	rj_cell_takeover_stop(&node->takeover);
	rj_cell_owner_resign(&node->owner, reason);
	rj_cell_log_reader_stop(&node->fleet);
	rj_cell_log_reader_stop(&node->requests);
	node->acquire_due_us = node->now_us + ACQUIRE_RETRY_US;
}

/*
 * Returns for how long former owners may still renew leases, in microseconds.
 *
 * After a power loss of all instances, the tasks of a worker that disappeared
 * meanwhile wait until its lease must have expired. If the former owner was an
 * earlier incarnation of this instance, it renews no leases any more. Owners
 * before it were fenced by its record, and continue without the log for at most
 * RJ_CELL_LOG_UNAVAILABLE_MAX_US.
 */
static uint64_t former_renewals_us(const struct rj_cell_node *node)
{
	const struct rj_cell_owner_record *former = &node->former;
	uint64_t settled_us =
		RJ_CELL_LOG_UNAVAILABLE_MAX_US + WALL_CLOCK_STEP_MAX_US;
	uint64_t age_us;

	if (strcmp(former->name, node->options.name) != 0 ||
	    former->incarnation == node->options.incarnation ||
	    !former->since_ms || node->wall_ms < former->since_ms)
		return RJ_CELL_LOG_UNAVAILABLE_MAX_US;
	age_us = (node->wall_ms - former->since_ms) * RJ_US_PER_MS;
	if (age_us >= settled_us)
		return 0;
	return MIN(RJ_CELL_LOG_UNAVAILABLE_MAX_US, settled_us - age_us);
}

/* Starts a takeover. The log has been read up to the own ownership record. */
static void begin_takeover(struct rj_cell_node *node)
{
	for (uint32_t i = 0; node->frontend.heartbeat_us &&
			     i < node->frontend.heartbeat.queue_load_count;
	     i++)
		rj_cell_forecast_seed(
			&node->owner.forecast,
			node->frontend.heartbeat.queue_loads[i].queue,
			node->frontend.heartbeat.queue_loads[i].mean_ms);
	node->owner.former_heartbeat = node->frontend.heartbeat;
	rj_cell_takeover_begin(&node->takeover, node->ownership.token,
			       node->ownership.record.epoch, node->now_us,
			       node->wall_ms);
	/* The entries of a large fleet take many pages, so they are read while
	 * the jobs' progress is. */
	rj_cell_log_reader_start(&node->fleet, node->now_us);
}

/* Completes the takeover. The progress of all jobs has been loaded. */
static void become_owner(struct rj_cell_node *node)
{
	rj_cell_takeover_stop(&node->takeover);
	rj_cell_owner_complete_takeover(&node->owner, former_renewals_us(node),
					node->now_us, node->wall_ms);
}

/* Handles the end of a read of the jobs' log: steps down if another instance
 * has acquired the cell, or begins the takeover if this one has. */
static void jobs_progress(void *private_data, struct rj_cell_log_reader *reader)
{
	struct rj_cell_node *node = private_data;

	node->now_us = reader->now_us;
	if (is_owner(node) && node->owner.token != node->ownership.token)
		step_down(node, "superseded");
	else if (!is_owner(node) && reader->caught_up &&
		 is_owned_by_this_process(node) && !node->draining)
		begin_takeover(node);
}

static const struct rj_cell_log_reader_ops jobs_ops = { .record = jobs_record,
							.progress =
								jobs_progress };

/* Limits a poll's duration so that its data meets a bound on its age (0: no
 * bound). */
static uint32_t limit_wait(uint32_t wait_ms, uint32_t bound_ms)
{
	return bound_ms ? MIN(wait_ms, bound_ms / WAIT_BOUND_DIVISOR) : wait_ms;
}

/*
 * Initializes a node. Nothing is read before rj_cell_node_start.
 */
void rj_cell_node_init(struct rj_cell_node *node, void *mem,
		       const struct rj_cell_node_options *options)
{
	char producer[RJ_NAME_BYTES * 2];

	memset(node, 0, sizeof(*node));
	node->mem = mem;
	node->options = *options;
	rj_cell_cordons_init(&node->cordons);
	rj_cell_view_init(&node->view, mem);
	rj_cell_log_reader_init(&node->jobs, mem, options->store,
				RJ_CELL_TOPIC_JOBS, &jobs_ops, node);
	rj_cell_log_reader_init(&node->configs, mem, options->store,
				RJ_CELL_TOPIC_CONFIG, &operators_ops, node);
	rj_cell_log_reader_init(&node->fleet, mem, options->store,
				RJ_CELL_TOPIC_WORKERS, &fleet_ops, node);
	node->jobs.wait_ms = JOBS_WAIT_MS;
	node->jobs.pause_us = JOBS_PAUSE_US;
	rj_cell_log_reader_init(&node->requests, mem, options->store,
				RJ_CELL_TOPIC_REQUESTS, &requests_ops, node);
	node->requests.wait_ms = REQUESTS_WAIT_MS;
	node->requests.pause_us = REQUESTS_PAUSE_US;
	node->configs.wait_ms = limit_wait(
		limit_wait(CONFIG_WAIT_MS, options->limits.revoke_ms),
		options->limits.cordon_ms);
	node->fleet.wait_ms =
		limit_wait(FLEET_WAIT_MS, options->limits.drain_ms);
	node->fleet.pause_us = FLEET_PAUSE_US;
	(void)g_snprintf(producer, sizeof(producer),
			 "%s-%" G_GINT64_MODIFIER "x", options->name,
			 options->incarnation);
	rj_cell_writer_init(&node->writer, mem, options->store,
			    RJ_CELL_TOPIC_REQUESTS, producer);
	rj_cell_frontend_init(&node->frontend, mem, &node->view, &node->jobs,
			      &node->requests, &node->configs, &node->writer,
			      options->codec, options->limits.revoke_ms);
	rj_cell_owner_init(&node->owner, mem, options->name,
			   options->incarnation, &node->view, options->store,
			   options->workers, &options->limits);
	node->owner.advisor = options->advisor;
	node->owner.cordons = &node->cordons;
	node->owner.requests_writer = &node->writer;
	node->owner.strength = options->strength;
	rj_cell_takeover_init(&node->takeover, mem, options->store,
			      &node->owner, &node->requests);
}

static void probe_done(struct rj_cell_sync *sync, bool reached);

/*
 * Starts to read the logs and to answer clients.
 */
void rj_cell_node_start(struct rj_cell_node *node, uint64_t now_us,
			uint64_t wall_ms)
{
	node->now_us = now_us;
	node->wall_ms = wall_ms;
	node->started_us = now_us;
	node->probe.done = probe_done;
	rj_cell_writer_open(&node->writer, 1, 0, now_us);
	rj_cell_log_reader_start(&node->configs, now_us);
	rj_cell_log_reader_start(&node->jobs, now_us);
}

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
	if (is_owner(node) || node->acquiring || node->draining ||
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
static void watch_owner(struct rj_cell_node *node)
{
	if (is_owner(node) || node->acquiring || node->probing ||
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
 * Stops reading the log of requests once no client waits for it, unless this
 * instance owns the cell.
 *
 * If every instance followed that log, the bytes read would grow with the
 * number of instances times the rate of jobs, and exceed what the store can
 * deliver.
 */
static void stop_idle_requests(struct rj_cell_node *node)
{
	struct rj_cell_log_reader *requests = &node->requests;

	if (is_owner(node) || requests->state == RJ_CELL_LOG_READER_IDLE ||
	    requests->syncs.next != &requests->syncs)
		return;
	rj_cell_log_reader_stop(requests);
	rj_cell_view_drop_specs(&node->view);
}

/*
 * Performs all work that is due.
 */
void rj_cell_node_advance(struct rj_cell_node *node, uint64_t now_us,
			  uint64_t wall_ms)
{
	node->now_us = now_us;
	node->wall_ms = wall_ms;
	if (node->owner.active) {
		rj_cell_log_reader_expect(&node->jobs, node->owner.writer.end,
					  now_us);
		rj_cell_log_reader_expect(&node->requests, node->writer.end,
					  now_us);
	}
	stop_idle_requests(node);
	rj_cell_log_reader_tick(&node->configs, now_us);
	rj_cell_log_reader_tick(&node->jobs, now_us);
	rj_cell_log_reader_tick(&node->requests, now_us);
	rj_cell_log_reader_tick(&node->fleet, now_us);
	rj_cell_writer_tick(&node->writer, now_us);
	rj_cell_frontend_tick(&node->frontend, now_us);
	node->owner.requests_read_us = node->requests.confirmed_us;
	node->owner.workers_read_us = node->fleet.confirmed_us;
	node->owner.operators_read_us = node->configs.confirmed_us;
	rj_cell_takeover_tick(&node->takeover, now_us);
	if (rj_cell_takeover_is_loaded(&node->takeover))
		become_owner(node);
	rj_cell_owner_advance(&node->owner, now_us, wall_ms);
	if (node->owner.fenced)
		step_down(node, "fenced");
	watch_owner(node);
}

/*
 * Whether new clients may connect here: the jobs are known, the log is
 * available, and the API keys are recent enough.
 */
bool rj_cell_node_ready(const struct rj_cell_node *node, uint64_t now_us)
{
	return !node->draining && node->jobs.caught_up &&
	       !node->frontend.log_availability.unavailable_since_us &&
	       rj_cell_frontend_keys_fresh(&node->frontend, now_us);
}

/*
 * Accepts no new clients and resigns, so that another instance can acquire the
 * cell at once. Connected clients are still served.
 */
void rj_cell_node_drain(struct rj_cell_node *node, uint64_t now_us)
{
	if (node->draining)
		return;
	node->now_us = now_us;
	node->draining = true;
	rj_log_event("drain", RJ_LOG_NUMBER("open", node->frontend.open),
		     RJ_LOG_NUMBER("owner", is_owner(node)));
	rj_cell_owner_release(&node->owner, now_us);
}

/*
 * Whether the node drains and no client waits for an answer.
 */
bool rj_cell_node_drained(const struct rj_cell_node *node)
{
	return node->draining && !node->frontend.open;
}

/*
 * Stops everything. Answers still in flight are ignored.
 */
void rj_cell_node_finish(struct rj_cell_node *node)
{
	rj_cell_frontend_finish(&node->frontend);
	rj_cell_takeover_stop(&node->takeover);
	rj_cell_owner_finish(&node->owner);
	rj_cell_writer_close(&node->writer);
	rj_cell_log_reader_stop(&node->jobs);
	rj_cell_log_reader_stop(&node->requests);
	rj_cell_log_reader_stop(&node->configs);
	rj_cell_log_reader_stop(&node->fleet);
	rj_cell_view_finish(&node->view);
	rj_cell_cordons_finish(&node->cordons);
}
