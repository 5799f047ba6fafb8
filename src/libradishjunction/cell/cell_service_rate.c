#include "private/cell_service_rate.h"

#include <math.h>
#include <string.h>

#include "private/cell_share.h"

/*
 * Time constant of the averages of what the classes hold: about a run time, as
 * tasks that started together also end together. A burst shows in the work ahead
 * at once.
 */
#define HELD_DECAY_US (5 * RJ_US_PER_S)
/* Longest interval between plans that one sample stands for. */
#define SAMPLE_INTERVAL_MAX_US (500 * RJ_US_PER_MS)
/* Plans that follow sooner are not observed. */
#define SAMPLE_INTERVAL_US (50 * RJ_US_PER_MS)
/* A class is short of capacity once its tasks have waited this long: an accepted
 * gang waits for some plans, and for preempted runs to end, on any cell. */
#define SHORT_MIN_US RJ_US_PER_S
/* It is no longer short once none of its tasks has waited for this long. */
#define SHORT_GAP_MAX_US RJ_US_PER_S
/* A term is measured once it has observed plans for this long. */
#define TERM_MIN_US (3 * RJ_US_PER_S)
/* Time constant of the average of accepted work: after a burst of the classes
 * that go first, lower ones are accepted again within seconds. */
#define ARRIVALS_DECAY_US (3 * RJ_US_PER_S)
/* Time constant of the sums of useful and wasted work: a few run times, as
 * gangs end at long intervals. */
#define ENDS_DECAY_US (20 * RJ_US_PER_S)
/* Lower limit of the useful share: the loss of a rack or of a failure domain
 * does not repeat at this rate. */
#define USEFUL_SHARE_MIN 0.5
/* Work that counts as useful in advance, as the milliseconds in which what the
 * class holds does it. In a young term the first runs to end are those that were
 * stopped. */
#define USEFUL_PRIOR_MS 2000.0
/* Cores, in thousandths, that an accelerator counts as in useful and wasted
 * work, by the users' prices. */
#define ACCELERATOR_CORES_MILLI 8000.0
/* Wait without any capacity: more than the limit of any queue. */
#define WAIT_MAX_MS 1e9
/* Part of the cell that urgent jobs get, as they may preempt all others; the
 * rest is left idle by fragmentation. */
#define URGENT_CAPACITY_PERCENT 80
/* A queue accepts again once the wait is this much below its limit, so that its
 * decision does not change at each heartbeat. */
#define ACCEPT_PERCENT 95
/* Limits of the retry delay: a heartbeat is written each 0.4 s, and forecasts
 * reach no further. */
#define RETRY_AFTER_MIN_MS 1000
#define RETRY_AFTER_MAX_MS 20000

const char *const rj_cell_service_basis_string[RJ_CELL_SERVICE_BASIS_COUNT] = {
	[RJ_CELL_SERVICE_UNMEASURED] = "unmeasured",
	[RJ_CELL_SERVICE_NO_BACKLOG] = "no_backlog",
	[RJ_CELL_SERVICE_MEASURED] = "measured",
};

/*
 * Initializes the figures of a term: nothing is measured.
 */
void rj_cell_service_rate_init(struct rj_cell_service_rate *rate)
{
	memset(rate, 0, sizeof(*rate));
}

/*
 * Adds `demand` multiplied by `factor`.
 */
void rj_cell_service_load_add(struct rj_cell_service_load *load,
			      const struct rj_cell_demand *demand,
			      double factor)
{
	load->cpu_milli += demand->cpu_milli * factor;
	load->memory_mb += demand->memory_mb * factor;
	load->accelerators += demand->accelerators * factor;
}

/* Moves each resource of `to` towards `from` by a fraction of `weight`. */
static void approach(struct rj_cell_service_load *to,
		     const struct rj_cell_service_load *from, double weight)
{
	to->cpu_milli += weight * (from->cpu_milli - to->cpu_milli);
	to->memory_mb += weight * (from->memory_mb - to->memory_mb);
	to->accelerators += weight * (from->accelerators - to->accelerators);
}

