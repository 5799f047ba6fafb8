/*
 * Cost of the owner of a cell by number of workers and by load: simulated
 * instances in virtual time.
 *
 * CPU time covers the decisions, not sockets and codecs.
 */
#include <argtable2.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "bench.h"
#include "support/cell_sim.h"
#include "support/quantile.h"

#define INSTANCES 4
#define RACK_WORKERS 20
#define WARM_UP_US (15 * S)
#define MEASURED_US (20 * S)
#define STEP_US (100 * MS)
#define STEPS_PER_S 10.0 /* one second divided by STEP_US */
/* Typical size of an urgent job. */
#define TASKS_PER_JOB 5
#define TASK_MS 2500

static const uint32_t worker_counts[] = { 50, 100, 350, 1000, 3000, 7500 };

struct load {
	uint32_t workers;
	uint32_t tasks_per_s;
	bool gangs; /* half of the jobs are gangs in one rack */
	bool mixed; /* the three kinds of `job_kinds` */
};

/* One kind of job in a mixed load. */
struct job_kind {
	const char *queue;
	uint32_t tasks; /* of a job */
	uint32_t task_ms;
	uint32_t memory_mb; /* of a task */
	uint32_t accelerators_max; /* of a task: a power of two up to this */
	uint32_t share; /* of all tasks, in percent */
	bool gang;
};

/* Short urgent gangs, longer gangs, and jobs of many small tasks. */
static const struct job_kind job_kinds[] = {
	{ "urgent", 8, 2500, 7500, 8, 19, true },
	{ "normal", 26, 8500, 26000, 8, 20, true },
	{ "bulk", 78, 6100, 7500, 1, 61, false },
};

/* A snapshot of the counters. */
struct counters {
	uint64_t owner_ns; /* CPU time of the owner */
	uint64_t all_ns; /* CPU time of all instances */
	uint64_t polls;
	uint64_t plans;
	uint64_t appends;
	uint64_t reads;
	uint32_t jobs;
};

/* Submits the jobs of one step; `due` carries over the fractional job. */
static void submit_step(struct cell_sim *sim, const struct load *load,
			double *due)
{
	static const char *const queues[] = { "urgent", "normal", "bulk" };

	*due += (double)load->tasks_per_s / TASKS_PER_JOB / STEPS_PER_S;
	for (; *due >= 1; (*due)--) {
		uint32_t number = sim->job_count;
		struct rj_cell_step step = cell_sim_plain_step(
			TASKS_PER_JOB, 1U << number % 4, TASK_MS);

		step.gang = load->gangs && number % 2;
		step.one_rack = step.gang;
		cell_sim_submit(sim, number % INSTANCES,
				cell_sim_job_new(sim, queues[number % 3],
						 number % 2 ? "a" : "b", &step,
						 1, TASK_MS * MS));
	}
}

/* Submits the jobs of one step of a mixed load; see submit_step. */
static void submit_step_mixed(struct cell_sim *sim, const struct load *load,
			      double due[G_N_ELEMENTS(job_kinds)])
{
	for (guint i = 0; i < G_N_ELEMENTS(job_kinds); i++) {
		const struct job_kind *kind = &job_kinds[i];

		due[i] += (double)load->tasks_per_s * kind->share / 100 /
			  kind->tasks / STEPS_PER_S;
		for (; due[i] >= 1; due[i]--) {
			uint32_t number = sim->job_count;
			struct rj_cell_step step = cell_sim_plain_step(
				kind->tasks,
				MIN(kind->accelerators_max, 1U << number % 4),
				kind->task_ms);

			step.gang = kind->gang;
			step.one_rack = kind->gang && number % 5 < 3;
			step.each.memory_mb = kind->memory_mb;
			if (!kind->gang && number % 8 == 0)
				step.per_worker_max = 1;
			cell_sim_submit(sim, number % INSTANCES,
					cell_sim_job_new(sim, kind->queue,
							 number % 2 ? "a" : "b",
							 &step, 1,
							 kind->task_ms * MS));
		}
	}
}

/* Runs the simulation under the load for `for_us`. */
static void run_load(struct cell_sim *sim, const struct load *load,
		     uint64_t for_us)
{
	uint64_t end_us = sim->now_us + for_us;
	double due[G_N_ELEMENTS(job_kinds)] = { 0 };

	while (sim->now_us < end_us) {
		if (load->mixed)
			submit_step_mixed(sim, load, due);
		else
			submit_step(sim, load, &due[0]);
		cell_sim_run(sim, STEP_US);
	}
}

/* Takes a snapshot; the cell must have an owner. */
static struct counters read_counters(const struct cell_sim *sim)
{
	int owner = cell_sim_owner(sim);
	struct counters counters = { .appends = sim->log.appends,
				     .reads = sim->log.reads,
				     .jobs = sim->job_count };

