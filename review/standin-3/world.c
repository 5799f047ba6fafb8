/*
 * rj-world3: a log and workers that speak the platform's protocol, for the
 * scripts of this review. It uses its own HTTP server and no code of the
 * project. One process, one thread; every address is 127.0.0.1.
 *
 *   rj-world3 --workers N --record FILE [--gpu N] [--cpu MILLI] [--racks N]
 *             [--life MS] [--seed N]
 *
 * The last worker is of kind "b", the others of kind "a". The program prints its
 * addresses as one line of JSON and runs until SIGTERM. The record has one line
 * for each event: milliseconds, event, and what it is about. POST /ctl/... on the
 * log's address changes the behaviour:
 *   /ctl/config            publishes the body as op/config
 *   /ctl/figure?alone=A&beside=B   tail of a serving run, alone and beside
 *                          runs that fill
 *   /ctl/refuse?worker=I&on=0|1   worker I answers starts with 503
 *   /ctl/cut?worker=I&on=0|1   worker I is cut off from the instances
 *   /ctl/fail?JOB          all runs of a job end as failed, by their own fault
 *   /ctl/note?TEXT         writes a line into the record
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <endian.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <math.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define WORKERS_MAX 64
#define CONNECTIONS_MAX 1024
#define RUNS_MAX 2048
#define TOPICS_MAX 16
#define PRODUCERS_MAX 256
#define HEARTBEAT_MS 1500
#define LEASE_MAX_MS 6000
#define STOP_MS 200
#define STARTUP_MS 500
#define LIST_MAX 500
#define PAGE_MAX 500
#define GANG_WAIT_MS 3000

struct buffer {
	char *data;
	size_t length;
	size_t capacity;
};

struct record {
	char *key;
	char *value;
	size_t length;
};

struct topic {
	char name[64];
	struct record *records;
	size_t count;
	size_t capacity;
};

/* The last appends of a producer to a topic. */
struct producer {
	char name[192];
	uint64_t epoch;
	uint64_t sequence; /* of the last append */
	uint64_t first[5]; /* offsets, by sequence modulo five */
	uint64_t end[5];
	uint64_t appends; /* in this epoch */
};

struct run {
	char name[64];
	int64_t number;
	int64_t begun_ms;
	int64_t fails_ms; /* 0: never */
	int64_t ends_ms; /* 0: lasts */
	int64_t stops_ms; /* 0: not being stopped */
	int64_t figure_ms; /* tail target; 0: fills */
	int64_t percent;
	bool serves;
};

struct end {
	int64_t position;
	char name[64];
	int64_t number;
	const char *how;
};

struct worker {
	char id[32];
	int listener;
	int port;
	int64_t born_ms; /* Unix time */
	int64_t clock_base_ms; /* steady time of the clock's zero */
	uint64_t token;
	int64_t lease_until_ms; /* steady */
	struct run runs[RUNS_MAX];
	int run_count;
	struct end ends[RUNS_MAX];
	int end_count;
	int64_t positions;
	struct {
		char name[64];
		int64_t number;
	} closed[RUNS_MAX * 4];
	int closed_count;
	int64_t heartbeat_ms;
	int64_t sequence;
	int rack;
	bool refuses; /* starts, as it is unhealthy */
	bool cut; /* off from all instances; its runs go on */
};

struct connection {
	int fd;
	struct worker *worker; /* NULL: of the log */
	struct buffer in;
	struct buffer out;
	/* A call that waits. */
	bool waits;
	int64_t until_ms;
	char topic[64];
	uint64_t from;
};

static struct worker workers[WORKERS_MAX];
static int worker_count = 4;
static struct topic topics[TOPICS_MAX];
static int topic_count;
static struct producer producers[PRODUCERS_MAX];
static int producer_count;
static struct connection connections[CONNECTIONS_MAX];
static int log_listener;
static int log_port;
static FILE *record_file;
static int64_t start_ms;
static volatile sig_atomic_t stopping;
static int64_t life_ms;
static const int64_t life_min_ms = 1000;
static int64_t figure_alone = 20;
static int64_t figure_beside = 20;
static int gpu = 8;
static int cpu_milli = 64000;
static int racks = 2;

static int64_t steady_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static int64_t unix_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

