/*
 * The store and worker adapters against a scripted HTTP server on loopback:
 * the status that each answer, or a missing answer, is mapped to.
 */
#include <curl/curl.h>
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "adapters.h"

/* The next answer of the server; status 0 closes the connection. */
struct script {
	unsigned int status;
	const char *body;
};

struct fixture {
	struct tevent_context *loop;
	struct rj_http_server server;
	struct script script;
	char path[512]; /* of the last request, with its main arguments */
	char after[64]; /* its argument of this name */
	char target[64]; /* its Target-Instance header */
	char body[512];
	struct platform_store store;
	struct platform_workers workers;
	bool done;
	struct rj_cell_store_reply reply;
	struct rj_cell_order_reply order;
	bool advised;
};

/* Records a request and answers it by the script. */
static void handle(void *private_data, struct rj_http_exchange *exchange)
{
	struct fixture *f = private_data;
	const char *topic = rj_http_exchange_argument(exchange, "Topic");
	const char *epoch = rj_http_exchange_argument(exchange, "epoch");
	const char *sequence = rj_http_exchange_argument(exchange, "Sequence");
	const char *after = rj_http_exchange_argument(exchange, "After");
	const char *target =
		rj_http_exchange_header(exchange, "Target-Instance");

	(void)g_snprintf(f->path, sizeof(f->path), "%s %s %s %s",
			 exchange->path, topic ? topic : "-",
			 epoch ? epoch : "-", sequence ? sequence : "-");
	g_strlcpy(f->after, after ? after : "", sizeof(f->after));
	g_strlcpy(f->target, target ? target : "", sizeof(f->target));
	g_strlcpy(f->body, exchange->body.data, sizeof(f->body));
	if (!f->script.status)
		rj_http_exchange_abort(exchange);
	else
		rj_http_exchange_answer(exchange, f->script.status,
					f->script.body, strlen(f->script.body));
}

/* These tests have no node to run after an event. */
static void after_event(void *private_data)
{
}

static void setup(struct fixture *f, const void *data)
{
	const struct platform_event_hook hook = { after_event, f };
	struct rj_http_server_options options = {
		.address = { .ip = "127.0.0.1" },
		.connections_max = 32,
		.body_max_bytes = 65536,
		.handle = handle,
		.private_data = f
	};
	struct platform_settings settings = { .descriptors_max = 1024,
					      .link_kbps = 1000000 };
	struct rj_error err;

	memset(f, 0, sizeof(*f));
	f->loop = tevent_context_init(NULL);
	g_assert_false(rj_http_server_init(&f->server, f->loop, f->loop,
					   &options, &err));
	settings.store = f->server.address;
	g_assert_false(platform_store_init(&f->store, f->loop, f->loop,
					   &settings, &hook, &err));
	g_assert_false(platform_workers_init(&f->workers, f->loop, f->loop,
					     &settings, &hook, &err));
}

static void teardown(struct fixture *f, const void *data)
{
	platform_store_finish(&f->store);
	platform_workers_finish(&f->workers);
	rj_http_server_finish(&f->server);
	talloc_free(f->loop);
}

static void store_done(void *private_data,
		       const struct rj_cell_store_reply *reply)
{
	struct fixture *f = private_data;

	f->reply = *reply;
	f->done = true;
}

static void order_done(void *private_data,
		       const struct rj_cell_order_reply *reply)
{
	struct fixture *f = private_data;

	f->order = *reply;
	f->done = true;
}

/* Runs the event loop until the call has completed. */
static void wait_done(struct fixture *f)
{
	while (!f->done)
		tevent_loop_once(f->loop);
	f->done = false;
}

/* Appends a record; the server answers with `status` and `body`. */
static enum rj_cell_store_status append(struct fixture *f, unsigned int status,
					const char *body)
{
	const struct rj_cell_record record = {
		.key = "o", .value = { (const uint8_t *)"v", 1 }
	};
	const struct rj_cell_append request = { .producer = "owner",
						.epoch = 8,
						.sequence = 3,
						.records = &record,
						.count = 1 };

	f->script = (struct script){ status, body };
	f->store.store.ops->append(
		&f->store.store, &request,
		(struct rj_cell_store_done){ store_done, f });
	wait_done(f);
	return f->reply.status;
}

