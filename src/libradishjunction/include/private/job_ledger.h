/*
 * The state of each job according to the log, built by applying records in log
 * order.
 *
 * Life cycle: `rj_job_ledger_init`, `rj_job_ledger_apply` for each record,
 * `rj_job_ledger_reset` before the log is read again from its oldest record,
 * `rj_job_ledger_finish`.
 */
#ifndef RADISHJUNCTION_PRIVATE_JOB_LEDGER_H
#define RADISHJUNCTION_PRIVATE_JOB_LEDGER_H

#include <glib.h>
#include "private/list.h"
#include "radishjunction/record.h"

/* State of one job according to the log. */
struct rj_job_entry {
	struct rj_list link;
	uint64_t job_id;
	struct rj_job_spec spec; /* body only while accepted */
	char author[RJ_NAME_BYTES]; /* of the open claim */
	char domain[RJ_NAME_BYTES];
	bool accepted;
	bool cancelled;
	bool claimed; /* a claim is open */
	uint64_t first_owner; /* owner of the first claim that was opened */
	bool claimed_before; /* an earlier attempt had an open claim */
	bool several_owners; /* later claims had other owners */
	struct rj_attempt attempt; /* of the open or settled claim */
	struct rj_claim_member *members;
	uint32_t member_count;
	uint64_t lease_life_us;
	bool settled;
	enum rj_answer_kind outcome;
	enum rj_reason reason;
	struct rj_bytes result;
	uint64_t first_record_us; /* append time of its first record */
	uint64_t newest_record_us; /* append time of its newest record */
	uint64_t oldest_record_us; /* of the oldest record it depends on */
	uint64_t last_carried_us; /* by this instance; 0: never */
	uint64_t restore_us; /* when to re-append it; 0: not trimmed */
	bool incomplete; /* records of attempts may be lost */
	uint64_t accept_offset; /* offset of the newest accept */
	uint64_t claim_offset; /* offset of the newest open claim */
	/* The log describes the job completely from this offset on. */
	uint64_t complete_from_offset;
};

struct rj_job_ledger {
	GHashTable *by_job; /* &entry->job_id -> entry */
	struct rj_list entries;
	uint32_t count;
	/*
	 * Since when older records may be missing, so that carried records take
	 * precedence; 0: none are missing.
	 */
	uint64_t gap_us;
};

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