__attribute__((format(printf, 1, 2))) static void note(const char *format, ...)
{
	va_list args;

	fprintf(record_file, "%lld ", (long long)(steady_ms() - start_ms));
	va_start(args, format);
	vfprintf(record_file, format, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
}

static void put(struct buffer *buffer, const void *data, size_t length)
{
	if (buffer->length + length + 1 > buffer->capacity) {
		buffer->capacity = (buffer->length + length + 1) * 2;
		buffer->data = realloc(buffer->data, buffer->capacity);
	}
	memcpy(buffer->data + buffer->length, data, length);
	buffer->length += length;
	buffer->data[buffer->length] = 0;
}

static void drop_front(struct buffer *buffer, size_t length)
{
	memmove(buffer->data, buffer->data + length, buffer->length - length);
	buffer->length -= length;
	if (buffer->data)
		buffer->data[buffer->length] = 0;
}

static void answer(struct connection *connection, int status, const void *body,
		   size_t length)
{
	char head[160];
	int head_length = snprintf(head, sizeof(head),
				   "HTTP/1.1 %d X\r\nContent-Type: "
				   "application/json\r\nContent-Length: "
				   "%zu\r\n\r\n",
				   status, length);

	put(&connection->out, head, (size_t)head_length);
	put(&connection->out, body, length);
	connection->waits = false;
}

static void answer_json(struct connection *connection, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	answer(connection, status, text, strlen(text));
	free(text);
	json_decref(body);
}

/* The log. */

static struct topic *topic_of(const char *name)
{
	for (int i = 0; i < topic_count; i++)
		if (!strcmp(topics[i].name, name))
			return &topics[i];
	if (topic_count == TOPICS_MAX)
		abort();
	snprintf(topics[topic_count].name, sizeof(topics[0].name), "%s", name);
	return &topics[topic_count++];
}

static void send_records(struct connection *connection, struct topic *topic,
			 uint64_t from)
{
	struct buffer body = { 0 };
	uint64_t header[2] = { htobe64(topic->count), 0 };

	put(&body, header, sizeof(header));
	for (uint64_t i = from; i < topic->count; i++) {
		const struct record *record = &topic->records[i];
		uint8_t key_length = (uint8_t)strlen(record->key);
		uint32_t size =
			htonl((uint32_t)(1 + key_length + record->length));

		put(&body, &size, sizeof(size));
		put(&body, &key_length, 1);
		put(&body, record->key, key_length);
		put(&body, record->value, record->length);
	}
	answer(connection, 200, body.data, body.length);
	free(body.data);
}

static void append(struct topic *topic, const char *key, size_t key_length,
		   const char *value, size_t length)
{
	struct record *record;

	if (topic->count == topic->capacity) {
		topic->capacity = topic->capacity * 2 + 64;
		topic->records =
			realloc(topic->records,
				topic->capacity * sizeof(*topic->records));
	}
	record = &topic->records[topic->count++];
	record->key = strndup(key, key_length);
	record->value = malloc(length + 1);
	memcpy(record->value, value, length);
	record->length = length;
	for (int i = 0; i < CONNECTIONS_MAX; i++) {
		struct connection *waiting = &connections[i];

		if (waiting->fd > 0 && !waiting->worker && waiting->waits &&
		    !strcmp(waiting->topic, topic->name))
			send_records(waiting, topic, waiting->from);
	}
}

/* Copies an argument of a query. Returns false if there is none. */
static bool argument(const char *query, const char *name, char *value,
		     size_t size)
{
	size_t length = strlen(name);
	const char *at = query;

	while (at && *at) {
		if (!strncmp(at, name, length) && at[length] == '=') {
			size_t end = strcspn(at + length + 1, "&");

			if (end >= size)
				end = size - 1;
			memcpy(value, at + length + 1, end);
			value[end] = 0;
			return true;
		}
		at = strchr(at, '&');
		if (at)
			at++;
	}
	value[0] = 0;
	return false;
}

static uint64_t number(const char *query, const char *name)
{
	char value[32];

	return argument(query, name, value, sizeof(value)) ?
		       strtoull(value, NULL, 10) :
		       0;
}

static struct producer *producer_of(const char *topic, const char *id)
{
	char name[192];

	snprintf(name, sizeof(name), "%s %s", topic, id);
	for (int i = 0; i < producer_count; i++)
		if (!strcmp(producers[i].name, name))
			return &producers[i];
	if (producer_count == PRODUCERS_MAX)
		abort();
	snprintf(producers[producer_count].name, sizeof(producers[0].name),
		 "%s", name);
	return &producers[producer_count++];
}

static void answer_append(struct connection *connection, int status,
			  uint64_t first, uint64_t end, const char *reason)
{
	answer_json(connection, status,
		    json_pack("{s:I,s:I,s:s}", "Offset", (json_int_t)first,
			      "EndOffset", (json_int_t)end, "Reason", reason));
}

static void handle_append(struct connection *connection, const char *query,
			  const char *body, size_t length)
{
	char name[64];
	char id[128];
	uint64_t epoch = number(query, "epoch");
	uint64_t sequence = number(query, "Sequence");
	struct topic *topic;
	struct producer *producer;
	size_t at = 0;
	uint64_t first;

	argument(query, "Topic", name, sizeof(name));
	argument(query, "ProducerId", id, sizeof(id));
	topic = topic_of(name);
	producer = producer_of(name, id);
	first = topic->count;
	if (epoch < producer->epoch) {
		answer_append(connection, 409, 0, first, "fenced");
		return;
	}
	if (epoch == producer->epoch && producer->appends) {
		if (sequence <= producer->sequence &&
		    sequence + 5 > producer->sequence &&
		    producer->sequence - sequence < producer->appends) {
			answer_append(connection, 200,
				      producer->first[sequence % 5],
				      producer->end[sequence % 5], "");
			return;
		}
		if (sequence != producer->sequence + 1) {
			answer_append(connection, 409, 0, first, "seq");
			return;
		}
	}
	if (epoch > producer->epoch)
		producer->appends = 0;
	producer->epoch = epoch;
	producer->sequence = sequence;
	producer->appends++;
	while (at + 5 <= length) {
		uint32_t size;
		uint8_t key_length = (uint8_t)body[at + 4];

		memcpy(&size, body + at, sizeof(size));
		size = ntohl(size);
		append(topic, body + at + 5, key_length,
		       body + at + 5 + key_length, size - 1 - key_length);
		at += 4 + size;
	}
	producer->first[sequence % 5] = first;
	producer->end[sequence % 5] = topic->count;
	answer_append(connection, 200, first, topic->count, "");
}

static void base64(struct buffer *out, const unsigned char *data, size_t length)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmno"
				     "pqrstuvwxyz0123456789+/";

	for (size_t i = 0; i < length; i += 3) {
		uint32_t bits = (uint32_t)data[i] << 16;
		char four[4];

		if (i + 1 < length)
			bits |= (uint32_t)data[i + 1] << 8;
		if (i + 2 < length)
			bits |= data[i + 2];
		four[0] = digits[bits >> 18];
		four[1] = digits[bits >> 12 & 63];
		four[2] = i + 1 < length ? digits[bits >> 6 & 63] : '=';
		four[3] = i + 2 < length ? digits[bits & 63] : '=';
		put(out, four, 4);
	}
}

