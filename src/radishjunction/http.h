/*
 * One HTTP request at a time, as the operators' and callers' subcommands
 * need it.
 *
 * `http_call` waits for the answer; the answer's JSON is the caller's to
 * give back with `json_decref`.
 */
#ifndef HTTP_H
#define HTTP_H

#include <jansson.h>

#include "radishjunction/types.h"

enum http_outcome {
	HTTP_ANSWERED, /* a whole answer, of whatever status */
	HTTP_UNREACHABLE, /* surely not received by the other side */
	HTTP_LOST, /* may have taken effect */
};

struct http_call {
	const char *method;
	struct rj_address address;
	const char *path;
	const char *token; /* NULL without */
	const char *key; /* idempotency key; NULL without */
	const char *body; /* NULL without */
	uint32_t timeout_ms; /* to the whole answer */
};

struct http_answer {
	enum http_outcome outcome;
	long status;
	json_t *json; /* NULL when the answer was no JSON */
	char detail[128]; /* why there is no answer */
};

void http_call(const struct http_call *call, struct http_answer *answer);

#endif
