/*
 * `radishjunction load`: a mixed load as many callers send it, and the
 * account of what became of each job.
 *
 * Life cycle: `load_plan_parse` reads what to send, `load_run` sends it and
 * settles every answer, `load_verify` compares the answers with what the
 * workers say they ran. All are talloc children of one context.
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
	bool keyed; /* not idempotent: sent with a key, runs at most once */
	uint32_t repeat_every; /* each so many are sent twice; 0: none */
	bool wait; /* answered on the connection, else accepted */
	uint32_t tasks;
	uint32_t accelerators;
	uint32_t cores;
	uint32_t memory_mb;
	bool adjacent;
	uint32_t run_ms;
	const char *token; /* of the account */
};

struct load_plan {
	struct load_kind *kinds;
	uint32_t kind_count;
	uint32_t rate; /* jobs a second */
	uint32_t limit_s; /* of the whole plan */
	uint32_t answer_limit_s; /* after which a caller asks elsewhere */
	uint32_t seed;
	struct rj_address *targets; /* instances */
	uint32_t target_count;
	struct rj_address platform;
};

/* One job, and what its caller knows of it. */
struct load_job {
	const struct load_kind *kind;
	char key[RJ_KEY_BYTES];
	char echo[LOAD_TEXT_BYTES]; /* that the result must hold */
	char *submission; /* the submission */
	uint8_t digest[RJ_DIGEST_BYTES]; /* of the body, as workers tell it */
	uint32_t open_requests; /* callers that still wait */
	bool answered;
	enum rj_answer_kind answer;
	enum rj_reason reason;
	uint64_t job_id;
	bool accepted;
	bool inconsistent; /* an answer that is not its own, or contradicts another */
	uint64_t latency_us; /* to the first final answer */
};

struct load_totals {
	uint32_t answers[RJ_ANSWER_KIND_COUNT];
	uint32_t lost; /* accepted or awaited, and no answer came */
	uint32_t duplicated; /* ran more than once, and must not */
	uint32_t wrong_answer;
};

struct load {
	struct tevent_context *loop;
	struct rj_http_client client;
	const struct load_plan *plan;
	struct load_job *jobs;
	uint32_t job_count;
	uint32_t *send_order; /* in which they are sent */
	uint32_t sent;
	uint32_t open_requests; /* callers that still wait, of all jobs */
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
