#include <assert.h>
#include <glib.h>
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "load.h"
#include "radishjunction/event.h"

#define ANSWER_TIMEOUT_US (10 * RJ_US_PER_S)
/* The list of all tasks that a worker has run can be long. */
#define ANSWER_MAX_BYTES (64 * 1024 * 1024)
#define DIGEST_HEX_BYTES (2 * RJ_DIGEST_BYTES + 1)

/* Runs of one job on all workers. */
struct runs {
	char digest[DIGEST_HEX_BYTES];
	uint32_t starts; /* starts of the first member, over all attempts */
	uint32_t done; /* members that ended in state done */
};

/* A blocking GET request. */
struct get {
	bool finished;
	json_t *json;
};

/* HTTP callback: stores the answer's JSON, or NULL. */
static void on_get_done(void *private_data, const struct rj_http_result *result)
{
	struct get *get = *(struct get **)private_data;

	get->finished = true;
	if (result->outcome == RJ_HTTP_ANSWERED)
		get->json = json_loadb(result->body, result->length, 0, NULL);
}

/* Requests a JSON value and waits for it. Returns a new reference, or NULL. */
static json_t *get_json(struct load *load, const struct rj_address *address,
			const char *path)
{
	struct get get = { false, NULL };
	struct get **slot = talloc(load, struct get *);
	struct rj_http_request send = {
		.method = "GET",
		.url = talloc_asprintf(slot, "http://%s:%u%s", address->ip,
				       address->port, path),
		.body = "",
		.timeout_us = ANSWER_TIMEOUT_US,
		.response_max_bytes = ANSWER_MAX_BYTES,
		.done = on_get_done,
		.private_data = slot,
	};

	assert(slot);
	*slot = &get;
	rj_http_client_send(&load->client, &send);
	while (!get.finished)
		tevent_loop_once(load->loop);
	return get.json;
}

/* Adds the runs of one worker. Returns 0, or -1 for an invalid entry. */
static int add_runs(GHashTable *runs_by_digest, void *mem, const json_t *list)
{
	size_t index;
	json_t *entry;

	json_array_foreach(list, index, entry)
	{
		const char *digest =
			json_string_value(json_object_get(entry, "digest"));
		const char *state =
			json_string_value(json_object_get(entry, "state"));
		const json_t *member = json_object_get(entry, "member");
		const json_t *starts = json_object_get(entry, "starts");
		struct runs *runs;

		if (!digest || !state || strlen(digest) >= DIGEST_HEX_BYTES ||
		    !json_is_integer(member) || !json_is_integer(starts))
			return -1;
		runs = g_hash_table_lookup(runs_by_digest, digest);
		if (!runs) {
			runs = talloc_zero(mem, struct runs);
			assert(runs);
			g_strlcpy(runs->digest, digest, sizeof(runs->digest));
			g_hash_table_insert(runs_by_digest, runs->digest, runs);
		}
		if (!json_integer_value(member))
			runs->starts += (uint32_t)json_integer_value(starts);
		if (!strcmp(state, rj_task_state_string[RJ_TASK_DONE]))
			runs->done++;
	}
	return 0;
}

/*
 * Collects the runs of every worker that the platform lists. Returns 0, or -1
 * with `err` set if the platform or a worker does not report.
 */
static int collect_runs(struct load *load, void *mem,
			GHashTable *runs_by_digest, struct rj_error *err)
{
	json_t *list = get_json(load, &load->plan->platform, "/v1/instances");
	size_t index;
	json_t *entry;
	int failed = 0;

	if (!list)
		return rj_error_set(
			err, RJ_ERR_UNAVAILABLE,
			"platform %s:%u: no list of instances; check "
			"that it is running",
			load->plan->platform.ip, load->plan->platform.port);
	json_array_foreach(json_object_get(list, "instances"), index, entry)
	{
		const char *role =
			json_string_value(json_object_get(entry, "role"));
		const char *ip =
			json_string_value(json_object_get(entry, "ip"));
		struct rj_address address = { .port = 0 };
		json_t *runs;

		if (!role || !ip ||
		    strcmp(role, rj_instance_role_string[RJ_ROLE_WORKER]) != 0)
			continue;
		g_strlcpy(address.ip, ip, sizeof(address.ip));
		address.port = (uint16_t)json_integer_value(
			json_object_get(entry, "port"));
		runs = get_json(load, &address, "/v1/ran");
		failed = !runs || add_runs(runs_by_digest, mem,
					   json_object_get(runs, "ran"));
		json_decref(runs);
		if (failed) {
			rj_error_set(err, RJ_ERR_UNAVAILABLE,
				     "worker %s:%u: did not report its runs; "
				     "check that it is running",
				     address.ip, address.port);
			break;
		}
	}
	json_decref(list);
	return failed ? -1 : 0;
}

