#include <assert.h>
#include <stdio.h>
#include <talloc.h>
#include <unistd.h>

#include "answers.h"
#include "command.h"
#include "prompt.h"

#define COUNT(questions) (sizeof(questions) / sizeof((questions)[0]))

static const struct question team_questions[] = {
	{ "team", "Name of the team", "my-team" },
};

static const struct question domain_questions[] = {
	{ "name", "Name of the failure domain", NULL },
	{ "region", "Region that it lies in", "home" },
	{ "racks", "Racks", "2" },
	{ "workers_per_rack", "Workers in each rack", "8" },
};

static const struct question worker_questions[] = {
	{ "slots", "Slots of each worker", "8" },
	{ "accelerators", "Accelerators of each worker", "8" },
	{ "cores", "Processor cores of each worker", "64" },
	{ "memory_mb", "Memory of each worker, in MB", "131072" },
};

static const struct question account_questions[] = {
	{ "name", "Name of the client account", NULL },
	{ "share", "Its weight where capacity is shared", "1" },
	{ "open_max", "Its open jobs at one instance, at most", "1000" },
};

static const struct question guarantee_questions[] = {
	{ "domain", "Failure domain of the guarantee", NULL },
	{ "count", "How many such shapes at once", "1" },
	{ "tasks", "Tasks that run together in one shape", "1" },
	{ "accelerators", "Accelerators of each task", "1" },
	{ "slots", "Slots of each task", "1" },
	{ "cores", "Processor cores of each task", "1" },
	{ "memory_mb", "Memory of each task, in MB", "1024" },
	{ "adjacent", "Must all its tasks be in one rack (yes, no)", "no" },
};

static const struct question kind_questions[] = {
	{ "name", "Name of the job kind", NULL },
	{ "priority", "Priority (urgent, normal, bulk)", "normal" },
	{ "idempotent", "May it run twice without harm (yes, no)", "yes" },
	{ "checkpoint", "Can it be saved and resumed (yes, no)", "no" },
	{ "expected_ms", "Expected run time, in ms", "1000" },
	{ "open_max", "Open jobs of it at one instance, at most", "1000" },
};

static const struct question limits_questions[] = {
	{ "fragmentation_weight",
	  "Completion time (0) against fragmentation (100)", "30" },
	{ "checkpoint_limit_ms", "Time to save work that gives way, in ms",
	  "5000" },
	{ "key_life_s", "How long a repeated request is recognised, in s",
	  "86400" },
	{ "retry_percent", "Retries, in percent of successes", "10" },
};

static const struct question platform_questions[] = {
	{ "platform_address", "Address of the platform", "127.0.0.1:7100" },
	{ "retention_s", "How long its log keeps a record, in s", "604800" },
};

static const struct question instance_questions[] = {
	{ "name", "Name of the instance", NULL },
	{ "domain", "Its failure domain", NULL },
	{ "caller_address", "Its address for callers", NULL },
	{ "peer_address", "Its address for other instances", NULL },
};

/*
 * Asks for the resources of each worker of the failure domain.
 */
static int ask_worker(struct prompter *prompter, void *element, bool prefilled)
{
	struct rj_domain *domain = element;

	return prompt_struct(prompter, &rj_resources_schema, worker_questions,
			     COUNT(worker_questions), &domain->worker,
			     prefilled);
}

/*
 * Asks for the guarantees of the client account.
 */
static int ask_guarantees(struct prompter *prompter, void *element,
			  bool prefilled)
{
	static const struct question_list list = {
		.text = "guarantees",
		.element = "Guarantee",
		.schema = &rj_guarantee_schema,
		.questions = guarantee_questions,
		.question_count = COUNT(guarantee_questions),
		.max = 64,
	};
	struct rj_account *account = element;

	return prompt_list(prompter, &list, (void *)&account->guarantees,
			   &account->guarantee_count);
}

/*
 * Runs the whole questionnaire. Returns 0, or -1 if the input ended early.
 */
