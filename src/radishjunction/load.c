#include "load.h"

#include <assert.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "answers.h"
#include "command.h"
#include "private/clock.h"
#include "private/caller_json.h"
#include "radishjunction/settings.h"

/* Interval at which due jobs are sent. */
#define SEND_INTERVAL_US (5 * RJ_US_PER_MS)
#define ANSWER_MAX_BYTES (512 * 1024)
/* Delay of a retry after a lost answer or one without `retry_after_ms`. */
#define DEFAULT_RETRY_DELAY_US (200 * RJ_US_PER_MS)
/* Connections to one instance, as held by many callers behind a balancer. */
#define CONNECTIONS_MAX 256
#define TARGETS_MAX 64
#define HEADER_BYTES 128

/* One caller's request for a job, until its final answer. */
struct request {
	struct load *load;
	struct load_job *job;
	bool posted; /* not used */
	uint64_t job_id; /* 0 until an answer gives it */
	bool accepted;
	bool in_doubt; /* the answer to a submission without a key was lost */
};

static void request_send(struct request *request);

/*
 * Records the final answer of a request and frees it. `answer` is
 * RJ_ANSWER_UNKNOWN for a request that is abandoned.
 */
static void request_finish(struct request *request, enum rj_answer_kind answer,
			   enum rj_reason reason)
{
	struct load_job *job = request->job;

	job->open_requests--;
	request->load->open_requests--;
	if (!job->answered || job->answer == RJ_ANSWER_UNKNOWN) {
		job->answered_us =
			rj_clock_now_us() - request->load->started_us;
		job->answer = answer;
		job->reason = reason;
	} else if (answer != RJ_ANSWER_UNKNOWN && answer != job->answer) {
		fprintf(stderr,
			"load: job %s was answered %s (%s), then %s (%s)\n",
			job->echo, rj_answer_kind_string[job->answer],
			rj_reason_string[job->reason],
			rj_answer_kind_string[answer],
			rj_reason_string[reason]);
		job->inconsistent = true;
	}
	job->answered = true;
	talloc_free(request);
}

/* Whether the time limit of the run has passed, so that requests stop. */
static bool is_past_limit(const struct load *load)
{
	return rj_clock_now_us() >
	       load->started_us + load->plan->limit_s * RJ_US_PER_S;
}

/* Timer callback: sends the request again. */
static void on_again(struct tevent_context *loop, struct tevent_timer *timer,
		     struct timeval now, void *private_data)
{
	request_send(private_data);
}

/*
 * Schedules the request to be sent to the next instance after `delay_us`, or
 * abandons it if the time limit of the run has passed.
 */
static void request_retry(struct request *request, uint64_t delay_us,
			  enum rj_reason reason)
{
	struct tevent_timer *timer;

	if (is_past_limit(request->load)) {
		request_finish(request, RJ_ANSWER_UNKNOWN, reason);
		return;
	}
	timer = tevent_add_timer(request->load->loop, request,
				 rj_clock_timeval_in(delay_us), on_again,
				 request);
	assert(timer);
	(void)timer;
}

/* Returns the enum value of a string field in an answer, or `count`. */
static uint32_t enum_value(const json_t *json, const char *field,
			   const char *const *strings, uint32_t count)
{
	const char *text = json_string_value(json_object_get(json, field));

	for (uint32_t i = 0; text && i < count; i++)
		if (strcmp(strings[i], text) == 0)
			return i;
	return count;
}

/* Whether the answer contains the result of this job, as its `echo` shows. */
static bool is_own_result(const struct request *request, const json_t *json)
{
	const json_t *result = json_object_get(json, "result");
	const char *echo = json_string_value(json_object_get(result, "echo"));

	return echo && strcmp(echo, request->job->echo) == 0;
}

/*
 * Records the job id of an answer, if any. Returns false if it is malformed or
 * differs from that of an earlier answer.
 */
static bool record_job_id(struct request *request, const json_t *json)
{
	uint64_t job_id;
	const char *text = json_string_value(json_object_get(json, "job"));

	if (!text)
		return true;
	if (rj_caller_parse_job_id(&job_id, text))
		return false;
	if (request->job_id && request->job_id != job_id)
		return false;
	request->job_id = job_id;
	request->job->job_id = job_id;
	return true;
}

