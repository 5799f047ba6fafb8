/*
 * What an owner has learnt, handed to its successor: the records, replays in
 * which the owner ends, and the bytes that a large fleet takes.
 */
#include <math.h>
#include <string.h>
#include <talloc.h>

#include "private/cell_snapshot.h"
#include "support/cell_fixture.h"
#include "support/cell_load.h"

#define NOW_US (3600 * S)
#define WALL_MS 1700000000000
#define TOKEN 7

/* Encodes a record with one row of each kind, as written at NOW_US. */
static struct rj_bytes example(void *mem)
{
	struct rj_cell_snapshot_worker worker = {
		.id = "w1",
		.incarnation = 1700000000123,
		.pace = { -0.4701, 0.0123, 17 },
		.history = { .bad_ends = 1.25,
			     .exposure_s = 64.5,
			     .updated_us = NOW_US - 3 * S,
			     .probation_until_us = NOW_US + 90 * S },
	};
	struct rj_cell_queue_mean queue = {
		"urgent", 2512.5, 40, { 0.7, 0.25, 9 }
	};
	struct rj_cell_account_use account = { "acme", 390000 };
	const struct rj_cell_snapshot snapshot = { TOKEN,   WALL_MS, 1,
						   &worker, 1,	     &queue,
						   212,	    1,	     &account };

	return rj_cell_snapshot_encode(mem, &snapshot, NOW_US);
}

/* Decodes a record, and checks that a refused one leaves nothing behind. */
static enum rj_cell_snapshot_status decode(struct rj_bytes bytes,
					   uint64_t token, uint64_t wall_ms,
					   uint64_t now_us, void *mem,
					   struct rj_cell_snapshot *snapshot)
{
	const struct rj_cell_snapshot_reader reader = { token, wall_ms,
							now_us };
	enum rj_cell_snapshot_status status =
		rj_cell_snapshot_decode(mem, bytes, &reader, snapshot);

	g_assert_true(status == RJ_CELL_SNAPSHOT_ACCEPTED ||
		      (!snapshot->workers && !snapshot->worker_count));
	return status;
}

/* Guards against figures that a successor reads with another value or time. */
static void test_round_trip(void)
{
	void *mem = talloc_new(NULL);
	struct rj_bytes bytes = example(mem);
	struct rj_bytes again;
	struct rj_cell_snapshot read;

	g_assert_cmpint(decode(bytes, TOKEN, WALL_MS, NOW_US, mem, &read), ==,
			RJ_CELL_SNAPSHOT_ACCEPTED);
	g_assert_cmpfloat_with_epsilon(read.workers[0].pace.log_ratio, -0.4701,
				       1e-6);
	g_assert_cmpfloat_with_epsilon(read.workers[0].history.bad_ends, 1.25,
				       1e-6);
	g_assert_cmpfloat_with_epsilon(read.queues[0].ms, 2512.5, 1e-6);
	g_assert_cmpuint(read.accounts[0].use_ppm, ==, 390000);
	again = rj_cell_snapshot_encode(mem, &read, NOW_US);
	g_assert_cmpmem(again.data, again.length, bytes.data, bytes.length);
	/* Read 10 s later, by another clock. */
	g_assert_cmpint(decode(bytes, TOKEN + 1, WALL_MS + 10000, 5 * NOW_US,
			       mem, &read),
			==, RJ_CELL_SNAPSHOT_ACCEPTED);
	g_assert_cmpuint(read.workers[0].history.updated_us, ==,
			 5 * NOW_US - 13 * S);
	g_assert_cmpuint(read.workers[0].history.probation_until_us, ==,
			 5 * NOW_US + 80 * S);
	read.wall_ms = 0;
	/* Read 40 s later, when the probation has ended, by a clock that began
	 * after it. */
	again = rj_cell_snapshot_encode(mem, &read, 5 * NOW_US + 60 * S);
	g_assert_cmpint(decode(again, TOKEN, 40000, 10 * S, mem, &read), ==,
			RJ_CELL_SNAPSHOT_ACCEPTED);
	g_assert_cmpuint(read.workers[0].history.probation_until_us, ==, 0);
	g_assert_cmpuint(read.workers[0].history.updated_us, ==, 1);
	talloc_free(mem);
}

/* Guards against a record that is damaged, torn, of another version or of
 * another time, and of which a part is applied. */
static void test_refusals(void)
{
	void *mem = talloc_new(NULL);
	struct rj_bytes bytes = example(mem);
	uint8_t *copy = talloc_memdup(mem, bytes.data, bytes.length);
	struct rj_bytes changed = { copy, bytes.length };
	struct rj_cell_snapshot read;

	g_assert_cmpint(decode(bytes, TOKEN, WALL_MS + 60000, 1, mem, &read),
			==, RJ_CELL_SNAPSHOT_ACCEPTED);
	g_assert_cmpint(decode(bytes, TOKEN, WALL_MS + 60001, 1, mem, &read),
			==, RJ_CELL_SNAPSHOT_OLD);
	g_assert_cmpint(decode(bytes, TOKEN, WALL_MS - 60001, 1, mem, &read),
			==, RJ_CELL_SNAPSHOT_OLD);
	g_assert_cmpint(decode(bytes, TOKEN - 1, WALL_MS, 1, mem, &read), ==,
			RJ_CELL_SNAPSHOT_HIGHER_TOKEN);
	for (uint32_t i = 0; i < bytes.length; i++) {
		const struct rj_bytes torn = { bytes.data, i };

		copy[i] ^= 0x03;
		g_assert_cmpint(decode(changed, TOKEN, WALL_MS, 1, mem, &read),
				==,
				i ? RJ_CELL_SNAPSHOT_DAMAGED :
				    RJ_CELL_SNAPSHOT_OTHER_VERSION);
		copy[i] = bytes.data[i];
		g_assert_cmpint(decode(torn, TOKEN, WALL_MS, 1, mem, &read), ==,
				RJ_CELL_SNAPSHOT_DAMAGED);
	}
	talloc_free(mem);
}

/* Guards against a record that the store does not accept: the progress of jobs
 * in the same append would not be stored either. */
