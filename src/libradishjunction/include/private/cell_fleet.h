/*
 * Workers of a cell as its owner tracks them: identity, capacity, runs, and the
 * time until which they may run without contact to the owner.
 *
 * Workers are created from the workers' log or from the record of a run. One
 * that has no entry in that log is dropped once it is idle.
 * `rj_cell_fleet_finish` frees all of them.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_FLEET_H
#define RADISHJUNCTION_PRIVATE_CELL_FLEET_H

#include <glib.h>

#include "private/cell_config.h"
#include "private/cell_cordon.h"
#include "private/cell_pace.h"
#include "private/cell_worker_history.h"
#include "private/cell_active_job.h"

/* What a worker reports about itself in the workers' log. */
struct rj_cell_heartbeat {
	char service[RJ_NAME_BYTES];
	struct rj_address address;
	char domain[RJ_NAME_BYTES]; /* failure domain */
	bool draining;
	uint32_t drain_left_ms; /* minimum time until it leaves; 0: unknown */
	/* Remaining time for which it runs slowly after its start. */
	uint32_t cold_left_ms;
	struct rj_cell_demand capacity;
	char kind[RJ_NAME_BYTES]; /* label that steps may require */
	char rack[RJ_NAME_BYTES];
	uint64_t incarnation; /* differs after each restart of the worker */
	uint64_t clock_ms; /* its clock when it wrote this; 0: not reported */
};

/* Polling state of a worker; see rj_cell_polls_tick. */
enum rj_cell_poll_state {
	/* Has runs, or completions that are not stored. */
	RJ_CELL_POLL_STATE_BUSY,
	RJ_CELL_POLL_STATE_IDLE, /* waits for its next poll */
	/* Idle, and its last poll was not answered. */
	RJ_CELL_POLL_STATE_UNREACHABLE,
	RJ_CELL_POLL_STATE_POLLING, /* idle, with a poll in flight */
	RJ_CELL_POLL_STATE_COUNT
};

/* Nothing further is placed on a worker with this many runs: the lists of a worker
 * grow with them, and an answer that is too long counts as lost. */
#define RJ_CELL_WORKER_RUNS_MAX 16384
/* Longest entry of a worker that is kept to be compared with the next one; an
 * entry in use has some 400 bytes. */
#define RJ_CELL_ENTRY_KEPT_MAX_BYTES 4096

struct rj_cell_entry_marks;
struct rj_cell_fleet;
struct rj_cell_plan_worker;

/* A rack and the workers that reported it. */
struct rj_cell_rack {
	char name[RJ_NAME_BYTES];
	struct rj_list workers;
	uint32_t worker_count;
	struct rj_cell_worker_history history;
	struct rj_cell_silence_burst silence; /* the latest one */
};

/* A failure domain. */
struct rj_cell_domain {
	char name[RJ_NAME_BYTES];
	bool cordoned; /* by operators: no task starts there */
	uint64_t answered_us; /* last answer of any of its workers */
	uint64_t lost_call_us; /* when the latest unanswered call was sent */
	/* Rack of the first lost call since the last answer, and whether calls
	 * to other racks were lost too. */
	const struct rj_cell_rack *lost_rack;
	bool several_racks_lost;
	/* The latest time for which it was cut off; 0: none. */
	uint64_t cut_from_us;
	uint64_t cut_until_us;
	/* For the current plan: */
	/* Accelerators that urgent jobs use, or get by planned starts. */
	uint32_t urgent;
	/* Racks with usable workers, counted by their first such worker. */
	uint32_t racks;
};

