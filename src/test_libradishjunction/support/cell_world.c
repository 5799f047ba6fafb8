#include "support/cell_world.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <time.h>

#include "private/log_event.h"
#include "private/pack.h"

#define TICK_US (20 * MS)
#define WALL_MS 1700000000000ULL
#define CONFIG_KEY "config"
#define CORDON_PREFIX "cordon/"
#define ATTEMPTS_MAX 4
#define LEASE_MAX_MS 6000
/* A key is served no longer than this after its removal. */
#define REVOKE_MS 5000
/* Nothing starts on a draining worker or in a cordoned domain after this. */
#define DRAIN_MS 2000
/* A stop takes no longer, nor the end of a gang's members. */
#define STOP_MS 200
#define CORDON_MS 5000
/* A call in so many still carries the key that was removed last. */
#define OLD_KEY_ONE_IN 7

struct cell_world_event {
	uint64_t at_us;
	uint64_t sequence;
	void (*call)(void *);
	void *data;
};

/* Earlier events first, in the order in which they were made. */
static gint by_time(gconstpointer a, gconstpointer b, gpointer unused)
{
	const struct cell_world_event *left = a;
	const struct cell_world_event *right = b;

	if (left->at_us != right->at_us)
		return left->at_us < right->at_us ? -1 : 1;
	return left->sequence < right->sequence ? -1 : 1;
}

/*
 * Call a function in `delay_us`.
 */
void cell_world_at(struct cell_world *world, uint64_t delay_us,
		   void (*call)(void *), void *data)
{
	struct cell_world_event *event = g_new0(struct cell_world_event, 1);

	event->at_us = world->now_us + delay_us;
	event->sequence = world->sequence++;
	event->call = call;
	event->data = data;
	g_sequence_insert_sorted(world->events, event, by_time, NULL);
}

/*
 * A number below a bound, the same in every run of a seed.
 */
uint32_t cell_world_random(struct cell_world *world, uint32_t below)
{
	return below ? (uint32_t)(rj_random64(&world->random) % below) : 0;
}

/*
 * Milliseconds since 1970 by the world's clock.
 */
uint64_t cell_world_wall_ms(const struct cell_world *world)
{
	return WALL_MS + world->now_us / MS;
}

/*
 * Let time pass.
 */
void cell_world_run(struct cell_world *world, uint64_t for_us)
{
	uint64_t until_us = world->now_us + for_us;

	for (;;) {
		GSequenceIter *first = g_sequence_get_begin_iter(world->events);
		struct cell_world_event *event;

		if (g_sequence_iter_is_end(first))
			break;
		event = g_sequence_get(first);
		if (event->at_us > until_us)
			break;
		world->now_us = event->at_us;
		g_sequence_remove(first);
		event->call(event->data);
		g_free(event);
	}
	world->now_us = until_us;
}

/*
 * Whether a node still is the process that made a call.
 */
bool cell_world_reaches(const struct cell_world_node *node, uint32_t life)
{
	return node->up && node->life == life;
}

/*
 * Whether a node stands still just now: `call` is made again once it goes on.
 */
bool cell_world_waits(struct cell_world_node *node, void (*call)(void *),
		      void *data)
{
	uint64_t now_us = node->world->now_us;

	if (node->paused_until_us <= now_us)
		return false;
	cell_world_at(node->world, node->paused_until_us - now_us + 1, call,
		      data);
	return true;
}

/* A job out of a body, which is a definition as the log has it. */
static struct rj_cell_def *decode_job(void *mem, struct rj_bytes body,
				      struct rj_error *err)
{
	return rj_cell_def_decode(mem, body, err);
}

/* A worker's entry is the struct itself. */
static int decode_worker(struct rj_bytes text,
			 struct rj_cell_heartbeat *heartbeat,
			 struct rj_error *err)
{
	if (text.length != sizeof(*heartbeat))
		return rj_error_set(err, RJ_ERR_MALFORMED, "worker entry");
	memcpy(heartbeat, text.data, sizeof(*heartbeat));
	return 0;
}

/* The queues of the world: name, path, priority, objective. */
static const struct {
	const char *name;
	const char *prefix;
	uint32_t priority;
	uint32_t stretch_milli;
	uint32_t latency_ms;
} queues[] = {
	{ "urgent", "/u/", 0, 1500, 250 },
	{ "normal", "/n/", 1, 3000, 1000 },
	{ "bulk", "/b/", 2, 3000, 3000 },
	{ "advised", "/a/", 1, 3000, 1000 },
};

