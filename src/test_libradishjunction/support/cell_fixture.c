#include "support/cell_fixture.h"

/* Time until a site has an owner that has contacted its workers. */
#define STARTUP_US (3 * S)

/*
 * Starts a site and runs it until it has an owner.
 */
void cell_fixture_setup(struct cell_fixture *f, const void *options)
{
	cell_sim_init(&f->sim, options);
	cell_sim_run(&f->sim, STARTUP_US);
	g_assert_cmpint(cell_sim_owner(&f->sim), >=, 0);
}

/*
 * Prints the violations, fails the test if there are any, and frees the site.
 */
void cell_fixture_teardown(struct cell_fixture *f, const void *options)
{
	for (guint i = 0; i < f->sim.violations->len; i++)
		g_test_message("%s", (char *)f->sim.violations->pdata[i]);
	g_assert_cmpuint(f->sim.violations->len, ==, 0);
	cell_sim_finish(&f->sim);
}
