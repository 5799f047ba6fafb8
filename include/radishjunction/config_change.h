/*
 * Difference between two configurations: a JSON patch (RFC 6902) with the
 * operations `add`, `remove` and `replace`, and the digest of the resulting
 * text.
 *
 * The result is always the canonical text: compact, with the fields of each
 * object sorted by name. Applying the same change to the same base, however
 * the base was formatted, gives the same bytes.
 */
#ifndef RADISHJUNCTION_CONFIG_CHANGE_H
#define RADISHJUNCTION_CONFIG_CHANGE_H

#include "radishjunction/error.h"
#include "radishjunction/types.h"

/*
 * A larger change is published as a whole configuration. Bounds the time that
 * a reader spends on one change. All versions must use the same limit, or
 * readers would decide differently about the same record.
 */
#define RJ_CONFIG_CHANGE_MAX_BYTES (64 * 1024)

/* A change as transmitted; an empty `patch` means none. */
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
