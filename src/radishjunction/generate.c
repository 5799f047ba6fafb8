#include <assert.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <talloc.h>
#include <unistd.h>

#include "answers.h"
#include "command.h"

#define PEER_KEY_RANDOM_BYTES 32

struct generate_options {
	const char *answers;
	const char *output;
	const char *earlier; /* NULL if not given */
	const char *renew_account; /* NULL if not given */
	const char *tokens; /* NULL: standard error */
	const char *settings_for; /* NULL: generate a configuration */
	const char *peer_key_file;
};

/*
 * Writes the new tokens to the file `path`, or prints them if it is NULL. This
 * is their only output, as the configuration holds only hashes. Returns 0, or
 * -1 with `err` set.
 */
static int print_tokens(void *mem, const char *path,
			const struct new_token *tokens, uint32_t count,
			struct rj_error *err)
{
	json_t *json;

	if (path) {
		json = json_object();
		for (uint32_t i = 0; i < count; i++)
			json_object_set_new(json, tokens[i].account,
					    json_string(tokens[i].token));
		return file_write(path, json_text(mem, json), true, err);
	}
	for (uint32_t i = 0; i < count; i++)
		fprintf(stderr, "token of %s (shown only once): %s\n",
			tokens[i].account, tokens[i].token);
	return 0;
}

/*
 * Loads the earlier configuration, whose accounts keep their tokens. Returns 0
 * with a NULL `*config` if `path` is NULL, or -1 with the errors printed.
 */
static int load_earlier(void *mem, const char *path, struct rj_config **config)
{
	struct rj_error_list errors;
	struct rj_error err;
	char *text;

	*config = NULL;
	if (!path)
		return 0;
	text = file_read(mem, path, &err);
	if (!text) {
		print_error("generate", &err);
		return -1;
	}
	rj_error_list_init(&errors, mem);
	*config = rj_config_parse(mem, config_compact(mem, text), &errors);
	print_errors(path, &errors);
	return *config ? 0 : -1;
}

/*
 * Generates the configuration. Writes nothing unless it is valid. Returns an
 * exit code.
 */
static int generate_config(void *mem, struct answers *answers,
			   const struct generate_options *options)
{
	struct rj_error_list errors;
	struct new_token *tokens;
	struct rj_config *earlier;
	struct rj_config *config;
	struct rj_error err;
	uint32_t count;
	char *text;

	if (load_earlier(mem, options->earlier, &earlier))
		return EXIT_REFUSED;
	text = answers_make_config(mem, answers, earlier,
				   options->renew_account, &tokens, &count);
	rj_error_list_init(&errors, mem);
	config = rj_config_parse(mem, config_compact(mem, text), &errors);
	if (!config) {
		print_errors(options->answers, &errors);
		return EXIT_REFUSED;
	}
	rj_config_warnings(config, &errors);
	print_errors(options->answers, &errors);
	if (print_tokens(mem, options->tokens, tokens, count, &err) ||
	    file_write(options->output, text, false, &err))
		return print_error("generate", &err);
	return EXIT_DONE;
}

/*
 * Reads the shared key of the peers from a file, which is created with a random
 * key if it does not exist. Returns a talloc child of `mem`, or NULL with `err`
 * set.
 */
static char *peer_key(void *mem, const char *path, struct rj_error *err)
{
	char key[2 * PEER_KEY_RANDOM_BYTES + 1];
	uint8_t random[PEER_KEY_RANDOM_BYTES];
	char *text;

	if (access(path, F_OK)) {
		randombytes_buf(random, sizeof(random));
		sodium_bin2hex(key, sizeof(key), random, sizeof(random));
		if (file_write(path, key, true, err))
			return NULL;
	}
	text = file_read(mem, path, err);
	if (!text)
		return NULL;
	text[strcspn(text, " \t\r\n")] = 0;
	if (strlen(text) < RJ_TOKEN_BYTES)
		return text;
	rj_error_set(err, RJ_ERR_INVALID,
		     "%s: %zu characters, more than %d; give a shorter key",
		     path, strlen(text), RJ_TOKEN_BYTES - 1);
	return NULL;
}

/*
 * Generates the settings of one instance. Returns an exit code.
 */
static int generate_settings(void *mem, struct answers *answers,
			     const struct generate_options *options)
{
	struct rj_error_list errors;
	struct rj_error err;
	char *text = NULL;
	char *key = peer_key(mem, options->peer_key_file, &err);

	if (key)
		text = answers_make_settings(mem, answers,
					     options->settings_for, key, &err);
	if (!text)
		return print_error("generate", &err);
	rj_error_list_init(&errors, mem);
	if (!rj_settings_parse(mem, text, &errors)) {
		print_errors(options->settings_for, &errors);
		return EXIT_REFUSED;
	}
	if (file_write(options->output, text, true, &err))
		return print_error("generate", &err);
	return EXIT_DONE;
}

/*
 * Reads the answers and generates the configuration or the settings. Returns an
 * exit code.
 */
static int generate(const struct generate_options *options)
{
	void *mem = talloc_new(NULL);
	struct rj_error_list errors;
	struct answers answers;
	struct rj_error err;
	int code = EXIT_REFUSED;
	char *text;

	assert(mem);
	rj_error_list_init(&errors, mem);
	text = file_read(mem, options->answers, &err);
	if (!text)
		code = print_error("generate", &err);
	else if (answers_parse(&answers, mem, text, &errors))
		print_errors(options->answers, &errors);
	else if (options->settings_for)
		code = generate_settings(mem, &answers, options);
	else
		code = generate_config(mem, &answers, options);
	talloc_free(mem);
	return code;
}

/*
 * `radishjunction generate`: generates a configuration, or the settings of a
 * daemon.
 */
int command_generate(int argc, char **argv)
{
	struct arg_file *answers =
		arg_file1(NULL, NULL, "ANSWERS", "what `ask` wrote");
	struct arg_file *output = arg_file0("o", "output", "FILE",
					    "where to write (standard output)");
	struct arg_file *earlier =
		arg_file0(NULL, "earlier", "FILE",
			  "earlier configuration, whose tokens stay valid");
	struct arg_str *renew_account = arg_str0(
		NULL, "new-token", "ACCOUNT", "make this account a new token");
	struct arg_file *tokens =
		arg_file0(NULL, "tokens", "FILE",
			  "where to write new tokens (standard error)");
	struct arg_str *name = arg_str0(NULL, "settings-for", "NAME",
					"make the settings of this instance");
	struct arg_file *key = arg_file0(NULL, "peer-key-file", "FILE",
					 "the instances' shared key; created "
					 "if it does not exist (peer.key)");
	struct options options;
	struct options_result result;

	options_init(&options);
	void *table[] = { answers,	   output,     earlier, renew_account,
			  tokens,	   name,       key,	options.help,
			  options.version, options.end };
	result = options_parse(&options, command_find("generate"), argc, argv,
			       table);
	if (result.proceed) {
		struct generate_options chosen = {
			.answers = option_file(answers),
			.output = output->count ? option_file(output) : "-",
			.earlier = option_file(earlier),
			.renew_account = option_string(renew_account, NULL),
			.tokens = option_file(tokens),
			.settings_for = option_string(name, NULL),
			.peer_key_file =
				key->count ? option_file(key) : "peer.key",
		};

		result.exit_code = generate(&chosen);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return result.exit_code;
}
