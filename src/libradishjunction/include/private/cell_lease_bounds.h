/*
 * Upper bounds of the leases that workers may hold, kept across takeovers.
 *
 * A successor that cannot reach a worker has to wait until no lease there can
 * be valid. The owner therefore stores, in the progress log, which workers it
 * grants no leases to, and when the last lease of each expires. It grants none
 * before a record of its own term is stored, and none to a listed worker before
 * a record without it is stored. A successor thus takes over the bounds of the
 * listed workers, and only the others may have been granted a lease until the
 * former owner stopped.
 *
 * A term is the time during which an instance owns the cell. Times in a record
 * are in milliseconds since the term began. Owners publish the same clock in
 * their heartbeats; as these are read after they were written, a reader is
 * behind that clock, which makes bounds later but never earlier.
 *
 * Life cycle: `rj_cell_lease_bounds_init`; for each term
 * `rj_cell_lease_bounds_begin`, then, whenever `rj_cell_lease_bounds_due`,
 * `rj_cell_lease_bounds_encode` and `rj_cell_lease_bounds_written` with its
 * outcome; `rj_cell_lease_bounds_finish`.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_LEASE_BOUNDS_H
#define RADISHJUNCTION_PRIVATE_CELL_LEASE_BOUNDS_H

#include "private/cell_fleet.h"

/* How long owners of earlier versions, which do not record it, grant leases
 * after their last record. */
#define RJ_CELL_FORMER_GRANTS_US (10 * RJ_US_PER_S)
/* How long an owner grants leases after it has released the cell. They outlast a
 * takeover by a lease; if that takes longer, runs are lost, but none is
 * doubled. */
#define RJ_CELL_RELEASED_GRANTS_US (2 * RJ_US_PER_S)

/* The clock of the last term that was published. */
struct rj_cell_term_clock {
	uint64_t token; /* of its owner; 0: none was published */
	uint64_t ms;
	uint64_t read_us; /* when `ms` was read */
	/* When the last record of its owner was read before that of the next
	 * one; 0: there is no next one. */
	uint64_t ended_us;
	bool released; /* its owner has released the cell */
};

/* The record of a former owner. */
struct rj_cell_lease_record {
	bool known;
	uint64_t token; /* of the owner that wrote it */
	char owner[RJ_NAME_BYTES]; /* its instance */
	/* Bound of the workers that are not listed and that its owner may not
	 * have reached. */
	uint64_t others_ms;
	/* Completions that were not reported are waited for until then. */
	uint64_t unreported_ms;
	GHashTable *workers; /* id -> milliseconds, plus one */
	/* How long its owner grants leases after its last record. */
	uint64_t grants_ms;
	/* Duration of its leases; 0: not recorded by earlier versions, whose
	 * leases last as long as the platform allows. */
	uint64_t lease_ms;
};

struct rj_cell_lease_bounds {
	/* Leases are granted until this long after the owner's last record. Set
	 * once; a successor reads it. */
	uint64_t grants_us;
	/* Duration of the leases that are granted, by a worker's clock. Set
	 * once; a successor reads it. */
	uint32_t lease_ms;
	/* The longest such duration by the owner's clock. Set once. */
	uint64_t lease_us;
	uint64_t begun_us; /* the term began */
	bool recorded; /* a record of this term is stored */
	bool wanted; /* a worker waits for a record without it */
	/* Unreachable or leaving workers are not listed yet, or not with a
	 * bound that allows for further leases. */
	bool incomplete;
	uint64_t due_us; /* no record is written before this */
	/* Workers listed in the stored record or in one that may be stored; id
	 * -> bound in microseconds, the earlier one if they differ. */
	GHashTable *listed;
	/* Workers listed in the record being appended; NULL: none is. */
	GHashTable *appending;
	uint64_t others_us;
	uint64_t unreported_us;
};

void rj_cell_term_clock_read(struct rj_cell_term_clock *clock, uint64_t token,
			     uint64_t ms, uint64_t now_us);
void rj_cell_term_clock_end(struct rj_cell_term_clock *clock, uint64_t token,
			    uint64_t ended_us, bool released);
uint64_t rj_cell_term_clock_ms(const struct rj_cell_term_clock *clock,
			       uint64_t token, uint64_t now_us);

uint32_t rj_cell_lease_duration_ms(uint32_t allowed_ms);
uint64_t rj_cell_lease_grants_us(uint32_t lease_ms);

int rj_cell_lease_record_decode(struct rj_bytes bytes,
				struct rj_cell_lease_record *record,
				struct rj_error *err);
void rj_cell_lease_record_finish(struct rj_cell_lease_record *record);

void rj_cell_lease_bounds_init(struct rj_cell_lease_bounds *bounds);
void rj_cell_lease_bounds_finish(struct rj_cell_lease_bounds *bounds);
void rj_cell_lease_bounds_begin(struct rj_cell_lease_bounds *bounds,
				struct rj_cell_fleet *fleet,
				const struct rj_cell_lease_record *former,
				const struct rj_cell_term_clock *clock,
				uint64_t granted_until_us, uint64_t now_us);
uint64_t rj_cell_lease_bounds_term_ms(const struct rj_cell_lease_bounds *bounds,
				      uint64_t now_us);
bool rj_cell_lease_bounds_allow(struct rj_cell_lease_bounds *bounds,
				const struct rj_cell_worker *worker,
				uint64_t now_us);
uint64_t
rj_cell_lease_bounds_until_us(const struct rj_cell_lease_bounds *bounds,
			      const struct rj_cell_worker *worker);
void rj_cell_lease_bounds_expect_unreported(struct rj_cell_lease_bounds *bounds,
					    uint64_t until_us);
void rj_cell_lease_bounds_unreachable(struct rj_cell_lease_bounds *bounds,
				      const struct rj_cell_worker *worker);
void rj_cell_lease_bounds_leaving(struct rj_cell_lease_bounds *bounds,
				  const struct rj_cell_worker *worker);
bool rj_cell_lease_bounds_due(const struct rj_cell_lease_bounds *bounds,
			      bool heartbeat_due, uint64_t now_us);
struct rj_bytes rj_cell_lease_bounds_encode(struct rj_cell_lease_bounds *bounds,
					    void *mem, const char *owner,
					    uint64_t token,
					    const struct rj_cell_fleet *fleet,
					    uint32_t record_max_bytes,
					    uint64_t now_us);
void rj_cell_lease_bounds_written(struct rj_cell_lease_bounds *bounds,
				  struct rj_cell_fleet *fleet, bool stored,
				  uint64_t now_us);

#endif