static int by_key(const void *a, const void *b)
{
	const struct record *left = *(struct record *const *)a;
	const struct record *right = *(struct record *const *)b;
	int order = strcmp(left->key, right->key);

	return order ? order : left < right ? -1 : 1;
}

static void handle_newest(struct connection *connection, const char *query)
{
	char name[64];
	char after[256];
	struct topic *topic;
	struct record **sorted;
	json_t *items = json_array();
	bool more = false;
	bool continues = argument(query, "After", after, sizeof(after));

	argument(query, "Topic", name, sizeof(name));
	topic = topic_of(name);
	sorted = calloc(topic->count + 1, sizeof(*sorted));
	for (size_t i = 0; i < topic->count; i++)
		sorted[i] = &topic->records[i];
	qsort(sorted, topic->count, sizeof(*sorted), by_key);
	for (size_t i = 0; i < topic->count; i++) {
		struct buffer value = { 0 };

		if ((i + 1 < topic->count &&
		     !strcmp(sorted[i]->key, sorted[i + 1]->key)) ||
		    !sorted[i]->length ||
		    (continues && strcmp(sorted[i]->key, after) <= 0))
			continue;
		if (json_array_size(items) == PAGE_MAX) {
			more = true;
			break;
		}
		base64(&value, (unsigned char *)sorted[i]->value,
		       sorted[i]->length);
		json_array_append_new(
			items,
			json_pack("{s:s,s:s,s:I}", "Key", sorted[i]->key,
				  "Value", value.data, "Offset",
				  (json_int_t)(sorted[i] - topic->records)));
		free(value.data);
	}
	free(sorted);
	answer_json(connection, 200,
		    json_pack("{s:o,s:b,s:I}", "items", items, "HasMore",
			      more ? 1 : 0, "EndOffset",
			      (json_int_t)topic->count));
}

