/*
 * The entry points that libFuzzer calls; scripts/fuzz builds this with one
 * target's name in RJ_FUZZ_TARGET.
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
 * Start what the parsers use.
 */
int LLVMFuzzerInitialize(int *argc, char ***argv)
{
	assert(fuzz_target_find(RJ_FUZZ_TARGET));
	return sodium_init() < 0 ? -1 : 0;
}

/*
 * Run one input.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length)
{
	fuzz_target_find(RJ_FUZZ_TARGET)->run(data, length);
	return 0;
}
