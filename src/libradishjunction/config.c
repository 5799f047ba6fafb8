#include "radishjunction/config.h"

#include <assert.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "private/config_capacity.h"
#include "private/schemas.h"
#include "radishjunction/peer_message.h"

#define DOMAINS_MAX 64
#define RACKS_MAX 1024
#define ACCOUNTS_MAX 1024
#define GUARANTEES_MAX 64
#define GUARANTEE_COUNT_MAX 4096
#define CLASSES_MAX 256
#define OPEN_JOBS_MAX 1000000
#define SHARE_MAX 10000
#define WEEK_S (7 * 24 * 3600)
#define HOUR_MS (3600 * 1000)

static const struct rj_schema_field resources_fields[] = {
	{ RJ_FIELD(u32, rj_resources, slots), .min = 1, .max = 1024 },
	{ RJ_FIELD(u32, rj_resources, accelerators), .max = 1024 },
	{ RJ_FIELD(u32, rj_resources, cores), .min = 1, .max = 65536 },
	{ RJ_FIELD(u32, rj_resources, memory_mb), .min = 1, .max = 1U << 30 },
};

const struct rj_schema rj_resources_schema = {
	.fields = resources_fields,
	.field_count = RJ_FIELD_COUNT(resources_fields),
	.size = sizeof(struct rj_resources),
};

static const struct rj_schema_field domain_fields[] = {
	{ RJ_FIELD(name, rj_domain, name) },
	{ RJ_FIELD(name, rj_domain, region) },
	{ RJ_FIELD(u32, rj_domain, racks), .min = 1, .max = RACKS_MAX },
	{ RJ_FIELD(u32, rj_domain, workers_per_rack), .min = 1,
	  .max = RJ_RACK_WORKERS_MAX },
	{ RJ_FIELD(object, rj_domain, worker), .schema = &rj_resources_schema },
};

const struct rj_schema rj_domain_schema = {
	.fields = domain_fields,
	.field_count = RJ_FIELD_COUNT(domain_fields),
	.size = sizeof(struct rj_domain),
	.unique_names = true,
};

/* In JSON, the members of a guarantee's shape are fields of the guarantee. */
#define SHAPE_FIELD(type_, member)                                     \
	.type = &rj_schema_##type_, .name = #member, .optional = true, \
	.offset = offsetof(struct rj_guarantee, shape.member)
#define EACH_FIELD(member)                                         \
	.type = &rj_schema_u32, .name = #member, .optional = true, \
	.offset = offsetof(struct rj_guarantee, shape.each.member)

static const struct rj_schema_field guarantee_fields[] = {
	{ RJ_FIELD(name, rj_guarantee, domain) },
	{ RJ_FIELD(u32, rj_guarantee, count), .optional = true, .min = 1,
	  .max = GUARANTEE_COUNT_MAX, .fallback = 1 },
	{ SHAPE_FIELD(u32, tasks), .min = 1, .max = RJ_GANG_MAX,
	  .fallback = 1 },
	{ SHAPE_FIELD(bool, adjacent), .fallback = false },
	{ EACH_FIELD(slots), .min = 1, .max = 1024, .fallback = 1 },
	{ EACH_FIELD(accelerators), .max = 1024 },
	{ EACH_FIELD(cores), .max = 65536 },
	{ EACH_FIELD(memory_mb), .max = 1U << 30 },
};

const struct rj_schema rj_guarantee_schema = {
	.fields = guarantee_fields,
	.field_count = RJ_FIELD_COUNT(guarantee_fields),
	.size = sizeof(struct rj_guarantee),
};

static const struct rj_schema_field account_fields[] = {
	{ RJ_FIELD(name, rj_account, name) },
	{ RJ_FIELD(hex, rj_account, token_hash), .size = RJ_TOKEN_HASH_BYTES },
	{ RJ_FIELD(u32, rj_account, share), .optional = true, .min = 1,
	  .max = SHARE_MAX, .fallback = 1 },
	{ RJ_FIELD(u32, rj_account, open_max), .optional = true, .min = 1,
	  .max = OPEN_JOBS_MAX, .fallback = 1000 },
	{ RJ_FIELD(array, rj_account, guarantees), .optional = true,
	  .count_offset = offsetof(struct rj_account, guarantee_count),
	  .max = GUARANTEES_MAX, .schema = &rj_guarantee_schema },
};

static const struct rj_schema account_schema = {
	.fields = account_fields,
	.field_count = RJ_FIELD_COUNT(account_fields),
	.size = sizeof(struct rj_account),
	.unique_names = true,
};