static int ask_all(struct prompter *prompter, struct answers *answers,
		   bool prefilled)
{
	static const struct question_list domains = {
		.text = "failure domains",
		.element = "Failure domain",
		.schema = &rj_domain_schema,
		.questions = domain_questions,
		.question_count = COUNT(domain_questions),
		.min = 1,
		.max = 64,
		.default_count = 1,
		.ask_more = ask_worker,
	};
	static const struct question_list accounts = {
		.text = "client accounts",
		.element = "Client account",
		.schema = &answer_account_schema,
		.questions = account_questions,
		.question_count = COUNT(account_questions),
		.min = 1,
		.max = 1024,
		.default_count = 1,
		.ask_more = ask_guarantees,
	};
	static const struct question_list kinds = {
		.text = "job kinds",
		.element = "Job kind",
		.schema = &rj_job_class_schema,
		.questions = kind_questions,
		.question_count = COUNT(kind_questions),
		.min = 1,
		.max = 256,
		.default_count = 1,
	};
	static const struct question_list instances = {
		.text = "entry instances",
		.element = "Entry instance",
		.schema = &answer_instance_schema,
		.questions = instance_questions,
		.question_count = COUNT(instance_questions),
		.max = 1024,
	};

	if (prompt_struct(prompter, &answers_schema, team_questions,
			  COUNT(team_questions), answers, prefilled) ||
	    prompt_list(prompter, &domains, (void *)&answers->domains,
			&answers->domain_count) ||
	    prompt_list(prompter, &accounts, (void *)&answers->accounts,
			&answers->account_count) ||
	    prompt_list(prompter, &kinds, (void *)&answers->job_kinds,
			&answers->job_kind_count))
		return -1;
	if (prompt_struct(prompter, &rj_limits_schema, limits_questions,
			  COUNT(limits_questions), &answers->limits,
			  prefilled) ||
	    prompt_struct(prompter, &answers_schema, platform_questions,
			  COUNT(platform_questions), answers, prefilled))
		return -1;
	return prompt_list(prompter, &instances, (void *)&answers->instances,
			   &answers->instance_count);
}

/*
 * Loads the earlier answers from `path`, or the schema defaults if it is NULL.
 * Returns 0, or -1 with the errors printed.
 */
static int load_earlier(void *mem, const char *path, struct answers *answers)
{
	struct rj_error_list errors;
	struct rj_error err;
	char *text;

	rj_schema_defaults(&answers_schema, answers);
	if (!path)
		return 0;
	text = file_read(mem, path, &err);
	if (!text) {
		print_error("ask", &err);
		return -1;
	}
	rj_error_list_init(&errors, mem);
	if (!answers_parse(answers, mem, text, &errors))
		return 0;
	print_errors(path, &errors);
	return -1;
}

/*
 * Runs the questionnaire, writes the answers and prints their errors. Answers
 * with errors are written too, as the start for the next run. Returns an exit
 * code.
 */
static int run_questionnaire(struct prompter *prompter, const char *earlier,
			     const char *output)
{
	struct rj_error_list errors;
	struct answers answers;
	struct rj_error err;
	bool has_errors = false;

	if (load_earlier(prompter->mem, earlier, &answers))
		return EXIT_REFUSED;
	if (ask_all(prompter, &answers, earlier != NULL)) {
		fprintf(stderr,
			"radishjunction ask: the answers ended early; give "
			"the rest, or --defaults to take the defaults\n");
		return EXIT_REFUSED;
	}
	if (file_write(output, answers_encode(prompter->mem, &answers), false,
		       &err))
		return print_error("ask", &err);
	rj_error_list_init(&errors, prompter->mem);
	answers_check(&answers, &errors);
	fprintf(stderr, "\n");
	print_errors("answers", &errors);
	for (uint32_t i = 0; i < errors.count; i++)
		has_errors = has_errors || errors.errors[i].kind != RJ_ERR_NONE;
	if (!output)
		output = "FILE";
	if (has_errors)
		fprintf(stderr,
			"Correct them with `radishjunction ask --answers %s "
			"--output %s`.\n",
			output, output);
	else
		fprintf(stderr,
			"Next: `radishjunction generate %s --output "
			"config.json --tokens tokens.json`.\n",
			output);
	return has_errors ? EXIT_REFUSED : EXIT_DONE;
}

/*
 * `radishjunction ask`: runs the questionnaire on standard input and standard
 * error.
 */
int command_ask(int argc, char **argv)
{
	struct arg_file *earlier = arg_file0(NULL, "answers", "FILE",
					     "earlier answers to start from");
	struct arg_file *output = arg_file0("o", "output", "FILE",
					    "where to write the answers "
					    "(standard output)");
	struct arg_lit *defaults = arg_lit0(
		NULL, "defaults", "take the defaults when the input ends");
	struct options options;
	struct options_result result;
	struct prompter prompter = { .in = stdin, .out = stderr };
	int code;

	options_init(&options);
	void *table[] = { earlier,	output,		 defaults,
			  options.help, options.version, options.end };
	result =
		options_parse(&options, command_find("ask"), argc, argv, table);
	code = result.exit_code;
	if (result.proceed) {
		prompter.mem = talloc_new(NULL);
		assert(prompter.mem);
		prompter.defaults_at_end = defaults->count > 0;
		prompter.echo = !isatty(STDIN_FILENO);
		code = run_questionnaire(&prompter, option_file(earlier),
					 output->count ? option_file(output) :
							 "-");
		talloc_free(prompter.mem);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
