#include "private/cell_return_order.h"

#include <string.h>

/*
 * A submission is announced up to this long before its delay has passed, so that
 * the instance at which it returns knows of it: a heartbeat is written every
 * 0.4 s and read within 0.3 s.
 */
#define ANNOUNCE_AHEAD_MS 1000
/* How long the owner may not know yet that a submission has returned and was
 * rejected: the interval of the records, and the time to store and read one. */
#define REPORT_DELAY_MS 600
/* Of one queue, so that no queue takes the whole list. */
#define QUEUE_ANNOUNCED_MAX (RJ_CELL_ANNOUNCED_MAX / 2)
/*
 * Only so many submissions of a queue, the first in the order, are announced; if
 * all of them are away, the queue is held for them.
 *
 * Guards against a submission that was rejected late and told to return soon,
 * while those before it were told to return later.
 */
#define QUEUE_AHEAD_MAX 32
/* A queue that accepts for this long although as many submissions are announced
 * as may be is opened to all: the list is too short for the rate of jobs. */
#define OPEN_AFTER_MS 2000
/* A queue is also opened after as many callers in a row as this have not
 * returned: they do not retry, and waiting for them would waste capacity. */
#define OPEN_AFTER_LOSSES 8
/* Without a heartbeat for this long the store or the owner was stalled, and
 * callers may have been turned away for another reason than backlog. */
#define STALL_MS 1500
/* Time that callers are given to return after that. */
#define AFTER_STALL_MS 5000
/* Records that the owner follows for each second; with more instances the
 * interval of their records is longer. */
#define RECORDS_PER_S 250

/* By first rejection, then by id. */
static gint by_order(gconstpointer a, gconstpointer b, gpointer unused)
{
	const struct rj_cell_return_entry *left = a;
	const struct rj_cell_return_entry *right = b;

	if (left->first_ms != right->first_ms)
		return left->first_ms < right->first_ms ? -1 : 1;
	return left->id < right->id ? -1 : left->id > right->id;
}

/*
 * Initializes an empty list.
 */
void rj_cell_return_order_init(struct rj_cell_return_order *order)
{
	memset(order, 0, sizeof(*order));
	order->by_id = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     g_free);
	order->entries = g_sequence_new(NULL);
	order->written =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/*
 * Frees what `rj_cell_return_order_init` allocated.
 */
void rj_cell_return_order_finish(struct rj_cell_return_order *order)
{
	if (!order->entries)
		return;
	g_sequence_free(order->entries);
	g_hash_table_destroy(order->by_id);
	g_hash_table_destroy(order->written);
	order->entries = NULL;
}

/*
 * Empties the list, as it is loaded again at a takeover. The counters stay.
 */
void rj_cell_return_order_begin(struct rj_cell_return_order *order)
{
	struct rj_cell_return_counters counters = order->counters;

	rj_cell_return_order_finish(order);
	rj_cell_return_order_init(order);
	order->counters = counters;
}

static struct rj_cell_return_entry *
find(const struct rj_cell_return_order *order, uint64_t id)
{
	gint64 key = (gint64)id;

	return g_hash_table_lookup(order->by_id, &key);
}

/* Returns the first entry, or NULL. */
static struct rj_cell_return_entry *
first_entry(const struct rj_cell_return_order *order)
{
	GSequenceIter *at = g_sequence_get_begin_iter(order->entries);

	return g_sequence_iter_is_end(at) ? NULL : g_sequence_get(at);
}

/* Returns the entry after one, or NULL. */
static struct rj_cell_return_entry *
next_entry(const struct rj_cell_return_entry *entry)
{
	GSequenceIter *at = g_sequence_iter_next(entry->at);

	return g_sequence_iter_is_end(at) ? NULL : g_sequence_get(at);
}

/* Returns the announcements of a queue, which are added if there is room, or
 * NULL. */
static struct rj_cell_return_queue *
obtain_queue(struct rj_cell_return_order *order, const char *name)
{
	struct rj_cell_return_queue *queue;

	for (uint32_t i = 0; i < order->queue_count; i++)
		if (!strcmp(order->queues[i].name, name))
			return &order->queues[i];
	if (order->queue_count == RJ_CELL_QUEUE_LOADS_MAX)
		return NULL;
	queue = &order->queues[order->queue_count++];
	g_strlcpy(queue->name, name, sizeof(queue->name));
	queue->window = 1;
	return queue;
}

