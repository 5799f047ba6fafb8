/*
 * The subcommands that ask about one job: wait, cancel and explain.
 */
#include <assert.h>
#include <stdio.h>
#include <talloc.h>

#include "caller.h"
#include "command.h"
#include "words.h"

/* What differs between them. */
struct job_verb {
	const char *name;
	const char *method;
	const char *rest; /* of the path, after the id */
	int (*report)(const struct http_answer *answer);
};

/*
 * Call about one job and report the answer.
 */
static int call_about(const struct job_verb *verb, const char *job,
		      const struct caller_options *options)
{
	void *mem = talloc_new(NULL);
	struct http_call call = { .method = verb->method };
	struct http_answer answer;
	struct caller caller;
	struct rj_error err;
	uint64_t id;
	int code;

	assert(mem);
	if (caller_load(&caller, mem, options, &err) ||
	    caller_job_id(job, &id, &err)) {
		print_error(verb->name, &err);
		talloc_free(mem);
		return EXIT_USAGE;
	}
	call.path = talloc_asprintf(mem, "/v1/jobs/%s%s", job, verb->rest);
	code = caller_call(&caller, &call, &answer);
	if (!code) {
		code = verb->report(&answer);
		json_decref(answer.json);
	}
	talloc_free(mem);
	return code;
}

static int run_verb(const struct job_verb *verb, int argc, char **argv)
{
	struct arg_str *job = arg_str1(NULL, NULL, "JOB",
				       "id of the job, as its answer gave it");
	struct caller_options caller;
	struct options options;
	struct options_result result;

	caller_options(&caller);
	options_init(&options);
	void *table[] = {
		job,	       caller.targets.instances, caller.targets.answers,
		caller.tokens, caller.account,		 caller.timeout_s,
		options.help,  options.version,		 options.end
	};
	result = options_parse(&options, command_find(verb->name), argc, argv,
			       table);
	if (result.go_on)
		result.exit_code = call_about(verb, job->sval[0], &caller);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return result.exit_code;
}

/*
 * `radishjunction wait`: the answer of a job, when it has ended.
 */
int command_wait(int argc, char **argv)
{
	static const struct job_verb verb = { "wait", "GET", "?wait=1",
					      caller_report };

	return run_verb(&verb, argc, argv);
}

/*
 * `radishjunction cancel`: end a job without (more) running of it.
 */
int command_cancel(int argc, char **argv)
{
	static const struct job_verb verb = { "cancel", "DELETE", "",
					      caller_report };

	return run_verb(&verb, argc, argv);
}

/*
 * Tell every decision in words, with its time after the first.
 */
static int report_decisions(const struct http_answer *answer)
{
	const json_t *list = answer->json;
	json_int_t first_us = 0;
	json_t *entry;
	size_t i;

	if (!json_is_array(list))
		return caller_report(answer);
	if (!json_array_size(list))
		printf("no decision is remembered here; ask the instance that "
		       "plans the job\n");
	json_array_foreach(list, i, entry)
	{
		json_int_t at_us =
			json_integer_value(json_object_get(entry, "t_us"));

		if (!i)
			first_us = at_us;
		printf("%+8.3f s  ", (double)(at_us - first_us) / 1e6);
		print_decision(stdout, entry);
	}
	return EXIT_DONE;
}

/*
 * `radishjunction explain`: why a job is where it is.
 */
int command_explain(int argc, char **argv)
{
	static const struct job_verb verb = { "explain", "GET", "/explain",
					      report_decisions };

	return run_verb(&verb, argc, argv);
}
