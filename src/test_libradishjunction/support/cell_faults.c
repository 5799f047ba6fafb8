#include "support/cell_faults.h"

#include <string.h>

#define TROUBLE_S 25
#define CALM_S 80
#define STEP_US (100 * MS)
#define KEYS 3
/* On such a part of the days an outside policy has its say. */
#define ADVISED_ONE_IN 4
/* ... and on such a part operators cordon failure domains, and reads of one
 * log may fail. */
#define CORDONS_ONE_IN 2
/* ... and members of a gang end so long after the first. */
#define BREAK_US (190 * MS)

/* What a strike does, and what ends it. */
struct strike {
	struct cell_sim *world;
	uint32_t target;
};

/* Remember the target of a strike until it ends. */
static struct strike *strike_new(struct cell_sim *world, uint32_t target)
{
	struct strike *strike = g_new0(struct strike, 1);

	strike->world = world;
	strike->target = target;
	return strike;
}

/* A killed node starts again. */
static void restart(void *data)
{
	struct strike *strike = data;

	cell_sim_node_start(strike->world, strike->target);
	g_free(strike);
}

/* A node is killed, most often the owner. */
static void strike_kill(struct cell_sim *world)
{
	int owner = cell_sim_owner(world);
	uint32_t target = cell_sim_random(world, world->plan.nodes);

	if (owner >= 0 && cell_sim_random(world, 2))
		target = (uint32_t)owner;
	cell_sim_node_kill(world, target);
	cell_sim_schedule(world, (200 + cell_sim_random(world, 3000)) * MS,
			  restart, strike_new(world, target));
}

/* All nodes are killed at once. */
static void strike_kill_all(struct cell_sim *world)
{
	uint64_t down_us = (500 + cell_sim_random(world, 1500)) * MS;

	for (uint32_t i = 0; i < world->plan.nodes; i++) {
		cell_sim_node_kill(world, i);
		cell_sim_schedule(world, down_us + i * MS, restart,
				  strike_new(world, i));
	}
}

/* A node stands still, most often the owner. */
static void strike_pause(struct cell_sim *world)
{
	int owner = cell_sim_owner(world);
	uint32_t target = cell_sim_random(world, world->plan.nodes);

	if (owner >= 0 && cell_sim_random(world, 2))
		target = (uint32_t)owner;
	cell_sim_node_pause(world, target,
			    (500 + cell_sim_random(world, 5000)) * MS);
}

/* The log serves a node again. */
static void heal_log(void *data)
{
	struct strike *strike = data;

	strike->world->log.modes[strike->target] = CELL_LOG_AVAILABLE;
	g_free(strike);
}

/* The log turns some nodes away, or all. */
static void strike_log(struct cell_sim *world)
{
	enum cell_log_mode mode = cell_sim_random(world, 2) ?
					  CELL_LOG_UNREACHABLE :
					  CELL_LOG_REFUSING;
	uint64_t for_us = (1000 + cell_sim_random(world, 6000)) * MS;
	bool all = cell_sim_random(world, 3) == 0;
	int owner = cell_sim_owner(world);
	uint32_t only = owner >= 0 && cell_sim_random(world, 2) ?
				(uint32_t)owner :
				cell_sim_random(world, world->plan.nodes);

	for (uint32_t i = 0; i < world->plan.nodes; i++) {
		if (!all && i != only)
			continue;
		world->log.modes[i] = mode;
		cell_sim_schedule(world, for_us, heal_log,
				  strike_new(world, i));
	}
}

/* The log answers as before. */
static void heal_answers(void *data)
{
	struct strike *strike = data;

	strike->world->log.lose_percent = 0;
	strike->world->log.late_us = 0;
	strike->world->log.latency_us = 4 * MS;
	g_free(strike);
}

/* Answers of the log are lost or slow. */
static void strike_answers(struct cell_sim *world)
{
	if (cell_sim_random(world, 2)) {
		world->log.lose_percent = 35;
		world->log.late_us =
			cell_sim_random(world, 2) ?
				(1000 + cell_sim_random(world, 4000)) * MS :
				0;
	} else {
		world->log.latency_us = 240 * MS;
	}
	cell_sim_schedule(world, (1000 + cell_sim_random(world, 4000)) * MS,
			  heal_answers, strike_new(world, 0));
}

/* The history of a log is dropped. */
static void strike_history(struct cell_sim *world)
{
	enum rj_cell_topic topic =
		(enum rj_cell_topic)cell_sim_random(world, RJ_CELL_TOPIC_COUNT);

	world->log.first_kept[topic] = world->log.records[topic]->len;
}

/* A crashed worker is back. */
static void rebirth(void *data)
{
	struct strike *strike = data;

	cell_sim_worker_start(strike->world, strike->target);
	g_free(strike);
}

