#include <assert.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "answers.h"
#include "command.h"

/*
 * The document types and the fields that identify each. Several fields are
 * listed for a type, so that it is recognised even if one of them is missing.
 */
static const struct {
	const char *name;
	const char *field;
} document_types[] = {
	{ "settings", "peer_key" },	  { "settings", "peer_address" },
	{ "settings", "caller_address" }, { "answers", "job_kinds" },
	{ "answers", "instances" },	  { "config", "classes" },
};

#define DOCUMENT_TYPE_COUNT (sizeof(document_types) / sizeof(document_types[0]))

/*
 * Returns the document type of the text by the fields it has, "config" if none
 * matches.
 */
static const char *detect_type(const char *text)
{
	json_t *json = json_loads(text, 0, NULL);
	const char *found = "config";

	for (uint32_t i = 0; i < DOCUMENT_TYPE_COUNT; i++) {
		if (json_object_get(json, document_types[i].field)) {
			found = document_types[i].name;
			break;
		}
	}
	json_decref(json);
	return found;
}

/*
 * Checks `text` as a document of this type. Returns whether it is valid; adds
 * its errors, or its notes if it has none.
 */
static bool check_text(void *mem, const char *type, const char *text,
		       struct rj_error_list *errors)
{
	struct rj_config *config;
	struct answers answers;

	if (!strcmp(type, "settings"))
		return rj_settings_parse(mem, text, errors) != NULL;
	if (!strcmp(type, "answers")) {
		if (answers_parse(&answers, mem, text, errors))
			return false;
		answers_check(&answers, errors);
		for (uint32_t i = 0; i < errors->count; i++)
			if (errors->errors[i].kind != RJ_ERR_NONE)
				return false;
		return true;
	}
	config = rj_config_parse(mem, config_compact(mem, text), errors);
	if (!config)
		return false;
	rj_config_warnings(config, errors);
	return true;
}

/*
 * Checks one file as a document of `type`, or of the type detected from its
 * fields if that is NULL, and prints the result. Returns an exit code.
 */
static int check(const char *path, const char *type)
{
	void *mem = talloc_new(NULL);
	struct rj_error_list errors;
	struct rj_error err;
	int code = EXIT_REFUSED;
	char *text;

	assert(mem);
	rj_error_list_init(&errors, mem);
	text = file_read(mem, path, &err);
	if (!text) {
		code = print_error("check", &err);
	} else {
		if (!type)
			type = detect_type(text);
		if (check_text(mem, type, text, &errors))
			code = EXIT_DONE;
		print_errors(path, &errors);
		printf("%s: %s %s\n", path, code ? "bad" : "good", type);
	}
	talloc_free(mem);
	return code;
}

/*
 * `radishjunction check`: reports every error of a document at once.
 */
int command_check(int argc, char **argv)
{
	struct arg_file *file = arg_file1(NULL, NULL, "FILE",
					  "configuration, settings or answers");
	struct arg_str *type_option =
		arg_str0(NULL, "as", "SORT",
			 "config, settings or answers; detected "
			 "from its fields if left out");
	struct options options;
	struct options_result result;
	const char *type;

	options_init(&options);
	void *table[] = { file, type_option, options.help, options.version,
			  options.end };
	result = options_parse(&options, command_find("check"), argc, argv,
			       table);
	type = option_string(type_option, NULL);
	for (uint32_t i = 0; result.proceed && type; i++) {
		if (i == DOCUMENT_TYPE_COUNT) {
			fprintf(stderr,
				"radishjunction check: --as %s: not known; "
				"use config, settings or answers\n",
				type);
			result.proceed = false;
			result.exit_code = EXIT_USAGE;
		} else if (!strcmp(document_types[i].name, type)) {
			break;
		}
	}
	if (result.proceed)
		result.exit_code = check(option_file(file), type);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return result.exit_code;
}
