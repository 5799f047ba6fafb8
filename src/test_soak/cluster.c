/*
 * The processes of one seed and the proxies between them.
 */
#include <assert.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdarg.h>
#include <string.h>
#include <talloc.h>

#include "soak.h"

#define TICK_US (20 * RJ_US_PER_MS)
#define START_TIMEOUT_US (30 * RJ_US_PER_S)
#define CONTROL_TIMEOUT_US (3 * RJ_US_PER_S)
#define CONNECTIONS_MAX 64
/* Delay after which an instance that has ended by itself is started again, as
 * the platform does. */
#define RESTART_DELAY_US (500 * RJ_US_PER_MS)
#define ANSWER_MAX_BYTES 65536
#define CROWD_CONNECTIONS "40"
#define CROWD_BODY_BYTES "262144"

/*
 * A random number below `below`. The sequence depends on the seed alone; which
 * draw meets which event also depends on the timing of the processes.
 */
uint32_t soak_random(struct soak *soak, uint32_t below)
{
	return (uint32_t)(rj_random64(&soak->random) % below);
}

/*
 * Write a line to the journal, prefixed with the wall-clock time in us, the
 * clock of the instances' logs.
 */
void soak_journal_write(struct soak *soak, const char *format, ...)
{
	va_list arguments;

	fprintf(soak->journal, "%" G_GINT64_FORMAT " ", g_get_real_time());
	va_start(arguments, format);
	(void)vfprintf(soak->journal, format, arguments);
	va_end(arguments);
	fprintf(soak->journal, "\n");
	(void)fflush(soak->journal);
}

/* A call to the stand-in's control interface. */
struct post {
	struct soak *soak;
	struct rj_address to;
	char *path;
	char *body;
	bool retries; /* until it is answered */
};

/*
 * Send a call again that got no answer, if it must take effect.
 *
 * On a busy machine a call may get no answer in time; without a retry, a
 * worker would keep its fault for good and the cluster would never recover.
 */
static void handle_post_response(void *private_data,
				 const struct rj_http_result *result)
{
	const struct post *post = private_data;

	if (post->retries && result->outcome != RJ_HTTP_ANSWERED)
		soak_standin_post(post->soak, &post->to, post->path,
				  post->body);
}

/*
 * Call the stand-in's control interface without waiting for the answer. Calls
 * made while recovering are retried until answered.
 */
void soak_standin_post(struct soak *soak, const struct rj_address *to,
		       const char *path, const char *body)
{
	struct post *post = talloc_zero(soak->ev, struct post);
	struct rj_http_request send = { .method = "POST",
					.url = rj_http_url(post, to, path),
					.body = body,
					.length = strlen(body),
					.timeout_us = CONTROL_TIMEOUT_US,
					.response_max_bytes = ANSWER_MAX_BYTES,
					.done = handle_post_response,
					.private_data = post };

	post->soak = soak;
	post->to = *to;
	post->path = talloc_strdup(post, path);
	post->body = talloc_strdup(post, body);
	post->retries = soak->recovering;
	rj_http_client_send(&soak->http, &send);
}

/* Parse "IP:PORT" from the stand-in's first line; the IP is loopback. */
static struct rj_address parse_address(const json_t *text)
{
	const char *colon = strrchr(json_string_value(text), ':');
	struct rj_address address = { .ip = "127.0.0.1" };

	address.port = (uint16_t)g_ascii_strtoull(colon + 1, NULL, 10);
	return address;
}

/* Take the addresses of the log and the workers from the stand-in's first
 * line, and start a proxy for each worker. */
static void handle_listening(struct soak *soak, const json_t *listening)
{
	const json_t *workers = json_object_get(listening, "workers");
	size_t i;
	const json_t *worker;

	soak->log_address = parse_address(json_object_get(listening, "log"));
	json_array_foreach(workers, i, worker)
	{
		struct soak_worker *to = &soak->workers[i];

		to->address = parse_address(worker);
		soak_proxy_init(&to->proxy, soak->ev, soak->ev);
		to->proxy.target = to->address.port;
	}
	soak->worker_count = (uint32_t)json_array_size(workers);
}

static void handle_standin_line(void *private_data, const char *line)
{
	struct soak *soak = private_data;
	json_t *object = json_loads(line, 0, NULL);
	const json_t *listening = json_object_get(object, "listening");

	if (listening)
		handle_listening(soak, listening);
	else if (object)
		soak_check_event(soak, object);
	json_decref(object);
}

static void ignore_line(void *private_data, const char *line)
{
}

/* Start clients that hold on to an instance, and come back after each refusal.
 * What they send follows from the seed. */