/* Changes whether an entry is announced. */
static void set_announced(struct rj_cell_return_order *order,
			  struct rj_cell_return_entry *entry, bool announced)
{
	struct rj_cell_return_queue *queue = obtain_queue(order, entry->queue);

	if (!queue || entry->announced == announced)
		return;
	entry->announced = announced;
	if (announced) {
		queue->outstanding++;
		order->outstanding++;
		order->counters.announced++;
	} else {
		queue->outstanding--;
		order->outstanding--;
	}
}

/* Lets one more submission of a queue be announced at once: the former ones did
 * not fill its capacity, as it still accepts. */
static void widen(struct rj_cell_return_order *order, const char *name)
{
	struct rj_cell_return_queue *queue = obtain_queue(order, name);

	if (queue && !queue->rejects)
		queue->window = MIN(queue->window + 1, QUEUE_ANNOUNCED_MAX);
}

static void remove_entry(struct rj_cell_return_order *order,
			 struct rj_cell_return_entry *entry)
{
	set_announced(order, entry, false);
	g_sequence_remove(entry->at);
	g_hash_table_remove(order->by_id, &entry->id);
}

/* Adds an entry, in place of the last one if there is no room. Returns NULL if it
 * would be the last one itself. */
static struct rj_cell_return_entry *
add_entry(struct rj_cell_return_order *order, uint64_t id, uint64_t first_ms)
{
	struct rj_cell_return_entry *entry;

	if (g_hash_table_size(order->by_id) == RJ_CELL_RETURN_ENTRIES_MAX) {
		entry = g_sequence_get(g_sequence_iter_prev(
			g_sequence_get_end_iter(order->entries)));
		if (first_ms >= entry->first_ms)
			return NULL;
		remove_entry(order, entry);
	}
	entry = g_new0(struct rj_cell_return_entry, 1);
	entry->id = id;
	entry->first_ms = first_ms;
	entry->at =
		g_sequence_insert_sorted(order->entries, entry, by_order, NULL);
	g_hash_table_insert(order->by_id, &entry->id, entry);
	return entry;
}

/* Moves an entry to its place by a first rejection. */
static void set_first(struct rj_cell_return_entry *entry, uint64_t first_ms)
{
	if (entry->first_ms == first_ms)
		return;
	entry->first_ms = first_ms;
	g_sequence_sort_changed(entry->at, by_order, NULL);
}

/* Records that the caller of an entry has returned. */
static void record_return(struct rj_cell_return_order *order,
			  const struct rj_cell_return_entry *entry)
{
	struct rj_cell_return_queue *queue = obtain_queue(order, entry->queue);

	if (queue)
		queue->losses = 0;
}

/*
 * Applies the last rejection of an entry by one instance. One that came early is
 * ignored, so that frequent retries change nothing.
 *
 * An entry that had lost its turn gets it back if its caller returned in time,
 * and the record came late; otherwise it starts anew.
 */
static void apply_last(struct rj_cell_return_order *order,
		       struct rj_cell_return_entry *entry, uint64_t last_ms,
		       uint64_t delay_ms)
{
	if (last_ms + RJ_CELL_REJECTION_EARLY_MS < entry->due_ms)
		return;
	record_return(order, entry);
	if (entry->lost_ms &&
	    last_ms > entry->due_ms + RJ_CELL_RETURN_WITHIN_MS) {
		entry->floor_ms = last_ms;
		set_first(entry, last_ms);
	}
	entry->lost_ms = 0;
	entry->due_ms = MAX(entry->due_ms, last_ms + delay_ms);
}

