#include "private/cell_rejections.h"

#include <assert.h>
#include <ctype.h>
#include <string.h>
#include <talloc.h>

#include "private/pack.h"

#define FORMAT 1
/* More than the age at which rejections are dropped, and in two bytes. */
#define DURATION_MAX_MS UINT16_MAX

/*
 * Parses a job id. Returns false if it has upper-case digits: two ids that
 * differ in these alone are two jobs, and would share one turn.
 */
bool rj_cell_rejection_id(const char *text, uint64_t *id)
{
	*id = 0;
	for (uint32_t i = 0; i < RJ_CELL_ID_BYTES - 1; i++) {
		if (!isxdigit((unsigned char)text[i]) ||
		    isupper((unsigned char)text[i]))
			return false;
		*id = *id << 4 | (uint64_t)g_ascii_xdigit_value(text[i]);
	}
	return true;
}

/*
 * Writes the job id of a rejection.
 */
void rj_cell_rejection_id_text(uint64_t id, char text[RJ_CELL_ID_BYTES])
{
	(void)g_snprintf(text, RJ_CELL_ID_BYTES, "%016" G_GINT64_MODIFIER "x",
			 id);
}

/* Encodes a duration; one that is too long for its field is cut off. */
static void write_duration(struct rj_packer *out, uint64_t from_ms,
			   uint64_t to_ms)
{
	rj_pack_number(out, to_ms > from_ms ?
				    MIN(to_ms - from_ms, DURATION_MAX_MS) :
				    0);
}

/*
 * Encodes the rejections of an instance as a talloc child of `mem`: 17 to 19
 * bytes each, as times are relative.
 */
struct rj_bytes
rj_cell_rejections_encode(void *mem, const struct rj_cell_rejection_list *list)
{
	struct rj_packer out;

	rj_pack_init(&out);
	rj_pack_number(&out, FORMAT);
	rj_pack_number(&out, list->written_ms);
	rj_pack_number(&out, list->queue_count);
	for (uint32_t i = 0; i < list->queue_count; i++)
		rj_pack_text(&out, list->queues[i]);
	rj_pack_number(&out, list->count);
	for (uint32_t i = 0; i < list->count; i++) {
		const struct rj_cell_rejection *rejection =
			&list->rejections[i];

		rj_pack_number(&out, rejection->id);
		write_duration(&out, rejection->first_ms, list->written_ms);
		write_duration(&out, rejection->first_ms, rejection->last_ms);
		write_duration(&out, 0, rejection->delay_ms);
		rj_pack_number(&out, rejection->queue);
	}
	return rj_pack_finish(&out, mem);
}

/* Decodes one rejection. */
static void read_rejection(struct rj_unpacker *in,
			   const struct rj_cell_rejection_list *list,
			   struct rj_cell_rejection *rejection)
{
	uint64_t age_ms;

	rejection->id = rj_unpack_number(in, "id", UINT64_MAX);
	age_ms = rj_unpack_number(in, "age", DURATION_MAX_MS);
	rejection->first_ms =
		list->written_ms > age_ms ? list->written_ms - age_ms : 0;
	rejection->last_ms = rejection->first_ms +
			     rj_unpack_number(in, "last", DURATION_MAX_MS);
	rejection->delay_ms =
		(uint32_t)rj_unpack_number(in, "delay", DURATION_MAX_MS);
	rejection->queue = (uint8_t)rj_unpack_number(
		in, "queue", list->queue_count ? list->queue_count - 1 : 0);
}

/*
 * Decodes the output of rj_cell_rejections_encode. Returns 0, or -1 with `err`.
 */
int rj_cell_rejections_decode(struct rj_bytes bytes,
			      struct rj_cell_rejection_list *list,
			      struct rj_error *err)
{
	struct rj_unpacker in;

