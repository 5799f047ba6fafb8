/*
 * JSON encoding of worker calls and replies, for both ends of the worker
 * protocol (docs/WORKER-PROTOCOL.md).
 *
 * Encoders return text that is a talloc child of `mem`; decoders fill a
 * caller-provided struct whose bytes and lists are talloc children of `mem`.
 */
#ifndef RADISHJUNCTION_PRIVATE_WORKER_WIRE_H
#define RADISHJUNCTION_PRIVATE_WORKER_WIRE_H

#include "radishjunction/error.h"
#include "radishjunction/worker.h"

char *rj_worker_wire_encode_call(void *mem, const struct rj_worker_call *call);
int rj_worker_wire_decode_call(void *mem, const char *text,
			       struct rj_worker_call *call,
			       struct rj_error *err);
char *rj_worker_wire_encode_reply(void *mem, const struct rj_worker_call *call,
				  const struct rj_worker_reply *reply);
int rj_worker_wire_decode_reply(void *mem, const char *text,
				const struct rj_worker_call *call,
				struct rj_worker_reply *reply,
				struct rj_error *err);

#endif
