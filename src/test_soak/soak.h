/*
 * The fault soak runs real processes of the entry daemon against the stand-in
 * of the users' platform, and injects faults from outside by a seed. Invariants
 * are checked during the run from what callers and workers observe.
 *
 * Life cycle: `soak_cluster_start` starts all processes of a seed;
 * `soak_cluster_run` drives callers and fault injection through
 * `soak_callers_tick` and `soak_faults_tick`; `soak_cluster_recover` ends fault
 * injection; `soak_cluster_finish` ends all processes. Every violated invariant
 * is reported by `soak_violation`.
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
/* Of the machine of an instance. */
#define SOAK_MACHINE_MB 64
#define SOAK_STEPS_MAX 2
/* Number of failed runs of a task after which its job fails; `MaxAttempts` in
 * the published configuration. */
#define SOAK_ATTEMPTS_MAX 4

struct soak_options {
	char *programs; /* folder of the executables */
	uint32_t instances;
	uint32_t workers;
	uint32_t seconds; /* of fault injection */
	uint32_t jobs_per_s;
};

/* An instance: its process and the proxies on its connections. */
struct soak_instance {
	struct soak *soak;
	struct soak_process process;
	char name[8];
	char *settings; /* path of its settings file */
	struct soak_process crowd; /* clients that don't behave */
	struct soak_proxy caller_proxy; /* callers -> instance */
	struct soak_proxy log_proxy; /* instance -> log */
	bool started; /* its start event was read */
	bool stopping; /* was signalled to stop or killed */
	uint64_t restart_due_us; /* it ended by itself; 0: it did not */
	bool exit_journaled; /* its exit is in the journal */
	uint16_t ready_port; /* from its start event */
};

/* A worker of the stand-in. */
struct soak_worker {
	struct soak_proxy proxy; /* instances -> worker */
	struct rj_address address;
	struct {
		uint32_t cpu_milli;
		uint32_t accelerators;
	} allocated; /* to its current runs */
};

struct soak_step {
	uint32_t tasks;
	uint32_t cpu_milli; /* per task */
	uint32_t accelerators; /* per task */
};

/* A job, as seen by its caller and by the workers that run its tasks. */
struct soak_job {
	struct soak *soak;
	char id[SOAK_ID_BYTES];
	char spec[16]; /* `Spec` of its tasks: run time in ms, as text */
	struct soak_step steps[SOAK_STEPS_MAX];
	uint32_t step_count;
	uint32_t submissions;
	uint32_t rejections; /* submissions answered as not accepted */
	uint32_t open_submissions; /* awaiting an answer */
	bool accepted;
	uint64_t accepted_us;
	bool will_cancel; /* its caller requests cancellation */
	bool cancel_sent;
	bool cancelled; /* the cancellation was acknowledged */
	uint64_t next_call_us;
	char last_state[16]; /* latest state answered to a caller */
	uint64_t last_state_us; /* when it was received */
	bool ended; /* `last_state` is final */
	uint32_t runs_started; /* of its tasks */
	uint32_t running; /* runs in progress */
	uint64_t idle_us; /* when its last run ended */
	bool still; /* reported as standing still */
	GHashTable *tasks; /* name -> struct soak_task */
};

/* A task, as reported by its workers. */
struct soak_task {
	uint32_t running; /* runs in progress */
	uint32_t run; /* unused */
	bool succeeded; /* a run has completed successfully */
	bool acknowledged; /* an instance has acknowledged that success */
	uint32_t failures; /* failed runs */
};

struct soak {
	struct tevent_context *ev;
	struct soak_options options;
	uint64_t seed;
	uint64_t random; /* generator state */
	char *folder; /* logs and settings */
	FILE *journal; /* injected faults and process exits, with times */
	struct rj_http_client http;
	struct soak_process standin;
	struct rj_address log_address;
	struct soak_instance instances[SOAK_INSTANCES_MAX];
	struct soak_worker workers[SOAK_WORKERS_MAX];
	uint32_t worker_count; /* 0 until the stand-in listens */
	GHashTable *jobs; /* id -> struct soak_job */
	GPtrArray *job_list;
	uint64_t next_job_us;
	uint64_t next_fault_us;
	uint64_t calm_us; /* end of fault injection; 0: not yet */
	bool recovering; /* no more new jobs, cancellations or faults */
	uint32_t fault_count; /* injected so far */
	uint32_t violations;
	/* Instances that ended without an order, and were started again. */
	uint32_t own_ends;
};

void soak_journal_write(struct soak *soak, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

/* Returns a random number from 0 to `below` - 1. */
uint32_t soak_random(struct soak *soak, uint32_t below);

/* The cluster of processes. */
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

/* Fault injection. */
void soak_faults_tick(struct soak *soak);

/* Invariants. */
void soak_violation(struct soak *soak, const char *format, ...)
	G_GNUC_PRINTF(2, 3);
void soak_check_event(struct soak *soak, const json_t *event);
void soak_check_state(struct soak_job *job, const char *state,
		      uint64_t asked_us);
void soak_check_unknown(struct soak_job *job, uint64_t asked_us);
void soak_check_progress(struct soak *soak);
void soak_check_final(struct soak *soak);

#endif
