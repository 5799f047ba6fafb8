#include "private/cell_node.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/cell_candidate.h"
#include "private/cell_returns.h"
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
 * Whether this instance owns the cell or is taking it over.
 */
bool rj_cell_node_is_owner(const struct rj_cell_node *node)
{
	return node->owner.active || node->owner.taking_over;
}

/* Applies a heartbeat that reports nothing new. Returns false if the record has
 * to be decoded. */
static bool refresh_worker(struct rj_cell_node *node,
			   struct rj_cell_worker *worker,
			   const struct rj_cell_record *record,
			   uint64_t written_us)
{
	uint64_t clock_ms;

	if (!rj_cell_worker_entry_is_comparable(worker) ||
	    !node->options.codec->is_same_entry(worker->entry, record->value,
						&clock_ms))
		return false;
	rj_cell_owner_refresh_worker(&node->owner, worker, clock_ms,
				     written_us);
	return true;
}

/* Whether a key of the workers' log can be an id: calls name workers in their
 * headers and bodies. */
static bool is_worker_id(const char *key)
{
	const char *at = key;

	while (*at && !g_ascii_iscntrl(*at))
		at++;
	return key[0] && !*at && g_utf8_validate(key, -1, NULL);
}

/* Handles a record of the workers' log: a heartbeat or a deletion. */
static void fleet_record(void *private_data,
			 const struct rj_cell_record *record)
{
	struct rj_cell_node *node = private_data;
	struct rj_cell_heartbeat heartbeat;
	struct rj_error err = { .message =
					"the key is not the id of a worker" };
	struct rj_cell_worker *worker;
	char id[RJ_NAME_BYTES];
	/* Records passed on by a load can be of any age. */
	uint64_t written_us = node->fleet.state == RJ_CELL_LOG_READER_READING ?
				      node->fleet.confirmed_us :
				      0;

	if (!rj_cell_node_is_owner(node))
		return;
	node->owner.now_us = node->fleet.now_us;
	rj_name_shorten(id, record->key);
	if (!record->value.length) {
		rj_cell_owner_update_worker(&node->owner, id, NULL, 0);
		return;
	}
	worker = rj_cell_fleet_find(&node->owner.fleet, id);
	if (worker && refresh_worker(node, worker, record, written_us))
		return;
	if (!is_worker_id(record->key) ||
	    node->options.codec->decode_worker(record->value, &heartbeat,
					       &err)) {
		rj_log_event("worker_entry_bad",
			     RJ_LOG_TEXT("worker", record->key),
			     RJ_LOG_TEXT("error", err.message));
		return;
	}
	rj_cell_owner_update_worker(&node->owner, id, &heartbeat, written_us);
	worker = rj_cell_fleet_find(&node->owner.fleet, id);
	rj_cell_worker_set_listed_id(worker, record->key);
	rj_cell_worker_keep_entry(worker, record->value);
}

/* For readers that need no action after a read. */
static void ignore_progress(void *private_data,
			    struct rj_cell_log_reader *reader)
{
}

/* Handles an earlier record of the workers' log. */
static void fleet_history(void *private_data,
			  const struct rj_cell_record *record)
{
	struct rj_cell_node *node = private_data;
	const struct rj_cell_codec *codec = node->options.codec;
	struct rj_cell_heartbeat heartbeat;
	struct rj_cell_worker *worker;
	struct rj_error err;
	char id[RJ_NAME_BYTES];
	uint64_t clock_ms;

	if (!node->owner.active)
		return;
	node->owner.now_us = node->fleet.now_us;
	rj_name_shorten(id, record->key);
	worker = rj_cell_fleet_find(&node->owner.fleet, id);
	if (!worker || !record->value.length)
		return;
	if (rj_cell_worker_entry_is_comparable(worker) &&
	    codec->is_same_entry(worker->entry, record->value, &clock_ms)) {
		heartbeat = worker->heartbeat;
		heartbeat.clock_ms = clock_ms;
	} else if (codec->decode_worker(record->value, &heartbeat, &err)) {
		return;
	}
	rj_cell_departures_read(&node->owner, worker, &heartbeat);
}

