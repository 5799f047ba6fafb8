/*
 * Helpers for tests of the configuration and settings parsers: input texts and
 * checks of the expected error.
 */
#ifndef TEST_SUPPORT_TEXT_CHECK_H
#define TEST_SUPPORT_TEXT_CHECK_H

#include "radishjunction/error.h"

char *text_check_json(void *mem, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
void text_check_one_error(const struct rj_error_list *errors, const char *start,
			  const char *remedy);

#endif
