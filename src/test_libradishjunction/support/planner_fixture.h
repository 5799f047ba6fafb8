/*
 * Test fixture with a topology planner, two racks of four workers with 8
 * accelerators each, and three accounts, two of them with a guarantee.
 *
 * Life cycle: `planner_setup` (or `planner_prepare` for a planner without
 * workers), submissions and passes, `planner_teardown`.
 */
#ifndef SUPPORT_PLANNER_FIXTURE_H
#define SUPPORT_PLANNER_FIXTURE_H

#include "radishjunction/planner_topology.h"

#define RACKS 2
#define RACK_WORKERS 4
#define WORKERS (RACKS * RACK_WORKERS)
#define LIMIT_MS 2000
#define S RJ_US_PER_S

struct planner_fixture {
	struct rj_planner_topology topology;
	struct rj_planner *planner;
	struct rj_decisions decisions;
	struct rj_domain domain;
	struct rj_account accounts[3];
	struct rj_guarantee guarantees[3];
	struct rj_config config;
	void *mem;
};

void planner_configure(struct planner_fixture *f);
void planner_prepare(struct planner_fixture *f);
void planner_add_worker(struct planner_fixture *f, uint32_t id, uint32_t rack,
			const char *name);
void planner_configure_classes(struct planner_fixture *f,
			       struct rj_job_class *classes, uint32_t count);
void planner_setup(struct planner_fixture *f, const void *data);
void planner_teardown(struct planner_fixture *f, const void *data);
struct rj_plan_job planner_job_of(uint64_t id, char account, uint32_t tasks,
				  uint32_t accelerators);
enum rj_reason planner_submit(struct planner_fixture *f, struct rj_plan_job job,
			      uint64_t now_us);
void planner_submit_many(struct planner_fixture *f, struct rj_plan_job job,
			 uint32_t count);
void planner_pass(struct planner_fixture *f, uint64_t now_us);
uint32_t planner_count_of(const struct planner_fixture *f,
			  enum rj_decision_kind kind);
const struct rj_decision *planner_decision_on(const struct planner_fixture *f,
					      uint64_t job_id);
void planner_ended(struct planner_fixture *f, uint64_t job_id, uint64_t ran_us,
		   uint64_t now_us);
void planner_apply_reclaims(struct planner_fixture *f, uint64_t except,
			    uint64_t now_us);
bool planner_is_in_one_rack(const struct rj_decision *start);

/* Adds a test that runs on a fresh fixture. */
#define PLANNER_TEST(name, function)                                        \
	g_test_add("/planner_topology/" name, struct planner_fixture, NULL, \
		   planner_setup, function, planner_teardown)

#endif
