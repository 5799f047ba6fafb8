#include "private/cell_lease_bounds.h"

#include <assert.h>
#include <string.h>

#include "private/pack.h"

#define LEASE_RECORD_FORMAT 1
/* Maximum duration of a lease, whatever the platform allows. What is lost with
 * its worker waits for as long, so a lease only has to outlive a partition of a
 * failure domain (6 s) and an interval between two renewals. */
#define LEASE_MAX_MS 8000
/* Sum of the time in which leases are granted without a record and of a lease:
 * the 9 s for which the log may be unavailable, an interval of renewals, and the
 * time to renew all leases after it. */
#define LEASES_OUTLIVE_LOG_US (16 * RJ_US_PER_S)
#define GRANTS_MIN_US (2 * RJ_US_PER_S)
/* Minimum time between two records, so that workers that answer together after
 * a takeover share one. It grows with the list, as the time to encode one
 * does: the owner of a large fleet would do little else. */
#define RECORD_INTERVAL_US (40 * RJ_US_PER_MS)
#define RECORD_INTERVAL_PER_WORKER_US 10
/* Maximum length of the list of workers, and what the log's limit of a record
 * leaves to the other fields. Workers beyond it share one bound. */
#define WORKERS_BYTES_MAX (240 * 1024)
#define FIELDS_BYTES 512
/* Encoded length of an entry besides the worker's id: the length of the id and
 * a 64-bit number. */
#define ENTRY_BYTES_MAX 11
/* A leaving worker is listed with a bound that lies this far beyond the leases
 * that it gets now, so that they can be renewed until a later record is stored:
 * some of the owner's heartbeats. */
#define LEAVING_AHEAD_US (1000 * RJ_US_PER_MS)
/* Number of failed polls in a row after which a worker counts as
 * unreachable. */
#define POLL_FAILURES_MIN 2

/*
 * Applies the clock of a term from a heartbeat read at `now_us`. Clocks of
 * earlier terms are ignored.
 */
void rj_cell_term_clock_read(struct rj_cell_term_clock *clock, uint64_t token,
			     uint64_t ms, uint64_t now_us)
{
	if (token < clock->token ||
	    (token == clock->token &&
	     ms < rj_cell_term_clock_ms(clock, token, now_us)))
		return;
	if (token != clock->token) {
		clock->ended_us = 0;
		clock->released = false;
	}
	clock->token = token;
	clock->ms = ms;
	clock->read_us = now_us;
}

/*
 * Ends the term, as an ownership record with the higher `token` has been read:
 * the last record of its owner was read at `ended_us`, and released the cell or
 * did not. The first such record counts.
 */
void rj_cell_term_clock_end(struct rj_cell_term_clock *clock, uint64_t token,
			    uint64_t ended_us, bool released)
{
	if (token <= clock->token || clock->ended_us)
		return;
	clock->ended_us = ended_us;
	clock->released = released;
}

/*
 * Returns how much of the term with this token has passed at least, in
 * milliseconds; 0 if its clock was not published.
 */
uint64_t rj_cell_term_clock_ms(const struct rj_cell_term_clock *clock,
			       uint64_t token, uint64_t now_us)
{
	if (!token || token != clock->token)
		return 0;
	return clock->ms + (now_us - clock->read_us) / RJ_US_PER_MS;
}

/*
 * Returns the duration of the leases that an owner grants, in milliseconds, if
 * the platform allows `allowed_ms`.
 */
uint32_t rj_cell_lease_duration_ms(uint32_t allowed_ms)
{
	return MIN(allowed_ms, LEASE_MAX_MS);
}

/*
 * Returns how long an owner grants leases of `lease_ms` after its last
 * record.
 *
 * It does not stop at once, as the log may be unavailable to all instances: its
 * last leases have to outlive that. It does not go on for longer, as a successor
 * that does not reach a worker waits for these leases to expire.
 */
