#include "private/cell_fleet.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

/* A worker's clock may run so much slow. */
#define CLOCK_SLOW_PERCENT 2
/* Covers the time that a worker's answer took to come here. */
#define ANSWER_SLACK_US (50 * RJ_US_PER_MS)

/*
 * Prepare an empty fleet, of which operators may cordon failure domains.
 */
void rj_cell_fleet_init(struct rj_cell_fleet *fleet, void *mem,
			const struct rj_cell_cordons *cordons)
{
	memset(fleet, 0, sizeof(*fleet));
	fleet->cordons = cordons;
	fleet->mem = talloc_named_const(mem, 0, "cell fleet");
	fleet->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	rj_list_init(&fleet->workers);
	for (int i = 0; i < RJ_CELL_WATCH_COUNT; i++)
		rj_list_init(&fleet->watched[i]);
	rj_list_init(&fleet->ordered);
	rj_list_init(&fleet->unstored);
	fleet->racks = g_ptr_array_new();
	fleet->domains = g_ptr_array_new();
}

/*
 * Free all workers and what is noted of their runs.
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
	g_ptr_array_free(fleet->racks, TRUE);
	fleet->racks = NULL;
	g_ptr_array_free(fleet->domains, TRUE);
	fleet->domains = NULL;
	TALLOC_FREE(fleet->mem);
}

/*
 * The worker of an id, or NULL.
 */
struct rj_cell_worker *rj_cell_fleet_find(const struct rj_cell_fleet *fleet,
					  const char *id)
{
	return g_hash_table_lookup(fleet->by_id, id);
}

/*
 * The worker of an id; a new one has no address yet.
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
	rj_list_init(&worker->in_watch);
	rj_list_init(&worker->in_ordered);
	rj_list_init(&worker->in_unstored);
	rj_list_init(&worker->in_rack);
	rj_list_append(&fleet->workers, &worker->link);
	rj_cell_worker_watch(worker, RJ_CELL_WATCH_IDLE);
	g_hash_table_insert(fleet->by_id, worker->id, worker);
	fleet->count++;
	return worker;
}

/*
 * Forget a worker and its runs.
 */
void rj_cell_fleet_drop(struct rj_cell_fleet *fleet,
			struct rj_cell_worker *worker)
{
	while (worker->runs.next != &worker->runs)
		rj_cell_run_free(RJ_CONTAINER(worker->runs.next,
					      struct rj_cell_run, in_worker));
	rj_list_remove(&worker->link);
	rj_list_remove(&worker->in_watch);
	rj_list_remove(&worker->in_ordered);
	rj_list_remove(&worker->in_unstored);
	rj_list_remove(&worker->in_rack);
	g_hash_table_remove(fleet->by_id, worker->id);
	fleet->count--;
	talloc_free(worker);
}

/* The rack of a name, or NULL with the place where it belongs. */
static struct rj_cell_rack *find_rack(const struct rj_cell_fleet *fleet,
				      const char *name, guint *place)
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
	*place = from;
	return NULL;
}

/* The rack of a name, made when it is new. Racks stay, as their number is
 * that of the site. */
static struct rj_cell_rack *obtain_rack(struct rj_cell_fleet *fleet,
					const char *name)
{
	guint place = 0;
	struct rj_cell_rack *rack = find_rack(fleet, name, &place);

	if (rack)
		return rack;
	rack = talloc_zero(fleet->mem, struct rj_cell_rack);
	assert(rack);
	g_strlcpy(rack->name, name, sizeof(rack->name));
	rj_list_init(&rack->workers);
	g_ptr_array_insert(fleet->racks, (gint)place, rack);
	return rack;
}

