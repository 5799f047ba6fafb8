#include "support/fuzz_targets.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/caller_json.h"
#include "private/cell_record.h"
#include "private/cell_rejections.h"
#include "private/cell_snapshot.h"
#include "private/peer_codec.h"
#include "private/worker_wire.h"
#include "radishjunction/config.h"
#include "radishjunction/config_change.h"
#include "radishjunction/record.h"
#include "radishjunction/settings.h"
#include "wire.h"

/*
 * Returns the bytes as null-terminated text, the form in which adapters pass
 * them on.
 */
static char *as_text(void *mem, const uint8_t *data, size_t length)
{
	char *text = talloc_strndup(mem, (const char *)data, length);

	assert(text);
	return text;
}

/*
 * A configuration is rejected with an error, or can be parsed again from its
 * own text.
 */
static void fuzz_config(const uint8_t *data, size_t length)
{
	void *mem = talloc_new(NULL);
	struct rj_error_list errors;
	struct rj_config *config;
	struct rj_config *again;

	rj_error_list_init(&errors, mem);
	config = rj_config_parse(mem, as_text(mem, data, length), &errors);
	assert(config ? !errors.count : errors.count > 0);
	if (config) {
		again = rj_config_parse(mem, config->text, &errors);
		assert(again && again->account_count == config->account_count);
		rj_config_unref(again);
		rj_config_unref(config);
	}
	talloc_free(mem);
}

/*
 * Settings are rejected with an error, or are within their bounds.
 */
static void fuzz_settings(const uint8_t *data, size_t length)
{
	void *mem = talloc_new(NULL);
	struct rj_error_list errors;
	struct rj_settings *settings;

	rj_error_list_init(&errors, mem);
	settings = rj_settings_parse(mem, as_text(mem, data, length), &errors);
	assert(settings ? !errors.count : errors.count > 0);
	assert(!settings || settings->platform_address.port);
	talloc_free(mem);
}

/*
 * A record is rejected and left empty, or survives encoding and decoding.
 */
static void fuzz_record(const uint8_t *data, size_t length)
{
	void *mem = talloc_new(NULL);
	struct rj_record record;
	struct rj_record again;
	char *text;

	if (rj_record_decode(mem, as_text(mem, data, length), &record, NULL)) {
		assert(record.kind == RJ_RECORD_MALFORMED && !record.members);
	} else {
		text = rj_record_encode(mem, &record);
		assert(text);
		assert(!rj_record_decode(mem, text, &again, NULL));
		assert(!strcmp(text, rj_record_encode(mem, &again)));
	}
	talloc_free(mem);
}

/*
 * A peer message is rejected, or can be encoded again.
 */
static void fuzz_peer(const uint8_t *data, size_t length)
{
	void *mem = talloc_new(NULL);
	struct rj_bytes bytes = { data, (uint32_t)length };
	struct rj_peer_message message;

	if (!rj_peer_decode(mem, bytes, &message, NULL))
		assert(rj_peer_encode(mem, &message).length);
	talloc_free(mem);
}

/*
 * The first frame of a peer is rejected, or can be encoded again.
 */
static void fuzz_hello(const uint8_t *data, size_t length)
{
	void *mem = talloc_new(NULL);
	struct rj_bytes bytes = { data, (uint32_t)length };
	struct rj_peer_hello hello;

	if (!rj_peer_hello_decode(bytes, &hello, NULL))
		assert(rj_peer_hello_encode(mem, &hello).length);
	talloc_free(mem);
}

/*
 * A submission is rejected with an error, or has a class and at least one task.
 */
static void fuzz_submit(const uint8_t *data, size_t length)
{
	void *mem = talloc_new(NULL);
	struct rj_error_list errors;
	struct rj_job_spec spec;

	rj_error_list_init(&errors, mem);
	if (rj_caller_parse_submit(mem, as_text(mem, data, length), &spec,
				   &errors))
		assert(errors.count);
	else
		assert(spec.class_name[0] && spec.shape.tasks);
	talloc_free(mem);
}

/*
 * A configuration change is rejected with an error, or yields its author's
 * text. The digest is that of the unchanged base, so only such a result is
 * valid.
 */
static void fuzz_change(const uint8_t *data, size_t length)
{
	static const char base[] =
		"{\"accounts\":[{\"name\":\"a\",\"guarantees\":[{\"count\":1},"
		"{\"count\":2}]},{\"name\":\"b\"}],\"limits\":{\"x/y~\":3}}";
	void *mem = talloc_new(NULL);
	struct rj_config_change change;
	struct rj_error_list errors;
	char *result;

	rj_error_list_init(&errors, mem);
	rj_config_change_make(mem, base, base, &change);
	change.patch = as_text(mem, data, length);
	result = rj_config_change_apply(mem, base, &change, &errors);
	assert(!result == (errors.count > 0));
	assert(!result || !strcmp(result, rj_config_canonical(mem, base)));
	talloc_free(mem);
}

/*
 * A worker's reply to a fixed call is rejected, or belongs to the attempt of
 * that call.
 */
static void fuzz_reply(const uint8_t *data, size_t length)
{
	void *mem = talloc_new(NULL);
	struct rj_worker_call call = {
		.call_id = 1,
		.op = RJ_WORKER_START,
		.worker = "w",
		.attempt = { .job_id = 1, .owner = 1, .number = 1 },
	};
	struct rj_worker_reply reply;

	memset(&reply, 0, sizeof(reply));
	if (!rj_worker_wire_decode_reply(mem, as_text(mem, data, length), &call,
					 &reply, NULL))
		assert(reply.attempt.job_id == call.attempt.job_id);
	talloc_free(mem);
}

