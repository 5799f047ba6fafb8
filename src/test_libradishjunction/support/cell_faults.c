#include "support/cell_faults.h"

#include <string.h>

#include "support/cell_standing.h"

#define FAULTS_S 25
#define RECOVERY_S 80
#define TICK_US (100 * MS)
#define KEY_COUNT 3
/* An outside policy decides in one of this many seeds. */
#define ADVISED_SEED_MOD 4
/* Operators cordon failure domains, reads of one topic may fail and gang
 * members end with a delay in one of this many seeds. */
#define CORDON_SEED_MOD 2
/* Delay from a gang member's end without success to the end of the others. */
#define GANG_BREAK_US (190 * MS)
#define KINDS 2
/* Workers that one fault lets leave or lose. */
#define DEPARTURES_MAX 8
/* Absence of a worker that does not come back while work recovers. */
#define AWAY_MAX_MS 36000
/* Length of a burst, and from one burst to the next. */
#define BURST_S 2
#define BURST_INTERVAL_S 40

/* Kinds of workers. */
static const char *const kinds[KINDS] = { "a", "b" };

/* A fault in progress. */
struct fault {
	struct cell_sim *sim;
	uint32_t target; /* index of a node, a worker or a topic */
};

/* Creates a fault, freed by the function that ends it. */
static struct fault *fault_new(struct cell_sim *sim, uint32_t target)
{
	struct fault *fault = g_new0(struct fault, 1);

	fault->sim = sim;
	fault->target = target;
	return fault;
}

/* Starts a killed node again. */
static void restart_node(void *data)
{
	struct fault *fault = data;

	cell_sim_node_start(fault->sim, fault->target);
	g_free(fault);
}

/* Kills a node; at least half of the time the owner. */
static void inject_node_kill(struct cell_sim *sim)
{
	int owner = cell_sim_owner(sim);
	uint32_t target = cell_sim_random(sim, sim->options.nodes);

	if (owner >= 0 && cell_sim_random(sim, 2))
		target = (uint32_t)owner;
	cell_sim_node_kill(sim, target);
	cell_sim_schedule(sim, (200 + cell_sim_random(sim, 3000)) * MS,
			  restart_node, fault_new(sim, target));
}

/* Kills all nodes at once. */
static void inject_all_nodes_kill(struct cell_sim *sim)
{
	uint64_t down_us = (500 + cell_sim_random(sim, 1500)) * MS;

	for (uint32_t i = 0; i < sim->options.nodes; i++) {
		cell_sim_node_kill(sim, i);
		cell_sim_schedule(sim, down_us + i * MS, restart_node,
				  fault_new(sim, i));
	}
}

/* Pauses a node; at least half of the time the owner. */
static void inject_node_pause(struct cell_sim *sim)
{
	int owner = cell_sim_owner(sim);
	uint32_t target = cell_sim_random(sim, sim->options.nodes);

	if (owner >= 0 && cell_sim_random(sim, 2))
		target = (uint32_t)owner;
	cell_sim_node_pause(sim, target,
			    (500 + cell_sim_random(sim, 5000)) * MS);
}

/* Restores a node's access to the log. */
static void restore_log(void *data)
{
	struct fault *fault = data;

	fault->sim->log.modes[fault->target] = CELL_LOG_AVAILABLE;
	g_free(fault);
}

/* Makes the log refuse or drop the calls of one node, or of all. */
static void inject_log_outage(struct cell_sim *sim)
{
	enum cell_log_mode mode = cell_sim_random(sim, 2) ?
					  CELL_LOG_UNREACHABLE :
					  CELL_LOG_REFUSING;
	uint64_t for_us = (1000 + cell_sim_random(sim, 6000)) * MS;
	bool all = cell_sim_random(sim, 3) == 0;
	int owner = cell_sim_owner(sim);
	uint32_t single = owner >= 0 && cell_sim_random(sim, 2) ?
				  (uint32_t)owner :
				  cell_sim_random(sim, sim->options.nodes);

	for (uint32_t i = 0; i < sim->options.nodes; i++) {
		if (!all && i != single)
			continue;
		sim->log.modes[i] = mode;
		cell_sim_schedule(sim, for_us, restore_log, fault_new(sim, i));
	}
}

