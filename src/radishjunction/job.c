/*
 * The subcommands that ask about one job: wait, cancel and explain.
 */
#include <assert.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "caller.h"
#include "command.h"
#include "descriptions.h"
#include "radishjunction/settings.h"

/* What differs between them. */
struct job_command {
	const char *name;
	/* Returns an exit code, told. */
	int (*run)(const struct caller *caller, const char *job);
};

/*
 * Call one instance about the job; `rest` follows the id in the path. Gives
 * the answer's JSON in `answer` and returns 0, or an exit code, told.
 */
static int call_job(const struct caller *caller, const char *method,
		    const char *job, const char *path_suffix,
		    struct http_answer *answer)
{
	char *path = talloc_asprintf(NULL, "/v1/jobs/%s%s", job, path_suffix);
	struct http_call call = { .method = method, .path = path };
	int code;

	assert(path);
	code = caller_call(caller, &call, answer);
	talloc_free(path);
	return code;
}

/*
 * Parse the arguments of a subcommand about one job, and run it.
 */
static int run_job_command(const struct job_command *command, int argc,
			   char **argv)
{
	struct arg_str *job = arg_str1(NULL, NULL, "JOB",
				       "id of the job, as its answer gave it");
	struct caller_options caller_opts;
	struct options options;
	struct options_result result;
	struct caller caller;
	struct rj_error err;
	void *mem = talloc_new(NULL);
	uint64_t id;

	assert(mem);
	caller_options(&caller_opts);
	options_init(&options);
	void *table[] = { job,
			  caller_opts.targets.instances,
			  caller_opts.targets.answers,
			  caller_opts.tokens,
			  caller_opts.account,
			  caller_opts.timeout_s,
			  options.help,
			  options.version,
			  options.end };
	result = options_parse(&options, command_find(command->name), argc,
			       argv, table);
	if (result.proceed && (caller_load(&caller, mem, &caller_opts, &err) ||
			       caller_job_id(job->sval[0], &id, &err))) {
		print_error(command->name, &err);
		result.exit_code = EXIT_USAGE;
	} else if (result.proceed) {
		result.exit_code = command->run(&caller, job->sval[0]);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	talloc_free(mem);
	return result.exit_code;
}

/*
 * Wait for the job's end and report its answer.
 */
static int wait_for_job(const struct caller *caller, const char *job)
{
	struct http_answer answer;
	int code = call_job(caller, "GET", job, "?wait=1", &answer);

	if (code)
		return code;
	code = caller_print_answer(&answer);
	json_decref(answer.json);
	return code;
}

/*
 * `radishjunction wait`: the answer of a job, when it has ended.
 */
int command_wait(int argc, char **argv)
{
	static const struct job_command command = { "wait", wait_for_job };

	return run_job_command(&command, argc, argv);
}

/*
 * Cancel the job and report what became of it: that it was cancelled is what
 * was asked for.
 */
static int cancel_job(const struct caller *caller, const char *job)
{
	struct http_answer answer;
	const char *reason;
	int code = call_job(caller, "DELETE", job, "", &answer);

	if (code)
		return code;
	code = caller_print_answer(&answer);
	reason = json_string_value(json_object_get(answer.json, "reason"));
	if (reason && !strcmp(reason, rj_reason_string[RJ_REASON_CANCELLED]))
		code = EXIT_DONE;
	json_decref(answer.json);
	return code;
}

/*
 * `radishjunction cancel`: end a job without (more) running of it.
 */
int command_cancel(int argc, char **argv)
{
	static const struct job_command command = { "cancel", cancel_job };

	return run_job_command(&command, argc, argv);
}

/*
 * Tell the decisions of one instance in words, each with its time after the
 * first; clocks of two instances cannot be compared.
 */
static void print_decisions(const struct rj_address *address,
			    const json_t *list)
{
	char address_text[RJ_ADDRESS_BYTES];
	json_int_t first_us = 0;
	json_t *entry;
	size_t i;

	rj_address_format(address_text, address);
	printf("at %s\n", address_text);
	json_array_foreach(list, i, entry)
	{
		json_int_t at_us =
			json_integer_value(json_object_get(entry, "t_us"));

		if (!i)
			first_us = at_us;
		printf("%+10.3f s  ", (double)(at_us - first_us) / 1e6);
		print_decision(stdout, entry);
	}
}

/*
 * Ask every instance what it decided about the job: a job that was handed on
 * has a part of its story at each.
 */
static int explain_job(const struct caller *caller, const char *job)
{
	uint32_t explained = 0;
	uint32_t answered = 0;

	for (uint32_t i = 0; i < caller->targets.count; i++) {
		struct caller single_target = *caller;
		struct http_answer answer;

		single_target.targets.instances = &caller->targets.instances[i];
		single_target.targets.count = 1;
		if (call_job(&single_target, "GET", job, "/explain", &answer))
			continue;
		answered++;
		if (json_array_size(answer.json)) {
			print_decisions(single_target.targets.instances,
					answer.json);
			explained++;
		}
		json_decref(answer.json);
	}
	if (!answered)
		return EXIT_UNREACHABLE;
	if (!explained)
		fprintf(stderr,
			"radishjunction explain: no instance that was asked "
			"remembers this job of this account; check the id, "
			"the token and --instances\n");
	return explained ? EXIT_DONE : EXIT_REFUSED;
}

/*
 * `radishjunction explain`: why a job is where it is.
 */
int command_explain(int argc, char **argv)
{
	static const struct job_command command = { "explain", explain_job };

	return run_job_command(&command, argc, argv);
}
