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

#define DEFAULT_TIMEOUT_S 60
#define POLL_INTERVAL_MS 300
#define ID_RANDOM_BYTES 8

struct publication {
	void *mem;
	struct targets targets;
	struct stream stream;
	struct instance_status *statuses;
	const char *text; /* the configuration, compact JSON */
	const char *author;
	char id[2 * ID_RANDOM_BYTES + 1];
	uint64_t base; /* revision that the publication replaces */
	bool restart;
	bool whole; /* the operator requested a whole publication */
	struct rj_config_change change; /* patch is NULL: publish it whole */
	struct timespec deadline;
};

static bool is_past(const struct timespec *deadline)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return now.tv_sec > deadline->tv_sec ||
	       (now.tv_sec == deadline->tv_sec &&
		now.tv_nsec >= deadline->tv_nsec);
}

/*
 * Sleeps for the poll interval, to limit the load on platform and instances.
 */
static void pause_between_polls(void)
{
	struct timespec pause = { 0, POLL_INTERVAL_MS * 1000000L };

	nanosleep(&pause, NULL);
}

/*
 * Sets the base revision: the one in force according to the log, or to the
 * instances if the log no longer has its beginning.
 *
 * Returns 0, or -1 with `err` set: the platform gave no answer, or the log has
 * a gap, no configuration is known and `restart` is not set.
 */
static int find_base(struct publication *publication, struct rj_error *err)
{
	if (stream_read_all(&publication->stream, err))
		return -1;
	publication->base = rj_config_log_revision(&publication->stream.log);
	if (!publication->stream.log.gap)
		return 0;
	instances_get_revision(&publication->targets, publication->statuses);
	for (uint32_t i = 0; i < publication->targets.count; i++)
		if (instance_revision(&publication->statuses[i]) >
		    publication->base)
			publication->base =
				instance_revision(&publication->statuses[i]);
	instances_release_status(publication->statuses,
				 publication->targets.count);
	if (publication->base || publication->restart)
		return 0;
	return rj_error_set(err, RJ_ERR_NOT_FOUND,
			    "config stream: its beginning is gone, and no "
			    "instance knows a configuration; if all instances "
			    "were named, publish with --restart");
}

/*
 * Whether every instance accepts publications that hold only the change.
 *
 * During a rolling replacement an instance of an older version skips a change,
 * and would then accept a whole publication of the same base that all others
 * have refused. Only the instances named to this command are asked, so the
 * operator has to name all of them.
 */
static bool all_accept_changes(struct publication *publication)
{
	bool all = publication->targets.count > 0;

	instances_get_revision(&publication->targets, publication->statuses);
	for (uint32_t i = 0; i < publication->targets.count; i++)
		all = all &&
		      instance_accepts_changes(&publication->statuses[i]);
	instances_release_status(publication->statuses,
				 publication->targets.count);
	return all;
}

/*
 * Creates the change from the base revision, if it may be published instead of
 * the whole configuration and is shorter.
 */
static void make_change(struct publication *publication)
{
	const struct rj_config_log *log = &publication->stream.log;

	if (publication->whole || publication->restart || log->gap ||
	    !log->config || log->config->revision != publication->base ||
	    !all_accept_changes(publication))
		return;
	if (rj_config_change_make(publication->mem, log->config->text,
				  publication->text, &publication->change))
		publication->change.patch = NULL;
	else
		printf("a change of %zu bytes to revision %" PRIu64 "\n",
		       strlen(publication->change.patch), publication->base);
}

/*
 * Appends the publication to the config stream. Returns the outcome as
 * `stream_append`; `err` is set unless it is HTTP_ANSWERED.
 */
static enum http_outcome append(struct publication *publication,
				struct rj_error *err)
{
	struct rj_record record;
	uint8_t random[ID_RANDOM_BYTES];

