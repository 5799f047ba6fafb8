/*
 * A blocking HTTP client for the subcommands: one request at a time.
 *
 * `http_call` waits for the answer; the caller releases the answer's JSON with
 * `json_decref`.
 */
#ifndef HTTP_H
#define HTTP_H

#include <jansson.h>

#include "radishjunction/types.h"

enum http_outcome {
	HTTP_ANSWERED, /* a complete answer of any status */
	HTTP_UNREACHABLE, /* certainly not received by the server */
	HTTP_LOST, /* no usable answer; may have taken effect */
};

struct http_call {
	const char *method;
	struct rj_address address;
	const char *path;
	const char *token; /* bearer token, or NULL */
	const char *key; /* idempotency key, or NULL */
	const char *body; /* JSON, or NULL */
	uint32_t timeout_ms; /* until the complete answer */
};

struct http_answer {
	enum http_outcome outcome;
	long status;
	json_t *json; /* NULL if the answer is not JSON */
	char detail[128]; /* error text, unless answered */
};

void http_call(const struct http_call *call, struct http_answer *answer);

#endif
