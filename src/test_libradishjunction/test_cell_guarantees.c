/*
 * Guarantees of accounts, from what callers and workers see: replays of single
 * failures, and a seeded random load. `--seeds N --from K` runs N seeds of the
 * load from K on, and `--trace K` prints the log events of one seed.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "support/cell_fixture.h"
#include "support/cell_load.h"

/* Seeds of the random load in a test run. */
#define SEEDS 12
#define FIRST_SEED 1
/* A guaranteed job has begun all tasks of its first step this long after its
 * acceptance: the site's reclaim time. */
#define RECLAIM_US (2900 * MS)
/* What ends or changes this late before that bound without a way to foresee it
 * leaves no time to stop other runs and start. */
#define MAKE_ROOM_US S
#define ACCOUNTS 4
#define LOAD_US (60 * S)
#define LOAD_TICK_US (100 * MS)
#define CHANGES_MAX 32

/* 24 workers with eight accelerators each in six racks; three nodes. */
#define SITE                                          \
	.nodes = 3, .workers = 24, .rack_workers = 4, \
	.capacity = { 64000, 64000, 8 }
static const struct cell_sim_options site = {
	SITE,
	.seed = 7,
	.accounts = 3,
	.guaranteed = 64,
};

/* The guarantees from a time on. */
struct change {
	uint64_t at_us;
	uint32_t guaranteed[ACCOUNTS];
};

/* A random load, and what is needed to judge it. */
struct load {
	struct cell_sim sim;
	struct change changes[CHANGES_MAX];
	uint32_t change_count;
	uint32_t burst_account;
	uint64_t burst_until_us;
	uint32_t urgent_jobs;
	uint32_t owed_jobs; /* that had to begin within the bound */
	uint32_t late_jobs;
	char first_late[160];
};

static uint32_t need_of(const struct cell_client_job *job)
{
	const struct rj_cell_step *step = &job->spec->steps[0];

	return step->task_count * step->each.accelerators;
}

/* Whether a job had not ended at a time, by what its caller and its workers saw.
 * A cancelled one counts until its end can have been acted on. */
static bool is_live(const struct cell_client_job *job, uint64_t at_us)
{
	if (!job->accepted || job->accepted_us > at_us)
		return false;
	if (job->cancelled)
		return at_us < job->cancelled_us + MAKE_ROOM_US;
	return !(job->done_us && job->done_us <= at_us) &&
	       !(job->ended_us && job->ended_us <= at_us);
}

/* Returns what the urgent jobs of an account need at a time, in accelerators. */
static uint32_t needed_at(const struct cell_sim *sim, const char *account,
			  uint64_t at_us)
{
	uint32_t needed = 0;

	for (guint i = 0; i < sim->job_list->len; i++) {
		const struct cell_client_job *job = sim->job_list->pdata[i];

		if (!strcmp(job->spec->queue, "urgent") &&
		    !strcmp(job->spec->account, account) && is_live(job, at_us))
			needed += need_of(job);
	}
	return needed;
}

/* Returns the least guarantee of an account in the time before `at_us` in which
 * a change is too late to be acted on. */
static uint32_t guaranteed_at(const struct load *load, uint32_t account,
			      uint64_t at_us)
{
	uint32_t least = UINT32_MAX;

	for (uint32_t i = 0; i < load->change_count; i++) {
		const struct change *change = &load->changes[i];
		bool replaced = i + 1 < load->change_count &&
				change[1].at_us + MAKE_ROOM_US <= at_us;

		if (change->at_us <= at_us && !replaced)
			least = MIN(least, change->guaranteed[account]);
	}
	return least;
}

/*
 * Judges one urgent job: it must have begun by the bound if the urgent jobs of
 * its account that were accepted and had not ended needed no more than the
 * account's guarantee then.
 */
static void check_job(struct load *load, const struct cell_client_job *job)
{
	const char *account = job->spec->account;
	uint64_t bound_us = job->accepted_us + RECLAIM_US;
	uint32_t needed;

	if (!job->accepted || bound_us > load->sim.now_us ||
	    !is_live(job, bound_us) || job->cancel_sent)
		return;
	needed = needed_at(&load->sim, account, bound_us);
	if (needed > guaranteed_at(load, account[0] - 'a', bound_us))
		return;
	load->owed_jobs++;
	if (job->begun_us && job->begun_us <= bound_us)
		return;
	if (!load->late_jobs++)
		(void)g_snprintf(
			load->first_late, sizeof(load->first_late),
			"%s of %s needs %u, accepted at %u ms, has begun after "
			"%d ms; its account needs %u of %u",
			job->id, account, need_of(job),
			(uint32_t)(job->accepted_us / MS),
			job->begun_us ?
				(int)((job->begun_us - job->accepted_us) / MS) :
				-1,
			needed,
			guaranteed_at(load, account[0] - 'a', bound_us));
}

