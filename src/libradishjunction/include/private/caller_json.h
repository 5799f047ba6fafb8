/*
 * JSON of the caller API: submissions and answers. Stateless.
 */
#ifndef RADISHJUNCTION_PRIVATE_CALLER_JSON_H
#define RADISHJUNCTION_PRIVATE_CALLER_JSON_H

#include "radishjunction/error.h"
#include "radishjunction/types.h"

/* Sixteen hexadecimal digits and the terminating zero. */
#define RJ_JOB_ID_BYTES 17

int rj_caller_parse_submit(void *mem, const char *text,
			   struct rj_job_spec *spec,
			   struct rj_error_list *errors);
int rj_caller_parse_job_id(uint64_t *job_id, const char *text);
unsigned int rj_caller_http_status(const struct rj_answer *answer);
char *rj_caller_answer_text(const struct rj_answer *answer,
			    const struct rj_error_list *errors);

#endif
