#include "support/faults.h"

#include <assert.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#define LOAD_FROM_US (3 * RJ_US_PER_S)
#define LOAD_UNTIL_US (20 * RJ_US_PER_S)
#define CALM_US (24 * RJ_US_PER_S)
/* Long enough for keys to be settled and for callers to ask a few times. */
#define END_US (75 * RJ_US_PER_S)
#define FAULTS_MAX 8
#define SHORT_RETENTION_US (20 * RJ_US_PER_S)
#define CALLERS 24
/* Long enough for work to reach it after it should have been known. */
#define LEAVING_LASTS_US (10 * RJ_US_PER_S)

const char *const trouble_string[TROUBLE_COUNT] = {
	[TROUBLE_NONE] = "none",
	[TROUBLE_OUTAGE] = "outage",
	[TROUBLE_CUT_DOMAIN] = "cut_domain",
	[TROUBLE_KILLED_INSTANCE] = "killed_instance",
	[TROUBLE_ROLLING_REPLACEMENT] = "rolling_replacement",
};

enum fault_kind {
	FAULT_KILL,
	FAULT_PAUSE,
	FAULT_STOP,
	FAULT_KILL_DOMAIN,
	FAULT_OUTAGE,
	FAULT_SLOW_LOG,
	FAULT_CUT_PLATFORM,
	FAULT_CUT_DOMAIN,
	FAULT_CUT_LINK,
	FAULT_WORKER_KILL,
	FAULT_WORKER_PAUSE,
	FAULT_WORKER_SILENT,
	FAULT_WORKER_FAILS,
	FAULT_WORKER_REFUSES,
	FAULT_WORKER_SLOW,
	FAULT_LEAVING,
	FAULT_LIST_LAG,
	FAULT_PUBLISH,
	FAULT_KIND_COUNT
};

enum load_kind {
	LOAD_PREVIEW,
	LOAD_QUOTE,
	LOAD_QUOTE_DOUBLED,
	LOAD_GANG,
	LOAD_RENDER,
	LOAD_GUARANTEED,
	LOAD_OCCUPY, /* whole workers, for longer than a guarantee waits */
	LOAD_KIND_COUNT
};

/* How likely each fault and each kind of load is, relative to the others. */
struct profile {
	uint8_t faults[FAULT_KIND_COUNT];
	uint8_t load[LOAD_KIND_COUNT];
	uint32_t callers; /* 0: CALLERS */
	uint64_t end_us; /* 0: END_US; later where the load takes longer */
	struct fault_rates rates; /* the most; each run takes a share */
};

#define RATES_OF_LOG                                                         \
	.append_refused = 30, .append_answer_lost = 150, .append_late = 100, \
	.read_failed = 50
#define RATES_OF_WORKERS                                                     \
	.call_lost = 30, .call_late = 30, .reply_lost = 50, .reply_cut = 30, \
	.reply_late = 30, .reply_doubled = 50, .reply_crossed = 30

