/*
 * The addresses of the instances and of the platform that a subcommand calls,
 * given by options or taken from the answers to the questionnaire.
 *
 * `targets_options` creates the options; `targets_load` fills a
 * `struct targets` whose pointers are talloc children of `mem`.
 */
#ifndef TARGETS_H
#define TARGETS_H

#include <argtable2.h>

#include "radishjunction/error.h"
#include "radishjunction/types.h"

/* Environment variable with the instances if no option gives them. */
#define INSTANCES_VARIABLE "RADISHJUNCTION_INSTANCES"

struct targets_options {
	struct arg_str *instances;
	struct arg_file *answers;
};

struct targets {
	struct rj_address platform; /* port 0: unknown */
	struct rj_address *instances;
	uint32_t count;
};

void targets_options(struct targets_options *options);
int targets_load(struct targets *targets, void *mem,
		 const struct targets_options *options, struct rj_error *err);

#endif