static void fail_runs(const char *job)
{
	note("ctl fail %s", job);
	for (int i = 0; i < worker_count; i++)
		for (int j = 0; j < workers[i].run_count; j++)
			if (!strncmp(workers[i].runs[j].name, job, strlen(job)))
				workers[i].runs[j].fails_ms = steady_ms();
}

static void handle_log(struct connection *connection, const char *path,
		       const char *query, const char *body, size_t length)
{
	if (!strcmp(path, "/-/log-append")) {
		handle_append(connection, query, body, length);
	} else if (!strcmp(path, "/-/log-read")) {
		uint64_t from = number(query, "From");
		uint64_t wait = number(query, "WaitMs");
		char name[64];

		argument(query, "Topic", name, sizeof(name));
		if (from < topic_of(name)->count || !wait) {
			send_records(connection, topic_of(name), from);
			return;
		}
		connection->waits = true;
		connection->until_ms = steady_ms() + (int64_t)wait;
		snprintf(connection->topic, sizeof(connection->topic), "%s",
			 name);
		connection->from = from;
	} else if (!strcmp(path, "/-/log-newest")) {
		handle_newest(connection, query);
	} else if (!strcmp(path, "/ctl/config")) {
		append(topic_of("keyed.op"), "config", 6, body, length);
		answer(connection, 200, "{}", 2);
	} else if (!strcmp(path, "/ctl/figure")) {
		figure_alone = (int64_t)number(query, "alone");
		figure_beside = (int64_t)number(query, "beside");
		note("ctl figure alone=%lld beside=%lld",
		     (long long)figure_alone, (long long)figure_beside);
		answer(connection, 200, "{}", 2);
	} else if (!strcmp(path, "/ctl/refuse")) {
		uint64_t i = number(query, "worker");

		if (i < (uint64_t)worker_count)
			workers[i].refuses = number(query, "on");
		note("ctl refuse %s", query);
		answer(connection, 200, "{}", 2);
	} else if (!strcmp(path, "/ctl/cut")) {
		uint64_t i = number(query, "worker");

		if (i < (uint64_t)worker_count)
			workers[i].cut = number(query, "on");
		note("ctl cut %s", query);
		answer(connection, 200, "{}", 2);
	} else if (!strcmp(path, "/ctl/fail")) {
		fail_runs(query);
		answer(connection, 200, "{}", 2);
	} else if (!strcmp(path, "/ctl/note")) {
		note("%s", query);
		answer(connection, 200, "{}", 2);
	} else {
		answer(connection, 404, "{}", 2);
	}
}

/* Workers. */

static int64_t clock_ms(const struct worker *worker)
{
	return steady_ms() - worker->clock_base_ms;
}

static struct run *find_run(struct worker *worker, const char *name)
{
	for (int i = 0; i < worker->run_count; i++)
		if (!strcmp(worker->runs[i].name, name))
			return &worker->runs[i];
	return NULL;
}

static int64_t *closed_of(struct worker *worker, const char *name)
{
	for (int i = 0; i < worker->closed_count; i++)
		if (!strcmp(worker->closed[i].name, name))
			return &worker->closed[i].number;
	if (worker->closed_count == RUNS_MAX * 4)
		abort();
	snprintf(worker->closed[worker->closed_count].name,
		 sizeof(worker->closed[0].name), "%s", name);
	worker->closed[worker->closed_count].number = 0;
	return &worker->closed[worker->closed_count++].number;
}

