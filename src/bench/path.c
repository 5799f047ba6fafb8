#include <assert.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "bench.h"
#include "load.h"
#include "private/worker_wire.h"
#include "program_options.h"
#include "radishjunction/settings.h"

#define TIMEOUT_US (30 * RJ_US_PER_S)
#define LEASE_LIFE_US (30 * RJ_US_PER_S)
/* Half of the required load of one instance. */
#define HALF_LOAD_PER_S 2500
/* Long enough to read the daemon's memory with all jobs open. */
#define OPEN_JOB_RUN_MS 1000
/* Enough for the memory of each to stand out from allocator granularity. */
#define OPEN_REQUESTS 1000
/* Enough points to tell steady growth from a plateau. */
#define SOAK_STEPS 10
#define SMALL_BODY "{\"run_ms\":0,\"echo\":\"preview\"}"

/* The daemon and workers under test, and the load. */
struct path {
	struct rj_address daemon;
	struct rj_address *workers; /* of the same rack */
	char (*names)[RJ_NAME_BYTES];
	uint32_t worker_count;
	const char *header; /* Authorization, with the account's token */
	const char *class_name;
	int pid; /* of the daemon */
	uint32_t count;
	uint32_t concurrency;
	uint64_t run_id; /* distinguishes the attempts of each load */
	uint64_t idle_bytes; /* resident, before any request */
};

/* Makes a submission of a small job that waits for its result. */
static void make_submit(const struct load *load, void *mem, uint32_t index,
			struct rj_http_request *send)
{
	const struct path *path = load->options.data;

	send->url = rj_http_url(mem, &path->daemon, "/v1/jobs");
	send->body = talloc_asprintf(mem, "{\"class\":\"%s\",\"body\":%s}",
				     path->class_name, SMALL_BODY);
	send->length = strlen(send->body);
}

/* Whether the job is done and its result echoes the body. */
static bool check_submit(const struct load *load, const char *answer)
{
	return strstr(answer, "\"done\"") && strstr(answer, "preview");
}

/* Makes a RUN call of the same job directly to a worker. */
static void make_run(const struct load *load, void *mem, uint32_t index,
		     struct rj_http_request *send)
{
	const struct path *path = load->options.data;
	uint32_t worker = index % path->worker_count;
	struct rj_worker_call call = {
		.call_id = index,
		.op = RJ_WORKER_RUN,
		.holder = path->run_id,
		.attempt = { index, path->run_id, 1 },
		.gang = 1,
		.each = { .slots = 1, .cores = 1 },
		.life_us = LEASE_LIFE_US,
		.throttle_percent = 100,
	};

	call.body.data = (const uint8_t *)SMALL_BODY;
	call.body.length = sizeof(SMALL_BODY) - 1;
	memcpy(call.worker, path->names[worker], sizeof(call.worker));
	send->url = rj_http_url(mem, &path->workers[worker], "/v1/run");
	send->body = rj_worker_wire_encode_call(mem, &call);
	send->length = strlen(send->body);
}

/* Whether the task is done; its result is base64 and not checked. */
static bool check_run(const struct load *load, const char *answer)
{
	return strstr(answer, "\"done\"");
}

/* Returns the resident memory of a process in bytes, or 0. */
static uint64_t resident_bytes(int pid)
{
	char name[32];
	char line[128];
	uint64_t kib = 0;
	FILE *file;

	snprintf(name, sizeof(name), "/proc/%d/status", pid);
	file = fopen(name, "r");
	if (!file)
		return 0;
	while (fgets(line, sizeof(line), file))
		if (sscanf(line, "VmRSS: %" SCNu64, &kib) == 1)
			break;
	(void)fclose(file);
	return kib * 1024;
}

