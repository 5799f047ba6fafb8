#include "support/text_check.h"

#include <assert.h>
#include <glib.h>
#include <stdarg.h>
#include <string.h>
#include <talloc.h>

/*
 * A JSON text, in which single quotes stand for double ones, as a talloc
 * child of `mem`.
 */
char *text_check_json(void *mem, const char *format, ...)
{
	va_list arguments;
	char *text;

	va_start(arguments, format);
	text = talloc_vasprintf(mem, format, arguments);
	va_end(arguments);
	assert(text);
	g_strdelimit(text, "'", '"');
	return text;
}

/*
 * Expect exactly one error, which begins with `start` and holds `remedy`.
 */
void text_check_one_error(const struct rj_error_list *errors, const char *start,
			  const char *remedy)
{
	const char *message;

	g_assert_cmpuint(errors->count, ==, 1);
	message = errors->errors[0].message;
	if (!g_str_has_prefix(message, start) || !strstr(message, remedy))
		g_error("\"%s\" does not begin with \"%s\" or lacks \"%s\"",
			message, start, remedy);
}
