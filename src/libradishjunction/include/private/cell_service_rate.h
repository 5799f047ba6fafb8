/*
 * Service rate: the rate at which the cell really completes work, and the
 * admission decisions that follow from it.
 *
 * While tasks of a priority class wait, the resources that the classes hold are
 * what reservations, promises, fragmentation and stops leave of the cell. Part
 * of the work done with them is lost again in runs that end badly. Work divided
 * by what is left is the time in which it completes.
 *
 * Life cycle: `rj_cell_service_rate_init` at each takeover;
 * `rj_cell_service_rate_observe` after each plan, `_record_end` when a run
 * ends, `_record_arrival` when a job is accepted. No function reads a clock or
 * allocates memory.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_SERVICE_RATE_H
#define RADISHJUNCTION_PRIVATE_CELL_SERVICE_RATE_H

#include "private/cell_active_job.h"
#include "private/cell_record.h"

/* Resources, or resources multiplied by milliseconds. */
struct rj_cell_service_load {
	double cpu_milli;
	double memory_mb;
	double accelerators;
};

/* What a plan shows of one priority class. */
struct rj_cell_service_sample {
	bool waits; /* tasks that are in time wait for capacity */
	/* Held by its runs, without perpetual ones and those being stopped. */
	struct rj_cell_service_load held;
};

/* The figures of one priority class. */
struct rj_cell_service_class {
	uint64_t short_since_us; /* its tasks wait since then */
	uint64_t short_until_us; /* when they waited last; 0: never */
	/* Held by each class while tasks of this one wait. */
	struct rj_cell_service_load held[RJ_CELL_PRIORITY_CLASSES];
	/* Work of accepted jobs per millisecond, decaying average. */
	struct rj_cell_service_load arrivals;
	uint64_t arrivals_us; /* `arrivals` has decayed up to then */
	/* Core-milliseconds of its runs that have ended, decaying. */
	double useful;
	double wasted;
	uint64_t ends_us; /* both have decayed up to then */
};

/* What the measurements allow to say about a priority class. */
enum rj_cell_service_basis {
	RJ_CELL_SERVICE_UNMEASURED, /* the term is too young */
	RJ_CELL_SERVICE_NO_BACKLOG, /* no task has waited of late */
	RJ_CELL_SERVICE_MEASURED,
	RJ_CELL_SERVICE_BASIS_COUNT
};

extern const char
	*const rj_cell_service_basis_string[RJ_CELL_SERVICE_BASIS_COUNT];

/* The admission decision on one queue. */
struct rj_cell_service_decision {
	char queue[RJ_NAME_BYTES];
	bool rejects;
	enum rj_cell_service_basis basis;
	double wait_ms; /* forecast for a new job; 0 unless measured */
	double limit_ms; /* longest wait with which a job is of use */
	uint32_t retry_after_ms; /* time until the queue accepts; 0: now */
	uint64_t changes; /* of `rejects` in this term */
	/* When a job of the queue started last without waiting; 0: never. */
	uint64_t prompt_start_us;
};

struct rj_cell_service_rate {
	uint64_t observed_since_us; /* first plan of the term; 0: none */
	uint64_t observed_us; /* last plan */
	/* Capacity of the usable workers, as of the last plan that had tasks to
	 * place. */
	struct rj_cell_service_load total;
	struct rj_cell_service_class classes[RJ_CELL_PRIORITY_CLASSES];
	struct rj_cell_service_decision decisions[RJ_CELL_QUEUE_LOADS_MAX];
	uint32_t decision_count;
};

void rj_cell_service_rate_init(struct rj_cell_service_rate *rate);
bool rj_cell_service_rate_is_due(const struct rj_cell_service_rate *rate,
				 uint64_t now_us);
void rj_cell_service_rate_observe(
	struct rj_cell_service_rate *rate,
	const struct rj_cell_service_sample samples[RJ_CELL_PRIORITY_CLASSES],
	const struct rj_cell_service_load *total, uint64_t now_us);
void rj_cell_service_rate_record_end(struct rj_cell_service_rate *rate,
				     uint32_t class, double useful,
				     double wasted, uint64_t now_us);
void rj_cell_service_rate_record_arrival(
	struct rj_cell_service_rate *rate, uint32_t class,
	const struct rj_cell_service_load *work, uint64_t now_us);
double
rj_cell_service_rate_useful_share(const struct rj_cell_service_rate *rate,
				  uint32_t class, uint64_t now_us);
enum rj_cell_service_basis
rj_cell_service_rate_basis(const struct rj_cell_service_rate *rate,
			   uint32_t class, uint64_t now_us);
double rj_cell_service_rate_wait_ms(
	const struct rj_cell_service_rate *rate, uint32_t class,
	const struct rj_cell_service_load work[RJ_CELL_PRIORITY_CLASSES],
	uint64_t now_us);
struct rj_cell_service_decision *
rj_cell_service_rate_decision(struct rj_cell_service_rate *rate,
			      const char *queue);
bool rj_cell_service_decide(struct rj_cell_service_decision *decision,
			    enum rj_cell_service_basis basis, double wait_ms,
			    double limit_ms);
void rj_cell_service_load_add(struct rj_cell_service_load *load,
			      const struct rj_cell_demand *demand,
			      double factor);

#endif
