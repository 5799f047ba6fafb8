/*
 * One instance with its peers, workers, log and list, which are played over
 * virtual time, and what they exchange for control, counted.
 *
 * Life cycle: `control_init`, `control_run_until` for the warm-up, `measuring`
 * set, `control_run_until` again, `control_finish`.
 */
#ifndef BENCH_CONTROL_SITE_H
#define BENCH_CONTROL_SITE_H

#include <glib.h>

#include "large_site.h"
#include "private/instance_list.h"
#include "radishjunction/core.h"
#include "radishjunction/planner_topology.h"

#define CONTROL_INSTANCES 8
#define CONTROL_DAY_US (86400 * RJ_US_PER_S)
#define CONTROL_WARM_UP_US (60 * RJ_US_PER_S)
#define CONTROL_START_US RJ_US_PER_S

/* What goes on beside the reports and heartbeats. */
struct control_load {
	struct large_site site;
	uint32_t changes_per_day; /* of the configuration */
	uint32_t replacements_per_day; /* of workers, all over the site */
	bool whole; /* configurations and lists are sent whole */
};

struct traffic {
	uint64_t exchanges;
	uint64_t bytes;
};

/* A long poll, and when it ends without news. */
struct waiting_read {
	struct rj_read read;
	uint64_t due_us;
};

struct control {
	void *mem;
	struct rj_core core;
	struct rj_planner_topology planner;
	struct rj_actions actions;
	struct rj_instance *instances;
	struct rj_standin_history *history; /* of the list */
	struct rj_instance_list list; /* as the instance has it */
	uint32_t instance_count;
	const struct control_load *load;
	struct large_site site; /* with the configuration as it is now */
	GPtrArray *config; /* struct rj_record of the `config` stream */
	GHashTable *linked_peers; /* names of peers that the core links to */
	GArray *reads; /* struct waiting_read */
	char *text; /* of the configuration in force */
	uint64_t change_due_us;
	uint64_t replace_due_us;
	uint32_t replaced; /* so far */
	uint64_t now_us;
	uint64_t peers_due_us;
	uint32_t heartbeat_rounds; /* rounds of heartbeats so far */
	GQueue pending; /* struct rj_event, to be delivered next */
	bool measuring;
	struct traffic reports;
	struct traffic peers;
	struct traffic log;
	struct traffic list_traffic;
	struct traffic publications; /* in peers' messages and in the log */
};

void control_init(struct control *control, const struct control_load *load);
void control_run_until(struct control *control, uint64_t until_us);
void control_finish(struct control *control);

#endif
