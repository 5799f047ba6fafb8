#include "descriptions.h"

#include <glib.h>
#include <string.h>

#include "radishjunction/action.h"
#include "radishjunction/types.h"

/* Descriptions of events: to be printed alone, or followed by the name of a
 * target. */
static const struct {
	const char *alone;
	const char *with_target;
} event_texts[RJ_LOG_EVENT_COUNT] = {
	[RJ_LOG_ADMIT] = { "admitted", "admitted from" },
	[RJ_LOG_REFUSE] = { "refused", "refused by" },
	[RJ_LOG_ROUTE] = { "handed on", "handed to" },
	[RJ_LOG_PLACE] = { "placed", "placed on" },
	[RJ_LOG_CLAIM] = { "claimed in the log", "claimed in the log for" },
	[RJ_LOG_START] = { "started", "started on" },
	[RJ_LOG_RETRY] = { "to be tried again", "to be tried again after" },
	[RJ_LOG_RECLAIM] = { "gave its place back", "gave its place back on" },
	[RJ_LOG_ADOPT] = { "taken over", "taken over from" },
	[RJ_LOG_VOID] = { "its claim made void", "its claim made void for" },
	[RJ_LOG_END] = { "ended", "ended at" },
	[RJ_LOG_CONFIG] = { "configuration judged", "configuration from" },
	[RJ_LOG_LEAVING] = { "no new work for a leaving worker",
			     "no new work for the leaving" },
	[RJ_LOG_DRAIN] = { "handed on before a stop",
			   "handed on before a stop to" },
};