/* Returns the delay before a retry, from `retry_after_ms` or the default. */
static uint64_t retry_delay_us(const json_t *json)
{
	const json_t *retry = json_object_get(json, "retry_after_ms");

	return json_is_integer(retry) ?
		       (uint64_t)json_integer_value(retry) * RJ_US_PER_MS :
		       DEFAULT_RETRY_DELAY_US;
}

/* Processes an answer: completes the request or schedules a retry. */
static void handle_answer(struct request *request, const json_t *json)
{
	uint32_t answer = enum_value(json, "answer", rj_answer_kind_string,
				     RJ_ANSWER_KIND_COUNT);
	uint32_t reason =
		enum_value(json, "reason", rj_reason_string, RJ_REASON_COUNT);

	if (reason == RJ_REASON_COUNT || !record_job_id(request, json))
		request->job->inconsistent = true;
	switch (answer) {
	case RJ_ANSWER_DONE:
		if (!is_own_result(request, json))
			request->job->inconsistent = true;
		request_finish(request, answer, reason);
		return;
	case RJ_ANSWER_FAILED:
		request_finish(request, answer, reason);
		return;
	case RJ_ANSWER_NOT_RUN:
		/* The answer is about this submission only: an earlier one,
		 * whose answer was lost, may have run. */
		request_finish(request,
			       request->in_doubt ? RJ_ANSWER_UNKNOWN : answer,
			       reason);
		return;
	case RJ_ANSWER_ACCEPTED:
		request->accepted = true;
		request->job->accepted = true;
		request_retry(request, 0, reason);
		return;
	case RJ_ANSWER_UNKNOWN:
		/*
		 * An accepted job may be unknown to an instance that has not
		 * read its record yet.
		 */
		if (request->job->kind->keyed || request->accepted ||
		    (request->job_id && reason != RJ_REASON_NO_SUCH_JOB))
			request_retry(request, retry_delay_us(json), reason);
		else
			request_finish(request, answer, reason);
		return;
	default:
		request->job->inconsistent = true;
		request_finish(request, RJ_ANSWER_UNKNOWN, RJ_REASON_NONE);
	}
}

/* HTTP callback: an answer arrived, or the request failed. */
static void on_answer(void *private_data, const struct rj_http_result *result)
{
	struct request *request = *(struct request **)private_data;
	json_t *json = NULL;

	if (result->outcome == RJ_HTTP_ANSWERED)
		json = json_loadb(result->body, result->length, 0, NULL);
	if (result->outcome == RJ_HTTP_LOST && !request->job->kind->keyed &&
	    !request->job_id)
		request->in_doubt = true;
	if (json)
		handle_answer(request, json);
	else
		request_retry(request, DEFAULT_RETRY_DELAY_US, RJ_REASON_NONE);
	json_decref(json);
}

/*
 * Submits the job to the next instance, or requests its answer by its id. A job
 * with a key is always submitted again, which the key makes safe.
 */
static void request_send(struct request *request)
{
	struct load *load = request->load;
	const struct load_kind *kind = request->job->kind;
	const struct rj_address *target =
		&load->plan->targets[load->next_target++ %
				     load->plan->target_count];
	char token[HEADER_BYTES];
	char key[HEADER_BYTES];
	const char *headers[] = { token, key };
	bool post = !request->accepted && (kind->keyed || !request->job_id);
	struct request **slot = talloc(load, struct request *);
	char *url;
	struct rj_http_request send = {
		.method = post ? "POST" : "GET",
		.body = post ? request->job->submission : "",
		.length = post ? strlen(request->job->submission) : 0,
		.timeout_us = load->plan->answer_limit_s * RJ_US_PER_S,
		.response_max_bytes = ANSWER_MAX_BYTES,
		.headers = headers,
		.header_count = post && kind->keyed ? 2 : 1,
		.done = on_answer,
		.private_data = slot,
	};

	assert(slot);
	*slot = request;
	snprintf(token, sizeof(token), "Authorization: Bearer %s", kind->token);
	snprintf(key, sizeof(key), "Idempotency-Key: %s", request->job->key);
	if (post)
		url = talloc_asprintf(slot, "http://%s:%u/v1/jobs", target->ip,
				      target->port);
	else
		url = talloc_asprintf(
			slot, "http://%s:%u/v1/jobs/%016llx?wait=1", target->ip,
			target->port, (unsigned long long)request->job_id);
	send.url = url;
	rj_http_client_send(&load->client, &send);
}

