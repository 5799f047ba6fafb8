#include "radishjunction/worker.h"

#include <string.h>

static uint64_t digest_number(uint64_t digest, uint64_t number)
{
	return rj_hash64(&number, sizeof(number), digest);
}

/* Add a task to the digest, except its progress and remaining lease time. */
static uint64_t digest_task(uint64_t digest, const struct rj_task_report *task)
{
	digest = digest_number(digest, task->attempt.job_id);
	digest = digest_number(digest, task->attempt.owner);
	digest = digest_number(digest, task->attempt.number);
	digest = digest_number(digest, task->holder);
	digest = digest_number(digest, task->member);
	digest = digest_number(digest, task->token);
	return digest_number(digest, task->state);
}

/*
 * Set the version of a report and omit its tasks if the requester already
 * has that version: an owner polls each of its workers every few seconds, and
 * most of them change hours apart. The version is a digest, which needs no
 * state in the worker, and is never 0.
 */
void rj_worker_report_set_version(struct rj_worker_report *report,
				  uint64_t known_version)
{
	uint64_t digest = digest_number(report->leaving, report->incarnation);

	digest = digest_number(digest, report->capacity.slots);
	digest = digest_number(digest, report->capacity.accelerators);
	digest = digest_number(digest, report->capacity.cores);
	digest = digest_number(digest, report->capacity.memory_mb);
	for (uint32_t i = 0; i < report->task_count; i++)
		digest = digest_task(digest, &report->tasks[i]);
	report->version = digest ? digest : 1;
	report->unchanged = report->version == known_version;
	if (report->unchanged)
		report->task_count = 0;
}
