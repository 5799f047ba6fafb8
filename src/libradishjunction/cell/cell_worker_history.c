#include "private/cell_worker_history.h"

#include <glib.h>
#include <math.h>

#include "radishjunction/types.h"

const char *const rj_cell_bad_end_string[RJ_CELL_BAD_END_COUNT] = {
	[RJ_CELL_BAD_END_FAILED] = "failed",
	[RJ_CELL_BAD_END_LOST_CALL] = "lost_call",
	[RJ_CELL_BAD_END_FAILED_EARLY] = "failed_early",
	[RJ_CELL_BAD_END_REFUSED] = "refused",
	[RJ_CELL_BAD_END_SILENT] = "silent",
	[RJ_CELL_BAD_END_EXPIRED] = "lapsed",
	[RJ_CELL_BAD_END_RESTARTED] = "restarted",
};

/* Time constant of the decay: a worker that flaps does so again within a minute,
 * and one that was repaired should soon count as any other. */
#define DECAY_US (60 * RJ_US_PER_S)
/* What is assumed of a worker without history: 1.5 bad ends in 1,000 s. One bad
 * end then raises the estimate for gangs by a factor of three. */
#define PRIOR_BAD_ENDS 0.3
#define PRIOR_S 200.0
/* Length of the run by whose probability of loss workers are ranked, and the
 * probabilities from which on they have the ranks 1 to 3. One bad end gives at
 * most 8.2 % for gangs, and three that are close to each other 15 %. */
#define RANK_RUN_US (7 * RJ_US_PER_S)
#define RANK_1_LOSS 0.06
#define RANK_2_LOSS 0.09
#define RANK_3_LOSS 0.14
/* With less evidence than this against a worker and its rack, the rank is 0
 * whatever their exposure is. */
#define RANK_1_BAD_ENDS_MIN 0.4
/* A worker that has been silent for longer is not expected to return. */
#define ABSENCE_MAX_US (600 * RJ_US_PER_S)
/* Other evidence than a failed run or a lost call counts once within this time:
 * one fault shows in all starts and runs of the worker. */
#define EPISODE_US RJ_US_PER_S
/* A silence that is shorter is one lost call. */
#define SILENCE_MIN_US (400 * RJ_US_PER_MS)
/* Length of the first probation period, and of the longest; each return doubles
 * it. A period with less time left ends with a good end. */
#define PROBATION_US (4 * RJ_US_PER_S)
#define PROBATION_MAX_US (32 * RJ_US_PER_S)
#define PROBATION_REST_US RJ_US_PER_S
/* Workers of a rack that become silent within this time of the first one found
 * have one cause if they are at least this many, and at least this part of the
 * rack: when a tenth of a site's workers flap, three in a rack of 20 coincide by
 * chance. */
#define BURST_US RJ_US_PER_S
#define BURST_RACK_PERCENT 50
#define BURST_WORKERS_MIN 3
/* Time in which the silence of all of them is found: the wait of a long poll,
 * its timeout and a retry. */
#define BURST_DETECTION_US (3 * RJ_US_PER_S)

/* Weights of evidence. Up to a twentieth of tasks fail by themselves, rarely
 * early and rarely two in a row on one worker. A single call may be lost on the
 * way, but a long poll also hides a silence of up to two seconds. */
static const struct {
	double single;
	double repeated; /* the worker's last run failed too */
} weights[RJ_CELL_BAD_END_COUNT] = {
	[RJ_CELL_BAD_END_FAILED] = { 0.35, 0.7 },
	[RJ_CELL_BAD_END_LOST_CALL] = { 0.35, 0.35 },
	[RJ_CELL_BAD_END_FAILED_EARLY] = { 0.5, 1 },
	[RJ_CELL_BAD_END_REFUSED] = { 0.6, 0.6 },
	[RJ_CELL_BAD_END_SILENT] = { 1, 1 },
	[RJ_CELL_BAD_END_EXPIRED] = { 1, 1 },
	[RJ_CELL_BAD_END_RESTARTED] = { 1, 1 },
};

/* Returns the factor by which a history has decayed since its last update. */
static double decay(const struct rj_cell_worker_history *history,
		    uint64_t now_us)
{
	if (now_us <= history->updated_us)
		return 1;
	return exp(-(double)(now_us - history->updated_us) / DECAY_US);
}

/* Applies the decay up to `now_us`. */
static void update(struct rj_cell_worker_history *history, uint64_t now_us)
{
	double factor = decay(history, now_us);

	history->bad_ends *= factor;
	history->exposure_s *= factor;
	history->returns *= factor;
	history->updated_us = MAX(history->updated_us, now_us);
}

