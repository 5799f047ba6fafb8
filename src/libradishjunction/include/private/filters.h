/*
 * The filter chain that every request passes through.
 */
#ifndef RADISHJUNCTION_PRIVATE_FILTERS_H
#define RADISHJUNCTION_PRIVATE_FILTERS_H

#include <stdbool.h>
#include "radishjunction/config.h"
#include "radishjunction/event.h"
#include "radishjunction/peer_message.h"

struct rj_core_state;
struct rj_job;

/* A request on its way through the chain. */
struct rj_submission {
	uint64_t request_id; /* 0: forwarded by a peer */
	const char *peer;
	uint64_t forward_id;
	uint32_t hops;
	bool other_domain;
	enum rj_request_op op;
	const char *token;
	bool wait;
	struct rj_job_spec spec; /* body owned by the event */
	const struct rj_account *account;
	const struct rj_job_class *class;
	struct rj_job *job; /* created by the last filters, or resubmitted */
};

enum rj_filter_verdict {
	RJ_FILTER_NEXT, /* continue with the next filter */
	RJ_FILTER_HANDLED, /* answered, or a job has taken it over */
	RJ_FILTER_VERDICT_COUNT
};

extern const char *const rj_filter_verdict_string[RJ_FILTER_VERDICT_COUNT];

struct rj_filter {
	const char *name;
	enum rj_filter_verdict (*pass)(struct rj_core_state *core,
				       struct rj_submission *submission);
};

extern const struct rj_filter rj_filter_identify;
extern const struct rj_filter rj_filter_find;
extern const struct rj_filter rj_filter_validate;
extern const struct rj_filter rj_filter_repeat;
extern const struct rj_filter rj_filter_limit;
extern const struct rj_filter rj_filter_log;
extern const struct rj_filter rj_filter_route;
extern const struct rj_filter rj_filter_place;

enum rj_filter_verdict rj_filter_refuse(struct rj_core_state *core,
					const struct rj_submission *submission,
					enum rj_answer_kind kind,
					enum rj_reason reason,
					uint64_t retry_after_us,
					const char *detail);
void rj_filter_answer(struct rj_core_state *core,
		      const struct rj_submission *submission,
		      const struct rj_answer *answer);
struct rj_job *rj_filter_ensure_job(struct rj_core_state *core,
				    struct rj_submission *submission);

/* filters/route.c */
bool rj_route_prefers_peer(const struct rj_job *job);
bool rj_route_owns_guarantee(struct rj_core_state *core,
			     const struct rj_submission *submission);

/* filters/chain.c */
void rj_filters_request(struct rj_core_state *core,
			const struct rj_request *request);
void rj_filters_forward(struct rj_core_state *core, const char *peer,
			const struct rj_peer_forward *forward);
void rj_filters_resubmit(struct rj_job *job);

#endif
