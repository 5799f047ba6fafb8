/*
 * Who owns what, by rendezvous hashing over the instances believed alive.
 * Nobody votes: two owners for a while cost time, since the workers' leases
 * and the log's order decide.
 */
#include <string.h>

#include "private/core_state.h"

/* An instance that alone has lost the log for so long gives its racks away.
 * An outage, which strikes all, moves none. */
#define CUT_OFF_US (10 * RJ_US_PER_S)
/* Above every weight of an instance that is cut off. */
#define LOG_WEIGHT (1ULL << 63)

/*
 * The weight of an instance for a key: the highest one owns it. One that is
 * cut off from the log comes after all others.
 *
 * Guards against an owner that alone is cut off from the platform: it would
 * refuse the charges of a whole rack, though its peers could serve them.
 */
uint64_t rj_ownership_weight(const char *name, uint64_t key, bool cut_off)
{
	uint64_t base = rj_hash64_string(name, key) >> 1;

	return cut_off ? base : base | LOG_WEIGHT;
}

/* The weight of a peer. */
static uint64_t peer_weight(const struct rj_member_view *member, uint64_t key)
{
	return rj_ownership_weight(member->name, key, member->cut_off);
}

/*
 * Whether this instance alone has lost the log, for a while.
 */
bool rj_ownership_cut_off(const struct rj_core_state *core)
{
	return core->membership.log_isolated_us &&
	       core->now_us > core->membership.log_isolated_us + CUT_OFF_US;
}

/* The weight of this instance; one that stops owns what nobody else could. */
static uint64_t own_weight(const struct rj_core_state *core, uint64_t key)
{
	return core->stopping ? 0 :
				rj_ownership_weight(core->name, key,
						    rj_ownership_cut_off(core));
}

/*
 * Whether this instance owns `key` in `domain`, by rendezvous hashing over
 * the instances believed alive there and not draining. Nobody votes: two
 * owners for a while cost time, since leases and the log decide. An instance
 * of another failure domain owns nothing, unless nobody of `domain` is
 * alive: then the instances of all domains share its keys. An instance that
 * stops owns only what nobody else could.
 */
bool rj_ownership_owns(const struct rj_core_state *core, const char *domain,
		       uint64_t key)
{
	uint64_t own = own_weight(core, key);
	bool home = !strcmp(domain, core->domain);
	bool owns = true;
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &core->membership.members) {
		const struct rj_member_view *member =
			RJ_CONTAINER(at, struct rj_member_view, link);
		bool there = !strcmp(member->domain, domain);

		if (!rj_membership_accepts_jobs(core, member))
			continue;
		if (there && !home)
			return false;
		if (there == home && peer_weight(member, key) > own)
			owns = false;
	}
	return owns;
}

/*
 * The peer of this failure domain that owns `key`, or NULL when this instance
 * owns it.
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
