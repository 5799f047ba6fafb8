/*
 * Deep copies of data that the core's actions point to, for delayed delivery.
 * Each copy is a talloc child of `mem`.
 */
#ifndef SUPPORT_COPY_H
#define SUPPORT_COPY_H

#include "radishjunction/action.h"

struct rj_bytes copy_bytes(void *mem, const struct rj_bytes *bytes);
void copy_record(void *mem, struct rj_record *to, const struct rj_record *from);
struct rj_peer_message *copy_message(void *mem,
				     const struct rj_peer_message *from);

#endif
