/*
 * Tests of the order in which rejected callers are accepted: of the owner's
 * list, of the rejections of an instance, and replays on a simulated site with
 * more load than it can run, in which callers retry at other nodes.
 */
#include <string.h>
#include <talloc.h>

#include "private/cell_return_order.h"
#include "support/cell_fixture.h"
#include "support/cell_load.h"

/* 24 workers with eight accelerators each; three nodes. */
#define SITE                                                      \
	.seed = 11, .nodes = 3, .workers = 24, .rack_workers = 4, \
	.capacity = { 64000, 64000, 8 }, .guaranteed = 64

static const struct cell_sim_options site = {
	SITE, .features = { .return_order = true }
};
static const struct cell_sim_options without = { SITE };

#define REPLAY_TICK_US (20 * MS)
/* A job every 0.3 s; the site completes one in 0.8 s. */
#define SUBMIT_EVERY_US (300 * MS)
#define CALLERS_MAX 500
#define GREEDY_EVERY_US (200 * MS)
#define GIVE_UP_US (60 * S)
/* 256 rejections, and the name of the queue. */
#define RECORD_MAX_BYTES (256 * 19 + 32)
/* Rejections that lie closer together have no order. */
#define ORDER_GAP_US (500 * MS)
/* Pairs of callers that may be accepted in the wrong order, in thousandths: each
 * returns within the 2 s after it was announced. */
#define OVERTAKEN_MAX_PERMILLE 60
/* Without an order it is half of the pairs. */
#define OVERTAKEN_WITHOUT_PERMILLE 300

/* A client that submits one job until it is accepted, at random nodes. */
struct caller {
	struct cell_client_job *job;
	uint32_t refusals; /* seen so far */
	uint64_t first_us; /* first rejection; 0: none */
	uint64_t retry_us; /* next submission */
	bool greedy; /* retries without waiting for its delay */
	bool twice; /* submits at all nodes at once */
};

/* An overload: one caller in four is greedy, another one submits twice. */
struct replay {
	struct cell_sim *sim;
	uint64_t from_us; /* acceptances before this are not evaluated */
	struct caller callers[CALLERS_MAX];
	uint32_t count;
};

/* Submits at a random node that is up, or at all that are. */
static void submit(struct cell_sim *sim, const struct caller *caller)
{
	uint32_t first = cell_sim_random(sim, sim->options.nodes);

	for (uint32_t i = 0; i < sim->options.nodes; i++) {
		uint32_t node = (first + i) % sim->options.nodes;

		if (!sim->nodes[node].up)
			continue;
		cell_sim_submit(sim, node, caller->job);
		if (!caller->twice)
			return;
	}
}

/* Lets a client act. */
static void advance_caller(struct cell_sim *sim, struct caller *caller)
{
	struct cell_client_job *job = caller->job;

	if (job->accepted)
		return;
	if (job->refusals > caller->refusals) {
		caller->refusals = job->refusals;
		if (!caller->first_us)
			caller->first_us = sim->now_us;
		caller->retry_us = sim->now_us +
				   (caller->greedy ? GREEDY_EVERY_US :
						     job->retry_after_ms * MS);
	}
	if (sim->now_us < caller->retry_us ||
	    (job->sent_us && sim->now_us > job->sent_us + GIVE_UP_US))
		return;
	/* A client that gets no answer tries again. */
	caller->retry_us = sim->now_us + S;
	submit(sim, caller);
}

/* Runs the overload for `for_us`. */
static void run(struct replay *replay, uint64_t for_us)
{
	struct rj_cell_step step = cell_sim_plain_step(6, 4, 6000);

	step.gang = true;
	for (uint64_t ran_us = 0; ran_us < for_us; ran_us += REPLAY_TICK_US) {
		if (ran_us % SUBMIT_EVERY_US == 0) {
			uint32_t index = replay->count++;

			replay->callers[index] = (struct caller){
				.job = cell_sim_job_new(replay->sim, "normal",
							"a", &step, 1, 6 * S),
				.greedy = index % 4 == 0,
				.twice = index % 4 == 1,
			};
		}
		for (uint32_t i = 0; i < replay->count; i++)
			advance_caller(replay->sim, &replay->callers[i]);
		cell_sim_run(replay->sim, REPLAY_TICK_US);
	}
}

