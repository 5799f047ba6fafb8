/*
 * `radishjunction load`: sends a mixed load as many callers would, and verifies
 * the answer to each job.
 *
 * Life cycle: `load_plan_parse` reads what to send, `load_run` sends it and
 * waits for the final answers, `load_verify` compares these with the runs that
 * the workers report. All memory is a talloc child of one context.
 */
#ifndef LOAD_H
#define LOAD_H

#include <tevent.h>

#include "private/http_client.h"
#include "radishjunction/error.h"
#include "radishjunction/types.h"

#define LOAD_TEXT_BYTES 64

/* Jobs of one kind. */
struct load_kind {
	char account[RJ_NAME_BYTES];
	char class_name[RJ_NAME_BYTES];
	uint32_t count;
	bool keyed; /* sent with an idempotency key; runs at most once */
	uint32_t repeat_every; /* every n-th job is sent twice; 0: none */
	bool wait; /* ask for the final answer, else `accepted` */
	uint32_t tasks;
	uint32_t accelerators;
	uint32_t cores;
	uint32_t memory_mb;
	bool adjacent;
	uint32_t run_ms;
	const char *token; /* of `account` */
};

struct load_plan {
	struct load_kind *kinds;
	uint32_t kind_count;
	uint32_t rate; /* jobs per second */
	uint32_t limit_s; /* time limit of the whole run */
	uint32_t answer_limit_s; /* before a caller tries another instance */
	uint32_t seed;
	struct rj_address *targets; /* entry instances */
	uint32_t target_count;
	struct rj_address platform;
};

/* One job and the answers to its requests. */
struct load_job {
	const struct load_kind *kind;
	char key[RJ_KEY_BYTES];
	char echo[LOAD_TEXT_BYTES]; /* value that the result must return */
	char *submission; /* JSON text */
	uint8_t digest[RJ_DIGEST_BYTES]; /* of the body, as workers report it */
	uint32_t open_requests; /* without a final answer yet */
	bool answered;
	enum rj_answer_kind answer;
	enum rj_reason reason;
	uint64_t job_id;
	bool accepted;
	bool inconsistent; /* an answer for another job, or two that differ */
	uint64_t answered_us; /* time of the answer, from `started_us` */
};

struct load_totals {
	uint32_t answers[RJ_ANSWER_KIND_COUNT];
	uint32_t lost; /* accepted, but without a final answer */
	uint32_t duplicated; /* jobs with a key that started more than once */
	uint32_t wrong_answer;
};

struct load {
	struct tevent_context *loop;
	struct rj_http_client client;
	const struct load_plan *plan;
	struct load_job *jobs;
	uint32_t job_count;
	uint32_t *send_order; /* indices of jobs */
	uint32_t sent;
	uint32_t open_requests; /* of all jobs */
	uint32_t next_target;
	uint64_t started_us;
	uint64_t random_state;
	struct load_totals totals;
};

int load_plan_parse(void *mem, const char *text, const char *tokens,
		    struct load_plan *plan, struct rj_error_list *errors);
void load_run(struct load *load, void *mem, const struct load_plan *plan);
int load_verify(struct load *load, void *mem, struct rj_error *err);

#endif