static const struct profile profiles[PROMISE_COUNT] = {
	[PROMISE_GUARANTEE] = {
		.faults = { [FAULT_KILL] = 3, [FAULT_WORKER_PAUSE] = 3,
			    [FAULT_WORKER_SLOW] = 3, [FAULT_CUT_PLATFORM] = 2,
			    [FAULT_CUT_DOMAIN] = 2, [FAULT_PUBLISH] = 2,
			    [FAULT_WORKER_SILENT] = 1 },
		.callers = 40,
		.end_us = 2 * END_US,
		.load = { [LOAD_OCCUPY] = 8, [LOAD_RENDER] = 2, [LOAD_GANG] = 1, [LOAD_GUARANTEED] = 2, [LOAD_QUOTE] = 1 },
		.rates = { RATES_OF_WORKERS },
	},
	[PROMISE_GANG] = {
		.faults = { [FAULT_KILL] = 4, [FAULT_PAUSE] = 4,
			    [FAULT_WORKER_KILL] = 3, [FAULT_WORKER_PAUSE] = 2,
			    [FAULT_WORKER_SILENT] = 2,
			    [FAULT_WORKER_FAILS] = 1,
			    [FAULT_WORKER_REFUSES] = 2, [FAULT_CUT_LINK] = 2,
			    [FAULT_STOP] = 1 },
		.load = { [LOAD_GANG] = 8, [LOAD_PREVIEW] = 3,
			  [LOAD_RENDER] = 1 },
		.rates = { RATES_OF_WORKERS, RATES_OF_LOG },
	},
	[PROMISE_ANSWER] = {
		.faults = { [FAULT_KILL] = 2, [FAULT_PAUSE] = 3,
			    [FAULT_WORKER_KILL] = 2, [FAULT_CUT_LINK] = 2,
			    [FAULT_WORKER_SLOW] = 2, [FAULT_CUT_DOMAIN] = 1 },
		.load = { [LOAD_PREVIEW] = 6, [LOAD_QUOTE] = 3,
			  [LOAD_QUOTE_DOUBLED] = 2, [LOAD_GANG] = 1,
			  [LOAD_RENDER] = 2 },
		.rates = { RATES_OF_WORKERS, .peer_late = 100,
			   .peer_lost = 50 },
	},
	[PROMISE_NOT_RUN] = {
		.faults = { [FAULT_PAUSE] = 4, [FAULT_KILL] = 3,
			    [FAULT_OUTAGE] = 2, [FAULT_WORKER_REFUSES] = 2,
			    [FAULT_WORKER_PAUSE] = 2, [FAULT_CUT_PLATFORM] = 1,
			    [FAULT_STOP] = 1 },
		.load = { [LOAD_QUOTE] = 5, [LOAD_QUOTE_DOUBLED] = 3,
			  [LOAD_RENDER] = 3, [LOAD_PREVIEW] = 2 },
		.rates = { RATES_OF_WORKERS, RATES_OF_LOG },
	},
	[PROMISE_ONCE] = {
		.faults = { [FAULT_PAUSE] = 4, [FAULT_KILL] = 4,
			    [FAULT_OUTAGE] = 2, [FAULT_SLOW_LOG] = 2,
			    [FAULT_CUT_PLATFORM] = 2, [FAULT_CUT_DOMAIN] = 2,
			    [FAULT_WORKER_KILL] = 2, [FAULT_WORKER_PAUSE] = 2,
			    [FAULT_KILL_DOMAIN] = 1, [FAULT_STOP] = 1 },
		.load = { [LOAD_QUOTE] = 5, [LOAD_QUOTE_DOUBLED] = 5,
			  [LOAD_PREVIEW] = 1 },
		.rates = { RATES_OF_LOG, RATES_OF_WORKERS },
	},
	[PROMISE_LEAVING] = {
		.faults = { [FAULT_LEAVING] = 8, [FAULT_LIST_LAG] = 5,
			    [FAULT_OUTAGE] = 2, [FAULT_CUT_PLATFORM] = 2,
			    [FAULT_PAUSE] = 1, [FAULT_CUT_LINK] = 2,
			    [FAULT_WORKER_KILL] = 1 },
		.callers = 80,
		.load = { [LOAD_PREVIEW] = 8, [LOAD_QUOTE] = 2,
			  [LOAD_GANG] = 2 },
		.rates = { .reply_late = 50, .peer_late = 50 },
	},
	[PROMISE_STOP] = {
		.faults = { [FAULT_STOP] = 8, [FAULT_KILL] = 1,
			    [FAULT_OUTAGE] = 1, [FAULT_SLOW_LOG] = 1,
			    [FAULT_CUT_LINK] = 2, [FAULT_CUT_DOMAIN] = 1,
			    [FAULT_WORKER_PAUSE] = 1 },
		.load = { [LOAD_PREVIEW] = 5, [LOAD_QUOTE] = 4,
			  [LOAD_GANG] = 2, [LOAD_RENDER] = 2,
			  [LOAD_GUARANTEED] = 1 },
		.rates = { RATES_OF_LOG, .reply_lost = 20 },
	},
	[PROMISE_CONFIG] = {
		.faults = { [FAULT_PUBLISH] = 8, [FAULT_OUTAGE] = 3,
			    [FAULT_KILL] = 3, [FAULT_KILL_DOMAIN] = 2,
			    [FAULT_CUT_PLATFORM] = 3, [FAULT_PAUSE] = 2,
			    [FAULT_CUT_DOMAIN] = 1 },
		.load = { [LOAD_PREVIEW] = 1 },
		.rates = { .read_failed = 100, .peer_late = 100,
			   .peer_lost = 50 },
	},
	[PROMISE_ACCEPTED] = {
		.faults = { [FAULT_KILL] = 5, [FAULT_KILL_DOMAIN] = 3,
			    [FAULT_STOP] = 3, [FAULT_OUTAGE] = 3,
			    [FAULT_CUT_PLATFORM] = 2, [FAULT_WORKER_KILL] = 2,
			    [FAULT_PAUSE] = 2 },
		.load = { [LOAD_RENDER] = 8, [LOAD_GANG] = 3,
			  [LOAD_PREVIEW] = 1 },
		.rates = { RATES_OF_LOG, .reply_lost = 30 },
	},
};

