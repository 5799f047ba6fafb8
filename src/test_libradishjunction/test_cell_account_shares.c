/*
 * Shares of accounts: use and entitlement, and replays of a load in which one
 * account sends ten times its share.
 */
#include <string.h>
#include <talloc.h>

#include "private/cell_account_admission.h"
#include "support/cell_fixture.h"
#include "support/cell_load.h"

/* 24 workers with eight accelerators each; each of two accounts is entitled to
 * half of the site. */
#define SITE                                                      \
	.seed = 11, .nodes = 3, .workers = 24, .rack_workers = 4, \
	.capacity = { 64000, 64000, 8 }, .guaranteed = 64
static const struct cell_sim_options site = { SITE };
static const struct cell_sim_options shared_site = {
	SITE, .features = { .account_shares = true }
};

/* Jobs are sent in the first part of a replay, so that all of them can end. */
#define SENDING_US (120 * S)
#define REPLAY_US (190 * S)
/* After this, no result of the evaluated jobs is of use. */
#define USEFUL_US (57 * S)
/* Longest run, on the slowest worker. No run is stopped for another one of its
 * priority, so that this is the longest wait for capacity. */
#define RUN_MAX_US (8 * S)
/* Wait for the next completions on a full site, on average. */
#define MEAN_WAIT_MAX_US (1500 * MS)

/* What the jobs of account "b" got. */
struct service {
	uint32_t jobs;
	uint32_t accepted;
	uint32_t useful;
	uint64_t mean_wait_us; /* until the start, of accepted jobs */
	uint64_t longest_wait_us;
};

static struct service service_of(const struct cell_sim *sim)
{
	struct service service = { 0 };
	uint64_t sum_us = 0;

	for (guint i = 0; i < sim->job_list->len; i++) {
		const struct cell_client_job *job = sim->job_list->pdata[i];
		uint64_t begun_us = job->begun_us ? job->begun_us : sim->now_us;

		service.jobs += !strcmp(job->spec->account, "b");
		if (!job->accepted || strcmp(job->spec->account, "b") != 0)
			continue;
		service.accepted++;
		service.useful += job->ended_us &&
				  job->ended_us - job->sent_us < USEFUL_US;
		sum_us += begun_us - job->sent_us;
		service.longest_wait_us =
			MAX(service.longest_wait_us, begun_us - job->sent_us);
	}
	service.mean_wait_us = sum_us / MAX(service.accepted, 1);
	return service;
}

/* Jobs of 24 accelerators for 6 s: a gang, or single tasks. */
static struct rj_cell_step step_of(const char *queue)
{
	struct rj_cell_step step = cell_sim_plain_step(3, 8, 6000);

	step.gang = true;
	return strcmp(queue, "bulk") ? step : cell_sim_plain_step(24, 1, 6000);
}

/* Replays a load on a site of its own. Account "a" sends `times` what its share
 * can serve, in jobs of different lengths so that they do not end together;
 * account "b" sends jobs for a fifth of the site. */
static struct service replay(const struct cell_sim_options *options,
			     uint32_t times, const char *queue_a,
			     const char *queue_b,
			     void (*check)(struct cell_sim *sim))
{
	const struct rj_cell_step step_a = step_of(queue_a);
	const uint64_t every_us = 3 * S / times;
	const struct cell_load_stream streams[] = {
		{ queue_b, "b", step_of(queue_b), 6 * S, 4 * S, 0, SENDING_US },
		{ queue_a, "a", step_a, 4400 * MS, every_us, 0, SENDING_US },
		{ queue_a, "a", step_a, 6500 * MS, every_us, 0, SENDING_US },
	};
	struct cell_fixture f;
	struct service service;

	cell_fixture_setup(&f, options);
	cell_load_run_streams(&f.sim, streams, G_N_ELEMENTS(streams), REPLAY_US,
			      check);
	service = service_of(&f.sim);
	g_test_message("%u of %u jobs accepted, %u useful, waits of %u ms",
		       service.accepted, service.jobs, service.useful,
		       (uint32_t)(service.mean_wait_us / MS));
	/* What is accepted is of use, with the feature and without. */
	g_assert_cmpuint(service.useful, ==, service.accepted);
	cell_fixture_teardown(&f, options);
	return service;
}

