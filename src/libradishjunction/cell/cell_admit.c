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

	for (at = owner->works.next; at != &owner->works; at = at->next) {
		const struct rj_cell_work *work =
			RJ_CONTAINER(at, struct rj_cell_work, link);

		if (work->def->priority <= priority && !work->cancelled &&
		    work->state < RJ_CELL_JOB_COMPLETED &&
		    owner->now_us <= work->late_us)
			add_work(&load, owner, work);
	}
	return load;
}

/* The room of all workers of a service that can be used; false when too
 * many are not known yet. */
static bool room_of(const struct rj_cell_owner *owner, const char *service,
		    struct load *room)
{
	const struct rj_list *at;
	uint32_t listed = 0;
	uint32_t usable = 0;

	memset(room, 0, sizeof(*room));
	for (at = owner->fleet.workers.next; at != &owner->fleet.workers;
	     at = at->next) {
		const struct rj_cell_worker *worker =
			RJ_CONTAINER(at, struct rj_cell_worker, link);

		if (!worker->listed || strcmp(worker->said.service, service))
			continue;
		listed++;
		if (!rj_cell_worker_usable(worker, owner->now_us))
			continue;
		usable++;
		add(room, &worker->said.capacity, 1);
	}
	return listed && usable * 100 >= listed * KNOWN_PERCENT;
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
	struct load room;
	double late_ms = RJ_CELL_LATE_FACTOR *
			 ((double)share->mean_ms * queue->stretch_milli / 1000 +
			  queue->latency_ms);
	double over_ms;

	if (!room_of(owner, queue->service, &room))
		return;
	over_ms = wait_of(owner, queue, &room) + share->mean_ms - late_ms;
	if (over_ms <= 0)
		return;
	share->refuse = true;
	share->come_back_ms =
		(uint32_t)CLAMP(over_ms, COME_BACK_MIN_MS, COME_BACK_MAX_MS);
}

/*
 * Fill in what the entries, and an heir, are told of each queue that work has
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
