#include "private/cell_account_shares.h"

#include <inttypes.h>
#include <math.h>
#include <string.h>

#include "private/log_event.h"

/* Time constant of the decay of an account's use: a burst of some seconds is
 * remembered until its work has run, and an account that stops is within its
 * share again soon. */
#define USE_DECAY_US (10 * RJ_US_PER_S)
/* An account shares the rest of the cell until it has had no work for this
 * long. */
#define ACTIVE_US (10 * RJ_US_PER_S)
/* A row is kept for this long after that, until its use has decayed. */
#define ROW_IDLE_US (6 * USE_DECAY_US)
/* An account counts as over its share until it has not been for this long.
 * Whether another account waits changes with each plan, and log events must
 * not. */
#define OVER_HOLD_US (5 * RJ_US_PER_S)
/* Limit of the excess, for accounts that are entitled to nothing. */
#define EXCESS_MAX_MILLI 1000000

const char *const rj_cell_resource_string[RJ_CELL_RESOURCE_COUNT] = {
	[RJ_CELL_RESOURCE_CPU] = "cpu",
	[RJ_CELL_RESOURCE_MEMORY] = "memory",
	[RJ_CELL_RESOURCE_ACCELERATORS] = "accelerators",
};

/* Returns the name of a row for people. */
static const char *row_name(const struct rj_cell_account_shares *shares,
			    const struct rj_cell_account_share *row)
{
	return row == &shares->rows[RJ_CELL_ACCOUNTS_OTHER] ? "(other)" :
							      row->account;
}

/* Whether a row is that of an account. */
static bool is_row_of(const struct rj_cell_account_shares *shares,
		      const struct rj_cell_account_share *row,
		      const char *account)
{
	return row->used && row != &shares->rows[RJ_CELL_ACCOUNTS_OTHER] &&
	       !strcmp(row->account, account);
}

/*
 * Returns the index of an account's row; RJ_CELL_ACCOUNTS_OTHER if it has none
 * of its own.
 */
uint32_t
rj_cell_account_shares_find(const struct rj_cell_account_shares *shares,
			    const char *account)
{
	for (uint32_t i = 0; i < RJ_CELL_ACCOUNTS_MAX; i++)
		if (is_row_of(shares, &shares->rows[i], account))
			return i;
	return RJ_CELL_ACCOUNTS_OTHER;
}

/* Returns the row of an account; if it has none, a free one, or that of the
 * other accounts. */
static struct rj_cell_account_share *
obtain_row(struct rj_cell_account_shares *shares, const char *account)
{
	uint32_t index = rj_cell_account_shares_find(shares, account);
	struct rj_cell_account_share *row = &shares->rows[index];

	for (uint32_t i = 0;
	     index == RJ_CELL_ACCOUNTS_OTHER && i < RJ_CELL_ACCOUNTS_MAX; i++)
		if (!shares->rows[i].used)
			row = &shares->rows[index = i];
	if (row->used)
		return row;
	memset(row, 0, sizeof(*row));
	row->used = true;
	if (index != RJ_CELL_ACCOUNTS_OTHER)
		g_strlcpy(row->account, account, sizeof(row->account));
	return row;
}

/*
 * Begins the sums of a plan.
 */
void rj_cell_account_shares_begin(struct rj_cell_account_shares *shares)
{
	for (uint32_t i = 0; i < RJ_CELL_ACCOUNT_ROWS; i++) {
		struct rj_cell_account_share *row = &shares->rows[i];

		memset(&row->allocated, 0, sizeof(row->allocated));
		row->waits = false;
	}
	shares->has_free_row = false;
	for (uint32_t i = 0; i < RJ_CELL_ACCOUNTS_MAX; i++)
		shares->has_free_row |= !shares->rows[i].used;
}

/* Whether the row that a job had in the last plan is still the right one. That
 * of the other accounts is as long as no row comes free. */
static bool keeps_row(const struct rj_cell_account_shares *shares,
		      const struct rj_cell_job *job)
{
	const struct rj_cell_account_share *other =
		&shares->rows[RJ_CELL_ACCOUNTS_OTHER];

	if (!job->share || !job->share->used)
		return false;
	return job->share == other ?
		       !shares->has_free_row :
		       is_row_of(shares, job->share, job->job_spec->account);
}