/* Reads the workers' log back, if that may show departures. */
static void read_fleet_history(struct rj_cell_node *node)
{
	uint64_t records;

	if (!node->owner.active ||
	    node->fleet.state != RJ_CELL_LOG_READER_READING)
		return;
	records = rj_cell_departures_begin(&node->owner);
	if (records)
		rj_cell_log_reader_read_back(&node->fleet, records);
}

/* All worker entries have been loaded. */
static void fleet_load_end(void *private_data)
{
	struct rj_cell_node *node = private_data;

	if (!rj_cell_node_is_owner(node))
		return;
	node->owner.now_us = node->fleet.now_us;
	rj_cell_polls_fleet_loaded(&node->owner);
	read_fleet_history(node);
}

static const struct rj_cell_log_reader_ops fleet_ops = {
	.record = fleet_record,
	.progress = ignore_progress,
	.load_end = fleet_load_end,
	.history = fleet_history,
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
		if (!node->frontend.config_unknown_us)
			node->frontend.config_unknown_us = node->configs.now_us;
		return;
	}
	node->frontend.config_unknown_us = 0;
	/* Versions rise; a load may return an older one again. */
	if (node->config && config->version <= node->config->version) {
		talloc_free(config);
		return;
	}
	rj_log_event("config", RJ_LOG_NUMBER("version", config->version),
		     RJ_LOG_NUMBER("before",
				   node->config ? node->config->version : 0),
		     RJ_LOG_NUMBER("queues", config->queue_count),
		     RJ_LOG_NUMBER("accounts", config->account_count),
		     RJ_LOG_NUMBER("invalid", config->invalid_count),
		     RJ_LOG_TEXT("error", config->invalid_error));
	node->config = rj_cell_config_replace(node->config, config);
	node->frontend.config = node->config;
	node->owner.config = node->config;
	node->owner.plan_wanted = true;
}