/* Starts a request for the job, as one more caller. */
static void request_start(struct load *load, struct load_job *job)
{
	struct request *request = talloc_zero(load, struct request);

	assert(request);
	request->load = load;
	request->job = job;
	job->open_requests++;
	load->open_requests++;
	request_send(request);
}

/* Timer callback: sends the jobs that are due at the plan's rate. */
static void on_tick(struct tevent_context *loop, struct tevent_timer *timer,
		    struct timeval now, void *private_data)
{
	struct load *load = private_data;
	uint64_t due = (rj_clock_now_us() - load->started_us) *
		       load->plan->rate / RJ_US_PER_S;

	while (load->sent < load->job_count && load->sent < due) {
		uint32_t index = load->send_order[load->sent++];
		struct load_job *job = &load->jobs[index];
		uint32_t every = job->kind->repeat_every;

		request_start(load, job);
		if (every && index % every == 0)
			request_start(load, job);
	}
	if (load->sent < load->job_count)
		tevent_add_timer(loop, load,
				 rj_clock_timeval_in(SEND_INTERVAL_US), on_tick,
				 load);
}

/* Fills a job with its submission and the digest of the body. */
static void fill_job(struct load *load, struct load_job *job,
		     const struct load_kind *kind, uint32_t index)
{
	json_t *body;
	json_t *json;
	char *body_text;
	struct rj_bytes part;

	job->kind = kind;
	snprintf(job->echo, sizeof(job->echo), "%u-%u-%llx", load->plan->seed,
		 index, (unsigned long long)load->random_state);
	snprintf(job->key, sizeof(job->key), "load-%s", job->echo);
	body = json_pack("{s:i, s:s}", "run_ms", (int)kind->run_ms, "echo",
			 job->echo);
	body_text = json_dumps(body, JSON_COMPACT | JSON_SORT_KEYS);
	part.data = (const uint8_t *)body_text;
	part.length = (uint32_t)strlen(body_text);
	rj_digest(job->digest, &part, 1);
	json = json_pack("{s:s, s:i, s:i, s:i, s:i, s:b, s:i, s:b, s:o}",
			 "class", kind->class_name, "tasks", (int)kind->tasks,
			 "accelerators", (int)kind->accelerators, "cores",
			 (int)kind->cores, "memory_mb", (int)kind->memory_mb,
			 "adjacent", kind->adjacent, "declared_ms",
			 (int)kind->run_ms, "wait", kind->wait, "body", body);
	assert(json);
	job->submission = json_text(load, json);
	free(body_text);
}

/* Creates all jobs and shuffles their order by the seed. */
static void make_jobs(struct load *load)
{
	const struct load_plan *plan = load->plan;
	uint32_t index = 0;

	for (uint32_t i = 0; i < plan->kind_count; i++)
		load->job_count += plan->kinds[i].count;
	load->jobs = talloc_zero_array(load, struct load_job, load->job_count);
	load->send_order = talloc_array(load, uint32_t, load->job_count);
	assert(load->jobs && load->send_order);
	for (uint32_t i = 0; i < plan->kind_count; i++)
		for (uint32_t j = 0; j < plan->kinds[i].count; j++, index++)
			fill_job(load, &load->jobs[index], &plan->kinds[i],
				 index);
	for (uint32_t i = 0; i < load->job_count; i++) {
		uint32_t other =
			(uint32_t)(rj_random64(&load->random_state) % (i + 1));

		load->send_order[i] = load->send_order[other];
		load->send_order[other] = i;
	}
}

/*
 * Sends all jobs of the plan and waits until each request has its final answer
 * or was abandoned after the plan's time limit. `load` is a zeroed talloc
 * context.
 */
void load_run(struct load *load, void *mem, const struct load_plan *plan)
{
	load->loop = tevent_context_init(mem);
	load->plan = plan;
	load->random_state = plan->seed;
	make_jobs(load);
	if (rj_http_client_init(&load->client, load, load->loop, NULL,
				CONNECTIONS_MAX, NULL))
		assert(!"the HTTP client failed to start");
	load->started_us = rj_clock_now_us();
	tevent_add_timer(load->loop, load, rj_clock_timeval_in(0), on_tick,
			 load);
	while (load->sent < load->job_count || load->open_requests)
		tevent_loop_once(load->loop);
}