/* What a key of the operators' log is for. */
static enum rj_cell_published classify(const char *key, const char **name)
{
	if (!strcmp(key, CONFIG_KEY))
		return RJ_CELL_PUBLISHED_CONFIG;
	if (!g_str_has_prefix(key, CORDON_PREFIX))
		return RJ_CELL_PUBLISHED_UNKNOWN;
	*name = key + strlen(CORDON_PREFIX);
	return RJ_CELL_PUBLISHED_CORDON;
}

/* A configuration out of the few fields that the world varies. */
static struct rj_cell_config *decode_config(void *mem, struct rj_bytes text,
					    struct rj_error *err)
{
	struct rj_cell_config *config = talloc_zero(mem, struct rj_cell_config);
	struct rj_unpacker in;
	uint32_t attempts_max;
	char api_key[RJ_NAME_BYTES];

	rj_unpack_init(&in, text);
	config->version = rj_unpack_number(&in, "version", UINT64_MAX);
	config->account_count = 2;
	config->accounts = talloc_zero_array(config, struct rj_cell_account, 2);
	rj_unpack_text(&in, "key", api_key, sizeof(api_key));
	for (uint32_t i = 0; i < 2; i++) {
		struct rj_cell_account *account = &config->accounts[i];

		(void)g_snprintf(account->name, RJ_NAME_BYTES, "%c", 'a' + i);
		account->keys = talloc_array(config, const char *, 1);
		account->keys[0] = talloc_asprintf(config, "%s-%s", api_key,
						   account->name);
		account->key_count = 1;
		account->guaranteed_accelerators = (uint32_t)rj_unpack_number(
			&in, "guaranteed", UINT32_MAX);
	}
	attempts_max = (uint32_t)rj_unpack_number(&in, "attempts", UINT32_MAX);
	config->queues = talloc_zero_array(config, struct rj_cell_queue,
					   G_N_ELEMENTS(queues));
	config->queue_count = G_N_ELEMENTS(queues);
	for (uint32_t i = 0; i < config->queue_count; i++) {
		struct rj_cell_queue *queue = &config->queues[i];

		g_strlcpy(queue->name, queues[i].name, RJ_NAME_BYTES);
		g_strlcpy(queue->host, "host", sizeof(queue->host));
		g_strlcpy(queue->prefix, queues[i].prefix,
			  sizeof(queue->prefix));
		g_strlcpy(queue->service, "render", RJ_NAME_BYTES);
		queue->priority = queues[i].priority;
		queue->attempts_max = attempts_max;
		queue->stretch_milli = queues[i].stretch_milli;
		queue->latency_ms = queues[i].latency_ms;
		queue->advised = !strcmp(queue->name, "advised");
	}
	if (rj_unpack_finish(&in, err))
		TALLOC_FREE(config);
	return config;
}

static const struct rj_cell_codec codec = {
	.decode_job = decode_job,
	.classify = classify,
	.decode_config = decode_config,
	.decode_worker = decode_worker,
};

/*
 * Operators publish a new version, in which only `key` is good.
 */
void cell_world_publish(struct cell_world *world, const char *key)
{
	struct rj_packer out;
	struct rj_bytes text;

	rj_pack_init(&out);
	rj_pack_number(&out, ++world->config_version);
	rj_pack_text(&out, key);
	rj_pack_number(&out, world->plan.guaranteed);
	rj_pack_number(&out, world->plan.guaranteed);
	rj_pack_number(&out, world->plan.attempts_max);
	text = rj_pack_finish(&out, world->mem);
	cell_log_put(world, RJ_CELL_TOPIC_CONFIG, CONFIG_KEY, text.data,
		     text.length);
	if (world->key && strcmp(world->key, key) != 0) {
		world->old_key = world->key;
		world->removed_us = world->now_us;
	}
	world->key = key;
	talloc_free((void *)text.data);
}

/*
 * Operators cordon a failure domain, or give it back.
 */
void cell_world_cordon(struct cell_world *world, const char *domain,
		       bool cordoned)
{
	char *key = g_strconcat(CORDON_PREFIX, domain, NULL);
	uint64_t *since_us = g_hash_table_lookup(world->cordons, domain);

	cell_log_put(world, RJ_CELL_TOPIC_CONFIG, key, "{}", cordoned ? 2 : 0);
	g_free(key);
	if (!cordoned) {
		g_hash_table_remove(world->cordons, domain);
		return;
	}
	if (since_us)
		return;
	since_us = g_new(uint64_t, 1);
	*since_us = world->now_us;
	g_hash_table_insert(world->cordons, g_strdup(domain), since_us);
}

/* Whose notes are printed, and who speaks just now. */
static struct {
	struct cell_world *world;
	const struct cell_world_node *node;
} trace;