/* Whether evidence belongs to the episode that was counted last. */
static bool is_same_episode(const struct rj_cell_worker_history *history,
			    uint64_t now_us)
{
	return history->episode_us && now_us < history->episode_us + EPISODE_US;
}

/* Begins a probation period, longer than the last one if that was recent. */
static void begin_probation(struct rj_cell_worker_history *history,
			    double share, uint64_t now_us)
{
	/* Many returns exceed the range of an integer. */
	uint64_t period_us =
		(uint64_t)MIN(PROBATION_US * exp2(history->returns),
			      (double)PROBATION_MAX_US);

	history->returns += share;
	history->probation_until_us =
		MAX(history->probation_until_us, now_us + period_us);
}

/*
 * Records a bad end of a worker; returns whether it counts. All kinds after
 * RJ_CELL_BAD_END_LOST_CALL count once in an episode. `repeated` means that the
 * worker's last run failed too. `share` is the part of one bad end that falls
 * to the worker: less than 1 if others have the same cause, or if other runs on
 * it went on. A silence or a new incarnation begins a probation period.
 */
bool rj_cell_worker_history_record(struct rj_cell_worker_history *history,
				   enum rj_cell_bad_end kind, bool repeated,
				   double share, uint64_t now_us)
{
	if (kind > RJ_CELL_BAD_END_LOST_CALL) {
		if (is_same_episode(history, now_us))
			return false;
		history->episode_us = now_us;
	}
	update(history, now_us);
	history->bad_ends += share * (repeated ? weights[kind].repeated :
						 weights[kind].single);
	if (kind >= RJ_CELL_BAD_END_SILENT)
		begin_probation(history, share, now_us);
	return true;
}

/*
 * Excuses what is reported of a worker now, such as runs that were lost while
 * its failure domain was cut off: it belongs to an episode that does not count.
 */
void rj_cell_worker_history_excuse(struct rj_cell_worker_history *history,
				   uint64_t now_us)
{
	history->episode_us = now_us;
}

/*
 * Records a bad end of a rack.
 */
void rj_cell_worker_history_record_rack(struct rj_cell_worker_history *history,
					uint64_t now_us)
{
	update(history, now_us);
	history->bad_ends++;
}

/*
 * Adds the exposure by a run that lasted from `from_us` until now. The time of
 * runs side by side counts once.
 */
void rj_cell_worker_history_expose(struct rj_cell_worker_history *history,
				   uint64_t from_us, uint64_t now_us)
{
	uint64_t new_us = MAX(from_us, history->exposed_until_us);

	if (now_us <= new_us)
		return;
	update(history, now_us);
	history->exposure_s += (double)(now_us - new_us) / RJ_US_PER_S;
	history->exposed_until_us = now_us;
}

/*
 * Records that a run ended well, which halves the rest of a probation period or
 * ends it. A run that started before the period shows nothing.
 */
void rj_cell_worker_history_good_end(struct rj_cell_worker_history *history,
				     uint64_t started_us, uint64_t now_us)
{
	uint64_t left_us;

	if (!rj_cell_worker_history_on_probation(history, now_us) ||
	    started_us < history->episode_us)
		return;
	left_us = (history->probation_until_us - now_us) / 2;
	history->probation_until_us =
		left_us < PROBATION_REST_US ? now_us : now_us + left_us;
}

/*
 * Whether a worker is on probation after its return.
 */
bool rj_cell_worker_history_on_probation(
	const struct rj_cell_worker_history *history, uint64_t now_us)
{
	return now_us < history->probation_until_us;
}

/*
 * Whether a history may raise a rank, now or when its worker returns. If not,
 * nothing is lost with it.
 */
bool rj_cell_worker_history_is_known(
	const struct rj_cell_worker_history *history, uint64_t now_us)
{
	bool may_return = history->silent_us &&
			  now_us < history->silent_us + ABSENCE_MAX_US;

	return may_return ||
	       rj_cell_worker_history_on_probation(history, now_us) ||
	       history->bad_ends * decay(history, now_us) >=
		       RANK_1_BAD_ENDS_MIN / 2;
}

/* Returns the estimated number of bad ends a second: that of its gamma
 * distribution's mean, or for `upper` one standard deviation above it. */
static double worker_rate(const struct rj_cell_worker_history *history,
			  bool upper, uint64_t now_us)
{
	double factor = decay(history, now_us);
	double bad_ends = PRIOR_BAD_ENDS + history->bad_ends * factor;

	if (upper)
		bad_ends += sqrt(bad_ends);
	return bad_ends / (PRIOR_S + history->exposure_s * factor);
}

