#include "list_history.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

/*
 * Records a change of instance `name` in the list of version
 * `version_before`.
 */
void rj_standin_history_record(struct rj_standin_history *history,
			       uint64_t version_before, const char *name)
{
	uint64_t at = history->count++ % RJ_STANDIN_HISTORY_MAX;

	history->changes[at].version_before = version_before;
	(void)rj_name_set(history->changes[at].name, name);
}

/* Adds the current entry of `name` to the answer, or its removal. */
static void add_change(struct rj_instances_answer *answer, const char *name,
		       const struct rj_instance *instances, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		if (strcmp(instances[i].name, name) != 0)
			continue;
		answer->instances[answer->count++] = instances[i];
		return;
	}
	(void)rj_name_set(answer->gone[answer->gone_count++].name, name);
}

/*
 * Fills `answer` with the changes from version `known` to the current list,
 * as talloc children of `mem`. Returns false if the history does not reach
 * back to that version: the whole list must be sent then.
 */
bool rj_standin_history_since(const struct rj_standin_history *history,
			      void *mem, uint64_t known,
			      const struct rj_instance *instances,
			      uint32_t count,
			      struct rj_instances_answer *answer)
{
	uint64_t oldest = history->count > RJ_STANDIN_HISTORY_MAX ?
				  history->count - RJ_STANDIN_HISTORY_MAX :
				  0;
	uint64_t from = history->count;

	while (from > oldest &&
	       history->changes[(from - 1) % RJ_STANDIN_HISTORY_MAX]
			       .version_before != known)
		from--;
	if (from-- == oldest || !known)
		return false;
	memset(answer, 0, sizeof(*answer));
	answer->version = rj_instances_version(instances, count);
	answer->since = known;
	answer->total = count;
	answer->instances =
		talloc_array(mem, struct rj_instance, history->count - from);
	answer->gone = talloc_zero_array(mem, struct rj_instance_name,
					 history->count - from);
	assert(answer->instances && answer->gone);
	for (; from < history->count; from++)
		add_change(answer,
			   history->changes[from % RJ_STANDIN_HISTORY_MAX].name,
			   instances, count);
	return true;
}
