#include <assert.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "answers.h"
#include "command.h"

/*
 * The sorts of text, and the fields by which each is told from the others,
 * also where one of them is what is missing.
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
 * What the text is, by the fields it has; a configuration if unsure.
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
 * Check `text` and add its errors, or else its notes. Returns whether it is
 * good.
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
	rj_config_notes(config, errors);
	return true;
}

/*
 * Check one file, as `sort` or as what its fields tell, and say what it is.
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
 * `radishjunction check`: every error of a text at once.
 */
int command_check(int argc, char **argv)
{
	struct arg_file *file = arg_file1(NULL, NULL, "FILE",
					  "configuration, settings or answers");
	struct arg_str *type_option =
		arg_str0(NULL, "as", "SORT",
			 "config, settings or answers; told by "
			 "its fields if left out");
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
