/*
 * What instances tell each other, in whatever wire format.
 *
 * Everything here is a hint or is checked elsewhere: a lost, repeated or
 * late message costs time, never a promise.
 */
#ifndef RADISHJUNCTION_PEER_MESSAGE_H
#define RADISHJUNCTION_PEER_MESSAGE_H

#include "radishjunction/config_change.h"
#include "radishjunction/types.h"

/*
 * The version of the frames; each side speaks the lower of the two. A field
 * that is added goes behind all others of its message, and a reader does
 * without it: an instance that is replaced last sends none. Whatever changes
 * the order or the meaning of fields takes a new version, and the older one
 * is written and read until no instance speaks it.
 */
#define RJ_PEER_VERSION 1
/* A rack's workers fit one summary. */
#define RJ_RACK_WORKERS_MAX 32

enum rj_peer_message_kind {
	RJ_PEER_HEARTBEAT,
	RJ_PEER_SUMMARY, /* free capacity of one rack, sent on change */
	RJ_PEER_CONFIG, /* the newest accepted configuration */
	RJ_PEER_LEAVING, /* a worker that is leaving */
	RJ_PEER_FORWARD, /* a request for the receiver to serve */
	RJ_PEER_FORWARD_ANSWER,
	RJ_PEER_CANCEL, /* cancel a forwarded job, or reclaim its room */
	RJ_PEER_MESSAGE_KIND_COUNT
};

extern const char
	*const rj_peer_message_kind_string[RJ_PEER_MESSAGE_KIND_COUNT];

struct rj_peer_heartbeat {
	char domain[RJ_NAME_BYTES];
	uint64_t incarnation;
	bool draining; /* takes no new work; its racks go to others */
	bool log_usable; /* it can have claims read back */
	bool cut_off; /* it alone has lost the log, for a while */
	uint64_t config_revision;
	uint32_t queued; /* jobs waiting here */
	uint64_t wait_us; /* expected wait of a small job here */
	/* Whoever reads the jobs' records from offset `log_from` on, up to
	   `log_next`, knows what the sender knows; UINT64_MAX and 0 where the
	   sender does not say. */
	uint64_t log_from;
	uint64_t log_next;
	/* Messages other than heartbeats on this link since it stands: sent
	   before this one, and of the receiver's, lost. An older peer sends
	   neither. */
	uint64_t sent;
	uint64_t lost;
	bool config_changes; /* it takes changes of configuration */
};

struct rj_peer_summary {
	char domain[RJ_NAME_BYTES];
	uint32_t rack;
	uint64_t owner; /* incarnation of the sender */
	uint64_t version; /* rises; the newest of one owner wins */
	uint32_t worker_count;
	struct rj_resources free[RJ_RACK_WORKERS_MAX];
};

struct rj_peer_config {
	uint64_t revision;
	uint64_t offset; /* in the config stream */
	char id[40];
	const char *text; /* the whole; empty with a change */
	struct rj_config_change change; /* of the revision before */
};

struct rj_peer_leaving {
	char worker[RJ_NAME_BYTES];
	uint64_t incarnation;
};

struct rj_peer_forward {
	uint64_t forward_id; /* of the sender, never reused */
	uint32_t hops; /* how often it was forwarded already */
	bool other_domain; /* it left its own failure domain */
	struct rj_job_spec spec;
};

struct rj_peer_forward_answer {
	uint64_t forward_id;
	struct rj_answer answer;
};

struct rj_peer_cancel {
	uint64_t forward_id; /* 0 with a reclaim */
	uint64_t job_id;
	/*
	 * Of a reclaim: this attempt is to give its room back within limit_us,
	 * and the job waits again. 0: a plain cancellation. An older peer
	 * ignores these fields, and knows no forward 0.
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
