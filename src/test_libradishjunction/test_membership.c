#include <glib.h>
#include <string.h>

#include "private/core_state.h"

#define DOMAINS 8
#define HEARTBEAT_US (100 * RJ_US_PER_S)

/*
 * Returns whether a peer of `domain` still counts as alive after this silence,
 * for an instance of "a" in a configuration of DOMAINS domains.
 */
static bool alive_after(const char *domain, uint64_t silence_us)
{
	struct rj_config config = { .domain_count = DOMAINS };
	struct rj_core_state core = { .config = &config };
	struct rj_member_view member = { .connected = true,
					 .heartbeat_seen = true,
					 .last_heartbeat_us = HEARTBEAT_US };

	rj_name_set(core.domain, "a");
	rj_name_set(member.domain, domain);
	core.now_us = HEARTBEAT_US + silence_us;
	return rj_membership_alive(&core, &member);
}

/*
 * Peers of other domains must be judged by the interval of their own
 * heartbeats. In a large site these are rare, and two are lost. Judged by the
 * timeout within a domain, the peer counts as dead, and its claims are settled
 * by others.
 */
static void test_rare_heartbeats_do_not_mean_dead(void)
{
	uint32_t every = rj_membership_cross_domain_interval(DOMAINS);

	g_assert_true(alive_after("a", 3 * RJ_US_PER_S));
	g_assert_false(alive_after("a", 4 * RJ_US_PER_S));
	g_assert_true(alive_after("b", 3 * every * RJ_US_PER_S));
	g_assert_false(alive_after("b", (3 * every + 1) * RJ_US_PER_S));
}

/*
 * The total rate of an instance's heartbeats to other domains stays about the
 * same in large sites; in small sites each peer gets one every second.
 */
static void test_heartbeat_rate_between_domains_is_bounded(void)
{
	for (uint32_t domains = 1; domains <= 4; domains++)
		g_assert_cmpuint(rj_membership_cross_domain_interval(domains),
				 ==, 1);
	for (uint32_t domains = 5; domains <= 64; domains++)
		g_assert_cmpuint(
			domains - 1, <=,
			3 * rj_membership_cross_domain_interval(domains));
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
