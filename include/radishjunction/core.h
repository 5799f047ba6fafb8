/*
 * The decision core of one instance: events in, actions out.
 *
 * Life cycle: `rj_core_init`, `rj_core_process` for each event,
 * `rj_core_wake_us` after each event to arm the single timer, `rj_core_finish`.
 * The core does no I/O, reads no clock and has no threads or globals: the same
 * events always produce the same actions.
 */
#ifndef RADISHJUNCTION_CORE_H
#define RADISHJUNCTION_CORE_H

#include <jansson.h>

#include "radishjunction/action.h"
#include "radishjunction/event.h"
#include "radishjunction/planner.h"

struct rj_core_options {
	char name[RJ_NAME_BYTES];
	char domain[RJ_NAME_BYTES];
	uint64_t incarnation; /* different at each process start */
	uint64_t seed; /* for jitter and job ids */
	const struct rj_instance *peers; /* peers named in the settings */
	uint32_t peer_count;
	struct rj_planner *planner; /* owned by the caller, outlives the core */
	uint64_t retention_us; /* how long the log keeps a record */
	uint64_t drain_limit_us; /* limit of a drain; 0: 30 s */
};

enum rj_counter {
	RJ_COUNT_REQUESTS,
	RJ_COUNT_DONE,
	RJ_COUNT_FAILED,
	RJ_COUNT_NOT_RUN,
	RJ_COUNT_UNKNOWN,
	RJ_COUNT_ACCEPTED,
	RJ_COUNT_REPEATS,
	RJ_COUNT_FORWARDS,
	RJ_COUNT_FORWARDS_OTHER_DOMAIN,
	RJ_COUNT_FORWARDS_LOG,
	RJ_COUNT_APPENDS,
	RJ_COUNT_RECORDS_READ,
	RJ_COUNT_CLAIMS_WON,
	RJ_COUNT_CLAIMS_LOST,
	RJ_COUNT_VOIDS,
	RJ_COUNT_LEASES,
	RJ_COUNT_LEASES_REFUSED,
	RJ_COUNT_STARTS,
	RJ_COUNT_RETRIES,
	RJ_COUNT_RECLAIMS,
	RJ_COUNT_ADOPTIONS,
	RJ_COUNT_CONFIGS_ACCEPTED,
	RJ_COUNT_CONFIGS_REFUSED,
	RJ_COUNT_PEER_MESSAGES,
	RJ_COUNT_COUNT
};

extern const char *const rj_counter_string[RJ_COUNT_COUNT];

struct rj_core_state;

struct rj_core {
	struct rj_core_state *state; /* talloc child of init's `mem` */
};

int rj_core_init(struct rj_core *core, void *mem,
		 const struct rj_core_options *options, struct rj_error *err);
void rj_core_process(struct rj_core *core, const struct rj_event *event,
		     struct rj_actions *actions);
uint64_t rj_core_wake_us(const struct rj_core *core);
bool rj_core_ready(const struct rj_core *core);
uint64_t rj_core_counter(const struct rj_core *core, enum rj_counter counter);
json_t *rj_core_revision(const struct rj_core *core);
json_t *rj_core_status(const struct rj_core *core, uint64_t now_us);
json_t *rj_core_explain(const struct rj_core *core, uint64_t job_id);
const char *rj_core_job_account(const struct rj_core *core, uint64_t job_id);
const struct rj_config *rj_core_config(const struct rj_core *core);
void rj_core_finish(struct rj_core *core);

#endif
