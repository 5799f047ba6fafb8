/*
 * The command line of a subcommand of a program that is not for users: the
 * stand-ins and the measurements.
 *
 * Life cycle: `program_options_of` makes --help and the end of the table,
 * the subcommand puts both into its table and calls `program_options_parse`,
 * then `arg_freetable`.
 */
#ifndef RADISHJUNCTION_SHARE_PROGRAM_OPTIONS_H
#define RADISHJUNCTION_SHARE_PROGRAM_OPTIONS_H

#include <argtable2.h>

/* Wrong options and bad values, as for every program of this project. */
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