/* Returns the CPU time of a process in microseconds, or 0. */
static uint64_t cpu_us(int pid)
{
	char name[32];
	uint64_t user = 0;
	uint64_t system = 0;
	FILE *file;

	snprintf(name, sizeof(name), "/proc/%d/stat", pid);
	file = fopen(name, "r");
	if (!file)
		return 0;
	/* Fields 14 and 15; the name, field 2, contains no blank. */
	if (fscanf(file,
		   "%*s %*s %*s %*s %*s %*s %*s %*s %*s %*s %*s %*s %*s "
		   "%" SCNu64 " %" SCNu64,
		   &user, &system) != 2)
		user = system = 0;
	(void)fclose(file);
	return (user + system) * RJ_US_PER_S / (uint64_t)sysconf(_SC_CLK_TCK);
}

/*
 * Returns how long a single-threaded process has been runnable without a CPU,
 * in microseconds, or 0. On a busy machine this separates the daemon's latency
 * from the machine's.
 */
static uint64_t run_delay_us(int pid)
{
	char name[32];
	uint64_t waited_ns = 0;
	FILE *file;

	snprintf(name, sizeof(name), "/proc/%d/schedstat", pid);
	file = fopen(name, "r");
	if (!file)
		return 0;
	if (fscanf(file, "%*s %" SCNu64, &waited_ns) != 1)
		waited_ns = 0;
	(void)fclose(file);
	return waited_ns / 1000;
}

/* Prints one result; takes over `values`. */
static void print_measure(const char *measure, json_t *values)
{
	json_t *line =
		json_pack("{s:s, s:s}", "bench", "path", "measure", measure);
	char *text;

	json_object_update(line, values);
	json_decref(values);
	text = json_dumps(line, JSON_COMPACT);
	json_decref(line);
	assert(text);
	puts(text);
	(void)fflush(stdout);
	free(text);
}

/* Returns the results of a load as a new JSON object. */
static json_t *load_values(const struct load *load)
{
	return json_pack(
		"{s:i, s:i, s:i, s:f, s:i, s:i, s:i, s:f, s:f}", "requests",
		(int)load->ended, "concurrency", (int)load->options.concurrency,
		"wrong", (int)load->wrong, "per_s", load_per_second(load),
		"p50_us", (int)load_percentile_us(load, 500), "p99_us",
		(int)load_percentile_us(load, 990), "max_us",
		(int)load_percentile_us(load, 1000), "daemon_cpu_us_each",
		(double)load->cpu_us / (double)load->ended,
		"daemon_without_core_us_each",
		(double)load->run_delay_us / (double)load->ended);
}

/* The route of a request: through the daemon, or directly to a worker. */
struct route {
	const char *name;
	void (*make)(const struct load *load, void *mem, uint32_t index,
		     struct rj_http_request *send);
	bool (*check)(const struct load *load, const char *answer);
};

static const struct route via_daemon = { "through", make_submit, check_submit };
static const struct route to_worker = { "direct", make_run, check_run };

/* Runs one load, prints its results and adds its wrong answers to `wrong`.
 * Returns 0; then the caller frees `load`. Otherwise returns -1. */
static int measure(struct path *path, const struct route *route, uint32_t rate,
		   struct load *load, uint32_t *wrong)
{
	struct load_options options = {
		.make = route->make,
		.check = route->check,
		.data = path,
		.header = route == &via_daemon ? path->header : NULL,
		.count = path->count,
		.concurrency = path->concurrency,
		.rate = rate,
		.timeout_us = TIMEOUT_US,
	};
	uint64_t before_us = cpu_us(path->pid);
	uint64_t waited_us = run_delay_us(path->pid);
	char name[64];

	path->run_id++;
	if (load_run(load, &options))
		return -1;
	*wrong += load->wrong;
	load->cpu_us = cpu_us(path->pid) - before_us;
	load->run_delay_us = run_delay_us(path->pid) - waited_us;
	snprintf(name, sizeof(name), "%s_%s", route->name,
		 rate ? "at_rate" : "at_most");
	print_measure(name, load_values(load));
	return 0;
}

