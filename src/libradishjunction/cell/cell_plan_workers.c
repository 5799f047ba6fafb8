#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/cell_plan.h"
#include "private/cell_release.h"

/*
 * Urgent jobs come in bursts and can't wait, so racks are reserved for them:
 * this many times their recent use, plus room for one gang. A median gang takes
 * 12 accelerators.
 */
#define RESERVED_FACTOR 1.8
#define RESERVED_EXTRA_ACCELERATORS 16.0
/*
 * Exclusive part of the reserved racks, as a multiple of the recent use of
 * urgent jobs. Urgent tasks start there at once, while preemption takes some
 * 0.4 s of the 1.5 s that they can wait. The rest is also open to tasks with
 * checkpoints, which lose little when they are preempted.
 */
#define EXCLUSIVE_FACTOR 1.6
/* Upper limit of the reserved racks; the rest serves all other jobs. */
#define RESERVED_RACKS_PERCENT 67

/* A task is not started again within this after the stop of its run for another
 * job. Otherwise it could take the first workers that come free, if its turn is
 * earlier, while a gang needs all of them. */
#define STOP_PAUSE_US (1500 * RJ_US_PER_MS)

/* Cost of gathering a worker, relative to evaluating it. */
#define GATHER_WORKER_EFFORT 4

static void add_allocation(struct rj_cell_allocation *allocation,
			   const struct rj_cell_demand *demand)
{
	allocation->cpu_milli += demand->cpu_milli;
	allocation->memory_mb += demand->memory_mb;
	allocation->accelerators += demand->accelerators;
}

/*
 * Counts the start of a task as allocated to its job's priority.
 */
void rj_cell_plan_add_allocation(struct rj_cell_plan *plan,
				 const struct rj_cell_job *job,
				 const struct rj_cell_demand *demand)
{
	add_allocation(&plan->allocated[rj_cell_job_priority_class(job)],
		       demand);
}

/* Returns the allocation that a run counts towards, or NULL if it is not on one
 * of the plan's workers or its job is unknown. */
static struct rj_cell_allocation *allocation_of(struct rj_cell_plan *plan,
						const struct rj_cell_run *run)
{
	if (!run->task || !run->worker->plan_worker)
		return NULL;
	return &plan->allocated[rj_cell_job_priority_class(
		run->task->occurrence->job)];
}

/*
 * Counts a run that was a victim of a placement as allocated again.
 */
void rj_cell_plan_restore_run(struct rj_cell_plan *plan,
			      const struct rj_cell_run *run)
{
	struct rj_cell_allocation *allocation = allocation_of(plan, run);

	if (allocation)
		add_allocation(allocation, &run->allocated);
}

/*
 * Counts a run that is being stopped, or is a victim, as not allocated.
 */
void rj_cell_plan_release_run(struct rj_cell_plan *plan,
			      const struct rj_cell_run *run)
{
	struct rj_cell_allocation *allocation = allocation_of(plan, run);

	if (!allocation)
		return;
	allocation->cpu_milli -= run->allocated.cpu_milli;
	allocation->memory_mb -= run->allocated.memory_mb;
	allocation->accelerators -= run->allocated.accelerators;
}

/*
 * Adds a run to the plan's stops. Unless it is urgent, its task waits until the
 * job that it is stopped for has had time to take the capacity.
 */
void rj_cell_plan_stop_run(struct rj_cell_plan *plan, struct rj_cell_run *run,
			   const char *reason, const struct rj_cell_job *job)
{
	run->reason = reason;
	g_strlcpy(run->preempted_for, job->job_spec->id,
		  sizeof(run->preempted_for));
	g_ptr_array_add(plan->stops, run);
	if (run->task && run->task->occurrence->job->job_spec->priority)
		run->task->not_before_us = plan->now_us + STOP_PAUSE_US;
}

/* Returns the free capacity of a worker. */
static struct rj_cell_demand unallocated(const struct rj_cell_worker *worker)
{
	struct rj_cell_demand available = worker->heartbeat.capacity;

	rj_cell_demand_subtract(&available, &worker->allocated);
	return available;
}

