/*
 * Runs a planner over a stream in virtual time, as the core would: it
 * starts, stops, fails and ends jobs and counts what that gave.
 *
 * Life cycle: `plan_world_run` does it all and fills a result on the
 * caller's memory. That no worker is given more than it has and that no part
 * of a gang runs alone is asserted at each decision; `check`, if given, is
 * called after each pass.
 */
#ifndef SUPPORT_PLAN_WORLD_H
#define SUPPORT_PLAN_WORLD_H

#include <glib.h>

#include "support/plan_stream.h"

enum plan_quantile { PLAN_P50, PLAN_P95, PLAN_P99, PLAN_QUANTILE_COUNT };

enum world_job_state {
	WORLD_COMING,
	WORLD_WAITING,
	WORLD_RUNNING,
	WORLD_OVER,
};

struct world_job {
	enum world_job_state state;
	uint32_t attempt;
	uint64_t started_us;
	uint64_t first_us; /* first start, RJ_NEVER_US before it */
	uint64_t left_us; /* of its run time */
	bool stopping;
	bool due; /* its account may count on its guarantee for it */
	struct rj_plan_member *members;
	uint32_t member_count;
};

enum world_event_kind {
	WORLD_ARRIVE,
	WORLD_CANCEL,
	WORLD_END,
	WORLD_FAIL,
	WORLD_STOPPED,
	WORLD_WORKERS_FAIL,
	WORLD_WORKERS_MEND,
	WORLD_PROBE,
	WORLD_INSTANCE_LOST,
	WORLD_INSTANCE_BACK,
	WORLD_WAKE,
};

struct world_event {
	uint64_t at_us;
	uint64_t number; /* breaks ties in the order of their making */
	enum world_event_kind kind;
	uint32_t index; /* of the job or the worker */
	uint32_t attempt;
};

struct plan_world;

/* How a planner is made and looked at. */
struct plan_maker {
	const char *name;
	struct rj_planner *(*make)(void *mem);
};

struct plan_world_options {
	const struct plan_maker *maker;
	void (*check)(struct plan_world *world);
};

/* Seconds, shares of one, and counts; index STREAM_ACCOUNTS is all. */
struct plan_result {
	double completion_s[STREAM_CLASSES][STREAM_ACCOUNTS + 1]
			   [PLAN_QUANTILE_COUNT];
	double count[STREAM_CLASSES][STREAM_ACCOUNTS + 1];
	double gang_wait_s[PLAN_QUANTILE_COUNT]; /* of the largest shape */
	double fragmentation; /* over all of the time */
	double fragmentation_waiting; /* while some job waits */
	double utilisation; /* by work that was not lost */
	double guaranteed_due;
	double guaranteed_late;
	double guaranteed_wait_max_s;
	double refusals;
	double lost_share; /* of the work that was done */
	double reclaims;
	double failures; /* of tasks on failing workers */
};

struct plan_world {
	const struct plan_stream *stream;
	struct plan_world_options options;
	struct rj_planner *planner;
	struct rj_decisions decisions;
	struct world_job *jobs;
	GArray *events; /* a heap, soonest first */
	uint64_t event_number;
	uint64_t now_us;
	struct rj_resources taken[STREAM_WORKERS];
	bool failing[STREAM_WORKERS];
	uint32_t failed_in_row[STREAM_WORKERS];
	bool set_aside[STREAM_WORKERS];
	struct rj_resources open[STREAM_ACCOUNTS]; /* asked for, not over */
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

void plan_world_run(const struct plan_stream *stream,
		    const struct plan_world_options *options,
		    struct plan_result *result);

/* plan_event.c: what is to happen, as a heap. */
struct world_event *plan_world_event(struct plan_world *world, uint32_t at);
void plan_world_push(struct plan_world *world, uint64_t at_us,
		     enum world_event_kind kind, uint32_t index,
		     uint32_t attempt);
struct world_event plan_world_pop(struct plan_world *world);

/* plan_maker.c */
extern const struct plan_maker plan_maker_first_fit;
extern const struct plan_maker plan_maker_easy;
extern const struct plan_maker plan_maker_topology;

#endif