/* Restores the answers of the log. */
static void restore_answers(void *data)
{
	struct fault *fault = data;

	fault->sim->log.lost_answer_percent = 0;
	fault->sim->log.apply_delay_us = 0;
	fault->sim->log.latency_us = 4 * MS;
	g_free(fault);
}

/* Makes the log lose answers, or answer slowly. */
static void inject_lost_answers(struct cell_sim *sim)
{
	if (cell_sim_random(sim, 2)) {
		sim->log.lost_answer_percent = 35;
		sim->log.apply_delay_us =
			cell_sim_random(sim, 2) ?
				(1000 + cell_sim_random(sim, 4000)) * MS :
				0;
	} else {
		sim->log.latency_us = 240 * MS;
	}
	cell_sim_schedule(sim, (1000 + cell_sim_random(sim, 4000)) * MS,
			  restore_answers, fault_new(sim, 0));
}

/* Expires all records of one topic. */
static void inject_log_truncation(struct cell_sim *sim)
{
	enum rj_cell_topic topic =
		(enum rj_cell_topic)cell_sim_random(sim, RJ_CELL_TOPIC_COUNT);

	sim->log.first_retained[topic] = sim->log.records[topic]->len;
}

/* Restarts a crashed worker. */
static void restart_worker(void *data)
{
	struct fault *fault = data;

	cell_sim_worker_start(fault->sim, fault->target);
	g_free(fault);
}

/* Crashes a worker; it restarts with the same id, sometimes almost at once. */
static void inject_worker_crash(struct cell_sim *sim)
{
	uint32_t target = cell_sim_random(sim, sim->options.workers);

	cell_sim_worker_kill(sim, target);
	cell_sim_schedule(sim, (50 + cell_sim_random(sim, 8000)) * MS,
			  restart_worker, fault_new(sim, target));
}

/* Restarts up to four workers almost at once; some come back as another kind.
 * The first worker of each kind stays one. */
static void inject_worker_restarts(struct cell_sim *sim)
{
	uint32_t count = 1 + cell_sim_random(sim, 4);

	for (uint32_t i = 0; i < count; i++) {
		uint32_t target = cell_sim_random(sim, sim->options.workers);

		if (!sim->workers[target].up)
			continue;
		cell_sim_worker_kill(sim, target);
		if (target >= KINDS && cell_sim_random(sim, 3) == 0)
			g_strlcpy(sim->workers[target].reported.kind,
				  kinds[cell_sim_random(sim, KINDS)],
				  RJ_NAME_BYTES);
		cell_sim_schedule(sim, (5 + cell_sim_random(sim, 150)) * MS,
				  restart_worker, fault_new(sim, target));
	}
}

/* Restores a worker after a fault. */
static void restore_worker(void *data)
{
	struct fault *fault = data;
	struct cell_fake_worker *worker = &fault->sim->workers[fault->target];

	cell_sim_worker_partition(fault->sim, fault->target, false);
	worker->delayed_percent = 0;
	worker->fails_all = false;
	worker->stalled = false;
	worker->unhealthy = false;
	g_free(fault);
}

/* Makes the log slow, and workers execute orders late. */
static void inject_slowness(struct cell_sim *sim)
{
	uint64_t for_us = (1000 + cell_sim_random(sim, 4000)) * MS;
	uint32_t target = cell_sim_random(sim, sim->options.workers);

	sim->log.latency_us = (100 + cell_sim_random(sim, 150)) * MS;
	cell_sim_schedule(sim, for_us, restore_answers, fault_new(sim, 0));
	sim->workers[target].delayed_percent = 30;
	cell_sim_schedule(sim, for_us, restore_worker, fault_new(sim, target));
}

/* Partitions up to three workers from all nodes or from one, or makes them
 * misbehave. */
static void inject_worker_faults(struct cell_sim *sim)
{
	uint32_t count = 1 + cell_sim_random(sim, 3);
	uint32_t kind = cell_sim_random(sim, 6);
	uint64_t for_us = (1000 + cell_sim_random(sim, 7000)) * MS;

	for (uint32_t i = 0; i < count; i++) {
		uint32_t target = cell_sim_random(sim, sim->options.workers);
		struct cell_fake_worker *worker = &sim->workers[target];

		if (kind == 0)
			cell_sim_worker_partition(sim, target, true);
		else if (kind == 1)
			worker->partitioned[cell_sim_random(
				sim, sim->options.nodes)] = true;
		else if (kind == 2)
			worker->delayed_percent = 40;
		else if (kind == 3)
			worker->fails_all = true;
		else if (kind == 4)
			worker->stalled = true;
		else
			worker->unhealthy = true;
		cell_sim_schedule(sim, for_us, restore_worker,
				  fault_new(sim, target));
	}
}

