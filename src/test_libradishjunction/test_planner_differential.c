#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "private/topology.h"
#include "support/plan_simulation.h"

/*
 * Each seed runs all loads of both users, which each cover a fault and two
 * bursts.
 */
#define SEEDS 1
#define HORIZON_US (700 * RJ_US_PER_S)

/*
 * The topology planner with the first-fit planner in the same state: both get
 * all events, and after each pass the decisions of first fit are undone and
 * replaced by those of the topology planner.
 */
struct pair {
	struct rj_planner base;
	struct rj_planner_topology topology;
	struct rj_planner_first_fit first_fit;
	struct rj_decisions reference;
};

/* How a decision differs from first fit, and why that is permitted. */
enum difference {
	SAME,
	OTHER_PLACEMENT, /* both start the job, on different workers */
	CAPACITY_TAKEN, /* waits: others took the capacity in this pass */
	CAPACITY_RESERVED, /* waits: the capacity is reserved */
	UNSTOPPABLE, /* waits: kept off guaranteed capacity */
	STARTED_EARLIER, /* starts; first fit used the capacity for others */
	REFUSED, /* its deadline had passed; both refuse it */
	DIFFERENCE_COUNT
};

static uint64_t differences[DIFFERENCE_COUNT];

static struct rj_planner *topology_of(const struct rj_planner *planner)
{
	return &((struct pair *)planner)->topology.base;
}

static struct rj_planner *first_fit_of(const struct rj_planner *planner)
{
	return &((struct pair *)planner)->first_fit.base;
}

static void pair_configure(struct rj_planner *planner,
			   const struct rj_config *config, const char *domain,
			   uint64_t now_us)
{
	topology_of(planner)->ops->configure(topology_of(planner), config,
					     domain, now_us);
	first_fit_of(planner)->ops->configure(first_fit_of(planner), config,
					      domain, now_us);
}

static void pair_worker(struct rj_planner *planner,
			const struct rj_plan_worker *worker, uint64_t now_us)
{
	topology_of(planner)->ops->worker(topology_of(planner), worker, now_us);
	first_fit_of(planner)->ops->worker(first_fit_of(planner), worker,
					   now_us);
}

static int pair_submit(struct rj_planner *planner,
		       const struct rj_plan_job *job, uint64_t now_us,
		       enum rj_reason *reason, uint64_t *retry_after_us)
{
	enum rj_reason ignored;
	uint64_t never_us;
	int status = topology_of(planner)->ops->submit(
		topology_of(planner), job, now_us, reason, retry_after_us);

	if (status) {
		g_assert_cmpint(*reason, ==, RJ_REASON_DEADLINE_TOO_SOON);
		g_assert_cmpuint(*retry_after_us, >, 0);
		return status;
	}
	g_assert_cmpint(
		first_fit_of(planner)->ops->submit(first_fit_of(planner), job,
						   now_us, &ignored, &never_us),
		==, 0);
	return 0;
}

static void pair_ended(struct rj_planner *planner, uint64_t job_id,
		       bool succeeded, uint64_t ran_us, uint64_t now_us)
{
	topology_of(planner)->ops->ended(topology_of(planner), job_id,
					 succeeded, ran_us, now_us);
	first_fit_of(planner)->ops->ended(first_fit_of(planner), job_id,
					  succeeded, ran_us, now_us);
}

static void pair_requeue(struct rj_planner *planner, uint64_t job_id,
			 uint64_t not_before_us, uint64_t now_us)
{
	topology_of(planner)->ops->requeue(topology_of(planner), job_id,
					   not_before_us, now_us);
	first_fit_of(planner)->ops->requeue(first_fit_of(planner), job_id,
					    not_before_us, now_us);
}

static void pair_adopt(struct rj_planner *planner,
		       const struct rj_plan_job *job,
		       const struct rj_plan_member *members, uint32_t count,
		       uint64_t now_us)
{
	topology_of(planner)->ops->adopt(topology_of(planner), job, members,
					 count, now_us);
	first_fit_of(planner)->ops->adopt(first_fit_of(planner), job, members,
					  count, now_us);
}

static const struct rj_decision *find(const struct rj_decisions *decisions,
				      uint64_t job_id)
{
	for (uint32_t i = 0; i < decisions->count; i++)
		if (decisions->list[i].job_id == job_id &&
		    decisions->list[i].kind != RJ_DECISION_RECLAIM)
			return &decisions->list[i];
	return NULL;
}

/* Returns why first fit starts a job that the topology planner does not. */
static enum difference why_waiting(const struct pair *pair,
				   const struct rj_decisions *decisions,
				   uint64_t job_id)
{
	const struct rj_topology_state *state = pair->topology.state;
	const struct rj_plan_entry *entry =
		rj_plan_table_find(&state->table, job_id);

	for (uint32_t i = 0; i < decisions->count; i++)
		if (decisions->list[i].kind == RJ_DECISION_START)
			return CAPACITY_TAKEN;
	if (!entry->job.preemptible)
		return UNSTOPPABLE;
	g_assert_cmpuint(state->reservations->len, >, 0);
	return CAPACITY_RESERVED;
}