/* The meaning of each reason, and what a caller or an operator can do. */
static const struct {
	const char *meaning;
	const char *remedy;
} reason_texts[RJ_REASON_COUNT] = {
	[RJ_REASON_NONE] = { "no special reason", "nothing to do" },
	[RJ_REASON_BAD_REQUEST] = { "the request is not well formed",
				    "mend the field that `detail` names" },
	[RJ_REASON_TOO_LARGE] = { "the body is above the limit",
				  "send less, or a reference to the data" },
	[RJ_REASON_UNAUTHORIZED] = { "the token is of no client account",
				     "send the account's token; an operator "
				     "makes a new one with `generate "
				     "--new-token`" },
	[RJ_REASON_NO_SUCH_JOB] = { "no job of this account has that id",
				    "check the id and the token" },
	[RJ_REASON_NO_SUCH_CLASS] = { "the configuration has no such job class",
				      "use a class of the configuration, or "
				      "publish one with it" },
	[RJ_REASON_KEY_REQUIRED] = { "work of this class must not run twice",
				     "send an Idempotency-Key" },
	[RJ_REASON_KEY_REUSED] = { "the key belongs to another request",
				   "use a new key for a new request" },
	[RJ_REASON_KEY_EXPIRED] = { "the key is older than its life",
				    "look into your own records, then use a "
				    "new key" },
	[RJ_REASON_NEVER_FITS] = { "no failure domain could ever hold it",
				   "ask for less, or for tasks that are not "
				   "adjacent" },
	[RJ_REASON_QUEUE_FULL] = { "too much is waiting already",
				   "come back after `retry_after_ms`; if it "
				   "stays so, add workers" },
	[RJ_REASON_ACCOUNT_LIMIT] = { "the account has too many open jobs",
				      "wait for some to end; an operator can "
				      "raise `open_max`" },
	[RJ_REASON_DEADLINE_TOO_SOON] = { "it could not end by its deadline",
					  "give a later deadline, or send it "
					  "elsewhere" },
	[RJ_REASON_DEADLINE_PASSED] = { "its deadline passed while it waited",
					"send it again if it is still of use" },
	[RJ_REASON_NO_CONFIG] = { "this instance has no configuration yet",
				  "publish one, or ask another instance" },
	[RJ_REASON_DRAINING] = { "this instance is stopping",
				 "send it again; the balancer picks another" },
	[RJ_REASON_PLATFORM_DOWN] = { "the platform's log gives no answer",
				      "come back after `retry_after_ms`; look "
				      "after the platform" },
	[RJ_REASON_LOG_GAP] = { "this instance missed records of the log",
				"come back later, or ask another instance" },
	[RJ_REASON_CANCELLED] = { "it was cancelled", "nothing to do" },
	[RJ_REASON_TASK_FAILED] = { "its task ran and failed",
				    "read the result, and mend the job" },
	[RJ_REASON_WORKER_LOST] = { "a worker that ran it was lost",
				    "ask again with the same key; look after "
				    "the worker" },
	[RJ_REASON_IN_PROGRESS] = { "it is still on its way",
				    "ask again, or wait" },
	[RJ_REASON_PEER_LOST] = { "the instance that had it was lost",
				  "ask again with the same key" },
	[RJ_REASON_RETRY_BUDGET] = { "too many retries just now",
				     "come back after `retry_after_ms`; look "
				     "for the failing workers" },
	[RJ_REASON_LEASE_REFUSED] = { "the worker refused the lease",
				      "nothing to do: another place is sought" },
	[RJ_REASON_LEASE_EXPIRED] = { "the lease ended before the start",
				      "nothing to do: it is placed again" },
	[RJ_REASON_CLAIM_LOST] = { "another instance claimed it first",
				   "nothing to do: that one answers" },
	[RJ_REASON_RECLAIMED] = { "a guarantee wanted its place back",
				  "nothing to do: it is placed again" },
	[RJ_REASON_FIRST_FIT] = { "the first place that fitted",
				  "nothing to do" },
	[RJ_REASON_BEST_FIT] = { "the place that it fills best",
				 "nothing to do" },
	[RJ_REASON_GUARANTEE] = { "its account is guaranteed the place",
				  "nothing to do" },
	[RJ_REASON_RESERVATION] = { "a place is kept for it",
				    "nothing to do: it waits for the last of "
				    "it" },
	[RJ_REASON_BACKFILL] = { "it ends before the place is wanted",
				 "nothing to do" },
	[RJ_REASON_LEAST_LOST] = { "it had the least work to lose",
				   "nothing to do" },
	[RJ_REASON_OWNER] = { "the instance that plans the rack",
			      "nothing to do" },
	[RJ_REASON_OTHER_DOMAIN] = { "its own failure domain could not in time",
				     "nothing to do; add workers if it recurs" },
	[RJ_REASON_QUARANTINED] = { "the worker fails what it starts",
				    "look after the worker; it is probed and "
				    "taken back" },
};

/* Descriptions of job states by the name used in an explanation. */
static const struct {
	const char *state;
	const char *text;
} state_texts[] = {
	{ "accepting", "its acceptance is being written to the log" },
	{ "queued", "waiting to be placed" },
	{ "holding", "taking the leases of its place" },
	{ "claiming", "its claim is being written to the log" },
	{ "starting", "being started" },
	{ "running", "running" },
	{ "stopping", "being stopped" },
	{ "settling", "its workers are asked what became of it" },
	{ "forwarded", "served by the instance that it was handed to" },
	{ "watching", "served by another instance" },
};

/*
 * Returns the index of `name` in a table of strings, or `count`.
 */
static uint32_t find_name(const char *const *strings, uint32_t count,
			  const char *name)
{
	uint32_t i = 0;

	while (i < count && strcmp(strings[i], name) != 0)
		i++;
	return i;
}

/*
 * Returns the string member `name` of a decision, or "" if it is missing.
 */
static const char *get_text(const json_t *object, const char *name)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text ? text : "";
}

/*
 * Returns the number member `name` of a decision, or 0 if it is missing.
 */
static json_int_t get_number(const json_t *object, const char *name)
{
	return json_integer_value(json_object_get(object, name));
}

/*
 * Prints a count with its noun: "1 place", "2 places".
 */
static void print_count(FILE *out, json_int_t count, const char *thing)
{
	fprintf(out, "%" JSON_INTEGER_FORMAT " %s%s", count, thing,
		count == 1 ? "" : "s");
}

