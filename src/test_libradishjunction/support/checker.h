/*
 * Checks the scheduler's invariants from what workers ran and what callers
 * were answered.
 *
 * It does not see the decisions, only starts, progress and completions at the
 * workers, requests and answers at the callers, and what instances send.
 *
 * Life cycle: `checker_init`, one call for each event in order of time,
 * `checker_tick` as time passes, `checker_finish_run` when all faults have
 * ended and the simulation is idle. Memory is a talloc child of the `mem` of
 * `checker_init`.
 */
#ifndef SUPPORT_CHECKER_H
#define SUPPORT_CHECKER_H

#include <glib.h>

#include "radishjunction/core.h"

enum invariant {
	INVARIANT_GUARANTEE,
	INVARIANT_GANG,
	INVARIANT_ANSWER,
	INVARIANT_NOT_RUN,
	INVARIANT_ONCE,
	INVARIANT_LEAVING,
	INVARIANT_STOP,
	INVARIANT_CONFIG,
	INVARIANT_ACCEPTED,
	INVARIANT_COUNT
};

extern const char *const invariant_string[INVARIANT_COUNT];

#define CHECKER_NODES_MAX 16
#define CHECKER_WORKERS_MAX 64

/* The job that one caller submits: one body, with or without a key. */
struct checker_intent {
	uint32_t key; /* equal for intents that share a key; 0: unkeyed */
	bool idempotent;
	bool guaranteed; /* fits the unused part of the account's guarantee */
	uint32_t gang;
	char result[96]; /* expected result of each task */
	uint32_t requests; /* submissions */
	uint32_t refused; /* submissions answered not_run */
	uint32_t ran; /* attempts that made progress */
	uint32_t completed; /* attempts whose members are all done */
	uint64_t submitted_us;
	uint64_t progressed_us; /* all members ran; RJ_NEVER_US: never */
	uint64_t answered_us; /* first final answer; RJ_NEVER_US: none */
	enum rj_answer_kind answer; /* kind of the first final answer */
	bool accepted;
	bool cancelled;
	bool late_reported; /* the violation of its guarantee is counted */
};

struct checker_request {
	uint32_t intent;
	uint32_t node;
	enum rj_request_op op;
	uint32_t answers;
	bool delivered;
	bool abandoned; /* its caller has stopped waiting */
};

struct checker_attempt {
	struct rj_attempt id;
	uint32_t intent;
	uint32_t gang;
	uint32_t started;
	uint32_t running; /* members that make progress now */
	uint32_t progressed; /* members that have made progress */
	uint32_t done;
	uint64_t failed_us; /* a member ended undone; RJ_NEVER_US: none */
	bool ran;
	bool reported;
	uint8_t member[RJ_GANG_MAX]; /* bits of enum member_bit */
};

/* What the checker knows about an instance. Contacts are the times since when
 * they last; RJ_NEVER_US: none. */
struct checker_node {
	uint32_t domain;
	uint64_t incarnation;
	uint64_t revision;
	uint64_t platform_since_us; /* contact with the platform */
	uint64_t peer_since_us; /* contact with a peer that has such contact */
	uint64_t late_reported; /* revision whose late activation is counted */
	uint64_t leaving_since_us[CHECKER_WORKERS_MAX]; /* when known */
	uint64_t leaving_incarnation[CHECKER_WORKERS_MAX]; /* 0: none */
};

struct checker {
	void *mem;
	uint64_t lease_life_us;
	uint64_t guarantee_limit_us; /* checkpoint limit plus margin */
	uint64_t recovered_us; /* end of the last fault; RJ_NEVER_US: not yet */
	uint32_t violations[INVARIANT_COUNT];
	uint64_t checks[INVARIANT_COUNT]; /* evaluations of each invariant */
	char first[INVARIANT_COUNT][200];
	GArray *intents;
	GHashTable *requests;
	GHashTable *attempts;
	GPtrArray *gangs;
	struct checker_node nodes[CHECKER_NODES_MAX];
	uint64_t revision;
	GPtrArray *config_ids; /* of accepted configurations, by revision - 1 */
	uint64_t revision_us; /* acceptance of `revision` */
	GArray *settle_us; /* from acceptance to activation at each instance */
	void (*report)(void *data, const char *text);
	void *report_data;
};

/* The checkpoint limit of the simulated configuration plus one second. */
#define CHECKER_GUARANTEE_US (3 * RJ_US_PER_S)
/* Time within which an instance stops sending jobs to a leaving worker once it,
   or a peer in contact with it, knows that the worker leaves. */
#define CHECKER_LEAVING_US (5 * RJ_US_PER_S)
#define CHECKER_CONFIG_US (13 * RJ_US_PER_S)
/* The owner of a gang detects an expired lease at its next poll. */
#define CHECKER_GANG_MARGIN_US (2 * RJ_US_PER_S)

void checker_init(struct checker *checker, void *mem);
uint32_t checker_intent_add(struct checker *checker,
			    const struct checker_intent *intent);
struct checker_intent *checker_intent_get(struct checker *checker,
					  uint32_t intent);
void checker_request(struct checker *checker, uint64_t now_us,
		     uint64_t request_id, uint32_t node, uint32_t intent,
		     enum rj_request_op op);
void checker_request_delivered(struct checker *checker, uint64_t request_id);
void checker_request_abandoned(struct checker *checker, uint64_t request_id);
void checker_node_ended(struct checker *checker, uint32_t node);
void checker_node_resumed(struct checker *checker, uint64_t now_us,
			  uint32_t node, bool empty);
void checker_answer(struct checker *checker, uint64_t now_us, uint32_t node,
		    uint64_t request_id, const struct rj_answer *answer);
void checker_unknown_body(struct checker *checker, uint64_t now_us,
			  const struct rj_attempt *id);
void checker_task_started(struct checker *checker, uint64_t now_us,
			  const struct rj_attempt *id, uint32_t intent,
			  uint32_t member, uint32_t gang);
void checker_task_progress(struct checker *checker, uint64_t now_us,
			   const struct rj_attempt *id, uint32_t member,
			   bool progress);
void checker_task_ended(struct checker *checker, uint64_t now_us,
			const struct rj_attempt *id, uint32_t member,
			enum rj_task_state state);
void checker_leaving_known(struct checker *checker, uint64_t now_us,
			   uint32_t node, uint32_t worker,
			   uint64_t incarnation);
void checker_job_sent(struct checker *checker, uint64_t now_us, uint32_t node,
		      uint32_t worker, uint64_t incarnation,
		      const uint64_t contact_us[CHECKER_NODES_MAX]);
void checker_exit(struct checker *checker, uint64_t now_us, uint32_t node);
void checker_config_accepted(struct checker *checker, uint64_t now_us,
			     uint64_t revision, const char *id);
void checker_config_forwarded(struct checker *checker, uint64_t now_us,
			      uint32_t node, uint64_t revision, const char *id);
void checker_config_in_force(struct checker *checker, uint64_t now_us,
			     uint32_t node, uint64_t incarnation,
			     uint64_t revision);
void checker_node_platform(struct checker *checker, uint64_t now_us,
			   uint32_t node, bool reachable);
void checker_node_peer(struct checker *checker, uint32_t node,
		       uint64_t since_us);
void checker_tick(struct checker *checker, uint64_t now_us);
void checker_finish_run(struct checker *checker, uint64_t now_us);
uint32_t checker_violations(const struct checker *checker);

#endif
