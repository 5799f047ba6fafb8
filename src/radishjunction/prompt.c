#include "prompt.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "radishjunction/error.h"

#define LINE_BYTES 512

/*
 * Reads one line and trims white space at both ends. Returns 0, or -1 at the
 * end of the input.
 */
static int read_line(struct prompter *prompter, char line[LINE_BYTES])
{
	char *start = line;
	size_t length;

	if (!fgets(line, LINE_BYTES, prompter->in))
		return -1;
	length = strlen(line);
	while (length && strchr(" \t\r\n", line[length - 1]))
		line[--length] = 0;
	start += strspn(line, " \t");
	memmove(line, start, strlen(start) + 1);
	if (prompter->echo)
		fprintf(prompter->out, "%s\n", line);
	return 0;
}

/*
 * Converts an answer to the JSON type that the field expects: "yes" or "no" to
 * a boolean, digits to a number; anything else becomes a string. Returns a new
 * reference, or NULL if the answer is not UTF-8.
 */
static json_t *answer_to_json(const struct rj_schema_field *field,
			      const char *text)
{
	bool number =
		field->type == &rj_schema_u32 || field->type == &rj_schema_u64;
	char *end;

	if (field->type == &rj_schema_bool) {
		if (!strcmp(text, "y") || !strcmp(text, "yes"))
			return json_true();
		if (!strcmp(text, "n") || !strcmp(text, "no"))
			return json_false();
	}
	if (number && text[0]) {
		long long value = strtoll(text, &end, 10);

		if (!*end)
			return json_integer(value);
	}
	return json_string(text);
}

/*
 * Returns the field's current value in the form of an answer to its question, a
 * talloc child of `mem`, or NULL if it has no such form.
 */
static char *value_to_text(void *mem, const struct rj_schema_field *field,
			   const void *member)
{
	/* An optional field equal to its default would not be encoded. */
	struct rj_schema_field required = *field;
	json_t *json;
	char *text = NULL;

	required.optional = false;
	json = field->type->encode(&required, member);
	if (json_is_string(json))
		text = talloc_strdup(mem, json_string_value(json));
	else if (json_is_integer(json))
		text = talloc_asprintf(mem, "%" JSON_INTEGER_FORMAT,
				       json_integer_value(json));
	else if (json_is_boolean(json))
		text = talloc_strdup(mem, json_is_true(json) ? "yes" : "no");
	json_decref(json);
	return text;
}

/*
 * Checks one answer and stores it in `member`. Returns 0, or -1 with the errors
 * printed.
 */
static int store_answer(struct prompter *prompter,
			const struct rj_schema_field *field, const char *text,
			void *member)
{
	struct rj_error_list errors;
	struct rj_schema_check check = { prompter->mem, &errors, false };
	struct rj_schema_path path = { NULL, field->name, 0 };
	json_t *json = answer_to_json(field, text);

	rj_error_list_init(&errors, prompter->mem);
	if (!json)
		rj_schema_report(&check, &path, "not UTF-8; type it again");
	else
		field->type->decode(&check, field, &path, json, member);
	for (uint32_t i = 0; i < errors.count; i++)
		fprintf(prompter->out, "  %s\n", errors.errors[i].message);
	rj_error_list_finish(&errors);
	json_decref(json);
	return check.failed ? -1 : 0;
}

/*
 * Asks for one field until the answer is valid. An empty answer stands for
 * `default_text`, unless that is NULL. Returns 0, or -1 if the input ended
 * before that.
 */
static int prompt_field(struct prompter *prompter,
			const struct rj_schema_field *field, const char *text,
			const char *default_text, void *member)
{
	char line[LINE_BYTES];
	bool at_eof;

	for (;;) {
		fprintf(prompter->out, "%s%s%s%s: ", text,
			default_text ? " [" : "",
			default_text ? default_text : "",
			default_text ? "]" : "");
		fflush(prompter->out);
		at_eof = read_line(prompter, line) < 0;
		if (at_eof && !(prompter->defaults_at_end && default_text)) {
			fprintf(prompter->out, "\n");
			return -1;
		}
		if (at_eof)
			fprintf(prompter->out, "\n");
		if (at_eof || (!line[0] && default_text))
			snprintf(line, sizeof(line), "%s", default_text);
		if (!store_answer(prompter, field, line, member))
			return 0;
		/* An invalid default would be read again forever. */
		if (at_eof)
			return -1;
	}
}

/*
 * Asks for the fields named by `questions` and stores them in the struct at
 * `fields`. If that is `prefilled` from earlier answers, its values are the
 * defaults. Returns 0, or -1 if the input ended.
 */
int prompt_struct(struct prompter *prompter, const struct rj_schema *schema,
		  const struct question *questions, uint32_t count,
		  void *fields, bool prefilled)
{
	for (uint32_t i = 0; i < count; i++) {
		const struct rj_schema_field *field = NULL;
		char *member;
		char *current = NULL;
		int result;

		for (uint32_t j = 0; j < schema->field_count && !field; j++)
			if (!strcmp(schema->fields[j].name, questions[i].field))
				field = &schema->fields[j];
		assert(field);
		member = (char *)fields + field->offset;
		if (prefilled)
			current = value_to_text(prompter->mem, field, member);
		result = prompt_field(
			prompter, field, questions[i].text,
			current ? current : questions[i].default_text, member);
		talloc_free(current);
		if (result)
			return -1;
	}
	return 0;
}

/*
 * Asks for the number of elements and for the fields of each. `elements`
 * points to the array's pointer, which is replaced by a talloc child of the
 * prompter's `mem`. Elements beyond the new count are dropped. Returns 0, or
 * -1 if the input ended.
 */
int prompt_list(struct prompter *prompter, const struct question_list *list,
		void *elements, uint32_t *count)
{
	struct rj_schema_field field = { .type = &rj_schema_u32,
					 .name = list->text,
					 .min = list->min,
					 .max = list->max };
	char *question =
		talloc_asprintf(prompter->mem, "How many %s?", list->text);
	char *default_text = talloc_asprintf(
		prompter->mem, "%u", *count ? *count : list->default_count);
	size_t size = list->schema->size;
	uint32_t new_count = 0;
	char *array;
	char *earlier;

	assert(question && default_text);
	if (prompt_field(prompter, &field, question, default_text, &new_count))
		return -1;
	/* `elements` points to a pointer of another type. */
	memcpy(&earlier, elements, sizeof(earlier));
	array = talloc_zero_size(prompter->mem, size * new_count + 1);
	assert(array);
	for (uint32_t i = 0; i < new_count; i++) {
		char *element = array + i * size;
		bool prefilled = i < *count;

		if (prefilled)
			memcpy(element, earlier + i * size, size);
		else
			rj_schema_defaults(list->schema, element);
		fprintf(prompter->out, "\n%s %u of %u\n", list->element, i + 1,
			new_count);
		if (prompt_struct(prompter, list->schema, list->questions,
				  list->question_count, element, prefilled))
			return -1;
		if (list->ask_more &&
		    list->ask_more(prompter, element, prefilled))
			return -1;
	}
	memcpy(elements, &array, sizeof(array));
	*count = new_count;
	return 0;
}