static void publish(struct load *load)
{
	struct change *change = &load->changes[load->change_count++];

	g_assert_cmpuint(load->change_count, <=, CHANGES_MAX);
	change->at_us = load->sim.now_us;
	memcpy(change->guaranteed, load->sim.guaranteed,
	       sizeof(change->guaranteed));
	cell_sim_publish(&load->sim, "k1");
}

/* Moves a part of one account's guarantee to another, or takes or gives it. */
static void change_guarantees(struct load *load)
{
	struct cell_sim *sim = &load->sim;
	uint32_t from = cell_sim_random(sim, ACCOUNTS);
	uint32_t to = cell_sim_random(sim, ACCOUNTS);
	uint32_t part = 8 * (1 + cell_sim_random(sim, 3));
	uint32_t sum = 0;

	part = MIN(part, sim->guaranteed[from]);
	sim->guaranteed[from] -= part;
	for (uint32_t i = 0; i < ACCOUNTS; i++)
		sum += sim->guaranteed[i];
	/* No more than some 60 % of the site are guaranteed. */
	if (cell_sim_random(sim, 3) && sum + part <= 116)
		sim->guaranteed[to] += part;
	publish(load);
}

/* Submits a random urgent job of an account: most are gangs that prefer one
 * rack. */
static void submit_urgent(struct load *load, uint32_t account)
{
	static const uint32_t sizes[] = { 1, 2, 4, 8, 8 };
	struct cell_sim *sim = &load->sim;
	uint32_t size = sizes[cell_sim_random(sim, G_N_ELEMENTS(sizes))];
	uint32_t duration_ms = 2000 + cell_sim_random(sim, 2500);
	/* Estimates are off by a fifth. */
	uint32_t estimate_ms =
		duration_ms * (80 + cell_sim_random(sim, 41)) / 100;
	struct rj_cell_step step = cell_sim_plain_step(
		1 + cell_sim_random(sim, size == 8 ? 4 : 6), size, estimate_ms);
	char name[2] = { (char)('a' + account), 0 };
	struct cell_client_job *job;

	step.gang = cell_sim_random(sim, 4) > 0;
	step.one_rack = step.gang && cell_sim_random(sim, 5) > 0;
	job = cell_load_submit(sim, "urgent", name, &step, duration_ms * MS);
	job->failing_runs = !cell_sim_random(sim, 12);
	load->urgent_jobs++;
}

/* Cancels a random urgent job that has not ended. */
static void cancel_one(struct load *load)
{
	struct cell_sim *sim = &load->sim;
	uint32_t from = sim->job_list->len > 40 ? sim->job_list->len - 40 : 0;
	struct cell_client_job *job =
		sim->job_list
			->pdata[from + cell_sim_random(sim, sim->job_list->len -
								    from)];

	if (job->accepted && !job->ended_us && !job->cancel_sent &&
	    !strcmp(job->spec->queue, "urgent"))
		cell_sim_cancel(sim, 0, job);
}

/* Sends what is due in one tick: urgent jobs of all accounts, one of which
 * floods for some seconds at a time, and other work that fills the site. */
static void send_due(struct load *load, uint64_t ran_us)
{
	struct cell_sim *sim = &load->sim;
	struct rj_cell_step batch = cell_sim_plain_step(24, 1, 6000);
	struct rj_cell_step wide = cell_sim_plain_step(4, 4, 6000);

	if (sim->now_us >= load->burst_until_us + 2 * S) {
		load->burst_account = cell_sim_random(sim, ACCOUNTS);
		load->burst_until_us =
			sim->now_us + (3 + cell_sim_random(sim, 5)) * S;
	}
	for (uint32_t i = 0; i < ACCOUNTS; i++) {
		bool burst = i == load->burst_account &&
			     sim->now_us < load->burst_until_us;

		if (!cell_sim_random(sim, burst ? 2 : 16))
			submit_urgent(load, i);
	}
	wide.gang = true;
	if (!cell_sim_random(sim, 12))
		cell_load_submit(sim, "bulk", "a", &batch, 6 * S);
	if (!cell_sim_random(sim, 10))
		cell_load_submit(sim, "normal", "b", &wide, 6 * S);
	if (!cell_sim_random(sim, 6))
		cancel_one(load);
	if (ran_us % (6 * S) == 0 && ran_us)
		change_guarantees(load);
}

/* Runs and judges the load of one seed; free the result with load_free. */
static struct load *load_run(uint64_t seed, bool trace)
{
	struct load *load = g_new0(struct load, 1);
	const struct cell_sim_options options = { SITE, .seed = seed,
						  .accounts = ACCOUNTS,
						  .guaranteed = 28 };

