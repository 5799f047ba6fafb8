#include "private/cell_record.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/pack.h"

#define PROGRESS_FORMAT 1
#define STATE_FORMAT 1
/* Format 1 lacks the time and the epoch, format 2 the epoch. Instances that
 * write different formats may run side by side. */
#define OWNER_FORMAT_NO_TIME 1
#define OWNER_FORMAT_NO_EPOCH 2
#define OWNER_FORMAT 3
#define HEARTBEAT_FORMAT 2
/* What follows the fixed fields of a heartbeat, by its tag; a reader skips tags
 * that it does not know. */
#define HEARTBEAT_TAG_RETURN_ORDER 1
#define HEARTBEAT_TAG_REFUSED_ACCOUNTS 2
/* May occur several times. */
#define HEARTBEAT_TAG_FURTHER_PENDING 3
#define HEARTBEAT_BLOCK_BYTES_MAX 65536
/* Queues in one block of pending jobs. */
#define HEARTBEAT_PENDING_ROWS_MAX 256

/* First character of a key. */
static const char key_prefix[RJ_CELL_RECORD_KIND_COUNT] = {
	[RJ_CELL_RECORD_JOB_SPEC] = 'j',   [RJ_CELL_RECORD_PROGRESS] = 's',
	[RJ_CELL_RECORD_STATE] = 't',	   [RJ_CELL_RECORD_CANCEL] = 'c',
	[RJ_CELL_RECORD_OWNER] = 'o',	   [RJ_CELL_RECORD_HEARTBEAT] = 'b',
	[RJ_CELL_RECORD_FENCE] = 'f',	   [RJ_CELL_RECORD_LEASE_BOUNDS] = 'o',
	[RJ_CELL_RECORD_SNAPSHOT] = 'n',   [RJ_CELL_RECORD_REJECTIONS] = 'r',
	[RJ_CELL_RECORD_ENDED_RUNS] = 'e',
};

/* Buffer size of the longest checkpoint in a record. */
#define CHECKPOINT_BYTES 40

/* In place of a failed run's number, these mark rows of write_histories with
 * another value. */
#define ROW_STALLS UINT32_MAX
#define ROW_LOSSES (UINT32_MAX - 1)
#define ROW_BACKFILLED (UINT32_MAX - 2) /* the number of such a run */
#define ROW_NONE_BEGUN (UINT32_MAX - 3) /* of the job; at its first task */

/* How a task is encoded. */
enum task_code {
	TASK_NOT_STARTED, /* no run and no failure so far */
	TASK_DONE,
	TASK_DETAILS,
};

/*
 * Builds the key of a record; `id` is a job id, the number of a part of the
 * snapshot, or "".
 */
void rj_cell_record_key(char key[RJ_CELL_KEY_BYTES],
			enum rj_cell_record_kind kind, const char *id)
{
	key[0] = key_prefix[kind];
	g_strlcpy(key + 1, id, RJ_CELL_KEY_BYTES - 1);
}

/*
 * Builds the key of a record that is keyed by the name of an instance.
 */
void rj_cell_record_instance_key(char key[RJ_CELL_INSTANCE_KEY_BYTES],
				 enum rj_cell_record_kind kind,
				 const char *instance)
{
	key[0] = key_prefix[kind];
	g_strlcpy(key + 1, instance, RJ_NAME_BYTES);
}

/* Whether a key of a kind may have this length. */
static bool is_key_length(enum rj_cell_record_kind kind, size_t length)
{
	if (kind == RJ_CELL_RECORD_REJECTIONS ||
	    kind == RJ_CELL_RECORD_ENDED_RUNS)
		return length > 1 && length < RJ_CELL_INSTANCE_KEY_BYTES;
	if (kind == RJ_CELL_RECORD_SNAPSHOT)
		return length == RJ_CELL_PART_ID_BYTES;
	return length ==
	       (kind <= RJ_CELL_RECORD_CANCEL ? RJ_CELL_KEY_BYTES - 1 : 1);
}

/*
 * Parses a key. Returns 0, or -1 for an unknown key.
 */
int rj_cell_record_kind(const char *key, enum rj_cell_record_kind *kind,
			const char **id)
{
	for (int i = 0; i < RJ_CELL_RECORD_KIND_COUNT; i++) {
		if (key[0] != key_prefix[i] ||
		    !is_key_length((enum rj_cell_record_kind)i, strlen(key)))
			continue;
		*kind = (enum rj_cell_record_kind)i;
		*id = key + 1;
		return 0;
	}
	return -1;
}

