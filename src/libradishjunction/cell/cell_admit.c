#include "private/cell_admit.h"

#include <string.h>

#include "private/cell_account_admission.h"
#include "private/cell_admission_forecast.h"

/*
 * Percentage of the capacity from which a wait is computed. Fragmentation by
 * racks and gangs leaves some capacity idle, so that forecasts are accurate to
 * about a fifth.
 */
#define USABLE_CAPACITY_PERCENT 80
/* With fewer usable workers than this the owner refuses nothing: after a
 * takeover it has not contacted most of them yet. */
#define USABLE_WORKERS_MIN_PERCENT 50
/* The retry delay is capped, as forecasts reach no further. */
#define RETRY_AFTER_MAX_MS 20000
#define RETRY_AFTER_MIN_MS 1000
/* Short, as a cordon may be lifted at any time. */
#define CORDONED_RETRY_AFTER_MS 3000

/* Maximum length of the pending jobs of queues that the table of loads does not
 * hold, also half of the log's limit of a record, and of one row besides its
 * name. */
#define FURTHER_PENDING_BYTES_MAX (128 * 1024)
#define PENDING_ROW_BYTES 8

/* Resources, or resources multiplied by milliseconds. */
struct load {
	double cpu_milli;
	double memory_mb;
	double accelerators;
};

/* Adds `demand` multiplied by `factor`. */
static void add_demand(struct load *load, const struct rj_cell_demand *demand,
		       double factor)
{
	load->cpu_milli += demand->cpu_milli * factor;
	load->memory_mb += demand->memory_mb * factor;
	load->accelerators += demand->accelerators * factor;
}

/* Adds the remaining work of one job, in resources times milliseconds. */
static void add_job(struct load *load, const struct rj_cell_owner *owner,
		    const struct rj_cell_job *job)
{
	const struct rj_cell_job_spec *spec = job->job_spec;
	const struct rj_list *at;

	for (at = job->occurrences.next; at != &job->occurrences;
	     at = at->next) {
		const struct rj_cell_occurrence *occurrence =
			RJ_CONTAINER(at, struct rj_cell_occurrence, link);

		for (uint32_t i = 0; i < spec->step_count; i++)
			if (!spec->steps[i].perpetual)
				add_demand(
					load, &spec->steps[i].each,
					(double)occurrence->left[i] *
						(double)rj_cell_forecast_task_ms(
							&owner->forecast, spec,
							i));
	}
}

/*
 * Whether a job is served before or with a new job of this priority, and is
 * neither cancelled nor too late.
 */
bool rj_cell_admit_is_ahead(const struct rj_cell_owner *owner,
			    const struct rj_cell_job *job, uint32_t priority)
{
	return job->job_spec->priority <= priority && !job->cancelled &&
	       job->state < RJ_CELL_JOB_COMPLETED &&
	       owner->now_us <= job->late_us;
}

/* Returns the remaining work of all jobs that are served before or with a new
 * job of this priority, without those that are cancelled or too late. */
static struct load load_ahead(const struct rj_cell_owner *owner,
			      uint32_t priority)
{
	const struct rj_list *at;
	struct load load = { 0, 0, 0 };

	for (at = owner->jobs.next; at != &owner->jobs; at = at->next) {
		const struct rj_cell_job *job =
			RJ_CONTAINER(at, struct rj_cell_job, link);

		if (rj_cell_admit_is_ahead(owner, job, priority))
			add_job(&load, owner, job);
	}
	return load;
}

/* The workers of one service. */
struct capacity {
	struct load total; /* resources of the usable workers */
	uint32_t cordoned; /* workers cordoned by operators */
	uint32_t schedulable; /* workers that may get new work */
	uint32_t usable; /* of these, workers that can start runs now */
};

/* Sums up the workers of a service. */
static void sum_workers(const struct rj_cell_owner *owner, const char *service,
			struct capacity *capacity)
{
	const struct rj_list *at;

	memset(capacity, 0, sizeof(*capacity));
	for (at = owner->fleet.workers.next; at != &owner->fleet.workers;
	     at = at->next) {
		const struct rj_cell_worker *worker =
			RJ_CONTAINER(at, struct rj_cell_worker, link);

		if (!worker->listed ||
		    strcmp(worker->heartbeat.service, service) != 0)
			continue;
		capacity->cordoned += rj_cell_worker_cordoned(worker);
		if (!rj_cell_worker_schedulable(worker))
			continue;
		capacity->schedulable++;
		if (!rj_cell_worker_usable(worker, owner->now_us))
			continue;
		capacity->usable++;
		add_demand(&capacity->total, &worker->heartbeat.capacity, 1);
	}
}