/* Each answer to an append is mapped to its status in the protocol. */
static void test_append_answers(struct fixture *f, const void *data)
{
	g_assert_cmpint(append(f, 200, "{\"Offset\":7,\"EndOffset\":8}"), ==,
			RJ_CELL_STORE_OK);
	g_assert_cmpstr(f->path, ==, "/-/log-append keyed.jobs 8 3");
	g_assert_cmpuint(f->reply.end, ==, 8);
	g_assert_cmpint(append(f, 412, "{\"EndOffset\":9}"), ==,
			RJ_CELL_STORE_MALFORMED);
	g_assert_cmpint(append(f, 409, "{\"Reason\":\"fenced\"}"), ==,
			RJ_CELL_STORE_FENCED);
	g_assert_cmpint(append(f, 409, "{\"Reason\":\"seq\"}"), ==,
			RJ_CELL_STORE_SEQUENCE);
	g_assert_cmpint(append(f, 503, ""), ==, RJ_CELL_STORE_REFUSED);
	g_assert_cmpint(append(f, 429, ""), ==, RJ_CELL_STORE_REFUSED);
	g_assert_cmpint(append(f, 507, ""), ==, RJ_CELL_STORE_REFUSED);
	g_assert_cmpint(append(f, 500, ""), ==, RJ_CELL_STORE_MALFORMED);
	g_assert_cmpint(append(f, 400, ""), ==, RJ_CELL_STORE_INVALID);
	g_assert_cmpint(append(f, 403, ""), ==, RJ_CELL_STORE_INVALID);
	g_assert_cmpint(append(f, 413, ""), ==, RJ_CELL_STORE_INVALID);
}

/*
 * An append whose connection breaks before the answer may have been carried
 * out. If it counted as refused, a job that the client was told is refused
 * would still run.
 */
static void test_append_connection_lost(struct fixture *f, const void *data)
{
	g_assert_cmpint(append(f, 0, ""), ==, RJ_CELL_STORE_LOST);
}

/* No server listens, so the append cannot have been carried out. */
static void test_append_not_sent(struct fixture *f, const void *data)
{
	rj_http_server_finish(&f->server);
	g_assert_cmpint(append(f, 200, ""), ==, RJ_CELL_STORE_REFUSED);
}

/* Reads from offset 5; the server answers with `status` and no body. */
static enum rj_cell_store_status read_once(struct fixture *f,
					   unsigned int status)
{
	f->script = (struct script){ status, "" };
	f->store.store.ops->read(&f->store.store, RJ_CELL_TOPIC_CONFIG, 5, 0,
				 (struct rj_cell_store_done){ store_done, f });
	wait_done(f);
	return f->reply.status;
}

/* Expired records, a topic that does not exist yet, an overloaded store and a
 * truncated body. */
static void test_read_answers(struct fixture *f, const void *data)
{
	g_assert_cmpint(read_once(f, 410), ==, RJ_CELL_STORE_EXPIRED);
	g_assert_cmpstr(f->path, ==, "/-/log-read keyed.op - -");
	g_assert_cmpint(read_once(f, 404), ==, RJ_CELL_STORE_OK);
	g_assert_cmpuint(f->reply.next, ==, 5);
	g_assert_cmpint(read_once(f, 503), ==, RJ_CELL_STORE_REFUSED);
	g_assert_cmpint(read_once(f, 200), ==, RJ_CELL_STORE_MALFORMED);
}

/* Guards against a record that a slow link cannot carry before it counts as lost:
 * 256 KiB take 1.05 s on 2 Mbit/s. */
static void test_timeouts_allow_for_the_link(struct fixture *f,
					     const void *data)
{
	f->store.link_kbps = 2000;
	g_assert_cmpuint(
		platform_store_timeout_us(&f->store, RJ_US_PER_S, 256 * 1024),
		==, RJ_US_PER_S + 2 * 1048576);
	g_assert_cmpuint(platform_store_timeout_us(&f->store, RJ_US_PER_S, 0),
			 ==, RJ_US_PER_S);
}

/* Another writer's key ends a page of newest records: the next page is requested
 * after the whole key. */
static void test_page_after_a_foreign_key(struct fixture *f, const void *data)
{
	f->script = (struct script){ 404, "" };
	f->store.store.ops->newest(
		&f->store.store, RJ_CELL_TOPIC_WORKERS, "a&part=1 %41/é+#",
		(struct rj_cell_store_done){ store_done, f });
	wait_done(f);
	g_assert_cmpstr(f->path, ==, "/-/log-newest keyed.servers - -");
	g_assert_cmpstr(f->after, ==, "a&part=1 %41/é+#");
}

/* Orders a start; the worker answers with `status` and `body`. */
static enum rj_cell_order_status start(struct fixture *f, unsigned int status,
				       const char *body)
{
	struct rj_cell_worker worker = { .id = "i-1" };
	const struct rj_cell_start request = { .name = "a.0.0.0",
					       .number = 2,
					       .spec = "say \"hi\"",
					       .checkpoint = "",
					       .ticket = "t-9",
					       .deadline_ms = 10,
					       .token = 3 };

	worker.heartbeat.address = f->server.address;
	f->script = (struct script){ status, body };
	f->workers.workers.ops->start(
		&f->workers.workers, &worker, &request,
		(struct rj_cell_order_done){ order_done, f });
	wait_done(f);
	return f->order.status;
}