static uint32_t pick(struct world *world, const uint8_t *weights,
		     uint32_t count)
{
	uint32_t sum = 0;
	uint32_t at;

	for (uint32_t i = 0; i < count; i++)
		sum += weights[i];
	at = (uint32_t)world_random(world, sum);
	for (uint32_t i = 0;; i++) {
		if (at < weights[i])
			return i;
		at -= weights[i];
	}
}

static void node_back(struct world *world, struct world_event *event)
{
	if (!world->nodes[event->index].engine)
		node_start(world, event->index);
}

static void node_back_after(struct world *world, uint32_t index,
			    uint64_t delay_us)
{
	world_after(world, delay_us, node_back)->index = index;
}

static void kill_nodes(struct world *world, uint32_t first, uint32_t count)
{
	for (uint32_t i = first; i < first + count; i++) {
		node_kill(world, i);
		node_back_after(world, i, world_random(world, 6 * RJ_US_PER_S));
	}
}

static void publish_race(struct world *world)
{
	uint32_t racers = 1 + (uint32_t)world_random(world, 2);
	uint64_t base = world->log.revision;

	if (world_random(world, 4) == 0) {
		world_note(world, "a bad configuration is published");
		fake_log_publish(world, base, "bad", "{\"domains\":7}");
	}
	if (base && world_random(world, 4) == 0) {
		world_note(world, "a configuration made from an old one");
		fake_log_publish(world, world_random(world, base), "stale",
				 world_config_text(world, world, 0));
	}
	for (uint32_t i = 0; i < racers; i++) {
		char id[RJ_CONFIG_ID_BYTES];
		const char *text;

		(void)snprintf(id, sizeof(id), "p%" PRIu64 "-%u", base, i);
		text = world_config_text(world, world, (uint32_t)base + i);
		/* Changes race with whole configurations, and follow them. */
		if (base && (base + i) % 3)
			fake_log_publish_change(world, base, id, text);
		else
			fake_log_publish(world, base, id, text);
	}
}

static void strike_worker(struct world *world, enum fault_kind kind,
			  struct fake_worker *worker)
{
	world_note(world, "fault %d at %s", kind, worker->name);
	switch (kind) {
	case FAULT_WORKER_KILL:
		fake_worker_kill(world, worker->index);
		break;
	case FAULT_WORKER_PAUSE:
		fake_worker_pause(world, worker->index, true);
		break;
	case FAULT_WORKER_SILENT:
		worker->silent = true;
		break;
	case FAULT_WORKER_FAILS:
		worker->fails_all = true;
		break;
	case FAULT_WORKER_REFUSES:
		worker->refuses = true;
		break;
	case FAULT_WORKER_SLOW:
		worker->slow_us = world_random(world, 3 * RJ_US_PER_S);
		break;
	default:
		worker->leaving = true;
		worker->tells_leaving = world_random(world, 2) == 0;
		break;
	}
}

static void mend_worker(struct world *world, struct fake_worker *worker)
{
	if (worker->down || worker->leaving)
		fake_worker_restart(world, worker->index);
	fake_worker_pause(world, worker->index, false);
	worker->silent = false;
	worker->fails_all = false;
	worker->refuses = false;
	worker->slow_us = 0;
}

static void worker_back(struct world *world, struct world_event *event)
{
	mend_worker(world, &world->workers[event->index]);
}

static void node_goes_on(struct world *world, struct world_event *event)
{
	if (world->nodes[event->index].life == event->life)
		node_pause(world, event->index, false);
}

