#include "radishjunction/types.h"

#include <assert.h>
#include <sodium.h>
#include <string.h>

#include "radishjunction/action.h"
#include "radishjunction/core.h"

/* In a shortened name: before the digest, which is in hexadecimal digits. */
#define NAME_DIGEST_MARK '~'
#define NAME_DIGEST_CHARS (2 * RJ_DIGEST_BYTES)
/* Bytes of the text that are left in front of it. */
#define NAME_START_BYTES (RJ_NAME_BYTES - NAME_DIGEST_CHARS - 2)

const char *const rj_priority_string[RJ_PRIORITY_COUNT] = {
	[RJ_PRIORITY_URGENT] = "urgent",
	[RJ_PRIORITY_NORMAL] = "normal",
	[RJ_PRIORITY_BULK] = "bulk",
};

const char *const rj_answer_kind_string[RJ_ANSWER_KIND_COUNT] = {
	[RJ_ANSWER_DONE] = "done",	   [RJ_ANSWER_FAILED] = "failed",
	[RJ_ANSWER_NOT_RUN] = "not_run",   [RJ_ANSWER_UNKNOWN] = "unknown",
	[RJ_ANSWER_ACCEPTED] = "accepted",
};

const char *const rj_reason_string[RJ_REASON_COUNT] = {
	[RJ_REASON_NONE] = "none",
	[RJ_REASON_BAD_REQUEST] = "bad_request",
	[RJ_REASON_TOO_LARGE] = "too_large",
	[RJ_REASON_UNAUTHORIZED] = "unauthorized",
	[RJ_REASON_NO_SUCH_JOB] = "no_such_job",
	[RJ_REASON_NO_SUCH_CLASS] = "no_such_class",
	[RJ_REASON_KEY_REQUIRED] = "key_required",
	[RJ_REASON_KEY_REUSED] = "key_reused",
	[RJ_REASON_KEY_EXPIRED] = "key_expired",
	[RJ_REASON_NEVER_FITS] = "never_fits",
	[RJ_REASON_QUEUE_FULL] = "queue_full",
	[RJ_REASON_ACCOUNT_LIMIT] = "account_limit",
	[RJ_REASON_DEADLINE_TOO_SOON] = "deadline_too_soon",
	[RJ_REASON_DEADLINE_PASSED] = "deadline_passed",
	[RJ_REASON_NO_CONFIG] = "no_config",
	[RJ_REASON_DRAINING] = "draining",
	[RJ_REASON_PLATFORM_DOWN] = "platform_down",
	[RJ_REASON_LOG_GAP] = "log_gap",
	[RJ_REASON_CANCELLED] = "cancelled",
	[RJ_REASON_TASK_FAILED] = "task_failed",
	[RJ_REASON_WORKER_LOST] = "worker_lost",
	[RJ_REASON_IN_PROGRESS] = "in_progress",
	[RJ_REASON_PEER_LOST] = "peer_lost",
	[RJ_REASON_RETRY_BUDGET] = "retry_budget",
	[RJ_REASON_LEASE_REFUSED] = "lease_refused",
	[RJ_REASON_LEASE_EXPIRED] = "lease_lapsed",
	[RJ_REASON_CLAIM_LOST] = "claim_lost",
	[RJ_REASON_RECLAIMED] = "reclaimed",
	[RJ_REASON_FIRST_FIT] = "first_fit",
	[RJ_REASON_BEST_FIT] = "best_fit",
	[RJ_REASON_GUARANTEE] = "guarantee",
	[RJ_REASON_RESERVATION] = "reservation",
	[RJ_REASON_BACKFILL] = "backfill",
	[RJ_REASON_LEAST_LOST] = "least_lost",
	[RJ_REASON_OWNER] = "owner",
	[RJ_REASON_OTHER_DOMAIN] = "other_domain",
	[RJ_REASON_QUARANTINED] = "quarantined",
};

const char *const rj_stream_string[RJ_STREAM_COUNT] = {
	[RJ_STREAM_CONFIG] = "config",
	[RJ_STREAM_JOBS] = "jobs",
};

