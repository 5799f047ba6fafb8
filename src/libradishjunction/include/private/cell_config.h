/*
 * Configuration published by operators: queues, services and client accounts.
 *
 * An adapter creates one talloc tree per version; the node replaces and frees
 * the previous one. Versions only rise while a process runs.
 *
 * A version of which a part cannot be read is applied as far as it allows no
 * call that neither it nor the version before allows: a key that it takes away
 * is not accepted any more, whatever else is wrong.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_CONFIG_H
#define RADISHJUNCTION_PRIVATE_CELL_CONFIG_H

#include "radishjunction/types.h"

struct rj_cell_queue {
	char name[RJ_NAME_BYTES];
	const char *host;
	const char *prefix; /* of the path */
	char service[RJ_NAME_BYTES];
	uint32_t priority;
	uint32_t attempts_max;
	uint32_t stretch_milli;
	uint32_t latency_ms;
	uint32_t timeout_ms; /* upper limit for a caller's wait */
	bool open; /* calls need no API key */
	/* The policy service decides which workers may run its jobs. */
	bool advised;
	/* It could not be read. Its calls are not answered by another queue. */
	bool invalid;
};

struct rj_cell_service {
	char name[RJ_NAME_BYTES];
	bool enforces_limits; /* its workers reject tasks that do not fit */
};

struct rj_cell_account {
	char name[RJ_NAME_BYTES];
	const char **keys;
	uint32_t key_count;
	uint32_t guaranteed_accelerators; /* for jobs of priority 0 */
	bool guarantee_invalid; /* it could not be read */
};

struct rj_cell_config {
	uint64_t version;
	struct rj_cell_queue *queues;
	uint32_t queue_count;
	struct rj_cell_service *services;
	uint32_t service_count;
	struct rj_cell_account *accounts;
	uint32_t account_count;
	uint32_t body_max_bytes;
	/* Parts that could not be read, and what is wrong with the first. */
	uint32_t invalid_count;
	const char *invalid_error;
	/* It is not known which calls the queues take. */
	bool queues_unknown;
};

struct rj_cell_config *rj_cell_config_replace(struct rj_cell_config *former,
					      struct rj_cell_config *config);

const struct rj_cell_queue *
rj_cell_config_route(const struct rj_cell_config *config, const char *host,
		     const char *path);
const struct rj_cell_queue *
rj_cell_config_queue(const struct rj_cell_config *config, const char *name);
const struct rj_cell_account *
rj_cell_config_key(const struct rj_cell_config *config, const char *key);
const struct rj_cell_account *
rj_cell_config_account(const struct rj_cell_config *config, const char *name);
bool rj_cell_config_enforces_limits(const struct rj_cell_config *config,
				    const char *service);

#endif
