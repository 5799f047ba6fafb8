/*
 * The workers of a cell as its owner knows them: who they are, what they
 * have, what runs on them and until when they may go on without us.
 *
 * Life cycle: `rj_cell_fleet_init`; workers come from the workers' log or
 * from the record of a run, and stay until they are gone and hold nothing.
 * `rj_cell_fleet_finish` frees all.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_FLEET_H
#define RADISHJUNCTION_PRIVATE_CELL_FLEET_H

#include <glib.h>

#include "private/cell_config.h"
#include "private/cell_cordon.h"
#include "private/cell_work.h"

/* What a worker says of itself in the workers' log. */
struct rj_cell_heartbeat {
	char service[RJ_NAME_BYTES];
	struct rj_address address;
	char domain[RJ_NAME_BYTES]; /* failure domain */
	bool draining;
	uint32_t drain_left_ms; /* it stays for so long at least; 0: unknown */
	uint32_t cold_left_ms; /* it stays slow for so long after its start */
	struct rj_cell_demand capacity;
	char kind[RJ_NAME_BYTES]; /* a label that steps may ask for */
	char rack[RJ_NAME_BYTES];
	uint64_t incarnation; /* differs in each life of the worker */
	uint64_t clock_ms; /* its clock when it said so; 0: not said */
};

/* How an owner keeps an eye on a worker; see rj_cell_polls_tick. */
enum rj_cell_watch {
	RJ_CELL_WATCH_BUSY, /* it holds runs, or ends that are not stored */
	RJ_CELL_WATCH_IDLE, /* it waits for its turn to be polled */
	RJ_CELL_WATCH_SILENT, /* idle, and its last poll was not answered */
	RJ_CELL_WATCH_CALLED, /* a poll at an idle worker is on its way */
	RJ_CELL_WATCH_COUNT
};

struct rj_cell_fleet;
struct rj_cell_plan_worker;

/* The workers of one rack that have said so. */
struct rj_cell_rack {
	char name[RJ_NAME_BYTES];
	struct rj_list workers;
};

/* The failure domain of some workers. */
struct rj_cell_domain {
	char name[RJ_NAME_BYTES];
	bool cordoned; /* by operators: nothing starts there */
	uint64_t answered_us; /* when a worker there last answered */
	uint64_t missed_us; /* when the last call that was lost was sent */
	/* In the present plan. */
	uint32_t urgent; /* accelerators of urgent work */
	uint32_t racks; /* with workers that may get work */
};

struct rj_cell_worker {
	struct rj_list link; /* in the fleet */
	struct rj_cell_fleet *fleet;
	struct rj_cell_rack *rack; /* NULL until it has said which */
	struct rj_list in_rack;
	struct rj_cell_plan_worker
		*plan_worker; /* in the plan that is being made */
	enum rj_cell_watch watch;
	struct rj_list in_watch; /* in the fleet's list of its watch */
	struct rj_list in_ordered; /* in the fleet's list, if an order is due */
	struct rj_list in_unstored; /* ... if ends are not stored */
	char id[RJ_NAME_BYTES];
	struct rj_cell_heartbeat said;
	const char *service; /* that it named, interned */
	bool listed; /* its entry stands in the log */
	uint64_t written_us; /* the entry was written after this; 0: unknown */
	uint64_t leaves_us; /* it may leave from then on; 0: not said */
	uint64_t cold_until_us; /* it is slow until then */
	uint64_t left_us; /* it deregistered before this; 0: it has not */
	uint64_t incarnation; /* that answered last; 0: none yet */
	bool answers; /* the last call to it was answered */
	uint64_t answered_us; /* any call */
	struct rj_cell_domain *domain; /* NULL until it has said which */
	bool probe_open; /* a call that tests the path is on its way */
	/* Its clock, as read from the last answer. */
	uint64_t clock_ms;
	uint64_t clock_at_us;
	/* The latest deadline that was sent, by its clock; what runs there
	 * ends then, unless it is renewed. */
	uint64_t lease_ms;
	uint64_t lapsed_us; /* nothing runs there after this, if silent */
	uint64_t given_up_us; /* when its runs were, as that passed; or 0 */
	bool poll_open; /* a call for its lists is on its way */
	uint64_t poll_due_us;
	uint32_t poll_failures;
	uint64_t seen; /* ends up to this number are stored */
	uint64_t seen_taken; /* ... are noted in memory */
	uint64_t seen_storing; /* ... are in the append on its way */
	uint64_t seen_told; /* ... may have been forgotten by the worker */
	struct rj_list runs;
	struct rj_cell_demand held; /* by all runs */
	/* By runs of jobs, by their priority. */
	struct rj_cell_demand held_by[RJ_CELL_PRIORITIES];
	uint32_t serving; /* runs that serve users of their own, with a bound */
	uint32_t filling; /* all others */
	uint64_t harmed_until_us; /* nothing is put beside what serves there */
	/* Health, from what happened there. */
	uint32_t bad_streak; /* runs in a row that failed or stood still */
	uint64_t suspect_until_us;
	uint64_t sound_us; /* what was started then did not fail early */
};

struct rj_cell_fleet {
	void *mem;
	GHashTable *by_id;
	struct rj_list workers;
	uint32_t count;
	/* Each worker is in one; those of idle and silent in the order in
	 * which they are to be polled. */
	struct rj_list watched[RJ_CELL_WATCH_COUNT];
	struct rj_list ordered; /* workers with orders to be sent */
	struct rj_list unstored; /* workers with ends that are not stored */
	GPtrArray *racks; /* struct rj_cell_rack, by name */
	GPtrArray *domains; /* struct rj_cell_domain */
	/* Of the operators, or NULL; the domains show its state as of the
	 * last rj_cell_fleet_apply_cordons. */
	const struct rj_cell_cordons *cordons;
	uint64_t cordon_changes; /* of which the domains know */
};

void rj_cell_fleet_init(struct rj_cell_fleet *fleet, void *mem,
			const struct rj_cell_cordons *cordons);
void rj_cell_fleet_finish(struct rj_cell_fleet *fleet);
struct rj_cell_worker *rj_cell_fleet_find(const struct rj_cell_fleet *fleet,
					  const char *id);
struct rj_cell_worker *rj_cell_fleet_obtain(struct rj_cell_fleet *fleet,
					    const char *id);
void rj_cell_fleet_drop(struct rj_cell_fleet *fleet,
			struct rj_cell_worker *worker);
bool rj_cell_fleet_apply_cordons(struct rj_cell_fleet *fleet);
bool rj_cell_fleet_rack_cordoned(const struct rj_cell_fleet *fleet,
				 const char *name);
void rj_cell_worker_say(struct rj_cell_worker *worker,
			const struct rj_cell_heartbeat *heartbeat);
void rj_cell_worker_watch(struct rj_cell_worker *worker,
			  enum rj_cell_watch watch);
uint64_t rj_cell_worker_clock_ms(const struct rj_cell_worker *worker,
				 uint64_t now_us);
uint64_t rj_cell_lease_longest_us(uint64_t lease_us);
void rj_cell_worker_note_lease(struct rj_cell_worker *worker,
			       uint64_t deadline_ms);
void rj_cell_worker_heard(struct rj_cell_worker *worker, uint64_t sent_us,
			  bool answered, uint64_t now_us);
bool rj_cell_worker_cordoned(const struct rj_cell_worker *worker);
bool rj_cell_worker_stays(const struct rj_cell_worker *worker);
bool rj_cell_worker_usable(const struct rj_cell_worker *worker,
			   uint64_t now_us);

#endif