/*
 * Load: one account sends ten times its share, of gangs or of single tasks.
 * Guards against jobs of others that are rejected, or wait behind those that
 * will soon be too late or have started.
 */
static void test_flood_is_borne_by_its_sender(gconstpointer queue)
{
	struct service before = replay(&site, 10, queue, queue, NULL);
	struct service calm = replay(&shared_site, 1, queue, queue, NULL);
	struct service flooded = replay(&shared_site, 10, queue, queue, NULL);

	g_assert_cmpuint(before.accepted * 2, <, before.jobs);
	g_assert_cmpuint(before.mean_wait_us, >, 15 * S);
	g_assert_cmpuint(calm.accepted, ==, calm.jobs);
	g_assert_cmpuint(flooded.accepted, ==, flooded.jobs);
	g_assert_cmpuint(flooded.mean_wait_us, <,
			 calm.mean_wait_us + MEAN_WAIT_MAX_US);
	g_assert_cmpuint(flooded.longest_wait_us, <, RUN_MAX_US);
}

/*
 * Load: one account sends ten times its share of normal gangs, the other batch
 * tasks, of which the minimum share of their priority can run half.
 * Guards against jobs that are accepted because their account is within its
 * share, and then get too little capacity to be of use.
 */
static void test_accepted_batch_jobs_are_served(void)
{
	struct service service =
		replay(&shared_site, 10, "normal", "bulk", NULL);

	g_assert_cmpuint(service.accepted * 2, >, service.jobs);
}

/* Kills the owner 40 s after the site was started, and starts its node again
 * 2 s later. */
static void replace_owner(struct cell_sim *sim)
{
	static int former;

	if (sim->now_us == 3640 * S) {
		former = cell_sim_owner(sim);
		cell_sim_node_kill(sim, (uint32_t)former);
	} else if (sim->now_us == 3642 * S) {
		g_assert_cmpint(cell_sim_owner(sim), !=, former);
		cell_sim_node_start(sim, (uint32_t)former);
	}
}

/*
 * Load: the owner ends amid the flood.
 * Guards against a successor that knows no use and lets the flood go first.
 */
static void test_successor_knows_who_is_over(void)
{
	struct service service =
		replay(&shared_site, 10, "normal", "normal", replace_owner);

	/* One job may be submitted to the node that is down. */
	g_assert_cmpuint(service.accepted + 1, >=, service.jobs);
	g_assert_cmpuint(service.longest_wait_us, <, RUN_MAX_US);
}

/*
 * Load: one account sends a single job of 25 times what the site can run at
 * once, then the other a small one.
 * Guards against a started job that goes first as long as it has tasks.
 */
static void test_burst_of_one_job(struct cell_fixture *f, const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(4800, 1, 6000);
	struct cell_client_job *job;

	(void)cell_load_submit(&f->sim, "bulk", "a", &step, 6 * S);
	cell_load_run(&f->sim, 15 * S);
	step.task_count = 16;
	job = cell_load_submit(&f->sim, "bulk", "b", &step, 6 * S);
	cell_load_run(&f->sim, RUN_MAX_US);
	g_assert_cmpuint(job->begun_us, !=, 0);
}

/*
 * Load: one account alone sends more than the site can run.
 * Guards against capacity that is kept from it, and against any other decision
 * than without the feature.
 */