/*
 * Prints the current state of a job and, if it is queued, what it needs and
 * what is free.
 */
static void print_state(FILE *out, const json_t *entry)
{
	const char *state = get_text(entry, "state");
	const char *text = state;

	for (uint32_t i = 0; i < sizeof(state_texts) / sizeof(*state_texts);
	     i++)
		if (!strcmp(state_texts[i].state, state))
			text = state_texts[i].text;
	fprintf(out, "now %s", text);
	if (!strcmp(state, "queued")) {
		fputs(": ", out);
		print_count(out, get_number(entry, "tasks"), "task");
		fputs(" of ", out);
		print_count(out, get_number(entry, "accelerators"),
			    "accelerator");
		if (json_is_true(json_object_get(entry, "adjacent")))
			fputs(" in one rack", out);
		fprintf(out,
			"; %" JSON_INTEGER_FORMAT " of %" JSON_INTEGER_FORMAT
			" accelerators that this instance plans are free, and ",
			get_number(entry, "accelerators_free"),
			get_number(entry, "accelerators_here"));
		print_count(out, get_number(entry, "waiting_here"), "job");
		fputs(" in all waiting here", out);
	}
	fprintf(out, "; %" JSON_INTEGER_FORMAT " ms since it came\n",
		get_number(entry, "waited_ms"));
}

/*
 * Prints one decision, or the job's current state if the entry has a `state`,
 * as a sentence. Names that this version does not know, as they come from a
 * newer instance, are printed unchanged.
 */
void print_decision(FILE *out, const json_t *decision)
{
	const char *event = get_text(decision, "event");
	const char *why = get_text(decision, "why");
	const char *target = get_text(decision, "target");
	json_int_t waited_ms = get_number(decision, "waited_ms");
	json_int_t considered = get_number(decision, "considered");
	uint32_t event_index =
		find_name(rj_decision_event_string, RJ_LOG_EVENT_COUNT, event);
	uint32_t why_index = find_name(rj_reason_string, RJ_REASON_COUNT, why);

	if (json_object_get(decision, "state")) {
		print_state(out, decision);
		return;
	}
	if (event_index == RJ_LOG_EVENT_COUNT)
		fputs(event, out);
	else if (target[0])
		fputs(event_texts[event_index].with_target, out);
	else
		fputs(event_texts[event_index].alone, out);
	if (target[0])
		fprintf(out, " %s", target);
	if (why_index != RJ_REASON_NONE)
		fprintf(out, ": %s (%s)",
			why_index < RJ_REASON_COUNT ?
				reason_texts[why_index].meaning :
				"a reason that this version does not know",
			why);
	if (waited_ms)
		fprintf(out, "; waited %" JSON_INTEGER_FORMAT " ms", waited_ms);
	if (considered && event_index == RJ_LOG_PLACE) {
		fputs("; ", out);
		print_count(out, considered, "place");
		fputs(" considered", out);
	}
	fprintf(out, "\n");
}

/*
 * Prints the meaning and the remedy of a reason on one line. Prints nothing for
 * a reason that this version does not know or that needs no remedy.
 */
void print_reason(FILE *out, const char *reason)
{
	uint32_t index = find_name(rj_reason_string, RJ_REASON_COUNT, reason);

	if (index != RJ_REASON_COUNT &&
	    !g_str_has_prefix(reason_texts[index].remedy, "nothing to do"))
		fprintf(out, "%s: %s; %s\n", reason,
			reason_texts[index].meaning,
			reason_texts[index].remedy);
}

/*
 * Prints every reason with its meaning and remedy as a Markdown table, which
 * docs/OPERATIONS.md contains.
 */
void print_reasons(FILE *out)
{
	fprintf(out, "| reason | meaning | remedy |\n|---|---|---|\n");
	for (uint32_t i = 0; i < RJ_REASON_COUNT; i++)
		fprintf(out, "| `%s` | %s | %s |\n", rj_reason_string[i],
			reason_texts[i].meaning, reason_texts[i].remedy);
}
