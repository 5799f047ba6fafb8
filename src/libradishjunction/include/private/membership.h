/*
 * This instance's view of the other instances: which are believed alive, and
 * who owns what. The view may be wrong; worker leases and the order of the log
 * prevent conflicting decisions.
 */
#ifndef RADISHJUNCTION_PRIVATE_MEMBERSHIP_H
#define RADISHJUNCTION_PRIVATE_MEMBERSHIP_H

#include <stdbool.h>
#include "private/list.h"
#include "private/timer.h"
#include "radishjunction/core.h"
#include "radishjunction/peer_message.h"

struct rj_core_state;

/* A peer's last summary of the free capacity in a rack that it owns. */
struct rj_rack_summary {
	struct rj_list link;
	uint32_t rack;
	uint64_t owner; /* its incarnation */
	uint64_t version; /* rises with each summary */
	uint32_t worker_count;
	struct rj_resources free[RJ_RACK_WORKERS_MAX];
};

/* Another instance, as known here. */
struct rj_member_view {
	struct rj_list link;
	char name[RJ_NAME_BYTES];
	char domain[RJ_NAME_BYTES];
	struct rj_address address;
	bool link_wanted; /* a link to it is maintained */
	bool connected;
	bool heartbeat_seen; /* since the link came up */
	bool draining;
	bool log_usable;
	bool cut_off; /* it lost the log while its peers still have it */
	bool listed; /* by the platform or the settings */
	bool in_settings; /* reconnected to without limit */
	uint64_t incarnation;
	uint64_t last_heartbeat_us;
	uint64_t config_revision;
	uint32_t queued;
	uint64_t wait_us;
	uint64_t log_from; /* see struct rj_peer_heartbeat */
	uint64_t log_next;
	bool config_changes; /* it accepts configuration changes */
	struct rj_list summaries;
	/* Messages other than heartbeats since the link came up. */
	uint64_t sent;
	uint64_t received;
	uint64_t lost; /* from the peer */
	uint64_t lost_at_peer; /* from this instance, as reported by the peer */
};

struct rj_membership {
	struct rj_list members; /* all domains, without this instance */
	uint32_t count;
	struct rj_timer heartbeat;
	uint64_t heartbeats_sent; /* rounds so far */
	struct rj_timer list; /* next request of the instance list */
	uint64_t view_digest;
	uint64_t log_isolated_us; /* since when only peers have the log, or 0 */
};

/* controllers/membership_controller.c */
void rj_membership_init(struct rj_core_state *core,
			const struct rj_core_options *options);
void rj_membership_start(struct rj_core_state *core);
void rj_membership_apply_list(struct rj_core_state *core,
			      const struct rj_instance *list, uint32_t count);
void rj_membership_count_received(struct rj_core_state *core, const char *name);
void rj_membership_link_up(struct rj_core_state *core, const char *name);
void rj_membership_link_down(struct rj_core_state *core, const char *name);
void rj_membership_receive_heartbeat(struct rj_core_state *core,
				     const char *name,
				     const struct rj_peer_heartbeat *heartbeat);
void rj_membership_receive_summary(struct rj_core_state *core, const char *name,
				   const struct rj_peer_summary *summary);
void rj_membership_reapply_summaries(struct rj_core_state *core);
uint32_t rj_membership_cross_domain_interval(uint32_t domains);
void rj_membership_send_heartbeats(struct rj_core_state *core);
struct rj_member_view *rj_membership_find(struct rj_core_state *core,
					  const char *name);
bool rj_membership_alive(const struct rj_core_state *core,
			 const struct rj_member_view *member);
bool rj_membership_accepts_jobs(const struct rj_core_state *core,
				const struct rj_member_view *member);
bool rj_membership_incarnation_alive(const struct rj_core_state *core,
				     uint64_t incarnation);
uint32_t rj_membership_worker_connections(const struct rj_core_state *core);
const char *rj_membership_name_by_incarnation(const struct rj_core_state *core,
					      uint64_t incarnation);
struct rj_peer_message *rj_membership_send(struct rj_core_state *core,
					   const char *peer,
					   enum rj_peer_message_kind kind);
void rj_membership_send_domain(struct rj_core_state *core,
			       const struct rj_peer_message *message);

/* ownership.c */
uint64_t rj_ownership_weight(const char *name, uint64_t key, bool cut_off);
bool rj_ownership_cut_off(const struct rj_core_state *core);
bool rj_ownership_owns(const struct rj_core_state *core, const char *domain,
		       uint64_t key);
const char *rj_ownership_owner(struct rj_core_state *core, uint64_t key);

#endif
