/*
 * Compares ownership of racks with the alternative that any instance plans any
 * rack: real cores of one failure domain in a simulation, under the same load.
 *
 * An instance without contact to others owns all racks, so the alternative is
 * a failure domain whose peers have no links. While links are cut, racks have
 * several owners.
 */
#include <argtable2.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "bench.h"
#include "private/peer_codec.h"
#include "private/worker_wire.h"
#include "support/quantile.h"
#include "support/simulation.h"

#define RACKS 8
#define RACK_WORKERS 8
#define ACCELERATORS (RACKS * RACK_WORKERS * 8)
/* Mean accelerator time of a job of add_callers. */
#define MEAN_ACCELERATOR_US (6300 * RJ_US_PER_MS)
#define HTTP_HEADER_BYTES 330 /* as in `bench control` */
#define FRAME_BYTES 48
#define LOAD_START_US (10 * RJ_US_PER_S)
#define LOAD_US (60 * RJ_US_PER_S)
#define END_US (130 * RJ_US_PER_S)
/* In mode `cut`, links fail for CUT_US in each period. */
#define CUT_US (10 * RJ_US_PER_S)
#define CUT_PERIOD_US (30 * RJ_US_PER_S)
#define SEEDS_DEFAULT 5

enum mode { MODE_OWNED, MODE_CUT, MODE_ANY, MODE_COUNT };

static const char *const mode_string[MODE_COUNT] = { "owned", "cut", "any" };

struct counts {
	uint64_t calls;
	uint64_t reports;
	uint64_t report_bytes;
	uint64_t refused; /* calls refused by a worker */
	uint64_t claims_lost;
	uint64_t peer_bytes;
	uint64_t links; /* pairs of an instance and a worker it called */
};

/* Wraps a core to count its actions and replies. */
struct counting_engine {
	struct engine base;
	struct engine *inner;
	GHashTable *calls; /* call_id -> rj_worker_call; open reports */
	GHashTable *workers; /* names of workers called */
	struct counts counts;
};

static int counted_release(struct counting_engine *counting_engine)
{
	g_hash_table_destroy(counting_engine->calls);
	g_hash_table_destroy(counting_engine->workers);
	return 0;
}

static const struct engine_ops engine_counted;

/* Creates a core and its wrapper. */
static struct engine *counted_create(void *mem,
				     const struct rj_core_options *options)
{
	struct counting_engine *counting_engine =
		talloc_zero(mem, struct counting_engine);

	g_assert(counting_engine);
	counting_engine->base.ops = &engine_counted;
	counting_engine->inner = engine_core.create(counting_engine, options);
	counting_engine->calls = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, NULL, g_free);
	counting_engine->workers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	talloc_set_destructor(counting_engine, counted_release);
	return &counting_engine->base;
}

/* Counts a call to a worker; a REPORT call is kept until its reply. */
static void count_call(struct counting_engine *counting_engine,
		       const struct rj_worker_call *call)
{
	struct rj_worker_call *copy;
	void *mem;

	counting_engine->counts.calls++;
	g_hash_table_add(counting_engine->workers, g_strdup(call->worker));
	if (call->op != RJ_WORKER_REPORT)
		return;
	mem = talloc_new(NULL);
	counting_engine->counts.reports++;
	counting_engine->counts.report_bytes +=
		strlen(rj_worker_wire_encode_call(mem, call)) +
		HTTP_HEADER_BYTES;
	talloc_free(mem);
	copy = g_memdup2(call, sizeof(*call));
	g_hash_table_insert(counting_engine->calls, &copy->call_id, copy);
}

/* Counts the reply to a call. */
static void count_reply(struct counting_engine *counting_engine,
			const struct rj_worker_reply *reply)
{
	const struct rj_worker_call *call =
		g_hash_table_lookup(counting_engine->calls, &reply->call_id);
	void *mem;

	counting_engine->counts.refused += reply->status == RJ_REPLY_REFUSED;
	if (!call)
		return;
	if (reply->status == RJ_REPLY_OK) {
		mem = talloc_new(NULL);
		counting_engine->counts.report_bytes +=
			strlen(rj_worker_wire_encode_reply(mem, call, reply));
		talloc_free(mem);
	}
	g_hash_table_remove(counting_engine->calls, &reply->call_id);
}

/* Counts a message to a peer. */
static void count_message(struct counting_engine *counting_engine,
			  const struct rj_peer_message *message)
{
	void *mem = talloc_new(NULL);

	counting_engine->counts.peer_bytes +=
		rj_peer_encode(mem, message).length + FRAME_BYTES;
	talloc_free(mem);
}

/* Passes an event to the core; counts replies and actions. */
static void counted_process(struct engine *base, const struct rj_event *event,
			    struct rj_actions *actions)
{
	struct counting_engine *counting_engine =
		(struct counting_engine *)base;

