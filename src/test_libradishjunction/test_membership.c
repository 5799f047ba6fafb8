#include <glib.h>
#include <string.h>

#include "private/core_state.h"

#define DOMAINS 8
#define HEARTBEAT_US (100 * RJ_US_PER_S)

/* Whether a peer of `domain` is alive so long after it was heard, as an
 * instance of "a" sees it in a configuration of DOMAINS domains. */
static bool alive_after(const char *domain, uint64_t silence_us)
{
	struct rj_config config = { .domain_count = DOMAINS };
	struct rj_core_state core = { .config = &config };
	struct rj_member_view member = { .connected = true,
					 .heard = true,
					 .heard_us = HEARTBEAT_US };

	rj_name_set(core.domain, "a");
	rj_name_set(member.domain, domain);
	core.now_us = HEARTBEAT_US + silence_us;
	return rj_membership_alive(&core, &member);
}

/*
 * A buyer's quote is not forwarded to another failure domain, and its claims
 * are settled by strangers, though that domain is well.
 * In a large site its heartbeats come seldom, and two are lost.
 * Cause: it was counted dead by the patience of the own domain.
 */
static void test_rare_heartbeats_do_not_mean_dead(void)
{
	uint32_t every = rj_membership_beats_between(DOMAINS);

	g_assert_true(alive_after("a", 3 * RJ_US_PER_S));
	g_assert_false(alive_after("a", 4 * RJ_US_PER_S));
	g_assert_true(alive_after("b", 3 * every * RJ_US_PER_S));
	g_assert_false(alive_after("b", (3 * every + 1) * RJ_US_PER_S));
}

/* Small sites hear each other every second; in large ones what an instance
 * sends to all other domains together stays about the same. */
static void test_heartbeat_rate_between_domains_is_bounded(void)
{
	for (uint32_t domains = 1; domains <= 4; domains++)
		g_assert_cmpuint(rj_membership_beats_between(domains), ==, 1);
	for (uint32_t domains = 5; domains <= 64; domains++)
		g_assert_cmpuint(domains - 1, <=,
				 3 * rj_membership_beats_between(domains));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/membership/seldom_heard",
			test_rare_heartbeats_do_not_mean_dead);
	g_test_add_func("/membership/between_domains",
			test_heartbeat_rate_between_domains_is_bounded);
	return g_test_run();
}