static void start_crowd(struct soak_instance *instance, uint16_t port)
{
	static const char *const kinds[] = { "short",	     "small-chunks",
					     "whole",	     "announced",
					     "headers",	     "chunk-extension",
					     "large-chunks", "values" };
	struct soak *soak = instance->soak;
	size_t turn = soak->seed + (size_t)(instance - soak->instances);
	char *program =
		g_build_filename(soak->options.programs, "rj-crowd", NULL);
	char *log = g_strdup_printf("%s/%s-crowd.log", soak->folder,
				    instance->name);
	char *to = g_strdup_printf("%u", port);
	const char *const argv[] = {
		program,   "--again",
		"--port",  to,
		"--kind",  kinds[turn % G_N_ELEMENTS(kinds)],
		"--count", CROWD_CONNECTIONS,
		"--body",  CROWD_BODY_BYTES,
		"--path",  "/p/00000000000000ff",
		NULL
	};

	soak_process_kill(&instance->crowd);
	instance->crowd.on_line = ignore_line;
	soak_process_start(&instance->crowd, soak->ev, argv, log);
	g_free(program);
	g_free(log);
	g_free(to);
}

/* Take the ports of an instance from its start event. */
static void handle_instance_line(void *private_data, const char *line)
{
	struct soak_instance *instance = private_data;
	json_t *object;

	if (!strstr(line, "\"event\":\"start\""))
		return;
	object = json_loads(line, 0, NULL);
	instance->caller_proxy.target = (uint16_t)json_integer_value(
		json_object_get(object, "callers_port"));
	instance->ready_port = (uint16_t)json_integer_value(
		json_object_get(object, "ready_port"));
	instance->started = true;
	start_crowd(instance, instance->caller_proxy.target);
	json_decref(object);
}

/* Write the settings file of an instance: it reaches the log through its
 * proxy. */
static void write_settings(struct soak_instance *instance)
{
	char *text = g_strdup_printf(
		"{\"name\":\"%s\",\"domain\":\"z\","
		"\"callers\":\"127.0.0.1:0\",\"ready\":\"127.0.0.1:0\","
		"\"metrics\":\"127.0.0.1:0\",\"store\":\"127.0.0.1:%u\","
		"\"advice\":\"\",\"orders\":\"rpc\",\"cpu_share\":\"0.25\","
		"\"cpu_speed\":\"1\",\"grace_s\":\"6\","
		"\"descriptors_max\":\"4096\",\"link_mbps\":\"1000\","
		"\"lease_max_ms\":\"6000\",\"status_s\":\"120\","
		"\"reclaim_ms\":\"2900\",\"revoke_ms\":\"5000\","
		"\"drain_ms\":\"2000\",\"cordon_ms\":\"5000\",\"stop_ms\":\"400\","
		"\"heartbeat_ms\":\"500\",\"restore_ms\":\"300\","
		"\"memory_mb\":\"%u\",\"snapshot_ms\":\"400\",\"admission_forecast\":\"on\","
		"\"policies\":\"health,tenants\"}",
		instance->name, instance->log_proxy.port, SOAK_MACHINE_MB);

	if (!g_file_set_contents(instance->settings, text, -1, NULL))
		g_error("%s cannot be written; free some disk space",
			instance->settings);
	g_free(text);
}

/*
 * Start the process of an instance, also after it was killed. Callers are
 * connected to it once its start event has been read.
 */
void soak_instance_start(struct soak_instance *instance)
{
	struct soak *soak = instance->soak;
	char *program = g_build_filename(soak->options.programs,
					 "radishjunction-entry", NULL);
	char *log = g_strdup_printf("%s/%s.log", soak->folder, instance->name);
	const char *const argv[] = { program, "--settings", instance->settings,
				     NULL };

	instance->started = false;
	instance->exit_journaled = false;
	instance->stopping = false;
	instance->restart_due_us = 0;
	instance->caller_proxy.target = 0;
	soak_process_start(&instance->process, soak->ev, argv, log);
	g_free(program);
	g_free(log);
}

/* Timer: wake the event loop up at least every TICK_US. */
static void tick(struct tevent_context *ev, struct tevent_timer *timer,
		 struct timeval now, void *private_data)
{
	struct soak *soak = private_data;

	timer = tevent_add_timer(ev, ev, rj_clock_timeval_in(TICK_US), tick,
				 soak);
	assert(timer);
}

/*
 * Disconnect callers from an instance that has exited.
 *
 * The system may reassign its port to another process, such as an instance of
 * a soak that runs at the same time. Callers that reached it would see jobs
 * accepted and then unknown.
 */
void soak_instance_detach(struct soak_instance *instance)
{
	instance->caller_proxy.target = 0;
	soak_proxy_reset(&instance->caller_proxy);
}

