#include "private/cell_guarantee.h"

#include <string.h>

#include "private/log_event.h"

/* Time that a job takes to begin besides the stop of other runs: the next plan,
 * storing the intents, the orders, and polls that see the stopped runs end. */
#define BEGIN_US (600 * RJ_US_PER_MS)

/*
 * Initializes the guarantees of an owner that knows no jobs yet.
 */
void rj_cell_guarantees_init(struct rj_cell_guarantees *guarantees,
			     uint32_t bound_ms, uint32_t stop_ms)
{
	memset(guarantees, 0, sizeof(*guarantees));
	guarantees->bound_ms = bound_ms;
	guarantees->lead_us = stop_ms * RJ_US_PER_MS + BEGIN_US;
	guarantees->by_account =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
}

/*
 * Frees what the guarantees own.
 */
void rj_cell_guarantees_finish(struct rj_cell_guarantees *guarantees)
{
	g_hash_table_destroy(guarantees->by_account);
}

/* Returns the guarantee of an account; creates it at first use. */
static struct rj_cell_guarantee *obtain(struct rj_cell_guarantees *guarantees,
					const char *account)
{
	struct rj_cell_guarantee *guarantee =
		g_hash_table_lookup(guarantees->by_account, account);

	if (guarantee)
		return guarantee;
	guarantee = g_new0(struct rj_cell_guarantee, 1);
	g_strlcpy(guarantee->account, account, sizeof(guarantee->account));
	g_hash_table_insert(guarantees->by_account, guarantee->account,
			    guarantee);
	return guarantee;
}

/* Whether a job is urgent and has not ended. */
static bool is_urgent(const struct rj_cell_job *job)
{
	return !job->job_spec->priority && !job->cancelled &&
	       job->state < RJ_CELL_JOB_COMPLETED;
}

/* Returns the accelerators that a job still needs: for its tasks that are not
 * done, or if it is repeated, for one occurrence. */
static uint64_t need_of(const struct rj_cell_job *job)
{
	const struct rj_cell_job_spec *spec = job->job_spec;
	const struct rj_cell_occurrence *occurrence = NULL;
	uint64_t need = 0;

	if (!spec->repeats && job->occurrences_open)
		occurrence = RJ_CONTAINER(job->occurrences.next,
					  struct rj_cell_occurrence, link);
	for (uint32_t i = 0; i < spec->step_count; i++)
		need += (uint64_t)(occurrence ? occurrence->left[i] :
						spec->steps[i].task_count) *
			spec->steps[i].each.accelerators;
	return need;
}

/* Sets the limits of all accounts by the configuration, and no needs. Forgets
 * accounts that are not configured. */
static void set_limits(struct rj_cell_guarantees *guarantees,
		       const struct rj_cell_config *config)
{
	GHashTableIter at;
	gpointer value;

	g_hash_table_iter_init(&at, guarantees->by_account);
	while (g_hash_table_iter_next(&at, NULL, &value))
		((struct rj_cell_guarantee *)value)->configured = false;
	for (uint32_t i = 0; config && i < config->account_count; i++) {
		struct rj_cell_guarantee *guarantee =
			obtain(guarantees, config->accounts[i].name);

		guarantee->configured = true;
		guarantee->limit = config->accounts[i].guaranteed_accelerators;
		guarantee->needed = 0;
		guarantee->held = 0;
		guarantee->ending = 0;
		guarantee->bound_near = false;
	}
	g_hash_table_iter_init(&at, guarantees->by_account);
	while (g_hash_table_iter_next(&at, NULL, &value))
		if (!((struct rj_cell_guarantee *)value)->configured)
			g_hash_table_iter_remove(&at);
	guarantees->config_version = config ? config->version : 0;
}

/* Logs accounts whose urgent jobs have begun or ceased to need more than their
 * guarantee. */
static void log_changes(struct rj_cell_guarantees *guarantees)
{
	GHashTableIter at;
	gpointer value;

	g_hash_table_iter_init(&at, guarantees->by_account);
	while (g_hash_table_iter_next(&at, NULL, &value)) {
		struct rj_cell_guarantee *guarantee = value;
		bool exceeded = guarantee->needed > guarantee->limit;

		if (guarantee->exceeded != exceeded)
			rj_log_event("guarantee",
				     RJ_LOG_TEXT("account", guarantee->account),
				     RJ_LOG_NUMBER("exceeded", exceeded),
				     RJ_LOG_NUMBER("needed", guarantee->needed),
				     RJ_LOG_NUMBER("held", guarantee->held),
				     RJ_LOG_NUMBER("limit", guarantee->limit),
				     RJ_LOG_NUMBER("config",
						   guarantees->config_version));
		guarantee->exceeded = exceeded;
	}
}