	g_assert_cmpint(owner, >=, 0);
	counters.owner_ns = sim->nodes[owner].cpu_ns;
	counters.polls = sim->nodes[owner].node.owner.counters.polls;
	counters.plans = sim->nodes[owner].node.owner.counters.plans;
	for (uint32_t i = 0; i < INSTANCES; i++)
		counters.all_ns += sim->nodes[i].cpu_ns;
	return counters;
}

/* Returns quantile `at` of the wait for the first step, in milliseconds, over
 * the accepted jobs from index `first` on; a job not yet started counts with
 * its wait until now. */
static double wait_ms(const struct cell_sim *sim, uint32_t first, double at)
{
	GArray *waits = g_array_new(FALSE, FALSE, sizeof(double));
	double result;

	for (guint i = first; i < sim->job_list->len; i++) {
		const struct cell_client_job *job = sim->job_list->pdata[i];
		uint64_t begun_us = job->begun_us ? job->begun_us : sim->now_us;
		double ms = (double)(begun_us - job->sent_us) / MS;

		if (job->accepted)
			g_array_append_val(waits, ms);
	}
	result = waits->len ? quantile_of((double *)(void *)waits->data,
					  waits->len, at) :
			      0;
	g_array_free(waits, TRUE);
	return result;
}

/* Runs one size and load and prints the result. */
static void measure(const struct load *load)
{
	const struct cell_sim_options options = {
		.seed = 1,
		.nodes = INSTANCES,
		.workers = load->workers,
		.rack_workers = RACK_WORKERS,
		.capacity = { 64000, 64000, 8 },
		.guaranteed = load->workers * 2,
	};
	struct cell_sim *sim = g_new0(struct cell_sim, 1);
	double seconds = (double)MEASURED_US / S;
	struct counters before;
	struct counters after;

	cell_sim_init(sim, &options);
	cell_sim_run(sim, 3 * S);
	run_load(sim, load, WARM_UP_US);
	before = read_counters(sim);
	run_load(sim, load, MEASURED_US);
	after = read_counters(sim);
	printf("{\"bench\":\"cell\",\"workers\":%u,\"tasks_per_s\":%u,"
	       "\"gangs\":%s,\"mixed\":%s,\"owner_cpu_percent\":%.2f,"
	       "\"other_cpu_percent\":%.2f,\"polls_per_s\":%.0f,"
	       "\"plans_per_s\":%.0f,\"appends_per_s\":%.1f,"
	       "\"reads_per_s\":%.1f,\"owner_state_bytes\":%zu,"
	       "\"wait_p50_ms\":%.0f,\"wait_p99_ms\":%.0f}\n",
	       load->workers, load->tasks_per_s, load->gangs ? "true" : "false",
	       load->mixed ? "true" : "false",
	       (double)(after.owner_ns - before.owner_ns) / seconds / 1e7,
	       (double)(after.all_ns - after.owner_ns - before.all_ns +
			before.owner_ns) /
		       (INSTANCES - 1) / seconds / 1e7,
	       (double)(after.polls - before.polls) / seconds,
	       (double)(after.plans - before.plans) / seconds,
	       (double)(after.appends - before.appends) / seconds,
	       (double)(after.reads - before.reads) / seconds,
	       talloc_total_size(sim->nodes[cell_sim_owner(sim)].mem),
	       wait_ms(sim, before.jobs, 0.5), wait_ms(sim, before.jobs, 0.99));
	fflush(stdout);
	cell_sim_finish(sim);
	g_free(sim);
}

/*
 * `rj-bench cell`: the owner's CPU time, calls and state, and the wait times
 * of jobs, at several sizes of a cell or at the size given.
 */
int bench_cell(int argc, char **argv)
{
	struct arg_int *workers =
		arg_int0(NULL, "workers", "N", "of the cell (several)");
	struct arg_int *tasks = arg_int0(NULL, "tasks-per-s", "N",
					 "tasks handed in a second (80)");
	struct arg_lit *gangs =
		arg_lit0(NULL, "gangs", "half of the jobs are gangs in a rack");
	struct arg_lit *mixed = arg_lit0(
		NULL, "mixed", "urgent gangs, longer gangs and wide jobs");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_end *end = arg_end(4);
	void *table[] = { workers, tasks, gangs, mixed, help, end };
	int errors = arg_parse(argc, argv, table);
	struct load load = {
		.workers = workers->count ? (uint32_t)workers->ival[0] : 0,
		.tasks_per_s = tasks->count ? (uint32_t)tasks->ival[0] : 80,
		.gangs = gangs->count > 0,
		.mixed = mixed->count > 0
	};
	int status = 0;

	if (errors || help->count || load.workers > CELL_SIM_WORKERS_MAX) {
		status = bench_usage("cell", table, help->count > 0);
	} else if (load.workers) {
		measure(&load);
	} else {
		for (size_t i = 0; i < G_N_ELEMENTS(worker_counts); i++) {
			load.workers = worker_counts[i];
			measure(&load);
		}
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}
