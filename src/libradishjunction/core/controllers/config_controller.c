/*
 * Selects the configuration in force, from the log or, when the log cannot be
 * read, from a peer, and re-appends it before the log trims it.
 */
#include <string.h>
#include <talloc.h>

#include "private/core_state.h"

/* A re-append that has not appeared in the log after this time is repeated. */
#define CARRY_RETRY_US (10 * RJ_US_PER_S)

/* Whether two configurations have the same accounts and classes, so that a task
 * has the same priority and may be stopped alike under both. */
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

/* Puts a newer configuration in force: updates the planner, the racks and the
 * workers' reports, and sends it to the peers, which may be unable to read the
 * log. */
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
	rj_racks_update_ownership(core); /* rack groups may have changed */
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
 * Applies the result of a read of the `config` stream.
 */
void rj_config_controller_apply_records(struct rj_core_state *core,
					const struct rj_records *records)
{
	struct rj_error_list errors;

	rj_config_log_begin_batch(&core->config_log, records->oldest);
	rj_config_log_skip_ahead(&core->config_log, records->head);
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
 * Adopts the configuration offered by a peer. Returns whether it is newer than
 * the current one.
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
 * Handles a peer's offer of its configuration in force. Older revisions have no
 * effect.
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
 * Whether the last change alone brings a peer up to date: it accepts changes
 * and has the previous revision. The peer's revision may be outdated here; a
 * change that does not fit has no effect there.
 */
static bool change_suffices(const struct rj_core_state *core,
			    const struct rj_member_view *member)
{
	return core->config_log.change.patch && member &&
	       member->heartbeat_seen && member->config_changes &&
	       member->config_revision + 1 == core->config->revision;
}

/*
 * Sends the configuration in force to a peer, if there is one: the last change
 * if that suffices, else the full text.
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
 * Re-appends the configuration in force when due. Only its owner by hash
 * appends; during a disagreement a second append is harmless, since it changes
 * nothing.
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
	rj_config_log_fill_carried(&core->config_log, &record);
	rj_log_append(core, RJ_STREAM_CONFIG, &record);
}