/* A worker crashes; some start again at once, under their old id. */
static void strike_worker(struct cell_sim *world)
{
	uint32_t target = cell_sim_random(world, world->plan.workers);

	cell_sim_worker_kill(world, target);
	cell_sim_schedule(world, (50 + cell_sim_random(world, 8000)) * MS,
			  rebirth, strike_new(world, target));
}

/* A cut worker is reached again. */
static void heal_worker(void *data)
{
	struct strike *strike = data;
	struct cell_fake_worker *worker =
		&strike->world->workers[strike->target];

	cell_sim_worker_partition(strike->world, strike->target, false);
	worker->leave_percent = 0;
	worker->fails_all = false;
	worker->stands_still = false;
	worker->refuses = false;
	g_free(strike);
}

/* Workers are cut off, for all nodes or for one, or behave badly. */
static void strike_workers(struct cell_sim *world)
{
	uint32_t count = 1 + cell_sim_random(world, 3);
	uint32_t how = cell_sim_random(world, 6);
	uint64_t for_us = (1000 + cell_sim_random(world, 7000)) * MS;

	for (uint32_t i = 0; i < count; i++) {
		uint32_t target = cell_sim_random(world, world->plan.workers);
		struct cell_fake_worker *worker = &world->workers[target];

		if (how == 0)
			cell_sim_worker_partition(world, target, true);
		else if (how == 1)
			worker->cut[cell_sim_random(world, world->plan.nodes)] =
				true;
		else if (how == 2)
			worker->leave_percent = 40;
		else if (how == 3)
			worker->fails_all = true;
		else if (how == 4)
			worker->stands_still = true;
		else
			worker->refuses = true;
		cell_sim_schedule(world, for_us, heal_worker,
				  strike_new(world, target));
	}
}

/* A worker that has left is replaced, under its old id. */
static void replace(void *data)
{
	struct strike *strike = data;

	strike->world->workers[strike->target].heartbeat.draining = false;
	cell_sim_worker_start(strike->world, strike->target);
	g_free(strike);
}

/* A worker that said so leaves. */
static void leave(void *data)
{
	struct strike *strike = data;
	struct cell_sim *world = strike->world;

	cell_sim_worker_partition(world, strike->target, false);
	cell_sim_worker_kill(world, strike->target);
	cell_sim_schedule(world, 3 * S, replace, strike);
}

/*
 * Workers are taken away: they say so, serve on for some seconds, and leave;
 * some are cut off meanwhile, so that their entries lapse while they run.
 */
static void strike_drain(struct cell_sim *world)
{
	uint32_t target = cell_sim_random(world, world->plan.workers);
	struct cell_fake_worker *worker = &world->workers[target];

	if (!worker->up || worker->heartbeat.draining)
		return;
	cell_sim_worker_drain(world, target, 0);
	if (cell_sim_random(world, 2))
		cell_sim_worker_partition(world, target, true);
	cell_sim_schedule(world, (2000 + cell_sim_random(world, 8000)) * MS,
			  leave, strike_new(world, target));
}

/* Operators take a key away and give another. */
static void strike_key(struct cell_sim *world)
{
	static const char *const keys[KEYS] = { "k1", "k2", "k3" };

	cell_sim_publish(world, keys[cell_sim_random(world, KEYS)]);
}

/* A cordoned failure domain is given back. */
static void give_back(void *data)
{
	struct strike *strike = data;

	cell_sim_cordon(strike->world,
			strike->world->workers[strike->target].heartbeat.domain,
			false);
	g_free(strike);
}

/* Operators cordon a failure domain; several may be at a time. */
static void strike_cordon(struct cell_sim *world)
{
	uint32_t target = cell_sim_random(world, world->plan.workers);

	cell_sim_cordon(world, world->workers[target].heartbeat.domain, true);
	cell_sim_schedule(world, (500 + cell_sim_random(world, 12000)) * MS,
			  give_back, strike_new(world, target));
}

/* Reads of one log are answered again. */
static void heal_reads(void *data)
{
	struct strike *strike = data;

	strike->world->log.reads_silent[strike->target] = false;
	g_free(strike);
}

/* Reads of one log get no answer. */
static void strike_reads(struct cell_sim *world)
{
	uint32_t topic = cell_sim_random(world, RJ_CELL_TOPIC_COUNT);

	world->log.reads_silent[topic] = true;
	cell_sim_schedule(world, (1000 + cell_sim_random(world, 8000)) * MS,
			  heal_reads, strike_new(world, topic));
}

static void (*const strikes[])(struct cell_sim *) = {
	strike_kill,	strike_kill,	strike_kill_all, strike_pause,
	strike_pause,	strike_log,	strike_log,	 strike_answers,
	strike_history, strike_worker,	strike_worker,	 strike_workers,
	strike_workers, strike_workers, strike_key,	 strike_drain,
	strike_drain,
};

