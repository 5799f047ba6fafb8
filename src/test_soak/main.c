/*
 * rj-soak: the fault soak; see soak.h. Prints one line of JSON at the end and
 * exits with status 1 when an invariant was violated.
 */
#include <argtable2.h>
#include <curl/curl.h>
#include <signal.h>
#include <string.h>
#include <talloc.h>

#include "soak.h"

/* Time for all jobs to end after fault injection: covers leases of 6 s, 10 s
 * until an unreachable owner gives up its ownership, and the longest jobs. */
#define RECOVERY_TIMEOUT_US (75 * RJ_US_PER_S)
/* Time to stop the runs that are left once all jobs have ended. */
#define SETTLE_TIME_US (8 * RJ_US_PER_S)
#define ERRORS_MAX 8

/* Totals over all seeds. */
struct totals {
	uint32_t seed_count;
	uint32_t violated_seeds;
	uint32_t fault_count;
	uint32_t own_ends; /* of instances */
	uint32_t job_count;
	uint32_t accepted; /* jobs */
	uint32_t ended; /* accepted jobs whose end was reported */
};

/* Run one seed and add its results to `totals`. */
static void run_seed(const struct soak_options *options, uint64_t seed,
		     struct totals *totals)
{
	struct soak *soak = g_new0(struct soak, 1);
	uint64_t until_us;

	soak->options = *options;
	soak->seed = seed;
	soak_cluster_start(soak);
	soak_cluster_run(soak, options->seconds * RJ_US_PER_S);
	soak_cluster_recover(soak);
	until_us = rj_clock_now_us() + RECOVERY_TIMEOUT_US;
	while (!soak_callers_done(soak) && rj_clock_now_us() < until_us)
		soak_cluster_run(soak, RJ_US_PER_S / 10);
	soak_cluster_run(soak, SETTLE_TIME_US);
	soak_check_final(soak);
	totals->seed_count++;
	totals->violated_seeds += soak->violations > 0;
	totals->fault_count += soak->fault_count;
	totals->own_ends += soak->own_ends;
	totals->job_count += soak->job_list->len;
	for (guint i = 0; i < soak->job_list->len; i++) {
		const struct soak_job *job = soak->job_list->pdata[i];

		totals->accepted += job->accepted;
		totals->ended += job->accepted && job->ended;
	}
	soak_cluster_finish(soak);
	g_free(soak);
}

/* The value of an option, clamped to 1..`max`; `fallback` when not given. */
static uint32_t option_value(const struct arg_int *option, uint32_t fallback,
			     uint32_t max)
{
	if (!option->count)
		return fallback;
	return CLAMP((uint32_t)option->ival[0], 1, max);
}

int main(int argc, char **argv)
{
	struct arg_int *seeds =
		arg_int0(NULL, "seeds", "N", "number of seeds to run (1)");
	struct arg_int *from = arg_int0(NULL, "from", "K", "first seed (1)");
	struct arg_int *seconds =
		arg_int0(NULL, "seconds", "N",
			 "seconds of fault injection per seed (15)");
	struct arg_int *instances =
		arg_int0(NULL, "instances", "N", "processes (4)");
	struct arg_int *workers = arg_int0(NULL, "workers", "N", "(12)");
	struct arg_int *jobs = arg_int0(NULL, "jobs-per-s", "N",
					"jobs submitted per second (4)");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_end *end = arg_end(ERRORS_MAX);
	void *table[] = { seeds,   from, seconds, instances,
			  workers, jobs, help,	  end };
	struct totals totals = { 0 };
	struct soak_options options;

	if (arg_nullcheck(table) || arg_parse(argc, argv, table) ||
	    help->count) {
		arg_print_errors(stderr, end, "rj-soak");
		arg_print_glossary(stderr, table, "  %-18s %s\n");
		return help->count ? 0 : 2;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	signal(SIGPIPE, SIG_IGN);
	options = (struct soak_options){
		.programs = g_path_get_dirname(argv[0]),
		.instances = option_value(instances, 4, SOAK_INSTANCES_MAX),
		.workers = option_value(workers, 12, SOAK_WORKERS_MAX),
		.seconds = option_value(seconds, 15, 3600),
		.jobs_per_s = option_value(jobs, 4, 1000),
	};
	for (uint32_t i = 0; i < option_value(seeds, 1, 100000); i++)
		run_seed(&options, option_value(from, 1, INT32_MAX) + i,
			 &totals);
	printf("{\"seeds\":%u,\"from\":%u,\"instances\":%u,\"workers\":%u,"
	       "\"strikes\":%u,\"own_ends\":%u,\"jobs\":%u,"
	       "\"accepted\":%u,\"ended\":%u,"
	       "\"broken\":%u}\n",
	       totals.seed_count, option_value(from, 1, INT32_MAX),
	       options.instances, options.workers, totals.fault_count,
	       totals.own_ends, totals.job_count, totals.accepted, totals.ended,
	       totals.violated_seeds);
	g_free(options.programs);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	curl_global_cleanup();
	return totals.violated_seeds > 0;
}
