/*
 * Messages between instances, independent of the wire format.
 *
 * Every message is a hint or is verified elsewhere: a lost, duplicated or
 * late message may delay work but never breaks a guarantee.
 */
#ifndef RADISHJUNCTION_PEER_MESSAGE_H
#define RADISHJUNCTION_PEER_MESSAGE_H

#include "radishjunction/config_change.h"
#include "radishjunction/types.h"

/*
 * Version of the frame format; a link uses the lower of its two sides'
 * versions. A new field is appended to its message and is optional for the
 * reader, because instances that are not yet upgraded do not send it. A change
 * of the order or meaning of fields needs a new version, and the old version
 * stays supported until no instance uses it.
 */
#define RJ_PEER_VERSION 1
/* All workers of a rack fit into one summary. */
#define RJ_RACK_WORKERS_MAX 32

enum rj_peer_message_kind {
	RJ_PEER_HEARTBEAT,
	RJ_PEER_SUMMARY, /* free capacity of one rack, sent on change */
	RJ_PEER_CONFIG, /* the newest accepted configuration */
	RJ_PEER_LEAVING, /* a worker is about to deregister */
	RJ_PEER_FORWARD, /* a request that the receiver serves */
	RJ_PEER_FORWARD_ANSWER,
	RJ_PEER_CANCEL, /* cancel a forwarded job, or reclaim its capacity */
	RJ_PEER_MESSAGE_KIND_COUNT
};

extern const char
	*const rj_peer_message_kind_string[RJ_PEER_MESSAGE_KIND_COUNT];

struct rj_peer_heartbeat {
	char domain[RJ_NAME_BYTES];
	uint64_t incarnation;
	bool draining; /* accepts no new jobs; others take over its racks */
	bool log_usable; /* it can read claims back from the log */
	bool cut_off; /* it alone has had no access to the log for a while */
	uint64_t config_revision;
	uint32_t queued; /* jobs waiting at the sender */
	uint64_t wait_us; /* expected wait of a small job at the sender */
	/* A reader of the jobs' records from offset `log_from` up to
	   `log_next` knows what the sender knows. UINT64_MAX and 0 if the
	   sender does not report them. */
	uint64_t log_from;
	uint64_t log_next;
	/* Messages other than heartbeats since the link was established: sent
	   before this heartbeat, and sent by the receiver but lost. An older
	   peer reports neither. */
	uint64_t sent;
	uint64_t lost;
	bool config_changes; /* it accepts incremental configurations */
};

struct rj_peer_summary {
	char domain[RJ_NAME_BYTES];
	uint32_t rack;
	uint64_t owner; /* incarnation of the sender */
	uint64_t version; /* increases; the highest of one owner is current */
	uint32_t worker_count;
	struct rj_resources free[RJ_RACK_WORKERS_MAX];
};

struct rj_peer_config {
	uint64_t revision;
	uint64_t offset; /* in the config stream */
	char id[40];
	const char *text; /* full text; empty if `change` is set */
	struct rj_config_change change; /* against the previous revision */
};

struct rj_peer_leaving {
	char worker[RJ_NAME_BYTES];
	uint64_t incarnation;
};

struct rj_peer_forward {
	uint64_t forward_id; /* assigned by the sender, never reused */
	uint32_t hops; /* number of earlier forwards */
	bool other_domain; /* it has left its own failure domain */
	struct rj_job_spec spec;
};

struct rj_peer_forward_answer {
	uint64_t forward_id;
	struct rj_answer answer;
};

struct rj_peer_cancel {
	uint64_t forward_id; /* 0 for a reclaim */
	uint64_t job_id;
	/*
	 * For a reclaim: this attempt releases its capacity within limit_us
	 * and the job is queued again. All 0 for a plain cancellation. An
	 * older peer ignores these fields and has no forward with id 0.
	 */
	uint64_t reclaim_owner;
	uint32_t reclaim_attempt;
	uint64_t limit_us;
};

struct rj_peer_message {
	enum rj_peer_message_kind kind;
	union {
		struct rj_peer_heartbeat heartbeat;
		struct rj_peer_summary summary;
		struct rj_peer_config config;
		struct rj_peer_leaving leaving;
		struct rj_peer_forward forward;
		struct rj_peer_forward_answer forward_answer;
		struct rj_peer_cancel cancel;
	} u;
};

#endif
