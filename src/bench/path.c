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
/* Half of the load that one instance is to carry. */
#define HALF_LOAD_PER_S 2500
/* Held open long enough to read the daemon's memory. */
#define OPEN_JOB_RUN_MS 1000
/* Enough that the memory of each tells from the allocator's steps. */
#define OPEN_REQUESTS 1000
/* Enough points to tell a slope from a level that is reached. */
#define SOAK_STEPS 10
#define SMALL_BODY "{\"run_ms\":0,\"echo\":\"preview\"}"

/* What is measured, and against what. */
struct path {
	struct rj_address daemon;
	struct rj_address *workers; /* of the same rack */
	char (*names)[RJ_NAME_BYTES];
	uint32_t worker_count;
	const char *header; /* the account's token */
	const char *class_name;
	int pid; /* of the daemon */
	uint32_t count;
	uint32_t concurrency;
	uint64_t run_id; /* keeps the job ids of each load apart */
	uint64_t idle_bytes; /* resident, before any request */
};

/* A small job, submitted by a caller that waits for its answer. */
static void make_submit(const struct load *load, void *mem, uint32_t index,
			struct rj_http_send *send)
{
	const struct path *path = load->options.data;

	send->url = rj_http_url(mem, &path->daemon, "/v1/jobs");
	send->body = talloc_asprintf(mem, "{\"class\":\"%s\",\"body\":%s}",
				     path->class_name, SMALL_BODY);
	send->length = strlen(send->body);
}

/* Done, and with the echo of its own body. */
static bool check_submit(const struct load *load, const char *answer)
{
	return strstr(answer, "\"done\"") && strstr(answer, "preview");
}

/* The same job, run by a worker that is called directly. */
static void make_run(const struct load *load, void *mem, uint32_t index,
		     struct rj_http_send *send)
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

/* Done; the result itself is base64 here. */
static bool check_run(const struct load *load, const char *answer)
{
	return strstr(answer, "\"done\"");
}

/* Resident memory of a process in bytes, or 0. */
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

/* Processor time of a process so far in microseconds, or 0. */
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
	/* Fields 14 and 15; the name, field 2, holds no blank. */
	if (fscanf(file,
		   "%*s %*s %*s %*s %*s %*s %*s %*s %*s %*s %*s %*s %*s "
		   "%" SCNu64 " %" SCNu64,
		   &user, &system) != 2)
		user = system = 0;
	(void)fclose(file);
	return (user + system) * RJ_US_PER_S / (uint64_t)sysconf(_SC_CLK_TCK);
}

/*
 * How long a process of one thread has stood ready without a core, in
 * microseconds, or 0. On a machine that does other work as well this tells
 * the daemon's latency from the machine's.
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

/* Print one measure; takes over `values`. */
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

/* What every load is measured by. */
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

/* How a request goes: through the daemon, or straight to a worker. */
struct route {
	const char *name;
	void (*make)(const struct load *load, void *mem, uint32_t index,
		     struct rj_http_send *send);
	bool (*check)(const struct load *load, const char *answer);
};

static const struct route via_daemon = { "through", make_submit, check_submit };
static const struct route to_worker = { "direct", make_run, check_run };

/* Run one load, print it and add its wrong answers to `wrong`. */
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

/* The latency that the daemon adds, both ways at the same rate. */
static int measure_added_latency(struct path *path, uint32_t rate,
				 uint32_t *wrong)
{
	struct load one;
	struct load two;

	if (measure(path, &to_worker, rate, &one, wrong))
		return -1;
	if (measure(path, &via_daemon, rate, &two, wrong)) {
		load_finish(&one);
		return -1;
	}
	print_measure("added",
		      json_pack("{s:i, s:i, s:i}", "rate_per_s", (int)rate,
				"p50_us",
				(int)load_percentile_us(&two, 500) -
					(int)load_percentile_us(&one, 500),
				"p99_us",
				(int)load_percentile_us(&two, 990) -
					(int)load_percentile_us(&one, 990)));
	load_finish(&one);
	load_finish(&two);
	return 0;
}

/* Requests a second, as fast as the answers come. */
static int measure_throughput(struct path *path, const struct route *route,
			      uint32_t *wrong)
{
	struct load load;

	if (measure(path, route, 0, &load, wrong))
		return -1;
	load_finish(&load);
	return 0;
}

/* A job that stays open while the memory is read. */
static void make_open_job(const struct load *load, void *mem, uint32_t index,
			  struct rj_http_send *send)
{
	const struct path *path = load->options.data;

	send->url = rj_http_url(mem, &path->daemon, "/v1/jobs");
	send->body = talloc_asprintf(
		mem, "{\"class\":\"%s\",\"body\":{\"run_ms\":%d}}",
		path->class_name, OPEN_JOB_RUN_MS);
	send->length = strlen(send->body);
}

/* The memory is read when the first of the held jobs has been answered. */
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

/* The memory of the daemon while it holds many open requests. */
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
 * The memory of the daemon after each tenth of `requests`: a leak grows from
 * step to step, what is bounded or fragmented reaches a level.
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

/* Read the line that rj-standin workers printed when it was ready. */
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

/* All measures, the quiet ones first. */
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
 * Small requests through one daemon beside direct calls to its workers.
 * scripts/bench-path starts these and gives their addresses.
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
		NULL, "soak", "N", "only the memory over so many requests");
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
