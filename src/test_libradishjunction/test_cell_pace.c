/*
 * Paces of workers: what is learnt from gangs, and urgent gangs on a site of
 * unequal workers.
 */
#include <math.h>

#include "private/cell_pace.h"
#include "support/cell_fixture.h"
#include "support/cell_load.h"

/* A worker that takes this much longer than others. */
#define SLOW_RATIO 1.6
#define WORK_US (2.0 * S)

/* Learns from one gang with a member on each of some workers. */
static void learn_gang(struct rj_cell_pace *paces, const double *ratios,
		       uint32_t count, double estimate_us,
		       struct rj_cell_estimate_error *error)
{
	struct rj_cell_pace_sample *samples =
		g_new0(struct rj_cell_pace_sample, count);

	for (uint32_t i = 0; i < count; i++) {
		samples[i].pace = &paces[i];
		samples[i].log_time = log(WORK_US * ratios[i]);
	}
	rj_cell_pace_learn(samples, count, log(WORK_US * SLOW_RATIO),
			   log(estimate_us), error);
	g_free(samples);
}

/* Learns from gangs whose every third member is on a slow worker, and checks
 * which workers count as slow. */
static void assert_slow_third_found(uint32_t workers)
{
	struct rj_cell_pace *paces = g_new0(struct rj_cell_pace, workers);
	double *ratios = g_new0(double, workers);
	struct rj_cell_estimate_error error;

	rj_cell_estimate_error_init(&error);
	for (uint32_t i = 0; i < workers; i++) {
		rj_cell_pace_init(&paces[i]);
		ratios[i] = i % 3 ? 1.0 : SLOW_RATIO;
	}
	for (uint32_t gang = 0; gang < 4; gang++)
		for (uint32_t first = 0; first < workers; first += 6)
			learn_gang(&paces[first], &ratios[first], 6,
				   (gang + first / 6) % 2 ? WORK_US * 2 :
							    WORK_US / 2,
				   &error);
	for (uint32_t i = 0; i < workers; i++)
		g_assert_cmpint(rj_cell_pace_is_slow(&paces[i]), ==, !(i % 3));
	g_free(paces);
	g_free(ratios);
}

/* Guards against estimates that are off being taken for slow workers. */
static void test_members_of_a_gang_show_the_slow_ones(void)
{
	assert_slow_third_found(12);
	assert_slow_third_found(600);
}

/* Guards against workers that count as typical although whole gangs on them
 * take longer than estimated. */
static void test_reliable_estimates_show_a_slow_worker(void)
{
	struct rj_cell_pace typical;
	struct rj_cell_pace slow;
	struct rj_cell_estimate_error error;
	const double typical_ratio = 1.0;
	const double slow_ratio = SLOW_RATIO;

	rj_cell_pace_init(&typical);
	rj_cell_pace_init(&slow);
	rj_cell_estimate_error_init(&error);
	for (uint32_t i = 0; i < 20; i++)
		learn_gang(&typical, &typical_ratio, 1,
			   i % 2 ? WORK_US * 1.05 : WORK_US / 1.05, &error);
	for (uint32_t i = 0; i < 3; i++)
		learn_gang(&slow, &slow_ratio, 1, WORK_US, &error);
	g_assert_true(rj_cell_pace_is_slow(&slow));
	g_assert_false(rj_cell_pace_is_slow(&typical));
}

/* Guards against a worker that gets no urgent work because of one false
 * progress report, and against one that attracts it. */
static void test_one_false_report_changes_little(void)
{
	struct rj_cell_pace paces[4];
	const double honest[] = { 1.0, 1.0, 1.0, 1.0 };
	const double false_reports[] = { 3.0, 0.3, 40.0, 0.001 };
	struct rj_cell_estimate_error error;

	rj_cell_estimate_error_init(&error);
	for (uint32_t i = 0; i < G_N_ELEMENTS(paces); i++)
		rj_cell_pace_init(&paces[i]);
	for (uint32_t i = 0; i < 6; i++)
		learn_gang(paces, honest, 4, WORK_US, &error);
	for (uint32_t i = 0; i < G_N_ELEMENTS(false_reports); i++) {
		struct rj_cell_pace after[4];
		const double ratios[] = { false_reports[i], 1.0, 1.0, 1.0 };

		for (uint32_t j = 0; j < G_N_ELEMENTS(paces); j++)
			after[j] = paces[j];
		learn_gang(after, ratios, 4, WORK_US, &error);
		g_assert_false(rj_cell_pace_is_slow(&after[0]));
		g_assert_cmpint(abs((int)rj_cell_pace_rank(&after[0]) -
				    (int)rj_cell_pace_rank(&paces[0])),
				<=, 2);
	}
}

