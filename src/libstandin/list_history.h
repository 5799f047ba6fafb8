/*
 * The newest changes of the platform's list, for those who ask what differs
 * from a version that they know.
 *
 * Zeroed memory is an empty history; `rj_standin_history_record` before each
 * change.
 */
#ifndef RJ_STANDIN_LIST_HISTORY_H
#define RJ_STANDIN_LIST_HISTORY_H

#include "private/platform_wire.h"

/* A failure domain that is lost at once, and what changes beside it. */
#define RJ_STANDIN_HISTORY_MAX 1024

struct rj_standin_history {
	struct {
		uint64_t version_before; /* the version of the list before it */
		char name[RJ_NAME_BYTES]; /* whose line changed */
	} changes[RJ_STANDIN_HISTORY_MAX]; /* a ring */
	uint64_t count; /* noted so far */
};

void rj_standin_history_record(struct rj_standin_history *history,
			       uint64_t version_before, const char *name);
bool rj_standin_history_since(const struct rj_standin_history *history,
			      void *mem, uint64_t known,
			      const struct rj_instance *instances,
			      uint32_t count,
			      struct rj_instances_answer *answer);

#endif
