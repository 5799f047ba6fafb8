/*
 * Counts the values of a JSON text before it is parsed: parsed, each needs many
 * times its length.
 */
#ifndef RADISHJUNCTION_PRIVATE_JSON_VALUES_H
#define RADISHJUNCTION_PRIVATE_JSON_VALUES_H

#include <stddef.h>
#include <stdint.h>

/* Memory of a parsed value, besides that of its text: an empty object takes
 * the most. */
#define RJ_JSON_VALUE_BYTES 320

uint32_t rj_json_count_values(const char *text, size_t length);

#endif