/*
 * Adds what the runs of a job are allocated, and sets the job's row. Call it
 * for all jobs: rows may have been given to other accounts since the last plan.
 */
void rj_cell_account_shares_add_job(struct rj_cell_account_shares *shares,
				    struct rj_cell_job *job)
{
	if (!keeps_row(shares, job))
		job->share = obtain_row(shares, job->job_spec->account);
	job->share->allocated.cpu_milli += job->allocated.cpu_milli;
	job->share->allocated.memory_mb += job->allocated.memory_mb;
	job->share->allocated.accelerators += job->allocated.accelerators;
}

/*
 * Notes that tasks of a job wait for capacity.
 */
void rj_cell_account_shares_add_waiting(const struct rj_cell_job *job)
{
	if (job->share)
		job->share->waits = true;
}

static double fraction(uint64_t part, uint64_t whole)
{
	return whole ? (double)part / (double)whole : 0;
}

/* Sets the dominant share of a row as of now. */
static double measure(struct rj_cell_account_share *row,
		      const struct rj_cell_allocation *whole)
{
	const double fractions[RJ_CELL_RESOURCE_COUNT] = {
		[RJ_CELL_RESOURCE_CPU] =
			fraction(row->allocated.cpu_milli, whole->cpu_milli),
		[RJ_CELL_RESOURCE_MEMORY] =
			fraction(row->allocated.memory_mb, whole->memory_mb),
		[RJ_CELL_RESOURCE_ACCELERATORS] = fraction(
			row->allocated.accelerators, whole->accelerators),
	};

	row->resource = RJ_CELL_RESOURCE_ACCELERATORS;
	for (int i = 0; i < RJ_CELL_RESOURCE_COUNT; i++)
		if (fractions[i] > fractions[row->resource])
			row->resource = (enum rj_cell_resource)i;
	return fractions[row->resource];
}

/*
 * Returns what shares are fractions of: the usable workers, or what the
 * accounts are allocated if that is more.
 *
 * Guards against shares of several times the cell after a takeover: few workers
 * are usable then, while all runs are known.
 */
static struct rj_cell_allocation
whole_cell(const struct rj_cell_account_shares *shares)
{
	struct rj_cell_allocation sum = { 0, 0, 0 };

	for (uint32_t i = 0; i < RJ_CELL_ACCOUNT_ROWS; i++) {
		const struct rj_cell_allocation *allocated =
			&shares->rows[i].allocated;

		sum.cpu_milli += allocated->cpu_milli;
		sum.memory_mb += allocated->memory_mb;
		sum.accelerators += allocated->accelerators;
	}
	sum.cpu_milli = MAX(sum.cpu_milli, shares->capacity.cpu_milli);
	sum.memory_mb = MAX(sum.memory_mb, shares->capacity.memory_mb);
	sum.accelerators = MAX(sum.accelerators, shares->capacity.accelerators);
	return sum;
}

/* Updates the use of all rows, and frees those without use. */
static void update_use(struct rj_cell_account_shares *shares, uint64_t now_us)
{
	const struct rj_cell_allocation whole = whole_cell(shares);
	uint64_t elapsed_us = shares->updated_us ?
				      now_us - MIN(now_us, shares->updated_us) :
				      0;
	double kept = exp(-(double)elapsed_us / (double)USE_DECAY_US);

	for (uint32_t i = 0; i < RJ_CELL_ACCOUNT_ROWS; i++) {
		struct rj_cell_account_share *row = &shares->rows[i];
		double present;

		if (!row->used)
			continue;
		present = measure(row, &whole);
		row->use = row->use * kept + present * (1 - kept);
		row->share = MAX(row->use, present);
		if (present > 0 || row->waits)
			row->active_us = now_us;
		row->used = now_us < row->active_us + ROW_IDLE_US;
	}
	shares->updated_us = now_us;
}

/* Returns the part of the cell that is guaranteed to an account. */
static double guaranteed_part(const struct rj_cell_account_shares *shares,
			      const struct rj_cell_config *config,
			      const struct rj_cell_account_share *row)
{
	const struct rj_cell_account *account =
		config ? rj_cell_config_account(config, row->account) : NULL;

	if (!account || row == &shares->rows[RJ_CELL_ACCOUNTS_OTHER])
		return 0;
	return fraction(account->guaranteed_accelerators,
			shares->capacity.accelerators);
}

