#include "support/cell_fixture.h"

/* Until a site has an owner that knows its workers. */
#define STARTUP_US (3 * S)

/*
 * Begin a site, and let it settle.
 */
void cell_fixture_setup(struct cell_fixture *f, const void *options)
{
	cell_sim_init(&f->sim, options);
	cell_sim_run(&f->sim, STARTUP_US);
	g_assert_cmpint(cell_sim_owner(&f->sim), >=, 0);
}

/*
 * Print what broke a rule, if anything did, and end the site.
 */
void cell_fixture_teardown(struct cell_fixture *f, const void *options)
{
	for (guint i = 0; i < f->sim.violations->len; i++)
		g_test_message("%s", (char *)f->sim.violations->pdata[i]);
	g_assert_cmpuint(f->sim.violations->len, ==, 0);
	cell_sim_finish(&f->sim);
}