/* Print one note. */
static GLogWriterOutput print_note(GLogLevelFlags level,
				   const GLogField *fields, gsize count,
				   gpointer unused)
{
	const struct rj_log_event_field *field;

	for (gsize i = 0; i < count; i++) {
		const struct rj_log_event *note = fields[i].value;

		if (strcmp(fields[i].key, RJ_LOG_EVENT_FIELD) != 0)
			continue;
		printf("%9.3f n%u %s",
		       (double)trace.world->now_us / (double)S - 3600,
		       trace.node ? trace.node->index : 99, note->event);
		for (field = note->fields; field->name; field++)
			if (field->text)
				printf(" %s=%s", field->name, field->text);
			else
				printf(" %s=%" G_GINT64_FORMAT, field->name,
				       field->number);
		printf("\n");
	}
	return G_LOG_WRITER_HANDLED;
}

/*
 * Print the notes of this world from now on; once in a process.
 */
void cell_world_trace(struct cell_world *world)
{
	trace.world = world;
	g_log_set_writer_func(print_note, NULL, NULL);
}

/* The processor time of this thread. */
static uint64_t cpu_now_ns(void)
{
	struct timespec time;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
	return (uint64_t)time.tv_sec * G_GUINT64_CONSTANT(1000000000) +
	       (uint64_t)time.tv_nsec;
}

/*
 * The code of a node runs from here on: notes are its own, and so is the
 * processor time.
 */
void cell_world_enter(struct cell_world_node *node)
{
	trace.node = node;
	node->cpu_ns -= cpu_now_ns();
}

/*
 * The code of a node has returned.
 */
void cell_world_leave(struct cell_world_node *node)
{
	node->cpu_ns += cpu_now_ns();
}

/* A node polls for what is due. */
static void tick(void *data)
{
	struct cell_world_node *node = data;
	struct cell_world *world = node->world;

	cell_world_enter(node);
	if (node->up && node->paused_until_us <= world->now_us)
		rj_cell_node_advance(&node->node, world->now_us,
				     cell_world_wall_ms(world));
	cell_world_leave(node);
	cell_world_at(world, TICK_US, tick, node);
}

/*
 * A node's process starts, with nothing of its former life.
 */
void cell_world_start(struct cell_world *world, uint32_t index)
{
	struct cell_world_node *node = &world->nodes[index];
	struct rj_cell_node_options options = { .strength = 25,
						.terms = { .status_ms = 120000,
							   .reclaim_ms = 2900 },
						.codec = &codec,
						.store = &node->store,
						.workers = &node->workers,
						.advisor = &node->advisor };

	options.terms.lease_max_ms = world->plan.lease_max_ms;
	options.terms.revoke_ms = world->plan.revoke_ms;
	options.terms.drain_ms = DRAIN_MS;
	options.terms.stop_ms = STOP_MS;
	options.terms.cordon_ms = CORDON_MS;
	options.terms.entry_life_ms =
		CELL_WORLD_HEARTBEAT_MS * CELL_WORLD_ENTRY_BEATS;
	if (node->up)
		return;
	cell_world_enter(node);
	node->up = true;
	node->life++;
	node->mem = talloc_named_const(world->mem, 0, "node");
	(void)g_snprintf(options.name, sizeof(options.name), "n%u", index);
	options.incarnation = node->life * 100 + index + 1;
	rj_cell_node_init(&node->node, node->mem, &options);
	rj_cell_node_start(&node->node, world->now_us,
			   cell_world_wall_ms(world));
	cell_world_leave(node);
}

/*
 * A node's process is killed: its clients hear nothing more.
 */
void cell_world_kill(struct cell_world *world, uint32_t index)
{
	struct cell_world_node *node = &world->nodes[index];

	if (!node->up)
		return;
	node->up = false;
	rj_cell_node_finish(&node->node);
	TALLOC_FREE(node->mem);
}

/*
 * A node stands still for a while; what comes meanwhile waits.
 */
void cell_world_pause(struct cell_world *world, uint32_t index, uint64_t for_us)
{
	world->nodes[index].paused_until_us = world->now_us + for_us;
}

/*
 * The node that owns the cell by its own belief, or -1.
 */
int cell_world_owner(const struct cell_world *world)
{
	for (uint32_t i = 0; i < world->plan.nodes; i++)
		if (world->nodes[i].up && world->nodes[i].node.owner.active)
			return (int)i;
	return -1;
}

/*
 * Make a site and start all of it. Clients may come after a second or two.
 */
