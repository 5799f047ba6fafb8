/* Tests which clients give way when memory or connections are exhausted. */
#include <glib.h>
#include <string.h>

#include "private/client_budget.h"
#include "radishjunction/types.h"

#define KB 1024
#define BODY_BYTES (256 * KB)
#define CLIENTS_MAX 200
#define SECOND RJ_US_PER_S

struct fixture {
	struct rj_client_budget budget;
	struct rj_client_listener listener;
	struct rj_client clients[CLIENTS_MAX];
	uint32_t count;
	uint64_t now_us;
};

static void freed(struct rj_client *client)
{
}

/* A budget for `bodies` bodies, beside the connections. */
static void set_up(struct fixture *f, uint32_t bodies, uint32_t connections)
{
	memset(f, 0, sizeof(*f));
	f->now_us = 100 * SECOND;
	rj_client_budget_init(&f->budget, 0, 100);
	rj_client_listener_init(&f->listener, &f->budget, "test", connections);
	f->budget.memory_max_bytes =
		f->budget.memory_bytes + (uint64_t)bodies * BODY_BYTES;
}

static struct rj_client *open_client(struct fixture *f)
{
	struct rj_client *client = &f->clients[f->count++];

	g_assert_cmpint(
		rj_client_open(client, &f->listener, -1, freed, f->now_us), ==,
		0);
	return client;
}

/* Receives a part of a body. Returns whether it may be kept. */
static bool receive(struct fixture *f, struct rj_client *client, uint64_t bytes)
{
	rj_client_received(client, bytes, f->now_us);
	return !rj_client_charge(client, bytes);
}

static struct rj_client *begin_body(struct fixture *f, uint64_t bytes)
{
	struct rj_client *client = open_client(f);

	rj_client_begin(client, false, f->now_us);
	g_assert_true(receive(f, client, bytes));
	return client;
}

static bool gave_way(const struct rj_client *client)
{
	return client->state == RJ_CLIENT_GIVING_WAY;
}

/* A body that stopped short takes the memory of one that arrives. */
static void test_stopped_body_gives_way(void)
{
	struct fixture f;
	struct rj_client *stopped;
	struct rj_client *arriving;

	set_up(&f, 2, CLIENTS_MAX);
	stopped = begin_body(&f, BODY_BYTES);
	f.now_us += 20 * SECOND;
	arriving = begin_body(&f, 64 * KB);
	f.now_us += SECOND;
	begin_body(&f, BODY_BYTES);
	g_assert_true(gave_way(stopped));
	g_assert_false(gave_way(arriving));
}

/* A request that was received completely is ended without an answer. */
static void test_complete_request_stays(void)
{
	struct fixture f;
	struct rj_client *complete;
	struct rj_client *late;

	set_up(&f, 1, CLIENTS_MAX);
	complete = begin_body(&f, BODY_BYTES);
	rj_client_complete(complete, f.now_us);
	f.now_us += 60 * SECOND;
	late = open_client(&f);
	rj_client_begin(late, false, f.now_us);
	g_assert_false(receive(&f, late, KB));
	g_assert_cmpint(rj_client_budget_hold(&f.budget, 1), ==, -1);
	g_assert_false(gave_way(complete));
	rj_client_end(complete, f.now_us);
	g_assert_true(receive(&f, late, KB));
}

/* An ordinary request gives way to the large bodies of a crowd. */
static void test_small_request_gives_way_last(void)
{
	struct fixture f;
	struct rj_client *small;

	set_up(&f, 4, CLIENTS_MAX);
	small = begin_body(&f, 4 * KB);
	f.now_us += 30 * SECOND;
	for (int i = 0; i < 40; i++)
		begin_body(&f, BODY_BYTES - KB);
	g_assert_false(gave_way(small));
}

/* Idle connections of a crowd take the slot of a caller. */
static void test_unproven_connection_gives_way_first(void)
{
	struct fixture f;
	struct rj_client *caller;
	struct rj_client *idle;

	set_up(&f, 1, 2);
	caller = open_client(&f);
	rj_client_begin(caller, false, f.now_us);
	rj_client_complete(caller, f.now_us);
	rj_client_end(caller, f.now_us);
	f.now_us += 10 * SECOND;
	idle = open_client(&f);
	f.now_us += SECOND;
	open_client(&f);
	g_assert_true(gave_way(idle));
	g_assert_false(gave_way(caller));
}

/* A caller that waits is ended for a new one, though its connection shows no
 * end, or though another has ended. */
static void test_waiting_caller_gives_way_last(void)
{
	struct fixture f;
	struct rj_client *waits;
	struct rj_client *ended;
	struct rj_client *idle;

	set_up(&f, 1, 3);
	waits = open_client(&f);
	rj_client_complete(waits, f.now_us);
	ended = open_client(&f);
	rj_client_complete(ended, f.now_us);
	rj_client_set_may_be_gone(ended, true);
	idle = open_client(&f);
	rj_client_complete(open_client(&f), f.now_us);
	g_assert_true(gave_way(idle));
	g_assert_false(gave_way(ended));
	open_client(&f);
	g_assert_true(gave_way(ended));
	g_assert_false(gave_way(waits));
}