static void test_largest_record_is_accepted(void)
{
	void *mem = talloc_new(NULL);
	struct rj_cell_snapshot snapshot = {
		.token = UINT64_MAX,
		.wall_ms = WALL_MS,
		.worker_count = RJ_CELL_SNAPSHOT_WORKERS_MAX,
		.queue_count = RJ_CELL_SNAPSHOT_QUEUES_MAX,
		.urgent_accelerators = UINT32_MAX,
		.account_count = RJ_CELL_SNAPSHOT_ACCOUNTS_MAX,
	};
	struct rj_cell_snapshot read;
	struct rj_bytes bytes;

	snapshot.workers = talloc_zero_array(
		mem, struct rj_cell_snapshot_worker, snapshot.worker_count);
	snapshot.queues = talloc_zero_array(mem, struct rj_cell_queue_mean,
					    snapshot.queue_count);
	snapshot.accounts = talloc_zero_array(mem, struct rj_cell_account_use,
					      snapshot.account_count);
	for (uint32_t i = 0; i < snapshot.worker_count; i++) {
		struct rj_cell_snapshot_worker *worker = &snapshot.workers[i];

		memset(worker->id, 'w', sizeof(worker->id) - 1);
		worker->incarnation = UINT64_MAX;
		worker->pace = (struct rj_cell_pace){ -1e9, 1e9, UINT32_MAX };
		worker->history = (struct rj_cell_worker_history){
			.bad_ends = 1e9,
			.exposure_s = 1e9,
			.updated_us = 1,
			.probation_until_us = 1000000 * NOW_US
		};
	}
	for (uint32_t i = 0; i < snapshot.queue_count; i++) {
		struct rj_cell_queue_mean *queue = &snapshot.queues[i];

		memset(queue->queue, 'q', sizeof(queue->queue) - 1);
		queue->ms = 1e12;
		queue->samples = UINT32_MAX;
		queue->estimate_error =
			(struct rj_cell_estimate_error){ -1e9, 1e9,
							 UINT32_MAX };
	}
	for (uint32_t i = 0; i < snapshot.account_count; i++) {
		struct rj_cell_account_use *account = &snapshot.accounts[i];

		memset(account->account, 'a', sizeof(account->account) - 1);
		account->use_ppm = UINT32_MAX;
	}
	bytes = rj_cell_snapshot_encode(mem, &snapshot, NOW_US);
	g_assert_cmpuint(bytes.length, <, 256 * 1024);
	g_assert_cmpint(decode(bytes, UINT64_MAX, WALL_MS, NOW_US, mem, &read),
			==, RJ_CELL_SNAPSHOT_ACCEPTED);
	talloc_free(mem);
}

/* Guards against a record with a valid checksum whose payload goes on after its
 * last field: another format, of which a part would be applied. */
static void test_payload_with_more_is_refused(void)
{
	static const uint8_t payload[] = { 0, 0, 0, 0, 0 };
	void *mem = talloc_new(NULL);
	struct rj_cell_snapshot read;

	for (uint32_t length = 3; length <= sizeof(payload); length++) {
		const struct rj_bytes part = { payload, length };
		struct rj_bytes bytes =
			rj_cell_snapshot_seal(mem, TOKEN, WALL_MS, part);

		g_assert_cmpint(decode(bytes, TOKEN, WALL_MS, 1, mem, &read),
				==,
				length == 4 ? RJ_CELL_SNAPSHOT_ACCEPTED :
					      RJ_CELL_SNAPSHOT_DAMAGED);
	}
	talloc_free(mem);
}

/* Guards against a variance of 0, by which a pace that is learnt would be
 * divided. */
static void test_variance_of_zero_is_refused(void)
{
	/* One worker; byte 5 is the variance of its pace. */
	uint8_t payload[] = { 1, 0xa1, 'w', 5, 0, 0, 3, 0, 0, 0, 0, 0, 0, 0 };
	const struct rj_bytes part = { payload, sizeof(payload) };
	void *mem = talloc_new(NULL);
	struct rj_cell_snapshot read;

	for (uint8_t variance = 0; variance < 2; variance++) {
		struct rj_bytes bytes;

		payload[5] = variance;
		bytes = rj_cell_snapshot_seal(mem, TOKEN, WALL_MS, part);
		g_assert_cmpint(decode(bytes, TOKEN, WALL_MS, 1, mem, &read),
				==,
				variance ? RJ_CELL_SNAPSHOT_ACCEPTED :
					   RJ_CELL_SNAPSHOT_DAMAGED);
	}
	talloc_free(mem);
}

/* Guards against urgent demand that does not decay while nobody owns the cell,
 * or that counts jobs twice that the successor has adopted. */
static void test_urgent_demand_is_not_added(void)
{
	struct rj_cell_forecast forecast;

	rj_cell_forecast_init(&forecast);
	rj_cell_forecast_import_urgent(&forecast, 100, NOW_US - 5 * S, NOW_US);
	g_assert_cmpfloat_with_epsilon(
		rj_cell_forecast_urgent_accelerators(&forecast, NOW_US),
		100 * exp(-1), 1e-6);
	rj_cell_forecast_import_urgent(&forecast, 20, NOW_US, NOW_US);
	g_assert_cmpfloat_with_epsilon(
		rj_cell_forecast_urgent_accelerators(&forecast, NOW_US),
		100 * exp(-1), 1e-6);
	rj_cell_forecast_import_urgent(&forecast, 50, NOW_US, NOW_US);
	g_assert_cmpfloat_with_epsilon(
		rj_cell_forecast_urgent_accelerators(&forecast, NOW_US), 50,
		1e-6);
	rj_cell_forecast_finish(&forecast);
}

static const struct cell_sim_options site = {
	CELL_SITE(11, 3, 48, 12, 64),
	.features = { .snapshot_ms = 1000, .account_shares = true },
};

static const struct cell_sim_options site_without = {
	CELL_SITE(11, 3, 48, 12, 64),
};