static bool fills_beside(const struct worker *worker)
{
	for (int i = 0; i < worker->run_count; i++)
		if (!worker->runs[i].serves && !worker->runs[i].stops_ms)
			return true;
	return false;
}

static void send_lists(struct connection *connection)
{
	struct worker *worker = connection->worker;
	json_t *running = json_array();
	json_t *finished = json_array();
	int64_t now = steady_ms();

	for (int i = 0; i < worker->run_count; i++) {
		const struct run *run = &worker->runs[i];
		int64_t age = now - run->begun_ms;
		int64_t whole = run->ends_ms ? run->ends_ms - run->begun_ms :
					       STARTUP_MS;
		int64_t percent = age >= whole ? 100 : age * 100 / whole;
		int64_t figure = 0;

		if (run->serves)
			figure = fills_beside(worker) ? figure_beside :
							figure_alone;
		json_array_append_new(running,
				      json_pack("[s,I,s,I,I]", run->name,
						(json_int_t)run->number, "",
						(json_int_t)percent,
						(json_int_t)figure));
	}
	for (int i = 0; i < worker->end_count && i < LIST_MAX; i++)
		json_array_append_new(
			finished,
			json_pack("[I,s,I,s,s]",
				  (json_int_t)worker->ends[i].position,
				  worker->ends[i].name,
				  (json_int_t)worker->ends[i].number,
				  worker->ends[i].how, ""));
	answer_json(connection, 200,
		    json_pack("{s:I,s:I,s:o,s:o}", "ClockMs",
			      (json_int_t)clock_ms(worker), "born",
			      (json_int_t)worker->born_ms, "Running", running,
			      "Finished", finished));
}

static void answer_holds(struct worker *worker)
{
	for (int i = 0; i < CONNECTIONS_MAX; i++)
		if (connections[i].fd > 0 && connections[i].waits &&
		    connections[i].worker == worker && !worker->cut)
			send_lists(&connections[i]);
}

static void end_run(struct worker *worker, struct run *run, const char *how)
{
	struct end *end;

	if (worker->end_count == RUNS_MAX)
		abort();
	end = &worker->ends[worker->end_count++];
	end->position = ++worker->positions;
	snprintf(end->name, sizeof(end->name), "%s", run->name);
	end->number = run->number;
	end->how = how;
	*closed_of(worker, run->name) = run->number;
	note("end %s %s %lld %s", worker->id, run->name, (long long)run->number,
	     how);
	*run = worker->runs[--worker->run_count];
}

static void reject(struct connection *connection, const char *reason)
{
	answer_json(connection, 409,
		    json_pack("{s:I,s:I,s:s}", "ClockMs",
			      (json_int_t)clock_ms(connection->worker), "born",
			      (json_int_t)connection->worker->born_ms, "Reason",
			      reason));
}

static void accept_order(struct connection *connection)
{
	answer_json(connection, 200,
		    json_pack("{s:I,s:I}", "ClockMs",
			      (json_int_t)clock_ms(connection->worker), "born",
			      (json_int_t)connection->worker->born_ms));
}

/* A life with an exponential distribution. */
static int64_t draw_life(void)
{
	double part = drand48();

	return life_min_ms +
	       (int64_t)(-log(1 - part) * (double)(life_ms - life_min_ms));
}

/* Begins a run. The spec is a duration in ms; or "serves" or "crashes". */
static void begin_run(struct worker *worker, const char *name, int64_t number,
		      const char *spec)
{
	struct run *run;

	if (worker->run_count == RUNS_MAX)
		abort();
	run = &worker->runs[worker->run_count++];
	memset(run, 0, sizeof(*run));
	snprintf(run->name, sizeof(run->name), "%s", name);
	run->number = number;
	run->begun_ms = steady_ms();
	run->serves = !strncmp(spec, "serves", 6);
	if (!strncmp(spec, "crashes", 7) && life_ms)
		run->fails_ms = run->begun_ms + draw_life();
	if (spec[0] >= '0' && spec[0] <= '9')
		run->ends_ms = run->begun_ms + strtoll(spec, NULL, 10);
	note("start %s %s %lld %s", worker->id, name, (long long)number, spec);
}

