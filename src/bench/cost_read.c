/*
 * Cost of reading the log: each kind of record, from the platform's page to
 * the core's state, and the catch-up of an instance that starts empty on the
 * records of the full retention time.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "cost.h"
#include "large_site.h"
#include "private/platform_wire.h"
#include "radishjunction/config_log.h"
#include "radishjunction/core.h"
#include "radishjunction/planner_topology.h"
#include "support/quantile.h"

/* Page size requested by the platform adapter. */
#define PAGE_RECORDS 500
#define PAGES_MAX 64
#define INSTANCES 8

/* The target load: jobs a day, and the tasks of one job with 33,000 running
 * tasks, most of them for hours (some 1,850 jobs of 6 hours at a time). */
#define JOBS_PER_DAY 7400
#define MEMBERS 4 /* workers of a claimed job */
#define MEMBER_TASKS 4
#define BODY_BYTES 1024
#define RESULT_BYTES 256
#define RETENTION_DAYS 7 /* the default of the settings */
#define DAY_US (86400 * RJ_US_PER_S)
#define START_US (30 * DAY_US)
#define PUBLICATIONS 101 /* the first is always whole */
#define CATCH_UP_WORKERS 940 /* of a failure domain at the target size */

/* The records of each job, in order. */
static const enum rj_record_kind job_kinds[] = { RJ_RECORD_ACCEPT,
						 RJ_RECORD_CLAIM,
						 RJ_RECORD_OUTCOME };
static const char *const measure_names[] = { "read_accept", "read_claim",
					     "read_outcome" };

#define JOB_KINDS 3

struct reader {
	void *mem;
	struct rj_core core;
	struct rj_planner_topology planner;
	struct rj_actions actions;
	uint64_t next[RJ_STREAM_COUNT];
};

/* Time to decode a page and to process it in the core. */
struct page_cost {
	double decode_ns;
	double core_ns;
	size_t bytes;
};

/*
 * Passes one event to the core and discards the actions. Returns the time in
 * nanoseconds.
 */
static double process_at(struct reader *reader, struct rj_event *event,
			 uint64_t now_us)
{
	double start_ns = cost_now_ns();

	event->now_us = now_us;
	rj_core_process(&reader->core, event, &reader->actions);
	rj_actions_clear(&reader->actions);
	return cost_now_ns() - start_ns;
}

/*
 * As process_at, at the time of the instance's start.
 */
static double process(struct reader *reader, struct rj_event *event)
{
	return process_at(reader, event, START_US);
}

/*
 * Starts an instance of a failure domain, with a configuration in force and
 * the instance list delivered.
 */
static void reader_init(struct reader *reader, uint32_t workers,
			uint32_t accounts)
{
	struct large_site site = { .domains = 1,
				   .workers = workers,
				   .instances = INSTANCES,
				   .accounts = accounts };
	struct rj_core_options options = { .name = "entry-0",
					   .domain = LARGE_SITE_DOMAIN,
					   .incarnation = 100,
					   .seed = 1,
					   .retention_us =
						   RETENTION_DAYS * DAY_US };
	struct rj_record config = { .kind = RJ_RECORD_CONFIG,
				    .config_id = "first",
				    .revision = 1 };
	struct rj_event event = { .kind = RJ_EVENT_RECORDS };
	struct rj_event list = { .kind = RJ_EVENT_INSTANCES };
	struct rj_error err;

	memset(reader, 0, sizeof(*reader));
	reader->mem = talloc_named_const(NULL, 0, "reader");
	rj_actions_init(&reader->actions, reader->mem);
	if (rj_planner_topology_init(&reader->planner, reader->mem))
		g_error("the planner cannot be made");
	options.planner = &reader->planner.base;
	if (rj_core_init(&reader->core, reader->mem, &options, &err))
		g_error("%s", err.message);
	config.config_text = large_site_config(reader->mem, &site);
	event.u.records = (struct rj_records){ .stream = RJ_STREAM_CONFIG,
					       .next = 1,
					       .head = 1,
					       .records = &config,
					       .count = 1 };
	process(reader, &event);
	g_assert(rj_core_config(&reader->core));
	list.u.instances.list =
		large_site_list(reader->mem, &site, &list.u.instances.count);
	process(reader, &list);
}

/*
 * Frees the instance.
 */
static void reader_finish(struct reader *reader)
{
	rj_core_finish(&reader->core);
	reader->planner.base.ops->finish(&reader->planner.base);
	talloc_free(reader->mem);
}

/*
 * Returns an encoded record of a job on a few workers.
 */
