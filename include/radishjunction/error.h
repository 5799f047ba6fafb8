/*
 * Typed errors with messages that name the remedy.
 *
 * The failing function fills an error and its caller reads it. An error owns
 * no memory: it can live on the stack and needs no clean-up. A list collects
 * all errors of one check so that they can be reported together.
 */
#ifndef RADISHJUNCTION_ERROR_H
#define RADISHJUNCTION_ERROR_H

#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>

/* Long enough for a field path, a value and a remedy. */
#define RJ_ERROR_MESSAGE_BYTES 320

enum rj_error_kind {
	RJ_ERR_NONE,
	RJ_ERR_INVALID,
	RJ_ERR_TOO_LARGE,
	RJ_ERR_UNAUTHORIZED,
	RJ_ERR_NOT_FOUND,
	RJ_ERR_CONFLICT,
	RJ_ERR_LEASE_EXPIRED,
	RJ_ERR_UNAVAILABLE,
	RJ_ERR_MALFORMED,
	RJ_ERR_VERSION,
	RJ_ERR_IO,
	RJ_ERR_KIND_COUNT
};

extern const char *const rj_error_kind_string[RJ_ERR_KIND_COUNT];

struct rj_error {
	enum rj_error_kind kind;
	char message[RJ_ERROR_MESSAGE_BYTES];
};

struct rj_error_list {
	struct rj_error *errors; /* talloc array, child of `mem` */
	uint32_t count;
	void *mem;
};

int rj_error_set(struct rj_error *err, enum rj_error_kind kind,
		 const char *format, ...) __attribute__((format(printf, 3, 4)));
void rj_error_list_init(struct rj_error_list *list, void *mem);
void rj_error_list_add(struct rj_error_list *list, enum rj_error_kind kind,
		       const char *format, ...)
	__attribute__((format(printf, 3, 4)));
void rj_error_list_finish(struct rj_error_list *list);

#endif
