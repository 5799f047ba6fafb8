/*
 * Status and configuration revision as reported by the entry instances.
 */
#ifndef INSTANCE_STATUS_H
#define INSTANCE_STATUS_H

#include <jansson.h>

#include "targets.h"

/* One instance's answer to GET /v1/status or GET /v1/revision. */
struct instance_status {
	json_t *json; /* NULL without an answer */
	char detail[128]; /* error text, without an answer */
};

void instances_get_status(const struct targets *targets,
			  struct instance_status *statuses);
void instances_get_revision(const struct targets *targets,
			    struct instance_status *statuses);
void instances_release_status(struct instance_status *statuses, uint32_t count);
bool instance_accepts_changes(const struct instance_status *status);
uint64_t instance_revision(const struct instance_status *status);

#endif
