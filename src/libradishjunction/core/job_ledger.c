/*
 * Job state derived from the `jobs` stream of the log.
 *
 * Every instance applies the same rules to the same records in the same order,
 * so that all agree on the valid claim of a job without further communication:
 * - the first claim opens the job; others are ignored while it is open;
 * - a void closes the claim of its own attempt only;
 * - an outcome settles the job; no later claim reopens it;
 * - an outcome `unknown` may be replaced by a definite outcome of the same
 *   attempt.
 */
#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/core_state.h"

/*
 * Initialises an empty ledger.
 */
void rj_job_ledger_init(struct rj_job_ledger *ledger, void *mem)
{
	(void)mem;
	ledger->by_job = g_hash_table_new(g_int64_hash, g_int64_equal);
	rj_list_init(&ledger->entries);
	ledger->count = 0;
}

/*
 * Frees the index; the entries are talloc children of the core.
 */
void rj_job_ledger_finish(struct rj_job_ledger *ledger)
{
	g_hash_table_destroy(ledger->by_job);
}

void rj_job_ledger_remove(struct rj_job_ledger *ledger,
			  struct rj_job_entry *entry)
{
	g_hash_table_remove(ledger->by_job, &entry->job_id);
	rj_list_remove(&entry->link);
	ledger->count--;
	talloc_free(entry);
}

/*
 * Removes all entries, before the stream is read again from its oldest record.
 */
void rj_job_ledger_reset(struct rj_job_ledger *ledger)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &ledger->entries)
		rj_job_ledger_remove(
			ledger, RJ_CONTAINER(at, struct rj_job_entry, link));
}

/*
 * Returns the state of a job, or NULL if the log has no record of it.
 */
struct rj_job_entry *rj_job_ledger_find(const struct rj_job_ledger *ledger,
					uint64_t job_id)
{
	return g_hash_table_lookup(ledger->by_job, &job_id);
}

static bool same_attempt(const struct rj_attempt *a, const struct rj_attempt *b)
{
	return a->job_id == b->job_id && a->owner == b->owner &&
	       a->number == b->number;
}

/*
 * Marks all unsettled jobs as incomplete: no live instance has read the missing
 * older records, so records of attempts may be lost.
 */
void rj_job_ledger_mark_incomplete(struct rj_job_ledger *ledger)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &ledger->entries) {
		struct rj_job_entry *entry =
			RJ_CONTAINER(at, struct rj_job_entry, link);

		entry->incomplete = !entry->settled;
	}
}

/*
 * Whether a job is settled, claimed or accepted, rather than only known from
 * void attempts.
 */
bool rj_job_entry_has_state(const struct rj_job_entry *entry)
{
	return entry->settled || entry->claimed || entry->accepted;
}

/* Adds an entry for a job without previous records. */
static struct rj_job_entry *entry_new(struct rj_job_ledger *ledger, void *mem,
				      const struct rj_record *record,
				      uint64_t appended_us)
{
	struct rj_job_entry *entry;

	entry = talloc_zero(mem, struct rj_job_entry);
	assert(entry);
	entry->job_id = record->attempt.job_id;
	entry->spec = record->spec;
	entry->spec.job_id = entry->job_id;
	entry->spec.body = (struct rj_bytes){ 0 };
	entry->first_record_us = appended_us;
	entry->oldest_record_us = appended_us;
	g_strlcpy(entry->domain, record->domain, sizeof(entry->domain));
	rj_list_append(&ledger->entries, &entry->link);
	g_hash_table_insert(ledger->by_job, &entry->job_id, entry);
	ledger->count++;
	return entry;
}

/*
 * Accept: keeps the whole job spec until the job has an outcome. A carried
 * accept names the last attempt that claimed the job, if any.
 *
 * That attempt guards against a reader that starts after the claim and its void
 * were trimmed: it would report a cancelled job that had run as not run.
 */
static void apply_accept(struct rj_job_entry *entry,
			 const struct rj_record *record)
{
	if (entry->accepted || entry->settled)
		return;
	if (entry->claimed &&
	    memcmp(entry->spec.digest, record->spec.digest, RJ_DIGEST_BYTES))
		return;
	entry->accepted = true;
	if (record->carried && !entry->claimed)
		entry->attempt = record->attempt;
	entry->spec = record->spec;
	entry->spec.job_id = entry->job_id;
	g_strlcpy(entry->domain, record->domain, sizeof(entry->domain));
	rj_bytes_copy(entry, &entry->spec.body, &record->spec.body);
}

/*
 * The first claim of a job that is neither open nor settled opens it. Where
 * older records may be missing, a claim carried by a peer replaces the open
 * one.
 */
static void apply_claim(struct rj_job_entry *entry,
			const struct rj_record *record, uint64_t appended_us,
			bool gap)
{
	if (entry->settled || (entry->claimed && !(gap && record->carried)))
		return;
	if (memcmp(entry->spec.digest, record->spec.digest, RJ_DIGEST_BYTES))
		return;
	entry->claimed = true;
	if (!entry->accepted)
		entry->oldest_record_us = appended_us;
	if (!entry->first_owner)
		entry->first_owner = record->attempt.owner;
	else if (entry->first_owner != record->attempt.owner)
		entry->several_owners = true;
	entry->attempt = record->attempt;
	entry->lease_life_us = record->lease_life_us;
	g_strlcpy(entry->author, record->author, sizeof(entry->author));
	g_strlcpy(entry->domain, record->domain, sizeof(entry->domain));
	TALLOC_FREE(entry->members);
	entry->member_count = record->member_count;
	if (record->member_count)
		entry->members = talloc_memdup(
			entry, record->members,
			record->member_count * sizeof(*record->members));
}