/* Adds or updates one rejection of a record. */
static void read_rejection(struct rj_cell_return_order *order,
			   const char *instance,
			   const struct rj_cell_rejection_list *list,
			   const struct rj_cell_rejection *rejection,
			   uint64_t wall_ms)
{
	struct rj_cell_return_entry *entry = find(order, rejection->id);
	/* An instance whose clock is ahead must not move its callers behind
	 * those that are rejected later. */
	uint64_t first_ms = MIN(rejection->first_ms, wall_ms);
	uint64_t last_ms = MIN(rejection->last_ms, wall_ms);

	if (wall_ms > first_ms + RJ_CELL_REJECTION_AGE_MAX_MS)
		return;
	if (entry) {
		apply_last(order, entry, last_ms, rejection->delay_ms);
		first_ms = MAX(first_ms, entry->floor_ms);
		if (first_ms >= entry->first_ms)
			return;
		set_first(entry, first_ms);
	} else {
		entry = add_entry(order, rejection->id, first_ms);
		if (!entry)
			return;
		entry->due_ms = last_ms + rejection->delay_ms;
	}
	g_strlcpy(entry->instance, instance, sizeof(entry->instance));
	if (!entry->announced)
		g_strlcpy(entry->queue, list->queues[rejection->queue],
			  sizeof(entry->queue));
}

/*
 * Applies the record of an instance. Jobs that the view knows as accepted are
 * passed over. A record that the instance wrote earlier, or that repeats what is
 * known, changes nothing.
 */
void rj_cell_return_order_read(struct rj_cell_return_order *order,
			       const char *instance,
			       const struct rj_cell_rejection_list *list,
			       const struct rj_cell_view *view,
			       uint64_t wall_ms)
{
	uint64_t *written_ms = g_hash_table_lookup(order->written, instance);

	if (!written_ms) {
		written_ms = g_new0(uint64_t, 1);
		g_hash_table_insert(order->written, g_strdup(instance),
				    written_ms);
	}
	*written_ms = MIN(list->written_ms, wall_ms);
	for (uint32_t i = 0; i < list->count; i++) {
		const struct rj_cell_rejection *rejection =
			&list->rejections[i];
		char id[RJ_CELL_ID_BYTES];

		rj_cell_rejection_id_text(rejection->id, id);
		if (!rj_cell_view_is_accepted(rj_cell_view_find(view, id)))
			read_rejection(order, instance, list, rejection,
				       wall_ms);
	}
}

/*
 * Removes a submission that has been accepted. Returns whether it was in the
 * list, with a copy of its entry.
 */
bool rj_cell_return_order_accept(struct rj_cell_return_order *order,
				 uint64_t id,
				 struct rj_cell_return_entry *accepted)
{
	struct rj_cell_return_entry *entry = find(order, id);

	if (!entry)
		return false;
	*accepted = *entry;
	record_return(order, entry);
	if (entry->announced) {
		order->counters.in_turn++;
		widen(order, entry->queue);
	}
	remove_entry(order, entry);
	return true;
}

/*
 * Keeps the announcements of the former owner, whose callers may be on their
 * way. As after a stall, nothing loses its turn for some seconds: between the
 * owners callers may have been turned away for another reason than backlog.
 */
void rj_cell_return_order_resume(struct rj_cell_return_order *order,
				 const struct rj_cell_owner_heartbeat *former,
				 uint64_t wall_ms)
{
	order->keep_until_ms = wall_ms + AFTER_STALL_MS;
	for (uint32_t i = 0; i < former->announced_count; i++) {
		struct rj_cell_return_entry *entry =
			find(order, former->announced[i].id);

		if (entry)
			set_announced(order, entry, true);
	}
}

/* Takes the turn from an entry whose caller has not returned. */
static void lose_turn(struct rj_cell_return_order *order,
		      struct rj_cell_return_entry *entry, uint64_t wall_ms)
{
	struct rj_cell_return_queue *queue = obtain_queue(order, entry->queue);

	entry->lost_ms = wall_ms;
	order->counters.expired++;
	if (queue)
		queue->losses++;
	if (!entry->announced)
		return;
	set_announced(order, entry, false);
	widen(order, entry->queue);
}

/* Drops old entries, takes the turn from those that have not returned, and
 * withdraws announcements of those that return later. */
