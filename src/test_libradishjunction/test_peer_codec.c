#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "private/peer_codec.h"
#include "support/peer_frames.h"

#define FUZZ_ITERATIONS 20000
/* Far more than a frame needs, far less than the announced array. */
#define GROWTH_MAX_KB (64 * 1024)

static void test_round_trip(void)
{
	for (uint32_t kind = 0; kind < RJ_PEER_MESSAGE_KIND_COUNT; kind++) {
		void *mem = talloc_new(NULL);
		struct rj_peer_message sent;
		struct rj_peer_message decoded;
		struct rj_bytes first;
		struct rj_bytes second;

		peer_frames_fill(&sent, kind);
		first = rj_peer_encode(mem, &sent);
		g_assert_cmpint(rj_peer_decode(mem, first, &decoded, NULL), ==,
				0);
		second = rj_peer_encode(mem, &decoded);
		g_assert_cmpmem(first.data, first.length, second.data,
				second.length);
		talloc_free(mem);
	}
}

/*
 * A reader must ignore fields that a newer version appends to a message. An
 * older instance that refuses the frame closes the link, and forwarded jobs
 * fail during a rolling replacement.
 */
static void test_fields_of_a_newer_version_are_ignored(void)
{
	void *mem = talloc_new(NULL);
	struct rj_peer_message sent;
	struct rj_peer_message decoded;
	struct rj_bytes bytes;
	uint8_t *longer;

	peer_frames_fill(&sent, RJ_PEER_FORWARD);
	bytes = rj_peer_encode(mem, &sent);
	longer = talloc_size(mem, bytes.length + 3);
	memcpy(longer, bytes.data, bytes.length);
	memcpy(longer + bytes.length, "\x92\x01\x02", 3);
	bytes = (struct rj_bytes){ longer, bytes.length + 3 };
	g_assert_cmpint(rj_peer_decode(mem, bytes, &decoded, NULL), ==, 0);
	g_assert_cmpuint(decoded.u.forward.spec.job_id, ==, 77);
	talloc_free(mem);
}

/*
 * A heartbeat of an older version ends early; missing fields read as not set.
 */
static void test_older_heartbeat_is_read(void)
{
	void *mem = talloc_new(NULL);
	struct rj_peer_message message;
	struct rj_error err = { 0 };
	struct rj_bytes bytes;

	bytes = peer_frames_recorded(mem, RJ_PEER_HEARTBEAT);
	g_assert_cmpint(rj_peer_decode(mem, bytes, &message, &err), ==, 0);
	g_assert_cmpuint(message.u.heartbeat.queued, ==, 9);
	g_assert_cmpuint(message.u.heartbeat.wait_us, ==, 1ULL << 40);
	g_assert_cmpuint(message.u.heartbeat.log_from, ==, UINT64_MAX);
	g_assert_cmpuint(message.u.heartbeat.log_next, ==, 0);
	g_assert_cmpuint(message.u.heartbeat.sent, ==, 0);
	talloc_free(mem);
}

/*
 * A cancellation of an older version ends before the fields of a reclaim. A
 * newer reader that requires them ends the link during a rolling replacement.
 */
static void test_message_of_an_older_version_is_read(void)
{
	void *mem = talloc_new(NULL);
	struct rj_peer_message decoded;
	struct rj_bytes bytes = peer_frames_recorded(mem, RJ_PEER_CANCEL);

	g_assert_cmpint(rj_peer_decode(mem, bytes, &decoded, NULL), ==, 0);
	g_assert_cmpuint(decoded.u.cancel.forward_id, ==, 12);
	g_assert_cmpuint(decoded.u.cancel.job_id, ==, 77);
	g_assert_cmpuint(decoded.u.cancel.reclaim_owner, ==, 0);
	talloc_free(mem);
}

/*
 * Every truncated frame of every kind is malformed and the error names a field,
 * except where a message of an older version ends.
 */
static void test_cut_frames_are_malformed(void)
{
	for (uint32_t kind = 0; kind < RJ_PEER_MESSAGE_KIND_COUNT; kind++) {
		void *mem = talloc_new(NULL);
		struct rj_peer_message message;
		struct rj_bytes bytes;
		uint32_t older = peer_frames_recorded(mem, kind).length;
		uint32_t whole;

		peer_frames_fill(&message, kind);
		bytes = rj_peer_encode(mem, &message);
		whole = bytes.length;
		for (bytes.length = 0; bytes.length < whole; bytes.length++) {
			struct rj_error err = { 0 };

			if (bytes.length == older)
				continue;
			g_assert_cmpint(
				rj_peer_decode(mem, bytes, &message, &err), ==,
				-1);
			g_assert_cmpint(err.kind, ==, RJ_ERR_MALFORMED);
		}
		talloc_free(mem);
	}
}

