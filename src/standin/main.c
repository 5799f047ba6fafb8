/*
 * rj-standin: stand-ins for the platform and the workers, for tests, demos
 * and benchmarks.
 */
#include <assert.h>
#include <curl/curl.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "fleet.h"
#include "platform.h"
#include "private/wire.h"
#include "program_options.h"
#include "radishjunction/settings.h"

#define DEFAULT_RETENTION_MS (3600 * 1000)

/* State common to all modes. */
struct program {
	struct tevent_context *ev;
	bool stopped;
};

/* Ends the event loop on SIGTERM or SIGINT. */
static void stop(struct tevent_context *ev, struct tevent_signal *signal,
		 int number, int count, void *info, void *private_data)
{
	struct program *program = private_data;

	program->stopped = true;
}

/* Prints `listening`, which it takes over, as one line of JSON for the process
 * that started this one, then serves until a signal. */
static void serve(struct program *program, json_t *listening)
{
	json_t *line = json_object();
	char *text;

	json_object_set_new(line, "listening", listening);
	text = rj_wire_text(program->ev, line);
	json_decref(line);
	puts(text);
	fflush(stdout);
	talloc_free(text);
	while (!program->stopped)
		tevent_loop_once(program->ev);
}

/* Prints `err` and returns the exit status. */
static int report_error(const struct rj_error *err)
{
	fprintf(stderr, "rj-standin: %s\n", err->message);
	return EXIT_FAILURE;
}

/* Serves the platform until a signal. Returns the exit status. */
static int serve_platform(struct program *program,
			  const struct rj_standin_platform_options *options)
{
	struct rj_standin_platform platform;
	struct rj_error err;
	json_t *list = json_array();

	if (rj_standin_platform_init(&platform, program->ev, program->ev,
				     options, &err)) {
		json_decref(list);
		return report_error(&err);
	}
	json_array_append_new(
		list, json_pack("{s:s, s:i}", "ip", platform.server.address.ip,
				"port", (int)platform.server.address.port));
	serve(program, list);
	rj_standin_platform_finish(&platform);
	return EXIT_SUCCESS;
}

/* Runs `rj-standin platform`. Returns the exit status. */
static int run_platform(struct program *program, int argc, char **argv)
{
	struct arg_str *listen =
		arg_str1(NULL, "listen", "IP:PORT", "address; port 0: any");
	struct arg_int *retention = arg_int0(NULL, "retention-ms", "N",
					     "retention time of records");
	struct arg_int *lag =
		arg_int0(NULL, "list-lag-ms", "N", "lag of the instance list");
	struct arg_int *rate = arg_int0(NULL, "append-rate", "N",
					"appends a second; 0: unlimited");
	struct program_options common = program_options_of("rj-standin");
	void *table[] = {
		listen, retention, lag, rate, common.help, common.end
	};
	struct rj_standin_platform_options options;
	int status;

	retention->ival[0] = DEFAULT_RETENTION_MS;
	lag->ival[0] = 0;
	rate->ival[0] = 0;
	status = program_options_parse(&common, argc, argv, table);
	if (status >= 0)
		goto out;
	memset(&options, 0, sizeof(options));
	status = PROGRAM_EXIT_USAGE;
	if (rj_address_parse(&options.address, listen->sval[0])) {
		fprintf(stderr, "listen: \"%s\" is not an IP:PORT\n",
			listen->sval[0]);
		goto out;
	}
	if (retention->ival[0] <= 0 || lag->ival[0] < 0 || rate->ival[0] < 0) {
		fprintf(stderr, "retention-ms, list-lag-ms, append-rate: give "
				"positive numbers\n");
		goto out;
	}
	options.retention_us = (uint64_t)retention->ival[0] * RJ_US_PER_MS;
	options.list_lag_us = (uint64_t)lag->ival[0] * RJ_US_PER_MS;
	options.append_rate = (uint32_t)rate->ival[0];
	status = serve_platform(program, &options);
out:
	arg_freetable(table, PROGRAM_OPTIONS_COUNT(table));
	return status;
}

/* Serves the workers until a signal. Returns the exit status. */
static int serve_workers(struct program *program,
			 const struct rj_fleet_options *options)
{
	struct rj_fleet fleet;
	struct rj_error err;

	if (rj_fleet_init(&fleet, program->ev, program->ev, options, &err))
		return report_error(&err);
	serve(program, rj_fleet_listening(&fleet));
	rj_fleet_finish(&fleet);
	return EXIT_SUCCESS;
}

