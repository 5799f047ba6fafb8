#include "support/checker_private.h"

#include <inttypes.h>

/*
 * Records that an instance has started with no state (`empty`) or has resumed
 * after a pause. Messages that arrived during the pause count from now on.
 */
void checker_node_resumed(struct checker *checker, uint64_t now_us,
			  uint32_t node, bool empty)
{
	struct checker_node *self = &checker->nodes[node];

	for (uint32_t i = 0; i < CHECKER_WORKERS_MAX; i++) {
		if (empty)
			self->leaving_incarnation[i] = 0;
		if (self->leaving_since_us[i])
			self->leaving_since_us[i] = now_us;
	}
}

/*
 * Records that an instance was notified that a worker leaves.
 */
void checker_leaving_known(struct checker *checker, uint64_t now_us,
			   uint32_t node, uint32_t worker, uint64_t incarnation)
{
	struct checker_node *known = &checker->nodes[node];

	if (known->leaving_incarnation[worker] >= incarnation)
		return;
	known->leaving_incarnation[worker] = incarnation;
	known->leaving_since_us[worker] = now_us;
}

/*
 * Checks a new job that an instance sends to a worker. `contact_us` holds the
 * start of its uninterrupted contact with each other instance, RJ_NEVER_US
 * where there is none.
 */
void checker_job_sent(struct checker *checker, uint64_t now_us, uint32_t node,
		      uint32_t worker, uint64_t incarnation,
		      const uint64_t contact_us[CHECKER_NODES_MAX])
{
	struct checker_node *self = &checker->nodes[node];

	checker->checks[INVARIANT_LEAVING]++;
	for (uint32_t i = 0; i < CHECKER_NODES_MAX; i++) {
		struct checker_node *other = &checker->nodes[i];
		uint64_t since_us = other->leaving_since_us[worker];

		if (other->domain != self->domain ||
		    other->leaving_incarnation[worker] != incarnation ||
		    (i != node && contact_us[i] == RJ_NEVER_US))
			continue;
		if (i != node && contact_us[i] > since_us)
			since_us = contact_us[i];
		if (now_us > since_us + CHECKER_LEAVING_US)
			checker_violation(
				checker, now_us, INVARIANT_LEAVING,
				"node %u sends a job to worker %u, known to "
				"leave for %" PRIu64 " us",
				node, worker,
				now_us - other->leaving_since_us[worker]);
	}
}
