#include "support/checker_private.h"

#include <assert.h>
#include <inttypes.h>
#include <string.h>

/*
 * Records a publication that the order of the log makes the accepted one.
 */
void checker_config_accepted(struct checker *checker, uint64_t now_us,
			     uint64_t revision, const char *id)
{
	assert(revision == checker->config_ids->len + 1);
	g_ptr_array_add(checker->config_ids, g_strdup(id));
	checker->revision = revision;
	checker->revision_us = now_us;
}

/*
 * Records that an instance forwards a configuration as the accepted one of a
 * revision.
 */
void checker_config_forwarded(struct checker *checker, uint64_t now_us,
			      uint32_t node, uint64_t revision, const char *id)
{
	const char *accepted = NULL;

	if (revision && revision <= checker->config_ids->len)
		accepted = checker->config_ids->pdata[revision - 1];
	checker->checks[INVARIANT_CONFIG]++;
	if (!accepted || strcmp(accepted, id) != 0)
		checker_violation(
			checker, now_us, INVARIANT_CONFIG,
			"node %u holds %s for revision %" PRIu64 ", not %s",
			node, id, revision, accepted ? accepted : "none");
}

/*
 * Records the revision that an instance reports to be in force.
 */
void checker_config_in_force(struct checker *checker, uint64_t now_us,
			     uint32_t node, uint64_t incarnation,
			     uint64_t revision)
{
	struct checker_node *known = &checker->nodes[node];

	checker->checks[INVARIANT_CONFIG]++;
	if (known->incarnation != incarnation) {
		known->incarnation = incarnation;
		known->revision = 0;
	}
	if (revision > checker->revision)
		checker_violation(checker, now_us, INVARIANT_CONFIG,
				  "node %u has revision %" PRIu64
				  ", which was not accepted",
				  node, revision);
	if (revision < known->revision)
		checker_violation(checker, now_us, INVARIANT_CONFIG,
				  "node %u went back from revision %" PRIu64
				  " to %" PRIu64,
				  node, known->revision, revision);
	if (revision > known->revision && revision == checker->revision) {
		uint64_t took_us = now_us - checker->revision_us;

		g_array_append_val(checker->settle_us, took_us);
	}
	known->revision = revision;
}

/*
 * Records whether an instance can reach the platform.
 */
void checker_node_platform(struct checker *checker, uint64_t now_us,
			   uint32_t node, bool reachable)
{
	struct checker_node *known = &checker->nodes[node];

	if (!reachable)
		known->platform_since_us = RJ_NEVER_US;
	else if (known->platform_since_us == RJ_NEVER_US)
		known->platform_since_us = now_us;
}

/*
 * Sets the start of an instance's contact with a peer that has reached the
 * platform ever since; RJ_NEVER_US if there is no such peer.
 */
void checker_node_peer(struct checker *checker, uint32_t node,
		       uint64_t since_us)
{
	checker->nodes[node].peer_since_us = since_us;
}

/*
 * Checks that each instance runs the newest configuration within
 * CHECKER_CONFIG_US of being able to read it from the platform or a peer.
 */
void checker_config_tick(struct checker *checker, uint64_t now_us)
{
	for (uint32_t i = 0; i < CHECKER_NODES_MAX; i++) {
		struct checker_node *known = &checker->nodes[i];
		uint64_t since_us =
			MIN(known->platform_since_us, known->peer_since_us);

		if (since_us == RJ_NEVER_US ||
		    known->revision >= checker->revision ||
		    known->late_reported == checker->revision)
			continue;
		since_us = MAX(since_us, checker->revision_us);
		if (now_us <= since_us + CHECKER_CONFIG_US)
			continue;
		checker_violation(checker, now_us, INVARIANT_CONFIG,
				  "node %u has revision %" PRIu64
				  ", not %" PRIu64,
				  i, known->revision, checker->revision);
		known->late_reported = checker->revision;
	}
}