/* A void closes the claim of its own attempt only. */
static void apply_void(struct rj_job_entry *entry,
		       const struct rj_record *record)
{
	if (!entry->claimed || !same_attempt(&entry->attempt, &record->attempt))
		return;
	entry->claimed = false;
	entry->claimed_before = true;
	entry->member_count = 0;
	TALLOC_FREE(entry->members);
}

/*
 * An outcome of the open attempt settles the job. If no attempt is open, an
 * outcome settles a job that was accepted (it ran without a claim, or was
 * cancelled), or one carried forward because its claim was trimmed.
 */
static void apply_outcome(struct rj_job_entry *entry,
			  const struct rj_record *record, bool is_new)
{
	bool same = same_attempt(&entry->attempt, &record->attempt);

	if (entry->settled && !(entry->outcome == RJ_ANSWER_UNKNOWN && same))
		return;
	if (entry->claimed && !same)
		return;
	if (!entry->claimed && !entry->settled && !entry->accepted &&
	    !(is_new && record->carried))
		return;
	entry->claimed = false;
	entry->settled = true;
	entry->attempt = record->attempt;
	entry->outcome = record->outcome;
	entry->reason = record->reason;
	if (entry->result.data)
		talloc_free((void *)(uintptr_t)entry->result.data);
	rj_bytes_copy(entry, &entry->result, &record->result);
	if (entry->spec.body.data)
		talloc_free((void *)(uintptr_t)entry->spec.body.data);
	entry->spec.body = (struct rj_bytes){ 0 };
}

/*
 * Records an outcome whose claim is no longer in the log: a job with this key
 * ran, but whether this was its valid attempt cannot be determined.
 *
 * Guards against a reader that starts after the claim was trimmed and before
 * the outcome was carried, as in a long outage: it would take the key for a new
 * one and run the job twice. The answer is `unknown` until an instance that
 * knows the outcome carries it.
 */
static void record_orphan_outcome(struct rj_job_entry *entry,
				  const struct rj_record *record)
{
	entry->settled = true;
	entry->attempt = record->attempt;
	entry->outcome = RJ_ANSWER_UNKNOWN;
	entry->reason = RJ_REASON_LOG_GAP;
	entry->complete_from_offset = record->offset;
}

/*
 * Updates the offset from which the log describes the job completely: the older
 * of its newest accept and its newest open claim, or a carried outcome alone.
 */
static void update_offsets(struct rj_job_entry *entry,
			   const struct rj_record *record)
{
	if (record->kind == RJ_RECORD_ACCEPT)
		entry->accept_offset = record->offset;
	if (record->kind == RJ_RECORD_CLAIM && entry->claimed &&
	    same_attempt(&entry->attempt, &record->attempt))
		entry->claim_offset = record->offset;
	if (entry->settled) {
		if (record->kind == RJ_RECORD_OUTCOME && record->carried)
			entry->complete_from_offset = record->offset;
		return;
	}
	if (entry->accepted && entry->claimed)
		entry->complete_from_offset =
			MIN(entry->accept_offset, entry->claim_offset);
	else if (entry->accepted)
		entry->complete_from_offset = entry->accept_offset;
	else
		entry->complete_from_offset =
			entry->claimed ? entry->claim_offset : record->offset;
}

/*
 * Applies one record, in log order. `now_us` is the time of reading. Returns
 * the entry of its job, or NULL for a record that is not about a job or has no
 * effect. Entries are talloc children of `mem`.
 */
struct rj_job_entry *rj_job_ledger_apply(struct rj_job_ledger *ledger,
					 void *mem,
					 const struct rj_record *record,
					 uint64_t now_us)
{
	struct rj_job_entry *entry;
	uint64_t appended_us;
	bool is_new;

	if (record->kind == RJ_RECORD_MALFORMED ||
	    record->kind == RJ_RECORD_CONFIG)
		return NULL;
	appended_us = now_us > record->age_us ? now_us - record->age_us : 0;
	entry = rj_job_ledger_find(ledger, record->attempt.job_id);
	is_new = !entry;
	if (is_new) {
		if (record->kind == RJ_RECORD_VOID)
			return NULL;
		entry = entry_new(ledger, mem, record, appended_us);
	}
	entry->newest_record_us = appended_us;
	if (record->carried)
		entry->oldest_record_us = appended_us;
	switch (record->kind) {
	case RJ_RECORD_ACCEPT:
		apply_accept(entry, record);
		break;
	case RJ_RECORD_CLAIM:
		apply_claim(entry, record, appended_us, ledger->gap_us);
		break;
	case RJ_RECORD_VOID:
		apply_void(entry, record);
		break;
	case RJ_RECORD_OUTCOME:
		if (is_new && !record->carried)
			record_orphan_outcome(entry, record);
		else
			apply_outcome(entry, record, is_new);
		break;
	case RJ_RECORD_CANCEL:
		entry->cancelled = true;
		break;
	case RJ_RECORD_MALFORMED:
	case RJ_RECORD_CONFIG:
	case RJ_RECORD_KIND_COUNT:
		break;
	}
	update_offsets(entry, record);
	return entry;
}