/* Runs gangs that show the paces of all workers. */
static void run_gangs(struct cell_sim *sim, uint64_t for_us)
{
	struct cell_load_stream streams[] = {
		{ "urgent", "a", cell_sim_plain_step(5, 8, 2100), 2100 * MS,
		  500 * MS, 0, 0 },
		{ "normal", "a", cell_sim_plain_step(8, 8, 6000), 6 * S, 3 * S,
		  0, 0 },
	};

	streams[0].step.gang = true;
	streams[1].step.gang = true;
	cell_load_run_streams(sim, streams, G_N_ELEMENTS(streams), for_us,
			      NULL);
}

static struct rj_cell_owner *owner_of(struct cell_sim *sim)
{
	int index = cell_sim_owner(sim);

	g_assert_cmpint(index, >=, 0);
	return &sim->nodes[index].node.owner;
}

static uint32_t samples_of(struct cell_sim *sim, uint32_t worker)
{
	const struct rj_cell_worker *found = rj_cell_fleet_find(
		&owner_of(sim)->fleet, sim->workers[worker].id);

	return found ? found->pace.samples : 0;
}

/* Passes a record with one worker and one account to an owner, as if it had
 * just been read. */
static void read_row(struct rj_cell_owner *owner, const char *part,
		     const char *id, uint64_t incarnation)
{
	struct rj_cell_snapshot_worker worker = {
		.incarnation = incarnation,
		.pace = { 0.5, 0.02, 3 },
		.history = { .bad_ends = 1,
			     .exposure_s = 60,
			     .updated_us = owner->now_us },
	};
	struct rj_cell_account_use account = { "acme", 390000 };
	const struct rj_cell_snapshot snapshot = { .token = owner->token,
						   .wall_ms = owner->wall_ms,
						   .worker_count = 1,
						   .workers = &worker,
						   .account_count = 1,
						   .accounts = &account };
	struct rj_cell_record record = { 0 };

	g_strlcpy(worker.id, id, sizeof(worker.id));
	record.value =
		rj_cell_snapshot_encode(owner->mem, &snapshot, owner->now_us);
	rj_cell_handover_read(&owner->handover, part, &record);
	talloc_free((void *)record.value.data);
}

/* Lists a worker, and checks which of its former samples and bad ends apply. */
static struct rj_cell_worker *check_listed(struct rj_cell_owner *owner,
					   const char *id, uint64_t incarnation,
					   uint32_t samples, double bad_ends)
{
	const struct rj_cell_heartbeat heartbeat = { .incarnation =
							     incarnation };
	struct rj_cell_worker *worker;

	rj_cell_owner_update_worker(owner, id, &heartbeat, 0);
	worker = rj_cell_fleet_find(&owner->fleet, id);
	g_assert_cmpuint(worker->pace.samples, ==, samples);
	g_assert_cmpfloat_with_epsilon(worker->history.bad_ends, bad_ends,
				       1e-6);
	return worker;
}

/* Reports the first answer of a worker to the handover, and checks which of its
 * former samples and bad ends apply. */
static void check_met(struct rj_cell_owner *owner,
		      struct rj_cell_worker *worker, uint64_t incarnation,
		      uint32_t samples, double bad_ends)
{
	worker->incarnation = incarnation;
	rj_cell_pace_init(&worker->pace);
	rj_cell_handover_worker_met(&owner->handover, worker);
	g_assert_cmpuint(worker->pace.samples, ==, samples);
	g_assert_cmpfloat_with_epsilon(worker->history.bad_ends, bad_ends,
				       1e-6);
	g_assert_null(g_hash_table_lookup(owner->handover.rows, worker->id));
}

/* Unlists the workers that do not exist, so that the owner drops them. */
static void unlist_workers_without_address(struct rj_cell_owner *owner)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &owner->fleet.workers) {
		const struct rj_cell_worker *worker =
			RJ_CONTAINER(at, struct rj_cell_worker, link);

		if (!worker->heartbeat.address.port)
			rj_cell_owner_update_worker(owner, worker->id, NULL, 0);
	}
}

/*
 * Load: workers that the successor lists and meets with the stored incarnation,
 * an older or a newer one.
 * Guards against rows that are applied to another incarnation, twice, or after
 * the owner has learnt better, and against rows that are lost because the entry
 * of a worker is older.
 */
static void test_rows_apply_once(struct cell_fixture *f, const void *data)
{
	struct rj_cell_owner *owner = owner_of(&f->sim);
	struct rj_cell_heartbeat heartbeat;
	struct rj_cell_worker *worker;

	cell_sim_run(&f->sim, S);
	read_row(owner, "00", "same", 5);
	(void)check_listed(owner, "same", 5, 3, 1);
	worker = check_listed(owner, "same", 5, 3, 1);
	check_met(owner, worker, 5, 3, 1);
	worker->pace.samples = 9;
	(void)check_listed(owner, "same", 5, 9, 1);

	read_row(owner, "01", "older_entry", 5);
	(void)check_listed(owner, "older_entry", 4, 0, 0);
	(void)check_listed(owner, "older_entry", 5, 3, 1);
	read_row(owner, "02", "met_first", 5);
	worker = check_listed(owner, "met_first", 4, 0, 0);
	check_met(owner, worker, 5, 3, 1);

	read_row(owner, "03", "restarted", 5);
	(void)check_listed(owner, "restarted", 5, 3, 1);
	(void)check_listed(owner, "restarted", 6, 0, 1);
	(void)check_listed(owner, "restarted", 5, 0, 1);
	read_row(owner, "04", "met_restarted", 5);
	worker = check_listed(owner, "met_restarted", 5, 3, 1);
	check_met(owner, worker, 6, 0, 1);
	read_row(owner, "05", "other", 5);
	worker = check_listed(owner, "other", 6, 0, 0);
	check_met(owner, worker, 6, 0, 0);

	/* A worker that has answered before its row is read. */
	worker = rj_cell_fleet_find(&owner->fleet, f->sim.workers[0].id);
	g_assert_cmpuint(worker->incarnation, ==,
			 f->sim.workers[0].incarnation);
	heartbeat = worker->heartbeat;
	read_row(owner, "06", worker->id, worker->incarnation);
	rj_cell_owner_update_worker(owner, worker->id, &heartbeat, 0);
	g_assert_cmpuint(worker->pace.samples, ==, 0);

	/* A worker that is listed before its row is read. */
	worker = check_listed(owner, "early", 5, 0, 0);
	read_row(owner, "08", "early", 5);
	rj_cell_handover_complete(&owner->handover);
	g_assert_cmpuint(worker->pace.samples, ==, 3);

	/* Parts that were read already or do not exist. */
	read_row(owner, "00", "again", 5);
	(void)check_listed(owner, "again", 5, 0, 0);
	read_row(owner, "41", "beyond", 5);
	(void)check_listed(owner, "beyond", 5, 0, 0);
	read_row(owner, "7z", "no_number", 5);
	(void)check_listed(owner, "no_number", 5, 0, 0);
	unlist_workers_without_address(owner);
}