/* Counts and logs a job once it has not begun within the bound. */
static void check_start_late(struct rj_cell_guarantees *guarantees,
			     struct rj_cell_job *job,
			     const struct rj_cell_guarantee *guarantee,
			     uint64_t now_us)
{
	if (job->begun || job->start_late || !guarantees->bound_ms ||
	    job->job_spec->repeats ||
	    now_us <= job->accepted_us + guarantees->bound_ms * RJ_US_PER_MS)
		return;
	job->start_late = true;
	guarantees->late_starts[job->guaranteed]++;
	rj_log_event("start_late", RJ_LOG_TEXT("job", job->job_spec->id),
		     RJ_LOG_TEXT("account", guarantee->account),
		     RJ_LOG_AGE_MS("age_ms", now_us - job->accepted_us),
		     RJ_LOG_NUMBER("guaranteed", job->guaranteed),
		     RJ_LOG_NUMBER("need", need_of(job)),
		     RJ_LOG_NUMBER("needed", guarantee->needed),
		     RJ_LOG_NUMBER("held", guarantee->held),
		     RJ_LOG_NUMBER("limit", guarantee->limit),
		     RJ_LOG_NUMBER("runs_lost", job->runs_lost),
		     RJ_LOG_NUMBER("config", guarantees->config_version));
}

/* When an urgent job should have begun. */
static uint64_t bound_us(const struct rj_cell_guarantees *guarantees,
			 const struct rj_cell_job *job)
{
	return job->accepted_us + guarantees->bound_ms * RJ_US_PER_MS;
}

/*
 * Whether a job that has not begun needs a place now to begin within the bound.
 */
bool rj_cell_guarantees_bound_is_near(
	const struct rj_cell_guarantees *guarantees,
	const struct rj_cell_job *job, uint64_t now_us)
{
	return guarantees->bound_ms && !job->begun &&
	       now_us + guarantees->lead_us >= bound_us(guarantees, job);
}

/*
 * Whether an urgent job has not begun and its bound has not passed, so that it
 * has to begin in time once jobs of its account end.
 */
bool rj_cell_guarantees_bound_is_ahead(
	const struct rj_cell_guarantees *guarantees,
	const struct rj_cell_job *job, uint64_t now_us)
{
	return is_urgent(job) && !job->begun &&
	       now_us < bound_us(guarantees, job);
}

/* Counts the runs of a job that may end within a time. */
struct end_count {
	const struct rj_cell_forecast *forecast;
	uint64_t now_us;
	uint64_t within_us;
	uint32_t runs;
};

static void count_end(struct rj_cell_run *run, void *private_data)
{
	struct end_count *count = private_data;

	if (run->state == RJ_CELL_RUN_PLACED ||
	    run->state == RJ_CELL_RUN_LISTED)
		count->runs += rj_cell_forecast_may_end(
			count->forecast, run, count->now_us, count->within_us);
}

/* Whether a job may end within the lead: all tasks that are left run, and may
 * end. */
static bool is_about_to_end(const struct rj_cell_guarantees *guarantees,
			    const struct rj_cell_job *job,
			    const struct rj_cell_forecast *forecast,
			    uint64_t now_us)
{
	struct end_count count = { forecast, now_us, guarantees->lead_us, 0 };

	if (!job->begun || job->job_spec->repeats)
		return false;
	rj_cell_job_each_run(job, count_end, &count);
	return count.runs >= job->tasks_open;
}

/* An urgent job of a configured account. */
struct claim {
	struct rj_cell_job *job;
	struct rj_cell_guarantee *guarantee;
	uint64_t need;
	bool granted;
};

/* In this order, claims get their part of a guarantee. */
enum pass {
	PASS_PROMISED, /* held it in the last update, and have not begun */
	PASS_BEGUN, /* held it in the last update */
	PASS_RUNNING, /* have runs */
	PASS_WAITING,
	PASS_BOUND_NEAR, /* have to begin now */
	PASS_COUNT
};

/* Lists the claims, in the order in which the log took the jobs, and sums up what
 * they need. The caller frees the array. */
static GArray *gather_claims(struct rj_cell_guarantees *guarantees,
			     struct rj_list *jobs)
{
	GArray *claims = g_array_new(FALSE, FALSE, sizeof(struct claim));
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, jobs) {
		struct claim claim = { .job = RJ_CONTAINER(
					       at, struct rj_cell_job, link) };

		if (is_urgent(claim.job))
			claim.guarantee = g_hash_table_lookup(
				guarantees->by_account,
				claim.job->job_spec->account);
		if (!claim.guarantee) {
			claim.job->guaranteed = false;
			continue;
		}
		claim.need = need_of(claim.job);
		claim.guarantee->needed += claim.need;
		g_array_append_val(claims, claim);
	}
	return claims;
}

/* Whether a guarantee suffices for a claim. A job that needs no accelerators is
 * within it if all jobs of the account are. */
