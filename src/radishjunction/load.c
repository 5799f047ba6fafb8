#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "caller.h"
#include "command.h"
#include "load_call.h"
#include "private/clock.h"

#define COUNT_DEFAULT 1000
#define RATE_DEFAULT 100
#define OPEN_DEFAULT 200
#define DEADLINE_S_DEFAULT 60
/* More kept connections to one instance than a client should have. */
#define HOST_CONNECTIONS_MAX 256

/* What became of one request, with its repeat. */
struct outcome {
	struct load_job job;
	struct load_ending endings[2]; /* of the first sending, of the repeat */
	uint32_t open; /* sendings without an ending */
};

struct load_run {
	struct load load; /* first member: endings come with its address */
	struct load_mix mix;
	struct outcome *outcomes;
	uint64_t seed;
	uint64_t began_us;
	uint32_t count;
	uint32_t rate; /* requests a second */
	uint32_t open_max;
	uint32_t started;
	uint32_t open;
	uint32_t ended;
	bool timer_set;
};

static void arrive(struct load_run *run);

static void arrival_due(struct tevent_context *ev, struct tevent_timer *timer,
			struct timeval now, void *private_data)
{
	struct load_run *run = private_data;

	talloc_free(timer);
	run->timer_set = false;
	arrive(run);
}

/*
 * Start every request whose time has come, as far as `open_max` lets, and
 * set a timer for the next.
 */
static void arrive(struct load_run *run)
{
	while (run->started < run->count && run->open < run->open_max) {
		struct outcome *outcome = &run->outcomes[run->started];
		uint64_t due_us =
			run->began_us + run->started * RJ_US_PER_S / run->rate;
		uint64_t now_us = rj_clock_now_us();

		if (due_us > now_us) {
			if (run->timer_set)
				return;
			run->timer_set = true;
			if (!tevent_add_timer(
				    run->load.ev, run->load.mem,
				    rj_clock_timeval_in(due_us - now_us),
				    arrival_due, run))
				abort();
			return;
		}
		load_job_draw(&outcome->job, run->load.mem, &run->mix,
			      run->seed, run->started, run->load.targets.count);
		run->started++;
		run->open++;
		outcome->open = outcome->job.repeated ? 2 : 1;
		load_call_start(&run->load, &outcome->job, false);
		if (outcome->job.repeated)
			load_call_start(&run->load, &outcome->job, true);
	}
}

/*
 * Keep how a sending ended; a request has ended with its last sending.
 */
static void call_ended(struct load *load, struct load_job *job, bool repeat,
		       const struct load_ending *ending)
{
	struct load_run *run = (struct load_run *)load;
	struct outcome *outcome = &run->outcomes[job->number];

	assert(outcome->open);
	outcome->endings[repeat] = *ending;
	if (--outcome->open)
		return;
	run->open--;
	run->ended++;
	arrive(run);
}

/*
 * Whether the two answers to one key cannot both be true: two jobs, or it
 * ran and it never will.
 */
static bool contradicts(const struct outcome *outcome)
{
	const struct load_ending *a = &outcome->endings[0];
	const struct load_ending *b = &outcome->endings[1];
	bool a_ran =
		a->answer == RJ_ANSWER_DONE || a->answer == RJ_ANSWER_FAILED;
	bool b_ran =
		b->answer == RJ_ANSWER_DONE || b->answer == RJ_ANSWER_FAILED;

	if (!outcome->job.repeated || !a->answered || !b->answered)
		return false;
	if (a_ran && b_ran)
		return strcmp(a->job, b->job) != 0 || a->answer != b->answer;
	return (a_ran && b->answer == RJ_ANSWER_NOT_RUN) ||
	       (b_ran && a->answer == RJ_ANSWER_NOT_RUN);
}

static int compare_u64(const void *first, const void *second)
{
	uint64_t a = *(const uint64_t *)first;
	uint64_t b = *(const uint64_t *)second;

	return a < b ? -1 : a > b;
}

/*
 * Completion times of the requests of one kind that are done, in ms.
 */
