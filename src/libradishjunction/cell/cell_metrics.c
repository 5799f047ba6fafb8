#include "private/cell_metrics.h"

#include <inttypes.h>

/* What an age that is not known is shown as. */
#define UNKNOWN_AGE -1

/* One number. */
static void number(GString *text, const char *name, uint64_t value)
{
	g_string_append_printf(text, "radishjunction_%s %" PRIu64 "\n", name,
			       value);
}

/* One number with a label. */
static void labelled(GString *text, const char *name, const char *label,
		     const char *value, uint64_t count)
{
	g_string_append_printf(text,
			       "radishjunction_%s{%s=\"%s\"} %" PRIu64 "\n",
			       name, label, value, count);
}

/* How old the knowledge of a log is, in milliseconds. */
static void age(GString *text, const struct rj_cell_follow *follow,
		uint64_t now_us)
{
	uint64_t age_us = rj_cell_follow_age_us(follow, now_us);
	int64_t age_ms = age_us == RJ_NEVER_US ?
				 UNKNOWN_AGE :
				 (int64_t)(age_us / RJ_US_PER_MS);

	g_string_append_printf(
		text, "radishjunction_log_age_ms{log=\"%s\"} %" PRId64 "\n",
		rj_cell_topic_string[follow->topic], age_ms);
}

/* What clients were answered. */
static void write_front(GString *text, const struct rj_cell_front *front)
{
	number(text, "requests_open", front->open);
	for (int i = 0; i < RJ_CELL_VERB_COUNT; i++)
		labelled(text, "calls", "call", rj_cell_verb_string[i],
			 front->counters.calls[i]);
	for (int i = 0; i < RJ_CELL_VERDICT_COUNT; i++)
		if (front->counters.answers[i].count)
			rj_latency_write(&front->counters.answers[i],
					 "radishjunction_answer_ms", "verdict",
					 rj_cell_verdict_string[i], text);
}

/* What became of appends. */
static void write_appends(GString *text, const char *producer,
			  const struct rj_cell_writer *writer)
{
	rj_latency_write(&writer->appends, "radishjunction_append_ms",
			 "producer", producer, text);
	labelled(text, "appends_lost", "producer", producer, writer->lost);
	labelled(text, "appends_refused", "producer", producer,
		 writer->refused);
}

/* Workers by what can be done with them. */
static void write_fleet(GString *text, const struct rj_cell_owner *owner,
			uint64_t now_us)
{
	const struct rj_list *at;
	uint32_t listed = 0;
	uint32_t usable = 0;

	for (at = owner->fleet.workers.next; at != &owner->fleet.workers;
	     at = at->next) {
		const struct rj_cell_worker *worker =
			RJ_CONTAINER(at, struct rj_cell_worker, link);

		listed += worker->listed;
		usable += rj_cell_worker_usable(worker, now_us);
	}
	number(text, "workers_listed", listed);
	number(text, "workers_usable", usable);
}

/* What the owner has done, and what waits for it. */
static void write_owner(GString *text, const struct rj_cell_owner *owner,
			uint64_t now_us)
{
	static const char *const priorities[RJ_CELL_PRIORITIES] = { "0", "1",
								    "2+" };
	const struct rj_cell_owner_counters *counters = &owner->counters;

	number(text, "owner", owner->active);
	number(text, "owner_token", owner->active ? owner->token : 0);
	number(text, "takeovers", counters->takeovers);
	number(text, "resigns", counters->resignations);
	number(text, "starts", counters->starts);
	number(text, "stops", counters->stops);
	number(text, "polls", counters->polls);
	number(text, "plans", counters->plans);
	number(text, "plan_effort_max", counters->plan_effort_max);
	number(text, "jobs_completed", counters->completed);
	number(text, "jobs_failed", counters->failed);
	for (int i = 0; i < RJ_CELL_END_COUNT; i++)
		labelled(text, "run_ends", "end", rj_cell_end_string[i],
			 counters->completions[i]);
	for (int i = 0; i < RJ_CELL_PRIORITIES; i++)
		rj_latency_write(&counters->first_start_waits[i],
				 "radishjunction_first_start_ms", "priority",
				 priorities[i], text);
	rj_latency_write(&counters->start_latency, "radishjunction_order_ms",
			 "order", "start", text);
	if (!owner->active)
		return;
	for (int i = 0; i < RJ_CELL_PRIORITIES; i++) {
		const struct rj_cell_backlog_class *waiting =
			&owner->backlog.classes[i];

		labelled(text, "tasks_waiting", "priority", priorities[i],
			 waiting->tasks);
		labelled(text, "oldest_wait_ms", "priority", priorities[i],
			 waiting->oldest_us / RJ_US_PER_MS);
	}
	number(text, "accelerators_reserved", owner->backlog.reserved);
	number(text, "accelerators_reserved_free",
	       owner->backlog.reserved_free);
	number(text, "accelerators_promised", owner->backlog.promised);
	write_fleet(text, owner, now_us);
}

/*
 * Append everything that is counted, a name and a value a line.
 */
void rj_cell_metrics_write(const struct rj_cell_node *node, uint64_t now_us,
			   GString *text)
{
	number(text, "config_version",
	       node->config ? node->config->version : 0);
	for (guint i = 0; i < node->cordons.cordons->len; i++)
		labelled(text, "cordon_version", "domain",
			 g_array_index(node->cordons.cordons,
				       struct rj_cell_cordon, i)
				 .domain,
			 g_array_index(node->cordons.cordons,
				       struct rj_cell_cordon, i)
				 .version);
	number(text, "jobs_known", node->view.count);
	age(text, &node->configs, now_us);
	age(text, &node->jobs, now_us);
	age(text, &node->fleet, now_us);
	write_front(text, &node->front);
	write_appends(text, "front", &node->writer);
	write_appends(text, "owner", &node->owner.writer);
	write_appends(text, "owner_progress", &node->owner.progress_writer);
	write_owner(text, &node->owner, now_us);
}
