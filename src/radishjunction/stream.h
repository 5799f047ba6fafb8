/*
 * The platform's log as the command reads and writes it; the protocol is in
 * docs/PLATFORM-PROTOCOL.md.
 *
 * `stream_init` on the caller's memory, `stream_finish`; in between
 * `stream_read` folds one page of the config stream.
 */
#ifndef STREAM_H
#define STREAM_H

#include "http.h"
#include "radishjunction/config_log.h"

struct stream {
	struct rj_address platform;
	struct rj_config_log log;
	uint64_t head; /* one past the newest offset, at the last read */
	/* A publication that is looked for, and what became of it. */
	const char *awaited_id;
	bool found;
	enum rj_config_verdict verdict;
	char winner_id[RJ_CONFIG_ID_BYTES]; /* the newest accepted */
	char winner_author[RJ_NAME_BYTES];
};

void stream_init(struct stream *stream, void *mem,
		 const struct rj_address *platform);
int stream_read(struct stream *stream, struct rj_error *err);
int stream_read_all(struct stream *stream, struct rj_error *err);
enum http_outcome stream_append(const struct stream *stream,
				const struct rj_record *record,
				struct rj_error *err);
void stream_finish(struct stream *stream);

#endif