/*
 * Load: workers that do not come back, and an account whose use nobody sets.
 * Guards against rows and uses that each owner stores again as new.
 */
static void test_unclaimed_state_is_dropped(struct cell_fixture *f,
					    const void *data)
{
	struct rj_cell_owner *owner = owner_of(&f->sim);
	struct rj_cell_handover *handover = &owner->handover;
	struct rj_cell_account_shares *shares = &owner->account_shares;
	const struct rj_cell_account_use account = { "acme", 390000 };
	struct rj_cell_account_use use;

	rj_cell_account_shares_import(shares, &account, 1, owner->now_us);
	g_assert_cmpuint(
		rj_cell_account_shares_export(shares, &use, 1, owner->now_us),
		==, 1);
	read_row(handover->owner, "00", "gone", 5);
	read_row(handover->owner, "40", "gone_too", 5);
	/* Its entry has another incarnation. */
	read_row(handover->owner, "02", f->sim.workers[0].id, 5);
	g_assert_cmpuint(g_hash_table_size(handover->rows), ==, 3);
	cell_sim_run(&f->sim, 50 * S);
	g_assert_cmpuint(g_hash_table_size(handover->rows), ==, 3);
	cell_sim_run(&f->sim, 15 * S);
	g_assert_cmpuint(g_hash_table_size(handover->rows), ==, 0);
	g_assert_cmpuint(
		rj_cell_account_shares_export(shares, &use, 1, owner->now_us),
		==, 0);
	/* As if a worker had left that was listed and had not answered. */
	read_row(handover->owner, "01", "left", 5);
	cell_sim_run(&f->sim, 65 * S);
	g_assert_cmpuint(g_hash_table_size(handover->rows), ==, 0);
}

/* Kills the owner, changes what it has left, and returns once another instance
 * has the cell. */
static void replace_owner(struct cell_sim *sim,
			  void (*change)(struct cell_sim *sim))
{
	cell_sim_node_kill(sim, (uint32_t)cell_sim_owner(sim));
	if (change)
		change(sim);
	for (int i = 0; i < 100 && cell_sim_owner(sim) < 0; i++)
		cell_sim_run(sim, 100 * MS);
	g_assert_cmpint(cell_sim_owner(sim), >=, 0);
}

/* Runs gangs, replaces the owner, and returns which percentage of the paces
 * known before is known to the successor. */
static uint32_t paces_kept_percent(struct cell_sim *sim)
{
	uint32_t before[48];
	uint32_t known = 0;
	uint32_t kept = 0;

	run_gangs(sim, 40 * S);
	for (uint32_t i = 0; i < site.workers; i++)
		before[i] = samples_of(sim, i);
	replace_owner(sim, NULL);
	for (uint32_t i = 0; i < site.workers; i++) {
		known += before[i] > 0;
		kept += before[i] && samples_of(sim, i);
	}
	g_assert_cmpuint(known, >=, site.workers / 2);
	return kept * 100 / known;
}

/*
 * Load: gangs on workers of different paces; the owner is killed, and soon
 * after it its successor.
 * Guards against a successor that has to learn everything anew.
 */
static void test_paces_outlive_the_owner(struct cell_fixture *f,
					 const void *data)
{
	const struct rj_cell_account_use account = { "acme", 390000 };
	struct rj_cell_owner *owner = owner_of(&f->sim);
	struct rj_cell_queue_mean queue;

	rj_cell_account_shares_import(&owner->account_shares, &account, 1,
				      owner->now_us);
	g_assert_cmpuint(paces_kept_percent(&f->sim), >=, 80);
	owner = owner_of(&f->sim);
	g_assert_cmpuint(owner->handover.counters.refused, ==, 0);
	g_assert_cmpuint(rj_cell_forecast_export(&owner->forecast, &queue, 1),
			 ==, 1);
	g_assert_cmpuint(queue.estimate_error.samples, >, 0);
	g_assert_cmpfloat(rj_cell_forecast_urgent_accelerators(&owner->forecast,
							       owner->now_us),
			  >, 0);
	g_assert_cmpuint(
		rj_cell_account_shares_find(&owner->account_shares, "acme"), <,
		RJ_CELL_ACCOUNTS_OTHER);
	cell_sim_run(&f->sim, S);
	replace_owner(&f->sim, NULL);
	g_assert_cmpuint(owner_of(&f->sim)->handover.paces_read, >=,
			 site.workers * 4 / 5);
}

/* Guards against a replay that shows nothing: without the feature the paces are
 * lost, and nothing is written. */
static void test_without_the_feature(struct cell_fixture *f, const void *data)
{
	g_assert_cmpuint(paces_kept_percent(&f->sim), <, 20);
	g_assert_cmpuint(owner_of(&f->sim)->handover.counters.records, ==, 0);
}

/* Starts all instances but the owner again, with another setting. */
static void restart_others(struct cell_sim *sim, uint32_t snapshot_ms)
{
	int owner = cell_sim_owner(sim);

	sim->options.features.snapshot_ms = snapshot_ms;
	for (uint32_t i = 0; i < site.nodes; i++)
		if ((int)i != owner) {
			cell_sim_node_kill(sim, i);
			cell_sim_node_start(sim, i);
		}
	cell_sim_run(sim, 2 * S);
	g_assert_cmpint(cell_sim_owner(sim), ==, owner);
}

/*
 * Load: gangs; the successor does not call for snapshots, and the log has keys
 * that no version knows. Its own successor does again.
 * Guards against a takeover that fails at records of another version, and
 * against records that are lost with it.
 */