/* Each answer of a worker is mapped to its status in the protocol; the order
 * names its worker and omits an empty checkpoint. */
static void test_worker_answers(struct fixture *f, const void *data)
{
	g_assert_cmpint(start(f, 200, "{\"ClockMs\":7}"), ==, RJ_CELL_ORDER_OK);
	g_assert_cmpuint(f->order.clock_ms, ==, 7);
	g_assert_cmpstr(f->target, ==, "i-1");
	g_assert_nonnull(strstr(f->body, "say \\\"hi\\\""));
	g_assert_null(strstr(f->body, "LastCheckpoint"));
	g_assert_nonnull(strstr(f->body, "\"Ticket\":\"t-9\""));
	g_assert_cmpint(start(f, 409, "{\"Reason\":\"fence\"}"), ==,
			RJ_CELL_ORDER_FENCED);
	g_assert_cmpint(start(f, 409, "{\"Reason\":\"old\"}"), ==,
			RJ_CELL_ORDER_STALE);
	g_assert_cmpint(start(f, 409, "{\"Reason\":\"late\"}"), ==,
			RJ_CELL_ORDER_DEADLINE_PASSED);
	g_assert_cmpint(start(f, 409, "{\"Reason\":\"room\"}"), ==,
			RJ_CELL_ORDER_NO_CAPACITY);
	g_assert_cmpint(start(f, 409, "{\"Reason\":\"ticket\"}"), ==,
			RJ_CELL_ORDER_TICKET_INVALID);
	g_assert_cmpint(start(f, 421, ""), ==, RJ_CELL_ORDER_OTHER_INCARNATION);
	g_assert_cmpint(start(f, 503, ""), ==, RJ_CELL_ORDER_UNHEALTHY);
	g_assert_cmpint(start(f, 429, ""), ==, RJ_CELL_ORDER_UNHEALTHY);
	g_assert_cmpint(start(f, 400, "{}"), ==, RJ_CELL_ORDER_MALFORMED);
	g_assert_cmpint(start(f, 200, "<html>"), ==, RJ_CELL_ORDER_MALFORMED);
	g_assert_cmpint(start(f, 0, ""), ==, RJ_CELL_ORDER_LOST);
	rj_http_server_finish(&f->server);
	g_assert_cmpint(start(f, 200, "{}"), ==, RJ_CELL_ORDER_UNSENT);
}

#define ADD(name, function)                                              \
	g_test_add("/platform_calls/" name, struct fixture, NULL, setup, \
		   function, teardown)

static void advice_done(void *private_data,
			const struct rj_cell_advice_reply *reply)
{
	struct fixture *f = private_data;

	f->advised = reply->answered;
	f->done = true;
}

/* Asks the policy service about one worker. Returns whether it answered. */
static bool ask(struct fixture *f, struct platform_advisor *advisor)
{
	static const char *const workers[] = { "i-1" };

	advisor->advisor.ops->ask(
		&advisor->advisor, "a.0.0", workers, 1,
		(struct rj_cell_advice_done){ advice_done, f });
	wait_done(f);
	return f->advised;
}

/* Guards against requests to the address that the policy service has left. */
static void test_policy_service_moves(struct fixture *f, const void *data)
{
	const struct platform_event_hook hook = { after_event, f };
	const struct rj_address nobody = { .ip = "127.0.0.1", .port = 1 };
	struct platform_advisor advisor;
	struct rj_error err;

	f->script = (struct script){ 200, "{\"Eligible\":[],\"ValidMs\":9}" };
	g_assert_false(platform_advisor_init(&advisor, f->loop, f->loop,
					     &nobody, &hook, &err));
	g_assert_false(ask(f, &advisor));
	g_assert_cmpuint(advisor.missing, ==, 1);
	platform_advisor_move(&advisor, &f->server.address);
	g_assert_true(ask(f, &advisor));
	g_assert_cmpuint(advisor.missing, ==, 1);
	platform_advisor_finish(&advisor);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	ADD("append", test_append_answers);
	ADD("broken", test_append_connection_lost);
	ADD("unsent", test_append_not_sent);
	ADD("read", test_read_answers);
	ADD("page", test_page_after_a_foreign_key);
	ADD("link", test_timeouts_allow_for_the_link);
	ADD("worker", test_worker_answers);
	ADD("policy_moves", test_policy_service_moves);
	return g_test_run();
}
