/*
 * What an instance says of itself: its view as JSON, and the decisions about
 * one job in words.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "private/core_state.h"

static const char *const health_string[RJ_UPSTREAM_HEALTH_COUNT] = {
	[RJ_UPSTREAM_HEALTHY] = "healthy",
	[RJ_UPSTREAM_UNREACHABLE] = "silent",
	[RJ_UPSTREAM_QUARANTINED] = "set_aside",
};

/* The peers, and whether they are believed alive. */
static json_t *peers_json(const struct rj_core_state *core)
{
	json_t *list = json_array();
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &core->membership.members) {
		const struct rj_member_view *member =
			RJ_CONTAINER(at, struct rj_member_view, link);

		json_array_append_new(
			list,
			json_pack("{s:s,s:s,s:b,s:b,s:I,s:I}", "name",
				  member->name, "domain", member->domain,
				  "alive", rj_membership_alive(core, member),
				  "draining", member->draining, "revision",
				  (json_int_t)member->config_revision, "queued",
				  (json_int_t)member->queued));
	}
	return list;
}

/* The workers of the own failure domain. */
static json_t *workers_json(const struct rj_core_state *core)
{
	json_t *list = json_array();

	for (uint32_t i = 0; i < core->upstreams.count; i++) {
		const struct rj_upstream *up = core->upstreams.by_index[i];

		if (strcmp(up->domain, core->domain))
			continue;
		json_array_append_new(
			list,
			json_pack("{s:s,s:i,s:b,s:b,s:s,s:i,s:i,s:i}", "name",
				  up->name, "rack", (int)up->rack, "owned",
				  up->owned, "leaving", up->leaving, "health",
				  up->known ? health_string[up->health] :
					      "unknown",
				  "accelerators",
				  (int)up->capacity.accelerators, "free",
				  (int)up->free_now.accelerators, "members",
				  (int)up->own_members));
	}
	return list;
}

/* How many jobs are in each state. */
static json_t *jobs_json(const struct rj_core_state *core)
{
	uint32_t counts[RJ_JOB_STATE_COUNT] = { 0 };
	json_t *object = json_object();
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &core->jobs.list)
		counts[RJ_CONTAINER(at, struct rj_job, link)->state]++;
	for (int i = 0; i < RJ_JOB_STATE_COUNT; i++)
		json_object_set_new(object, rj_job_state_string[i],
				    json_integer(counts[i]));
	return object;
}

/* The guarantees of this failure domain. */
static json_t *guarantees_json(const struct rj_core_state *core)
{
	json_t *list = json_array();

	for (uint32_t i = 0; core->config && i < core->config->account_count;
	     i++) {
		const struct rj_account *account = &core->config->accounts[i];

		for (uint32_t j = 0; j < account->guarantee_count; j++) {
			const struct rj_guarantee *guarantee =
				&account->guarantees[j];

			if (strcmp(guarantee->domain, core->domain))
				continue;
			json_array_append_new(
				list,
				json_pack(
					"{s:s,s:i,s:i,s:i,s:b}", "account",
					account->name, "tasks",
					(int)guarantee->shape.tasks,
					"accelerators",
					(int)guarantee->shape.each.accelerators,
					"count", (int)guarantee->count,
					"adjacent", guarantee->shape.adjacent));
		}
	}
	return list;
}

/*
 * Which configuration is in force here, as a JSON object that the caller
 * owns: what a publication asks of each instance again and again, so that it
 * has no more than that. `config_changes` says that this version takes
 * publications that hold the change alone.
 */
json_t *rj_core_revision(const struct rj_core *handle)
{
	const struct rj_config *config = handle->state->config;

	return json_pack(
		"{s:s,s:I,s:s,s:b}", "name", handle->state->name, "revision",
		(json_int_t)(config ? config->revision : 0), "publication",
		config ? config->id : "", "config_changes", true);
}

/*
 * The view of this instance as a JSON object that the caller owns: who it
 * is, which revision is in force, peers, workers, guarantees and queues.
 */
