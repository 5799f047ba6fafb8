#include "private/client_budget.h"

#include <assert.h>
#include <inttypes.h>
#include <string.h>
#include <sys/socket.h>

#include "private/log_event.h"
#include "radishjunction/types.h"

/* Memory of a connection: the HTTP library's pool for headers and framing, the
 * kernel's receive buffer, and the records of both. */
#define CONNECTION_BYTES (44 * 1024)
/* Connections take at most this part of the memory, bodies have the rest. */
#define CONNECTIONS_MEMORY_DIVISOR 2
/* Received bytes count half after each of these. */
#define HALF_LIFE_US RJ_US_PER_S
#define HALF_LIVES_MAX 63
/* A new request counts as if it had received so much, so that it does not give
 * way to those that have had more time. */
#define CREDIT_BYTES (256 * 1024)
/* A request that holds at most this gives way after all larger ones. */
#define SMALL_BYTES (16 * 1024)
/* An incomplete request that has received less than this lately is not waited
 * for. */
#define PROGRESS_MIN_BYTES 4096
/* A stop waits so long for the first request of a new connection. */
#define FIRST_REQUEST_US (200 * RJ_US_PER_MS)
#define LOG_INTERVAL_US RJ_US_PER_S

const char *const rj_client_refusal_string[RJ_CLIENT_REFUSAL_COUNT] = {
	[RJ_CLIENT_REFUSAL_MEMORY] = "memory",
	[RJ_CLIENT_REFUSAL_CONNECTIONS] = "connections",
	[RJ_CLIENT_REFUSAL_HEADERS] = "headers",
	[RJ_CLIENT_REFUSAL_BODY] = "body",
	[RJ_CLIENT_REFUSAL_VALUES] = "values",
	[RJ_CLIENT_REFUSAL_FRAMING] = "framing",
};

/*
 * Initializes a budget of `memory_max_bytes`, for bodies of at most
 * `values_max` values.
 */
void rj_client_budget_init(struct rj_client_budget *budget,
			   uint64_t memory_max_bytes, uint32_t values_max)
{
	memset(budget, 0, sizeof(*budget));
	budget->memory_max_bytes = memory_max_bytes;
	budget->values_max = values_max;
	rj_list_init(&budget->clients);
}

/*
 * Returns how many connections all listeners together may have, so that bodies
 * have enough memory beside them.
 */
uint32_t rj_client_budget_connections(const struct rj_client_budget *budget)
{
	uint64_t count = budget->memory_max_bytes / CONNECTIONS_MEMORY_DIVISOR /
			 CONNECTION_BYTES;

	return (uint32_t)MIN(count, UINT32_MAX);
}

static uint64_t halved(uint64_t bytes, uint64_t elapsed_us)
{
	return bytes >> MIN(elapsed_us / HALF_LIFE_US, HALF_LIVES_MAX);
}

/* Bytes that a client has received lately. */
static uint64_t recent_bytes(const struct rj_client *client, uint64_t now_us)
{
	return halved(client->decayed_bytes, now_us - client->decayed_us);
}

static uint64_t progress(const struct rj_client *client, uint64_t now_us)
{
	return recent_bytes(client, now_us) +
	       halved(CREDIT_BYTES, now_us - client->begun_us);
}

/* Whether a client that has shown no complete request, or an incomplete one,
 * is to give way before one that is idle between requests. */
static bool is_unproven(const struct rj_client *client)
{
	return client->state == RJ_CLIENT_RECEIVING || !client->served;
}

/* Whether `a` gives way before `b`, which may be NULL. */
static bool gives_way_before(const struct rj_client *a,
			     const struct rj_client *b, bool for_memory,
			     uint64_t now_us)
{
	uint64_t a_progress = progress(a, now_us);
	uint64_t b_progress;

	if (!b)
		return true;
	if (for_memory &&
	    (a->held_bytes > SMALL_BYTES) != (b->held_bytes > SMALL_BYTES))
		return a->held_bytes > SMALL_BYTES;
	if (a->may_be_gone != b->may_be_gone)
		return b->may_be_gone;
	if (!for_memory && is_unproven(a) != is_unproven(b))
		return is_unproven(a);
	b_progress = progress(b, now_us);
	if (a_progress != b_progress)
		return a_progress < b_progress;
	return a->received_us < b->received_us;
}

static bool may_give_way(const struct rj_client *client, bool for_memory)
{
	if (client->state == RJ_CLIENT_RECEIVING)
		return !for_memory || client->held_bytes;
	if (client->state == RJ_CLIENT_COMPLETE)
		return !for_memory && client->may_be_gone;
	return !for_memory && client->state == RJ_CLIENT_IDLE;
}