struct rj_cell_worker {
	struct rj_list link; /* in the fleet */
	struct rj_cell_fleet *fleet;
	struct rj_cell_rack *rack; /* NULL until it is reported */
	struct rj_list in_rack;
	struct rj_cell_plan_worker *plan_worker; /* in the current plan */
	enum rj_cell_poll_state poll_state;
	/* In the fleet's list for its poll state. */
	struct rj_list in_poll_state;
	/* In the fleet's list, if an order is due. */
	struct rj_list in_order_queue;
	/* In the fleet's list, if completions are not stored. */
	struct rj_list in_unstored;
	char id[RJ_NAME_BYTES]; /* see rj_name_shorten */
	char *long_id; /* as the platform lists it, or NULL: as `id` */
	struct rj_cell_heartbeat heartbeat;
	/* The encoded entry that `heartbeat` was decoded from. Entries that
	 * differ from it only in what each heartbeat changes do not replace
	 * it. */
	struct rj_bytes entry;
	const char *service; /* from its heartbeat, interned */
	bool listed; /* its log entry exists */
	uint64_t written_us; /* the entry was written after this; 0: unknown */
	uint64_t departure_us; /* it may leave from then on; 0: not announced */
	uint64_t cold_until_us; /* it runs slowly until then */
	/* When the owner noticed that its entry is removed; see listed. */
	uint64_t unlisted_us;
	/* The entries up to the last one in which it was draining, if that was
	 * read back; see cell_departure.h. */
	struct rj_cell_entry_marks *entry_marks;
	/* When the owner read that it deregistered; 0: it has not. */
	uint64_t deregistered_us;
	uint64_t incarnation; /* as of its last answer; 0: none yet */
	uint64_t met_us; /* first answer of this incarnation */
	uint64_t met_sent_us; /* when the call to it was sent */
	uint64_t met_clock_ms; /* the worker's clock in it; 0: not reported */
	bool answers; /* the last call to it was answered */
	uint64_t answered_us; /* last answer to any call */
	/* When the first lost call since then was found lost; 0: none was. */
	uint64_t unanswered_us;
	struct rj_cell_domain *domain; /* NULL until it is reported */
	/* A probe of the network path to it is in flight. */
	bool probe_in_flight;
	/* The worker's clock, as of its last answer. */
	uint64_t clock_ms;
	uint64_t clock_at_us;
	/* Latest lease deadline that it may have, by its clock; its runs end
	 * then unless the lease is renewed. */
	uint64_t lease_deadline_ms;
	/* If unreachable, no run remains there after this. */
	uint64_t lease_expired_us;
	/* When its runs were abandoned after lease_expired_us; 0: never. */
	uint64_t abandoned_us;
	bool poll_in_flight;
	uint64_t poll_due_us;
	uint32_t poll_failures;
	/* Completions up to this position are stored. */
	uint64_t stored_position;
	/* Completions up to this position are applied in memory. */
	uint64_t applied_position;
	/* Completions up to this position are stored or being appended. */
	uint64_t storing_position;
	/* Completions up to this position may have been discarded by the
	 * worker. */
	uint64_t acknowledged_position;
	struct rj_list runs;
	struct rj_cell_demand allocated; /* by all runs */
	/* By runs of known jobs, per priority class. */
	struct rj_cell_demand allocated_by_class[RJ_CELL_PRIORITY_CLASSES];
	uint32_t latency_runs; /* runs with a latency target */
	uint32_t other_runs; /* all other runs */
	/* Until then, no run without a latency target is placed on it, to
	 * protect its runs that have one. */
	uint64_t exclusive_until_us;
	struct rj_cell_pace pace; /* of its present incarnation */
	struct rj_cell_worker_history history;
	/* Health, derived from the runs on it. */
	uint32_t bad_streak; /* consecutive runs that failed */
	uint64_t failed_us; /* when the last of them did */
	/* It is suspected of failing its tasks until then. */
	uint64_t suspect_until_us;
	/* It refused a start, and gets none until then. */
	uint64_t refuses_until_us;
	/* Latest start of a run that did not fail early. */
	uint64_t healthy_us;
};

struct rj_cell_fleet {
	void *mem;
	GHashTable *by_id;
	GHashTable *runs; /* index of all runs, see rj_cell_run_find */
	struct rj_list workers;
	uint32_t count;
	/* Each worker is in one list; idle and unreachable workers are in the
	 * order in which they are polled. */
	struct rj_list by_poll_state[RJ_CELL_POLL_STATE_COUNT];
	struct rj_list order_queue; /* workers with orders to send */
	/* Workers with completions that are not stored. */
	struct rj_list unstored;
	GPtrArray *racks; /* struct rj_cell_rack, sorted by name */
	GPtrArray *domains; /* struct rj_cell_domain */
	/* Set by operators, or NULL; copied to the domains by
	 * rj_cell_fleet_apply_cordons. */
	const struct rj_cell_cordons *cordons;
	/* `cordons->changes` when they were last copied to the domains. */
	uint64_t cordon_changes;
	/* Id -> struct rj_cell_worker_history, of workers that were dropped
	 * without notice and may return; at most DEPARTED_MAX. */
	GHashTable *departed;
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
void rj_cell_worker_apply_heartbeat(struct rj_cell_worker *worker,
				    const struct rj_cell_heartbeat *heartbeat);
void rj_cell_worker_set_poll_state(struct rj_cell_worker *worker,
				   enum rj_cell_poll_state poll_state);
uint64_t rj_cell_worker_clock_ms(const struct rj_cell_worker *worker,
				 uint64_t now_us);
uint64_t rj_cell_lease_max_us(uint64_t lease_us);
uint64_t rj_cell_worker_deadline_within(const struct rj_cell_worker *worker,
					uint64_t until_us);
void rj_cell_worker_extend_lease(struct rj_cell_worker *worker,
				 uint64_t deadline_ms);
void rj_cell_worker_record_contact(struct rj_cell_worker *worker,
				   uint64_t sent_us, bool answered,
				   uint64_t now_us);
bool rj_cell_fleet_is_large(const struct rj_cell_fleet *fleet);
const char *rj_cell_worker_listed_id(const struct rj_cell_worker *worker);
void rj_cell_worker_set_listed_id(struct rj_cell_worker *worker,
				  const char *listed_id);
bool rj_cell_worker_entry_is_comparable(const struct rj_cell_worker *worker);
void rj_cell_worker_keep_entry(struct rj_cell_worker *worker,
			       struct rj_bytes entry);
bool rj_cell_worker_has_label(const struct rj_cell_worker *worker,
			      const char *label);
bool rj_cell_worker_cordoned(const struct rj_cell_worker *worker);
uint64_t
rj_cell_worker_expected_incarnation(const struct rj_cell_worker *worker);
bool rj_cell_worker_schedulable(const struct rj_cell_worker *worker);
bool rj_cell_worker_available(const struct rj_cell_worker *worker,
			      uint64_t now_us);
bool rj_cell_worker_usable(const struct rj_cell_worker *worker,
			   uint64_t now_us);
uint32_t rj_cell_worker_rank(const struct rj_cell_worker *worker, bool gang,
			     uint64_t now_us);

#endif