static void handle_start(struct connection *connection, const json_t *order)
{
	struct worker *worker = connection->worker;
	const char *name = json_string_value(json_object_get(order, "Task"));
	const char *spec = json_string_value(json_object_get(order, "Spec"));
	int64_t run_number =
		json_integer_value(json_object_get(order, "RunId"));
	struct run *run = find_run(worker, name);

	if (worker->refuses) {
		note("refused %s %s %lld", worker->id, name,
		     (long long)run_number);
		answer(connection, 503, "{}", 2);
		return;
	}
	if (run && run->number == run_number) {
		accept_order(connection);
		return;
	}
	if (run || run_number <= *closed_of(worker, name)) {
		reject(connection, "old");
		return;
	}
	if (steady_ms() >= worker->lease_until_ms) {
		reject(connection, "late");
		return;
	}
	begin_run(worker, name, run_number, spec);
	accept_order(connection);
}

static void handle_stop(struct connection *connection, const json_t *order)
{
	struct worker *worker = connection->worker;
	const char *name = json_string_value(json_object_get(order, "Task"));
	int64_t run_number =
		json_integer_value(json_object_get(order, "RunId"));
	struct run *run = find_run(worker, name);

	note("stop %s %s %lld", worker->id, name, (long long)run_number);
	if (run && run->number <= run_number) {
		if (!run->stops_ms)
			run->stops_ms = steady_ms() + STOP_MS;
	} else if (*closed_of(worker, name) < run_number) {
		*closed_of(worker, name) = run_number;
	}
	accept_order(connection);
}

static void handle_hold(struct connection *connection, const json_t *order)
{
	struct worker *worker = connection->worker;
	int64_t seen = json_integer_value(json_object_get(order, "LastSeen"));
	int64_t wait = json_integer_value(json_object_get(order, "WaitMs"));

	while (worker->end_count && worker->ends[0].position <= seen) {
		note("noted %s %s %lld", worker->id, worker->ends[0].name,
		     (long long)worker->ends[0].number);
		memmove(worker->ends, worker->ends + 1,
			(size_t)--worker->end_count * sizeof(worker->ends[0]));
	}
	if (!wait || worker->end_count) {
		send_lists(connection);
		return;
	}
	connection->waits = true;
	connection->until_ms = steady_ms() + (wait > 2000 ? 2000 : wait);
}

static void handle_worker(struct connection *connection, const char *path,
			  const char *target, const char *body)
{
	struct worker *worker = connection->worker;
	json_t *order = json_loads(body, 0, NULL);
	uint64_t token = (uint64_t)json_integer_value(
		json_object_get(order, "FencingToken"));
	int64_t deadline =
		json_integer_value(json_object_get(order, "DeadlineMs"));
	int64_t until = worker->clock_base_ms + deadline;
	int64_t latest = steady_ms() + LEASE_MAX_MS;

	if (target[0] && strcmp(target, worker->id) != 0) {
		answer(connection, 421, "{}", 2);
	} else if (token < worker->token) {
		reject(connection, "fence");
	} else {
		worker->token = token;
		if (until > latest)
			until = latest;
		if (deadline && until > worker->lease_until_ms)
			worker->lease_until_ms = until;
		if (!strcmp(path, "/-/run-start"))
			handle_start(connection, order);
		else if (!strcmp(path, "/-/run-stop"))
			handle_stop(connection, order);
		else if (!strcmp(path, "/-/hold"))
			handle_hold(connection, order);
		else
			answer(connection, 404, "{}", 2);
	}
	json_decref(order);
}

static void heartbeat(struct worker *worker)
{
	char address[32];
	char rack[16];
	json_t *entry;
	char *text;

	snprintf(address, sizeof(address), "127.0.0.1:%d", worker->port);
	snprintf(rack, sizeof(rack), "r%d", worker->rack);
	entry = json_pack(
		"{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:I,s:{s:i,s:i,s:i},s:[s,s],s:I}",
		"Service", "render", "Address", address, "Zone", "z0",
		"Version", "1", "Slots", 8, "State", "ready", "ColdLeftMs", 0,
		"Sequence", (json_int_t)++worker->sequence, "Capacity", "Cpu",
		cpu_milli, "MemMb", 262144, "Gpu", gpu, "Labels",
		worker == &workers[worker_count - 1] ? "b" : "a", rack, "born",
		(json_int_t)worker->born_ms);
	text = json_dumps(entry, JSON_COMPACT);
	append(topic_of("keyed.servers"), worker->id, strlen(worker->id), text,
	       strlen(text));
	free(text);
	json_decref(entry);
	worker->heartbeat_ms = steady_ms() + HEARTBEAT_MS;
}

