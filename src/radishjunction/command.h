/*
 * Shared by the subcommands: their table, common options, exit codes, file
 * access and printing of errors.
 *
 * Each subcommand is a function listed in the table of main.c. It builds its
 * argtable, calls `options_parse`, does its work and returns an exit code.
 */
#ifndef COMMAND_H
#define COMMAND_H

#include <argtable2.h>
#include <stdbool.h>

#include "radishjunction/error.h"

/* The exit codes of every subcommand; radishjunction(1) lists them. */
enum exit_code {
	EXIT_DONE, /* succeeded */
	EXIT_REFUSED, /* refused, failed or invalid; did not take effect */
	EXIT_USAGE, /* wrong options */
	EXIT_UNREACHABLE, /* no answer from an instance or the platform */
	EXIT_UNKNOWN, /* may have taken effect; retry to find out */
	EXIT_PENDING, /* accepted, not completed yet */
};

struct command {
	const char *name;
	const char *summary;
	int (*run)(int argc, char **argv);
};

/* The options that every subcommand has. */
struct options {
	struct arg_lit *help;
	struct arg_lit *version;
	struct arg_end *end;
};

/* If `proceed` is false, the subcommand returns `exit_code` at once. */
struct options_result {
	bool proceed;
	int exit_code;
};

void options_init(struct options *options);
struct options_result options_parse(const struct options *options,
				    const struct command *command, int argc,
				    char **argv, void **table);
const char *option_string(const struct arg_str *option, const char *fallback);
const char *option_file(const struct arg_file *option);

char *file_read(void *mem, const char *path, struct rj_error *err);
int file_write(const char *path, const char *text, bool secret,
	       struct rj_error *err);
int print_error(const char *command, const struct rj_error *err);
void print_errors(const char *what, const struct rj_error_list *errors);

int command_ask(int argc, char **argv);
int command_generate(int argc, char **argv);
int command_check(int argc, char **argv);
int command_publish(int argc, char **argv);
int command_status(int argc, char **argv);
int command_submit(int argc, char **argv);
int command_wait(int argc, char **argv);
int command_cancel(int argc, char **argv);
int command_explain(int argc, char **argv);
int command_reasons(int argc, char **argv);
int command_load(int argc, char **argv);

extern const struct command commands[];
const struct command *command_find(const char *name);

#endif
