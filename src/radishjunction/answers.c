#include "answers.h"

#include <assert.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/* 256 random bits cannot be guessed. */
#define TOKEN_RANDOM_BYTES 32
#define INSTANCES_MAX 1024
#define ACCOUNTS_MAX 1024
#define WEEK_S (7 * 24 * 3600)

static const struct rj_schema_field account_fields[] = {
	{ RJ_FIELD(name, rj_account, name) },
	{ RJ_FIELD(u32, rj_account, share), .optional = true, .min = 1,
	  .max = 10000, .fallback = 1 },
	{ RJ_FIELD(u32, rj_account, open_max), .optional = true, .min = 1,
	  .max = 1000000, .fallback = 1000 },
	{ RJ_FIELD(array, rj_account, guarantees), .optional = true,
	  .count_offset = offsetof(struct rj_account, guarantee_count),
	  .max = 64, .schema = &rj_guarantee_schema },
};

const struct rj_schema answer_account_schema = {
	.fields = account_fields,
	.field_count = RJ_FIELD_COUNT(account_fields),
	.size = sizeof(struct rj_account),
	.unique_names = true,
};

static const struct rj_schema_field instance_fields[] = {
	{ RJ_FIELD(name, answer_instance, name) },
	{ RJ_FIELD(name, answer_instance, domain) },
	{ RJ_FIELD(address, answer_instance, caller_address), .min = 1 },
	{ RJ_FIELD(address, answer_instance, peer_address), .min = 1 },
};

const struct rj_schema answer_instance_schema = {
	.fields = instance_fields,
	.field_count = RJ_FIELD_COUNT(instance_fields),
	.size = sizeof(struct answer_instance),
	.unique_names = true,
};

static const struct rj_schema_field answers_fields[] = {
	{ RJ_FIELD(name, answers, team) },
	{ RJ_FIELD(array, answers, domains), .min = 1, .max = 64,
	  .count_offset = offsetof(struct answers, domain_count),
	  .schema = &rj_domain_schema },
	{ RJ_FIELD(array, answers, accounts), .min = 1, .max = ACCOUNTS_MAX,
	  .count_offset = offsetof(struct answers, account_count),
	  .schema = &answer_account_schema },
	{ RJ_FIELD(array, answers, job_kinds), .min = 1, .max = 256,
	  .count_offset = offsetof(struct answers, job_kind_count),
	  .schema = &rj_job_class_schema },
	{ RJ_FIELD(object, answers, limits), .optional = true,
	  .schema = &rj_limits_schema },
	{ RJ_FIELD(address, answers, platform_address), .min = 1 },
	{ RJ_FIELD(u32, answers, retention_s), .optional = true, .min = 10,
	  .max = 52 * WEEK_S, .fallback = WEEK_S },
	{ RJ_FIELD(array, answers, instances), .optional = true,
	  .max = INSTANCES_MAX,
	  .count_offset = offsetof(struct answers, instance_count),
	  .schema = &answer_instance_schema },
};

const struct rj_schema answers_schema = {
	.fields = answers_fields,
	.field_count = RJ_FIELD_COUNT(answers_fields),
	.size = sizeof(struct answers),
};

/*
 * Formats `json` as indented text with a final newline, a talloc child of
 * `mem`. Takes over the reference to `json`.
 */
char *json_text(void *mem, json_t *json)
{
	char *dumped = json_dumps(json, JSON_INDENT(2));
	char *text;

	assert(dumped);
	text = talloc_asprintf(mem, "%s\n", dumped);
	assert(text);
	free(dumped);
	json_decref(json);
	return text;
}

/*
 * Returns the text of a configuration without white space, a talloc child of
 * `mem`. It is published in this form because every instance reads and stores
 * it. A text that is not JSON is returned unchanged, so that the later check
 * can report the position of the error.
 */
char *config_compact(void *mem, const char *text)
{
	json_t *json = json_loads(text, JSON_REJECT_DUPLICATES, NULL);
	char *dumped = json ? json_dumps(json, JSON_COMPACT) : NULL;
	char *compact = talloc_strdup(mem, dumped ? dumped : text);

	assert(compact);
	free(dumped);
	json_decref(json);
	return compact;
}

/*
 * Parses answers from JSON text and checks them against the schema only;
 * `answers_check` checks their meaning. Returns 0, or -1 with every error
 * added to `errors`.
 */
int answers_parse(struct answers *answers, void *mem, const char *text,
		  struct rj_error_list *errors)
{
	return rj_schema_parse(&answers_schema, mem, text, answers, errors);
}

/*
 * Returns the answers as JSON text, a talloc child of `mem`.
 */
char *answers_encode(void *mem, const struct answers *answers)
{
	return json_text(mem, rj_schema_encode(&answers_schema, answers));
}

/*
 * Creates a random token in `made` and stores its hash in the account.
 */
static void make_token(struct rj_account *account, struct new_token *made)
{
	uint8_t random[TOKEN_RANDOM_BYTES];

	randombytes_buf(random, sizeof(random));
	memcpy(made->account, account->name, sizeof(made->account));
	sodium_bin2base64(made->token, sizeof(made->token), random,
			  sizeof(random),
			  sodium_base64_VARIANT_URLSAFE_NO_PADDING);
	rj_token_hash(account->token_hash, made->token);
}