/* When a caller was accepted; never, if it was not. */
static uint64_t accepted_us(const struct caller *caller)
{
	return caller->job->accepted ? caller->job->accepted_us : RJ_NEVER_US;
}

/* Returns how many in a thousand pairs of callers that waited at the same time
 * were accepted in the wrong order; with `greedy`, of those whose later one alone
 * is greedy. */
static uint32_t overtaken_permille(const struct replay *replay, bool greedy)
{
	uint32_t pairs = 0;
	uint32_t overtakes = 0;

	for (uint32_t i = 0; i < replay->count * replay->count; i++) {
		const struct caller *a = &replay->callers[i / replay->count];
		const struct caller *b = &replay->callers[i % replay->count];
		uint64_t end_us = MIN(accepted_us(a), accepted_us(b));

		if (!a->first_us || b->first_us < a->first_us + ORDER_GAP_US ||
		    end_us < MAX(replay->from_us, b->first_us) ||
		    end_us > a->first_us + GIVE_UP_US ||
		    (greedy && (a->greedy || !b->greedy)))
			continue;
		pairs++;
		overtakes += accepted_us(b) < accepted_us(a);
	}
	g_assert_cmpuint(pairs, >, 100);
	return overtakes * 1000 / pairs;
}

/* Checks the order of the acceptances. */
static void assert_order(const struct replay *replay)
{
	for (int greedy = 0; greedy < 2; greedy++)
		g_assert_cmpuint(overtaken_permille(replay, greedy), <=,
				 OVERTAKEN_MAX_PERMILLE);
}

/* Returns the number of records of rejections of a node in the log. */
static uint32_t count_records(const struct cell_sim *sim, uint32_t node,
			      bool *removed)
{
	const GPtrArray *records = sim->log.records[RJ_CELL_TOPIC_REQUESTS];
	const char key[] = { 'r', 'n', (char)('0' + node), '\0' };
	uint32_t count = 0;

	for (guint i = 0; i < records->len; i++) {
		const struct cell_log_record *record = records->pdata[i];

		if (strcmp(record->key, key) != 0)
			continue;
		count++;
		*removed = !record->value;
		if (record->value)
			g_assert_cmpuint(g_bytes_get_size(record->value), <=,
					 RECORD_MAX_BYTES);
	}
	return count;
}

/*
 * Load: 2.7 times what the site can run; callers retry at random nodes.
 * Guards against callers that are passed by those who were rejected later, or
 * who retry ten times as often; against a job that is started twice because two
 * nodes accepted it, which the checker of the simulation reports; and against
 * larger records, or more than one of a node in 0.4 s. Without the feature, against records
 * and announcements, and a measure of the order that cannot fail.
 */
static void test_order_of_rejections(struct cell_fixture *f, const void *data)
{
	struct replay replay = { .sim = &f->sim };
	uint32_t records;
	bool removed;

	run(&replay, 120 * S);
	records = count_records(&f->sim, 0, &removed);
	if (data == &without) {
		g_assert_cmpuint(records, ==, 0);
		g_assert_cmpuint(
			f->sim.nodes[0].node.frontend.heartbeat.announced_count,
			==, 0);
		g_assert_cmpuint(overtaken_permille(&replay, false), >=,
				 OVERTAKEN_WITHOUT_PERMILLE);
		return;
	}
	g_assert_cmpuint(records, >, 50);
	g_assert_cmpuint(records, <=,
			 120 * S / (RJ_CELL_REJECTIONS_INTERVAL_MS * MS));
	assert_order(&replay);
}

/*
 * Load: the same; the owner is killed while announced callers are on their way,
 * later a node that has rejected callers, for good.
 * Guards against a successor that does not know the order, callers that lose
 * their place with a node, and a record that stays in the log for ever.
 */
static void test_order_outlasts_nodes(struct cell_fixture *f, const void *data)
{
	struct replay replay = { .sim = &f->sim };
	uint32_t owner = (uint32_t)cell_sim_owner(&f->sim);
	uint32_t node = (owner + 1) % site.nodes;
	bool removed;

	run(&replay, 40 * S);
	cell_sim_node_kill(&f->sim, owner);
	/* Until there is an owner again, what is not rejected is accepted. */
	replay.from_us = f->sim.now_us + 5 * S;
	run(&replay, 15 * S);
	cell_sim_node_start(&f->sim, owner);
	run(&replay, 5 * S);
	cell_sim_node_kill(&f->sim, node);
	run(&replay, 50 * S);
	g_assert_cmpuint(count_records(&f->sim, node, &removed), >, 0);
	g_assert_false(removed);
	run(&replay, 20 * S);
	(void)count_records(&f->sim, node, &removed);
	g_assert_true(removed);
	assert_order(&replay);
}