static json_t *kind_json(const struct load_run *run,
			 const struct load_kind *kind)
{
	uint64_t *took_us =
		talloc_array(run->load.mem, uint64_t, run->count + 1);
	uint32_t done = 0;
	json_t *json;

	assert(took_us);
	for (uint32_t i = 0; i < run->started; i++) {
		const struct outcome *outcome = &run->outcomes[i];

		if (outcome->job.kind == kind && outcome->endings[0].answered &&
		    outcome->endings[0].answer == RJ_ANSWER_DONE)
			took_us[done++] = outcome->endings[0].took_us;
	}
	qsort(took_us, done, sizeof(*took_us), compare_u64);
	json = json_pack("{s:i}", "done", (int)done);
	if (done) {
		uint64_t p50_us = took_us[done / 2];
		uint64_t p99_us = took_us[(uint64_t)done * 99 / 100];

		json_object_set_new(json, "p50_ms",
				    json_real((double)p50_us / 1e3));
		json_object_set_new(json, "p99_ms",
				    json_real((double)p99_us / 1e3));
	}
	talloc_free(took_us);
	return json;
}

/*
 * Print one JSON line that counts the requests, and return the exit code.
 * What workers ran is not known here: whoever has that counts doubled runs.
 */
static int report(const struct load_run *run)
{
	uint32_t answers[RJ_ANSWER_KIND_COUNT] = { 0 };
	uint32_t lost = 0;
	uint32_t wrong = 0;
	uint32_t tries = 0;
	json_t *kinds = json_object();
	json_t *json;

	for (uint32_t i = 0; i < run->started; i++) {
		const struct outcome *outcome = &run->outcomes[i];
		uint32_t sendings = outcome->job.repeated ? 2 : 1;
		bool is_wrong = contradicts(outcome);
		bool is_lost = false;

		for (uint32_t j = 0; j < sendings; j++) {
			is_wrong = is_wrong || outcome->endings[j].wrong;
			is_lost = is_lost || !outcome->endings[j].answered;
			tries += outcome->endings[j].tries;
		}
		wrong += is_wrong;
		lost += is_lost;
		if (!is_lost)
			answers[outcome->endings[0].answer]++;
	}
	for (uint32_t i = 0; i < run->mix.kind_count; i++)
		json_object_set_new(kinds, run->mix.kinds[i].name,
				    kind_json(run, &run->mix.kinds[i]));
	json = json_pack(
		"{s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:f,s:o}", "submitted",
		(int)run->started, "done", (int)answers[RJ_ANSWER_DONE],
		"failed", (int)answers[RJ_ANSWER_FAILED], "not_run",
		(int)answers[RJ_ANSWER_NOT_RUN], "unknown",
		(int)answers[RJ_ANSWER_UNKNOWN], "lost", (int)lost,
		"wrong_answer", (int)wrong, "tries", (int)tries, "seconds",
		(double)(rj_clock_now_us() - run->began_us) / 1e6, "kinds",
		kinds);
	json_dumpf(json, stdout, JSON_COMPACT | JSON_REAL_PRECISION(6));
	printf("\n");
	json_decref(json);
	return lost || wrong ? EXIT_REFUSED : EXIT_DONE;
}

struct load_options {
	struct arg_file *mix;
	struct targets_options targets;
	struct arg_file *tokens;
	struct arg_file *records;
	struct arg_int *seed;
	struct arg_int *count;
	struct arg_int *rate;
	struct arg_int *open_max;
	struct arg_int *deadline_s;
};

/*
 * A number of an option within bounds. Returns 0, or -1 with `err` set.
 */
static int take_number(uint32_t *out, const struct arg_int *option,
		       uint32_t fallback, int min, const char *name,
		       struct rj_error *err)
{
	*out = fallback;
	if (!option->count)
		return 0;
	if (option->ival[0] < min)
		return rj_error_set(err, RJ_ERR_INVALID,
				    "--%s: %d is below %d; raise it", name,
				    option->ival[0], min);
	*out = (uint32_t)option->ival[0];
	return 0;
}

/*
 * Read the mix and find the token of each kind.
 */
static int load_files(struct load_run *run, const struct load_options *options,
		      struct rj_error *err)
{
	struct rj_error_list errors;
	char *text = file_read(run->load.mem, option_file(options->mix), err);

