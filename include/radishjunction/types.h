/*
 * Types shared by events, actions, records and messages.
 *
 * All are plain values: fixed arrays for names, `struct rj_bytes` for a body
 * or a result. The enclosing struct defines who owns the bytes. Durations are
 * in microseconds; points in time are microseconds of the instance's own
 * monotonic clock. Only durations are exchanged between instances.
 */
#ifndef RADISHJUNCTION_TYPES_H
#define RADISHJUNCTION_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define RJ_NAME_BYTES 48 /* name with terminating zero */
#define RJ_KEY_BYTES 72 /* idempotency key with terminating zero */
#define RJ_IP_BYTES 46 /* longest IPv6 text form with terminating zero */
#define RJ_DIGEST_BYTES 16
#define RJ_TOKEN_BYTES 72 /* caller's token with terminating zero */

/* Largest gang size that the requirements ask for. */
#define RJ_GANG_MAX 512
/* A body or result must fit one frame, one log record or one HTTP body. */
#define RJ_BODY_MAX_BYTES (256 * 1024)
/* A result kept in the log, to answer repeats at other instances in full. */
#define RJ_RESULT_MAX_BYTES (64 * 1024)

#define RJ_US_PER_MS 1000ULL
#define RJ_US_PER_S 1000000ULL
#define RJ_NEVER_US UINT64_MAX

/* Borrowed bytes. */
struct rj_bytes {
	const uint8_t *data;
	uint32_t length;
};

struct rj_address {
	char ip[RJ_IP_BYTES];
	uint16_t port;
};

/* Resource demand of one task, or capacity of a worker. */
struct rj_resources {
	uint32_t slots;
	uint32_t accelerators;
	uint32_t cores;
	uint32_t memory_mb;
};

/* A gang of `tasks` equal tasks; an ordinary job is a gang of one. */
struct rj_shape {
	uint32_t tasks;
	struct rj_resources each;
	bool adjacent; /* all tasks in one rack */
};

enum rj_priority {
	RJ_PRIORITY_URGENT, /* starts first; may reclaim borrowed capacity */
	RJ_PRIORITY_NORMAL,
	RJ_PRIORITY_BULK, /* may wait for hours */
	RJ_PRIORITY_COUNT
};

extern const char *const rj_priority_string[RJ_PRIORITY_COUNT];

enum rj_answer_kind {
	RJ_ANSWER_DONE, /* completed; the result is complete */
	RJ_ANSWER_FAILED, /* ran and failed */
	RJ_ANSWER_NOT_RUN, /* did not run and never will */
	RJ_ANSWER_UNKNOWN, /* may have run; repeat with the same key */
	RJ_ANSWER_ACCEPTED, /* recorded in the log; query by id */
	RJ_ANSWER_KIND_COUNT
};

extern const char *const rj_answer_kind_string[RJ_ANSWER_KIND_COUNT];

/* Reason for an answer or a decision. */
enum rj_reason {
	RJ_REASON_NONE,
	RJ_REASON_BAD_REQUEST,
	RJ_REASON_TOO_LARGE,
	RJ_REASON_UNAUTHORIZED,
	RJ_REASON_NO_SUCH_JOB,
	RJ_REASON_NO_SUCH_CLASS,
	RJ_REASON_KEY_REQUIRED,
	RJ_REASON_KEY_REUSED,
	RJ_REASON_KEY_EXPIRED,
	RJ_REASON_NEVER_FITS,
	RJ_REASON_QUEUE_FULL,
	RJ_REASON_ACCOUNT_LIMIT,
	RJ_REASON_DEADLINE_TOO_SOON,
	RJ_REASON_DEADLINE_PASSED,
	RJ_REASON_NO_CONFIG,
	RJ_REASON_DRAINING,
	RJ_REASON_PLATFORM_DOWN,
	RJ_REASON_LOG_GAP,
	RJ_REASON_CANCELLED,
	RJ_REASON_TASK_FAILED,
	RJ_REASON_WORKER_LOST,
	RJ_REASON_IN_PROGRESS,
	RJ_REASON_PEER_LOST,
	RJ_REASON_RETRY_BUDGET,
	RJ_REASON_LEASE_REFUSED,
	RJ_REASON_LEASE_EXPIRED,
	RJ_REASON_CLAIM_LOST,
	RJ_REASON_RECLAIMED,
	/* reasons for placements */
	RJ_REASON_FIRST_FIT,
	RJ_REASON_BEST_FIT,
	RJ_REASON_GUARANTEE,
	RJ_REASON_RESERVATION,
	RJ_REASON_BACKFILL,
	RJ_REASON_LEAST_LOST,
	RJ_REASON_OWNER,
	RJ_REASON_OTHER_DOMAIN,
	RJ_REASON_QUARANTINED,
	RJ_REASON_COUNT
};

extern const char *const rj_reason_string[RJ_REASON_COUNT];

/* Identifies one attempt at a job by one incarnation of an instance. */
struct rj_attempt {
	uint64_t job_id;
	uint64_t owner; /* incarnation of the instance that plans it */
	uint32_t number;
};

/* A job as sent by a caller, between peers and to the log. */
struct rj_job_spec {
	uint64_t job_id;
	char account[RJ_NAME_BYTES];
	char class_name[RJ_NAME_BYTES];
	char key[RJ_KEY_BYTES]; /* "" without an idempotency key */
	uint8_t digest[RJ_DIGEST_BYTES]; /* of class, shape and body */
	struct rj_shape shape;
	uint64_t declared_us; /* the caller's estimate; 0 if not given */
	uint64_t deadline_in_us; /* relative to receipt; 0 if none */
	bool wait; /* the caller's connection waits for the result */
	struct rj_bytes body;
};

struct rj_answer {
	enum rj_answer_kind kind;
	enum rj_reason reason;
	uint64_t job_id;
	uint64_t retry_after_us; /* delay before a retry; 0 if useless */
	struct rj_bytes result;
	char detail[160]; /* human-readable: field and remedy */
};

uint64_t rj_hash64(const void *data, size_t length, uint64_t seed);
uint64_t rj_hash64_string(const char *text, uint64_t seed);
uint64_t rj_random64(uint64_t *state);
void rj_digest(uint8_t digest[RJ_DIGEST_BYTES], const struct rj_bytes *parts,
	       uint32_t count);
int rj_name_set(char name[RJ_NAME_BYTES], const char *text);
void rj_name_shorten(char name[RJ_NAME_BYTES], const char *text);
bool rj_resources_fit(const struct rj_resources *want,
		      const struct rj_resources *have);
void rj_resources_add(struct rj_resources *sum, const struct rj_resources *part,
		      uint32_t times);
void rj_resources_subtract(struct rj_resources *have,
			   const struct rj_resources *part, uint32_t times);

#endif
