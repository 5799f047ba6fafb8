#include "private/cell_record.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/pack.h"

#define PROGRESS_FORMAT 1
#define STATE_FORMAT 1
/* Earlier formats had no time, then no epoch in them; instances of all may
 * run side by side. */
#define OWNER_FORMAT_UNTIMED 1
#define OWNER_FORMAT_TIMED 2
#define OWNER_FORMAT 3
#define BEAT_FORMAT 1

/* The first character of a key. */
static const char kind_letter[RJ_CELL_RECORD_KIND_COUNT] = {
	[RJ_CELL_RECORD_DEFINITION] = 'j', [RJ_CELL_RECORD_PROGRESS] = 's',
	[RJ_CELL_RECORD_STATE] = 't',	   [RJ_CELL_RECORD_CANCEL] = 'c',
	[RJ_CELL_RECORD_OWNER] = 'o',	   [RJ_CELL_RECORD_BEAT] = 'b',
};

/* How much of a task is written. */
enum task_code {
	TASK_FRESH, /* nothing has happened to it */
	TASK_DONE,
	TASK_DETAILS,
};

/*
 * The key of a record; `id` is that of a job, or "".
 */
void rj_cell_record_key(char key[RJ_CELL_KEY_BYTES],
			enum rj_cell_record_kind kind, const char *id)
{
	key[0] = kind_letter[kind];
	g_strlcpy(key + 1, id, RJ_CELL_KEY_BYTES - 1);
}

/*
 * What a key stands for. Returns 0, or -1 for a key that we did not write.
 */
int rj_cell_record_kind(const char *key, enum rj_cell_record_kind *kind,
			const char **id)
{
	for (int i = 0; i < RJ_CELL_RECORD_KIND_COUNT; i++) {
		bool of_job = i <= RJ_CELL_RECORD_CANCEL;

		if (key[0] != kind_letter[i] ||
		    strlen(key) != (of_job ? RJ_CELL_KEY_BYTES - 1 : 1))
			continue;
		*kind = (enum rj_cell_record_kind)i;
		*id = key + 1;
		return 0;
	}
	return -1;
}

/* The workers of a job's runs, each written once. */
struct worker_table {
	GPtrArray *workers; /* struct rj_cell_worker */
	GHashTable *index; /* worker -> its place + 1 */
};

/* Note the worker of one run. */
static void table_add(struct rj_cell_run *run, void *private_data)
{
	struct worker_table *table = private_data;

	if (g_hash_table_contains(table->index, run->worker))
		return;
	g_ptr_array_add(table->workers, run->worker);
	g_hash_table_insert(table->index, run->worker,
			    GUINT_TO_POINTER(table->workers->len));
}

/* Runs that are being stopped stay in the record: until their end is known,
 * a successor must not start the task elsewhere. */
static uint32_t count_runs(const struct rj_cell_task *task)
{
	const struct rj_list *at;
	uint32_t count = 0;

	for (at = task->runs.next; at != &task->runs; at = at->next)
		count++;
	return count;
}

