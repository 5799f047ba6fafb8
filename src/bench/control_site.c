#include "control_site.h"

#include <string.h>
#include <talloc.h>

#include "list_history.h"
#include "private/core_state.h"
#include "private/peer_codec.h"
#include "private/platform_wire.h"
#include "private/worker_wire.h"
#include "radishjunction/config_log.h"

/* The target load, 33,000 tasks on 7,500 workers, is 4.4 on each. */
#define TASKS_PER_WORKER 4
/* Request line, status line and headers of one exchange in both directions, as
 * sent by curl and libmicrohttpd. */
#define HTTP_HEADER_BYTES 330
#define FRAME_BYTES 48 /* length, sequence number and MAC of a peer frame */
/* Each instance links to 2 of the 8 instances of another failure domain. Of
 * those that this instance has no link to, one in this many therefore has a
 * link to this instance. */
#define INBOUND_LINK_STRIDE 4
#define PAGE_RECORDS 500

/*
 * Counts one exchange, unless in the warm-up.
 */
static void count_exchange(struct control *control, struct traffic *traffic,
			   size_t bytes)
{
	if (!control->measuring)
		return;
	traffic->exchanges++;
	traffic->bytes += bytes;
}

/*
 * Queues a new event for delivery after the current one.
 */
static struct rj_event *queue_event(struct control *control,
				    enum rj_event_kind kind)
{
	struct rj_event *event = talloc_zero(control->mem, struct rj_event);

	g_assert(event);
	event->kind = kind;
	g_queue_push_tail(&control->pending, event);
	return event;
}

/*
 * Queues a worker's report with a few running tasks of other instances' jobs.
 */
static void answer_report(struct control *control,
			  const struct rj_worker_call *call)
{
	struct rj_event *event = queue_event(control, RJ_EVENT_WORKER_REPLY);
	struct rj_worker_reply *reply = &event->u.worker_reply;
	struct rj_task_report *tasks;
	char *out;
	char *in;

	reply->call_id = call->call_id;
	reply->op = call->op;
	g_strlcpy(reply->worker, call->worker, sizeof(reply->worker));
	reply->status = RJ_REPLY_OK;
	reply->incarnation = 1;
	reply->report.incarnation = 1;
	reply->report.capacity =
		(struct rj_resources){ LARGE_SITE_SLOTS,
				       LARGE_SITE_ACCELERATORS, 128, 524288 };
	tasks = talloc_zero_array(event, struct rj_task_report,
				  TASKS_PER_WORKER);
	g_assert(tasks);
	for (uint32_t i = 0; i < TASKS_PER_WORKER; i++) {
		tasks[i].attempt.job_id = 1000 + i;
		tasks[i].attempt.owner = 77;
		tasks[i].attempt.number = 1;
		tasks[i].holder = 77;
		tasks[i].token = 0x1234567890abcdefULL + i;
		tasks[i].gang = 1;
		tasks[i].state = RJ_TASK_RUNNING;
		tasks[i].each = (struct rj_resources){ 1, 1, 8, 4096 };
		g_strlcpy(tasks[i].account, "account", RJ_NAME_BYTES);
		g_strlcpy(tasks[i].class_name, "render", RJ_NAME_BYTES);
	}
	reply->report.tasks = tasks;
	reply->report.task_count = TASKS_PER_WORKER;
	rj_worker_report_set_version(&reply->report, call->known_version);
	out = rj_worker_wire_encode_call(event, call);
	in = rj_worker_wire_encode_reply(event, call, reply);
	count_exchange(control, &control->reports,
		       strlen(out) + strlen(in) + HTTP_HEADER_BYTES);
}

/*
 * Answers a read; the log contains configuration records only.
 */
static void answer_read(struct control *control, const struct rj_read *read)
{
	struct rj_event *event = queue_event(control, RJ_EVENT_RECORDS);
	struct rj_log_entry entries[PAGE_RECORDS];
	struct rj_records *records = &event->u.records;
	struct rj_log_page page = { .from = read->from, .records = entries };

	records->stream = read->stream;
	records->from = read->from;
	if (read->stream == RJ_STREAM_CONFIG)
		records->head = control->config->len;
	records->records =
		talloc_zero_array(event, struct rj_record, PAGE_RECORDS);
	g_assert(records->records);
	while (read->from + page.count < records->head &&
	       page.count < PAGE_RECORDS) {
		struct rj_record *record = &records->records[page.count];

		*record = *(struct rj_record *)control->config
				   ->pdata[read->from + page.count];
		entries[page.count++] = (struct rj_log_entry){
			record->offset, 0, rj_record_encode(event, record)
		};
	}
	records->count = page.count;
	records->next = read->from + page.count;
	count_exchange(
		control, page.count ? &control->publications : &control->log,
		HTTP_HEADER_BYTES + strlen(rj_log_page_encode(event, &page)));
}

