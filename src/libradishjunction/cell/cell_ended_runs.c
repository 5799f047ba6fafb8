#include "private/cell_ended_runs.h"

#include <string.h>
#include <talloc.h>

#include "private/cell_owner.h"
#include "private/cell_record.h"
#include "private/log_event.h"
#include "private/pack.h"

#define ENDED_RUNS_FORMAT 1
/* Maximum number of ends that are kept and published. */
#define ROWS_MAX 2048
/* Buffer size of a run's name, and of the longest checkpoint that is
 * published. */
#define NAME_BYTES (RJ_NAME_BYTES * 2)
#define CHECKPOINT_BYTES 64

/* The end of a run. */
struct row {
	char worker[RJ_NAME_BYTES];
	char name[NAME_BYTES];
	uint32_t number;
	enum rj_cell_completion end;
	char saved[CHECKPOINT_BYTES]; /* checkpoint, or "" */
};

/*
 * Adds the end of a run, unless there are too many.
 */
void rj_cell_ended_runs_add(struct rj_cell_ended_runs *ended,
			    const char *worker,
			    const struct rj_cell_completion_report *report)
{
	struct row *row;

	if (!ended->rows)
		ended->rows = g_ptr_array_new_with_free_func(g_free);
	if (ended->rows->len >= ROWS_MAX || strlen(report->name) >= NAME_BYTES)
		return;
	row = g_new0(struct row, 1);
	g_strlcpy(row->worker, worker, sizeof(row->worker));
	g_strlcpy(row->name, report->name, sizeof(row->name));
	row->number = report->number;
	row->end = report->end;
	/* A part of a checkpoint's name would name nothing. */
	if (strlen(report->saved) < sizeof(row->saved))
		g_strlcpy(row->saved, report->saved, sizeof(row->saved));
	g_ptr_array_add(ended->rows, row);
}

/*
 * Records that all ends so far are being stored.
 */
void rj_cell_ended_runs_storing(struct rj_cell_ended_runs *ended)
{
	ended->storing = ended->rows ? ended->rows->len : 0;
}

/*
 * Removes the ends that were being stored, and now are.
 */
void rj_cell_ended_runs_stored(struct rj_cell_ended_runs *ended)
{
	if (ended->storing)
		g_ptr_array_remove_range(ended->rows, 0, ended->storing);
	ended->storing = 0;
}

/*
 * Removes all ends.
 */
void rj_cell_ended_runs_finish(struct rj_cell_ended_runs *ended)
{
	if (ended->rows)
		g_ptr_array_free(ended->rows, TRUE);
	if (ended->early)
		g_ptr_array_free(ended->early, TRUE);
	memset(ended, 0, sizeof(*ended));
}

/* Encodes the ends as a talloc child of `mem`; they were reported to the owner
 * with this token. */
static struct rj_bytes encode(const struct rj_cell_ended_runs *ended, void *mem,
			      uint64_t token)
{
	struct rj_packer out;

	rj_pack_init(&out);
	rj_pack_number(&out, ENDED_RUNS_FORMAT);
	rj_pack_number(&out, ended->rows->len);
	for (guint i = 0; i < ended->rows->len; i++) {
		const struct row *row = ended->rows->pdata[i];

		rj_pack_text(&out, row->worker);
		rj_pack_text(&out, row->name);
		rj_pack_number(&out, row->number);
		rj_pack_number(&out, row->end);
		rj_pack_text(&out, row->saved);
	}
	/* Earlier versions do not read this. */
	rj_pack_number(&out, token);
	return rj_pack_finish(&out, mem);
}

/* A record that was not stored is not repeated: the successor then waits for the
 * leases. */
static void publish_done(void *private_data, enum rj_cell_write_outcome outcome)
{
}

/*
 * Publishes the ends that were not stored, and removes them. Call it when the
 * owner with this token resigns.
 */
void rj_cell_ended_runs_publish(struct rj_cell_ended_runs *ended,
				struct rj_cell_writer *writer,
				const char *instance, uint64_t token,
				uint64_t now_us)
{
	char key[RJ_CELL_INSTANCE_KEY_BYTES];
	struct rj_bytes value;

	if (ended->rows && ended->rows->len && writer->open) {
		rj_log_event("ends_published",
			     RJ_LOG_NUMBER("ends", ended->rows->len));
		rj_cell_record_instance_key(key, RJ_CELL_RECORD_ENDED_RUNS,
					    instance);
		value = encode(ended, writer->mem, token);
		rj_cell_writer_add(
			writer, key, value,
			(struct rj_cell_write_done){ publish_done, NULL });
		talloc_free((void *)value.data);
		rj_cell_writer_flush(writer, now_us);
	}
	rj_cell_ended_runs_finish(ended);
}