uint64_t rj_cell_lease_grants_us(uint32_t lease_ms)
{
	uint64_t lease_us = lease_ms * RJ_US_PER_MS;

	return CLAMP(LEASES_OUTLIVE_LOG_US -
			     MIN(LEASES_OUTLIVE_LOG_US, lease_us),
		     GRANTS_MIN_US, RJ_CELL_FORMER_GRANTS_US);
}

/*
 * Decodes the output of rj_cell_lease_bounds_encode into an initialized or
 * zeroed record, whose former contents are freed. Returns 0, or -1 with `err`;
 * the record is then not known.
 */
int rj_cell_lease_record_decode(struct rj_bytes bytes,
				struct rj_cell_lease_record *record,
				struct rj_error *err)
{
	struct rj_unpacker in;
	uint32_t count;

	rj_cell_lease_record_finish(record);
	record->workers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	rj_unpack_init(&in, bytes);
	if (rj_unpack_number(&in, "format", UINT32_MAX) != LEASE_RECORD_FORMAT)
		rj_unpack_fail(&in, "format");
	record->token = rj_unpack_number(&in, "token", UINT64_MAX);
	rj_unpack_text(&in, "owner", record->owner, sizeof(record->owner));
	record->others_ms = rj_unpack_number(&in, "others_ms", UINT64_MAX);
	record->unreported_ms =
		rj_unpack_number(&in, "unreported_ms", UINT64_MAX);
	count = (uint32_t)rj_unpack_number(&in, "workers", WORKERS_BYTES_MAX);
	for (uint32_t i = 0; i < count && !in.bad_field; i++) {
		char id[RJ_NAME_BYTES];
		uint64_t ms;

		rj_unpack_text(&in, "worker", id, sizeof(id));
		ms = rj_unpack_number(&in, "bound_ms", UINT64_MAX);
		g_hash_table_replace(record->workers, g_strdup(id),
				     GSIZE_TO_POINTER(ms + 1));
	}
	record->grants_ms = RJ_CELL_FORMER_GRANTS_US / RJ_US_PER_MS;
	if (in.offset < in.length)
		record->grants_ms =
			rj_unpack_number(&in, "grants_ms", record->grants_ms);
	if (in.offset < in.length)
		record->lease_ms =
			rj_unpack_number(&in, "lease_ms", UINT32_MAX);
	if (rj_unpack_finish(&in, err)) {
		rj_cell_lease_record_finish(record);
		return -1;
	}
	record->known = true;
	return 0;
}

/*
 * Frees the contents of a record; it is then not known.
 */
void rj_cell_lease_record_finish(struct rj_cell_lease_record *record)
{
	if (record->workers)
		g_hash_table_destroy(record->workers);
	memset(record, 0, sizeof(*record));
}

/*
 * Initializes bounds under which no lease may be granted.
 */
