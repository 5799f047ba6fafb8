/*
 * What decisions and reasons mean, in words for a person.
 */
#ifndef WORDS_H
#define WORDS_H

#include <jansson.h>
#include <stdio.h>

void print_decision(FILE *out, const json_t *decision);
void print_reason(FILE *out, const char *reason);
void print_reasons(FILE *out);

#endif