/* Adds the capacity that comes free when the runs being stopped have ended. */
static void add_stopping_runs(struct rj_cell_plan *plan,
			      struct rj_cell_plan_worker *plan_worker)
{
	const struct rj_list *at;

	for (at = plan_worker->worker->runs.next;
	     at != &plan_worker->worker->runs; at = at->next) {
		const struct rj_cell_run *run =
			RJ_CONTAINER(at, struct rj_cell_run, in_worker);

		if (run->state != RJ_CELL_RUN_STOPPING)
			continue;
		rj_cell_demand_add(&plan_worker->free_after_stops,
				   &run->allocated);
		rj_cell_plan_release_run(plan, run);
	}
}

/*
 * Adds allocated resources to the usage.
 */
void rj_cell_usage_add(struct rj_cell_usage *usage,
		       const struct rj_cell_demand *allocated)
{
	usage->cpu.used += allocated->cpu_milli;
	usage->memory.used += allocated->memory_mb;
	usage->accelerators.used += allocated->accelerators;
}

/* Adds the capacity and the allocation of one worker. */
static void add_usage(struct rj_cell_usage *usage,
		      const struct rj_cell_worker *worker)
{
	const struct rj_cell_demand *capacity = &worker->heartbeat.capacity;

	rj_cell_usage_add(usage, &worker->allocated);
	usage->cpu.total += capacity->cpu_milli;
	usage->memory.total += capacity->memory_mb;
	usage->accelerators.total += capacity->accelerators;
}

static uint32_t percent(const struct rj_cell_utilization *utilization)
{
	return utilization->total ? (uint32_t)(utilization->used * 100 /
					       utilization->total) :
				    0;
}

/*
 * Returns the usage of the scarcest resource, in percent.
 */
uint32_t rj_cell_usage_percent(const struct rj_cell_usage *usage)
{
	return MAX(percent(&usage->cpu),
		   MAX(percent(&usage->memory), percent(&usage->accelerators)));
}

/* What is still to be reserved, in accelerators. */
struct reservation {
	double need; /* for urgent jobs, what they use included */
	double exclusive; /* part of it that is exclusive */
	/* By urgent jobs on workers that are not reserved, as far as it counts
	 * towards the need. */
	double used_elsewhere;
};

/* Whether what is reserved and what urgent jobs use elsewhere is enough. */
static bool is_enough(const struct reservation *reservation)
{
	return reservation->need <= reservation->used_elsewhere;
}

/* Reserves one rack. */
static void reserve_rack(struct rj_cell_plan *plan,
			 const struct rj_cell_plan_rack *rack,
			 struct reservation *reservation)
{
	bool exclusive = reservation->exclusive > 0;

	for (uint32_t i = rack->first; i < rack->first + rack->count; i++) {
		struct rj_cell_plan_worker *plan_worker = &plan->workers[i];
		const struct rj_cell_worker *worker = plan_worker->worker;
		double accelerators = worker->heartbeat.capacity.accelerators;

		plan_worker->reserved = true;
		plan_worker->exclusive = exclusive;
		reservation->need -= accelerators;
		reservation->exclusive -= accelerators;
		if (reservation->used_elsewhere > 0)
			reservation->used_elsewhere -=
				worker->allocated_by_class[0].accelerators;
	}
}

/*
 * Reserves racks for urgent jobs.
 *
 * Guards against preemption by each burst of urgent gangs on a site filled with
 * longer jobs: runs without checkpoints would lose their work. Half of these
 * gangs must be in one rack. Whole racks are reserved, as capacity spread over
 * all racks holds no such gang. While other jobs miss their objectives, no more
 * is reserved than urgent jobs use, plus one gang; while some will soon be too
 * late, what urgent jobs use on other workers counts too.
 */
