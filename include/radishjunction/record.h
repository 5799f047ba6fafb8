/*
 * Records that this system writes to the platform's log.
 *
 * There are two streams: `config` holds configuration publications, `jobs`
 * holds claims, voids, outcomes and accepted jobs. Log order decides
 * conflicts: every reader applies the same rules in the same order. The
 * memory of a record that was read belongs to the event that delivered it.
 */
#ifndef RADISHJUNCTION_RECORD_H
#define RADISHJUNCTION_RECORD_H

#include "radishjunction/config.h"
#include "radishjunction/config_change.h"
#include "radishjunction/error.h"
#include "radishjunction/types.h"

/* Fits a maximal body in base64, or a configuration with escaped quotes. */
#define RJ_RECORD_TEXT_MAX_BYTES (1024 * 1024)

enum rj_stream { RJ_STREAM_CONFIG, RJ_STREAM_JOBS, RJ_STREAM_COUNT };

extern const char *const rj_stream_string[RJ_STREAM_COUNT];

enum rj_record_kind {
	RJ_RECORD_MALFORMED, /* cannot be decoded; every reader skips it */
	RJ_RECORD_CONFIG,
	RJ_RECORD_CLAIM, /* an attempt requests the right to start */
	RJ_RECORD_VOID, /* the attempt never started and never will */
	RJ_RECORD_OUTCOME, /* outcome and result of the job */
	RJ_RECORD_ACCEPT, /* a job was accepted and must not be lost */
	RJ_RECORD_CANCEL, /* end an accepted job without running it further */
	RJ_RECORD_KIND_COUNT
};

extern const char *const rj_record_kind_string[RJ_RECORD_KIND_COUNT];

/* One worker of a claimed gang and its lease token. */
struct rj_claim_member {
	char worker[RJ_NAME_BYTES];
	uint64_t worker_incarnation;
	uint64_t token;
	uint32_t tasks; /* of the gang, on this worker */
};

struct rj_record {
	enum rj_record_kind kind;
	bool carried; /* appended again before its retention ended */
	uint64_t offset; /* set on read */
	uint64_t age_us; /* set on read; by the platform's clock */
	char author[RJ_NAME_BYTES]; /* name of the instance */
	char domain[RJ_NAME_BYTES]; /* failure domain of the job */
	struct rj_attempt attempt;
	struct rj_job_spec spec; /* claim: without body; accept: complete */
	struct rj_claim_member *members; /* claim */
	uint32_t member_count;
	uint64_t lease_life_us; /* claim */
	enum rj_answer_kind outcome; /* outcome */
	enum rj_reason reason; /* outcome */
	struct rj_bytes result; /* outcome */
	/* config */
	char config_id[RJ_CONFIG_ID_BYTES];
	uint64_t base_revision;
	uint64_t revision; /* base + 1 */
	uint64_t as_of; /* carried: next offset that its author would read */
	const char *config_text; /* whole text, or NULL if a change */
	struct rj_config_change config_change; /* from the base revision */
};

char *rj_record_encode(void *mem, const struct rj_record *record);
int rj_record_decode(void *mem, const char *text, struct rj_record *record,
		     struct rj_error *err);

#endif
