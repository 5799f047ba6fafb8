/*
 * Blocking client of the config stream in the platform's log; the protocol is
 * in docs/PLATFORM-PROTOCOL.md.
 *
 * Life cycle: `stream_init` on the caller's memory, `stream_read` for each page
 * of the stream, `stream_finish`.
 */
#ifndef STREAM_H
#define STREAM_H

#include "http.h"
#include "radishjunction/config_log.h"

struct stream {
	struct rj_address platform;
	struct rj_config_log log;
	uint64_t head; /* one past the newest offset, as of the last read */
	const char *awaited_id; /* publication to look for, or NULL */
	bool found; /* whether the awaited publication was read */
	enum rj_config_verdict verdict; /* on the awaited publication */
	char winner_id[RJ_CONFIG_ID_BYTES]; /* newest accepted publication */
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
