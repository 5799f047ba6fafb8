#include "load_mix.h"

#include <assert.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "private/schema.h"

#define RUN_MAX_MS (3600 * 1000)

static const struct rj_schema_field kind_fields[] = {
	{ RJ_FIELD(name, load_kind, name) },
	{ RJ_FIELD(name, load_kind, account) },
	{ .type = &rj_schema_name,
	  .name = "class",
	  .offset = offsetof(struct load_kind, class_name) },
	{ RJ_FIELD(u32, load_kind, weight), .optional = true, .min = 1,
	  .max = 1000000, .fallback = 1 },
	{ RJ_FIELD(u32, load_kind, tasks), .optional = true, .min = 1,
	  .max = RJ_GANG_MAX, .fallback = 1 },
	{ RJ_FIELD(u32, load_kind, accelerators), .optional = true,
	  .max = 1024 },
	{ RJ_FIELD(u32, load_kind, cores), .optional = true, .min = 1,
	  .max = 4096, .fallback = 1 },
	{ RJ_FIELD(u32, load_kind, memory_mb), .optional = true,
	  .max = 1U << 26 },
	{ RJ_FIELD(bool, load_kind, adjacent), .optional = true },
	{ RJ_FIELD(u32, load_kind, run_ms_min), .optional = true,
	  .max = RUN_MAX_MS },
	{ RJ_FIELD(u32, load_kind, run_ms_max), .optional = true,
	  .max = RUN_MAX_MS },
	{ RJ_FIELD(u32, load_kind, checkpoint_ms), .optional = true,
	  .max = RUN_MAX_MS },
	{ RJ_FIELD(bool, load_kind, idempotent), .optional = true,
	  .fallback = true },
	{ RJ_FIELD(bool, load_kind, keyed), .optional = true },
	{ RJ_FIELD(bool, load_kind, wait), .optional = true, .fallback = true },
	{ RJ_FIELD(u32, load_kind, deadline_ms), .optional = true,
	  .max = RUN_MAX_MS },
	{ RJ_FIELD(u32, load_kind, repeat_percent), .optional = true,
	  .max = 100 },
	{ RJ_FIELD(u32, load_kind, cancel_percent), .optional = true,
	  .max = 100 },
};

static const struct rj_schema kind_schema = {
	.fields = kind_fields,
	.field_count = RJ_FIELD_COUNT(kind_fields),
	.size = sizeof(struct load_kind),
	.unique_names = true,
};

static const struct rj_schema_field mix_fields[] = {
	{ RJ_FIELD(array, load_mix, kinds), .min = 1, .max = 100,
	  .count_offset = offsetof(struct load_mix, kind_count),
	  .schema = &kind_schema },
};

static const struct rj_schema mix_schema = {
	.fields = mix_fields,
	.field_count = RJ_FIELD_COUNT(mix_fields),
	.size = sizeof(struct load_mix),
};

/*
 * Read a mix from JSON text. Returns 0, or -1 with every error added to
 * `errors`.
 */
int load_mix_parse(struct load_mix *mix, void *mem, const char *text,
		   struct rj_error_list *errors)
{
	if (rj_schema_parse(&mix_schema, mem, text, mix, errors))
		return -1;
	for (uint32_t i = 0; i < mix->kind_count; i++) {
		const struct load_kind *kind = &mix->kinds[i];

		if (kind->run_ms_min > kind->run_ms_max)
			rj_error_list_add(errors, RJ_ERR_INVALID,
					  "kinds[%u].run_ms_max: %u is below "
					  "run_ms_min; raise it",
					  i, kind->run_ms_max);
		if (!kind->keyed && (!kind->idempotent || kind->repeat_percent))
			rj_error_list_add(errors, RJ_ERR_INVALID,
					  "kinds[%u].keyed: false, but it is "
					  "repeated or must not run twice; set "
					  "it to true",
					  i);
	}
	return errors->count ? -1 : 0;
}

/*
 * A kind by the weights.
 */
static const struct load_kind *draw_kind(const struct load_mix *mix,
					 uint64_t *random)
{
	uint64_t sum = 0;
	uint64_t at;

	for (uint32_t i = 0; i < mix->kind_count; i++)
		sum += mix->kinds[i].weight;
	assert(sum);
	at = rj_random64(random) % sum;
	for (uint32_t i = 0; i < mix->kind_count; i++) {
		if (at < mix->kinds[i].weight)
			return &mix->kinds[i];
		at -= mix->kinds[i].weight;
	}
	assert(false);
	return NULL;
}

/*
 * The body that tells the task how to behave, and its digest as a worker
 * takes it: of the compact JSON with sorted fields.
 */
static json_t *make_body(struct load_job *job, uint64_t run_ms)
{
	json_t *body = json_pack("{s:s,s:I}", "echo", job->echo, "run_ms",
				 (json_int_t)run_ms);
	uint8_t digest[RJ_DIGEST_BYTES];
	struct rj_bytes part;
	char *text;

	if (job->kind->checkpoint_ms)
		json_object_set_new(body, "checkpoint_ms",
				    json_integer(job->kind->checkpoint_ms));
	text = json_dumps(body, JSON_COMPACT | JSON_SORT_KEYS);
	assert(text);
	part = (struct rj_bytes){ (const uint8_t *)text,
				  (uint32_t)strlen(text) };
	rj_digest(digest, &part, 1);
	sodium_bin2hex(job->digest, sizeof(job->digest), digest,
		       sizeof(digest));
	free(text);
	return body;
}

/*
 * Make request `number` of the load with `seed`; its text is a talloc child
 * of `mem`.
 */
void load_job_draw(struct load_job *job, void *mem, const struct load_mix *mix,
		   uint64_t seed, uint32_t number, uint32_t instances)
{
	uint64_t random = rj_hash64(&number, sizeof(number), seed);
	const struct load_kind *kind = draw_kind(mix, &random);
	uint64_t run_ms;
	json_t *json;
	char *text;

	memset(job, 0, sizeof(*job));
	job->number = number;
	job->kind = kind;
	snprintf(job->echo, sizeof(job->echo), "load-%016" PRIx64 "-%u", seed,
		 number);
	if (kind->keyed)
		memcpy(job->key, job->echo, sizeof(job->key));
	run_ms = kind->run_ms_min +
		 rj_random64(&random) %
			 (kind->run_ms_max - kind->run_ms_min + 1);
	json = json_pack("{s:s,s:i,s:i,s:i,s:i,s:b,s:b,s:o}", "class",
			 kind->class_name, "tasks", (int)kind->tasks,
			 "accelerators", (int)kind->accelerators, "cores",
			 (int)kind->cores, "memory_mb", (int)kind->memory_mb,
			 "adjacent", kind->adjacent, "wait", kind->wait, "body",
			 make_body(job, run_ms));
	if (kind->deadline_ms)
		json_object_set_new(json, "deadline_ms",
				    json_integer(kind->deadline_ms));
	text = json_dumps(json, JSON_COMPACT);
	assert(text);
	job->text = talloc_strdup(mem, text);
	free(text);
	json_decref(json);
	job->instance = (uint32_t)(rj_random64(&random) % instances);
	job->repeat_instance = (job->instance + 1) % instances;
	job->repeated = rj_random64(&random) % 100 < kind->repeat_percent;
	job->cancelled = rj_random64(&random) % 100 < kind->cancel_percent;
}