static void platform_back(struct world *world, struct world_event *event)
{
	world_note(world, "the platform is in reach");
	world->log.down = false;
	world->log.slow_us = 0;
	world->log.list_lag_us = RJ_US_PER_S;
	memset(world->log.cut, 0, sizeof(world->log.cut));
	world_reach_changed(world);
}

static void links_back(struct world *world, struct world_event *event)
{
	world_note(world, "links are whole");
	memset(world->domain_cut, 0, sizeof(world->domain_cut));
	for (uint32_t a = 0; a < world->node_count; a++)
		for (uint32_t b = a + 1; b < world->node_count; b++)
			world->links[a][b].cut = false;
}

static void strike_node(struct world *world, enum fault_kind kind,
			uint32_t node, uint64_t lasts_us)
{
	struct world_event *event;
	uint32_t per_domain = world->options.nodes_per_domain;

	switch (kind) {
	case FAULT_KILL:
		kill_nodes(world, node, 1);
		break;
	case FAULT_KILL_DOMAIN:
		kill_nodes(world, node / per_domain * per_domain, per_domain);
		break;
	case FAULT_PAUSE:
		node_pause(world, node, true);
		event = world_after(world, lasts_us, node_goes_on);
		event->index = node;
		event->life = world->nodes[node].life;
		break;
	default:
		node_stop(world, node);
		break;
	}
}

static void strike_platform(struct world *world, enum fault_kind kind,
			    uint64_t lasts_us)
{
	world_note(world, "fault %d at the platform", kind);
	if (kind == FAULT_OUTAGE)
		world->log.down = true;
	else if (kind == FAULT_SLOW_LOG)
		world->log.slow_us = world_random(world, 4 * RJ_US_PER_S);
	else if (kind == FAULT_LIST_LAG)
		world->log.list_lag_us = world_random(world, 15 * RJ_US_PER_S);
	else
		world->log.cut[world_random(world, world->options.domains)] =
			true;
	world_reach_changed(world);
	(void)world_after(world, lasts_us, platform_back);
}

static void strike(struct world *world, struct world_event *event)
{
	enum fault_kind kind = event->other;
	uint64_t lasts_us = RJ_US_PER_S + world_random(world, 8 * RJ_US_PER_S);
	uint32_t node = (uint32_t)world_random(world, world->node_count);
	uint32_t other = (uint32_t)world_random(world, world->node_count);
	uint32_t worker = (uint32_t)world_random(world, world->worker_count);

	world->faults++;
	switch (kind) {
	case FAULT_KILL:
	case FAULT_KILL_DOMAIN:
	case FAULT_PAUSE:
	case FAULT_STOP:
		strike_node(world, kind, node, lasts_us);
		break;
	case FAULT_OUTAGE:
	case FAULT_SLOW_LOG:
	case FAULT_LIST_LAG:
	case FAULT_CUT_PLATFORM:
		strike_platform(world, kind, lasts_us);
		break;
	case FAULT_CUT_DOMAIN:
		world->domain_cut[world->nodes[node].domain] = true;
		(void)world_after(world, lasts_us, links_back);
		break;
	case FAULT_CUT_LINK:
		if (node != other)
			world->links[node < other ? node : other]
				    [node < other ? other : node]
					    .cut = true;
		(void)world_after(world, lasts_us, links_back);
		break;
	case FAULT_PUBLISH:
		publish_race(world);
		break;
	default:
		strike_worker(world, kind, &world->workers[worker]);
		if (kind == FAULT_LEAVING)
			lasts_us += LEAVING_LASTS_US;
		world_after(world, lasts_us, worker_back)->index = worker;
		break;
	}
}

/* Stopped instances are replaced as soon as they have gone. */
static void replace_stopped(struct world *world, struct world_event *event)
{
	for (uint32_t i = 0; i < world->node_count; i++)
		if (world->nodes[i].stopping && !world->nodes[i].engine) {
			world->nodes[i].stopping = false;
			node_back_after(world, i,
					world_random(world, RJ_US_PER_S));
		}
	(void)world_after(world, RJ_US_PER_S / 2, replace_stopped);
}

