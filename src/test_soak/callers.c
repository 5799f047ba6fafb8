/*
 * Callers: they submit jobs, resubmit unanswered ones, query job states at
 * random instances, and cancel some jobs.
 */
#include <string.h>
#include <talloc.h>

#include "soak.h"

#define CALL_TIMEOUT_US (3 * RJ_US_PER_S)
#define SUBMISSIONS_MAX 5
#define RETRY_INTERVAL_MS 700
#define QUERY_INTERVAL_MS 600
#define ANSWER_MAX_BYTES 65536
/* Run time of a task: the minimum plus a random part below the spread. */
#define RUN_MIN_MS 300
#define RUN_SPREAD_MS 1500
#define CANCEL_ONE_IN 8

enum verb {
	SUBMIT,
	QUERY,
	CANCEL,
};

enum {
	STATUS_OK = 200,
	STATUS_GONE = 410,
	STATUS_TOO_MANY = 429,
	STATUS_UNAVAILABLE = 503,
	STATUS_TIMEOUT = 504,
};

/* A call that awaits its answer. */
struct call {
	struct soak_job *job;
	enum verb verb;
	uint64_t sent_us;
};

/* Schedule a caller's next call after a random delay from `in_ms` to twice
 * that, so that callers spread out. */
static void schedule_call(struct soak_job *job, uint32_t in_ms)
{
	job->next_call_us =
		rj_clock_now_us() +
		(in_ms + soak_random(job->soak, in_ms)) * RJ_US_PER_MS;
}

/* Handle the result of a submission. A lost call or a 504 leaves open whether
 * the job was accepted. */
static void handle_submit_response(struct soak_job *job,
				   const struct rj_http_result *result)
{
	job->open_submissions--;
	if (result->outcome != RJ_HTTP_ANSWERED)
		return;
	switch (result->status) {
	case STATUS_OK:
		if (!job->accepted)
			job->accepted_us = rj_clock_now_us();
		job->accepted = true;
		break;
	case STATUS_TOO_MANY:
	case STATUS_UNAVAILABLE:
		job->rejections++;
		break;
	case STATUS_TIMEOUT:
		break;
	default:
		soak_violation(job->soak,
			       "refused: %s was rejected with status %u",
			       job->id, result->status);
	}
}

/* Handle the answer to a state query; statuses other than 200 and 410 say
 * nothing about the job. */
static void handle_state_response(const struct call *call,
				  const struct rj_http_result *result)
{
	json_t *body;
	const char *state;

	if (result->status == STATUS_GONE)
		soak_check_unknown(call->job, call->sent_us);
	if (result->status != STATUS_OK)
		return;
	body = json_loadb(result->body, result->length, 0, NULL);
	state = json_string_value(json_object_get(body, "State"));
	if (state)
		soak_check_state(call->job, state, call->sent_us);
	else
		soak_violation(call->job->soak,
			       "mixed: the answer for %s has no state",
			       call->job->id);
	json_decref(body);
}

static void handle_response(void *private_data,
			    const struct rj_http_result *result)
{
	const struct call *call = private_data;
	struct soak_job *job = call->job;
	bool is_answered = result->outcome == RJ_HTTP_ANSWERED;

	if (call->verb == SUBMIT)
		handle_submit_response(job, result);
	else if (call->verb == QUERY && is_answered)
		handle_state_response(call, result);
	else if (call->verb == CANCEL && is_answered &&
		 result->status == STATUS_OK)
		job->cancelled = true;
}

/* The body of a submission, allocated on `mem`. Each step after the first
 * depends on step 0. */
static char *job_body(void *mem, const struct soak_job *job)
{
	char *body =
		talloc_asprintf(mem, "{\"Spec\":\"%s\",\"Steps\":[", job->spec);

	for (uint32_t i = 0; i < job->step_count; i++)
		body = talloc_asprintf_append(
			body,
			"%s{\"Count\":%u,\"Cpu\":%u,\"MemMb\":1000,\"Gpu\":%u,"
			"\"EstimateMs\":900%s}",
			i ? "," : "", job->steps[i].tasks,
			job->steps[i].cpu_milli, job->steps[i].accelerators,
			i ? ",\"After\":[0]" : "");
	return talloc_asprintf_append(body, "]}");
}

