#include "private/cell_account_admission.h"

#include <string.h>

#include "private/cell_admit.h"
#include "private/cell_share.h"

/*
 * Once the work of higher priorities takes this many runs, some of it waits.
 * Then it takes all capacity that comes free but the minimum share of the
 * priority.
 */
#define BACKLOG_RUNS 2
/* Excess of the wait of an account that can count on no capacity. */
#define NO_CAPACITY_EXCESS_MS 1000
/* An account that waits for this part of the queue's wait counts as waiting for
 * as long; the rest is for rounding. */
#define QUEUE_WAIT_PART 0.99

/* Remaining work in parts of the cell times milliseconds. */
struct work {
	/* Of each account: served before or with a new job of a priority, and
	 * that of the same priority. */
	double ahead[RJ_CELL_ACCOUNT_ROWS];
	double same_priority[RJ_CELL_ACCOUNT_ROWS];
	/* Of all accounts. */
	double total_ahead;
	double total_same_priority;
};

/* A queue that is evaluated, and the forecast of a new job of its. */
struct evaluation {
	const struct rj_cell_owner *owner;
	const struct rj_cell_queue_load *queue_load;
	uint32_t priority; /* of its jobs */
	double wait_ms; /* whatever its account */
	double wait_max_ms; /* it is of no use after a longer wait */
	struct work work;
	bool limited; /* only the minimum share of its priority is left */
};

static double part(uint32_t demand, uint64_t capacity)
{
	return capacity ? (double)demand / (double)capacity : 0;
}

/* Returns the dominant share of a demand. */
static double dominant_part(const struct rj_cell_demand *demand,
			    const struct rj_cell_allocation *capacity)
{
	return MAX(part(demand->cpu_milli, capacity->cpu_milli),
		   MAX(part(demand->memory_mb, capacity->memory_mb),
		       part(demand->accelerators, capacity->accelerators)));
}

/* Returns the remaining work of one job. */
static double job_work(const struct rj_cell_owner *owner,
		       const struct rj_cell_job *job)
{
	const struct rj_cell_allocation *capacity =
		&owner->account_shares.capacity;
	const struct rj_cell_job_spec *spec = job->job_spec;
	const struct rj_list *at;
	double work = 0;

	for (at = job->occurrences.next; at != &job->occurrences;
	     at = at->next) {
		const struct rj_cell_occurrence *occurrence =
			RJ_CONTAINER(at, struct rj_cell_occurrence, link);

		for (uint32_t i = 0; i < spec->step_count; i++)
			if (!spec->steps[i].perpetual)
				work += (double)occurrence->left[i] *
					(double)rj_cell_forecast_task_ms(
						&owner->forecast, spec, i) *
					dominant_part(&spec->steps[i].each,
						      capacity);
	}
	return work;
}

/*
 * Returns the row of a job's account; RJ_CELL_ACCOUNT_ROWS if the account has no
 * entitlement yet, as no plan has counted a job of it.
 *
 * Guards against the rejection of such an account, or of all accounts, until the
 * next plan.
 */
static uint32_t row_of(const struct rj_cell_account_shares *shares,
		       const struct rj_cell_job *job)
{
	uint32_t row;

	if (job->share)
		return (uint32_t)(job->share - shares->rows);
	row = rj_cell_account_shares_find(shares, job->job_spec->account);
	return row != RJ_CELL_ACCOUNTS_OTHER &&
			       shares->rows[row].entitlement > 0 ?
		       row :
		       RJ_CELL_ACCOUNT_ROWS;
}

/* Sums up the work that is served before or with a new job of a priority. */
static void sum_work(const struct rj_cell_owner *owner, uint32_t priority,
		     struct work *work)
{
	const struct rj_list *at;

	memset(work, 0, sizeof(*work));
	for (at = owner->jobs.next; at != &owner->jobs; at = at->next) {
		const struct rj_cell_job *job =
			RJ_CONTAINER(at, struct rj_cell_job, link);
		bool same_priority = job->job_spec->priority == priority;
		uint32_t row = row_of(&owner->account_shares, job);
		double remaining;

		if (!rj_cell_admit_is_ahead(owner, job, priority))
			continue;
		remaining = job_work(owner, job);
		work->total_ahead += remaining;
		work->total_same_priority += same_priority ? remaining : 0;
		if (row == RJ_CELL_ACCOUNT_ROWS)
			continue;
		work->ahead[row] += remaining;
		work->same_priority[row] += same_priority ? remaining : 0;
	}
}

