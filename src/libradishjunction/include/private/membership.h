/*
 * The other instances as they are known here, who is believed alive, and who
 * owns what. All of it may be wrong: leases and the log's order decide.
 */
#ifndef RADISHJUNCTION_PRIVATE_MEMBERSHIP_H
#define RADISHJUNCTION_PRIVATE_MEMBERSHIP_H

#include <stdbool.h>
#include "private/list.h"
#include "private/timer.h"
#include "radishjunction/core.h"
#include "radishjunction/peer_message.h"

struct rj_core_state;

struct rj_rack_summary {
	struct rj_list link;
	uint32_t rack;
	uint64_t owner;
	uint64_t version;
	uint32_t worker_count;
	struct rj_resources free[RJ_RACK_WORKERS_MAX];
};

/* Another instance, as far as it is known here. */
struct rj_member_view {
	struct rj_list link;
	char name[RJ_NAME_BYTES];
	char domain[RJ_NAME_BYTES];
	struct rj_address address;
	bool link_wanted; /* a link to it is kept */
	bool connected;
	bool heartbeat_seen; /* a heartbeat came since the link stood */
	bool draining;
	bool log_usable;
	bool cut_off; /* it alone has lost the log */
	bool listed; /* by the platform or the settings */
	bool in_settings; /* tried for good */
	uint64_t incarnation;
	uint64_t last_heartbeat_us;
	uint64_t config_revision;
	uint32_t queued;
	uint64_t wait_us;
	uint64_t log_from; /* see struct rj_peer_heartbeat */
	uint64_t log_next;
	bool config_changes; /* it takes changes of configuration */
	struct rj_list summaries;
	/* Messages but for heartbeats since the link stands. */
	uint64_t sent;
	uint64_t received;
	uint64_t lost; /* of the peer's */
	uint64_t lost_at_peer; /* of ours, as the peer says */
};

struct rj_membership {
	struct rj_list members; /* of all failure domains, without this one */
	uint32_t count;
	struct rj_timer heartbeat;
	uint64_t heartbeats_sent; /* heartbeats so far */
	struct rj_timer list;
	uint64_t view_digest;
	uint64_t
		log_isolated_us; /* since when only peers have the log; 0: not so */
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
