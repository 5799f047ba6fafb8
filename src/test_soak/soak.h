/*
 * The fault soak: real processes of the entry daemon over the stand-in of the
 * users' platform, with seeded trouble from outside them, judged from what
 * callers and workers see while it runs.
 *
 * Life cycle: `soak_cluster_start` starts all processes of a seed; callers and
 * strikes are let loose by `soak_callers_tick` and `soak_faults_tick` while
 * `soak_cluster_run` lets time pass; `soak_cluster_finish` ends all of it. Whoever
 * sees a broken promise says so with `soak_violation`.
 */
#ifndef SOAK_SOAK_H
#define SOAK_SOAK_H

#include <glib.h>
#include <jansson.h>

#include "private/clock.h"
#include "private/http_client.h"
#include "process.h"
#include "proxy.h"

#define SOAK_INSTANCES_MAX 256
#define SOAK_WORKERS_MAX 256
#define SOAK_ID_BYTES 17
#define SOAK_STEPS 2
/* Failed runs of a task that end its job; stands in the configuration. */
#define SOAK_ATTEMPTS_MAX 4

struct soak_options {
	char *programs; /* folder */
	uint32_t instances;
	uint32_t workers;
	uint32_t seconds; /* of trouble */
	uint32_t jobs_per_s;
};

/* One instance: its process and the ways to it and from it. */
struct soak_instance {
	struct soak *soak;
	struct soak_process process;
	char name[8];
	char *settings; /* file */
	struct soak_proxy callers; /* callers -> instance */
	struct soak_proxy store; /* instance -> log */
	bool up; /* its line of the start has come */
	bool stopping; /* it was asked to stop */
	bool noted; /* its end stands in the journal */
	uint16_t ready_port;
};

/* One worker of the stand-in, behind a proxy. */
struct soak_worker {
	struct soak_proxy orders; /* instances -> worker */
	struct rj_address address;
	struct {
		uint32_t cpu_milli;
		uint32_t accelerators;
	} held; /* by what runs there */
};

struct soak_step {
	uint32_t tasks;
	uint32_t cpu_milli;
	uint32_t accelerators;
};

/* What callers know of a job, and what workers have told of its tasks. */
struct soak_job {
	struct soak *soak;
	char id[SOAK_ID_BYTES];
	char spec[16]; /* milliseconds of work */
	struct soak_step steps[SOAK_STEPS];
	uint32_t step_count;
	uint32_t tries;
	uint32_t refusals; /* answers that say it was not accepted */
	uint32_t open; /* calls to hand it in that are on their way */
	bool accepted;
	uint64_t accepted_us;
	bool cancels; /* its caller will cancel it */
	bool cancel_sent;
	bool cancelled; /* the wish was acknowledged */
	uint64_t next_us; /* its caller's next call */
	char shown[16]; /* the newest state that a caller was told */
	uint64_t shown_us;
	bool ended; /* that state is an end */
	uint32_t begun; /* runs of its tasks */
	GHashTable *tasks; /* name -> struct soak_task */
};

/* One task, by what its workers have told. */
struct soak_task {
	uint32_t running;
	uint32_t run; /* the number of the newest */
	bool done; /* a run has ended well */
	bool noted; /* ... and that was taken note of */
	uint32_t failed; /* runs that ended so */
};

struct soak {
	struct tevent_context *ev;
	struct soak_options options;
	uint64_t seed;
	uint64_t random;
	char *folder; /* of logs and settings */
	FILE *journal; /* what was done to the site, and when */
	struct rj_http_client http;
	struct soak_process standin;
	struct rj_address log;
	struct soak_instance instances[SOAK_INSTANCES_MAX];
	struct soak_worker workers[SOAK_WORKERS_MAX];
	uint32_t worker_count; /* known so far */
	GHashTable *jobs; /* id -> struct soak_job */
	GPtrArray *job_list;
	uint64_t next_job_us;
	uint64_t next_strike_us;
	bool calm; /* no more jobs, cancels or strikes */
	uint32_t strikes;
	uint32_t violations;
};

/* A line of the journal. */
void soak_journal_write(struct soak *soak, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

/* Chance. */
uint32_t soak_random(struct soak *soak, uint32_t below);

/* The site. */
void soak_cluster_start(struct soak *soak);
void soak_cluster_run(struct soak *soak, uint64_t for_us);
void soak_cluster_recover(struct soak *soak);
void soak_cluster_finish(struct soak *soak);
void soak_instance_start(struct soak_instance *instance);
void soak_instance_detach(struct soak_instance *instance);
void soak_standin_post(struct soak *soak, const struct rj_address *to,
		       const char *path, const char *body);

/* Callers. */
void soak_callers_tick(struct soak *soak);
bool soak_callers_done(const struct soak *soak);

/* Strikes. */
void soak_faults_tick(struct soak *soak);

/* Judgement. */
void soak_violation(struct soak *soak, const char *format, ...)
	G_GNUC_PRINTF(2, 3);
void soak_check_event(struct soak *soak, const json_t *event);
void soak_check_state(struct soak_job *job, const char *state,
		      uint64_t asked_us);
void soak_check_unknown(struct soak_job *job, uint64_t asked_us);
void soak_check_final(struct soak *soak);

#endif