/* Whether an account counts in the division of the cell. */
static bool is_active(const struct rj_cell_account_share *row, uint64_t now_us)
{
	return row->used && now_us < row->active_us + ACTIVE_US;
}

/* Divides the cell among the accounts that have been active recently: each gets
 * its guarantee and an equal part of the rest. Guarantees of more than the cell
 * are cut in proportion. */
static void set_entitlements(struct rj_cell_account_shares *shares,
			     const struct rj_cell_config *config,
			     uint64_t now_us)
{
	double guaranteed = 0;
	uint32_t active = 0;

	for (uint32_t i = 0; i < RJ_CELL_ACCOUNT_ROWS; i++) {
		struct rj_cell_account_share *row = &shares->rows[i];

		row->entitlement = 0;
		if (!is_active(row, now_us))
			continue;
		row->entitlement = guaranteed_part(shares, config, row);
		guaranteed += row->entitlement;
		active++;
	}
	for (uint32_t i = 0; i < RJ_CELL_ACCOUNT_ROWS; i++) {
		struct rj_cell_account_share *row = &shares->rows[i];

		if (!is_active(row, now_us))
			continue;
		if (guaranteed > 1)
			row->entitlement /= guaranteed;
		else
			row->entitlement += (1 - guaranteed) / active;
	}
}

/* Marks the accounts over their share, if an account within its share waits. */
static void set_over(struct rj_cell_account_shares *shares, uint64_t now_us)
{
	bool contended = false;

	for (uint32_t i = 0; i < RJ_CELL_ACCOUNT_ROWS; i++) {
		const struct rj_cell_account_share *row = &shares->rows[i];

		contended |= row->used && row->waits &&
			     row->share <= row->entitlement;
	}
	for (uint32_t i = 0; i < RJ_CELL_ACCOUNT_ROWS; i++) {
		struct rj_cell_account_share *row = &shares->rows[i];

		row->over = contended && is_active(row, now_us) &&
			    row->share > row->entitlement;
		if (row->over)
			row->over_us = now_us;
	}
}

/*
 * Updates use, entitlements and who is over its share, from the jobs that were
 * added since rj_cell_account_shares_begin. While the capacity is not known
 * yet, no account is over its share.
 */
void rj_cell_account_shares_update(struct rj_cell_account_shares *shares,
				   const struct rj_cell_config *config,
				   uint64_t now_us)
{
	const struct rj_cell_allocation *capacity = &shares->capacity;

	if (!capacity->cpu_milli && !capacity->memory_mb &&
	    !capacity->accelerators)
		return;
	update_use(shares, now_us);
	set_entitlements(shares, config, now_us);
	set_over(shares, now_us);
}

/*
 * Sets the capacity of the usable workers. Without any, the earlier one is
 * kept: a plan without waiting tasks does not sum up the workers.
 */
void rj_cell_account_shares_set_capacity(
	struct rj_cell_account_shares *shares,
	const struct rj_cell_allocation *capacity)
{
	if (capacity->cpu_milli || capacity->memory_mb ||
	    capacity->accelerators)
		shares->capacity = *capacity;
}

/*
 * Whether a job's account is over its share, as of the last plan.
 */
bool rj_cell_job_over_share(const struct rj_cell_job *job)
{
	return job->share && job->share->over;
}

/*
 * Returns by how much a job's account exceeds its share, in thousandths of the
 * share and at least 1; 0 if it is not over its share.
 */
uint32_t rj_cell_job_share_excess_milli(const struct rj_cell_job *job)
{
	const struct rj_cell_account_share *row = job->share;

	if (!rj_cell_job_over_share(job))
		return 0;
	if (row->share >= row->entitlement * (1 + EXCESS_MAX_MILLI / 1000.0))
		return EXCESS_MAX_MILLI;
	return 1 + (uint32_t)((row->share / row->entitlement - 1) * 1000);
}

/*
 * Whether an account has been over its share in the last seconds.
 */
