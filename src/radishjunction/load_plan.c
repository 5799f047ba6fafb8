#include <jansson.h>
#include <string.h>
#include <talloc.h>

#include "load.h"
#include "private/schema.h"

#define KINDS_MAX 32
#define JOBS_MAX 100000
#define DAY_MS (24 * 3600 * 1000)

static const struct rj_schema_field kind_fields[] = {
	{ RJ_FIELD(name, load_kind, account) },
	{ .type = &rj_schema_name,
	  .name = "class",
	  .offset = offsetof(struct load_kind, class_name) },
	{ RJ_FIELD(u32, load_kind, count), .min = 1, .max = JOBS_MAX },
	{ RJ_FIELD(bool, load_kind, keyed), .optional = true },
	{ RJ_FIELD(u32, load_kind, repeat_every), .optional = true,
	  .max = JOBS_MAX },
	{ RJ_FIELD(bool, load_kind, wait), .optional = true, .fallback = true },
	{ RJ_FIELD(u32, load_kind, tasks), .optional = true, .min = 1,
	  .max = RJ_GANG_MAX, .fallback = 1 },
	{ RJ_FIELD(u32, load_kind, accelerators), .optional = true,
	  .max = UINT32_MAX },
	{ RJ_FIELD(u32, load_kind, cores), .optional = true, .min = 1,
	  .max = UINT32_MAX, .fallback = 1 },
	{ RJ_FIELD(u32, load_kind, memory_mb), .optional = true,
	  .max = UINT32_MAX },
	{ RJ_FIELD(bool, load_kind, adjacent), .optional = true },
	{ RJ_FIELD(u32, load_kind, run_ms), .optional = true, .max = DAY_MS },
};

static const struct rj_schema kind_schema = {
	.fields = kind_fields,
	.field_count = RJ_FIELD_COUNT(kind_fields),
	.size = sizeof(struct load_kind),
};

static const struct rj_schema_field plan_fields[] = {
	{ RJ_FIELD(array, load_plan, kinds), .min = 1, .max = KINDS_MAX,
	  .count_offset = offsetof(struct load_plan, kind_count),
	  .schema = &kind_schema },
	{ RJ_FIELD(u32, load_plan, rate), .min = 1, .max = JOBS_MAX },
	{ RJ_FIELD(u32, load_plan, limit_s), .optional = true, .min = 1,
	  .max = 3600, .fallback = 60 },
	{ RJ_FIELD(u32, load_plan, answer_limit_s), .optional = true, .min = 1,
	  .max = 3600, .fallback = 20 },
	{ RJ_FIELD(u32, load_plan, seed), .optional = true, .max = UINT32_MAX,
	  .fallback = 1 },
};

static const struct rj_schema plan_schema = {
	.fields = plan_fields,
	.field_count = RJ_FIELD_COUNT(plan_fields),
	.size = sizeof(struct load_plan),
};

/*
 * Parses a plan and the accounts' tokens, a JSON object of token by account as
 * written by `generate --tokens`. Does not set the targets and the platform.
 *
 * Returns 0, or -1 with every error added to `errors`.
 */
int load_plan_parse(void *mem, const char *text, const char *tokens,
		    struct load_plan *plan, struct rj_error_list *errors)
{
	json_t *json = rj_schema_load(tokens, errors);

	if (!json || rj_schema_parse(&plan_schema, mem, text, plan, errors)) {
		json_decref(json);
		return -1;
	}
	for (uint32_t i = 0; i < plan->kind_count; i++) {
		struct load_kind *kind = &plan->kinds[i];
		const char *token =
			json_string_value(json_object_get(json, kind->account));

		if (token)
			kind->token = talloc_strdup(mem, token);
		else
			rj_error_list_add(errors, RJ_ERR_INVALID,
					  "kinds[%u].account: no token of "
					  "\"%s\"; add it to the tokens",
					  i, kind->account);
	}
	json_decref(json);
	return errors->count ? -1 : 0;
}
