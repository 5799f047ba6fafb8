#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench.h"
#include "support/plan_simulation.h"
#include "support/quantile.h"

/* Further seeds add no information to the medians. */
#define SEEDS_MAX 200
#define SEED_DEFAULT 1

enum planner_kind {
	PLANNER_TOPOLOGY,
	PLANNER_FIRST_FIT,
	PLANNER_EASY,
	PLANNER_COUNT
};

static const struct planner_factory *const factories[PLANNER_COUNT] = {
	[PLANNER_TOPOLOGY] = &planner_factory_topology,
	[PLANNER_FIRST_FIT] = &planner_factory_first_fit,
	[PLANNER_EASY] = &planner_factory_easy,
};

/* One load with the results of each planner and seed. */
struct series {
	enum stream_users users;
	enum stream_load load;
	uint32_t seeds;
	struct plan_result results[PLANNER_COUNT][SEEDS_MAX];
	double bound_s[STREAM_CLASSES][SEEDS_MAX];
	char class_names[STREAM_CLASSES][RJ_NAME_BYTES];
};

/*
 * Returns the median of the values.
 */
static double median_of(const double *values, uint32_t count)
{
	double sorted[SEEDS_MAX];

	memcpy(sorted, values, count * sizeof(*values));
	return quantile_of(sorted, count, 0.5);
}

/*
 * Returns the median over the seeds of the double at `offset` of the results.
 */
static double median_at(const struct series *series,
			enum planner_kind planner_kind, size_t offset)
{
	double values[SEEDS_MAX];

	for (uint32_t i = 0; i < series->seeds; i++)
		memcpy(&values[i],
		       (const char *)&series->results[planner_kind][i] + offset,
		       sizeof(values[i]));
	return median_of(values, series->seeds);
}

#define MEDIAN(series, planner_kind, member) \
	median_at(series, planner_kind, offsetof(struct plan_result, member))

/*
 * Prints the start of a JSON line; the caller prints the rest.
 */
static void print_line_start(const struct series *series, const char *planner)
{
	printf("{\"bench\":\"policy\",\"users\":\"%s\",\"load\":\"%s\","
	       "\"seeds\":%u,\"planner\":\"%s\",",
	       stream_users_string[series->users],
	       stream_load_string[series->load], series->seeds, planner);
}

/*
 * Prints the completion times of each class and account.
 */
static void print_completions(const struct series *series,
			      enum planner_kind planner_kind)
{
	for (uint32_t i = 0; i < STREAM_CLASSES; i++)
		for (uint32_t j = 0; j <= STREAM_ACCOUNTS; j++) {
			char account[16];

			snprintf(account, sizeof(account), "account%u", j);
			print_line_start(series, factories[planner_kind]->name);
			printf("\"measure\":\"completion_s\",\"class\":\"%s\","
			       "\"account\":\"%s\",\"jobs\":%.0f,"
			       "\"p50\":%.2f,\"p95\":%.2f,\"p99\":%.2f}\n",
			       series->class_names[i],
			       j == STREAM_ACCOUNTS ? "all" : account,
			       MEDIAN(series, planner_kind, count[i][j]),
			       MEDIAN(series, planner_kind,
				      completion_s[i][j][0]),
			       MEDIAN(series, planner_kind,
				      completion_s[i][j][1]),
			       MEDIAN(series, planner_kind,
				      completion_s[i][j][2]));
		}
}

/*
 * Prints all results of one planner.
 */
static void print_planner(const struct series *series,
			  enum planner_kind planner_kind)
{
	const struct {
		const char *name;
		size_t offset;
	} rows[] = {
		{ "fragmentation",
		  offsetof(struct plan_result, fragmentation) },
		{ "fragmentation_waiting",
		  offsetof(struct plan_result, fragmentation_waiting) },
		{ "utilisation", offsetof(struct plan_result, utilisation) },
		{ "guaranteed_due",
		  offsetof(struct plan_result, guaranteed_due) },
		{ "guaranteed_late",
		  offsetof(struct plan_result, guaranteed_late) },
		{ "guaranteed_wait_max_s",
		  offsetof(struct plan_result, guaranteed_wait_max_s) },
		{ "refusals", offsetof(struct plan_result, refusals) },
		{ "lost_share", offsetof(struct plan_result, lost_share) },
		{ "reclaims", offsetof(struct plan_result, reclaims) },
		{ "failures", offsetof(struct plan_result, failures) },
	};

