#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "caller.h"
#include "command.h"

struct submit_options {
	struct caller_options caller;
	struct arg_file *body;
	struct arg_str *class_name;
	struct arg_int *tasks;
	struct arg_int *accelerators;
	struct arg_int *cores;
	struct arg_int *memory_mb;
	struct arg_lit *adjacent;
	struct arg_int *declared_ms;
	struct arg_int *deadline_ms;
	struct arg_str *key;
	struct arg_lit *no_wait;
};

/*
 * Creates the options; `command_submit` adds all of them to its argtable.
 */
static void make_options(struct submit_options *options)
{
	caller_options(&options->caller);
	options->body = arg_file0(NULL, NULL, "BODY",
				  "JSON file, or - for standard input");
	options->class_name = arg_str1("c", "class", "NAME", "job class");
	options->tasks = arg_int0(NULL, "tasks", "N",
				  "tasks that run only together (1)");
	options->accelerators =
		arg_int0(NULL, "accelerators", "N", "of each task (0)");
	options->cores = arg_int0(NULL, "cores", "N", "of each task (1)");
	options->memory_mb = arg_int0(NULL, "memory-mb", "N", "of each task");
	options->adjacent = arg_lit0(NULL, "adjacent", "all tasks in one rack");
	options->declared_ms =
		arg_int0(NULL, "declared-ms", "MS", "expected run time");
	options->deadline_ms = arg_int0(NULL, "deadline-ms", "MS",
					"time within which it must complete");
	options->key = arg_str0("k", "key", "KEY",
				"idempotency key: the same for every attempt");
	options->no_wait =
		arg_lit0(NULL, "no-wait", "exit once the job is accepted");
}

/*
 * Sets a field from an option if it was given.
 */
static void set_number(json_t *json, const char *name,
		       const struct arg_int *option)
{
	if (option->count)
		json_object_set_new(json, name, json_integer(option->ival[0]));
}

/*
 * Returns the submission as JSON text, a talloc child of `mem`, or NULL with
 * `err` set. Options that were not given are left out, so that the instance
 * applies its defaults and reports missing fields.
 */
static char *make_submission(void *mem, const struct submit_options *options,
			     struct rj_error *err)
{
	const char *path = option_file(options->body);
	json_t *json = json_object();
	json_error_t json_error;
	json_t *body;
	char *dumped;
	char *text;

	json_object_set_new(
		json, "class",
		json_string(option_string(options->class_name, "")));
	set_number(json, "tasks", options->tasks);
	set_number(json, "accelerators", options->accelerators);
	set_number(json, "cores", options->cores);
	set_number(json, "memory_mb", options->memory_mb);
	set_number(json, "declared_ms", options->declared_ms);
	set_number(json, "deadline_ms", options->deadline_ms);
	if (options->adjacent->count)
		json_object_set_new(json, "adjacent", json_true());
	if (options->no_wait->count)
		json_object_set_new(json, "wait", json_false());
	if (path) {
		text = file_read(mem, path, err);
		body = text ? json_loads(text, JSON_DECODE_ANY, &json_error) :
			      NULL;
		if (text && !body)
			rj_error_set(err, RJ_ERR_INVALID,
				     "%s: line %d: %s; give JSON", path,
				     json_error.line, json_error.text);
		if (!body) {
			json_decref(json);
			return NULL;
		}
		json_object_set_new(json, "body", body);
	}
	dumped = json_dumps(json, JSON_COMPACT);
	assert(dumped);
	text = talloc_strdup(mem, dumped);
	free(dumped);
	json_decref(json);
	return text;
}

/*
 * Submits the job and prints its answer. Returns an exit code.
 */
static int submit(const struct submit_options *options)
{
	void *mem = talloc_new(NULL);
	struct http_call call = { .method = "POST", .path = "/v1/jobs" };
	struct http_answer answer;
	struct caller caller;
	struct rj_error err;
	int code;

	assert(mem);
	call.key = option_string(options->key, NULL);
	call.body = make_submission(mem, options, &err);
	if (!call.body || caller_load(&caller, mem, &options->caller, &err)) {
		print_error("submit", &err);
		talloc_free(mem);
		return EXIT_USAGE;
	}
	code = caller_call(&caller, &call, &answer);
	if (!code) {
		code = caller_print_answer(&answer);
		json_decref(answer.json);
	}
	if (code == EXIT_PENDING && options->no_wait->count)
		code = EXIT_DONE;
	talloc_free(mem);
	return code;
}

/*
 * `radishjunction submit`: submits one job and prints its answer.
 */
int command_submit(int argc, char **argv)
{
	struct submit_options submit_opts;
	struct options options;
	struct options_result result;

	make_options(&submit_opts);
	options_init(&options);
	void *table[] = { submit_opts.body,
			  submit_opts.class_name,
			  submit_opts.tasks,
			  submit_opts.accelerators,
			  submit_opts.cores,
			  submit_opts.memory_mb,
			  submit_opts.adjacent,
			  submit_opts.declared_ms,
			  submit_opts.deadline_ms,
			  submit_opts.key,
			  submit_opts.no_wait,
			  submit_opts.caller.targets.instances,
			  submit_opts.caller.targets.answers,
			  submit_opts.caller.tokens,
			  submit_opts.caller.account,
			  submit_opts.caller.timeout_s,
			  options.help,
			  options.version,
			  options.end };
	result = options_parse(&options, command_find("submit"), argc, argv,
			       table);
	if (result.proceed)
		result.exit_code = submit(&submit_opts);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return result.exit_code;
}
