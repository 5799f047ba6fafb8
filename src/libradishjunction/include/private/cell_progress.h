/*
 * Keeps the progress of a job within one record of the log.
 *
 * A record holds the occurrences that have begun and are not done, and grows
 * with their tasks and runs. Occurrences therefore begin as far as the record
 * has room for their tasks; if a record is too long all the same, checkpoints
 * are left out of it first, and then intents are withdrawn. A job whose tasks
 * can never fit is rejected when it is submitted.
 *
 * `record_max_bytes` is the limit of the log; 0: none.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_PROGRESS_H
#define RADISHJUNCTION_PRIVATE_CELL_PROGRESS_H

#include "private/cell_active_job.h"

int rj_cell_progress_check(const struct rj_cell_job_spec *job_spec,
			   uint32_t record_max_bytes, struct rj_error *err);
bool rj_cell_progress_has_room(const struct rj_cell_job *job,
			       uint32_t record_max_bytes);
struct rj_bytes rj_cell_progress_encode_within(void *mem,
					       struct rj_cell_job *job,
					       uint32_t record_max_bytes,
					       uint64_t now_us);

#endif
