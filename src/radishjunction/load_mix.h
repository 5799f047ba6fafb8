/*
 * What a load consists of, and the requests drawn from it.
 *
 * `load_mix_parse` fills memory of the caller; `load_job_draw` makes request
 * number `n`, which depends on seed and number alone, so that two loads with
 * one seed send the same.
 */
#ifndef LOAD_MIX_H
#define LOAD_MIX_H

#include "radishjunction/error.h"
#include "radishjunction/types.h"

struct load_kind {
	char name[RJ_NAME_BYTES];
	char account[RJ_NAME_BYTES];
	char class_name[RJ_NAME_BYTES];
	uint32_t weight; /* its share of the requests */
	uint32_t tasks;
	uint32_t accelerators; /* of each task, as the following */
	uint32_t cores;
	uint32_t memory_mb;
	bool adjacent;
	uint32_t run_ms_min;
	uint32_t run_ms_max;
	uint32_t checkpoint_ms;
	bool idempotent; /* may be sent again without a key */
	bool keyed;
	bool wait; /* else it is accepted and asked for by its id */
	uint32_t deadline_ms; /* 0: none */
	/* So many of a hundred are sent a second time at once, elsewhere. */
	uint32_t repeat_percent;
	/* So many of a hundred are cancelled soon after. */
	uint32_t cancel_percent;
};

struct load_mix {
	struct load_kind *kinds;
	uint32_t kind_count;
};

struct load_job {
	uint32_t number;
	const struct load_kind *kind;
	char key[RJ_KEY_BYTES]; /* "" without */
	char echo[RJ_KEY_BYTES]; /* what its result must repeat */
	char digest[2 * RJ_DIGEST_BYTES + 1]; /* of its body, as workers say */
	char *text; /* the submission; talloc */
	uint32_t instance; /* the first that it is sent to */
	uint32_t repeat_instance; /* of the second sending */
	bool repeated;
	bool cancelled;
};

int load_mix_parse(struct load_mix *mix, void *mem, const char *text,
		   struct rj_error_list *errors);
void load_job_draw(struct load_job *job, void *mem, const struct load_mix *mix,
		   uint64_t seed, uint32_t number, uint32_t instances);

#endif
