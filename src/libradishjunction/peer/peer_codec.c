#include "private/peer_codec.h"

#include <assert.h>
#include <msgpack.h>
#include <string.h>
#include <talloc.h>

/* Opens each hello, so that a stray connection is told at once. */
#define HELLO_MAGIC "radishjunction"
/* A published configuration fits one frame; see RJ_FRAME_MAX_BYTES. */
#define CONFIG_TEXT_MAX_BYTES (480 * 1024)
/* More would hide a loop between failure domains. */
#define HOPS_MAX 16

struct writer {
	msgpack_sbuffer buffer;
	msgpack_packer packer;
};

/* Reads scalars in order; after the first error it reads only zeros. */
struct reader {
	const char *data;
	size_t length;
	size_t offset;
	const char *bad; /* the field that could not be read */
	msgpack_unpacked unpacked;
};

/* Start writing into an empty buffer. */
static void writer_init(struct writer *writer)
{
	msgpack_sbuffer_init(&writer->buffer);
	msgpack_packer_init(&writer->packer, &writer->buffer,
			    msgpack_sbuffer_write);
}

/* Hand over what was written as a talloc child of `mem`. */
static struct rj_bytes writer_finish(struct writer *writer, void *mem)
{
	struct rj_bytes bytes;

	bytes.data =
		talloc_memdup(mem, writer->buffer.data, writer->buffer.size);
	assert(bytes.data);
	bytes.length = (uint32_t)writer->buffer.size;
	msgpack_sbuffer_destroy(&writer->buffer);
	return bytes;
}

/* Numbers take as many bytes as their value needs. */
static void write_number(struct writer *writer, uint64_t value)
{
	msgpack_pack_uint64(&writer->packer, value);
}

/* One byte. */
static void write_bool(struct writer *writer, bool value)
{
	if (value)
		msgpack_pack_true(&writer->packer);
	else
		msgpack_pack_false(&writer->packer);
}

/* A text, without its terminating zero. */
static void write_text(struct writer *writer, const char *text)
{
	msgpack_pack_str_with_body(&writer->packer, text, strlen(text));
}

/* Bytes that may hold anything. */
static void write_data(struct writer *writer, const void *data, size_t length)
{
	msgpack_pack_bin_with_body(&writer->packer, data, length);
}

/* Start reading `bytes`, which must outlive the reader. */
static void reader_init(struct reader *reader, struct rj_bytes bytes)
{
	memset(reader, 0, sizeof(*reader));
	reader->data = (const char *)bytes.data;
	reader->length = bytes.length;
	msgpack_unpacked_init(&reader->unpacked);
}

/* Free what the reader holds; -1 with `err` if a field was bad. */
static int reader_finish(struct reader *reader, struct rj_error *err)
{
	msgpack_unpacked_destroy(&reader->unpacked);
	if (!reader->bad)
		return 0;
	return rj_error_set(err, RJ_ERR_MALFORMED,
			    "peer frame: %s is missing, of the wrong type or "
			    "out of range near byte %zu; run one version of "
			    "the program on both sides",
			    reader->bad, reader->offset);
}

/* Keep the first bad field: what follows it was never read. */
static void reader_fail(struct reader *reader, const char *field)
{
	if (!reader->bad)
		reader->bad = field;
}

/*
 * Whether the next byte opens an array, a map or an extension type.
 *
 * Guards against a frame of a few bytes that announces an array of millions:
 * the unpacker allocates room for all of it first, and the process grows by
 * gigabytes. Messages hold scalars only, so none is ever unpacked.
 */
static bool opens_container(uint8_t first)
{
	return (first >= 0x80 && first <= 0x9f) ||
	       (first >= 0xc7 && first <= 0xc9) ||
	       (first >= 0xd4 && first <= 0xd8) ||
	       (first >= 0xdc && first <= 0xdf);
}

/* The next scalar if it is of `type`, else NULL and the reader is bad. */
static const msgpack_object *
read_object(struct reader *reader, const char *field, msgpack_object_type type)
{
	msgpack_unpack_return status;
	uint8_t first;

	if (reader->bad)
		return NULL;
	if (reader->offset >= reader->length) {
		reader_fail(reader, field);
		return NULL;
	}
	first = (uint8_t)reader->data[reader->offset];
	if (opens_container(first)) {
		reader_fail(reader, field);
		return NULL;
	}
	status = msgpack_unpack_next(&reader->unpacked, reader->data,
				     reader->length, &reader->offset);
	if (status != MSGPACK_UNPACK_SUCCESS ||
	    reader->unpacked.data.type != type) {
		reader_fail(reader, field);
		return NULL;
	}
	return &reader->unpacked.data;
}