static void test_owner_without_the_feature_between(struct cell_fixture *f,
						   const void *data)
{
	static const char *const keys[] = { "n41", "n0041", "z00" };

	run_gangs(&f->sim, 40 * S);
	for (guint i = 0; i < G_N_ELEMENTS(keys); i++)
		cell_log_put(&f->sim, RJ_CELL_TOPIC_PROGRESS, keys[i], "x", 1);
	restart_others(&f->sim, 0);
	replace_owner(&f->sim, NULL);
	g_assert_cmpuint(owner_of(&f->sim)->handover.rows_read, ==, 0);
	restart_others(&f->sim, site.features.snapshot_ms);
	g_assert_cmpuint(owner_of(&f->sim)->handover.counters.records, ==, 0);
	replace_owner(&f->sim, NULL);
	g_assert_cmpuint(owner_of(&f->sim)->handover.counters.refused, ==, 0);
	g_assert_cmpuint(owner_of(&f->sim)->handover.paces_read, >=,
			 site.workers / 2);
}

/* Removes each second shard, tears one in eight, and restarts a worker. */
static void damage(struct cell_sim *sim)
{
	GPtrArray *log = sim->log.records[RJ_CELL_TOPIC_PROGRESS];
	const guint count = log->len;

	for (guint i = 0; i < count; i++) {
		const struct cell_log_record *record = log->pdata[i];
		guint64 part = g_ascii_strtoull(record->key + 1, NULL, 16);
		gsize length;
		const void *value;

		if (record->key[0] != 'n' || (part % 2 == 0 && part % 8 != 4))
			continue;
		value = g_bytes_get_data(record->value, &length);
		cell_log_put(sim, RJ_CELL_TOPIC_PROGRESS, record->key, value,
			     part % 2 ? 0 : length - 5);
	}
	cell_sim_worker_kill(sim, 0);
	cell_sim_worker_start(sim, 0);
}

/*
 * Load: gangs; the owner ends between two shards, some records are torn, and a
 * worker restarts before the successor has met it.
 * Guards against shards that are lost with others, and against a pace that is
 * taken for that of another incarnation.
 */
static void test_each_shard_is_valid_by_itself(struct cell_fixture *f,
					       const void *data)
{
	struct cell_sim *sim = &f->sim;
	const struct rj_cell_handover *handover;
	uint32_t known = 0;

	run_gangs(sim, 40 * S);
	g_assert_cmpuint(samples_of(sim, 0), >, 0);
	replace_owner(sim, damage);
	handover = &owner_of(sim)->handover;
	for (uint32_t i = 0; i < site.workers; i++)
		known += samples_of(sim, i) > 0;
	g_assert_cmpuint(handover->counters.refused, >, 0);
	g_assert_cmpuint(known, >, 0);
	g_assert_cmpuint(known + 1, >=, handover->paces_read);
	g_assert_cmpuint(samples_of(sim, 0), ==, 0);
}

/*
 * Load: gangs, while the store is slow, refuses all calls of the owner for
 * 0.5 s and drops the appends to the log of progress for 3 s.
 * Guards against an owner that waits for its snapshot or stops storing it.
 */
static void test_store_is_slow_or_refuses(struct cell_fixture *f,
					  const void *data)
{
	struct cell_sim *sim = &f->sim;
	int owner = cell_sim_owner(sim);

	run_gangs(sim, 10 * S);
	sim->log.latency_us = 250 * MS;
	run_gangs(sim, 10 * S);
	sim->log.latency_us = 4 * MS;
	sim->log.modes[owner] = CELL_LOG_REFUSING;
	run_gangs(sim, 500 * MS);
	sim->log.modes[owner] = CELL_LOG_AVAILABLE;
	run_gangs(sim, 5 * S);
	sim->log.progress_unreachable = true;
	run_gangs(sim, 3 * S);
	sim->log.progress_unreachable = false;
	g_assert_cmpint(cell_sim_owner(sim), ==, owner);
	g_assert_cmpuint(paces_kept_percent(sim), >=, 80);
}

/*
 * Load: none for a minute before the owner ends.
 * Guards against a snapshot that is too old because nothing else was appended.
 */
static void test_idle_owner_refreshes(struct cell_fixture *f, const void *data)
{
	run_gangs(&f->sim, 30 * S);
	cell_sim_run(&f->sim, 80 * S);
	replace_owner(&f->sim, NULL);
	g_assert_cmpuint(owner_of(&f->sim)->handover.counters.refused, ==, 0);
	g_assert_cmpuint(owner_of(&f->sim)->handover.paces_read, >=,
			 site.workers / 2);
}

/*
 * Load: a job waits on a full site for 8 s, then the owner is replaced.
 * Guards against a wait that begins anew with each owner.
 */
static void test_waits_outlive_the_owner(struct cell_fixture *f,
					 const void *data)
{
	const struct cell_sim_options *options = data;
	struct rj_cell_step step = cell_sim_plain_step(8, 8, 6000);
	uint64_t wait_us;

	cell_load_fill(&f->sim, 17, false, 60 * S);
	cell_load_submit(&f->sim, "normal", "a", &step, 6 * S);
	cell_load_run(&f->sim, 8 * S);
	replace_owner(&f->sim, NULL);
	cell_sim_run(&f->sim, S);
	wait_us = cell_load_backlog(&f->sim)->classes[1].longest_wait_us;
	if (options->features.snapshot_ms)
		g_assert_cmpuint(wait_us, >=, 8 * S);
	else
		g_assert_cmpuint(wait_us, <, 4 * S);
}

/* Runs until a normal task waits, and returns for how long it does. */
static uint64_t wait_of_first_normal_task(struct cell_sim *sim)
{
	const struct rj_cell_backlog_class *class =
		&cell_load_backlog(sim)->classes[1];

	for (int i = 0; i < 200 && !class->tasks; i++) {
		cell_load_run(sim, 100 * MS);
		class = &cell_load_backlog(sim)->classes[1];
	}
	g_assert_cmpuint(class->tasks, >, 0);
	return class->longest_wait_us;
}

/*
 * Load: a gang runs for 8 s on a site that has filled up since, then it ends
 * because the worker of a member is lost.
 * Guards against a wait that includes the time for which the task ran.
 */
