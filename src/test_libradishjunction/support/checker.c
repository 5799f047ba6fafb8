#include "support/checker_private.h"

#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

const char *const invariant_string[INVARIANT_COUNT] = {
	[INVARIANT_GUARANTEE] = "guarantee", [INVARIANT_GANG] = "gang",
	[INVARIANT_ANSWER] = "answer",	     [INVARIANT_NOT_RUN] = "not_run",
	[INVARIANT_ONCE] = "once",	     [INVARIANT_LEAVING] = "leaving",
	[INVARIANT_STOP] = "stop",	     [INVARIANT_CONFIG] = "config",
	[INVARIANT_ACCEPTED] = "accepted",
};

/*
 * Counts a violation, keeps the text of the first one of each invariant and
 * passes the text to `report`.
 */
void checker_violation(struct checker *checker, uint64_t now_us,
		       enum invariant invariant, const char *format, ...)
{
	char text[160];
	char line[200];
	va_list args;

	va_start(args, format);
	(void)vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	(void)snprintf(line, sizeof(line), "%" PRIu64 " VIOLATION %s: %s",
		       now_us, invariant_string[invariant], text);
	if (!checker->violations[invariant]++)
		memcpy(checker->first[invariant], line, sizeof(line));
	if (checker->report)
		checker->report(checker->report_data, line);
}

static guint attempt_hash(gconstpointer key)
{
	const struct rj_attempt *id = key;

	return (guint)rj_hash64(&id->job_id, sizeof(id->job_id),
				id->owner ^ id->number);
}

static gboolean attempt_equal(gconstpointer left, gconstpointer right)
{
	const struct rj_attempt *a = left;
	const struct rj_attempt *b = right;

	return a->job_id == b->job_id && a->owner == b->owner &&
	       a->number == b->number;
}

/* Frees the GLib containers together with the talloc parent. */
static int checker_release(struct checker **holder)
{
	struct checker *checker = *holder;

	g_array_unref(checker->intents);
	g_array_unref(checker->settle_us);
	g_hash_table_unref(checker->requests);
	g_hash_table_unref(checker->attempts);
	g_ptr_array_unref(checker->gangs);
	g_ptr_array_unref(checker->config_ids);
	return 0;
}

/*
 * Initialises a checker with an empty history. The time limits are set to their
 * defaults; the caller may change them.
 */
void checker_init(struct checker *checker, void *mem)
{
	struct checker **holder;

	memset(checker, 0, sizeof(*checker));
	checker->mem = mem;
	checker->lease_life_us = 5 * RJ_US_PER_S;
	checker->guarantee_limit_us = CHECKER_GUARANTEE_US;
	checker->recovered_us = RJ_NEVER_US;
	checker->intents =
		g_array_new(FALSE, TRUE, sizeof(struct checker_intent));
	checker->settle_us = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	checker->requests = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  g_free, g_free);
	checker->attempts = g_hash_table_new_full(attempt_hash, attempt_equal,
						  NULL, g_free);
	checker->gangs = g_ptr_array_new();
	checker->config_ids = g_ptr_array_new_with_free_func(g_free);
	for (uint32_t i = 0; i < CHECKER_NODES_MAX; i++) {
		checker->nodes[i].platform_since_us = RJ_NEVER_US;
		checker->nodes[i].peer_since_us = RJ_NEVER_US;
	}
	holder = talloc(mem, struct checker *);
	assert(holder);
	*holder = checker;
	talloc_set_destructor(holder, checker_release);
}

/*
 * Adds an intent and returns its number, which the job's body carries.
 */
uint32_t checker_intent_add(struct checker *checker,
			    const struct checker_intent *intent)
{
	struct checker_intent copy = *intent;

	copy.progressed_us = RJ_NEVER_US;
	copy.answered_us = RJ_NEVER_US;
	g_array_append_val(checker->intents, copy);
	return checker->intents->len - 1;
}

/*
 * Returns the intent of that number. The pointer is valid until the next intent
 * is added.
 */
struct checker_intent *checker_intent_get(struct checker *checker,
					  uint32_t intent)
{
	assert(intent < checker->intents->len);
	return &g_array_index(checker->intents, struct checker_intent, intent);
}

/*
 * Checks every invariant that has a time limit.
 */
void checker_tick(struct checker *checker, uint64_t now_us)
{
	checker_config_tick(checker, now_us);
	checker_gang_tick(checker, now_us);
	checker_guarantee_tick(checker, now_us);
}

/*
 * Ends the run: every accepted job must have an outcome. Call it once faults
 * have ended and callers have had time to look up their jobs.
 */
void checker_finish_run(struct checker *checker, uint64_t now_us)
{
	for (guint i = 0; i < checker->intents->len; i++) {
		struct checker_intent *intent = checker_intent_get(checker, i);

		if (!intent->accepted)
			continue;
		checker->checks[INVARIANT_ACCEPTED]++;
		if (intent->answered_us == RJ_NEVER_US)
			checker_violation(checker, now_us, INVARIANT_ACCEPTED,
					  "accepted intent %u has no outcome",
					  i);
	}
}

/*
 * Returns the number of violations of all invariants.
 */
uint32_t checker_violations(const struct checker *checker)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < INVARIANT_COUNT; i++)
		sum += checker->violations[i];
	return sum;
}
