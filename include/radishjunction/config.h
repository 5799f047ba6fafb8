/*
 * The published configuration: client accounts, guaranteed shapes, job
 * classes, failure domains and limits.
 *
 * Life cycle: `rj_config_parse` makes one from JSON text and reports every
 * error at once; it is then read-only and shared by reference count
 * (`rj_config_ref`, `rj_config_unref`). A bad text changes nothing.
 */
#ifndef RADISHJUNCTION_CONFIG_H
#define RADISHJUNCTION_CONFIG_H

#include "radishjunction/error.h"
#include "radishjunction/types.h"

#define RJ_CONFIG_ID_BYTES 40
/* A configuration travels in one record and one peer frame. */
#define RJ_CONFIG_TEXT_MAX_BYTES (256 * 1024)
#define RJ_TOKEN_HASH_BYTES 32

/* A shape that the account can always get back in this failure domain. */
struct rj_guarantee {
	char domain[RJ_NAME_BYTES];
	struct rj_shape shape;
	uint32_t count; /* how many such shapes at once */
};

struct rj_account {
	char name[RJ_NAME_BYTES];
	uint8_t token_hash[RJ_TOKEN_HASH_BYTES]; /* of the caller's token */
	uint32_t share; /* weight of fair sharing above guarantees */
	uint32_t open_max; /* open jobs of the account at one instance */
	struct rj_guarantee *guarantees;
	uint32_t guarantee_count;
};

struct rj_job_class {
	char name[RJ_NAME_BYTES];
	enum rj_priority priority;
	bool idempotent;
	bool checkpoint; /* its tasks can be checkpointed and resumed */
	uint64_t expected_us; /* until run times have been learnt */
	uint32_t open_max; /* open jobs of the class at one instance */
};

struct rj_domain {
	char name[RJ_NAME_BYTES];
	char region[RJ_NAME_BYTES];
	uint32_t racks;
	uint32_t workers_per_rack;
	struct rj_resources worker; /* what each worker has */
};

struct rj_config_limits {
	uint32_t queue_max; /* waiting jobs at one instance */
	uint32_t retry_percent; /* retries as a share of successes */
	uint32_t lease_life_ms;
	uint32_t checkpoint_limit_ms; /* for a reclaim, then stop */
	uint32_t key_life_s; /* how long an idempotency key is known */
	/* 0: completion time alone counts; 100: fragmentation alone. */
	uint32_t fragmentation_weight;
};

struct rj_config {
	uint64_t revision; /* set from the log's record */
	char id[RJ_CONFIG_ID_BYTES]; /* of the publication */
	struct rj_domain *domains;
	uint32_t domain_count;
	struct rj_account *accounts;
	uint32_t account_count;
	struct rj_job_class *classes;
	uint32_t class_count;
	struct rj_config_limits limits;
	char *text; /* the JSON it was made from */
	uint32_t refs;
};

struct rj_config *rj_config_parse(void *mem, const char *text,
				  struct rj_error_list *errors);
struct rj_config *rj_config_ref(struct rj_config *config);
void rj_config_unref(struct rj_config *config);
void rj_config_warnings(const struct rj_config *config,
			struct rj_error_list *notes);
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
