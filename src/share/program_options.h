/*
 * Command line parsing for the subcommands of the development programs
 * (stand-ins and benchmarks).
 *
 * Life cycle: `program_options_of` creates the --help option and the end of
 * the argument table. The subcommand puts both into its table and calls
 * `program_options_parse`, then `arg_freetable`.
 */
#ifndef RADISHJUNCTION_SHARE_PROGRAM_OPTIONS_H
#define RADISHJUNCTION_SHARE_PROGRAM_OPTIONS_H

#include <argtable2.h>

/* Exit status for invalid options or values, in all programs. */
#define PROGRAM_EXIT_USAGE 2
#define PROGRAM_OPTIONS_COUNT(table) (sizeof(table) / sizeof(*(table)))

struct program_options {
	const char *program;
	struct arg_lit *help;
	struct arg_end *end;
};

struct program_options program_options_of(const char *program);
int program_options_parse(const struct program_options *options, int argc,
			  char **argv, void **table);

#endif
