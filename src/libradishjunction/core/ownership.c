/*
 * Ownership of keys by rendezvous hashing over the instances believed alive.
 * There is no consensus: two owners for a short time cost some delay but no
 * correctness, since worker leases and the order of the log decide.
 */
#include <string.h>

#include "private/core_state.h"

/*
 * An instance that alone has lost the log for this long gives up its racks. In
 * an outage that affects all instances, ownership does not move.
 */
#define LOG_LOST_MIN_US (10 * RJ_US_PER_S)
/* Set in the weight of instances that can use the log; exceeds all others. */
#define WEIGHT_LOG_AVAILABLE (1ULL << 63)

/*
 * Returns the rendezvous weight of an instance for a key; the highest weight
 * owns it. Instances that are cut off from the log rank after all others.
 *
 * Guards against an owner that alone is cut off from the platform: it would
 * refuse all jobs of its racks that need the log although its peers could serve
 * them.
 */
uint64_t rj_ownership_weight(const char *name, uint64_t key, bool cut_off)
{
	uint64_t base = rj_hash64_string(name, key) >> 1;

	return cut_off ? base : base | WEIGHT_LOG_AVAILABLE;
}

static uint64_t peer_weight(const struct rj_member_view *member, uint64_t key)
{
	return rj_ownership_weight(member->name, key, member->cut_off);
}

/*
 * Whether only this instance has lost the log, for at least LOG_LOST_MIN_US.
 */
bool rj_ownership_cut_off(const struct rj_core_state *core)
{
	return core->membership.log_isolated_us &&
	       core->now_us >
		       core->membership.log_isolated_us + LOG_LOST_MIN_US;
}

/*
 * Returns the weight of this instance. A stopping instance has weight 0 and
 * owns only keys that no other instance can own.
 */
static uint64_t own_weight(const struct rj_core_state *core, uint64_t key)
{
	return core->stopping ? 0 :
				rj_ownership_weight(core->name, key,
						    rj_ownership_cut_off(core));
}

/*
 * Whether this instance owns `key` in `domain`. Candidates are the instances of
 * `domain` that are believed alive and not draining. If there are none, the
 * instances of all domains share its keys; otherwise an instance of another
 * failure domain owns nothing.
 */
bool rj_ownership_owns(const struct rj_core_state *core, const char *domain,
		       uint64_t key)
{
	uint64_t own = own_weight(core, key);
	bool own_domain = !strcmp(domain, core->domain);
	bool owns = true;
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &core->membership.members) {
		const struct rj_member_view *member =
			RJ_CONTAINER(at, struct rj_member_view, link);
		bool same_domain = !strcmp(member->domain, domain);

		if (!rj_membership_accepts_jobs(core, member))
			continue;
		if (same_domain && !own_domain)
			return false;
		if (same_domain == own_domain && peer_weight(member, key) > own)
			owns = false;
	}
	return owns;
}

/*
 * Returns the peer of this failure domain that owns `key`, or NULL if this
 * instance owns it.
 */
const char *rj_ownership_owner(struct rj_core_state *core, uint64_t key)
{
	uint64_t highest = own_weight(core, key);
	const char *owner = NULL;
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &core->membership.members) {
		const struct rj_member_view *member =
			RJ_CONTAINER(at, struct rj_member_view, link);

		if (strcmp(member->domain, core->domain) ||
		    !rj_membership_accepts_jobs(core, member) ||
		    peer_weight(member, key) <= highest)
			continue;
		highest = peer_weight(member, key);
		owner = member->name;
	}
	return owner;
}