/* Returns the factor by which a sum decays from `from_us` to `now_us`. */
static double decay(uint64_t from_us, uint64_t now_us, uint64_t constant_us)
{
	uint64_t age_us = now_us > from_us ? now_us - from_us : 0;

	return exp(-(double)age_us / (double)constant_us);
}

/* Whether no task of a class has waited in the last plans up to `observed_us`.
 * Without plans, as while the log is slow, nothing has changed. */
static bool has_gap(const struct rj_cell_service_class *class,
		    uint64_t observed_us)
{
	return !class->short_until_us ||
	       observed_us > class->short_until_us + SHORT_GAP_MAX_US;
}

/* Updates the averages of one class whose tasks wait. After a time without a
 * backlog, what was held then says nothing about the present load. */
static void observe_class(
	struct rj_cell_service_class *class,
	const struct rj_cell_service_sample samples[RJ_CELL_PRIORITY_CLASSES],
	uint64_t observed_us, uint64_t now_us)
{
	uint64_t since_us =
		MAX(observed_us, now_us - MIN(now_us, SAMPLE_INTERVAL_MAX_US));
	double weight = 1 - decay(since_us, now_us, HELD_DECAY_US);

	if (has_gap(class, observed_us)) {
		class->short_since_us = now_us;
		weight = 1;
	}
	class->short_until_us = now_us;
	for (uint32_t i = 0; i < RJ_CELL_PRIORITY_CLASSES; i++)
		approach(&class->held[i], &samples[i].held, weight);
}

/*
 * Whether a plan is to be observed now: plans that follow each other at once
 * show the same.
 */
bool rj_cell_service_rate_is_due(const struct rj_cell_service_rate *rate,
				 uint64_t now_us)
{
	return !rate->observed_since_us ||
	       now_us >= rate->observed_us + SAMPLE_INTERVAL_US;
}

/*
 * Records what a plan shows. `total` is the capacity of its workers, or NULL if
 * the plan had nothing to place.
 */
void rj_cell_service_rate_observe(
	struct rj_cell_service_rate *rate,
	const struct rj_cell_service_sample samples[RJ_CELL_PRIORITY_CLASSES],
	const struct rj_cell_service_load *total, uint64_t now_us)
{
	if (!rate->observed_since_us)
		rate->observed_since_us = now_us;
	if (total)
		rate->total = *total;
	for (uint32_t i = 0; total && i < RJ_CELL_PRIORITY_CLASSES; i++)
		if (samples[i].waits)
			observe_class(&rate->classes[i], samples,
				      rate->observed_us, now_us);
	rate->observed_us = now_us;
}

/*
 * Records the work of a run that has ended, in core-milliseconds.
 */
void rj_cell_service_rate_record_end(struct rj_cell_service_rate *rate,
				     uint32_t class, double useful,
				     double wasted, uint64_t now_us)
{
	struct rj_cell_service_class *figures = &rate->classes[class];
	double factor = decay(figures->ends_us, now_us, ENDS_DECAY_US);

	figures->useful = figures->useful * factor + useful;
	figures->wasted = figures->wasted * factor + wasted;
	figures->ends_us = now_us;
}

/*
 * Records the work of an accepted job, in resources times milliseconds.
 */
void rj_cell_service_rate_record_arrival(
	struct rj_cell_service_rate *rate, uint32_t class,
	const struct rj_cell_service_load *work, uint64_t now_us)
{
	struct rj_cell_service_class *to = &rate->classes[class];
	const struct rj_cell_service_load none = { 0 };
	const double per_ms = (double)RJ_US_PER_MS / (double)ARRIVALS_DECAY_US;

	approach(&to->arrivals, &none,
		 1 - decay(to->arrivals_us, now_us, ARRIVALS_DECAY_US));
	to->arrivals.cpu_milli += work->cpu_milli * per_ms;
	to->arrivals.memory_mb += work->memory_mb * per_ms;
	to->arrivals.accelerators += work->accelerators * per_ms;
	to->arrivals_us = now_us;
}

