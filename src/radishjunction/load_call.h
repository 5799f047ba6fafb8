/*
 * One sending of one request of a load, until its final answer.
 *
 * A truthful client: it comes back when it was told to, with the same key,
 * at another instance if the last one is gone; it sends again without a key
 * only what may run twice; it takes `unknown` for what it is.
 *
 * `load_call_start` makes it a talloc child of the load, which it leaves
 * after one call of the load's `call_ended`.
 */
#ifndef LOAD_CALL_H
#define LOAD_CALL_H

#include <jansson.h>
#include <stdio.h>
#include <tevent.h>

#include "load_mix.h"
#include "private/http_client.h"
#include "targets.h"

/* How a sending ended. */
struct load_ending {
	bool answered; /* false: no final answer in time */
	enum rj_answer_kind answer;
	char job[20]; /* "" if no answer named it */
	bool wrong; /* the result is not that of this request */
	uint64_t took_us;
	uint32_t tries;
};

/* What the sendings of a load share. */
struct load {
	void *mem;
	struct tevent_context *ev;
	struct rj_http_client client;
	struct targets targets;
	const char **tokens; /* as many as the mix has kinds */
	const struct load_mix *mix;
	FILE *records; /* a line of JSON for each answer; NULL without */
	uint64_t deadline_us;
	uint64_t random; /* state of the jitter */
	void (*call_ended)(struct load *load, struct load_job *job, bool repeat,
			   const struct load_ending *ending);
};

void load_call_start(struct load *load, struct load_job *job, bool repeat);

#endif