/* Prints the totals as one line of JSON. */
static void print_totals(const struct load *load)
{
	const struct load_totals *totals = &load->totals;

	printf("{\"submitted\":%u,\"done\":%u,\"failed\":%u,\"not_run\":%u,"
	       "\"unknown\":%u,\"lost\":%u,\"doubled\":%u,"
	       "\"wrong_answer\":%u}\n",
	       load->job_count, totals->answers[RJ_ANSWER_DONE],
	       totals->answers[RJ_ANSWER_FAILED],
	       totals->answers[RJ_ANSWER_NOT_RUN],
	       totals->answers[RJ_ANSWER_UNKNOWN], totals->lost,
	       totals->duplicated, totals->wrong_answer);
	fflush(stdout);
}

/* Parses the addresses of the options; adds an error for each invalid one. */
static void parse_addresses(struct load_plan *plan, void *mem,
			    const struct arg_str *targets, const char *platform,
			    struct rj_error_list *errors)
{
	plan->target_count = (uint32_t)targets->count;
	plan->targets =
		talloc_zero_array(mem, struct rj_address, plan->target_count);
	assert(plan->targets);
	for (uint32_t i = 0; i < plan->target_count; i++)
		if (rj_address_parse(&plan->targets[i], targets->sval[i]))
			rj_error_list_add(errors, RJ_ERR_INVALID,
					  "--target: \"%s\"; give IP:PORT",
					  targets->sval[i]);
	if (rj_address_parse(&plan->platform, platform))
		rj_error_list_add(errors, RJ_ERR_INVALID,
				  "--platform: \"%s\"; give IP:PORT", platform);
}

/* Reads the files and addresses. Returns 0, or -1 with all errors printed. */
static int read_plan(void *mem, const char *plan_path, const char *tokens_path,
		     const struct arg_str *targets, const char *platform,
		     struct load_plan *plan)
{
	struct rj_error_list errors;
	struct rj_error err;
	char *text = file_read(mem, plan_path, &err);
	char *tokens = text ? file_read(mem, tokens_path, &err) : NULL;

	if (!tokens) {
		print_error("load", &err);
		return -1;
	}
	rj_error_list_init(&errors, mem);
	load_plan_parse(mem, text, tokens, plan, &errors);
	parse_addresses(plan, mem, targets, platform, &errors);
	print_errors(plan_path, &errors);
	return errors.count ? -1 : 0;
}

/* Runs a plan and prints its totals. Returns an exit code. */
static int run_plan(void *mem, const struct load_plan *plan)
{
	struct load *load = talloc_zero(mem, struct load);
	struct rj_error err;
	int result = EXIT_DONE;

	assert(load);
	load_run(load, load, plan);
	if (load_verify(load, load, &err)) {
		print_error("load", &err);
		result = EXIT_UNREACHABLE;
	} else {
		print_totals(load);
		if (load->totals.lost || load->totals.duplicated ||
		    load->totals.wrong_answer)
			result = EXIT_REFUSED;
	}
	rj_http_client_finish(&load->client);
	return result;
}

/*
 * `radishjunction load`: sends a mixed load and verifies every answer. The exit
 * code is 0 only if no job was lost, run twice or answered wrongly.
 */
int command_load(int argc, char **argv)
{
	struct arg_file *plan_file =
		arg_file1(NULL, "plan", "FILE", "kinds of jobs and their rate");
	struct arg_file *tokens = arg_file1(NULL, "tokens", "FILE",
					    "what `generate --tokens` wrote");
	struct arg_str *targets =
		arg_strn(NULL, "target", "IP:PORT", 1, TARGETS_MAX,
			 "an instance; give each once");
	struct arg_str *platform = arg_str1(NULL, "platform", "IP:PORT",
					    "platform that lists the workers");
	struct options options;
	struct options_result parsed;
	struct load_plan plan = { 0 };
	void *mem = talloc_new(NULL);
	int result;

	options_init(&options);
	void *table[] = { plan_file,	tokens,		 targets,    platform,
			  options.help, options.version, options.end };
	parsed = options_parse(&options, command_find("load"), argc, argv,
			       table);
	result = parsed.exit_code;
	if (parsed.proceed)
		result = read_plan(mem, option_file(plan_file),
				   option_file(tokens), targets,
				   option_string(platform, ""), &plan) ?
				 EXIT_REFUSED :
				 run_plan(mem, &plan);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	talloc_free(mem);
	return result;
}