/* Time at which the tests of the list begin. */
#define START_MS G_GUINT64_CONSTANT(1700000000000)
/* Retry delay of their callers. */
#define DELAY_MS 2000

/* An owner's list, and a heartbeat in which one queue accepts. */
struct list_fixture {
	struct rj_cell_return_order order;
	struct rj_cell_view view;
	struct rj_cell_owner_heartbeat heartbeat;
	uint32_t backlogged; /* bits of the queues */
	uint64_t wall_ms; /* of the owner, when it reads a record */
};

static void list_setup(struct list_fixture *f, const void *data)
{
	rj_cell_return_order_init(&f->order);
	rj_cell_view_init(&f->view, NULL);
	f->heartbeat.queue_load_count = 1;
	g_strlcpy(f->heartbeat.queue_loads[0].queue, "normal", RJ_NAME_BYTES);
	f->backlogged = 1;
}

static void list_teardown(struct list_fixture *f, const void *data)
{
	rj_cell_return_order_finish(&f->order);
	rj_cell_view_finish(&f->view);
}

/* Reads a record with one rejection; times are relative to the start and by the
 * clock of the instance. */
static void reject(struct list_fixture *f, const char *instance, uint64_t id,
		   uint64_t first_ms, uint64_t last_ms)
{
	struct rj_cell_rejection_list list = { .written_ms = START_MS + last_ms,
					       .queues = { "normal" },
					       .queue_count = 1,
					       .count = 1 };

	list.rejections[0] =
		(struct rj_cell_rejection){ id, START_MS + first_ms,
					    START_MS + last_ms, DELAY_MS, 0 };
	rj_cell_return_order_read(&f->order, instance, &list, &f->view,
				  START_MS +
					  (f->wall_ms ? f->wall_ms : last_ms));
}

/* Makes a heartbeat and returns the first announced id, or 0. */
static uint64_t announce(struct list_fixture *f, uint64_t at_ms)
{
	rj_cell_return_order_announce(&f->order, &f->heartbeat, f->backlogged,
				      START_MS + at_ms);
	return f->heartbeat.announced_count ? f->heartbeat.announced[0].id : 0;
}

/* Accepts a submission; returns its first rejection, or 0 if it is unknown. */
static uint64_t accept(struct list_fixture *f, uint64_t id)
{
	struct rj_cell_return_entry entry;

	return rj_cell_return_order_accept(&f->order, id, &entry) ?
		       entry.first_ms - START_MS :
		       0;
}

/* Makes the heartbeats of a time, and returns the last one's first id. */
static uint64_t announce_until(struct list_fixture *f, uint64_t from_ms,
			       uint64_t to_ms)
{
	for (; from_ms < to_ms; from_ms += 400)
		(void)announce(f, from_ms);
	return announce(f, to_ms);
}

/*
 * Guards against announcements that are not in the order of the first rejection
 * or more than the queue's capacity is known for, against one that is withdrawn
 * while its caller is on the way, and against a clock that is far ahead.
 */
static void test_list_announces_in_order(struct list_fixture *f,
					 const void *data)
{
	f->heartbeat.queue_loads[0].refuse = true;
	reject(f, "n1", 3, 300, 300);
	reject(f, "n0", 1, 100, 100);
	reject(f, "n2", 2, 200, 200);
	f->wall_ms = 400;
	reject(f, "n3", 4, 90000, 90000);
	f->wall_ms = 450;
	reject(f, "n1", 5, 450, 450);
	g_assert_cmpuint(announce(f, 1200), ==, 0);
	f->heartbeat.queue_loads[0].refuse = false;
	g_assert_cmpuint(announce(f, 1600), ==, 1);
	g_assert_cmpuint(f->heartbeat.announced_count, ==, 1);
	g_assert_cmpuint(f->heartbeat.announced[0].due_ms, ==,
			 START_MS + 100 + DELAY_MS);
	f->heartbeat.queue_loads[0].refuse = true;
	g_assert_cmpuint(announce(f, 2000), ==, 1);
	g_assert_cmpuint(accept(f, 1), ==, 100);
	g_assert_cmpuint(accept(f, 1), ==, 0);
	g_assert_cmpuint(announce(f, 2400), ==, 0);
	f->heartbeat.queue_loads[0].refuse = false;
	g_assert_cmpuint(announce(f, 2800), ==, 2);
	g_assert_cmpuint(accept(f, 2), ==, 200);
	g_assert_cmpuint(announce(f, 3200), ==, 3);
	g_assert_cmpuint(accept(f, 3), ==, 300);
	g_assert_cmpuint(announce(f, 3600), ==, 4);
}

