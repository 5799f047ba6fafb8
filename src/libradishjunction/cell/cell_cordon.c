#include "private/cell_cordon.h"

#include <string.h>

#include "private/log_event.h"

static struct rj_cell_cordon *cordon_at(const struct rj_cell_cordons *cordons,
					guint index)
{
	return &g_array_index(cordons->cordons, struct rj_cell_cordon, index);
}

/* Index of a domain's cordon, or the length of the list if there is none. */
static guint find_index(const struct rj_cell_cordons *cordons,
			const char *domain)
{
	guint index = 0;

	while (index < cordons->cordons->len &&
	       strcmp(cordon_at(cordons, index)->domain, domain) != 0)
		index++;
	return index;
}

/* Counts and logs a change. */
static void log_change(struct rj_cell_cordons *cordons, const char *domain,
		       uint64_t version, bool cordoned)
{
	cordons->changes++;
	rj_log_event("cordon", RJ_LOG_TEXT("domain", domain),
		     RJ_LOG_NUMBER("cordoned", cordoned),
		     RJ_LOG_NUMBER("version", version),
		     RJ_LOG_NUMBER("loaded", cordons->loading));
}

/*
 * Initializes an empty list of cordons.
 */
void rj_cell_cordons_init(struct rj_cell_cordons *cordons)
{
	memset(cordons, 0, sizeof(*cordons));
	cordons->cordons =
		g_array_new(FALSE, FALSE, sizeof(struct rj_cell_cordon));
}

/*
 * Frees the list of cordons.
 */
void rj_cell_cordons_finish(struct rj_cell_cordons *cordons)
{
	g_array_free(cordons->cordons, TRUE);
	cordons->cordons = NULL;
}

/*
 * Cordons a failure domain by the record at `version`, which may be read
 * repeatedly. Returns whether the domain was not cordoned before.
 */
bool rj_cell_cordons_set(struct rj_cell_cordons *cordons, const char *domain,
			 uint64_t version)
{
	guint index = find_index(cordons, domain);
	struct rj_cell_cordon cordon = { .version = version,
					 .seen_in_load = true };

	if (index < cordons->cordons->len) {
		cordon_at(cordons, index)->version = version;
		cordon_at(cordons, index)->seen_in_load = true;
		return false;
	}
	g_strlcpy(cordon.domain, domain, sizeof(cordon.domain));
	g_array_append_val(cordons->cordons, cordon);
	log_change(cordons, domain, version, true);
	return true;
}

/*
 * Lifts the cordon of a failure domain by the record at `version`. Returns
 * whether it was cordoned.
 */
bool rj_cell_cordons_clear(struct rj_cell_cordons *cordons, const char *domain,
			   uint64_t version)
{
	guint index = find_index(cordons, domain);

	if (index >= cordons->cordons->len)
		return false;
	g_array_remove_index(cordons->cordons, index);
	log_change(cordons, domain, version, false);
	return true;
}

/*
 * Begins to load the operators' log again. All cordons stay until the load has
 * ended.
 */
void rj_cell_cordons_load_begin(struct rj_cell_cordons *cordons)
{
	cordons->loading = true;
	for (guint i = 0; i < cordons->cordons->len; i++)
		cordon_at(cordons, i)->seen_in_load = false;
}

/*
 * Ends a load, and clears the cordons without a record in it: they were lifted
 * while the operators' log could not be read. Returns how many.
 */
uint32_t rj_cell_cordons_load_end(struct rj_cell_cordons *cordons)
{
	uint32_t cleared = 0;

	for (guint i = cordons->cordons->len; i > 0; i--) {
		struct rj_cell_cordon cordon = *cordon_at(cordons, i - 1);

		if (cordon.seen_in_load)
			continue;
		rj_cell_cordons_clear(cordons, cordon.domain, cordon.version);
		cleared++;
	}
	cordons->loading = false;
	return cleared;
}

bool rj_cell_cordons_contains(const struct rj_cell_cordons *cordons,
			      const char *domain)
{
	return find_index(cordons, domain) < cordons->cordons->len;
}
