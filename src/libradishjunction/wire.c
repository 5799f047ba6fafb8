#include "private/wire.h"

#include <assert.h>

#include "private/buffer.h"

struct writer {
	struct rj_buffer buffer;
	void *mem;
};

/* jansson dump callback. */
static int write_part(const char *data, size_t length, void *private_data)
{
	struct writer *writer = private_data;

	rj_buffer_append(&writer->buffer, writer->mem, data, length);
	return 0;
}

/*
 * Format `json` as compact text, a talloc child of `mem`.
 */
char *rj_wire_text(void *mem, const json_t *json)
{
	struct writer writer = { .mem = mem };
	int failed =
		json_dump_callback(json, write_part, &writer, JSON_COMPACT);

	assert(!failed && writer.buffer.data);
	(void)failed;
	return writer.buffer.data;
}

/*
 * Encode the struct at `in` as JSON text, a talloc child of `mem`.
 */
char *rj_wire_encode(void *mem, const struct rj_schema *schema, const void *in)
{
	json_t *json = rj_schema_encode(schema, in);
	char *text = rj_wire_text(mem, json);

	json_decref(json);
	return text;
}

/*
 * Decode the struct at `out` from JSON text. Returns 0, or -1 with the first
 * error in `err`, which may be NULL; `out` is then zeroed.
 */
int rj_wire_decode(const struct rj_schema *schema, void *mem, const char *text,
		   void *out, struct rj_error *err)
{
	struct rj_error_list errors;
	int result;

	rj_error_list_init(&errors, NULL);
	result = rj_schema_parse(schema, mem, text, out, &errors);
	if (result)
		rj_error_set(err, RJ_ERR_MALFORMED, "%s",
			     errors.errors[0].message);
	rj_error_list_finish(&errors);
	return result;
}
