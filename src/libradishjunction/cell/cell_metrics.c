#include "private/cell_metrics.h"

#include <inttypes.h>

/* Shown if an age is unknown. */
#define UNKNOWN_AGE -1

static const char *const priority_class_string[RJ_CELL_PRIORITY_CLASSES] = {
	"0", "1", "2+"
};

static void write_number(GString *text, const char *name, uint64_t value)
{
	g_string_append_printf(text, "radishjunction_%s %" PRIu64 "\n", name,
			       value);
}

static void write_labelled(GString *text, const char *name, const char *label,
			   const char *value, uint64_t count)
{
	g_string_append_printf(text,
			       "radishjunction_%s{%s=\"%s\"} %" PRIu64 "\n",
			       name, label, value, count);
}

static void write_log_age(GString *text,
			  const struct rj_cell_log_reader *reader,
			  uint64_t now_us)
{
	uint64_t age_us = rj_cell_log_reader_age_us(reader, now_us);
	int64_t age_ms = age_us == RJ_NEVER_US ?
				 UNKNOWN_AGE :
				 (int64_t)(age_us / RJ_US_PER_MS);

	g_string_append_printf(
		text, "radishjunction_log_age_ms{log=\"%s\"} %" PRId64 "\n",
		rj_cell_topic_string[reader->topic], age_ms);
}

static void write_frontend(GString *text,
			   const struct rj_cell_frontend *frontend)
{
	write_number(text, "requests_open", frontend->open);
	write_number(text, "rejections",
		     frontend->counters.answers[RJ_CELL_VERDICT_BUSY].count);
	for (int i = 0; i < RJ_CELL_VERB_COUNT; i++)
		write_labelled(text, "calls", "call", rj_cell_verb_string[i],
			       frontend->counters.calls[i]);
	write_number(text, "accepted_within_share",
		     frontend->counters.accepted_within_share);
	for (int i = 0; i < RJ_CELL_VERDICT_COUNT; i++)
		if (frontend->counters.answers[i].count)
			rj_latency_write(&frontend->counters.answers[i],
					 "radishjunction_answer_ms", "verdict",
					 rj_cell_verdict_string[i], text);
}

static void write_appends(GString *text, const char *producer,
			  const struct rj_cell_writer *writer)
{
	rj_latency_write(&writer->appends, "radishjunction_append_ms",
			 "producer", producer, text);
	write_labelled(text, "appends_lost", "producer", producer,
		       writer->lost);
	write_labelled(text, "appends_refused", "producer", producer,
		       writer->refused);
	write_labelled(text, "records_invalid", "producer", producer,
		       writer->invalid);
}

/* Counts the workers whose runs wait for their leases to expire, as they do not
 * answer, and shows the longest wait that is left. */
static void write_lease_waits(GString *text, const struct rj_cell_owner *owner,
			      uint64_t now_us)
{
	const struct rj_list *at;
	uint32_t workers = 0;
	uint64_t longest_us = 0;

	for (at = owner->fleet.workers.next; at != &owner->fleet.workers;
	     at = at->next) {
		const struct rj_cell_worker *worker =
			RJ_CONTAINER(at, struct rj_cell_worker, link);

		if (worker->answers || worker->runs.next == &worker->runs ||
		    now_us >= worker->lease_expired_us)
			continue;
		workers++;
		longest_us = MAX(longest_us, worker->lease_expired_us - now_us);
	}
	write_number(text, "workers_awaiting_lease_end", workers);
	write_number(text, "lease_wait_max_ms", longest_us / RJ_US_PER_MS);
}

