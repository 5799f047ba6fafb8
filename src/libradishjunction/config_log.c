/*
 * The rules are in config_log.h. Terms: after a gap, records before `next` were
 * missed; a reader that skipped ahead has made such a gap itself; a carried
 * record repeats the active configuration; `as_of` is the offset up to which
 * its author had read; the anchor is the newest record to start reading from.
 */
#include "radishjunction/config_log.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

/* Number of newest records of a long stream that a new reader reads. The first
 * half of them contains a carried record, unless it was appended late. */
#define SKIP_WINDOW_RECORDS (2UL * RJ_CONFIG_CARRY_RECORDS)

const char *const rj_config_verdict_string[RJ_CONFIG_VERDICT_COUNT] = {
	[RJ_CONFIG_ACCEPTED] = "accepted",
	[RJ_CONFIG_REPEATED] = "repeated",
	[RJ_CONFIG_STALE] = "stale",
	[RJ_CONFIG_BAD_TEXT] = "bad_text",
	[RJ_CONFIG_BAD_CHANGE] = "bad_change",
	[RJ_CONFIG_MALFORMED] = "not_one",
	[RJ_CONFIG_UNDECIDED] = "unjudged",
	[RJ_CONFIG_READ_AGAIN] = "read_again",
};

/*
 * Initialise without a configuration, at the beginning of the stream.
 */
void rj_config_log_init(struct rj_config_log *log, void *mem)
{
	memset(log, 0, sizeof(*log));
	log->mem = mem;
}

/*
 * Begin the records of one successful read; `oldest` is the oldest offset that
 * the log still keeps.
 *
 * Guards against a reader that was paused for longer than the retention, or
 * that starts on a log whose beginning was dropped: it would evaluate a
 * publication without the ones before it and activate one that all others
 * rejected. After a gap, nothing is decided until a carried record gives a
 * position to start from.
 */
void rj_config_log_begin_batch(struct rj_config_log *log, uint64_t oldest)
{
	log->oldest = oldest;
	if (oldest <= log->next)
		return;
	log->next = oldest;
	log->gap = true;
}

/*
 * Skip to the newest records of a long stream; `head` is one past the newest
 * offset. Must be called after `rj_config_log_begin_batch`.
 *
 * Without this, a reader that has no configuration would apply every change in
 * the log: 45,000 in a week at 6,400 a day. Skipping is safe because it counts
 * as a gap, after which nothing is decided until a carried record gives a
 * position to start from. If there is none among the newest records, the
 * stream is read from its oldest record.
 */
void rj_config_log_skip_ahead(struct rj_config_log *log, uint64_t head)
{
	if (log->config)
		return;
	if (log->skipped && log->next >= head) {
		log->skipped = false;
		log->next = log->oldest;
		log->gap = log->oldest > 0;
		return;
	}
	if (log->skip_tried || head < log->next + SKIP_WINDOW_RECORDS)
		return;
	log->skip_tried = true;
	log->skipped = true;
	log->next = head - SKIP_WINDOW_RECORDS;
	log->gap = true;
}

/*
 * The active revision, or 0 for none.
 */
uint64_t rj_config_log_revision(const struct rj_config_log *log)
{
	return log->config ? log->config->revision : 0;
}

/*
 * Whether `id` is the id of the active publication.
 */
static bool is_active(const struct rj_config_log *log, const char *id)
{
	return log->config && !strcmp(log->config->id, id);
}

/*
 * Free the change that led to the current revision.
 */
static void drop_change(struct rj_config_log *log)
{
	talloc_free((void *)(uintptr_t)log->change.patch);
	memset(&log->change, 0, sizeof(log->change));
}

/*
 * Activate the text as `revision`, which must be newer than the active one.
 * `id` must fit. Returns false if the text has errors.
 */
static bool activate_text(struct rj_config_log *log, uint64_t revision,
			  const char *id, const char *text,
			  struct rj_error_list *errors)
{
	struct rj_config *config = rj_config_parse(log->mem, text, errors);

	assert(revision > rj_config_log_revision(log));
	if (!config)
		return false;
	config->revision = revision;
	memcpy(config->id, id, strlen(id) + 1);
	rj_config_unref(log->config);
	log->config = config;
	drop_change(log);
	return true;
}

/*
 * Apply `change` to the active configuration. Returns the resulting text, a
 * talloc child of `log->mem`, or NULL with the error added to `errors`.
 */
static char *apply_change(struct rj_config_log *log,
			  const struct rj_config_change *change,
			  struct rj_error_list *errors)
{
	if (log->config)
		return rj_config_change_apply(log->mem, log->config->text,
					      change, errors);
	rj_error_list_add(errors, RJ_ERR_INVALID,
			  "change: there is no configuration to change; "
			  "publish the whole configuration");
	return NULL;
}