/* One task, as short as can be. */
static void write_task(struct rj_packer *out, const struct rj_cell_task *task,
		       const struct worker_table *table)
{
	const struct rj_list *at;

	if (task->done) {
		rj_pack_number(out, TASK_DONE);
		return;
	}
	if (!task->run && !task->failures) {
		rj_pack_number(out, TASK_FRESH);
		return;
	}
	rj_pack_number(out, TASK_DETAILS);
	rj_pack_number(out, task->run);
	rj_pack_number(out, task->failures);
	rj_pack_text(out, task->checkpoint);
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

/* Whether the job has ended, so that its tasks do not matter any more. */
static bool has_ended(enum rj_cell_job_state state)
{
	return state >= RJ_CELL_JOB_COMPLETED;
}

/* The occurrences under way. */
static void write_rounds(struct rj_packer *out, const struct rj_cell_work *work,
			 const struct worker_table *table)
{
	const struct rj_list *at;
	uint32_t count = 0;

	for (at = work->rounds.next; at != &work->rounds; at = at->next)
		count++;
	rj_pack_number(out, count);
	for (at = work->rounds.next; at != &work->rounds; at = at->next) {
		const struct rj_cell_round *round =
			RJ_CONTAINER(at, struct rj_cell_round, link);

		rj_pack_number(out, round->number);
		for (uint32_t i = 0; i < work->def->task_count; i++)
			write_task(out, &round->tasks[i], table);
	}
}

/*
 * What nobody has listed of gangs, behind all else up to the end of the
 * record, a row for each gang: earlier versions do not read that far.
 */
static void write_unseen(struct rj_packer *out, const struct rj_cell_work *work)
{
	const struct rj_list *at;

	for (at = work->rounds.next; at != &work->rounds; at = at->next) {
		const struct rj_cell_round *round =
			RJ_CONTAINER(at, struct rj_cell_round, link);

		for (uint32_t i = 0; i < work->def->task_count; i++) {
			const struct rj_cell_task *task = &round->tasks[i];

			if (!task->unseen || task->done)
				continue;
			rj_pack_number(out, round->number);
			rj_pack_number(out, i);
			rj_pack_number(out, task->failed_run);
			rj_pack_number(out, task->unseen);
			rj_pack_number(out, task->unseen_run);
		}
	}
}

/*
 * The progress of a job, as it is kept in the log; a talloc child of `mem`.
 */
struct rj_bytes rj_cell_progress_encode(void *mem,
					const struct rj_cell_work *work)
{
	struct worker_table table = { g_ptr_array_new(),
				      g_hash_table_new(NULL, NULL) };
	struct rj_packer out;

	rj_pack_init(&out);
	rj_pack_number(&out, PROGRESS_FORMAT);
	rj_pack_number(&out, work->state);
	rj_pack_bool(&out, work->started);
	rj_pack_number(&out, work->rounds_begun);
	rj_pack_number(&out, work->rounds_done);
	if (!has_ended(work->state)) {
		rj_cell_work_each_run(work, table_add, &table);
		rj_pack_number(&out, table.workers->len);
		for (uint32_t i = 0; i < table.workers->len; i++) {
			const struct rj_cell_worker *worker =
				table.workers->pdata[i];

			rj_pack_text(&out, worker->id);
		}
		write_rounds(&out, work, &table);
		write_unseen(&out, work);
	}
	g_ptr_array_free(table.workers, TRUE);
	g_hash_table_destroy(table.index);
	return rj_pack_finish(&out, mem);
}

/*
 * What callers are told of a job; a talloc child of `mem`.
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

/* The fields of a summary, behind a format. */
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
 * What rj_cell_summary_encode wrote. Returns 0, or -1 with `err`.
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
 * The part of a job's progress that callers are told. Returns 0, or -1 with
 * `err`.
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

/* The runs of one task, whose workers may not be known otherwise yet. */
static void read_runs(struct rj_unpacker *in, struct rj_cell_task *task,
		      GPtrArray *workers, uint64_t now_us)
{
	uint32_t count = (uint32_t)rj_unpack_number(in, "runs", UINT16_MAX);

	for (uint32_t i = 0; i < count && !in->bad_field; i++) {
		uint32_t place = (uint32_t)rj_unpack_number(
			in, "worker", workers->len ? workers->len - 1 : 0);
		uint32_t number =
			(uint32_t)rj_unpack_number(in, "number", UINT32_MAX);
		struct rj_cell_run *run;

		if (in->bad_field || place >= workers->len) {
			rj_unpack_fail(in, "worker");
			return;
		}
		run = rj_cell_run_new(workers->pdata[place], task, number);
		run->state = RJ_CELL_RUN_PLACED;
		/* The former owner's orders are fenced: what is not listed
		 * from now on will never come. */
		run->settled_us = 1;
		run->adopted = true;
		run->begun_us = now_us;
	}
}

/* One task, into one that is fresh. */
static void read_task(struct rj_unpacker *in, struct rj_cell_task *task,
		      GPtrArray *workers, uint64_t now_us)
{
	switch (rj_unpack_number(in, "task", TASK_DETAILS)) {
	case TASK_DONE:
		rj_cell_round_task_done(task);
		break;
	case TASK_DETAILS:
		task->run = (uint32_t)rj_unpack_number(in, "run", UINT32_MAX);
		task->failures =
			(uint32_t)rj_unpack_number(in, "failures", UINT32_MAX);
		rj_unpack_text(in, "checkpoint", task->checkpoint,
			       sizeof(task->checkpoint));
		read_runs(in, task, workers, now_us);
		break;
	default:
		break;
	}
}

/* The occurrences under way. */
static void read_rounds(struct rj_unpacker *in, struct rj_cell_work *work,
			GPtrArray *workers, uint64_t now_us)
{
	uint32_t count = (uint32_t)rj_unpack_number(in, "rounds", UINT16_MAX);

	for (uint32_t i = 0; i < count && !in->bad_field; i++) {
		uint32_t number =
			(uint32_t)rj_unpack_number(in, "round", UINT32_MAX - 1);
		struct rj_cell_round *round =
			rj_cell_work_begin_round(work, number);

		for (uint32_t j = 0;
		     j < work->def->task_count && !in->bad_field; j++)
			read_task(in, &round->tasks[j], workers, now_us);
	}
}

/* A task of an occurrence under way, by its place in the job; or NULL. */
static struct rj_cell_task *task_at(const struct rj_cell_work *work,
				    uint32_t number, uint32_t place)
{
	const struct rj_list *at;

	for (at = work->rounds.next; at != &work->rounds; at = at->next) {
		struct rj_cell_round *round =
			RJ_CONTAINER(at, struct rj_cell_round, link);

		if (round->number == number && place < work->def->task_count)
			return &round->tasks[place];
	}
	return NULL;
}

/* What write_unseen wrote. Until when it counts is for the owner to say, who
 * knows how long leases last. */
static void read_unseen(struct rj_unpacker *in, struct rj_cell_work *work)
{
	while (!in->bad_field && in->offset < in->length) {
		uint32_t round = (uint32_t)rj_unpack_number(in, "unseen_round",
							    UINT32_MAX);
		uint32_t place = (uint32_t)rj_unpack_number(in, "unseen_task",
							    UINT32_MAX);
		struct rj_cell_task *task = task_at(work, round, place);

		if (!task) {
			rj_unpack_fail(in, "unseen_task");
			return;
		}
		task->failed_run = (uint32_t)rj_unpack_number(in, "failed_run",
							      UINT32_MAX);
		task->unseen =
			(uint32_t)rj_unpack_number(in, "unseen", UINT32_MAX);
		task->unseen_run = (uint32_t)rj_unpack_number(in, "unseen_run",
							      UINT32_MAX);
		task->unseen_until_us = RJ_NEVER_US;
	}
}

/*
 * Take the progress of a job over from the log into `work`, which has none
 * yet. Its runs are noted at their workers, as taken but not seen there.
 * Returns 0, or -1 with `err`; `work` may then hold a part.
 */
int rj_cell_progress_decode(struct rj_bytes bytes, struct rj_cell_work *work,
			    struct rj_cell_fleet *fleet, uint64_t now_us,
			    struct rj_error *err)
{
	GPtrArray *workers = g_ptr_array_new();
	struct rj_cell_summary summary = { 0 };
	struct rj_unpacker in;
	uint32_t begun;

	rj_unpack_init(&in, bytes);
	read_summary(&in, PROGRESS_FORMAT, &summary);
	work->state = summary.state;
	work->started = summary.started;
	begun = (uint32_t)rj_unpack_number(&in, "begun", UINT32_MAX);
	work->rounds_done = (uint32_t)rj_unpack_number(&in, "done", UINT32_MAX);
	if (!has_ended(work->state) && !in.bad_field) {
		uint32_t count =
			(uint32_t)rj_unpack_number(&in, "workers", UINT16_MAX);

		for (uint32_t i = 0; i < count && !in.bad_field; i++) {
			char id[RJ_NAME_BYTES];

			rj_unpack_text(&in, "worker_id", id, sizeof(id));
			g_ptr_array_add(workers,
					rj_cell_fleet_obtain(fleet, id));
		}
		read_rounds(&in, work, workers, now_us);
		read_unseen(&in, work);
	}
	work->rounds_begun = begun;
	g_ptr_array_free(workers, TRUE);
	return rj_unpack_finish(&in, err);
}

/*
 * Who owns the cell; a talloc child of `mem`.
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
 * What rj_cell_owner_encode wrote. Returns 0, or -1 with `err`.
 */
int rj_cell_owner_decode(struct rj_bytes bytes,
			 struct rj_cell_owner_record *owner,
			 struct rj_error *err)
{
	struct rj_unpacker in;
	uint64_t format;

	rj_unpack_init(&in, bytes);
	format = rj_unpack_number(&in, "format", OWNER_FORMAT);
	if (format < OWNER_FORMAT_UNTIMED)
		rj_unpack_fail(&in, "format");
	rj_unpack_text(&in, "name", owner->name, sizeof(owner->name));
	owner->incarnation = rj_unpack_number(&in, "incarnation", UINT64_MAX);
	owner->strength =
		(uint32_t)rj_unpack_number(&in, "strength", UINT32_MAX);
	owner->leaving = rj_unpack_bool(&in, "leaving");
	owner->since_ms = format > OWNER_FORMAT_UNTIMED ?
				  rj_unpack_number(&in, "since", UINT64_MAX) :
				  0;
	owner->epoch = format > OWNER_FORMAT_TIMED ?
			       rj_unpack_number(&in, "epoch", UINT64_MAX) :
			       0;
	return rj_unpack_finish(&in, err);
}

/*
 * A heartbeat of the owner; a talloc child of `mem`.
 */
struct rj_bytes rj_cell_beat_encode(void *mem, const struct rj_cell_beat *beat)
{
	struct rj_packer out;

	rj_pack_init(&out);
	rj_pack_number(&out, BEAT_FORMAT);
	rj_pack_number(&out, beat->incarnation);
	rj_pack_number(&out, beat->number);
	rj_pack_number(&out, beat->share_count);
	for (uint32_t i = 0; i < beat->share_count; i++) {
		const struct rj_cell_share *share = &beat->shares[i];

		rj_pack_text(&out, share->queue);
		rj_pack_number(&out, share->mean_ms);
		rj_pack_bool(&out, share->refuse);
		rj_pack_number(&out, share->come_back_ms);
	}
	return rj_pack_finish(&out, mem);
}

/*
 * What rj_cell_beat_encode wrote. Returns 0, or -1 with `err`.
 */
int rj_cell_beat_decode(struct rj_bytes bytes, struct rj_cell_beat *beat,
			struct rj_error *err)
{
	struct rj_unpacker in;

	memset(beat, 0, sizeof(*beat));
	rj_unpack_init(&in, bytes);
	if (rj_unpack_number(&in, "format", UINT32_MAX) != BEAT_FORMAT)
		rj_unpack_fail(&in, "format");
	beat->incarnation = rj_unpack_number(&in, "incarnation", UINT64_MAX);
	beat->number = (uint32_t)rj_unpack_number(&in, "number", UINT32_MAX);
	beat->share_count =
		(uint32_t)rj_unpack_number(&in, "shares", RJ_CELL_SHARES_MAX);
	for (uint32_t i = 0; i < beat->share_count; i++) {
		struct rj_cell_share *share = &beat->shares[i];

		rj_unpack_text(&in, "queue", share->queue,
			       sizeof(share->queue));
		share->mean_ms =
			(uint32_t)rj_unpack_number(&in, "mean_ms", UINT32_MAX);
		share->refuse = rj_unpack_bool(&in, "refuse");
		share->come_back_ms = (uint32_t)rj_unpack_number(
			&in, "come_back_ms", UINT32_MAX);
	}
	return rj_unpack_finish(&in, err);
}
