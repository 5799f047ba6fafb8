#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "command.h"
#include "http.h"
#include "instance_status.h"
#include "status_display.h"
#include "radishjunction/settings.h"

/*
 * Prints all answers as one JSON object by address; null for no answer.
 */
static void print_json(const struct targets *targets,
		       const struct instance_status *statuses)
{
	json_t *object = json_object();

	for (uint32_t i = 0; i < targets->count; i++) {
		char address[RJ_ADDRESS_BYTES];

		rj_address_format(address, &targets->instances[i]);
		json_object_set_new(object, address,
				    statuses[i].json ?
					    json_incref(statuses[i].json) :
					    json_null());
	}
	json_dumpf(object, stdout, JSON_INDENT(2));
	printf("\n");
	json_decref(object);
}

/*
 * Requests the status of all instances and prints it. Instances without an
 * answer are listed as such. Returns an exit code, EXIT_UNREACHABLE only if no
 * instance answered.
 */
static int show_status(const struct targets_options *options, bool json)
{
	void *mem = talloc_new(NULL);
	struct instance_status *statuses;
	struct targets targets;
	struct rj_error err;
	uint32_t answered = 0;
	int code = EXIT_USAGE;

	assert(mem);
	if (targets_load(&targets, mem, options, &err)) {
		print_error("status", &err);
		goto out;
	}
	statuses =
		talloc_zero_array(mem, struct instance_status, targets.count);
	assert(statuses);
	instances_get_status(&targets, statuses);
	for (uint32_t i = 0; i < targets.count; i++)
		answered += statuses[i].json != NULL;
	if (json)
		print_json(&targets, statuses);
	else
		status_print(stdout, &targets, statuses);
	instances_release_status(statuses, targets.count);
	code = answered ? EXIT_DONE : EXIT_UNREACHABLE;
out:
	talloc_free(mem);
	return code;
}

/*
 * `radishjunction status`: prints instances, racks, guarantees and queues.
 */
int command_status(int argc, char **argv)
{
	struct targets_options targets;
	struct arg_lit *json = arg_lit0(NULL, "json", "as JSON");
	struct options options;
	struct options_result result;

	targets_options(&targets);
	options_init(&options);
	void *table[] = { targets.instances, targets.answers, json,
			  options.help,	     options.version, options.end };
	result = options_parse(&options, command_find("status"), argc, argv,
			       table);
	if (result.proceed)
		result.exit_code = show_status(&targets, json->count > 0);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return result.exit_code;
}
