#include "tasks.h"

#include <assert.h>
#include <inttypes.h>
#include <sodium.h>
#include <string.h>
#include <talloc.h>

#include "private/wire.h"
#include "task_ops.h"

/* Retention time and maximum number of ended tasks. */
#define ENDED_RETENTION_US (600 * RJ_US_PER_S)
#define ENDED_KEPT_MAX 1000
#define FULL_SPEED_PERCENT 100

static guint key_hash(gconstpointer data)
{
	const struct rj_task_key *key = data;

	return (guint)(rj_hash64(&key->attempt.job_id, sizeof(uint64_t),
				 key->attempt.owner) +
		       31 * key->attempt.number + key->member);
}

static gboolean key_equal(gconstpointer a, gconstpointer b)
{
	const struct rj_task_key *one = a;
	const struct rj_task_key *two = b;

	return one->attempt.job_id == two->attempt.job_id &&
	       one->attempt.owner == two->attempt.owner &&
	       one->attempt.number == two->attempt.number &&
	       one->member == two->member;
}

/* GDestroyNotify for talloc chunks. */
static void free_talloc(gpointer data)
{
	talloc_free(data);
}

/* Returns a random token or incarnation; never 0, which means none. */
static uint64_t random_id(void)
{
	uint64_t id;

	do
		randombytes_buf(&id, sizeof(id));
	while (!id);
	return id;
}

/* Initialises the state of a worker process that has just started. */
static void reset_state(struct rj_tasks *tasks)
{
	tasks->unused = tasks->capacity;
	tasks->incarnation = random_id();
	tasks->ended_count = 0;
	rj_list_init(&tasks->active);
	rj_list_init(&tasks->ended);
	tasks->by_key =
		g_hash_table_new_full(key_hash, key_equal, NULL, free_talloc);
}

/*
 * Initialises the table of worker `worker` without any task.
 */
void rj_tasks_init(struct rj_tasks *tasks, void *mem, const char *worker,
		   const struct rj_resources *capacity)
{
	int unnamed;

	memset(tasks, 0, sizeof(*tasks));
	unnamed = rj_name_set(tasks->worker, worker);
	assert(!unnamed);
	(void)unnamed;
	tasks->mem = talloc_named_const(mem, 0, "tasks");
	assert(tasks->mem);
	tasks->capacity = *capacity;
	tasks->ran =
		g_hash_table_new_full(key_hash, key_equal, NULL, free_talloc);
	reset_state(tasks);
}

/*
 * Drops all leases and tasks and takes a new incarnation, as a restarted
 * process does. The records of task starts are kept for consistency checks.
 */
void rj_tasks_restart(struct rj_tasks *tasks)
{
	g_hash_table_destroy(tasks->by_key);
	reset_state(tasks);
}

/*
 * Frees the table.
 */
void rj_tasks_finish(struct rj_tasks *tasks)
{
	g_hash_table_destroy(tasks->by_key);
	g_hash_table_destroy(tasks->ran);
	TALLOC_FREE(tasks->mem);
}

/*
 * Whether resources are allocated to the task.
 */
bool rj_task_is_active(const struct rj_task *task)
{
	return task->state == RJ_TASK_HELD || task->state == RJ_TASK_RUNNING;
}

/*
 * Returns the task of the call's attempt and gang member, or NULL.
 */
struct rj_task *rj_tasks_find(const struct rj_tasks *tasks,
			      const struct rj_worker_call *call)
{
	struct rj_task_key key = { call->attempt, call->member };

	return g_hash_table_lookup(tasks->by_key, &key);
}

/*
 * Adds a task in state RJ_TASK_NONE for the call's attempt and gang member.
 */
struct rj_task *rj_task_new(struct rj_tasks *tasks,
			    const struct rj_worker_call *call)
{
	struct rj_task *task = talloc_zero(tasks->mem, struct rj_task);

	assert(task);
	task->key.attempt = call->attempt;
	task->key.member = call->member;
	task->gang = call->gang;
	rj_list_init(&task->link);
	g_hash_table_insert(tasks->by_key, &task->key, task);
	return task;
}

