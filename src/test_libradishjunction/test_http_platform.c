#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "platform.h"
#include "private/clock.h"
#include "radishjunction/http_platform.h"
#include "stream.h"

#define WAIT_US (30 * RJ_US_PER_S)
/* Together more than the adapter accepts in one answer. */
#define LARGE_BYTES (900 * 1000)
#define LARGE_COUNT 24

struct fixture {
	struct rj_sink sink; /* first member: the fixture is found from it */
	struct tevent_context *ev;
	struct rj_standin_platform standin;
	struct rj_http_platform platform;
	struct rj_record records[2];
	struct rj_append append;
	uint32_t events;
	struct rj_event event; /* the last; what it points to is not valid */
	struct rj_record read[4]; /* the first of its records, shallow copies */
	struct rj_instance listed; /* the first of its list */
};

static void deliver(struct rj_sink *sink, struct rj_event *event)
{
	struct fixture *fixture = (struct fixture *)sink;

	g_assert_cmpuint(event->now_us, >, 0);
	fixture->events++;
	fixture->event = *event;
	if (event->kind == RJ_EVENT_RECORDS)
		for (uint32_t i = 0; i < event->u.records.count && i < 4; i++)
			fixture->read[i] = event->u.records.records[i];
	if (event->kind == RJ_EVENT_INSTANCES && event->u.instances.count)
		fixture->listed = event->u.instances.list[0];
}

static void set_up(struct fixture *fixture, gconstpointer data)
{
	struct rj_standin_platform_options options = {
		.address = { "127.0.0.1", 0 },
		.retention_us = RJ_NEVER_US,
	};

	memset(fixture, 0, sizeof(*fixture));
	fixture->sink.deliver = deliver;
	fixture->ev = tevent_context_init(NULL);
	g_assert_cmpint(rj_standin_platform_init(&fixture->standin, fixture->ev,
						 fixture->ev, &options, NULL),
			==, 0);
	g_assert_cmpint(rj_http_platform_init(&fixture->platform, fixture->ev,
					      fixture->ev, &fixture->sink,
					      &fixture->standin.server.address,
					      "entry-1", NULL),
			==, 0);
	for (uint32_t i = 0; i < 2; i++) {
		fixture->records[i].kind = RJ_RECORD_VOID;
		fixture->records[i].attempt.job_id = 100 + i;
		memcpy(fixture->records[i].author, "entry-1",
		       sizeof("entry-1"));
	}
	fixture->append.stream = RJ_STREAM_JOBS;
	fixture->append.records = fixture->records;
	fixture->append.count = 2;
}

static void tear_down(struct fixture *fixture, gconstpointer data)
{
	fixture->platform.base.ops->finish(&fixture->platform.base);
	rj_standin_platform_finish(&fixture->standin);
	talloc_free(fixture->ev);
}

static void wait_event(struct fixture *fixture, enum rj_event_kind kind)
{
	while (!fixture->events)
		tevent_loop_once(fixture->ev);
	fixture->events = 0;
	g_assert_cmpstr(rj_event_kind_string[fixture->event.kind], ==,
			rj_event_kind_string[kind]);
}

static void append(struct fixture *fixture, enum rj_append_status status)
{
	fixture->append.append_id++;
	fixture->platform.base.ops->append(&fixture->platform.base,
					   &fixture->append);
	wait_event(fixture, RJ_EVENT_APPENDED);
	g_assert_cmpuint(fixture->event.u.appended.append_id, ==,
			 fixture->append.append_id);
	g_assert_cmpstr(
		rj_append_status_string[fixture->event.u.appended.status], ==,
		rj_append_status_string[status]);
}

static void start_read(struct fixture *fixture, uint64_t from, uint64_t wait_us)
{
	struct rj_read read = { RJ_STREAM_JOBS, from, wait_us };

	fixture->platform.base.ops->read(&fixture->platform.base, &read);
}

static const struct rj_records *read_from(struct fixture *fixture,
					  uint64_t from)
{
	start_read(fixture, from, 0);
	wait_event(fixture, RJ_EVENT_RECORDS);
	g_assert_cmpuint(fixture->event.u.records.from, ==, from);
	return &fixture->event.u.records;
}

static struct rj_standin_stream *jobs(struct fixture *fixture)
{
	return g_hash_table_lookup(fixture->standin.streams, "jobs");
}

static void set_faults(struct fixture *fixture, const char *text)
{
	json_t *faults = json_loads(text, 0, NULL);

	g_assert_cmpint(rj_fault_injector_configure(
				&fixture->standin.fault_injector,
				&fixture->standin.server, faults, NULL),
			==, 0);
	json_decref(faults);
}