static void expire(struct rj_cell_return_order *order, uint32_t interval_ms,
		   uint64_t wall_ms)
{
	uint64_t late_ms =
		RJ_CELL_RETURN_WITHIN_MS + REPORT_DELAY_MS + interval_ms;
	struct rj_cell_return_entry *entry;
	struct rj_cell_return_entry *next;

	for (entry = first_entry(order); entry; entry = next) {
		next = next_entry(entry);
		if (wall_ms > entry->first_ms + RJ_CELL_REJECTION_AGE_MAX_MS) {
			order->counters.expired += !entry->lost_ms;
			remove_entry(order, entry);
		} else if (!entry->lost_ms && wall_ms >= order->keep_until_ms &&
			   wall_ms > entry->due_ms + late_ms) {
			lose_turn(order, entry, wall_ms);
		} else if (entry->announced &&
			   entry->due_ms > wall_ms + ANNOUNCE_AHEAD_MS) {
			set_announced(order, entry, false);
		}
	}
}

/* Returns the index of a queue's load, or the number of loads. */
static uint32_t load_index(const struct rj_cell_owner_heartbeat *heartbeat,
			   const char *name)
{
	uint32_t i = 0;

	while (i < heartbeat->queue_load_count &&
	       strcmp(heartbeat->queue_loads[i].queue, name) != 0)
		i++;
	return i;
}

/*
 * Updates a queue by its present forecast, and opens it to all if turns would
 * keep it from using its capacity.
 *
 * Guards against callers that are rejected although there is capacity for them:
 * because nothing waits any more, because the announced ones do not return, or
 * because more jobs are completed than can be announced.
 */
static void update_queue(struct rj_cell_return_queue *queue, bool rejects,
			 bool backlogged, uint64_t wall_ms)
{
	queue->rejects = rejects;
	if (rejects) {
		queue->window = 1;
		queue->open = false;
	}
	if (queue->window < QUEUE_ANNOUNCED_MAX)
		queue->full_since_ms = 0;
	else if (!queue->full_since_ms)
		queue->full_since_ms = wall_ms;
	else if (wall_ms > queue->full_since_ms + OPEN_AFTER_MS)
		queue->open = true;
	if (!rejects && (!backlogged || queue->losses >= OPEN_AFTER_LOSSES))
		queue->open = true;
}

/* Updates the queues by the present forecasts, and drops those that have no load
 * any more. */
static void update_queues(struct rj_cell_return_order *order,
			  const struct rj_cell_owner_heartbeat *heartbeat,
			  uint32_t backlogged, uint64_t wall_ms)
{
	for (uint32_t i = order->queue_count; i-- > 0;) {
		struct rj_cell_return_queue *queue = &order->queues[i];

		queue->passed = 0;
		queue->next = NULL;
		if (!queue->outstanding && load_index(heartbeat, queue->name) ==
						   heartbeat->queue_load_count)
			*queue = order->queues[--order->queue_count];
	}
	for (uint32_t i = 0; i < heartbeat->queue_load_count; i++) {
		const struct rj_cell_queue_load *load =
			&heartbeat->queue_loads[i];
		struct rj_cell_return_queue *queue =
			obtain_queue(order, load->queue);

		if (queue)
			update_queue(queue, load->refuse, backlogged >> i & 1,
				     wall_ms);
	}
}

/* Whether an entry may be announced now. Call it for all entries in their order.
 * Remembers of each queue which of the first entries returns next. */
static bool is_next(struct rj_cell_return_order *order,
		    struct rj_cell_return_entry *entry, uint64_t wall_ms)
{
	struct rj_cell_return_queue *queue = obtain_queue(order, entry->queue);

	if (!queue || entry->lost_ms || queue->passed++ >= QUEUE_AHEAD_MAX)
		return false;
	if (!queue->next || entry->due_ms < queue->next->due_ms)
		queue->next = entry;
	return !entry->announced &&
	       entry->due_ms <= wall_ms + ANNOUNCE_AHEAD_MS &&
	       !queue->rejects && !queue->open &&
	       queue->outstanding < queue->window &&
	       order->outstanding < RJ_CELL_ANNOUNCED_MAX;
}

