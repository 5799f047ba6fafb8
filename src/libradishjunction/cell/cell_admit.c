#include "private/cell_admit.h"

#include <string.h>

/*
 * What is accepted must still be of use when it ends. The forecast of the
 * wait is good to about a fifth, as racks and gangs leave some room idle.
 */
#define USABLE_PERCENT 80
/* Without most of its workers the owner does not judge: it has just taken
 * over, and will know in a moment. */
#define KNOWN_PERCENT 50
/* Nobody is sent away for longer, as forecasts do not reach further. */
#define COME_BACK_MAX_MS 20000
#define COME_BACK_MIN_MS 1000
/* Cordons are lifted without notice. */
#define CORDONED_COME_BACK_MS 3000

/* Room times time, in each of the three kinds of room. */
struct load {
	double cpu_milli;
	double memory_mb;
	double accelerators;
};

/* Add `times` of one demand. */
static void add(struct load *load, const struct rj_cell_demand *demand,
		double times)
{
	load->cpu_milli += demand->cpu_milli * times;
	load->memory_mb += demand->memory_mb * times;
	load->accelerators += demand->accelerators * times;
}

/* What is left to be done of one job, in room times milliseconds. */
static void add_work(struct load *load, const struct rj_cell_owner *owner,
		     const struct rj_cell_work *work)
{
	const struct rj_cell_def *def = work->def;
	const struct rj_list *at;

	for (at = work->rounds.next; at != &work->rounds; at = at->next) {
		const struct rj_cell_round *round =
			RJ_CONTAINER(at, struct rj_cell_round, link);

		for (uint32_t i = 0; i < def->step_count; i++)
			if (!def->steps[i].perpetual)
				add(load, &def->steps[i].each,
				    (double)round->left[i] *
					    (double)rj_cell_forecast_task_ms(
						    &owner->forecast, def, i));
	}
}

/* What is left of all jobs that a queue of this priority has to wait for. */
static struct load load_before(const struct rj_cell_owner *owner,
			       uint32_t priority)
{
	const struct rj_list *at;
	struct load load = { 0, 0, 0 };

	for (at = owner->jobs.next; at != &owner->jobs; at = at->next) {
		const struct rj_cell_work *work =
			RJ_CONTAINER(at, struct rj_cell_work, link);

		if (work->def->priority <= priority && !work->cancelled &&
		    work->state < RJ_CELL_JOB_COMPLETED &&
		    owner->now_us <= work->late_us)
			add_work(&load, owner, work);
	}
	return load;
}

/* The workers of a service. */
struct capacity {
	struct load room; /* of those that can be used */
	uint32_t cordoned; /* by operators */
	uint32_t staying;
	uint32_t usable; /* of those that stay */
};

/* Add up what the workers of a service have. */
static void sum_capacity(const struct rj_cell_owner *owner, const char *service,
			 struct capacity *capacity)
{
	const struct rj_list *at;

	memset(capacity, 0, sizeof(*capacity));
	for (at = owner->fleet.workers.next; at != &owner->fleet.workers;
	     at = at->next) {
		const struct rj_cell_worker *worker =
			RJ_CONTAINER(at, struct rj_cell_worker, link);

		if (!worker->listed ||
		    strcmp(worker->said.service, service) != 0)
			continue;
		capacity->cordoned += rj_cell_worker_cordoned(worker);
		if (!rj_cell_worker_stays(worker))
			continue;
		capacity->staying++;
		if (!rj_cell_worker_usable(worker, owner->now_us))
			continue;
		capacity->usable++;
		add(&capacity->room, &worker->said.capacity, 1);
	}
}

/* Whether enough workers are known to judge by them. */
static bool is_known(const struct capacity *capacity)
{
	return capacity->staying &&
	       capacity->usable * 100 >= capacity->staying * KNOWN_PERCENT;
}

/* Send clients of a queue away. */
static void refuse(struct rj_cell_share *share, uint32_t come_back_ms)
{
	share->refuse = true;
	share->come_back_ms = come_back_ms;
}

/* A load over a room, in milliseconds. */
static double time_of(double load, double room)
{
	if (load <= 0)
		return 0;
	return room > 0 ? load / room : COME_BACK_MAX_MS * RJ_CELL_LATE_FACTOR;
}

/* How long a new job of a queue would wait, in milliseconds. */
static double wait_of(const struct rj_cell_owner *owner,
		      const struct rj_cell_queue *queue,
		      const struct load *room)
{
	struct load load = load_before(owner, queue->priority);
	double accelerators = room->accelerators;
	double wait;

	/* Urgent work goes on coming, and goes first. */
	if (queue->priority)
		accelerators -= rj_cell_forecast_urgent(&owner->forecast,
							owner->now_us);
	wait = MAX(time_of(load.cpu_milli, room->cpu_milli),
		   MAX(time_of(load.memory_mb, room->memory_mb),
		       time_of(load.accelerators, accelerators)));
	return wait * 100 / USABLE_PERCENT;
}

/*
 * Decide on one queue.
 *
 * Load that it answers: more work of a kind than ends in time, for longer
 * than a burst. What is accepted then ends when nobody wants it any more,
 * and keeps what still could be of use from room; its callers learn that
 * after minutes instead of at once.
 */
static void judge(const struct rj_cell_owner *owner,
		  const struct rj_cell_queue *queue,
		  struct rj_cell_share *share)
{
	struct capacity capacity;
	double late_ms = RJ_CELL_LATE_FACTOR *
			 ((double)share->mean_ms * queue->stretch_milli / 1000 +
			  queue->latency_ms);
	double over_ms;

	sum_capacity(owner, queue->service, &capacity);
	if (capacity.cordoned && !capacity.staying)
		refuse(share, CORDONED_COME_BACK_MS);
	if (!is_known(&capacity))
		return;
	over_ms = wait_of(owner, queue, &capacity.room) + share->mean_ms -
		  late_ms;
	if (over_ms > 0)
		refuse(share, (uint32_t)CLAMP(over_ms, COME_BACK_MIN_MS,
					      COME_BACK_MAX_MS));
}

/*
 * Fill in what the entries, and a successor, are told of each queue that work has
 * been done for.
 */
void rj_cell_admit_shares(const struct rj_cell_owner *owner,
			  struct rj_cell_beat *beat)
{
	const struct rj_cell_config *config = owner->config;

	beat->share_count = 0;
	for (uint32_t i = 0; config && i < config->queue_count &&
			     beat->share_count < RJ_CELL_SHARES_MAX;
	     i++) {
		struct rj_cell_share *share = &beat->shares[beat->share_count];

		memset(share, 0, sizeof(*share));
		share->mean_ms = rj_cell_forecast_mean_ms(
			&owner->forecast, config->queues[i].name);
		if (!share->mean_ms)
			continue;
		memcpy(share->queue, config->queues[i].name,
		       sizeof(share->queue));
		judge(owner, &config->queues[i], share);
		beat->share_count++;
	}
}