/* Sets or clears the cordon of a failure domain. */
static void cordon_record(struct rj_cell_node *node, const char *listed_domain,
			  const struct rj_cell_record *record)
{
	char domain[RJ_NAME_BYTES];

	rj_name_shorten(domain, listed_domain);
	if (!domain[0]) {
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
	.record = operators_record,
	.progress = ignore_progress,
	.load_begin = operators_load_begin,
	.load_end = operators_load_end,
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
	node->ownership.known = true;
	node->ownership.record = owner;
	node->ownership.token = record->offset + 1;
	/* `seen_us` is still of the former owner. */
	rj_cell_term_clock_end(&node->term_clock, node->ownership.token,
			       owner.leaving ? node->jobs.now_us :
					       node->ownership.seen_us,
			       owner.leaving);
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
	rj_cell_owner_heartbeat_finish(&node->frontend.heartbeat);
	node->frontend.heartbeat = heartbeat;
	node->frontend.heartbeat_us = node->jobs.now_us;
	rj_cell_term_clock_read(&node->term_clock, heartbeat.term_token,
				heartbeat.term_ms, node->jobs.now_us);
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
	if (kind == RJ_CELL_RECORD_OWNER) {
		owner_record(node, record);
		node->ownership.seen_us = node->jobs.now_us;
		return;
	}
	if (kind == RJ_CELL_RECORD_STATE || kind == RJ_CELL_RECORD_HEARTBEAT)
		node->ownership.seen_us = node->jobs.now_us;
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

	if (!entry && rj_cell_node_is_owner(node))
		rj_cell_returns_read(&node->owner, record, node->wall_ms);
	if (!entry)
		rj_cell_ended_runs_read(&node->owner, record);
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
	rj_cell_candidate_pause(node);
}

/*
 * Returns until when the owner that wrote a record of lease bounds may grant
 * leases. An earlier owner of this instance, by whichever process, has ended.
 */
static uint64_t leases_until_us(const struct rj_cell_node *node,
				const struct rj_cell_lease_record *record)
{
	const struct rj_cell_term_clock *clock = &node->term_clock;
	uint64_t grants_us = record->known ? record->grants_ms * RJ_US_PER_MS :
					     RJ_CELL_FORMER_GRANTS_US;

	if (record->known && !strcmp(record->owner, node->options.name))
		return node->now_us;
	if (!record->known || record->token != clock->token || !clock->ended_us)
		return node->now_us + grants_us;
	return clock->ended_us +
	       (clock->released ? RJ_CELL_RELEASED_GRANTS_US : grants_us);
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
	rj_cell_owner_heartbeat_finish(&node->owner.former_heartbeat);
	rj_cell_owner_heartbeat_copy(&node->owner.former_heartbeat,
				     &node->frontend.heartbeat);
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
	const struct rj_cell_lease_record *leases = &node->takeover.leases;

	rj_cell_owner_complete_takeover(&node->owner, leases,
					leases_until_us(node, leases),
					node->now_us, node->wall_ms);
	rj_cell_takeover_stop(&node->takeover);
	read_fleet_history(node);
}

/* Handles the end of a read of the jobs' log: steps down if another instance
 * has acquired the cell, or begins the takeover if this one has. */
static void jobs_progress(void *private_data, struct rj_cell_log_reader *reader)
{
	struct rj_cell_node *node = private_data;

	node->now_us = reader->now_us;
	if (rj_cell_node_is_owner(node) &&
	    node->owner.token != node->ownership.token)
		step_down(node, "superseded");
	else if (!rj_cell_node_is_owner(node) && reader->caught_up &&
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
	rj_cell_writer_set_limits(&node->writer,
				  options->limits.record_max_bytes,
				  options->limits.append_max_bytes);
	rj_cell_frontend_init(&node->frontend, mem, &node->view, &node->jobs,
			      &node->requests, &node->configs, &node->writer,
			      options->codec, options->limits.revoke_ms);
	node->frontend.budget = options->budget;
	node->frontend.return_order = options->limits.features.return_order;
	rj_cell_owner_init(&node->owner, mem, options->name,
			   options->incarnation, &node->view, options->store,
			   options->workers, &options->limits);
	node->owner.advisor = options->advisor;
	node->owner.cordons = &node->cordons;
	node->owner.requests_writer = &node->writer;
	node->owner.strength = options->strength;
	node->owner.term_clock = &node->term_clock;
	rj_cell_takeover_init(&node->takeover, mem, options->store,
			      &node->owner, &node->requests);
}

/*
 * Sets the policy service, or NULL for none, from now on.
 */
void rj_cell_node_set_advisor(struct rj_cell_node *node,
			      struct rj_cell_advisor *advisor)
{
	node->owner.advisor = advisor;
	node->owner.plan_wanted = true;
}

/*
 * Starts to read the logs and to answer clients.
 */
void rj_cell_node_start(struct rj_cell_node *node, uint64_t now_us,
			uint64_t wall_ms)
{
	node->now_us = now_us;
	node->wall_ms = wall_ms;
	node->started_us = now_us;
	rj_cell_candidate_init(node);
	rj_cell_writer_open(&node->writer, 1, 0, now_us);
	rj_cell_log_reader_start(&node->configs, now_us);
	rj_cell_log_reader_start(&node->jobs, now_us);
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

	if (rj_cell_node_is_owner(node) ||
	    requests->state == RJ_CELL_LOG_READER_IDLE ||
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
	rj_cell_rejections_tick(&node->frontend.rejections, &node->writer,
				&node->view, node->options.name,
				node->frontend.heartbeat.rejections_interval_ms,
				now_us, wall_ms);
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
	rj_cell_candidate_tick(node);
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
		     RJ_LOG_NUMBER("owner", rj_cell_node_is_owner(node)));
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
	rj_cell_owner_heartbeat_finish(&node->owner.former_heartbeat);
	rj_cell_owner_heartbeat_finish(&node->frontend.heartbeat);
	rj_cell_writer_close(&node->writer);
	rj_cell_log_reader_stop(&node->jobs);
	rj_cell_log_reader_stop(&node->requests);
	rj_cell_log_reader_stop(&node->configs);
	rj_cell_log_reader_stop(&node->fleet);
	rj_cell_view_finish(&node->view);
	rj_cell_cordons_finish(&node->cordons);
}
