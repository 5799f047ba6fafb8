/*
 * What a worker knows of its leases and tasks, as the worker interface has
 * it (radishjunction/worker.h). No I/O and no clock: the time comes with
 * each call.
 *
 * Life cycle: `rj_tasks_init` on the caller's memory; `rj_tasks_call` for
 * each operation; `rj_tasks_advance` whenever `rj_tasks_due_us` has come;
 * `rj_tasks_finish`.
 */
#ifndef RADISHJUNCTION_STANDIN_TASKS_H
#define RADISHJUNCTION_STANDIN_TASKS_H

#include <glib.h>
#include <jansson.h>

#include "private/list.h"
#include "radishjunction/worker.h"

/* Names one task: an attempt and the member of its gang. */
struct rj_task_key {
	struct rj_attempt attempt;
	uint32_t member;
};

struct rj_task {
	struct rj_list link; /* in `active` or in `ended` */
	struct rj_task_key key;
	enum rj_task_state state;
	bool fenced; /* never starts; see rj_tasks_call */
	bool end_reported; /* its end has been told by an answer */
	bool saving; /* a checkpoint is under way */
	bool fails;
	uint64_t holder;
	uint32_t gang;
	uint64_t token;
	char account[RJ_NAME_BYTES];
	char class_name[RJ_NAME_BYTES];
	struct rj_resources each;
	uint64_t lease_until_us;
	uint64_t run_us; /* progress at which it ends */
	uint64_t progress_us; /* as of counted_at_us */
	uint64_t saved_us; /* progress that a checkpoint has kept */
	uint64_t counted_at_us;
	uint32_t throttle_percent;
	uint64_t checkpoint_us; /* how long a checkpoint takes */
	uint64_t checkpoint_until_us;
	bool checkpoint_completes; /* it is saved before its limit */
	uint64_t ended_at_us;
	struct rj_bytes result;
};

struct rj_tasks {
	void *mem;
	char worker[RJ_NAME_BYTES];
	struct rj_resources capacity;
	struct rj_resources unused;
	uint64_t incarnation;
	bool leaving;
	bool fail_all;
	GHashTable *by_key; /* key -> struct rj_task, talloc */
	struct rj_list active; /* held or running */
	struct rj_list ended; /* oldest end first */
	uint32_t ended_count;
	GHashTable *
		ran; /* key -> struct rj_task_start_record; outlives a restart */
};

/* Every task that was ever started here. */
struct rj_task_start_record {
	struct rj_task_key key;
	uint32_t starts;
	enum rj_task_state state;
	uint8_t digest[RJ_DIGEST_BYTES]; /* of its body */
};

void rj_tasks_init(struct rj_tasks *tasks, void *mem, const char *worker,
		   const struct rj_resources *capacity);
struct rj_task *rj_tasks_call(struct rj_tasks *tasks,
			      const struct rj_worker_call *call,
			      uint64_t now_us, struct rj_worker_reply *reply);
void rj_tasks_fill_reply(struct rj_tasks *tasks, struct rj_task *task,
			 uint64_t now_us, struct rj_worker_reply *reply);
struct rj_task *rj_tasks_find(const struct rj_tasks *tasks,
			      const struct rj_worker_call *call);
void rj_tasks_advance(struct rj_tasks *tasks, uint64_t now_us);
uint64_t rj_tasks_due_us(const struct rj_tasks *tasks);
bool rj_task_is_active(const struct rj_task *task);
void rj_tasks_report(const struct rj_tasks *tasks, void *mem, uint64_t now_us,
		     struct rj_worker_report *report);
json_t *rj_tasks_starts_json(const struct rj_tasks *tasks);
void rj_tasks_restart(struct rj_tasks *tasks);
void rj_tasks_finish(struct rj_tasks *tasks);

#endif
