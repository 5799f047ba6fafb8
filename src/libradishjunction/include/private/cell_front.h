/*
 * Answers clients: a chain of filters decides on each call, from the
 * configuration and the view of the jobs, and what must last is stored
 * before it is acknowledged.
 *
 * Life cycle: `rj_cell_front_init`; `rj_cell_front_take` for each call, which
 * ends in exactly one answer; a tick every few milliseconds;
 * `rj_cell_front_finish` answers what is open as unavailable.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_FRONT_H
#define RADISHJUNCTION_PRIVATE_CELL_FRONT_H

#include "private/cell_config.h"
#include "private/cell_log_availability.h"
#include "private/cell_follow.h"
#include "private/cell_view.h"
#include "private/cell_writer.h"
#include "private/latency.h"

enum rj_cell_verb {
	RJ_CELL_VERB_SUBMIT,
	RJ_CELL_VERB_ASK, /* for a job's state, or a queue's count */
	RJ_CELL_VERB_CANCEL,
	RJ_CELL_VERB_COUNT
};

extern const char *const rj_cell_verb_string[RJ_CELL_VERB_COUNT];

enum rj_cell_verdict {
	RJ_CELL_VERDICT_ACCEPTED, /* stored */
	RJ_CELL_VERDICT_STATE,
	RJ_CELL_VERDICT_PENDING,
	RJ_CELL_VERDICT_CANCELLED, /* the wish is stored */
	RJ_CELL_VERDICT_NO_QUEUE,
	RJ_CELL_VERDICT_NO_JOB,
	RJ_CELL_VERDICT_BAD_KEY,
	RJ_CELL_VERDICT_MALFORMED,
	RJ_CELL_VERDICT_BUSY, /* not accepted; come back later */
	RJ_CELL_VERDICT_AWAY, /* not accepted: something is out of reach */
	RJ_CELL_VERDICT_UNKNOWN, /* it may have been accepted; ask again */
	RJ_CELL_VERDICT_COUNT
};

extern const char *const rj_cell_verdict_string[RJ_CELL_VERDICT_COUNT];

struct rj_cell_answer {
	enum rj_cell_verdict verdict;
	enum rj_cell_job_state state;
	uint32_t pending;
	uint32_t come_back_ms;
	const char *why; /* for the log and a person; never NULL */
};

/* One call of a client. The adapter owns it until it has been answered. */
struct rj_cell_call {
	enum rj_cell_verb verb;
	const char *host;
	const char *path;
	const char *key; /* or NULL */
	struct rj_bytes body;
	uint32_t wait_ms; /* so long the client waits; 0: not said */
	uint64_t now_us;
	uint64_t wall_ms;
	void (*answer)(struct rj_cell_call *call,
		       const struct rj_cell_answer *answer);
};

/* What stands under a key of the operators' log. */
enum rj_cell_published {
	RJ_CELL_PUBLISHED_CONFIG,
	RJ_CELL_PUBLISHED_CORDON, /* of the failure domain that it names */
	RJ_CELL_PUBLISHED_UNKNOWN,
};

/* What an adapter decodes for the front. */
struct rj_cell_codec {
	/* What a key of the operators' log is for; of a cordon, `name` is the
	 * failure domain, as a part of `key`. */
	enum rj_cell_published (*classify)(const char *key, const char **name);
	/* A job out of a client's body, a talloc child of `mem`, with id and
	 * terms left out; NULL with `err`. */
	struct rj_cell_def *(*decode_job)(void *mem, struct rj_bytes body,
					  struct rj_error *err);
	/* A configuration, or NULL with `err`. */
	struct rj_cell_config *(*decode_config)(void *mem, struct rj_bytes text,
						struct rj_error *err);
	/* What a worker says of itself. Returns 0, or -1 with `err`. */
	int (*decode_worker)(struct rj_bytes text,
			     struct rj_cell_heartbeat *heartbeat,
			     struct rj_error *err);
};

struct rj_cell_front_counters {
	uint64_t calls[RJ_CELL_VERB_COUNT];
	struct rj_latency answers[RJ_CELL_VERDICT_COUNT];
};

struct rj_cell_front {
	void *mem;
	struct rj_cell_view *view;
	struct rj_cell_follow *jobs;
	struct rj_cell_follow *configs;
	struct rj_cell_writer *writer;
	const struct rj_cell_codec *codec;
	const struct rj_cell_config *config; /* replaced by the node */
	struct rj_cell_beat beat; /* the newest of the owner */
	uint64_t beat_us; /* when it came; 0: none */
	uint32_t revoke_ms; /* a key is good so long after its removal */
	struct rj_cell_log_availability contact; /* with the log */
	struct rj_list requests;
	uint32_t open;
	uint64_t now_us;
	struct rj_cell_front_counters counters;
};

void rj_cell_front_init(struct rj_cell_front *front, void *mem,
			struct rj_cell_view *view, struct rj_cell_follow *jobs,
			struct rj_cell_follow *configs,
			struct rj_cell_writer *writer,
			const struct rj_cell_codec *codec, uint32_t revoke_ms);
void rj_cell_front_take(struct rj_cell_front *front, struct rj_cell_call *call);
void rj_cell_front_tick(struct rj_cell_front *front, uint64_t now_us);
bool rj_cell_front_keys_fresh(const struct rj_cell_front *front,
			      uint64_t now_us);
void rj_cell_front_finish(struct rj_cell_front *front);

#endif
