/*
 * The parsers of whatever comes from outside, each as a function of bytes.
 *
 * A target parses the bytes and checks that they were taken whole or refused
 * with an error; it keeps nothing. The coverage-guided fuzzer (scripts/fuzz)
 * and the test of the kept inputs share the table.
 */
#ifndef FUZZ_TARGETS_H
#define FUZZ_TARGETS_H

#include <stddef.h>
#include <stdint.h>

struct fuzz_target {
	const char *name; /* also of its folder of kept inputs */
	void (*run)(const uint8_t *data, size_t length);
};

extern const struct fuzz_target fuzz_targets[]; /* ends with a NULL name */
const struct fuzz_target *fuzz_target_find(const char *name);

#endif
