#include <argtable2.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <time.h>

#include "bench.h"
#include "cost.h"
#include "radishjunction/planner_topology.h"
#include "support/quantile.h"

#define RACK_WORKERS 8
#define WORKER_ACCELERATORS 8

/* Tasks on each worker; the target load, 33,000 on 7,500 workers, is 4.4. */
#define TASKS_RUNNING 3

#define GANG_TASKS 512
#define WAVE_JOBS 1000
#define REPEATS_MAX 1000

const uint32_t cost_worker_counts[COST_SIZES] = { 50, 120, 500, 1000, 7500 };
static const uint32_t account_counts[] = { 4, 290 };

struct site {
	struct rj_planner_topology topology;
	struct rj_planner *planner;
	struct rj_decisions decisions;
	struct rj_domain domain;
	struct rj_account *accounts;
	struct rj_guarantee *guarantees;
	struct rj_config config;
	uint32_t workers;
	uint64_t next_id;
	uint64_t now_us;
	void *mem;
};

/* A benchmark; `run` returns its time in nanoseconds. */
struct cost {
	const char *name;
	double (*run)(struct site *site);
	uint32_t repeats; /* on one site; 1 if `run` alters the site */
	uint32_t workers_min; /* minimum number of workers */
};

/*
 * Returns the monotonic clock in nanoseconds.
 */
double cost_now_ns(void)
{
	struct timespec time;

	clock_gettime(CLOCK_MONOTONIC, &time);
	return (double)time.tv_sec * 1e9 + (double)time.tv_nsec;
}

/*
 * Configures the site with a guarantee for every account: the first a gang of
 * half a rack, the others one task each as far as capacity allows.
 */
static void site_configure(struct site *site, uint32_t accounts)
{
	site->accounts =
		talloc_zero_array(site->mem, struct rj_account, accounts);
	site->guarantees =
		talloc_zero_array(site->mem, struct rj_guarantee, accounts);
	for (uint32_t i = 0; i < accounts; i++) {
		struct rj_guarantee *guarantee = &site->guarantees[i];

		snprintf(site->accounts[i].name, RJ_NAME_BYTES, "account%u", i);
		rj_name_set(guarantee->domain, "domain");
		guarantee->shape =
			i ? (struct rj_shape){ 1, { 1, 1, 1, 1 }, false } :
			    (struct rj_shape){ 4, { 1, 8, 1, 1 }, true };
		guarantee->count = 1;
		site->accounts[i].share = 1;
		site->accounts[i].guarantees = guarantee;
		site->accounts[i].guarantee_count = 1;
	}
	rj_name_set(site->domain.name, "domain");
	site->domain.racks = (site->workers + RACK_WORKERS - 1) / RACK_WORKERS;
	site->domain.workers_per_rack = RACK_WORKERS;
	site->domain.worker =
		(struct rj_resources){ 64, WORKER_ACCELERATORS, 128, 1 << 19 };
	site->config = (struct rj_config){
		.domains = &site->domain,
		.domain_count = 1,
		.accounts = site->accounts,
		.account_count = accounts,
		.limits = { .queue_max = 100000, .checkpoint_limit_ms = 3000 },
	};
	site->planner->ops->configure(site->planner, &site->config, "domain",
				      0);
}

/*
 * Returns a stoppable job with the next id, of one of three accounts.
 */
static struct rj_plan_job job_new(struct site *site, uint32_t tasks,
				  uint32_t accelerators, bool adjacent)
{
	struct rj_plan_job job = {
		.job_id = ++site->next_id,
		.class_name = "class",
		.shape = { tasks, { 1, accelerators, 1, 1 }, adjacent },
		.priority = RJ_PRIORITY_NORMAL,
		.preemptible = true,
		.queued_us = site->now_us,
		.deadline_us = RJ_NEVER_US,
	};

	snprintf(job.account, sizeof(job.account), "account%u",
		 (uint32_t)(1 + site->next_id % 3));
	return job;
}

/*
 * Creates a failure domain of `workers` workers, all owned, with
 * `tasks_running` tasks on each.
 */
static void site_init(struct site *site, uint32_t workers, uint32_t accounts,
		      uint32_t tasks_running)
{
	memset(site, 0, sizeof(*site));
	site->mem = talloc_new(NULL);
	site->workers = workers;
	site->now_us = RJ_US_PER_S;
	rj_planner_topology_init(&site->topology, site->mem);
	site->planner = &site->topology.base;
	rj_decisions_init(&site->decisions, site->mem);
	site_configure(site, accounts);
	for (uint32_t i = 0; i < workers; i++) {
		struct rj_plan_worker worker = {
			.id = i,
			.rack = i / RACK_WORKERS,
			.capacity = site->domain.worker,
			.usable = true,
			.owned = true,
		};

		site->planner->ops->worker(site->planner, &worker, 0);
	}
	for (uint32_t i = 0; i < workers * tasks_running; i++) {
		struct rj_plan_job job = job_new(site, 1, 1, false);
		struct rj_plan_member member = { i % workers, 1 };

		site->planner->ops->adopt(site->planner, &job, &member, 1, 0);
	}
	site->planner->ops->pass(site->planner, site->now_us, &site->decisions);
}