/* A random job. */
static struct cell_client_job *random_job(struct cell_sim *world)
{
	static const char *const plain[] = { "urgent", "normal", "bulk" };
	static const char *const advised[] = { "urgent", "advised", "bulk" };
	const char *const *queues =
		world->plan.seed % ADVISED_ONE_IN == 1 ? advised : plain;
	uint32_t queue = cell_sim_random(world, 3);
	uint32_t first = 0;
	struct rj_cell_step steps[2];
	uint32_t count = 1 + (cell_sim_random(world, 4) == 0);
	struct cell_client_job *job;

	for (uint32_t i = 0; i < count; i++) {
		struct rj_cell_step *step = &steps[i];

		*step = cell_sim_plain_step(1 + cell_sim_random(world, 6),
					    1U << cell_sim_random(world, 4),
					    500 + cell_sim_random(world, 4000));
		step->gang = cell_sim_random(world, 2);
		step->one_rack = cell_sim_random(world, 2);
		step->checkpoints = cell_sim_random(world, 2);
		if (!step->gang && !cell_sim_random(world, 4))
			step->per_worker_max = 1;
		step->each.memory_mb = 1000 + cell_sim_random(world, 20000);
	}
	if (count > 1) {
		steps[1].after = &first;
		steps[1].after_count = 1;
	}
	job = cell_sim_job_new(
		world, queues[queue], cell_sim_random(world, 2) ? "a" : "b",
		steps, count, (500 + cell_sim_random(world, 4000)) * MS);
	if (cell_sim_random(world, 10) == 0)
		job->fail_times = 1 + cell_sim_random(world, 4);
	return job;
}

/* One step of the clients: new jobs, repeats, cancels, questions. */
static void clients(struct cell_sim *world, bool trouble)
{
	if (trouble && cell_sim_random(world, 8) == 0)
		cell_sim_submit(world,
				cell_sim_random(world, world->plan.nodes),
				random_job(world));
	for (guint i = 0; i < world->job_list->len; i++) {
		struct cell_client_job *job = world->job_list->pdata[i];
		uint32_t node = cell_sim_random(world, world->plan.nodes);

		if (job->ended_us)
			continue;
		if (!job->accepted && job->tries < 5 &&
		    world->now_us > job->sent_us + job->tries * 3200 * MS)
			cell_sim_submit(world, node, job);
		else if (job->accepted && cell_sim_random(world, 4) == 0)
			cell_sim_query(world, node, job);
		if (trouble && job->accepted &&
		    cell_sim_random(world, 300) == 0)
			cell_sim_cancel(world, node, job);
	}
}

/*
 * Play one day; with `trace` its notes are printed.
 */
void cell_faults_run(uint64_t seed, bool trace,
		     struct cell_fault_result *result)
{
	static const struct cell_sim_options plan = {
		.nodes = 4,
		.workers = 12,
		.rack_workers = 4,
		.capacity = { 64000, 64000, 8 },
		.guaranteed = 32,
	};
	struct cell_sim *world = g_new0(struct cell_sim, 1);
	struct cell_sim_options seeded = plan;
	bool cordons;

	seeded.seed = seed;
	seeded.enforces_limits = seed % 3 == 0;
	cordons = seed % CORDONS_ONE_IN == 1;
	seeded.break_us = cordons ? BREAK_US : 0;
	memset(result, 0, sizeof(*result));
	if (trace)
		cell_sim_trace(world);
	cell_sim_init(world, &seeded);
	cell_sim_run(world, 3 * S);
	for (uint32_t i = 0; i < TROUBLE_S * S / STEP_US; i++) {
		if (cell_sim_random(world, 14) == 0) {
			strikes[cell_sim_random(world, G_N_ELEMENTS(strikes))](
				world);
			result->strikes++;
		}
		if (cordons && cell_sim_random(world, 40) == 0)
			strike_cordon(world);
		if (cordons && cell_sim_random(world, 80) == 0)
			strike_reads(world);
		clients(world, true);
		cell_sim_run(world, STEP_US);
	}
	for (uint32_t i = 0; i < CALM_S * S / STEP_US; i++) {
		clients(world, false);
		cell_sim_run(world, STEP_US);
	}
	cell_sim_check_final(world);
	result->jobs = world->job_list->len;
	for (guint i = 0; i < world->job_list->len; i++) {
		const struct cell_client_job *job = world->job_list->pdata[i];

		result->accepted += job->accepted;
		result->completed +=
			job->has_shown && job->shown == RJ_CELL_JOB_COMPLETED;
	}
	result->starts = world->starts;
	result->violations = world->violations->len;
	if (world->violations->len)
		result->first = g_strdup(world->violations->pdata[0]);
	cell_sim_finish(world);
	g_free(world);
}