/*
 * A legal client is ended for its slow link: 256 KB at 2 Mbit/s, shared with 50
 * others, while a crowd of bodies that stop short takes all memory.
 */
static void test_slowest_legal_client_is_served(void)
{
	struct fixture f;
	struct rj_client *slow;
	uint64_t rate = 2000000 / 8 / 50;

	set_up(&f, 20, CLIENTS_MAX);
	slow = open_client(&f);
	rj_client_begin(slow, false, f.now_us);
	for (uint64_t got = 0; got + rate <= BODY_BYTES; got += rate) {
		f.now_us += SECOND;
		g_assert_true(receive(&f, slow, rate));
		if (f.count < CLIENTS_MAX)
			begin_body(&f, BODY_BYTES - 1);
	}
	rj_client_complete(slow, f.now_us);
	g_assert_cmpuint(f.budget.gave_way[RJ_CLIENT_REFUSAL_MEMORY], >, 0);
	g_assert_cmpint(slow->state, ==, RJ_CLIENT_COMPLETE);
}

/* A connection that the HTTP library polls without end keeps the process
 * busy. */
static void test_only_silent_chunked_bodies_end_a_stall(void)
{
	struct fixture f;
	struct rj_client *announced;
	struct rj_client *arriving;
	struct rj_client *silent;

	set_up(&f, 4, CLIENTS_MAX);
	announced = begin_body(&f, KB);
	arriving = open_client(&f);
	rj_client_begin(arriving, true, f.now_us);
	silent = open_client(&f);
	rj_client_begin(silent, true, f.now_us);
	f.now_us += SECOND;
	rj_client_received(arriving, 1, f.now_us);
	rj_client_budget_end_stall(&f.budget, &f.listener, f.now_us - 1,
				   f.now_us);
	rj_client_budget_end_stall(&f.budget, &f.listener, f.now_us - 1,
				   f.now_us);
	g_assert_true(gave_way(silent));
	g_assert_false(gave_way(announced));
	g_assert_false(gave_way(arriving));
	g_assert_cmpuint(f.budget.gave_way[RJ_CLIENT_REFUSAL_FRAMING], ==, 1);
}

/* A stop waits for a body that has stopped, or cuts off one that arrives. */
static void test_stop_waits_for_arriving_bodies(void)
{
	struct fixture f;
	struct rj_client *client;

	set_up(&f, 1, CLIENTS_MAX);
	client = begin_body(&f, 1);
	g_assert_cmpuint(rj_client_listener_stalled(&f.listener, f.now_us), ==,
			 0);
	f.now_us += 10 * SECOND;
	g_assert_cmpuint(rj_client_listener_stalled(&f.listener, f.now_us), ==,
			 1);
	g_assert_true(receive(&f, client, 8 * KB));
	g_assert_cmpuint(rj_client_listener_stalled(&f.listener, f.now_us), ==,
			 0);
	rj_client_complete(client, f.now_us);
	f.now_us += 10 * SECOND;
	g_assert_cmpuint(rj_client_listener_stalled(&f.listener, f.now_us), ==,
			 0);
}

/* Memory is charged twice, or is not returned. */
static void test_everything_is_returned(void)
{
	struct fixture f;
	uint64_t before;

	set_up(&f, 3, CLIENTS_MAX);
	before = f.budget.memory_bytes;
	for (int i = 0; i < CLIENTS_MAX; i++) {
		struct rj_client *client = begin_body(&f, BODY_BYTES / 2);

		if (i % 3 == 0)
			rj_client_charge_answer(client, 100);
		if (i % 3 == 1)
			rj_client_end(client, f.now_us);
	}
	for (int i = 0; i < CLIENTS_MAX; i++)
		rj_client_close(&f.clients[i]);
	g_assert_cmpuint(f.budget.memory_bytes, ==, before);
	g_assert_cmpuint(f.listener.connections, ==, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/client_budget/stopped", test_stopped_body_gives_way);
	g_test_add_func("/client_budget/complete", test_complete_request_stays);
	g_test_add_func("/client_budget/small",
			test_small_request_gives_way_last);
	g_test_add_func("/client_budget/connections",
			test_unproven_connection_gives_way_first);
	g_test_add_func("/client_budget/waiting",
			test_waiting_caller_gives_way_last);
	g_test_add_func("/client_budget/slowest",
			test_slowest_legal_client_is_served);
	g_test_add_func("/client_budget/stall",
			test_only_silent_chunked_bodies_end_a_stall);
	g_test_add_func("/client_budget/stop",
			test_stop_waits_for_arriving_bodies);
	g_test_add_func("/client_budget/returned", test_everything_is_returned);
	return g_test_run();
}
