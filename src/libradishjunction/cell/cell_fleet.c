#include "private/cell_fleet.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

/* Largest fleet in which an instance can keep a connection to each worker. In a
 * larger one polls open new connections, so idle workers are polled less often,
 * and each is assumed to be as its heartbeat reports until the first order to
 * it. */
#define POLLED_FLEET_MAX 1500
/* A worker's clock may run slow by this much. */
#define CLOCK_SLOW_PERCENT 2
/* Covers the time that a worker's answer was in transit. */
#define ANSWER_SLACK_US (50 * RJ_US_PER_MS)
/* Number of histories kept of workers that were dropped, about 150 KB. */
#define DEPARTED_MAX 1024
/* A failure domain was cut off if none of its workers answered for this long
 * while calls to several racks were lost. If only calls to one rack were, it is
 * longer than any other worker takes to answer a poll. */
#define CUT_MIN_US (300 * RJ_US_PER_MS)
#define CUT_ONE_RACK_MIN_US (1800 * RJ_US_PER_MS)

/*
 * Initializes an empty fleet. `cordons` may be NULL.
 */
void rj_cell_fleet_init(struct rj_cell_fleet *fleet, void *mem,
			const struct rj_cell_cordons *cordons)
{
	memset(fleet, 0, sizeof(*fleet));
	fleet->cordons = cordons;
	fleet->mem = talloc_named_const(mem, 0, "cell fleet");
	fleet->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	fleet->runs = rj_cell_run_index_new();
	rj_list_init(&fleet->workers);
	for (int i = 0; i < RJ_CELL_POLL_STATE_COUNT; i++)
		rj_list_init(&fleet->by_poll_state[i]);
	rj_list_init(&fleet->order_queue);
	rj_list_init(&fleet->unstored);
	fleet->racks = g_ptr_array_new();
	fleet->domains = g_ptr_array_new();
	fleet->departed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/*
 * Frees all workers and their runs. Does nothing if the fleet is not
 * initialized.
 */
void rj_cell_fleet_finish(struct rj_cell_fleet *fleet)
{
	if (!fleet->by_id)
		return;
	while (fleet->workers.next != &fleet->workers)
		rj_cell_fleet_drop(fleet,
				   RJ_CONTAINER(fleet->workers.next,
						struct rj_cell_worker, link));
	g_hash_table_destroy(fleet->by_id);
	fleet->by_id = NULL;
	g_hash_table_destroy(fleet->runs);
	fleet->runs = NULL;
	g_hash_table_destroy(fleet->departed);
	fleet->departed = NULL;
	g_ptr_array_free(fleet->racks, TRUE);
	fleet->racks = NULL;
	g_ptr_array_free(fleet->domains, TRUE);
	fleet->domains = NULL;
	TALLOC_FREE(fleet->mem);
}

/*
 * Returns the worker with this id, or NULL.
 */
struct rj_cell_worker *rj_cell_fleet_find(const struct rj_cell_fleet *fleet,
					  const char *id)
{
	return g_hash_table_lookup(fleet->by_id, id);
}

/* Whether a history says as little as none. */
static gboolean is_unknown(gpointer id, gpointer history, gpointer now_us)
{
	return !rj_cell_worker_history_is_known(history,
						*(const uint64_t *)now_us);
}

/*
 * Keeps the history of a worker that is dropped without notice.
 *
 * A worker that is away for longer than its entry lasts would otherwise return
 * as one of which nothing is known. A worker that flaps does so repeatedly.
 */
static void keep_history(struct rj_cell_fleet *fleet,
			 const struct rj_cell_worker *worker)
{
	const struct rj_cell_worker_history *history = &worker->history;
	uint64_t now_us = MAX(history->updated_us, history->silent_us);

	if (worker->heartbeat.draining || worker->deregistered_us ||
	    !rj_cell_worker_history_is_known(history, now_us))
		return;
	if (g_hash_table_size(fleet->departed) >= DEPARTED_MAX)
		g_hash_table_foreach_remove(fleet->departed, is_unknown,
					    &now_us);
	if (g_hash_table_size(fleet->departed) < DEPARTED_MAX)
		g_hash_table_replace(fleet->departed, g_strdup(worker->id),
				     g_memdup2(history, sizeof(*history)));
}

/* Gives a worker the history that was kept of it. */
static void restore_history(struct rj_cell_fleet *fleet,
			    struct rj_cell_worker *worker)
{
	const struct rj_cell_worker_history *history =
		g_hash_table_lookup(fleet->departed, worker->id);

	if (!history)
		return;
	worker->history = *history;
	g_hash_table_remove(fleet->departed, worker->id);
}

/*
 * Returns the worker with this id. One that is unknown is created with an empty
 * heartbeat, so it has no address yet.
 */
struct rj_cell_worker *rj_cell_fleet_obtain(struct rj_cell_fleet *fleet,
					    const char *id)
{
	struct rj_cell_worker *worker = rj_cell_fleet_find(fleet, id);

	if (worker)
		return worker;
	worker = talloc_zero(fleet->mem, struct rj_cell_worker);
	assert(worker);
	g_strlcpy(worker->id, id, sizeof(worker->id));
	worker->fleet = fleet;
	rj_list_init(&worker->runs);
	rj_list_init(&worker->in_poll_state);
	rj_list_init(&worker->in_order_queue);
	rj_list_init(&worker->in_unstored);
	rj_cell_pace_init(&worker->pace);
	rj_list_init(&worker->in_rack);
	rj_list_append(&fleet->workers, &worker->link);
	rj_cell_worker_set_poll_state(worker, RJ_CELL_POLL_STATE_IDLE);
	g_hash_table_insert(fleet->by_id, worker->id, worker);
	fleet->count++;
	restore_history(fleet, worker);
	return worker;
}

/* Removes a worker from its rack, if it has one. */
static void leave_rack(struct rj_cell_worker *worker)
{
	rj_list_remove(&worker->in_rack);
	if (worker->rack)
		worker->rack->worker_count--;
	worker->rack = NULL;
}

/*
 * Removes a worker and frees its runs.
 */
void rj_cell_fleet_drop(struct rj_cell_fleet *fleet,
			struct rj_cell_worker *worker)
{
	while (worker->runs.next != &worker->runs)
		rj_cell_run_free(RJ_CONTAINER(worker->runs.next,
					      struct rj_cell_run, in_worker));
	keep_history(fleet, worker);
	rj_list_remove(&worker->link);
	rj_list_remove(&worker->in_poll_state);
	rj_list_remove(&worker->in_order_queue);
	rj_list_remove(&worker->in_unstored);
	leave_rack(worker);
	g_hash_table_remove(fleet->by_id, worker->id);
	fleet->count--;
	talloc_free(worker);
}

/* Returns the rack with this name. If there is none, returns NULL and sets
 * `position` to where it belongs in sort order. */
static struct rj_cell_rack *find_rack(const struct rj_cell_fleet *fleet,
				      const char *name, guint *position)
{
	guint from = 0;
	guint to = fleet->racks->len;

	while (from < to) {
		guint middle = (from + to) / 2;
		struct rj_cell_rack *rack = fleet->racks->pdata[middle];
		int order = strcmp(name, rack->name);

		if (!order)
			return rack;
		if (order < 0)
			to = middle;
		else
			from = middle + 1;
	}
	*position = from;
	return NULL;
}

/* Returns the rack with this name, created if it is unknown. Racks are never
 * removed; a site has a fixed number of them. */
static struct rj_cell_rack *get_or_create_rack(struct rj_cell_fleet *fleet,
					       const char *name)
{
	guint position = 0;
	struct rj_cell_rack *rack = find_rack(fleet, name, &position);

	if (rack)
		return rack;
	rack = talloc_zero(fleet->mem, struct rj_cell_rack);
	assert(rack);
	g_strlcpy(rack->name, name, sizeof(rack->name));
	rj_list_init(&rack->workers);
	g_ptr_array_insert(fleet->racks, (gint)position, rack);
	return rack;
}

/* Returns the failure domain with this name, created if it is unknown. */
static struct rj_cell_domain *get_or_create_domain(struct rj_cell_fleet *fleet,
						   const char *name)
{
	struct rj_cell_domain *domain;

	for (guint i = 0; i < fleet->domains->len; i++) {
		domain = fleet->domains->pdata[i];
		if (!strcmp(name, domain->name))
			return domain;
	}
	domain = talloc_zero(fleet->mem, struct rj_cell_domain);
	assert(domain);
	g_strlcpy(domain->name, name, sizeof(domain->name));
	domain->cordoned = fleet->cordons &&
			   rj_cell_cordons_contains(fleet->cordons, name);
	g_ptr_array_add(fleet->domains, domain);
	return domain;
}

/*
 * Copies the operators' cordons to the failure domains. Returns whether they
 * have changed.
 */
bool rj_cell_fleet_apply_cordons(struct rj_cell_fleet *fleet)
{
	if (!fleet->cordons || fleet->cordon_changes == fleet->cordons->changes)
		return false;
	fleet->cordon_changes = fleet->cordons->changes;
	for (guint i = 0; i < fleet->domains->len; i++) {
		struct rj_cell_domain *domain = fleet->domains->pdata[i];

		domain->cordoned =
			rj_cell_cordons_contains(fleet->cordons, domain->name);
	}
	return true;
}

/*
 * Whether all workers of a rack are in cordoned failure domains.
 */
bool rj_cell_fleet_rack_cordoned(const struct rj_cell_fleet *fleet,
				 const char *name)
{
	guint position = 0;
	const struct rj_cell_rack *rack = find_rack(fleet, name, &position);
	const struct rj_list *at;

	if (!rack)
		return false;
	for (at = rack->workers.next; at != &rack->workers; at = at->next)
		if (!rj_cell_worker_cordoned(
			    RJ_CONTAINER(at, struct rj_cell_worker, in_rack)))
			return false;
	return rack->workers.next != &rack->workers;
}

/* Records an answer of a failure domain, which may be the first one after it
 * was cut off. */
static void record_answer(struct rj_cell_domain *domain, uint64_t now_us)
{
	uint64_t cut_min_us =
		domain->several_racks_lost ? CUT_MIN_US : CUT_ONE_RACK_MIN_US;

	if (domain->lost_rack && domain->answered_us &&
	    now_us >= domain->answered_us + cut_min_us) {
		domain->cut_from_us = domain->answered_us;
		domain->cut_until_us = now_us;
	}
	domain->answered_us = now_us;
	domain->lost_rack = NULL;
	domain->several_racks_lost = false;
}

/* Records that a call to a worker of a failure domain got no answer. */
static void record_lost_call(struct rj_cell_domain *domain,
			     const struct rj_cell_rack *rack, uint64_t sent_us)
{
	domain->lost_call_us = MAX(domain->lost_call_us, sent_us);
	if (!domain->lost_rack)
		domain->lost_rack = rack;
	domain->several_racks_lost |= domain->lost_rack != rack;
}

/*
 * Records that a call sent at `sent_us` was answered or lost.
 *
 * A worker that does not answer is called again and again. If its domain has
 * answered since, its silence is its own: otherwise one dead worker would make
 * all others of its domain unusable between two of their answers.
 */
void rj_cell_worker_record_contact(struct rj_cell_worker *worker,
				   uint64_t sent_us, bool answered,
				   uint64_t now_us)
{
	struct rj_cell_domain *domain = worker->domain;

	if (answered) {
		worker->answered_us = now_us;
		worker->unanswered_us = 0;
	}
	if (domain && answered)
		record_answer(domain, now_us);
	else if (domain && (!worker->unanswered_us ||
			    domain->answered_us <= worker->unanswered_us))
		record_lost_call(domain, worker->rack, sent_us);
	if (!answered && !worker->unanswered_us)
		worker->unanswered_us = now_us;
}

/* Whether no worker of a failure domain has answered since the latest lost call
 * there was sent. */
static bool is_unreachable(const struct rj_cell_domain *domain)
{
	return domain && domain->lost_call_us > domain->answered_us;
}

/*
 * Applies a heartbeat of a worker.
 */
void rj_cell_worker_apply_heartbeat(struct rj_cell_worker *worker,
				    const struct rj_cell_heartbeat *heartbeat)
{
	bool rack_changed = !worker->rack || strcmp(worker->heartbeat.rack,
						    heartbeat->rack) != 0;

	if (!worker->domain ||
	    strcmp(worker->domain->name, heartbeat->domain) != 0)
		worker->domain =
			get_or_create_domain(worker->fleet, heartbeat->domain);
	if (!worker->service ||
	    strcmp(worker->service, heartbeat->service) != 0)
		worker->service = g_intern_string(heartbeat->service);
	worker->heartbeat = *heartbeat;
	if (heartbeat->draining)
		worker->history.leaving_incarnation =
			heartbeat->incarnation ? heartbeat->incarnation :
						 worker->incarnation;
	else if (heartbeat->incarnation == worker->history.leaving_incarnation)
		worker->history.leaving_incarnation = 0; /* it stays */
	if (!rack_changed)
		return;
	leave_rack(worker);
	worker->rack = get_or_create_rack(worker->fleet, heartbeat->rack);
	worker->rack->worker_count++;
	rj_list_append(&worker->rack->workers, &worker->in_rack);
}

/*
 * Whether the fleet is too large to poll each of its workers often. Heartbeats
 * are then trusted until the first order to a worker.
 */
bool rj_cell_fleet_is_large(const struct rj_cell_fleet *fleet)
{
	return fleet->count > POLLED_FLEET_MAX;
}

/*
 * Returns a worker's id as the platform lists it, for calls that name it.
 */
const char *rj_cell_worker_listed_id(const struct rj_cell_worker *worker)
{
	return worker->long_id ? worker->long_id : worker->id;
}

/*
 * Sets a worker's id as the platform lists it.
 */
void rj_cell_worker_set_listed_id(struct rj_cell_worker *worker,
				  const char *listed_id)
{
	if (strcmp(rj_cell_worker_listed_id(worker), listed_id) != 0)
		worker->long_id = talloc_strdup(worker, listed_id);
}

/*
 * Whether an entry of the worker need not be decoded if it has the same content
 * as the one that is kept: such an entry changes only the worker's clock and the
 * time of the last heartbeat.
 */
bool rj_cell_worker_entry_is_comparable(const struct rj_cell_worker *worker)
{
	const struct rj_cell_heartbeat *heartbeat = &worker->heartbeat;

	return worker->listed && worker->entry.length && !heartbeat->draining &&
	       !heartbeat->cold_left_ms &&
	       (!worker->incarnation || !heartbeat->incarnation ||
		worker->incarnation == heartbeat->incarnation);
}

/*
 * Keeps a copy of the entry that the worker's heartbeat was decoded from, unless
 * it is long: other writers may leave long ones.
 */
void rj_cell_worker_keep_entry(struct rj_cell_worker *worker,
			       struct rj_bytes entry)
{
	talloc_free((void *)worker->entry.data);
	worker->entry = (struct rj_bytes){ NULL, 0 };
	if (entry.length > RJ_CELL_ENTRY_KEPT_MAX_BYTES)
		return;
	worker->entry.data = talloc_memdup(worker, entry.data, entry.length);
	worker->entry.length = entry.length;
}

/*
 * Changes a worker's poll state and appends it to that state's list.
 */
void rj_cell_worker_set_poll_state(struct rj_cell_worker *worker,
				   enum rj_cell_poll_state poll_state)
{
	rj_list_remove(&worker->in_poll_state);
	worker->poll_state = poll_state;
	rj_list_append(&worker->fleet->by_poll_state[poll_state],
		       &worker->in_poll_state);
}

/*
 * Estimates the worker's clock now, in milliseconds, from its last answer. The
 * estimate is never ahead of the worker's clock unless that runs slow.
 */
uint64_t rj_cell_worker_clock_ms(const struct rj_cell_worker *worker,
				 uint64_t now_us)
{
	return worker->clock_ms + (now_us - worker->clock_at_us) / RJ_US_PER_MS;
}

/*
 * Longest duration, by the owner's clock, of a lease that lasts `lease_us` by a
 * worker's clock.
 */
uint64_t rj_cell_lease_max_us(uint64_t lease_us)
{
	return lease_us * (100 + CLOCK_SLOW_PERCENT) / 100;
}

/*
 * Returns the latest deadline, by the worker's clock in milliseconds, of a lease
 * that surely ends by `until_us` of the owner's clock.
 */
uint64_t rj_cell_worker_deadline_within(const struct rj_cell_worker *worker,
					uint64_t until_us)
{
	uint64_t from_us = worker->clock_at_us + ANSWER_SLACK_US;

	if (until_us == RJ_NEVER_US)
		return UINT64_MAX;
	if (until_us <= from_us)
		return 0;
	return worker->clock_ms + (until_us - from_us) * 100 /
					  (100 + CLOCK_SLOW_PERCENT) /
					  RJ_US_PER_MS;
}

/*
 * Extends the worker's lease to the deadline of an order that is sent; an
 * earlier deadline does not shorten it. Runs on the worker may continue until
 * its clock reaches the deadline, which can be slightly later by the owner's
 * clock.
 */
void rj_cell_worker_extend_lease(struct rj_cell_worker *worker,
				 uint64_t deadline_ms)
{
	uint64_t left_us;
	uint64_t lease_expired_us;

	if (deadline_ms > worker->lease_deadline_ms)
		worker->lease_deadline_ms = deadline_ms;
	left_us = (worker->lease_deadline_ms - worker->clock_ms) * RJ_US_PER_MS;
	lease_expired_us = worker->clock_at_us + ANSWER_SLACK_US +
			   rj_cell_lease_max_us(left_us);
	if (lease_expired_us > worker->lease_expired_us)
		worker->lease_expired_us = lease_expired_us;
}

/*
 * Whether a worker has the label that a step requires; an empty one stands for
 * none.
 */
bool rj_cell_worker_has_label(const struct rj_cell_worker *worker,
			      const char *label)
{
	return !label[0] || !strcmp(label, worker->heartbeat.kind) ||
	       !strcmp(label, worker->heartbeat.rack);
}

/*
 * Whether the worker's failure domain is known and cordoned.
 */
bool rj_cell_worker_cordoned(const struct rj_cell_worker *worker)
{
	return worker->domain && worker->domain->cordoned;
}

/*
 * Returns the incarnation that a worker is expected to be: the one that has
 * answered last or, before the first answer, the one that wrote its entry; 0 if
 * neither is known.
 */
uint64_t
rj_cell_worker_expected_incarnation(const struct rj_cell_worker *worker)
{
	return worker->incarnation ? worker->incarnation :
				     worker->heartbeat.incarnation;
}

/*
 * Whether a worker's entry is of the incarnation that has answered last. After a
 * restart of the worker its kind, rack and capacity may be others, and its answer
 * may be read before its new entry.
 */
static bool has_current_entry(const struct rj_cell_worker *worker)
{
	return !worker->incarnation || !worker->heartbeat.incarnation ||
	       worker->incarnation == worker->heartbeat.incarnation;
}

/*
 * Whether tasks may still start on a worker: its present incarnation is listed
 * and not draining, and its failure domain is not cordoned.
 */
bool rj_cell_worker_schedulable(const struct rj_cell_worker *worker)
{
	return worker->listed && !worker->heartbeat.draining &&
	       has_current_entry(worker) && !rj_cell_worker_cordoned(worker);
}

/*
 * Whether a worker could take new tasks, be it suspected of failing them: it is
 * schedulable, it and its failure domain answer, and it has not just refused a
 * start.
 */
bool rj_cell_worker_available(const struct rj_cell_worker *worker,
			      uint64_t now_us)
{
	return rj_cell_worker_schedulable(worker) && worker->answers &&
	       rj_cell_worker_expected_incarnation(worker) &&
	       worker->clock_ms && now_us >= worker->refuses_until_us &&
	       !is_unreachable(worker->domain);
}

/*
 * Whether new tasks may be placed on a worker: it is available, and not
 * suspected of failing its tasks.
 */
bool rj_cell_worker_usable(const struct rj_cell_worker *worker, uint64_t now_us)
{
	return rj_cell_worker_available(worker, now_us) &&
	       now_us >= worker->suspect_until_us;
}

/*
 * Returns the rank of a worker by the probability that it loses a run, for
 * members of gangs or for single tasks; see rj_cell_worker_history_rank.
 */
uint32_t rj_cell_worker_rank(const struct rj_cell_worker *worker, bool gang,
			     uint64_t now_us)
{
	return rj_cell_worker_history_rank(
		&worker->history, worker->rack ? &worker->rack->history : NULL,
		gang, now_us);
}
