#include "private/cell_snapshot.h"

#include <assert.h>
#include <math.h>
#include <string.h>
#include <talloc.h>

#include "private/pack.h"

#define SNAPSHOT_FORMAT 1
/* Seed of the checksum. */
#define CHECKSUM_SEED 0x736e6170
/* The store accepts 256 KiB per record. */
#define PAYLOAD_BYTES_MAX (256 * 1024)
/* Encoded length of the shortest row: one byte for each field. */
#define ROW_BYTES_MIN 2

/* Units of the encoded numbers; the digits that they drop do not change a
 * decision. */
#define PACE_UNIT 1e-4
#define BAD_ENDS_UNIT 1e-2
#define EXPOSURE_UNIT_S 1e-1
#define MEAN_UNIT_MS 1e-1
#define HISTORY_TIME_UNIT_US (100 * RJ_US_PER_MS)
/* Largest absolute value of a logarithm: factors of 20,000. */
#define LOG_MAX 10.0
#define VARIANCE_MAX 100.0
#define HISTORY_MAX 1e7
#define MEAN_MAX_MS 4e9

/* Encodes a number of at least 0 in units; what is no number becomes 0. */
static void write_real(struct rj_packer *out, double value, double unit,
		       double max)
{
	rj_pack_number(
		out, value > 0 ? (uint64_t)llround(MIN(value, max) / unit) : 0);
}

static double read_real(struct rj_unpacker *in, const char *field, double unit,
			double max)
{
	return (double)rj_unpack_number(in, field,
					(uint64_t)llround(max / unit)) *
	       unit;
}

/* Encodes a signed number in units, with the sign in the lowest bit, so that
 * small ones are short. */
static void write_signed(struct rj_packer *out, double value, double unit,
			 double max)
{
	int64_t units =
		isfinite(value) ? llround(CLAMP(value, -max, max) / unit) : 0;

	rj_pack_number(out, units < 0 ? (uint64_t)-units * 2 - 1 :
					(uint64_t)units * 2);
}

static double read_signed(struct rj_unpacker *in, const char *field,
			  double unit, double max)
{
	uint64_t number =
		rj_unpack_number(in, field, (uint64_t)llround(max / unit) * 2);
	uint64_t units = (number + 1) / 2;
	double value = (double)units * unit;

	return number % 2 ? -value : value;
}

/* Encodes a variance, which a reader divides by: it is never 0. */
static void write_variance(struct rj_packer *out, double variance)
{
	write_real(out, variance > PACE_UNIT ? variance : PACE_UNIT, PACE_UNIT,
		   VARIANCE_MAX);
}

static double read_variance(struct rj_unpacker *in, const char *field)
{
	double variance = read_real(in, field, PACE_UNIT, VARIANCE_MAX);

	if (variance <= 0)
		rj_unpack_fail(in, field);
	return variance;
}

/* Encodes the duration from `from_us` to `until_us`, 0 if that is past. One
 * that a reader would refuse must not make it refuse the whole record. */
static void write_duration(struct rj_packer *out, uint64_t from_us,
			   uint64_t until_us)
{
	uint64_t duration_us = until_us > from_us ? until_us - from_us : 0;

	rj_pack_number(out,
		       MIN(duration_us / HISTORY_TIME_UNIT_US, UINT32_MAX));
}

static uint64_t read_duration_us(struct rj_unpacker *in, const char *field)
{
	return rj_unpack_number(in, field, UINT32_MAX) * HISTORY_TIME_UNIT_US;
}

static void write_worker(struct rj_packer *out,
			 const struct rj_cell_snapshot_worker *worker,
			 uint64_t now_us)
{
	const struct rj_cell_worker_history *history = &worker->history;

	rj_pack_text(out, worker->id);
	rj_pack_number(out, worker->incarnation);
	write_signed(out, worker->pace.log_ratio, PACE_UNIT, LOG_MAX);
	write_variance(out, worker->pace.variance);
	rj_pack_number(out, worker->pace.samples);
	write_real(out, history->bad_ends, BAD_ENDS_UNIT, HISTORY_MAX);
	write_real(out, history->exposure_s, EXPOSURE_UNIT_S, HISTORY_MAX);
	write_duration(out, history->updated_us,
		       history->updated_us ? now_us : 0);
	write_duration(out, now_us, history->probation_until_us);
}