/* What all tasks of a job share: the workers of its runs, each encoded once. */
struct worker_table {
	GPtrArray *workers; /* struct rj_cell_worker */
	GHashTable *index; /* worker -> its index + 1 */
	bool with_checkpoints; /* of tasks */
};

/* Adds the worker of a run to the table. */
static void table_add(struct rj_cell_run *run, void *private_data)
{
	struct worker_table *table = private_data;

	if (g_hash_table_contains(table->index, run->worker))
		return;
	g_ptr_array_add(table->workers, run->worker);
	g_hash_table_insert(table->index, run->worker,
			    GUINT_TO_POINTER(table->workers->len));
}

/* Number of runs to encode. Runs that are being stopped are included: until
 * their completion is known, a successor must not start the task elsewhere. */
static uint32_t count_runs(const struct rj_cell_task *task)
{
	const struct rj_list *at;
	uint32_t count = 0;

	for (at = task->runs.next; at != &task->runs; at = at->next)
		count++;
	return count;
}

/* Whether the record of a task has its checkpoint. Earlier versions cannot read
 * a record with a longer one. */
static bool is_checkpoint_stored(const struct rj_cell_task *task,
				 const struct worker_table *table)
{
	return table->with_checkpoints && task->checkpoint &&
	       strlen(task->checkpoint) < CHECKPOINT_BYTES;
}

static void write_task(struct rj_packer *out, const struct rj_cell_task *task,
		       const struct worker_table *table)
{
	const struct rj_list *at;

	if (task->done) {
		rj_pack_number(out, TASK_DONE);
		return;
	}
	if (!task->run && !task->failures) {
		rj_pack_number(out, TASK_NOT_STARTED);
		return;
	}
	rj_pack_number(out, TASK_DETAILS);
	rj_pack_number(out, task->run);
	rj_pack_number(out, task->failures);
	rj_pack_text(out,
		     is_checkpoint_stored(task, table) ? task->checkpoint : "");
	rj_pack_number(out, count_runs(task));
	for (at = task->runs.next; at != &task->runs; at = at->next) {
		const struct rj_cell_run *run =
			RJ_CONTAINER(at, struct rj_cell_run, in_task);

		rj_pack_number(out, GPOINTER_TO_UINT(g_hash_table_lookup(
					    table->index, run->worker)) -
					    1);
		rj_pack_number(out, run->number);
	}
}

/* Whether the job has ended, so that its tasks are not encoded. */
static bool has_ended(enum rj_cell_job_state state)
{
	return state >= RJ_CELL_JOB_COMPLETED;
}

/* Encodes the occurrences that are not done. */
static void write_occurrences(struct rj_packer *out,
			      const struct rj_cell_job *job,
			      const struct worker_table *table)
{
	const struct rj_list *at;
	uint32_t count = 0;

	for (at = job->occurrences.next; at != &job->occurrences; at = at->next)
		count++;
	rj_pack_number(out, count);
	for (at = job->occurrences.next; at != &job->occurrences;
	     at = at->next) {
		const struct rj_cell_occurrence *occurrence =
			RJ_CONTAINER(at, struct rj_cell_occurrence, link);

		rj_pack_number(out, occurrence->number);
		for (uint32_t i = 0; i < job->job_spec->task_count; i++)
			write_task(out, &occurrence->tasks[i], table);
	}
}

/* A row of write_task_rows. */
static void write_row(struct rj_packer *out, const struct rj_cell_task *task,
		      uint32_t position, uint32_t failed_run,
		      uint32_t unreported, uint32_t value)
{
	rj_pack_number(out, task->occurrence->number);
	rj_pack_number(out, position);
	rj_pack_number(out, failed_run);
	rj_pack_number(out, unreported);
	rj_pack_number(out, value);
}

/* Whether a run of a task has ended without its worker having started it, and no
 * worker has started another task of the job; see count_pending. */
static bool is_known_not_begun(const struct rj_cell_job *job,
			       const struct rj_cell_occurrence *occurrence)
{
	if (job->any_begun || job->job_spec->repeats)
		return false;
	for (uint32_t i = 0; i < job->job_spec->task_count; i++) {
		const struct rj_cell_task *task = &occurrence->tasks[i];

		if (task->run > 1 ||
		    (task->run && task->runs.next == &task->runs))
			return true;
	}
	return false;
}

/* Encodes what a task has lost so far, and of which runs the failures of a gang
 * consist. */
