/*
 * JSON encoding of the platform protocol (docs/PLATFORM-PROTOCOL.md), for both
 * of its ends.
 *
 * Encoders return text that is a talloc child of `mem`; decoders fill a
 * caller-provided struct whose texts and lists are talloc children of `mem`.
 */
#ifndef RADISHJUNCTION_PRIVATE_PLATFORM_WIRE_H
#define RADISHJUNCTION_PRIVATE_PLATFORM_WIRE_H

#include "radishjunction/event.h"

/* Maximum number of records in the answer to one read. */
#define RJ_LOG_PAGE_MAX 1000
/* Maximum number of instances in one list. */
#define RJ_INSTANCES_MAX 32768

struct rj_log_entry {
	uint64_t offset;
	uint64_t age_ms;
	const char *text;
};

struct rj_instance_name {
	char name[RJ_NAME_BYTES];
};

/* The platform's answer to a query of the list of instances. */
struct rj_instances_answer {
	uint64_t version; /* of the current list; 0: the list has none */
	uint64_t since; /* base version of the changes; 0: full list */
	bool unchanged; /* the list still has the queried version */
	uint32_t total; /* with `since`: length of the current list */
	struct rj_instance *instances;
	uint32_t count;
	struct rj_instance_name *gone; /* with `since`: no longer listed */
	uint32_t gone_count;
};

/* The answer to a read. */
struct rj_log_page {
	uint64_t oldest; /* lowest offset that can be read */
	uint64_t from; /* offset of the first record */
	uint64_t next; /* one past the last record */
	uint64_t head; /* one past the newest offset of the stream */
	struct rj_log_entry *records;
	uint32_t count;
};

char *rj_log_page_encode(void *mem, const struct rj_log_page *page);
int rj_log_page_decode(void *mem, const char *text, struct rj_log_page *page,
		       struct rj_error *err);
char *rj_append_answer_encode(void *mem, uint64_t first_offset);
int rj_append_answer_decode(const char *text, uint64_t *first_offset,
			    struct rj_error *err);
char *rj_instance_encode(void *mem, const struct rj_instance *instance);
int rj_instance_decode(const char *text, struct rj_instance *instance,
		       struct rj_error *err);
char *rj_instances_encode(void *mem, const struct rj_instance *instances,
			  uint32_t count, uint64_t known);
uint64_t rj_instances_version(const struct rj_instance *instances,
			      uint32_t count);
char *rj_instances_encode_changes(void *mem,
				  const struct rj_instances_answer *answer);
int rj_instances_decode(void *mem, const char *text,
			struct rj_instances_answer *answer,
			struct rj_error *err);

#endif
