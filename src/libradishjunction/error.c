#include "radishjunction/error.h"

#include <assert.h>
#include <stdio.h>
#include <talloc.h>

const char *const rj_error_kind_string[RJ_ERR_KIND_COUNT] = {
	[RJ_ERR_NONE] = "none",
	[RJ_ERR_INVALID] = "invalid",
	[RJ_ERR_TOO_LARGE] = "too_large",
	[RJ_ERR_UNAUTHORIZED] = "unauthorized",
	[RJ_ERR_NOT_FOUND] = "not_found",
	[RJ_ERR_CONFLICT] = "conflict",
	[RJ_ERR_LEASE_EXPIRED] = "lease_lapsed",
	[RJ_ERR_UNAVAILABLE] = "unavailable",
	[RJ_ERR_MALFORMED] = "malformed",
	[RJ_ERR_VERSION] = "version",
	[RJ_ERR_IO] = "io",
};

/*
 * Fill `err`, which may be NULL, and return -1, so that a caller can fail in
 * one statement. The message names the field, the value and the remedy; it is
 * truncated to RJ_ERROR_MESSAGE_BYTES.
 */
int rj_error_set(struct rj_error *err, enum rj_error_kind kind,
		 const char *format, ...)
{
	va_list args;

	if (!err)
		return -1;
	err->kind = kind;
	va_start(args, format);
	vsnprintf(err->message, sizeof(err->message), format, args);
	va_end(args);
	return -1;
}

/*
 * Initialise an empty list whose errors are talloc children of `mem`.
 */
void rj_error_list_init(struct rj_error_list *list, void *mem)
{
	list->errors = NULL;
	list->count = 0;
	list->mem = mem;
}

/*
 * Append one error; the message is as for rj_error_set.
 */
void rj_error_list_add(struct rj_error_list *list, enum rj_error_kind kind,
		       const char *format, ...)
{
	struct rj_error *err;
	va_list args;

	list->errors = talloc_realloc(list->mem, list->errors, struct rj_error,
				      list->count + 1);
	assert(list->errors);
	err = &list->errors[list->count++];
	err->kind = kind;
	va_start(args, format);
	vsnprintf(err->message, sizeof(err->message), format, args);
	va_end(args);
}

/*
 * Free the errors; the list is empty and can be used again.
 */
void rj_error_list_finish(struct rj_error_list *list)
{
	TALLOC_FREE(list->errors);
	list->count = 0;
}
