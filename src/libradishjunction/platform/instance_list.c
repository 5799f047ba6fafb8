#include "private/instance_list.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

/*
 * Start without a list.
 */
void rj_instance_list_init(struct rj_instance_list *list, void *mem)
{
	memset(list, 0, sizeof(*list));
	list->mem = mem;
}

/* Where `name` stands, or `count`. */
static uint32_t index_of(const struct rj_instance_list *list, const char *name)
{
	uint32_t index = 0;

	while (index < list->count &&
	       strcmp(list->lines[index].name, name) != 0)
		index++;
	return index;
}

/* Take an instance out of the list, if it stands there. */
static void remove_instance(struct rj_instance_list *list, const char *name)
{
	uint32_t index = index_of(list, name);

	if (index < list->count)
		list->lines[index] = list->lines[--list->count];
}

/* Put an instance into the list, or its new line in place of the old. */
static void set_instance(struct rj_instance_list *list,
			 const struct rj_instance *line)
{
	uint32_t index = index_of(list, line->name);

	if (index == list->count) {
		list->lines = talloc_realloc(list->mem, list->lines,
					     struct rj_instance, ++list->count);
		assert(list->lines);
	}
	list->lines[index] = *line;
}

/* Take the whole list. */
static void replace_all(struct rj_instance_list *list,
			const struct rj_instances_answer *answer)
{
	talloc_free(list->lines);
	list->lines =
		talloc_array(list->mem, struct rj_instance, answer->count);
	assert(list->lines);
	if (answer->count)
		memcpy(list->lines, answer->instances,
		       answer->count * sizeof(*list->lines));
	list->count = answer->count;
	list->version = answer->version;
}

/*
 * Take what the platform answered. Returns whether there is a list to be
 * told on.
 *
 * Guards against an answer that comes late, after one to a newer question:
 * its changes are against a version that is no longer held here, and the list
 * would hold a line that has been replaced, for good. Changes are taken only
 * against the version held. Should the list still not be as long as the
 * platform says, nobody is told, and it is asked for whole.
 */
bool rj_instance_list_apply(struct rj_instance_list *list,
			    const struct rj_instances_answer *answer)
{
	if (answer->unchanged)
		return false;
	if (!answer->since) {
		replace_all(list, answer);
		return true;
	}
	if (answer->since != list->version)
		return false;
	for (uint32_t i = 0; i < answer->gone_count; i++)
		remove_instance(list, answer->gone[i].name);
	for (uint32_t i = 0; i < answer->count; i++)
		set_instance(list, &answer->instances[i]);
	list->version = list->count == answer->total ? answer->version : 0;
	return list->version != 0;
}