/*
 * Report an instance that ended without an order, and have it started again as
 * the platform does.
 *
 * Only a reload may end an instance, before its program handles signals: what
 * the program does first takes effect after its libraries are loaded. Any other
 * such end is a violation.
 */
static void report_own_end(struct soak_instance *instance, int status)
{
	struct soak *soak = instance->soak;

	soak->own_ends++;
	if (instance->started || status != -SIGHUP)
		soak_violation(soak, "ended: %s ended by itself with %d",
			       instance->name, status);
	instance->restart_due_us = rj_clock_now_us() + RESTART_DELAY_US;
}

/* Write the end of an instance to the journal and disconnect its callers, if it
 * is new. */
static void journal_exit(struct soak_instance *instance)
{
	int status;

	if (instance->exit_journaled ||
	    !soak_process_has_ended(&instance->process, &status))
		return;
	instance->exit_journaled = true;
	soak_journal_write(instance->soak, "%s has ended: %d", instance->name,
			   status);
	soak_instance_detach(instance);
	if (!instance->stopping)
		report_own_end(instance, status);
}

/* Handle new exits of instances, and start those again that ended by
 * themselves. */
static void check_exits(struct soak *soak)
{
	for (uint32_t i = 0; i < soak->options.instances; i++) {
		struct soak_instance *instance = &soak->instances[i];

		journal_exit(instance);
		if (!instance->restart_due_us ||
		    rj_clock_now_us() < instance->restart_due_us)
			continue;
		soak_journal_write(soak, "start %s again", instance->name);
		soak_process_kill(&instance->process);
		soak_instance_start(instance);
	}
}

/*
 * Run the event loop for `for_us`, with callers and, until
 * `soak_cluster_recover`, fault injection.
 */
void soak_cluster_run(struct soak *soak, uint64_t for_us)
{
	uint64_t until_us = rj_clock_now_us() + for_us;

	while (rj_clock_now_us() < until_us) {
		tevent_loop_once(soak->ev);
		check_exits(soak);
		soak_callers_tick(soak);
		if (soak->recovering)
			soak_check_progress(soak);
		else
			soak_faults_tick(soak);
	}
}

/* Report an instance that has not written its start event in time. */
static void report_not_started(const struct soak_instance *instance)
{
	char *state = soak_process_describe(&instance->process);

	soak_violation(instance->soak, "lost: %s did not start: %s",
		       instance->name, state);
	g_free(state);
}

/* Wait until all instances have started; report those that time out. */
static void wait_for_instances(struct soak *soak)
{
	uint64_t until_us = rj_clock_now_us() + START_TIMEOUT_US;

	for (uint32_t i = 0; i < soak->options.instances; i++)
		while (!soak->instances[i].started) {
			if (rj_clock_now_us() > until_us) {
				report_not_started(&soak->instances[i]);
				break;
			}
			tevent_loop_once(soak->ev);
			check_exits(soak);
		}
}

/* Start the stand-in, publish the configuration, and have each worker publish
 * the address of its proxy. */
static void start_standin(struct soak *soak)
{
	char *program = g_build_filename(soak->options.programs,
					 "rj-standin-users", NULL);
	char *log = g_build_filename(soak->folder, "standin.log", NULL);
	char *workers = g_strdup_printf("%u", soak->options.workers);
	const char *const argv[] = { program, "--events", "--workers", workers,
				     NULL };

	soak->standin.on_line = handle_standin_line;
	soak->standin.private_data = soak;
	soak_process_start(&soak->standin, soak->ev, argv, log);
	while (!soak->worker_count)
		tevent_loop_once(soak->ev);
	soak_standin_post(
		soak, &soak->log_address, "/standin/config",
		"{\"Version\":1,\"Routes\":[{\"Name\":\"q\",\"Host\":"
		"\"h.example\",\"PathPrefix\":\"/p/\",\"TimeoutMs\":3000,"
		"\"TargetLatencyMs\":1000,\"Priority\":1,\"Service\":"
		"\"render\",\"MaxAttempts\":4,\"Stretch\":3.0}],\"Services\":"
		"[{\"Name\":\"render\"}],\"Limits\":{},\"Tenants\":[{\"Name\":"
		"\"t\",\"ApiKeys\":[\"k1\"],\"Guaranteed\":{\"Gpu\":8}}]}");
	for (uint32_t i = 0; i < soak->worker_count; i++) {
		char *body = g_strdup_printf("{\"published\":\"127.0.0.1:%u\"}",
					     soak->workers[i].proxy.port);

		soak_standin_post(soak, &soak->workers[i].address,
				  "/standin/fault", body);
		g_free(body);
	}
	g_free(program);
	g_free(log);
	g_free(workers);
}

/* Open the journal. Returns false on failure. */
static bool open_journal(struct soak *soak)
{
	char *path = g_build_filename(soak->folder, "journal", NULL);

	soak->journal = fopen(path, "w");
	g_free(path);
	return soak->journal != NULL;
}

