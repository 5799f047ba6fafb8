#include "radishjunction/worker.h"

#include <string.h>

/* Add a number to a digest. */
static uint64_t mix(uint64_t digest, uint64_t number)
{
	return rj_hash64(&number, sizeof(number), digest);
}

/* What of a task's line makes a report another one: not its progress, nor
 * what is left of its lease. */
static uint64_t mix_task(uint64_t digest, const struct rj_task_report *task)
{
	digest = mix(digest, task->attempt.job_id);
	digest = mix(digest, task->attempt.owner);
	digest = mix(digest, task->attempt.number);
	digest = mix(digest, task->holder);
	digest = mix(digest, task->member);
	digest = mix(digest, task->token);
	return mix(digest, task->state);
}

/*
 * Give a report its version and, when that is the one that the caller knows,
 * leave out its tasks: an owner asks each of its workers every few seconds,
 * and hours pass between two changes of most of them. The version is a
 * digest, so that a worker keeps nothing for it; never 0.
 */
void rj_worker_report_set_version(struct rj_worker_report *report,
				  uint64_t known_version)
{
	uint64_t digest = mix(report->leaving, report->incarnation);

	digest = mix(digest, report->capacity.slots);
	digest = mix(digest, report->capacity.accelerators);
	digest = mix(digest, report->capacity.cores);
	digest = mix(digest, report->capacity.memory_mb);
	for (uint32_t i = 0; i < report->task_count; i++)
		digest = mix_task(digest, &report->tasks[i]);
	report->version = digest ? digest : 1;
	report->unchanged = report->version == known_version;
	if (report->unchanged)
		report->task_count = 0;
}
