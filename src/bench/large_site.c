#include "large_site.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/* Lease duration by the rule of docs/CONFIGURATION.md: long enough for the
 * longer report intervals of large sites. */
#define LEASE_PER_WORKER_MS 750
#define LEASE_MIN_MS 5000
#define LEASE_MAX_MS 600000 /* limit of a configuration */

/*
 * Sets the name of a failure domain; the first is LARGE_SITE_DOMAIN.
 */
static void domain_name(char name[RJ_NAME_BYTES], uint32_t index)
{
	if (index)
		g_snprintf(name, RJ_NAME_BYTES, LARGE_SITE_DOMAIN "-%u", index);
	else
		g_strlcpy(name, LARGE_SITE_DOMAIN, RJ_NAME_BYTES);
}

/*
 * Returns the configuration of one failure domain.
 */
static json_t *domain_json(const struct large_site *site, uint32_t index)
{
	char name[RJ_NAME_BYTES];

	domain_name(name, index);
	return json_pack("{s:s,s:s,s:i,s:i,s:{s:i,s:i,s:i,s:i}}", "name", name,
			 "region", "region", "racks",
			 (int)((site->workers + LARGE_SITE_RACK_WORKERS - 1) /
			       LARGE_SITE_RACK_WORKERS),
			 "workers_per_rack", LARGE_SITE_RACK_WORKERS, "worker",
			 "slots", LARGE_SITE_SLOTS, "accelerators",
			 LARGE_SITE_ACCELERATORS, "cores", 128, "memory_mb",
			 524288);
}

/*
 * Returns the configuration of one client account.
 */
static json_t *account_json(const struct large_site *site, uint32_t index)
{
	json_t *guarantees = json_array();
	char domain[RJ_NAME_BYTES];
	char hash[2 * 32 + 1];
	char name[RJ_NAME_BYTES];

	g_assert(site->domains);
	domain_name(domain, index % site->domains);
	g_snprintf(name, sizeof(name), "account-%03u", index);
	g_snprintf(hash, sizeof(hash), "%064x", index + 1);
	if (site->guarantees)
		json_array_append_new(guarantees,
				      json_pack("{s:s,s:i,s:i,s:i,s:i,s:i}",
						"domain", domain, "count", 1,
						"tasks", 1, "accelerators", 1,
						"cores", 8, "memory_mb", 4096));
	return json_pack("{s:s,s:s,s:i,s:i,s:o}", "name", name, "token_hash",
			 hash, "share", 1, "open_max",
			 (int)(index ? 1000 : 1000 + site->open_max),
			 "guarantees", guarantees);
}

/*
 * Returns the site's configuration as compact JSON, as `publish` sends it; a
 * talloc child of `mem`.
 */
char *large_site_config(void *mem, const struct large_site *site)
{
	json_t *domains = json_array();
	json_t *accounts = json_array();
	json_t *json;
	char *result;
	char *text;

	for (uint32_t i = 0; i < site->domains; i++)
		json_array_append_new(domains, domain_json(site, i));
	for (uint32_t i = 0; i < site->accounts; i++)
		json_array_append_new(accounts, account_json(site, i));
	json = json_pack(
		"{s:o,s:o,s:[{s:s,s:s,s:b,s:b,s:i}],s:{s:i}}", "domains",
		domains, "accounts", accounts, "classes", "name", "render",
		"priority", "normal", "idempotent", 1, "checkpoint", 1,
		"expected_ms", 1000, "limits", "lease_life_ms",
		(int)MIN(LEASE_MAX_MS,
			 LEASE_PER_WORKER_MS * site->workers / site->instances +
				 LEASE_MIN_MS));
	text = json_dumps(json, JSON_COMPACT);
	g_assert(text);
	result = talloc_strdup(mem, text);
	g_assert(result);
	free(text);
	json_decref(json);
	return result;
}

/*
 * Returns the platform's list of the site, LARGE_SITE_DOMAIN first; a talloc
 * child of `mem`.
 */
struct rj_instance *large_site_list(void *mem, const struct large_site *site,
				    uint32_t *count)
{
	uint32_t each = site->instances + site->workers;
	struct rj_instance *list = talloc_zero_array(mem, struct rj_instance,
						     site->domains * each);

	g_assert(list);
	*count = site->domains * each;
	for (uint32_t i = 0; i < *count; i++) {
		struct rj_instance *line = &list[i];
		uint32_t index = i % each;
		bool entry = index < site->instances;

		line->role = entry ? RJ_ROLE_ENTRY : RJ_ROLE_WORKER;
		g_snprintf(line->name, RJ_NAME_BYTES,
			   entry ? "entry-%u" : "worker-%05u", i);
		domain_name(line->domain, i / each);
		g_strlcpy(line->address.ip, "127.0.0.1", RJ_IP_BYTES);
		line->address.port = (uint16_t)(1024 + i);
		line->incarnation = 1;
		line->rack = entry ? 0 :
				     (index - site->instances) /
					     LARGE_SITE_RACK_WORKERS;
	}
	return list;
}
