#include "radishjunction/config_change.h"

#include <assert.h>
#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "private/schema.h"

/* Where one operation of a patch takes effect. */
struct target {
	json_t *parent; /* borrowed */
	char *key; /* the last token of the path, unescaped */
	size_t index; /* of `key`, when the parent is an array */
};

/*
 * The canonical text of parsed JSON, a talloc child of `mem`.
 */
static char *canonical_text(void *mem, const json_t *json)
{
	char *dumped = json_dumps(json, JSON_COMPACT | JSON_SORT_KEYS);
	char *text;

	assert(dumped);
	text = talloc_strdup(mem, dumped);
	assert(text);
	free(dumped);
	return text;
}

/*
 * The canonical form of a configuration's text, a talloc child of `mem`, or
 * NULL when it is not JSON.
 */
char *rj_config_canonical(void *mem, const char *text)
{
	json_t *json = json_loads(text, JSON_REJECT_DUPLICATES, NULL);
	char *result = json ? canonical_text(mem, json) : NULL;

	json_decref(json);
	return result;
}

/*
 * The digest by which a change names its result.
 */
static void digest_text(uint8_t digest[RJ_DIGEST_BYTES], const char *text)
{
	struct rj_bytes bytes = { (const uint8_t *)text,
				  (uint32_t)strlen(text) };

	rj_digest(digest, &bytes, 1);
}

/*
 * Append one token to a path, escaped as RFC 6901 has it.
 */
static void append_token(GString *path, const char *token)
{
	g_string_append_c(path, '/');
	for (; *token; token++) {
		if (*token == '~')
			g_string_append(path, "~0");
		else if (*token == '/')
			g_string_append(path, "~1");
		else
			g_string_append_c(path, *token);
	}
}

/*
 * Append the number of an element to a path.
 */
static void append_index(GString *path, size_t index)
{
	g_string_append_printf(path, "/%zu", index);
}

/*
 * Add one operation to a patch; `value` is NULL for a removal.
 */
static void add_operation(json_t *patch, const char *name, const GString *path,
			  json_t *value)
{
	json_t *operation =
		json_pack("{s:s,s:s}", "op", name, "path", path->str);

	if (value)
		json_object_set(operation, "value", value);
	json_array_append_new(patch, operation);
}

static void add_difference(json_t *patch, GString *path, json_t *from,
			   json_t *to);

/*
 * Add what turns the fields of `from` into those of `to`.
 */
static void add_object_difference(json_t *patch, GString *path, json_t *from,
				  json_t *to)
{
	size_t length = path->len;
	const char *key;
	json_t *value;

	json_object_foreach(from, key, value)
	{
		if (json_object_get(to, key))
			continue;
		append_token(path, key);
		add_operation(patch, "remove", path, NULL);
		g_string_truncate(path, length);
	}
	json_object_foreach(to, key, value)
	{
		json_t *old = json_object_get(from, key);

		append_token(path, key);
		if (old)
			add_difference(patch, path, old, value);
		else
			add_operation(patch, "add", path, value);
		g_string_truncate(path, length);
	}
}

/*
 * Add what turns the elements of `from` into those of `to`: what is equal at
 * both ends stays, and what lies between is changed in place, as far as both
 * have elements there, then removed or added.
 */
static void add_array_difference(json_t *patch, GString *path, json_t *from,
				 json_t *to)
{
	size_t from_end = json_array_size(from);
	size_t to_end = json_array_size(to);
	size_t length = path->len;
	size_t at = 0;

	while (at < from_end && at < to_end &&
	       json_equal(json_array_get(from, at), json_array_get(to, at)))
		at++;
	while (from_end > at && to_end > at &&
	       json_equal(json_array_get(from, from_end - 1),
			  json_array_get(to, to_end - 1))) {
		from_end--;
		to_end--;
	}
	for (; at < from_end && at < to_end; at++) {
		append_index(path, at);
		add_difference(patch, path, json_array_get(from, at),
			       json_array_get(to, at));
		g_string_truncate(path, length);
	}
	for (; from_end > at; from_end--) {
		append_index(path, from_end - 1);
		add_operation(patch, "remove", path, NULL);
		g_string_truncate(path, length);
	}
	for (; at < to_end; at++) {
		append_index(path, at);
		add_operation(patch, "add", path, json_array_get(to, at));
		g_string_truncate(path, length);
	}
}