/* An unsigned number of at most `max`. */
static uint64_t read_number(struct reader *reader, const char *field,
			    uint64_t max)
{
	const msgpack_object *object =
		read_object(reader, field, MSGPACK_OBJECT_POSITIVE_INTEGER);

	if (!object)
		return 0;
	if (object->via.u64 > max) {
		reader_fail(reader, field);
		return 0;
	}
	return object->via.u64;
}

/* False when the field is bad. */
static bool read_bool(struct reader *reader, const char *field)
{
	const msgpack_object *object =
		read_object(reader, field, MSGPACK_OBJECT_BOOLEAN);

	return object && object->via.boolean;
}

/* A text without a zero byte into `size` bytes, terminated. */
static void read_text(struct reader *reader, const char *field, char *text,
		      size_t size)
{
	const msgpack_object *object =
		read_object(reader, field, MSGPACK_OBJECT_STR);

	memset(text, 0, size);
	if (!object || !object->via.str.size)
		return;
	if (object->via.str.size >= size ||
	    memchr(object->via.str.ptr, 0, object->via.str.size)) {
		reader_fail(reader, field);
		return;
	}
	memcpy(text, object->via.str.ptr, object->via.str.size);
}

/* Bytes of at most `max`, which stay where the frame holds them. */
static struct rj_bytes read_data(struct reader *reader, const char *field,
				 uint32_t max)
{
	const msgpack_object *object =
		read_object(reader, field, MSGPACK_OBJECT_BIN);
	struct rj_bytes bytes = { NULL, 0 };

	if (!object)
		return bytes;
	if (object->via.bin.size > max) {
		reader_fail(reader, field);
		return bytes;
	}
	bytes.data = (const uint8_t *)object->via.bin.ptr;
	bytes.length = object->via.bin.size;
	return bytes;
}

/*
 * Whether fields follow that an older version does not write.
 */
static bool has_more(const struct reader *reader)
{
	return !reader->bad && reader->offset < reader->length;
}

/* Exactly `length` bytes. */
static void read_exactly(struct reader *reader, const char *field,
			 uint8_t *data, uint32_t length)
{
	struct rj_bytes bytes = read_data(reader, field, length);

	memset(data, 0, length);
	if (bytes.length != length)
		reader_fail(reader, field);
	else
		memcpy(data, bytes.data, length);
}

/* Four numbers, in the order of the struct. */
static void write_resources(struct writer *writer,
			    const struct rj_resources *resources)
{
	write_number(writer, resources->slots);
	write_number(writer, resources->accelerators);
	write_number(writer, resources->cores);
	write_number(writer, resources->memory_mb);
}

/* What write_resources wrote. */
static void read_resources(struct reader *reader,
			   struct rj_resources *resources)
{
	resources->slots = (uint32_t)read_number(reader, "slots", UINT32_MAX);
	resources->accelerators =
		(uint32_t)read_number(reader, "accelerators", UINT32_MAX);
	resources->cores = (uint32_t)read_number(reader, "cores", UINT32_MAX);
	resources->memory_mb =
		(uint32_t)read_number(reader, "memory_mb", UINT32_MAX);
}

/* A whole job; the body comes last of its known fields. */
static void write_spec(struct writer *writer, const struct rj_job_spec *spec)
{
	write_number(writer, spec->job_id);
	write_text(writer, spec->account);
	write_text(writer, spec->class_name);
	write_text(writer, spec->key);
	write_data(writer, spec->digest, RJ_DIGEST_BYTES);
	write_number(writer, spec->shape.tasks);
	write_resources(writer, &spec->shape.each);
	write_bool(writer, spec->shape.adjacent);
	write_number(writer, spec->declared_us);
	write_number(writer, spec->deadline_in_us);
	write_bool(writer, spec->wait);
	write_data(writer, spec->body.data, spec->body.length);
}

/* What write_spec wrote; the body stays in the frame. */
static void read_spec(struct reader *reader, struct rj_job_spec *spec)
{
	spec->job_id = read_number(reader, "job_id", UINT64_MAX);
	read_text(reader, "account", spec->account, RJ_NAME_BYTES);
	read_text(reader, "class", spec->class_name, RJ_NAME_BYTES);
	read_text(reader, "key", spec->key, RJ_KEY_BYTES);
	read_exactly(reader, "digest", spec->digest, RJ_DIGEST_BYTES);
	spec->shape.tasks = (uint32_t)read_number(reader, "tasks", RJ_GANG_MAX);
	read_resources(reader, &spec->shape.each);
	spec->shape.adjacent = read_bool(reader, "adjacent");
	spec->declared_us = read_number(reader, "declared_us", UINT64_MAX);
	spec->deadline_in_us =
		read_number(reader, "deadline_in_us", UINT64_MAX);
	spec->wait = read_bool(reader, "wait");
	spec->body = read_data(reader, "body", RJ_BODY_MAX_BYTES);
}