/* Whether the answer contradicts the runs that the workers report. */
static bool contradicts(const struct load_job *job, const struct runs *runs)
{
	uint32_t starts = runs ? runs->starts : 0;

	if (job->answer == RJ_ANSWER_DONE)
		return !runs || !runs->done;
	if (job->answer == RJ_ANSWER_NOT_RUN)
		return starts && job->reason != RJ_REASON_CANCELLED;
	return false;
}

/* Adds one job to the totals and prints a line for each fault found. */
static void count_job(struct load_totals *totals, const struct load_job *job,
		      const struct runs *runs)
{
	const char *answer_name = rj_answer_kind_string[job->answer];

	if (job->accepted && job->answer == RJ_ANSWER_UNKNOWN) {
		totals->lost++;
		fprintf(stderr, "load: lost: %s job %016llx (%s)\n", job->echo,
			(unsigned long long)job->job_id,
			rj_reason_string[job->reason]);
	} else {
		totals->answers[job->answer]++;
	}
	if (job->kind->keyed && runs && runs->starts > 1) {
		totals->duplicated++;
		fprintf(stderr, "load: doubled: %s started %u times\n",
			job->echo, runs->starts);
	}
	if (job->inconsistent || contradicts(job, runs)) {
		totals->wrong_answer++;
		fprintf(stderr,
			"load: wrong answer: %s job %016llx %s (%s), started "
			"%u times\n",
			job->echo, (unsigned long long)job->job_id, answer_name,
			rj_reason_string[job->reason], runs ? runs->starts : 0);
	}
}

/* Prints the number of jobs by answer and reason, without answer "done". */
static void print_reason_counts(const struct load *load)
{
	uint32_t counts[RJ_ANSWER_KIND_COUNT][RJ_REASON_COUNT] = { { 0 } };

	for (uint32_t i = 0; i < load->job_count; i++)
		counts[load->jobs[i].answer][load->jobs[i].reason]++;
	for (uint32_t i = 0; i < RJ_ANSWER_KIND_COUNT; i++)
		for (uint32_t j = 0; j < RJ_REASON_COUNT; j++)
			if (i != RJ_ANSWER_DONE && counts[i][j])
				fprintf(stderr, "load: %u %s (%s)\n",
					counts[i][j], rj_answer_kind_string[i],
					rj_reason_string[j]);
}

/*
 * Compares every answer with the runs that the workers report and fills the
 * totals. Prints a line on standard error for each fault.
 *
 * Returns 0, or -1 with `err` of kind RJ_ERR_UNAVAILABLE if the platform or a
 * worker does not report.
 */
int load_verify(struct load *load, void *mem, struct rj_error *err)
{
	GHashTable *runs_by_digest = g_hash_table_new(g_str_hash, g_str_equal);
	int failed = collect_runs(load, mem, runs_by_digest, err);

	for (uint32_t i = 0; !failed && i < load->job_count; i++) {
		const struct load_job *job = &load->jobs[i];
		char digest[DIGEST_HEX_BYTES];

		sodium_bin2hex(digest, sizeof(digest), job->digest,
			       RJ_DIGEST_BYTES);
		count_job(&load->totals, job,
			  g_hash_table_lookup(runs_by_digest, digest));
	}
	g_hash_table_destroy(runs_by_digest);
	print_reason_counts(load);
	return failed;
}
