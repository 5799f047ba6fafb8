/*
 * Shares of client accounts: how much of a cell each account uses, as a
 * decaying average, how much it is entitled to, and which accounts are over
 * their share while another account within its share waits.
 *
 * Life cycle: a zeroed structure is empty and needs no finish. Each plan calls
 * `_begin`, `_add_job` for every job, `_add_waiting` for jobs with tasks that
 * wait, and `_update`; `_set_capacity` follows once the plan has summed up the
 * workers. The results hold until the next plan. Jobs point to their account's
 * row, so the structure must outlive them. No function reads a clock.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_ACCOUNT_SHARES_H
#define RADISHJUNCTION_PRIVATE_CELL_ACCOUNT_SHARES_H

#include "private/cell_active_job.h"
#include "private/cell_config.h"

/* Accounts that are tracked by name; all others are summed in one row. */
#define RJ_CELL_ACCOUNTS_MAX 64
#define RJ_CELL_ACCOUNT_ROWS (RJ_CELL_ACCOUNTS_MAX + 1)
/* Index of the row that sums up the other accounts. */
#define RJ_CELL_ACCOUNTS_OTHER RJ_CELL_ACCOUNTS_MAX

enum rj_cell_resource {
	RJ_CELL_RESOURCE_CPU,
	RJ_CELL_RESOURCE_MEMORY,
	RJ_CELL_RESOURCE_ACCELERATORS,
	RJ_CELL_RESOURCE_COUNT
};

extern const char *const rj_cell_resource_string[RJ_CELL_RESOURCE_COUNT];

/* One account. Shares are fractions of the cell. */
struct rj_cell_account_share {
	bool used; /* the row has an account */
	char account[RJ_NAME_BYTES];
	struct rj_cell_allocation allocated; /* by the runs of its jobs */
	bool waits; /* tasks that are of use to its clients wait */
	double use; /* its dominant share, decaying average */
	/* The larger of `use` and its present dominant share. */
	double share;
	enum rj_cell_resource resource; /* of its present dominant share */
	double entitlement; /* 0 unless it has been active recently */
	/* Over its entitlement while an account within its own waits. */
	bool over;
	uint64_t over_us; /* latest plan in which it was over; 0: none */
	uint64_t active_us; /* latest plan in which it had runs or waited */
	bool over_logged; /* as of its last log event */
};

struct rj_cell_account_shares {
	struct rj_cell_account_share rows[RJ_CELL_ACCOUNT_ROWS];
	struct rj_cell_allocation capacity; /* of the usable workers */
	bool has_free_row; /* when the present plan began */
	uint64_t updated_us; /* 0: not yet */
};

/* Use of one account, for a snapshot. */
struct rj_cell_account_use {
	char account[RJ_NAME_BYTES];
	uint32_t use_ppm; /* decaying average, in millionths of the cell */
};

void rj_cell_account_shares_begin(struct rj_cell_account_shares *shares);
void rj_cell_account_shares_add_job(struct rj_cell_account_shares *shares,
				    struct rj_cell_job *job);
void rj_cell_account_shares_add_waiting(const struct rj_cell_job *job);
void rj_cell_account_shares_update(struct rj_cell_account_shares *shares,
				   const struct rj_cell_config *config,
				   uint64_t now_us);
void rj_cell_account_shares_set_capacity(
	struct rj_cell_account_shares *shares,
	const struct rj_cell_allocation *capacity);
uint32_t
rj_cell_account_shares_find(const struct rj_cell_account_shares *shares,
			    const char *account);
bool rj_cell_job_over_share(const struct rj_cell_job *job);
uint32_t rj_cell_job_share_excess_milli(const struct rj_cell_job *job);
bool rj_cell_account_share_was_over(const struct rj_cell_account_share *share,
				    uint64_t now_us);
void rj_cell_account_shares_log(struct rj_cell_account_shares *shares,
				uint64_t now_us);
void rj_cell_account_shares_write_metrics(
	const struct rj_cell_account_shares *shares, GString *text);
uint32_t
rj_cell_account_shares_export(const struct rj_cell_account_shares *shares,
			      struct rj_cell_account_use *uses, uint32_t max,
			      uint64_t now_us);
void rj_cell_account_shares_import(struct rj_cell_account_shares *shares,
				   const struct rj_cell_account_use *uses,
				   uint32_t count, uint64_t now_us);

#endif