/* Replaces a removed worker, with the same id. */
static void replace_worker(void *data)
{
	struct fault *fault = data;

	fault->sim->workers[fault->target].reported.draining = false;
	cell_sim_worker_start(fault->sim, fault->target);
	g_free(fault);
}

/* Removes a draining worker. */
static void remove_worker(void *data)
{
	struct fault *fault = data;
	struct cell_sim *sim = fault->sim;

	cell_sim_worker_partition(sim, fault->target, false);
	cell_sim_worker_kill(sim, fault->target);
	cell_sim_schedule(sim, 3 * S, replace_worker, fault);
}

/*
 * Removes a worker: it reports that it drains, runs on for 2 to 10 s, and ends.
 * Half of them are partitioned meanwhile, so that their entries expire while
 * they run.
 */
static void inject_worker_drain(struct cell_sim *sim)
{
	uint32_t target = cell_sim_random(sim, sim->options.workers);
	struct cell_fake_worker *worker = &sim->workers[target];

	if (!worker->up || worker->reported.draining)
		return;
	cell_sim_worker_drain(sim, target, 0);
	if (cell_sim_random(sim, 2))
		cell_sim_worker_partition(sim, target, true);
	cell_sim_schedule(sim, (2000 + cell_sim_random(sim, 8000)) * MS,
			  remove_worker, fault_new(sim, target));
}

/* Replaces the valid key. */
static void inject_key_change(struct cell_sim *sim)
{
	static const char *const keys[KEY_COUNT] = { "k1", "k2", "k3" };

	cell_sim_publish(sim, keys[cell_sim_random(sim, KEY_COUNT)]);
}

/* Removes the cordon of a failure domain. */
static void uncordon(void *data)
{
	struct fault *fault = data;

	cell_sim_cordon(fault->sim,
			fault->sim->workers[fault->target].reported.domain,
			false);
	g_free(fault);
}

/* Cordons a failure domain; several may be cordoned at a time. */
static void inject_cordon(struct cell_sim *sim)
{
	uint32_t target = cell_sim_random(sim, sim->options.workers);

	cell_sim_cordon(sim, sim->workers[target].reported.domain, true);
	cell_sim_schedule(sim, (500 + cell_sim_random(sim, 12000)) * MS,
			  uncordon, fault_new(sim, target));
}

/* Restores reads of a topic. */
static void restore_reads(void *data)
{
	struct fault *fault = data;

	fault->sim->log.reads_unreachable[fault->target] = false;
	g_free(fault);
}

/* Lets reads of one topic get no answer. */
static void inject_read_loss(struct cell_sim *sim)
{
	uint32_t topic = cell_sim_random(sim, RJ_CELL_TOPIC_COUNT);

	sim->log.reads_unreachable[topic] = true;
	cell_sim_schedule(sim, (1000 + cell_sim_random(sim, 8000)) * MS,
			  restore_reads, fault_new(sim, topic));
}

/* Returns a worker after it has left or was lost: soon, or not before the
 * recovery is over. */
static void return_later(struct cell_sim *sim, uint32_t target)
{
	uint64_t away_ms = cell_sim_random(sim, 3) ?
				   500 + cell_sim_random(sim, 4500) :
				   AWAY_MAX_MS;

	cell_sim_schedule(sim, away_ms * MS, replace_worker,
			  fault_new(sim, target));
}

/* Ends a worker that has announced it; most deregister. */
static void leave(void *data)
{
	struct fault *fault = data;
	struct cell_sim *sim = fault->sim;
	const struct cell_fake_worker *worker = &sim->workers[fault->target];

	if (worker->up && worker->reported.draining) {
		if (cell_sim_random(sim, 4))
			cell_sim_worker_deregister(sim, fault->target);
		else
			cell_sim_worker_kill(sim, fault->target);
		return_later(sim, fault->target);
	}
	g_free(fault);
}

