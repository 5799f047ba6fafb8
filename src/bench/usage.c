#include <argtable2.h>
#include <stdio.h>

#include "bench.h"

/*
 * Prints the usage of a benchmark, to standard output if it was requested,
 * else to standard error. Returns the exit status.
 */
int bench_usage(const char *command, void **table, bool help_requested)
{
	FILE *out = help_requested ? stdout : stderr;

	(void)fprintf(out, "usage: bench %s", command);
	arg_print_syntax(out, table, "\n");
	arg_print_glossary(out, table, "  %-20s %s\n");
	return help_requested ? 0 : 2;
}