/*
 * Grants a lease: allocates the call's resources, which must be free.
 */
void rj_task_reserve(struct rj_tasks *tasks, struct rj_task *task,
		     const struct rj_worker_call *call, uint64_t now_us)
{
	assert(task->state == RJ_TASK_NONE && !task->fenced);
	rj_resources_subtract(&tasks->unused, &call->each, 1);
	task->state = RJ_TASK_HELD;
	task->each = call->each;
	task->token = random_id();
	task->holder = call->holder;
	task->lease_until_us = now_us + call->life_us;
	memcpy(task->account, call->account, sizeof(task->account));
	memcpy(task->class_name, call->class_name, sizeof(task->class_name));
	rj_list_append(&tasks->active, &task->link);
}

/* Reads a field in milliseconds as microseconds; 0 if missing. */
static uint64_t body_ms(const json_t *body, const char *field)
{
	json_int_t ms = json_integer_value(json_object_get(body, field));

	return ms > 0 ? (uint64_t)ms * RJ_US_PER_MS : 0;
}

/* Sets the task's result: the job id, the echo and the digest of the body. */
static void make_result(struct rj_task *task, const json_t *body,
			const uint8_t digest[RJ_DIGEST_BYTES])
{
	json_t *echo = json_object_get(body, "echo");
	char hex[2 * RJ_DIGEST_BYTES + 1];
	json_t *result;
	char *text;

	sodium_bin2hex(hex, sizeof(hex), digest, RJ_DIGEST_BYTES);
	result = json_pack(
		"{s:o, s:o, s:s}", "job",
		json_sprintf("%016" PRIx64, task->key.attempt.job_id), "echo",
		echo ? json_incref(echo) : json_null(), "digest", hex);
	assert(result);
	text = rj_wire_text(task, result);
	json_decref(result);
	task->result.data = (const uint8_t *)text;
	task->result.length = (uint32_t)strlen(text);
}

/* Counts a start, so that a check can detect duplicate runs. */
static void record_start(struct rj_tasks *tasks, const struct rj_task *task,
			 const uint8_t digest[RJ_DIGEST_BYTES])
{
	struct rj_task_start_record *ran =
		g_hash_table_lookup(tasks->ran, &task->key);

	if (!ran) {
		ran = talloc_zero(tasks->mem, struct rj_task_start_record);
		assert(ran);
		ran->key = task->key;
		g_hash_table_insert(tasks->ran, &ran->key, ran);
	}
	ran->starts++;
	ran->state = RJ_TASK_RUNNING;
	memcpy(ran->digest, digest, RJ_DIGEST_BYTES);
}

/*
 * Starts a leased task. Its JSON body sets its behaviour (run_ms, fail,
 * checkpoint_ms, echo); a task with any other body completes at once.
 */
void rj_task_start(struct rj_tasks *tasks, struct rj_task *task,
		   const struct rj_worker_call *call, uint64_t now_us)
{
	json_t *body = json_loadb((const char *)call->body.data,
				  call->body.length, 0, NULL);
	uint8_t digest[RJ_DIGEST_BYTES];

	assert(task->state == RJ_TASK_HELD);
	rj_digest(digest, &call->body, 1);
	task->state = RJ_TASK_RUNNING;
	task->run_us = body_ms(body, "run_ms");
	task->checkpoint_us = body_ms(body, "checkpoint_ms");
	task->fails = json_is_true(json_object_get(body, "fail"));
	task->throttle_percent = call->throttle_percent;
	task->progress_us = call->resume_us;
	task->saved_us = call->resume_us;
	task->progress_at_us = now_us;
	make_result(task, body, digest);
	json_decref(body);
	record_start(tasks, task, digest);
	if (tasks->fail_all)
		rj_task_end(tasks, task, RJ_TASK_FAILED, now_us);
	else
		rj_tasks_advance(tasks, now_us);
}

/*
 * Updates the progress of a running task to `now_us`.
 */