static void write_history(struct rj_packer *out,
			  const struct rj_cell_task *task, uint32_t position)
{
	uint32_t count = task->failed_run_count;
	bool is_head = rj_cell_task_step(task)->gang && !task->index;
	bool none_begun = !position && is_known_not_begun(task->occurrence->job,
							  task->occurrence);
	bool has_rows = none_begun || task->stalls || task->losses;
	const struct rj_list *at;

	if (none_begun)
		write_row(out, task, position, ROW_NONE_BEGUN, 0, 0);
	if (task->stalls)
		write_row(out, task, position, ROW_STALLS, 0, task->stalls);
	if (task->losses)
		write_row(out, task, position, ROW_LOSSES, 0, task->losses);
	for (at = task->runs.next; at != &task->runs; at = at->next) {
		const struct rj_cell_run *run =
			RJ_CONTAINER(at, struct rj_cell_run, in_task);

		if (!run->backfilled)
			continue;
		write_row(out, task, position, ROW_BACKFILLED, 0, run->number);
		has_rows = true;
	}
	for (uint32_t i = 0; i + 1 < count; i++)
		write_row(out, task, position, task->failed_runs[i], 0, 0);
	/* Earlier versions take the last row for that of the gang. */
	if (count || task->unreported || (is_head && has_rows))
		write_row(out, task, position,
			  count ? task->failed_runs[count - 1] : 0,
			  task->unreported, task->unreported_run);
}

/*
 * Encodes what decides the meaning of further ends of a job's tasks, in rows of
 * five numbers up to the end of the record.
 *
 * Earlier versions read the last row of a task as its last failed run and its
 * unreported failures, and the first versions read none. They take the numbers
 * of other rows for a run that does not exist.
 */
static void write_histories(struct rj_packer *out,
			    const struct rj_cell_job *job)
{
	const struct rj_list *at;

	for (at = job->occurrences.next; at != &job->occurrences;
	     at = at->next) {
		const struct rj_cell_occurrence *occurrence =
			RJ_CONTAINER(at, struct rj_cell_occurrence, link);

		for (uint32_t i = 0; i < job->job_spec->task_count; i++)
			if (!occurrence->tasks[i].done)
				write_history(out, &occurrence->tasks[i], i);
	}
}

/*
 * Encodes the progress of a job as a talloc child of `mem`. Without its
 * checkpoints it is shorter, and tasks that a successor starts again begin from
 * the start.
 */
struct rj_bytes rj_cell_progress_encode(void *mem,
					const struct rj_cell_job *job,
					bool with_checkpoints)
{
	struct worker_table table = { g_ptr_array_new(),
				      g_hash_table_new(NULL, NULL),
				      with_checkpoints };
	struct rj_packer out;

	rj_pack_init(&out);
	rj_pack_number(&out, PROGRESS_FORMAT);
	rj_pack_number(&out, job->state);
	rj_pack_bool(&out, job->started);
	rj_pack_number(&out, job->occurrences_begun);
	rj_pack_number(&out, job->occurrences_done);
	if (!has_ended(job->state)) {
		rj_cell_job_each_run(job, table_add, &table);
		rj_pack_number(&out, table.workers->len);
		for (uint32_t i = 0; i < table.workers->len; i++) {
			const struct rj_cell_worker *worker =
				table.workers->pdata[i];

			rj_pack_text(&out, worker->id);
		}
		write_occurrences(&out, job, &table);
		write_histories(&out, job);
	}
	g_ptr_array_free(table.workers, TRUE);
	g_hash_table_destroy(table.index);
	return rj_pack_finish(&out, mem);
}

/*
 * Encodes what callers may see of a job as a talloc child of `mem`.
 */
struct rj_bytes rj_cell_summary_encode(void *mem,
				       const struct rj_cell_summary *summary)
{
	struct rj_packer out;

	rj_pack_init(&out);
	rj_pack_number(&out, STATE_FORMAT);
	rj_pack_number(&out, summary->state);
	rj_pack_bool(&out, summary->started);
	return rj_pack_finish(&out, mem);
}

/* Decodes the format and the fields of a summary. */
static void read_summary(struct rj_unpacker *in, uint64_t format,
			 struct rj_cell_summary *summary)
{
	if (rj_unpack_number(in, "format", UINT32_MAX) != format)
		rj_unpack_fail(in, "format");
	summary->state = (enum rj_cell_job_state)rj_unpack_number(
		in, "state", RJ_CELL_JOB_STATE_COUNT - 1);
	summary->started = rj_unpack_bool(in, "started");
}

/*
 * Decodes the output of rj_cell_summary_encode. Returns 0, or -1 with `err`.
 */