/* Lets up to eight workers announce that they leave. */
static void inject_departures(struct cell_sim *sim)
{
	uint32_t count = 1 + cell_sim_random(sim, DEPARTURES_MAX);
	uint32_t left_ms = 1000 + cell_sim_random(sim, 4000);

	for (uint32_t i = 0; i < count; i++) {
		uint32_t target = cell_sim_random(sim, sim->options.workers);

		if (!sim->workers[target].up ||
		    sim->workers[target].reported.draining)
			continue;
		cell_sim_worker_drain(sim, target, left_ms);
		cell_sim_schedule(sim,
				  (left_ms + cell_sim_random(sim, 1500)) * MS,
				  leave, fault_new(sim, target));
	}
}

/* Ends up to eight workers without notice. */
static void inject_vanished(struct cell_sim *sim)
{
	uint32_t count = 1 + cell_sim_random(sim, DEPARTURES_MAX);

	for (uint32_t i = 0; i < count; i++) {
		uint32_t target = cell_sim_random(sim, sim->options.workers);

		if (!sim->workers[target].up)
			continue;
		cell_sim_worker_kill(sim, target);
		return_later(sim, target);
	}
}

/* Kills all nodes and several workers at once. */
static void inject_power_loss(struct cell_sim *sim)
{
	inject_all_nodes_kill(sim);
	inject_vanished(sim);
}

static void (*const departure_faults[])(struct cell_sim *) = {
	inject_departures, inject_departures,	   inject_departures,
	inject_vanished,   inject_vanished,	   inject_power_loss,
	inject_node_kill,  inject_node_kill,	   inject_all_nodes_kill,
	inject_node_pause, inject_log_outage,	   inject_worker_faults,
	inject_slowness,   inject_worker_restarts, inject_worker_drain,
};

static void (*const all_faults[])(struct cell_sim *) = {
	inject_node_kill,     inject_node_kill,	    inject_all_nodes_kill,
	inject_node_pause,    inject_node_pause,    inject_log_outage,
	inject_log_outage,    inject_lost_answers,  inject_log_truncation,
	inject_worker_crash,  inject_worker_crash,  inject_worker_faults,
	inject_worker_faults, inject_worker_faults, inject_key_change,
	inject_worker_drain,  inject_worker_drain,
};

static void (*const restart_faults[])(struct cell_sim *) = {
	inject_worker_restarts, inject_worker_restarts, inject_worker_restarts,
	inject_worker_restarts, inject_slowness,	inject_slowness,
	inject_node_kill,	inject_node_pause,	inject_lost_answers,
	inject_worker_faults,
};

/* Creates a random job of short tasks, some of which need a kind of worker. */
static struct cell_client_job *random_short_job(struct cell_sim *sim)
{
	struct rj_cell_step step =
		cell_sim_plain_step(1 + cell_sim_random(sim, 12), 1, 100);

	step.per_worker_max = cell_sim_random(sim, 2);
	step.checkpoints = cell_sim_random(sim, 2);
	if (cell_sim_random(sim, 3) == 0)
		g_strlcpy(step.label, kinds[cell_sim_random(sim, KINDS)],
			  sizeof(step.label));
	return cell_sim_job_new(sim,
				cell_sim_random(sim, 2) ? "urgent" : "bulk",
				cell_sim_random(sim, 2) ? "a" : "b", &step, 1,
				(40 + cell_sim_random(sim, 200)) * MS);
}

/* Creates a random job. */
static struct cell_client_job *random_job(struct cell_sim *sim)
{
	static const char *const without_advice[] = { "urgent", "normal",
						      "bulk" };
	static const char *const with_advice[] = { "urgent", "advised",
						   "bulk" };
	const char *const *queues = sim->options.seed % ADVISED_SEED_MOD == 1 ?
					    with_advice :
					    without_advice;
	uint32_t queue = cell_sim_random(sim, 3);
	uint32_t first = 0;
	struct rj_cell_step steps[2];
	uint32_t count = 1 + (cell_sim_random(sim, 4) == 0);
	struct cell_client_job *job;