	print_completions(series, planner_kind);
	print_line_start(series, factories[planner_kind]->name);
	printf("\"measure\":\"largest_gang_wait_s\",\"p50\":%.2f,\"p95\":%.2f,"
	       "\"p99\":%.2f}\n",
	       MEDIAN(series, planner_kind, gang_wait_s[0]),
	       MEDIAN(series, planner_kind, gang_wait_s[1]),
	       MEDIAN(series, planner_kind, gang_wait_s[2]));
	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		print_line_start(series, factories[planner_kind]->name);
		printf("\"measure\":\"%s\",\"value\":%.4f}\n", rows[i].name,
		       median_at(series, planner_kind, rows[i].offset));
	}
}

/*
 * Prints one target, its value and whether it is reached.
 */
static void print_target(const struct series *series, const char *name,
			 double value, double limit, bool at_most)
{
	print_line_start(series, factories[PLANNER_TOPOLOGY]->name);
	printf("\"measure\":\"target\",\"name\":\"%s\",\"value\":%.3f,"
	       "\"%s\":%.3f,\"reached\":%s}\n",
	       name, value, at_most ? "at_most" : "at_least", limit,
	       (at_most ? value <= limit : value >= limit) ? "true" : "false");
}

/*
 * Returns `value` / `base`; with a base of 0, 0 or a very large number.
 */
static double ratio(double value, double base)
{
	if (base > 0)
		return value / base;
	return value > 0 ? 1e9 : 0;
}

/*
 * Prints all targets of the planner.
 */
static void print_targets(const struct series *series)
{
	double urgent = MEDIAN(series, PLANNER_TOPOLOGY,
			       completion_s[STREAM_LESSON][STREAM_ACCOUNTS][1]);
	double first_fit =
		MEDIAN(series, PLANNER_FIRST_FIT,
		       completion_s[STREAM_LESSON][STREAM_ACCOUNTS][1]);
	double best = MAX(MEDIAN(series, PLANNER_FIRST_FIT, utilisation),
			  MEDIAN(series, PLANNER_EASY, utilisation));
	double late = 0;

	for (uint32_t i = 0; i < series->seeds; i++)
		late += series->results[PLANNER_TOPOLOGY][i].guaranteed_late;
	if (series->load == STREAM_BURST_SMALL ||
	    series->load == STREAM_BURST_LARGE)
		print_target(series, "urgent_p95_to_first_fit",
			     ratio(urgent, first_fit), 0.5, true);
	if (series->load == STREAM_MIXED90)
		print_target(
			series, "urgent_p95_to_bound",
			ratio(urgent, median_of(series->bound_s[STREAM_LESSON],
						series->seeds)),
			1.25, true);
	print_target(series, "largest_gang_wait_p95_to_first_fit",
		     ratio(MEDIAN(series, PLANNER_TOPOLOGY, gang_wait_s[1]),
			   MEDIAN(series, PLANNER_FIRST_FIT, gang_wait_s[1])),
		     1.0 / 3, true);
	print_target(series, "fragmentation_to_first_fit",
		     ratio(MEDIAN(series, PLANNER_TOPOLOGY, fragmentation),
			   MEDIAN(series, PLANNER_FIRST_FIT, fragmentation)),
		     0.5, true);
	print_target(series, "utilisation_to_best_baseline",
		     ratio(MEDIAN(series, PLANNER_TOPOLOGY, utilisation), best),
		     0.97, false);
	print_target(series, "guaranteed_late_all_seeds", late, 0, true);
}

/*
 * Runs every planner over the streams of all seeds.
 */
