/*
 * Validates the submission: its class exists, its shape is valid, and a class
 * that is not idempotent has a key. Assigns the job id: derived from the key,
 * so that it is the same at every instance, or random.
 */
#include <string.h>

#include "private/core_state.h"

/* Returns the id of a keyed job, the same at every instance. */
static uint64_t keyed_id(const struct rj_job_spec *spec)
{
	uint64_t seed = rj_hash64_string(spec->account, 0);
	uint64_t id = rj_hash64_string(spec->key, seed);

	return id ? id : 1;
}

/* Returns a random id that is unique across instances. */
static uint64_t fresh_id(struct rj_core_state *core)
{
	uint64_t id;

	do {
		uint64_t random = rj_random64(&core->random);

		id = rj_hash64(&random, sizeof(random), core->incarnation);
	} while (!id || rj_jobs_find(core, id));
	return id;
}

/* Returns an error message, or NULL if the shape is valid. */
static const char *shape_error(const struct rj_shape *shape)
{
	if (!shape->tasks || shape->tasks > RJ_GANG_MAX)
		return "tasks: a gang has 1 to 512 tasks; split the job";
	if (!shape->each.slots)
		return "slots: a task takes at least one slot";
	return NULL;
}

/* Validates the submission and assigns its job id. */
static enum rj_filter_verdict validate(struct rj_core_state *core,
				       struct rj_submission *submission)
{
	struct rj_job_spec *spec = &submission->spec;
	const char *error = shape_error(&spec->shape);

	if (!core->config)
		return rj_filter_refuse(core, submission, RJ_ANSWER_NOT_RUN,
					RJ_REASON_NO_CONFIG,
					rj_core_jitter_us(core, RJ_US_PER_S),
					NULL);
	if (error)
		return rj_filter_refuse(core, submission, RJ_ANSWER_NOT_RUN,
					RJ_REASON_BAD_REQUEST, 0, error);
	submission->class = rj_config_class(core->config, spec->class_name);
	if (!submission->class)
		return rj_filter_refuse(
			core, submission, RJ_ANSWER_NOT_RUN,
			RJ_REASON_NO_SUCH_CLASS, 0,
			"class: not in the configuration in force; use one of "
			"its classes, or publish it");
	if (!submission->class->idempotent && !spec->key[0])
		return rj_filter_refuse(
			core, submission, RJ_ANSWER_NOT_RUN,
			RJ_REASON_KEY_REQUIRED, 0,
			"Idempotency-Key: this class runs at most once, so "
			"each request needs its own key");
	if (!spec->job_id)
		spec->job_id = spec->key[0] ? keyed_id(spec) : fresh_id(core);
	return RJ_FILTER_NEXT;
}

const struct rj_filter rj_filter_validate = { "validate", validate };
