/*
 * Events: the input of the decision core.
 *
 * An adapter creates an event, passes it to `rj_core_process` with the time at
 * which it happened, and frees it afterwards. The core copies what it keeps.
 */
#ifndef RADISHJUNCTION_EVENT_H
#define RADISHJUNCTION_EVENT_H

#include "radishjunction/peer_message.h"
#include "radishjunction/record.h"
#include "radishjunction/types.h"
#include "radishjunction/worker.h"

enum rj_event_kind {
	RJ_EVENT_REQUEST, /* a caller's request */
	RJ_EVENT_CALLER_DISCONNECTED, /* connection closed before the answer */
	RJ_EVENT_RECORDS, /* answer to a read of the log */
	RJ_EVENT_READ_FAILED, /* a read of the log timed out */
	RJ_EVENT_APPENDED, /* result of an append */
	RJ_EVENT_INSTANCES, /* the platform's instance list, which lags */
	RJ_EVENT_WORKER_REPLY, /* result of a call to a worker */
	RJ_EVENT_PEER_UP, /* an authenticated link is established */
	RJ_EVENT_PEER_DOWN, /* the link closed; messages may be lost */
	RJ_EVENT_PEER_MESSAGE,
	RJ_EVENT_TIMER, /* the time given by `rj_core_wake_us` is reached */
	RJ_EVENT_STOP, /* the process was asked to stop */
	RJ_EVENT_KIND_COUNT
};

extern const char *const rj_event_kind_string[RJ_EVENT_KIND_COUNT];

enum rj_request_op {
	RJ_REQUEST_SUBMIT,
	RJ_REQUEST_LOOKUP,
	RJ_REQUEST_CANCEL,
	RJ_REQUEST_OP_COUNT
};

extern const char *const rj_request_op_string[RJ_REQUEST_OP_COUNT];

struct rj_request {
	uint64_t request_id; /* handle of the caller adapter, never reused */
	enum rj_request_op op;
	char token[RJ_TOKEN_BYTES];
	struct rj_job_spec spec; /* submit; the core fills in the account */
	uint64_t job_id; /* lookup, cancel */
	bool wait; /* lookup: answer when the job has ended */
};

struct rj_records {
	enum rj_stream stream;
	uint64_t from; /* requested offset */
	uint64_t oldest; /* oldest offset still retained */
	uint64_t next; /* offset of the next read */
	uint64_t head; /* one past the newest offset */
	struct rj_record *records;
	uint32_t count;
};

enum rj_append_status {
	RJ_APPEND_OK,
	RJ_APPEND_REFUSED, /* had no effect and will have none */
	RJ_APPEND_LOST, /* may have taken effect, or still may */
	RJ_APPEND_STATUS_COUNT
};

extern const char *const rj_append_status_string[RJ_APPEND_STATUS_COUNT];

struct rj_appended {
	uint64_t append_id;
	enum rj_append_status status;
	uint64_t first_offset; /* with RJ_APPEND_OK */
};

enum rj_instance_role { RJ_ROLE_ENTRY, RJ_ROLE_WORKER, RJ_ROLE_COUNT };

extern const char *const rj_instance_role_string[RJ_ROLE_COUNT];

/* An entry of the platform's instance list. The list lags and may be wrong. */
struct rj_instance {
	char name[RJ_NAME_BYTES];
	enum rj_instance_role role;
	char domain[RJ_NAME_BYTES];
	uint32_t rack; /* workers: rack number within the domain */
	struct rj_address address; /* entry: address of the peer port */
	uint64_t incarnation;
	bool leaving;
};

struct rj_event {
	enum rj_event_kind kind;
	uint64_t now_us;
	union {
		struct rj_request request;
		uint64_t request_id; /* RJ_EVENT_CALLER_DISCONNECTED */
		struct rj_records records;
		enum rj_stream stream; /* RJ_EVENT_READ_FAILED */
		struct rj_appended appended;
		struct {
			const struct rj_instance *list;
			uint32_t count;
		} instances;
		struct rj_worker_reply worker_reply;
		struct {
			char name[RJ_NAME_BYTES];
			const struct rj_peer_message *message;
		} peer; /* RJ_EVENT_PEER_*; message only for MESSAGE */
	} u;
};

/* A receiver of events: the daemon or a test. */
struct rj_sink {
	void (*deliver)(struct rj_sink *sink, struct rj_event *event);
};

#endif
