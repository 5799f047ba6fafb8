#include "radishjunction/config_log.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

/* What a new reader reads of a long stream: a carried one stands in its
 * first half, unless nobody carried in time. */
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
 * Start without a configuration, at the beginning of the stream.
 */
void rj_config_log_init(struct rj_config_log *log, void *mem)
{
	memset(log, 0, sizeof(*log));
	log->mem = mem;
}

/*
 * Begin the records of one answered read; `oldest` is the oldest offset that
 * the log still keeps.
 *
 * Guards against a reader that was paused past retention, or that starts on
 * a log whose beginning is gone: it would judge a publication without the
 * ones before it, and put a refused one in force. It holds because with a
 * gap nothing is judged until a carried record tells where to start.
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
 * Of a long stream, go straight to its newest records; `head` is one past
 * the newest offset. To be called after `rj_config_log_begin_batch`.
 *
 * A reader without a configuration would else apply every change that the
 * log keeps: 45,000 in a week at 6,400 a day. Going on from there is safe,
 * since it is a gap, in which nothing is judged before a carried record
 * tells where to start. Where none is found, the stream is read from its
 * oldest record after all.
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
 * The revision in force, 0 for none.
 */
uint64_t rj_config_log_revision(const struct rj_config_log *log)
{
	return log->config ? log->config->revision : 0;
}

/*
 * Whether `id` names the publication in force.
 */
static bool is_active(const struct rj_config_log *log, const char *id)
{
	return log->config && !strcmp(log->config->id, id);
}

/*
 * Let go of the change that made the configuration before this one.
 */
static void drop_change(struct rj_config_log *log)
{
	talloc_free((void *)(uintptr_t)log->change.patch);
	memset(&log->change, 0, sizeof(log->change));
}

/*
 * Put the text in force as `revision`, unless it has errors.
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
 * What `change` makes of the configuration in force, a talloc child of the
 * fold's memory, or NULL with the error added to `errors`.
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
			  "publish the configuration whole");
	return NULL;
}

/*
 * Put in force what `change` makes of the configuration in force, and keep
 * the change for peers who are one revision behind.
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
 * Note when the newest record from which a reader can start was written.
 */
static void set_anchor(struct rj_config_log *log,
		       const struct rj_record *record, uint64_t now_us)
{
	log->anchor_us = (int64_t)now_us - (int64_t)record->age_us;
	log->anchor_offset = record->offset;
	log->anchored = true;
}

/*
 * Read on from `as_of`, where the configuration in force was current.
 */
static void resume_from(struct rj_config_log *log, uint64_t as_of)
{
	log->next = as_of;
	log->as_of = as_of;
	log->gap = false;
	log->skipped = false;
}

/*
 * Judge a carried record. One that is needed, because it is newer or because
 * records were missed, also says where to read on: at the offset up to which
 * its author had read. The author may have lagged, so publications between
 * that offset and the carried record are judged in order, from its state.
 */
static enum rj_config_verdict apply_carried(struct rj_config_log *log,
					    const struct rj_record *record,
					    uint64_t now_us,
					    struct rj_error_list *errors)
{
	uint64_t revision = rj_config_log_revision(log);
	bool same = record->revision == revision &&
		    is_active(log, record->config_id);

	if (record->as_of > record->offset || !record->config_text)
		return RJ_CONFIG_MALFORMED;
	if (same)
		set_anchor(log, record, now_us);
	if (record->revision < revision || (same && !log->gap))
		return RJ_CONFIG_REPEATED;
	if (record->revision == revision && !same)
		return RJ_CONFIG_STALE;
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
 * Judge a publication.
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
 * Whether the record has what a publication needs: the whole text or a
 * change, and not both.
 */
static bool is_publication(const struct rj_record *record)
{
	return record->kind == RJ_RECORD_CONFIG && record->config_id[0] &&
	       !record->config_text != !record->config_change.patch;
}

/*
 * Apply the record at offset `next` of the stream, at the reader's time
 * `now_us`. A record at another offset was handed over in a read from before
 * `next` moved: it is left alone and comes again with the next read.
 *
 * Returns the verdict; with RJ_CONFIG_BAD_TEXT and RJ_CONFIG_BAD_CHANGE the
 * errors are added to `errors`. Nothing that is refused changes what is in
 * force.
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
	/* While the stream's beginning is kept, it is a place to start. */
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
 * Whether a publication that a peer names can be the next after the one in
 * force: `revision` is newer, and `id` fits.
 */
static bool is_newer(const struct rj_config_log *log, uint64_t revision,
		     const char *id)
{
	return revision > rj_config_log_revision(log) && id[0] &&
	       strlen(id) < RJ_CONFIG_ID_BYTES;
}

/*
 * A peer that had read the stream up to `as_of` has the same configuration
 * in force: that ends a gap.
 */
static void end_gap(struct rj_config_log *log, uint64_t revision,
		    const char *id, uint64_t as_of)
{
	if (revision == rj_config_log_revision(log) && is_active(log, id) &&
	    log->gap && as_of >= log->oldest)
		resume_from(log, as_of);
}

/*
 * A peer's configuration came into force: read on from where it had read.
 */
static void finish_adoption(struct rj_config_log *log, uint64_t as_of)
{
	log->as_of = as_of;
	if (as_of >= log->oldest)
		resume_from(log, as_of);
}

/*
 * Take a newer configuration from a peer that had read the stream up to
 * `as_of`; the next read goes on from there. Returns whether it came into
 * force now. One that is not newer, or whose text has errors, changes nothing,
 * but that one which is in force already ends a gap.
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
 * Take the change that made a peer's configuration, as rj_config_log_adopt
 * does with a whole one.
 *
 * Guards against a change that comes before its base, or long after it (the
 * peer's view of this reader was old): applied to another revision it would
 * make a configuration that nobody wrote. Only one against the revision in
 * force is taken; whoever misses its base gets the whole one, since the next
 * heartbeat shows that it is behind.
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
 * Whether the configuration in force has to be appended again. Half of the
 * retention leaves the other half for outages of the log; after many records
 * it is due sooner, see RJ_CONFIG_CARRY_RECORDS.
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
 * Fill the record that carries the configuration in force. It points into
 * `log` until that changes.
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
 * Give the configuration back; the fold is empty afterwards.
 */
void rj_config_log_finish(struct rj_config_log *log)
{
	rj_config_unref(log->config);
	drop_change(log);
	memset(log, 0, sizeof(*log));
}