const char *const rj_record_kind_string[RJ_RECORD_KIND_COUNT] = {
	[RJ_RECORD_MALFORMED] = "malformed", [RJ_RECORD_CONFIG] = "config",
	[RJ_RECORD_CLAIM] = "claim",	     [RJ_RECORD_VOID] = "void",
	[RJ_RECORD_OUTCOME] = "outcome",     [RJ_RECORD_ACCEPT] = "accept",
	[RJ_RECORD_CANCEL] = "cancel",
};

const char *const rj_event_kind_string[RJ_EVENT_KIND_COUNT] = {
	[RJ_EVENT_REQUEST] = "request",
	[RJ_EVENT_CALLER_DISCONNECTED] = "caller_gone",
	[RJ_EVENT_RECORDS] = "records",
	[RJ_EVENT_READ_FAILED] = "read_failed",
	[RJ_EVENT_APPENDED] = "appended",
	[RJ_EVENT_INSTANCES] = "instances",
	[RJ_EVENT_WORKER_REPLY] = "worker_reply",
	[RJ_EVENT_PEER_UP] = "peer_up",
	[RJ_EVENT_PEER_DOWN] = "peer_down",
	[RJ_EVENT_PEER_MESSAGE] = "peer_message",
	[RJ_EVENT_TIMER] = "timer",
	[RJ_EVENT_STOP] = "stop",
};

const char *const rj_request_op_string[RJ_REQUEST_OP_COUNT] = {
	[RJ_REQUEST_SUBMIT] = "submit",
	[RJ_REQUEST_LOOKUP] = "lookup",
	[RJ_REQUEST_CANCEL] = "cancel",
};

const char *const rj_append_status_string[RJ_APPEND_STATUS_COUNT] = {
	[RJ_APPEND_OK] = "ok",
	[RJ_APPEND_REFUSED] = "refused",
	[RJ_APPEND_LOST] = "lost",
};

const char *const rj_instance_role_string[RJ_ROLE_COUNT] = {
	[RJ_ROLE_ENTRY] = "entry",
	[RJ_ROLE_WORKER] = "worker",
};

const char *const rj_worker_op_string[RJ_WORKER_OP_COUNT] = {
	[RJ_WORKER_LEASE] = "lease",
	[RJ_WORKER_START] = "start",
	[RJ_WORKER_RUN] = "run",
	[RJ_WORKER_RENEW] = "renew",
	[RJ_WORKER_CHECKPOINT] = "checkpoint",
	[RJ_WORKER_THROTTLE] = "throttle",
	[RJ_WORKER_STOP] = "stop",
	[RJ_WORKER_RELEASE] = "release",
	[RJ_WORKER_FENCE] = "fence",
	[RJ_WORKER_REPORT] = "report",
};

const char *const rj_task_state_string[RJ_TASK_STATE_COUNT] = {
	[RJ_TASK_NONE] = "none",       [RJ_TASK_HELD] = "held",
	[RJ_TASK_RUNNING] = "running", [RJ_TASK_DONE] = "done",
	[RJ_TASK_FAILED] = "failed",   [RJ_TASK_STOPPED] = "stopped",
	[RJ_TASK_DEAD] = "dead",
};

const char *const rj_reply_status_string[RJ_REPLY_STATUS_COUNT] = {
	[RJ_REPLY_OK] = "ok",
	[RJ_REPLY_REFUSED] = "refused",
	[RJ_REPLY_LOST] = "lost",
};

const char *const rj_peer_message_kind_string[RJ_PEER_MESSAGE_KIND_COUNT] = {
	[RJ_PEER_HEARTBEAT] = "heartbeat",
	[RJ_PEER_SUMMARY] = "summary",
	[RJ_PEER_CONFIG] = "config",
	[RJ_PEER_LEAVING] = "leaving",
	[RJ_PEER_FORWARD] = "forward",
	[RJ_PEER_FORWARD_ANSWER] = "forward_answer",
	[RJ_PEER_CANCEL] = "cancel",
};

const char *const rj_action_kind_string[RJ_ACTION_KIND_COUNT] = {
	[RJ_ACTION_ANSWER] = "answer",
	[RJ_ACTION_APPEND] = "append",
	[RJ_ACTION_READ] = "read",
	[RJ_ACTION_LIST] = "list",
	[RJ_ACTION_WORKER_CALL] = "worker_call",
	[RJ_ACTION_PEER_CONNECT] = "peer_connect",
	[RJ_ACTION_PEER_DROP] = "peer_drop",
	[RJ_ACTION_PEER_SEND] = "peer_send",
	[RJ_ACTION_LOG] = "log",
	[RJ_ACTION_EXIT] = "exit",
};

