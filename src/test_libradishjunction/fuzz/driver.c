/*
 * The libFuzzer entry points. scripts/fuzz builds this file with the name of
 * one target in RJ_FUZZ_TARGET.
 */
#include <assert.h>
#include <sodium.h>

#include "support/fuzz_targets.h"

#ifndef RJ_FUZZ_TARGET
#define RJ_FUZZ_TARGET "config"
#endif

int LLVMFuzzerInitialize(int *argc, char ***argv);
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length);

/*
 * Initialises libsodium, which the parsers need. Returns -1 on failure.
 */
int LLVMFuzzerInitialize(int *argc, char ***argv)
{
	assert(fuzz_target_find(RJ_FUZZ_TARGET));
	return sodium_init() < 0 ? -1 : 0;
}

/*
 * Runs the selected target on one input.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length)
{
	fuzz_target_find(RJ_FUZZ_TARGET)->run(data, length);
	return 0;
}