/*
 * A platform client's job is rejected, or survives encoding and decoding as a
 * log record.
 */
static void fuzz_platform_job(const uint8_t *data, size_t length)
{
	void *mem = talloc_new(NULL);
	struct rj_error err;
	struct rj_cell_job_spec *job_spec = platform_wire_decode_job(
		mem, (struct rj_bytes){ data, (uint32_t)length }, &err);
	struct rj_cell_job_spec *back;

	if (job_spec) {
		back = rj_cell_job_spec_decode(
			mem, rj_cell_job_spec_encode(mem, job_spec), &err);
		assert(back && back->task_count == job_spec->task_count &&
		       !strcmp(back->spec, job_spec->spec));
	}
	talloc_free(mem);
}

/*
 * Log entries that operators and workers write on the platform.
 */
static void fuzz_platform_entry(const uint8_t *data, size_t length)
{
	void *mem = talloc_new(NULL);
	struct rj_bytes text = { data, (uint32_t)length };
	struct rj_cell_heartbeat heartbeat;
	struct rj_error err;

	if (!platform_wire_decode_worker(text, &heartbeat, &err))
		assert(heartbeat.address.port && heartbeat.service[0]);
	platform_wire_decode_config(mem, text, &err);
	talloc_free(mem);
}

/*
 * Responses of the platform's log and of its workers.
 */
static void fuzz_platform_answer(const uint8_t *data, size_t length)
{
	void *mem = talloc_new(NULL);
	struct rj_cell_store_reply reply = { 0 };
	struct rj_cell_order_reply order = { 0 };
	char reason[RJ_NAME_BYTES];

	if (!platform_wire_decode_records(mem, (const char *)data, length, 0,
					  &reply))
		assert(reply.next == reply.count);
	platform_wire_decode_newest(mem, (const char *)data, length, &reply);
	platform_wire_decode_order_reply(mem, (const char *)data, length,
					 &order, reason);
	talloc_free(mem);
}

/*
 * Records of the job log of the cells.
 */
static void fuzz_cell_record(const uint8_t *data, size_t length)
{
	void *mem = talloc_new(NULL);
	struct rj_bytes bytes = { data, (uint32_t)length };
	struct rj_cell_owner_record owner;
	struct rj_cell_summary summary;
	struct rj_cell_owner_heartbeat heartbeat;
	struct rj_cell_rejection_list rejections;
	struct rj_error err;

	rj_cell_job_spec_decode(mem, bytes, &err);
	rj_cell_summary_decode(bytes, &summary, &err);
	rj_cell_owner_decode(bytes, &owner, &err);
	rj_cell_owner_heartbeat_decode(bytes, &heartbeat, &err);
	rj_cell_rejections_decode(bytes, &rejections, &err);
	talloc_free(mem);
}

/* Decodes a record of a snapshot, which is refused and left empty, or survives
 * encoding and decoding. */
static void check_snapshot(void *mem, struct rj_bytes bytes)
{
	const struct rj_cell_snapshot_reader reader = { 7, 1700000000000,
							3600 * RJ_US_PER_S };
	struct rj_cell_snapshot snapshot;
	struct rj_cell_snapshot again;

	if (rj_cell_snapshot_decode(mem, bytes, &reader, &snapshot) !=
	    RJ_CELL_SNAPSHOT_ACCEPTED) {
		assert(!snapshot.worker_count && !snapshot.workers);
		return;
	}
	for (uint32_t i = 0; i < snapshot.worker_count; i++)
		assert(snapshot.workers[i].pace.variance > 0);
	bytes = rj_cell_snapshot_encode(mem, &snapshot, reader.now_us);
	assert(rj_cell_snapshot_decode(mem, bytes, &reader, &again) ==
	       RJ_CELL_SNAPSHOT_ACCEPTED);
	assert(again.worker_count == snapshot.worker_count &&
	       again.queue_count == snapshot.queue_count &&
	       again.account_count == snapshot.account_count);
}

/*
 * A record of a snapshot; the bytes are also taken as its payload, as few of
 * them have a valid checksum.
 */
static void fuzz_cell_snapshot(const uint8_t *data, size_t length)
{
	void *mem = talloc_new(NULL);
	struct rj_bytes bytes = { data, (uint32_t)length };

	check_snapshot(mem, bytes);
	check_snapshot(mem,
		       rj_cell_snapshot_seal(mem, 7, 1700000000000, bytes));
	talloc_free(mem);
}

const struct fuzz_target fuzz_targets[] = {
	{ "config", fuzz_config },
	{ "settings", fuzz_settings },
	{ "record", fuzz_record },
	{ "peer", fuzz_peer },
	{ "hello", fuzz_hello },
	{ "submit", fuzz_submit },
	{ "reply", fuzz_reply },
	{ "change", fuzz_change },
	{ "platformjob", fuzz_platform_job },
	{ "platformentry", fuzz_platform_entry },
	{ "platformanswer", fuzz_platform_answer },
	{ "cellrecord", fuzz_cell_record },
	{ "cellsnapshot", fuzz_cell_snapshot },
	{ "requests", fuzz_requests },
	{ NULL, NULL },
};

/*
 * Returns the target of that name, or NULL.
 */
const struct fuzz_target *fuzz_target_find(const char *name)
{
	for (const struct fuzz_target *target = fuzz_targets; target->name;
	     target++)
		if (!strcmp(target->name, name))
			return target;
	return NULL;
}