/* Returns `now_us` - `age_us`; never 0, which means that a time is not set. */
static uint64_t time_before_us(uint64_t now_us, uint64_t age_us)
{
	return now_us > age_us ? now_us - age_us : 1;
}

/* Decodes a worker from a record that was written `age_us` ago. */
static void read_worker(struct rj_unpacker *in,
			struct rj_cell_snapshot_worker *worker, uint64_t now_us,
			uint64_t age_us)
{
	struct rj_cell_worker_history *history = &worker->history;
	uint64_t probation_us;

	rj_unpack_text(in, "worker", worker->id, sizeof(worker->id));
	worker->incarnation = rj_unpack_number(in, "incarnation", UINT64_MAX);
	worker->pace.log_ratio =
		read_signed(in, "log_ratio", PACE_UNIT, LOG_MAX);
	worker->pace.variance = read_variance(in, "variance");
	worker->pace.samples =
		(uint32_t)rj_unpack_number(in, "samples", UINT32_MAX);
	history->bad_ends =
		read_real(in, "bad_ends", BAD_ENDS_UNIT, HISTORY_MAX);
	history->exposure_s =
		read_real(in, "exposure", EXPOSURE_UNIT_S, HISTORY_MAX);
	history->updated_us = time_before_us(
		now_us, age_us + read_duration_us(in, "updated"));
	if (history->bad_ends <= 0 && history->exposure_s <= 0)
		history->updated_us = 0;
	probation_us = read_duration_us(in, "probation");
	if (probation_us > age_us)
		history->probation_until_us = now_us + probation_us - age_us;
}

static void write_queue(struct rj_packer *out,
			const struct rj_cell_queue_mean *mean)
{
	const struct rj_cell_estimate_error *error = &mean->estimate_error;

	rj_pack_text(out, mean->queue);
	write_real(out, mean->ms, MEAN_UNIT_MS, MEAN_MAX_MS);
	rj_pack_number(out, mean->samples);
	write_signed(out, error->mean, PACE_UNIT, LOG_MAX);
	write_variance(out, error->variance);
	rj_pack_number(out, error->samples);
}

static void read_queue(struct rj_unpacker *in, struct rj_cell_queue_mean *mean)
{
	struct rj_cell_estimate_error *error = &mean->estimate_error;

	rj_unpack_text(in, "queue", mean->queue, sizeof(mean->queue));
	mean->ms = read_real(in, "mean", MEAN_UNIT_MS, MEAN_MAX_MS);
	mean->samples =
		(uint32_t)rj_unpack_number(in, "mean_samples", UINT32_MAX);
	error->mean = read_signed(in, "error", PACE_UNIT, LOG_MAX);
	error->variance = read_variance(in, "error_variance");
	error->samples =
		(uint32_t)rj_unpack_number(in, "error_samples", UINT32_MAX);
}

/* Encodes everything that the checksum covers besides the header. */
static struct rj_bytes write_payload(void *mem,
				     const struct rj_cell_snapshot *snapshot,
				     uint64_t now_us)
{
	struct rj_packer out;

	rj_pack_init(&out);
	rj_pack_number(&out, snapshot->worker_count);
	for (uint32_t i = 0; i < snapshot->worker_count; i++)
		write_worker(&out, &snapshot->workers[i], now_us);
	rj_pack_number(&out, snapshot->queue_count);
	for (uint32_t i = 0; i < snapshot->queue_count; i++)
		write_queue(&out, &snapshot->queues[i]);
	rj_pack_number(&out, snapshot->urgent_accelerators);
	rj_pack_number(&out, snapshot->account_count);
	for (uint32_t i = 0; i < snapshot->account_count; i++) {
		rj_pack_text(&out, snapshot->accounts[i].account);
		rj_pack_number(&out, snapshot->accounts[i].use_ppm);
	}
	return rj_pack_finish(&out, mem);
}

/* Returns the checksum of a payload and of the header that decides whether it
 * is accepted. */
static uint64_t checksum_of(struct rj_bytes payload, uint64_t token,
			    uint64_t wall_ms)
{
	const uint64_t header[] = { token, wall_ms };

	return rj_hash64(payload.data, payload.length,
			 rj_hash64(header, sizeof(header), CHECKSUM_SEED));
}