int rj_cell_summary_decode(struct rj_bytes bytes,
			   struct rj_cell_summary *summary,
			   struct rj_error *err)
{
	struct rj_unpacker in;

	rj_unpack_init(&in, bytes);
	read_summary(&in, STATE_FORMAT, summary);
	return rj_unpack_finish(&in, err);
}

/*
 * Decodes the part of a job's progress that callers may see. Returns 0, or -1
 * with `err`.
 */
int rj_cell_progress_summary(struct rj_bytes bytes,
			     struct rj_cell_summary *summary,
			     struct rj_error *err)
{
	struct rj_unpacker in;

	rj_unpack_init(&in, bytes);
	read_summary(&in, PROGRESS_FORMAT, summary);
	return rj_unpack_finish(&in, err);
}

/* Decodes the runs of a task and adds them to their workers. */
static void read_runs(struct rj_unpacker *in, struct rj_cell_task *task,
		      GPtrArray *workers, uint64_t now_us)
{
	uint32_t count = (uint32_t)rj_unpack_number(in, "runs", UINT16_MAX);

	for (uint32_t i = 0; i < count && !in->bad_field; i++) {
		uint32_t position = (uint32_t)rj_unpack_number(
			in, "worker", workers->len ? workers->len - 1 : 0);
		uint32_t number =
			(uint32_t)rj_unpack_number(in, "number", UINT32_MAX);
		struct rj_cell_run *run;

		if (in->bad_field || position >= workers->len) {
			rj_unpack_fail(in, "worker");
			return;
		}
		run = rj_cell_run_new(workers->pdata[position], task, number);
		run->state = RJ_CELL_RUN_PLACED;
		/* Orders of the former owner are fenced: a run that is not
		 * reported from now on will not start. */
		run->settled_us = 1;
		run->adopted = true;
		run->placed_us = now_us;
	}
}

/* Decodes a task into one without runs. */
static void read_task(struct rj_unpacker *in, struct rj_cell_task *task,
		      GPtrArray *workers, uint64_t now_us)
{
	char checkpoint[CHECKPOINT_BYTES];

	switch (rj_unpack_number(in, "task", TASK_DETAILS)) {
	case TASK_DONE:
		rj_cell_task_complete(task);
		break;
	case TASK_DETAILS:
		task->run = (uint32_t)rj_unpack_number(in, "run", UINT32_MAX);
		task->failures =
			(uint32_t)rj_unpack_number(in, "failures", UINT32_MAX);
		rj_unpack_text(in, "checkpoint", checkpoint,
			       sizeof(checkpoint));
		rj_cell_task_set_checkpoint(task, checkpoint);
		if (task->failures)
			rj_cell_task_set_begun(task, 0);
		read_runs(in, task, workers, now_us);
		break;
	default:
		break;
	}
}

static void read_occurrences(struct rj_unpacker *in, struct rj_cell_job *job,
			     GPtrArray *workers, uint64_t now_us)
{
	uint32_t count = (uint32_t)rj_unpack_number(in, "rounds", UINT32_MAX);

	for (uint32_t i = 0; i < count && !in->bad_field; i++) {
		uint32_t number =
			(uint32_t)rj_unpack_number(in, "round", UINT32_MAX - 1);
		struct rj_cell_occurrence *occurrence =
			rj_cell_job_begin_occurrence(job, number);

		for (uint32_t j = 0;
		     j < job->job_spec->task_count && !in->bad_field; j++)
			read_task(in, &occurrence->tasks[j], workers, now_us);
	}
}

/* Returns a task by occurrence number and its index among the occurrence's
 * tasks, or NULL. */
static struct rj_cell_task *task_at(const struct rj_cell_job *job,
				    uint32_t number, uint32_t position)
{
	const struct rj_list *at;

	for (at = job->occurrences.next; at != &job->occurrences;
	     at = at->next) {
		struct rj_cell_occurrence *occurrence =
			RJ_CONTAINER(at, struct rj_cell_occurrence, link);

		if (occurrence->number == number &&
		    position < job->job_spec->task_count)
			return &occurrence->tasks[position];
	}
	return NULL;
}

/* Marks the run of a task with this number as let in beside a promise. */
static void set_backfilled(struct rj_cell_task *task, uint32_t number)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &task->runs) {
		struct rj_cell_run *run =
			RJ_CONTAINER(at, struct rj_cell_run, in_task);

		run->backfilled |= run->number == number;
	}
}

/* Decodes a row of write_history. The owner, which knows the lease duration,
 * limits how long unreported failures count. */
