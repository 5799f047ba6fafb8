#include "private/cell_acquire.h"

#include <glib.h>
#include <math.h>

#include "radishjunction/types.h"

/* Number of instances up to which the first delay stays within the window. It
 * enters only by its logarithm. */
#define INSTANCES_MAX 10000.0
/* Length of the window in answers of the log. A record is seen by the others
 * two answers after its delay has passed: the read that precedes the record,
 * and its append. */
#define WINDOW_ANSWERS 12
#define WINDOW_MIN_US (64 * RJ_US_PER_MS)
#define WINDOW_MAX_US (3 * RJ_US_PER_S)

/* Returns a number in (0, 1] that depends on the instance and the token. */
static double fraction_of(const char *name, uint64_t token)
{
	uint64_t hash = rj_hash64_string(name, token);

	return ((double)(hash >> 11) + 1) / (double)(UINT64_C(1) << 53);
}

/*
 * Returns how long instance `name` waits, beyond the owner's timeout, before it
 * tries to acquire the cell from the owner with `token`. `answer_us` is the
 * time that the log takes to answer.
 *
 * The delays are distributed exponentially towards the end of a window, so that
 * the number of instances that try within the first ones' answer times does not
 * grow with the number of instances. With evenly distributed delays it would:
 * hundreds of records would keep the log from answering, and the cell would
 * change hands with each.
 */
uint64_t rj_cell_acquire_delay_us(const char *name, uint64_t token,
				  uint64_t answer_us)
{
	uint64_t window_us =
		CLAMP(WINDOW_ANSWERS * answer_us, WINDOW_MIN_US, WINDOW_MAX_US);
	double part = 1 + log(fraction_of(name, token)) / log(INSTANCES_MAX);

	return (uint64_t)((double)window_us * MAX(part, 0));
}
