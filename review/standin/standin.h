/*
 * A stand-in of the users' platform for the cases of the review: the store (a
 * log), workers, the operator's configuration and blocking clients, in one
 * process with a thread for each connection. It follows PROTOCOL.md, and writes
 * what is sent, answered and run to a record.
 *
 * All state is guarded by one lock, `standin_lock`; `standin_changed` is
 * signalled with every change.
 */
#ifndef REVIEW_STANDIN_H
#define REVIEW_STANDIN_H

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define STANDIN_NAME_BYTES 64
#define STANDIN_CONNECTIONS_MAX 256
#define STANDIN_WORKERS_MAX 64

/* Bounds and figures of the site file that the cases name. */
#define STANDIN_HOLD_MAX_MS 10000
#define STANDIN_HEARTBEAT_MS 1500
#define STANDIN_STORE_MS 4
#define STANDIN_RECORD_BYTES 262144
#define STANDIN_CALL_BYTES 2097152
#define STANDIN_FINISHED_PAGE 500
/* Of a queue with a policy. */
#define STANDIN_DECIDE_MS 20
#define STANDIN_PER_WORKER_MS 2
#define STANDIN_VALID_MS 3000

struct standin_worker;

/* A listener whose connections are served by threads. */
struct standin_server {
	int fd; /* of the listener; -1 while the server is down */
	int port;
	struct standin_worker *worker; /* NULL: the store */
	int connections[STANDIN_CONNECTIONS_MAX]; /* descriptors, or -1 */
	unsigned int generation; /* changes with each cut and each crash */
	bool cut;
};

/* A run that is at work. */
struct standin_run {
	char task[STANDIN_NAME_BYTES];
	int64_t number;
	int64_t begin_ms;
	int64_t end_ms;
	char saved[128];
};

/* An end that has not been taken note of. */
struct standin_end {
	int64_t position;
	char task[STANDIN_NAME_BYTES];
	int64_t number;
	const char *how;
	int64_t at_ms;
	char saved[128];
};

struct standin_worker {
	struct standin_server server;
	char id[STANDIN_NAME_BYTES];
	char zone[STANDIN_NAME_BYTES];
	char rack[STANDIN_NAME_BYTES];
	char kind[STANDIN_NAME_BYTES];
	int64_t born_ms; /* Unix time of its start */
	int64_t clock_offset_ms;
	int64_t token;
	int64_t lease_until_ms;
	int64_t lapsed_at_ms; /* when its lease lapsed last */
	int64_t sequence;
	bool up;
	bool draining;
	struct standin_run *runs;
	size_t run_count;
	struct standin_end *ends;
	size_t end_count;
	int64_t position;
	json_t *closed; /* task -> highest run that ended or was stopped */
};

/* Decides how a run ends and how long it takes; set by a case. */
struct standin_plan {
	int64_t (*duration_ms)(const char *task, int64_t number);
	/* Called with the lock held, before the run is added. */
	void (*on_start)(struct standin_worker *worker, const char *task,
			 int64_t number, const json_t *body);
	/* `taken` is false when the end is listed, and true when it is taken
	 * note of. */
	void (*on_end)(struct standin_worker *worker,
		       const struct standin_end *end, bool taken);
	/* Whether a worker may run a step whose queue has a policy; NULL: no
	 * queue has one. */
	bool (*eligible)(const struct standin_worker *worker, const char *step);
	/* Fills the string that stands for the work done so far; NULL: none. */
	void (*checkpoint)(struct standin_worker *worker,
			   const struct standin_run *run, char *text,
			   size_t size);
};

extern pthread_mutex_t standin_lock;
extern struct standin_worker standin_workers[STANDIN_WORKERS_MAX];
extern size_t standin_worker_count;
extern struct standin_plan standin_plan;

/* An instance of radishjunction-entry. */
struct standin_entry {
	char name[STANDIN_NAME_BYTES];
	pid_t pid;
	int callers_port;
	int ready_port;
};

/* Opens the record and makes a temporary folder. Returns 0, or -1. */
int standin_begin(const char *record_path);
/* Ends all processes that were started and removes the temporary folder. */
void standin_end_all(void);
/* Writes a line to the record, with the time since the beginning. */
void standin_record(const char *format, ...)
	__attribute__((format(printf, 1, 2)));
/* Milliseconds of a steady clock. */
int64_t standin_now_ms(void);
/* Milliseconds since 1970. */
int64_t standin_unix_ms(void);
void standin_sleep_ms(int64_t ms);
/* Whether the environment asks for the disruption. */
bool standin_trouble(void);

/* Starts the store, the policy service, and a thread that advances the
 * workers. */
int standin_start_store(void);
/* Adds a worker that is up and has written its entry. */
struct standin_worker *standin_add_worker(const char *zone, const char *rack,
					  const char *kind);
/* Publishes a configuration; takes `config`. */
void standin_publish(json_t *config);
/* Cuts a worker off from all instances, silently, or ends the cut. */
void standin_cut(struct standin_worker *worker, bool cut);
/* Kills a worker: its connections are reset and its runs are gone. */
void standin_crash(struct standin_worker *worker);
/* Starts a crashed worker again under its id. Its entry is in the store before
 * it listens. */
void standin_reborn(struct standin_worker *worker);

/* Starts an instance with the settings template, and waits until it is ready.
 * Returns 0, or -1. */
int standin_start_entry(struct standin_entry *entry, const char *name,
			const char *zone);
/* Sends a call of a client. Returns the status, or 0 without an answer; `body`
 * receives the text of the answer, or may be NULL. */
int standin_call(int port, const char *method, const char *path,
		 const char *host, const char *key, const char *send,
		 char *body, size_t size);

#endif