void rj_task_count_progress(struct rj_task *task, uint64_t now_us)
{
	uint64_t elapsed_us = now_us - task->progress_at_us;

	if (task->state != RJ_TASK_RUNNING || task->saving)
		return;
	task->progress_us +=
		elapsed_us * task->throttle_percent / FULL_SPEED_PERCENT;
	task->progress_at_us = now_us;
}

/* Returns when the task completes at its current speed, or RJ_NEVER_US. */
static uint64_t run_completes_us(const struct rj_task *task)
{
	uint64_t left_us;

	if (task->state != RJ_TASK_RUNNING || task->saving ||
	    !task->throttle_percent)
		return RJ_NEVER_US;
	if (task->progress_us >= task->run_us)
		return task->progress_at_us;
	left_us = task->run_us - task->progress_us;
	return task->progress_at_us +
	       (left_us * FULL_SPEED_PERCENT + task->throttle_percent - 1) /
		       task->throttle_percent;
}

/*
 * Ends a task in `state`, frees its resources and retains it as ended.
 */
void rj_task_end(struct rj_tasks *tasks, struct rj_task *task,
		 enum rj_task_state state, uint64_t now_us)
{
	struct rj_task_start_record *ran;

	assert(!rj_task_is_active(task) || state != task->state);
	rj_task_count_progress(task, now_us);
	if (rj_task_is_active(task))
		rj_resources_add(&tasks->unused, &task->each, 1);
	ran = g_hash_table_lookup(tasks->ran, &task->key);
	if (ran && task->state == RJ_TASK_RUNNING)
		ran->state = state;
	task->state = state;
	task->saving = false;
	task->ended_at_us = now_us;
	rj_list_remove(&task->link);
	rj_list_append(&tasks->ended, &task->link);
	tasks->ended_count++;
}

/*
 * Removes and frees an ended task.
 */
void rj_task_remove(struct rj_tasks *tasks, struct rj_task *task)
{
	assert(!rj_task_is_active(task));
	rj_list_remove(&task->link);
	tasks->ended_count--;
	g_hash_table_remove(tasks->by_key, &task->key);
}

/* Applies the earliest event of `task` that is due by `now_us`: checkpoint
 * saved or timed out, completion, or lease expiry. */
static void advance_task(struct rj_tasks *tasks, struct rj_task *task,
			 uint64_t now_us)
{
	uint64_t completes_us = run_completes_us(task);
	uint64_t expires_us = task->lease_until_us;

	if (task->saving && task->checkpoint_until_us <= now_us &&
	    task->checkpoint_until_us <= expires_us) {
		if (task->checkpoint_completes)
			task->saved_us = task->progress_us;
		task->progress_us = task->saved_us;
		rj_task_end(tasks, task, RJ_TASK_STOPPED,
			    task->checkpoint_until_us);
	} else if (completes_us <= now_us && completes_us <= expires_us) {
		rj_task_end(tasks, task,
			    task->fails ? RJ_TASK_FAILED : RJ_TASK_DONE,
			    completes_us);
	} else if (expires_us <= now_us) {
		rj_task_end(tasks, task,
			    task->state == RJ_TASK_HELD ? RJ_TASK_DEAD :
							  RJ_TASK_STOPPED,
			    expires_us);
	}
}

/*
 * Applies everything that is due by `now_us`: expires leases, completes tasks
 * and checkpoints, and removes old ended tasks.
 */
void rj_tasks_advance(struct rj_tasks *tasks, uint64_t now_us)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &tasks->active)
		advance_task(tasks, RJ_CONTAINER(at, struct rj_task, link),
			     now_us);
	RJ_FOR_EACH (at, next, &tasks->ended) {
		struct rj_task *task = RJ_CONTAINER(at, struct rj_task, link);

		if (tasks->ended_count <= ENDED_KEPT_MAX &&
		    task->ended_at_us + ENDED_RETENTION_US > now_us)
			break;
		rj_task_remove(tasks, task);
	}
}

/*
 * Returns when rj_tasks_advance is due next, or RJ_NEVER_US.
 */
