/*
 * Test fixture with a simulated site: it has an owner when the test begins, and
 * the teardown fails the test if a rule was violated.
 *
 * Life cycle: `cell_fixture_setup` with the site's options as test data, and
 * `cell_fixture_teardown`, both called by the test framework.
 */
#ifndef TEST_SUPPORT_CELL_FIXTURE_H
#define TEST_SUPPORT_CELL_FIXTURE_H

#include "support/cell_sim.h"

struct cell_fixture {
	struct cell_sim sim;
};

void cell_fixture_setup(struct cell_fixture *f, const void *options);
void cell_fixture_teardown(struct cell_fixture *f, const void *options);

/* Adds a test; `options` points to a struct cell_sim_options. */
#define CELL_TEST(path, options, function)                                 \
	g_test_add(path, struct cell_fixture, options, cell_fixture_setup, \
		   function, cell_fixture_teardown)

#endif
