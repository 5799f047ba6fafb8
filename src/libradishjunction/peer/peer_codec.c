#include "private/peer_codec.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/pack.h"

/* First field of each hello, to reject stray connections immediately. */
#define HELLO_MAGIC "radishjunction"
/* A published configuration fits into one frame; see RJ_FRAME_MAX_BYTES. */
#define CONFIG_TEXT_MAX_BYTES (480 * 1024)
/*
 * Maximum hops of a forwarded job. A higher limit would hide a forwarding loop
 * between failure domains.
 */
#define HOPS_MAX 16

static void encode_resources(struct rj_packer *writer,
			     const struct rj_resources *resources)
{
	rj_pack_number(writer, resources->slots);
	rj_pack_number(writer, resources->accelerators);
	rj_pack_number(writer, resources->cores);
	rj_pack_number(writer, resources->memory_mb);
}

static void decode_resources(struct rj_unpacker *reader,
			     struct rj_resources *resources)
{
	resources->slots =
		(uint32_t)rj_unpack_number(reader, "slots", UINT32_MAX);
	resources->accelerators =
		(uint32_t)rj_unpack_number(reader, "accelerators", UINT32_MAX);
	resources->cores =
		(uint32_t)rj_unpack_number(reader, "cores", UINT32_MAX);
	resources->memory_mb =
		(uint32_t)rj_unpack_number(reader, "memory_mb", UINT32_MAX);
}

/* Encode a job spec; its body is the last field. */
static void encode_job_spec(struct rj_packer *writer,
			    const struct rj_job_spec *spec)
{
	rj_pack_number(writer, spec->job_id);
	rj_pack_text(writer, spec->account);
	rj_pack_text(writer, spec->class_name);
	rj_pack_text(writer, spec->key);
	rj_pack_data(writer, spec->digest, RJ_DIGEST_BYTES);
	rj_pack_number(writer, spec->shape.tasks);
	encode_resources(writer, &spec->shape.each);
	rj_pack_bool(writer, spec->shape.adjacent);
	rj_pack_number(writer, spec->declared_us);
	rj_pack_number(writer, spec->deadline_in_us);
	rj_pack_bool(writer, spec->wait);
	rj_pack_data(writer, spec->body.data, spec->body.length);
}

/* Decode a job spec; its body points into the frame. */
static void decode_job_spec(struct rj_unpacker *reader,
			    struct rj_job_spec *spec)
{
	spec->job_id = rj_unpack_number(reader, "job_id", UINT64_MAX);
	rj_unpack_text(reader, "account", spec->account, RJ_NAME_BYTES);
	rj_unpack_text(reader, "class", spec->class_name, RJ_NAME_BYTES);
	rj_unpack_text(reader, "key", spec->key, RJ_KEY_BYTES);
	rj_unpack_fixed_data(reader, "digest", spec->digest, RJ_DIGEST_BYTES);
	spec->shape.tasks =
		(uint32_t)rj_unpack_number(reader, "tasks", RJ_GANG_MAX);
	decode_resources(reader, &spec->shape.each);
	spec->shape.adjacent = rj_unpack_bool(reader, "adjacent");
	spec->declared_us = rj_unpack_number(reader, "declared_us", UINT64_MAX);
	spec->deadline_in_us =
		rj_unpack_number(reader, "deadline_in_us", UINT64_MAX);
	spec->wait = rj_unpack_bool(reader, "wait");
	spec->body = rj_unpack_data(reader, "body", RJ_BODY_MAX_BYTES);
}

static void encode_heartbeat(struct rj_packer *writer,
			     const struct rj_peer_heartbeat *heartbeat)
{
	rj_pack_text(writer, heartbeat->domain);
	rj_pack_number(writer, heartbeat->incarnation);
	rj_pack_bool(writer, heartbeat->draining);
	rj_pack_bool(writer, heartbeat->log_usable);
	rj_pack_bool(writer, heartbeat->cut_off);
	rj_pack_number(writer, heartbeat->config_revision);
	rj_pack_number(writer, heartbeat->queued);
	rj_pack_number(writer, heartbeat->wait_us);
	rj_pack_number(writer, heartbeat->log_from);
	rj_pack_number(writer, heartbeat->log_next);
	rj_pack_number(writer, heartbeat->sent);
	rj_pack_number(writer, heartbeat->lost);
	rj_pack_bool(writer, heartbeat->config_changes);
}

/*
 * Decode RJ_PEER_HEARTBEAT. The message of an older peer ends with `wait_us`;
 * `log_from` is then UINT64_MAX, not reported, and the later fields are 0.
 */