/*
 * Activate the result of applying `change` to the active configuration, and
 * keep the change for peers that are one revision behind.
 */
static enum rj_config_verdict
activate_change(struct rj_config_log *log, uint64_t revision, const char *id,
		const struct rj_config_change *change,
		struct rj_error_list *errors)
{
	char *text = apply_change(log, change, errors);
	enum rj_config_verdict verdict = RJ_CONFIG_BAD_CHANGE;

	if (!text)
		return verdict;
	verdict = RJ_CONFIG_BAD_TEXT;
	if (activate_text(log, revision, id, text, errors)) {
		log->change = *change;
		log->change.patch = talloc_strdup(log->mem, change->patch);
		assert(log->change.patch);
		verdict = RJ_CONFIG_ACCEPTED;
	}
	talloc_free(text);
	return verdict;
}

/*
 * Set the anchor to `record`: its offset, and the time when it was written.
 */
static void set_anchor(struct rj_config_log *log,
		       const struct rj_record *record, uint64_t now_us)
{
	log->anchor_us = (int64_t)now_us - (int64_t)record->age_us;
	log->anchor_offset = record->offset;
	log->anchored = true;
}

/*
 * Continue reading at `as_of`, where the active configuration was current.
 */
static void resume_from(struct rj_config_log *log, uint64_t as_of)
{
	log->next = as_of;
	log->as_of = as_of;
	log->gap = false;
	log->skipped = false;
}

/*
 * Evaluate a carried record. If it is needed, because it is newer or because
 * records were missed, reading continues at the offset up to which its author
 * had read. The author may have lagged, so the publications between that
 * offset and the carried record are evaluated in order from its state.
 */
static enum rj_config_verdict apply_carried(struct rj_config_log *log,
					    const struct rj_record *record,
					    uint64_t now_us,
					    struct rj_error_list *errors)
{
	uint64_t revision = rj_config_log_revision(log);
	bool same = record->revision == revision &&
		    is_active(log, record->config_id);

	/* Its author cannot have read beyond it. */
	if (record->as_of > record->offset || !record->config_text)
		return RJ_CONFIG_MALFORMED;
	if (same)
		set_anchor(log, record, now_us);
	if (record->revision < revision || (same && !log->gap))
		return RJ_CONFIG_REPEATED;
	/* Another publication has become this revision. */
	if (record->revision == revision && !same)
		return RJ_CONFIG_STALE;
	/* Records from `as_of` on are no longer in the log. */
	if (record->as_of < log->oldest)
		return RJ_CONFIG_UNDECIDED;
	if (!same && !activate_text(log, record->revision, record->config_id,
				    record->config_text, errors))
		return RJ_CONFIG_BAD_TEXT;
	set_anchor(log, record, now_us);
	resume_from(log, record->as_of);
	return same ? RJ_CONFIG_REPEATED : RJ_CONFIG_ACCEPTED;
}

/*
 * Evaluate a publication.
 */
static enum rj_config_verdict apply_published(struct rj_config_log *log,
					      const struct rj_record *record,
					      struct rj_error_list *errors)
{
	if (record->revision != record->base_revision + 1)
		return RJ_CONFIG_MALFORMED;
	if (is_active(log, record->config_id))
		return RJ_CONFIG_REPEATED;
	if (record->base_revision < rj_config_log_revision(log))
		return RJ_CONFIG_STALE;
	if (log->gap)
		return RJ_CONFIG_UNDECIDED;
	if (record->base_revision != rj_config_log_revision(log))
		return RJ_CONFIG_STALE;
	if (record->config_change.patch)
		return activate_change(log, record->revision, record->config_id,
				       &record->config_change, errors);
	if (!activate_text(log, record->revision, record->config_id,
			   record->config_text, errors))
		return RJ_CONFIG_BAD_TEXT;
	return RJ_CONFIG_ACCEPTED;
}

/*
 * Whether the record is a valid publication: it has an id and either the whole
 * text or a change, but not both.
 */
static bool is_publication(const struct rj_record *record)
{
	return record->kind == RJ_RECORD_CONFIG && record->config_id[0] &&
	       !record->config_text != !record->config_change.patch;
}

/*
 * Apply the record at offset `next` of the stream, at the reader's time
 * `now_us`. A record at another offset comes from a read that was started
 * before `next` moved: it is ignored and returned again by the next read.
 *
 * Returns the verdict; with RJ_CONFIG_BAD_TEXT and RJ_CONFIG_BAD_CHANGE the
 * errors are added to `errors`. A rejected record does not change the active
 * configuration.
 */
