#include "support/planner_fixture.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

/*
 * Applies the current configuration of the fixture to the planner.
 */
void planner_configure(struct planner_fixture *f)
{
	f->planner->ops->configure(f->planner, &f->config, "d", 0);
}

/*
 * Initialises the fixture with a configured planner without workers.
 */
void planner_prepare(struct planner_fixture *f)
{
	f->mem = talloc_new(NULL);
	rj_planner_topology_init(&f->topology, f->mem);
	f->planner = &f->topology.base;
	rj_decisions_init(&f->decisions, f->mem);
	f->domain = (struct rj_domain){
		.name = "d",
		.racks = RACKS,
		.workers_per_rack = RACK_WORKERS,
		.worker = { 8, 8, 64, 65536 },
	};
	f->guarantees[0] =
		(struct rj_guarantee){ "d", { 4, { 1, 8, 1, 1 }, true }, 1 };
	f->guarantees[1] =
		(struct rj_guarantee){ "d", { 2, { 1, 8, 1, 1 }, true }, 1 };
	for (uint32_t i = 0; i < 3; i++) {
		f->accounts[i].name[0] = (char)('a' + i);
		f->accounts[i].share = 1;
		f->accounts[i].guarantees = &f->guarantees[i];
		f->accounts[i].guarantee_count = i < 2;
	}
	f->config = (struct rj_config){
		.domains = &f->domain,
		.domain_count = 1,
		.accounts = f->accounts,
		.account_count = 3,
		.limits = { .queue_max = 1000,
			    .checkpoint_limit_ms = LIMIT_MS },
	};
	planner_configure(f);
}

/*
 * Adds an idle worker to the planner.
 */
void planner_add_worker(struct planner_fixture *f, uint32_t id, uint32_t rack,
			const char *name)
{
	struct rj_plan_worker worker = {
		.id = id,
		.rack = rack,
		.capacity = { 8, 8, 64, 65536 },
		.usable = true,
		.owned = true,
	};

	(void)rj_name_set(worker.name, name);
	f->planner->ops->worker(f->planner, &worker, 0);
}

/*
 * Removes all guarantees and sets the job classes. `classes` must outlive the
 * fixture.
 */
void planner_configure_classes(struct planner_fixture *f,
			       struct rj_job_class *classes, uint32_t count)
{
	f->accounts[0].guarantee_count = 0;
	f->accounts[1].guarantee_count = 0;
	f->config.classes = classes;
	f->config.class_count = count;
	planner_configure(f);
}

/*
 * Sets up two racks of four workers with 8 accelerators. Account a is
 * guaranteed a whole rack, b two adjacent workers, c nothing.
 */
void planner_setup(struct planner_fixture *f, const void *data)
{
	planner_prepare(f);
	for (uint32_t i = 0; i < WORKERS; i++)
		planner_add_worker(f, i, i / RACK_WORKERS, "");
}

/*
 * Frees the contents of the fixture.
 */
void planner_teardown(struct planner_fixture *f, const void *data)
{
	rj_decisions_finish(&f->decisions);
	f->planner->ops->finish(f->planner);
	talloc_free(f->mem);
}

/*
 * Returns a stoppable job of normal priority, which tests may modify.
 */
struct rj_plan_job planner_job_of(uint64_t id, char account, uint32_t tasks,
				  uint32_t accelerators)
{
	struct rj_plan_job job = {
		.job_id = id,
		.class_name = "class",
		.shape = { tasks, { 1, accelerators, 1, 1 }, tasks > 1 },
		.priority = RJ_PRIORITY_NORMAL,
		.preemptible = true,
		.deadline_us = RJ_NEVER_US,
	};

	job.account[0] = account;
	return job;
}

/*
 * Submits a job. Returns the reason of a refusal, or RJ_REASON_NONE.
 */
enum rj_reason planner_submit(struct planner_fixture *f, struct rj_plan_job job,
			      uint64_t now_us)
{
	enum rj_reason reason = RJ_REASON_NONE;
	uint64_t retry_after_us;

	job.queued_us = now_us;
	f->planner->ops->submit(f->planner, &job, now_us, &reason,
				&retry_after_us);
	return reason;
}

/*
 * Submits `count` copies of `job` with consecutive ids. None may be refused.
 */
void planner_submit_many(struct planner_fixture *f, struct rj_plan_job job,
			 uint32_t count)
{
	for (uint32_t i = 0; i < count; i++, job.job_id++)
		g_assert_cmpint(planner_submit(f, job, 0), ==, RJ_REASON_NONE);
}

/*
 * Runs a planner pass. Its decisions replace those in `decisions`.
 */
void planner_pass(struct planner_fixture *f, uint64_t now_us)
{
	rj_decisions_clear(&f->decisions);
	f->planner->ops->pass(f->planner, now_us, &f->decisions);
}

/*
 * Returns the number of decisions of a kind in the last pass.
 */
uint32_t planner_count_of(const struct planner_fixture *f,
			  enum rj_decision_kind kind)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < f->decisions.count; i++)
		count += f->decisions.list[i].kind == kind;
	return count;
}

/*
 * Returns the first decision on a job in the last pass, or NULL.
 */
const struct rj_decision *planner_decision_on(const struct planner_fixture *f,
					      uint64_t job_id)
{
	for (uint32_t i = 0; i < f->decisions.count; i++)
		if (f->decisions.list[i].job_id == job_id)
			return &f->decisions.list[i];
	return NULL;
}

/*
 * Reports to the planner that a job succeeded.
 */
void planner_ended(struct planner_fixture *f, uint64_t job_id, uint64_t ran_us,
		   uint64_t now_us)
{
	f->planner->ops->ended(f->planner, job_id, true, ran_us, now_us);
}

/*
 * Requeues, with a back-off of 600 s, every job that the last pass reclaimed
 * except the job with id `except`.
 */
void planner_apply_reclaims(struct planner_fixture *f, uint64_t except,
			    uint64_t now_us)
{
	for (uint32_t i = 0; i < f->decisions.count; i++) {
		const struct rj_decision *decision = &f->decisions.list[i];

		if (decision->kind == RJ_DECISION_RECLAIM &&
		    decision->job_id != except)
			f->planner->ops->requeue(f->planner, decision->job_id,
						 now_us + 600 * S, now_us);
	}
}

/*
 * Returns whether the whole gang was placed in one rack.
 */
bool planner_is_in_one_rack(const struct rj_decision *start)
{
	for (uint32_t i = 1; i < start->member_count; i++)
		if (start->members[i].worker / RACK_WORKERS !=
		    start->members[0].worker / RACK_WORKERS)
			return false;
	return true;
}
