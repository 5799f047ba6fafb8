#include "private/cell_admit.h"

#include <string.h>

/*
 * Fill in what the entries, and an heir, are told of each queue that work has
 * been done for.
 */
void rj_cell_admit_shares(const struct rj_cell_owner *owner,
			  struct rj_cell_beat *beat)
{
	const struct rj_cell_config *config = owner->config;

	beat->share_count = 0;
	for (uint32_t i = 0; config && i < config->queue_count &&
			     beat->share_count < RJ_CELL_SHARES_MAX;
	     i++) {
		struct rj_cell_share *share = &beat->shares[beat->share_count];

		memset(share, 0, sizeof(*share));
		share->mean_ms = rj_cell_forecast_mean_ms(
			&owner->forecast, config->queues[i].name);
		if (!share->mean_ms)
			continue;
		memcpy(share->queue, config->queues[i].name,
		       sizeof(share->queue));
		beat->share_count++;
	}
}
