#include <assert.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <time.h>

#include "answers.h"
#include "command.h"
#include "instance_status.h"
#include "stream.h"
#include "radishjunction/settings.h"

#define TIMEOUT_S 60
#define POLL_MS 300
#define ID_RANDOM_BYTES 8

struct publication {
	void *mem;
	struct targets targets;
	struct stream stream;
	struct instance_status *statuses;
	const char *text;
	const char *author;
	char id[2 * ID_RANDOM_BYTES + 1];
	uint64_t base;
	bool restart;
	bool whole; /* asked for by the operator */
	struct rj_config_change change; /* its patch is NULL without one */
	struct timespec deadline;
};

/*
 * Whether the time to wait is over.
 */
static bool is_past(const struct timespec *deadline)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return now.tv_sec > deadline->tv_sec ||
	       (now.tv_sec == deadline->tv_sec &&
		now.tv_nsec >= deadline->tv_nsec);
}

/*
 * Leave the platform and the instances alone for a moment.
 */
static void pause_between_polls(void)
{
	struct timespec pause = { 0, POLL_MS * 1000000L };

	nanosleep(&pause, NULL);
}

/*
 * Which revision this publication is made from: the one in force by the log,
 * or by the instances where the log's beginning is gone.
 *
 * Returns 0, or -1 with `err` set: the platform gives no answer, or nobody
 * knows any configuration although there were some.
 */
static int find_base(struct publication *own, struct rj_error *err)
{
	if (stream_read_all(&own->stream, err))
		return -1;
	own->base = rj_config_log_revision(&own->stream.log);
	if (!own->stream.log.gap)
		return 0;
	instances_get_revision(&own->targets, own->statuses);
	for (uint32_t i = 0; i < own->targets.count; i++)
		if (instance_revision(&own->statuses[i]) > own->base)
			own->base = instance_revision(&own->statuses[i]);
	instances_release_status(own->statuses, own->targets.count);
	if (own->base || own->restart)
		return 0;
	return rj_error_set(err, RJ_ERR_NOT_FOUND,
			    "config stream: its beginning is gone, and no "
			    "instance knows a configuration; if all of them "
			    "were asked, start anew with --restart");
}

/*
 * Whether every instance says that it takes publications that hold the
 * change alone.
 *
 * Guards against an instance of an older version during a rolling
 * replacement: it passes over a change, and would accept a whole publication
 * of the same base that all others have refused. It holds for the instances
 * that are named to this command, so that all have to be.
 */
static bool all_take_changes(struct publication *own)
{
	bool all = own->targets.count > 0;

	instances_get_revision(&own->targets, own->statuses);
	for (uint32_t i = 0; i < own->targets.count; i++)
		all = all && instance_accepts_changes(&own->statuses[i]);
	instances_release_status(own->statuses, own->targets.count);
	return all;
}

/*
 * Make the change from the base, if it may be published instead of the whole
 * configuration and is shorter.
 */
static void make_change(struct publication *own)
{
	const struct rj_config_log *log = &own->stream.log;

	if (own->whole || own->restart || log->gap || !log->config ||
	    log->config->revision != own->base || !all_take_changes(own))
		return;
	if (rj_config_change_make(own->mem, log->config->text, own->text,
				  &own->change))
		own->change.patch = NULL;
	else
		printf("a change of %zu bytes to revision %" PRIu64 "\n",
		       strlen(own->change.patch), own->base);
}

/*
 * Append the publication. Returns whether it may have taken effect; `err` is
 * set unless it surely has.
 */
static enum http_outcome append(struct publication *own, struct rj_error *err)
{
	struct rj_record record;
	uint8_t random[ID_RANDOM_BYTES];

	randombytes_buf(random, sizeof(random));
	sodium_bin2hex(own->id, sizeof(own->id), random, sizeof(random));
	memset(&record, 0, sizeof(record));
	record.kind = RJ_RECORD_CONFIG;
	memcpy(record.config_id, own->id, sizeof(own->id));
	rj_name_set(record.author, own->author);
	record.base_revision = own->base;
	record.revision = own->base + 1;
	if (own->change.patch)
		record.config_change = own->change;
	else
		record.config_text = own->text;
	/* Nobody can judge it by what is gone, so it says where to start. */
	record.carried = own->restart && own->stream.log.gap;
	record.as_of = own->stream.log.next;
	own->stream.awaited_id = own->id;
	return stream_append(&own->stream, &record, err);
}

/*
 * Read on until the publication shows in the log, which also tells what
 * became of an append whose answer was lost. Returns an exit code, told
 * unless it is EXIT_DONE.
 */