/*
 * Whether bytes have arrived from a client that were not read. Does not block.
 */
bool rj_client_has_unread(const struct rj_client *client)
{
	char byte;

	return recv(client->fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) >
	       0;
}

/* Returns the client that gives way next: one that holds a part of a body, or,
 * with `listener`, one of its connections. NULL if there is none. */
static struct rj_client *find_victim(struct rj_client_budget *budget,
				     const struct rj_client_listener *listener)
{
	struct rj_client *victim = NULL;
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &budget->clients) {
		struct rj_client *client =
			RJ_CONTAINER(at, struct rj_client, link);

		if (!may_give_way(client, !listener) ||
		    (listener && client->listener != listener))
			continue;
		if (!gives_way_before(client, victim, !listener,
				      budget->now_us))
			continue;
		/* It is not idle: its request has not been read. */
		if (client->state == RJ_CLIENT_IDLE &&
		    rj_client_has_unread(client))
			continue;
		victim = client;
	}
	return victim;
}

/* Logs a refusal; at most one a second for each reason, with the number of
 * those that were not logged. */
static void log_refusal(struct rj_client_budget *budget, const char *event,
			enum rj_client_refusal reason, const char *listener,
			uint64_t held_bytes)
{
	uint64_t *logged_us = &budget->logged_us[reason];

	if (*logged_us && budget->now_us - *logged_us < LOG_INTERVAL_US) {
		budget->unlogged[reason]++;
		return;
	}
	*logged_us = budget->now_us;
	rj_log_event(
		event, RJ_LOG_TEXT("why", rj_client_refusal_string[reason]),
		RJ_LOG_TEXT("listener", listener),
		RJ_LOG_NUMBER("held_bytes", held_bytes),
		RJ_LOG_NUMBER("memory_bytes", budget->memory_bytes),
		RJ_LOG_NUMBER("memory_max_bytes", budget->memory_max_bytes),
		RJ_LOG_NUMBER("unlogged", budget->unlogged[reason]));
	budget->unlogged[reason] = 0;
}

/*
 * Counts and logs a request or connection that was refused.
 */
void rj_client_budget_refuse(struct rj_client_budget *budget,
			     enum rj_client_refusal reason,
			     const char *listener)
{
	budget->refused[reason]++;
	log_refusal(budget, "client_refused", reason, listener, 0);
}

/* Ends a client's request and connection. The server that polls the socket
 * closes it and then calls rj_client_close. */
static void make_way(struct rj_client *client, enum rj_client_refusal reason)
{
	struct rj_client_budget *budget = client->listener->budget;

	budget->gave_way[reason]++;
	log_refusal(budget, "client_gave_way", reason, client->listener->name,
		    client->held_bytes);
	client->state = RJ_CLIENT_GIVING_WAY;
	client->give_way(client);
	rj_client_discharge(client);
	(void)shutdown(client->fd, SHUT_RDWR);
}

/* Charges bytes if they fit. */
static bool charge(struct rj_client_budget *budget, uint64_t bytes)
{
	/* Answers may take more than the maximum. */
	if (budget->memory_bytes + bytes > budget->memory_max_bytes)
		return false;
	budget->memory_bytes += bytes;
	budget->memory_peak_bytes =
		MAX(budget->memory_peak_bytes, budget->memory_bytes);
	return true;
}

/*
 * Charges memory that is held for a complete request. Incomplete requests give
 * way if it does not fit. Returns 0, or -1 if nobody can give way.
 */
int rj_client_budget_hold(struct rj_client_budget *budget, uint64_t bytes)
{
	struct rj_client *victim;

	while (!charge(budget, bytes)) {
		victim = find_victim(budget, NULL);
		if (!victim)
			return -1;
		make_way(victim, RJ_CLIENT_REFUSAL_MEMORY);
	}
	return 0;
}

/*
 * Returns memory that was charged by rj_client_budget_hold.
 */
void rj_client_budget_release(struct rj_client_budget *budget, uint64_t bytes)
{
	assert(budget->memory_bytes >= bytes);
	budget->memory_bytes -= bytes;
}

/*
 * Makes the connection give way that keeps a listener's server busy without
 * progress: of those whose body has no announced length and from which nothing
 * has come since `silent_since_us`, the one with the least progress.
 *
 * The HTTP library polls such a connection without end if the line with the
 * size of a chunk does not fit its buffer, even after the client has closed.
 */
