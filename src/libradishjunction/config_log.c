#include "radishjunction/config_log.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

const char *const rj_config_verdict_string[RJ_CONFIG_VERDICT_COUNT] = {
	[RJ_CONFIG_ACCEPTED] = "accepted",
	[RJ_CONFIG_REPEATED] = "repeated",
	[RJ_CONFIG_STALE] = "stale",
	[RJ_CONFIG_BAD_TEXT] = "bad_text",
	[RJ_CONFIG_NOT_ONE] = "not_one",
	[RJ_CONFIG_UNJUDGED] = "unjudged",
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
void rj_config_log_batch(struct rj_config_log *log, uint64_t oldest)
{
	log->oldest = oldest;
	if (oldest <= log->next)
		return;
	log->next = oldest;
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
static bool in_force(const struct rj_config_log *log, const char *id)
{
	return log->config && !strcmp(log->config->id, id);
}

/*
 * Put the text in force as `revision`, unless it has errors.
 */
static bool put_in_force(struct rj_config_log *log, uint64_t revision,
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
	return true;
}

/*
 * Note when the newest record from which a reader can start was written.
 */
static void set_anchor(struct rj_config_log *log,
		       const struct rj_record *record, uint64_t now_us)
{
	log->anchor_us = (int64_t)now_us - (int64_t)record->age_us;
	log->anchored = true;
}

/*
 * Read on from `as_of`, where the configuration in force was current.
 */
static void start_from(struct rj_config_log *log, uint64_t as_of)
{
	log->next = as_of;
	log->as_of = as_of;
	log->gap = false;
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
		    in_force(log, record->config_id);

	if (record->as_of > record->offset)
		return RJ_CONFIG_NOT_ONE;
	if (same)
		set_anchor(log, record, now_us);
	if (record->revision < revision || (same && !log->gap))
		return RJ_CONFIG_REPEATED;
	if (record->revision == revision && !same)
		return RJ_CONFIG_STALE;
	if (record->as_of < log->oldest)
		return RJ_CONFIG_UNJUDGED;
	if (!same && !put_in_force(log, record->revision, record->config_id,
				   record->config_text, errors))
		return RJ_CONFIG_BAD_TEXT;
	set_anchor(log, record, now_us);
	start_from(log, record->as_of);
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
		return RJ_CONFIG_NOT_ONE;
	if (in_force(log, record->config_id))
		return RJ_CONFIG_REPEATED;
	if (record->base_revision < rj_config_log_revision(log))
		return RJ_CONFIG_STALE;
	if (log->gap)
		return RJ_CONFIG_UNJUDGED;
	if (record->base_revision != rj_config_log_revision(log))
		return RJ_CONFIG_STALE;
	if (!put_in_force(log, record->revision, record->config_id,
			  record->config_text, errors))
		return RJ_CONFIG_BAD_TEXT;
	return RJ_CONFIG_ACCEPTED;
}

/*
 * Apply the record at offset `next` of the stream, at the reader's time
 * `now_us`. A record at another offset was handed over in a read from before
 * `next` moved: it is left alone and comes again with the next read.
 *
 * Returns the verdict; with RJ_CONFIG_BAD_TEXT the errors are added to
 * `errors`. Nothing that is refused changes what is in force.
 */
enum rj_config_verdict rj_config_log_apply(struct rj_config_log *log,
					   const struct rj_record *record,
					   uint64_t now_us,
					   struct rj_error_list *errors)
{
	enum rj_config_verdict verdict = RJ_CONFIG_NOT_ONE;

	if (record->offset != log->next)
		return RJ_CONFIG_READ_AGAIN;
	log->next++;
	/* While the stream's beginning is kept, it is a place to start. */
	if (!record->offset)
		set_anchor(log, record, now_us);
	if (record->kind == RJ_RECORD_CONFIG && record->config_id[0] &&
	    record->config_text)
		verdict = record->carried ?
				  apply_carried(log, record, now_us, errors) :
				  apply_published(log, record, errors);
	if (!log->gap && log->as_of < log->next)
		log->as_of = log->next;
	return verdict;
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
	bool same =
		revision == rj_config_log_revision(log) && in_force(log, id);

	if (same && log->gap && as_of >= log->oldest)
		start_from(log, as_of);
	if (revision <= rj_config_log_revision(log) || !id[0] ||
	    strlen(id) >= RJ_CONFIG_ID_BYTES)
		return false;
	if (!put_in_force(log, revision, id, text, errors))
		return false;
	log->as_of = as_of;
	if (as_of >= log->oldest)
		start_from(log, as_of);
	return true;
}

/*
 * Whether the configuration in force has to be appended again. Half of the
 * retention leaves the other half for outages of the log.
 */
bool rj_config_log_carry_due(const struct rj_config_log *log, uint64_t now_us,
			     uint64_t retention_us)
{
	if (!log->config || log->gap)
		return false;
	if (!log->anchored)
		return true;
	return (int64_t)now_us - log->anchor_us > (int64_t)(retention_us / 2);
}

/*
 * Fill the record that carries the configuration in force. It points into
 * `log` until that changes.
 */
void rj_config_log_carry(const struct rj_config_log *log,
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
	memset(log, 0, sizeof(*log));
}