static int await_verdict(struct publication *own)
{
	struct stream *stream = &own->stream;
	struct rj_error err;

	while (!stream->found) {
		if (!stream_read_all(stream, &err) && stream->found)
			break;
		if (is_past(&own->deadline)) {
			fprintf(stderr,
				"radishjunction publish: publication %s does "
				"not show in the log, and may yet: see "
				"`radishjunction status`, then publish again; "
				"if both show, the second is refused\n",
				own->id);
			return EXIT_UNKNOWN;
		}
		pause_between_polls();
	}
	switch (stream->verdict) {
	case RJ_CONFIG_ACCEPTED:
	case RJ_CONFIG_REPEATED:
		printf("accepted as revision %" PRIu64 " (publication %s)\n",
		       own->base + 1, own->id);
		return EXIT_DONE;
	case RJ_CONFIG_UNDECIDED:
		printf("in the log as revision %" PRIu64 " (publication %s); "
		       "the instances judge it\n",
		       own->base + 1, own->id);
		return EXIT_DONE;
	case RJ_CONFIG_STALE:
		fprintf(stderr,
			"radishjunction publish: refused: %s%spublication %s "
			"came first and made revision %" PRIu64 "; take over "
			"its changes and publish again\n",
			stream->winner_author,
			stream->winner_author[0] ? "'s " : "",
			stream->winner_id,
			rj_config_log_revision(&stream->log));
		return EXIT_REFUSED;
	case RJ_CONFIG_BAD_CHANGE:
		fprintf(stderr,
			"radishjunction publish: refused: the change does not "
			"fit revision %" PRIu64 "; publish with --whole\n",
			own->base);
		return EXIT_REFUSED;
	default:
		fprintf(stderr,
			"radishjunction publish: refused: %s; check it with "
			"the version of the instances\n",
			rj_config_verdict_string[stream->verdict]);
		return EXIT_REFUSED;
	}
}

/*
 * Whether the publication, or one made from it, is in force at an instance.
 */
static bool in_force(const struct publication *own,
		     const struct instance_status *status)
{
	const char *id =
		json_string_value(json_object_get(status->json, "publication"));

	if (instance_revision(status) > own->base + 1)
		return true;
	return instance_revision(status) == own->base + 1 && id &&
	       !strcmp(id, own->id);
}

/*
 * Tell where the publication is in force and where not yet.
 */
static void print_progress(const struct publication *own, uint32_t done)
{
	printf("in force at %u of %u", done, own->targets.count);
	for (uint32_t i = 0; i < own->targets.count; i++) {
		const struct instance_status *status = &own->statuses[i];
		char where[RJ_ADDRESS_BYTES];

		if (in_force(own, status))
			continue;
		rj_address_format(where, &own->targets.instances[i]);
		if (status->json)
			printf("; not yet at %s (revision %" PRIu64 ")", where,
			       instance_revision(status));
		else
			printf("; no answer of %s", where);
	}
	printf("\n");
	fflush(stdout);
}

/*
 * Say what to do about a publication that is not in force everywhere in
 * time. One that no reader can judge never comes into force: all of them
 * missed records, so that none can carry the configuration for the others.
 */
static void print_not_everywhere(const struct publication *own, uint32_t done)
{
	if (!done && own->stream.verdict == RJ_CONFIG_UNDECIDED)
		fprintf(stderr,
			"radishjunction publish: no instance has judged it; "
			"if every one answers and shows the same revision, all "
			"missed records of the log: publish with --restart\n");
	else
		fprintf(stderr, "radishjunction publish: accepted, and not in "
				"force everywhere yet; see `radishjunction "
				"status`\n");
}

/*
 * Wait until every instance has it in force, telling each change.
 */
static int await_force(struct publication *own)
{
	uint32_t told = UINT32_MAX;

	for (;;) {
		uint32_t done = 0;

		instances_get_revision(&own->targets, own->statuses);
		for (uint32_t i = 0; i < own->targets.count; i++)
			done += in_force(own, &own->statuses[i]);
		if (done != told || is_past(&own->deadline))
			print_progress(own, done);
		told = done;
		instances_release_status(own->statuses, own->targets.count);
		if (done == own->targets.count)
			return EXIT_DONE;
		if (is_past(&own->deadline)) {
			print_not_everywhere(own, done);
			return EXIT_PENDING;
		}
		pause_between_polls();
	}
}

/*
 * Append, find out what became of it, and wait until it is in force.
 */