	for (uint32_t i = 0; i < count; i++) {
		struct rj_cell_step *step = &steps[i];

		*step = cell_sim_plain_step(1 + cell_sim_random(sim, 6),
					    1U << cell_sim_random(sim, 4),
					    500 + cell_sim_random(sim, 4000));
		step->gang = cell_sim_random(sim, 2);
		step->one_rack = cell_sim_random(sim, 2);
		step->checkpoints = cell_sim_random(sim, 2);
		if (!step->gang && !cell_sim_random(sim, 4))
			step->per_worker_max = 1;
		step->each.memory_mb = 1000 + cell_sim_random(sim, 20000);
	}
	if (count > 1) {
		steps[1].after = &first;
		steps[1].after_count = 1;
	}
	job = cell_sim_job_new(sim, queues[queue],
			       cell_sim_random(sim, 2) ? "a" : "b", steps,
			       count, (500 + cell_sim_random(sim, 4000)) * MS);
	if (cell_sim_random(sim, 10) == 0)
		job->failing_runs = 1 + cell_sim_random(sim, 4);
	return job;
}

/* Creates a random job, some of which are lasting or repeated. */
static struct cell_client_job *random_lasting_job(struct cell_sim *sim)
{
	struct rj_cell_step step = cell_sim_plain_step(
		1 + cell_sim_random(sim, 3), 1 + cell_sim_random(sim, 2), 1000);
	struct cell_client_job *job;

	if (cell_sim_random(sim, 4))
		return random_job(sim);
	step.perpetual = cell_sim_random(sim, 2);
	step.checkpoints = !step.perpetual && cell_sim_random(sim, 2);
	job = cell_sim_job_new(sim, "normal",
			       cell_sim_random(sim, 2) ? "a" : "b", &step, 1,
			       (500 + cell_sim_random(sim, 3000)) * MS);
	job->failing_runs = cell_sim_random(sim, 3);
	if (!step.perpetual) {
		job->spec->repeats = 1 + cell_sim_random(sim, 4);
		job->spec->first_run_ms =
			cell_sim_wall_ms(sim) + cell_sim_random(sim, 8000);
		job->spec->interval_ms = 1000 + cell_sim_random(sim, 9000);
	}
	return job;
}

/* What a profile injects. */
struct profile {
	void (*const *faults)(struct cell_sim *);
	uint32_t fault_count;
	uint32_t faults_one_in; /* ticks */
	struct cell_client_job *(*random_job)(struct cell_sim *sim);
	uint32_t jobs_one_in; /* ticks */
	uint64_t answer_spread_us;
	bool delays_polls;
	uint32_t bursts; /* 0: faults all the time */
};

static const struct profile profiles[CELL_FAULTS_PROFILE_COUNT] = {
	[CELL_FAULTS_ALL] = { all_faults, G_N_ELEMENTS(all_faults), 14,
			      random_job, 8, 0, false, 0 },
	[CELL_FAULTS_RESTARTS] = { restart_faults, G_N_ELEMENTS(restart_faults),
				   5, random_short_job, 1, 40 * MS, true, 0 },
	[CELL_FAULTS_DEPARTURES] = { departure_faults,
				     G_N_ELEMENTS(departure_faults), 5,
				     random_lasting_job, 9, 0, false, 3 },
};

/* Acts for the clients in one tick: new jobs, repeated submissions, queries and
 * cancellations; new jobs and cancellations only while faults are injected. */
static void advance_clients(struct cell_sim *sim, const struct profile *profile,
			    bool inject)
{
	if (inject && cell_sim_random(sim, profile->jobs_one_in) == 0)
		cell_sim_submit(sim, cell_sim_random(sim, sim->options.nodes),
				profile->random_job(sim));
	for (guint i = 0; i < sim->job_list->len; i++) {
		struct cell_client_job *job = sim->job_list->pdata[i];
		uint32_t node = cell_sim_random(sim, sim->options.nodes);

		if (job->ended_us)
			continue;
		if (!job->accepted && job->submissions < 5 &&
		    sim->now_us > job->sent_us + job->submissions * 3200 * MS)
			cell_sim_submit(sim, node, job);
		else if (job->accepted && cell_sim_random(sim, 4) == 0)
			cell_sim_query(sim, node, job);
		if (inject && job->accepted && cell_sim_random(sim, 300) == 0)
			cell_sim_cancel(sim, node, job);
	}
}

