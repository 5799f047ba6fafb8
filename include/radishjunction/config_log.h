/*
 * The active configuration, computed from the `config` stream of the log by
 * rules that give every reader the same result.
 *
 * A publication names its base revision. The first valid publication in log
 * order for the current revision is accepted and becomes the next revision;
 * all others are rejected. Revisions only increase. A publication holds the
 * whole configuration, or the change from its base; a change whose result
 * differs from the result that its author had is rejected.
 *
 * The log drops old records, so the active configuration is carried: appended
 * again with `as_of`, the offset up to which its author had read. A carried
 * record states that its revision was current at `as_of`. A reader that has
 * missed records decides nothing until it finds a carried record, and
 * continues from there. A carried record always holds the whole configuration.
 *
 * Life cycle: `rj_config_log_init` on the caller's memory; for each
 * successful read `rj_config_log_begin_batch`, `rj_config_log_skip_ahead` and
 * then `rj_config_log_apply` for each of its records in order; the next read
 * starts at `next`, which may be before records already seen;
 * `rj_config_log_finish`.
 */
#ifndef RADISHJUNCTION_CONFIG_LOG_H
#define RADISHJUNCTION_CONFIG_LOG_H

#include "radishjunction/config.h"
#include "radishjunction/config_change.h"
#include "radishjunction/record.h"

/*
 * The configuration is carried again after this many records, so that a new
 * reader has at most twice as many changes to apply, about 4 s of processor
 * time with 290 accounts. At 6,400 changes a day, one whole configuration is
 * appended each hour.
 */
#define RJ_CONFIG_CARRY_RECORDS 256

enum rj_config_verdict {
	RJ_CONFIG_ACCEPTED, /* active from this record on */
	RJ_CONFIG_REPEATED, /* already active, or older: no change */
	RJ_CONFIG_STALE, /* rejected: another publication came first */
	RJ_CONFIG_BAD_TEXT, /* rejected: the text has errors */
	RJ_CONFIG_BAD_CHANGE, /* rejected: fails, or gives another result */
	RJ_CONFIG_MALFORMED, /* not a valid publication record */
	RJ_CONFIG_UNDECIDED, /* earlier records were missed */
	RJ_CONFIG_READ_AGAIN, /* not at `next`: comes with a later read */
	RJ_CONFIG_VERDICT_COUNT
};

extern const char *const rj_config_verdict_string[RJ_CONFIG_VERDICT_COUNT];

struct rj_config_log {
	void *mem;
	struct rj_config *config; /* active; holds one reference; or NULL */
	/* Change from the previous revision to `config`; its patch is NULL
	 * when `config` was published whole. */
	struct rj_config_change change;
	uint64_t next; /* offset to read from */
	uint64_t oldest; /* oldest offset kept, as of the last read */
	uint64_t as_of; /* offset at which `config` is known current */
	/* Newest record that a new reader can start from, if `anchored`:
	 * the time when it was written and its offset. */
	int64_t anchor_us;
	uint64_t anchor_offset;
	bool anchored;
	bool gap; /* records before `next` were missed */
	/* Skipped ahead to the newest records and has found no configuration
	 * there yet. */
	bool skipped;
	bool skip_tried; /* skips ahead at most once */
};

void rj_config_log_init(struct rj_config_log *log, void *mem);
void rj_config_log_begin_batch(struct rj_config_log *log, uint64_t oldest);
void rj_config_log_skip_ahead(struct rj_config_log *log, uint64_t head);
enum rj_config_verdict rj_config_log_apply(struct rj_config_log *log,
					   const struct rj_record *record,
					   uint64_t now_us,
					   struct rj_error_list *errors);
bool rj_config_log_adopt(struct rj_config_log *log, uint64_t revision,
			 const char *id, const char *text, uint64_t as_of,
			 struct rj_error_list *errors);
bool rj_config_log_adopt_change(struct rj_config_log *log, uint64_t revision,
				const char *id,
				const struct rj_config_change *change,
				uint64_t as_of, struct rj_error_list *errors);
uint64_t rj_config_log_revision(const struct rj_config_log *log);
bool rj_config_log_carry_due(const struct rj_config_log *log, uint64_t now_us,
			     uint64_t retention_us);
void rj_config_log_fill_carried(const struct rj_config_log *log,
				struct rj_record *record);
void rj_config_log_finish(struct rj_config_log *log);

#endif