/* The fields of RJ_PEER_HEARTBEAT. */
static void write_heartbeat(struct writer *writer,
			    const struct rj_peer_heartbeat *heartbeat)
{
	write_text(writer, heartbeat->domain);
	write_number(writer, heartbeat->incarnation);
	write_bool(writer, heartbeat->draining);
	write_bool(writer, heartbeat->log_usable);
	write_bool(writer, heartbeat->cut_off);
	write_number(writer, heartbeat->config_revision);
	write_number(writer, heartbeat->queued);
	write_number(writer, heartbeat->wait_us);
	write_number(writer, heartbeat->log_from);
	write_number(writer, heartbeat->log_next);
	write_number(writer, heartbeat->sent);
	write_number(writer, heartbeat->lost);
	write_bool(writer, heartbeat->config_changes);
}

/* What write_heartbeat wrote, or an older peer, which counts nothing. */
static void read_heartbeat(struct reader *reader,
			   struct rj_peer_heartbeat *heartbeat)
{
	read_text(reader, "domain", heartbeat->domain, RJ_NAME_BYTES);
	heartbeat->incarnation = read_number(reader, "incarnation", UINT64_MAX);
	heartbeat->draining = read_bool(reader, "draining");
	heartbeat->log_usable = read_bool(reader, "log_usable");
	heartbeat->cut_off = read_bool(reader, "cut_off");
	heartbeat->config_revision =
		read_number(reader, "config_revision", UINT64_MAX);
	heartbeat->queued = (uint32_t)read_number(reader, "queued", UINT32_MAX);
	heartbeat->wait_us = read_number(reader, "wait_us", UINT64_MAX);
	heartbeat->log_from = UINT64_MAX;
	if (!has_more(reader))
		return;
	heartbeat->log_from = read_number(reader, "log_from", UINT64_MAX);
	heartbeat->log_next = read_number(reader, "log_next", UINT64_MAX);
	heartbeat->sent = read_number(reader, "sent", UINT64_MAX);
	heartbeat->lost = read_number(reader, "lost", UINT64_MAX);
	heartbeat->config_changes = read_bool(reader, "config_changes");
}

/* The fields of RJ_PEER_SUMMARY, the workers after their count. */
static void write_summary(struct writer *writer,
			  const struct rj_peer_summary *summary)
{
	assert(summary->worker_count <= RJ_RACK_WORKERS_MAX);
	write_text(writer, summary->domain);
	write_number(writer, summary->rack);
	write_number(writer, summary->owner);
	write_number(writer, summary->version);
	write_number(writer, summary->worker_count);
	for (uint32_t i = 0; i < summary->worker_count; i++)
		write_resources(writer, &summary->free[i]);
}

/* What write_summary wrote. */
static void read_summary(struct reader *reader, struct rj_peer_summary *summary)
{
	read_text(reader, "domain", summary->domain, RJ_NAME_BYTES);
	summary->rack = (uint32_t)read_number(reader, "rack", UINT32_MAX);
	summary->owner = read_number(reader, "owner", UINT64_MAX);
	summary->version = read_number(reader, "version", UINT64_MAX);
	summary->worker_count = (uint32_t)read_number(reader, "worker_count",
						      RJ_RACK_WORKERS_MAX);
	for (uint32_t i = 0; i < summary->worker_count; i++)
		read_resources(reader, &summary->free[i]);
}

/* The fields of RJ_PEER_CONFIG, the text as bytes. */
static void write_config(struct writer *writer,
			 const struct rj_peer_config *config)
{
	write_number(writer, config->revision);
	write_number(writer, config->offset);
	write_text(writer, config->id);
	write_data(writer, config->text, strlen(config->text));
	if (!config->change.patch)
		return;
	write_data(writer, config->change.patch, strlen(config->change.patch));
	write_data(writer, config->change.digest, RJ_DIGEST_BYTES);
}

