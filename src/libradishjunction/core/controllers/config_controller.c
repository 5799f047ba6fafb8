/*
 * Which configuration is in force here: from the log, or from a peer when
 * the log cannot be read; and carried forward before the log drops it.
 */
#include <string.h>
#include <talloc.h>

#include "private/core_state.h"

/* An append that was lost shows within this time, or is made again. */
#define CARRY_RETRY_US (10 * RJ_US_PER_S)

/* Whether two configurations have the same classes for the same accounts, so
 * that a task means the same under both. */
static bool same_task_semantics(const struct rj_config *a,
				const struct rj_config *b)
{
	if (a->class_count != b->class_count ||
	    a->account_count != b->account_count)
		return false;
	for (uint32_t i = 0; i < a->class_count; i++) {
		const struct rj_job_class *class = &a->classes[i];
		const struct rj_job_class *other =
			rj_config_class(b, class->name);

		if (!other || class->priority != other->priority ||
		    class->idempotent != other->idempotent ||
		    class->checkpoint != other->checkpoint)
			return false;
	}
	for (uint32_t i = 0; i < a->account_count; i++)
		if (strcmp(a->accounts[i].name, b->accounts[i].name) != 0)
			return false;
	return true;
}

/* A newer configuration came into force: every part that uses it is told,
 * and so are the peers, who may not be able to read the log. */
static void activate(struct rj_core_state *core, const char *source)
{
	struct rj_list *at;
	struct rj_list *next;
	bool same = core->config &&
		    same_task_semantics(core->config, core->config_log.config);

	if (core->config)
		rj_config_unref(core->config);
	core->config = rj_config_ref(core->config_log.config);
	rj_core_count(core, RJ_COUNT_CONFIGS_ACCEPTED);
	rj_core_log(core, RJ_LOG_CONFIG, RJ_REASON_NONE, NULL, source);
	core->planner->ops->configure(core->planner, core->config, core->domain,
				      core->now_us);
	rj_racks_update_ownership(core); /* the groups of racks may differ */
	if (!same)
		rj_upstreams_request_full_reports(core);
	core->jobs.plan_wanted = true;
	RJ_FOR_EACH (at, next, &core->membership.members) {
		const struct rj_member_view *member =
			RJ_CONTAINER(at, struct rj_member_view, link);

		if (member->connected &&
		    member->config_revision < core->config->revision)
			rj_config_controller_send(core, member->name);
	}
}

/*
 * Apply what a read of the `config` stream brought.
 */
void rj_config_controller_apply_records(struct rj_core_state *core,
					const struct rj_records *records)
{
	struct rj_error_list errors;

	rj_config_log_batch(&core->config_log, records->oldest);
	rj_config_log_skip(&core->config_log, records->head);
	for (uint32_t i = 0; i < records->count; i++) {
		enum rj_config_verdict verdict;

		rj_error_list_init(&errors, core->actions->mem);
		verdict = rj_config_log_apply(&core->config_log,
					      &records->records[i],
					      core->now_us, &errors);
		if (verdict == RJ_CONFIG_ACCEPTED)
			activate(core, "log");
		else if (verdict == RJ_CONFIG_STALE ||
			 verdict == RJ_CONFIG_BAD_TEXT ||
			 verdict == RJ_CONFIG_BAD_CHANGE)
			rj_core_count(core, RJ_COUNT_CONFIGS_REFUSED);
	}
}

/*
 * Take over what a peer has in force; whether it is newer than what is here.
 */
static bool adopt(struct rj_core_state *core,
		  const struct rj_peer_config *offer)
{
	struct rj_error_list errors;

	rj_error_list_init(&errors, core->actions->mem);
	if (offer->change.patch)
		return rj_config_log_adopt_change(
			&core->config_log, offer->revision, offer->id,
			&offer->change, offer->offset, &errors);
	return rj_config_log_adopt(&core->config_log, offer->revision,
				   offer->id, offer->text, offer->offset,
				   &errors);
}

/*
 * A peer offers the configuration that it has in force. An older one changes
 * nothing: revisions only rise.
 */
void rj_config_controller_receive(struct rj_core_state *core,
				  const struct rj_peer_config *offer)
{
	if (!adopt(core, offer))
		return;
	core->streams[RJ_STREAM_CONFIG].next = core->config_log.next;
	activate(core, "peer");
}

/*
 * Whether a peer needs no more than the change that made the configuration
 * in force: it said that it takes changes, and has the revision before. The
 * view of it may be old; a change that does not fit it changes nothing there.
 */
static bool change_suffices(const struct rj_core_state *core,
			    const struct rj_member_view *member)
{
	return core->config_log.change.patch && member &&
	       member->heartbeat_seen && member->config_changes &&
	       member->config_revision + 1 == core->config->revision;
}

/*
 * Send the configuration in force to a peer, if there is one: the change
 * alone if that is enough, else the whole.
 */
void rj_config_controller_send(struct rj_core_state *core, const char *peer)
{
	struct rj_peer_message *message;
	struct rj_peer_config *offer;

	if (!core->config)
		return;
	message = rj_membership_send(core, peer, RJ_PEER_CONFIG);
	offer = &message->u.config;
	offer->revision = core->config->revision;
	offer->offset = core->config_log.as_of;
	memcpy(offer->id, core->config->id, sizeof(offer->id));
	offer->text = "";
	if (change_suffices(core, rj_membership_find(core, peer))) {
		offer->change = core->config_log.change;
		offer->change.patch =
			talloc_strdup(message, offer->change.patch);
		return;
	}
	offer->text = talloc_strdup(message, core->config->text);
}

/*
 * Append the configuration in force again when it is due. The owner by hash
 * does it first; a second one is harmless, since it changes nothing.
 */
void rj_config_controller_tick(struct rj_core_state *core)
{
	struct rj_record record;

	if (!rj_config_log_carry_due(&core->config_log, core->now_us,
				     core->retention_us) ||
	    !core->platform_up || !core->streams[RJ_STREAM_CONFIG].caught_up)
		return;
	if (core->config_carried_us &&
	    core->now_us < core->config_carried_us + CARRY_RETRY_US)
		return;
	if (!rj_ownership_owns(core, core->domain, core->config->revision))
		return;
	core->config_carried_us = core->now_us;
	rj_config_log_carry(&core->config_log, &record);
	rj_log_append(core, RJ_STREAM_CONFIG, &record);
}
