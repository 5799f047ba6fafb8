/*
 * The subcommands for one job: wait, cancel and explain.
 */
#include <assert.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "caller.h"
#include "command.h"
#include "descriptions.h"
#include "radishjunction/settings.h"

/* A subcommand for one job. */
struct job_command {
	const char *name;
	/* Prints the result or the error and returns an exit code. */
	int (*run)(const struct caller *caller, const char *job);
};

/*
 * Sends one request about the job; `path_suffix` follows the id in the path.
 * Returns 0 with `answer`, whose `json` the caller releases, or an exit code
 * after printing the error.
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
 * Parses the arguments of a subcommand for one job and runs it. Returns an exit
 * code.
 */
static int run_job_command(const struct job_command *command, int argc,
			   char **argv)
{
	struct arg_str *job = arg_str1(NULL, NULL, "JOB",
				       "id of the job, as given in its answer");
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
 * Waits until the job is complete and prints its answer. Returns an exit code.
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
 * `radishjunction wait`: prints the answer of a job once it is complete.
 */
int command_wait(int argc, char **argv)
{
	static const struct job_command command = { "wait", wait_for_job };

	return run_job_command(&command, argc, argv);
}

/*
 * Cancels the job and prints its answer. Returns an exit code, EXIT_DONE if the
 * job was cancelled.
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
 * `radishjunction cancel`: cancels a job, which is stopped if it runs.
 */
int command_cancel(int argc, char **argv)
{
	static const struct job_command command = { "cancel", cancel_job };

	return run_job_command(&command, argc, argv);
}

/*
 * Prints the decisions of one instance, each with its time since the first one
 * of this instance, as the clocks of two instances cannot be compared.
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
 * Prints what every instance decided about the job, as each instance that
 * forwarded or served it knows only its own decisions. Returns an exit code.
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
 * `radishjunction explain`: prints every decision about a job.
 */
int command_explain(int argc, char **argv)
{
	static const struct job_command command = { "explain", explain_job };

	return run_job_command(&command, argc, argv);
}
