#include "private/topology.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

/*
 * How much later than it came a job of each priority is taken to have come.
 * This is the ageing: a bulk job that has waited half an hour goes before an
 * urgent one that has just come.
 */
static const uint64_t priority_delay_us[RJ_PRIORITY_COUNT] = {
	[RJ_PRIORITY_URGENT] = 0,
	[RJ_PRIORITY_NORMAL] = 120 * RJ_US_PER_S,
	[RJ_PRIORITY_BULK] = 1800 * RJ_US_PER_S,
};

/*
 * How much earlier a job larger than a worker is taken to have come, for each
 * worker that it fills: what it needs comes together seldom, and goes in bits
 * to what comes before it. A gang of six workers thus goes with urgent work.
 */
#define SIZE_CREDIT_US (300 * RJ_US_PER_S)

/*
 * An account that uses twice its fair share above its guarantee goes this
 * much behind one that uses none of it.
 */
#define FAIR_SHARE_PENALTY_US (60 * RJ_US_PER_S)

/* The penalty of the fair share stops growing at this many shares. */
#define FAIR_SHARE_PENALTY_MAX 4

/* One part in so many of the queue is kept for urgent jobs. */
#define URGENT_QUEUE_DIVISOR 8

/*
 * The bucket of jobs like `entry`, made if there is none.
 */
static struct rj_plan_bucket *bucket_of(struct rj_topology_state *state,
					const struct rj_plan_entry *entry)
{
	struct rj_plan_bucket *bucket;

	for (uint32_t i = 0; i < state->buckets->len; i++) {
		bucket = g_ptr_array_index(state->buckets, i);
		if (bucket->account == entry->account &&
		    bucket->priority == entry->job.priority &&
		    bucket->preemptible == entry->job.preemptible &&
		    rj_shape_equal(&bucket->shape, &entry->job.shape))
			return bucket;
	}
	bucket = talloc_zero(state->mem, struct rj_plan_bucket);
	assert(bucket);
	bucket->account = entry->account;
	bucket->priority = entry->job.priority;
	bucket->preemptible = entry->job.preemptible;
	bucket->shape = entry->job.shape;
	g_queue_init(&bucket->queue);
	g_ptr_array_add(state->buckets, bucket);
	return bucket;
}

/*
 * Put a job in back-off among the others, soonest first.
 */
static void insert_into_delayed(struct rj_topology_state *state,
				struct rj_plan_entry *entry)
{
	GList *before = state->delayed.tail;

	while (before && ((struct rj_plan_entry *)before->data)->not_before_us >
				 entry->not_before_us)
		before = before->prev;
	entry->link.prev = NULL;
	entry->link.next = NULL;
	if (before)
		g_queue_insert_after_link(&state->delayed, before,
					  &entry->link);
	else
		g_queue_push_head_link(&state->delayed, &entry->link);
}

/*
 * The soonest deadline first; the job's id breaks ties.
 */
static gint compare_deadlines(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct rj_plan_entry *one = a;
	const struct rj_plan_entry *two = b;

	if (one->job.deadline_us != two->job.deadline_us)
		return one->job.deadline_us < two->job.deadline_us ? -1 : 1;
	return one->job.job_id < two->job.job_id ?
		       -1 :
		       one->job.job_id > two->job.job_id;
}

/*
 * Let the job wait in its bucket. A job that comes first there may fit where
 * the former first did not, so the bucket is tried again.
 */
static void insert_into_bucket(struct rj_topology_state *state,
			       struct rj_plan_entry *entry)
{
	entry->bucket = bucket_of(state, entry);
	/* Only a new head can fit where the old one did not. */
	rj_plan_queue_insert(&entry->bucket->queue, entry);
	if (entry->bucket->queue.head == &entry->link)
		entry->bucket->blocked_version = 0;
}

/*
 * The accelerators that are the account's fair share: its part of all by
 * weight, among the accounts that have jobs at all.
 */
uint64_t rj_topology_fair_share(const struct rj_topology_state *state,
				const struct rj_plan_account *account)
{
	return state->accelerators * account->share /
	       MAX(state->share_active, 1);
}

/*
 * Count the account in or out after its jobs have come or gone.
 */
void rj_topology_update_active(struct rj_topology_state *state,
			       struct rj_plan_account *account)
{
	bool active = account->queued || account->used;

	if (active == account->active)
		return;
	account->active = active;
	if (active)
		state->share_active += account->share;
	else
		state->share_active -= account->share;
}

/*
 * Let the job wait, in its bucket or until its back-off ends.
 */
void rj_topology_enqueue(struct rj_topology_state *state,
			 struct rj_plan_entry *entry, uint64_t now_us)
{
	assert(!entry->members && !entry->bucket);
	if (entry->not_before_us > now_us)
		insert_into_delayed(state, entry);
	else
		insert_into_bucket(state, entry);
	if (entry->job.deadline_us != RJ_NEVER_US)
		entry->deadline = g_sequence_insert_sorted(
			state->deadlines, entry, compare_deadlines, NULL);
	entry->backlog = rj_runtime_quantile_us(entry->runtime, 50, 0) *
			 rj_topology_job_size(entry);
	state->backlog[entry->job.priority] += entry->backlog;
	entry->account->queued++;
	rj_topology_update_active(state, entry->account);
	state->queued++;
}

