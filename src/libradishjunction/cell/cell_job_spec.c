#include "private/cell_job_spec.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/pack.h"

/* Incremented when the order of the fields changes. */
#define JOB_SPEC_FORMAT 1

/* Checks one step: it has tasks, and depends on earlier steps only. */
static int check_step(const struct rj_cell_job_spec *job_spec, uint32_t number,
		      struct rj_error *err)
{
	const struct rj_cell_step *step = &job_spec->steps[number];

	if (!step->task_count)
		return rj_error_set(err, RJ_ERR_INVALID,
				    "steps[%u]: has no tasks; set at least one",
				    number);
	for (uint32_t i = 0; i < step->after_count; i++)
		if (step->after[i] >= number)
			return rj_error_set(
				err, RJ_ERR_INVALID,
				"steps[%u]: depends on step %u; list only "
				"earlier steps",
				number, step->after[i]);
	return 0;
}

/*
 * Checks a spec and counts its tasks. Returns 0, or -1 with `err` if the job
 * could never run.
 */
int rj_cell_job_spec_check(struct rj_cell_job_spec *job_spec,
			   struct rj_error *err)
{
	uint64_t tasks = 0;

	if (!job_spec->step_count || job_spec->step_count > RJ_CELL_STEPS_MAX)
		return rj_error_set(err, RJ_ERR_INVALID,
				    "steps: %u steps; use 1 to %u",
				    job_spec->step_count, RJ_CELL_STEPS_MAX);
	for (uint32_t i = 0; i < job_spec->step_count; i++) {
		if (check_step(job_spec, i, err))
			return -1;
		tasks += job_spec->steps[i].task_count;
	}
	if (tasks > RJ_CELL_TASKS_MAX)
		return rj_error_set(err, RJ_ERR_TOO_LARGE,
				    "steps: more than %u tasks; split the job",
				    RJ_CELL_TASKS_MAX);
	job_spec->task_count = (uint32_t)tasks;
	return 0;
}

static void write_step(struct rj_packer *out, const struct rj_cell_step *step)
{
	rj_pack_number(out, step->task_count);
	rj_pack_number(out, step->each.cpu_milli);
	rj_pack_number(out, step->each.memory_mb);
	rj_pack_number(out, step->each.accelerators);
	rj_pack_number(out, step->estimate_ms);
	rj_pack_number(out, step->after_count);
	for (uint32_t i = 0; i < step->after_count; i++)
		rj_pack_number(out, step->after[i]);
	rj_pack_bool(out, step->checkpoints);
	rj_pack_bool(out, step->gang);
	rj_pack_bool(out, step->one_rack);
	rj_pack_bool(out, step->speculative);
	rj_pack_bool(out, step->perpetual);
	rj_pack_bool(out, step->scavenges);
	rj_pack_text(out, step->label);
	rj_pack_text(out, step->rack);
	rj_pack_number(out, step->per_worker_max);
	rj_pack_number(out, step->may_miss);
	rj_pack_text(out, step->image);
	rj_pack_number(out, step->target_ms);
}

/* Decodes the output of write_step. */
static void read_step(struct rj_unpacker *in, void *mem,
		      struct rj_cell_step *step)
{
	step->task_count =
		(uint32_t)rj_unpack_number(in, "task_count", RJ_CELL_TASKS_MAX);
	step->each.cpu_milli =
		(uint32_t)rj_unpack_number(in, "cpu_milli", UINT32_MAX);
	step->each.memory_mb =
		(uint32_t)rj_unpack_number(in, "memory_mb", UINT32_MAX);
	step->each.accelerators =
		(uint32_t)rj_unpack_number(in, "accelerators", UINT32_MAX);
	step->estimate_ms =
		(uint32_t)rj_unpack_number(in, "estimate_ms", UINT32_MAX);
	step->after_count = (uint32_t)rj_unpack_number(in, "after_count",
						       RJ_CELL_STEPS_MAX);
	step->after = talloc_array(mem, uint32_t, step->after_count);
	for (uint32_t i = 0; i < step->after_count; i++)
		step->after[i] = (uint32_t)rj_unpack_number(in, "after",
							    RJ_CELL_STEPS_MAX);
	step->checkpoints = rj_unpack_bool(in, "checkpoints");
	step->gang = rj_unpack_bool(in, "gang");
	step->one_rack = rj_unpack_bool(in, "one_rack");
	step->speculative = rj_unpack_bool(in, "speculative");
	step->perpetual = rj_unpack_bool(in, "perpetual");
	step->scavenges = rj_unpack_bool(in, "scavenges");
	rj_unpack_text(in, "label", step->label, RJ_NAME_BYTES);
	rj_unpack_text(in, "rack", step->rack, RJ_NAME_BYTES);
	step->per_worker_max =
		(uint32_t)rj_unpack_number(in, "per_worker_max", UINT32_MAX);
	step->may_miss = (uint32_t)rj_unpack_number(in, "may_miss", UINT32_MAX);
	rj_unpack_text(in, "image", step->image, RJ_NAME_BYTES);
	step->target_ms =
		(uint32_t)rj_unpack_number(in, "target_ms", UINT32_MAX);
}

