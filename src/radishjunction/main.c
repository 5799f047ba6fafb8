#include <curl/curl.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "command.h"

const struct command commands[] = {
	{ "ask", "answer the questionnaire of a new or changed team",
	  command_ask },
	{ "generate", "make a configuration or settings from the answers",
	  command_generate },
	{ "check", "check a configuration, settings or answers",
	  command_check },
	{ "publish", "put a configuration in force everywhere",
	  command_publish },
	{ "status", "show instances, racks, guarantees and queues",
	  command_status },
	{ "submit", "send one job and print its answer", command_submit },
	{ "wait", "wait for the answer of a job", command_wait },
	{ "cancel", "cancel a job", command_cancel },
	{ "explain", "print every decision about a job in words",
	  command_explain },
	{ "reasons", "print what each reason means and its remedy",
	  command_reasons },
	{ "load", "send a mixed load and verify every answer", command_load },
	{ NULL, NULL, NULL },
};

/*
 * Returns the subcommand of that name, or NULL.
 */
const struct command *command_find(const char *name)
{
	for (const struct command *command = commands; command->name; command++)
		if (!strcmp(command->name, name))
			return command;
	return NULL;
}

/*
 * Prints the table of subcommands and the exit codes.
 */
static void print_help(FILE *out)
{
	fprintf(out, "Usage: radishjunction SUBCOMMAND [OPTIONS]\n\n");
	for (const struct command *command = commands; command->name; command++)
		fprintf(out, "  %-10s %s\n", command->name, command->summary);
	fprintf(out,
		"\n`radishjunction SUBCOMMAND --help` prints the options.\n"
		"Exit codes: 0 done, 1 refused or failed, 2 wrong options,\n"
		"3 unreachable, 4 unknown (ask again), 5 not completed yet.\n");
}

/*
 * Finds the subcommand, initialises the libraries and runs it.
 */
int main(int argc, char **argv)
{
	const struct command *command;
	int result;

	if (argc > 1 && !strcmp(argv[1], "--help")) {
		print_help(stdout);
		return EXIT_DONE;
	}
	if (argc > 1 && !strcmp(argv[1], "--version")) {
		printf("radishjunction %s\n", RJ_VERSION);
		return EXIT_DONE;
	}
	command = argc > 1 ? command_find(argv[1]) : NULL;
	if (!command) {
		if (argc > 1)
			fprintf(stderr, "radishjunction: no subcommand %s\n",
				argv[1]);
		print_help(stderr);
		return EXIT_USAGE;
	}
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT)) {
		fprintf(stderr, "radishjunction: libraries do not start\n");
		return EXIT_REFUSED;
	}
	result = command->run(argc - 1, argv + 1);
	curl_global_cleanup();
	return result;
}