uint64_t rj_tasks_due_us(const struct rj_tasks *tasks)
{
	uint64_t due_us = RJ_NEVER_US;
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &tasks->active) {
		const struct rj_task *task =
			RJ_CONTAINER(at, struct rj_task, link);
		uint64_t completes_us = task->saving ?
						task->checkpoint_until_us :
						run_completes_us(task);

		if (completes_us < due_us)
			due_us = completes_us;
		if (task->lease_until_us < due_us)
			due_us = task->lease_until_us;
	}
	return due_us;
}

/* Fills one report entry; the result of an ended task is copied to `mem`. */
static void report_task(const struct rj_task *task, void *mem, uint64_t now_us,
			struct rj_task_report *report)
{
	report->attempt = task->key.attempt;
	report->member = task->key.member;
	report->holder = task->holder;
	report->gang = task->gang;
	report->token = task->token;
	memcpy(report->account, task->account, sizeof(report->account));
	memcpy(report->class_name, task->class_name,
	       sizeof(report->class_name));
	report->state = task->state;
	report->each = task->each;
	report->ran_us = task->progress_us;
	if (rj_task_is_active(task) && task->lease_until_us > now_us)
		report->lease_left_us = task->lease_until_us - now_us;
	if (task->state != RJ_TASK_DONE && task->state != RJ_TASK_FAILED)
		return;
	report->result.data =
		talloc_memdup(mem, task->result.data, task->result.length);
	report->result.length = task->result.length;
}

/* Whether a report lists an ended task: until a reply reported its end. */
static bool is_listed(const struct rj_task *task)
{
	return !task->end_reported &&
	       (task->state == RJ_TASK_DONE || task->state == RJ_TASK_FAILED ||
		task->state == RJ_TASK_STOPPED);
}

/*
 * Fills `report` with all leases, running tasks and unreported ends. The
 * array is a talloc child of `mem`.
 */
void rj_tasks_report(const struct rj_tasks *tasks, void *mem, uint64_t now_us,
		     struct rj_worker_report *report)
{
	struct rj_list *at;
	struct rj_list *next;
	uint32_t count = tasks->ended_count;

	memset(report, 0, sizeof(*report));
	report->incarnation = tasks->incarnation;
	report->leaving = tasks->leaving;
	report->capacity = tasks->capacity;
	RJ_FOR_EACH (at, next, &tasks->active)
		count++;
	report->tasks = talloc_zero_array(mem, struct rj_task_report, count);
	assert(report->tasks);
	RJ_FOR_EACH (at, next, &tasks->active) {
		struct rj_task *task = RJ_CONTAINER(at, struct rj_task, link);

		rj_task_count_progress(task, now_us);
		report_task(task, report->tasks, now_us,
			    &report->tasks[report->task_count++]);
	}
	RJ_FOR_EACH (at, next, &tasks->ended) {
		struct rj_task *task = RJ_CONTAINER(at, struct rj_task, link);

		if (is_listed(task))
			report_task(task, report->tasks, now_us,
				    &report->tasks[report->task_count++]);
	}
}

/*
 * Returns a new JSON array of all tasks ever started, with their start counts.
 */
json_t *rj_tasks_starts_json(const struct rj_tasks *tasks)
{
	json_t *list = json_array();
	char hex[2 * RJ_DIGEST_BYTES + 1];
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, tasks->ran);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rj_task_start_record *ran = value;
		json_t *item;

		sodium_bin2hex(hex, sizeof(hex), ran->digest, RJ_DIGEST_BYTES);
		item = json_pack(
			"{s:o, s:o, s:I, s:I, s:I, s:s, s:s}", "job",
			json_sprintf("%016" PRIx64, ran->key.attempt.job_id),
			"owner",
			json_sprintf("%016" PRIx64, ran->key.attempt.owner),
			"attempt", (json_int_t)ran->key.attempt.number,
			"member", (json_int_t)ran->key.member, "starts",
			(json_int_t)ran->starts, "state",
			rj_task_state_string[ran->state], "digest", hex);
		assert(item);
		json_array_append_new(list, item);
	}
	return list;
}