/*
 * Encodes a spec as a talloc child of `mem`.
 */
struct rj_bytes rj_cell_job_spec_encode(void *mem,
					const struct rj_cell_job_spec *job_spec)
{
	struct rj_packer out;

	rj_pack_init(&out);
	rj_pack_number(&out, JOB_SPEC_FORMAT);
	rj_pack_text(&out, job_spec->id);
	rj_pack_text(&out, job_spec->queue);
	rj_pack_text(&out, job_spec->service);
	rj_pack_text(&out, job_spec->account);
	rj_pack_data(&out, job_spec->spec, strlen(job_spec->spec));
	rj_pack_number(&out, job_spec->priority);
	rj_pack_number(&out, job_spec->attempts_max);
	rj_pack_number(&out, job_spec->stretch_milli);
	rj_pack_number(&out, job_spec->latency_ms);
	rj_pack_number(&out, job_spec->accepted_ms);
	rj_pack_number(&out, job_spec->first_run_ms);
	rj_pack_number(&out, job_spec->interval_ms);
	rj_pack_number(&out, job_spec->repeats);
	rj_pack_number(&out, job_spec->step_count);
	for (uint32_t i = 0; i < job_spec->step_count; i++)
		write_step(&out, &job_spec->steps[i]);
	/* Earlier versions neither write nor read what follows. */
	rj_pack_bool(&out, job_spec->advised);
	return rj_pack_finish(&out, mem);
}

/* Decodes the fields before the steps. */
static void read_terms(struct rj_unpacker *in,
		       struct rj_cell_job_spec *job_spec)
{
	struct rj_bytes spec;

	if (rj_unpack_number(in, "format", UINT32_MAX) != JOB_SPEC_FORMAT)
		rj_unpack_fail(in, "format");
	rj_unpack_text(in, "id", job_spec->id, RJ_CELL_ID_BYTES);
	rj_unpack_text(in, "queue", job_spec->queue, RJ_NAME_BYTES);
	rj_unpack_text(in, "service", job_spec->service, RJ_NAME_BYTES);
	rj_unpack_text(in, "account", job_spec->account, RJ_NAME_BYTES);
	spec = rj_unpack_data(in, "spec", RJ_CELL_SPEC_MAX_BYTES);
	job_spec->spec = talloc_strndup(
		job_spec, spec.data ? (const char *)spec.data : "",
		spec.length);
	job_spec->priority =
		(uint32_t)rj_unpack_number(in, "priority", UINT32_MAX);
	job_spec->attempts_max =
		(uint32_t)rj_unpack_number(in, "attempts_max", UINT32_MAX);
	job_spec->stretch_milli =
		(uint32_t)rj_unpack_number(in, "stretch_milli", UINT32_MAX);
	job_spec->latency_ms =
		(uint32_t)rj_unpack_number(in, "latency_ms", UINT32_MAX);
	job_spec->accepted_ms = rj_unpack_number(in, "accepted_ms", UINT64_MAX);
	job_spec->first_run_ms =
		rj_unpack_number(in, "first_run_ms", UINT64_MAX);
	job_spec->interval_ms = rj_unpack_number(in, "interval_ms", UINT64_MAX);
	job_spec->repeats =
		(uint32_t)rj_unpack_number(in, "repeats", UINT32_MAX);
}

/*
 * Decodes the output of rj_cell_job_spec_encode. Returns NULL with `err` if it
 * is malformed.
 */
struct rj_cell_job_spec *
rj_cell_job_spec_decode(void *mem, struct rj_bytes bytes, struct rj_error *err)
{
	struct rj_cell_job_spec *job_spec =
		talloc_zero(mem, struct rj_cell_job_spec);
	struct rj_unpacker in;

	assert(job_spec);
	rj_unpack_init(&in, bytes);
	read_terms(&in, job_spec);
	job_spec->step_count = (uint32_t)rj_unpack_number(&in, "step_count",
							  RJ_CELL_STEPS_MAX);
	job_spec->steps = talloc_zero_array(job_spec, struct rj_cell_step,
					    job_spec->step_count);
	for (uint32_t i = 0; i < job_spec->step_count; i++)
		read_step(&in, job_spec, &job_spec->steps[i]);
	if (in.offset < in.length)
		job_spec->advised = rj_unpack_bool(&in, "advised");
	if (rj_unpack_finish(&in, err) ||
	    rj_cell_job_spec_check(job_spec, err)) {
		talloc_free(job_spec);
		return NULL;
	}
	return job_spec;
}

/*
 * Index of a step's first task among the tasks of all steps.
 */
uint32_t rj_cell_job_spec_first_task(const struct rj_cell_job_spec *job_spec,
				     uint32_t step)
{
	uint32_t first = 0;

	assert(step < job_spec->step_count);
	for (uint32_t i = 0; i < step; i++)
		first += job_spec->steps[i].task_count;
	return first;
}