/*
 * Returns the share of the work of a class that was not lost in runs that ended
 * badly, from USEFUL_SHARE_MIN to 1. Wide gangs lose more than single tasks.
 */
double
rj_cell_service_rate_useful_share(const struct rj_cell_service_rate *rate,
				  uint32_t class, uint64_t now_us)
{
	const struct rj_cell_service_class *figures = &rate->classes[class];
	const struct rj_cell_service_load *held = &figures->held[class];
	double factor = decay(figures->ends_us, now_us, ENDS_DECAY_US);
	double useful = figures->useful * factor +
			USEFUL_PRIOR_MS / 1000 *
				(held->cpu_milli +
				 ACCELERATOR_CORES_MILLI * held->accelerators);
	double sum = useful + figures->wasted * factor;

	return sum > 0 ? MAX(useful / sum, USEFUL_SHARE_MIN) : 1;
}

/*
 * Tells on what a decision on a priority class can be based. A class without a
 * recent backlog is not short of capacity, whatever work is accepted.
 */
enum rj_cell_service_basis
rj_cell_service_rate_basis(const struct rj_cell_service_rate *rate,
			   uint32_t class, uint64_t now_us)
{
	const struct rj_cell_service_class *figures = &rate->classes[class];

	if (!rate->observed_since_us ||
	    now_us < rate->observed_since_us + TERM_MIN_US)
		return RJ_CELL_SERVICE_UNMEASURED;
	if (has_gap(figures, rate->observed_us) ||
	    figures->short_until_us < figures->short_since_us + SHORT_MIN_US)
		return RJ_CELL_SERVICE_NO_BACKLOG;
	return RJ_CELL_SERVICE_MEASURED;
}

/* One resource of a load. */
enum resource { CPU, MEMORY, ACCELERATORS, RESOURCE_COUNT };

static double amount(const struct rj_cell_service_load *load, int resource)
{
	return resource == CPU	  ? load->cpu_milli :
	       resource == MEMORY ? load->memory_mb :
				    load->accelerators;
}

/* Returns the resource of which some work needs the largest part of the cell.
 * Of the others less is held than the cell has, as this one runs out first. */
static int scarcest(const struct rj_cell_service_load *work,
		    const struct rj_cell_service_load *total)
{
	int scarcest = CPU;

	for (int i = 1; i < RESOURCE_COUNT; i++)
		if (amount(work, i) * amount(total, scarcest) >
		    amount(work, scarcest) * amount(total, i))
			scarcest = i;
	return scarcest;
}

/* Returns the time in milliseconds in which `capacity` completes `work`. */
static double drain_ms(double work, double capacity)
{
	if (work <= 0)
		return 0;
	return capacity * WAIT_MAX_MS > work ? work / capacity : WAIT_MAX_MS;
}

/* Returns the wait of a class that gets what it holds now, and what lower
 * classes hold beyond their shares once their runs complete. */
static double wait_at_held_ms(const struct rj_cell_service_rate *rate,
			      uint32_t class,
			      const struct rj_cell_service_load *work,
			      uint64_t now_us)
{
	const struct rj_cell_service_class *figures = &rate->classes[class];
	int resource = scarcest(work, &rate->total);
	double share = amount(&rate->total, resource) / RJ_CELL_SHARE_DIVISOR;
	double capacity = amount(&figures->held[class], resource);

	for (uint32_t i = class + 1; i < RJ_CELL_PRIORITY_CLASSES; i++)
		capacity += MAX(amount(&figures->held[i], resource) - share, 0);
	return drain_ms(amount(work, resource),
			capacity * rj_cell_service_rate_useful_share(
					   rate, class, now_us));
}

/* Returns the wait of an urgent job. */
static double wait_urgent_ms(const struct rj_cell_service_rate *rate,
			     const struct rj_cell_service_load *work)
{
	int resource = scarcest(work, &rate->total);

	return drain_ms(amount(work, resource),
			amount(&rate->total, resource) *
				URGENT_CAPACITY_PERCENT / 100);
}

/* Returns the wait of a class behind the work of the classes that go first, if
 * those are sent as much as in the last seconds. */