static enum difference why_started(const struct rj_decision *decision,
				   const struct rj_decision *reference)
{
	switch (decision->reason) {
	case RJ_REASON_BEST_FIT:
	case RJ_REASON_BACKFILL:
	case RJ_REASON_RESERVATION:
	case RJ_REASON_GUARANTEE:
	case RJ_REASON_RECLAIMED:
		break;
	default:
		g_assert_not_reached();
	}
	if (!reference)
		return STARTED_EARLIER;
	if (reference->member_count == decision->member_count &&
	    !memcmp(reference->members, decision->members,
		    sizeof(*reference->members) * reference->member_count))
		return SAME;
	return OTHER_PLACEMENT;
}

static void compare(const struct pair *pair,
		    const struct rj_decisions *decisions)
{
	for (uint32_t i = 0; i < decisions->count; i++) {
		const struct rj_decision *decision = &decisions->list[i];
		const struct rj_decision *reference =
			find(&pair->reference, decision->job_id);

		if (decision->kind == RJ_DECISION_START)
			differences[why_started(decision, reference)]++;
		else if (decision->kind == RJ_DECISION_REFUSE)
			differences[REFUSED]++;
		if (decision->kind == RJ_DECISION_REFUSE)
			g_assert_cmpint(reference->kind, ==,
					RJ_DECISION_REFUSE);
	}
	for (uint32_t i = 0; i < pair->reference.count; i++) {
		const struct rj_decision *reference = &pair->reference.list[i];

		if (find(decisions, reference->job_id))
			continue;
		g_assert_cmpint(reference->kind, ==, RJ_DECISION_START);
		differences[why_waiting(pair, decisions, reference->job_id)]++;
	}
}

static void pair_pass(struct rj_planner *planner, uint64_t now_us,
		      struct rj_decisions *decisions)
{
	struct pair *pair = (struct pair *)planner;
	struct rj_planner *reference = first_fit_of(planner);

	topology_of(planner)->ops->pass(topology_of(planner), now_us,
					decisions);
	rj_decisions_clear(&pair->reference);
	reference->ops->pass(reference, now_us, &pair->reference);
	compare(pair, decisions);
	for (uint32_t i = 0; i < pair->reference.count; i++)
		if (pair->reference.list[i].kind == RJ_DECISION_START)
			reference->ops->requeue(reference,
						pair->reference.list[i].job_id,
						0, now_us);
	for (uint32_t i = 0; i < decisions->count; i++) {
		const struct rj_decision *decision = &decisions->list[i];
		const struct rj_plan_entry *entry;

		if (decision->kind != RJ_DECISION_START)
			continue;
		entry = rj_plan_table_find(&pair->topology.state->table,
					   decision->job_id);
		reference->ops->adopt(reference, &entry->job, decision->members,
				      decision->member_count, now_us);
	}
}

static uint64_t pair_wake_us(const struct rj_planner *planner)
{
	return topology_of(planner)->ops->wake_us(topology_of(planner));
}

static void pair_view(const struct rj_planner *planner, uint64_t now_us,
		      struct rj_plan_view *view)
{
	struct rj_plan_view reference;

	topology_of(planner)->ops->view(topology_of(planner), now_us, view);
	first_fit_of(planner)->ops->view(first_fit_of(planner), now_us,
					 &reference);
	g_assert_cmpuint(view->queued, ==, reference.queued);
	g_assert_cmpuint(view->running, ==, reference.running);
	g_assert_cmpuint(view->accelerators_free, ==,
			 reference.accelerators_free);
}

static void pair_finish(struct rj_planner *planner)
{
	topology_of(planner)->ops->finish(topology_of(planner));
	first_fit_of(planner)->ops->finish(first_fit_of(planner));
	rj_decisions_finish(&((struct pair *)planner)->reference);
}

static const struct rj_planner_ops pair_ops = {
	.name = "pair",
	.configure = pair_configure,
	.worker = pair_worker,
	.submit = pair_submit,
	.ended = pair_ended,
	.requeue = pair_requeue,
	.adopt = pair_adopt,
	.pass = pair_pass,
	.wake_us = pair_wake_us,
	.view = pair_view,
	.finish = pair_finish,
};

static struct rj_planner *make_pair(void *mem)
{
	struct pair *pair = talloc_zero(mem, struct pair);

	pair->base.ops = &pair_ops;
	rj_planner_topology_init(&pair->topology, mem);
	rj_planner_first_fit_init(&pair->first_fit, mem);
	rj_decisions_init(&pair->reference, mem);
	return &pair->base;
}

static const struct planner_factory factory = { "pair", make_pair };

/*
 * Adds up, per worker and account, the resources of running tasks that cannot
 * be stopped, according to the simulation.
 */
