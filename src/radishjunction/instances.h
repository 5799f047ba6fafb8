/*
 * What the entry instances say of themselves.
 */
#ifndef INSTANCES_H
#define INSTANCES_H

#include <jansson.h>

#include "targets.h"

/* One instance's answer to GET /v1/status or GET /v1/revision. */
struct instance_status {
	json_t *json; /* NULL when it gave no answer */
	char detail[128]; /* why not */
};

void instances_status(const struct targets *targets,
		      struct instance_status *statuses);
void instances_revision(const struct targets *targets,
			struct instance_status *statuses);
void instances_status_finish(struct instance_status *statuses, uint32_t count);
bool instance_takes_changes(const struct instance_status *status);
uint64_t instance_revision(const struct instance_status *status);

#endif