static void test_wait_after_a_run(struct cell_fixture *f, const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(8, 8, 60000);
	uint32_t worker;

	step.gang = true;
	cell_load_submit(&f->sim, "normal", "a", &step, 60 * S);
	cell_load_run(&f->sim, S);
	worker = cell_sim_busy_worker(&f->sim);
	cell_load_fill(&f->sim, 17, false, 60 * S);
	cell_load_run(&f->sim, 6 * S);
	g_assert_cmpuint(cell_load_backlog(&f->sim)->classes[1].tasks, ==, 0);
	cell_sim_worker_kill(&f->sim, worker);
	g_assert_cmpuint(wait_of_first_normal_task(&f->sim), <, S);
}

/*
 * Load: a step runs for 6 s on a site that has filled up since; the step that
 * depends on it finds no room.
 * Guards against a wait that includes the time before the step was ready.
 */
static void test_wait_of_a_dependent_step(struct cell_fixture *f,
					  const void *data)
{
	uint32_t first = 0;
	struct rj_cell_step steps[2] = { cell_sim_plain_step(8, 8, 6000),
					 cell_sim_plain_step(40, 8, 6000) };

	steps[1].gang = true;
	steps[1].after = &first;
	steps[1].after_count = 1;
	cell_sim_submit(
		&f->sim, 0,
		cell_sim_job_new(&f->sim, "normal", "a", steps, 2, 6 * S));
	cell_load_run(&f->sim, S);
	cell_load_fill(&f->sim, 17, false, 60 * S);
	g_assert_cmpuint(cell_load_backlog(&f->sim)->classes[1].tasks, ==, 0);
	g_assert_cmpuint(wait_of_first_normal_task(&f->sim), <, S);
}

static const struct cell_sim_options large_site = {
	CELL_SITE(11, 2, 8000, 20, 64),
	.features = { .snapshot_ms = 1000 },
};

/* Changes the pace of each worker noticeably. */
static void change_paces(struct rj_cell_fleet *fleet, uint32_t samples)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &fleet->workers) {
		struct rj_cell_worker *worker =
			RJ_CONTAINER(at, struct rj_cell_worker, link);
		double seed = (double)(worker->heartbeat.incarnation + samples);

		worker->pace =
			(struct rj_cell_pace){ 0.4 * sin(seed), 0.02, samples };
	}
}

/* Returns the bytes of snapshot that were appended after the first `*from`
 * records of the log, and moves `*from` to its end. */
static uint32_t snapshot_bytes(const struct cell_sim *sim, guint *from)
{
	const GPtrArray *log = sim->log.records[RJ_CELL_TOPIC_PROGRESS];
	uint32_t bytes = 0;

	for (; *from < log->len; (*from)++) {
		const struct cell_log_record *record = log->pdata[*from];

		if (record->key[0] == 'n')
			bytes += (uint32_t)(strlen(record->key) +
					    g_bytes_get_size(record->value));
	}
	return bytes;
}

/* Checks that the pace of each worker that is listed is known. */
static void check_listed_paces(const struct rj_cell_fleet *fleet)
{
	const struct rj_list *at;
	uint32_t listed = 0;
	uint32_t known = 0;

	for (at = fleet->workers.next; at != &fleet->workers; at = at->next) {
		const struct rj_cell_worker *worker =
			RJ_CONTAINER(at, struct rj_cell_worker, link);

		listed += worker->heartbeat.incarnation != 0;
		known += worker->pace.samples > 0;
	}
	g_assert_cmpuint(listed, >, 0);
	g_assert_cmpuint(known, ==, listed);
}

/*
 * Load: 8,000 workers whose paces all change every second.
 * Guards against a snapshot that takes the bytes of other records, and against
 * shards that are never written.
 */
static void test_large_fleet_keeps_to_the_budget(struct cell_fixture *f,
						 const void *data)
{
	struct cell_sim *sim = &f->sim;
	uint32_t last_second[10] = { 0 };
	uint32_t known = 0;
	guint from = 0;

	for (uint32_t i = 0; i < 400; i++) {
		uint32_t sum = 0;

		if (i % 10 == 0)
			change_paces(&owner_of(sim)->fleet, i / 10 + 1);
		cell_sim_run(sim, 100 * MS);
		last_second[i % 10] = snapshot_bytes(sim, &from);
		for (uint32_t j = 0; j < 10; j++)
			sum += last_second[j];
		g_assert_cmpuint(sum, <=, RJ_CELL_HANDOVER_BYTES_PER_S);
	}
	replace_owner(sim, NULL);
	check_listed_paces(&owner_of(sim)->fleet);
	cell_sim_run(sim, 3 * S); /* The workers' entries take many pages. */
	for (uint32_t i = 0; i < large_site.workers; i++)
		known += samples_of(sim, i) > 0;
	g_assert_cmpuint(known, >=, large_site.workers * 8 / 10);
	g_assert_cmpuint(owner_of(sim)->handover.age_us, <, 40 * S);
}

/*
 * Load: urgent gangs, all of which have ended when the owner is replaced.
 * Guards against a successor that knows only the urgent jobs that it adopts.
 */
static void test_urgent_demand_outlives_the_owner(struct cell_fixture *f,
						  const void *data)
{
	struct cell_sim *sim = &f->sim;
	struct cell_load_stream stream = {
		"urgent", "a",	    cell_sim_plain_step(5, 8, 2000),
		500 * MS, 200 * MS, 0,
		0
	};

	stream.step.gang = true;
	cell_load_run_streams(sim, &stream, 1, 8 * S, NULL);
	cell_load_run(sim, 3 * S);
	replace_owner(sim, NULL);
	g_assert_true(owner_of(sim)->jobs.next == &owner_of(sim)->jobs);
	g_assert_cmpfloat(
		rj_cell_forecast_urgent_accelerators(&owner_of(sim)->forecast,
						     owner_of(sim)->now_us),
		>, 1);
}

/*
 * Load: no jobs; the store refuses the only append with the paces.
 * Guards against a part that counts as stored and is not written again until it
 * changes or is refreshed.
 */