/*
 * Answers the long polls of the `config` stream after an append.
 */
static void answer_config_polls(struct control *control)
{
	for (guint i = control->waiting_reads->len; i > 0; i--) {
		struct waiting_read waiting = g_array_index(
			control->waiting_reads, struct waiting_read, i - 1);

		if (waiting.read.stream != RJ_STREAM_CONFIG)
			continue;
		answer_read(control, &waiting.read);
		g_array_remove_index(control->waiting_reads, i - 1);
	}
}

/*
 * Appends a record to the `config` stream; what it points to must outlive the
 * simulation.
 */
static void append_config(struct control *control,
			  const struct rj_record *record)
{
	struct rj_record *copy =
		talloc_memdup(control->mem, record, sizeof(*record));

	g_assert(copy);
	copy->offset = control->config->len;
	g_ptr_array_add(control->config, copy);
	answer_config_polls(control);
}

/*
 * Applies an append of the core, which carries the configuration forward.
 */
static void answer_append(struct control *control,
			  const struct rj_append *append)
{
	struct rj_event *event = queue_event(control, RJ_EVENT_APPENDED);

	event->u.appended.append_id = append->append_id;
	for (uint32_t i = 0; i < append->count; i++) {
		struct rj_record record = append->records[i];

		record.config_text =
			talloc_strdup(control->mem, record.config_text);
		append_config(control, &record);
		count_exchange(control, &control->publications,
			       HTTP_HEADER_BYTES + strlen(rj_record_encode(
							   event, &record)));
	}
}

/*
 * Delivers the platform's instance list as the adapter decodes it: whole at
 * first, then the changes, or whole each time with load->whole.
 */
static void answer_list(struct control *control)
{
	struct rj_event *event = queue_event(control, RJ_EVENT_INSTANCES);
	uint64_t known = control->list.version;
	struct rj_instances_answer answer;
	char *text;

	if (control->load->whole ||
	    !rj_standin_history_since(control->history, event, known,
				      control->instances,
				      control->instance_count, &answer) ||
	    answer.version == known)
		text = rj_instances_encode(event, control->instances,
					   control->instance_count, known);
	else
		text = rj_instances_encode_changes(event, &answer);
	g_assert(!rj_instances_decode(event, text, &answer, NULL));
	if (!rj_instance_list_apply(&control->list, &answer))
		event->kind = RJ_EVENT_TIMER; /* the list is unchanged */
	event->u.instances.list = control->list.lines;
	event->u.instances.count = control->list.count;
	count_exchange(control, &control->list_traffic,
		       strlen(text) + HTTP_HEADER_BYTES);
}

/*
 * Counts a message to or from a peer.
 */
static void count_message(struct control *control,
			  const struct rj_peer_message *message)
{
	void *mem = talloc_new(NULL);

	count_exchange(control,
		       message->kind == RJ_PEER_CONFIG ?
			       &control->publications :
			       &control->peers,
		       rj_peer_encode(mem, message).length + FRAME_BYTES);
	talloc_free(mem);
}

/*
 * Executes the core's actions. A long poll stays open until it times out,
 * checked once a second.
 */
static void execute_actions(struct control *control)
{
	for (uint32_t i = 0; i < control->actions.count; i++) {
		struct rj_action *action = &control->actions.list[i];

		switch (action->kind) {
		case RJ_ACTION_WORKER_CALL:
			if (action->u.worker_call.op == RJ_WORKER_REPORT)
				answer_report(control, &action->u.worker_call);
			break;
		case RJ_ACTION_READ:
			if (action->u.read.wait_us) {
				struct waiting_read waiting = {
					action->u.read,
					control->now_us + action->u.read.wait_us
				};

				g_array_append_val(control->waiting_reads,
						   waiting);
			} else {
				answer_read(control, &action->u.read);
			}
			break;
		case RJ_ACTION_APPEND:
			answer_append(control, &action->u.append);
			break;
		case RJ_ACTION_PEER_CONNECT:
			g_hash_table_add(control->linked_peers,
					 g_strdup(action->u.peer.name));
			break;
		case RJ_ACTION_PEER_DROP:
			g_hash_table_remove(control->linked_peers,
					    action->u.peer.name);
			break;
		case RJ_ACTION_LIST:
			answer_list(control);
			break;
		case RJ_ACTION_PEER_SEND:
			count_message(control, action->u.peer.message);
			break;
		default:
			break;
		}
	}
	rj_actions_clear(&control->actions);
}