static void test_lone_account_is_served_as_before(void)
{
	const struct cell_load_stream streams[] = {
		{ "normal", "a", step_of("normal"), 6 * S, 600 * MS, 0, 0 },
		{ "bulk", "a", step_of("bulk"), 5 * S, 1500 * MS, 0, 0 },
		{ "urgent", "a", step_of("normal"), 2 * S, 2 * S, 0, 0 },
	};
	struct cell_fixture *f = g_new(struct cell_fixture, 2);

	for (uint32_t i = 0; i < 2; i++) {
		cell_fixture_setup(&f[i], i ? &shared_site : &site);
		cell_load_run_streams(&f[i].sim, streams, G_N_ELEMENTS(streams),
				      90 * S, NULL);
	}
	/* More than it is entitled to beside another account. */
	g_assert_cmpuint(cell_load_backlog(&f[1].sim)->usage.accelerators.used,
			 >, 96);
	for (guint i = 0; i < f[0].sim.job_list->len; i++) {
		const struct cell_client_job *off = f[0].sim.job_list->pdata[i];
		const struct cell_client_job *on = f[1].sim.job_list->pdata[i];

		g_assert_cmpuint(off->accepted, ==, on->accepted);
		g_assert_cmpuint(off->begun_us, ==, on->begun_us);
		g_assert_cmpuint(off->ended_us, ==, on->ended_us);
	}
	cell_fixture_teardown(&f[0], &site);
	cell_fixture_teardown(&f[1], &shared_site);
	g_free(f);
}

/* Returns how many runs of account "a" are stopped for an urgent job. The site
 * is full of batch tasks, three quarters of them its own, which have run longer
 * than the others. */
static uint32_t count_stopped(const struct cell_sim_options *options)
{
	struct rj_cell_step step = cell_sim_plain_step(144, 1, 6000);
	struct cell_fixture f;
	const struct cell_client_job *job;
	uint32_t starts;

	cell_fixture_setup(&f, options);
	job = cell_load_submit(&f.sim, "bulk", "a", &step, 60 * S);
	cell_load_run(&f.sim, 3 * S);
	step.task_count = 48;
	(void)cell_load_submit(&f.sim, "bulk", "b", &step, 60 * S);
	cell_load_run(&f.sim, 5 * S);
	step = cell_sim_plain_step(16, 1, 2500);
	(void)cell_load_submit(&f.sim, "urgent", "b", &step, 2500 * MS);
	cell_load_run(&f.sim, 5 * S);
	starts = job->starts;
	cell_fixture_teardown(&f, options);
	return starts - 144;
}

/* Guards against an account over its share whose runs are spared because they
 * have run longer than those of others. */
static void test_runs_over_the_share_are_preempted_first(void)
{
	g_assert_cmpuint(count_stopped(&site), ==, 0);
	g_assert_cmpuint(count_stopped(&shared_site), ==, 16);
}

#define ACCOUNTS (RJ_CELL_ACCOUNTS_MAX + 8)

/* Adds a job with some accelerators of 100 to a plan. */
static void add_job(struct rj_cell_account_shares *shares,
		    struct rj_cell_job *job, uint32_t accelerators, bool waits)
{
	job->allocated.accelerators = accelerators;
	rj_cell_account_shares_add_job(shares, job);
	if (waits)
		rj_cell_account_shares_add_waiting(job);
}

/* Creates jobs of the accounts "a0", "a1" and so on. */
static void *create_jobs(struct rj_cell_account_shares *shares,
			 struct rj_cell_job *jobs[ACCOUNTS])
{
	const struct rj_cell_allocation capacity = { 0, 0, 100 };
	struct rj_cell_job_spec *specs =
		talloc_zero_array(NULL, struct rj_cell_job_spec, ACCOUNTS);

	for (uint32_t i = 0; i < ACCOUNTS; i++) {
		(void)g_snprintf(specs[i].account, RJ_NAME_BYTES, "a%u", i);
		jobs[i] = rj_cell_job_new(specs, &specs[i]);
	}
	rj_cell_account_shares_set_capacity(shares, &capacity);
	return specs;
}

