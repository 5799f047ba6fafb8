#include "private/json_values.h"

#include <stdbool.h>

/*
 * Returns an upper bound of the values in `text`, which need not be valid, with
 * the keys of objects.
 */
uint32_t rj_json_count_values(const char *text, size_t length)
{
	uint32_t count = 1;
	bool in_string = false;

	for (size_t i = 0; i < length; i++) {
		char c = text[i];

		if (in_string && c == '\\')
			i++;
		else if (c == '"')
			in_string = !in_string;
		else if (!in_string &&
			 (c == '{' || c == '[' || c == ',' || c == ':'))
			count++;
	}
	return count;
}