/* Whether enough workers are usable for a forecast. */
static bool has_enough_workers(const struct capacity *capacity)
{
	return capacity->schedulable &&
	       capacity->usable * 100 >=
		       capacity->schedulable * USABLE_WORKERS_MIN_PERCENT;
}

/*
 * Returns the retry delay after a rejection of a job that would be too late by
 * `excess_ms`.
 */
uint32_t rj_cell_admit_retry_after_ms(double excess_ms)
{
	return (uint32_t)CLAMP(excess_ms, RETRY_AFTER_MIN_MS,
			       RETRY_AFTER_MAX_MS);
}

/* Refuses new jobs of a queue, with a retry delay. */
static void refuse(struct rj_cell_queue_load *queue_load,
		   uint32_t retry_after_ms)
{
	queue_load->refuse = true;
	queue_load->retry_after_ms = retry_after_ms;
}

/* Returns the time in milliseconds in which `capacity` completes `load`;
 * without capacity, more than any retry delay. */
static double drain_ms(double load, double capacity)
{
	if (load <= 0)
		return 0;
	return capacity > 0 ? load / capacity :
			      RETRY_AFTER_MAX_MS * RJ_CELL_LATE_FACTOR;
}

/* Returns the forecast wait of a new job of a queue, in milliseconds. */
static double forecast_wait_ms(const struct rj_cell_owner *owner,
			       const struct rj_cell_queue *queue,
			       const struct load *capacity)
{
	struct load load = load_ahead(owner, queue->priority);
	double accelerators = capacity->accelerators;
	double wait;

	/* Further urgent jobs will arrive and go first. */
	if (queue->priority)
		accelerators -= rj_cell_forecast_urgent_accelerators(
			&owner->forecast, owner->now_us);
	wait = MAX(drain_ms(load.cpu_milli, capacity->cpu_milli),
		   MAX(drain_ms(load.memory_mb, capacity->memory_mb),
		       drain_ms(load.accelerators, accelerators)));
	return wait * 100 / USABLE_CAPACITY_PERCENT;
}

/*
 * Decides which accounts a queue accepts, after a decision by the service rate.
 * An urgent queue that cannot name those that it rejects accepts all while an
 * account is within its guarantee.
 */
static void add_account_admission(struct rj_cell_owner *owner,
				  const struct rj_cell_queue *queue,
				  struct rj_cell_owner_heartbeat *heartbeat)
{
	const struct rj_cell_service_decision *decision =
		rj_cell_service_rate_decision(&owner->service_rate,
					      queue->name);
	uint32_t index = heartbeat->queue_load_count;

	if (!owner->limits.features.account_shares || !decision ||
	    !decision->rejects)
		return;
	rj_cell_account_admission_add_queue(owner, queue->priority,
					    decision->wait_ms,
					    decision->limit_ms, heartbeat);
	if (!queue->priority && !(heartbeat->queues_by_share & 1U << index) &&
	    rj_cell_guarantees_have_room(&owner->guarantees, owner->config))
		heartbeat->queue_loads[index].refuse = false;
}

/*
 * Decides whether one queue, the next one of the heartbeat, accepts jobs. `work`
 * is that of all jobs by class, with the feature admission_forecast.
 *
 * Guards against sustained overload: jobs accepted then complete too late to be
 * of use and take capacity from jobs that are still in time, and their callers
 * learn of it only after minutes.
 */
static void evaluate_queue(struct rj_cell_owner *owner,
			   const struct rj_cell_queue *queue,
			   const struct rj_cell_service_load *work,
			   struct rj_cell_owner_heartbeat *heartbeat)
{
	struct rj_cell_queue_load *queue_load =
		&heartbeat->queue_loads[heartbeat->queue_load_count];
	struct capacity capacity;
	double late_ms =
		RJ_CELL_LATE_FACTOR *
		((double)queue_load->mean_ms * queue->stretch_milli / 1000 +
		 queue->latency_ms);
	double wait_ms;
	double excess_ms;