/* A text that a frame holds as bytes, as a talloc child of `mem`. */
static char *read_long_text(struct reader *reader, const char *field, void *mem,
			    uint32_t max)
{
	struct rj_bytes bytes = read_data(reader, field, max);
	char *text = talloc_strndup(
		mem, bytes.data ? (const char *)bytes.data : "", bytes.length);

	assert(text);
	return text;
}

/* What write_config wrote; its texts are talloc children of `mem`. */
static void read_config(struct reader *reader, void *mem,
			struct rj_peer_config *config)
{
	config->revision = read_number(reader, "revision", UINT64_MAX);
	config->offset = read_number(reader, "offset", UINT64_MAX);
	read_text(reader, "id", config->id, sizeof(config->id));
	config->text =
		read_long_text(reader, "text", mem, CONFIG_TEXT_MAX_BYTES);
	if (!has_more(reader))
		return;
	config->change.patch = read_long_text(reader, "change", mem,
					      RJ_CONFIG_CHANGE_MAX_BYTES);
	read_exactly(reader, "digest", config->change.digest, RJ_DIGEST_BYTES);
}

/* An answer with its whole result. */
static void write_answer(struct writer *writer, const struct rj_answer *answer)
{
	write_number(writer, answer->kind);
	write_number(writer, answer->reason);
	write_number(writer, answer->job_id);
	write_number(writer, answer->retry_after_us);
	write_data(writer, answer->result.data, answer->result.length);
	write_text(writer, answer->detail);
}

/* What write_answer wrote; the result stays in the frame. */
static void read_answer(struct reader *reader, struct rj_answer *answer)
{
	answer->kind = read_number(reader, "answer", RJ_ANSWER_KIND_COUNT - 1);
	answer->reason = read_number(reader, "reason", RJ_REASON_COUNT - 1);
	answer->job_id = read_number(reader, "job_id", UINT64_MAX);
	answer->retry_after_us =
		read_number(reader, "retry_after_us", UINT64_MAX);
	answer->result = read_data(reader, "result", RJ_BODY_MAX_BYTES);
	read_text(reader, "detail", answer->detail, sizeof(answer->detail));
}

/* The fields of RJ_PEER_FORWARD. */
static void write_forward(struct writer *writer,
			  const struct rj_peer_forward *forward)
{
	write_number(writer, forward->forward_id);
	write_number(writer, forward->hops);
	write_bool(writer, forward->other_domain);
	write_spec(writer, &forward->spec);
}

/* What write_forward wrote. */
static void read_forward(struct reader *reader, struct rj_peer_forward *forward)
{
	forward->forward_id = read_number(reader, "forward_id", UINT64_MAX);
	forward->hops = (uint32_t)read_number(reader, "hops", HOPS_MAX);
	forward->other_domain = read_bool(reader, "other_domain");
	read_spec(reader, &forward->spec);
}

/* The fields of RJ_PEER_CANCEL. */
static void write_cancel(struct writer *writer,
			 const struct rj_peer_cancel *cancel)
{
	write_number(writer, cancel->forward_id);
	write_number(writer, cancel->job_id);
	write_number(writer, cancel->reclaim_owner);
	write_number(writer, cancel->reclaim_attempt);
	write_number(writer, cancel->limit_us);
}

/* What write_cancel wrote, or an older peer, which reclaims nothing. */
static void read_cancel(struct reader *reader, struct rj_peer_cancel *cancel)
{
	cancel->forward_id = read_number(reader, "forward_id", UINT64_MAX);
	cancel->job_id = read_number(reader, "job_id", UINT64_MAX);
	if (!has_more(reader))
		return;
	cancel->reclaim_owner =
		read_number(reader, "reclaim_owner", UINT64_MAX);
	cancel->reclaim_attempt =
		(uint32_t)read_number(reader, "reclaim_attempt", UINT32_MAX);
	cancel->limit_us = read_number(reader, "limit_us", UINT64_MAX);
}

/*
 * Encode one message, whose names and counts must be within their bounds.
 * Returns its bytes as a talloc child of `mem`.
 */
struct rj_bytes rj_peer_encode(void *mem, const struct rj_peer_message *message)
{
	struct writer writer;