	if (event->kind == RJ_EVENT_WORKER_REPLY)
		count_reply(counting_engine, &event->u.worker_reply);
	counting_engine->inner->ops->process(counting_engine->inner, event,
					     actions);
	for (uint32_t i = 0; i < actions->count; i++) {
		const struct rj_action *action = &actions->list[i];

		if (action->kind == RJ_ACTION_WORKER_CALL)
			count_call(counting_engine, &action->u.worker_call);
		else if (action->kind == RJ_ACTION_PEER_SEND)
			count_message(counting_engine, action->u.peer.message);
		else if (action->kind == RJ_ACTION_LOG)
			counting_engine->counts.claims_lost +=
				action->u.log.why == RJ_REASON_CLAIM_LOST;
	}
}

static uint64_t counted_wake_us(const struct engine *base)
{
	const struct counting_engine *counting_engine =
		(const struct counting_engine *)base;

	return counting_engine->inner->ops->wake_us(counting_engine->inner);
}

static const struct engine_ops engine_counted = {
	.name = "counted",
	.create = counted_create,
	.process = counted_process,
	.wake_us = counted_wake_us,
};

/* Cuts or restores all links between the instances. */
static void cut_links(struct simulation *simulation, bool cut)
{
	for (uint32_t a = 0; a < simulation->node_count; a++)
		for (uint32_t b = a + 1; b < simulation->node_count; b++)
			simulation->links[a][b].cut = cut;
}

/* Adds callers with small jobs, keyed quotes, and gangs of which half must be
 * adjacent. */
static void add_callers(struct simulation *simulation, uint32_t load_percent)
{
	uint32_t callers = (uint32_t)((uint64_t)ACCELERATORS * LOAD_US *
				      load_percent / 100 / MEAN_ACCELERATOR_US);

	for (uint32_t i = 0; i < callers; i++) {
		struct fake_caller_options plan = {
			.class_name = "preview",
			.account = SIMULATION_OTHER_ACCOUNT,
			.tasks = 1,
			.accelerators = 1,
			.run_us = 20 * RJ_US_PER_MS +
				  simulation_random(simulation, RJ_US_PER_S),
			.idempotent = true,
			.waits = true,
		};
		uint64_t kind = simulation_random(simulation, 5);

		if (kind == 3) {
			plan.class_name = "quote";
			plan.key = i + 1;
			plan.idempotent = false;
		} else if (kind == 4) {
			plan.class_name = "pack";
			plan.tasks =
				2 + (uint32_t)simulation_random(simulation, 3);
			plan.accelerators = 4 + 4 * (uint32_t)simulation_random(
							    simulation, 2);
			plan.adjacent = simulation_random(simulation, 2) == 0;
			plan.run_us *= 3;
		}
		fake_caller_add(simulation,
				LOAD_START_US +
					simulation_random(simulation, LOAD_US),
				&plan);
	}
}

/* Runs the simulation to its end, with the links set by the mode. */
static void run_mode(struct simulation *simulation, enum mode mode)
{
	cut_links(simulation, mode == MODE_ANY);
	for (uint64_t at_us = 0; mode == MODE_CUT && at_us < LOAD_US;
	     at_us += CUT_PERIOD_US) {
		simulation_run_until(simulation, LOAD_START_US + at_us);
		cut_links(simulation, true);
		simulation_run_until(simulation,
				     LOAD_START_US + at_us + CUT_US);
		cut_links(simulation, false);
	}
	simulation_run_until(simulation, END_US);
}

/* Adds one instance's counts to `sum`. */
static void add_counts(struct counts *sum,
		       const struct counting_engine *counting_engine)
{
	sum->calls += counting_engine->counts.calls;
	sum->reports += counting_engine->counts.reports;
	sum->report_bytes += counting_engine->counts.report_bytes;
	sum->refused += counting_engine->counts.refused;
	sum->claims_lost += counting_engine->counts.claims_lost;
	sum->peer_bytes += counting_engine->counts.peer_bytes;
	sum->links += g_hash_table_size(counting_engine->workers);
}

/* Accumulated results of the runs of one mode. */
struct outcome {
	struct counts counts;
	GArray *small_ms; /* double: latencies of previews and quotes */
	GArray *gang_ms;
	uint32_t asked;
	uint64_t violations;
};

