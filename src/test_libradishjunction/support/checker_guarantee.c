#include "support/checker_private.h"

#include <inttypes.h>

/*
 * Records that every member of the attempt has made progress, which meets the
 * guarantee of its intent.
 */
void checker_guarantee_met(struct checker *checker, uint64_t now_us,
			   const struct checker_attempt *attempt)
{
	struct checker_intent *intent =
		checker_intent_get(checker, attempt->intent);

	if (intent->progressed_us != RJ_NEVER_US)
		return;
	intent->progressed_us = now_us;
	checker->checks[INVARIANT_GUARANTEE] += intent->guaranteed;
}

/*
 * Checks that each guaranteed shape runs within the time limit, counted from
 * its submission or from the end of the last fault.
 */
void checker_guarantee_tick(struct checker *checker, uint64_t now_us)
{
	for (guint i = 0; i < checker->intents->len; i++) {
		struct checker_intent *intent = checker_intent_get(checker, i);
		uint64_t since_us = intent->submitted_us;

		if (!intent->guaranteed || !intent->requests ||
		    intent->progressed_us != RJ_NEVER_US ||
		    intent->late_reported || intent->cancelled)
			continue;
		if (checker->recovered_us == RJ_NEVER_US)
			continue;
		if (checker->recovered_us > since_us)
			since_us = checker->recovered_us;
		if (now_us <= since_us + checker->guarantee_limit_us)
			continue;
		intent->late_reported = true;
		checker_violation(
			checker, now_us, INVARIANT_GUARANTEE,
			"intent %u waits for its guaranteed shape since "
			"%" PRIu64,
			i, since_us);
	}
}