/* Ends the runs that are due. */
static void advance(struct worker *worker)
{
	int64_t now = steady_ms();
	bool ended = false;

	for (int i = worker->run_count - 1; i >= 0; i--) {
		struct run *run = &worker->runs[i];

		if (now > worker->lease_until_ms)
			end_run(worker, run, "lapsed");
		else if (run->stops_ms && now >= run->stops_ms)
			end_run(worker, run, "stopped");
		else if (run->fails_ms && now >= run->fails_ms)
			end_run(worker, run, "failed");
		else if (run->ends_ms && now >= run->ends_ms)
			end_run(worker, run, "done");
		else
			continue;
		ended = true;
	}
	if (ended)
		answer_holds(worker);
	if (now >= worker->heartbeat_ms)
		heartbeat(worker);
}

/* The HTTP server. */

/* Handles the first request of a connection. Returns false if it is not
 * complete. */
static bool handle_request(struct connection *connection)
{
	struct buffer *in = &connection->in;
	char *head_end = in->length ? strstr(in->data, "\r\n\r\n") : NULL;
	char *line;
	char target[64] = "";
	char path[1024] = "";
	char *query;
	size_t head_length;
	size_t body_length = 0;
	char *body;

	if (!head_end || connection->waits)
		return false;
	head_length = (size_t)(head_end - in->data) + 4;
	for (line = in->data; line && line < head_end;
	     line = strstr(line, "\r\n")) {
		if (!strncmp(line, "\r\n", 2))
			line += 2;
		if (!strncasecmp(line, "Content-Length:", 15))
			body_length = strtoull(line + 15, NULL, 10);
		if (!strncasecmp(line, "Target-Instance:", 16))
			sscanf(line + 16, " %63[^\r]", target);
	}
	if (in->length < head_length + body_length)
		return false;
	sscanf(in->data, "%*s %1023s", path);
	query = strchr(path, '?');
	if (query)
		*query++ = 0;
	body = malloc(body_length + 1);
	memcpy(body, in->data + head_length, body_length);
	body[body_length] = 0;
	drop_front(in, head_length + body_length);
	if (connection->worker)
		handle_worker(connection, path, target, body);
	else
		handle_log(connection, path, query ? query : "", body,
			   body_length);
	free(body);
	return true;
}

static void close_connection(struct connection *connection)
{
	close(connection->fd);
	free(connection->in.data);
	free(connection->out.data);
	memset(connection, 0, sizeof(*connection));
}

static void serve_connection(struct connection *connection, short events)
{
	char part[65536];

	if (events & (POLLIN | POLLHUP | POLLERR)) {
		ssize_t got = recv(connection->fd, part, sizeof(part), 0);

		if (!got || (got < 0 && errno != EAGAIN)) {
			close_connection(connection);
			return;
		}
		if (got > 0)
			put(&connection->in, part, (size_t)got);
	}
	while (handle_request(connection))
		;
}

static void flush_connection(struct connection *connection)
{
	ssize_t sent;

	if (!connection->out.length)
		return;
	sent = send(connection->fd, connection->out.data,
		    connection->out.length, MSG_NOSIGNAL);
	if (sent > 0)
		drop_front(&connection->out, (size_t)sent);
	else if (sent < 0 && errno != EAGAIN)
		close_connection(connection);
}

static int listen_free(int *port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_addr.s_addr =
					       htonl(INADDR_LOOPBACK) };
	socklen_t length = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

	if (fd < 0 || bind(fd, (struct sockaddr *)&address, length) ||
	    listen(fd, 256) ||
	    getsockname(fd, (struct sockaddr *)&address, &length)) {
		perror("rj-world3: listen");
		exit(2);
	}
	*port = ntohs(address.sin_port);
	return fd;
}