/* Guards against wrong entitlements, against accounts over their share while
 * nobody waits, and against a burst that is forgotten at once or for ever. */
static void test_shares_and_entitlements(void)
{
	struct rj_cell_account account = { .name = "a0",
					   .guaranteed_accelerators = 40 };
	const struct rj_cell_config config = { .accounts = &account,
					       .account_count = 1 };
	struct rj_cell_account_shares shares = { 0 };
	const struct rj_cell_account_share *rows = shares.rows;
	struct rj_cell_job *jobs[ACCOUNTS];
	struct rj_cell_account_use uses[4];
	void *mem = create_jobs(&shares, jobs);

	for (uint32_t i = 0; i < 2; i++) {
		rj_cell_account_shares_begin(&shares);
		add_job(&shares, jobs[0], 90, true);
		add_job(&shares, jobs[1], 10, i == 1);
		rj_cell_account_shares_update(&shares, &config,
					      (1 + i * 10) * S);
		g_assert_cmpfloat_with_epsilon(rows[0].entitlement, 0.7, 1e-9);
		g_assert_cmpfloat_with_epsilon(rows[1].entitlement, 0.3, 1e-9);
		g_assert_cmpuint(rj_cell_job_share_excess_milli(jobs[0]), ==,
				 i ? 286 : 0);
		g_assert_cmpuint(rj_cell_job_share_excess_milli(jobs[1]), ==,
				 0);
	}
	g_assert_cmpfloat_with_epsilon(rows[0].use, 0.9 * 0.632, 0.001);
	rj_cell_account_shares_begin(&shares);
	add_job(&shares, jobs[0], 5, false);
	add_job(&shares, jobs[2], 0, true);
	rj_cell_account_shares_update(&shares, &config, 41 * S);
	g_assert_cmpfloat_with_epsilon(rows[0].use, 0.05 + 0.52 * 0.0498,
				       0.001);
	g_assert_cmpfloat_with_epsilon(rows[2].entitlement, 0.3, 1e-9);
	g_assert_false(rj_cell_job_over_share(jobs[0]));
	g_assert_cmpuint(
		rj_cell_account_shares_export(&shares, uses, 4, 41 * S), ==, 3);
	memset(&shares, 0, sizeof(shares));
	rj_cell_account_shares_import(&shares, uses, 3, 50 * S);
	g_assert_cmpfloat_with_epsilon(rows[0].use, 0.076, 0.001);
	talloc_free(mem);
}

/* Load: jobs of more accounts than are tracked.
 * Guards against state that grows with the accounts, and against rows that stay
 * with accounts without work. */
static void test_further_accounts_are_summed(void)
{
	struct rj_cell_account_shares shares = { 0 };
	const struct rj_cell_account_share *other =
		&shares.rows[RJ_CELL_ACCOUNTS_OTHER];
	struct rj_cell_job *jobs[ACCOUNTS];
	void *mem = create_jobs(&shares, jobs);

	for (uint32_t plan = 0; plan < 3; plan++) {
		rj_cell_account_shares_begin(&shares);
		for (uint32_t i = plan ? 60 : 0; i < ACCOUNTS; i++)
			add_job(&shares, jobs[i], 1, false);
		rj_cell_account_shares_update(&shares, NULL,
					      (1 + plan * 61) * S);
		g_assert_cmpuint(other->allocated.accelerators, ==,
				 plan < 2 ? 8 : 0);
	}
	talloc_free(mem);
}

/* Tasks that take a second of the whole site. */
static const struct rj_cell_step admission_step = { .task_count = 100,
						    .each = { 0, 0, 1 },
						    .estimate_ms = 1000 };

/* Creates an owner that knows the accounts "a0", "a1" and so on, all of them
 * within their share. */
static struct rj_cell_owner *create_owner(uint32_t accounts)
{
	struct rj_cell_owner *owner = talloc_zero(NULL, struct rj_cell_owner);