/* Every fault ends, and from now on time limits hold. */
static void calm(struct world *world, struct world_event *event)
{
	world_note(world, "faults have ended");
	memset(&world->rates, 0, sizeof(world->rates));
	platform_back(world, event);
	links_back(world, event);
	for (uint32_t i = 0; i < world->node_count; i++) {
		node_pause(world, i, false);
		if (!world->nodes[i].engine)
			node_start(world, i);
	}
	for (uint32_t i = 0; i < world->worker_count; i++)
		mend_worker(world, &world->workers[i]);
	world->checker.calm_us = world->now_us;
}

static void plan_caller(struct world *world, enum load_kind kind,
			struct caller_plan *plan, uint32_t *next_key)
{
	plan->account = WORLD_OTHER_ACCOUNT;
	plan->domain = (uint32_t)world_random(world, world->options.domains);
	plan->tasks = 1;
	plan->accelerators = 1;
	plan->waits = true;
	plan->idempotent = true;
	plan->run_us = 20 * RJ_US_PER_MS + world_random(world, RJ_US_PER_S);
	switch (kind) {
	case LOAD_PREVIEW:
		plan->class_name = "preview";
		plan->fails = world_random(world, 10) == 0;
		break;
	case LOAD_QUOTE:
	case LOAD_QUOTE_DOUBLED:
		plan->class_name = "quote";
		plan->key = (*next_key)++;
		plan->idempotent = false;
		plan->doubled = kind == LOAD_QUOTE_DOUBLED;
		break;
	case LOAD_GANG:
		plan->class_name = "pack";
		plan->tasks = 2 + (uint32_t)world_random(world, 3);
		plan->accelerators = 4 + 4 * (uint32_t)world_random(world, 2);
		plan->adjacent = world_random(world, 2) == 0;
		plan->run_us *= 3;
		break;
	case LOAD_RENDER:
		plan->class_name = "render";
		plan->key = (*next_key)++;
		plan->accelerators = 2 + 2 * (uint32_t)world_random(world, 3);
		plan->run_us *= 8;
		plan->waits = false;
		plan->cancels = world_random(world, 5) == 0;
		break;
	case LOAD_OCCUPY:
		plan->class_name = "render";
		plan->key = (*next_key)++;
		plan->accelerators = 8;
		plan->run_us = 10 * RJ_US_PER_S +
			       world_random(world, 15 * RJ_US_PER_S);
		plan->waits = false;
		break;
	default:
		plan->class_name = "pack";
		plan->account = WORLD_GUARANTEED_ACCOUNT;
		plan->guaranteed = true;
		plan->tasks = WORLD_GUARANTEED_TASKS;
		plan->accelerators = 4;
		plan->adjacent = true;
		plan->run_us = 2 * RJ_US_PER_S;
		plan->key = (*next_key)++;
		break;
	}
}

static void add_load(struct world *world, const uint8_t *weights,
		     uint32_t callers)
{
	uint32_t next_key = 1;
	bool guaranteed[WORLD_DOMAINS_MAX] = { false };

	for (uint32_t i = 0; i < callers; i++) {
		enum load_kind kind = pick(world, weights, LOAD_KIND_COUNT);
		uint64_t from_us = LOAD_FROM_US;
		uint64_t until_us = LOAD_UNTIL_US;
		struct caller_plan plan;

		memset(&plan, 0, sizeof(plan));
		plan_caller(world, kind, &plan, &next_key);
		/* One shape is guaranteed in each failure domain: its account
		   asks for no more, since more has no guarantee. */
		if (plan.guaranteed && guaranteed[plan.domain])
			plan.account = WORLD_OTHER_ACCOUNT;
		plan.guaranteed &= !guaranteed[plan.domain];
		if (plan.guaranteed) {
			guaranteed[plan.domain] = true;
			from_us = LOAD_UNTIL_US;
			until_us = CALM_US + 2 * RJ_US_PER_S;
		}
		(void)fake_caller_add(
			world,
			from_us + world_random(world, until_us - from_us),
			&plan);
	}
}

static void share_rates(struct world *world, const struct fault_rates *most)
{
	const uint32_t *from = (const uint32_t *)most;
	uint32_t *to = (uint32_t *)&world->rates;

	/* Half of the rates are off in any one run. */
	for (size_t i = 0; i < sizeof(*most) / sizeof(*from); i++)
		if (from[i] && world_random(world, 2) == 0)
			to[i] = (uint32_t)world_random(world, from[i]);
}

