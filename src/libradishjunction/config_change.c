#include "radishjunction/config_change.h"

#include <assert.h>
#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "private/schema.h"

/* The location that one operation of a patch modifies. */
struct target {
	json_t *parent; /* borrowed */
	char *key; /* last token of the path, unescaped */
	size_t index; /* `key` as a number if the parent is an array */
};

/*
 * Format parsed JSON as canonical text, a talloc child of `mem`.
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
 * The canonical form of a configuration text, a talloc child of `mem`, or NULL
 * if the text is not valid JSON.
 */
char *rj_config_canonical(void *mem, const char *text)
{
	json_t *json = json_loads(text, JSON_REJECT_DUPLICATES, NULL);
	char *result = json ? canonical_text(mem, json) : NULL;

	json_decref(json);
	return result;
}

/*
 * Compute the digest by which a change identifies its result.
 */
static void digest_text(uint8_t digest[RJ_DIGEST_BYTES], const char *text)
{
	struct rj_bytes bytes = { (const uint8_t *)text,
				  (uint32_t)strlen(text) };

	rj_digest(digest, &bytes, 1);
}

/*
 * Append one reference token to a JSON pointer, escaped as RFC 6901 requires.
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
 * Append an array index to a JSON pointer.
 */
static void append_index(GString *path, size_t index)
{
	g_string_append_printf(path, "/%zu", index);
}

/*
 * Append one operation to a patch; `value` is NULL for "remove".
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
 * Append the operations that turn object `from` into object `to`.
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
 * Append the operations that turn array `from` into array `to`. The common
 * prefix and suffix are kept; between them, elements are changed in place
 * while both arrays have some, and the rest is removed or added.
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
 * Append the operations that turn `from` into `to`, both at `path`.
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
 * Compute the change that turns the configuration `base` into `text`. Its
 * patch is a talloc child of `mem`.
 *
 * Returns 0, or -1 when the configuration must be published whole: one of the
 * texts is not a JSON object, or the patch is no shorter than the result or
 * longer than RJ_CONFIG_CHANGE_MAX_BYTES.
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
 * Unescape one token of a JSON pointer in place.
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
 * Parse an array index. It may be one past the last element, as "add" allows.
 * Returns whether it is valid.
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
 * The child of `from` that one token refers to, or NULL.
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
 * Resolve a JSON pointer up to its last token. Returns whether the target can
 * be modified; its key is a talloc child of `mem`.
 *
 * The path "/" refers to a field with an empty name, which no configuration
 * has, and is rejected. Guards against a patch that would crash every reader
 * of the log, since g_strsplit() splits an empty string into no tokens.
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
 * Apply one operation to a field of an object. Returns whether it succeeded.
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
 * Apply one operation to an element of an array. Returns whether it succeeded.
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
 * Apply one operation of a patch. Returns whether it succeeded. Members of the
 * operation that RFC 6902 does not define are ignored, as it requires.
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
 * Apply a patch to `document`. Returns the index of the first operation that
 * fails, or -1 if all succeed.
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
 * Whether the result is the one that the author of the change had.
 *
 * Guards against applying a change to another base than its author had, after
 * the log was recreated or when a peer sends the change: the result would be a
 * configuration that no one published, and readers would hold different
 * configurations under one revision. The digest covers the whole result, so
 * it detects any difference in the base.
 */
static bool is_intended(const char *result,
			const struct rj_config_change *change)
{
	uint8_t digest[RJ_DIGEST_BYTES];

	digest_text(digest, result);
	return !memcmp(digest, change->digest, RJ_DIGEST_BYTES);
}

/*
 * Apply `change` to `base`. Returns the canonical text of the result, a talloc
 * child of `mem`; it is not validated as a configuration.
 *
 * Returns NULL with the error added to `errors` if the patch is malformed or
 * does not apply to the base, or if the digest of the result differs. The
 * outcome is the same for every reader with this base.
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
				  "change: must be a list of operations of at "
				  "most %d bytes; publish the whole "
				  "configuration",
				  RJ_CONFIG_CHANGE_MAX_BYTES);
		goto out;
	}
	failed = apply_patch(document, patch);
	if (failed >= 0) {
		rj_error_list_add(errors, RJ_ERR_INVALID,
				  "change[%d]: cannot be applied to the "
				  "configuration that it names as its base; "
				  "publish again",
				  failed);
		goto out;
	}
	result = canonical_text(mem, document);
	if (!is_intended(result, change)) {
		rj_error_list_add(errors, RJ_ERR_INVALID,
				  "change: the digest of the result differs "
				  "from the author's; publish again");
		TALLOC_FREE(result);
	}
out:
	json_decref(document);
	json_decref(patch);
	return result;
}