static void decode_heartbeat(struct rj_unpacker *reader,
			     struct rj_peer_heartbeat *heartbeat)
{
	rj_unpack_text(reader, "domain", heartbeat->domain, RJ_NAME_BYTES);
	heartbeat->incarnation =
		rj_unpack_number(reader, "incarnation", UINT64_MAX);
	heartbeat->draining = rj_unpack_bool(reader, "draining");
	heartbeat->log_usable = rj_unpack_bool(reader, "log_usable");
	heartbeat->cut_off = rj_unpack_bool(reader, "cut_off");
	heartbeat->config_revision =
		rj_unpack_number(reader, "config_revision", UINT64_MAX);
	heartbeat->queued =
		(uint32_t)rj_unpack_number(reader, "queued", UINT32_MAX);
	heartbeat->wait_us = rj_unpack_number(reader, "wait_us", UINT64_MAX);
	heartbeat->log_from = UINT64_MAX;
	if (!rj_unpack_has_more(reader))
		return;
	heartbeat->log_from = rj_unpack_number(reader, "log_from", UINT64_MAX);
	heartbeat->log_next = rj_unpack_number(reader, "log_next", UINT64_MAX);
	heartbeat->sent = rj_unpack_number(reader, "sent", UINT64_MAX);
	heartbeat->lost = rj_unpack_number(reader, "lost", UINT64_MAX);
	heartbeat->config_changes = rj_unpack_bool(reader, "config_changes");
}

/* Encode RJ_PEER_SUMMARY; the workers follow their count. */
static void encode_summary(struct rj_packer *writer,
			   const struct rj_peer_summary *summary)
{
	assert(summary->worker_count <= RJ_RACK_WORKERS_MAX);
	rj_pack_text(writer, summary->domain);
	rj_pack_number(writer, summary->rack);
	rj_pack_number(writer, summary->owner);
	rj_pack_number(writer, summary->version);
	rj_pack_number(writer, summary->worker_count);
	for (uint32_t i = 0; i < summary->worker_count; i++)
		encode_resources(writer, &summary->free[i]);
}

static void decode_summary(struct rj_unpacker *reader,
			   struct rj_peer_summary *summary)
{
	rj_unpack_text(reader, "domain", summary->domain, RJ_NAME_BYTES);
	summary->rack = (uint32_t)rj_unpack_number(reader, "rack", UINT32_MAX);
	summary->owner = rj_unpack_number(reader, "owner", UINT64_MAX);
	summary->version = rj_unpack_number(reader, "version", UINT64_MAX);
	summary->worker_count = (uint32_t)rj_unpack_number(
		reader, "worker_count", RJ_RACK_WORKERS_MAX);
	for (uint32_t i = 0; i < summary->worker_count; i++)
		decode_resources(reader, &summary->free[i]);
}

/*
 * Encode RJ_PEER_CONFIG. The text is encoded as bytes; a change is appended
 * only if there is one.
 */
static void encode_config(struct rj_packer *writer,
			  const struct rj_peer_config *config)
{
	rj_pack_number(writer, config->revision);
	rj_pack_number(writer, config->offset);
	rj_pack_text(writer, config->id);
	rj_pack_data(writer, config->text, strlen(config->text));
	if (!config->change.patch)
		return;
	rj_pack_data(writer, config->change.patch,
		     strlen(config->change.patch));
	rj_pack_data(writer, config->change.digest, RJ_DIGEST_BYTES);
}

/* Decode a text that is encoded as bytes. Returns a talloc child of `mem`. */
static char *decode_long_text(struct rj_unpacker *reader, const char *field,
			      void *mem, uint32_t max)
{
	struct rj_bytes bytes = rj_unpack_data(reader, field, max);
	char *text = talloc_strndup(
		mem, bytes.data ? (const char *)bytes.data : "", bytes.length);

	assert(text);
	return text;
}

/* Decode RJ_PEER_CONFIG; its texts are talloc children of `mem`. */
static void decode_config(struct rj_unpacker *reader, void *mem,
			  struct rj_peer_config *config)
{
	config->revision = rj_unpack_number(reader, "revision", UINT64_MAX);
	config->offset = rj_unpack_number(reader, "offset", UINT64_MAX);
	rj_unpack_text(reader, "id", config->id, sizeof(config->id));
	config->text =
		decode_long_text(reader, "text", mem, CONFIG_TEXT_MAX_BYTES);
	if (!rj_unpack_has_more(reader))
		return;
	config->change.patch = decode_long_text(reader, "change", mem,
						RJ_CONFIG_CHANGE_MAX_BYTES);
	rj_unpack_fixed_data(reader, "digest", config->change.digest,
			     RJ_DIGEST_BYTES);
}