const char *const rj_decision_event_string[RJ_LOG_EVENT_COUNT] = {
	[RJ_LOG_ADMIT] = "admit",     [RJ_LOG_REFUSE] = "refuse",
	[RJ_LOG_ROUTE] = "route",     [RJ_LOG_PLACE] = "place",
	[RJ_LOG_CLAIM] = "claim",     [RJ_LOG_START] = "start",
	[RJ_LOG_RETRY] = "retry",     [RJ_LOG_RECLAIM] = "reclaim",
	[RJ_LOG_ADOPT] = "adopt",     [RJ_LOG_VOID] = "void",
	[RJ_LOG_END] = "end",	      [RJ_LOG_CONFIG] = "config",
	[RJ_LOG_LEAVING] = "leaving", [RJ_LOG_DRAIN] = "drain",
};

const char *const rj_decision_kind_string[RJ_DECISION_KIND_COUNT] = {
	[RJ_DECISION_START] = "start",
	[RJ_DECISION_RECLAIM] = "reclaim",
	[RJ_DECISION_REFUSE] = "refuse",
};

const char *const rj_counter_string[RJ_COUNT_COUNT] = {
	[RJ_COUNT_REQUESTS] = "requests",
	[RJ_COUNT_DONE] = "answers_done",
	[RJ_COUNT_FAILED] = "answers_failed",
	[RJ_COUNT_NOT_RUN] = "answers_not_run",
	[RJ_COUNT_UNKNOWN] = "answers_unknown",
	[RJ_COUNT_ACCEPTED] = "answers_accepted",
	[RJ_COUNT_REPEATS] = "repeats",
	[RJ_COUNT_FORWARDS] = "forwards",
	[RJ_COUNT_FORWARDS_OTHER_DOMAIN] = "forwards_other_domain",
	[RJ_COUNT_FORWARDS_LOG] = "forwards_log",
	[RJ_COUNT_APPENDS] = "appends",
	[RJ_COUNT_RECORDS_READ] = "records_read",
	[RJ_COUNT_CLAIMS_WON] = "claims_won",
	[RJ_COUNT_CLAIMS_LOST] = "claims_lost",
	[RJ_COUNT_VOIDS] = "voids",
	[RJ_COUNT_LEASES] = "leases",
	[RJ_COUNT_LEASES_REFUSED] = "leases_refused",
	[RJ_COUNT_STARTS] = "starts",
	[RJ_COUNT_RETRIES] = "retries",
	[RJ_COUNT_RECLAIMS] = "reclaims",
	[RJ_COUNT_ADOPTIONS] = "adoptions",
	[RJ_COUNT_CONFIGS_ACCEPTED] = "configs_accepted",
	[RJ_COUNT_CONFIGS_REFUSED] = "configs_refused",
	[RJ_COUNT_PEER_MESSAGES] = "peer_messages",
};

/* Finaliser of splitmix64: every input bit affects every output bit. */
static uint64_t mix64(uint64_t x)
{
	x ^= x >> 30;
	x *= 0xbf58476d1ce4e5b9ULL;
	x ^= x >> 27;
	x *= 0x94d049bb133111ebULL;
	x ^= x >> 31;
	return x;
}

/*
 * Hash `length` bytes with `seed`. The result is the same on every machine, so
 * that all instances agree on an owner. Not cryptographic: see rj_digest.
 */
uint64_t rj_hash64(const void *data, size_t length, uint64_t seed)
{
	const uint8_t *bytes = data;
	uint64_t hash = 0xcbf29ce484222325ULL ^ mix64(seed);

	for (size_t i = 0; i < length; i++) {
		hash ^= bytes[i];
		hash *= 0x100000001b3ULL;
	}
	return mix64(hash);
}

uint64_t rj_hash64_string(const char *text, uint64_t seed)
{
	return rj_hash64(text, strlen(text), seed);
}

/*
 * Advance the splitmix64 generator `*state` and return its next number.
 */
uint64_t rj_random64(uint64_t *state)
{
	*state += 0x9e3779b97f4a7c15ULL;
	return mix64(*state);
}