	writer_init(&writer);
	write_number(&writer, message->kind);
	switch (message->kind) {
	case RJ_PEER_HEARTBEAT:
		write_heartbeat(&writer, &message->u.heartbeat);
		break;
	case RJ_PEER_SUMMARY:
		write_summary(&writer, &message->u.summary);
		break;
	case RJ_PEER_CONFIG:
		write_config(&writer, &message->u.config);
		break;
	case RJ_PEER_LEAVING:
		write_text(&writer, message->u.leaving.worker);
		write_number(&writer, message->u.leaving.incarnation);
		break;
	case RJ_PEER_FORWARD:
		write_forward(&writer, &message->u.forward);
		break;
	case RJ_PEER_FORWARD_ANSWER:
		write_number(&writer, message->u.forward_answer.forward_id);
		write_answer(&writer, &message->u.forward_answer.answer);
		break;
	case RJ_PEER_CANCEL:
		write_cancel(&writer, &message->u.cancel);
		break;
	case RJ_PEER_MESSAGE_KIND_COUNT:
		assert(!"a message has a kind");
	}
	return writer_finish(&writer, mem);
}

/*
 * Decode one message. Every field is bounded; bytes after the last known
 * field are ignored, since a newer version may append some. A kind that this
 * version does not know is malformed: a sender speaks the version of the
 * link.
 *
 * Bodies and results point into `bytes`; the text of a configuration is a
 * talloc child of `mem`. Returns 0, or -1 with `err` of kind
 * RJ_ERR_MALFORMED that names the field.
 */
int rj_peer_decode(void *mem, struct rj_bytes bytes,
		   struct rj_peer_message *message, struct rj_error *err)
{
	struct reader reader;

	memset(message, 0, sizeof(*message));
	reader_init(&reader, bytes);
	message->kind =
		read_number(&reader, "kind", RJ_PEER_MESSAGE_KIND_COUNT - 1);
	switch (message->kind) {
	case RJ_PEER_HEARTBEAT:
		read_heartbeat(&reader, &message->u.heartbeat);
		break;
	case RJ_PEER_SUMMARY:
		read_summary(&reader, &message->u.summary);
		break;
	case RJ_PEER_CONFIG:
		read_config(&reader, mem, &message->u.config);
		break;
	case RJ_PEER_LEAVING:
		read_text(&reader, "worker", message->u.leaving.worker,
			  RJ_NAME_BYTES);
		message->u.leaving.incarnation =
			read_number(&reader, "incarnation", UINT64_MAX);
		break;
	case RJ_PEER_FORWARD:
		read_forward(&reader, &message->u.forward);
		break;
	case RJ_PEER_FORWARD_ANSWER:
		message->u.forward_answer.forward_id =
			read_number(&reader, "forward_id", UINT64_MAX);
		read_answer(&reader, &message->u.forward_answer.answer);
		break;
	case RJ_PEER_CANCEL:
		read_cancel(&reader, &message->u.cancel);
		break;
	case RJ_PEER_MESSAGE_KIND_COUNT:
		assert(!"a number is at most its bound");
	}
	return reader_finish(&reader, err);
}

/*
 * Encode the first frame of a link. Returns its bytes as a talloc child of
 * `mem`.
 */
struct rj_bytes rj_peer_hello_encode(void *mem,
				     const struct rj_peer_hello *hello)
{
	struct writer writer;

	writer_init(&writer);
	write_text(&writer, HELLO_MAGIC);
	write_number(&writer, hello->version);
	write_number(&writer, hello->version_min);
	write_text(&writer, hello->name);
	write_text(&writer, hello->domain);
	write_number(&writer, hello->incarnation);
	write_data(&writer, hello->nonce, RJ_PEER_NONCE_BYTES);
	return writer_finish(&writer, mem);
}

/*
 * Decode the first frame of a link. Returns 0, or -1 with `err` of kind
 * RJ_ERR_MALFORMED that names the field.
 */
int rj_peer_hello_decode(struct rj_bytes bytes, struct rj_peer_hello *hello,
			 struct rj_error *err)
{
	char magic[sizeof(HELLO_MAGIC)];
	struct reader reader;

	memset(hello, 0, sizeof(*hello));
	reader_init(&reader, bytes);
	read_text(&reader, "magic", magic, sizeof(magic));
	if (strcmp(magic, HELLO_MAGIC) != 0)
		reader_fail(&reader, "magic");
	hello->version = (uint32_t)read_number(&reader, "version", UINT32_MAX);
	hello->version_min =
		(uint32_t)read_number(&reader, "version_min", UINT32_MAX);
	read_text(&reader, "name", hello->name, RJ_NAME_BYTES);
	read_text(&reader, "domain", hello->domain, RJ_NAME_BYTES);
	hello->incarnation = read_number(&reader, "incarnation", UINT64_MAX);
	read_exactly(&reader, "nonce", hello->nonce, RJ_PEER_NONCE_BYTES);
	if (!hello->name[0])
		reader_fail(&reader, "name");
	return reader_finish(&reader, err);
}
