/*
 * A small stand-in of the users' platform: its log, and workers that run
 * what they are told, by the users' published protocol. For process tests.
 *
 * Life cycle: `standin_log_init`, then `standin_worker_init` for each worker;
 * all live until the process ends.
 */
#ifndef STANDIN_USERS_STANDIN_H
#define STANDIN_USERS_STANDIN_H

#include <glib.h>
#include <jansson.h>
#include <tevent.h>

#include "http_server.h"

/* One record of a log of one partition. */
struct standin_record {
	char *key;
	char *value; /* NULL: the key is dropped */
	size_t length;
};

struct standin_topic {
	GPtrArray *records; /* struct standin_record */
};

/* How the log treats calls, until it is told otherwise. */
enum standin_mode {
	STANDIN_MODE_OK,
	STANDIN_MODE_REFUSE, /* nothing is done, and said so */
	STANDIN_MODE_NO_ANSWER, /* nothing is done, and nothing said */
	STANDIN_MODE_LOSE_ANSWER, /* appends are done, and nothing said */
};

struct standin_log {
	struct tevent_context *ev;
	enum standin_mode mode;
	struct rj_http_server server;
	GHashTable *topics; /* name -> struct standin_topic */
	GHashTable *producers; /* name -> struct producer */
	GPtrArray *waiting_reads; /* struct waiting_read */
};

/* What a worker does with what it is told. */
struct standin_faults {
	bool fail_runs; /* all that it starts */
	bool stall_runs;
	bool refuse_starts; /* it turns starts away */
	bool draining; /* it says so; it serves on */
};

/* One worker; it remembers every task that it has run, for the verdict. */
struct standin_worker {
	struct standin_log *log;
	struct rj_http_server server;
	char id[RJ_NAME_BYTES];
	uint32_t number;
	char published_address[RJ_IP_BYTES + 8]; /* where callers are sent */
	struct standin_faults faults;
	bool prints_events; /* what it does, on standard output */
	uint64_t incarnation;
	uint64_t token;
	uint64_t lease_until_ms;
	json_t *running; /* name -> { run, until_ms } */
	json_t *finished; /* rows */
	json_t *closed_runs; /* name -> run */
	uint64_t completion_count;
	uint64_t
		lease_expired_ms; /* when its lease was last found to have lapsed */
	GArray *completed_ms; /* uint64_t: of each row of finished */
	GPtrArray *waiting_polls; /* struct waiting_poll */
	json_t *completed_counts; /* name -> how often it has ended well */
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