/* Adds an announced entry to the heartbeat, or withdraws it. */
static void write_entry(struct rj_cell_return_order *order,
			struct rj_cell_return_entry *entry,
			struct rj_cell_owner_heartbeat *heartbeat)
{
	const struct rj_cell_return_queue *queue =
		obtain_queue(order, entry->queue);
	uint32_t at = load_index(heartbeat, entry->queue);

	/* A queue without a load rejects nothing. */
	if (!queue || queue->open || at == heartbeat->queue_load_count) {
		set_announced(order, entry, false);
		return;
	}
	heartbeat->announced[heartbeat->announced_count++] =
		(struct rj_cell_announced){ entry->id, entry->due_ms, at };
}

/*
 * Adds to the heartbeat, for each queue that accepts while none is announced, the
 * submission that returns next, however long it takes.
 *
 * Guards against callers that retry all the time and would be accepted while all
 * those before them are away. As the queue has a backlog, no capacity is idle
 * meanwhile.
 */
static void hold_queues(const struct rj_cell_return_order *order,
			struct rj_cell_owner_heartbeat *heartbeat)
{
	for (uint32_t i = 0; i < order->queue_count; i++) {
		const struct rj_cell_return_queue *queue = &order->queues[i];
		uint32_t at = load_index(heartbeat, queue->name);

		if (queue->rejects || queue->open || queue->outstanding ||
		    !queue->next || at == heartbeat->queue_load_count ||
		    heartbeat->announced_count == RJ_CELL_ANNOUNCED_MAX)
			continue;
		heartbeat->announced[heartbeat->announced_count++] =
			(struct rj_cell_announced){ queue->next->id,
						    queue->next->due_ms, at };
	}
}

/*
 * Fills the heartbeat with the submissions whose turn it is. The loads of the
 * queues must be set; `backlogged` has the bit of each load whose queue has jobs
 * that wait, so that none of its capacity is idle.
 *
 * Load: many callers were rejected, and the forecast of their queue has some
 * capacity again. Each queue begins with one announcement, and widens to more as
 * long as it accepts, so that no more jobs are accepted at once than the
 * forecast follows.
 */
void rj_cell_return_order_announce(struct rj_cell_return_order *order,
				   struct rj_cell_owner_heartbeat *heartbeat,
				   uint32_t backlogged, uint64_t wall_ms)
{
	uint32_t interval_ms =
		g_hash_table_size(order->written) * 1000 / RECORDS_PER_S;
	struct rj_cell_return_entry *entry;

	interval_ms =
		interval_ms > RJ_CELL_REJECTIONS_INTERVAL_MS ? interval_ms : 0;
	if (order->announced_ms && wall_ms > order->announced_ms + STALL_MS)
		order->keep_until_ms = wall_ms + AFTER_STALL_MS;
	order->announced_ms = wall_ms;
	heartbeat->rejections_interval_ms = interval_ms;
	heartbeat->announced_count = 0;
	update_queues(order, heartbeat, backlogged, wall_ms);
	expire(order, interval_ms, wall_ms);
	for (entry = first_entry(order); entry; entry = next_entry(entry)) {
		if (is_next(order, entry, wall_ms))
			set_announced(order, entry, true);
		if (entry->announced)
			write_entry(order, entry, heartbeat);
	}
	hold_queues(order, heartbeat);
}

/*
 * Returns an instance whose record is too old to count, or NULL: the instance is
 * gone or rejects nothing any more, so that the record can be removed.
 */
const char *
rj_cell_return_order_old_record(const struct rj_cell_return_order *order,
				uint64_t wall_ms)
{
	GHashTableIter iter;
	gpointer instance;
	gpointer written_ms;

	g_hash_table_iter_init(&iter, order->written);
	while (g_hash_table_iter_next(&iter, &instance, &written_ms))
		if (wall_ms >
		    *(uint64_t *)written_ms + RJ_CELL_REJECTION_AGE_MAX_MS)
			return instance;
	return NULL;
}

/*
 * Forgets that an instance has a record.
 */
void rj_cell_return_order_forget_record(struct rj_cell_return_order *order,
					const char *instance)
{
	g_hash_table_remove(order->written, instance);
}
