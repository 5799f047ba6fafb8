/*
 * Simulates a planner over a job stream in virtual time. As the core would, it
 * starts, stops, fails and completes jobs, and it collects statistics.
 *
 * Life cycle: `plan_simulation_run` runs the whole stream and fills the
 * caller's result. It asserts at each decision that no worker is
 * over-allocated and that gangs start whole. `check`, if set, is called after
 * each pass.
 */
#ifndef SUPPORT_PLAN_SIMULATION_H
#define SUPPORT_PLAN_SIMULATION_H

#include <glib.h>

#include "support/plan_stream.h"

enum plan_quantile { PLAN_P50, PLAN_P95, PLAN_P99, PLAN_QUANTILE_COUNT };

enum plan_job_state {
	PLAN_JOB_NOT_ARRIVED,
	PLAN_JOB_WAITING,
	PLAN_JOB_RUNNING,
	PLAN_JOB_FINISHED,
};

struct plan_simulation_job {
	enum plan_job_state state;
	uint32_t attempt;
	uint64_t started_us;
	uint64_t first_start_us; /* RJ_NEVER_US before the first start */
	uint64_t remaining_us; /* rest of its run time */
	bool stopping;
	bool guarantee_due; /* covered by the guarantee of its account */
	struct rj_plan_member *members;
	uint32_t member_count;
};

enum plan_event_kind {
	PLAN_EVENT_ARRIVAL,
	PLAN_EVENT_CANCEL,
	PLAN_EVENT_COMPLETION,
	PLAN_EVENT_FAILURE,
	PLAN_EVENT_STOPPED,
	PLAN_EVENT_WORKERS_FAIL,
	PLAN_EVENT_WORKERS_RECOVER,
	PLAN_EVENT_PROBE,
	PLAN_EVENT_INSTANCE_LOST,
	PLAN_EVENT_INSTANCE_REPLACED,
	PLAN_EVENT_WAKE,
};

struct plan_event {
	uint64_t at_us;
	uint64_t number; /* breaks ties in order of creation */
	enum plan_event_kind kind;
	uint32_t index; /* of the job or the worker */
	uint32_t attempt;
};

struct plan_simulation;

/* Creates a planner as a talloc child of `mem`. */
struct planner_factory {
	const char *name;
	struct rj_planner *(*make)(void *mem);
};

struct plan_simulation_options {
	const struct planner_factory *factory;
	void (*check)(struct plan_simulation *simulation);
};

/* Seconds, fractions and counts. Index STREAM_ACCOUNTS covers all accounts. */
struct plan_result {
	double completion_s[STREAM_CLASSES][STREAM_ACCOUNTS + 1]
			   [PLAN_QUANTILE_COUNT];
	double count[STREAM_CLASSES][STREAM_ACCOUNTS + 1];
	double gang_wait_s[PLAN_QUANTILE_COUNT]; /* of the largest shape */
	double fragmentation; /* mean over the whole horizon */
	double fragmentation_waiting; /* mean while some job waits */
	double utilisation; /* without lost work */
	double guaranteed_due;
	double guaranteed_late;
	double guaranteed_wait_max_s;
	double refusals;
	double lost_share; /* lost part of the work done */
	double reclaims;
	double failures; /* of tasks on failing workers */
};

struct plan_simulation {
	const struct plan_stream *stream;
	struct plan_simulation_options options;
	struct rj_planner *planner;
	struct rj_decisions decisions;
	struct plan_simulation_job *jobs;
	GArray *events; /* a heap, earliest first */
	uint64_t event_number;
	uint64_t now_us;
	struct rj_resources allocated[STREAM_WORKERS];
	bool failing[STREAM_WORKERS];
	uint32_t consecutive_failures[STREAM_WORKERS];
	bool excluded[STREAM_WORKERS];
	struct rj_resources open_resources[STREAM_ACCOUNTS]; /* unfinished */
	bool instance_down;
	uint64_t wake_at_us;
	uint64_t busy; /* accelerators in use now */
	double busy_s; /* accelerator seconds in use before the horizon */
	double lost_s;
	double stranded_s;
	double waiting_s;
	GArray *completions[STREAM_CLASSES][STREAM_ACCOUNTS + 1];
	GArray *gang_waits;
	struct plan_result *result;
	void *mem;
};

void plan_simulation_run(const struct plan_stream *stream,
			 const struct plan_simulation_options *options,
			 struct plan_result *result);

/* plan_event.c: the event queue, a binary heap. */
struct plan_event *plan_simulation_event(struct plan_simulation *simulation,
					 uint32_t at);
void plan_simulation_push(struct plan_simulation *simulation, uint64_t at_us,
			  enum plan_event_kind kind, uint32_t index,
			  uint32_t attempt);
struct plan_event plan_simulation_pop(struct plan_simulation *simulation);

/* planner_factory.c */
extern const struct planner_factory planner_factory_first_fit;
extern const struct planner_factory planner_factory_easy;
extern const struct planner_factory planner_factory_topology;

#endif