/*
 * Guards against an announced caller that does not return and blocks the others,
 * one that returns late and still goes first, and callers that lose their turn
 * because the store did not answer for some seconds.
 */
static void test_list_drops_absent_callers(struct list_fixture *f,
					   const void *data)
{
	reject(f, "n0", 1, 0, 0);
	reject(f, "n0", 2, 2000, 2000);
	g_assert_cmpuint(announce_until(f, 0, 4400), ==, 1);
	g_assert_cmpuint(announce_until(f, 4400, 4800), ==, 2);
	g_assert_cmpuint(f->order.counters.expired, ==, 1);
	reject(f, "n1", 1, 5000, 5000);
	g_assert_cmpuint(accept(f, 1), ==, 5000);
	/* No heartbeat for 5 s: it may have been turned away meanwhile. */
	g_assert_cmpuint(announce_until(f, 9800, 14000), ==, 2);
}

/*
 * Guards against a turn that is moved by early retries at other instances, and a
 * successor whose order depends on the order in which it loads the records, or
 * that withdraws what the former owner announced.
 */
static void test_list_merges_rejections(struct list_fixture *f,
					const void *data)
{
	struct rj_cell_owner_heartbeat former = { .announced_count = 1 };

	for (uint32_t turn = 0; turn < 2; turn++) {
		rj_cell_return_order_begin(&f->order);
		/* Rejected by n0, by n1 and by n0 again; early by n2. */
		if (turn)
			reject(f, "n0", 1, 0, 4000);
		reject(f, "n1", 1, 2000, 2000);
		reject(f, "n1", 2, 1000, 3000);
		if (!turn)
			reject(f, "n0", 1, 0, 4000);
		reject(f, "n2", 1, 3000, 5600);
		g_assert_cmpuint(announce(f, 5600), ==, 1);
		g_assert_cmpuint(f->heartbeat.announced[0].due_ms, ==,
				 START_MS + 4000 + DELAY_MS);
	}
	rj_cell_return_order_begin(&f->order);
	reject(f, "n1", 2, 1000, 3000);
	former.announced[0].id = 2;
	rj_cell_return_order_resume(&f->order, &former, START_MS + 4800);
	f->heartbeat.queue_loads[0].refuse = true;
	g_assert_cmpuint(announce(f, 5200), ==, 2);
	/* It came just before its announcement: the queue is held for it. */
	reject(f, "n2", 2, 5000, 5500);
	f->heartbeat.queue_loads[0].refuse = false;
	g_assert_cmpuint(announce(f, 5600), ==, 2);
	g_assert_cmpuint(f->heartbeat.announced[0].due_ms, ==,
			 START_MS + 5500 + DELAY_MS);
}

/*
 * Guards against callers that lose their turn because they were turned away
 * while the cell had no owner, and against turns that are then kept for good.
 */
static void test_list_after_takeover(struct list_fixture *f, const void *data)
{
	const struct rj_cell_owner_heartbeat former = { 0 };

	reject(f, "n0", 1, 0, 0);
	rj_cell_return_order_resume(&f->order, &former, START_MS + 12000);
	g_assert_cmpuint(announce(f, 12000), ==, 1);
	g_assert_cmpuint(f->heartbeat.announced[0].id, ==, 1);
	for (uint64_t at_ms = 12400; at_ms < 17000; at_ms += 400)
		g_assert_cmpuint(announce(f, at_ms), ==, 1);
	g_assert_cmpuint(announce(f, 17200), ==, 0);
}

/*
 * Guards against a list, or records in the log, that grow without a bound, and
 * against records that many instances write more often than the owner follows.
 */