	randombytes_buf(random, sizeof(random));
	sodium_bin2hex(publication->id, sizeof(publication->id), random,
		       sizeof(random));
	memset(&record, 0, sizeof(record));
	record.kind = RJ_RECORD_CONFIG;
	memcpy(record.config_id, publication->id, sizeof(publication->id));
	rj_name_set(record.author, publication->author);
	record.base_revision = publication->base;
	record.revision = publication->base + 1;
	if (publication->change.patch)
		record.config_change = publication->change;
	else
		record.config_text = publication->text;
	/*
	 * After a gap no reader can check the publication against its base, so
	 * the record states the offset from which it holds.
	 */
	record.carried = publication->restart && publication->stream.log.gap;
	record.as_of = publication->stream.log.next;
	publication->stream.awaited_id = publication->id;
	return stream_append(&publication->stream, &record, err);
}

/*
 * Reads the log until the publication appears or the deadline has passed. This
 * also settles an append whose answer was lost. Prints the verdict and returns
 * an exit code.
 */
static int await_verdict(struct publication *publication)
{
	struct stream *stream = &publication->stream;
	struct rj_error err;

	while (!stream->found) {
		if (!stream_read_all(stream, &err) && stream->found)
			break;
		if (is_past(&publication->deadline)) {
			fprintf(stderr,
				"radishjunction publish: publication %s does "
				"not show in the log, and may yet: see "
				"`radishjunction status`, then publish again; "
				"if both show, the second is refused\n",
				publication->id);
			return EXIT_UNKNOWN;
		}
		pause_between_polls();
	}
	switch (stream->verdict) {
	case RJ_CONFIG_ACCEPTED:
	case RJ_CONFIG_REPEATED:
		printf("accepted as revision %" PRIu64 " (publication %s)\n",
		       publication->base + 1, publication->id);
		return EXIT_DONE;
	case RJ_CONFIG_UNDECIDED:
		printf("in the log as revision %" PRIu64 " (publication %s); "
		       "the instances judge it\n",
		       publication->base + 1, publication->id);
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
			publication->base);
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
 * Whether the publication, or a later revision, is in force at an instance.
 */
static bool in_force(const struct publication *publication,
		     const struct instance_status *status)
{
	const char *id =
		json_string_value(json_object_get(status->json, "publication"));

	if (instance_revision(status) > publication->base + 1)
		return true;
	return instance_revision(status) == publication->base + 1 && id &&
	       !strcmp(id, publication->id);
}

/*
 * Prints at how many instances the publication is in force, and which ones lack
 * it.
 */
static void print_progress(const struct publication *publication, uint32_t done)
{
	printf("in force at %u of %u", done, publication->targets.count);
	for (uint32_t i = 0; i < publication->targets.count; i++) {
		const struct instance_status *status =
			&publication->statuses[i];
		char address[RJ_ADDRESS_BYTES];

		if (in_force(publication, status))
			continue;
		rj_address_format(address, &publication->targets.instances[i]);
		if (status->json)
			printf("; not yet at %s (revision %" PRIu64 ")",
			       address, instance_revision(status));
		else
			printf("; no answer of %s", address);
	}
	printf("\n");
	fflush(stdout);
}

/*
 * Prints the remedy for a publication that is not in force everywhere by the
 * deadline. One that no reader can check never comes into force: all instances
 * missed records of the log, so none can republish the configuration for the
 * others.
 */
static void print_not_in_force(const struct publication *publication,
			       uint32_t done)
{
	if (!done && publication->stream.verdict == RJ_CONFIG_UNDECIDED)
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
 * Waits until the publication is in force at every instance, and prints each
 * change in their number. Returns an exit code.
 */
static int await_in_force(struct publication *publication)
{
	uint32_t reported = UINT32_MAX;

	for (;;) {
		uint32_t done = 0;

		instances_get_revision(&publication->targets,
				       publication->statuses);
		for (uint32_t i = 0; i < publication->targets.count; i++)
			done += in_force(publication,
					 &publication->statuses[i]);
		if (done != reported || is_past(&publication->deadline))
			print_progress(publication, done);
		reported = done;
		instances_release_status(publication->statuses,
					 publication->targets.count);
		if (done == publication->targets.count)
			return EXIT_DONE;
		if (is_past(&publication->deadline)) {
			print_not_in_force(publication, done);
			return EXIT_PENDING;
		}
		pause_between_polls();
	}
}

/*
 * Appends the publication, awaits the verdict, and waits until it is in force
 * everywhere. Returns an exit code.
 */
static int publish(struct publication *publication)
{
	enum http_outcome outcome;
	struct rj_error err;
	int code;

	if (find_base(publication, &err))
		return print_error("publish", &err);
	make_change(publication);
	outcome = append(publication, &err);
	if (outcome == HTTP_UNREACHABLE)
		return print_error("publish", &err);
	if (outcome == HTTP_LOST)
		printf("the append's answer was lost (%s); reading the log "
		       "for publication %s\n",
		       err.message, publication->id);
	code = await_verdict(publication);
	return code ? code : await_in_force(publication);
}

/*
 * Reads and checks the configuration before any request is sent. Returns an
 * exit code.
 */
static int load_text(struct publication *publication, const char *path)
{
	struct rj_error_list errors;
	struct rj_error err;
	char *text = file_read(publication->mem, path, &err);

	if (!text)
		return print_error("publish", &err);
	rj_error_list_init(&errors, publication->mem);
	text = config_compact(publication->mem, text);
	if (!rj_config_parse(publication->mem, text, &errors)) {
		print_errors(path, &errors);
		return EXIT_REFUSED;
	}
	publication->text = text;
	return EXIT_DONE;
}

/*
 * Returns the author's name, which an operator sees whose concurrent
 * publication is refused.
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
 * Reads the options and publishes. Returns an exit code.
 */
static int run_publish(const struct publish_options *options)
{
	struct publication publication = { .restart =
						   options->restart->count > 0,
					   .whole = options->whole->count > 0 };
	const char *platform = option_string(options->platform, NULL);
	struct rj_error err;
	int code;

	publication.mem = talloc_new(NULL);
	assert(publication.mem);
	publication.author =
		operator_name(option_string(options->author, NULL));
	clock_gettime(CLOCK_MONOTONIC, &publication.deadline);
	publication.deadline.tv_sec += options->timeout_s->count ?
					       options->timeout_s->ival[0] :
					       DEFAULT_TIMEOUT_S;
	code = load_text(&publication, option_file(options->file));
	if (code)
		goto out;
	code = EXIT_USAGE;
	if (targets_load(&publication.targets, publication.mem,
			 &options->targets, &err)) {
		print_error("publish", &err);
		goto out;
	}
	if (platform &&
	    rj_address_parse(&publication.targets.platform, platform))
		publication.targets.platform.port = 0;
	if (!publication.targets.platform.port) {
		fprintf(stderr, "radishjunction publish: platform: no address; "
				"give --platform IP:PORT or --answers FILE\n");
		goto out;
	}
	publication.statuses =
		talloc_zero_array(publication.mem, struct instance_status,
				  publication.targets.count);
	assert(publication.statuses);
	stream_init(&publication.stream, publication.mem,
		    &publication.targets.platform);
	code = publish(&publication);
	stream_finish(&publication.stream);
out:
	talloc_free(publication.mem);
	return code;
}

/*
 * `radishjunction publish`: puts a configuration in force and prints at which
 * instances it is.
 */
int command_publish(int argc, char **argv)
{
	struct publish_options publish_opts;
	struct options options;
	struct options_result result;

	publish_opts.file = arg_file1(NULL, NULL, "FILE", "configuration");
	targets_options(&publish_opts.targets);
	publish_opts.platform =
		arg_str0(NULL, "platform", "IP:PORT", "the platform's log");
	publish_opts.author = arg_str0(NULL, "author", "NAME",
				       "author of the publication ($USER)");
	publish_opts.timeout_s =
		arg_int0(NULL, "timeout", "S",
			 "seconds to wait for it to be in force (60)");
	publish_opts.restart =
		arg_lit0(NULL, "restart",
			 "restart after the log lost every configuration");
	publish_opts.whole = arg_lit0(
		NULL, "whole", "publish the whole configuration, not a change");
	options_init(&options);
	void *table[] = { publish_opts.file,
			  publish_opts.platform,
			  publish_opts.targets.instances,
			  publish_opts.targets.answers,
			  publish_opts.author,
			  publish_opts.timeout_s,
			  publish_opts.restart,
			  publish_opts.whole,
			  options.help,
			  options.version,
			  options.end };
	result = options_parse(&options, command_find("publish"), argc, argv,
			       table);
	if (result.proceed)
		result.exit_code = run_publish(&publish_opts);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return result.exit_code;
}
