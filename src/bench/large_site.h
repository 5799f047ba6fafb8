/*
 * A synthetic site of any size: its configuration and the platform's list of
 * its instances and workers.
 */
#ifndef BENCH_LARGE_SITE_H
#define BENCH_LARGE_SITE_H

#include "radishjunction/event.h"

#define LARGE_SITE_RACK_WORKERS 8
#define LARGE_SITE_ACCELERATORS 8 /* of a worker */
#define LARGE_SITE_SLOTS 8 /* of a worker */
#define LARGE_SITE_DOMAIN "domain" /* the first one, under test */

struct large_site {
	uint32_t domains;
	uint32_t workers; /* of each failure domain */
	uint32_t instances; /* of each failure domain */
	uint32_t accounts;
	uint32_t open_max; /* added to the first account's limit */
	bool guarantees; /* one for each account, of one task */
};

char *large_site_config(void *mem, const struct large_site *site);
struct rj_instance *large_site_list(void *mem, const struct large_site *site,
				    uint32_t *count);

#endif