void cell_world_init(struct cell_world *world,
		     const struct cell_world_plan *plan)
{
	memset(world, 0, sizeof(*world));
	world->plan = *plan;
	if (!plan->attempts_max)
		world->plan.attempts_max = ATTEMPTS_MAX;
	if (!plan->lease_max_ms)
		world->plan.lease_max_ms = LEASE_MAX_MS;
	if (!plan->revoke_ms)
		world->plan.revoke_ms = REVOKE_MS;
	world->mem = talloc_named_const(NULL, 0, "cell world");
	world->random = plan->seed ^ 0x9e3779b97f4a7c15ULL;
	world->now_us = 3600 * S;
	world->events = g_sequence_new(NULL);
	world->jobs = g_hash_table_new(g_str_hash, g_str_equal);
	world->gangs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     (GDestroyNotify)g_ptr_array_unref);
	world->job_list = g_ptr_array_new();
	world->violations = g_ptr_array_new_with_free_func(g_free);
	world->cordons =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	cell_log_init(world);
	cell_workers_init(world);
	cell_world_publish(world, "k1");
	for (uint32_t i = 0; i < plan->nodes; i++) {
		struct cell_world_node *node = &world->nodes[i];

		node->world = world;
		node->index = i;
		node->store.ops = &cell_log_ops;
		node->workers.ops = &cell_workers_ops;
		node->advisor.ops = &cell_advice_ops;
		cell_world_start(world, i);
		cell_world_at(world, TICK_US, tick, node);
	}
}

/*
 * Stop all and free it.
 */
void cell_world_finish(struct cell_world *world)
{
	GSequenceIter *at;

	for (uint32_t i = 0; i < world->plan.nodes; i++)
		cell_world_kill(world, i);
	for (at = g_sequence_get_begin_iter(world->events);
	     !g_sequence_iter_is_end(at); at = g_sequence_iter_next(at))
		g_free(g_sequence_get(at));
	g_sequence_free(world->events);
	cell_workers_finish(world);
	g_hash_table_destroy(world->gangs);
	cell_log_finish(world);
	for (guint i = 0; i < world->job_list->len; i++)
		g_hash_table_destroy(
			((struct cell_client_job *)world->job_list->pdata[i])
				->tasks);
	g_ptr_array_free(world->job_list, TRUE);
	g_hash_table_destroy(world->jobs);
	g_hash_table_destroy(world->cordons);
	g_ptr_array_free(world->violations, TRUE);
	talloc_free(world->mem);
}

/*
 * A step of plain tasks.
 */
struct rj_cell_step cell_world_step(uint32_t tasks, uint32_t accelerators,
				    uint32_t estimate_ms)
{
	struct rj_cell_step step = { .task_count = tasks,
				     .each = { 1000, 1000, accelerators },
				     .estimate_ms = estimate_ms };

	return step;
}

/*
 * A job that a client may hand in; `work_us` is what each task really takes.
 */
struct cell_client_job *cell_world_job(struct cell_world *world,
				       const char *queue, const char *account,
				       const struct rj_cell_step *steps,
				       uint32_t step_count, uint64_t work_us)
{
	struct cell_client_job *job =
		talloc_zero(world->mem, struct cell_client_job);
	struct rj_cell_def *def = talloc_zero(job, struct rj_cell_def);
	struct rj_error err;

	(void)g_snprintf(job->id, sizeof(job->id), "%016x", ++world->job_count);
	memcpy(def->id, job->id, sizeof(def->id));
	g_strlcpy(def->queue, queue, RJ_NAME_BYTES);
	g_strlcpy(def->account, account, RJ_NAME_BYTES);
	def->spec = talloc_strdup(def, "spec");
	def->attempts_max = world->plan.attempts_max;
	def->steps = talloc_memdup(def, steps, sizeof(*steps) * step_count);
	def->step_count = step_count;
	for (uint32_t i = 0; i < step_count; i++)
		def->steps[i].after =
			talloc_memdup(def, steps[i].after,
				      sizeof(uint32_t) * steps[i].after_count);
	g_assert_false(rj_cell_def_check(def, &err));
	job->def = def;
	job->work_us = work_us;
	job->tasks =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(world->jobs, job->id, job);
	g_ptr_array_add(world->job_list, job);
	return job;
}

/* One call of a client. */
struct client_call {
	struct rj_cell_call call;
	struct cell_world *world;
	struct cell_world_node *node;
	uint32_t life;
	struct cell_client_job *job;
	bool removed; /* its key had been removed for too long when sent */
	char path[64];
	char key[RJ_NAME_BYTES];
};

