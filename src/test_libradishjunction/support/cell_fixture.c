#include "support/cell_fixture.h"

/* Until a site has an owner that knows its workers. */
#define SETTLE_US (3 * S)

/*
 * Begin a site, and let it settle.
 */
void cell_fixture_setup(struct cell_fixture *f, const void *plan)
{
	cell_sim_init(&f->world, plan);
	cell_sim_run(&f->world, SETTLE_US);
	g_assert_cmpint(cell_sim_owner(&f->world), >=, 0);
}

/*
 * Print what broke a rule, if anything did, and end the site.
 */
void cell_fixture_teardown(struct cell_fixture *f, const void *plan)
{
	for (guint i = 0; i < f->world.violations->len; i++)
		g_test_message("%s", (char *)f->world.violations->pdata[i]);
	g_assert_cmpuint(f->world.violations->len, ==, 0);
	cell_sim_finish(&f->world);
}
