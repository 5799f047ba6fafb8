#include <argtable2.h>
#include <stdio.h>

#include "bench.h"

/*
 * Print how a measurement is called: because it was asked for, or because
 * the call was wrong. Returns the exit status that goes with it.
 */
int bench_usage(const char *command, void **table, bool asked)
{
	FILE *out = asked ? stdout : stderr;

	(void)fprintf(out, "usage: bench %s", command);
	arg_print_syntax(out, table, "\n");
	arg_print_glossary(out, table, "  %-20s %s\n");
	return asked ? 0 : 2;
}