static void encode_answer(struct rj_packer *writer,
			  const struct rj_answer *answer)
{
	rj_pack_number(writer, answer->kind);
	rj_pack_number(writer, answer->reason);
	rj_pack_number(writer, answer->job_id);
	rj_pack_number(writer, answer->retry_after_us);
	rj_pack_data(writer, answer->result.data, answer->result.length);
	rj_pack_text(writer, answer->detail);
}

/* Decode an answer; its result points into the frame. */
static void decode_answer(struct rj_unpacker *reader, struct rj_answer *answer)
{
	answer->kind =
		rj_unpack_number(reader, "answer", RJ_ANSWER_KIND_COUNT - 1);
	answer->reason =
		rj_unpack_number(reader, "reason", RJ_REASON_COUNT - 1);
	answer->job_id = rj_unpack_number(reader, "job_id", UINT64_MAX);
	answer->retry_after_us =
		rj_unpack_number(reader, "retry_after_us", UINT64_MAX);
	answer->result = rj_unpack_data(reader, "result", RJ_BODY_MAX_BYTES);
	rj_unpack_text(reader, "detail", answer->detail,
		       sizeof(answer->detail));
}

static void encode_forward(struct rj_packer *writer,
			   const struct rj_peer_forward *forward)
{
	rj_pack_number(writer, forward->forward_id);
	rj_pack_number(writer, forward->hops);
	rj_pack_bool(writer, forward->other_domain);
	encode_job_spec(writer, &forward->spec);
}

/* Decode RJ_PEER_FORWARD; the body of its spec points into the frame. */
static void decode_forward(struct rj_unpacker *reader,
			   struct rj_peer_forward *forward)
{
	forward->forward_id =
		rj_unpack_number(reader, "forward_id", UINT64_MAX);
	forward->hops = (uint32_t)rj_unpack_number(reader, "hops", HOPS_MAX);
	forward->other_domain = rj_unpack_bool(reader, "other_domain");
	decode_job_spec(reader, &forward->spec);
}

static void encode_cancel(struct rj_packer *writer,
			  const struct rj_peer_cancel *cancel)
{
	rj_pack_number(writer, cancel->forward_id);
	rj_pack_number(writer, cancel->job_id);
	rj_pack_number(writer, cancel->reclaim_owner);
	rj_pack_number(writer, cancel->reclaim_attempt);
	rj_pack_number(writer, cancel->limit_us);
}

/* Decode RJ_PEER_CANCEL; an older peer does not send the reclaim fields. */
static void decode_cancel(struct rj_unpacker *reader,
			  struct rj_peer_cancel *cancel)
{
	cancel->forward_id = rj_unpack_number(reader, "forward_id", UINT64_MAX);
	cancel->job_id = rj_unpack_number(reader, "job_id", UINT64_MAX);
	if (!rj_unpack_has_more(reader))
		return;
	cancel->reclaim_owner =
		rj_unpack_number(reader, "reclaim_owner", UINT64_MAX);
	cancel->reclaim_attempt = (uint32_t)rj_unpack_number(
		reader, "reclaim_attempt", UINT32_MAX);
	cancel->limit_us = rj_unpack_number(reader, "limit_us", UINT64_MAX);
}

/*
 * Encode one message; its names and counts must be within their limits.
 * Returns its bytes as a talloc child of `mem`.
 */
struct rj_bytes rj_peer_encode(void *mem, const struct rj_peer_message *message)
{
	struct rj_packer writer;

	rj_pack_init(&writer);
	rj_pack_number(&writer, message->kind);
	switch (message->kind) {
	case RJ_PEER_HEARTBEAT:
		encode_heartbeat(&writer, &message->u.heartbeat);
		break;
	case RJ_PEER_SUMMARY:
		encode_summary(&writer, &message->u.summary);
		break;
	case RJ_PEER_CONFIG:
		encode_config(&writer, &message->u.config);
		break;
	case RJ_PEER_LEAVING:
		rj_pack_text(&writer, message->u.leaving.worker);
		rj_pack_number(&writer, message->u.leaving.incarnation);
		break;
	case RJ_PEER_FORWARD:
		encode_forward(&writer, &message->u.forward);
		break;
	case RJ_PEER_FORWARD_ANSWER:
		rj_pack_number(&writer, message->u.forward_answer.forward_id);
		encode_answer(&writer, &message->u.forward_answer.answer);
		break;
	case RJ_PEER_CANCEL:
		encode_cancel(&writer, &message->u.cancel);
		break;
	case RJ_PEER_MESSAGE_KIND_COUNT:
		assert(!"message without a kind");
	}
	return rj_pack_finish(&writer, mem);
}

