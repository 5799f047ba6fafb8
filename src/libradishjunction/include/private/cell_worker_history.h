/*
 * History of a worker or of a rack: how often its work ended badly and how long
 * it worked, both decaying, so that the rate of bad ends can be estimated with
 * its uncertainty. Placement ranks workers by the probability that they lose a
 * run.
 *
 * Load: workers that fail part of what they start, that come and go, or of
 * which a whole rack becomes silent, under wide gangs that end with any one of
 * their members.
 *
 * A zeroed history is that of a worker of which nothing is known; it owns no
 * memory. No function reads a clock.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_WORKER_HISTORY_H
#define RADISHJUNCTION_PRIVATE_CELL_WORKER_HISTORY_H

#include <stdbool.h>
#include <stdint.h>

/* Largest rank of rj_cell_worker_history_rank. */
#define RJ_CELL_HISTORY_RANK_MAX 3
/* Workers of this rank and above are risky: urgent gangs are placed elsewhere
 * if there is capacity elsewhere. */
#define RJ_CELL_HISTORY_RANK_RISKY 2

/* Kinds of evidence against a worker. */
enum rj_cell_bad_end {
	RJ_CELL_BAD_END_FAILED, /* a run failed; the task may be at fault */
	RJ_CELL_BAD_END_LOST_CALL, /* one call to it got no answer */
	RJ_CELL_BAD_END_FAILED_EARLY, /* a run failed soon after its start */
	RJ_CELL_BAD_END_REFUSED, /* it refused a start as unhealthy */
	RJ_CELL_BAD_END_SILENT, /* it did not answer for a time */
	RJ_CELL_BAD_END_EXPIRED, /* for so long that its leases expired */
	RJ_CELL_BAD_END_RESTARTED, /* a new incarnation without notice */
	RJ_CELL_BAD_END_COUNT
};

extern const char *const rj_cell_bad_end_string[RJ_CELL_BAD_END_COUNT];

struct rj_cell_worker_history {
	double bad_ends; /* weighted number */
	double exposure_s; /* time for which it could have ended badly */
	uint64_t updated_us; /* both have decayed up to then */
	/* Until then it gets only work that can be lost cheaply. */
	uint64_t probation_until_us;
	/* Number of returns that began a probation period; decays likewise. */
	double returns;
	uint64_t exposed_until_us; /* end of the exposure counted so far */
	/* Latest evidence that counted or was excused. */
	uint64_t episode_us;
	uint64_t silent_us; /* when it was found to be silent; 0: it is not */
	uint64_t silent_from_us; /* its last answer before that */
	/* Incarnation that gave notice that it leaves; 0: none. */
	uint64_t leaving_incarnation;
	uint32_t rank; /* for gangs, as of the last log event about it */
};

/* Workers of one rack that became silent within a short time. */
struct rj_cell_silence_burst {
	uint64_t from_us; /* last answer of the first one found */
	uint64_t found_us;
	uint32_t rack_workers; /* workers of the rack */
	uint32_t count;
	bool settled; /* counted for the rack, or excused */
};

bool rj_cell_worker_history_record(struct rj_cell_worker_history *history,
				   enum rj_cell_bad_end kind, bool repeated,
				   double share, uint64_t now_us);
void rj_cell_worker_history_excuse(struct rj_cell_worker_history *history,
				   uint64_t now_us);
void rj_cell_worker_history_record_rack(struct rj_cell_worker_history *history,
					uint64_t now_us);
void rj_cell_worker_history_expose(struct rj_cell_worker_history *history,
				   uint64_t from_us, uint64_t now_us);
void rj_cell_worker_history_good_end(struct rj_cell_worker_history *history,
				     uint64_t started_us, uint64_t now_us);
bool rj_cell_worker_history_on_probation(
	const struct rj_cell_worker_history *history, uint64_t now_us);
bool rj_cell_worker_history_is_known(
	const struct rj_cell_worker_history *history, uint64_t now_us);
double rj_cell_worker_history_loss(const struct rj_cell_worker_history *worker,
				   const struct rj_cell_worker_history *rack,
				   uint64_t run_us, bool gang, uint64_t now_us);
uint32_t
rj_cell_worker_history_rank(const struct rj_cell_worker_history *worker,
			    const struct rj_cell_worker_history *rack,
			    bool gang, uint64_t now_us);
bool rj_cell_silence_is_short(uint64_t silent_us, uint64_t now_us);
bool rj_cell_silence_burst_belongs(const struct rj_cell_silence_burst *burst,
				   uint64_t from_us);
void rj_cell_silence_burst_add(struct rj_cell_silence_burst *burst,
			       uint32_t rack_workers, uint64_t from_us,
			       uint64_t now_us);
bool rj_cell_silence_burst_is_rack(const struct rj_cell_silence_burst *burst);
bool rj_cell_silence_burst_is_over(const struct rj_cell_silence_burst *burst,
				   uint64_t now_us);
double rj_cell_silence_burst_share(const struct rj_cell_silence_burst *burst,
				   uint64_t from_us);

#endif