static void read_row(struct rj_unpacker *in, struct row *row)
{
	rj_unpack_text(in, "worker", row->worker, sizeof(row->worker));
	rj_unpack_text(in, "name", row->name, sizeof(row->name));
	row->number = (uint32_t)rj_unpack_number(in, "number", UINT32_MAX);
	row->end = (enum rj_cell_completion)rj_unpack_number(
		in, "end", RJ_CELL_COMPLETION_COUNT - 1);
	rj_unpack_text(in, "saved", row->saved, sizeof(row->saved));
}

/*
 * Applies the end of one run.
 *
 * That a run has completed its task stays true. Any other end counts only for a
 * run that was adopted and whose worker has not answered in this term. The worker
 * may have restarted, and run it under the same number again for this owner or,
 * unless the end `is_latest`, for one in between.
 */
static void apply_row(struct rj_cell_owner *owner, const struct row *row,
		      bool is_latest)
{
	const struct rj_cell_completion_report report = { .name = row->name,
							  .number = row->number,
							  .end = row->end,
							  .saved = row->saved };
	struct rj_cell_worker *worker =
		rj_cell_fleet_find(&owner->fleet, row->worker);
	struct rj_cell_run *run = NULL;

	if (is_latest && worker && !worker->incarnation)
		run = rj_cell_run_find(worker, row->name, row->number);
	if (run && run->adopted) {
		run->reason = "published";
		rj_cell_completions_apply(owner, run, row->end, row->saved);
	} else if (row->end == RJ_CELL_COMPLETION_DONE) {
		rj_cell_completions_apply_orphan(owner, row->worker, &report);
	}
}

/* Decodes the output of encode; earlier versions store no token, which is 0
 * then. Returns the rows, or NULL with `err`. */
static GPtrArray *decode(struct rj_bytes value, uint64_t *token,
			 struct rj_error *err)
{
	GPtrArray *rows = g_ptr_array_new_with_free_func(g_free);
	struct rj_unpacker in;
	uint32_t count;

	*token = 0;
	rj_unpack_init(&in, value);
	if (rj_unpack_number(&in, "format", UINT32_MAX) != ENDED_RUNS_FORMAT)
		rj_unpack_fail(&in, "format");
	count = (uint32_t)rj_unpack_number(&in, "ends", ROWS_MAX);
	for (uint32_t i = 0; i < count && !in.bad_field; i++) {
		struct row *row = g_new0(struct row, 1);

		g_ptr_array_add(rows, row);
		read_row(&in, row);
	}
	if (!in.bad_field && in.offset < in.length)
		*token = rj_unpack_number(&in, "token", UINT64_MAX);
	if (!rj_unpack_finish(&in, err))
		return rows;
	g_ptr_array_free(rows, TRUE);
	return NULL;
}

/* Applies the ends that the owner with this token has published. */
static void apply_rows(struct rj_cell_owner *owner, const GPtrArray *rows,
		       uint64_t token)
{
	for (guint i = 0; i < rows->len; i++)
		apply_row(owner, rows->pdata[i],
			  token && token == owner->former_token);
}

/* Keeps published ends until the takeover is completed: only those of the
 * newest owner, which the present one follows. */
static void keep_early(struct rj_cell_ended_runs *ended, GPtrArray *rows,
		       uint64_t token)
{
	if (ended->early && token < ended->early_token) {
		g_ptr_array_free(rows, TRUE);
		return;
	}
	if (ended->early)
		g_ptr_array_free(ended->early, TRUE);
	ended->early = rows;
	ended->early_token = token;
}

/*
 * Applies the ends that were read during the takeover. Call it when the takeover
 * is completed.
 */
void rj_cell_ended_runs_apply_early(struct rj_cell_owner *owner)
{
	GPtrArray *rows = owner->ended_runs.early;

	if (!rows)
		return;
	owner->ended_runs.early = NULL;
	apply_rows(owner, rows, owner->ended_runs.early_token);
	g_ptr_array_free(rows, TRUE);
}

/*
 * Applies a record of the log of requests if it holds the ends that a former
 * owner could not store.
 */
void rj_cell_ended_runs_read(struct rj_cell_owner *owner,
			     const struct rj_cell_record *record)
{
	enum rj_cell_record_kind kind;
	struct rj_error err;
	const char *instance;
	GPtrArray *rows;
	uint64_t token;

	if ((!owner->active && !owner->taking_over) || !record->value.length ||
	    rj_cell_record_kind(record->key, &kind, &instance) ||
	    kind != RJ_CELL_RECORD_ENDED_RUNS)
		return;
	rows = decode(record->value, &token, &err);
	if (!rows) {
		rj_log_event("record_bad", RJ_LOG_TEXT("key", record->key),
			     RJ_LOG_TEXT("error", err.message));
		return;
	}
	rj_log_event("ends_read", RJ_LOG_TEXT("instance", instance),
		     RJ_LOG_NUMBER("ends", rows->len),
		     RJ_LOG_NUMBER("token", token));
	if (!owner->active) {
		keep_early(&owner->ended_runs, rows, token);
		return;
	}
	apply_rows(owner, rows, token);
	g_ptr_array_free(rows, TRUE);
}
