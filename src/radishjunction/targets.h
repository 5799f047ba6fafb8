/*
 * Which instances, and which platform, a subcommand talks to: named one by
 * one or taken from the answers of the questionnaire.
 *
 * `targets_options` makes the options; `targets_load` fills memory of the
 * caller, whose pointers are talloc children of `mem`.
 */
#ifndef TARGETS_H
#define TARGETS_H

#include <argtable2.h>

#include "radishjunction/error.h"
#include "radishjunction/types.h"

/* Where to find addresses that no option gives. */
#define INSTANCES_VARIABLE "RADISHJUNCTION_INSTANCES"

struct targets_options {
	struct arg_str *instances;
	struct arg_file *answers;
};

struct targets {
	struct rj_address platform; /* port 0: not known */
	struct rj_address *instances;
	uint32_t count;
};

void targets_options(struct targets_options *options);
int targets_load(struct targets *targets, void *mem,
		 const struct targets_options *options, struct rj_error *err);

#endif
