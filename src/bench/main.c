#include <stdio.h>
#include <string.h>

#include "bench.h"

static const struct bench_command commands[] = {
	{ "policy", "completion, fragmentation and reclaim", bench_policy },
	{ "cost", "time and state of decisions, with slopes", bench_cost },
	{ "control", "control overhead of one instance", bench_control },
	{ "ownership", "rack ownership compared with planning by any instance",
	  bench_ownership },
	{ "faults", "run seeded faults and check every invariant",
	  bench_faults },
	{ "path", "small requests through a daemon, and added latency",
	  bench_path },
	{ "cell", "cost of the owner of a cell, by workers and load",
	  bench_cell },
};

#define COMMAND_COUNT (sizeof(commands) / sizeof(commands[0]))

/* Prints the usage to `out`. Returns the exit status. */
static int usage(FILE *out)
{
	(void)fputs("usage: rj-bench COMMAND [OPTIONS]; COMMAND --help\n", out);
	for (size_t i = 0; i < COMMAND_COUNT; i++)
		(void)fprintf(out, "  %-10s %s\n", commands[i].name,
			      commands[i].description);
	return out == stderr ? 2 : 0;
}

int main(int argc, char **argv)
{
	if (argc < 2)
		return usage(stderr);
	if (!strcmp(argv[1], "--help"))
		return usage(stdout);
	for (size_t i = 0; i < COMMAND_COUNT; i++)
		if (!strcmp(argv[1], commands[i].name))
			return commands[i].run(argc - 1, argv + 1);
	return usage(stderr);
}