/*
 * Returns the configuration generated from the answers as JSON text, a talloc
 * child of `mem`.
 *
 * An account that is in `earlier` keeps its token hash, unless it is named by
 * `renew_account`. Every other account gets a new token, listed in `tokens`.
 * Both `earlier` and `renew_account` may be NULL.
 */
char *answers_make_config(void *mem, struct answers *answers,
			  const struct rj_config *earlier,
			  const char *renew_account, struct new_token **tokens,
			  uint32_t *token_count)
{
	struct rj_config config = {
		.domains = answers->domains,
		.domain_count = answers->domain_count,
		.accounts = answers->accounts,
		.account_count = answers->account_count,
		.classes = answers->job_kinds,
		.class_count = answers->job_kind_count,
		.limits = answers->limits,
	};

	*tokens = talloc_zero_array(mem, struct new_token,
				    answers->account_count);
	*token_count = 0;
	assert(*tokens);
	for (uint32_t i = 0; i < answers->account_count; i++) {
		struct rj_account *account = &answers->accounts[i];
		const struct rj_account *existing = NULL;

		if (earlier &&
		    !(renew_account && !strcmp(renew_account, account->name)))
			existing = rj_config_account(earlier, account->name);
		if (existing)
			memcpy(account->token_hash, existing->token_hash,
			       RJ_TOKEN_HASH_BYTES);
		else
			make_token(account, &(*tokens)[(*token_count)++]);
	}
	return json_text(mem, rj_schema_encode(&rj_config_schema, &config));
}

/*
 * Adds an error for each instance whose failure domain is not in the answers.
 */
static void check_instances(const struct answers *answers,
			    struct rj_error_list *errors)
{
	for (uint32_t i = 0; i < answers->instance_count; i++) {
		const char *domain = answers->instances[i].domain;
		bool domain_found = false;

		for (uint32_t j = 0; j < answers->domain_count; j++)
			domain_found =
				domain_found ||
				!strcmp(answers->domains[j].name, domain);
		if (!domain_found)
			rj_error_list_add(errors, RJ_ERR_INVALID,
					  "instances[%u].domain: \"%s\" is no "
					  "failure domain; add it to "
					  "\"domains\" or use one of these",
					  i, domain);
	}
}

/*
 * Checks that a valid configuration can be generated from the answers. Errors
 * give paths within the answers, but with "classes" for "job_kinds". If there
 * are no errors, notes about the configuration are added.
 */
void answers_check(struct answers *answers, struct rj_error_list *errors)
{
	void *mem = talloc_new(NULL);
	uint32_t before = errors->count;
	struct new_token *tokens;
	struct rj_config *config;
	uint32_t token_count;
	char *text;

	assert(mem);
	text = answers_make_config(mem, answers, NULL, NULL, &tokens,
				   &token_count);
	config = rj_config_parse(mem, config_compact(mem, text), errors);
	check_instances(answers, errors);
	if (config && errors->count == before)
		rj_config_warnings(config, errors);
	rj_config_unref(config);
	talloc_free(mem);
}

/*
 * Returns the settings of the instance `name` as JSON text, a talloc child of
 * `mem`, with every other instance as a peer. Returns NULL with `err` of kind
 * RJ_ERR_NOT_FOUND if the answers have no such instance.
 */
char *answers_make_settings(void *mem, const struct answers *answers,
			    const char *name, const char *peer_key,
			    struct rj_error *err)
{
	const struct answer_instance *self = NULL;
	struct rj_settings settings;
	char *text;

	rj_schema_defaults(&rj_settings_schema, &settings);
	settings.peers = talloc_zero_array(mem, struct rj_instance,
					   answers->instance_count + 1);
	assert(settings.peers);
	for (uint32_t i = 0; i < answers->instance_count; i++) {
		const struct answer_instance *instance = &answers->instances[i];
		struct rj_instance *peer;

		if (!strcmp(instance->name, name)) {
			self = instance;
			continue;
		}
		peer = &settings.peers[settings.peer_count++];
		memcpy(peer->name, instance->name, sizeof(peer->name));
		memcpy(peer->domain, instance->domain, sizeof(peer->domain));
		peer->address = instance->peer_address;
	}
	if (!self) {
		rj_error_set(err, RJ_ERR_NOT_FOUND,
			     "%s: no instance of that name in the answers; "
			     "add it with `radishjunction ask --answers FILE`",
			     name);
		return NULL;
	}
	memcpy(settings.name, self->name, sizeof(settings.name));
	memcpy(settings.domain, self->domain, sizeof(settings.domain));
	settings.caller_address = self->caller_address;
	settings.peer_address = self->peer_address;
	settings.platform_address = answers->platform_address;
	settings.retention_s = answers->retention_s;
	memcpy(settings.peer_key, peer_key, strlen(peer_key) + 1);
	text = json_text(mem, rj_schema_encode(&rj_settings_schema, &settings));
	talloc_free(settings.peers);
	return text;
}
