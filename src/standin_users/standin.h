/*
 * A small stand-in for the users' platform in process tests: its log, and
 * workers that execute orders by the users' published protocol.
 *
 * Life cycle: `standin_log_init`, then `standin_worker_init` for each worker;
 * all live until the process exits. A worker that crashes serves again under its
 * id at its address as another incarnation, with a clock and counts of its own;
 * one that leaves or vanishes does not.
 */
#ifndef STANDIN_USERS_STANDIN_H
#define STANDIN_USERS_STANDIN_H

#include <glib.h>
#include <jansson.h>
#include <tevent.h>

#include "http_server.h"

/* A record of a topic; each topic has one partition. */
struct standin_record {
	char *key;
	char *value; /* NULL: deletes the key */
	size_t length;
};

struct standin_topic {
	GPtrArray *records; /* struct standin_record */
	uint64_t first_retained; /* reads of earlier records are rejected */
};

/* How the log treats calls; set by a test. */
enum standin_mode {
	STANDIN_MODE_OK,
	STANDIN_MODE_REFUSE, /* does nothing and answers with an error */
	STANDIN_MODE_NO_ANSWER, /* does nothing and does not answer */
	STANDIN_MODE_LOSE_ANSWER, /* carries out appends without an answer,
				   * and ignores a third of the other calls */
	STANDIN_MODE_LATE, /* carries out appends 3 s later, without an
			    * answer */
};

struct standin_log {
	struct tevent_context *ev;
	enum standin_mode mode;
	uint32_t lease_max_ms; /* of all workers */
	uint32_t heartbeat_ms; /* of all workers */
	struct rj_http_server server;
	GHashTable *topics; /* name -> struct standin_topic */
	GHashTable *producers; /* name -> struct producer */
	GPtrArray *waiting_reads; /* struct waiting_read */
};

/* Faults of a worker; set by a test. */
struct standin_faults {
	bool fail_runs; /* every run fails */
	bool stall_runs; /* no run progresses to its end */
	bool refuse_starts; /* answers starts with an error */
	bool draining; /* reports this state, and serves on */
};

/* A worker; it counts the completions of every task for the test's checks. */
struct standin_worker {
	void *mem; /* parent of the server */
	struct standin_log *log;
	struct rj_http_server server;
	char id[RJ_NAME_BYTES];
	uint32_t number;
	char published_address[RJ_IP_BYTES + 8]; /* address in its heartbeats */
	struct standin_faults faults;
	bool prints_events; /* of runs, to standard output */
	uint64_t incarnation; /* start time in ms */
	bool down; /* between two incarnations, or for good */
	uint64_t departure_ms; /* announced, by its clock; 0: none */
	uint64_t heartbeat_count;
	/* After its end for good, another worker serves its address; 0: none
	 * does. */
	uint64_t replaced_in_ms;
	uint32_t replacements;
	uint64_t token; /* highest fencing token */
	uint64_t lease_until_ms; /* of all runs */
	json_t *running; /* name -> { run, from_ms, until_ms } */
	json_t *finished; /* rows of unseen completions */
	json_t *closed_runs; /* name -> last run that ended or was stopped */
	uint64_t completion_count;
	uint64_t lease_expired_ms; /* last time its lease was found expired */
	GArray *completed_ms; /* uint64_t for each row of `finished` */
	GPtrArray *waiting_polls; /* struct waiting_poll */
	json_t *completed_counts; /* name -> number of successful runs */
};

uint64_t standin_now_ms(void);
int standin_log_init(struct standin_log *log, void *mem,
		     struct tevent_context *ev, struct rj_error *err);
void standin_log_append(struct standin_log *log, const char *topic,
			const char *key, const char *value, size_t length);
int standin_worker_init(struct standin_worker *worker, void *mem,
			struct standin_log *log, uint32_t number,
			struct rj_error *err);
void standin_worker_advance(struct standin_worker *worker);
void standin_worker_heartbeat(struct standin_worker *worker);

#endif
