#include "support/text_check.h"

#include <assert.h>
#include <glib.h>
#include <stdarg.h>
#include <string.h>
#include <talloc.h>

/*
 * Formats a JSON text as a talloc child of `mem`, replacing single quotes with
 * double quotes.
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
 * Asserts that there is exactly one error, which begins with `start` and
 * contains `remedy`.
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