/*
 * Returns a record with this payload, its header and checksum, as a talloc
 * child of `mem`.
 */
struct rj_bytes rj_cell_snapshot_seal(void *mem, uint64_t token,
				      uint64_t wall_ms, struct rj_bytes payload)
{
	struct rj_packer out;

	rj_pack_init(&out);
	rj_pack_number(&out, SNAPSHOT_FORMAT);
	rj_pack_number(&out, token);
	rj_pack_number(&out, wall_ms);
	rj_pack_number(&out, checksum_of(payload, token, wall_ms));
	rj_pack_data(&out, payload.data, payload.length);
	return rj_pack_finish(&out, mem);
}

/*
 * Encodes a record as a talloc child of `mem`. `now_us` is the time of its
 * `wall_ms` by the clock of the times in it. Counts must be within their
 * limits.
 */
struct rj_bytes rj_cell_snapshot_encode(void *mem,
					const struct rj_cell_snapshot *snapshot,
					uint64_t now_us)
{
	struct rj_bytes payload = write_payload(mem, snapshot, now_us);
	struct rj_bytes record = rj_cell_snapshot_seal(
		mem, snapshot->token, snapshot->wall_ms, payload);

	assert(snapshot->worker_count <= RJ_CELL_SNAPSHOT_WORKERS_MAX &&
	       snapshot->queue_count <= RJ_CELL_SNAPSHOT_QUEUES_MAX &&
	       snapshot->account_count <= RJ_CELL_SNAPSHOT_ACCOUNTS_MAX);
	talloc_free((void *)payload.data);
	return record;
}

/* Decodes the number of rows and allocates them, zeroed. A damaged number must
 * not allocate more than the record's length allows. */
static void *read_rows(struct rj_unpacker *in, void *mem, const char *field,
		       uint32_t max, size_t size, uint32_t *count)
{
	void *rows;

	*count = (uint32_t)rj_unpack_number(in, field, max);
	if (*count > (in->length - in->offset) / ROW_BYTES_MIN)
		rj_unpack_fail(in, field);
	if (in->bad_field)
		*count = 0;
	rows = talloc_zero_size(mem, size * MAX(*count, 1));
	assert(rows);
	return rows;
}

/* Decodes a payload, which must end with its last field. Returns 0 or -1. */
static int read_payload(void *mem, struct rj_bytes payload,
			const struct rj_cell_snapshot_reader *reader,
			struct rj_cell_snapshot *snapshot)
{
	uint64_t age_us = rj_cell_snapshot_age_us(snapshot, reader);
	struct rj_unpacker in;
	struct rj_error err;

	rj_unpack_init(&in, payload);
	snapshot->workers =
		read_rows(&in, mem, "workers", RJ_CELL_SNAPSHOT_WORKERS_MAX,
			  sizeof(*snapshot->workers), &snapshot->worker_count);
	for (uint32_t i = 0; i < snapshot->worker_count && !in.bad_field; i++)
		read_worker(&in, &snapshot->workers[i], reader->now_us, age_us);
	snapshot->queues =
		read_rows(&in, mem, "queues", RJ_CELL_SNAPSHOT_QUEUES_MAX,
			  sizeof(*snapshot->queues), &snapshot->queue_count);
	for (uint32_t i = 0; i < snapshot->queue_count && !in.bad_field; i++)
		read_queue(&in, &snapshot->queues[i]);
	snapshot->urgent_accelerators =
		(uint32_t)rj_unpack_number(&in, "urgent", UINT32_MAX);
	snapshot->accounts = read_rows(
		&in, mem, "accounts", RJ_CELL_SNAPSHOT_ACCOUNTS_MAX,
		sizeof(*snapshot->accounts), &snapshot->account_count);
	for (uint32_t i = 0; i < snapshot->account_count && !in.bad_field;
	     i++) {
		struct rj_cell_account_use *account = &snapshot->accounts[i];

		rj_unpack_text(&in, "account", account->account,
			       sizeof(account->account));
		account->use_ppm =
			(uint32_t)rj_unpack_number(&in, "use", UINT32_MAX);
	}
	if (rj_unpack_has_more(&in))
		rj_unpack_fail(&in, "end");
	return rj_unpack_finish(&in, &err);
}

