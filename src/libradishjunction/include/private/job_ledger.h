/*
 * What the log says of each job, by applying its records in their order.
 *
 * Life cycle: `rj_job_ledger_init`, `rj_job_ledger_apply` for each record,
 * `rj_job_ledger_reset` when the log is read anew, `rj_job_ledger_finish`.
 */
#ifndef RADISHJUNCTION_PRIVATE_JOB_LEDGER_H
#define RADISHJUNCTION_PRIVATE_JOB_LEDGER_H

#include <glib.h>
#include "private/list.h"
#include "radishjunction/record.h"

/* What the log says of one job. */
struct rj_job_entry {
	struct rj_list link;
	uint64_t job_id;
	struct rj_job_spec spec; /* body only when accepted */
	char author[RJ_NAME_BYTES]; /* of the open claim */
	char domain[RJ_NAME_BYTES];
	bool accepted;
	bool cancelled;
	bool claimed; /* a claim is open */
	uint64_t first_owner; /* of the first claim that was ever open */
	bool claimed_before; /* an attempt before the present one */
	bool several_owners; /* others had claims open after it */
	struct rj_attempt attempt; /* of the open or the settled claim */
	struct rj_claim_member *members;
	uint32_t member_count;
	uint64_t lease_life_us;
	bool settled;
	enum rj_answer_kind outcome;
	enum rj_reason reason;
	struct rj_bytes result;
	uint64_t first_record_us; /* when its first record was appended */
	uint64_t newest_record_us; /* when its newest record was appended */
	uint64_t
		oldest_record_us; /* when the oldest was that it is known from */
	uint64_t last_carried_us; /* when it was last carried from here */
	uint64_t trimmed_us; /* its records are gone: carry from then on */
	bool incomplete; /* attempts of it may be missing, for good */
	uint64_t accept_offset; /* the offset of its newest accept */
	uint64_t claim_offset; /* the offset of its newest open claim */
	uint64_t
		complete_from_offset; /* the offset from which the log says all of it */
};

struct rj_job_ledger {
	GHashTable *by_job; /* &entry->job_id -> entry */
	struct rj_list entries;
	uint32_t count;
	/* Since when older records may be missing, so that carried ones count
	   more; 0: none is. */
	uint64_t gap_us;
};

/* job_ledger.c */
void rj_job_ledger_init(struct rj_job_ledger *ledger, void *mem);
void rj_job_ledger_finish(struct rj_job_ledger *ledger);
void rj_job_ledger_reset(struct rj_job_ledger *ledger);
struct rj_job_entry *rj_job_ledger_find(const struct rj_job_ledger *ledger,
					uint64_t job_id);
struct rj_job_entry *rj_job_ledger_apply(struct rj_job_ledger *ledger,
					 void *mem,
					 const struct rj_record *record,
					 uint64_t now_us);
void rj_job_ledger_mark_incomplete(struct rj_job_ledger *ledger);
bool rj_job_entry_has_state(const struct rj_job_entry *entry);
void rj_job_ledger_remove(struct rj_job_ledger *ledger,
			  struct rj_job_entry *entry);

#endif
