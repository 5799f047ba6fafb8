/*
 * A worker's table of leases and tasks, as specified by the worker interface
 * (radishjunction/worker.h). No I/O and no clock: the caller passes the time
 * to each function.
 *
 * Life cycle: `rj_tasks_init` on the caller's memory; `rj_tasks_call` for
 * each operation; `rj_tasks_advance` at the time of `rj_tasks_due_us`;
 * `rj_tasks_finish`.
 */
#ifndef RADISHJUNCTION_STANDIN_TASKS_H
#define RADISHJUNCTION_STANDIN_TASKS_H

#include <glib.h>
#include <jansson.h>

#include "private/list.h"
#include "radishjunction/worker.h"

/* Identifies a task: an attempt and the member of its gang. */
struct rj_task_key {
	struct rj_attempt attempt;
	uint32_t member;
};

struct rj_task {
	struct rj_list link; /* in `active` or `ended` */
	struct rj_task_key key;
	enum rj_task_state state;
	bool fenced; /* never starts */
	bool end_reported; /* a reply reported its end */
	bool saving; /* checkpoint in progress */
	bool fails; /* ends as RJ_TASK_FAILED */
	uint64_t holder;
	uint32_t gang;
	uint64_t token;
	char account[RJ_NAME_BYTES];
	char class_name[RJ_NAME_BYTES];
	struct rj_resources each;
	uint64_t lease_until_us;
	uint64_t run_us; /* progress at completion */
	uint64_t progress_us; /* as of progress_at_us */
	uint64_t saved_us; /* progress at the last checkpoint */
	uint64_t progress_at_us;
	uint32_t throttle_percent;
	uint64_t checkpoint_us; /* duration of a checkpoint */
	uint64_t checkpoint_until_us;
	bool checkpoint_completes; /* within its limit */
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
	bool fail_all; /* each task fails as it starts */
	GHashTable *by_key; /* key -> struct rj_task, talloc */
	struct rj_list active; /* leased or running */
	struct rj_list ended; /* oldest end first */
	uint32_t ended_count;
	GHashTable *ran; /* key -> rj_task_start_record; kept on restart */
};

/* The starts of one task, for consistency checks. */
struct rj_task_start_record {
	struct rj_task_key key;
	uint32_t starts;
	enum rj_task_state state;
	uint8_t digest[RJ_DIGEST_BYTES]; /* of the job body */
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