	memset(list, 0, sizeof(*list));
	rj_unpack_init(&in, bytes);
	if (rj_unpack_number(&in, "format", UINT32_MAX) != FORMAT)
		rj_unpack_fail(&in, "format");
	/* Leaves room for the durations that are added. */
	list->written_ms = rj_unpack_number(&in, "written", INT64_MAX);
	list->queue_count = (uint32_t)rj_unpack_number(
		&in, "queues", RJ_CELL_REJECTION_QUEUES_MAX);
	for (uint32_t i = 0; i < list->queue_count; i++)
		rj_unpack_text(&in, "queue", list->queues[i], RJ_NAME_BYTES);
	list->count = (uint32_t)rj_unpack_number(&in, "rejections",
						 RJ_CELL_REJECTIONS_MAX);
	if (list->count && !list->queue_count)
		rj_unpack_fail(&in, "queues");
	for (uint32_t i = 0; i < list->count; i++)
		read_rejection(&in, list, &list->rejections[i]);
	return rj_unpack_finish(&in, err);
}

/* Whether a rejected submission has been accepted since, as far as the view
 * knows. */
static bool is_accepted(const struct rj_cell_view *view, uint64_t id)
{
	char text[RJ_CELL_ID_BYTES];

	rj_cell_rejection_id_text(id, text);
	return rj_cell_view_is_accepted(rj_cell_view_find(view, text));
}

/*
 * Returns whose turn it is in a queue, by the owner's newest heartbeat. Sets
 * `early_ms` to the time until the turn of a submission that is early.
 *
 * An id that has been accepted counts until the next heartbeat, which announces
 * the next one: otherwise whoever retries in between would be accepted.
 */
enum rj_cell_turn
rj_cell_rejections_turn(const struct rj_cell_owner_heartbeat *heartbeat,
			const char *id, const char *queue, uint64_t wall_ms,
			uint32_t *early_ms)
{
	enum rj_cell_turn turn = RJ_CELL_TURN_NONE;
	uint64_t own_id;
	bool has_id = rj_cell_rejection_id(id, &own_id);

	for (uint32_t i = 0; i < heartbeat->announced_count; i++) {
		const struct rj_cell_announced *announced =
			&heartbeat->announced[i];

		if (strcmp(heartbeat->queue_loads[announced->queue].queue,
			   queue) != 0)
			continue;
		if (!has_id || announced->id != own_id) {
			turn = RJ_CELL_TURN_OTHERS;
			continue;
		}
		if (wall_ms + RJ_CELL_REJECTION_EARLY_MS >= announced->due_ms)
			return RJ_CELL_TURN_OWN;
		*early_ms = (uint32_t)(announced->due_ms - wall_ms);
		return RJ_CELL_TURN_EARLY;
	}
	return turn;
}

/*
 * Initializes an empty list of rejections.
 */
void rj_cell_rejections_init(struct rj_cell_rejections *rejections)
{
	memset(rejections, 0, sizeof(*rejections));
}

/* Returns the rejection with an id, or NULL. */
static struct rj_cell_rejection *find(struct rj_cell_rejection_list *list,
				      uint64_t id)
{
	for (uint32_t i = 0; i < list->count; i++)
		if (list->rejections[i].id == id)
			return &list->rejections[i];
	return NULL;
}

/* Removes the rejections that are too old and, with a view, those that have
 * been accepted since. */
static void prune(struct rj_cell_rejection_list *list,
		  const struct rj_cell_view *view, uint64_t wall_ms)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < list->count; i++) {
		const struct rj_cell_rejection *rejection =
			&list->rejections[i];

		if (wall_ms > rejection->first_ms +
				      RJ_CELL_REJECTION_AGE_MAX_MS ||
		    (view && is_accepted(view, rejection->id)))
			continue;
		list->rejections[kept++] = *rejection;
	}
	list->count = kept;
	if (!kept)
		list->queue_count = 0;
}

/* Returns the index of a queue, which is added if there is room; otherwise
 * RJ_CELL_REJECTION_QUEUES_MAX. */
static uint32_t queue_index(struct rj_cell_rejection_list *list,
			    const char *queue)
{
	uint32_t i;

	for (i = 0; i < list->queue_count; i++)
		if (!strcmp(list->queues[i], queue))
			return i;
	if (i == RJ_CELL_REJECTION_QUEUES_MAX)
		return i;
	g_strlcpy(list->queues[i], queue, RJ_NAME_BYTES);
	list->queue_count++;
	return i;
}

/* Returns how much of the delay of a rejection is left; 0 if it has passed or is
 * about to. */
