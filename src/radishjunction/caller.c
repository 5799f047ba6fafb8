#include "caller.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "command.h"
#include "descriptions.h"

#define DEFAULT_TIMEOUT_S 60

/*
 * Creates the options; the subcommand adds all of them to its argtable.
 */
void caller_options(struct caller_options *options)
{
	targets_options(&options->targets);
	options->tokens =
		arg_file0(NULL, "tokens", "FILE",
			  "tokens that `generate --tokens` wrote; otherwise "
			  "the token is in $" TOKEN_VARIABLE);
	options->account = arg_str0(NULL, "account", "NAME",
				    "account whose token is used");
	options->timeout_s = arg_int0(NULL, "timeout", "S",
				      "seconds to wait for the answer (60)");
	assert(options->tokens && options->account && options->timeout_s);
}

/*
 * Reads the token of `account` from a file of tokens; if `account` is NULL,
 * the file must hold exactly one. Returns the token as a talloc child of
 * `mem`, or NULL with `err` set.
 */
const char *token_find(void *mem, const char *path, const char *account,
		       struct rj_error *err)
{
	char *text = file_read(mem, path, err);
	json_t *json = text ? json_loads(text, 0, NULL) : NULL;
	const char *token = NULL;

	if (!text)
		return NULL;
	if (account)
		token = json_string_value(json_object_get(json, account));
	else if (json_object_size(json) == 1)
		token = json_string_value(
			json_object_iter_value(json_object_iter(json)));
	if (token)
		token = talloc_strdup(mem, token);
	else
		rj_error_set(err, RJ_ERR_NOT_FOUND,
			     "%s: no token of \"%s\"; name an account of "
			     "this file with --account",
			     path, account ? account : "");
	json_decref(json);
	return token;
}

/*
 * Reads the instances, the token and the timeout from the options and the
 * environment. Returns 0, or -1 with `err` set.
 */
int caller_load(struct caller *caller, void *mem,
		const struct caller_options *options, struct rj_error *err)
{
	const char *path = option_file(options->tokens);
	int timeout_s = options->timeout_s->count ?
				options->timeout_s->ival[0] :
				DEFAULT_TIMEOUT_S;

	memset(caller, 0, sizeof(*caller));
	if (timeout_s < 1 || timeout_s > 24 * 3600)
		return rj_error_set(err, RJ_ERR_INVALID,
				    "timeout: %d is not from 1 to 86400",
				    timeout_s);
	caller->timeout_ms = (uint32_t)timeout_s * 1000;
	if (targets_load(&caller->targets, mem, &options->targets, err))
		return -1;
	if (path)
		caller->token = token_find(
			mem, path, option_string(options->account, NULL), err);
	else
		caller->token = getenv(TOKEN_VARIABLE);
	if (caller->token)
		return 0;
	if (path)
		return -1;
	return rj_error_set(err, RJ_ERR_UNAUTHORIZED,
			    "token: none given; set $" TOKEN_VARIABLE
			    " or give --tokens FILE --account NAME");
}

/*
 * Calls the first instance that can be reached. The next one is tried only if
 * the previous one certainly did not receive the call, so that the call does
 * not take effect twice. Returns 0 with an answer whose `json` the caller
 * releases, or an exit code after printing the error.
 */
int caller_call(const struct caller *caller, struct http_call *call,
		struct http_answer *answer)
{
	assert(caller->targets.count);
	call->token = caller->token;
	call->timeout_ms = caller->timeout_ms;
	for (uint32_t i = 0; i < caller->targets.count; i++) {
		call->address = caller->targets.instances[i];
		http_call(call, answer);
		if (answer->outcome == HTTP_ANSWERED && answer->json)
			return 0;
		if (answer->outcome != HTTP_UNREACHABLE)
			break;
	}
	if (answer->outcome == HTTP_UNREACHABLE) {
		fprintf(stderr,
			"radishjunction: %s; not received: start an instance "
			"or name another\n",
			answer->detail);
		return EXIT_UNREACHABLE;
	}
	json_decref(answer->json);
	fprintf(stderr,
		"radishjunction: %s; it may have been received: ask again%s\n",
		answer->outcome == HTTP_LOST ? answer->detail :
					       "the answer is not JSON",
		call->key ? " with the same key" : "");
	return EXIT_UNKNOWN;
}

/*
 * Prints an answer as JSON on standard output and the meaning of its reason on
 * standard error. Returns the exit code of the answer.
 */
int caller_print_answer(const struct http_answer *answer)
{
	const json_t *json = answer->json;
	const char *kind = json_string_value(json_object_get(json, "answer"));
	const char *reason = json_string_value(json_object_get(json, "reason"));

	json_dumpf(json, stdout, JSON_INDENT(2) | JSON_ENCODE_ANY);
	printf("\n");
	fflush(stdout);
	if (reason && !json_object_get(json, "detail"))
		print_reason(stderr, reason);
	if (!kind)
		return answer->status < 300 ? EXIT_DONE : EXIT_REFUSED;
	if (!strcmp(kind, rj_answer_kind_string[RJ_ANSWER_DONE]))
		return EXIT_DONE;
	if (!strcmp(kind, rj_answer_kind_string[RJ_ANSWER_ACCEPTED]))
		return EXIT_PENDING;
	if (!strcmp(kind, rj_answer_kind_string[RJ_ANSWER_UNKNOWN]))
		return reason && !strcmp(reason,
					 rj_reason_string
						 [RJ_REASON_IN_PROGRESS]) ?
			       EXIT_PENDING :
			       EXIT_UNKNOWN;
	return EXIT_REFUSED;
}

/*
 * Parses a job id of 16 hexadecimal digits. Returns 0, or -1 with `err` set.
 */
int caller_job_id(const char *job, uint64_t *id, struct rj_error *err)
{
	char *end;

	*id = strtoull(job, &end, 16);
	if (strlen(job) == 16 && strspn(job, "0123456789abcdefABCDEF") == 16)
		return 0;
	return rj_error_set(err, RJ_ERR_INVALID,
			    "job: \"%s\" is not 16 hexadecimal digits; give "
			    "the \"job\" of an answer",
			    job);
}