static void reserve_racks(struct rj_cell_plan *plan)
{
	double urgent = rj_cell_forecast_urgent_accelerators(plan->forecast,
							     plan->now_us);
	struct reservation reservation = {
		.need = RESERVED_FACTOR * urgent + RESERVED_EXTRA_ACCELERATORS,
		.exclusive = EXCLUSIVE_FACTOR * urgent
	};
	double used = (double)plan->allocated[0].accelerators;
	guint count = plan->racks->len * RESERVED_RACKS_PERCENT / 100;

	if (!plan->forecast->urgent_updated_us)
		return;
	if (plan->misses_objective) {
		reservation.need = MIN(reservation.need,
				       used + RESERVED_EXTRA_ACCELERATORS);
		reservation.exclusive = MIN(reservation.exclusive, used);
		if (plan->starves)
			reservation.used_elsewhere = used;
	}
	for (guint i = 0; i < count && !is_enough(&reservation); i++)
		reserve_rack(plan,
			     &g_array_index(plan->racks,
					    struct rj_cell_plan_rack, i),
			     &reservation);
}

/* Orders racks by their index within their failure domains: the first racks of
 * all domains, then the second ones. */
static gint by_domain_rank(gconstpointer a, gconstpointer b)
{
	const struct rj_cell_plan_rack *left = a;
	const struct rj_cell_plan_rack *right = b;

	if (left->domain_rank != right->domain_rank)
		return left->domain_rank < right->domain_rank ? -1 : 1;
	return left->first < right->first ? -1 : 1;
}

/*
 * Orders the racks so that failure domains alternate.
 *
 * Guards against the loss of a failure domain that has all racks reserved for
 * urgent jobs: those are taken from the front of the order.
 */
static void interleave_domains(struct rj_cell_plan *plan)
{
	g_array_sort(plan->racks, by_domain_rank);
}

/* Raises upper bounds to at least what is available on one worker. */
static void raise_bound(struct rj_cell_demand *maximum,
			const struct rj_cell_demand *available)
{
	maximum->cpu_milli = MAX(maximum->cpu_milli, available->cpu_milli);
	maximum->memory_mb = MAX(maximum->memory_mb, available->memory_mb);
	maximum->accelerators =
		MAX(maximum->accelerators, available->accelerators);
}

/* Adds the workers of one rack as a range, with bounds of their free
 * capacity. */
static void add_worker_range(struct rj_cell_plan *plan,
			     const struct rj_cell_plan_rack *rack)
{
	struct rj_cell_worker_range range = { .domain = rack->mixed_domains ?
								NULL :
								rack->domain,
					      .first = rack->first,
					      .count = rack->count };

	for (uint32_t i = rack->first; i < rack->first + rack->count; i++) {
		struct rj_cell_plan_worker *plan_worker = &plan->workers[i];

		plan_worker->range = plan->ranges->len;
		raise_bound(&range.free_now.max_per_worker,
			    &plan_worker->free_now);
		raise_bound(&range.free_after_stops.max_per_worker,
			    &plan_worker->free_after_stops);
		range.free_now.total_accelerators +=
			plan_worker->free_now.accelerators;
		range.free_after_stops.total_accelerators +=
			plan_worker->free_after_stops.accelerators;
	}
	g_array_append_val(plan->ranges, range);
}

/*
 * Raises the bounds of a worker's rack after a placement has freed capacity of
 * the worker. The sum of accelerators grows by all of the worker's: a bound
 * that is too high only costs time, while one that is too low hides free
 * capacity.
 */
void rj_cell_plan_raise_bounds(struct rj_cell_plan *plan,
			       const struct rj_cell_plan_worker *plan_worker)
{
	struct rj_cell_worker_range *range = &g_array_index(
		plan->ranges, struct rj_cell_worker_range, plan_worker->range);

	raise_bound(&range->free_after_stops.max_per_worker,
		    &plan_worker->free_after_stops);
	range->free_after_stops.total_accelerators +=
		plan_worker->worker->heartbeat.capacity.accelerators;
}

/* Ranks a worker by its history, once for all tasks of the plan. */
static void rank_worker(struct rj_cell_plan *plan,
			struct rj_cell_plan_worker *plan_worker)
{
	const struct rj_cell_worker *worker = plan_worker->worker;