/* Counts the listed and the usable workers. */
static void write_fleet(GString *text, const struct rj_cell_owner *owner,
			uint64_t now_us)
{
	const struct rj_list *at;
	uint32_t listed = 0;
	uint32_t usable = 0;
	uint32_t by_rank[RJ_CELL_HISTORY_RANK_MAX + 1] = { 0 };

	for (at = owner->fleet.workers.next; at != &owner->fleet.workers;
	     at = at->next) {
		const struct rj_cell_worker *worker =
			RJ_CONTAINER(at, struct rj_cell_worker, link);

		listed += worker->listed;
		usable += rj_cell_worker_usable(worker, now_us);
		if (worker->listed)
			by_rank[rj_cell_worker_rank(worker, true, now_us)]++;
	}
	write_number(text, "workers_listed", listed);
	write_number(text, "workers_usable", usable);
	for (uint32_t i = 0; i < G_N_ELEMENTS(by_rank); i++) {
		char rank[] = { (char)('0' + i), '\0' };

		write_labelled(text, "workers_by_rank", "rank", rank,
			       by_rank[i]);
	}
}

/* Writes the figures of the snapshot, if the deployment calls for one. */
static void write_snapshot(GString *text, const struct rj_cell_owner *owner)
{
	const struct rj_cell_handover *handover = &owner->handover;

	if (!owner->limits.features.snapshot_ms)
		return;
	write_number(text, "snapshot_bytes", handover->counters.bytes);
	write_number(text, "snapshot_records", handover->counters.records);
	write_number(text, "snapshot_refused", handover->counters.refused);
	if (owner->active)
		write_number(text, "paces_known", handover->paces_known);
}

/* Writes the decisions on the queues, of which there are 32 at most. */
static void write_admission(GString *text, const struct rj_cell_owner *owner,
			    uint64_t now_us)
{
	const struct rj_cell_service_rate *rate = &owner->service_rate;

	if (!owner->limits.features.admission_forecast)
		return;
	for (uint32_t i = 0; i < RJ_CELL_PRIORITY_CLASSES; i++)
		write_labelled(
			text, "useful_percent", "priority",
			priority_class_string[i],
			(uint64_t)(100 * rj_cell_service_rate_useful_share(
						 rate, i, now_us)));
	for (uint32_t i = 0; i < rate->decision_count; i++) {
		const struct rj_cell_service_decision *decision =
			&rate->decisions[i];

		write_labelled(text, "forecast_wait_ms", "queue",
			       decision->queue, (uint64_t)decision->wait_ms);
		write_labelled(text, "queue_rejects", "queue", decision->queue,
			       decision->rejects);
		write_labelled(text, "queue_decision_changes", "queue",
			       decision->queue, decision->changes);
	}
}

