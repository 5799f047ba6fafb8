#include "instances.h"

#include <stdio.h>
#include <string.h>

#include "http.h"

#define STATUS_TIMEOUT_MS 5000

/*
 * Ask every instance in turn; `statuses` has room for all of them.
 */
void instances_status(const struct targets *targets,
		      struct instance_status *statuses)
{
	for (uint32_t i = 0; i < targets->count; i++) {
		struct http_call call = { .method = "GET",
					  .address = targets->instances[i],
					  .path = "/v1/status",
					  .timeout_ms = STATUS_TIMEOUT_MS };
		struct http_answer answer;

		http_call(&call, &answer);
		memset(&statuses[i], 0, sizeof(statuses[i]));
		if (json_is_object(answer.json)) {
			statuses[i].json = answer.json;
			continue;
		}
		snprintf(statuses[i].detail, sizeof(statuses[i].detail), "%s",
			 answer.outcome == HTTP_ANSWERED ?
				 "its answer is no status" :
				 answer.detail);
		json_decref(answer.json);
	}
}

/*
 * Give the answers back.
 */
void instances_status_finish(struct instance_status *statuses, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		json_decref(statuses[i].json);
}

/*
 * The revision in force at an instance; 0 for none, or without an answer.
 */
uint64_t instance_revision(const struct instance_status *status)
{
	return (uint64_t)json_integer_value(
		json_object_get(status->json, "revision"));
}