static void add_unstoppable(const struct plan_simulation *simulation,
			    struct rj_resources unstoppable[][STREAM_ACCOUNTS])
{
	for (uint32_t i = 0; i < simulation->stream->count; i++) {
		const struct stream_job *generated =
			&simulation->stream->jobs[i];
		const struct plan_simulation_job *job = &simulation->jobs[i];

		if (generated->plan.preemptible)
			continue;
		for (uint32_t j = 0; j < job->member_count; j++)
			rj_resources_add(&unstoppable[job->members[j].worker]
						     [generated->account],
					 &generated->plan.shape.each,
					 job->members[j].tasks);
	}
}

/*
 * Checks after each step that every guaranteed shape has a home, and that the
 * homes would be free if all stoppable tasks were stopped, except for tasks of
 * the same account.
 */
static void check_reclaimable(struct plan_simulation *simulation)
{
	static struct rj_resources unstoppable[STREAM_WORKERS][STREAM_ACCOUNTS];
	const struct pair *pair = (const struct pair *)simulation->planner;
	const struct rj_topology_state *state = pair->topology.state;
	uint64_t home_accelerators = 0;

	if (simulation->instance_down)
		return;
	memset(unstoppable, 0, sizeof(unstoppable));
	add_unstoppable(simulation, unstoppable);
	for (uint32_t i = 0; i < STREAM_WORKERS; i++) {
		const struct rj_ledger *ledger =
			rj_capacity_find(&state->capacity, i)->ledger;
		struct rj_resources bound = { 0 };

		for (uint32_t j = 0; j < STREAM_ACCOUNTS; j++) {
			struct rj_resources most = unstoppable[i][j];
			const struct rj_worker_usage *share = rj_ledger_usage(
				ledger,
				g_hash_table_lookup(
					state->accounts,
					simulation->stream->accounts[j].name));

			if (share)
				home_accelerators +=
					share->guaranteed.accelerators;
			if (share) {
				most.slots = MAX(most.slots,
						 share->guaranteed.slots);
				most.accelerators =
					MAX(most.accelerators,
					    share->guaranteed.accelerators);
			}
			rj_resources_add(&bound, &most, 1);
		}
		g_assert_true(rj_resources_fit(
			&bound, &simulation->stream->domain.worker));
	}
	for (uint32_t i = 0; i < STREAM_ACCOUNTS; i++) {
		const struct rj_guarantee *guarantee =
			&simulation->stream->guarantees[i];

		home_accelerators -= (uint64_t)guarantee->count *
				     guarantee->shape.tasks *
				     guarantee->shape.each.accelerators;
	}
	g_assert_cmpuint(home_accelerators, ==, 0);
}

/*
 * Each decision that differs from first come, first fit in the same state must
 * have one of the reasons above: no job may wait without a reason although a
 * worker is free for it.
 */
static void test_differences_have_reasons(gconstpointer data)
{
	struct plan_simulation_options options = {
		.factory = &factory,
		.check = check_reclaimable,
	};
	enum stream_users users = GPOINTER_TO_UINT(data) / STREAM_LOAD_COUNT;
	enum stream_load load = GPOINTER_TO_UINT(data) % STREAM_LOAD_COUNT;

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct plan_stream stream;
		struct plan_result result;
		uint64_t count = 0;

		memset(differences, 0, sizeof(differences));
		plan_stream_init(&stream, NULL, users, load, seed, HORIZON_US);
		plan_simulation_run(&stream, &options, &result);
		for (uint32_t i = 0; i < DIFFERENCE_COUNT; i++)
			count += differences[i];
		g_assert_cmpuint(count, >, stream.count / 2);
		g_assert_cmpuint(differences[OTHER_PLACEMENT], >, 0);
		g_assert_cmpfloat(result.guaranteed_late, ==, 0);
		g_test_message("same %" G_GUINT64_FORMAT
			       ", other placement %" G_GUINT64_FORMAT
			       ", taken %" G_GUINT64_FORMAT
			       ", reserved %" G_GUINT64_FORMAT
			       ", unstoppable %" G_GUINT64_FORMAT
			       ", earlier %" G_GUINT64_FORMAT
			       ", refused %" G_GUINT64_FORMAT,
			       differences[SAME], differences[OTHER_PLACEMENT],
			       differences[CAPACITY_TAKEN],
			       differences[CAPACITY_RESERVED],
			       differences[UNSTOPPABLE],
			       differences[STARTED_EARLIER],
			       differences[REFUSED]);
		plan_stream_finish(&stream);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (uint32_t i = 0; i < STREAM_USERS_COUNT * STREAM_LOAD_COUNT; i++) {
		char *path = g_strdup_printf(
			"/planner_differential/%s/%s",
			stream_users_string[i / STREAM_LOAD_COUNT],
			stream_load_string[i % STREAM_LOAD_COUNT]);

		g_test_add_data_func(path, GUINT_TO_POINTER(i),
				     test_differences_have_reasons);
		g_free(path);
	}
	return g_test_run();
}