static int publish(struct publication *own)
{
	enum http_outcome outcome;
	struct rj_error err;
	int code;

	if (find_base(own, &err))
		return print_error("publish", &err);
	make_change(own);
	outcome = append(own, &err);
	if (outcome == HTTP_UNREACHABLE)
		return print_error("publish", &err);
	if (outcome == HTTP_LOST)
		printf("the append's answer was lost (%s); reading the log "
		       "for publication %s\n",
		       err.message, own->id);
	code = await_verdict(own);
	return code ? code : await_force(own);
}

/*
 * Read and check the configuration, before anything is asked of anybody.
 */
static int load_text(struct publication *own, const char *path)
{
	struct rj_error_list errors;
	struct rj_error err;
	char *text = file_read(own->mem, path, &err);

	if (!text)
		return print_error("publish", &err);
	rj_error_list_init(&errors, own->mem);
	text = config_compact(own->mem, text);
	if (!rj_config_parse(own->mem, text, &errors)) {
		print_errors(path, &errors);
		return EXIT_REFUSED;
	}
	own->text = text;
	return EXIT_DONE;
}

/*
 * The name that other operators read when they lose a race.
 */
static const char *operator_name(const char *given)
{
	char name[RJ_NAME_BYTES];

	if (!given)
		given = getenv("USER");
	if (!given || rj_name_set(name, given) ||
	    strspn(given, "abcdefghijklmnopqrstuvwxyz0123456789"
			  "ABCDEFGHIJKLMNOPQRSTUVWXYZ._-") != strlen(given))
		return "operator";
	return given;
}

struct publish_options {
	struct arg_file *file;
	struct targets_options targets;
	struct arg_str *platform;
	struct arg_str *author;
	struct arg_int *timeout_s;
	struct arg_lit *restart;
	struct arg_lit *whole;
};

/*
 * Read the options, then publish.
 */
static int run(const struct publish_options *options)
{
	struct publication own = { .restart = options->restart->count > 0,
				   .whole = options->whole->count > 0 };
	const char *platform = option_string(options->platform, NULL);
	struct rj_error err;
	int code;

	own.mem = talloc_new(NULL);
	assert(own.mem);
	own.author = operator_name(option_string(options->author, NULL));
	clock_gettime(CLOCK_MONOTONIC, &own.deadline);
	own.deadline.tv_sec += options->timeout_s->count ?
				       options->timeout_s->ival[0] :
				       TIMEOUT_S;
	code = load_text(&own, option_file(options->file));
	if (code)
		goto out;
	code = EXIT_USAGE;
	if (targets_load(&own.targets, own.mem, &options->targets, &err)) {
		print_error("publish", &err);
		goto out;
	}
	if (platform && rj_address_parse(&own.targets.platform, platform))
		own.targets.platform.port = 0;
	if (!own.targets.platform.port) {
		fprintf(stderr, "radishjunction publish: platform: no address; "
				"give --platform IP:PORT or --answers FILE\n");
		goto out;
	}
	own.statuses = talloc_zero_array(own.mem, struct instance_status,
					 own.targets.count);
	assert(own.statuses);
	stream_init(&own.stream, own.mem, &own.targets.platform);
	code = publish(&own);
	stream_finish(&own.stream);
out:
	talloc_free(own.mem);
	return code;
}

/*
 * `radishjunction publish`: put a configuration in force, and say where it
 * is and where not yet.
 */
int command_publish(int argc, char **argv)
{
	struct publish_options own;
	struct options options;
	struct options_result result;

	own.file = arg_file1(NULL, NULL, "FILE", "configuration");
	targets_options(&own.targets);
	own.platform =
		arg_str0(NULL, "platform", "IP:PORT", "the platform's log");
	own.author = arg_str0(NULL, "author", "NAME",
			      "whose publication it is ($USER)");
	own.timeout_s = arg_int0(NULL, "timeout", "S",
				 "wait so long for it to be in force (60)");
	own.restart = arg_lit0(NULL, "restart",
			       "the log lost every configuration: start anew");
	own.whole = arg_lit0(NULL, "whole",
			     "not the change alone, though all could take it");
	options_init(&options);
	void *table[] = { own.file,
			  own.platform,
			  own.targets.instances,
			  own.targets.answers,
			  own.author,
			  own.timeout_s,
			  own.restart,
			  own.whole,
			  options.help,
			  options.version,
			  options.end };
	result = options_parse(&options, command_find("publish"), argc, argv,
			       table);
	if (result.proceed)
		result.exit_code = run(&own);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return result.exit_code;
}
