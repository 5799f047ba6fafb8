#include "private/cell_admit.h"

/*
 * Fill in what the entries are told of each queue.
 */
void rj_cell_admit_shares(const struct rj_cell_owner *owner,
			  struct rj_cell_beat *beat)
{
	beat->share_count = 0;
}