static void run_series(struct series *series, uint64_t seed)
{
	for (uint32_t i = 0; i < series->seeds; i++) {
		struct plan_stream stream;

		plan_stream_init(&stream, NULL, series->users, series->load,
				 seed + i, STREAM_HORIZON_US);
		for (uint32_t j = 0; j < PLANNER_COUNT; j++) {
			struct plan_simulation_options options = {
				.factory = factories[j],
			};

			plan_simulation_run(&stream, &options,
					    &series->results[j][i]);
		}
		for (uint32_t j = 0; j < STREAM_CLASSES; j++) {
			series->bound_s[j][i] = plan_stream_bound_s(&stream, j);
			memcpy(series->class_names[j], stream.classes[j].name,
			       RJ_NAME_BYTES);
		}
		plan_stream_finish(&stream);
	}
}

/*
 * Prints the bound on the completion time of each class.
 */
static void print_bound(const struct series *series)
{
	for (uint32_t i = 0; i < STREAM_CLASSES; i++) {
		print_line_start(series, "bound");
		printf("\"measure\":\"completion_s\",\"class\":\"%s\","
		       "\"account\":\"all\",\"p95\":%.2f}\n",
		       series->class_names[i],
		       median_of(series->bound_s[i], series->seeds));
	}
}

/*
 * Returns the index of `name` in a table of strings, or -1.
 */
static int find_string(const char *const *strings, int count, const char *name)
{
	for (int i = 0; i < count; i++)
		if (!strcmp(strings[i], name))
			return i;
	return -1;
}

/*
 * Prints the usage, after `problem` unless NULL. Returns the exit status.
 */
static int usage(void **table, const char *problem)
{
	FILE *out = problem ? stderr : stdout;

	if (problem)
		fprintf(out, "policy: %s\n", problem);
	fputs("usage: bench policy", out);
	arg_print_syntax(out, table, "\n");
	arg_print_glossary(out, table, "  %-28s %s\n");
	fputs("loads:", out);
	for (int i = 0; i < STREAM_LOAD_COUNT; i++)
		fprintf(out, " %s", stream_load_string[i]);
	fputs("\n", out);
	return problem ? 2 : 0;
}

/*
 * `rj-bench policy`: runs every planner over the streams of some seeds and
 * prints the medians.
 */
int bench_policy(int argc, char **argv)
{
	struct arg_int *seed =
		arg_int0(NULL, "seed", "S", "the first seed (1)");
	struct arg_int *seeds =
		arg_int0(NULL, "seeds", "N", "how many, medians of them (1)");
	struct arg_str *users = arg_str0(NULL, "users", "NAME",
					 "association (default) or converter");
	struct arg_str *load =
		arg_str0(NULL, "load", "NAME", "mixed90 (default), or another");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_end *end = arg_end(5);
	void *table[] = { seed, seeds, users, load, help, end };
	struct series *series = g_new0(struct series, 1);
	int errors = arg_parse(argc, argv, table);
	int users_index;
	int load_index;
	int status = 2;

	if (help->count) {
		status = usage(table, NULL);
		goto out;
	}
	users_index =
		find_string(stream_users_string, STREAM_USERS_COUNT,
			    users->count ? users->sval[0] : "association");
	load_index = find_string(stream_load_string, STREAM_LOAD_COUNT,
				 load->count ? load->sval[0] : "mixed90");
	series->seeds = seeds->count ? (uint32_t)seeds->ival[0] : 1;
	if (errors || users_index < 0 || load_index < 0 || !series->seeds ||
	    series->seeds > SEEDS_MAX) {
		status = usage(table, "an option is unknown or out of range");
		goto out;
	}
	series->users = users_index;
	series->load = load_index;
	run_series(series,
		   seed->count ? (uint64_t)seed->ival[0] : SEED_DEFAULT);
	for (uint32_t i = 0; i < PLANNER_COUNT; i++)
		print_planner(series, i);
	print_bound(series);
	print_targets(series);
	status = 0;
out:
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	g_free(series);
	return status;
}