/* Whether a record is too old. The clocks of two instances may differ; one that
 * is ahead by more than the limit would make any record look new. */
static bool is_old(const struct rj_cell_snapshot *snapshot,
		   const struct rj_cell_snapshot_reader *reader)
{
	uint64_t distance_ms = reader->wall_ms > snapshot->wall_ms ?
				       reader->wall_ms - snapshot->wall_ms :
				       snapshot->wall_ms - reader->wall_ms;

	return distance_ms > RJ_CELL_SNAPSHOT_AGE_MAX_MS;
}

/* Decodes the format and the header, and the payload without a copy. */
static enum rj_cell_snapshot_status
read_header(struct rj_unpacker *in, struct rj_cell_snapshot *snapshot,
	    struct rj_bytes *payload)
{
	uint64_t format = rj_unpack_number(in, "format", UINT64_MAX);
	uint64_t checksum;

	if (!in->bad_field && format != SNAPSHOT_FORMAT)
		return RJ_CELL_SNAPSHOT_OTHER_VERSION;
	snapshot->token = rj_unpack_number(in, "token", UINT64_MAX);
	snapshot->wall_ms = rj_unpack_number(in, "wall", UINT64_MAX);
	checksum = rj_unpack_number(in, "checksum", UINT64_MAX);
	*payload = rj_unpack_data(in, "payload", PAYLOAD_BYTES_MAX);
	if (in->bad_field || checksum != checksum_of(*payload, snapshot->token,
						     snapshot->wall_ms))
		return RJ_CELL_SNAPSHOT_DAMAGED;
	return RJ_CELL_SNAPSHOT_ACCEPTED;
}

/* Decodes a record into one that is zeroed. */
static enum rj_cell_snapshot_status
decode(void *mem, struct rj_unpacker *in,
       const struct rj_cell_snapshot_reader *reader,
       struct rj_cell_snapshot *snapshot)
{
	struct rj_bytes payload;
	enum rj_cell_snapshot_status status =
		read_header(in, snapshot, &payload);

	if (status != RJ_CELL_SNAPSHOT_ACCEPTED)
		return status;
	if (snapshot->token > reader->token)
		return RJ_CELL_SNAPSHOT_HIGHER_TOKEN;
	if (is_old(snapshot, reader))
		return RJ_CELL_SNAPSHOT_OLD;
	return read_payload(mem, payload, reader, snapshot) ?
		       RJ_CELL_SNAPSHOT_DAMAGED :
		       RJ_CELL_SNAPSHOT_ACCEPTED;
}

/*
 * Decodes a record. Its rows are talloc children of `mem`, their times by the
 * reader's clock. One that is refused is left empty.
 *
 * Guards against a successor that places work by figures of another time or
 * against random ones: it starts without them instead.
 */
enum rj_cell_snapshot_status
rj_cell_snapshot_decode(void *mem, struct rj_bytes bytes,
			const struct rj_cell_snapshot_reader *reader,
			struct rj_cell_snapshot *snapshot)
{
	void *rows = talloc_named_const(mem, 0, "cell snapshot");
	enum rj_cell_snapshot_status status;
	struct rj_unpacker in;
	struct rj_error err;

	assert(rows);
	memset(snapshot, 0, sizeof(*snapshot));
	rj_unpack_init(&in, bytes);
	status = decode(rows, &in, reader, snapshot);
	(void)rj_unpack_finish(&in, &err);
	if (status != RJ_CELL_SNAPSHOT_ACCEPTED) {
		talloc_free(rows);
		memset(snapshot, 0, sizeof(*snapshot));
	}
	return status;
}

/*
 * Returns how long ago a record was written, in microseconds; 0 if the writer's
 * clock is ahead of the reader's.
 */
uint64_t rj_cell_snapshot_age_us(const struct rj_cell_snapshot *snapshot,
				 const struct rj_cell_snapshot_reader *reader)
{
	return reader->wall_ms > snapshot->wall_ms ?
		       (reader->wall_ms - snapshot->wall_ms) * RJ_US_PER_MS :
		       0;
}