static void read_row(struct rj_unpacker *in, struct rj_cell_task *task)
{
	uint32_t failed_run =
		(uint32_t)rj_unpack_number(in, "failed_run", UINT32_MAX);
	uint32_t unreported =
		(uint32_t)rj_unpack_number(in, "unseen", UINT32_MAX);
	uint32_t value =
		(uint32_t)rj_unpack_number(in, "unseen_run", UINT32_MAX);

	switch (failed_run) {
	case ROW_STALLS:
		task->stalls = value;
		return;
	case ROW_LOSSES:
		task->losses = value;
		return;
	case ROW_BACKFILLED:
		set_backfilled(task, value);
		return;
	case ROW_NONE_BEGUN:
		task->occurrence->job->any_begun = false;
		return;
	default:
		break;
	}
	if (failed_run)
		(void)rj_cell_task_add_failed_run(task, failed_run);
	task->unreported = unreported;
	task->unreported_run = value;
	task->unreported_until_us = RJ_NEVER_US;
}

/* Decodes the output of write_histories. */
static void read_histories(struct rj_unpacker *in, struct rj_cell_job *job)
{
	while (rj_unpack_has_more(in)) {
		uint32_t occurrence = (uint32_t)rj_unpack_number(
			in, "unseen_round", UINT32_MAX);
		uint32_t position = (uint32_t)rj_unpack_number(
			in, "unseen_task", UINT32_MAX);
		struct rj_cell_task *task = task_at(job, occurrence, position);

		if (!task) {
			rj_unpack_fail(in, "unseen_task");
			return;
		}
		read_row(in, task);
	}
}

/*
 * Decodes the progress of a job into `job`, which must have none. Its runs are
 * added to their workers as placed but not yet reported. Returns 0, or -1 with
 * `err`; `job` may then be partly filled.
 */
int rj_cell_progress_decode(struct rj_bytes bytes, struct rj_cell_job *job,
			    struct rj_cell_fleet *fleet, uint64_t now_us,
			    struct rj_error *err)
{
	GPtrArray *workers = g_ptr_array_new();
	struct rj_cell_summary summary = { 0 };
	struct rj_unpacker in;
	uint32_t begun;

	rj_unpack_init(&in, bytes);
	read_summary(&in, PROGRESS_FORMAT, &summary);
	job->state = summary.state;
	job->started = summary.started;
	/* Unless ROW_NONE_BEGUN says otherwise. */
	job->any_begun = summary.started;
	begun = (uint32_t)rj_unpack_number(&in, "begun", UINT32_MAX);
	job->occurrences_done =
		(uint32_t)rj_unpack_number(&in, "done", UINT32_MAX);
	if (!has_ended(job->state) && !in.bad_field) {
		uint32_t count =
			(uint32_t)rj_unpack_number(&in, "workers", UINT16_MAX);

		for (uint32_t i = 0; i < count && !in.bad_field; i++) {
			char id[RJ_NAME_BYTES];

			rj_unpack_text(&in, "worker_id", id, sizeof(id));
			g_ptr_array_add(workers,
					rj_cell_fleet_obtain(fleet, id));
		}
		read_occurrences(&in, job, workers, now_us);
		read_histories(&in, job);
	}
	job->occurrences_begun = begun;
	g_ptr_array_free(workers, TRUE);
	return rj_unpack_finish(&in, err);
}

/*
 * Encodes an ownership record as a talloc child of `mem`.
 */
struct rj_bytes rj_cell_owner_encode(void *mem,
				     const struct rj_cell_owner_record *owner)
{
	struct rj_packer out;

	rj_pack_init(&out);
	rj_pack_number(&out, OWNER_FORMAT);
	rj_pack_text(&out, owner->name);
	rj_pack_number(&out, owner->incarnation);
	rj_pack_number(&out, owner->strength);
	rj_pack_bool(&out, owner->leaving);
	rj_pack_number(&out, owner->since_ms);
	rj_pack_number(&out, owner->epoch);
	return rj_pack_finish(&out, mem);
}

/*
 * Decodes the output of rj_cell_owner_encode, in any supported format. Returns
 * 0, or -1 with `err`.
 */
int rj_cell_owner_decode(struct rj_bytes bytes,
			 struct rj_cell_owner_record *owner,
			 struct rj_error *err)
{
	struct rj_unpacker in;
	uint64_t format;

