#include "support/copy.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

/*
 * Copies the bytes. An empty value has NULL data.
 */
struct rj_bytes copy_bytes(void *mem, const struct rj_bytes *bytes)
{
	struct rj_bytes copy = { NULL, 0 };

	if (!bytes->length)
		return copy;
	copy.data = talloc_memdup(mem, bytes->data, bytes->length);
	assert(copy.data);
	copy.length = bytes->length;
	return copy;
}

/*
 * Copies a record with its body, members, result, configuration text and patch.
 */
void copy_record(void *mem, struct rj_record *to, const struct rj_record *from)
{
	*to = *from;
	to->spec.body = copy_bytes(mem, &from->spec.body);
	to->result = copy_bytes(mem, &from->result);
	to->members = NULL;
	if (from->member_count) {
		to->members = talloc_memdup(mem, from->members,
					    from->member_count *
						    sizeof(*from->members));
		assert(to->members);
	}
	if (from->config_text)
		to->config_text = talloc_strdup(mem, from->config_text);
	if (from->config_change.patch)
		to->config_change.patch =
			talloc_strdup(mem, from->config_change.patch);
}

/*
 * Copies a peer message with the data that it points to.
 */
struct rj_peer_message *copy_message(void *mem,
				     const struct rj_peer_message *from)
{
	struct rj_peer_message *to = talloc_memdup(mem, from, sizeof(*from));

	assert(to);
	if (to->kind == RJ_PEER_CONFIG)
		to->u.config.text = talloc_strdup(to, from->u.config.text);
	if (to->kind == RJ_PEER_CONFIG && from->u.config.change.patch)
		to->u.config.change.patch =
			talloc_strdup(to, from->u.config.change.patch);
	if (to->kind == RJ_PEER_FORWARD)
		to->u.forward.spec.body =
			copy_bytes(to, &from->u.forward.spec.body);
	if (to->kind == RJ_PEER_FORWARD_ANSWER)
		to->u.forward_answer.answer.result =
			copy_bytes(to, &from->u.forward_answer.answer.result);
	return to;
}
