/*
 * An in-memory `config` stream for tests of its replay. Operators and instances
 * append records, and the oldest ones may have been trimmed.
 */
#ifndef SUPPORT_CONFIG_STREAM_H
#define SUPPORT_CONFIG_STREAM_H

#include "radishjunction/config_log.h"

#define CONFIG_STREAM_MAX 4096

struct config_stream {
	void *mem; /* owns what the records point to */
	struct rj_record records[CONFIG_STREAM_MAX];
	uint64_t head;
	uint64_t oldest; /* earlier records are trimmed */
};

struct config_stream *config_stream_new(void);
void config_stream_free(struct config_stream *stream);
struct rj_record *config_stream_append(struct config_stream *stream);
struct rj_record *config_stream_publish(struct config_stream *stream,
					const char *id, uint64_t base,
					const char *text);
struct rj_record *config_stream_change(struct config_stream *stream,
				       const char *id, uint64_t base,
				       const char *base_text, const char *text);
void config_stream_carry(struct config_stream *stream,
			 const struct rj_config_log *log);
enum rj_config_verdict config_stream_read(const struct config_stream *stream,
					  struct rj_config_log *log,
					  uint32_t limit);
char *config_stream_text(void *mem, uint32_t open_max);

#endif