/*
 * Decode one message. Every field is checked against its limit; bytes after
 * the last known field are ignored, because a newer version may append
 * fields. An unknown kind is malformed: a sender uses only the kinds of the
 * link's version.
 *
 * Bodies and results point into `bytes`; the text of a configuration is a
 * talloc child of `mem`. Returns 0, or -1 with `err` of kind
 * RJ_ERR_MALFORMED that names the field.
 */
int rj_peer_decode(void *mem, struct rj_bytes bytes,
		   struct rj_peer_message *message, struct rj_error *err)
{
	struct rj_unpacker reader;

	memset(message, 0, sizeof(*message));
	rj_unpack_init(&reader, bytes);
	message->kind = rj_unpack_number(&reader, "kind",
					 RJ_PEER_MESSAGE_KIND_COUNT - 1);
	switch (message->kind) {
	case RJ_PEER_HEARTBEAT:
		decode_heartbeat(&reader, &message->u.heartbeat);
		break;
	case RJ_PEER_SUMMARY:
		decode_summary(&reader, &message->u.summary);
		break;
	case RJ_PEER_CONFIG:
		decode_config(&reader, mem, &message->u.config);
		break;
	case RJ_PEER_LEAVING:
		rj_unpack_text(&reader, "worker", message->u.leaving.worker,
			       RJ_NAME_BYTES);
		message->u.leaving.incarnation =
			rj_unpack_number(&reader, "incarnation", UINT64_MAX);
		break;
	case RJ_PEER_FORWARD:
		decode_forward(&reader, &message->u.forward);
		break;
	case RJ_PEER_FORWARD_ANSWER:
		message->u.forward_answer.forward_id =
			rj_unpack_number(&reader, "forward_id", UINT64_MAX);
		decode_answer(&reader, &message->u.forward_answer.answer);
		break;
	case RJ_PEER_CANCEL:
		decode_cancel(&reader, &message->u.cancel);
		break;
	case RJ_PEER_MESSAGE_KIND_COUNT:
		assert(!"number above its bound");
	}
	return rj_unpack_finish(&reader, err);
}

/*
 * Encode the first frame of a link. Returns its bytes as a talloc child of
 * `mem`.
 */
struct rj_bytes rj_peer_hello_encode(void *mem,
				     const struct rj_peer_hello *hello)
{
	struct rj_packer writer;

	rj_pack_init(&writer);
	rj_pack_text(&writer, HELLO_MAGIC);
	rj_pack_number(&writer, hello->version);
	rj_pack_number(&writer, hello->version_min);
	rj_pack_text(&writer, hello->name);
	rj_pack_text(&writer, hello->domain);
	rj_pack_number(&writer, hello->incarnation);
	rj_pack_data(&writer, hello->nonce, RJ_PEER_NONCE_BYTES);
	return rj_pack_finish(&writer, mem);
}

/*
 * Decode the first frame of a link. Returns 0, or -1 with `err` of kind
 * RJ_ERR_MALFORMED that names the field.
 */
int rj_peer_hello_decode(struct rj_bytes bytes, struct rj_peer_hello *hello,
			 struct rj_error *err)
{
	char magic[sizeof(HELLO_MAGIC)];
	struct rj_unpacker reader;

	memset(hello, 0, sizeof(*hello));
	rj_unpack_init(&reader, bytes);
	rj_unpack_text(&reader, "magic", magic, sizeof(magic));
	if (strcmp(magic, HELLO_MAGIC) != 0)
		rj_unpack_fail(&reader, "magic");
	hello->version =
		(uint32_t)rj_unpack_number(&reader, "version", UINT32_MAX);
	hello->version_min =
		(uint32_t)rj_unpack_number(&reader, "version_min", UINT32_MAX);
	rj_unpack_text(&reader, "name", hello->name, RJ_NAME_BYTES);
	rj_unpack_text(&reader, "domain", hello->domain, RJ_NAME_BYTES);
	hello->incarnation =
		rj_unpack_number(&reader, "incarnation", UINT64_MAX);
	rj_unpack_fixed_data(&reader, "nonce", hello->nonce,
			     RJ_PEER_NONCE_BYTES);
	if (!hello->name[0])
		rj_unpack_fail(&reader, "name");
	return rj_unpack_finish(&reader, err);
}