json_t *rj_core_status(const struct rj_core *handle, uint64_t now_us)
{
	const struct rj_core_state *core = handle->state;
	struct rj_plan_view view;

	memset(&view, 0, sizeof(view));
	core->planner->ops->view(core->planner, now_us, &view);
	return json_pack(
		"{s:s,s:s,s:b,s:b,s:b,s:b,s:I,s:s,s:s,s:i,s:i,s:i,s:i,s:i,"
		"s:i,s:I,s:i,s:o,s:o,s:o,s:o}",
		"name", core->name, "domain", core->domain, "ready",
		rj_core_ready(handle), "stopping", core->stopping,
		"platform_up", core->platform_up, "log_usable",
		rj_log_usable(core), "revision",
		(json_int_t)(core->config ? core->config->revision : 0),
		"publication", core->config ? core->config->id : "", "planner",
		core->planner->ops->name, "queued", (int)view.queued, "running",
		(int)view.running, "accelerators", (int)view.accelerators,
		"accelerators_free", (int)view.accelerators_free,
		"largest_waiting", (int)view.largest_waiting,
		"accelerators_stranded", (int)view.accelerators_stranded,
		"small_wait_us", (json_int_t)view.small_wait_us,
		"open_requests", (int)core->jobs.open, "jobs", jobs_json(core),
		"peers", peers_json(core), "workers", workers_json(core),
		"guarantees", guarantees_json(core));
}

/*
 * Where a job is at the last event, and what it waits for: a job that waits
 * for room has no decision that says so. In the form of a decision, so that
 * older versions of the command print it, too.
 */
static json_t *now_json(const struct rj_core_state *core,
			const struct rj_job *job)
{
	const struct rj_shape *shape = &job->spec.shape;
	struct rj_plan_view view;

	memset(&view, 0, sizeof(view));
	core->planner->ops->view(core->planner, core->now_us, &view);
	return json_pack(
		"{s:I,s:s,s:s,s:s,s:I,s:i,s:s,s:i,s:i,s:b,s:i,s:i,s:i}", "t_us",
		(json_int_t)core->now_us, "event", "now", "why",
		rj_reason_string[RJ_REASON_NONE], "target", "", "waited_ms",
		(json_int_t)((core->now_us - job->arrived_us) / 1000),
		"considered", 0, "state", rj_job_state_string[job->state],
		"tasks", (int)shape->tasks, "accelerators",
		(int)shape->each.accelerators, "adjacent", shape->adjacent,
		"accelerators_here", (int)view.accelerators,
		"accelerators_free", (int)view.accelerators_free,
		"waiting_here", (int)view.queued);
}

/*
 * Every decision about one job that this instance still remembers, oldest
 * first, and where it is now if it is here, as a JSON array that the caller
 * owns; empty when there is nothing to tell.
 */
json_t *rj_core_explain(const struct rj_core *handle, uint64_t job_id)
{
	const struct rj_core_state *core = handle->state;
	const struct rj_job *job = rj_jobs_find(core, job_id);
	json_t *list = json_array();
	uint32_t first = core->explain_next > RJ_EXPLAIN_ENTRIES ?
				 core->explain_next - RJ_EXPLAIN_ENTRIES :
				 0;

	for (uint32_t i = first; i < core->explain_next; i++) {
		const struct rj_explain_entry *entry =
			&core->explain[i % RJ_EXPLAIN_ENTRIES];

		if (entry->log.job_id != job_id)
			continue;
		json_array_append_new(
			list,
			json_pack("{s:I,s:s,s:s,s:s,s:I,s:i}", "t_us",
				  (json_int_t)entry->at_us, "event",
				  rj_decision_event_string[entry->log.event],
				  "why", rj_reason_string[entry->log.why],
				  "target", entry->log.target, "waited_ms",
				  (json_int_t)(entry->log.waited_us / 1000),
				  "considered", (int)entry->log.considered));
	}
	if (job && job->state != RJ_JOB_ENDED)
		json_array_append_new(list, now_json(core, job));
	return list;
}

/*
 * The client account that a job of this instance or of the log belongs to,
 * or NULL: whoever explains a job to a caller checks it first.
 */
const char *rj_core_job_account(const struct rj_core *handle, uint64_t job_id)
{
	const struct rj_core_state *core = handle->state;
	const struct rj_job *job = rj_jobs_find(core, job_id);
	const struct rj_job_entry *entry;

	if (job)
		return job->spec.account;
	entry = rj_job_ledger_find(&core->ledger, job_id);
	return entry ? entry->spec.account : NULL;
}

/*
 * The configuration in force, or NULL; it stays the core's.
 */
const struct rj_config *rj_core_config(const struct rj_core *handle)
{
	return handle->state->config;
}
