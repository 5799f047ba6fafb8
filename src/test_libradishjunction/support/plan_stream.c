#include "support/plan_stream.h"

#include <assert.h>
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "support/quantile.h"

const char *const stream_users_string[STREAM_USERS_COUNT] = {
	[STREAM_ASSOCIATION] = "association",
	[STREAM_CONVERTER] = "converter",
};

const char *const stream_load_string[STREAM_LOAD_COUNT] = {
	[STREAM_STEADY] = "steady",
	[STREAM_BURST_SMALL] = "burst_small",
	[STREAM_BURST_LARGE] = "burst_large",
	[STREAM_MIXED70] = "mixed70",
	[STREAM_MIXED90] = "mixed90",
	[STREAM_MIXED110] = "mixed110",
	[STREAM_WRONG_DECLARED] = "wrong_declared",
	[STREAM_FAILING_WORKERS] = "failing_workers",
	[STREAM_CANCELLATIONS] = "cancellations",
	[STREAM_RECLAIM_STORM] = "reclaim_storm",
	[STREAM_INSTANCE_LOST] = "instance_lost",
};

/* Background load of each stream, in percent of the accelerators. */
static const uint32_t load_percent[STREAM_LOAD_COUNT] = {
	[STREAM_STEADY] = 50,	      [STREAM_BURST_SMALL] = 60,
	[STREAM_BURST_LARGE] = 60,    [STREAM_MIXED70] = 70,
	[STREAM_MIXED90] = 90,	      [STREAM_MIXED110] = 110,
	[STREAM_WRONG_DECLARED] = 85, [STREAM_FAILING_WORKERS] = 70,
	[STREAM_CANCELLATIONS] = 90,  [STREAM_RECLAIM_STORM] = 85,
	[STREAM_INSTANCE_LOST] = 80,
};

/* The jobs of one class of a user. */
struct class_shape {
	const char *name;
	enum rj_priority priority;
	bool idempotent;
	bool checkpoint;
	uint32_t load_percent; /* share of the background load */
	double median_s; /* of the lognormal run times */
	double sigma;
	struct rj_shape shapes[2]; /* half of the jobs each */
	uint64_t deadline_s; /* 0: none */
};

#define TASK(accelerators)                                                 \
	{                                                                  \
		1, accelerators, 4 * (accelerators), 4096 * (accelerators) \
	}

static const struct class_shape
	class_shapes[STREAM_USERS_COUNT][STREAM_CLASSES] = {
		{
			{ "lesson",
			  RJ_PRIORITY_URGENT,
			  true,
			  false,
			  15,
			  15,
			  0.6,
			  { { 1, TASK(2), false }, { 1, TASK(4), false } },
			  300 },
			{ "render",
			  RJ_PRIORITY_NORMAL,
			  true,
			  true,
			  35,
			  60,
			  0.8,
			  { { 1, TASK(4), false }, { 2, TASK(4), false } },
			  0 },
			{ "preview",
			  RJ_PRIORITY_NORMAL,
			  true,
			  false,
			  20,
			  4,
			  0.6,
			  { { 1, TASK(1), false }, { 1, TASK(1), false } },
			  0 },
			{ "portfolio",
			  RJ_PRIORITY_BULK,
			  true,
			  true,
			  30,
			  120,
			  0.6,
			  { { 4, TASK(8), true }, { 8, TASK(8), true } },
			  0 },
		},
		{
			{ "quote",
			  RJ_PRIORITY_URGENT,
			  false,
			  false,
			  10,
			  2,
			  0.5,
			  { { 1, TASK(1), false }, { 1, TASK(1), false } },
			  60 },
			{ "artwork",
			  RJ_PRIORITY_NORMAL,
			  true,
			  true,
			  25,
			  60,
			  0.8,
			  { { 1, TASK(4), false }, { 2, TASK(2), false } },
			  0 },
			{ "preview",
			  RJ_PRIORITY_BULK,
			  true,
			  false,
			  20,
			  4,
			  0.6,
			  { { 1, TASK(1), false }, { 1, TASK(1), false } },
			  0 },
			{ "pricing",
			  RJ_PRIORITY_NORMAL,
			  true,
			  true,
			  45,
			  150,
			  0.6,
			  { { 4, TASK(8), true }, { 16, TASK(4), false } },
			  0 },
		},
	};

/* Share of the jobs of each account, in percent: a few accounts are large. */
static const uint32_t account_weight[STREAM_ACCOUNTS] = { 40, 30, 20, 10 };