void rj_client_budget_end_stall(struct rj_client_budget *budget,
				const struct rj_client_listener *listener,
				uint64_t silent_since_us, uint64_t now_us)
{
	struct rj_client *victim = NULL;
	struct rj_list *at;
	struct rj_list *next;

	budget->now_us = now_us;
	RJ_FOR_EACH (at, next, &budget->clients) {
		struct rj_client *client =
			RJ_CONTAINER(at, struct rj_client, link);

		if (client->listener != listener || !client->chunked ||
		    client->state != RJ_CLIENT_RECEIVING ||
		    client->received_us > silent_since_us)
			continue;
		if (gives_way_before(client, victim, false, now_us))
			victim = client;
	}
	if (victim)
		make_way(victim, RJ_CLIENT_REFUSAL_FRAMING);
}

/*
 * Appends the budget's metrics.
 */
void rj_client_budget_write(const struct rj_client_budget *budget,
			    GString *text)
{
	g_string_append_printf(
		text,
		"radishjunction_client_memory_bytes %" PRIu64 "\n"
		"radishjunction_client_memory_peak_bytes %" PRIu64 "\n"
		"radishjunction_client_memory_max_bytes %" PRIu64 "\n",
		budget->memory_bytes, budget->memory_peak_bytes,
		budget->memory_max_bytes);
	for (int i = 0; i < RJ_CLIENT_REFUSAL_COUNT; i++)
		g_string_append_printf(
			text,
			"radishjunction_clients_refused{why=\"%s\"} %" PRIu64
			"\nradishjunction_clients_gave_way{why=\"%s\"} %" PRIu64
			"\n",
			rj_client_refusal_string[i], budget->refused[i],
			rj_client_refusal_string[i], budget->gave_way[i]);
}

/*
 * Initializes a listener that takes at most `connections_max` connections. Their
 * memory is charged at once, so that bodies never take that of a connection.
 */
void rj_client_listener_init(struct rj_client_listener *listener,
			     struct rj_client_budget *budget, const char *name,
			     uint32_t connections_max)
{
	memset(listener, 0, sizeof(*listener));
	listener->budget = budget;
	listener->name = name;
	listener->connections_max = connections_max;
	budget->memory_bytes += (uint64_t)connections_max * CONNECTION_BYTES;
	budget->memory_peak_bytes =
		MAX(budget->memory_peak_bytes, budget->memory_bytes);
}

/*
 * Appends the listener's metrics.
 */
void rj_client_listener_write(const struct rj_client_listener *listener,
			      GString *text)
{
	g_string_append_printf(
		text,
		"radishjunction_client_connections{listener=\"%s\"} %" PRIu32
		"\nradishjunction_client_connections_max{listener=\"%s\"} "
		"%" PRIu32 "\n",
		listener->name, listener->connections, listener->name,
		listener->connections_max);
}

/*
 * Adds a connection with socket `fd`, which is not taken over. If all of the
 * listener's connections are taken, one with less progress gives way.
 *
 * Returns 0, or -1 if the connection is refused and was not added.
 */
int rj_client_open(struct rj_client *client,
		   struct rj_client_listener *listener, int fd,
		   void (*give_way)(struct rj_client *client), uint64_t now_us)
{
	struct rj_client_budget *budget = listener->budget;
	struct rj_client *victim;

	budget->now_us = now_us;
	if (listener->connections >= listener->connections_max) {
		victim = find_victim(budget, listener);
		if (!victim) {
			rj_client_budget_refuse(budget,
						RJ_CLIENT_REFUSAL_CONNECTIONS,
						listener->name);
			return -1;
		}
		make_way(victim, RJ_CLIENT_REFUSAL_CONNECTIONS);
	}
	memset(client, 0, sizeof(*client));
	client->listener = listener;
	client->fd = fd;
	client->give_way = give_way;
	client->begun_us = now_us;
	client->received_us = now_us;
	client->decayed_us = now_us;
	listener->connections++;
	rj_list_init(&client->link);
	rj_list_append(&budget->clients, &client->link);
	return 0;
}

/*
 * The headers of a request are complete; its body is expected.
 */
void rj_client_begin(struct rj_client *client, bool chunked, uint64_t now_us)
{
	client->listener->budget->now_us = now_us;
	if (client->state == RJ_CLIENT_GIVING_WAY)
		return;
	client->state = RJ_CLIENT_RECEIVING;
	client->chunked = chunked;
	client->begun_us = now_us;
	client->received_us = now_us;
}

/*
 * Bytes of the body have arrived.
 */
void rj_client_received(struct rj_client *client, uint64_t bytes,
			uint64_t now_us)
{
	uint64_t half_lives = (now_us - client->decayed_us) / HALF_LIFE_US;

	client->listener->budget->now_us = now_us;
	client->decayed_bytes = recent_bytes(client, now_us) + bytes;
	client->decayed_us += half_lives * HALF_LIFE_US;
	client->received_us = now_us;
}