static void test_append_is_read_back(struct fixture *fixture,
				     gconstpointer data)
{
	const struct rj_records *records;

	append(fixture, RJ_APPEND_OK);
	g_assert_cmpuint(fixture->event.u.appended.first_offset, ==, 0);
	append(fixture, RJ_APPEND_OK);
	g_assert_cmpuint(fixture->event.u.appended.first_offset, ==, 2);
	records = read_from(fixture, 1);
	g_assert_cmpint(records->stream, ==, RJ_STREAM_JOBS);
	g_assert_cmpuint(records->count, ==, 3);
	g_assert_cmpuint(records->next, ==, 4);
	g_assert_cmpuint(records->head, ==, 4);
	g_assert_cmpuint(fixture->read[0].offset, ==, 1);
	g_assert_cmpint(fixture->read[0].kind, ==, RJ_RECORD_VOID);
	g_assert_cmpuint(fixture->read[0].attempt.job_id, ==, 101);
	g_assert_cmpstr(fixture->read[0].author, ==, "entry-1");
}

static void test_long_poll_is_answered_by_an_append(struct fixture *fixture,
						    gconstpointer data)
{
	start_read(fixture, 0, WAIT_US);
	while (fixture->standin.pending_reads.next ==
	       &fixture->standin.pending_reads)
		tevent_loop_once(fixture->ev);
	fixture->append.append_id = 1;
	fixture->platform.base.ops->append(&fixture->platform.base,
					   &fixture->append);
	while (fixture->events < 2)
		tevent_loop_once(fixture->ev);
	g_assert_cmpuint(fixture->read[1].attempt.job_id, ==, 101);
}

/*
 * An append whose answer is lost must be reported as lost, and must not be sent
 * again. Reported as refused, the instance claims the job again or abandons it
 * although its claim is in the log, and the job runs twice.
 */
static void test_lost_append_is_logged_once(struct fixture *fixture,
					    gconstpointer data)
{
	append(fixture, RJ_APPEND_OK);
	fixture->standin.lose_answers = 1;
	append(fixture, RJ_APPEND_LOST);
	g_assert_cmpuint(jobs(fixture)->head, ==, 4);
	fixture->standin.drop_appends = 1;
	append(fixture, RJ_APPEND_LOST);
	g_assert_cmpuint(jobs(fixture)->head, ==, 4);
}

static void test_append_without_effect_is_refused(struct fixture *fixture,
						  gconstpointer data)
{
	fixture->standin.options.append_rate = 1;
	fixture->standin.append_credit_us = 0;
	fixture->standin.credited_at_us = rj_clock_now_us();
	append(fixture, RJ_APPEND_REFUSED);
	g_assert_null(jobs(fixture));
	memcpy(fixture->records[1].author, "\xff", 2);
	fixture->standin.options.append_rate = 0;
	append(fixture, RJ_APPEND_REFUSED);
	g_assert_null(jobs(fixture));
	rj_http_server_finish(&fixture->standin.server);
	memcpy(fixture->records[1].author, "x", 2);
	append(fixture, RJ_APPEND_REFUSED);
}

/*
 * A long poll that ends in an outage must deliver an event. Without one, the
 * instance waits forever and misses a new configuration.
 */
static void test_outage_ends_a_long_poll(struct fixture *fixture,
					 gconstpointer data)
{
	start_read(fixture, 0, WAIT_US);
	while (fixture->standin.pending_reads.next ==
	       &fixture->standin.pending_reads)
		tevent_loop_once(fixture->ev);
	set_faults(fixture, "{\"outage\":true}");
	wait_event(fixture, RJ_EVENT_READ_FAILED);
	g_assert_cmpint(fixture->event.u.stream, ==, RJ_STREAM_JOBS);
	append(fixture, RJ_APPEND_LOST);
	set_faults(fixture, "{\"outage\":false}");
	append(fixture, RJ_APPEND_OK);
	g_assert_cmpuint(jobs(fixture)->head, ==, 2);
}

/*
 * A reader that was paused past the log's retention must be notified of the
 * gap. Otherwise it misses a dropped claim, and the job runs twice.
 */
static void test_gap_is_reported(struct fixture *fixture, gconstpointer data)
{
	const struct rj_records *records;

	append(fixture, RJ_APPEND_OK);
	rj_standin_stream_expire(jobs(fixture), RJ_NEVER_US);
	append(fixture, RJ_APPEND_OK);
	records = read_from(fixture, 1);
	g_assert_cmpuint(records->oldest, ==, 2);
	g_assert_cmpuint(records->next, ==, 4);
	g_assert_cmpuint(fixture->read[0].offset, ==, 2);
}

/*
 * A page of many jobs with the largest bodies must not exceed the largest
 * answer. Otherwise each read of the page fails, as does each retry, and the
 * instance never becomes ready.
 */