/*
 * Draws from the uniform distribution over [0, 1).
 */
static double uniform(struct plan_stream *stream)
{
	return (double)(rj_random64(&stream->random) >> 11) * 0x1p-53;
}

/*
 * Draws from the standard normal distribution.
 */
static double normal(struct plan_stream *stream)
{
	double radius = sqrt(-2 * log(1 - uniform(stream)));

	return radius * cos(2 * M_PI * uniform(stream));
}

/*
 * Chooses the account of a job. In a reclaim storm the accounts with guaranteed
 * gangs are idle until they request them, while the others borrow all capacity.
 */
static uint32_t choose_account(struct plan_stream *stream)
{
	uint32_t at = (uint32_t)(uniform(stream) * 100);

	if (stream->load == STREAM_RECLAIM_STORM)
		return at < 60 ? 2 : 3;

	for (uint32_t i = 0; i < STREAM_ACCOUNTS; i++) {
		if (at < account_weight[i])
			return i;
		at -= account_weight[i];
	}
	return STREAM_ACCOUNTS - 1;
}

/*
 * Returns whether the guarantee covers the shape: the same gang with at most
 * the guaranteed resources per task.
 */
static bool covers(const struct rj_shape *guarantee,
		   const struct rj_shape *shape)
{
	return shape->tasks == guarantee->tasks &&
	       shape->adjacent == guarantee->adjacent &&
	       rj_resources_fit(&shape->each, &guarantee->each);
}

/*
 * Adds a job of a class that arrives at `at_us`. The pointer is valid until the
 * next call.
 */
static struct stream_job *add_job(struct plan_stream *stream,
				  enum stream_class class_index, uint64_t at_us)
{
	const struct class_shape *class =
		&class_shapes[stream->users][class_index];
	double factor = stream->load == STREAM_WRONG_DECLARED ? 10 : 2;
	struct stream_job *job;

	stream->jobs = talloc_realloc(stream->mem, stream->jobs,
				      struct stream_job, stream->count + 1);
	assert(stream->jobs);
	job = &stream->jobs[stream->count++];
	memset(job, 0, sizeof(*job));
	job->class_index = class_index;
	job->account = choose_account(stream);
	job->run_us = (uint64_t)(class->median_s * RJ_US_PER_S *
				 exp(class->sigma * normal(stream)));
	job->cancel_us = RJ_NEVER_US;
	rj_name_set(job->plan.account, stream->accounts[job->account].name);
	rj_name_set(job->plan.class_name, class->name);
	job->plan.shape = class->shapes[uniform(stream) < 0.5];
	job->plan.priority = class->priority;
	job->plan.preemptible = class->idempotent || class->checkpoint;
	job->plan.checkpoint = class->checkpoint;
	job->plan.declared_us =
		(uint64_t)((double)job->run_us *
			   pow(factor, 2 * uniform(stream) - 1));
	job->plan.queued_us = at_us;
	job->plan.deadline_us =
		class->deadline_s ? at_us + class->deadline_s * RJ_US_PER_S :
				    RJ_NEVER_US;
	return job;
}

/*
 * Returns the mean accelerator seconds of a job of the class.
 */
static double mean_area(const struct class_shape *class)
{
	double mean_s = class->median_s * exp(class->sigma * class->sigma / 2);
	double size = 0;

	for (uint32_t i = 0; i < 2; i++)
		size += class->shapes[i].tasks *
			class->shapes[i].each.accelerators / 2.0;
	return size * mean_s;
}

/*
 * Adds the background load: Poisson arrivals of each class at its rate.
 */
static void add_background(struct plan_stream *stream)
{
	for (uint32_t i = 0; i < STREAM_CLASSES; i++) {
		const struct class_shape *class =
			&class_shapes[stream->users][i];
		double rate = STREAM_WORKERS * 8.0 *
			      load_percent[stream->load] / 100 *
			      class->load_percent / 100 / mean_area(class);
		double at_s = 0;

		for (;;) {
			at_s -= log(1 - uniform(stream)) / rate;
			if (at_s * RJ_US_PER_S >= stream->horizon_us)
				break;
			add_job(stream, i, (uint64_t)(at_s * RJ_US_PER_S));
		}
	}
}

/*
 * Adds bursts of `count` jobs of a class every `every_s` seconds.
 */
