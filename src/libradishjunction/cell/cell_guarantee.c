#include "private/cell_guarantee.h"

#include <string.h>

#include "private/log_event.h"

/*
 * Initializes the guarantees of an owner that knows no jobs yet.
 */
void rj_cell_guarantees_init(struct rj_cell_guarantees *guarantees,
			     uint32_t bound_ms)
{
	memset(guarantees, 0, sizeof(*guarantees));
	guarantees->bound_ms = bound_ms;
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

/* Returns the accelerators that the tasks of a job need. */
static uint64_t need_of(const struct rj_cell_job *job)
{
	const struct rj_cell_job_spec *spec = job->job_spec;
	uint64_t need = 0;

	for (uint32_t i = 0; i < spec->step_count; i++)
		need += (uint64_t)spec->steps[i].task_count *
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
		     RJ_LOG_NUMBER("limit", guarantee->limit),
		     RJ_LOG_NUMBER("runs_lost", job->runs_lost),
		     RJ_LOG_NUMBER("config", guarantees->config_version));
}

/*
 * Decides which jobs are within the guarantee of their account, and sets their
 * `guaranteed`: all urgent jobs of an account, if they need no more than its
 * guarantee together.
 */
void rj_cell_guarantees_update(struct rj_cell_guarantees *guarantees,
			       struct rj_list *jobs,
			       const struct rj_cell_config *config,
			       uint64_t now_us)
{
	struct rj_list *at;
	struct rj_list *next;
	struct rj_cell_guarantee *guarantee;

	set_limits(guarantees, config);
	RJ_FOR_EACH (at, next, jobs) {
		const struct rj_cell_job *job =
			RJ_CONTAINER(at, struct rj_cell_job, link);

		guarantee = g_hash_table_lookup(guarantees->by_account,
						job->job_spec->account);
		if (guarantee && is_urgent(job))
			guarantee->needed += need_of(job);
	}
	RJ_FOR_EACH (at, next, jobs) {
		struct rj_cell_job *job =
			RJ_CONTAINER(at, struct rj_cell_job, link);

		guarantee = g_hash_table_lookup(guarantees->by_account,
						job->job_spec->account);
		job->guaranteed = is_urgent(job) && guarantee &&
				  guarantee->needed <= guarantee->limit;
		if (guarantee && is_urgent(job))
			check_start_late(guarantees, job, guarantee, now_us);
	}
	log_changes(guarantees);
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