/*
 * Answers the long polls that have timed out.
 */
static void expire_polls(struct control *control)
{
	for (guint i = control->waiting_reads->len; i > 0; i--) {
		struct waiting_read waiting = g_array_index(
			control->waiting_reads, struct waiting_read, i - 1);

		if (control->now_us < waiting.due_us)
			continue;
		answer_read(control, &waiting.read);
		g_array_remove_index(control->waiting_reads, i - 1);
	}
}

/*
 * Queues a message to the core from the instance at `index`. Returns NULL if
 * that instance has no link with it.
 */
static struct rj_peer_message *
queue_peer_message(struct control *control, uint32_t index,
		   enum rj_peer_message_kind kind)
{
	const struct rj_instance *line = &control->instances[index];
	struct rj_peer_message *message;
	struct rj_event *event;

	if (!index || line->role != RJ_ROLE_ENTRY ||
	    (strcmp(line->domain, LARGE_SITE_DOMAIN) != 0 &&
	     index % INBOUND_LINK_STRIDE &&
	     !g_hash_table_contains(control->linked_peers, line->name)))
		return NULL;
	event = queue_event(control, RJ_EVENT_PEER_MESSAGE);
	message = talloc_zero(event, struct rj_peer_message);
	g_assert(message);
	g_strlcpy(event->u.peer.name, line->name, RJ_NAME_BYTES);
	event->u.peer.message = message;
	message->kind = kind;
	return message;
}

/*
 * Sends the heartbeats of the peers, once a second. Peers in other failure
 * domains send at the lower rate that this instance uses as well.
 */
static void send_heartbeats(struct control *control)
{
	uint32_t every = rj_membership_cross_domain_interval(
		control->load->site.domains);
	bool others = control->heartbeat_rounds++ % every == 0;

	for (uint32_t i = 0; i < control->instance_count; i++) {
		const char *domain = control->instances[i].domain;
		struct rj_peer_message *message;

		if (!others &&
		    strcmp(domain, control->instances[0].domain) != 0)
			continue;
		message = queue_peer_message(control, i, RJ_PEER_HEARTBEAT);
		if (!message)
			continue;
		g_strlcpy(message->u.heartbeat.domain,
			  control->instances[i].domain, RJ_NAME_BYTES);
		message->u.heartbeat.incarnation = 100 + i;
		message->u.heartbeat.config_revision =
			1 + control->site.open_max;
		message->u.heartbeat.config_changes = !control->load->whole;
		count_message(control, message);
	}
}

/*
 * Sends a config offer from every peer: each has read the new publication
 * before it received this instance's heartbeat with that revision.
 */
static void send_config_offers(struct control *control,
			       const struct rj_record *record)
{
	for (uint32_t i = 0; i < control->instance_count; i++) {
		struct rj_peer_message *message =
			queue_peer_message(control, i, RJ_PEER_CONFIG);
		struct rj_peer_config *offer;

		if (!message)
			continue;
		offer = &message->u.config;
		offer->revision = record->revision;
		offer->offset = control->config->len;
		memcpy(offer->id, record->config_id, sizeof(offer->id));
		offer->text = record->config_text ? record->config_text : "";
		offer->change = record->config_change;
		count_message(control, message);
	}
}

/*
 * Publishes a configuration with a changed limit of one account.
 */
static void publish(struct control *control)
{
	struct rj_record record = { .kind = RJ_RECORD_CONFIG,
				    .author = "operator" };
	char *text;

	control->site.open_max++;
	text = large_site_config(control->mem, &control->site);
	record.base_revision = control->site.open_max;
	record.revision = record.base_revision + 1;
	g_snprintf(record.config_id, RJ_CONFIG_ID_BYTES, "%016x",
		   control->site.open_max);
	if (control->load->whole)
		record.config_text = text;
	else if (rj_config_change_make(control->mem, control->text, text,
				       &record.config_change))
		g_error("the change cannot be made");
	control->text = text;
	append_config(control, &record);
	send_config_offers(control, &record);
}