static const struct rj_schema_field class_fields[] = {
	{ RJ_FIELD(name, rj_job_class, name) },
	{ RJ_FIELD(choice, rj_job_class, priority), .optional = true,
	  .max = RJ_PRIORITY_COUNT, .fallback = RJ_PRIORITY_NORMAL,
	  .choices = rj_priority_string },
	{ RJ_FIELD(bool, rj_job_class, idempotent) },
	{ RJ_FIELD(bool, rj_job_class, checkpoint), .optional = true },
	{ .type = &rj_schema_u64,
	  .name = "expected_ms",
	  .min = 1,
	  .max = 30ULL * 24 * HOUR_MS,
	  .scale = RJ_US_PER_MS,
	  .offset = offsetof(struct rj_job_class, expected_us) },
	{ RJ_FIELD(u32, rj_job_class, open_max), .optional = true, .min = 1,
	  .max = OPEN_JOBS_MAX, .fallback = 1000 },
};

const struct rj_schema rj_job_class_schema = {
	.fields = class_fields,
	.field_count = RJ_FIELD_COUNT(class_fields),
	.size = sizeof(struct rj_job_class),
	.unique_names = true,
};

static const struct rj_schema_field limits_fields[] = {
	{ RJ_FIELD(u32, rj_config_limits, queue_max), .optional = true,
	  .min = 1, .max = OPEN_JOBS_MAX, .fallback = 10000 },
	{ RJ_FIELD(u32, rj_config_limits, retry_percent), .optional = true,
	  .max = 100, .fallback = 10 },
	{ RJ_FIELD(u32, rj_config_limits, lease_life_ms), .optional = true,
	  .min = 3000, .max = 10 * 60 * 1000, .fallback = 5000 },
	{ RJ_FIELD(u32, rj_config_limits, checkpoint_limit_ms),
	  .optional = true, .min = 100, .max = HOUR_MS, .fallback = 5000 },
	{ RJ_FIELD(u32, rj_config_limits, key_life_s), .optional = true,
	  .min = 10, .max = 52 * WEEK_S, .fallback = 24 * 3600 },
	{ RJ_FIELD(u32, rj_config_limits, fragmentation_weight),
	  .optional = true, .max = 100, .fallback = 30 },
};

const struct rj_schema rj_limits_schema = {
	.fields = limits_fields,
	.field_count = RJ_FIELD_COUNT(limits_fields),
	.size = sizeof(struct rj_config_limits),
};

static const struct rj_schema_field config_fields[] = {
	{ RJ_FIELD(array, rj_config, domains), .min = 1, .max = DOMAINS_MAX,
	  .count_offset = offsetof(struct rj_config, domain_count),
	  .schema = &rj_domain_schema },
	{ RJ_FIELD(array, rj_config, accounts), .min = 1, .max = ACCOUNTS_MAX,
	  .count_offset = offsetof(struct rj_config, account_count),
	  .schema = &account_schema },
	{ RJ_FIELD(array, rj_config, classes), .min = 1, .max = CLASSES_MAX,
	  .count_offset = offsetof(struct rj_config, class_count),
	  .schema = &rj_job_class_schema },
	{ RJ_FIELD(object, rj_config, limits), .optional = true,
	  .schema = &rj_limits_schema },
};

const struct rj_schema rj_config_schema = {
	.fields = config_fields,
	.field_count = RJ_FIELD_COUNT(config_fields),
	.size = sizeof(struct rj_config),
};

/*
 * Report each guarantee whose failure domain does not exist. Invalid names
 * were reported already and are empty here; they are skipped.
 */
static void check_domain_names(const struct rj_config *config,
			       struct rj_error_list *errors)
{
	if (!config->domain_count || rj_config_domain(config, ""))
		return;
	for (uint32_t i = 0; i < config->account_count; i++) {
		const struct rj_account *account = &config->accounts[i];

		for (uint32_t j = 0; j < account->guarantee_count; j++) {
			const char *name = account->guarantees[j].domain;

			if (!name[0] || rj_config_domain(config, name))
				continue;
			rj_error_list_add(
				errors, RJ_ERR_INVALID,
				"accounts[%u].guarantees[%u].domain: \"%s\" "
				"is not a failure domain; add it to \"domains\" "
				"or use one of these, such as \"%s\"",
				i, j, name, config->domains[0].name);
		}
	}
}

/*
 * Report accounts that share a token: each could read and cancel the other's
 * jobs.
 */
static void check_tokens(const struct rj_config *config,
			 struct rj_error_list *errors)
{
	for (uint32_t i = 1; i < config->account_count; i++) {
		const uint8_t *hash = config->accounts[i].token_hash;
		uint32_t j = 0;

		/* An invalid hash was reported already and is zero. */
		if (sodium_is_zero(hash, RJ_TOKEN_HASH_BYTES))
			continue;
		while (j < i && memcmp(hash, config->accounts[j].token_hash,
				       RJ_TOKEN_HASH_BYTES) != 0)
			j++;
		if (j < i)
			rj_error_list_add(
				errors, RJ_ERR_INVALID,
				"accounts[%u].token_hash: same as that of "
				"accounts[%u]; give each account a token of "
				"its own",
				i, j);
	}
}