	rj_list_init(&owner->jobs);
	rj_cell_forecast_init(&owner->forecast);
	owner->account_shares.capacity.accelerators = 100;
	for (uint32_t i = 0; i < accounts; i++) {
		struct rj_cell_account_share *row =
			&owner->account_shares.rows[i];

		row->used = true;
		row->entitlement = 1.0 / accounts;
		(void)g_snprintf(row->account, RJ_NAME_BYTES, "a%u", i);
	}
	return owner;
}

/* Adds an accepted job of an account; a plan has counted it if `counted`. */
static void add_accepted(struct rj_cell_owner *owner, const char *account,
			 uint32_t priority, bool counted)
{
	struct rj_cell_job_spec *spec =
		talloc_zero(owner, struct rj_cell_job_spec);
	struct rj_cell_account_shares *shares = &owner->account_shares;
	struct rj_cell_job *job;

	g_strlcpy(spec->account, account, sizeof(spec->account));
	spec->priority = priority;
	spec->step_count = 1;
	spec->steps =
		talloc_memdup(spec, &admission_step, sizeof(admission_step));
	spec->task_count = admission_step.task_count;
	job = rj_cell_job_new(owner, spec);
	(void)rj_cell_job_begin_occurrence(job, 0);
	job->late_us = UINT64_MAX;
	if (counted)
		job->share = &shares->rows[rj_cell_account_shares_find(
			shares, account)];
	rj_list_append(&owner->jobs, &job->link);
}

/* Evaluates the next queue of a heartbeat, which rejects jobs. */
static void add_queue(const struct rj_cell_owner *owner, uint32_t priority,
		      struct rj_cell_owner_heartbeat *heartbeat)
{
	struct rj_cell_queue_load *load =
		&heartbeat->queue_loads[heartbeat->queue_load_count];

	load->refuse = true;
	load->mean_ms = 1000;
	load->retry_after_ms = 2000;
	rj_cell_account_admission_add_queue(owner, priority, 40000, 30000,
					    heartbeat);
	heartbeat->queue_load_count++;
}

static void destroy_owner(struct rj_cell_owner *owner)
{
	rj_cell_forecast_finish(&owner->forecast);
	talloc_free(owner);
}

/* Guards against an account that is rejected because no plan has counted its
 * first job yet, and against the rejection of all accounts for that reason. */
static void test_job_before_the_next_plan(void)
{
	struct rj_cell_owner_heartbeat heartbeat = { 0 };
	struct rj_cell_owner *owner = create_owner(2);
	uint32_t retry_ms = 0;

	owner->account_shares.rows[1].entitlement = 0; /* idle so far */
	for (uint32_t i = 0; i < 20; i++)
		add_accepted(owner, "a0", 2, i % 2 == 0);
	add_accepted(owner, "a1", 2, false);
	add_accepted(owner, "new", 2, false);
	add_queue(owner, 2, &heartbeat);
	g_assert_true(rj_cell_account_admission_refuses(&heartbeat, 0, "a0",
							&retry_ms));
	g_assert_cmpuint(retry_ms, >=, 2000);
	g_assert_false(rj_cell_account_admission_refuses(&heartbeat, 0, "a1",
							 &retry_ms));
	g_assert_false(rj_cell_account_admission_refuses(&heartbeat, 0, "new",
							 &retry_ms));
	destroy_owner(owner);
}

/* Load: more accounts send too much batch work than a heartbeat names.
 * Guards against a queue that has no room left to name one, and so rejects all
 * accounts. */
