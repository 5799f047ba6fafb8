/*
 * Callers: they hand jobs in, again when no answer came, ask for their state
 * at any instance, and cancel some.
 */
#include <string.h>
#include <talloc.h>

#include "soak.h"

#define CALL_TIMEOUT_US (3 * RJ_US_PER_S)
#define TRIES_MAX 5
#define RETRY_MS 700
#define ASK_MS 600
#define ANSWER_MAX_BYTES 65536
/* Beside a first run of the standard length, up to this much more. */
#define WORK_MIN_MS 300
#define WORK_SPREAD_MS 1500
#define CANCEL_ONE_IN 8

enum verb {
	SUBMIT,
	ASK,
	CANCEL,
};

enum {
	STATUS_OK = 200,
	STATUS_GONE = 410,
	STATUS_TOO_MANY = 429,
	STATUS_UNAVAILABLE = 503,
	STATUS_TIMEOUT = 504,
};

/* One call on its way. */
struct call {
	struct soak_job *job;
	enum verb verb;
	uint64_t sent_us;
};

/* The call's caller goes on later. */
static void come_back(struct soak_job *job, uint32_t in_ms)
{
	job->next_us = rj_clock_now_us() +
		       (in_ms + soak_random(job->soak, in_ms)) * RJ_US_PER_MS;
}

/* The answer to a submission. */
static void submitted(struct soak_job *job, const struct rj_http_result *result)
{
	job->open--;
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
		job->refusals++;
		break;
	case STATUS_TIMEOUT:
		break;
	default:
		soak_violation(job->soak, "refused: %s with %u", job->id,
			       result->status);
	}
}

/* The answer to a question. */
static void asked(const struct call *call, const struct rj_http_result *result)
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
		soak_violation(call->job->soak, "mixed: %s has no state",
			       call->job->id);
	json_decref(body);
}

/* Any answer. */
static void answered(void *private_data, const struct rj_http_result *result)
{
	const struct call *call = private_data;
	struct soak_job *job = call->job;
	bool came = result->outcome == RJ_HTTP_ANSWERED;

	if (call->verb == SUBMIT)
		submitted(job, result);
	else if (call->verb == ASK && came)
		asked(call, result);
	else if (call->verb == CANCEL && came && result->status == STATUS_OK)
		job->cancelled = true;
}

/* The steps of a job as it is handed in. */
static char *body_of(void *mem, const struct soak_job *job)
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

/* Send one call to an instance of the caller's choice. */
static void send_call(struct soak_job *job, enum verb verb)
{
	static const char *const methods[] = { "POST", "GET", "DELETE" };
	static const char *const headers[] = { "Host: h.example",
					       "Authorization: Token k1" };
	struct soak *soak = job->soak;
	struct soak_instance *instance =
		&soak->instances[soak_random(soak, soak->options.instances)];
	struct rj_address address = { .ip = "127.0.0.1",
				      .port = instance->callers.port };
	struct call *call = talloc_zero(soak->ev, struct call);
	char *path = talloc_asprintf(call, "/p/%s", job->id);
	struct rj_http_request send = { .method = methods[verb],
					.url = rj_http_url(call, &address,
							   path),
					.timeout_us = CALL_TIMEOUT_US,
					.response_max_bytes = ANSWER_MAX_BYTES,
					.headers = headers,
					.header_count = G_N_ELEMENTS(headers),
					.done = answered,
					.private_data = call };

	call->job = job;
	call->verb = verb;
	call->sent_us = rj_clock_now_us();
	if (verb == SUBMIT) {
		job->tries++;
		job->open++;
		send.body = body_of(call, job);
		send.length = strlen(send.body);
	}
	rj_http_client_send(&soak->http, &send);
}

/* A new caller with a job. */
static void add_job(struct soak *soak)
{
	struct soak_job *job = g_new0(struct soak_job, 1);

	job->soak = soak;
	(void)g_snprintf(job->id, sizeof(job->id), "%08x%08x",
			 (uint32_t)soak->seed, soak->job_list->len + 1);
	(void)g_snprintf(job->spec, sizeof(job->spec), "%u",
			 WORK_MIN_MS + soak_random(soak, WORK_SPREAD_MS));
	job->step_count = 1 + soak_random(soak, SOAK_STEPS);
	for (uint32_t i = 0; i < job->step_count; i++) {
		job->steps[i].tasks = 1 + soak_random(soak, 4);
		job->steps[i].cpu_milli = 1000 + soak_random(soak, 8000);
		job->steps[i].accelerators = 1U << soak_random(soak, 4);
	}
	job->cancels = soak_random(soak, CANCEL_ONE_IN) == 0;
	job->tasks =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(soak->jobs, job->id, job);
	g_ptr_array_add(soak->job_list, job);
	come_back(job, 1);
}

/* Whether a caller waits for nothing any more. */
static bool is_done(const struct soak_job *job)
{
	if (job->open)
		return false;
	return job->accepted ? job->ended : job->tries >= TRIES_MAX;
}

/* A caller's next call. */
static void call_again(struct soak_job *job)
{
	if (!job->accepted) {
		if (job->tries < TRIES_MAX && !job->open)
			send_call(job, SUBMIT);
		come_back(job, RETRY_MS);
		return;
	}
	if (job->cancels && !job->cancelled && !job->soak->calm) {
		job->cancel_sent = true;
		send_call(job, CANCEL);
	}
	send_call(job, ASK);
	/* Once in a while a submission comes again after its answer. */
	if (soak_random(job->soak, 30) == 0 && !job->soak->calm)
		send_call(job, SUBMIT);
	come_back(job, ASK_MS);
}

/*
 * Let the callers do what is due.
 */
void soak_callers_tick(struct soak *soak)
{
	uint64_t now_us = rj_clock_now_us();

	if (!soak->calm && now_us >= soak->next_job_us) {
		soak->next_job_us =
			now_us + RJ_US_PER_S / soak->options.jobs_per_s;
		add_job(soak);
	}
	for (guint i = 0; i < soak->job_list->len; i++) {
		struct soak_job *job = soak->job_list->pdata[i];

		if (now_us >= job->next_us && !is_done(job))
			call_again(job);
	}
}

/*
 * Whether all callers know how their jobs have ended.
 */
bool soak_callers_done(const struct soak *soak)
{
	for (guint i = 0; i < soak->job_list->len; i++)
		if (!is_done(soak->job_list->pdata[i]))
			return false;
	return true;
}