/*
 * Add what turns `from` into `to`, both at `path`.
 */
static void add_difference(json_t *patch, GString *path, json_t *from,
			   json_t *to)
{
	if (json_equal(from, to))
		return;
	if (json_is_object(from) && json_is_object(to))
		add_object_difference(patch, path, from, to);
	else if (json_is_array(from) && json_is_array(to))
		add_array_difference(patch, path, from, to);
	else
		add_operation(patch, "replace", path, to);
}

/*
 * Make the change that turns the configuration `base` into `text`. Its patch
 * is a talloc child of `mem`.
 *
 * Returns 0, or -1 when the configuration has to go whole: one of the texts
 * is no JSON object, or the change would be no shorter than the result.
 */
int rj_config_change_make(void *mem, const char *base, const char *text,
			  struct rj_config_change *change)
{
	json_t *from = json_loads(base, JSON_REJECT_DUPLICATES, NULL);
	json_t *to = json_loads(text, JSON_REJECT_DUPLICATES, NULL);
	GString *path = g_string_new(NULL);
	json_t *patch = json_array();
	char *whole = NULL;
	int result = -1;

	memset(change, 0, sizeof(*change));
	if (!json_is_object(from) || !json_is_object(to))
		goto out;
	add_difference(patch, path, from, to);
	change->patch = canonical_text(mem, patch);
	whole = canonical_text(mem, to);
	digest_text(change->digest, whole);
	if (strlen(change->patch) <= RJ_CONFIG_CHANGE_MAX_BYTES &&
	    strlen(change->patch) < strlen(whole))
		result = 0;
out:
	talloc_free(whole);
	json_decref(patch);
	json_decref(from);
	json_decref(to);
	g_string_free(path, TRUE);
	return result;
}

/*
 * Undo the escapes of one token of a path, in place.
 */
static void unescape(char *token)
{
	char *out = token;

	for (; *token; token++) {
		*out = *token;
		if (*token == '~' && (token[1] == '0' || token[1] == '1'))
			*out = *++token == '0' ? '~' : '/';
		out++;
	}
	*out = 0;
}

/*
 * The number of an array's element, which may be one past its last.
 */
static bool parse_index(const json_t *array, const char *token, size_t *index)
{
	size_t digits = strspn(token, "0123456789");

	if (!digits || token[digits] || (token[0] == '0' && digits > 1))
		return false;
	*index = (size_t)strtoul(token, NULL, 10);
	return *index <= json_array_size(array);
}

/*
 * The value that one token of a path leads to, or NULL.
 */
static json_t *child_of(json_t *from, const char *token)
{
	size_t index;

	if (json_is_object(from))
		return json_object_get(from, token);
	if (json_is_array(from) && parse_index(from, token, &index))
		return json_array_get(from, index);
	return NULL;
}

/*
 * Walk a path down to its last token. Returns whether it leads somewhere; the
 * key is a talloc child of `mem`.
 *
 * The path "/" names a field without a name, which no configuration has.
 * Guards against a patch with it, which would crash every reader of the log,
 * since the library splits an empty text into no tokens at all.
 */
static bool find_target(void *mem, json_t *document, const char *path,
			struct target *target)
{
	char **tokens;
	guint count;
	bool found = false;

	if (path[0] != '/' || !path[1])
		return false;
	tokens = g_strsplit(path + 1, "/", 0);
	count = g_strv_length(tokens);
	target->parent = document;
	for (guint i = 0; target->parent && i + 1 < count; i++) {
		unescape(tokens[i]);
		target->parent = child_of(target->parent, tokens[i]);
	}
	if (!target->parent)
		goto out;
	unescape(tokens[count - 1]);
	target->key = talloc_strdup(mem, tokens[count - 1]);
	assert(target->key);
	found = json_is_object(target->parent) ||
		(json_is_array(target->parent) &&
		 parse_index(target->parent, target->key, &target->index));
out:
	g_strfreev(tokens);
	return found;
}

/*
 * Add, remove or replace a field of an object; false if it cannot be.
 */