static bool suffices(const struct claim *claim)
{
	const struct rj_cell_guarantee *guarantee = claim->guarantee;

	return claim->need ? guarantee->held + claim->need <= guarantee->limit :
			     guarantee->needed <= guarantee->limit;
}

/* Whether a claim is granted in a pass. */
static bool is_granted(const struct rj_cell_guarantees *guarantees,
		       enum pass pass, const struct claim *claim,
		       uint64_t now_us)
{
	const struct rj_cell_job *job = claim->job;
	const struct rj_cell_guarantee *guarantee = claim->guarantee;

	switch (pass) {
	case PASS_PROMISED:
		return job->guaranteed && !job->begun;
	case PASS_BEGUN:
		return job->guaranteed && suffices(claim);
	case PASS_RUNNING:
		return job->allocated.cpu_milli && suffices(claim);
	case PASS_WAITING:
		return suffices(claim);
	default:
		return claim->need &&
		       rj_cell_guarantees_bound_is_near(guarantees, job,
							now_us) &&
		       guarantee->held - guarantee->ending + claim->need <=
			       guarantee->limit;
	}
}

/* Sums up what is held by jobs that are about to end, in the guarantees of which
 * a job that has to begin now holds nothing. */
static void sum_ending(const struct rj_cell_guarantees *guarantees,
		       const GArray *claims,
		       const struct rj_cell_forecast *forecast, uint64_t now_us)
{
	for (guint i = 0; i < claims->len; i++) {
		const struct claim *claim =
			&g_array_index(claims, struct claim, i);

		claim->guarantee->bound_near |=
			!claim->granted &&
			rj_cell_guarantees_bound_is_near(guarantees, claim->job,
							 now_us);
	}
	for (guint i = 0; i < claims->len; i++) {
		const struct claim *claim =
			&g_array_index(claims, struct claim, i);

		if (claim->granted && claim->guarantee->bound_near &&
		    is_about_to_end(guarantees, claim->job, forecast, now_us))
			claim->guarantee->ending += claim->need;
	}
}

/* Grants claims in one pass. */
static void run_pass(const struct rj_cell_guarantees *guarantees,
		     enum pass pass, GArray *claims, uint64_t now_us)
{
	for (guint i = 0; i < claims->len; i++) {
		struct claim *claim = &g_array_index(claims, struct claim, i);

		if (claim->granted ||
		    !is_granted(guarantees, pass, claim, now_us))
			continue;
		claim->granted = true;
		claim->guarantee->held += claim->need;
	}
}

/*
 * Decides which jobs are within the guarantee of their account, and sets their
 * `guaranteed`. The rules are stated in the header.
 */
void rj_cell_guarantees_update(struct rj_cell_guarantees *guarantees,
			       struct rj_list *jobs,
			       const struct rj_cell_config *config,
			       const struct rj_cell_forecast *forecast,
			       uint64_t now_us)
{
	GArray *claims;

	set_limits(guarantees, config);
	claims = gather_claims(guarantees, jobs);
	for (int pass = 0; pass < PASS_COUNT; pass++) {
		if (pass == PASS_BOUND_NEAR)
			sum_ending(guarantees, claims, forecast, now_us);
		run_pass(guarantees, (enum pass)pass, claims, now_us);
	}
	for (guint i = 0; i < claims->len; i++) {
		const struct claim *claim =
			&g_array_index(claims, struct claim, i);

		claim->job->guaranteed = claim->granted;
		check_start_late(guarantees, claim->job, claim->guarantee,
				 now_us);
	}
	log_changes(guarantees);
	g_array_free(claims, TRUE);
}

/*
 * Returns the guarantee of an account as of the last update; one of zeros if the
 * account is not known.
 */
struct rj_cell_guarantee
rj_cell_guarantees_get(const struct rj_cell_guarantees *guarantees,
		       const char *account)
{
	const struct rj_cell_guarantee *guarantee =
		g_hash_table_lookup(guarantees->by_account, account);

	return guarantee ? *guarantee :
			   (struct rj_cell_guarantee){ .limit = 0 };
}

/*
 * Whether the urgent jobs of an account need less than its guarantee, so that a
 * further one must not be rejected.
 */
bool rj_cell_guarantee_has_room(const struct rj_cell_guarantee *guarantee)
{
	return guarantee->needed < guarantee->limit;
}

/*
 * Whether some configured account has room in its guarantee.
 */
bool rj_cell_guarantees_have_room(const struct rj_cell_guarantees *guarantees,
				  const struct rj_cell_config *config)
{
	for (uint32_t i = 0; i < config->account_count; i++) {
		struct rj_cell_guarantee guarantee = rj_cell_guarantees_get(
			guarantees, config->accounts[i].name);

		if (rj_cell_guarantee_has_room(&guarantee))
			return true;
	}
	return false;
}
