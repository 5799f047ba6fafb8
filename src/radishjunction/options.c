#include <assert.h>
#include <stdio.h>

#include "command.h"

/* Limit of wrong options reported at once. */
#define ERRORS_MAX 20

/*
 * Creates the common options; the subcommand adds them to its argtable, `end`
 * last.
 */
void options_init(struct options *options)
{
	options->help = arg_lit0(NULL, "help", "print the options and exit");
	options->version =
		arg_lit0(NULL, "version", "print the version and exit");
	options->end = arg_end(ERRORS_MAX);
	assert(options->help && options->version && options->end);
}

/*
 * Parses the arguments of a subcommand. Handles --help, --version and wrong
 * options, after which the subcommand must not run.
 */
struct options_result options_parse(const struct options *options,
				    const struct command *command, int argc,
				    char **argv, void **table)
{
	struct options_result result = { false, EXIT_DONE };
	int errors;

	assert(!arg_nullcheck(table));
	errors = arg_parse(argc, argv, table);
	if (options->help->count) {
		printf("Usage: radishjunction %s", command->name);
		arg_print_syntax(stdout, table, "\n");
		printf("%s\n\n", command->summary);
		arg_print_glossary(stdout, table, "  %-28s %s\n");
		return result;
	}
	if (options->version->count) {
		printf("radishjunction %s\n", RJ_VERSION);
		return result;
	}
	if (errors) {
		arg_print_errors(stderr, options->end, command->name);
		fprintf(stderr, "see: radishjunction %s --help\n",
			command->name);
		result.exit_code = EXIT_USAGE;
		return result;
	}
	result.proceed = true;
	return result;
}

/*
 * Returns the last value of an option, or `fallback` if it was not given.
 */
const char *option_string(const struct arg_str *option, const char *fallback)
{
	return option->count ? option->sval[option->count - 1] : fallback;
}

/*
 * Returns the last file of an option, or NULL if it was not given.
 */
const char *option_file(const struct arg_file *option)
{
	return option->count ? option->filename[option->count - 1] : NULL;
}