/*
 * Frees the site.
 */
static void site_finish(struct site *site)
{
	rj_decisions_finish(&site->decisions);
	site->planner->ops->finish(site->planner);
	talloc_free(site->mem);
}

/*
 * Returns the time of the admission of a job and of the pass that starts it
 * (or, with `reclaims`, reclaims capacity for it). The job is then removed.
 */
static double time_job(struct site *site, struct rj_plan_job job, bool reclaims)
{
	uint64_t retry_after_us;
	enum rj_reason reason;
	double start_ns;
	double elapsed_ns;

	rj_decisions_clear(&site->decisions);
	start_ns = cost_now_ns();
	site->planner->ops->submit(site->planner, &job, site->now_us, &reason,
				   &retry_after_us);
	site->planner->ops->pass(site->planner, site->now_us, &site->decisions);
	elapsed_ns = cost_now_ns() - start_ns;
	if (!site->decisions.count ||
	    (site->decisions.list[0].kind == RJ_DECISION_RECLAIM) != reclaims) {
		(void)fprintf(stderr, "cost: the job was not decided on\n");
		exit(1);
	}
	site->planner->ops->ended(site->planner, job.job_id, true, RJ_US_PER_S,
				  site->now_us);
	return elapsed_ns;
}

/*
 * Places a job of one task with one accelerator.
 */
static double cost_small(struct site *site)
{
	return time_job(site, job_new(site, 1, 1, false), false);
}

/*
 * Places a gang that may span racks.
 */
static double cost_gang(struct site *site)
{
	return time_job(site, job_new(site, GANG_TASKS, 1, false), false);
}

/*
 * Submits the first account's guaranteed gang while all workers are full.
 */
static double cost_reclaim(struct site *site)
{
	struct rj_plan_job job = job_new(site, 4, 8, true);

	for (uint32_t i = 0; i < site->workers; i++) {
		struct rj_plan_job filler = job_new(
			site, 1, WORKER_ACCELERATORS - TASKS_RUNNING, false);
		struct rj_plan_member member = { i, 1 };

		site->planner->ops->adopt(site->planner, &filler, &member, 1,
					  0);
	}
	snprintf(job.account, sizeof(job.account), "account0");
	return time_job(site, job, true);
}

/*
 * Cancels a wave of jobs of which half run and half wait. Returns the time for
 * one job, including its share of the final pass.
 */
static double cost_wave(struct site *site)
{
	uint64_t first = site->next_id + 1;
	double start_ns;

	for (uint32_t i = 0; i < WAVE_JOBS; i++) {
		struct rj_plan_job job = job_new(site, 1, 1 + i % 8, false);
		uint64_t retry_after_us;
		enum rj_reason reason;

		site->planner->ops->submit(site->planner, &job, site->now_us,
					   &reason, &retry_after_us);
		if (i == WAVE_JOBS / 2)
			site->planner->ops->pass(site->planner, site->now_us,
						 &site->decisions);
	}
	start_ns = cost_now_ns();
	for (uint64_t id = first; id < first + WAVE_JOBS; id++)
		site->planner->ops->ended(site->planner, id, false, 0,
					  site->now_us);
	rj_decisions_clear(&site->decisions);
	site->planner->ops->pass(site->planner, site->now_us, &site->decisions);
	return (cost_now_ns() - start_ns) / WAVE_JOBS;
}

/*
 * Applies a worker's report with changed foreign use.
 */
static double cost_worker(struct site *site)
{
	struct rj_plan_worker worker = {
		.capacity = site->domain.worker,
		.usable = true,
		.owned = true,
		.foreign = { .cores = (uint32_t)(++site->next_id % 2) },
	};
	double start_ns = cost_now_ns();

	site->planner->ops->worker(site->planner, &worker, site->now_us);
	site->planner->ops->pass(site->planner, site->now_us, &site->decisions);
	return cost_now_ns() - start_ns;
}

/*
 * Applies a configuration.
 */
static double cost_configure(struct site *site)
{
	double start_ns = cost_now_ns();

	site->planner->ops->configure(site->planner, &site->config, "domain",
				      site->now_us);
	site->planner->ops->pass(site->planner, site->now_us, &site->decisions);
	return cost_now_ns() - start_ns;
}

static const struct cost costs[] = {
	{ "small_placement", cost_small, 500, 1 },
	{ "gang_512", cost_gang, 50, 120 },
	{ "worker_report", cost_worker, 50, 1 },
	{ "configure", cost_configure, 5, 1 },
	{ "cancel_one_of_wave", cost_wave, 5, 1 },
	{ "reclaim", cost_reclaim, 1, 1 },
};

