/*
 * Seeded streams of jobs and faults, modelled on the workloads of two users.
 *
 * Life cycle: `plan_stream_init` generates the stream from a seed,
 * `plan_stream_finish` frees it; in between it is read-only. The same seed
 * gives the same stream. It is for one failure domain: 17 workers of 8
 * accelerators in racks of 8.
 */
#ifndef SUPPORT_PLAN_STREAM_H
#define SUPPORT_PLAN_STREAM_H

#include "radishjunction/planner.h"

#define STREAM_RACK_WORKERS 8
#define STREAM_WORKERS 17
#define STREAM_RACKS 3
#define STREAM_ACCOUNTS 4
#define STREAM_CLASSES 4
#define STREAM_DOMAIN "domain"
#define STREAM_HORIZON_US (1800 * RJ_US_PER_S) /* in benchmarks */

enum stream_users { STREAM_ASSOCIATION, STREAM_CONVERTER, STREAM_USERS_COUNT };

enum stream_load {
	STREAM_STEADY,
	STREAM_BURST_SMALL,
	STREAM_BURST_LARGE,
	STREAM_MIXED70,
	STREAM_MIXED90,
	STREAM_MIXED110,
	STREAM_WRONG_DECLARED,
	STREAM_FAILING_WORKERS,
	STREAM_CANCELLATIONS,
	STREAM_RECLAIM_STORM,
	STREAM_INSTANCE_LOST,
	STREAM_LOAD_COUNT
};

extern const char *const stream_users_string[STREAM_USERS_COUNT];
extern const char *const stream_load_string[STREAM_LOAD_COUNT];

/* The job classes of both users, by their role in the workload. */
enum stream_class {
	STREAM_LESSON, /* urgent; quotes for STREAM_CONVERTER */
	STREAM_RENDER, /* normal */
	STREAM_PREVIEW, /* small and many */
	STREAM_GANG, /* large and adjacent */
};

struct stream_job {
	struct rj_plan_job plan;
	enum stream_class class_index;
	uint32_t account;
	uint64_t run_us; /* actual run time, unknown to planners */
	uint64_t cancel_us; /* RJ_NEVER_US if it is not cancelled */
	bool guaranteed; /* its shape is covered by its account's guarantee */
};

struct plan_stream {
	struct stream_job *jobs; /* in arrival order; job_id is index + 1 */
	uint32_t count;
	struct rj_config config;
	struct rj_domain domain;
	struct rj_account accounts[STREAM_ACCOUNTS];
	struct rj_guarantee guarantees[STREAM_ACCOUNTS];
	struct rj_job_class classes[STREAM_CLASSES];
	struct rj_plan_worker workers[STREAM_WORKERS];
	enum stream_load load;
	enum stream_users users;
	uint64_t horizon_us; /* no job arrives after it */
	uint64_t random; /* generator state during initialisation */
	void *mem;
};

void plan_stream_init(struct plan_stream *stream, void *mem,
		      enum stream_users users, enum stream_load load,
		      uint64_t seed, uint64_t horizon_us);
void plan_stream_finish(struct plan_stream *stream);
double plan_stream_bound_s(const struct plan_stream *stream,
			   enum stream_class class_index);

#endif