static void test_list_is_bounded(struct list_fixture *f, const void *data)
{
	char name[RJ_NAME_BYTES];

	for (uint64_t i = RJ_CELL_RETURN_ENTRIES_MAX + 10; i > 0; i--)
		reject(f, "n0", i, i, RJ_CELL_RETURN_ENTRIES_MAX + 10);
	g_assert_cmpuint(g_hash_table_size(f->order.by_id), ==,
			 RJ_CELL_RETURN_ENTRIES_MAX);
	g_assert_cmpuint(announce(f, 5200), ==, 1);
	g_assert_cmpuint(f->heartbeat.rejections_interval_ms, ==, 0);
	for (uint32_t i = 0; i < 585; i++) {
		(void)g_snprintf(name, sizeof(name), "n%u", i);
		reject(f, name, 1, 1, RJ_CELL_RETURN_ENTRIES_MAX + 10);
	}
	(void)announce(f, 5600);
	g_assert_cmpuint(f->heartbeat.rejections_interval_ms, ==, 2340);
	g_assert_null(
		rj_cell_return_order_old_record(&f->order, START_MS + 60000));
	g_assert_nonnull(
		rj_cell_return_order_old_record(&f->order, START_MS + 65000));
	(void)announce(f, 65000);
	g_assert_cmpuint(g_hash_table_size(f->order.by_id), ==, 0);
}

/*
 * Guards against callers that are rejected although there is capacity for them:
 * because nothing waits, because those before them never return, or because more
 * of them are accepted than can be announced.
 */
static void test_list_opens_queues(struct list_fixture *f, const void *data)
{
	reject(f, "n0", 1, 0, 0);
	g_assert_cmpuint(announce(f, 1200), ==, 1);
	f->backlogged = 0;
	g_assert_cmpuint(announce(f, 1600), ==, 0);
	f->backlogged = 1;
	rj_cell_return_order_begin(&f->order);
	for (uint32_t i = 0; i < 20; i++)
		reject(f, "n0", i + 1, 0, i * 100);
	g_assert_cmpuint(announce_until(f, 2000, 4400), !=, 0);
	g_assert_cmpuint(announce_until(f, 4800, 6000), ==, 0);
	rj_cell_return_order_begin(&f->order);
	for (uint32_t i = 0; i < 200; i++)
		reject(f, "n0", i + 1, i, 500 + i * 20);
	for (uint64_t at_ms = 1600; announce(f, at_ms); at_ms += 100) {
		g_assert_cmpuint(at_ms, <, 6000);
		for (uint32_t i = 0; i < f->heartbeat.announced_count; i++)
			(void)accept(f, f->heartbeat.announced[i].id);
	}
}

/* Rejects a submission to the normal queue; returns the delay to tell. */
static uint32_t add(struct rj_cell_rejections *rejections, const char *id,
		    uint64_t at_ms, uint32_t delay_ms)
{
	return rj_cell_rejections_add(rejections, id, "normal",
				      START_MS + at_ms, delay_ms);
}

/*
 * Guards against early retries that lengthen a caller's delay or cause records,
 * against lists without a bound, and against two jobs that share a turn.
 */
static void test_rejections_of_an_instance(void)
{
	struct rj_cell_rejections rejections;
	char id[RJ_CELL_ID_BYTES];

	rj_cell_rejections_init(&rejections);
	for (uint32_t i = 2 * RJ_CELL_REJECTIONS_MAX; i-- > 0;) {
		rj_cell_rejection_id_text(i, id);
		(void)add(&rejections, id, 600 - i, DELAY_MS);
	}
	g_assert_cmpuint(rejections.list.count, ==, RJ_CELL_REJECTIONS_MAX);
	g_assert_cmpuint(rejections.list.rejections[0].id, ==, 511);
	rejections.changed = false;
	g_assert_cmpuint(add(&rejections, "00000000000001ff", 1589, 9000), ==,
			 DELAY_MS - 1500);
	g_assert_false(rejections.changed);
	g_assert_cmpuint(rj_cell_rejections_left_ms(&rejections,
						    "00000000000001ff",
						    START_MS + 89),
			 ==, DELAY_MS);
	g_assert_cmpuint(add(&rejections, "00000000000001ff", 2089, 9000), ==,
			 9000);
	g_assert_true(rejections.changed);
	g_assert_cmpuint(rejections.list.rejections[0].first_ms, ==,
			 START_MS + 89);
	(void)add(&rejections, "00000000000000ff", 61000, DELAY_MS);
	(void)add(&rejections, "00000000000000FF", 61000, DELAY_MS);
	g_assert_cmpuint(rejections.list.count, ==, 1);
}