void rj_cell_lease_bounds_init(struct rj_cell_lease_bounds *bounds)
{
	memset(bounds, 0, sizeof(*bounds));
	bounds->listed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/*
 * Frees the bounds.
 */
void rj_cell_lease_bounds_finish(struct rj_cell_lease_bounds *bounds)
{
	if (bounds->appending)
		g_hash_table_destroy(bounds->appending);
	if (bounds->listed)
		g_hash_table_destroy(bounds->listed);
	memset(bounds, 0, sizeof(*bounds));
}

/* Returns a time of the former owner's term by this instance's clock, in
 * microseconds. */
static uint64_t former_time_us(const struct rj_cell_lease_record *former,
			       const struct rj_cell_term_clock *clock,
			       uint64_t ms, uint64_t now_us)
{
	uint64_t passed_ms =
		rj_cell_term_clock_ms(clock, former->token, now_us);

	return ms > passed_ms ? now_us + (ms - passed_ms) * RJ_US_PER_MS :
				now_us;
}

/*
 * Begins a term and sets the time at which the leases expire on each worker
 * with adopted runs. `granted_until_us` is when the last leases that the former
 * owner may have granted expire.
 */
void rj_cell_lease_bounds_begin(struct rj_cell_lease_bounds *bounds,
				struct rj_cell_fleet *fleet,
				const struct rj_cell_lease_record *former,
				const struct rj_cell_term_clock *clock,
				uint64_t granted_until_us, uint64_t now_us)
{
	const struct rj_list *at;
	uint64_t grants_us = bounds->grants_us;
	uint64_t lease_us = bounds->lease_us;
	uint32_t lease_ms = bounds->lease_ms;

	rj_cell_lease_bounds_finish(bounds);
	rj_cell_lease_bounds_init(bounds);
	bounds->grants_us = grants_us;
	bounds->lease_us = lease_us;
	bounds->lease_ms = lease_ms;
	bounds->begun_us = now_us;
	bounds->wanted = true;
	bounds->unreported_us = granted_until_us;
	if (former->known) {
		granted_until_us =
			MAX(granted_until_us,
			    former_time_us(former, clock, former->others_ms,
					   now_us));
		bounds->unreported_us = former_time_us(
			former, clock, former->unreported_ms, now_us);
	}
	for (at = fleet->workers.next; at != &fleet->workers; at = at->next) {
		struct rj_cell_worker *worker =
			RJ_CONTAINER(at, struct rj_cell_worker, link);
		gpointer bound = former->known ?
					 g_hash_table_lookup(former->workers,
							     worker->id) :
					 NULL;

		if (worker->runs.next == &worker->runs)
			continue;
		worker->lease_expired_us =
			bound ? former_time_us(former, clock,
					       GPOINTER_TO_SIZE(bound) - 1,
					       now_us) :
				granted_until_us;
	}
}

/*
 * Returns the clock of the present term, in milliseconds.
 */
uint64_t rj_cell_lease_bounds_term_ms(const struct rj_cell_lease_bounds *bounds,
				      uint64_t now_us)
{
	return (now_us - bounds->begun_us) / RJ_US_PER_MS;
}

/*
 * Whether a worker is to be listed while it answers, as it is about to leave. If
 * the owner is lost or cut off then, the worker may be gone before a successor
 * reaches it, and the successor would wait for all leases that the owner might
 * have granted.
 */
static bool is_leaving(const struct rj_cell_worker *worker)
{
	return worker->heartbeat.draining && worker->incarnation &&
	       worker->answers;
}

/*
 * Whether a lease may be granted to the worker now, see
 * rj_cell_lease_bounds_until_us. If only the stored record forbids it, as that
 * lists the worker, requests a record without the worker; if the worker leaves,
 * one with a later bound in time.
 */
bool rj_cell_lease_bounds_allow(struct rj_cell_lease_bounds *bounds,
				const struct rj_cell_worker *worker,
				uint64_t now_us)
{
	const uint64_t *bound_us;

	if (!bounds->recorded)
		return false;
	bound_us = g_hash_table_lookup(bounds->listed, worker->id);
	if (is_leaving(worker)) {
		if (!bound_us || *bound_us < now_us + bounds->lease_us +
						     LEAVING_AHEAD_US / 2)
			bounds->incomplete = true;
		return !bound_us || now_us < *bound_us;
	}
	if (!bound_us)
		return true;
	/* A worker that has not answered in this term still obeys the former
	 * owner, who may grant it leases until the bound. */
	if (worker->incarnation || now_us > *bound_us)
		bounds->wanted = true;
	return false;
}

/*
 * Returns the time after which no lease of the worker may end; RJ_NEVER_US if
 * there is no bound.
 */
uint64_t
rj_cell_lease_bounds_until_us(const struct rj_cell_lease_bounds *bounds,
			      const struct rj_cell_worker *worker)
{
	const uint64_t *bound_us =
		g_hash_table_lookup(bounds->listed, worker->id);

	return bound_us ? *bound_us : RJ_NEVER_US;
}

/*
 * Records that completions which no worker has reported are waited for until
 * `until_us`. The change must be stored no later than the job that waits.
 */
void rj_cell_lease_bounds_expect_unreported(struct rj_cell_lease_bounds *bounds,
					    uint64_t until_us)
{
	if (until_us <= bounds->unreported_us)
		return;
	bounds->unreported_us = until_us;
	bounds->wanted = true;
	bounds->due_us = 0;
}

/*
 * Requests a record that lists a worker, once enough polls of it have failed.
 */
void rj_cell_lease_bounds_unreachable(struct rj_cell_lease_bounds *bounds,
				      const struct rj_cell_worker *worker)
{
	if (worker->poll_failures == POLL_FAILURES_MIN &&
	    worker->runs.next != &worker->runs)
		bounds->incomplete = true;
}

/*
 * Requests a record that lists a worker which has announced that it leaves. The
 * owner may be cut off together with it the next moment.
 */
void rj_cell_lease_bounds_leaving(struct rj_cell_lease_bounds *bounds,
				  const struct rj_cell_worker *worker)
{
	if (worker->runs.next != &worker->runs)
		bounds->wanted = true;
}

/*
 * Whether a record is to be written. Workers that have become unreachable are
 * added with the owner's next heartbeat.
 */
bool rj_cell_lease_bounds_due(const struct rj_cell_lease_bounds *bounds,
			      bool heartbeat_due, uint64_t now_us)
{
	return !bounds->appending && now_us >= bounds->due_us &&
	       (bounds->wanted || (bounds->incomplete && heartbeat_due));
}

/* Whether a worker is to be listed: it may hold leases, and has not answered in
 * this term, is unreachable, or leaves. */
static bool is_to_be_listed(const struct rj_cell_worker *worker)
{
	return worker->runs.next != &worker->runs &&
	       (!worker->incarnation || is_leaving(worker) ||
		(!worker->answers &&
		 worker->poll_failures >= POLL_FAILURES_MIN));
}

static void add_bound(GHashTable *table, const char *id, uint64_t bound_us)
{
	g_hash_table_replace(table, g_strdup(id),
			     g_memdup2(&bound_us, sizeof(bound_us)));
}

/* Adds a bound to a table, unless it holds an earlier one. */
static void restrict_bound(GHashTable *table, const char *id, uint64_t bound_us)
{
	const uint64_t *known_us = g_hash_table_lookup(table, id);

	if (!known_us || bound_us < *known_us)
		add_bound(table, id, bound_us);
}

/* Returns a time of the present term for a record, rounded up. */
static uint64_t term_time_ms(const struct rj_cell_lease_bounds *bounds,
			     uint64_t time_us)
{
	if (time_us <= bounds->begun_us)
		return 0;
	return (time_us - bounds->begun_us) / RJ_US_PER_MS + 1;
}

/* Maximum length of the list of workers in a record of the log. */
static size_t list_max_bytes(uint32_t record_max_bytes)
{
	if (!record_max_bytes)
		return WORKERS_BYTES_MAX;
	return MIN(WORKERS_BYTES_MAX,
		   record_max_bytes - MIN(record_max_bytes, FIELDS_BYTES));
}

/* Returns until when a worker may hold leases if it is listed now. */
static uint64_t bound_of(const struct rj_cell_lease_bounds *bounds,
			 const struct rj_cell_worker *worker, uint64_t now_us)
{
	if (!is_leaving(worker))
		return worker->lease_expired_us;
	return MAX(worker->lease_expired_us,
		   now_us + bounds->lease_us + LEAVING_AHEAD_US);
}

/* Collects the workers to be listed, up to `max_bytes`. The bounds of the rest go
 * into `others_us`. */
static void collect(struct rj_cell_lease_bounds *bounds,
		    const struct rj_cell_fleet *fleet, size_t max_bytes,
		    uint64_t now_us)
{
	const struct rj_list *busy =
		&fleet->by_poll_state[RJ_CELL_POLL_STATE_BUSY];
	const struct rj_list *at;
	size_t bytes = 0;

	for (at = busy->next; at != busy; at = at->next) {
		const struct rj_cell_worker *worker =
			RJ_CONTAINER(at, struct rj_cell_worker, in_poll_state);

		if (!is_to_be_listed(worker))
			continue;
		bytes += strlen(worker->id) + ENTRY_BYTES_MAX;
		if (bytes > max_bytes) {
			bounds->others_us = MAX(bounds->others_us,
						worker->lease_expired_us);
			continue;
		}
		add_bound(bounds->appending, worker->id,
			  bound_of(bounds, worker, now_us));
	}
}

/*
 * Encodes a record of at most `record_max_bytes` (0: no limit) as a talloc child
 * of `mem`. Its workers get no leases until a later record is stored.
 */
struct rj_bytes rj_cell_lease_bounds_encode(struct rj_cell_lease_bounds *bounds,
					    void *mem, const char *owner,
					    uint64_t token,
					    const struct rj_cell_fleet *fleet,
					    uint32_t record_max_bytes,
					    uint64_t now_us)
{
	struct rj_packer out;
	GHashTableIter each;
	gpointer id;
	gpointer bound_us;

	assert(!bounds->appending);
	bounds->appending =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	collect(bounds, fleet, list_max_bytes(record_max_bytes), now_us);
	bounds->wanted = false;
	bounds->incomplete = false;
	bounds->due_us = now_us + MAX(RECORD_INTERVAL_US,
				      g_hash_table_size(bounds->appending) *
					      RECORD_INTERVAL_PER_WORKER_US);
	rj_pack_init(&out);
	rj_pack_number(&out, LEASE_RECORD_FORMAT);
	rj_pack_number(&out, token);
	rj_pack_text(&out, owner);
	rj_pack_number(&out, term_time_ms(bounds, bounds->others_us));
	rj_pack_number(&out, term_time_ms(bounds, bounds->unreported_us));
	rj_pack_number(&out, g_hash_table_size(bounds->appending));
	g_hash_table_iter_init(&each, bounds->appending);
	while (g_hash_table_iter_next(&each, &id, &bound_us)) {
		rj_pack_text(&out, id);
		rj_pack_number(&out,
			       term_time_ms(bounds, *(uint64_t *)bound_us));
		restrict_bound(bounds->listed, id, *(uint64_t *)bound_us);
	}
	/* Earlier versions do not read this. */
	if (bounds->grants_us) {
		rj_pack_number(&out, bounds->grants_us / RJ_US_PER_MS);
		rj_pack_number(&out, bounds->lease_ms);
	}
	return rj_pack_finish(&out, mem);
}

/* Polls the workers at once that the stored record does not list any more, as
 * they wait for their leases to be renewed. */
static void poll_unlisted(const struct rj_cell_lease_bounds *bounds,
			  struct rj_cell_fleet *fleet, uint64_t now_us)
{
	GHashTableIter each;
	gpointer id;

	g_hash_table_iter_init(&each, bounds->listed);
	while (g_hash_table_iter_next(&each, &id, NULL)) {
		struct rj_cell_worker *worker = rj_cell_fleet_find(fleet, id);

		if (worker && worker->answers &&
		    !g_hash_table_contains(bounds->appending, id))
			worker->poll_due_us = MIN(worker->poll_due_us, now_us);
	}
}

/*
 * Handles the outcome of the record's append.
 */
void rj_cell_lease_bounds_written(struct rj_cell_lease_bounds *bounds,
				  struct rj_cell_fleet *fleet, bool stored,
				  uint64_t now_us)
{
	assert(bounds->appending);
	if (stored) {
		poll_unlisted(bounds, fleet, now_us);
		g_hash_table_destroy(bounds->listed);
		bounds->listed = bounds->appending;
		bounds->recorded = true;
	} else {
		g_hash_table_destroy(bounds->appending);
		bounds->wanted = true;
	}
	bounds->appending = NULL;
}
