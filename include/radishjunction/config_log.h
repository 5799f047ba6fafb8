/*
 * Which published configuration is in force: a fold over the log's `config`
 * stream that every reader makes alike.
 *
 * A publication names the revision that it was made from. The first valid
 * one in log order for the current revision is accepted and makes the next;
 * every other is refused. Revisions only rise. A publication holds the whole
 * configuration or the change that makes it of the one that it names; a
 * change whose result is not the one that its author had is refused.
 *
 * Old records are dropped, so the newest configuration is carried: appended
 * again with `as_of`, the offset up to which its author had read. It states
 * "at `as_of` this revision was current". Whoever has missed records starts
 * from there, and judges nothing until then. A carried one is always whole.
 *
 * Life cycle: `rj_config_log_init` on the caller's memory; for each answered
 * read `rj_config_log_begin_batch`, `rj_config_log_skip_ahead` and then
 * `rj_config_log_apply` for each of its records in order; the next read
 * begins at `next`, which may lie before records already seen;
 * `rj_config_log_finish`.
 */
#ifndef RADISHJUNCTION_CONFIG_LOG_H
#define RADISHJUNCTION_CONFIG_LOG_H

#include "radishjunction/config.h"
#include "radishjunction/config_change.h"
#include "radishjunction/record.h"

/*
 * A configuration is carried again after so many records, so that a reader
 * who starts anew has at most twice as many changes to apply: some 4 s of
 * processor time with 290 accounts. At 6,400 changes a day that is a whole
 * one an hour.
 */
#define RJ_CONFIG_CARRY_RECORDS 256

enum rj_config_verdict {
	RJ_CONFIG_ACCEPTED, /* in force from here on */
	RJ_CONFIG_REPEATED, /* in force already, or older: nothing changes */
	RJ_CONFIG_STALE, /* refused: another publication came first */
	RJ_CONFIG_BAD_TEXT, /* refused: the text has errors */
	RJ_CONFIG_BAD_CHANGE, /* refused: it does not make what it names */
	RJ_CONFIG_MALFORMED, /* not a well-formed publication */
	RJ_CONFIG_UNDECIDED, /* records before it were missed */
	RJ_CONFIG_READ_AGAIN, /* comes later, when it is read from `next` */
	RJ_CONFIG_VERDICT_COUNT
};

extern const char *const rj_config_verdict_string[RJ_CONFIG_VERDICT_COUNT];

struct rj_config_log {
	void *mem;
	struct rj_config *config; /* in force: one reference, or NULL */
	/* How `config` was made of the revision before it; its patch is NULL
	 * when it came whole. */
	struct rj_config_change change;
	uint64_t next; /* the offset to read from */
	uint64_t oldest; /* of the last read */
	uint64_t as_of; /* at this offset `config` was surely current */
	/* The time of the newest record to start from; with `anchored`. */
	int64_t anchor_us;
	uint64_t anchor_offset;
	bool anchored;
	bool gap; /* records before `next` were missed */
	/* It has gone straight to the newest records, and has yet to find a
	 * configuration there. */
	bool skipped;
	bool skip_tried; /* once is enough */
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