	if (!plan->features.worker_history)
		return;
	plan_worker->gang_rank =
		rj_cell_worker_rank(worker, true, plan->now_us);
	/* The rank for gangs is never lower. */
	if (!plan_worker->gang_rank)
		return;
	plan_worker->rank = rj_cell_worker_rank(worker, false, plan->now_us);
	plan_worker->risky =
		plan_worker->gang_rank >= RJ_CELL_HISTORY_RANK_RISKY ||
		rj_cell_worker_history_on_probation(&worker->history,
						    plan->now_us);
	plan->risky_workers += plan_worker->risky;
}

/*
 * Returns the rank of a worker for the tasks of a step.
 */
uint32_t rj_cell_plan_worker_rank(const struct rj_cell_plan_worker *plan_worker,
				  const struct rj_cell_step *step)
{
	return step->gang ? plan_worker->gang_rank : plan_worker->rank;
}

/* Adds a worker to the plan, if it is usable. */
static void add_plan_worker(struct rj_cell_plan *plan,
			    struct rj_cell_worker *worker)
{
	struct rj_cell_plan_worker *plan_worker =
		&plan->workers[plan->worker_count];
	bool suspect = plan->now_us < worker->suspect_until_us;

	worker->plan_worker = NULL;
	if (!rj_cell_worker_available(worker, plan->now_us) ||
	    (suspect && !plan->has_suspects) ||
	    worker->latency_runs + worker->other_runs >=
		    RJ_CELL_WORKER_RUNS_MAX)
		return;
	worker->plan_worker = plan_worker;
	plan_worker->worker = worker;
	plan_worker->suspect = suspect;
	plan_worker->free_now = unallocated(worker);
	plan_worker->latency_runs = worker->latency_runs;
	plan_worker->other_runs = worker->other_runs;
	plan_worker->free_after_stops = plan_worker->free_now;
	rank_worker(plan, plan_worker);
	if (worker->domain)
		worker->domain->urgent +=
			worker->allocated_by_class[0].accelerators;
	add_usage(&plan->usage, worker);
	for (uint32_t i = 0; i < RJ_CELL_PRIORITY_CLASSES; i++)
		add_allocation(&plan->allocated[i],
			       &worker->allocated_by_class[i]);
	add_stopping_runs(plan, plan_worker);
	plan->worker_count++;
}

/*
 * Gathers all usable workers, rack by rack in a constant order. Also updates
 * the counts of racks and urgent accelerators in the fleet's failure domains.
 */
void rj_cell_plan_gather_workers(struct rj_cell_plan *plan)
{
	const GPtrArray *racks = plan->fleet->racks;
	struct rj_cell_domain *domain;

	plan->workers = talloc_zero_array(NULL, struct rj_cell_plan_worker,
					  plan->fleet->count);
	assert(plan->workers || !plan->fleet->count);
	plan->releases = talloc_zero_array(
		plan->workers, struct rj_cell_releases, plan->fleet->count);
	assert(plan->releases || !plan->fleet->count);
	for (guint i = 0; i < plan->fleet->domains->len; i++) {
		domain = plan->fleet->domains->pdata[i];
		domain->urgent = 0;
		domain->racks = 0;
	}
	for (guint i = 0; i < racks->len; i++) {
		struct rj_cell_rack *rack = racks->pdata[i];
		struct rj_cell_plan_rack plan_rack = {
			.name = rack->name, .first = plan->worker_count
		};
		struct rj_list *at;
		struct rj_list *next;

		RJ_FOR_EACH (at, next, &rack->workers)
			add_plan_worker(plan,
					RJ_CONTAINER(at, struct rj_cell_worker,
						     in_rack));
		plan_rack.count = plan->worker_count - plan_rack.first;
		if (!plan_rack.count)
			continue;
		domain = plan->workers[plan_rack.first].worker->domain;
		plan_rack.domain = domain;
		for (uint32_t j = 1; j < plan_rack.count; j++)
			plan_rack.mixed_domains |=
				plan->workers[plan_rack.first + j]
					.worker->domain != domain;
		plan_rack.domain_rank = domain->racks++;
		plan_rack.range = plan->ranges->len;
		add_worker_range(plan, &plan_rack);
		g_array_append_val(plan->racks, plan_rack);
	}
	plan->effort += (uint64_t)plan->worker_count * GATHER_WORKER_EFFORT;
	interleave_domains(plan);
	reserve_racks(plan);
}
