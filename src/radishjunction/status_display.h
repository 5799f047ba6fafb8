/*
 * The picture of the whole system in a terminal, from what each instance
 * says.
 */
#ifndef PICTURE_H
#define PICTURE_H

#include <stdio.h>

#include "instance_status.h"

void status_print(FILE *out, const struct targets *targets,
		  const struct instance_status *statuses);

#endif