static uint32_t delay_left_ms(const struct rj_cell_rejection *rejection,
			      uint64_t wall_ms)
{
	uint64_t due_ms = rejection->last_ms + rejection->delay_ms;

	return wall_ms + RJ_CELL_REJECTION_EARLY_MS < due_ms ?
		       (uint32_t)MIN(due_ms - wall_ms, rejection->delay_ms) :
		       0;
}

/*
 * Returns how long a submission still has to wait after its last rejection by
 * this instance.
 *
 * Guards against a caller that was rejected just before it was announced, and
 * that does not wait for its delay: the owner does not know of it yet.
 */
uint32_t rj_cell_rejections_left_ms(struct rj_cell_rejections *rejections,
				    const char *id, uint64_t wall_ms)
{
	const struct rj_cell_rejection *rejection = NULL;
	uint64_t number;

	if (rj_cell_rejection_id(id, &number))
		rejection = find(&rejections->list, number);
	return rejection ? delay_left_ms(rejection, wall_ms) : 0;
}

/*
 * Keeps the rejection of a submission, unless there are too many older ones.
 * Returns the delay to tell its caller: `delay_ms`, or for a retry that comes
 * early what is left of the former delay.
 *
 * Load: callers that retry much more often than they were told. An early retry
 * changes nothing, so that it neither extends nor moves the turn.
 */
uint32_t rj_cell_rejections_add(struct rj_cell_rejections *rejections,
				const char *id, const char *queue,
				uint64_t wall_ms, uint32_t delay_ms)
{
	struct rj_cell_rejection_list *list = &rejections->list;
	struct rj_cell_rejection *rejection;
	uint32_t index;
	uint64_t number;

	if (!rj_cell_rejection_id(id, &number))
		return delay_ms;
	prune(list, NULL, wall_ms);
	rejection = find(list, number);
	if (rejection) {
		uint32_t left_ms = delay_left_ms(rejection, wall_ms);

		if (left_ms)
			return left_ms;
		rejection->last_ms = MAX(wall_ms, rejection->first_ms);
		rejection->delay_ms = delay_ms;
		rejections->changed = true;
		return delay_ms;
	}
	/* A queue is added only together with its first rejection. */
	if (list->count == RJ_CELL_REJECTIONS_MAX)
		return delay_ms;
	index = queue_index(list, queue);
	if (index == RJ_CELL_REJECTION_QUEUES_MAX)
		return delay_ms;
	list->rejections[list->count++] =
		(struct rj_cell_rejection){ number, wall_ms, wall_ms, delay_ms,
					    (uint8_t)index };
	rejections->changed = true;
	return delay_ms;
}

/* Handles the outcome of a record; one that may not be stored is repeated. */
static void write_done(void *private_data, enum rj_cell_write_outcome outcome)
{
	struct rj_cell_rejections *rejections = private_data;

	rejections->writing = false;
	if (outcome != RJ_CELL_WRITE_STORED)
		rejections->changed = true;
}

/*
 * Stores the rejections if there are new ones and the last record is older than
 * `interval_ms`. The record goes with the submissions that wait for an append.
 */
void rj_cell_rejections_tick(struct rj_cell_rejections *rejections,
			     struct rj_cell_writer *writer,
			     const struct rj_cell_view *view,
			     const char *instance, uint32_t interval_ms,
			     uint64_t now_us, uint64_t wall_ms)
{
	char key[RJ_CELL_INSTANCE_KEY_BYTES];
	struct rj_bytes value;

	if (!rejections->changed || rejections->writing || !writer->open ||
	    now_us < rejections->write_due_us)
		return;
	rejections->changed = false;
	prune(&rejections->list, view, wall_ms);
	if (!rejections->list.count)
		return;
	rejections->writing = true;
	rejections->write_due_us =
		now_us +
		MAX(interval_ms, RJ_CELL_REJECTIONS_INTERVAL_MS) * RJ_US_PER_MS;
	rejections->list.written_ms = wall_ms;
	rj_cell_record_instance_key(key, RJ_CELL_RECORD_REJECTIONS, instance);
	value = rj_cell_rejections_encode(writer->mem, &rejections->list);
	rj_cell_writer_add(
		writer, key, value,
		(struct rj_cell_write_done){ write_done, rejections });
	talloc_free((void *)value.data);
	rj_cell_writer_flush(writer, now_us);
}