static void test_queue_after_one_that_names_too_many(void)
{
	const uint32_t accounts = RJ_CELL_REFUSED_MAX + 8;
	struct rj_cell_owner_heartbeat heartbeat = { 0 };
	struct rj_cell_owner *owner = create_owner(accounts);
	char last[RJ_NAME_BYTES];
	uint32_t retry_ms = 0;

	for (uint32_t i = 0; i < accounts; i++) {
		(void)g_snprintf(last, sizeof(last), "a%u", i);
		add_accepted(owner, last, 2, true);
	}
	add_accepted(owner, last, 1, true);
	add_queue(owner, 2, &heartbeat);
	add_queue(owner, 1, &heartbeat);
	g_assert_cmpuint(heartbeat.queues_by_share, ==, 1U << 1);
	g_assert_true(rj_cell_account_admission_refuses(&heartbeat, 0, "a0",
							&retry_ms));
	g_assert_false(rj_cell_account_admission_refuses(&heartbeat, 1, "a0",
							 &retry_ms));
	g_assert_true(rj_cell_account_admission_refuses(&heartbeat, 1, last,
							&retry_ms));
	destroy_owner(owner);
}

/* Decodes a heartbeat; returns whether queue 1, which rejects jobs, rejects
 * those of account "b". */
static bool refuses_b(struct rj_bytes value)
{
	struct rj_cell_owner_heartbeat heartbeat;
	struct rj_error err;
	uint32_t retry_ms;

	g_assert_false(rj_cell_owner_heartbeat_decode(value, &heartbeat, &err));
	return rj_cell_account_admission_refuses(&heartbeat, 1, "b", &retry_ms);
}

/* Guards against heartbeats that instances of other versions cannot read:
 * without rejected accounts, and with a section of a later version. */
static void test_heartbeats_of_other_versions(void)
{
	struct rj_cell_owner_heartbeat heartbeat = { .queue_load_count = 2 };
	void *mem = talloc_new(NULL);
	struct rj_bytes plain = rj_cell_owner_heartbeat_encode(mem, &heartbeat);
	struct rj_bytes full;
	uint32_t retry_ms;

	heartbeat.queues_by_share = 1U << 1;
	heartbeat.refused_account_count = 1;
	heartbeat.refused_accounts[0] = (struct rj_cell_refused_account){
		.account = "a", .queues = 1U << 1, .retry_after_ms = 1500
	};
	g_assert_true(rj_cell_account_admission_refuses(&heartbeat, 1, "a",
							&retry_ms));
	g_assert_cmpuint(retry_ms, ==, 1500);
	full = rj_cell_owner_heartbeat_encode(mem, &heartbeat);
	g_assert_cmpmem(plain.data, plain.length, full.data, plain.length);
	g_assert_true(refuses_b(plain));
	g_assert_false(refuses_b(full));
	((uint8_t *)full.data)[plain.length] = 99; /* the section's number */
	g_assert_true(refuses_b(full));
	talloc_free(mem);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_data_func("/cell_account_shares/gangs", "normal",
			     test_flood_is_borne_by_its_sender);
	g_test_add_data_func("/cell_account_shares/tasks", "bulk",
			     test_flood_is_borne_by_its_sender);
	g_test_add_func("/cell_account_shares/batch",
			test_accepted_batch_jobs_are_served);
	g_test_add_func("/cell_account_shares/successor",
			test_successor_knows_who_is_over);
	CELL_TEST("/cell_account_shares/burst", &shared_site,
		  test_burst_of_one_job);
	g_test_add_func("/cell_account_shares/lone",
			test_lone_account_is_served_as_before);
	g_test_add_func("/cell_account_shares/preempted",
			test_runs_over_the_share_are_preempted_first);
	g_test_add_func("/cell_account_shares/entitlements",
			test_shares_and_entitlements);
	g_test_add_func("/cell_account_shares/other",
			test_further_accounts_are_summed);
	g_test_add_func("/cell_account_shares/before_plan",
			test_job_before_the_next_plan);
	g_test_add_func("/cell_account_shares/names",
			test_queue_after_one_that_names_too_many);
	g_test_add_func("/cell_account_shares/versions",
			test_heartbeats_of_other_versions);
	return g_test_run();
}