/* Writes the counters; the gauges only while this node is the owner. */
static void write_owner(GString *text, const struct rj_cell_owner *owner,
			uint64_t now_us)
{
	const struct rj_cell_owner_counters *counters = &owner->counters;

	write_number(text, "owner", owner->active);
	write_number(text, "owner_token", owner->active ? owner->token : 0);
	write_number(text, "takeovers", counters->takeovers);
	write_number(text, "resigns", counters->resignations);
	write_number(text, "departures_inferred", counters->departures);
	write_number(text, "starts", counters->starts);
	write_number(text, "backfills", counters->backfills);
	write_number(text, "stops", counters->stops);
	write_number(text, "polls", counters->polls);
	write_number(text, "probes", counters->probes);
	write_number(text, "worker_handshakes", owner->workers->handshakes);
	for (int i = 0; i < RJ_CELL_ORDER_STATUS_COUNT; i++)
		write_labelled(text, "call_answers", "answer",
			       rj_cell_order_status_string[i],
			       counters->answers[i]);
	write_number(text, "plans", counters->plans);
	for (int i = RJ_CELL_PLAN_ALLOWED + 1; i < RJ_CELL_PLAN_BLOCK_COUNT;
	     i++)
		write_labelled(text, "plans_prevented", "why",
			       rj_cell_plan_block_string[i],
			       counters->plan_blocks[i]);
	write_number(text, "plan_effort_max", counters->plan_effort_max);
	for (int i = 0; i < 2; i++)
		write_labelled(text, "late_starts", "guaranteed",
			       i ? "yes" : "no",
			       owner->guarantees.late_starts[i]);
	write_number(text, "jobs_completed", counters->completed);
	write_number(text, "jobs_failed", counters->failed);
	for (int i = 0; i < RJ_CELL_COMPLETION_COUNT; i++)
		write_labelled(text, "run_ends", "end",
			       rj_cell_completion_string[i],
			       counters->completions[i]);
	for (int i = 0; i < RJ_CELL_BAD_END_COUNT; i++)
		write_labelled(text, "worker_bad_ends", "kind",
			       rj_cell_bad_end_string[i],
			       counters->bad_ends[i]);
	for (int i = 0; i < RJ_CELL_PRIORITY_CLASSES; i++)
		rj_latency_write(&counters->first_start_waits[i],
				 "radishjunction_first_start_ms", "priority",
				 priority_class_string[i], text);
	rj_latency_write(&counters->start_latency, "radishjunction_order_ms",
			 "order", "start", text);
	write_snapshot(text, owner);
	if (!owner->active)
		return;
	for (int i = 0; i < RJ_CELL_PRIORITY_CLASSES; i++) {
		const struct rj_cell_backlog_class *waiting =
			&owner->backlog.classes[i];

		write_labelled(text, "tasks_waiting", "priority",
			       priority_class_string[i], waiting->tasks);
		write_labelled(text, "oldest_wait_ms", "priority",
			       priority_class_string[i],
			       waiting->longest_wait_us / RJ_US_PER_MS);
	}
	write_number(text, "accelerators_reserved", owner->backlog.reserved);
	write_number(text, "accelerators_reserved_free",
		     owner->backlog.reserved_free);
	write_number(text, "accelerators_promised", owner->backlog.promised);
	write_admission(text, owner, now_us);
	write_fleet(text, owner, now_us);
	write_lease_waits(text, owner, now_us);
	if (owner->limits.features.account_shares)
		rj_cell_account_shares_write_metrics(&owner->account_shares,
						     text);
}

/* Writes the rejections that this instance keeps and, of the owner, the order of
 * return. */
static void write_return_order(GString *text, const struct rj_cell_node *node)
{
	const struct rj_cell_return_order *order = &node->owner.return_order;
	const struct rj_cell_return_counters *counters = &order->counters;

	if (!node->options.limits.features.return_order)
		return;
	write_number(text, "rejections_kept",
		     node->frontend.rejections.list.count);
	write_number(text, "returns_waiting",
		     node->owner.active ? g_hash_table_size(order->by_id) : 0);
	write_number(text, "returns_announced", counters->announced);
	write_number(text, "returns_in_turn", counters->in_turn);
	write_number(text, "returns_expired", counters->expired);
}

/*
 * Appends all metrics to `text`, one per line.
 */
void rj_cell_metrics_write(const struct rj_cell_node *node, uint64_t now_us,
			   GString *text)
{
	write_number(text, "config_version",
		     node->config ? node->config->version : 0);
	write_number(text, "config_invalid_parts",
		     node->config ? node->config->invalid_count : 0);
	write_number(text, "config_unreadable",
		     node->frontend.config_unknown_us != 0);
	for (guint i = 0; i < node->cordons.cordons->len; i++)
		write_labelled(text, "cordon_version", "domain",
			       g_array_index(node->cordons.cordons,
					     struct rj_cell_cordon, i)
				       .domain,
			       g_array_index(node->cordons.cordons,
					     struct rj_cell_cordon, i)
				       .version);
	write_number(text, "jobs_known", node->view.count);
	write_log_age(text, &node->configs, now_us);
	write_log_age(text, &node->jobs, now_us);
	write_log_age(text, &node->fleet, now_us);
	write_frontend(text, &node->frontend);
	write_appends(text, "front", &node->writer);
	write_appends(text, "owner", &node->owner.writer);
	write_appends(text, "owner_progress", &node->owner.progress_writer);
	write_owner(text, &node->owner, now_us);
	write_return_order(text, node);
}