/*
 * Replaces some worker of the site by one with another address.
 */
static void replace_worker(struct control *control)
{
	struct rj_instance *line;
	uint32_t at = 0;

	do {
		at = control->replaced++ * 7919 % control->instance_count;
		line = &control->instances[at];
	} while (line->role != RJ_ROLE_WORKER);
	rj_standin_history_record(control->history,
				  rj_instances_version(control->instances,
						       control->instance_count),
				  line->name);
	line->address.port ^= 1;
}

/*
 * Delivers one event to the core and executes the resulting actions.
 */
static void deliver(struct control *control, struct rj_event *event)
{
	event->now_us = control->now_us;
	rj_core_process(&control->core, event, &control->actions);
	execute_actions(control);
}

/*
 * Applies the publications and replacements that are due; called once a second.
 */
static void apply_load(struct control *control)
{
	const struct control_load *load = control->load;

	if (load->changes_per_day &&
	    control->now_us >= control->change_due_us) {
		control->change_due_us +=
			CONTROL_DAY_US / load->changes_per_day;
		publish(control);
	}
	if (load->replacements_per_day &&
	    control->now_us >= control->replace_due_us) {
		control->replace_due_us +=
			CONTROL_DAY_US / load->replacements_per_day;
		replace_worker(control);
	}
}

/*
 * Runs the simulation until `until_us` of virtual time.
 */
void control_run_until(struct control *control, uint64_t until_us)
{
	struct rj_event timer = { .kind = RJ_EVENT_TIMER };
	struct rj_event *event;

	while (control->now_us < until_us) {
		uint64_t wake_us = rj_core_wake_us(&control->core);

		while ((event = g_queue_pop_head(&control->pending))) {
			deliver(control, event);
			talloc_free(event);
		}
		if (control->now_us >= control->peers_due_us) {
			send_heartbeats(control);
			apply_load(control);
			expire_polls(control);
			control->peers_due_us += RJ_US_PER_S;
			continue;
		}
		control->now_us = MIN(wake_us, control->peers_due_us);
		deliver(control, &timer);
	}
}

/*
 * Creates the instance and its simulated environment. `load` must outlive it.
 */
void control_init(struct control *control, const struct control_load *load)
{
	struct rj_core_options options = { .name = "entry-0",
					   .domain = LARGE_SITE_DOMAIN,
					   .incarnation = 100,
					   .seed = 1,
					   .retention_us = 7 * CONTROL_DAY_US };
	struct rj_record first = { .kind = RJ_RECORD_CONFIG,
				   .config_id = "first",
				   .revision = 1 };
	struct rj_error err;

	memset(control, 0, sizeof(*control));
	control->mem = talloc_named_const(NULL, 0, "control");
	control->load = load;
	control->site = load->site;
	control->now_us = CONTROL_START_US;
	control->peers_due_us = CONTROL_START_US;
	control->change_due_us = CONTROL_START_US + CONTROL_WARM_UP_US;
	control->replace_due_us = CONTROL_START_US + CONTROL_WARM_UP_US;
	control->config = g_ptr_array_new();
	control->linked_peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	control->waiting_reads =
		g_array_new(FALSE, FALSE, sizeof(struct waiting_read));
	g_queue_init(&control->pending);
	control->text = large_site_config(control->mem, &control->site);
	first.config_text = control->text;
	append_config(control, &first);
	control->instances = large_site_list(control->mem, &control->site,
					     &control->instance_count);
	rj_instance_list_init(&control->list, control->mem);
	control->history = talloc_zero(control->mem, struct rj_standin_history);
	g_assert(control->history);
	rj_actions_init(&control->actions, control->mem);
	if (rj_planner_topology_init(&control->planner, control->mem))
		g_error("the planner cannot be made");
	options.planner = &control->planner.base;
	if (rj_core_init(&control->core, control->mem, &options, &err))
		g_error("%s", err.message);
}

/*
 * Frees the simulation.
 */
void control_finish(struct control *control)
{
	rj_core_finish(&control->core);
	control->planner.base.ops->finish(&control->planner.base);
	g_queue_clear(&control->pending);
	g_array_free(control->waiting_reads, TRUE);
	g_hash_table_destroy(control->linked_peers);
	g_ptr_array_free(control->config, TRUE);
	talloc_free(control->mem);
}