/* Sets the options in which the profile of departures differs. */
static void set_departure_options(struct cell_sim_options *options)
{
	options->nodes = 8;
	options->workers = 24;
	options->guaranteed = 64;
	options->lease_max_ms = options->seed % 2 ? 10000 : 6000;
	options->features.snapshot_ms = 1000;
	options->features.worker_history = options->seed % 8 >= 4;
	options->features.account_shares = options->seed % 8 >= 4;
}

/* Whether faults are injected `after_us` after the first of them. */
static bool is_burst(const struct profile *profile, uint64_t after_us)
{
	return !profile->bursts || after_us / S % BURST_INTERVAL_S < BURST_S;
}

/* Cancels the jobs that would run on. */
static void cancel_perpetual(struct cell_sim *sim)
{
	for (guint i = 0; i < sim->job_list->len; i++) {
		struct cell_client_job *job = sim->job_list->pdata[i];

		if (job->spec->steps[0].perpetual && job->accepted &&
		    !job->cancelled)
			cell_sim_cancel(sim, 0, job);
	}
}

/*
 * Makes one simulated run; `trace` prints its log events.
 */
void cell_faults_run(enum cell_fault_profile kind, uint64_t seed, bool trace,
		     struct cell_fault_result *result)
{
	const struct profile *profile = &profiles[kind];
	static const struct cell_sim_options defaults = {
		.nodes = 4,
		.workers = 12,
		.rack_workers = 4,
		.capacity = { 64000, 64000, 8 },
		.guaranteed = 32,
	};
	struct cell_sim *sim = g_new0(struct cell_sim, 1);
	struct cell_sim_options options = defaults;
	struct cell_standing standing;
	uint32_t faults_s =
		profile->bursts ? profile->bursts * BURST_INTERVAL_S : FAULTS_S;
	bool cordons;

	options.seed = seed;
	if (kind == CELL_FAULTS_DEPARTURES)
		set_departure_options(&options);
	options.answer_spread_us = profile->answer_spread_us;
	options.delays_polls = profile->delays_polls;
	options.enforces_capacity = seed % 3 == 0;
	cordons = seed % CORDON_SEED_MOD == 1;
	options.gang_break_us = cordons ? GANG_BREAK_US : 0;
	memset(result, 0, sizeof(*result));
	if (trace)
		cell_sim_trace(sim);
	cell_sim_init(sim, &options);
	for (uint32_t i = 0; kind == CELL_FAULTS_RESTARTS && i < KINDS; i++)
		g_strlcpy(sim->workers[i].reported.kind, kinds[i],
			  RJ_NAME_BYTES);
	cell_standing_init(&standing);
	cell_sim_run(sim, 3 * S);
	for (uint32_t i = 0; i < faults_s * S / TICK_US; i++) {
		bool burst = is_burst(profile, i * TICK_US);

		if (burst &&
		    cell_sim_random(sim, profile->faults_one_in) == 0) {
			profile->faults[cell_sim_random(
				sim, profile->fault_count)](sim);
			result->faults++;
		}
		if (burst && cordons && cell_sim_random(sim, 40) == 0)
			inject_cordon(sim);
		if (burst && cordons && cell_sim_random(sim, 80) == 0)
			inject_read_loss(sim);
		advance_clients(sim, profile, true);
		cell_sim_run(sim, TICK_US);
		if (profile->bursts)
			cell_standing_observe(&standing, sim);
	}
	for (uint32_t i = 0; i < RECOVERY_S * S / TICK_US; i++) {
		if (profile->bursts)
			cancel_perpetual(sim);
		advance_clients(sim, profile, false);
		cell_sim_run(sim, TICK_US);
	}
	cell_sim_check_final(sim);
	result->jobs = sim->job_list->len;
	for (guint i = 0; i < sim->job_list->len; i++) {
		const struct cell_client_job *job = sim->job_list->pdata[i];

		result->accepted += job->accepted;
		result->completed +=
			job->has_state && job->state == RJ_CELL_JOB_COMPLETED;
	}
	result->starts = sim->starts;
	result->violations = sim->violations->len;
	if (sim->violations->len)
		result->first_violation = g_strdup(sim->violations->pdata[0]);
	result->longest_us = standing.longest_us;
	memcpy(result->longest, standing.longest, sizeof(result->longest));
	cell_standing_finish(&standing);
	cell_sim_finish(sim);
	g_free(sim);
}
