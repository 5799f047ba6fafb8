#include "radishjunction/settings.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/schemas.h"

/* Whoever guesses a short key could act as a peer. */
#define PEER_KEY_MIN_CHARS 32
#define PEERS_MAX 1024
#define WEEK_S (7 * 24 * 3600)

static const struct rj_schema_field peer_fields[] = {
	{ RJ_FIELD(name, rj_instance, name) },
	{ RJ_FIELD(name, rj_instance, domain) },
	{ RJ_FIELD(address, rj_instance, address), .min = 1 },
};

static const struct rj_schema peer_schema = {
	.fields = peer_fields,
	.field_count = RJ_FIELD_COUNT(peer_fields),
	.size = sizeof(struct rj_instance),
	.unique_names = true,
};

static const struct rj_schema_field settings_fields[] = {
	{ RJ_FIELD(name, rj_settings, name) },
	{ RJ_FIELD(name, rj_settings, domain) },
	{ RJ_FIELD(address, rj_settings, caller_address) },
	{ RJ_FIELD(address, rj_settings, peer_address) },
	{ RJ_FIELD(address, rj_settings, platform_address), .min = 1 },
	{ RJ_FIELD(array, rj_settings, peers), .optional = true,
	  .count_offset = offsetof(struct rj_settings, peer_count),
	  .max = PEERS_MAX, .schema = &peer_schema },
	{ RJ_FIELD(text, rj_settings, peer_key), .min = PEER_KEY_MIN_CHARS,
	  .size = RJ_TOKEN_BYTES },
	{ RJ_FIELD(u32, rj_settings, retention_s), .optional = true, .min = 10,
	  .max = 52 * WEEK_S, .fallback = WEEK_S },
	{ RJ_FIELD(u32, rj_settings, memory_mb), .optional = true, .min = 64,
	  .max = 16 * 1024 * 1024, .fallback = 256 },
	{ RJ_FIELD(u32, rj_settings, body_max_bytes), .optional = true,
	  .min = 1024, .max = RJ_BODY_MAX_BYTES,
	  .fallback = RJ_BODY_MAX_BYTES },
	{ RJ_FIELD(u32, rj_settings, connections_max), .optional = true,
	  .min = 1, .max = 65536, .fallback = 4096 },
	{ RJ_FIELD(u32, rj_settings, requests_max), .optional = true, .min = 1,
	  .max = 65536, .fallback = 8192 },
	{ RJ_FIELD(u32, rj_settings, idle_timeout_s), .optional = true,
	  .min = 1, .max = 3600, .fallback = 60 },
	{ RJ_FIELD(u32, rj_settings, drain_limit_s), .optional = true, .min = 1,
	  .max = 3600, .fallback = 30 },
};

const struct rj_schema rj_settings_schema = {
	.fields = settings_fields,
	.field_count = RJ_FIELD_COUNT(settings_fields),
	.size = sizeof(struct rj_settings),
};

/*
 * Remove this daemon from its list of peers, so that all instances can be
 * configured with the same list.
 */
static void remove_self(struct rj_settings *settings)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < settings->peer_count; i++) {
		if (!strcmp(settings->peers[i].name, settings->name))
			continue;
		if (kept != i)
			settings->peers[kept] = settings->peers[i];
		kept++;
	}
	settings->peer_count = kept;
}

/*
 * Parse the settings of one daemon from JSON text. Returns a talloc child of
 * `mem`, or NULL with every error added to `errors`.
 */
struct rj_settings *rj_settings_parse(void *mem, const char *text,
				      struct rj_error_list *errors)
{
	struct rj_settings *settings = talloc_zero(mem, struct rj_settings);

	assert(settings);
	if (rj_schema_parse(&rj_settings_schema, settings, text, settings,
			    errors)) {
		talloc_free(settings);
		return NULL;
	}
	remove_self(settings);
	return settings;
}