/* The failure domain of a name, made when it is new. */
static struct rj_cell_domain *obtain_domain(struct rj_cell_fleet *fleet,
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
 * Show the operators' cordons on the failure domains. Returns whether there
 * was a change.
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
 * Whether all workers of a rack stand in a cordoned failure domain.
 */
bool rj_cell_fleet_rack_cordoned(const struct rj_cell_fleet *fleet,
				 const char *name)
{
	guint place = 0;
	const struct rj_cell_rack *rack = find_rack(fleet, name, &place);
	const struct rj_list *at;

	if (!rack)
		return false;
	for (at = rack->workers.next; at != &rack->workers; at = at->next)
		if (!rj_cell_worker_cordoned(
			    RJ_CONTAINER(at, struct rj_cell_worker, in_rack)))
			return false;
	return rack->workers.next != &rack->workers;
}

/*
 * A call to a worker that was sent at `sent_us` has been answered, or lost.
 */
void rj_cell_worker_heard(struct rj_cell_worker *worker, uint64_t sent_us,
			  bool answered, uint64_t now_us)
{
	struct rj_cell_domain *domain = worker->domain;

	if (answered)
		worker->answered_us = now_us;
	if (!domain)
		return;
	if (answered)
		domain->answered_us = now_us;
	else if (sent_us > domain->missed_us)
		domain->missed_us = sent_us;
}

/* Whether nothing has been heard from a failure domain since a call to it was
 * lost. */
static bool is_silent(const struct rj_cell_domain *domain)
{
	return domain && domain->missed_us > domain->answered_us;
}

/*
 * Take note of what a worker says of itself.
 */
void rj_cell_worker_say(struct rj_cell_worker *worker,
			const struct rj_cell_heartbeat *heartbeat)
{
	bool moved = !worker->rack ||
		     strcmp(worker->said.rack, heartbeat->rack) != 0;

	if (!worker->domain ||
	    strcmp(worker->domain->name, heartbeat->domain) != 0)
		worker->domain =
			obtain_domain(worker->fleet, heartbeat->domain);
	if (!worker->service ||
	    strcmp(worker->service, heartbeat->service) != 0)
		worker->service = g_intern_string(heartbeat->service);
	worker->said = *heartbeat;
	if (!moved)
		return;
	rj_list_remove(&worker->in_rack);
	worker->rack = obtain_rack(worker->fleet, heartbeat->rack);
	rj_list_append(&worker->rack->workers, &worker->in_rack);
}

/*
 * Watch a worker in another way; it goes to the end of that list.
 */
void rj_cell_worker_watch(struct rj_cell_worker *worker,
			  enum rj_cell_watch watch)
{
	rj_list_remove(&worker->in_watch);
	worker->watch = watch;
	rj_list_append(&worker->fleet->watched[watch], &worker->in_watch);
}

/*
 * What the worker's clock shows about now, in its milliseconds; never more
 * than it really shows, but for a clock that runs slow.
 */
uint64_t rj_cell_worker_clock_ms(const struct rj_cell_worker *worker,
				 uint64_t now_us)
{
	return worker->clock_ms + (now_us - worker->clock_at_us) / RJ_US_PER_MS;
}

/*
 * How long a lease of `lease_us` by a worker's clock may last by ours.
 */
uint64_t rj_cell_lease_longest_us(uint64_t lease_us)
{
	return lease_us * (100 + CLOCK_SLOW_PERCENT) / 100;
}

/*
 * An order with this deadline goes to the worker: what runs there may go on
 * until its own clock shows it, which can be a little later by ours.
 */
void rj_cell_worker_note_lease(struct rj_cell_worker *worker,
			       uint64_t deadline_ms)
{
	uint64_t left_us;
	uint64_t lapsed_us;

	if (deadline_ms > worker->lease_ms)
		worker->lease_ms = deadline_ms;
	left_us = (worker->lease_ms - worker->clock_ms) * RJ_US_PER_MS;
	lapsed_us = worker->clock_at_us + ANSWER_SLACK_US +
		    rj_cell_lease_longest_us(left_us);
	if (lapsed_us > worker->lapsed_us)
		worker->lapsed_us = lapsed_us;
}

/*
 * Whether operators have cordoned the worker's failure domain.
 */
bool rj_cell_worker_cordoned(const struct rj_cell_worker *worker)
{
	return worker->domain && worker->domain->cordoned;
}

/*
 * Whether anything may still start on a worker: it is listed, does not drain,
 * and its failure domain is not cordoned.
 */
bool rj_cell_worker_stays(const struct rj_cell_worker *worker)
{
	return worker->listed && !worker->said.draining &&
	       !rj_cell_worker_cordoned(worker);
}

/*
 * Whether new work may go there: it stays, answers, in a failure domain that
 * answers, and is not suspected of failing what it is given.
 */
bool rj_cell_worker_usable(const struct rj_cell_worker *worker, uint64_t now_us)
{
	return rj_cell_worker_stays(worker) && worker->answers &&
	       worker->clock_ms && now_us >= worker->suspect_until_us &&
	       !is_silent(worker->domain);
}
