/*
 * A job that runs its step 70,000 times is accepted. What the owner stores of
 * it does not fit a record of the store. Jobs of another queue, which goes
 * first, are accepted after it.
 */
#include "../standin/standin.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WORKERS 6
#define TASK_MS 1500
#define BEFORE 5
#define AFTER 20
#define PAUSE_MS 500
#define REPEATS 70000
/* The bounds of the rule LOST. */
#define FINISH_MS 14000
#define IDLE_MS 3000
#define HOST "nony24.example"
#define KEY "d4a3hwrr6x73d3zji9n7"
#define LARGE "/lohu930/5c0e7a21d94b36f8"

/* A small job, of one subtask. */
struct job {
	char id[20];
	bool accepted;
	size_t starts;
	size_t done;
};

static struct job jobs[BEFORE + AFTER];
static size_t large_starts;
static size_t all_starts;

static int64_t duration_ms(const char *task, int64_t number)
{
	(void)task;
	(void)number;
	return TASK_MS;
}

static struct job *find_job(const char *task)
{
	for (size_t i = 0; i < BEFORE + AFTER; i++)
		if (!strncmp(jobs[i].id, task, 16))
			return &jobs[i];
	return NULL;
}

static void on_start(struct standin_worker *worker, const char *task,
		     int64_t number, const json_t *body)
{
	struct job *job = find_job(task);

	(void)worker;
	(void)number;
	(void)body;
	all_starts++;
	if (job)
		job->starts++;
	else
		large_starts++;
}

static void on_end(struct standin_worker *worker, const struct standin_end *end,
		   bool taken)
{
	struct job *job = find_job(end->task);

	(void)worker;
	if (job && !taken && !strcmp(end->how, "done"))
		job->done++;
}

static json_t *config(void)
{
	return json_loads(
		"{\"Version\":7,\"Routes\":[{\"Name\":\"r-3ajwyy7\",\"Host\":"
		"\"nony24.example\",\"PathPrefix\":\"/lohu930/\",\"Kind\":"
		"\"mutating\",\"TimeoutMs\":3000,\"TargetLatencyMs\":3000,"
		"\"Priority\":2,\"Service\":\"render\",\"MaxAttempts\":4,"
		"\"Stretch\":3.0,\"Public\":false},{\"Name\":\"r-zzyyjsg\","
		"\"Host\":\"nony24.example\",\"PathPrefix\":\"/pufi791/\","
		"\"Kind\":\"mutating\",\"TimeoutMs\":3000,\"TargetLatencyMs\":"
		"250,\"Priority\":0,\"Service\":\"render\",\"MaxAttempts\":4,"
		"\"Stretch\":1.5,\"Public\":false}],\"Services\":[{\"Name\":"
		"\"render\",\"EnforceLimits\":false}],\"Limits\":{"
		"\"MaxBodyBytes\":262144},\"Tenants\":[{\"Name\":\"kaje80\","
		"\"ApiKeys\":[\"d4a3hwrr6x73d3zji9n7\"],\"Guaranteed\":{"
		"\"Gpu\":8}}]}",
		0, NULL);
}

/* Hands in small jobs, each at the next instance. */
static void submit_jobs(const struct standin_entry *entries, size_t from,
			size_t count)
{
	for (size_t i = from; i < from + count; i++) {
		char path[64];
		int status;

		snprintf(jobs[i].id, sizeof(jobs[i].id), "%016zx", i + 1);
		snprintf(path, sizeof(path), "/pufi791/%s", jobs[i].id);
		status = standin_call(
			entries[i % 3].callers_port, "POST", path, HOST, KEY,
			"{\"Spec\":\"(text)\",\"Steps\":[{\"Count\":1,"
			"\"Cpu\":15000,\"MemMb\":44000,\"Gpu\":1,"
			"\"EstimateMs\":1500}]}",
			NULL, 0);
		jobs[i].accepted = status == 200;
		standin_record("client: POST %s: %d", path, status);
		standin_sleep_ms(PAUSE_MS);
	}
}

/* Returns whether the job of 70,000 runs was accepted. */
static bool submit_large(const struct standin_entry *entries)
{
	char body[512];
	int status;

	snprintf(body, sizeof(body),
		 "{\"Spec\":\"sketch previews\",\"Steps\":[{\"Count\":1,"
		 "\"Cpu\":100,\"MemMb\":10,\"EstimateMs\":1500}],"
		 "\"RepeatCount\":%d,\"FirstRunMs\":%lld}",
		 REPEATS, (long long)standin_unix_ms());
	status = standin_call(entries[0].callers_port, "POST", LARGE, HOST, KEY,
			      body, NULL, 0);
	standin_record("client: POST %s, %d runs, all due now: %d", LARGE,
		       REPEATS, status);
	return status == 200;
}

/* The processor in use on all workers, in thousandths of a core. */
static int64_t cpu_in_use(void)
{
	int64_t sum = 0;

	pthread_mutex_lock(&standin_lock);
	for (size_t i = 0; i < standin_worker_count; i++)
		for (size_t j = 0; j < standin_workers[i].run_count; j++)
			sum += find_job(standin_workers[i].runs[j].task) ?
				       15000 :
				       100;
	pthread_mutex_unlock(&standin_lock);
	return sum;
}

/* Counts the accepted small jobs that have never begun. */
static size_t count_idle(void)
{
	size_t count = 0;

	for (size_t i = 0; i < BEFORE + AFTER; i++)
		count += jobs[i].accepted && !jobs[i].starts;
	return count;
}

static int run(struct standin_entry *entries)
{
	static const char *const zones[] = { "lhr-gulberg", "lhr-johar",
					     "lhr-dha" };
	size_t accepted = 0;
	size_t done = 0;
	size_t lost = BEFORE + AFTER;
	char path[64];
	char body[256] = "";

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
	submit_jobs(entries, 0, BEFORE);
	if (standin_trouble() && !submit_large(entries))
		return 2;
	submit_jobs(entries, BEFORE, AFTER);
	standin_record("the traffic ends");
	standin_sleep_ms(FINISH_MS);
	/* A job is lost that has nothing running all the while, with less than
	 * half of the capacity in use. */
	for (int64_t ms = 0; ms <= IDLE_MS; ms += 100) {
		size_t idle = count_idle();

		if (cpu_in_use() * 2 >= WORKERS * 128000)
			idle = 0;
		lost = idle < lost ? idle : lost;
		standin_sleep_ms(100);
	}
	for (size_t i = 0; i < BEFORE + AFTER; i++) {
		accepted += jobs[i].accepted;
		done += jobs[i].done;
	}
	snprintf(path, sizeof(path), "/pufi791/%s",
		 jobs[BEFORE + AFTER - 1].id);
	(void)standin_call(entries[1].callers_port, "GET", path, HOST, KEY,
			   NULL, body, sizeof(body));
	standin_record("client: GET %s: %s", path, body);
	standin_record(
		"%zu small jobs accepted, %zu done, %zu never begun; %zu "
		"starts in all, %zu of the job of %d runs; %lld "
		"thousandths of a core in use",
		accepted, done, lost, all_starts, large_starts, REPEATS,
		(long long)cpu_in_use());
	if (accepted < BEFORE || done < BEFORE)
		return 2;
	return lost ? 1 : 0;
}

int main(void)
{
	struct standin_entry entries[3];
	int status = 2;

	if (standin_begin("review/1/record.txt"))
		return 2;
	status = run(entries);
	standin_record("exit status %d", status);
	standin_end_all();
	return status;
}
