/*
 * radishjunctiond: one entry instance. Reads its settings, starts the
 * adapters around the decision core and runs until SIGTERM or SIGINT.
 */
#include <argtable2.h>
#include <assert.h>
#include <curl/curl.h>
#include <glib.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>
#include <tevent.h>
#include <time.h>

#include "log_writer.h"
#include "private/client_budget.h"
#include "private/clock.h"
#include "radishjunction/http_platform.h"
#include "radishjunction/http_workers.h"
#include "radishjunction/planner_topology.h"
#include "radishjunction/settings.h"
#include "core_runner.h"

/* Exit status; keep --help and the man page in step. */
enum exit_code {
	EXIT_STOPPED = 0, /* after a graceful stop */
	EXIT_USAGE = 2, /* a bad command line */
	EXIT_SETTINGS = 3, /* invalid settings; every error was printed */
	EXIT_START = 4, /* address in use or resource unavailable */
	EXIT_DRAIN = 5, /* drain not complete within drain_limit_s */
};

#define ARG_ERRORS_MAX 20
#define BYTES_PER_MB (1024 * 1024)
#define PERCENT 100
/* Time for requests and answers in transit on idle connections; see
 * drain_idle_connections. */
#define LINGER_US (500 * RJ_US_PER_MS)
/* Peers and the log normally deliver a configuration and the first page of
 * records well within this time. */
#define START_READY_TIMEOUT_US (1 * RJ_US_PER_S)
/* Low bits of an incarnation that are random. */
#define INCARNATION_RANDOM_BITS 20

struct daemon {
	struct tevent_context *loop;
	const struct rj_settings *settings;
	uint64_t incarnation;
	struct rj_planner_topology planner;
	struct core_runner runner;
	struct rj_http_platform platform;
	struct rj_http_workers workers;
	struct rj_tcp_peers peers;
	struct rj_http_callers callers;
	bool stopping;
	struct tevent_timer *timeout_timer; /* sets timed_out */
	bool timed_out;
};

/*
 * Returns an incarnation: the wall clock in milliseconds followed by random
 * bits. It differs at each start and increases with the wall clock, so that
 * peers can tell a replacement from the earlier instance of the same name.
 */