/*
 * Start an empty result, to which runs are added.
 */
void faults_result_init(struct faults_result *result)
{
	memset(result, 0, sizeof(*result));
	result->claim_settle_us = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	result->reclaim_us = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	result->config_us = g_array_new(FALSE, TRUE, sizeof(uint64_t));
}

/*
 * Free a result.
 */
void faults_result_finish(struct faults_result *result)
{
	g_array_unref(result->claim_settle_us);
	g_array_unref(result->reclaim_us);
	g_array_unref(result->config_us);
}

static void add_times(GArray *to, const GArray *from)
{
	if (from->len)
		g_array_append_vals(to, from->data, from->len);
}

/*
 * Add one result to a sum; the sum keeps its own first violations.
 */
void faults_result_add(struct faults_result *sum,
		       const struct faults_result *one)
{
	for (uint32_t i = 0; i < PROMISE_COUNT; i++) {
		if (!sum->violations[i])
			memcpy(sum->first[i], one->first[i],
			       sizeof(sum->first[i]));
		sum->violations[i] += one->violations[i];
		sum->checks[i] += one->checks[i];
	}
	for (uint32_t i = 0; i < RJ_ANSWER_KIND_COUNT; i++)
		sum->counts[i] += one->counts[i];
	sum->faults += one->faults;
	sum->asked += one->asked;
	sum->served += one->served;
	sum->prompt += one->prompt;
	sum->unanswered += one->unanswered;
	add_times(sum->claim_settle_us, one->claim_settle_us);
	add_times(sum->reclaim_us, one->reclaim_us);
	add_times(sum->config_us, one->config_us);
}

static void add_callers(struct world *world, struct faults_result *result)
{
	for (guint i = 0; i < world->callers->len; i++) {
		const struct fake_caller *caller = world->callers->pdata[i];
		const struct checker_intent *intent =
			checker_intent_get(&world->checker, caller->intent);

		result->asked++;
		if (caller->served_us != RJ_NEVER_US &&
		    caller->served_us - caller->first_us <= caller->patience_us)
			result->served++;
		if (caller->served_us != RJ_NEVER_US &&
		    caller->served_us - caller->first_us <= FAULTS_PROMPT_US)
			result->prompt++;
		if (intent->answered_us == RJ_NEVER_US)
			result->unanswered++;
		else
			result->counts[intent->answer]++;
		if (!intent->idempotent && caller->orphaned_us &&
		    intent->answered_us != RJ_NEVER_US &&
		    intent->answered_us > caller->orphaned_us) {
			uint64_t took_us =
				intent->answered_us - caller->orphaned_us;

			g_array_append_val(result->claim_settle_us, took_us);
		}
		if (intent->guaranteed && intent->whole_us != RJ_NEVER_US) {
			uint64_t took_us =
				intent->whole_us - intent->submitted_us;

			g_array_append_val(result->reclaim_us, took_us);
		}
	}
}

static void add_result(struct world *world, struct faults_result *result)
{
	const struct checker *checker = &world->checker;

	for (uint32_t i = 0; i < PROMISE_COUNT; i++) {
		if (!result->violations[i])
			memcpy(result->first[i], checker->first[i],
			       sizeof(result->first[i]));
		result->violations[i] += checker->violations[i];
		result->checks[i] += checker->checks[i];
	}
	result->faults += world->faults;
	add_times(result->config_us, checker->settle_us);
	add_callers(world, result);
}

static struct world *make_world(void *mem, const struct engine_ops *engine,
				uint64_t seed, uint64_t retention_us,
				FILE *transcript)
{
	struct world_options options = {
		.engine = engine,
		.seed = rj_hash64(&seed, sizeof(seed), 1),
		.domains = 2,
		.nodes_per_domain = 2,
		.racks_per_domain = 2,
		.workers_per_rack = 4,
		.retention_us = retention_us,
		.transcript = transcript,
	};

	return world_create(mem, &options);
}

/* Where claims, outcomes and configurations matter, the log forgets within
 * the run in two seeds of seven. */
