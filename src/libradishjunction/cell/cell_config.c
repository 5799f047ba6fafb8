#include "private/cell_config.h"

#include <string.h>
#include <strings.h>

/* Compares the host of a call, without its port, with a queue's host. */
static bool host_is(const char *given, const char *wanted)
{
	size_t length = strcspn(given, ":");

	return length == strlen(wanted) && !strncasecmp(given, wanted, length);
}

/*
 * Returns the queue with the call's host and the longest matching prefix, or
 * NULL.
 */
const struct rj_cell_queue *
rj_cell_config_route(const struct rj_cell_config *config, const char *host,
		     const char *path)
{
	const struct rj_cell_queue *best = NULL;
	size_t best_length = 0;

	for (uint32_t i = 0; i < config->queue_count; i++) {
		const struct rj_cell_queue *queue = &config->queues[i];
		size_t length = strlen(queue->prefix);

		if ((best && length <= best_length) ||
		    strncmp(path, queue->prefix, length) != 0 ||
		    !host_is(host, queue->host))
			continue;
		best = queue;
		best_length = length;
	}
	return best;
}

/*
 * Returns the queue with this name, or NULL if it is not configured any more.
 */
const struct rj_cell_queue *
rj_cell_config_queue(const struct rj_cell_config *config, const char *name)
{
	for (uint32_t i = 0; i < config->queue_count; i++)
		if (!strcmp(config->queues[i].name, name))
			return &config->queues[i];
	return NULL;
}

/*
 * Returns the client account that has this key, or NULL.
 */
const struct rj_cell_account *
rj_cell_config_key(const struct rj_cell_config *config, const char *key)
{
	for (uint32_t i = 0; i < config->account_count; i++) {
		const struct rj_cell_account *account = &config->accounts[i];

		for (uint32_t j = 0; j < account->key_count; j++)
			if (!strcmp(account->keys[j], key))
				return account;
	}
	return NULL;
}

const struct rj_cell_account *
rj_cell_config_account(const struct rj_cell_config *config, const char *name)
{
	for (uint32_t i = 0; i < config->account_count; i++)
		if (!strcmp(config->accounts[i].name, name))
			return &config->accounts[i];
	return NULL;
}

/*
 * Whether the workers of a service reject tasks that do not fit.
 */
bool rj_cell_config_enforces_limits(const struct rj_cell_config *config,
				    const char *service)
{
	for (uint32_t i = 0; i < config->service_count; i++)
		if (!strcmp(config->services[i].name, service))
			return config->services[i].enforces_limits;
	return false;
}
