#include "private/cell_log_availability.h"

#include <glib.h>

/*
 * The log is out of reach when it has not answered for so long, and for the
 * shorter time when it turns reads away. In between two answers an instance
 * waits for the owner's heartbeat, every 0.4 s, and pauses for 0.3 s.
 */
#define UNANSWERED_LIMIT_US (1000 * RJ_US_PER_MS)
#define REFUSED_LIMIT_US (200 * RJ_US_PER_MS)
/*
 * When to come back to an instance that cannot reach the log: health checks
 * take it out of rotation within three seconds, so that the next tries reach
 * others. Where that does not help, the longer the log has been away the
 * later, as clients try only a few times.
 */
#define RETRY_AFTER_MIN_MS 1000
#define RETRY_AFTER_MAX_MS 4000
#define RETRY_AFTER_DIVISOR 2

/*
 * Judge by when the log last answered, and by whether it turns reads away.
 * Returns whether the judgement has changed.
 *
 * Load that it answers: an instance that is cut off from the log, alone or
 * with its failure domain, while others serve. Its clients are sent to these
 * at once; held until they give up they would come too late.
 */
bool rj_cell_log_availability_update(
	struct rj_cell_log_availability *availability, uint64_t answered_us,
	bool refuses_reads, uint64_t now_us)
{
	uint64_t limit_us =
		refuses_reads ? REFUSED_LIMIT_US : UNANSWERED_LIMIT_US;
	bool unavailable = now_us >= answered_us + limit_us;

	if (unavailable == (availability->unavailable_since_us != 0))
		return false;
	availability->unavailable_since_us = unavailable ? now_us : 0;
	return true;
}

/*
 * When a client is to come back, in milliseconds.
 */
uint32_t rj_cell_log_availability_retry_after_ms(
	const struct rj_cell_log_availability *availability, uint64_t now_us)
{
	uint64_t unavailable_ms =
		availability->unavailable_since_us ?
			(now_us - availability->unavailable_since_us) /
				RJ_US_PER_MS :
			0;

	return (uint32_t)CLAMP(unavailable_ms / RETRY_AFTER_DIVISOR,
			       RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
}
