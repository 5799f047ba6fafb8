/*
 * One stream of the platform stand-in: records with consecutive offsets, of
 * which the oldest expire after the retention time.
 */
#ifndef RADISHJUNCTION_STANDIN_STREAM_H
#define RADISHJUNCTION_STANDIN_STREAM_H

#include "private/platform_wire.h"

struct rj_standin_record {
	char *text;
	uint64_t appended_at_us; /* time of the append */
};

struct rj_standin_stream {
	uint64_t oldest; /* offset of the oldest record still kept */
	uint64_t head; /* one past the newest offset */
	struct rj_standin_record *records; /* talloc array */
	uint32_t first; /* index of the oldest record */
	uint32_t capacity;
};

struct rj_standin_stream *rj_standin_stream_new(void *mem);
void rj_standin_stream_append(struct rj_standin_stream *stream,
			      const char *text, uint64_t now_us);
void rj_standin_stream_expire(struct rj_standin_stream *stream,
			      uint64_t before_us);
void rj_standin_stream_read(const struct rj_standin_stream *stream, void *mem,
			    uint64_t from, uint64_t max, uint64_t now_us,
			    struct rj_log_page *page);

#endif
