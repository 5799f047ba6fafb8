/*
 * Delays of the instances that try to acquire a cell without an owner.
 *
 * Each instance decides by itself when it tries; few of them should try before
 * the first one's record is read by the others, however many there are.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_ACQUIRE_H
#define RADISHJUNCTION_PRIVATE_CELL_ACQUIRE_H

#include <stdint.h>

uint64_t rj_cell_acquire_delay_us(const char *name, uint64_t token,
				  uint64_t answer_us);

#endif
