/*
 * The benchmarks: each subcommand has a row in main.c's table and a file of
 * its own. Every line on standard output is one JSON object.
 */
#ifndef BENCH_BENCH_H
#define BENCH_BENCH_H

#include <stdbool.h>

struct bench_command {
	const char *name;
	const char *description;
	/* argv[0] is the subcommand. Returns the exit status. */
	int (*run)(int argc, char **argv);
};

int bench_usage(const char *command, void **table, bool help_requested);

int bench_policy(int argc, char **argv);
int bench_cost(int argc, char **argv);
int bench_control(int argc, char **argv);
int bench_ownership(int argc, char **argv);
int bench_faults(int argc, char **argv);
int bench_path(int argc, char **argv);
int bench_cell(int argc, char **argv);

#endif
