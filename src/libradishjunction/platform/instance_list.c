#include "private/instance_list.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

/*
 * Initialize an empty list that is to be fetched in full.
 */
void rj_instance_list_init(struct rj_instance_list *list, void *mem)
{
	memset(list, 0, sizeof(*list));
	list->mem = mem;
}

/* The index of `name`, or `count` if it is not listed. */
static uint32_t index_of(const struct rj_instance_list *list, const char *name)
{
	uint32_t index = 0;

	while (index < list->count &&
	       strcmp(list->lines[index].name, name) != 0)
		index++;
	return index;
}

/* Remove an instance from the list, if it is listed. */
static void remove_instance(struct rj_instance_list *list, const char *name)
{
	uint32_t index = index_of(list, name);

	if (index < list->count)
		list->lines[index] = list->lines[--list->count];
}

/* Add an instance to the list, or replace its entry. */
static void set_instance(struct rj_instance_list *list,
			 const struct rj_instance *instance)
{
	uint32_t index = index_of(list, instance->name);

	if (index == list->count) {
		list->lines = talloc_realloc(list->mem, list->lines,
					     struct rj_instance, ++list->count);
		assert(list->lines);
	}
	list->lines[index] = *instance;
}

/* Replace the whole list. */
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
 * Apply an answer of the platform. Returns whether there is a new list to
 * deliver.
 *
 * Changes are applied only to the version they are based on. An answer that
 * arrives after the answer to a newer query has another base version; applying
 * it would leave an outdated entry in the list permanently. If the length of
 * the list still differs from the platform's, nothing is delivered and the
 * full list is fetched next.
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