/*
 * Charges memory for the client's request, before it is allocated. Returns 0;
 * or -1 if it does not fit, or if this client is the one that gave way.
 */
int rj_client_charge(struct rj_client *client, uint64_t bytes)
{
	struct rj_client_budget *budget = client->listener->budget;
	struct rj_client *victim;

	while (client->state != RJ_CLIENT_GIVING_WAY) {
		if (charge(budget, bytes)) {
			client->held_bytes += bytes;
			return 0;
		}
		victim = find_victim(budget, NULL);
		if (!victim)
			return -1;
		make_way(victim, RJ_CLIENT_REFUSAL_MEMORY);
	}
	return -1;
}

/*
 * Charges memory of an answer, which is sent even if it does not fit.
 */
void rj_client_charge_answer(struct rj_client *client, uint64_t bytes)
{
	struct rj_client_budget *budget = client->listener->budget;

	if (!rj_client_charge(client, bytes))
		return;
	budget->memory_bytes += bytes;
	client->held_bytes += bytes;
}

/*
 * What was held for the client's request has been freed.
 */
void rj_client_discharge(struct rj_client *client)
{
	rj_client_budget_release(client->listener->budget, client->held_bytes);
	client->held_bytes = 0;
}

/*
 * The request is complete: it no longer gives way.
 */
void rj_client_complete(struct rj_client *client, uint64_t now_us)
{
	client->listener->budget->now_us = now_us;
	if (client->state == RJ_CLIENT_GIVING_WAY)
		return;
	client->state = RJ_CLIENT_COMPLETE;
	client->served = true;
}

/*
 * Sets whether the client has closed its sending side and its complete request
 * has no answer yet. Such a connection gives way after all that are idle or
 * incomplete.
 */
void rj_client_set_may_be_gone(struct rj_client *client, bool may_be_gone)
{
	client->may_be_gone = may_be_gone;
}

/*
 * The request has ended, and what was held for it was freed.
 */
void rj_client_end(struct rj_client *client, uint64_t now_us)
{
	client->listener->budget->now_us = now_us;
	rj_client_discharge(client);
	client->may_be_gone = false;
	if (client->state != RJ_CLIENT_GIVING_WAY)
		client->state = RJ_CLIENT_IDLE;
	client->begun_us = now_us;
}

/*
 * Removes a connection that has been closed.
 */
void rj_client_close(struct rj_client *client)
{
	rj_client_discharge(client);
	client->listener->connections--;
	rj_list_remove(&client->link);
}

/*
 * Returns how many requests a stopping server does not wait for: those that
 * are not new and of whose bodies little has arrived lately.
 */
uint32_t rj_client_listener_stalled(const struct rj_client_listener *listener,
				    uint64_t now_us)
{
	const struct rj_list *clients = &listener->budget->clients;
	uint32_t stalled = 0;

	for (const struct rj_list *at = clients->next; at != clients;
	     at = at->next) {
		const struct rj_client *client =
			RJ_CONTAINER(at, struct rj_client, link);

		if (client->listener == listener &&
		    client->state == RJ_CLIENT_RECEIVING &&
		    now_us - client->begun_us >= HALF_LIFE_US &&
		    recent_bytes(client, now_us) < PROGRESS_MIN_BYTES)
			stalled++;
	}
	return stalled;
}

/*
 * Whether bytes of a new request have arrived at the listener and were not read.
 * Does not block.
 */
bool rj_client_listener_has_unread(const struct rj_client_listener *listener)
{
	const struct rj_list *clients = &listener->budget->clients;

	for (const struct rj_list *at = clients->next; at != clients;
	     at = at->next) {
		const struct rj_client *client =
			RJ_CONTAINER(at, struct rj_client, link);

		if (client->listener == listener &&
		    client->state == RJ_CLIENT_IDLE &&
		    rj_client_has_unread(client))
			return true;
	}
	return false;
}

/*
 * Whether a client of the listener has just connected and may be sending its
 * first request.
 */
bool rj_client_listener_has_new(const struct rj_client_listener *listener,
				uint64_t now_us)
{
	const struct rj_list *clients = &listener->budget->clients;

	for (const struct rj_list *at = clients->next; at != clients;
	     at = at->next) {
		const struct rj_client *client =
			RJ_CONTAINER(at, struct rj_client, link);

		if (client->listener == listener && !client->served &&
		    client->state == RJ_CLIENT_IDLE &&
		    now_us - client->begun_us < FIRST_REQUEST_US)
			return true;
	}
	return false;
}