	cell_sim_init(&load->sim, &options);
	publish(load);
	cell_sim_run(&load->sim, 3 * S);
	if (trace)
		cell_sim_trace(&load->sim);
	cell_load_fill(&load->sim, 6, false, 6 * S);
	for (uint64_t ran_us = 0; ran_us < LOAD_US; ran_us += LOAD_TICK_US) {
		send_due(load, ran_us);
		cell_load_run(&load->sim, LOAD_TICK_US);
	}
	cell_load_run(&load->sim, 4 * S);
	for (guint i = 0; i < load->sim.job_list->len; i++) {
		const struct cell_client_job *job =
			load->sim.job_list->pdata[i];

		if (!strcmp(job->spec->queue, "urgent"))
			check_job(load, job);
	}
	return load;
}

static void load_free(struct load *load)
{
	cell_sim_finish(&load->sim);
	g_free(load);
}

/* Runs some seeds; returns in how many a job was late. */
static uint32_t run_seeds(uint64_t from, uint64_t count)
{
	uint32_t broken = 0;
	uint32_t late = 0;
	uint32_t owed = 0;
	uint32_t urgent = 0;

	for (uint64_t seed = from; seed < from + count; seed++) {
		struct load *load = load_run(seed, false);

		urgent += load->urgent_jobs;
		owed += load->owed_jobs;
		late += load->late_jobs;
		if (load->late_jobs)
			printf("# seed %" G_GUINT64_FORMAT ": %u late: %s\n",
			       seed, load->late_jobs, load->first_late);
		for (guint i = 0; i < load->sim.violations->len; i++)
			printf("# seed %" G_GUINT64_FORMAT ": %s\n", seed,
			       (char *)load->sim.violations->pdata[i]);
		broken += load->late_jobs || load->sim.violations->len;
		load_free(load);
	}
	printf("# {\"seeds\":%" G_GUINT64_FORMAT ",\"broken\":%u,\"urgent\":%u,"
	       "\"owed\":%u,\"late\":%u}\n",
	       count, broken, urgent, owed, late);
	/* A load that hardly ever stays within a guarantee checks nothing. */
	g_assert_cmpuint(owed, >, count);
	return broken;
}

/*
 * Load: random accounts, guarantees, jobs, ends, cancels, failures of gangs and
 * changes of the configuration.
 * Guards against guaranteed jobs that begin after the reclaim time.
 */
static void test_random_load(void)
{
	/* In these a guaranteed job was late once. */
	static const uint64_t seeds[] = { 36, 54, 62, 64, 80, 84, 377, 474 };

	for (guint i = 0; i < G_N_ELEMENTS(seeds); i++)
		g_assert_cmpuint(run_seeds(seeds[i], 1), ==, 0);
	g_assert_cmpuint(run_seeds(FIRST_SEED, SEEDS), ==, 0);
}

/* Submits an urgent gang. */
static struct cell_client_job *submit_gang(struct cell_sim *sim,
					   const char *account, uint32_t tasks,
					   uint32_t accelerators,
					   uint32_t duration_ms)
{
	struct rj_cell_step step =
		cell_sim_plain_step(tasks, accelerators, duration_ms);

	step.gang = true;
	return cell_load_submit(sim, "urgent", account, &step,
				duration_ms * MS);
}

/* Fills the site with a gang of an account beyond its guarantee and a job within
 * the guarantee of "a", to which a second job of "a" is then added. Returns the
 * first one of "a". */
static struct cell_client_job *run_beyond_guarantee(struct cell_sim *sim)
{
	struct cell_client_job *job;

	submit_gang(sim, "c", 16, 8, 30000);
	cell_load_run(sim, 300 * MS);
	job = submit_gang(sim, "a", 8, 6, 20000);
	cell_load_run(sim, 300 * MS);
	g_assert_cmpuint(job->starts, ==, 8);
	submit_gang(sim, "a", 8, 6, 20000);
	cell_load_run(sim, 300 * MS);
	return job;
}

/*
 * Load: a job runs within its account's guarantee when the account sends one
 * that goes beyond it, and another account claims its own.
 * Guards against a guarantee that an account loses as a whole.
 */
static void test_later_job_of_the_account(struct cell_fixture *f,
					  const void *data)
{
	struct cell_client_job *job = run_beyond_guarantee(&f->sim);
	struct cell_client_job *other = submit_gang(&f->sim, "b", 8, 8, 2500);

	cell_load_run(&f->sim, 4 * S);
	g_assert_cmpuint(other->begun_us - other->accepted_us, <, RECLAIM_US);
	g_assert_cmpuint(job->starts, ==, 8);
}

/*
 * Load: the same; the owner is killed before the other account claims its own.
 * Guards against a successor that does not know who is within a guarantee.
 */
