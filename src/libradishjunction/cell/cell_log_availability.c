#include "private/cell_log_availability.h"

#include <glib.h>

/*
 * The log is unavailable when it has not answered for this long; the shorter
 * limit applies when it refuses reads. Between two answers an instance waits
 * for the owner's heartbeat, every 0.4 s, and pauses for 0.3 s.
 */
#define UNANSWERED_LIMIT_US (1000 * RJ_US_PER_MS)
#define REFUSED_LIMIT_US (200 * RJ_US_PER_MS)
/*
 * Retry-After of an instance that cannot reach the log. Health checks take it
 * out of rotation within three seconds, so that later retries reach other
 * instances. While the log stays unavailable the delay grows, as clients retry
 * only a few times.
 */
#define RETRY_AFTER_MIN_MS 1000
#define RETRY_AFTER_MAX_MS 4000
#define RETRY_AFTER_DIVISOR 2

/*
 * Updates the state from the time of the log's last answer, and from whether it
 * refuses reads. Returns whether the state has changed.
 *
 * If an instance is cut off from the log, alone or with its failure domain,
 * others may still be able to serve its clients. They are sent there at once,
 * as clients that are kept waiting until they time out would arrive too late.
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
 * Returns the Retry-After delay for clients, in milliseconds.
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