static void accept_connections(int listener, struct worker *worker)
{
	int one = 1;
	int fd;

	while ((fd = accept4(listener, NULL, NULL, SOCK_NONBLOCK)) >= 0) {
		int i = 0;

		while (i < CONNECTIONS_MAX && connections[i].fd > 0)
			i++;
		if (i == CONNECTIONS_MAX) {
			close(fd);
			continue;
		}
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		connections[i].fd = fd;
		connections[i].worker = worker;
	}
}

static void turn(void)
{
	static struct pollfd fds[CONNECTIONS_MAX + WORKERS_MAX + 1];
	static struct connection *owners[CONNECTIONS_MAX];
	int count = 0;
	int open = 0;
	int64_t now;

	for (int i = 0; i < CONNECTIONS_MAX; i++) {
		if (connections[i].fd <= 0 ||
		    (connections[i].worker && connections[i].worker->cut))
			continue;
		owners[count] = &connections[i];
		fds[count++] = (struct pollfd){
			.fd = connections[i].fd,
			.events = (short)(POLLIN |
					  (connections[i].out.length ? POLLOUT :
								       0))
		};
	}
	open = count;
	fds[count++] = (struct pollfd){ .fd = log_listener, .events = POLLIN };
	for (int i = 0; i < worker_count; i++)
		if (!workers[i].cut)
			fds[count++] =
				(struct pollfd){ .fd = workers[i].listener,
						 .events = POLLIN };
	poll(fds, (nfds_t)count, 5);
	for (int i = 0; i < open; i++)
		if (fds[i].revents && owners[i]->fd == fds[i].fd)
			serve_connection(owners[i], fds[i].revents);
	accept_connections(log_listener, NULL);
	for (int i = 0; i < worker_count; i++)
		if (!workers[i].cut)
			accept_connections(workers[i].listener, &workers[i]);
	for (int i = 0; i < worker_count; i++)
		advance(&workers[i]);
	now = steady_ms();
	for (int i = 0; i < CONNECTIONS_MAX; i++) {
		struct connection *waiting = &connections[i];

		if (waiting->fd <= 0 ||
		    (waiting->worker && waiting->worker->cut))
			continue;
		if (waiting->waits && now >= waiting->until_ms) {
			if (waiting->worker)
				send_lists(waiting);
			else
				send_records(waiting, topic_of(waiting->topic),
					     waiting->from);
			while (handle_request(waiting))
				;
		}
		flush_connection(waiting);
	}
}

static void stop(int signal_number)
{
	(void)signal_number;
	stopping = 1;
}

int main(int argc, char **argv)
{
	record_file = stderr;
	srand48(1);
	for (int i = 1; i + 1 < argc; i += 2) {
		const char *name = argv[i];
		long value = strtol(argv[i + 1], NULL, 10);

		if (!strcmp(name, "--workers"))
			worker_count = (int)value;
		else if (!strcmp(name, "--record"))
			record_file = fopen(argv[i + 1], "a");
		else if (!strcmp(name, "--gpu"))
			gpu = (int)value;
		else if (!strcmp(name, "--cpu"))
			cpu_milli = (int)value;
		else if (!strcmp(name, "--racks"))
			racks = (int)value;
		else if (!strcmp(name, "--life"))
			life_ms = value;
		else if (!strcmp(name, "--seed"))
			srand48(value);
	}
	if (!record_file || worker_count > WORKERS_MAX)
		return 2;
	signal(SIGTERM, stop);
	signal(SIGPIPE, SIG_IGN);
	start_ms = steady_ms();
	log_listener = listen_free(&log_port);
	printf("{\"log\":\"127.0.0.1:%d\",\"workers\":[", log_port);
	for (int i = 0; i < worker_count; i++) {
		struct worker *worker = &workers[i];

		snprintf(worker->id, sizeof(worker->id), "w%d", i);
		worker->listener = listen_free(&worker->port);
		worker->born_ms = unix_ms();
		worker->clock_base_ms = steady_ms() - 1000;
		worker->rack = i % racks;
		printf("%s\"127.0.0.1:%d\"", i ? "," : "", worker->port);
	}
	printf("]}\n");
	fflush(stdout);
	while (!stopping)
		turn();
	for (int i = 0; i < worker_count; i++)
		note("left %s running=%d", workers[i].id, workers[i].run_count);
	return 0;
}
