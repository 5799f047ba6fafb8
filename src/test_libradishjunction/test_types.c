#include <glib.h>
#include <string.h>

#include "radishjunction/config_log.h"
#include "radishjunction/core.h"
#include "radishjunction/http_workers.h"
#include "radishjunction/types.h"

/* Every enum value must have a string, or "(null)" is logged for it. */
static void check_table(const char *const *strings, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		g_assert_nonnull(strings[i]);
		for (uint32_t j = 0; j < i; j++)
			g_assert_cmpstr(strings[i], !=, strings[j]);
	}
}

static void test_every_enum_has_its_strings(void)
{
	check_table(rj_reason_string, RJ_REASON_COUNT);
	check_table(rj_answer_kind_string, RJ_ANSWER_KIND_COUNT);
	check_table(rj_event_kind_string, RJ_EVENT_KIND_COUNT);
	check_table(rj_action_kind_string, RJ_ACTION_KIND_COUNT);
	check_table(rj_worker_op_string, RJ_WORKER_OP_COUNT);
	check_table(rj_task_state_string, RJ_TASK_STATE_COUNT);
	check_table(rj_record_kind_string, RJ_RECORD_KIND_COUNT);
	check_table(rj_peer_message_kind_string, RJ_PEER_MESSAGE_KIND_COUNT);
	check_table(rj_decision_event_string, RJ_LOG_EVENT_COUNT);
	check_table(rj_counter_string, RJ_COUNT_COUNT);
	check_table(rj_error_kind_string, RJ_ERR_KIND_COUNT);
	check_table(rj_append_status_string, RJ_APPEND_STATUS_COUNT);
	check_table(rj_reply_status_string, RJ_REPLY_STATUS_COUNT);
	check_table(rj_request_op_string, RJ_REQUEST_OP_COUNT);
	check_table(rj_decision_kind_string, RJ_DECISION_KIND_COUNT);
	check_table(rj_instance_role_string, RJ_ROLE_COUNT);
	check_table(rj_priority_string, RJ_PRIORITY_COUNT);
	check_table(rj_stream_string, RJ_STREAM_COUNT);
	check_table(rj_worker_pool_string, RJ_WORKER_POOL_COUNT);
	check_table(rj_config_verdict_string, RJ_CONFIG_VERDICT_COUNT);
}

/*
 * The digest must separate key and body: key "ab" with body "c" must differ
 * from key "a" with body "bc".
 */
static void test_digest_tells_parts_apart(void)
{
	struct rj_bytes one[] = { { (const uint8_t *)"ab", 2 },
				  { (const uint8_t *)"c", 1 } };
	struct rj_bytes two[] = { { (const uint8_t *)"a", 1 },
				  { (const uint8_t *)"bc", 2 } };
	uint8_t first[RJ_DIGEST_BYTES];
	uint8_t second[RJ_DIGEST_BYTES];

	rj_digest(first, one, 2);
	rj_digest(second, two, 2);
	g_assert_cmpint(memcmp(first, second, sizeof(first)), !=, 0);
}

static void test_name_refuses_what_does_not_fit(void)
{
	char name[RJ_NAME_BYTES];
	char longer[RJ_NAME_BYTES + 1];

	memset(longer, 'x', sizeof(longer) - 1);
	longer[sizeof(longer) - 1] = 0;
	g_assert_cmpint(rj_name_set(name, "lhr-johar"), ==, 0);
	g_assert_cmpstr(name, ==, "lhr-johar");
	g_assert_cmpint(rj_name_set(name, longer), ==, -1);
	g_assert_cmpint(rj_name_set(name, ""), ==, -1);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/types/strings", test_every_enum_has_its_strings);
	g_test_add_func("/types/digest", test_digest_tells_parts_apart);
	g_test_add_func("/types/name", test_name_refuses_what_does_not_fit);
	return g_test_run();
}