static char *record_text(void *mem, enum rj_record_kind kind, uint64_t job)
{
	static const uint8_t bytes[BODY_BYTES];
	struct rj_claim_member members[MEMBERS] = { 0 };
	struct rj_record record = {
		.kind = kind,
		.author = "entry-3",
		.domain = LARGE_SITE_DOMAIN,
		.attempt = { job, 77, 1 },
		.spec = { .job_id = job,
			  .account = "account-000",
			  .class_name = "render",
			  .key = "5f0c2f1e-key",
			  .shape = { MEMBERS * MEMBER_TASKS,
				     { 1, 1, 8, 4096 },
				     false },
			  .declared_us = 6 * 3600 * RJ_US_PER_S },
	};
	char *text;

	if (kind == RJ_RECORD_ACCEPT)
		record.spec.body = (struct rj_bytes){ bytes, BODY_BYTES };
	if (kind == RJ_RECORD_CLAIM) {
		for (uint32_t i = 0; i < MEMBERS; i++)
			members[i] =
				(struct rj_claim_member){ "worker-00123", 1,
							  job * MEMBERS + i,
							  MEMBER_TASKS };
		record.members = members;
		record.member_count = MEMBERS;
		record.lease_life_us = 90 * RJ_US_PER_S;
	}
	if (kind == RJ_RECORD_OUTCOME) {
		record.outcome = RJ_ANSWER_DONE;
		record.result = (struct rj_bytes){ bytes, RESULT_BYTES };
	}
	text = rj_record_encode(mem, &record);
	g_assert(text);
	return text;
}

/*
 * Returns an encoded page of the `jobs` stream: `count` records from offset
 * `from` on, each `age_ms` old, of a stream that ends at `head`.
 */
static char *page_text(void *mem, uint64_t from, uint32_t count, uint64_t head,
		       uint64_t age_ms, char *(*text_of)(void *, uint64_t))
{
	struct rj_log_entry entries[PAGE_RECORDS];
	struct rj_log_page page = { .from = from,
				    .next = from + count,
				    .head = head,
				    .records = entries,
				    .count = count };

	for (uint32_t i = 0; i < count; i++)
		entries[i] = (struct rj_log_entry){ from + i, age_ms,
						    text_of(mem, from + i) };
	return rj_log_page_encode(mem, &page);
}

/*
 * Decodes one page like the adapter and passes it to the core; adds the times
 * to `cost`.
 */
static void read_page(struct reader *reader, const char *text,
		      struct page_cost *cost)
{
	struct rj_event event = { .kind = RJ_EVENT_RECORDS };
	struct rj_records *records = &event.u.records;
	void *mem = talloc_new(NULL);
	double start_ns = cost_now_ns();
	struct rj_log_page page;
	double decoded_ns;

	if (rj_log_page_decode(mem, text, &page, NULL))
		g_error("the page cannot be read");
	*records = (struct rj_records){ .stream = RJ_STREAM_JOBS,
					.from = page.from,
					.next = page.next,
					.head = page.head,
					.count = page.count };
	records->records = talloc_zero_array(mem, struct rj_record, page.count);
	for (uint32_t i = 0; i < page.count; i++) {
		struct rj_record *record = &records->records[i];

		if (rj_record_decode(mem, page.records[i].text, record, NULL))
			g_error("a record cannot be read");
		record->offset = page.records[i].offset;
		record->age_us = page.records[i].age_ms * RJ_US_PER_MS;
	}
	decoded_ns = cost_now_ns();
	cost->decode_ns += decoded_ns - start_ns;
	cost->core_ns += process(reader, &event);
	cost->bytes += strlen(text);
	talloc_free(mem);
}

/*
 * Pages with one kind of record each: the first accepts the jobs, the second
 * claims them, the third has their outcomes.
 */
static char *text_by_page(void *mem, uint64_t offset)
{
	return record_text(mem, job_kinds[offset / PAGE_RECORDS],
			   1 + offset % PAGE_RECORDS);
}

/*
 * Prints the time to decode and process one record of each kind at each
 * number of workers; medians over `repeats` instances.
 */
void cost_read(uint32_t accounts, uint32_t repeats)
{
	double samples[JOB_KINDS][COST_SIZES];

	repeats = MIN(repeats, PAGES_MAX);
	for (uint32_t size = 0; size < COST_SIZES; size++) {
		double pages[JOB_KINDS][PAGES_MAX];

		for (uint32_t i = 0; i < repeats; i++) {
			struct reader reader;

			reader_init(&reader, cost_worker_counts[size],
				    accounts);
			for (uint32_t kind = 0; kind < JOB_KINDS; kind++) {
				void *mem = talloc_new(NULL);
				struct page_cost cost = { 0 };

				read_page(&reader,
					  page_text(mem, kind * PAGE_RECORDS,
						    PAGE_RECORDS,
						    JOB_KINDS * PAGE_RECORDS, 0,
						    text_by_page),
					  &cost);
				pages[kind][i] =
					(cost.decode_ns + cost.core_ns) /
					PAGE_RECORDS;
				talloc_free(mem);
			}
			reader_finish(&reader);
		}
		for (uint32_t kind = 0; kind < JOB_KINDS; kind++) {
			samples[kind][size] =
				quantile_of(pages[kind], repeats, 0.5) / 1000;
			printf("{\"bench\":\"cost\",\"measure\":\"%s\","
			       "\"workers\":%u,\"accounts\":%u,\"us\":%.2f}\n",
			       measure_names[kind], cost_worker_counts[size],
			       accounts, samples[kind][size]);
		}
	}
	for (uint32_t kind = 0; kind < JOB_KINDS; kind++)
		cost_print_slope(measure_names[kind], "us", accounts,
				 samples[kind], 0);
}

