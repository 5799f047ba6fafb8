/*
 * The service rate and admission by it: unit tests of the averages and of the
 * decision, and replays of loads on a simulated site.
 */
#include <string.h>

#include "private/cell_service_rate.h"
#include "support/cell_fixture.h"
#include "support/cell_load.h"

/* 24 workers as in production in three racks; three nodes. */
#define SITE                                                     \
	.seed = 5, .nodes = 3, .workers = 24, .rack_workers = 8, \
	.capacity = { 32000, 64000, 8 }, .guaranteed = 64
static const struct cell_sim_options site = {
	SITE, .features = { .admission_forecast = true }
};

/* The three kinds of work. */
#define URGENT_STEP step_of(5, 2, 2, 2500, true)
#define NORMAL_STEP step_of(13, 1, 13, 6800, true)
#define BATCH_STEP step_of(39, 1, 1, 6100, false)

static struct rj_cell_step step_of(uint32_t tasks, uint32_t accelerators,
				   uint32_t cores, uint32_t estimate_ms,
				   bool gang)
{
	struct rj_cell_step step =
		cell_sim_plain_step(tasks, accelerators, estimate_ms);

	step.each.cpu_milli = cores * 1000;
	step.gang = gang;
	return step;
}

/* What became of the jobs of a queue. */
struct tally {
	uint32_t sent;
	uint32_t rejected;
	uint32_t accepted;
	uint32_t useless; /* accepted, not completed while of use */
};

static struct tally tally_of(const struct cell_sim *sim, const char *queue)
{
	struct tally tally = { 0 };

	for (guint i = 0; i < sim->job_list->len; i++) {
		const struct cell_client_job *job = sim->job_list->pdata[i];
		const struct rj_cell_queue *terms = rj_cell_config_queue(
			sim->nodes[0].node.config, job->spec->queue);
		uint64_t late_us =
			job->sent_us +
			RJ_CELL_LATE_FACTOR *
				(job->duration_us * terms->stretch_milli /
					 1000 +
				 terms->latency_ms * MS);

		if (strcmp(job->spec->queue, queue) != 0)
			continue;
		tally.sent++;
		tally.rejected += job->refusals > 0;
		tally.accepted += job->accepted;
		tally.useless +=
			job->accepted && (job->state != RJ_CELL_JOB_COMPLETED ||
					  job->ended_us > late_us);
	}
	g_test_message("%s: %u sent, %u rejected, %u accepted, %u useless",
		       queue, tally.sent, tally.rejected, tally.accepted,
		       tally.useless);
	return tally;
}

static const struct rj_cell_owner *owner_of(const struct cell_sim *sim)
{
	return &sim->nodes[cell_sim_owner(sim)].node.owner;
}

/* Runs three times the load that the site can carry. */
static void run_overload(struct cell_sim *sim, uint64_t for_us,
			 void (*check)(struct cell_sim *sim))
{
	const struct cell_load_stream streams[] = {
		{ "urgent", "a", URGENT_STEP, 2500 * MS, 700 * MS, 0, 0 },
		{ "normal", "a", NORMAL_STEP, 6800 * MS, 700 * MS, 0, 0 },
		{ "bulk", "b", BATCH_STEP, 6100 * MS, 700 * MS, 0, 0 },
	};

	cell_load_run_streams(sim, streams, G_N_ELEMENTS(streams), for_us,
			      check);
}

/* Checks that under 5 % of the accepted jobs of a queue were not served. */
static void assert_served(const struct cell_sim *sim, const char *queue)
{
	struct tally tally = tally_of(sim, queue);

	g_assert_cmpuint(tally.accepted, >, 0);
	g_assert_cmpuint(tally.useless * 20, <, tally.accepted);
}

/*
 * Load: three times what the site can run, of all three kinds.
 * Guards against jobs that are accepted and served too late, and against a
 * decision that changes at each heartbeat, of which there are 450.
 */
static void test_overload(struct cell_fixture *f, const void *data)
{
	const struct rj_cell_service_rate *rate;

	run_overload(&f->sim, 180 * S, NULL);
	rate = &owner_of(&f->sim)->service_rate;
	for (uint32_t i = 0; i < rate->decision_count; i++)
		g_assert_cmpuint(rate->decisions[i].changes, <, 450 / 5);
	cell_load_run(&f->sim, 80 * S);
	g_assert_cmpuint(tally_of(&f->sim, "urgent").rejected, ==, 0);
	assert_served(&f->sim, "urgent");
	assert_served(&f->sim, "normal");
	assert_served(&f->sim, "bulk");
	g_assert_cmpuint(tally_of(&f->sim, "normal").accepted, >, 60);
	g_assert_cmpuint(tally_of(&f->sim, "bulk").accepted, >, 30);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	CELL_TEST("/cell_service_rate/overload", &site, test_overload);
	return g_test_run();
}
