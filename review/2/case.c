/*
 * Many small subtasks of one job run on a worker that is cut off for five
 * seconds and runs on. More than 500 of them end `done` behind the cut.
 */
#include "../standin/standin.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SUBTASKS 1200
#define WORKERS 6
#define CUT_MS 5000
#define FIRST_END_MS 3000
#define ENDS_SPREAD_MS 1500
#define PATIENCE_MS 60000
#define JOB "/lohu930/5c0e7a21d94b36f8"
#define HOST "nony24.example"
#define KEY "d4a3hwrr6x73d3zji9n7"

/* An end `done`, and whether it was taken note of. */
struct done {
	char task[STANDIN_NAME_BYTES];
	int64_t number;
	int64_t at_ms;
	const struct standin_worker *worker;
	bool taken;
};

struct begun {
	char task[STANDIN_NAME_BYTES];
	int64_t number;
	int64_t at_ms;
	const struct standin_worker *worker;
};

static struct done dones[SUBTASKS * 8];
static size_t done_count;
static struct begun begins[SUBTASKS * 8];
static size_t begin_count;

static int64_t duration_ms(const char *task, int64_t number)
{
	uint32_t hash = 2166136261U;

	(void)number;
	while (*task)
		hash = (hash ^ (unsigned char)*task++) * 16777619U;
	return FIRST_END_MS + hash % ENDS_SPREAD_MS;
}

static void on_start(struct standin_worker *worker, const char *task,
		     int64_t number, const json_t *body)
{
	struct begun *begun = &begins[begin_count];

	(void)body;
	if (begin_count == sizeof(begins) / sizeof(begins[0]))
		return;
	begin_count++;
	snprintf(begun->task, sizeof(begun->task), "%s", task);
	begun->number = number;
	begun->at_ms = standin_now_ms();
	begun->worker = worker;
}

static void on_end(struct standin_worker *worker, const struct standin_end *end,
		   bool taken)
{
	struct done *done = &dones[done_count];

	if (strcmp(end->how, "done") != 0)
		return;
	if (taken) {
		for (size_t i = 0; i < done_count; i++)
			if (dones[i].worker == worker &&
			    dones[i].number == end->number &&
			    !strcmp(dones[i].task, end->task))
				/* Not if the lease lapsed between the two. */
				dones[i].taken =
					worker->lapsed_at_ms <= end->at_ms;
		return;
	}
	if (done_count == sizeof(dones) / sizeof(dones[0]))
		return;
	done_count++;
	snprintf(done->task, sizeof(done->task), "%s", end->task);
	done->number = end->number;
	done->at_ms = end->at_ms;
	done->worker = worker;
}

static json_t *config(void)
{
	return json_loads(
		"{\"Version\":7,\"Routes\":[{\"Name\":\"r-3ajwyy7\",\"Host\":"
		"\"nony24.example\",\"PathPrefix\":\"/lohu930/\",\"Kind\":"
		"\"mutating\",\"TimeoutMs\":3000,\"TargetLatencyMs\":3000,"
		"\"Priority\":2,\"Service\":\"render\",\"MaxAttempts\":4,"
		"\"Stretch\":3.0,\"Public\":false}],\"Services\":[{\"Name\":"
		"\"render\",\"EnforceLimits\":false}],\"Limits\":{"
		"\"MaxBodyBytes\":262144},\"Tenants\":[{\"Name\":\"kaje80\","
		"\"ApiKeys\":[\"d4a3hwrr6x73d3zji9n7\"],\"Guaranteed\":{"
		"\"Gpu\":8}}]}",
		0, NULL);
}

/* Returns the worker with the most runs. */
static struct standin_worker *busiest(void)
{
	struct standin_worker *worker = &standin_workers[0];

	pthread_mutex_lock(&standin_lock);
	for (size_t i = 1; i < standin_worker_count; i++)
		if (standin_workers[i].run_count > worker->run_count)
			worker = &standin_workers[i];
	pthread_mutex_unlock(&standin_lock);
	return worker;
}

/* Counts the starts after an end `done` that is taken note of. */
static size_t count_twice(void)
{
	size_t count = 0;

	pthread_mutex_lock(&standin_lock);
	for (size_t i = 0; i < begin_count; i++)
		for (size_t j = 0; j < done_count; j++) {
			if (!dones[j].taken ||
			    begins[i].at_ms <= dones[j].at_ms ||
			    strcmp(begins[i].task, dones[j].task) != 0)
				continue;
			if (count++ < 10)
				standin_record(
					"TWICE %s: run %lld done on %s %lld ms "
					"before run %lld starts on %s",
					dones[j].task,
					(long long)dones[j].number,
					dones[j].worker->id,
					(long long)(begins[i].at_ms -
						    dones[j].at_ms),
					(long long)begins[i].number,
					begins[i].worker->id);
			break;
		}
	pthread_mutex_unlock(&standin_lock);
	return count;
}

static int run(struct standin_entry *entries)
{
	static const char *const zones[] = { "lhr-gulberg", "lhr-johar",
					     "lhr-dha" };
	char body[256];
	int64_t until_ms = standin_now_ms() + PATIENCE_MS;
	struct standin_worker *worker;
	size_t ends = 0;
	size_t twice;

	standin_plan.duration_ms = duration_ms;
	standin_plan.on_start = on_start;
	standin_plan.on_end = on_end;
	if (standin_start_store())
		return 2;
	for (size_t i = 0; i < WORKERS; i++)
		(void)standin_add_worker(zones[i % 3], zones[i % 3], "a");
	standin_publish(config());
	for (size_t i = 0; i < 3; i++)
		if (standin_start_entry(&entries[i], zones[i], zones[i]))
			return 2;
	standin_sleep_ms(2000);
	snprintf(body, sizeof(body),
		 "{\"Spec\":\"sketch previews\",\"Steps\":[{\"Count\":%d,"
		 "\"Cpu\":100,\"MemMb\":100,\"EstimateMs\":5500}]}",
		 SUBTASKS);
	if (standin_call(entries[0].callers_port, "POST", JOB, HOST, KEY, body,
			 NULL, 0) != 200)
		return 2;
	standin_record("client: job accepted");
	while (begin_count < SUBTASKS && standin_now_ms() < until_ms)
		standin_sleep_ms(20);
	worker = busiest();
	standin_record("%zu starts; %zu runs on %s", begin_count,
		       worker->run_count, worker->id);
	if (standin_trouble()) {
		standin_cut(worker, true);
		standin_sleep_ms(CUT_MS);
		ends = worker->end_count;
		standin_record("%zu ends wait on %s", ends, worker->id);
		standin_cut(worker, false);
	}
	do {
		standin_sleep_ms(200);
		if (standin_call(entries[1].callers_port, "GET", JOB, HOST, KEY,
				 NULL, body, sizeof(body)) != 200)
			body[0] = 0;
	} while (!strstr(body, "completed") && standin_now_ms() < until_ms);
	standin_sleep_ms(3000);
	standin_record("client: the job is shown as %s", body);
	twice = count_twice();
	standin_record(
		"%zu starts of %d subtasks, %zu after an end `done` that "
		"was taken note of",
		begin_count, SUBTASKS, twice);
	if (!strstr(body, "completed"))
		return 2;
	return twice ? 1 : 0;
}

int main(void)
{
	struct standin_entry entries[3];
	int status = 2;

	if (standin_begin("review/2/record.txt"))
		return 2;
	status = run(entries);
	standin_record("exit status %d", status);
	standin_end_all();
	return status;
}