static bool apply_to_object(const struct target *target, const char *name,
			    json_t *value)
{
	if (!strcmp(name, "remove"))
		return !json_object_del(target->parent, target->key);
	if (!strcmp(name, "replace") &&
	    !json_object_get(target->parent, target->key))
		return false;
	return !json_object_set(target->parent, target->key, value);
}

/*
 * Add, remove or replace an element of an array; false if it cannot be.
 */
static bool apply_to_array(const struct target *target, const char *name,
			   json_t *value)
{
	if (!strcmp(name, "remove"))
		return !json_array_remove(target->parent, target->index);
	if (!strcmp(name, "replace"))
		return !json_array_set(target->parent, target->index, value);
	return !json_array_insert(target->parent, target->index, value);
}

/*
 * Carry out one operation of a patch; false if it cannot be. Fields of an
 * operation that RFC 6902 does not name are passed over, as it asks for.
 */
static bool apply_operation(void *mem, json_t *document,
			    const json_t *operation)
{
	const char *name = json_string_value(json_object_get(operation, "op"));
	const char *path =
		json_string_value(json_object_get(operation, "path"));
	json_t *value = json_object_get(operation, "value");
	struct target target;

	if (!name || !path || !find_target(mem, document, path, &target))
		return false;
	if (strcmp(name, "remove") != 0 && strcmp(name, "add") != 0 &&
	    strcmp(name, "replace") != 0)
		return false;
	if (strcmp(name, "remove") != 0 && !value)
		return false;
	return json_is_object(target.parent) ?
		       apply_to_object(&target, name, value) :
		       apply_to_array(&target, name, value);
}

/*
 * Carry out a whole patch on `document`. Returns the number of the first
 * operation that cannot be, or -1 when all were.
 */
static int apply_patch(json_t *document, const json_t *patch)
{
	void *mem = talloc_new(NULL);
	json_t *operation;
	int failed = -1;
	size_t i;

	json_array_foreach(patch, i, operation)
	{
		if (apply_operation(mem, document, operation))
			continue;
		failed = (int)i;
		break;
	}
	talloc_free(mem);
	return failed;
}

/*
 * Whether the result is the one that the change was made for.
 *
 * Guards against a change that meets another base than its author had (the
 * log was started anew, or a peer offers it): it would result in a
 * configuration that nobody wrote, and readers would hold different ones
 * under one revision. The digest is of the whole result, so that any
 * difference in the base shows.
 */
static bool is_intended(const char *result,
			const struct rj_config_change *change)
{
	uint8_t digest[RJ_DIGEST_BYTES];

	digest_text(digest, result);
	return !memcmp(digest, change->digest, RJ_DIGEST_BYTES);
}

/*
 * The configuration that `change` makes of `base`: canonical text, a talloc
 * child of `mem`. Whether it is a valid configuration is not checked here.
 *
 * Returns NULL with the error added to `errors` when the patch is malformed
 * or does not fit the base, or when the result has another digest. Every
 * reader with this base decides alike.
 */
char *rj_config_change_apply(void *mem, const char *base,
			     const struct rj_config_change *change,
			     struct rj_error_list *errors)
{
	json_t *document = rj_schema_load(base, errors);
	json_t *patch = rj_schema_load(change->patch, errors);
	char *result = NULL;
	int failed;

	if (!document || !patch)
		goto out;
	if (!json_is_array(patch) ||
	    strlen(change->patch) > RJ_CONFIG_CHANGE_MAX_BYTES) {
		rj_error_list_add(errors, RJ_ERR_INVALID,
				  "change: not a list of operations of at "
				  "most %d bytes; publish the configuration "
				  "whole",
				  RJ_CONFIG_CHANGE_MAX_BYTES);
		goto out;
	}
	failed = apply_patch(document, patch);
	if (failed >= 0) {
		rj_error_list_add(errors, RJ_ERR_INVALID,
				  "change[%d]: does not fit the configuration "
				  "that it names as its base; publish again",
				  failed);
		goto out;
	}
	result = canonical_text(mem, document);
	if (!is_intended(result, change)) {
		rj_error_list_add(errors, RJ_ERR_INVALID,
				  "change: its result has another digest than "
				  "its author had; publish again");
		TALLOC_FREE(result);
	}
out:
	json_decref(document);
	json_decref(patch);
	return result;
}