static void add_bursts(struct plan_stream *stream,
		       enum stream_class class_index, uint32_t count,
		       uint64_t every_s)
{
	for (uint64_t at_s = every_s; at_s * RJ_US_PER_S < stream->horizon_us;
	     at_s += every_s)
		for (uint32_t i = 0; i < count; i++)
			add_job(stream, class_index, at_s * RJ_US_PER_S + i);
}

/*
 * Adds submissions of all guaranteed gangs at the same time, every 300 s.
 */
static void add_reclaims(struct plan_stream *stream)
{
	for (uint64_t at_s = 300; at_s * RJ_US_PER_S < stream->horizon_us;
	     at_s += 300)
		for (uint32_t i = 0; i < 2; i++)
			for (uint32_t j = 0; j < stream->guarantees[i].count;
			     j++) {
				struct stream_job *job =
					add_job(stream, STREAM_GANG,
						at_s * RJ_US_PER_S + i);

				job->account = i;
				rj_name_set(job->plan.account,
					    stream->accounts[i].name);
				job->plan.shape = stream->guarantees[i].shape;
			}
}

/*
 * Cancels, in waves, half of the jobs that arrived within two minutes before
 * the wave.
 */
static void add_cancellations(struct plan_stream *stream)
{
	for (uint32_t i = 0; i < stream->count; i++) {
		struct stream_job *job = &stream->jobs[i];
		uint64_t wave_us = 300 * RJ_US_PER_S;
		uint64_t next_us =
			(job->plan.queued_us / wave_us + 1) * wave_us;

		if (next_us - job->plan.queued_us < 120 * RJ_US_PER_S &&
		    uniform(stream) < 0.5)
			job->cancel_us = next_us;
	}
}

/*
 * Orders jobs by arrival.
 */
static int compare_jobs(const void *a, const void *b)
{
	const struct stream_job *one = a;
	const struct stream_job *two = b;

	if (one->plan.queued_us != two->plan.queued_us)
		return one->plan.queued_us < two->plan.queued_us ? -1 : 1;
	return one->run_us < two->run_us ? -1 : one->run_us > two->run_us;
}

/*
 * Fills in the workers, by id in racks of eight; the last rack has only one.
 */
static void make_workers(struct plan_stream *stream)
{
	for (uint32_t i = 0; i < STREAM_WORKERS; i++)
		stream->workers[i] = (struct rj_plan_worker){
			.id = i,
			.rack = i / STREAM_RACK_WORKERS,
			.capacity = stream->domain.worker,
			.usable = true,
			.owned = true,
		};
}

/*
 * Fills in the guaranteed shapes: a gang for the first account, a smaller one
 * for the second, single tasks for the others.
 */
static void make_guarantees(struct plan_stream *stream)
{
	static const struct rj_guarantee guarantees[STREAM_ACCOUNTS] = {
		{ .shape = { 4, TASK(8), true }, .count = 1 },
		{ .shape = { 2, TASK(8), true }, .count = 1 },
		{ .shape = { 1, TASK(4), false }, .count = 2 },
		{ .shape = { 1, TASK(2), false }, .count = 2 },
	};

	for (uint32_t i = 0; i < STREAM_ACCOUNTS; i++) {
		struct rj_account *account = &stream->accounts[i];

		stream->guarantees[i] = guarantees[i];
		rj_name_set(stream->guarantees[i].domain, STREAM_DOMAIN);
		snprintf(account->name, sizeof(account->name), "account%u", i);
		account->share = account_weight[i];
		account->open_max = UINT32_MAX;
		account->guarantees = &stream->guarantees[i];
		account->guarantee_count = 1;
	}
}

/*
 * Fills in the configuration of the stream's user.
 */