/* Returns the time that some work takes in the queue's forecast. */
static double time_ms(const struct evaluation *evaluation, double work)
{
	return evaluation->work.total_ahead > 0 ?
		       evaluation->wait_ms * work /
			       evaluation->work.total_ahead :
		       0;
}

/* Returns the part of the cell that an account can count on: its entitlement,
 * and beyond its share what the others leave of theirs. */
static double available_part(const struct rj_cell_account_shares *shares,
			     uint32_t row, bool over)
{
	double left = 1;

	if (!over)
		return shares->rows[row].entitlement;
	for (uint32_t i = 0; i < RJ_CELL_ACCOUNT_ROWS; i++)
		if (i != row)
			left -= MIN(shares->rows[i].use,
				    shares->rows[i].entitlement);
	return MAX(left, 0);
}

/* Returns the time that some work takes with a part of the cell; without any,
 * more than a job may wait. */
static double time_with_part_ms(const struct evaluation *evaluation,
				double work, double available)
{
	if (work <= 0)
		return 0;
	return available > 0 ? time_ms(evaluation, work) / available :
			       RJ_CELL_LATE_FACTOR * evaluation->wait_max_ms +
				       NO_CAPACITY_EXCESS_MS;
}

/*
 * Returns the forecast wait of a new job of an account from its own work alone.
 * That of a lone account is at least the queue's.
 */
static double account_wait_ms(const struct evaluation *evaluation, uint32_t row,
			      bool over)
{
	const struct work *work = &evaluation->work;
	double available =
		available_part(&evaluation->owner->account_shares, row, over);
	double wait_ms =
		time_with_part_ms(evaluation, work->ahead[row], available);

	if (!evaluation->limited)
		return wait_ms;
	available = MIN(available, 1.0 / RJ_CELL_SHARE_DIVISOR);
	return MAX(wait_ms,
		   time_with_part_ms(evaluation, work->same_priority[row],
				     available));
}

/* Whether a job of the queue is within the guarantee of its account: the urgent
 * jobs of the account need less. */
static bool is_within_guarantee(const struct evaluation *evaluation,
				uint32_t row)
{
	const struct rj_cell_owner *owner = evaluation->owner;
	struct rj_cell_guarantee guarantee;

	if (evaluation->priority || row == RJ_CELL_ACCOUNTS_OTHER)
		return false;
	guarantee = rj_cell_guarantees_get(
		&owner->guarantees, owner->account_shares.rows[row].account);
	return rj_cell_guarantee_has_room(&guarantee);
}

/*
 * Returns the retry delay of an account at a queue that rejects jobs; 0 if it
 * accepts those of the account. Besides accounts whose own work is too much, it
 * rejects those over their share and those that wait for as long as the queue
 * says: nearly all work ahead is theirs. Urgent work within a guarantee is
 * accepted in any case.
 */
static uint32_t retry_after_ms(const struct evaluation *evaluation,
			       uint32_t row)
{
	const struct rj_cell_owner *owner = evaluation->owner;
	const struct rj_cell_queue_load *queue_load = evaluation->queue_load;
	const struct rj_cell_account_share *share =
		&owner->account_shares.rows[row];
	bool over = share->used &&
		    rj_cell_account_share_was_over(share, owner->now_us);
	uint32_t delay_ms = 0;
	double wait_ms;

	if (is_within_guarantee(evaluation, row))
		return 0;
	wait_ms = account_wait_ms(evaluation, row, over);
	if (wait_ms > evaluation->wait_max_ms)
		delay_ms = rj_cell_admit_retry_after_ms(
			wait_ms - evaluation->wait_max_ms);
	if (over ||
	    (wait_ms > 0 && wait_ms >= evaluation->wait_ms * QUEUE_WAIT_PART))
		delay_ms = MAX(delay_ms, queue_load->retry_after_ms);
	return delay_ms;
}

