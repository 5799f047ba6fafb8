/*
 * Actions: the output of the decision core.
 *
 * `rj_core_process` appends actions to a list that the caller owns; the caller
 * executes them in order and then clears the list. Everything that an action
 * points to is a talloc child of the list.
 */
#ifndef RADISHJUNCTION_ACTION_H
#define RADISHJUNCTION_ACTION_H

#include "radishjunction/event.h"

enum rj_action_kind {
	RJ_ACTION_ANSWER, /* to a caller, once per request */
	RJ_ACTION_APPEND, /* several records in one append */
	RJ_ACTION_READ,
	RJ_ACTION_LIST, /* read the platform's instance list */
	RJ_ACTION_WORKER_CALL,
	RJ_ACTION_PEER_CONNECT, /* keep a link to this peer */
	RJ_ACTION_PEER_DROP,
	RJ_ACTION_PEER_SEND,
	RJ_ACTION_LOG, /* log one decision */
	RJ_ACTION_EXIT, /* nothing is pending: a stopping process may exit */
	RJ_ACTION_KIND_COUNT
};

extern const char *const rj_action_kind_string[RJ_ACTION_KIND_COUNT];

struct rj_append {
	uint64_t append_id;
	enum rj_stream stream;
	struct rj_record *records;
	uint32_t count;
};

struct rj_read {
	enum rj_stream stream;
	uint64_t from;
	uint64_t wait_us; /* long poll */
};

/* Decisions that are logged. */
enum rj_decision_event {
	RJ_LOG_ADMIT,
	RJ_LOG_REFUSE,
	RJ_LOG_ROUTE,
	RJ_LOG_PLACE,
	RJ_LOG_CLAIM,
	RJ_LOG_START,
	RJ_LOG_RETRY,
	RJ_LOG_RECLAIM,
	RJ_LOG_ADOPT,
	RJ_LOG_VOID,
	RJ_LOG_END,
	RJ_LOG_CONFIG,
	RJ_LOG_LEAVING,
	RJ_LOG_DRAIN,
	RJ_LOG_EVENT_COUNT
};

extern const char *const rj_decision_event_string[RJ_LOG_EVENT_COUNT];

struct rj_decision_log {
	enum rj_decision_event event;
	enum rj_reason why;
	uint64_t job_id;
	char account[RJ_NAME_BYTES];
	char target[RJ_NAME_BYTES]; /* worker, peer or domain */
	uint64_t waited_us;
	uint32_t considered; /* number of workers the job is placed on */
	enum rj_answer_kind answer; /* RJ_LOG_END, RJ_LOG_REFUSE */
};

struct rj_action {
	enum rj_action_kind kind;
	union {
		struct {
			uint64_t request_id;
			struct rj_answer answer;
		} answer;
		struct rj_append append;
		struct rj_read read;
		struct rj_worker_call worker_call;
		struct {
			char name[RJ_NAME_BYTES];
			struct rj_address address;
			struct rj_peer_message *message; /* SEND */
		} peer;
		struct rj_decision_log log;
	} u;
};

struct rj_actions {
	struct rj_action *list; /* talloc array */
	uint32_t count;
	uint32_t capacity;
	void *mem; /* parent of everything that the actions point to */
};

void rj_actions_init(struct rj_actions *actions, void *mem);
struct rj_action *rj_actions_add(struct rj_actions *actions,
				 enum rj_action_kind kind);
void rj_actions_clear(struct rj_actions *actions);
void rj_actions_finish(struct rj_actions *actions);

#endif
