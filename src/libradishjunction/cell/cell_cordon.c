#include "private/cell_cordon.h"

#include <string.h>

#include "private/log_event.h"

/* The cordon at a place of the list. */
static struct rj_cell_cordon *at(const struct rj_cell_cordons *cordons,
				 guint place)
{
	return &g_array_index(cordons->cordons, struct rj_cell_cordon, place);
}

/* The place of a domain's cordon, or the length of the list. */
static guint find(const struct rj_cell_cordons *cordons, const char *domain)
{
	guint place = 0;

	while (place < cordons->cordons->len &&
	       strcmp(at(cordons, place)->domain, domain) != 0)
		place++;
	return place;
}

/* Say what has changed. */
static void note_change(struct rj_cell_cordons *cordons, const char *domain,
			uint64_t version, bool cordoned)
{
	cordons->changes++;
	rj_log_event("cordon", RJ_LOG_TEXT("domain", domain),
		     RJ_LOG_NUMBER("cordoned", cordoned),
		     RJ_LOG_NUMBER("version", version),
		     RJ_LOG_NUMBER("loaded", cordons->loading));
}

/*
 * Begin with no cordons.
 */
void rj_cell_cordons_init(struct rj_cell_cordons *cordons)
{
	memset(cordons, 0, sizeof(*cordons));
	cordons->cordons =
		g_array_new(FALSE, FALSE, sizeof(struct rj_cell_cordon));
}

/*
 * Free the list.
 */
void rj_cell_cordons_finish(struct rj_cell_cordons *cordons)
{
	g_array_free(cordons->cordons, TRUE);
	cordons->cordons = NULL;
}

/*
 * A failure domain is cordoned by the record at `version`, which may be shown
 * again. Returns whether it was not cordoned before.
 */
bool rj_cell_cordons_set(struct rj_cell_cordons *cordons, const char *domain,
			 uint64_t version)
{
	guint place = find(cordons, domain);
	struct rj_cell_cordon cordon = { .version = version, .shown = true };

	if (place < cordons->cordons->len) {
		at(cordons, place)->version = version;
		at(cordons, place)->shown = true;
		return false;
	}
	g_strlcpy(cordon.domain, domain, sizeof(cordon.domain));
	g_array_append_val(cordons->cordons, cordon);
	note_change(cordons, domain, version, true);
	return true;
}

/*
 * A failure domain is given back by the record at `version`. Returns whether
 * it was cordoned.
 */
bool rj_cell_cordons_clear(struct rj_cell_cordons *cordons, const char *domain,
			   uint64_t version)
{
	guint place = find(cordons, domain);

	if (place >= cordons->cordons->len)
		return false;
	g_array_remove_index(cordons->cordons, place);
	note_change(cordons, domain, version, false);
	return true;
}

/*
 * The operators' log is about to be loaded anew. Until that has ended all
 * cordons stay.
 */
void rj_cell_cordons_load_begin(struct rj_cell_cordons *cordons)
{
	cordons->loading = true;
	for (guint i = 0; i < cordons->cordons->len; i++)
		at(cordons, i)->shown = false;
}

/*
 * The load has ended: cordons that it did not show were given back while
 * their records could not be read. Returns how many.
 */
uint32_t rj_cell_cordons_load_end(struct rj_cell_cordons *cordons)
{
	uint32_t cleared = 0;

	for (guint i = cordons->cordons->len; i > 0; i--) {
		struct rj_cell_cordon cordon = *at(cordons, i - 1);

		if (cordon.shown)
			continue;
		rj_cell_cordons_clear(cordons, cordon.domain, cordon.version);
		cleared++;
	}
	cordons->loading = false;
	return cleared;
}

/*
 * Whether a failure domain is cordoned.
 */
bool rj_cell_cordons_has(const struct rj_cell_cordons *cordons,
			 const char *domain)
{
	return find(cordons, domain) < cordons->cordons->len;
}