static uint64_t make_incarnation(void)
{
	struct timespec now;
	uint64_t now_ms;

	clock_gettime(CLOCK_REALTIME, &now);
	now_ms = (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
	return now_ms << INCARNATION_RANDOM_BITS |
	       randombytes_uniform(1U << INCARNATION_RANDOM_BITS);
}

/* Starts the core from the settings. Returns 0, or -1 with `err`. */
static int start_core(struct daemon *daemon, struct rj_error *err)
{
	const struct rj_settings *settings = daemon->settings;
	struct rj_core_options options = {
		.incarnation = daemon->incarnation,
		.seed = daemon->incarnation,
		.peers = settings->peers,
		.peer_count = settings->peer_count,
		.planner = &daemon->planner.base,
		.retention_us = settings->retention_s * RJ_US_PER_S,
		.drain_limit_us = settings->drain_limit_s * RJ_US_PER_S,
	};

	rj_name_set(options.name, settings->name);
	rj_name_set(options.domain, settings->domain);
	if (rj_planner_topology_init(&daemon->planner, daemon->loop))
		return rj_error_set(err, RJ_ERR_IO, "planner: no memory");
	if (core_runner_init(&daemon->runner, daemon->loop, &options, err)) {
		daemon->planner.base.ops->finish(&daemon->planner.base);
		return -1;
	}
	return 0;
}

/* Starts the adapter for peer links. Returns 0, or -1 with `err`. */
static int start_peers(struct daemon *daemon, struct rj_error *err)
{
	const struct rj_settings *settings = daemon->settings;
	struct rj_tcp_peers_options options = {
		.loop = daemon->loop,
		.sink = &daemon->runner.sink,
		.incarnation = daemon->incarnation,
		.address = settings->peer_address,
		.seed = daemon->incarnation,
	};

	rj_name_set(options.name, settings->name);
	rj_name_set(options.domain, settings->domain);
	g_strlcpy(options.key, settings->peer_key, sizeof(options.key));
	return rj_tcp_peers_init(&daemon->peers, daemon->loop, &options, err);
}

/* Starts the HTTP interface for callers, which accepts no request until
 * rj_http_callers_serve. Returns 0, or -1 with `err`. */
static int start_callers(struct daemon *daemon, struct rj_error *err)
{
	const struct rj_settings *settings = daemon->settings;
	struct rj_http_callers_options options = {
		.loop = daemon->loop,
		.sink = &daemon->runner.sink,
		.views = &daemon->runner.views,
		.address = settings->caller_address,
		.memory_bytes = (uint64_t)settings->memory_mb * BYTES_PER_MB /
				PERCENT * RJ_CLIENT_MEMORY_PERCENT,
		.body_max_bytes = settings->body_max_bytes,
		.connections_max = settings->connections_max,
		.requests_max = settings->requests_max,
		.idle_timeout_s = settings->idle_timeout_s,
		.seed = daemon->incarnation,
		.deferred = true,
	};

	return rj_http_callers_init(&daemon->callers, daemon->loop, &options,
				    err);
}

/* Starts the core and all adapters. Returns 0, or -1 with `err` and
 * everything stopped again. */
static int start(struct daemon *daemon, struct rj_error *err)
{
	struct core_runner *runner = &daemon->runner;

	if (start_core(daemon, err))
		return -1;
	if (rj_http_platform_init(&daemon->platform, daemon->loop, daemon->loop,
				  &runner->sink,
				  &daemon->settings->platform_address,
				  daemon->settings->name, err))
		goto finish_core;
	if (rj_http_workers_init(&daemon->workers, daemon->loop, daemon->loop,
				 &runner->sink, daemon->settings->name, err))
		goto finish_platform;
	if (start_peers(daemon, err))
		goto finish_workers;
	if (start_callers(daemon, err))
		goto finish_peers;
	runner->platform = &daemon->platform.base;
	runner->workers = &daemon->workers.base;
	runner->peers = &daemon->peers.base;
	runner->callers = &daemon->callers.base;
	runner->tcp_peers = &daemon->peers;
	core_runner_start(runner);
	return 0;

finish_peers:
	daemon->peers.base.ops->finish(&daemon->peers.base);
finish_workers:
	daemon->workers.base.ops->finish(&daemon->workers.base);
finish_platform:
	daemon->platform.base.ops->finish(&daemon->platform.base);
finish_core:
	core_runner_finish(runner);
	daemon->planner.base.ops->finish(&daemon->planner.base);
	return -1;
}

static void finish(struct daemon *daemon)
{
	daemon->callers.base.ops->finish(&daemon->callers.base);
	daemon->peers.base.ops->finish(&daemon->peers.base);
	daemon->workers.base.ops->finish(&daemon->workers.base);
	daemon->platform.base.ops->finish(&daemon->platform.base);
	core_runner_finish(&daemon->runner);
	daemon->planner.base.ops->finish(&daemon->planner.base);
}

/* Prints a JSON member; an IPv6 address is put in brackets, as in a URL. */
static void print_address(const char *name, const struct rj_address *address)
{
	bool brackets = strchr(address->ip, ':') != NULL;

	printf("\"%s\":\"%s%s%s:%u\"", name, brackets ? "[" : "", address->ip,
	       brackets ? "]" : "", address->port);
}

/* Prints the listening addresses as one line of JSON, for the process that
 * started this one. */
static void print_listening(const struct daemon *daemon)
{
	struct rj_address callers = rj_http_callers_address(&daemon->callers);
	struct rj_address peers = rj_tcp_peers_address(&daemon->peers);

	printf("{\"listening\":{");
	print_address("callers", &callers);
	printf(",");
	print_address("peers", &peers);
	printf("}}\n");
	fflush(stdout);
}

/* Starts the graceful stop; further signals are ignored. */
static void on_stop_signal(struct tevent_context *loop,
			   struct tevent_signal *event, int number, int count,
			   void *info, void *private_data)
{
	struct daemon *daemon = private_data;

	if (daemon->stopping)
		return;
	daemon->stopping = true;
	rj_http_callers_drain(&daemon->callers);
	core_runner_stop(&daemon->runner);
}

static void on_time_limit(struct tevent_context *loop,
			  struct tevent_timer *timer, struct timeval now,
			  void *private_data)
{
	struct daemon *daemon = private_data;

	daemon->timeout_timer = NULL; /* the event loop frees it */
	daemon->timed_out = true;
}

/* Sets `timed_out` after `delay_us`; replaces any earlier timeout. */
static void set_timeout(struct daemon *daemon, uint64_t delay_us)
{
	talloc_free(daemon->timeout_timer);
	daemon->timed_out = false;
	daemon->timeout_timer = tevent_add_timer(daemon->loop, daemon,
						 rj_clock_timeval_in(delay_us),
						 on_time_limit, daemon);
	assert(daemon->timeout_timer);
}

/* Whether the core has finished the drain and all answers were sent in full. */
static bool is_drained(const struct daemon *daemon)
{
	return daemon->runner.exiting &&
	       !rj_http_callers_open_requests(&daemon->callers);
}

/*
 * Stops listening and waits up to LINGER_US for idle connections to close.
 *
 * A request may be in transit on an idle connection when the drain completes.
 * Closing the connection at once would give its caller a reset, or the answer
 * "not run" though a peer could serve the request. Until the connection has
 * closed, the core serves or forwards it like any other request during the
 * drain.
 */
static void drain_idle_connections(struct daemon *daemon)
{
	rj_http_callers_stop_listening(&daemon->callers);
	set_timeout(daemon, LINGER_US);
	while (!is_drained(daemon) ||
	       (rj_http_callers_connections(&daemon->callers) &&
		!daemon->timed_out))
		tevent_loop_once(daemon->loop);
}

/* Ends a drain that exceeded drain_limit_s: logs a warning, answers all open
 * requests and waits up to LINGER_US for the answers to be sent. */
static void abort_drain(struct daemon *daemon)
{
	g_warning("the stop was not complete after %u s; raise "
		  "drain_limit_s or see what its jobs wait for",
		  daemon->settings->drain_limit_s);
	rj_http_callers_stop_dispatch(&daemon->callers);
	set_timeout(daemon, LINGER_US);
	while (rj_http_callers_open_requests(&daemon->callers) &&
	       !daemon->timed_out)
		tevent_loop_once(daemon->loop);
}

/* Accepts callers once the core is ready, or after START_READY_TIMEOUT_US;
 * requests are refused then until it is ready. */
static void start_serving(struct daemon *daemon)
{
	set_timeout(daemon, START_READY_TIMEOUT_US);
	while (!rj_core_ready(&daemon->runner.core) && !daemon->timed_out &&
	       !daemon->stopping)
		tevent_loop_once(daemon->loop);
	rj_http_callers_serve(&daemon->callers);
}

/* Serves until a stop is requested, then drains. */
static enum exit_code run(struct daemon *daemon)
{
	start_serving(daemon);
	while (!daemon->stopping)
		tevent_loop_once(daemon->loop);
	set_timeout(daemon, daemon->settings->drain_limit_s * RJ_US_PER_S);
	while (!daemon->timed_out && !is_drained(daemon))
		tevent_loop_once(daemon->loop);
	if (daemon->timed_out) {
		abort_drain(daemon);
		return EXIT_DRAIN;
	}
	drain_idle_connections(daemon);
	return EXIT_STOPPED;
}

/* Reads and validates the settings. Returns a talloc child of `mem`, or NULL
 * after printing every error. */
static struct rj_settings *load_settings(void *mem, const char *path)
{
	struct rj_settings *settings;
	struct rj_error_list errors;
	GError *error = NULL;
	char *text;

	if (!g_file_get_contents(path, &text, NULL, &error)) {
		fprintf(stderr,
			"radishjunctiond: settings: %s; name a file that can "
			"be read\n",
			error->message);
		g_error_free(error);
		return NULL;
	}
	rj_error_list_init(&errors, mem);
	settings = rj_settings_parse(mem, text, &errors);
	for (uint32_t i = 0; i < errors.count; i++)
		fprintf(stderr, "radishjunctiond: %s: %s\n", path,
			errors.errors[i].message);
	rj_error_list_finish(&errors);
	g_free(text);
	return settings;
}

/* Runs the daemon with the settings file `path`. */
static enum exit_code run_daemon(const char *path)
{
	struct tevent_context *loop = tevent_context_init(NULL);
	struct daemon *daemon = talloc_zero(loop, struct daemon);
	enum exit_code status = EXIT_SETTINGS;
	struct rj_error err;

	assert(daemon);
	daemon->loop = loop;
	daemon->settings = load_settings(daemon, path);
	if (!daemon->settings)
		goto free_loop;
	status = EXIT_START;
	daemon->incarnation = make_incarnation();
	rj_log_writer_init(loop, daemon->settings->name, STDERR_FILENO);
	if (start(daemon, &err)) {
		g_critical("%s", err.message);
		goto finish_log;
	}
	tevent_add_signal(loop, loop, SIGTERM, 0, on_stop_signal, daemon);
	tevent_add_signal(loop, loop, SIGINT, 0, on_stop_signal, daemon);
	print_listening(daemon);
	status = run(daemon);
	finish(daemon);
finish_log:
	rj_log_writer_finish();
free_loop:
	talloc_free(loop);
	return status;
}

static void print_help(void **table)
{
	printf("Usage: radishjunctiond");
	arg_print_syntax(stdout, table, "\n");
	printf("One entry instance of radishjunction.\n\n");
	arg_print_glossary(stdout, table, "  %-20s %s\n");
	printf("\nExit status: 0 after a graceful stop (SIGTERM or SIGINT), "
	       "2 bad command line,\n3 bad settings, 4 could not start, "
	       "5 stop not complete within drain_limit_s.\n");
}

int main(int argc, char **argv)
{
	struct arg_file *settings =
		arg_file1(NULL, "settings", "FILE", "settings in JSON");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_lit *version =
		arg_lit0(NULL, "version", "print the version");
	struct arg_end *end = arg_end(ARG_ERRORS_MAX);
	void *table[] = { settings, help, version, end };
	enum exit_code status = EXIT_STOPPED;
	int errors;

	if (arg_nullcheck(table) || sodium_init() < 0 ||
	    curl_global_init(CURL_GLOBAL_DEFAULT))
		return EXIT_START;
	signal(SIGPIPE, SIG_IGN);
	errors = arg_parse(argc, argv, table);
	if (help->count) {
		print_help(table);
	} else if (version->count) {
		printf("radishjunctiond %s\n", RJ_VERSION);
	} else if (errors) {
		arg_print_errors(stderr, end, "radishjunctiond");
		fprintf(stderr, "see radishjunctiond --help\n");
		status = EXIT_USAGE;
	} else {
		status = run_daemon(settings->filename[0]);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	curl_global_cleanup();
	return status;
}