	rj_unpack_init(&in, bytes);
	format = rj_unpack_number(&in, "format", OWNER_FORMAT);
	if (format < OWNER_FORMAT_NO_TIME)
		rj_unpack_fail(&in, "format");
	rj_unpack_text(&in, "name", owner->name, sizeof(owner->name));
	owner->incarnation = rj_unpack_number(&in, "incarnation", UINT64_MAX);
	owner->strength =
		(uint32_t)rj_unpack_number(&in, "strength", UINT32_MAX);
	owner->leaving = rj_unpack_bool(&in, "leaving");
	owner->since_ms = format > OWNER_FORMAT_NO_TIME ?
				  rj_unpack_number(&in, "since", UINT64_MAX) :
				  0;
	owner->epoch = format > OWNER_FORMAT_NO_EPOCH ?
			       rj_unpack_number(&in, "epoch", UINT64_MAX) :
			       0;
	return rj_unpack_finish(&in, err);
}

/* Encodes the announced submissions, if there is anything to tell. */
static void write_return_order(struct rj_packer *out, void *mem,
			       const struct rj_cell_owner_heartbeat *heartbeat)
{
	struct rj_packer block;
	struct rj_bytes bytes;

	if (!heartbeat->announced_count && !heartbeat->rejections_interval_ms)
		return;
	rj_pack_init(&block);
	rj_pack_number(&block, heartbeat->rejections_interval_ms);
	rj_pack_number(&block, heartbeat->announced_count);
	for (uint32_t i = 0; i < heartbeat->announced_count; i++) {
		rj_pack_number(&block, heartbeat->announced[i].id);
		rj_pack_number(&block, heartbeat->announced[i].due_ms);
		rj_pack_number(&block, heartbeat->announced[i].queue);
	}
	bytes = rj_pack_finish(&block, mem);
	rj_pack_number(out, HEARTBEAT_TAG_RETURN_ORDER);
	rj_pack_data(out, bytes.data, bytes.length);
	talloc_free((void *)bytes.data);
}

/* Decodes the output of write_return_order. If that fails, nobody is
 * announced. */
static void read_return_order(struct rj_bytes bytes,
			      struct rj_cell_owner_heartbeat *heartbeat)
{
	struct rj_unpacker block;
	struct rj_error err;

	rj_unpack_init(&block, bytes);
	heartbeat->rejections_interval_ms =
		(uint32_t)rj_unpack_number(&block, "interval", UINT32_MAX);
	heartbeat->announced_count = (uint32_t)rj_unpack_number(
		&block, "announced", RJ_CELL_ANNOUNCED_MAX);
	for (uint32_t i = 0; i < heartbeat->announced_count; i++) {
		struct rj_cell_announced *announced = &heartbeat->announced[i];

		announced->id = rj_unpack_number(&block, "id", UINT64_MAX);
		announced->due_ms = rj_unpack_number(&block, "due", UINT64_MAX);
		announced->queue = (uint32_t)rj_unpack_number(
			&block, "queue", RJ_CELL_QUEUE_LOADS_MAX);
		if (announced->queue >= heartbeat->queue_load_count)
			rj_unpack_fail(&block, "queue");
	}
	if (!rj_unpack_finish(&block, &err))
		return;
	heartbeat->rejections_interval_ms = 0;
	heartbeat->announced_count = 0;
}

/* Encodes the accounts that queues reject, unless all queues treat all accounts
 * alike. */
static void
write_refused_accounts(struct rj_packer *out, void *mem,
		       const struct rj_cell_owner_heartbeat *heartbeat)
{
	struct rj_packer block;
	struct rj_bytes value;

	if (!heartbeat->queues_by_share)
		return;
	rj_pack_init(&block);
	rj_pack_number(&block, heartbeat->queues_by_share);
	rj_pack_number(&block, heartbeat->refused_account_count);
	for (uint32_t i = 0; i < heartbeat->refused_account_count; i++) {
		const struct rj_cell_refused_account *refused =
			&heartbeat->refused_accounts[i];

		rj_pack_text(&block, refused->account);
		rj_pack_number(&block, refused->queues);
		rj_pack_number(&block, refused->retry_after_ms);
	}
	value = rj_pack_finish(&block, mem);
	rj_pack_number(out, HEARTBEAT_TAG_REFUSED_ACCOUNTS);
	rj_pack_data(out, value.data, value.length);
	talloc_free((void *)value.data);
}

/* Decodes the output of write_refused_accounts. If that fails, all queues treat
 * all accounts alike. */
static void read_refused_accounts(struct rj_bytes bytes,
				  struct rj_cell_owner_heartbeat *heartbeat)
{
	struct rj_unpacker in;
	struct rj_error err;