/* Returns the peak address space of this process in KB. */
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
 * An announced array length must be checked before memory is allocated. A frame
 * of five bytes that announces 2^28 values must not make an instance grow by
 * gigabytes.
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

/* A corrupted frame is refused, or decodes to values within their bounds. */
static void test_corrupted_frames_stay_within_bounds(void)
{
	uint64_t random = 4;
	uint32_t accepted = 0;

	for (uint32_t iteration = 0; iteration < FUZZ_ITERATIONS; iteration++) {
		void *mem = talloc_new(NULL);
		struct rj_peer_message message;
		struct rj_peer_hello hello;
		struct rj_bytes bytes;
		uint8_t *data;

		peer_frames_fill(&message, rj_random64(&random) %
						   RJ_PEER_MESSAGE_KIND_COUNT);
		bytes = rj_peer_encode(mem, &message);
		data = talloc_memdup(mem, bytes.data, bytes.length);
		for (uint32_t i = 0; i <= iteration % 4; i++)
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
	g_assert_cmpuint(accepted, <, FUZZ_ITERATIONS);
}

/*
 * The layout of a version must not change. An instance with a new field in the
 * middle of the heartbeat and one without it take each other's frames for
 * malformed and close the link again and again if two layouts have one version.
 */
static void test_recorded_frames_are_supported(void)
{
	for (uint32_t kind = 0; kind < RJ_PEER_MESSAGE_KIND_COUNT; kind++) {
		void *mem = talloc_new(NULL);
		struct rj_peer_message filled;
		struct rj_peer_message decoded;
		struct rj_bytes recorded = peer_frames_recorded(mem, kind);
		struct rj_bytes written;

		peer_frames_fill(&filled, kind);
		written = rj_peer_encode(mem, &filled);
		g_assert_cmpuint(written.length, >=, recorded.length);
		g_assert_cmpmem(written.data, recorded.length, recorded.data,
				recorded.length);
		g_assert_cmpint(rj_peer_decode(mem, recorded, &decoded, NULL),
				==, 0);
		g_assert_false(kind == RJ_PEER_HEARTBEAT &&
			       decoded.u.heartbeat.config_changes);
		g_assert_false(kind == RJ_PEER_CONFIG &&
			       decoded.u.config.change.patch);
		written = rj_peer_encode(mem, &decoded);
		g_assert_cmpmem(written.data, recorded.length, recorded.data,
				recorded.length);
		talloc_free(mem);
	}
}

static void test_recorded_hello_is_supported(void)
{
	struct rj_peer_hello sent = PEER_FRAMES_HELLO;
	struct rj_peer_hello decoded;
	void *mem = talloc_new(NULL);
	struct rj_bytes recorded = peer_frames_recorded_hello(mem);
	struct rj_bytes written = rj_peer_hello_encode(mem, &sent);

	g_assert_cmpuint(written.length, >=, recorded.length);
	g_assert_cmpmem(written.data, recorded.length, recorded.data,
			recorded.length);
	g_assert_cmpint(rj_peer_hello_decode(recorded, &decoded, NULL), ==, 0);
	g_assert_cmpmem(&sent, sizeof(sent), &decoded, sizeof(decoded));
	talloc_free(mem);
}

static void test_hello(void)
{
	struct rj_peer_hello sent = { 2, 1, "a", "lhr-dha", 9, { 1, 2 } };
	struct rj_peer_hello decoded;
	struct rj_bytes bytes = rj_peer_hello_encode(NULL, &sent);

	g_assert_cmpint(rj_peer_hello_decode(bytes, &decoded, NULL), ==, 0);
	g_assert_cmpmem(&sent, sizeof(sent), &decoded, sizeof(decoded));
	bytes.length--;
	g_assert_cmpint(rj_peer_hello_decode(bytes, &decoded, NULL), ==, -1);
	talloc_free((void *)bytes.data);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/peer_codec/round_trip", test_round_trip);
	g_test_add_func("/peer_codec/newer",
			test_fields_of_a_newer_version_are_ignored);
	g_test_add_func("/peer_codec/older",
			test_message_of_an_older_version_is_read);
	g_test_add_func("/peer_codec/recorded",
			test_recorded_frames_are_supported);
	g_test_add_func("/peer_codec/recorded_hello",
			test_recorded_hello_is_supported);
	g_test_add_func("/peer_codec/cut", test_cut_frames_are_malformed);
	g_test_add_func("/peer_codec/older_heartbeat",
			test_older_heartbeat_is_read);
	g_test_add_func("/peer_codec/array", test_announced_arrays_are_refused);
	g_test_add_func("/peer_codec/fuzz",
			test_corrupted_frames_stay_within_bounds);
	g_test_add_func("/peer_codec/hello", test_hello);
	return g_test_run();
}
