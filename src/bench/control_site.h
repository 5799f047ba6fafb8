/*
 * One instance with simulated peers, workers, log and instance list in virtual
 * time; counts the control traffic between them.
 *
 * Life cycle: `control_init`, `control_run_until` the end of the warm-up, set
 * `measuring`, `control_run_until` again, `control_finish`.
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

/* Events in addition to reports and heartbeats. */
struct control_load {
	struct large_site site;
	uint32_t changes_per_day; /* of the configuration */
	uint32_t replacements_per_day; /* of workers, in the whole site */
	bool whole; /* send whole configurations and lists */
};

struct traffic {
	uint64_t exchanges;
	uint64_t bytes;
};

/* An open long poll, and when it times out. */
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
	struct rj_instance_list list; /* as known to the instance */
	uint32_t instance_count;
	const struct control_load *load;
	struct large_site site; /* with the current configuration */
	GPtrArray *config; /* struct rj_record of the `config` stream */
	GHashTable *linked_peers; /* names of peers that the core links to */
	GArray *waiting_reads; /* struct waiting_read */
	char *text; /* of the configuration in force */
	uint64_t change_due_us;
	uint64_t replace_due_us;
	uint32_t replaced; /* so far */
	uint64_t now_us;
	uint64_t peers_due_us;
	uint32_t heartbeat_rounds; /* so far */
	GQueue pending; /* struct rj_event, not yet delivered */
	bool measuring;
	struct traffic reports;
	struct traffic peers;
	struct traffic log;
	struct traffic list_traffic;
	struct traffic publications; /* in peer messages and the log */
};

void control_init(struct control *control, const struct control_load *load);
void control_run_until(struct control *control, uint64_t until_us);
void control_finish(struct control *control);

#endif