	rj_unpack_init(&in, bytes);
	heartbeat->queues_by_share =
		(uint32_t)rj_unpack_number(&in, "queues", UINT32_MAX);
	heartbeat->refused_account_count = (uint32_t)rj_unpack_number(
		&in, "accounts", RJ_CELL_REFUSED_MAX);
	for (uint32_t i = 0; i < heartbeat->refused_account_count; i++) {
		struct rj_cell_refused_account *refused =
			&heartbeat->refused_accounts[i];

		rj_unpack_text(&in, "account", refused->account,
			       sizeof(refused->account));
		refused->queues =
			(uint32_t)rj_unpack_number(&in, "queues", UINT32_MAX);
		refused->retry_after_ms = (uint32_t)rj_unpack_number(
			&in, "retry_after_ms", UINT32_MAX);
	}
	if (!rj_unpack_finish(&in, &err))
		return;
	heartbeat->queues_by_share = 0;
	heartbeat->refused_account_count = 0;
}

/* Adds a block to a heartbeat. */
static void write_pending_block(struct rj_packer *out, void *mem,
				struct rj_packer *block)
{
	struct rj_bytes value = rj_pack_finish(block, mem);

	rj_pack_number(out, HEARTBEAT_TAG_FURTHER_PENDING);
	rj_pack_data(out, value.data, value.length);
	talloc_free((void *)value.data);
}

/* Encodes the pending jobs of further queues, in blocks that earlier versions
 * can skip. */
static void
write_further_pending(struct rj_packer *out, void *mem,
		      const struct rj_cell_owner_heartbeat *heartbeat)
{
	struct rj_packer block;
	GHashTableIter each;
	gpointer queue;
	gpointer pending;
	uint32_t rows = 0;

	if (!heartbeat->further_pending)
		return;
	g_hash_table_iter_init(&each, heartbeat->further_pending);
	while (g_hash_table_iter_next(&each, &queue, &pending)) {
		if (!rows)
			rj_pack_init(&block);
		rj_pack_text(&block, queue);
		rj_pack_number(&block, GPOINTER_TO_UINT(pending));
		rows = (rows + 1) % HEARTBEAT_PENDING_ROWS_MAX;
		if (!rows)
			write_pending_block(out, mem, &block);
	}
	if (rows)
		write_pending_block(out, mem, &block);
}

/* Decodes one block of write_further_pending; its rows up to one that is
 * malformed count. */
static void read_further_pending(struct rj_bytes bytes,
				 struct rj_cell_owner_heartbeat *heartbeat)
{
	struct rj_unpacker in;
	struct rj_error err;

	rj_unpack_init(&in, bytes);
	while (rj_unpack_has_more(&in)) {
		char queue[RJ_NAME_BYTES];
		uint32_t pending;

		rj_unpack_text(&in, "queue", queue, sizeof(queue));
		pending =
			(uint32_t)rj_unpack_number(&in, "pending", UINT32_MAX);
		if (!in.bad_field)
			rj_cell_owner_heartbeat_set_pending(heartbeat, queue,
							    pending);
	}
	(void)rj_unpack_finish(&in, &err);
}

/* Decodes the blocks that follow the fixed fields of a heartbeat. */
static void read_blocks(struct rj_unpacker *in,
			struct rj_cell_owner_heartbeat *heartbeat)
{
	while (rj_unpack_has_more(in)) {
		uint64_t tag = rj_unpack_number(in, "tag", UINT32_MAX);
		struct rj_bytes block =
			rj_unpack_data(in, "block", HEARTBEAT_BLOCK_BYTES_MAX);

		if (tag == HEARTBEAT_TAG_RETURN_ORDER && !in->bad_field)
			read_return_order(block, heartbeat);
		if (tag == HEARTBEAT_TAG_REFUSED_ACCOUNTS && !in->bad_field)
			read_refused_accounts(block, heartbeat);
		if (tag == HEARTBEAT_TAG_FURTHER_PENDING && !in->bad_field)
			read_further_pending(block, heartbeat);
	}
}

/*
 * Copies a heartbeat into an empty one.
 */
void rj_cell_owner_heartbeat_copy(struct rj_cell_owner_heartbeat *to,
				  const struct rj_cell_owner_heartbeat *from)
{
	*to = *from;
	if (to->further_pending)
		g_hash_table_ref(to->further_pending);
}

/*
 * Frees what a heartbeat holds; it is empty then.
 */
void rj_cell_owner_heartbeat_finish(struct rj_cell_owner_heartbeat *heartbeat)
{
	if (heartbeat->further_pending)
		g_hash_table_unref(heartbeat->further_pending);
	memset(heartbeat, 0, sizeof(*heartbeat));
}