static void make_config(struct plan_stream *stream)
{
	uint32_t cores = stream->users == STREAM_ASSOCIATION ? 128 : 64;
	uint32_t gigabytes = stream->users == STREAM_ASSOCIATION ? 512 : 128;

	rj_name_set(stream->domain.name, STREAM_DOMAIN);
	stream->domain.racks = STREAM_RACKS;
	stream->domain.workers_per_rack = STREAM_RACK_WORKERS;
	stream->domain.worker =
		(struct rj_resources){ 8, 8, cores, gigabytes * 1024 };
	make_guarantees(stream);
	for (uint32_t i = 0; i < STREAM_CLASSES; i++) {
		const struct class_shape *class =
			&class_shapes[stream->users][i];

		rj_name_set(stream->classes[i].name, class->name);
		stream->classes[i].priority = class->priority;
		stream->classes[i].idempotent = class->idempotent;
		stream->classes[i].checkpoint = class->checkpoint;
		/* Operators' estimates are off by a factor of three. */
		stream->classes[i].expected_us =
			(uint64_t)(3 * class->median_s * RJ_US_PER_S);
	}
	stream->config = (struct rj_config){
		.domains = &stream->domain,
		.domain_count = 1,
		.accounts = stream->accounts,
		.account_count = STREAM_ACCOUNTS,
		.classes = stream->classes,
		.class_count = STREAM_CLASSES,
		.limits = {
			.queue_max = 20000,
			.checkpoint_limit_ms = 3000,
			.fragmentation_weight =
				stream->users == STREAM_ASSOCIATION ? 30 : 70,
		},
	};
}

/*
 * Generates the stream of `users` under `load` from `seed`, with arrivals until
 * `horizon_us`. All memory is a talloc child of `mem`.
 */
void plan_stream_init(struct plan_stream *stream, void *mem,
		      enum stream_users users, enum stream_load load,
		      uint64_t seed, uint64_t horizon_us)
{
	memset(stream, 0, sizeof(*stream));
	stream->mem = talloc_new(mem);
	stream->users = users;
	stream->load = load;
	stream->horizon_us = horizon_us;
	stream->random = seed * 0x9e3779b97f4a7c15ULL + load;
	make_config(stream);
	make_workers(stream);
	add_background(stream);
	if (load == STREAM_BURST_SMALL)
		add_bursts(stream, STREAM_PREVIEW, 1500, 300);
	if (load == STREAM_BURST_LARGE)
		add_bursts(stream, STREAM_GANG, 6, 450);
	if (load == STREAM_RECLAIM_STORM)
		add_reclaims(stream);
	if (load == STREAM_CANCELLATIONS)
		add_cancellations(stream);
	qsort(stream->jobs, stream->count, sizeof(*stream->jobs), compare_jobs);
	for (uint32_t i = 0; i < stream->count; i++) {
		struct stream_job *job = &stream->jobs[i];

		job->plan.job_id = i + 1;
		job->guaranteed =
			covers(&stream->guarantees[job->account].shape,
			       &job->plan.shape);
	}
}

void plan_stream_finish(struct plan_stream *stream)
{
	TALLOC_FREE(stream->mem);
}

/* The bound of a class with more jobs than this uses their run times alone, as
 * the search over arrival windows is quadratic. */
#define BOUND_JOBS_MAX 3000

/*
 * Returns a lower bound, in seconds, of the p95 completion time of a class
 * under any policy, even one that knows all run times, splits jobs freely and
 * runs no other class.
 *
 * A job takes at least its run time. All jobs that arrive between a and b are
 * done by b + p95 except one in twenty. These may all lie in this window and
 * be as large as the largest job; the rest occupies its area on all
 * accelerators.
 */
double plan_stream_bound_s(const struct plan_stream *stream,
			   enum stream_class class_index)
{
	double *runs = g_new(double, stream->count + 1);
	double *areas = g_new(double, stream->count + 1);
	double *at = g_new(double, stream->count + 1);
	double largest = 0;
	double bound = 0;
	uint32_t count = 0;
	uint32_t late;

	for (uint32_t i = 0; i < stream->count; i++) {
		const struct stream_job *job = &stream->jobs[i];
		const struct rj_shape *shape = &job->plan.shape;

		if (job->class_index != class_index ||
		    job->cancel_us != RJ_NEVER_US)
			continue;
		at[count] = (double)job->plan.queued_us / RJ_US_PER_S;
		runs[count] = (double)job->run_us / RJ_US_PER_S;
		areas[count] =
			runs[count] * shape->tasks * shape->each.accelerators;
		largest = MAX(largest, areas[count]);
		count++;
	}
	late = count / 20 + 1;
	for (uint32_t i = 0; count < BOUND_JOBS_MAX && i < count; i++) {
		double area = -largest * late;

		for (uint32_t j = i; j < count; j++) {
			area += areas[j];
			bound = MAX(bound, area / (STREAM_WORKERS * 8.0) -
						   (at[j] - at[i]));
		}
	}
	bound = MAX(bound, quantile_of(runs, count, 0.95));
	g_free(runs);
	g_free(areas);
	g_free(at);
	return bound;
}
