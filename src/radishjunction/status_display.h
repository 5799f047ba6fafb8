/*
 * Terminal display of the whole system, from the status of each instance.
 */
#ifndef STATUS_DISPLAY_H
#define STATUS_DISPLAY_H

#include <stdio.h>

#include "instance_status.h"

void status_print(FILE *out, const struct targets *targets,
		  const struct instance_status *statuses);

#endif