/*
 * Sets the pending jobs of a queue that is not among the queue loads.
 */
void rj_cell_owner_heartbeat_set_pending(
	struct rj_cell_owner_heartbeat *heartbeat, const char *queue,
	uint32_t pending)
{
	if (!heartbeat->further_pending)
		heartbeat->further_pending = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, NULL);
	g_hash_table_replace(heartbeat->further_pending, g_strdup(queue),
			     GUINT_TO_POINTER(pending));
}

/*
 * Returns the number of pending jobs of any queue.
 */
uint32_t
rj_cell_owner_heartbeat_pending(const struct rj_cell_owner_heartbeat *heartbeat,
				const char *queue)
{
	for (uint32_t i = 0; i < heartbeat->queue_load_count; i++)
		if (!strcmp(heartbeat->queue_loads[i].queue, queue))
			return heartbeat->queue_loads[i].pending;
	if (!heartbeat->further_pending)
		return 0;
	return GPOINTER_TO_UINT(
		g_hash_table_lookup(heartbeat->further_pending, queue));
}

/*
 * Encodes an owner's heartbeat as a talloc child of `mem`.
 */
struct rj_bytes
rj_cell_owner_heartbeat_encode(void *mem,
			       const struct rj_cell_owner_heartbeat *heartbeat)
{
	struct rj_packer out;

	rj_pack_init(&out);
	rj_pack_number(&out, HEARTBEAT_FORMAT);
	rj_pack_number(&out, heartbeat->incarnation);
	rj_pack_number(&out, heartbeat->number);
	rj_pack_number(&out, heartbeat->queue_load_count);
	for (uint32_t i = 0; i < heartbeat->queue_load_count; i++) {
		const struct rj_cell_queue_load *load =
			&heartbeat->queue_loads[i];

		rj_pack_text(&out, load->queue);
		rj_pack_number(&out, load->mean_ms);
		rj_pack_bool(&out, load->refuse);
		rj_pack_number(&out, load->retry_after_ms);
		rj_pack_number(&out, load->pending);
	}
	/* Earlier versions do not read what follows the queues. */
	rj_pack_number(&out, heartbeat->term_token);
	rj_pack_number(&out, heartbeat->term_ms);
	write_return_order(&out, mem, heartbeat);
	write_refused_accounts(&out, mem, heartbeat);
	write_further_pending(&out, mem, heartbeat);
	return rj_pack_finish(&out, mem);
}

/*
 * Decodes the output of rj_cell_owner_heartbeat_encode. Returns 0, or -1 with
 * `err`.
 */
int rj_cell_owner_heartbeat_decode(struct rj_bytes bytes,
				   struct rj_cell_owner_heartbeat *heartbeat,
				   struct rj_error *err)
{
	struct rj_unpacker in;

	memset(heartbeat, 0, sizeof(*heartbeat));
	rj_unpack_init(&in, bytes);
	if (rj_unpack_number(&in, "format", UINT32_MAX) != HEARTBEAT_FORMAT)
		rj_unpack_fail(&in, "format");
	heartbeat->incarnation =
		rj_unpack_number(&in, "incarnation", UINT64_MAX);
	heartbeat->number =
		(uint32_t)rj_unpack_number(&in, "number", UINT32_MAX);
	heartbeat->queue_load_count = (uint32_t)rj_unpack_number(
		&in, "shares", RJ_CELL_QUEUE_LOADS_MAX);
	for (uint32_t i = 0; i < heartbeat->queue_load_count; i++) {
		struct rj_cell_queue_load *load = &heartbeat->queue_loads[i];

		rj_unpack_text(&in, "queue", load->queue, sizeof(load->queue));
		load->mean_ms =
			(uint32_t)rj_unpack_number(&in, "mean_ms", UINT32_MAX);
		load->refuse = rj_unpack_bool(&in, "refuse");
		load->retry_after_ms = (uint32_t)rj_unpack_number(
			&in, "come_back_ms", UINT32_MAX);
		load->pending =
			(uint32_t)rj_unpack_number(&in, "pending", UINT32_MAX);
	}
	if (rj_unpack_has_more(&in)) {
		heartbeat->term_token =
			rj_unpack_number(&in, "term_token", UINT64_MAX);
		heartbeat->term_ms =
			rj_unpack_number(&in, "term_ms", UINT64_MAX);
	}
	read_blocks(&in, heartbeat);
	if (!rj_unpack_finish(&in, err))
		return 0;
	rj_cell_owner_heartbeat_finish(heartbeat);
	return -1;
}
