#include "targets.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "answers.h"
#include "command.h"

/*
 * Creates the options; the subcommand adds both to its argtable.
 */
void targets_options(struct targets_options *options)
{
	options->instances =
		arg_str0("i", "instances", "IP:PORT,...",
			 "entry instances ($" INSTANCES_VARIABLE ")");
	options->answers = arg_file0(NULL, "answers", "FILE",
				     "take the addresses from these answers");
	assert(options->instances && options->answers);
}

static void add_instance(struct targets *targets, void *mem,
			 const struct rj_address *address)
{
	targets->instances = talloc_realloc(
		mem, targets->instances, struct rj_address, targets->count + 1);
	assert(targets->instances);
	targets->instances[targets->count++] = *address;
}

/*
 * Adds the addresses of a comma-separated list. Returns 0, or -1 with `err`
 * set.
 */
static int parse_list(struct targets *targets, void *mem, const char *list,
		      struct rj_error *err)
{
	char *copy = talloc_strdup(mem, list);
	char *rest = copy;
	char *item;

	assert(copy);
	while ((item = strsep(&rest, ",")) != NULL) {
		struct rj_address address;

		if (!item[0])
			continue;
		if (rj_address_parse(&address, item) || !address.port)
			return rj_error_set(
				err, RJ_ERR_INVALID,
				"instances: \"%s\" is not an address; give an IP "
				"address and a port, such as 127.0.0.1:7001",
				item);
		add_instance(targets, mem, &address);
	}
	return 0;
}

/*
 * Reads the addresses of the platform and of every instance from an answers
 * file. Returns 0, or -1 with `err` set.
 */
static int load_answers(struct targets *targets, void *mem, const char *path,
			struct rj_error *err)
{
	struct rj_error_list errors;
	struct answers answers;
	char *text = file_read(mem, path, err);

	if (!text)
		return -1;
	rj_error_list_init(&errors, mem);
	if (answers_parse(&answers, mem, text, &errors)) {
		*err = errors.errors[0];
		return -1;
	}
	targets->platform = answers.platform_address;
	for (uint32_t i = 0; i < answers.instance_count; i++)
		add_instance(targets, mem,
			     &answers.instances[i].caller_address);
	return 0;
}

/*
 * Reads the addresses from the option, else from the answers, else from the
 * environment. Returns 0, or -1 with `err` set if an address is invalid or
 * there is no instance.
 */
int targets_load(struct targets *targets, void *mem,
		 const struct targets_options *options, struct rj_error *err)
{
	const char *list = option_string(options->instances, NULL);
	const char *path = option_file(options->answers);
	int result = 0;

	memset(targets, 0, sizeof(*targets));
	if (path)
		result = load_answers(targets, mem, path, err);
	if (!list && !path)
		list = getenv(INSTANCES_VARIABLE);
	if (!result && list) {
		targets->count = 0;
		result = parse_list(targets, mem, list, err);
	}
	if (!result && !targets->count)
		result = rj_error_set(err, RJ_ERR_INVALID,
				      "instances: none named; give --instances "
				      "IP:PORT or --answers FILE");
	return result;
}
