/*
 * Prints events and actions as lines of text, for golden files and for the
 * analysis of a failing seed. Incarnations and ids are printed unmasked, as
 * they are reproducible for a seed.
 */
#ifndef SUPPORT_TRANSCRIPT_H
#define SUPPORT_TRANSCRIPT_H

#include <stdio.h>

#include "radishjunction/action.h"

bool transcript_event_is_periodic(const struct rj_event *event);
bool transcript_action_is_periodic(const struct rj_action *action);
void transcript_event(FILE *out, uint64_t now_us, const char *node,
		      const struct rj_event *event);
void transcript_action(FILE *out, uint64_t now_us, const char *node,
		       const struct rj_action *action);

#endif