/* Adds an account that a queue rejects. Returns false if there is no room. */
static bool add_account(struct rj_cell_owner_heartbeat *heartbeat,
			const char *account, uint32_t queue, uint32_t delay_ms)
{
	struct rj_cell_refused_account *refused = heartbeat->refused_accounts;
	const struct rj_cell_refused_account *end =
		refused + heartbeat->refused_account_count;

	while (refused < end && strcmp(refused->account, account) != 0)
		refused++;
	if (refused == heartbeat->refused_accounts + RJ_CELL_REFUSED_MAX)
		return false;
	if (refused == end) {
		memset(refused, 0, sizeof(*refused));
		g_strlcpy(refused->account, account, sizeof(refused->account));
		heartbeat->refused_account_count++;
	}
	refused->queues |= 1U << queue;
	refused->retry_after_ms = MAX(refused->retry_after_ms, delay_ms);
	return true;
}

/* Names the accounts that the queue rejects in the heartbeat. Returns false if
 * they cannot all be named; the heartbeat is then as before, as queues that
 * follow need the room. */
static bool name_refused(const struct evaluation *evaluation, uint32_t queue,
			 struct rj_cell_owner_heartbeat *heartbeat)
{
	const struct rj_cell_account_share *rows =
		evaluation->owner->account_shares.rows;
	const struct rj_cell_owner_heartbeat before = *heartbeat;

	if (retry_after_ms(evaluation, RJ_CELL_ACCOUNTS_OTHER))
		return false;
	for (uint32_t i = 0; i < RJ_CELL_ACCOUNTS_MAX; i++) {
		uint32_t delay_ms = retry_after_ms(evaluation, i);

		if (!delay_ms)
			continue;
		if (!add_account(heartbeat, rows[i].account, queue, delay_ms)) {
			*heartbeat = before;
			return false;
		}
	}
	return true;
}

/*
 * Decides for which accounts the heartbeat's next queue rejects jobs, if its
 * load says that it rejects them. A job waits for `wait_ms` by the queue's
 * forecast, and is of no use after `wait_max_ms`. If the rejected accounts
 * cannot all be named, the queue treats all accounts alike: those not named
 * would be accepted without a limit.
 *
 * Guards against an account that floods a queue and so has the few jobs of
 * others rejected.
 */
void rj_cell_account_admission_add_queue(
	const struct rj_cell_owner *owner, uint32_t priority, double wait_ms,
	double wait_max_ms, struct rj_cell_owner_heartbeat *heartbeat)
{
	uint32_t queue = heartbeat->queue_load_count;
	struct rj_cell_queue_load *queue_load = &heartbeat->queue_loads[queue];
	struct evaluation evaluation = { .owner = owner,
					 .queue_load = queue_load,
					 .priority = priority,
					 .wait_ms = wait_ms,
					 .wait_max_ms = wait_max_ms };
	const struct work *work = &evaluation.work;

	if (wait_max_ms < 0 || !queue_load->refuse)
		return;
	sum_work(owner, priority, &evaluation.work);
	evaluation.limited =
		time_ms(&evaluation,
			work->total_ahead - work->total_same_priority) >
		(double)queue_load->mean_ms * BACKLOG_RUNS;
	if (name_refused(&evaluation, queue, heartbeat))
		heartbeat->queues_by_share |= 1U << queue;
}

/*
 * Whether a queue that rejects jobs rejects those of an account. If so, and the
 * account is named, `retry_after_ms` is set to its retry delay. `queue` is an
 * index in the heartbeat's queue loads.
 */
bool rj_cell_account_admission_refuses(
	const struct rj_cell_owner_heartbeat *heartbeat, uint32_t queue,
	const char *account, uint32_t *retry_after_ms)
{
	if (!(heartbeat->queues_by_share & 1U << queue))
		return true;
	for (uint32_t i = 0; i < heartbeat->refused_account_count; i++) {
		const struct rj_cell_refused_account *refused =
			&heartbeat->refused_accounts[i];

		if ((refused->queues & 1U << queue) &&
		    !strcmp(refused->account, account)) {
			*retry_after_ms = refused->retry_after_ms;
			return true;
		}
	}
	return false;
}