static double wait_behind_ms(const struct rj_cell_service_rate *rate,
			     uint32_t class,
			     const struct rj_cell_service_load *work,
			     uint64_t now_us)
{
	const struct rj_cell_service_class *figures = &rate->classes[class];
	struct rj_cell_service_load sum = { 0 };
	double capacity = 0;
	double arrivals = 0;
	int resource;

	for (uint32_t i = 1; i <= class; i++) {
		sum.cpu_milli += work[i].cpu_milli;
		sum.memory_mb += work[i].memory_mb;
		sum.accelerators += work[i].accelerators;
	}
	resource = scarcest(&sum, &rate->total);
	for (uint32_t i = 1; i < RJ_CELL_PRIORITY_CLASSES; i++)
		capacity += amount(&figures->held[i], resource) *
			    rj_cell_service_rate_useful_share(rate, i, now_us);
	for (uint32_t i = 1; i < class; i++)
		arrivals += amount(&rate->classes[i].arrivals, resource) *
			    decay(rate->classes[i].arrivals_us, now_us,
				  ARRIVALS_DECAY_US);
	return drain_ms(amount(&sum, resource), capacity - arrivals);
}

/*
 * Returns the time in milliseconds in which the work ahead of a new job of a
 * class completes. `work` is that of all jobs by class; the class must be
 * RJ_CELL_SERVICE_MEASURED.
 *
 * For classes below the first two it is the shorter one of the times with what
 * the class holds now and with what the classes that go first leave: under a
 * lasting overload of those it gets its minimum share, after their burst the
 * whole cell.
 */
double rj_cell_service_rate_wait_ms(
	const struct rj_cell_service_rate *rate, uint32_t class,
	const struct rj_cell_service_load work[RJ_CELL_PRIORITY_CLASSES],
	uint64_t now_us)
{
	double wait_ms;

	if (!class)
		return wait_urgent_ms(rate, &work[class]);
	wait_ms = wait_at_held_ms(rate, class, &work[class], now_us);
	if (class == 1)
		return wait_ms;
	return MIN(wait_ms, wait_behind_ms(rate, class, work, now_us));
}

/*
 * Returns the last decision on a queue, a new one if there is none, or NULL if
 * there are decisions on RJ_CELL_QUEUE_LOADS_MAX other queues.
 */
struct rj_cell_service_decision *
rj_cell_service_rate_decision(struct rj_cell_service_rate *rate,
			      const char *queue)
{
	struct rj_cell_service_decision *decision;

	for (uint32_t i = 0; i < rate->decision_count; i++)
		if (!strcmp(rate->decisions[i].queue, queue))
			return &rate->decisions[i];
	if (rate->decision_count >= RJ_CELL_QUEUE_LOADS_MAX)
		return NULL;
	decision = &rate->decisions[rate->decision_count++];
	g_strlcpy(decision->queue, queue, sizeof(decision->queue));
	return decision;
}

/*
 * Decides whether a queue rejects new jobs, of which one waits for `wait_ms` and
 * is of use if it waits for at most `limit_ms`. Without a measured backlog it
 * accepts. Returns whether the decision has changed.
 */
bool rj_cell_service_decide(struct rj_cell_service_decision *decision,
			    enum rj_cell_service_basis basis, double wait_ms,
			    double limit_ms)
{
	bool rejected = decision->rejects;
	double accept_ms = limit_ms * ACCEPT_PERCENT / 100;

	decision->basis = basis;
	decision->wait_ms = basis == RJ_CELL_SERVICE_MEASURED ? wait_ms : 0;
	decision->limit_ms = limit_ms;
	decision->rejects =
		decision->wait_ms > (rejected ? accept_ms : limit_ms);
	decision->retry_after_ms =
		decision->rejects ?
			(uint32_t)CLAMP(decision->wait_ms - accept_ms,
					RETRY_AFTER_MIN_MS,
					RETRY_AFTER_MAX_MS) :
			0;
	decision->changes += decision->rejects != rejected;
	return decision->rejects != rejected;
}