bool rj_cell_account_share_was_over(const struct rj_cell_account_share *share,
				    uint64_t now_us)
{
	return share->over_us && now_us < share->over_us + OVER_HOLD_US;
}

/*
 * Logs the accounts that have gone over their share, or have come within it and
 * stayed there for some seconds.
 */
void rj_cell_account_shares_log(struct rj_cell_account_shares *shares,
				uint64_t now_us)
{
	for (uint32_t i = 0; i < RJ_CELL_ACCOUNT_ROWS; i++) {
		struct rj_cell_account_share *row = &shares->rows[i];
		bool over = rj_cell_account_share_was_over(row, now_us);

		if (!row->used || over == row->over_logged)
			continue;
		row->over_logged = over;
		rj_log_event(
			over ? "account_over" : "account_within",
			RJ_LOG_TEXT("account", row_name(shares, row)),
			RJ_LOG_NUMBER("share_milli", row->share * 1000),
			RJ_LOG_NUMBER("entitlement_milli",
				      row->entitlement * 1000),
			RJ_LOG_TEXT("resource",
				    rj_cell_resource_string[row->resource]));
	}
}

/* Returns a share in millionths of the cell. */
static uint32_t to_ppm(double share)
{
	return (uint32_t)(share * 1000000 + 0.5);
}

static void write_gauge(GString *text, const char *name, const char *account,
			uint32_t value)
{
	g_string_append_printf(text,
			       "radishjunction_account_%s{account=\"%s\"} "
			       "%" PRIu32 "\n",
			       name, account, value);
}

/*
 * Appends the use, the entitlement and the state of each account to `text`, one
 * per line.
 */
void rj_cell_account_shares_write_metrics(
	const struct rj_cell_account_shares *shares, GString *text)
{
	for (uint32_t i = 0; i < RJ_CELL_ACCOUNT_ROWS; i++) {
		const struct rj_cell_account_share *row = &shares->rows[i];
		const char *name = row_name(shares, row);

		if (!row->used)
			continue;
		write_gauge(text, "use_ppm", name, to_ppm(row->use));
		write_gauge(text, "entitlement_ppm", name,
			    to_ppm(row->entitlement));
		write_gauge(text, "over_share", name, row->over_logged);
	}
}

/*
 * Copies the use at `now_us` of the accounts that are tracked by name, at most
 * `max`. Returns how many. A cell without work makes no plans that would update
 * the rows, so those that have been idle for too long are left out here too.
 */
uint32_t
rj_cell_account_shares_export(const struct rj_cell_account_shares *shares,
			      struct rj_cell_account_use *uses, uint32_t max,
			      uint64_t now_us)
{
	uint64_t elapsed_us = now_us - MIN(now_us, shares->updated_us);
	double kept = exp(-(double)elapsed_us / (double)USE_DECAY_US);
	uint32_t count = 0;

	for (uint32_t i = 0; i < RJ_CELL_ACCOUNTS_MAX && count < max; i++) {
		const struct rj_cell_account_share *row = &shares->rows[i];

		if (!row->used || now_us >= row->active_us + ROW_IDLE_US)
			continue;
		memcpy(uses[count].account, row->account,
		       sizeof(uses[count].account));
		uses[count++].use_ppm = to_ppm(row->use * kept);
	}
	return count;
}

/*
 * Takes over the use of accounts that a former owner measured, as of `now_us`.
 * Accounts that have a row keep their own use; the others count as active only
 * once they have work.
 */
void rj_cell_account_shares_import(struct rj_cell_account_shares *shares,
				   const struct rj_cell_account_use *uses,
				   uint32_t count, uint64_t now_us)
{
	for (uint32_t i = 0; i < count; i++) {
		const struct rj_cell_account_use *use = &uses[i];
		struct rj_cell_account_share *row;

		if (rj_cell_account_shares_find(shares, use->account) !=
		    RJ_CELL_ACCOUNTS_OTHER)
			continue;
		row = obtain_row(shares, use->account);
		if (row == &shares->rows[RJ_CELL_ACCOUNTS_OTHER])
			return;
		row->use = MIN(use->use_ppm, 1000000) / 1000000.0;
		row->active_us = now_us - MIN(now_us, ACTIVE_US);
	}
	if (!shares->updated_us)
		shares->updated_us = now_us;
}