/* Send a call to a random instance. */
static void send_call(struct soak_job *job, enum verb verb)
{
	static const char *const methods[] = { "POST", "GET", "DELETE" };
	static const char *const headers[] = { "Host: h.example",
					       "Authorization: Token k1" };
	struct soak *soak = job->soak;
	struct soak_instance *instance =
		&soak->instances[soak_random(soak, soak->options.instances)];
	struct rj_address address = { .ip = "127.0.0.1",
				      .port = instance->caller_proxy.port };
	struct call *call = talloc_zero(soak->ev, struct call);
	char *path = talloc_asprintf(call, "/p/%s", job->id);
	struct rj_http_request send = { .method = methods[verb],
					.url = rj_http_url(call, &address,
							   path),
					.timeout_us = CALL_TIMEOUT_US,
					.response_max_bytes = ANSWER_MAX_BYTES,
					.headers = headers,
					.header_count = G_N_ELEMENTS(headers),
					.done = handle_response,
					.private_data = call };

	call->job = job;
	call->verb = verb;
	call->sent_us = rj_clock_now_us();
	if (verb == SUBMIT) {
		job->submissions++;
		job->open_submissions++;
		send.body = job_body(call, job);
		send.length = strlen(send.body);
	}
	rj_http_client_send(&soak->http, &send);
}

/* Create a job with random steps and its caller. */
static void add_job(struct soak *soak)
{
	struct soak_job *job = g_new0(struct soak_job, 1);

	job->soak = soak;
	(void)g_snprintf(job->id, sizeof(job->id), "%08x%08x",
			 (uint32_t)soak->seed, soak->job_list->len + 1);
	(void)g_snprintf(job->spec, sizeof(job->spec), "%u",
			 RUN_MIN_MS + soak_random(soak, RUN_SPREAD_MS));
	job->step_count = 1 + soak_random(soak, SOAK_STEPS_MAX);
	for (uint32_t i = 0; i < job->step_count; i++) {
		job->steps[i].tasks = 1 + soak_random(soak, 4);
		job->steps[i].cpu_milli = 1000 + soak_random(soak, 8000);
		job->steps[i].accelerators = 1U << soak_random(soak, 4);
	}
	job->will_cancel = soak_random(soak, CANCEL_ONE_IN) == 0;
	job->tasks =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(soak->jobs, job->id, job);
	g_ptr_array_add(soak->job_list, job);
	schedule_call(job, 1);
}

/* Whether a caller has nothing left to do: its job has ended, or none of its
 * submissions was accepted. */
static bool is_caller_done(const struct soak_job *job)
{
	if (job->open_submissions)
		return false;
	return job->accepted ? job->ended : job->submissions >= SUBMISSIONS_MAX;
}

/* Make a caller's due calls and schedule the next. */
static void make_call(struct soak_job *job)
{
	if (!job->accepted) {
		if (job->submissions < SUBMISSIONS_MAX &&
		    !job->open_submissions)
			send_call(job, SUBMIT);
		schedule_call(job, RETRY_INTERVAL_MS);
		return;
	}
	if (job->will_cancel && !job->cancelled && !job->soak->recovering) {
		job->cancel_sent = true;
		send_call(job, CANCEL);
	}
	send_call(job, QUERY);
	/* Instances must tolerate a duplicate submission of a known job. */
	if (soak_random(job->soak, 30) == 0 && !job->soak->recovering)
		send_call(job, SUBMIT);
	schedule_call(job, QUERY_INTERVAL_MS);
}

/*
 * Create new jobs and make the callers' calls that are due.
 */
void soak_callers_tick(struct soak *soak)
{
	uint64_t now_us = rj_clock_now_us();

	if (!soak->recovering && now_us >= soak->next_job_us) {
		soak->next_job_us =
			now_us + RJ_US_PER_S / soak->options.jobs_per_s;
		add_job(soak);
	}
	for (guint i = 0; i < soak->job_list->len; i++) {
		struct soak_job *job = soak->job_list->pdata[i];

		if (now_us >= job->next_call_us && !is_caller_done(job))
			make_call(job);
	}
}

/*
 * Whether every accepted job is known to have ended and no caller will submit
 * again.
 */
bool soak_callers_done(const struct soak *soak)
{
	for (guint i = 0; i < soak->job_list->len; i++)
		if (!is_caller_done(soak->job_list->pdata[i]))
			return false;
	return true;
}
