/*
 * The most recent changes of the platform's instance list, for clients that
 * request the changes since a version.
 *
 * Zeroed memory is an empty history. Call `rj_standin_history_record` before
 * each change of the list.
 */
#ifndef RJ_STANDIN_LIST_HISTORY_H
#define RJ_STANDIN_LIST_HISTORY_H

#include "private/platform_wire.h"

/* Enough for the loss of a whole failure domain and concurrent changes. */
#define RJ_STANDIN_HISTORY_MAX 1024

struct rj_standin_history {
	struct {
		uint64_t version_before; /* list version before the change */
		char name[RJ_NAME_BYTES]; /* of the changed instance */
	} changes[RJ_STANDIN_HISTORY_MAX]; /* ring buffer */
	uint64_t count; /* recorded so far */
};

void rj_standin_history_record(struct rj_standin_history *history,
			       uint64_t version_before, const char *name);
bool rj_standin_history_since(const struct rj_standin_history *history,
			      void *mem, uint64_t known,
			      const struct rj_instance *instances,
			      uint32_t count,
			      struct rj_instances_answer *answer);

#endif