/* Prints the latency added by the daemon, with both routes at the same rate. */
static int measure_added_latency(struct path *path, uint32_t rate,
				 uint32_t *wrong)
{
	struct load direct_load;
	struct load daemon_load;

	if (measure(path, &to_worker, rate, &direct_load, wrong))
		return -1;
	if (measure(path, &via_daemon, rate, &daemon_load, wrong)) {
		load_finish(&direct_load);
		return -1;
	}
	print_measure(
		"added",
		json_pack("{s:i, s:i, s:i}", "rate_per_s", (int)rate, "p50_us",
			  (int)load_percentile_us(&daemon_load, 500) -
				  (int)load_percentile_us(&direct_load, 500),
			  "p99_us",
			  (int)load_percentile_us(&daemon_load, 990) -
				  (int)load_percentile_us(&direct_load, 990)));
	load_finish(&direct_load);
	load_finish(&daemon_load);
	return 0;
}

/* Prints the maximum throughput of a route. */
static int measure_throughput(struct path *path, const struct route *route,
			      uint32_t *wrong)
{
	struct load load;

	if (measure(path, route, 0, &load, wrong))
		return -1;
	load_finish(&load);
	return 0;
}

/* Makes a submission of a job that stays open while the memory is read. */
static void make_open_job(const struct load *load, void *mem, uint32_t index,
			  struct rj_http_request *send)
{
	const struct path *path = load->options.data;

	send->url = rj_http_url(mem, &path->daemon, "/v1/jobs");
	send->body = talloc_asprintf(
		mem, "{\"class\":\"%s\",\"body\":{\"run_ms\":%d}}",
		path->class_name, OPEN_JOB_RUN_MS);
	send->length = strlen(send->body);
}

/* Reads the daemon's memory at the first answer, while the other jobs are
 * open. Accepts every answer. */
static bool check_open_job(const struct load *load, const char *answer)
{
	const struct path *path = load->options.data;
	uint64_t bytes;

	if (load->ended != 1)
		return true;
	bytes = resident_bytes(path->pid);
	print_measure("memory_held",
		      json_pack("{s:I, s:i, s:f}", "resident_bytes",
				(json_int_t)bytes, "open_requests",
				(int)load->options.count, "bytes_each",
				((double)bytes - (double)path->idle_bytes) /
					(double)load->options.count));
	return true;
}

/* Prints the daemon's memory with many open requests. */
static int measure_open_memory(struct path *path)
{
	struct load_options options = {
		.make = make_open_job,
		.check = check_open_job,
		.data = path,
		.header = path->header,
		.count = OPEN_REQUESTS,
		.concurrency = OPEN_REQUESTS,
		.timeout_us = TIMEOUT_US,
	};
	struct load load;

	if (load_run(&load, &options))
		return -1;
	load_finish(&load);
	return 0;
}

/*
 * Prints the daemon's memory after each tenth of `requests`: with a leak it
 * grows at each step, with bounded use or fragmentation it levels off. Returns
 * the exit status.
 */
static int measure_soak(struct path *path, uint32_t requests)
{
	uint32_t wrong = 0;

	path->count = requests / SOAK_STEPS;
	for (uint32_t step = 1; step <= SOAK_STEPS; step++) {
		if (measure_throughput(path, &via_daemon, &wrong))
			return EXIT_FAILURE;
		print_measure("memory_soak",
			      json_pack("{s:I, s:I}", "requests",
					(json_int_t)path->count * step,
					"resident_bytes",
					(json_int_t)resident_bytes(path->pid)));
	}
	return wrong ? EXIT_FAILURE : EXIT_SUCCESS;
}

/* Reads the line printed by `rj-standin workers`. Returns 0, or -1 if it is
 * invalid. */