/*
 * The job waits no longer.
 */
void rj_topology_dequeue(struct rj_topology_state *state,
			 struct rj_plan_entry *entry)
{
	if (entry->bucket)
		g_queue_unlink(&entry->bucket->queue, &entry->link);
	else
		g_queue_unlink(&state->delayed, &entry->link);
	if (entry->bucket && !entry->bucket->queue.length) {
		g_ptr_array_remove(state->buckets, entry->bucket);
		talloc_free(entry->bucket);
	}
	entry->bucket = NULL;
	if (entry->deadline)
		g_sequence_remove(entry->deadline);
	entry->deadline = NULL;
	assert(state->backlog[entry->job.priority] >= entry->backlog);
	state->backlog[entry->job.priority] -= entry->backlog;
	entry->account->queued--;
	rj_topology_update_active(state, entry->account);
	state->queued--;
}

/*
 * Let the jobs whose back-off has ended wait for a place.
 */
void rj_topology_release_delayed(struct rj_topology_state *state,
				 uint64_t now_us)
{
	while (state->delayed.head) {
		struct rj_plan_entry *entry = state->delayed.head->data;

		if (entry->not_before_us > now_us)
			return;
		g_queue_unlink(&state->delayed, &entry->link);
		insert_into_bucket(state, entry);
	}
}

/*
 * How far behind its arrival an account's jobs are put for using more than
 * its fair share, in microseconds.
 */
static uint64_t fair_penalty_us(const struct rj_topology_state *state,
				const struct rj_plan_account *account)
{
	uint64_t above = account->used > account->guaranteed ?
				 account->used - account->guaranteed :
				 0;
	uint64_t fair = rj_topology_fair_share(state, account);
	uint64_t max_us = FAIR_SHARE_PENALTY_MAX * FAIR_SHARE_PENALTY_US;

	return MIN(above * FAIR_SHARE_PENALTY_US / MAX(fair, 1), max_us);
}

/*
 * How far behind its arrival a job is put for its priority. A gang makes up
 * for some of it by its size, but never goes before urgent work.
 */
static uint64_t priority_penalty_us(const struct rj_topology_state *state,
				    const struct rj_plan_entry *entry)
{
	uint64_t penalty_us = priority_delay_us[entry->job.priority];
	uint64_t size = rj_topology_job_size(entry);

	if (size <= state->worker_accelerators)
		return penalty_us;
	return penalty_us - MIN(penalty_us, size * SIZE_CREDIT_US /
						    state->worker_accelerators);
}

/*
 * The bucket whose first job is next in this state, or NULL when each has
 * been found blocked. A job is taken in order of its arrival, its priority,
 * its size and its account's use above the guarantee.
 */
struct rj_plan_bucket *rj_topology_next_bucket(struct rj_topology_state *state,
					       uint64_t now_us)
{
	struct rj_plan_bucket *best = NULL;

	for (uint32_t i = 0; i < state->buckets->len; i++) {
		struct rj_plan_bucket *bucket =
			g_ptr_array_index(state->buckets, i);
		const struct rj_plan_entry *head;

		if (bucket->blocked_version == state->version)
			continue;
		head = bucket->queue.head->data;
		bucket->sort_key = head->job.queued_us +
				   priority_penalty_us(state, head) +
				   fair_penalty_us(state, bucket->account);
		if (!best || bucket->sort_key < best->sort_key)
			best = bucket;
	}
	return best;
}

/*
 * How long a job of `priority` that comes now will wait, by the learnt run
 * times of what waits before it, in microseconds.
 */
uint64_t rj_topology_expected_wait_us(const struct rj_topology_state *state,
				      enum rj_priority priority)
{
	uint64_t before = 0;

	for (uint32_t i = 0; i <= priority; i++)
		before += state->backlog[i];
	return before / MAX(state->accelerators, 1);
}

/*
 * When a refused caller should come back: the wait, spread over half of it
 * either way by the job, so that those refused together return apart. The
 * spread needs no state and is the same in each run.
 */
uint64_t rj_topology_retry_after_us(uint64_t wait_us, uint64_t job_id)
{
	uint64_t base_us = MAX(wait_us, RJ_US_PER_S);
	uint64_t hash = rj_hash64(&job_id, sizeof(job_id), 0);

	return base_us / 2 + hash % base_us;
}

/*
 * Whether there is no room for one more. The last part of the queue takes
 * urgent jobs only, and once it is half full no account may have more than
 * its share of it, so that a burst of one account does not shut out others.
 */
bool rj_topology_queue_is_full(const struct rj_topology_state *state,
			       const struct rj_plan_entry *entry)
{
	uint64_t max = state->limits.queue_max;
	uint64_t fair =
		max * entry->account->share / MAX(state->share_total, 1);

	if (state->queued >= max)
		return true;
	if (entry->job.priority != RJ_PRIORITY_URGENT &&
	    state->queued >= max - max / URGENT_QUEUE_DIVISOR)
		return true;
	return state->queued >= max / 2 &&
	       entry->account->queued >= MAX(fair, 1);
}