/* The client has its answer. */
static void answered(struct rj_cell_call *base,
		     const struct rj_cell_answer *answer)
{
	struct client_call *call = (struct client_call *)base;
	struct cell_client_job *job = call->job;
	struct cell_world *world = call->world;

	if (!cell_world_reaches(call->node, call->life)) {
		talloc_free(call);
		return;
	}
	if (call->removed && answer->verdict <= RJ_CELL_VERDICT_CANCELLED)
		cell_world_violation(world, "key: %s is served with %s",
				     job->id, call->key);
	switch (answer->verdict) {
	case RJ_CELL_VERDICT_ACCEPTED:
		if (!job->accepted)
			job->accepted_us = world->now_us;
		job->accepted = true;
		break;
	case RJ_CELL_VERDICT_BUSY:
	case RJ_CELL_VERDICT_AWAY:
		if (base->verb == RJ_CELL_VERB_SUBMIT)
			job->refusals++;
		break;
	case RJ_CELL_VERDICT_CANCELLED:
		if (!job->cancelled)
			job->cancelled_us = world->now_us;
		job->cancelled = true;
		break;
	case RJ_CELL_VERDICT_STATE:
		/* A call that began before the end was shown may still tell
		 * the earlier state; one that began after may not. */
		if (job->has_shown && answer->state < job->shown) {
			if (base->now_us > job->shown_us &&
			    job->shown >= RJ_CELL_JOB_COMPLETED)
				cell_world_violation(
					world, "mixed: %s was %s", job->id,
					rj_cell_job_state_string[job->shown]);
			break;
		}
		if (!job->has_shown || answer->state > job->shown)
			job->shown_us = world->now_us;
		job->has_shown = true;
		job->shown = answer->state;
		if (answer->state >= RJ_CELL_JOB_COMPLETED && !job->ended_us)
			job->ended_us = world->now_us;
		break;
	case RJ_CELL_VERDICT_NO_JOB:
		if (job->accepted && base->verb == RJ_CELL_VERB_ASK)
			job->gone = true;
		break;
	default:
		break;
	}
	talloc_free(call);
}

/* Send one call to a node; one that is down answers nothing. */
static void send_call(struct cell_world *world, uint32_t index,
		      struct cell_client_job *job, enum rj_cell_verb verb)
{
	struct cell_world_node *node = &world->nodes[index];
	struct client_call *call;
	const char *key = world->key;
	const char *prefix = "";

	if (!node->up || node->paused_until_us > world->now_us)
		return;
	call = talloc_zero(world->mem, struct client_call);
	for (uint32_t i = 0; i < G_N_ELEMENTS(queues); i++)
		if (!strcmp(queues[i].name, job->def->queue))
			prefix = queues[i].prefix;
	(void)g_snprintf(call->path, sizeof(call->path), "%s%s", prefix,
			 job->id);
	if (world->old_key && world->now_us / MS % OLD_KEY_ONE_IN == 0) {
		key = world->old_key;
		call->removed = world->now_us >
				world->removed_us + world->plan.revoke_ms * MS;
	}
	(void)g_snprintf(call->key, sizeof(call->key), "%s-%s", key,
			 job->def->account);
	call->world = world;
	call->node = node;
	call->life = node->life;
	call->job = job;
	call->call.verb = verb;
	call->call.host = "host:80";
	call->call.path = call->path;
	call->call.key = call->key;
	call->call.wait_ms = 3000;
	call->call.now_us = world->now_us;
	call->call.wall_ms = cell_world_wall_ms(world);
	call->call.answer = answered;
	if (verb == RJ_CELL_VERB_SUBMIT)
		call->call.body = rj_cell_def_encode(call, job->def);
	cell_world_enter(node);
	rj_cell_front_take(&node->node.front, &call->call);
	cell_world_leave(node);
}

/*
 * Hand a job in, for the first time or again.
 */
void cell_world_submit(struct cell_world *world, uint32_t node,
		       struct cell_client_job *job)
{
	if (!job->sent_us)
		job->sent_us = world->now_us;
	job->tries++;
	send_call(world, node, job, RJ_CELL_VERB_SUBMIT);
}

/*
 * Ask for a job's state.
 */
void cell_world_ask(struct cell_world *world, uint32_t node,
		    struct cell_client_job *job)
{
	send_call(world, node, job, RJ_CELL_VERB_ASK);
}

/*
 * Ask for a job to be cancelled.
 */
void cell_world_cancel(struct cell_world *world, uint32_t node,
		       struct cell_client_job *job)
{
	job->cancel_sent = true;
	send_call(world, node, job, RJ_CELL_VERB_CANCEL);
}
