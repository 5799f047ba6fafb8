/*
 * Asking a person, or a script on standard input, for the fields of a
 * struct.
 *
 * `in`, `out` and `mem` belong to the caller, who fills the struct; nothing
 * has to be finished. Each answer is checked by the field's schema; a wrong
 * one is told and asked for again.
 */
#ifndef PROMPT_H
#define PROMPT_H

#include <stdio.h>

#include "private/schema.h"

struct prompter {
	FILE *in;
	FILE *out; /* questions and errors */
	void *mem;
	bool echo; /* `in` is no terminal: print what was read */
	bool defaults_at_end; /* when `in` ends, defaults answer the rest */
};

/* One field: what is asked, and the default of a new element or NULL. */
struct question {
	const char *field;
	const char *text;
	const char *default_text;
};

/* A list of elements and what is asked about each. */
struct question_list {
	const char *text; /* "client accounts" */
	const char *element; /* "client account" */
	const struct rj_schema *schema;
	const struct question *questions;
	uint32_t question_count;
	uint32_t min;
	uint32_t max;
	uint32_t default_count;
	/* What else is asked about an element, or NULL. */
	int (*ask_more)(struct prompter *prompter, void *element,
			bool prefilled);
};

int prompt_struct(struct prompter *prompter, const struct rj_schema *schema,
		  const struct question *questions, uint32_t count,
		  void *fields, bool prefilled);
int prompt_list(struct prompter *prompter, const struct question_list *list,
		void *elements, uint32_t *count);

#endif
