/*
 * Published configuration: client accounts, guaranteed shapes, job classes,
 * failure domains and limits.
 *
 * Life cycle: `rj_config_parse` creates a configuration from JSON text or
 * reports all errors of the text. It is read-only and reference-counted
 * (`rj_config_ref`, `rj_config_unref`).
 */
#ifndef RADISHJUNCTION_CONFIG_H
#define RADISHJUNCTION_CONFIG_H

#include "radishjunction/error.h"
#include "radishjunction/types.h"

#define RJ_CONFIG_ID_BYTES 40
/* A configuration must fit one log record and one peer frame. */
#define RJ_CONFIG_TEXT_MAX_BYTES (256 * 1024)
#define RJ_TOKEN_HASH_BYTES 32

/* Capacity that the account can always reclaim in this failure domain. */
struct rj_guarantee {
	char domain[RJ_NAME_BYTES];
	struct rj_shape shape;
	uint32_t count; /* of such shapes at the same time */
};

struct rj_account {
	char name[RJ_NAME_BYTES];
	uint8_t token_hash[RJ_TOKEN_HASH_BYTES]; /* of the account's token */
	uint32_t share; /* fair-share weight above the guarantees */
	uint32_t open_max; /* open jobs of the account per instance */
	struct rj_guarantee *guarantees;
	uint32_t guarantee_count;
};

struct rj_job_class {
	char name[RJ_NAME_BYTES];
	enum rj_priority priority;
	bool idempotent;
	bool checkpoint; /* its tasks can be checkpointed and resumed */
	uint64_t expected_us; /* run time, used until runs were observed */
	uint32_t open_max; /* open jobs of the class per instance */
};

struct rj_domain {
	char name[RJ_NAME_BYTES];
	char region[RJ_NAME_BYTES];
	uint32_t racks;
	uint32_t workers_per_rack;
	struct rj_resources worker; /* capacity of each worker */
};

struct rj_config_limits {
	uint32_t queue_max; /* queued jobs per instance */
	uint32_t retry_percent; /* retry budget, in percent of successes */
	uint32_t lease_life_ms;
	uint32_t
		checkpoint_limit_ms; /* on reclaim, before the task is stopped */
	uint32_t key_life_s; /* retention of an idempotency key */
	/* 0: only completion time counts; 100: only fragmentation. */
	uint32_t fragmentation_weight;
};

struct rj_config {
	uint64_t revision; /* set from the log record */
	char id[RJ_CONFIG_ID_BYTES]; /* of the publication */
	struct rj_domain *domains;
	uint32_t domain_count;
	struct rj_account *accounts;
	uint32_t account_count;
	struct rj_job_class *classes;
	uint32_t class_count;
	struct rj_config_limits limits;
	char *text; /* the JSON it was parsed from */
	uint32_t refs;
};

struct rj_config *rj_config_parse(void *mem, const char *text,
				  struct rj_error_list *errors);
struct rj_config *rj_config_ref(struct rj_config *config);
void rj_config_unref(struct rj_config *config);
void rj_config_warnings(const struct rj_config *config,
			struct rj_error_list *warnings);
const struct rj_account *rj_config_account(const struct rj_config *config,
					   const char *name);
const struct rj_account *
rj_config_account_by_token(const struct rj_config *config, const char *token);
const struct rj_job_class *rj_config_class(const struct rj_config *config,
					   const char *name);
const struct rj_domain *rj_config_domain(const struct rj_config *config,
					 const char *name);
void rj_token_hash(uint8_t hash[RJ_TOKEN_HASH_BYTES], const char *token);

#endif