/* Runs `rj-standin workers`. Returns the exit status. */
static int run_workers(struct program *program, int argc, char **argv)
{
	struct arg_str *ip =
		arg_str1(NULL, "listen-ip", "IP", "each worker on any port");
	struct arg_int *count = arg_int1(NULL, "count", "N", "workers");
	struct arg_str *prefix =
		arg_str1(NULL, "name-prefix", "P", "names P-000 and so on");
	struct arg_str *domain =
		arg_str1(NULL, "domain", "D", "failure domain");
	struct arg_int *rack = arg_int0(NULL, "rack-from", "R", "first rack");
	struct arg_int *workers_per_rack =
		arg_int0(NULL, "per-rack", "N", "workers in a rack");
	struct arg_str *platform =
		arg_str0(NULL, "platform", "IP:PORT", "where to register");
	struct arg_int *slots = arg_int0(NULL, "slots", "N", NULL);
	struct arg_int *connections =
		arg_int0(NULL, "connections", "N", "open at once");
	struct arg_int *accelerators =
		arg_int0(NULL, "accelerators", "N", NULL);
	struct arg_int *cores = arg_int0(NULL, "cores", "N", NULL);
	struct arg_int *memory = arg_int0(NULL, "memory-mb", "N", NULL);
	struct program_options common = program_options_of("rj-standin");
	void *table[] = { ip,		count,	   prefix,
			  domain,	rack,	   workers_per_rack,
			  platform,	slots,	   connections,
			  accelerators, cores,	   memory,
			  common.help,	common.end };
	struct rj_fleet_options options;
	int status;

	rack->ival[0] = 0;
	workers_per_rack->ival[0] = 8;
	slots->ival[0] = 8;
	connections->ival[0] = 64;
	accelerators->ival[0] = 8;
	cores->ival[0] = 128;
	memory->ival[0] = 524288;
	status = program_options_parse(&common, argc, argv, table);
	if (status >= 0)
		goto out;
	status = PROGRAM_EXIT_USAGE;
	if (count->ival[0] <= 0 || workers_per_rack->ival[0] <= 0 ||
	    rack->ival[0] < 0 || slots->ival[0] < 0 ||
	    connections->ival[0] <= 0 || accelerators->ival[0] < 0 ||
	    cores->ival[0] < 0 || memory->ival[0] < 0) {
		fprintf(stderr, "count, per-rack, connections: give numbers "
				"from 1, for the others from 0\n");
		goto out;
	}
	memset(&options, 0, sizeof(options));
	options.listen_ip = ip->sval[0];
	options.name_prefix = prefix->sval[0];
	options.domain = domain->sval[0];
	options.platform = platform->count ? platform->sval[0] : NULL;
	options.count = (uint32_t)count->ival[0];
	options.first_rack = (uint32_t)rack->ival[0];
	options.workers_per_rack = (uint32_t)workers_per_rack->ival[0];
	options.connections_max = (uint32_t)connections->ival[0];
	options.capacity.slots = (uint32_t)slots->ival[0];
	options.capacity.accelerators = (uint32_t)accelerators->ival[0];
	options.capacity.cores = (uint32_t)cores->ival[0];
	options.capacity.memory_mb = (uint32_t)memory->ival[0];
	status = serve_workers(program, &options);
out:
	arg_freetable(table, PROGRAM_OPTIONS_COUNT(table));
	return status;
}

static const struct {
	const char *name;
	int (*run)(struct program *program, int argc, char **argv);
} modes[] = {
	{ "platform", run_platform },
	{ "workers", run_workers },
};

/* Runs the mode named by the first argument. Returns the exit status. */
static int run_mode(struct program *program, int argc, char **argv)
{
	for (size_t i = 0; argc > 1 && i < PROGRAM_OPTIONS_COUNT(modes); i++)
		if (!strcmp(argv[1], modes[i].name))
			return modes[i].run(program, argc - 1, argv + 1);
	if (argc > 1 && !strcmp(argv[1], "--version")) {
		puts("rj-standin " RJ_VERSION);
		return EXIT_SUCCESS;
	}
	fprintf(stderr, "usage: rj-standin platform|workers [--help]\n");
	return PROGRAM_EXIT_USAGE;
}

int main(int argc, char **argv)
{
	struct program program = { .stopped = false };
	int status;

	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT)) {
		fprintf(stderr, "rj-standin: a library cannot start\n");
		return EXIT_FAILURE;
	}
	signal(SIGPIPE, SIG_IGN);
	program.ev = tevent_context_init(NULL);
	assert(program.ev);
	tevent_add_signal(program.ev, program.ev, SIGTERM, 0, stop, &program);
	tevent_add_signal(program.ev, program.ev, SIGINT, 0, stop, &program);
	status = run_mode(&program, argc, argv);
	talloc_free(program.ev);
	curl_global_cleanup();
	return status;
}