static void test_refused_parts_are_written_again(struct cell_fixture *f,
						 const void *data)
{
	struct cell_sim *sim = &f->sim;
	const int owner = cell_sim_owner(sim);
	const struct rj_cell_handover *handover = &owner_of(sim)->handover;

	cell_sim_run(sim, 5 * S);
	g_assert_cmpuint(handover->counters.records, ==, 0);
	change_paces(&owner_of(sim)->fleet, 1);
	cell_sim_run(sim, 1500 * MS);
	sim->log.modes[owner] = CELL_LOG_REFUSING;
	for (int i = 0; i < 100 && !handover->counters.records; i++)
		cell_sim_run(sim, 10 * MS);
	g_assert_cmpuint(handover->counters.records, >, 0);
	cell_sim_run(sim, 50 * MS);
	g_assert_cmpuint(handover->appending, ==, 0);
	sim->log.modes[owner] = CELL_LOG_AVAILABLE;
	cell_sim_run(sim, 5 * S);
	g_assert_cmpint(cell_sim_owner(sim), ==, owner);
	replace_owner(sim, NULL);
	g_assert_cmpuint(owner_of(sim)->handover.paces_read, ==, site.workers);
}

/*
 * Load: no jobs, but paces that change, while the appends to the log of progress
 * are lost for 12 s.
 * Guards against parts that pile up until the store answers again.
 */
static void test_one_append_at_a_time(struct cell_fixture *f, const void *data)
{
	struct cell_sim *sim = &f->sim;
	const int owner = cell_sim_owner(sim);
	const struct rj_cell_handover *handover = &owner_of(sim)->handover;
	uint32_t most = 0;

	sim->log.progress_unreachable = true;
	for (uint32_t i = 0; i < 120; i++) {
		change_paces(&owner_of(sim)->fleet, i + 1);
		cell_sim_run(sim, 100 * MS);
		g_assert_cmpint(cell_sim_owner(sim), ==, owner);
		most = MAX(most, handover->appending);
		g_assert_cmpuint(most, <=, RJ_CELL_HANDOVER_PARTS);
	}
	g_assert_cmpuint(most, >, 0);
	sim->log.progress_unreachable = false;
	cell_sim_run(sim, 5 * S);
	replace_owner(sim, NULL);
	g_assert_cmpuint(owner_of(sim)->handover.paces_read, ==, site.workers);
}

/*
 * Load: an owner that is replaced before a worker is back.
 * Guards against rows that are lost with an owner that could not apply them.
 */
static void test_rows_of_absent_workers_are_stored(struct cell_fixture *f,
						   const void *data)
{
	read_row(owner_of(&f->sim), "00", "absent", 5);
	cell_sim_run(&f->sim, 5 * S);
	replace_owner(&f->sim, NULL);
	(void)check_listed(owner_of(&f->sim), "absent", 5, 3, 1);
	unlist_workers_without_address(owner_of(&f->sim));
}

/*
 * Load: gangs; an owner that has read all parts is paused and replaced, and has
 * the cell again after its successor was killed.
 * Guards against an instance that keeps what it has read for a former term, and
 * reads nothing for the next one.
 */
static void test_owner_of_two_terms(struct cell_fixture *f, const void *data)
{
	struct cell_sim *sim = &f->sim;
	const int first = cell_sim_owner(sim);
	uint32_t known = 0;

	for (uint32_t part = 0; part < RJ_CELL_HANDOVER_SHARDS; part++) {
		char id[RJ_CELL_PART_ID_BYTES];

		(void)g_snprintf(id, sizeof(id), "%02x", part);
		read_row(owner_of(sim), id, id, 5);
	}
	run_gangs(sim, 30 * S);
	cell_sim_node_pause(sim, (uint32_t)first, 12 * S);
	cell_sim_run(sim, 15 * S);
	g_assert_cmpint(cell_sim_owner(sim), !=, first);
	for (uint32_t i = 0; i < site.nodes; i++)
		if ((int)i != first)
			cell_sim_node_kill(sim, i);
	for (int i = 0; i < 100 && cell_sim_owner(sim) < 0; i++)
		cell_sim_run(sim, 100 * MS);
	g_assert_cmpint(cell_sim_owner(sim), ==, first);
	for (uint32_t i = 0; i < site.workers; i++)
		known += samples_of(sim, i) > 0;
	g_assert_cmpuint(known, >=, site.workers / 2);
}

static void ignore_answer(void *private_data,
			  const struct rj_cell_store_reply *reply)
{
}

/*
 * Load: no jobs; the log of progress has a record of a successor, and the next
 * append to it has only parts.
 * Guards against an owner that continues although the log refuses its records.
 */
static void test_refusal_as_former_owner(struct cell_fixture *f,
					 const void *data)
{
	struct cell_sim *sim = &f->sim;
	struct rj_cell_owner *owner = owner_of(sim);
	const struct rj_cell_record record = {
		.key = "z", .value = { (const uint8_t *)"x", 1 }
	};
	const struct rj_cell_append append = {
		.topic = RJ_CELL_TOPIC_PROGRESS,
		.producer = owner->progress_writer.producer,
		.epoch = owner->progress_writer.epoch + 1,
		.records = &record,
		.count = 1,
	};
	struct rj_cell_store *store = &sim->nodes[cell_sim_owner(sim)].store;

	store->ops->append(store, &append,
			   (struct rj_cell_store_done){ ignore_answer, NULL });
	cell_sim_run(sim, S);
	g_assert_cmpuint(owner->counters.resignations, ==, 0);
	change_paces(&owner->fleet, 1);
	cell_sim_run(sim, 4 * S);
	g_assert_cmpuint(owner->counters.resignations, ==, 1);
	cell_sim_run(sim, 10 * S);
	g_assert_cmpint(cell_sim_owner(sim), >=, 0);
}

/* Passes a record with as many workers as fit to an owner, as if it had just
 * been read. */