/* Returns what a rack adds to the rate of each of its workers, whose own prior
 * covers the racks of which nothing is known. */
static double rack_rate(const struct rj_cell_worker_history *history,
			uint64_t now_us)
{
	double factor = decay(history, now_us);

	return history->bad_ends * factor /
	       (PRIOR_S + history->exposure_s * factor);
}

/*
 * Returns the probability that a worker loses a run of `run_us` that starts
 * now. For a member of a gang it is the upper bound of the estimate's
 * uncertainty, as the gang ends with any one member. `rack` may be NULL.
 */
double rj_cell_worker_history_loss(const struct rj_cell_worker_history *worker,
				   const struct rj_cell_worker_history *rack,
				   uint64_t run_us, bool gang, uint64_t now_us)
{
	double rate = worker_rate(worker, gang, now_us);

	if (rack)
		rate += rack_rate(rack, now_us);
	return -expm1(-rate * (double)run_us / RJ_US_PER_S);
}

/* Returns the rank that the probability of a loss gives. */
static uint32_t rank_by_loss(double loss)
{
	if (loss >= RANK_3_LOSS)
		return 3;
	if (loss >= RANK_2_LOSS)
		return 2;
	return loss >= RANK_1_LOSS;
}

/*
 * Returns the rank of a worker for members of gangs or for single tasks: 0 for
 * one that is as good as unknown, up to RJ_CELL_HISTORY_RANK_MAX. On probation
 * it is at least 1. `rack` may be NULL.
 */
uint32_t
rj_cell_worker_history_rank(const struct rj_cell_worker_history *worker,
			    const struct rj_cell_worker_history *rack,
			    bool gang, uint64_t now_us)
{
	uint32_t least = rj_cell_worker_history_on_probation(worker, now_us);
	double bad_ends = worker->bad_ends + (rack ? rack->bad_ends : 0);

	/* Most workers, without a decay to be computed. */
	if (bad_ends < RANK_1_BAD_ENDS_MIN)
		return least;
	return MAX(least, rank_by_loss(rj_cell_worker_history_loss(
				  worker, rack, RANK_RUN_US, gang, now_us)));
}

/*
 * Whether a silence that began at `silent_us` and ends now is only a lost call.
 */
bool rj_cell_silence_is_short(uint64_t silent_us, uint64_t now_us)
{
	return now_us < silent_us + SILENCE_MIN_US;
}

/*
 * Whether a silence since `from_us` has the cause of a burst.
 */
bool rj_cell_silence_burst_belongs(const struct rj_cell_silence_burst *burst,
				   uint64_t from_us)
{
	return from_us < burst->from_us + BURST_US &&
	       burst->from_us < from_us + BURST_US;
}

/*
 * Whether so many workers became silent that the rack is the cause.
 */
bool rj_cell_silence_burst_is_rack(const struct rj_cell_silence_burst *burst)
{
	return burst->count >= BURST_WORKERS_MIN &&
	       burst->count * 100 >= burst->rack_workers * BURST_RACK_PERCENT;
}

/*
 * Whether all workers that belong to a burst have been found.
 */
bool rj_cell_silence_burst_is_over(const struct rj_cell_silence_burst *burst,
				   uint64_t now_us)
{
	return now_us >= burst->found_us + BURST_DETECTION_US;
}

/*
 * Records that a worker of a rack of `rack_workers`, which last answered at
 * `from_us`, is found to be silent now. One that belongs to no burst begins a
 * new one, unless those of a burst of the rack are still being found. Call it
 * once for each worker of a burst.
 */
void rj_cell_silence_burst_add(struct rj_cell_silence_burst *burst,
			       uint32_t rack_workers, uint64_t from_us,
			       uint64_t now_us)
{
	bool open = rj_cell_silence_burst_is_rack(burst) && !burst->settled &&
		    !rj_cell_silence_burst_is_over(burst, now_us);

	if (!open && !rj_cell_silence_burst_belongs(burst, from_us)) {
		burst->from_us = from_us;
		burst->found_us = now_us;
		burst->count = 0;
		burst->settled = false;
	}
	burst->rack_workers = rack_workers;
	burst->count += rj_cell_silence_burst_belongs(burst, from_us);
}

/*
 * Returns the part of one bad end that falls to a worker of the rack that last
 * answered at `from_us` before its silence.
 */
double rj_cell_silence_burst_share(const struct rj_cell_silence_burst *burst,
				   uint64_t from_us)
{
	if (!rj_cell_silence_burst_is_rack(burst) ||
	    !rj_cell_silence_burst_belongs(burst, from_us))
		return 1;
	return 1.0 / burst->count;
}