/* Returns whose turn a submission to the normal queue finds. */
static enum rj_cell_turn
turn_of(const struct rj_cell_owner_heartbeat *heartbeat, const char *digits,
	uint64_t at_ms)
{
	char id[RJ_CELL_ID_BYTES];
	uint32_t early_ms;

	(void)g_snprintf(id, sizeof(id), "0000000000000%s", digits);
	return rj_cell_rejections_turn(heartbeat, id, "normal",
				       START_MS + at_ms, &early_ms);
}

/*
 * Guards against heartbeats that other versions of the program cannot read, and
 * against submissions that are rejected although nobody is announced.
 */
static void test_heartbeat_with_announcements(void)
{
	struct rj_cell_owner_heartbeat heartbeat = { .queue_load_count = 1 };
	struct rj_cell_owner_heartbeat copy;
	struct rj_cell_announced next = { 0xabc, START_MS + 5000, 0 };
	void *mem = talloc_new(NULL);
	struct rj_bytes plain;
	struct rj_bytes bytes;
	struct rj_error err;

	g_strlcpy(heartbeat.queue_loads[0].queue, "normal", RJ_NAME_BYTES);
	plain = rj_cell_owner_heartbeat_encode(mem, &heartbeat);
	heartbeat.announced[heartbeat.announced_count++] = next;
	bytes = rj_cell_owner_heartbeat_encode(mem, &heartbeat);
	/* Earlier versions end after the fixed fields. */
	g_assert_cmpmem(bytes.data, plain.length, plain.data, plain.length);
	g_assert_false(rj_cell_owner_heartbeat_decode(plain, &copy, &err));
	g_assert_cmpint(turn_of(&copy, "abc", 0), ==, RJ_CELL_TURN_NONE);
	g_assert_false(rj_cell_owner_heartbeat_decode(bytes, &copy, &err));
	g_assert_cmpint(turn_of(&copy, "abc", 0), ==, RJ_CELL_TURN_EARLY);
	g_assert_cmpint(turn_of(&copy, "abc", 5000), ==, RJ_CELL_TURN_OWN);
	g_assert_cmpint(turn_of(&copy, "abd", 5000), ==, RJ_CELL_TURN_OTHERS);
	g_strlcpy(copy.queue_loads[0].queue, "urgent", RJ_NAME_BYTES);
	g_assert_cmpint(turn_of(&copy, "abd", 5000), ==, RJ_CELL_TURN_NONE);
	/* A block that cannot be read announces nobody. */
	heartbeat.announced[0].queue = 1;
	bytes = rj_cell_owner_heartbeat_encode(mem, &heartbeat);
	g_assert_false(rj_cell_owner_heartbeat_decode(bytes, &copy, &err));
	g_assert_cmpint(turn_of(&copy, "abd", 5000), ==, RJ_CELL_TURN_NONE);
	talloc_free(mem);
}

#define LIST_TEST(path, function)                                              \
	g_test_add("/cell_return_order/list/" path, struct list_fixture, NULL, \
		   list_setup, function, list_teardown)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	CELL_TEST("/cell_return_order/replay", &site, test_order_of_rejections);
	CELL_TEST("/cell_return_order/without", &without,
		  test_order_of_rejections);
	CELL_TEST("/cell_return_order/nodes_killed", &site,
		  test_order_outlasts_nodes);
	LIST_TEST("order", test_list_announces_in_order);
	LIST_TEST("absent", test_list_drops_absent_callers);
	LIST_TEST("merge", test_list_merges_rejections);
	LIST_TEST("takeover", test_list_after_takeover);
	LIST_TEST("bounds", test_list_is_bounded);
	LIST_TEST("open", test_list_opens_queues);
	g_test_add_func("/cell_return_order/instance",
			test_rejections_of_an_instance);
	g_test_add_func("/cell_return_order/heartbeat",
			test_heartbeat_with_announcements);
	return g_test_run();
}