static void read_full_record(struct rj_cell_owner *owner, uint32_t part)
{
	struct rj_cell_snapshot snapshot = {
		.token = owner->token,
		.wall_ms = owner->wall_ms,
		.worker_count = RJ_CELL_SNAPSHOT_WORKERS_MAX,
	};
	struct rj_cell_record record = { 0 };
	char id[RJ_CELL_PART_ID_BYTES];

	snapshot.workers =
		talloc_zero_array(owner->mem, struct rj_cell_snapshot_worker,
				  snapshot.worker_count);
	for (uint32_t i = 0; i < snapshot.worker_count; i++) {
		struct rj_cell_snapshot_worker *worker = &snapshot.workers[i];

		(void)g_snprintf(worker->id, sizeof(worker->id),
				 "worker-with-a-long-name-%u-%u", part, i);
		worker->incarnation = UINT64_MAX;
		worker->pace = (struct rj_cell_pace){ 0.5, 0.02, 3 };
	}
	(void)g_snprintf(id, sizeof(id), "%02x", part);
	record.value =
		rj_cell_snapshot_encode(owner->mem, &snapshot, owner->now_us);
	rj_cell_handover_read(&owner->handover, id, &record);
	talloc_free((void *)record.value.data);
	talloc_free(snapshot.workers);
}

/*
 * Load: 32,000 workers, so that each part is larger than the bytes that may be
 * appended within a second.
 * Guards against parts that never fit.
 */
static void test_large_parts_are_written(struct cell_fixture *f,
					 const void *data)
{
	struct cell_sim *sim = &f->sim;
	const struct rj_cell_handover *handover = &owner_of(sim)->handover;

	for (uint32_t part = 0; part < 16; part++)
		read_full_record(owner_of(sim), part);
	cell_sim_run(sim, 40 * S);
	g_assert_cmpuint(handover->counters.records, >, 10);
	g_assert_cmpuint(handover->counters.records, <=, 40);
	g_assert_cmpuint(handover->counters.bytes / handover->counters.records,
			 >, RJ_CELL_HANDOVER_BYTES_PER_S);
}

static const struct cell_sim_options rarely_written = {
	CELL_SITE(11, 3, 48, 12, 64),
	.features = { .snapshot_ms = 7000 },
};

static const struct cell_sim_options often_written = {
	CELL_SITE(11, 3, 48, 12, 64),
	.features = { .snapshot_ms = 1 },
};

/*
 * Load: all paces change every 0.1 s, and no jobs.
 * Guards against appends with parts at another interval than the setting's, or
 * more often than at each heartbeat.
 */
static void test_interval(struct cell_fixture *f, const void *data)
{
	const struct cell_sim_options *options = data;
	const uint64_t interval_us =
		MAX(400 * MS, options->features.snapshot_ms * MS);
	struct cell_sim *sim = &f->sim;
	uint64_t last_us = 0;
	uint32_t writes = 0;
	guint from = 0;

	run_gangs(sim, S);
	(void)snapshot_bytes(sim, &from);
	for (uint32_t i = 0; i < 400; i++) {
		change_paces(&owner_of(sim)->fleet, i + 1);
		cell_sim_run(sim, 100 * MS);
		if (!snapshot_bytes(sim, &from))
			continue;
		if (last_us)
			g_assert_cmpuint(sim->now_us - last_us + 100 * MS, >=,
					 interval_us);
		last_us = sim->now_us;
		writes++;
	}
	/* Without jobs, an append is made for parts that wait for 2 s, and none
	 * sooner. */
	g_assert_cmpuint(writes, >=, 40 * S / (interval_us + 2 * S) - 1);
	g_assert_cmpuint(writes, <=, 40 * S / (2 * S) + 1);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cell_snapshot/round_trip", test_round_trip);
	g_test_add_func("/cell_snapshot/refusals", test_refusals);
	g_test_add_func("/cell_snapshot/largest",
			test_largest_record_is_accepted);
	g_test_add_func("/cell_snapshot/more",
			test_payload_with_more_is_refused);
	g_test_add_func("/cell_snapshot/variance",
			test_variance_of_zero_is_refused);
	g_test_add_func("/cell_snapshot/urgent_sum",
			test_urgent_demand_is_not_added);
	CELL_TEST("/cell_snapshot/paces", &site, test_paces_outlive_the_owner);
	CELL_TEST("/cell_snapshot/off", &site_without,
		  test_without_the_feature);
	CELL_TEST("/cell_snapshot/between", &site,
		  test_owner_without_the_feature_between);
	CELL_TEST("/cell_snapshot/shards", &site,
		  test_each_shard_is_valid_by_itself);
	CELL_TEST("/cell_snapshot/store", &site, test_store_is_slow_or_refuses);
	CELL_TEST("/cell_snapshot/idle", &site, test_idle_owner_refreshes);
	CELL_TEST("/cell_snapshot/waits", &site, test_waits_outlive_the_owner);
	CELL_TEST("/cell_snapshot/waits_off", &site_without,
		  test_waits_outlive_the_owner);
	CELL_TEST("/cell_snapshot/wait_after_run", &site,
		  test_wait_after_a_run);
	CELL_TEST("/cell_snapshot/wait_dependent", &site,
		  test_wait_of_a_dependent_step);
	CELL_TEST("/cell_snapshot/budget", &large_site,
		  test_large_fleet_keeps_to_the_budget);
	CELL_TEST("/cell_snapshot/urgent", &site,
		  test_urgent_demand_outlives_the_owner);
	CELL_TEST("/cell_snapshot/refused_parts", &site,
		  test_refused_parts_are_written_again);
	CELL_TEST("/cell_snapshot/one_append", &site,
		  test_one_append_at_a_time);
	CELL_TEST("/cell_snapshot/absent", &site,
		  test_rows_of_absent_workers_are_stored);
	CELL_TEST("/cell_snapshot/two_terms", &site, test_owner_of_two_terms);
	CELL_TEST("/cell_snapshot/fenced", &site, test_refusal_as_former_owner);
	CELL_TEST("/cell_snapshot/large_parts", &site,
		  test_large_parts_are_written);
	CELL_TEST("/cell_snapshot/rows", &site, test_rows_apply_once);
	CELL_TEST("/cell_snapshot/unclaimed", &site,
		  test_unclaimed_state_is_dropped);
	CELL_TEST("/cell_snapshot/interval", &rarely_written, test_interval);
	CELL_TEST("/cell_snapshot/interval_min", &often_written, test_interval);
	return g_test_run();
}
