/*
 * What differs between two configurations: a JSON patch (RFC 6902) of the
 * operations `add`, `remove` and `replace`, with the digest of the text that
 * it must result in.
 *
 * The result is always the canonical text: compact, the fields of each object
 * in the order of their names. Whoever applies the same change to the same
 * base, however that was written, gets the same bytes.
 */
#ifndef RADISHJUNCTION_CONFIG_CHANGE_H
#define RADISHJUNCTION_CONFIG_CHANGE_H

#include "radishjunction/error.h"
#include "radishjunction/types.h"

/*
 * More is published whole. It bounds the time that a reader spends on one
 * change; every version must keep it, or two readers judge differently.
 */
#define RJ_CONFIG_CHANGE_MAX_BYTES (64 * 1024)

/* A change as it travels; with an empty `patch` there is none. */
struct rj_config_change {
	const char *patch;
	uint8_t digest[RJ_DIGEST_BYTES]; /* of the canonical result */
};

char *rj_config_canonical(void *mem, const char *text);
int rj_config_change_make(void *mem, const char *base, const char *text,
			  struct rj_config_change *change);
char *rj_config_change_apply(void *mem, const char *base,
			     const struct rj_config_change *change,
			     struct rj_error_list *errors);

#endif
