/*
 * What operators and workers of a simulation publish: configurations, cordons
 * and heartbeats, and the codec with which its nodes read them.
 */
#include <string.h>
#include <talloc.h>

#include "private/pack.h"
#include "support/cell_sim.h"

#define CONFIG_KEY "config"
#define CORDON_PREFIX "cordon/"

/* Decodes a job from a submission, which is encoded as in the log. */
static struct rj_cell_job_spec *decode_job(void *mem, struct rj_bytes body,
					   struct rj_error *err)
{
	return rj_cell_job_spec_decode(mem, body, err);
}

/* Decodes a worker's entry, which is a copy of the struct. */
static int decode_worker(struct rj_bytes text,
			 struct rj_cell_heartbeat *heartbeat,
			 struct rj_error *err)
{
	if (text.length != sizeof(*heartbeat))
		return rj_error_set(err, RJ_ERR_MALFORMED, "worker entry");
	memcpy(heartbeat, text.data, sizeof(*heartbeat));
	return 0;
}

/* Compares the bytes of a worker's entry with those of an earlier one, but for
 * the clock; see struct rj_cell_codec. */
static bool is_same_entry(struct rj_bytes earlier, struct rj_bytes text,
			  uint64_t *clock_ms)
{
	size_t clock_at = offsetof(struct rj_cell_heartbeat, clock_ms);
	size_t rest_at = clock_at + sizeof(*clock_ms);

	if (earlier.length != sizeof(struct rj_cell_heartbeat) ||
	    text.length != earlier.length)
		return false;
	memcpy(clock_ms, text.data + clock_at, sizeof(*clock_ms));
	return !memcmp(earlier.data, text.data, clock_at) &&
	       !memcmp(earlier.data + rest_at, text.data + rest_at,
		       text.length - rest_at);
}

/* Queues: name, path prefix, priority, objective. */
static const struct {
	const char *name;
	const char *prefix;
	uint32_t priority;
	uint32_t stretch_milli;
	uint32_t latency_ms;
} queues[] = {
	{ "urgent", "/u/", 0, 1500, 250 },
	{ "normal", "/n/", 1, 3000, 1000 },
	{ "bulk", "/b/", 2, 3000, 3000 },
	{ "advised", "/a/", 1, 3000, 1000 },
};

/*
 * Returns the path prefix of a queue, or "".
 */
const char *cell_sim_queue_prefix(const char *queue)
{
	static char extra[RJ_NAME_BYTES];

	if (queue[0] == 'q') {
		(void)g_snprintf(extra, sizeof(extra), "/%s/", queue);
		return extra;
	}
	for (uint32_t i = 0; i < G_N_ELEMENTS(queues); i++)
		if (!strcmp(queues[i].name, queue))
			return queues[i].prefix;
	return "";
}

/* Classifies a key of the operators' topic; see struct rj_cell_codec. */
static enum rj_cell_published classify(const char *key, const char **name)
{
	if (!strcmp(key, CONFIG_KEY))
		return RJ_CELL_PUBLISHED_CONFIG;
	if (!g_str_has_prefix(key, CORDON_PREFIX))
		return RJ_CELL_PUBLISHED_UNKNOWN;
	*name = key + strlen(CORDON_PREFIX);
	return RJ_CELL_PUBLISHED_CORDON;
}

/* Sets the queue with an index in the configuration; the extra ones are like the
 * last one of every site, but without a policy. */
static void set_queue(void *mem, struct rj_cell_queue *queue, uint32_t index,
		      uint32_t attempts_max)
{
	uint32_t model = MIN(index, G_N_ELEMENTS(queues) - 1);

	g_strlcpy(queue->name, queues[model].name, RJ_NAME_BYTES);
	if (index >= G_N_ELEMENTS(queues))
		(void)g_snprintf(queue->name, RJ_NAME_BYTES, "q%u",
				 index - (uint32_t)G_N_ELEMENTS(queues));
	queue->host = "host";
	queue->prefix = talloc_strdup(mem, cell_sim_queue_prefix(queue->name));
	g_strlcpy(queue->service, "render", RJ_NAME_BYTES);
	queue->priority = queues[model].priority;
	queue->attempts_max = attempts_max;
	queue->stretch_milli = queues[model].stretch_milli;
	queue->latency_ms = queues[model].latency_ms;
	queue->advised = !strcmp(queue->name, "advised");
}

