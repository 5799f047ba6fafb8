/*
 * Judges the promises from what workers ran and what callers were told.
 *
 * It sees nothing of the decisions: only starts, progress and ends at the
 * workers, requests and answers at the callers, and what instances say
 * outwards. Life cycle: `checker_init`, one call for each thing that
 * happened in the order of time, `checker_tick` as time passes,
 * `checker_finish_run` when faults have ended and the world is quiet;
 * memory is a talloc child of init's `mem`.
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

/* What one caller wants done: a key (or none) with one body. */
struct checker_intent {
	uint32_t key; /* equal for intents that share a key; 0: unkeyed */
	bool idempotent;
	bool guaranteed; /* fits the free part of its guarantee */
	uint32_t gang;
	char result[96]; /* what each task of it gives */
	uint32_t requests; /* submitted */
	uint32_t refused; /* of these, answered not_run */
	uint32_t ran; /* attempts that made progress */
	uint32_t completed; /* attempts of which every member is done */
	uint64_t submitted_us;
	uint64_t
		progressed_us; /* all of it made progress; RJ_NEVER_US: never */
	uint64_t answered_us; /* first final answer; RJ_NEVER_US if none */
	enum rj_answer_kind answer; /* that answer */
	bool accepted;
	bool cancelled;
	bool late_reported; /* its guarantee's violation is counted */
};

struct checker_request {
	uint32_t intent;
	uint32_t node;
	enum rj_request_op op;
	uint32_t answers;
	bool delivered;
	bool abandoned; /* its caller no longer waits */
};

struct checker_attempt {
	struct rj_attempt id;
	uint32_t intent;
	uint32_t gang;
	uint32_t started;
	uint32_t running; /* members that make progress */
	uint32_t progressed; /* members that have made some */
	uint32_t done;
	uint64_t failed_us; /* a member ended otherwise; RJ_NEVER_US: none */
	bool ran;
	bool reported;
	uint8_t member[RJ_GANG_MAX]; /* bits of enum member_bit */
};

/* What the checker knows of an instance. */
struct checker_node {
	uint32_t domain;
	uint64_t incarnation;
	uint64_t revision;
	uint64_t platform_since_us; /* since when it reaches the platform */
	uint64_t peer_since_us; /* since when it hears a peer that does */
	uint64_t late_reported; /* the revision whose lateness is counted */
	uint64_t leaving_since_us[CHECKER_WORKERS_MAX]; /* that it is leaving */
	uint64_t leaving_incarnation
		[CHECKER_WORKERS_MAX]; /* incarnation that leaves */
};

struct checker {
	void *mem;
	uint64_t lease_life_us;
	uint64_t guarantee_limit_us; /* checkpoint limit and bound */
	uint64_t
		recovered_us; /* when the last fault ended; RJ_NEVER_US: not yet */
	uint32_t violations[INVARIANT_COUNT];
	uint64_t checks[INVARIANT_COUNT]; /* how often each had a say */
	char first[INVARIANT_COUNT][200];
	GArray *intents;
	GHashTable *requests;
	GHashTable *attempts;
	GPtrArray *gangs;
	struct checker_node nodes[CHECKER_NODES_MAX];
	uint64_t revision;
	GPtrArray *config_ids; /* of the accepted ones, by revision - 1 */
	uint64_t revision_us; /* when it was accepted */
	GArray *settle_us; /* times to be in force at each instance */
	void (*report)(void *data, const char *text);
	void *report_data;
};

/* The checkpoint limit of the world's configuration and one second. */
#define CHECKER_GUARANTEE_US (3 * RJ_US_PER_S)
/* How soon a node that learnt of a leaving worker, or hears from one that
   did, sends it nothing new. */
#define CHECKER_LEAVING_US (5 * RJ_US_PER_S)
#define CHECKER_CONFIG_US (13 * RJ_US_PER_S)
/* A gang's owner notices a lapse by its next poll. */
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
