#include "program_options.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>

/* Number of errors reported at once. */
#define ERRORS_MAX 20

/*
 * Returns the options common to all subcommands of `program`, to be put into
 * the subcommand's table; arg_freetable frees them.
 */
struct program_options program_options_of(const char *program)
{
	struct program_options options = {
		.program = program,
		.help = arg_lit0(NULL, "help", "print this help"),
		.end = arg_end(ERRORS_MAX),
	};

	assert(options.help && options.end);
	return options;
}

/*
 * Parses the command line into `table`, whose last entry is options->end;
 * argv[0] is the subcommand. Returns -1 to continue, or the exit status after
 * printing the help or the errors.
 */
int program_options_parse(const struct program_options *options, int argc,
			  char **argv, void **table)
{
	int errors;

	assert(!arg_nullcheck(table));
	errors = arg_parse(argc, argv, table);
	if (options->help->count) {
		printf("usage: %s %s", options->program, argv[0]);
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-28s %s\n");
		return EXIT_SUCCESS;
	}
	if (!errors)
		return -1;
	arg_print_errors(stderr, options->end, argv[0]);
	fprintf(stderr, "see %s %s --help\n", options->program, argv[0]);
	return PROGRAM_EXIT_USAGE;
}