/* Decodes a configuration, of which only the fields encoded by cell_sim_publish
 * vary. */
static struct rj_cell_config *decode_config(void *mem, struct rj_bytes text,
					    struct rj_error *err)
{
	struct rj_cell_config *config = talloc_zero(mem, struct rj_cell_config);
	struct rj_unpacker in;
	uint32_t attempts_max;
	uint32_t extra;
	char api_key[RJ_NAME_BYTES];

	rj_unpack_init(&in, text);
	config->version = rj_unpack_number(&in, "version", UINT64_MAX);
	rj_unpack_text(&in, "key", api_key, sizeof(api_key));
	config->account_count = (uint32_t)rj_unpack_number(
		&in, "accounts", CELL_SIM_ACCOUNTS_MAX);
	config->accounts = talloc_zero_array(config, struct rj_cell_account,
					     config->account_count);
	for (uint32_t i = 0; i < config->account_count; i++) {
		struct rj_cell_account *account = &config->accounts[i];

		(void)g_snprintf(account->name, RJ_NAME_BYTES, "%c", 'a' + i);
		account->keys = talloc_array(config, const char *, 1);
		account->keys[0] = talloc_asprintf(config, "%s-%s", api_key,
						   account->name);
		account->key_count = 1;
		account->guaranteed_accelerators = (uint32_t)rj_unpack_number(
			&in, "guaranteed", UINT32_MAX);
	}
	attempts_max = (uint32_t)rj_unpack_number(&in, "attempts", UINT32_MAX);
	extra = (uint32_t)rj_unpack_number(&in, "extra_queues", UINT16_MAX);
	config->queue_count = G_N_ELEMENTS(queues) + extra;
	config->queues = talloc_zero_array(config, struct rj_cell_queue,
					   config->queue_count);
	for (uint32_t i = 0; i < config->queue_count; i++)
		set_queue(config, &config->queues[i], i, attempts_max);
	if (rj_unpack_finish(&in, err))
		TALLOC_FREE(config);
	return config;
}

/* The codec of the simulated nodes. */
const struct rj_cell_codec cell_sim_codec = {
	.decode_job = decode_job,
	.classify = classify,
	.decode_config = decode_config,
	.decode_worker = decode_worker,
	.is_same_entry = is_same_entry,
};

/*
 * Publishes a new configuration, in which only `key` is valid.
 */
void cell_sim_publish(struct cell_sim *sim, const char *key)
{
	struct rj_packer out;
	struct rj_bytes text;

	rj_pack_init(&out);
	rj_pack_number(&out, ++sim->config_version);
	rj_pack_text(&out, key);
	rj_pack_number(&out, sim->options.accounts);
	for (uint32_t i = 0; i < sim->options.accounts; i++)
		rj_pack_number(&out, sim->guaranteed[i]);
	rj_pack_number(&out, sim->options.attempts_max);
	rj_pack_number(&out, sim->options.extra_queues);
	text = rj_pack_finish(&out, sim->mem);
	cell_log_put(sim, RJ_CELL_TOPIC_CONFIG, CONFIG_KEY, text.data,
		     text.length);
	if (sim->key && strcmp(sim->key, key) != 0) {
		sim->removed_key = sim->key;
		sim->key_removed_us = sim->now_us;
	}
	sim->key = key;
	talloc_free((void *)text.data);
}

/*
 * Publishes or removes the cordon of a failure domain.
 */
void cell_sim_cordon(struct cell_sim *sim, const char *domain, bool cordoned)
{
	char *key = g_strconcat(CORDON_PREFIX, domain, NULL);
	uint64_t *since_us = g_hash_table_lookup(sim->cordons, domain);

	cell_log_put(sim, RJ_CELL_TOPIC_CONFIG, key, "{}", cordoned ? 2 : 0);
	g_free(key);
	if (!cordoned) {
		g_hash_table_remove(sim->cordons, domain);
		return;
	}
	if (since_us)
		return;
	since_us = g_new(uint64_t, 1);
	*since_us = sim->now_us;
	g_hash_table_insert(sim->cordons, g_strdup(domain), since_us);
}