/* Runs one seed and adds its results to the outcome. */
static void run_seed(struct outcome *outcome, enum mode mode,
		     uint32_t instances, uint32_t load_percent, uint64_t seed)
{
	struct simulation_options options = { .engine = &engine_counted,
					      .seed = seed,
					      .domains = 1,
					      .nodes_per_domain = instances,
					      .racks_per_domain = RACKS,
					      .workers_per_rack =
						      RACK_WORKERS };
	void *mem = talloc_new(NULL);
	struct simulation *simulation = simulation_create(mem, &options);

	add_callers(simulation, load_percent);
	run_mode(simulation, mode);
	for (uint32_t i = 0; i < simulation->node_count; i++)
		add_counts(
			&outcome->counts,
			(struct counting_engine *)simulation->nodes[i].engine);
	for (guint i = 0; i < simulation->callers->len; i++) {
		const struct fake_caller *caller =
			simulation->callers->pdata[i];
		double latency_ms =
			(double)(caller->served_us - caller->first_us) /
			RJ_US_PER_MS;

		outcome->asked++;
		if (caller->served_us == RJ_NEVER_US)
			continue;
		g_array_append_val(caller->spec.shape.tasks > 1 ?
					   outcome->gang_ms :
					   outcome->small_ms,
				   latency_ms);
	}
	/* Only heartbeats report the configuration in force, and without
	 * links there are none. */
	for (int i = 0; i < INVARIANT_COUNT; i++)
		if (i != INVARIANT_CONFIG)
			outcome->violations +=
				simulation->checker.violations[i];
	talloc_free(mem);
}

/* Returns a quantile of latencies; 0 without any. */
static double quantile(const GArray *times, double share)
{
	return times->len ? quantile_of((double *)(void *)times->data,
					times->len, share) :
			    0;
}

/* Prints the results of one mode. */
static void print(const struct outcome *outcome, enum mode mode,
		  uint32_t instances, uint32_t seeds)
{
	const struct counts *counts = &outcome->counts;
	double seconds = (double)END_US / RJ_US_PER_S * seeds;
	double each = seconds * instances;

	printf("{\"bench\":\"ownership\",\"mode\":\"%s\",\"instances\":%u,"
	       "\"workers\":%u,\"seeds\":%u,\"instances_a_worker\":%.1f,"
	       "\"reports_a_worker_s\":%.2f,\"report_bytes_s\":%.0f,"
	       "\"peer_bytes_s\":%.0f,\"calls\":%" G_GUINT64_FORMAT
	       ",\"refused\":%" G_GUINT64_FORMAT
	       ",\"claims_lost\":%" G_GUINT64_FORMAT
	       ",\"asked\":%u,\"served\":%u,\"small_p50_ms\":%.0f,"
	       "\"small_p95_ms\":%.0f,\"gang_p50_ms\":%.0f,"
	       "\"gang_p95_ms\":%.0f,\"violations\":%" G_GUINT64_FORMAT "}\n",
	       mode_string[mode], instances, RACKS * RACK_WORKERS, seeds,
	       (double)counts->links / (RACKS * RACK_WORKERS) / seeds,
	       (double)counts->reports / seconds / (RACKS * RACK_WORKERS),
	       (double)counts->report_bytes / each,
	       (double)counts->peer_bytes / each, counts->calls,
	       counts->refused, counts->claims_lost, outcome->asked,
	       outcome->small_ms->len + outcome->gang_ms->len,
	       quantile(outcome->small_ms, 0.5),
	       quantile(outcome->small_ms, 0.95),
	       quantile(outcome->gang_ms, 0.5),
	       quantile(outcome->gang_ms, 0.95), outcome->violations);
	(void)fflush(stdout);
}

/* Runs one mode at one number of instances and prints the results. */
static void measure(enum mode mode, uint32_t instances, uint32_t load_percent,
		    uint32_t seeds)
{
	struct outcome outcome = {
		.small_ms = g_array_new(FALSE, FALSE, sizeof(double)),
		.gang_ms = g_array_new(FALSE, FALSE, sizeof(double)),
	};

	for (uint32_t seed = 1; seed <= seeds; seed++)
		run_seed(&outcome, mode, instances, load_percent, seed);
	print(&outcome, mode, instances, seeds);
	g_array_unref(outcome.small_ms);
	g_array_unref(outcome.gang_ms);
}

/*
 * `rj-bench ownership`: connections, reports, refused calls, latencies and
 * control traffic at 4 and 8 instances.
 */
int bench_ownership(int argc, char **argv)
{
	struct arg_int *seeds =
		arg_int0(NULL, "seeds", "N", "runs of each mode (5)");
	struct arg_int *load =
		arg_int0(NULL, "load", "PERCENT", "of the accelerators (80)");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_end *end = arg_end(4);
	void *table[] = { seeds, load, help, end };
	int errors = arg_parse(argc, argv, table);
	uint32_t runs = seeds->count ? (uint32_t)seeds->ival[0] : SEEDS_DEFAULT;
	uint32_t percent = load->count ? (uint32_t)load->ival[0] : 80;
	int status = 0;

	if (errors || help->count) {
		status = bench_usage("ownership", table, help->count > 0);
		goto out;
	}
	for (uint32_t instances = 4; instances <= 8; instances += 4)
		for (int mode = 0; mode < MODE_COUNT; mode++)
			measure(mode, instances, percent, runs);
out:
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}