/*
 * Start all processes of a seed and wait for them; `options` and `seed` are
 * set, all other members zero. Aborts when logs cannot be written.
 */
void soak_cluster_start(struct soak *soak)
{
	struct rj_error err;

	soak->ev = tevent_context_init(NULL);
	soak->random = soak->seed * 0x9e3779b97f4a7c15ULL + 1;
	soak->folder = g_dir_make_tmp("soak-XXXXXX", NULL);
	soak->jobs = g_hash_table_new(g_str_hash, g_str_equal);
	soak->job_list = g_ptr_array_new();
	if (!soak->folder || !open_journal(soak) ||
	    rj_http_client_init(&soak->http, soak->ev, soak->ev, NULL,
				CONNECTIONS_MAX, &err))
		g_error("soak: no folder for logs; free some disk space");
	tick(soak->ev, NULL, tevent_timeval_zero(), soak);
	start_standin(soak);
	for (uint32_t i = 0; i < soak->options.instances; i++) {
		struct soak_instance *instance = &soak->instances[i];

		instance->soak = soak;
		(void)g_snprintf(instance->name, sizeof(instance->name), "e%u",
				 i);
		instance->settings = g_strdup_printf("%s/%s.json", soak->folder,
						     instance->name);
		instance->process.on_line = handle_instance_line;
		instance->process.private_data = instance;
		soak_proxy_init(&instance->caller_proxy, soak->ev, soak->ev);
		soak_proxy_init(&instance->log_proxy, soak->ev, soak->ev);
		instance->log_proxy.target = soak->log_address.port;
		write_settings(instance);
		soak_instance_start(instance);
	}
	wait_for_instances(soak);
}

/*
 * End fault injection: restore the log, the workers and all proxies, resume
 * suspended instances, restart stopped ones, and wait until all have started.
 */
void soak_cluster_recover(struct soak *soak)
{
	soak->recovering = true;
	soak->calm_us = rj_clock_now_us();
	soak_journal_write(soak, "calm");
	soak_standin_post(soak, &soak->log_address, "/standin/mode", "ok");
	for (uint32_t i = 0; i < soak->worker_count; i++) {
		soak_proxy_set_mode(&soak->workers[i].proxy, SOAK_PROXY_PASS);
		soak_standin_post(soak, &soak->workers[i].address,
				  "/standin/fault", "{}");
	}
	for (uint32_t i = 0; i < soak->options.instances; i++) {
		struct soak_instance *instance = &soak->instances[i];

		soak_proxy_set_mode(&instance->caller_proxy, SOAK_PROXY_PASS);
		soak_proxy_set_mode(&instance->log_proxy, SOAK_PROXY_PASS);
		soak_process_signal(&instance->process, SIGCONT);
		if (!instance->process.pid || instance->stopping) {
			soak_process_kill(&instance->process);
			soak_instance_start(instance);
		}
	}
	wait_for_instances(soak);
}

static void free_job(struct soak_job *job)
{
	g_hash_table_destroy(job->tasks);
	g_free(job);
}

/*
 * Kill all processes and free the state of the seed. Its folder is kept, and
 * named on standard error, when an invariant was violated.
 */
void soak_cluster_finish(struct soak *soak)
{
	rj_http_client_finish(&soak->http);
	for (uint32_t i = 0; i < soak->options.instances; i++) {
		struct soak_instance *instance = &soak->instances[i];

		soak_process_kill(&instance->process);
		soak_process_kill(&instance->crowd);
		soak_proxy_finish(&instance->caller_proxy);
		soak_proxy_finish(&instance->log_proxy);
		g_free(instance->settings);
	}
	soak_process_kill(&soak->standin);
	for (uint32_t i = 0; i < soak->worker_count; i++)
		soak_proxy_finish(&soak->workers[i].proxy);
	for (guint i = 0; i < soak->job_list->len; i++)
		free_job(soak->job_list->pdata[i]);
	g_ptr_array_free(soak->job_list, TRUE);
	g_hash_table_destroy(soak->jobs);
	talloc_free(soak->ev);
	(void)fclose(soak->journal);
	if (soak->violations) {
		fprintf(stderr, "seed %" G_GUINT64_FORMAT ": logs in %s\n",
			soak->seed, soak->folder);
	} else {
		GDir *folder = g_dir_open(soak->folder, 0, NULL);
		const char *name;

		while (folder && (name = g_dir_read_name(folder))) {
			char *path = g_build_filename(soak->folder, name, NULL);

			(void)g_unlink(path);
			g_free(path);
		}
		g_dir_close(folder);
		(void)g_rmdir(soak->folder);
	}
	g_free(soak->folder);
}
