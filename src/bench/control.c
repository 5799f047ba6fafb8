/*
 * Control overhead of one instance without submitted jobs: a core with
 * simulated peers, workers and log in virtual time (control_site.h), idle, or
 * while operators publish configurations and workers are replaced.
 *
 * Bytes are counted by the real codecs, plus a constant for the HTTP headers
 * of each exchange. CPU time covers decisions and codecs, not sockets.
 */
#include <argtable2.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <time.h>

#include "bench.h"
#include "control_site.h"

#define MEASURED_US (300 * RJ_US_PER_S)
#define MEASURED_LOAD_US (7200 * RJ_US_PER_S)

/* Workers of the failure domain: the size in production, and larger ones up to
 * an eighth of 7,500. */
static const uint32_t worker_counts[] = { 17, 120, 470, 940 };

/*
 * Returns the CPU time of this thread in microseconds.
 */
static double cpu_us(void)
{
	struct timespec time;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
	return (double)time.tv_sec * 1e6 + (double)time.tv_nsec / 1e3;
}

/*
 * Prints the counters per second of virtual time.
 */
static void print(const struct control *control, uint64_t measured_us,
		  double cpu_used_us, size_t state_bytes)
{
	double seconds = (double)measured_us / RJ_US_PER_S;
	const struct traffic *all[] = { &control->reports, &control->peers,
					&control->log, &control->list_traffic,
					&control->publications };
	static const char *const names[] = { "reports", "peers", "log", "list",
					     "publications" };
	double sum = 0;

	for (int i = 0; i < 5; i++) {
		sum += (double)all[i]->bytes / seconds;
		printf("{\"bench\":\"control\",\"measure\":\"%s\","
		       "\"workers\":%u,\"instances\":%d,\"per_s\":%.2f,"
		       "\"bytes_per_s\":%.0f}\n",
		       names[i], control->site.workers, CONTROL_INSTANCES,
		       (double)all[i]->exchanges / seconds,
		       (double)all[i]->bytes / seconds);
	}
	printf("{\"bench\":\"control\",\"measure\":\"core\",\"workers\":%u,"
	       "\"instances\":%d,\"bytes_per_s\":%.0f,"
	       "\"cpu_percent\":%.3f,\"state_bytes\":%zu,"
	       "\"config_bytes\":%zu,\"revision\":%" G_GUINT64_FORMAT "}\n",
	       control->site.workers, CONTROL_INSTANCES, sum,
	       cpu_used_us / (double)measured_us * 100.0, state_bytes,
	       strlen(control->text), rj_core_config(&control->core)->revision);
}

/*
 * Runs one instance under a load and prints the result.
 */
static void measure(const struct control_load *load)
{
	uint64_t measured_us =
		load->changes_per_day || load->replacements_per_day ?
			MEASURED_LOAD_US :
			MEASURED_US;
	struct control control;
	double started_us;

	control_init(&control, load);
	control_run_until(&control, CONTROL_START_US + CONTROL_WARM_UP_US);
	control.measuring = true;
	started_us = cpu_us();
	control_run_until(&control, control.now_us + measured_us);
	print(&control, measured_us, cpu_us() - started_us,
	      talloc_total_size(control.core.state) +
		      talloc_total_size(control.planner.state));
	control_finish(&control);
}

/*
 * Returns an option's value, or `default_value` if it is not given.
 */
static uint32_t option_value(const struct arg_int *option,
			     uint32_t default_value)
{
	return option->count ? (uint32_t)option->ival[0] : default_value;
}

/*
 * `rj-bench control`: bytes, exchanges, CPU time and state size of one
 * instance's control traffic, at several sizes of its failure domain, or at
 * one size under a load.
 */
int bench_control(int argc, char **argv)
{
	struct arg_int *workers =
		arg_int0(NULL, "workers", "N", "of a failure domain (several)");
	struct arg_int *domains =
		arg_int0(NULL, "domains", "N", "failure domains (1)");
	struct arg_int *accounts =
		arg_int0(NULL, "accounts", "N", "client accounts (1)");
	struct arg_int *changes =
		arg_int0(NULL, "changes", "N", "of configuration, a day (0)");
	struct arg_int *replacements =
		arg_int0(NULL, "replacements", "N", "of workers, a day (0)");
	struct arg_lit *whole = arg_lit0(
		NULL, "whole", "whole configurations and lists, not changes");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_end *end = arg_end(4);
	void *table[] = { workers,	domains, accounts, changes,
			  replacements, whole,	 help,	   end };
	int errors = arg_parse(argc, argv, table);
	struct control_load load = {
		.site = { .domains = option_value(domains, 1),
			  .workers = option_value(workers, 0),
			  .instances = CONTROL_INSTANCES,
			  .accounts = option_value(accounts, 1),
			  .guarantees = option_value(accounts, 1) > 1 },
		.changes_per_day = option_value(changes, 0),
		.replacements_per_day = option_value(replacements, 0),
		.whole = whole->count > 0
	};
	int status = 0;

	if (errors || help->count) {
		status = bench_usage("control", table, help->count > 0);
	} else if (load.site.workers) {
		measure(&load);
	} else {
		for (size_t i = 0;
		     i < sizeof(worker_counts) / sizeof(worker_counts[0]);
		     i++) {
			load.site.workers = worker_counts[i];
			measure(&load);
		}
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}