enum rj_config_verdict rj_config_log_apply(struct rj_config_log *log,
					   const struct rj_record *record,
					   uint64_t now_us,
					   struct rj_error_list *errors)
{
	enum rj_config_verdict verdict = RJ_CONFIG_MALFORMED;

	if (record->offset != log->next)
		return RJ_CONFIG_READ_AGAIN;
	log->next++;
	/* A reader can also start from the beginning of the stream. */
	if (!record->offset)
		set_anchor(log, record, now_us);
	if (is_publication(record))
		verdict = record->carried ?
				  apply_carried(log, record, now_us, errors) :
				  apply_published(log, record, errors);
	if (!log->gap && log->as_of < log->next)
		log->as_of = log->next;
	return verdict;
}

/*
 * Whether a publication named by a peer can replace the active one: `revision`
 * is newer and `id` is not empty and fits.
 */
static bool is_newer(const struct rj_config_log *log, uint64_t revision,
		     const char *id)
{
	return revision > rj_config_log_revision(log) && id[0] &&
	       strlen(id) < RJ_CONFIG_ID_BYTES;
}

/*
 * End a gap if a peer that had read the stream up to `as_of` has the same
 * active configuration.
 */
static void end_gap(struct rj_config_log *log, uint64_t revision,
		    const char *id, uint64_t as_of)
{
	if (revision == rj_config_log_revision(log) && is_active(log, id) &&
	    log->gap && as_of >= log->oldest)
		resume_from(log, as_of);
}

/*
 * After activating a peer's configuration, continue at `as_of`, up to which the
 * peer had read, unless the log no longer has that record.
 */
static void finish_adoption(struct rj_config_log *log, uint64_t as_of)
{
	log->as_of = as_of;
	if (as_of >= log->oldest)
		resume_from(log, as_of);
}

/*
 * Adopt a newer configuration from a peer that had read the stream up to
 * `as_of`; the next read continues there. Returns whether the configuration
 * was activated. One that is not newer or has errors is ignored, but if it is
 * the active one, a gap ends.
 */
bool rj_config_log_adopt(struct rj_config_log *log, uint64_t revision,
			 const char *id, const char *text, uint64_t as_of,
			 struct rj_error_list *errors)
{
	end_gap(log, revision, id, as_of);
	if (!is_newer(log, revision, id) ||
	    !activate_text(log, revision, id, text, errors))
		return false;
	finish_adoption(log, as_of);
	return true;
}

/*
 * Adopt the change that led to a peer's configuration, like
 * rj_config_log_adopt does with a whole configuration.
 *
 * Guards against a change that arrives before its base or long after it,
 * because the peer's view of this reader was outdated: applied to another
 * revision it would give a configuration that no one published. Only a change
 * from the active revision is applied. A reader that lacks the base is sent
 * the whole configuration, since its next heartbeat shows that it is behind.
 */
bool rj_config_log_adopt_change(struct rj_config_log *log, uint64_t revision,
				const char *id,
				const struct rj_config_change *change,
				uint64_t as_of, struct rj_error_list *errors)
{
	end_gap(log, revision, id, as_of);
	if (!is_newer(log, revision, id) ||
	    revision != rj_config_log_revision(log) + 1 ||
	    activate_change(log, revision, id, change, errors) !=
		    RJ_CONFIG_ACCEPTED)
		return false;
	finish_adoption(log, as_of);
	return true;
}

/*
 * Whether the active configuration must be appended again. It is due after
 * half of the retention, which leaves the other half for outages of the log,
 * or earlier after many records; see RJ_CONFIG_CARRY_RECORDS.
 */
bool rj_config_log_carry_due(const struct rj_config_log *log, uint64_t now_us,
			     uint64_t retention_us)
{
	if (!log->config || log->gap)
		return false;
	if (!log->anchored ||
	    log->next > log->anchor_offset + RJ_CONFIG_CARRY_RECORDS)
		return true;
	return (int64_t)now_us - log->anchor_us > (int64_t)(retention_us / 2);
}

/*
 * Fill in a record that carries the active configuration. It points into
 * `log` and is valid until `log` changes.
 */
void rj_config_log_fill_carried(const struct rj_config_log *log,
				struct rj_record *record)
{
	assert(log->config);
	memset(record, 0, sizeof(*record));
	record->kind = RJ_RECORD_CONFIG;
	record->carried = true;
	memcpy(record->config_id, log->config->id, sizeof(record->config_id));
	record->revision = log->config->revision;
	record->base_revision = record->revision - 1;
	record->as_of = log->as_of;
	record->config_text = log->config->text;
}

/*
 * Release the configuration; `log` is zeroed.
 */
void rj_config_log_finish(struct rj_config_log *log)
{
	rj_config_unref(log->config);
	drop_change(log);
	memset(log, 0, sizeof(*log));
}