static void test_takeover(struct cell_fixture *f, const void *data)
{
	struct cell_client_job *job = run_beyond_guarantee(&f->sim);

	cell_sim_node_kill(&f->sim, (uint32_t)cell_sim_owner(&f->sim));
	cell_load_run(&f->sim, 8 * S);
	g_assert_cmpint(cell_sim_owner(&f->sim), >=, 0);
	for (uint32_t i = 0; i < site.nodes; i++)
		if (!f->sim.nodes[i].up)
			cell_sim_node_start(&f->sim, i);
	submit_gang(&f->sim, "b", 8, 8, 2500);
	cell_load_run(&f->sim, 4 * S);
	g_assert_cmpuint(job->starts, ==, 8);
}

/*
 * Load: a job stops others within its account's guarantee when the guarantee is
 * taken away.
 * Guards against a promise that a configuration takes back before the job has
 * begun.
 */
static void test_lowered_guarantee(struct cell_fixture *f, const void *data)
{
	struct cell_client_job *job;

	submit_gang(&f->sim, "c", 24, 8, 30000);
	cell_load_run(&f->sim, 300 * MS);
	job = submit_gang(&f->sim, "a", 4, 8, 2500);
	cell_sim_run(&f->sim, 60 * MS);
	f->sim.guaranteed[0] = 0;
	cell_sim_publish(&f->sim, "k1");
	cell_load_run(&f->sim, 4 * S);
	g_assert_cmpuint(job->begun_us, !=, 0);
	g_assert_cmpuint(job->begun_us - job->accepted_us, <, RECLAIM_US);
}

/*
 * Load: perpetual tasks of an account hold all accelerators, and another account
 * claims its guarantee.
 * Guards against a guarantee that is void beside perpetual tasks, and against
 * more of them being stopped at once than their step may miss.
 */
static void test_perpetual_tasks(void)
{
	static const struct {
		uint32_t may_miss; /* 0: not limited */
		uint32_t tasks; /* of the guaranteed job */
		bool begins;
	} cases[] = { { 0, 8, true },
		      { 0, 1, true },
		      { 8, 8, true },
		      { 2, 2, true },
		      { 2, 8, false } };

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct rj_cell_step step = cell_sim_plain_step(24, 8, 5000);
		struct cell_fixture f;
		const struct cell_client_job *fill;
		const struct cell_client_job *job;
		uint32_t stopped = 0;

		cell_fixture_setup(&f, &site);
		step.perpetual = true;
		step.may_miss = cases[i].may_miss;
		cell_load_run(&f.sim, 2 * S);
		fill = cell_load_submit(&f.sim, "bulk", "c", &step, S);
		cell_load_run(&f.sim, 4 * S);
		g_assert_cmpuint(fill->starts, ==, 24);
		job = submit_gang(&f.sim, "a", cases[i].tasks, 8, 2000);
		cell_load_run(&f.sim, RECLAIM_US);
		for (uint32_t j = 0; j < site.workers; j++)
			stopped += !f.sim.workers[j].runs->len;
		g_assert_cmpint(job->begun_us != 0, ==, cases[i].begins);
		if (!job->begun_us)
			g_assert_cmpuint(stopped, <=, cases[i].may_miss);
		cell_load_run(&f.sim, 8 * S);
		if (cases[i].begins)
			g_assert_cmpuint(fill->starts, ==, 24 + cases[i].tasks);
		cell_fixture_teardown(&f, &site);
	}
}

/* Runs what the command line calls for; returns -1 if it is the tests. */
static int run_command(int argc, char **argv)
{
	uint64_t count = 0;
	uint64_t from = FIRST_SEED;

	for (int i = 1; i + 1 < argc; i++) {
		uint64_t value = strtoull(argv[i + 1], NULL, 10);

		if (!strcmp(argv[i], "--seeds"))
			count = value;
		else if (!strcmp(argv[i], "--from"))
			from = value;
		else if (!strcmp(argv[i], "--trace")) {
			load_free(load_run(value, true));
			return 0;
		}
	}
	return count ? run_seeds(from, count) != 0 : -1;
}

int main(int argc, char **argv)
{
	int result = run_command(argc, argv);

	if (result >= 0)
		return result;
	g_test_init(&argc, &argv, NULL);
	CELL_TEST("/cell_guarantees/account", &site,
		  test_later_job_of_the_account);
	CELL_TEST("/cell_guarantees/takeover", &site, test_takeover);
	CELL_TEST("/cell_guarantees/lowered", &site, test_lowered_guarantee);
	g_test_add_func("/cell_guarantees/perpetual", test_perpetual_tasks);
	g_test_add_func("/cell_guarantees/random", test_random_load);
	return g_test_run();
}