static uint64_t short_retention_us(enum promise promise, uint64_t seed)
{
	bool matters = promise == PROMISE_ONCE || promise == PROMISE_CONFIG ||
		       promise == PROMISE_ACCEPTED;

	return matters && seed % 7 >= 5 ? SHORT_RETENTION_US : 0;
}

/*
 * Run one seed of a promise's profile and add what came of it.
 */
void faults_run(const struct engine_ops *engine, enum promise promise,
		uint64_t seed, FILE *transcript, struct faults_result *result)
{
	const struct profile *profile = &profiles[promise];
	void *mem = talloc_new(NULL);
	struct world *world =
		make_world(mem, engine, seed, short_retention_us(promise, seed),
			   transcript);
	uint32_t count = 1 + (uint32_t)world_random(world, FAULTS_MAX);

	share_rates(world, &profile->rates);
	add_load(world, profile->load,
		 profile->callers ? profile->callers : CALLERS);
	for (uint32_t i = 0; i < count; i++) {
		struct world_event *event = world_after(
			world,
			LOAD_FROM_US +
				world_random(world,
					     LOAD_UNTIL_US - LOAD_FROM_US),
			strike);

		event->other = pick(world, profile->faults, FAULT_KIND_COUNT);
	}
	(void)world_after(world, 0, replace_stopped);
	(void)world_after(world, CALM_US, calm);
	world_run_until(world, profile->end_us ? profile->end_us : END_US);
	checker_finish_run(&world->checker, world->now_us);
	add_result(world, result);
	talloc_free(mem);
}

static void stop_one(struct world *world, struct world_event *event)
{
	node_stop(world, event->index);
}

static void cause(struct world *world, enum trouble trouble)
{
	switch (trouble) {
	case TROUBLE_OUTAGE:
		strike_platform(world, FAULT_OUTAGE, 10 * RJ_US_PER_S);
		break;
	case TROUBLE_CUT_DOMAIN:
		world->domain_cut[0] = true;
		world->log.cut[0] = true;
		world_reach_changed(world);
		(void)world_after(world, 10 * RJ_US_PER_S, links_back);
		(void)world_after(world, 10 * RJ_US_PER_S, platform_back);
		break;
	case TROUBLE_KILLED_INSTANCE:
		kill_nodes(world, 0, 1);
		break;
	case TROUBLE_ROLLING_REPLACEMENT:
		for (uint32_t i = 0; i < world->node_count; i++)
			world_after(world, i * 3 * RJ_US_PER_S, stop_one)
				->index = i;
		break;
	default:
		break;
	}
}

/*
 * Run mixed load under one kind of trouble, from the load's first third on
 * for about ten seconds, and count what is served.
 */
void faults_served(const struct engine_ops *engine, enum trouble trouble,
		   uint64_t seed, struct faults_result *result)
{
	static const uint8_t mixed[LOAD_KIND_COUNT] = {
		[LOAD_PREVIEW] = 6, [LOAD_QUOTE] = 4,  [LOAD_QUOTE_DOUBLED] = 1,
		[LOAD_GANG] = 1,    [LOAD_RENDER] = 2,
	};
	void *mem = talloc_new(NULL);
	struct world *world = make_world(mem, engine, seed, 0, NULL);

	add_load(world, mixed, 2 * CALLERS);
	(void)world_after(world, 0, replace_stopped);
	world_run_until(world, 8 * RJ_US_PER_S);
	cause(world, trouble);
	world_run_until(world, END_US);
	checker_finish_run(&world->checker, world->now_us);
	add_result(world, result);
	talloc_free(mem);
}

/*
 * A world with load and without a fault, to be run by the caller. Nothing is
 * cancelled, and there is room for all.
 */
struct world *faults_quiet_world(void *mem, const struct engine_ops *engine,
				 uint64_t seed)
{
	static const uint8_t light[LOAD_KIND_COUNT] = {
		[LOAD_PREVIEW] = 4,
		[LOAD_QUOTE] = 3,
		[LOAD_QUOTE_DOUBLED] = 2,
	};
	struct world *world = make_world(mem, engine, seed, 0, NULL);

	/* What was drawn so far depends on the engine; the callers must not. */
	world->random = seed;
	add_load(world, light, CALLERS);
	return world;
}
