/*
 * A site as large as a measurement asks for: its configuration and the
 * platform's list of its instances and workers.
 */
#ifndef BENCH_LARGE_SITE_H
#define BENCH_LARGE_SITE_H

#include "radishjunction/event.h"

#define LARGE_SITE_RACK_WORKERS 8
#define LARGE_SITE_ACCELERATORS 8 /* of a worker */
#define LARGE_SITE_SLOTS 8 /* of a worker */
#define LARGE_SITE_DOMAIN "domain" /* the one that is measured */

struct large_site {
	uint32_t domains;
	uint32_t workers; /* of each failure domain */
	uint32_t instances; /* of each failure domain */
	uint32_t accounts;
	uint32_t open_max; /* of the first account: what a change alters */
	bool guarantees; /* each account has one, of a single task */
};

char *large_site_config(void *mem, const struct large_site *site);
struct rj_instance *large_site_list(void *mem, const struct large_site *site,
				    uint32_t *count);

#endif