	sum_workers(owner, queue->service, &capacity);
	if (capacity.cordoned && !capacity.schedulable)
		refuse(queue_load, CORDONED_RETRY_AFTER_MS);
	if (owner->limits.features.admission_forecast &&
	    rj_cell_admission_forecast_decide(
		    owner, queue, has_enough_workers(&capacity), late_ms,
		    forecast_wait_ms(owner, queue, &capacity.total), work,
		    queue_load)) {
		add_account_admission(owner, queue, heartbeat);
		return;
	}
	if (!has_enough_workers(&capacity))
		return;
	wait_ms = forecast_wait_ms(owner, queue, &capacity.total);
	excess_ms = wait_ms + queue_load->mean_ms - late_ms;
	if (excess_ms > 0)
		refuse(queue_load, rj_cell_admit_retry_after_ms(excess_ms));
	if (owner->limits.features.account_shares)
		rj_cell_account_admission_add_queue(
			owner, queue->priority, wait_ms,
			late_ms - queue_load->mean_ms, heartbeat);
}

/* Counts by queue the jobs of which no worker has started a task, without those
 * that run at a set time. The caller frees the table. */
static GHashTable *count_pending(const struct rj_cell_owner *owner)
{
	GHashTable *counts = g_hash_table_new(g_str_hash, g_str_equal);
	const struct rj_list *at;

	for (at = owner->jobs.next; at != &owner->jobs; at = at->next) {
		const struct rj_cell_job *job =
			RJ_CONTAINER(at, struct rj_cell_job, link);
		const char *queue = job->job_spec->queue;
		guint count;

		if (job->any_begun || job->cancelled ||
		    job->job_spec->repeats ||
		    (job->state != RJ_CELL_JOB_QUEUED &&
		     job->state != RJ_CELL_JOB_RUNNING))
			continue;
		count = GPOINTER_TO_UINT(g_hash_table_lookup(counts, queue));
		g_hash_table_insert(counts, (gpointer)queue,
				    GUINT_TO_POINTER(count + 1));
	}
	return counts;
}

/* Adds the pending jobs of a queue for which the heartbeat's table of loads has
 * no row left, as far as the record has room. */
static void add_further_pending(const struct rj_cell_owner *owner,
				const char *queue, uint32_t pending,
				struct rj_cell_owner_heartbeat *heartbeat,
				size_t *bytes)
{
	size_t max_bytes = owner->limits.record_max_bytes ?
				   owner->limits.record_max_bytes / 2 :
				   FURTHER_PENDING_BYTES_MAX;

	if (!pending)
		return;
	*bytes += strlen(queue) + PENDING_ROW_BYTES;
	if (*bytes <= MIN(max_bytes, FURTHER_PENDING_BYTES_MAX))
		rj_cell_owner_heartbeat_set_pending(heartbeat, queue, pending);
}

/*
 * Fills the heartbeat with the pending jobs, the mean run time and the admission
 * decision of each queue that has pending jobs or tasks with a known run time;
 * of those that the table of loads cannot hold, with the pending jobs only. A
 * successor takes the run times over.
 */
void rj_cell_admit_queues(struct rj_cell_owner *owner,
			  struct rj_cell_owner_heartbeat *heartbeat)
{
	const struct rj_cell_config *config = owner->config;
	GHashTable *pending = count_pending(owner);
	struct rj_cell_service_load work[RJ_CELL_PRIORITY_CLASSES] = { { 0 } };
	size_t further_bytes = 0;

	rj_cell_guarantees_update(&owner->guarantees, &owner->jobs, config,
				  &owner->forecast, owner->now_us);
	if (owner->limits.features.admission_forecast)
		rj_cell_admission_forecast_sum_work(owner, work);
	heartbeat->queue_load_count = 0;
	heartbeat->queues_by_share = 0;
	heartbeat->refused_account_count = 0;
	for (uint32_t i = 0; config && i < config->queue_count; i++) {
		struct rj_cell_queue_load *queue_load =
			&heartbeat->queue_loads[heartbeat->queue_load_count];
		uint32_t count = GPOINTER_TO_UINT(
			g_hash_table_lookup(pending, config->queues[i].name));

		if (heartbeat->queue_load_count == RJ_CELL_QUEUE_LOADS_MAX) {
			add_further_pending(owner, config->queues[i].name,
					    count, heartbeat, &further_bytes);
			continue;
		}
		memset(queue_load, 0, sizeof(*queue_load));
		queue_load->mean_ms = rj_cell_forecast_mean_ms(
			&owner->forecast, config->queues[i].name);
		queue_load->pending = count;
		if (!queue_load->mean_ms && !queue_load->pending)
			continue;
		memcpy(queue_load->queue, config->queues[i].name,
		       sizeof(queue_load->queue));
		if (queue_load->mean_ms)
			evaluate_queue(owner, &config->queues[i], work,
				       heartbeat);
		heartbeat->queue_load_count++;
	}
	g_hash_table_destroy(pending);
}
