/*
 * Answers calls of clients from the configuration and the view of the jobs.
 * Submissions and cancellations are stored in the log before they are
 * acknowledged.
 *
 * Each call passed to `rj_cell_frontend_handle` gets exactly one answer. Call
 * `rj_cell_frontend_tick` every few milliseconds; `rj_cell_frontend_finish`
 * answers all open calls as unavailable, or as unknown if a write is in flight.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_FRONTEND_H
#define RADISHJUNCTION_PRIVATE_CELL_FRONTEND_H

#include "private/cell_config.h"
#include "private/cell_log_availability.h"
#include "private/cell_log_reader.h"
#include "private/cell_rejections.h"
#include "private/cell_view.h"
#include "private/cell_writer.h"
#include "private/client_budget.h"
#include "private/latency.h"

enum rj_cell_verb {
	RJ_CELL_VERB_SUBMIT,
	RJ_CELL_VERB_QUERY, /* a job's state, or a queue's count */
	RJ_CELL_VERB_CANCEL,
	RJ_CELL_VERB_COUNT
};

extern const char *const rj_cell_verb_string[RJ_CELL_VERB_COUNT];

enum rj_cell_verdict {
	RJ_CELL_VERDICT_ACCEPTED, /* stored */
	RJ_CELL_VERDICT_STATE,
	RJ_CELL_VERDICT_PENDING,
	RJ_CELL_VERDICT_CANCELLED, /* the request is stored */
	RJ_CELL_VERDICT_NO_QUEUE,
	RJ_CELL_VERDICT_NO_JOB,
	RJ_CELL_VERDICT_BAD_KEY,
	RJ_CELL_VERDICT_MALFORMED,
	RJ_CELL_VERDICT_BUSY, /* not accepted; retry after the given delay */
	/* Not accepted: a dependency is unavailable. */
	RJ_CELL_VERDICT_UNAVAILABLE,
	RJ_CELL_VERDICT_UNKNOWN, /* may have been accepted; retry */
	RJ_CELL_VERDICT_COUNT
};

extern const char *const rj_cell_verdict_string[RJ_CELL_VERDICT_COUNT];

struct rj_cell_answer {
	enum rj_cell_verdict verdict;
	enum rj_cell_job_state state;
	uint32_t pending;
	uint32_t retry_after_ms;
	const char *reason; /* reason, for the log and for people; never NULL */
};

/* A call of a client, owned by the adapter until it is answered. */
struct rj_cell_call {
	enum rj_cell_verb verb;
	const char *host;
	const char *path;
	const char *key; /* or NULL */
	struct rj_bytes body;
	uint32_t wait_ms; /* how long the client waits; 0: unknown */
	uint64_t now_us;
	uint64_t wall_ms;
	void (*answer)(struct rj_cell_call *call,
		       const struct rj_cell_answer *answer);
};

/* What a key of the operators' log stands for. */
enum rj_cell_published {
	RJ_CELL_PUBLISHED_CONFIG,
	RJ_CELL_PUBLISHED_CORDON, /* of the failure domain in the key */
	RJ_CELL_PUBLISHED_UNKNOWN,
};

/* Decoders that an adapter provides. */
struct rj_cell_codec {
	/* Classifies a key of the operators' log. For a cordon, `name` is set
	 * to the failure domain, which points into `key`. */
	enum rj_cell_published (*classify)(const char *key, const char **name);
	/* Decodes the body of a submission to a talloc child of `mem` without
	 * id and queue terms. Returns NULL with `err` if it is malformed. */
	struct rj_cell_job_spec *(*decode_job)(void *mem, struct rj_bytes body,
					       struct rj_error *err);
	/* Returns an upper bound of the values in the body of a submission.
	 * NULL: bodies are not limited. */
	uint32_t (*count_values)(struct rj_bytes body);
	/* Decodes a configuration. Returns NULL with `err` if it is
	 * malformed. */
	struct rj_cell_config *(*decode_config)(void *mem, struct rj_bytes text,
						struct rj_error *err);
	/* Decodes a worker's log entry. Returns 0, or -1 with `err`. */
	int (*decode_worker)(struct rj_bytes text,
			     struct rj_cell_heartbeat *heartbeat,
			     struct rj_error *err);
	/* Whether a worker's entry differs from an earlier valid one at most in
	 * what each heartbeat changes; if so, sets the worker's clock (0: not
	 * reported). */
	bool (*is_same_entry)(struct rj_bytes earlier, struct rj_bytes text,
			      uint64_t *clock_ms);
};

struct rj_cell_frontend_counters {
	uint64_t calls[RJ_CELL_VERB_COUNT];
	struct rj_latency answers[RJ_CELL_VERDICT_COUNT];
	/* Jobs of accounts within their share, at queues that reject others. */
	uint64_t accepted_within_share;
};

struct rj_cell_frontend {
	void *mem;
	struct rj_cell_view *view;
	struct rj_cell_log_reader *jobs;
	struct rj_cell_log_reader *requests_log;
	struct rj_cell_log_reader *configs;
	struct rj_cell_writer *writer; /* to the log of requests */
	const struct rj_cell_codec *codec;
	struct rj_client_budget *budget; /* of clients; NULL: no limit */
	const struct rj_cell_config *config; /* set by the node */
	/* Set by the node: since when the newest version is one that cannot be
	 * read at all; 0: it is not. */
	uint64_t config_unknown_us;
	struct rj_cell_owner_heartbeat heartbeat; /* newest one of the owner */
	uint64_t heartbeat_us; /* when it was read; 0: none yet */
	uint32_t revoke_ms; /* a removed key may be accepted for this long */
	/* Rejected callers are accepted in order; set by the node. */
	bool return_order;
	struct rj_cell_rejections rejections;
	struct rj_cell_log_availability log_availability; /* with the log */
	struct rj_list requests;
	uint32_t open;
	uint64_t now_us;
	struct rj_cell_frontend_counters counters;
};

void rj_cell_frontend_init(struct rj_cell_frontend *frontend, void *mem,
			   struct rj_cell_view *view,
			   struct rj_cell_log_reader *jobs,
			   struct rj_cell_log_reader *requests_log,
			   struct rj_cell_log_reader *configs,
			   struct rj_cell_writer *writer,
			   const struct rj_cell_codec *codec,
			   uint32_t revoke_ms);
void rj_cell_frontend_handle(struct rj_cell_frontend *frontend,
			     struct rj_cell_call *call);
void rj_cell_frontend_tick(struct rj_cell_frontend *frontend, uint64_t now_us);
bool rj_cell_frontend_keys_fresh(const struct rj_cell_frontend *frontend,
				 uint64_t now_us);
void rj_cell_frontend_finish(struct rj_cell_frontend *frontend);

#endif
