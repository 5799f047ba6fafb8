#include "instance_status.h"

#include <stdio.h>
#include <string.h>

#include "http.h"

#define STATUS_TIMEOUT_MS 5000

/*
 * Requests the JSON object at `path` from one instance.
 */
static void request_status(const struct rj_address *instance, const char *path,
			   struct instance_status *status)
{
	struct http_call call = { .method = "GET",
				  .address = *instance,
				  .path = path,
				  .timeout_ms = STATUS_TIMEOUT_MS };
	struct http_answer answer;

	http_call(&call, &answer);
	memset(status, 0, sizeof(*status));
	if (json_is_object(answer.json)) {
		status->json = answer.json;
		return;
	}
	snprintf(status->detail, sizeof(status->detail), "%s",
		 answer.outcome == HTTP_ANSWERED ?
			 "its answer is not a status object" :
			 answer.detail);
	json_decref(answer.json);
}

/*
 * Requests the status of every instance in turn; `statuses` has an element for
 * each of them.
 */
void instances_get_status(const struct targets *targets,
			  struct instance_status *statuses)
{
	for (uint32_t i = 0; i < targets->count; i++)
		request_status(&targets->instances[i], "/v1/status",
			       &statuses[i]);
}

/*
 * Requests from every instance in turn only the configuration in force, as the
 * whole status lists every worker. An older version without this request is
 * asked for its status instead.
 */
void instances_get_revision(const struct targets *targets,
			    struct instance_status *statuses)
{
	for (uint32_t i = 0; i < targets->count; i++) {
		request_status(&targets->instances[i], "/v1/revision",
			       &statuses[i]);
		if (!statuses[i].json ||
		    json_object_get(statuses[i].json, "revision"))
			continue;
		json_decref(statuses[i].json);
		request_status(&targets->instances[i], "/v1/status",
			       &statuses[i]);
	}
}

/*
 * Whether an instance accepts publications that hold only the change. False
 * for an older version, which does not report this, and without an answer.
 */
bool instance_accepts_changes(const struct instance_status *status)
{
	return json_is_true(json_object_get(status->json, "config_changes"));
}

/*
 * Releases the JSON of the answers.
 */
void instances_release_status(struct instance_status *statuses, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		json_decref(statuses[i].json);
}

/*
 * Returns the revision in force at an instance; 0 if it has none or gave no
 * answer.
 */
uint64_t instance_revision(const struct instance_status *status)
{
	return (uint64_t)json_integer_value(
		json_object_get(status->json, "revision"));
}
