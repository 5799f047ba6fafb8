/*
 * A client of the entry instances: its token, the instances it calls, and the
 * mapping of answers to exit codes.
 *
 * `caller_options` creates the command line options; `caller_load` fills a
 * `struct caller` whose pointers are talloc children of `mem`.
 */
#ifndef CALLER_H
#define CALLER_H

#include <argtable2.h>

#include "http.h"
#include "targets.h"

/* Holds the token; an argument would show in the process list. */
#define TOKEN_VARIABLE "RADISHJUNCTION_TOKEN"

struct caller_options {
	struct targets_options targets;
	struct arg_file *tokens;
	struct arg_str *account;
	struct arg_int *timeout_s;
};

struct caller {
	struct targets targets;
	const char *token;
	uint32_t timeout_ms;
};

void caller_options(struct caller_options *options);
int caller_load(struct caller *caller, void *mem,
		const struct caller_options *options, struct rj_error *err);
int caller_call(const struct caller *caller, struct http_call *call,
		struct http_answer *answer);
int caller_print_answer(const struct http_answer *answer);
int caller_job_id(const char *job, uint64_t *id, struct rj_error *err);
const char *token_find(void *mem, const char *path, const char *account,
		       struct rj_error *err);

#endif