static void test_largest_records_are_read(struct fixture *fixture,
					  gconstpointer data)
{
	char *text = g_strnfill(LARGE_BYTES, 'x');
	uint64_t next = 0;

	append(fixture, RJ_APPEND_OK);
	for (uint32_t i = 0; i < LARGE_COUNT; i++)
		rj_standin_stream_append(jobs(fixture), text, 1);
	g_free(text);
	while (next < jobs(fixture)->head) {
		uint64_t read_on = read_from(fixture, next)->next;

		g_assert_cmpuint(read_on, >, next);
		next = read_on;
	}
}

static void test_malformed_record_keeps_its_offset(struct fixture *fixture,
						   gconstpointer data)
{
	append(fixture, RJ_APPEND_OK);
	rj_standin_stream_append(jobs(fixture), "{\"kind\":", 1);
	read_from(fixture, 2);
	g_assert_cmpint(fixture->read[0].kind, ==, RJ_RECORD_MALFORMED);
	g_assert_cmpuint(fixture->read[0].offset, ==, 2);
}

/*
 * One record above the length limit must not fail the page that contains it.
 * Otherwise every read of it fails at all instances, and no later configuration
 * comes into force.
 */
static void test_record_too_long_is_malformed(struct fixture *fixture,
					      gconstpointer data)
{
	char *text = g_strnfill(RJ_RECORD_TEXT_MAX_BYTES + 1, 'x');

	append(fixture, RJ_APPEND_OK);
	rj_standin_stream_append(jobs(fixture), text, 1);
	append(fixture, RJ_APPEND_OK);
	g_free(text);
	g_assert_cmpuint(read_from(fixture, 2)->count, ==, 3);
	g_assert_cmpint(fixture->read[0].kind, ==, RJ_RECORD_MALFORMED);
	g_assert_cmpint(fixture->read[1].kind, ==, RJ_RECORD_VOID);
}

static void test_cut_refuses_the_named_instances(struct fixture *fixture,
						 gconstpointer data)
{
	set_faults(fixture, "{\"cut_from\":[\"entry-2\",\"entry-1\"]}");
	append(fixture, RJ_APPEND_LOST);
	g_assert_null(jobs(fixture));
	set_faults(fixture, "{\"cut_from\":[\"entry-2\"]}");
	append(fixture, RJ_APPEND_OK);
}

/*
 * One unreadable instance in the list must not invalidate the whole list.
 * Without the list, a worker that is leaving keeps getting new jobs.
 */
static void test_list_names_instances(struct fixture *fixture,
				      gconstpointer data)
{
	struct rj_instance worker = {
		.name = "lhr-000",
		.role = RJ_ROLE_WORKER,
		.domain = "lhr-gulberg",
		.rack = 3,
		.address = { "127.0.0.1", 4711 },
		.incarnation = 0xfedcba9876543210ULL,
		.leaving = true,
	};

	fixture->standin.instances =
		talloc_zero_array(fixture->standin.mem, struct rj_instance, 2);
	fixture->standin.instances[0].address.port = 1;
	fixture->standin.instances[1] = worker;
	fixture->standin.instance_count = 2;
	fixture->platform.base.ops->list(&fixture->platform.base);
	wait_event(fixture, RJ_EVENT_INSTANCES);
	g_assert_cmpuint(fixture->event.u.instances.count, ==, 1);
	g_assert_cmpstr(fixture->listed.name, ==, "lhr-000");
	g_assert_cmpint(fixture->listed.role, ==, RJ_ROLE_WORKER);
	g_assert_cmpuint(fixture->listed.rack, ==, 3);
	g_assert_cmpuint(fixture->listed.address.port, ==, 4711);
	g_assert_cmpuint(fixture->listed.incarnation, ==, worker.incarnation);
	g_assert_true(fixture->listed.leaving);
}

static void add(const char *path,
		void (*test)(struct fixture *fixture, gconstpointer data))
{
	g_test_add(path, struct fixture, NULL, set_up, test, tear_down);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	add("/http_platform/append", test_append_is_read_back);
	add("/http_platform/long_poll",
	    test_long_poll_is_answered_by_an_append);
	add("/http_platform/lost", test_lost_append_is_logged_once);
	add("/http_platform/refused", test_append_without_effect_is_refused);
	add("/http_platform/outage", test_outage_ends_a_long_poll);
	add("/http_platform/gap", test_gap_is_reported);
	add("/http_platform/large", test_largest_records_are_read);
	add("/http_platform/malformed", test_malformed_record_keeps_its_offset);
	add("/http_platform/too_long", test_record_too_long_is_malformed);
	add("/http_platform/cut", test_cut_refuses_the_named_instances);
	add("/http_platform/list", test_list_names_instances);
	return g_test_run();
}
