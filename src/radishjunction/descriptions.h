/*
 * Descriptions of decisions and reasons for people.
 */
#ifndef DESCRIPTIONS_H
#define DESCRIPTIONS_H

#include <jansson.h>
#include <stdio.h>

void print_decision(FILE *out, const json_t *decision);
void print_reason(FILE *out, const char *reason);
void print_reasons(FILE *out);

#endif