/*
 * Returns the median of a benchmark over `sites` sites, in microseconds.
 */
static double measure(const struct cost *cost, uint32_t workers,
		      uint32_t accounts, uint32_t sites)
{
	double samples[REPEATS_MAX];
	uint32_t count = 0;

	for (uint32_t i = 0; i < sites; i++) {
		struct site site;

		site_init(&site, workers, accounts, TASKS_RUNNING);
		for (uint32_t j = 0; j < cost->repeats && count < REPEATS_MAX;
		     j++)
			samples[count++] = cost->run(&site);
		site_finish(&site);
	}
	return quantile_of(samples, count, 0.5) / 1000;
}

/*
 * Prints the bytes of state with no task running and with all running, and
 * stores the former in `*idle`. GLib's own memory (hash tables, lists) is not
 * included.
 */
static void print_state(uint32_t workers, uint32_t accounts, double *idle)
{
	struct site site;
	size_t empty;
	size_t full;

	site_init(&site, workers, accounts, 0);
	empty = talloc_total_size(site.topology.state);
	site_finish(&site);
	site_init(&site, workers, accounts, TASKS_RUNNING);
	full = talloc_total_size(site.topology.state);
	site_finish(&site);
	*idle = (double)empty;
	printf("{\"bench\":\"cost\",\"measure\":\"state\",\"workers\":%u,"
	       "\"accounts\":%u,\"bytes_idle\":%zu,\"bytes\":%zu,"
	       "\"bytes_a_running_job\":%.0f}\n",
	       workers, accounts, empty, full,
	       (double)(full - empty) / (workers * TASKS_RUNNING));
}

/*
 * Prints the least squares line through the samples of the sizes from index
 * `from` on: its intercept in `unit`, and its slope in `unit` per worker.
 */
void cost_print_slope(const char *name, const char *unit, uint32_t accounts,
		      const double *samples, uint32_t from)
{
	double n = 0;
	double x = 0;
	double y = 0;
	double xx = 0;
	double xy = 0;
	double slope;

	for (uint32_t i = from; i < COST_SIZES; i++) {
		double workers = cost_worker_counts[i];

		n++;
		x += workers;
		y += samples[i];
		xx += workers * workers;
		xy += workers * samples[i];
	}
	slope = (n * xy - x * y) / (n * xx - x * x);
	printf("{\"bench\":\"cost\",\"measure\":\"slope\",\"of\":\"%s\","
	       "\"accounts\":%u,\"%s\":%.2f,\"%s_a_worker\":%.5f}\n",
	       name, accounts, unit, (y - slope * x) / n, unit, slope);
}

/*
 * Runs a benchmark at each size; prints the results and their slope.
 */
static void run_cost(const struct cost *cost, uint32_t accounts, uint32_t sites)
{
	double samples[COST_SIZES] = { 0 };
	uint32_t from = 0;

	for (uint32_t i = 0; i < COST_SIZES; i++) {
		if (cost_worker_counts[i] < cost->workers_min) {
			from = i + 1;
			continue;
		}
		samples[i] =
			measure(cost, cost_worker_counts[i], accounts, sites);
		printf("{\"bench\":\"cost\",\"measure\":\"%s\",\"workers\":%u,"
		       "\"accounts\":%u,\"us\":%.2f}\n",
		       cost->name, cost_worker_counts[i], accounts, samples[i]);
		(void)fflush(stdout);
	}
	cost_print_slope(cost->name, "us", accounts, samples, from);
}

/*
 * `rj-bench cost`: the time of each decision, the bytes of state, and their
 * slopes by number of workers.
 */
int bench_cost(int argc, char **argv)
{
	struct arg_int *sites =
		arg_int0(NULL, "sites", "N", "medians over N sites (5)");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_end *end = arg_end(5);
	void *table[] = { sites, help, end };
	int errors = arg_parse(argc, argv, table);
	uint32_t count = sites->count ? (uint32_t)sites->ival[0] : 5;
	double idle[COST_SIZES];
	int status = 0;

	if (help->count || errors || !count) {
		status = bench_usage("cost", table, help->count > 0);
		goto out;
	}
	for (size_t i = 0; i < 2; i++) {
		for (size_t j = 0; j < sizeof(costs) / sizeof(costs[0]); j++)
			run_cost(&costs[j], account_counts[i], count);
		for (size_t j = 0; j < COST_SIZES; j++)
			print_state(cost_worker_counts[j], account_counts[i],
				    &idle[j]);
		cost_print_slope("state", "bytes", account_counts[i], idle, 0);
		cost_read(account_counts[i], count);
		cost_catch_up(account_counts[i]);
		cost_publication(account_counts[i], true);
		cost_publication(account_counts[i], false);
	}
out:
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}
