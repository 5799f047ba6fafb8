#include "support/peer_frames.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

#define RECORDED "/src/test_libradishjunction/golden/peer_frames_v1.txt"

static const uint8_t body[] = { 0x00, 0xff, 'x', 0x93 };

/*
 * Fills in a message of `kind` with every field non-zero. The recorded frames
 * encode these values; give a new field a value of its own.
 */
void peer_frames_fill(struct rj_peer_message *message,
		      enum rj_peer_message_kind kind)
{
	memset(message, 0, sizeof(*message));
	message->kind = kind;
	switch (kind) {
	case RJ_PEER_HEARTBEAT:
		message->u.heartbeat = (struct rj_peer_heartbeat){
			"lhr-dha",  UINT64_MAX, true,	    true, true, 7,   9,
			1ULL << 40, 12,		UINT64_MAX, 4,	  1,	true
		};
		break;
	case RJ_PEER_SUMMARY:
		message->u.summary = (struct rj_peer_summary){
			"caxias", 3, 5,
			11,	  2, { { 8, 8, 64, 131072 }, { 1, 2, 3, 4 } }
		};
		break;
	case RJ_PEER_CONFIG:
		message->u.config = (struct rj_peer_config){
			4, 17, "id-1", "{}", { "[]", { 1, 2, 3 } }
		};
		break;
	case RJ_PEER_LEAVING:
		message->u.leaving = (struct rj_peer_leaving){ "w-1", 99 };
		break;
	case RJ_PEER_FORWARD:
		message->u.forward.forward_id = 12;
		message->u.forward.hops = 1;
		message->u.forward.other_domain = true;
		message->u.forward.spec = (struct rj_job_spec){
			.job_id = 77,
			.account = "studio",
			.class_name = "quote",
			.key = "k-1",
			.digest = { 1, 2, 3 },
			.shape = { 2, { 1, 4, 8, 1024 }, true },
			.declared_us = 5,
			.deadline_in_us = 6,
			.wait = true,
			.body = { body, sizeof(body) },
		};
		break;
	case RJ_PEER_FORWARD_ANSWER:
		message->u.forward_answer.forward_id = 12;
		message->u.forward_answer.answer = (struct rj_answer){
			RJ_ANSWER_NOT_RUN,
			RJ_REASON_QUEUE_FULL,
			77,
			1000,
			{ body, sizeof(body) },
			"queue: full; come back",
		};
		break;
	case RJ_PEER_CANCEL:
		message->u.cancel =
			(struct rj_peer_cancel){ 12, 77, 10001, 3, 2000000 };
		break;
	case RJ_PEER_MESSAGE_KIND_COUNT:
		g_assert_not_reached();
	}
}

/* Returns the bytes of the line that begins with `name`, as a talloc child of
 * `mem`. */
static struct rj_bytes recorded(void *mem, const char *name)
{
	g_autofree char *text = NULL;
	g_autofree char *start = g_strdup_printf("\n%s ", name);
	struct rj_bytes bytes = { NULL, 0 };
	const char *digits;
	uint8_t *data;

	g_assert_true(
		g_file_get_contents(RJ_SOURCE_DIR RECORDED, &text, NULL, NULL));
	digits = strstr(text, start);
	g_assert_nonnull(digits);
	digits += strlen(start);
	bytes.length = (uint32_t)strcspn(digits, "\n") / 2;
	data = talloc_size(mem, bytes.length);
	for (uint32_t i = 0; i < bytes.length; i++, digits += 2)
		data[i] = (uint8_t)(g_ascii_xdigit_value(digits[0]) << 4 |
				    g_ascii_xdigit_value(digits[1]));
	bytes.data = data;
	return bytes;
}

/*
 * Returns the encoded message of `kind` from the oldest accepted version, as a
 * talloc child of `mem`.
 */
struct rj_bytes peer_frames_recorded(void *mem, enum rj_peer_message_kind kind)
{
	return recorded(mem, rj_peer_message_kind_string[kind]);
}

/*
 * Returns PEER_FRAMES_HELLO as encoded by the oldest accepted version, as a
 * talloc child of `mem`.
 */
struct rj_bytes peer_frames_recorded_hello(void *mem)
{
	return recorded(mem, "hello");
}