static int read_workers(struct path *path, void *mem, const char *file)
{
	json_t *line = json_load_file(file, 0, NULL);
	const json_t *list = json_object_get(line, "listening");
	const json_t *item;
	size_t i;

	path->worker_count = (uint32_t)json_array_size(list);
	path->workers =
		talloc_zero_array(mem, struct rj_address, path->worker_count);
	path->names = talloc_zero_size(mem, path->worker_count * RJ_NAME_BYTES);
	json_array_foreach(list, i, item)
	{
		const char *name;
		const char *ip;
		int port;

		if (json_unpack((json_t *)item, "{s:s, s:s, s:i}", "name",
				&name, "ip", &ip, "port", &port) ||
		    rj_name_set(path->names[i], name))
			goto fail;
		snprintf(path->workers[i].ip, RJ_IP_BYTES, "%s", ip);
		path->workers[i].port = (uint16_t)port;
	}
	json_decref(line);
	return path->worker_count ? 0 : -1;

fail:
	json_decref(line);
	return -1;
}

/* Runs all measurements, those with low load first. Returns the exit status. */
static int measure_all(struct path *path)
{
	uint32_t wrong = 0;

	path->idle_bytes = resident_bytes(path->pid);
	print_measure("memory_idle", json_pack("{s:I}", "resident_bytes",
					       (json_int_t)path->idle_bytes));
	if (measure_open_memory(path) ||
	    measure_added_latency(path, HALF_LOAD_PER_S, &wrong) ||
	    measure_throughput(path, &to_worker, &wrong) ||
	    measure_throughput(path, &via_daemon, &wrong))
		return EXIT_FAILURE;
	print_measure("memory_after",
		      json_pack("{s:I}", "resident_bytes",
				(json_int_t)resident_bytes(path->pid)));
	return wrong ? EXIT_FAILURE : EXIT_SUCCESS;
}

/*
 * `rj-bench path`: small requests through one daemon compared with direct
 * calls to its workers. scripts/bench-path starts these and passes their
 * addresses.
 */
int bench_path(int argc, char **argv)
{
	struct arg_str *daemon =
		arg_str1(NULL, "daemon", "IP:PORT", "of its callers");
	struct arg_int *pid = arg_int1(NULL, "pid", "N", "of the daemon");
	struct arg_file *workers =
		arg_file1(NULL, "workers", "FILE", "what rj-standin printed");
	struct arg_str *token =
		arg_str1(NULL, "token", "T", "of a client account");
	struct arg_str *class_name =
		arg_str1(NULL, "class", "C", "a class that is idempotent");
	struct arg_int *count =
		arg_int0(NULL, "count", "N", "requests of each load (20000)");
	struct arg_int *concurrency =
		arg_int0(NULL, "concurrency", "N", "open at once (48)");
	struct arg_int *soak = arg_int0(
		NULL, "soak", "N", "measure only the memory over N requests");
	struct program_options common = program_options_of("rj-bench");
	void *table[] = {
		daemon, pid,	     workers, token,	   class_name,
		count,	concurrency, soak,    common.help, common.end
	};
	struct path path = { .run_id = 1 };
	void *mem = talloc_new(NULL);
	int status;

	count->ival[0] = 20000;
	concurrency->ival[0] = 48;
	soak->ival[0] = 0;
	status = program_options_parse(&common, argc, argv, table);
	if (status >= 0)
		goto out;
	status = PROGRAM_EXIT_USAGE;
	if (rj_address_parse(&path.daemon, daemon->sval[0]) ||
	    read_workers(&path, mem, workers->filename[0]) ||
	    count->ival[0] <= 0 || concurrency->ival[0] <= 0 ||
	    (soak->count && soak->ival[0] < SOAK_STEPS)) {
		(void)fputs("path: daemon, workers, count, concurrency or soak "
			    "is wrong; see --help\n",
			    stderr);
		goto out;
	}
	path.header = talloc_asprintf(mem, "Authorization: Bearer %s",
				      token->sval[0]);
	path.class_name = class_name->sval[0];
	path.pid = pid->ival[0];
	path.count = (uint32_t)count->ival[0];
	path.concurrency = (uint32_t)concurrency->ival[0];
	status = soak->count ? measure_soak(&path, (uint32_t)soak->ival[0]) :
			       measure_all(&path);
out:
	arg_freetable(table, PROGRAM_OPTIONS_COUNT(table));
	talloc_free(mem);
	return status;
}
