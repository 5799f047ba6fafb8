#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "private/peer_codec.h"

#define FUZZ_ROUNDS 20000
/* Far more than a frame needs, far less than what the array announces. */
#define GROWTH_MAX_KB (64 * 1024)

static const uint8_t body[] = { 0x00, 0xff, 'x', 0x93 };

/* A message of each kind with no field left at zero. */
static void fill(struct rj_peer_message *message,
		 enum rj_peer_message_kind kind)
{
	memset(message, 0, sizeof(*message));
	message->kind = kind;
	switch (kind) {
	case RJ_PEER_HEARTBEAT:
		message->u.heartbeat = (struct rj_peer_heartbeat){
			"lhr-dha", UINT64_MAX, true,	   true, true,
			7,	   9,	       1ULL << 40, true
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
		message->u.cancel = (struct rj_peer_cancel){ 12, 77 };
		break;
	case RJ_PEER_MESSAGE_KIND_COUNT:
		g_assert_not_reached();
	}
}

static void test_round_trip(void)
{
	for (uint32_t kind = 0; kind < RJ_PEER_MESSAGE_KIND_COUNT; kind++) {
		void *mem = talloc_new(NULL);
		struct rj_peer_message sent;
		struct rj_peer_message got;
		struct rj_bytes first;
		struct rj_bytes second;

		fill(&sent, kind);
		first = rj_peer_encode(mem, &sent);
		g_assert_cmpint(rj_peer_decode(mem, first, &got, NULL), ==, 0);
		second = rj_peer_encode(mem, &got);
		g_assert_cmpmem(first.data, first.length, second.data,
				second.length);
		talloc_free(mem);
	}
}

/*
 * During a rolling replacement every forwarded job fails.
 * A new instance appends a field to a message; the old one, on the same
 * link, refuses the frame and closes the link.
 * Cause: the old reader wanted the frame to end after the last known field.
 */
static void test_fields_of_a_newer_version_are_ignored(void)
{
	void *mem = talloc_new(NULL);
	struct rj_peer_message sent;
	struct rj_peer_message got;
	struct rj_bytes bytes;
	uint8_t *longer;

	fill(&sent, RJ_PEER_FORWARD);
	bytes = rj_peer_encode(mem, &sent);
	longer = talloc_size(mem, bytes.length + 3);
	memcpy(longer, bytes.data, bytes.length);
	memcpy(longer + bytes.length, "\x92\x01\x02", 3);
	bytes = (struct rj_bytes){ longer, bytes.length + 3 };
	g_assert_cmpint(rj_peer_decode(mem, bytes, &got, NULL), ==, 0);
	g_assert_cmpuint(got.u.forward.spec.job_id, ==, 77);
	talloc_free(mem);
}

/* The length of what a version without the newest fields sends. */
static uint32_t earlier_length(void *mem, struct rj_peer_message message)
{
	if (message.kind == RJ_PEER_HEARTBEAT)
		message.u.heartbeat.config_changes = false;
	if (message.kind == RJ_PEER_CONFIG)
		message.u.config.change.patch = NULL;
	return rj_peer_encode(mem, &message).length;
}

/*
 * During a rolling replacement no instance hears another.
 * A new instance reads the heartbeat of an old one, which ends before the
 * field that the new version added, and closes the link.
 * Cause: the new field was not optional.
 */
static void test_frames_of_an_older_version_are_read(void)
{
	for (uint32_t kind = 0; kind < RJ_PEER_MESSAGE_KIND_COUNT; kind++) {
		void *mem = talloc_new(NULL);
		struct rj_peer_message message;
		struct rj_bytes bytes;

		fill(&message, kind);
		bytes = rj_peer_encode(mem, &message);
		bytes.length = earlier_length(mem, message);
		g_assert_cmpint(rj_peer_decode(mem, bytes, &message, NULL), ==,
				0);
		if (kind == RJ_PEER_HEARTBEAT) {
			g_assert_cmpuint(message.u.heartbeat.wait_us, ==,
					 1ULL << 40);
			g_assert_false(message.u.heartbeat.config_changes);
		}
		if (kind == RJ_PEER_CONFIG) {
			g_assert_cmpstr(message.u.config.text, ==, "{}");
			g_assert_null(message.u.config.change.patch);
		}
		talloc_free(mem);
	}
}

/* Every cut of every kind names a field and is malformed, but for the one
 * that an older version sends. */
static void test_cut_frames_are_malformed(void)
{
	for (uint32_t kind = 0; kind < RJ_PEER_MESSAGE_KIND_COUNT; kind++) {
		void *mem = talloc_new(NULL);
		struct rj_peer_message message;
		struct rj_bytes bytes;
		uint32_t earlier;
		uint32_t whole;

		fill(&message, kind);
		bytes = rj_peer_encode(mem, &message);
		whole = bytes.length;
		earlier = earlier_length(mem, message);
		for (bytes.length = 0; bytes.length < whole; bytes.length++) {
			struct rj_error err = { 0 };

			if (bytes.length == earlier)
				continue;

			g_assert_cmpint(
				rj_peer_decode(mem, bytes, &message, &err), ==,
				-1);
			g_assert_cmpint(err.kind, ==, RJ_ERR_MALFORMED);
		}
		talloc_free(mem);
	}
}

/* The most address space that this process ever had, in KB. */
static uint64_t peak_kb(void)
{
	g_autofree char *status = NULL;
	const char *line;

	g_assert_true(
		g_file_get_contents("/proc/self/status", &status, NULL, NULL));
	line = strstr(status, "VmPeak:");
	g_assert_nonnull(line);
	return strtoull(line + strlen("VmPeak:"), NULL, 10);
}

/*
 * An instance grows by gigabytes and is killed.
 * A peer sends five bytes that announce an array of 2^28 values.
 * Cause: the unpacker makes room for what is announced, before it looks.
 */
static void test_announced_arrays_are_refused(void)
{
	static const uint8_t frame[] = { 0xdd, 0x10, 0x00, 0x00, 0x00 };
	struct rj_peer_message message;
	struct rj_error err = { 0 };
	struct rj_bytes bytes = { frame, sizeof(frame) };
	uint64_t before_kb = peak_kb();

	g_assert_cmpint(rj_peer_decode(NULL, bytes, &message, &err), ==, -1);
	g_assert_cmpint(err.kind, ==, RJ_ERR_MALFORMED);
	g_assert_cmpuint(peak_kb() - before_kb, <, GROWTH_MAX_KB);
}

/* Whatever the bytes are, what is accepted is within its bounds. */
static void test_changed_bytes_do_no_harm(void)
{
	uint64_t random = 4;
	uint32_t accepted = 0;

	for (uint32_t round = 0; round < FUZZ_ROUNDS; round++) {
		void *mem = talloc_new(NULL);
		struct rj_peer_message message;
		struct rj_peer_hello hello;
		struct rj_bytes bytes;
		uint8_t *data;

		fill(&message,
		     rj_random64(&random) % RJ_PEER_MESSAGE_KIND_COUNT);
		bytes = rj_peer_encode(mem, &message);
		data = talloc_memdup(mem, bytes.data, bytes.length);
		for (uint32_t i = 0; i <= round % 4; i++)
			data[rj_random64(&random) % bytes.length] =
				(uint8_t)rj_random64(&random);
		bytes.data = data;
		rj_peer_hello_decode(bytes, &hello, NULL);
		if (!rj_peer_decode(mem, bytes, &message, NULL)) {
			rj_peer_encode(mem, &message);
			accepted++;
		}
		talloc_free(mem);
	}
	g_assert_cmpuint(accepted, >, 0);
	g_assert_cmpuint(accepted, <, FUZZ_ROUNDS);
}

static void test_hello(void)
{
	struct rj_peer_hello sent = { 2, 1, "a", "lhr-dha", 9, { 1, 2 } };
	struct rj_peer_hello got;
	struct rj_bytes bytes = rj_peer_hello_encode(NULL, &sent);

	g_assert_cmpint(rj_peer_hello_decode(bytes, &got, NULL), ==, 0);
	g_assert_cmpmem(&sent, sizeof(sent), &got, sizeof(got));
	bytes.length--;
	g_assert_cmpint(rj_peer_hello_decode(bytes, &got, NULL), ==, -1);
	talloc_free((void *)bytes.data);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/peer_codec/round_trip", test_round_trip);
	g_test_add_func("/peer_codec/newer",
			test_fields_of_a_newer_version_are_ignored);
	g_test_add_func("/peer_codec/older",
			test_frames_of_an_older_version_are_read);
	g_test_add_func("/peer_codec/cut", test_cut_frames_are_malformed);
	g_test_add_func("/peer_codec/array", test_announced_arrays_are_refused);
	g_test_add_func("/peer_codec/fuzz", test_changed_bytes_do_no_harm);
	g_test_add_func("/peer_codec/hello", test_hello);
	return g_test_run();
}
