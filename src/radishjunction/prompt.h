/*
 * Prompts a person, or a script on standard input, for the fields of a
 * struct.
 *
 * The caller fills `struct prompter` and owns `in`, `out` and `mem`; there is
 * nothing to release. Each answer is checked by the field's schema; after an
 * invalid one the error is printed and the question asked again.
 */
#ifndef PROMPT_H
#define PROMPT_H

#include <stdio.h>

#include "private/schema.h"

struct prompter {
	FILE *in;
	FILE *out; /* for questions and errors */
	void *mem;
	bool echo; /* print what was read, as `in` is not a terminal */
	bool defaults_at_end; /* use the defaults after the end of `in` */
};

/* The question for one field. */
struct question {
	const char *field;
	const char *text;
	const char *default_text; /* for a new element, or NULL */
};

/* A list of elements and the questions for each. */
struct question_list {
	const char *text; /* plural, such as "client accounts" */
	const char *element; /* singular, such as "Client account" */
	const struct rj_schema *schema;
	const struct question *questions;
	uint32_t question_count;
	uint32_t min;
	uint32_t max;
	uint32_t default_count;
	/* Asks further questions about an element; 0 or -1. May be NULL. */
	int (*ask_more)(struct prompter *prompter, void *element,
			bool prefilled);
};

int prompt_struct(struct prompter *prompter, const struct rj_schema *schema,
		  const struct question *questions, uint32_t count,
		  void *fields, bool prefilled);
int prompt_list(struct prompter *prompter, const struct question_list *list,
		void *elements, uint32_t *count);

#endif