/* Guards against an unknown worker that attracts urgent work by its first
 * report, and against one that gets none because of an impossible report. */
static void test_first_report_is_checked(void)
{
	/* The gang's duration is that of the longest plausible member. */
	const double ratios[] = { 3.0, 1.0, 0.4 };
	struct rj_cell_pace paces[3];
	struct rj_cell_pace unknown;
	struct rj_cell_estimate_error error;

	rj_cell_pace_init(&unknown);
	rj_cell_estimate_error_init(&error);
	for (uint32_t i = 0; i < G_N_ELEMENTS(paces); i++)
		rj_cell_pace_init(&paces[i]);
	learn_gang(paces, ratios, 3, WORK_US, &error);
	g_assert_cmpuint(rj_cell_pace_known_percent(&paces[0]), ==, 0);
	g_assert_cmpuint(rj_cell_pace_rank(&paces[2]), ==,
			 rj_cell_pace_rank(&unknown));
}

/* Guards against workers without history that are preferred or avoided. */
static void test_unknown_worker_counts_as_typical(void)
{
	struct rj_cell_pace pace;

	rj_cell_pace_init(&pace);
	g_assert_false(rj_cell_pace_is_slow(&pace));
	g_assert_cmpuint(rj_cell_pace_percent(&pace), ==, 100);
	g_assert_cmpuint(rj_cell_pace_known_percent(&pace), ==, 0);
}

/* Utility that urgent gangs receive at least, in percent. */
#define UTILITY_MIN_PERCENT 80

static const struct cell_sim_options small_site = {
	CELL_SITE(11, 3, 48, 12, 64),
};

static const struct cell_sim_options large_site = {
	CELL_SITE(11, 3, 192, 12, 64),
};

/*
 * Load: urgent gangs on a site where a third of the workers is 1.6 times as
 * slow and a third 1.6 times as fast.
 * Guards against gangs that are late because one member is on a slow worker.
 */
static void test_urgent_gangs_avoid_slow_workers(struct cell_fixture *f,
						 const void *data)
{
	static const double speeds[] = { 1.0, 1 / SLOW_RATIO, SLOW_RATIO };
	const struct cell_sim_options *options = data;
	struct cell_load_stream streams[] = {
		{ "urgent", "a", cell_sim_plain_step(5, 2, 2100), 2100 * MS, 0,
		  0, 0 },
		{ "normal", "a", cell_sim_plain_step(8, 2, 6000), 6 * S, 0, 0,
		  0 },
	};

	streams[0].step.gang = true;
	streams[1].step.gang = true;
	streams[0].every_us = 24 * S / options->workers;
	streams[1].every_us = 144 * S / options->workers;
	for (uint32_t i = 0; i < options->workers; i++)
		f->sim.workers[i].speed = speeds[i % G_N_ELEMENTS(speeds)];
	cell_load_run_streams(&f->sim, streams, G_N_ELEMENTS(streams), 60 * S,
			      NULL);
	g_assert_cmpuint(cell_load_utility_percent(&f->sim, "urgent",
						   f->sim.now_us - 10 * S),
			 >=, UTILITY_MIN_PERCENT);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cell_pace/gang",
			test_members_of_a_gang_show_the_slow_ones);
	g_test_add_func("/cell_pace/estimates",
			test_reliable_estimates_show_a_slow_worker);
	g_test_add_func("/cell_pace/false_report",
			test_one_false_report_changes_little);
	g_test_add_func("/cell_pace/first_report",
			test_first_report_is_checked);
	g_test_add_func("/cell_pace/unknown",
			test_unknown_worker_counts_as_typical);
	CELL_TEST("/cell_pace/urgent_small", &small_site,
		  test_urgent_gangs_avoid_slow_workers);
	CELL_TEST("/cell_pace/urgent_large", &large_site,
		  test_urgent_gangs_avoid_slow_workers);
	return g_test_run();
}
