#include "private/cell_config.h"

#include <string.h>
#include <strings.h>
#include <talloc.h>

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

/* Whether an account has a key. */
static bool has_key(const struct rj_cell_account *account, const char *key)
{
	for (uint32_t i = 0; account && i < account->key_count; i++)
		if (!strcmp(account->keys[i], key))
			return true;
	return false;
}

/* Takes away the keys of an account that another version of it lacks. */
static void keep_common_keys(struct rj_cell_account *account,
			     const struct rj_cell_account *other)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < account->key_count; i++)
		if (has_key(other, account->keys[i]))
			account->keys[kept++] = account->keys[i];
	account->key_count = kept;
}

/* Takes over guarantees that could not be read. */
static void keep_guarantees(struct rj_cell_config *config,
			    const struct rj_cell_config *former)
{
	for (uint32_t i = 0; i < config->account_count; i++) {
		struct rj_cell_account *account = &config->accounts[i];
		const struct rj_cell_account *before =
			rj_cell_config_account(former, account->name);

		if (account->guarantee_invalid && before)
			account->guaranteed_accelerators =
				before->guaranteed_accelerators;
	}
}

/*
 * Returns what is in force after `former` (NULL: nothing) once `config` is read,
 * and frees the other one.
 *
 * If the queues of `config` are not known, those of `former` stay, or there are
 * none. A key that is new was never allowed to use those of `former`, so that
 * only the keys that both versions have are accepted.
 */
struct rj_cell_config *rj_cell_config_replace(struct rj_cell_config *former,
					      struct rj_cell_config *config)
{
	if (!former) {
		if (config->queues_unknown)
			config->queue_count = 0;
		return config;
	}
	keep_guarantees(config, former);
	if (!config->queues_unknown) {
		talloc_free(former);
		return config;
	}
	for (uint32_t i = 0; i < former->account_count; i++) {
		struct rj_cell_account *account = &former->accounts[i];

		keep_common_keys(account,
				 rj_cell_config_account(config, account->name));
	}
	former->version = config->version;
	former->invalid_count = config->invalid_count;
	former->invalid_error = talloc_strdup(former, config->invalid_error);
	former->queues_unknown = true;
	talloc_free(config);
	return former;
}