/*
 * Parse and validate a configuration from JSON text.
 *
 * Returns one reference to a configuration that is a talloc child of `mem`,
 * or NULL with every error added to `errors`. The caller sets the revision and
 * the id from the log record; until then they are 0 and empty.
 */
struct rj_config *rj_config_parse(void *mem, const char *text,
				  struct rj_error_list *errors)
{
	struct rj_config *config;
	uint32_t before = errors->count;
	json_t *json;

	if (strlen(text) > RJ_CONFIG_TEXT_MAX_BYTES) {
		rj_error_list_add(
			errors, RJ_ERR_TOO_LARGE,
			"(top): %zu bytes of configuration, more than "
			"%d; leave out fields that have their default",
			strlen(text), RJ_CONFIG_TEXT_MAX_BYTES);
		return NULL;
	}
	json = rj_schema_load(text, errors);
	if (!json)
		return NULL;
	config = talloc_zero(mem, struct rj_config);
	assert(config);
	rj_schema_decode_partly(&rj_config_schema, config, json, config,
				errors);
	json_decref(json);
	check_domain_names(config, errors);
	check_tokens(config, errors);
	rj_config_capacity_check(config, errors);
	if (errors->count != before) {
		talloc_free(config);
		return NULL;
	}
	config->text = talloc_strdup(config, text);
	assert(config->text);
	config->refs = 1;
	return config;
}

struct rj_config *rj_config_ref(struct rj_config *config)
{
	assert(config->refs);
	config->refs++;
	return config;
}

/*
 * Release one reference; the last one frees the configuration. NULL is
 * allowed.
 */
void rj_config_unref(struct rj_config *config)
{
	if (!config)
		return;
	assert(config->refs);
	if (!--config->refs)
		talloc_free(config);
}

/*
 * Add to `warnings` what is valid but may surprise: jobs that can be neither
 * repeated nor checkpointed never borrow another account's guarantee.
 */
void rj_config_warnings(const struct rj_config *config,
			struct rj_error_list *warnings)
{
	for (uint32_t i = 0; i < config->class_count; i++) {
		const struct rj_job_class *class = &config->classes[i];

		if (class->idempotent || class->checkpoint)
			continue;
		rj_error_list_add(
			warnings, RJ_ERR_NONE,
			"classes[%u] (%s): neither idempotent nor with "
			"checkpoints, so it runs only on its own account's "
			"guarantees and on capacity that no account is guaranteed",
			i, class->name);
	}
}

/*
 * The account with that name, or NULL.
 */
const struct rj_account *rj_config_account(const struct rj_config *config,
					   const char *name)
{
	for (uint32_t i = 0; i < config->account_count; i++)
		if (!strcmp(config->accounts[i].name, name))
			return &config->accounts[i];
	return NULL;
}

/*
 * The account that the caller's token belongs to, or NULL.
 *
 * Guards against timing attacks on the token: only hashes are compared, each
 * in constant time and always those of every account.
 */
const struct rj_account *
rj_config_account_by_token(const struct rj_config *config, const char *token)
{
	const struct rj_account *found = NULL;
	uint8_t hash[RJ_TOKEN_HASH_BYTES];

	rj_token_hash(hash, token);
	for (uint32_t i = 0; i < config->account_count; i++)
		if (!sodium_memcmp(config->accounts[i].token_hash, hash,
				   sizeof(hash)))
			found = &config->accounts[i];
	return found;
}

/*
 * The job class with that name, or NULL.
 */
const struct rj_job_class *rj_config_class(const struct rj_config *config,
					   const char *name)
{
	for (uint32_t i = 0; i < config->class_count; i++)
		if (!strcmp(config->classes[i].name, name))
			return &config->classes[i];
	return NULL;
}

/*
 * The failure domain with that name, or NULL.
 */
const struct rj_domain *rj_config_domain(const struct rj_config *config,
					 const char *name)
{
	for (uint32_t i = 0; i < config->domain_count; i++)
		if (!strcmp(config->domains[i].name, name))
			return &config->domains[i];
	return NULL;
}

/*
 * Hash a caller's token as the configuration stores it. Tokens are long and
 * random, so a slow password hash is not needed. See "Generic hashing" in the
 * libsodium documentation.
 */
void rj_token_hash(uint8_t hash[RJ_TOKEN_HASH_BYTES], const char *token)
{
	crypto_generichash(hash, RJ_TOKEN_HASH_BYTES, (const uint8_t *)token,
			   strlen(token), NULL, 0);
}