	if (!text)
		return -1;
	rj_error_list_init(&errors, run->load.mem);
	if (load_mix_parse(&run->mix, run->load.mem, text, &errors)) {
		*err = errors.errors[0];
		return -1;
	}
	run->load.mix = &run->mix;
	run->load.tokens = talloc_zero_array(run->load.mem, const char *,
					     run->mix.kind_count);
	assert(run->load.tokens);
	for (uint32_t i = 0; i < run->mix.kind_count; i++) {
		run->load.tokens[i] =
			token_find(run->load.mem, option_file(options->tokens),
				   run->mix.kinds[i].account, err);
		if (!run->load.tokens[i])
			return -1;
	}
	return 0;
}

static int prepare(struct load_run *run, const struct load_options *options,
		   struct rj_error *err)
{
	const char *records = option_file(options->records);
	uint32_t deadline_s;
	uint32_t seed;

	if (take_number(&seed, options->seed, 1, 0, "seed", err) ||
	    take_number(&run->count, options->count, COUNT_DEFAULT, 1, "count",
			err) ||
	    take_number(&run->rate, options->rate, RATE_DEFAULT, 1, "rate",
			err) ||
	    take_number(&run->open_max, options->open_max, OPEN_DEFAULT, 1,
			"open", err) ||
	    take_number(&deadline_s, options->deadline_s, DEADLINE_S_DEFAULT, 1,
			"deadline", err) ||
	    targets_load(&run->load.targets, run->load.mem, &options->targets,
			 err) ||
	    load_files(run, options, err))
		return -1;
	run->seed = seed;
	run->load.random = seed;
	run->outcomes =
		talloc_zero_array(run->load.mem, struct outcome, run->count);
	assert(run->outcomes);
	if (records) {
		run->load.records = fopen(records, "w");
		if (!run->load.records)
			return rj_error_set(err, RJ_ERR_IO,
					    "%s: cannot be written; name "
					    "another file",
					    records);
	}
	run->load.call_ended = call_ended;
	run->began_us = rj_clock_now_us();
	run->load.deadline_us = run->began_us + deadline_s * RJ_US_PER_S;
	return rj_http_client_init(&run->load.client, run->load.mem,
				   run->load.ev, NULL, HOST_CONNECTIONS_MAX,
				   err);
}

static int load(const struct load_options *options)
{
	struct load_run run = { 0 };
	struct rj_error err;
	int code = EXIT_REFUSED;

	run.load.mem = talloc_new(NULL);
	assert(run.load.mem);
	run.load.ev = tevent_context_init(run.load.mem);
	assert(run.load.ev);
	if (prepare(&run, options, &err)) {
		code = print_error("load", &err);
		goto out;
	}
	arrive(&run);
	while (run.ended < run.count)
		if (tevent_loop_once(run.load.ev))
			break;
	code = report(&run);
	rj_http_client_finish(&run.load.client);
out:
	if (run.load.records)
		fclose(run.load.records);
	talloc_free(run.load.mem);
	return code;
}

/*
 * `radishjunction load`: a mixed load, the same for the same seed, from a
 * truthful client.
 */
int command_load(int argc, char **argv)
{
	struct load_options own;
	struct options options;
	struct options_result result;

	own.mix = arg_file1(NULL, NULL, "MIX", "what the load consists of");
	targets_options(&own.targets);
	own.tokens = arg_file1(NULL, "tokens", "FILE",
			       "tokens that `generate --tokens` wrote");
	own.records =
		arg_file0("o", "output", "FILE", "a JSON line for each answer");
	own.seed = arg_int0(NULL, "seed", "N", "of the load (1)");
	own.count = arg_int0(NULL, "count", "N", "requests (1000)");
	own.rate = arg_int0(NULL, "rate", "N", "requests a second (100)");
	own.open_max =
		arg_int0(NULL, "open", "N", "open at once at most (200)");
	own.deadline_s = arg_int0(NULL, "deadline", "S",
				  "from the start to the last answer (60)");
	options_init(&options);
	void *table[] = { own.mix,
			  own.targets.instances,
			  own.targets.answers,
			  own.tokens,
			  own.records,
			  own.seed,
			  own.count,
			  own.rate,
			  own.open_max,
			  own.deadline_s,
			  options.help,
			  options.version,
			  options.end };
	result = options_parse(&options, command_find("load"), argc, argv,
			       table);
	if (result.go_on)
		result.exit_code = load(&own);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return result.exit_code;
}