/*
 * Records of the full retention time: each job is accepted, claimed and ended.
 */
static char *text_by_job(void *mem, uint64_t offset)
{
	return record_text(mem, job_kinds[offset % JOB_KINDS],
			   1 + offset / JOB_KINDS);
}

/*
 * Prints the cost of the catch-up of an empty instance on a full retention
 * time of jobs at the target load, and of one timer event over the state kept.
 */
void cost_catch_up(uint32_t accounts)
{
	uint64_t jobs = (uint64_t)RETENTION_DAYS * JOBS_PER_DAY;
	uint64_t total = jobs * JOB_KINDS;
	struct rj_event timer = { .kind = RJ_EVENT_TIMER };
	struct page_cost cost = { 0 };
	struct reader reader;
	double round_ns;
	size_t before;
	size_t after;

	reader_init(&reader, CATCH_UP_WORKERS, accounts);
	before = talloc_total_size(reader.core.state);
	for (uint64_t from = 0; from < total; from += PAGE_RECORDS) {
		uint32_t count = (uint32_t)MIN(PAGE_RECORDS, total - from);
		uint64_t age_ms =
			(total - from) * RETENTION_DAYS * 86400000 / total;
		void *mem = talloc_new(NULL);

		read_page(
			&reader,
			page_text(mem, from, count, total, age_ms, text_by_job),
			&cost);
		talloc_free(mem);
	}
	after = talloc_total_size(reader.core.state);
	/* The first timer event drops expired state; the second is typical. */
	process_at(&reader, &timer, START_US + RJ_US_PER_S);
	round_ns = process_at(&reader, &timer, START_US + 2 * RJ_US_PER_S);
	printf("{\"bench\":\"cost\",\"measure\":\"catch_up\",\"accounts\":%u,"
	       "\"records\":%" G_GUINT64_FORMAT
	       ",\"text_bytes\":%zu,\"decode_ms\":%.0f,\"core_ms\":%.0f,"
	       "\"state_bytes\":%zu,\"state_bytes_a_job\":%.0f,"
	       "\"state_bytes_kept\":%zu,\"round_us\":%.0f}\n",
	       accounts, total, cost.bytes, cost.decode_ns / 1e6,
	       cost.core_ns / 1e6, after - before,
	       (double)(after - before) / (double)jobs,
	       talloc_total_size(reader.core.state) - before, round_ns / 1e3);
	reader_finish(&reader);
}

/*
 * Prints the time to apply one publication, without the planner: whole
 * configurations, or changes of one limit.
 */
void cost_publication(uint32_t accounts, bool whole)
{
	struct large_site site = { .domains = 8,
				   .workers = CATCH_UP_WORKERS,
				   .instances = INSTANCES,
				   .accounts = accounts,
				   .guarantees = true };
	void *mem = talloc_new(NULL);
	double samples[PUBLICATIONS];
	char *before = NULL;
	struct rj_config_log log;
	struct rj_error_list errors;

	rj_error_list_init(&errors, mem);
	rj_config_log_init(&log, mem);
	for (uint32_t i = 0; i < PUBLICATIONS; i++) {
		char *text = large_site_config(mem, &site);
		struct rj_record record = { .kind = RJ_RECORD_CONFIG,
					    .offset = i,
					    .base_revision = i,
					    .revision = i + 1 };

		g_snprintf(record.config_id, RJ_CONFIG_ID_BYTES, "p%u", i);
		if (whole || !i)
			record.config_text = text;
		else if (rj_config_change_make(mem, before, text,
					       &record.config_change))
			g_error("the change cannot be made");
		samples[i] = cost_now_ns();
		if (rj_config_log_apply(&log, &record, START_US, &errors) !=
		    RJ_CONFIG_ACCEPTED)
			g_error("the publication is not accepted");
		samples[i] = cost_now_ns() - samples[i];
		before = text;
		site.open_max++;
	}
	printf("{\"bench\":\"cost\",\"measure\":\"%s\",\"accounts\":%u,"
	       "\"config_bytes\":%zu,\"us\":%.0f}\n",
	       whole ? "publication_whole" : "publication_change", accounts,
	       strlen(before),
	       quantile_of(samples + 1, PUBLICATIONS - 1, 0.5) / 1000);
	rj_config_log_finish(&log);
	talloc_free(mem);
}
