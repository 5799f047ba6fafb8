/*
 * Fuzz targets for the parsers of external input, each a function of bytes.
 *
 * A target parses the bytes and asserts that they were either accepted as a
 * whole or rejected with an error. It keeps no state. The coverage-guided
 * fuzzer (scripts/fuzz) and the test of the seed corpus share the table.
 */
#ifndef FUZZ_TARGETS_H
#define FUZZ_TARGETS_H

#include <stddef.h>
#include <stdint.h>

struct fuzz_target {
	const char *name; /* also the name of its corpus directory */
	void (*run)(const uint8_t *data, size_t length);
};

extern const struct fuzz_target fuzz_targets[]; /* terminated by a NULL name */
void fuzz_requests(const uint8_t *data, size_t length);
const struct fuzz_target *fuzz_target_find(const char *name);

#endif
