#include "private/topology.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

/*
 * Offset added to the arrival time by priority. It implements ageing: a bulk
 * job that has waited half an hour goes before an urgent job that has just
 * arrived.
 */
static const uint64_t priority_delay_us[RJ_PRIORITY_COUNT] = {
	[RJ_PRIORITY_URGENT] = 0,
	[RJ_PRIORITY_NORMAL] = 120 * RJ_US_PER_S,
	[RJ_PRIORITY_BULK] = 1800 * RJ_US_PER_S,
};

/*
 * Offset subtracted from the arrival time of a job larger than a worker, for
 * each worker that it fills: otherwise the free capacity it needs seldom comes
 * together, as smaller jobs use it up. A bulk gang of six workers thus ranks
 * with urgent work.
 */
#define SIZE_CREDIT_US (300 * RJ_US_PER_S)

/*
 * Offset added to the arrival time for each fair share that an account uses
 * above its guarantee.
 */
#define FAIR_SHARE_PENALTY_US (60 * RJ_US_PER_S)

/* Maximum number of fair shares that are penalised. */
#define FAIR_SHARE_PENALTY_MAX 4

/* The last 1/URGENT_QUEUE_DIVISOR of the queue accepts urgent jobs only. */
#define URGENT_QUEUE_DIVISOR 8

/*
 * Returns the bucket for jobs like `entry`, creating it if necessary.
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
 * Inserts a job in back-off, in order of the end of the back-off.
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
 * Earliest deadline first; the job id breaks ties.
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
 * Queues the job in its bucket. If it becomes the head, the bucket is
 * unblocked: only the former head is known not to fit.
 */
static void insert_into_bucket(struct rj_topology_state *state,
			       struct rj_plan_entry *entry)
{
	entry->bucket = bucket_of(state, entry);
	rj_plan_queue_insert(&entry->bucket->queue, entry);
	if (entry->bucket->queue.head == &entry->link)
		entry->bucket->blocked_version = 0;
}

/*
 * Returns the account's fair share of the accelerators, by weight among the
 * accounts that have jobs.
 */
uint64_t rj_topology_fair_share(const struct rj_topology_state *state,
				const struct rj_plan_account *account)
{
	return state->accelerators * account->share /
	       MAX(state->share_active, 1);
}

/*
 * Updates the account's activity after jobs were added or removed.
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
 * Queues the job, in its bucket or until its back-off ends.
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
 * Removes the job from the queue, and frees its bucket if that is then empty.
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
 * Moves jobs whose back-off has ended to their buckets.
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
 * Returns the offset of an account's jobs for its use above its guarantee, in
 * units of its fair share.
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
 * Returns the offset of a job for its priority. For a job larger than the
 * largest worker it is reduced by its size, but not below that of urgent work.
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
 * Returns the bucket whose head is to be placed next, or NULL if all buckets
 * are blocked at the present version of the state. Heads are ordered by arrival
 * time plus the offsets for priority, size and use above the guarantee.
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
 * Returns the expected wait of a new job of `priority`: the accelerator time
 * that queued jobs of this and higher priorities need, by recorded run times,
 * divided by the number of accelerators.
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
 * Returns the retry delay of a refused caller: the expected wait, at least 1 s,
 * plus or minus half of it depending on the job id, so that callers refused at
 * the same time do not retry at the same time. The spread is stateless and
 * deterministic.
 */
uint64_t rj_topology_retry_after_us(uint64_t wait_us, uint64_t job_id)
{
	uint64_t base_us = MAX(wait_us, RJ_US_PER_S);
	uint64_t hash = rj_hash64(&job_id, sizeof(job_id), 0);

	return base_us / 2 + hash % base_us;
}

/*
 * Whether the queue is full for `entry`. The last part accepts urgent jobs
 * only, and from half full on no account may exceed its share by weight, so
 * that a burst of one account does not exclude others.
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