/*
 * Cryptographic digest of `count` parts. The length of each part is included,
 * so that different lists of parts with the same concatenation differ.
 */
void rj_digest(uint8_t digest[RJ_DIGEST_BYTES], const struct rj_bytes *parts,
	       uint32_t count)
{
	crypto_generichash_state state;

	crypto_generichash_init(&state, NULL, 0, RJ_DIGEST_BYTES);
	for (uint32_t i = 0; i < count; i++) {
		uint32_t length = parts[i].length;

		crypto_generichash_update(&state, (const uint8_t *)&length,
					  sizeof(length));
		if (length)
			crypto_generichash_update(&state, parts[i].data,
						  length);
	}
	crypto_generichash_final(&state, digest, RJ_DIGEST_BYTES);
}

/*
 * Copy `text` to `name`. Returns 0, or -1 if it is empty or does not fit;
 * `name` is then empty.
 */
int rj_name_set(char name[RJ_NAME_BYTES], const char *text)
{
	size_t length = strlen(text);

	memset(name, 0, RJ_NAME_BYTES);
	if (!length || length >= RJ_NAME_BYTES)
		return -1;
	memcpy(name, text, length);
	return 0;
}

/* Whether a text ends like a shortened name: the mark and a digest. */
static bool has_name_digest(const char *text, size_t length)
{
	const char *digest = text + length - NAME_DIGEST_CHARS;

	return length > NAME_DIGEST_CHARS && digest[-1] == NAME_DIGEST_MARK &&
	       strspn(digest, "0123456789abcdef") == NAME_DIGEST_CHARS;
}

/* Returns the length of the longest start of `text` that has at most `max` bytes
 * and does not end within a character. */
static size_t start_length(const char *text, size_t max)
{
	while (max && ((uint8_t)text[max] & 0xc0) == 0x80)
		max--;
	return max;
}

/*
 * Copies `text` to `name`. Of a text that does not fit, `name` is the start and
 * a digest, so that different texts remain different names; so it is of a text
 * that looks like such a name. An empty text gives an empty name.
 */
void rj_name_shorten(char name[RJ_NAME_BYTES], const char *text)
{
	size_t length = strlen(text);
	struct rj_bytes bytes = { (const uint8_t *)text, (uint32_t)length };
	uint8_t digest[RJ_DIGEST_BYTES];
	char hex[NAME_DIGEST_CHARS + 1];

	memset(name, 0, RJ_NAME_BYTES);
	if (length < RJ_NAME_BYTES && !has_name_digest(text, length)) {
		memcpy(name, text, length);
		return;
	}
	rj_digest(digest, &bytes, 1);
	sodium_bin2hex(hex, sizeof(hex), digest, sizeof(digest));
	length = start_length(
		text, length < NAME_START_BYTES ? length : NAME_START_BYTES);
	memcpy(name, text, length);
	name[length] = NAME_DIGEST_MARK;
	memcpy(name + length + 1, hex, sizeof(hex));
}

/*
 * Whether `want` is at most `have` in every resource.
 */
bool rj_resources_fit(const struct rj_resources *want,
		      const struct rj_resources *have)
{
	return want->slots <= have->slots &&
	       want->accelerators <= have->accelerators &&
	       want->cores <= have->cores && want->memory_mb <= have->memory_mb;
}

/*
 * Add `part`, multiplied by `times`, to `sum`.
 */
void rj_resources_add(struct rj_resources *sum, const struct rj_resources *part,
		      uint32_t times)
{
	sum->slots += part->slots * times;
	sum->accelerators += part->accelerators * times;
	sum->cores += part->cores * times;
	sum->memory_mb += part->memory_mb * times;
}

/*
 * Subtract `part`, multiplied by `times`, from `have`, which must be at least
 * that much.
 */
void rj_resources_subtract(struct rj_resources *have,
			   const struct rj_resources *part, uint32_t times)
{
	assert(have->slots >= part->slots * times);
	assert(have->accelerators >= part->accelerators * times);
	assert(have->cores >= part->cores * times);
	assert(have->memory_mb >= part->memory_mb * times);
	have->slots -= part->slots * times;
	have->accelerators -= part->accelerators * times;
	have->cores -= part->cores * times;
	have->memory_mb -= part->memory_mb * times;
}
