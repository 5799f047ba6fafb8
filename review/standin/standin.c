#include "standin.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <endian.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define REQUEST_MAX_BYTES (8 * 1024 * 1024)
#define TOPICS_MAX 16
#define PRODUCERS_MAX 64
#define RESPONSES_KEPT 5
#define NEWEST_PAGE 500
#define ENTRIES_MAX 64
#define STEP_MS 5
#define CALL_TIMEOUT_MS 3500
#define START_WAIT_MS 15000

pthread_mutex_t standin_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t standin_changed;
struct standin_worker standin_workers[STANDIN_WORKERS_MAX];
size_t standin_worker_count;
struct standin_plan standin_plan;

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t begun_ms;
static char folder[256];
static pid_t children[ENTRIES_MAX];
static size_t child_count;

/* ---- time and record ---- */

int64_t standin_now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int64_t standin_unix_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void standin_sleep_ms(int64_t ms)
{
	struct timespec left = { ms / 1000, (ms % 1000) * 1000000 };

	while (nanosleep(&left, &left) && errno == EINTR)
		;
}

bool standin_trouble(void)
{
	const char *text = getenv("TROUBLE");

	return !text || strcmp(text, "0") != 0;
}

void standin_record(const char *format, ...)
{
	va_list list;

	pthread_mutex_lock(&record_lock);
	if (record_file) {
		fprintf(record_file, "%8.3f ",
			(double)(standin_now_ms() - begun_ms) / 1000.0);
		va_start(list, format);
		vfprintf(record_file, format, list);
		va_end(list);
		fputc('\n', record_file);
	}
	pthread_mutex_unlock(&record_lock);
}

static void on_alarm(int number)
{
	(void)number;
	for (size_t i = 0; i < child_count; i++)
		kill(children[i], SIGKILL);
	_exit(2);
}

int standin_begin(const char *record_path)
{
	pthread_condattr_t attributes;
	const char *parent = getenv("TMPDIR");

	begun_ms = standin_now_ms();
	record_file = fopen(record_path, "w");
	if (!record_file)
		return -1;
	snprintf(folder, sizeof(folder), "%s/review.XXXXXX",
		 parent ? parent : "/tmp");
	if (!mkdtemp(folder))
		return -1;
	pthread_condattr_init(&attributes);
	pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
	pthread_cond_init(&standin_changed, &attributes);
	signal(SIGPIPE, SIG_IGN);
	signal(SIGALRM, on_alarm);
	alarm(115);
	return 0;
}

void standin_end_all(void)
{
	char path[512];

	for (size_t i = 0; i < child_count; i++) {
		kill(children[i], SIGKILL);
		waitpid(children[i], NULL, 0);
	}
	for (size_t i = 0; i < child_count; i++) {
		snprintf(path, sizeof(path), "%s/%zu.json", folder, i);
		unlink(path);
		snprintf(path, sizeof(path), "%s/%zu.out", folder, i);
		if (getenv("REVIEW_KEEP"))
			fprintf(stderr, "%s\n", path);
		else
			unlink(path);
	}
	rmdir(folder);
	pthread_mutex_lock(&record_lock);
	fclose(record_file);
	record_file = NULL;
	pthread_mutex_unlock(&record_lock);
}

/* Waits for a change until `until_ms`, with the lock held. */
static void wait_changed(int64_t until_ms)
{
	struct timespec until = { until_ms / 1000,
				  (until_ms % 1000) * 1000000 };

	pthread_cond_timedwait(&standin_changed, &standin_lock, &until);
}

/* ---- HTTP ---- */

struct request {
	char method[16];
	char path[512];
	char query[512];
	char target[STANDIN_NAME_BYTES]; /* of Target-Instance */
	char *body;
	size_t length;
};

struct reply {
	int status;
	char *body; /* freed after it was sent */
	size_t length;
};

static void reply_bytes(struct reply *reply, int status, const void *body,
			size_t length)
{
	reply->status = status;
	reply->body = malloc(length + 1);
	if (length)
		memcpy(reply->body, body, length);
	reply->length = length;
}

/* Answers with JSON; takes `object`. */
static void reply_json(struct reply *reply, int status, json_t *object)
{
	reply->status = status;
	reply->body = json_dumps(object, JSON_COMPACT);
	reply->length = strlen(reply->body);
	json_decref(object);
}

/* Copies a header's value. */
static void read_header(const char *head, const char *name, char *value,
			size_t size)
{
	size_t length = strlen(name);
	const char *line = head;

	value[0] = 0;
	while ((line = strstr(line, "\r\n"))) {
		line += 2;
		if (strncasecmp(line, name, length) != 0 || line[length] != ':')
			continue;
		line += length + 1;
		while (*line == ' ')
			line++;
		for (size_t i = 0; i + 1 < size && *line && *line != '\r';
		     i++) {
			value[i] = *line++;
			value[i + 1] = 0;
		}
		return;
	}
}

/* Reads one request. Returns 0, or -1 when the connection has ended. */
static int read_request(int fd, struct request *request)
{
	size_t size = 65536;
	size_t have = 0;
	char *data = malloc(size + 1);
	char *end = NULL;
	char length_text[32];
	size_t head_length;
	char *question;

	memset(request, 0, sizeof(*request));
	while (!end) {
		ssize_t got;

		if (have == size)
			goto fail;
		got = recv(fd, data + have, size - have, 0);
		if (got <= 0)
			goto fail;
		have += (size_t)got;
		data[have] = 0;
		end = strstr(data, "\r\n\r\n");
	}
	head_length = (size_t)(end - data) + 4;
	if (sscanf(data, "%15s %511s", request->method, request->path) != 2)
		goto fail;
	end[2] = 0;
	read_header(data, "Content-Length", length_text, sizeof(length_text));
	read_header(data, "Target-Instance", request->target,
		    sizeof(request->target));
	question = strchr(request->path, '?');
	if (question) {
		*question = 0;
		snprintf(request->query, sizeof(request->query), "&%s",
			 question + 1);
	}
	request->length = strtoul(length_text, NULL, 10);
	if (request->length > REQUEST_MAX_BYTES ||
	    have - head_length > request->length)
		goto fail;
	request->body = malloc(request->length + 1);
	memcpy(request->body, data + head_length, have - head_length);
	have -= head_length;
	free(data);
	while (have < request->length) {
		ssize_t got = recv(fd, request->body + have,
				   request->length - have, 0);

		if (got <= 0) {
			free(request->body);
			return -1;
		}
		have += (size_t)got;
	}
	request->body[request->length] = 0;
	return 0;
fail:
	free(data);
	return -1;
}

static int send_all(int fd, const char *data, size_t length)
{
	while (length) {
		ssize_t sent = send(fd, data, length, MSG_NOSIGNAL);

		if (sent <= 0)
			return -1;
		data += sent;
		length -= (size_t)sent;
	}
	return 0;
}

static int send_reply(int fd, const struct reply *reply)
{
	char head[256];
	int length = snprintf(head, sizeof(head),
			      "HTTP/1.1 %d X\r\nContent-Type: application/json"
			      "\r\nContent-Length: %zu\r\n\r\n",
			      reply->status, reply->length);

	if (send_all(fd, head, (size_t)length))
		return -1;
	return send_all(fd, reply->body, reply->length);
}

/* Copies a value of the query. */
static void query_text(const struct request *request, const char *name,
		       char *value, size_t size)
{
	char wanted[64];
	const char *at;

	snprintf(wanted, sizeof(wanted), "&%s=", name);
	at = strstr(request->query, wanted);
	value[0] = 0;
	if (!at)
		return;
	at += strlen(wanted);
	for (size_t i = 0; i + 1 < size && *at && *at != '&'; i++) {
		value[i] = *at++;
		value[i + 1] = 0;
	}
}

static int64_t query_number(const struct request *request, const char *name,
			    int64_t missing)
{
	char text[64];

	query_text(request, name, text, sizeof(text));
	return text[0] ? strtoll(text, NULL, 10) : missing;
}

/* ---- the store ---- */

struct stored {
	char *key;
	unsigned char *value;
	size_t length;
};

struct topic {
	char name[64];
	struct stored *records;
	size_t count;
	size_t size;
};

struct producer {
	char topic[64];
	char id[128];
	int64_t epoch;
	int64_t next; /* expected sequence number; -1: any */
	struct {
		int64_t sequence;
		int64_t offset;
		int64_t end;
	} kept[RESPONSES_KEPT];
	size_t kept_count;
};

static struct standin_server store;
static struct topic topics[TOPICS_MAX];
static struct producer producers[PRODUCERS_MAX];
static size_t producer_count;

static struct topic *topic_of(const char *name)
{
	for (size_t i = 0; i < TOPICS_MAX; i++) {
		if (!topics[i].name[0])
			snprintf(topics[i].name, sizeof(topics[i].name), "%s",
				 name);
		if (!strcmp(topics[i].name, name))
			return &topics[i];
	}
	abort();
}

static void add_record(struct topic *topic, const char *key, const void *value,
		       size_t length)
{
	struct stored *record;

	if (topic->count == topic->size) {
		topic->size = topic->size ? topic->size * 2 : 1024;
		topic->records = realloc(topic->records,
					 topic->size * sizeof(*topic->records));
	}
	record = &topic->records[topic->count++];
	record->key = strdup(key);
	record->value = malloc(length + 1);
	memcpy(record->value, value, length);
	record->length = length;
}

static struct producer *producer_of(const char *topic, const char *id)
{
	struct producer *producer;

	for (size_t i = 0; i < producer_count; i++)
		if (!strcmp(producers[i].topic, topic) &&
		    !strcmp(producers[i].id, id))
			return &producers[i];
	if (producer_count == PRODUCERS_MAX)
		abort();
	producer = &producers[producer_count++];
	snprintf(producer->topic, sizeof(producer->topic), "%s", topic);
	snprintf(producer->id, sizeof(producer->id), "%s", id);
	producer->epoch = -1;
	producer->next = -1;
	return producer;
}

/* Adds the records of a body. */
static void add_records(struct topic *topic, const struct request *request)
{
	size_t at = 0;

	while (at + 5 <= request->length) {
		const unsigned char *data =
			(const unsigned char *)request->body + at;
		uint32_t size;
		size_t key_length;
		char key[256];

		memcpy(&size, data, sizeof(size));
		size = ntohl(size);
		key_length = data[4];
		memcpy(key, data + 5, key_length);
		key[key_length] = 0;
		add_record(topic, key, data + 5 + key_length,
			   size - 1 - key_length);
		at += 4 + size;
	}
}

/* Whether the records of a body are within the limits of the store. */
static bool has_allowed_size(const struct request *request)
{
	size_t at = 0;
	size_t sum = 0;

	while (at + 5 <= request->length) {
		uint32_t size;

		memcpy(&size, request->body + at, sizeof(size));
		size = ntohl(size);
		if (size > STANDIN_RECORD_BYTES)
			return false;
		sum += size;
		at += 4 + size;
	}
	return sum <= STANDIN_CALL_BYTES;
}

static void handle_append(const struct request *request, struct reply *reply)
{
	char name[64];
	char id[128];
	struct topic *topic;
	struct producer *producer = NULL;
	int64_t epoch = query_number(request, "epoch", 0);
	int64_t sequence = query_number(request, "Sequence", 0);
	int64_t offset;

	query_text(request, "Topic", name, sizeof(name));
	query_text(request, "ProducerId", id, sizeof(id));
	topic = topic_of(name);
	if (!has_allowed_size(request)) {
		standin_record("store: refuses a record that is too large: %zu "
			       "bytes in the call",
			       request->length);
		reply_bytes(reply, 400, "{}", 2);
		return;
	}
	if (id[0]) {
		producer = producer_of(name, id);
		if (epoch < producer->epoch) {
			reply_json(reply, 409,
				   json_pack("{s:s}", "Reason", "fenced"));
			return;
		}
		if (epoch > producer->epoch) {
			producer->epoch = epoch;
			producer->next = -1;
			producer->kept_count = 0;
		}
		for (size_t i = 0; i < producer->kept_count; i++)
			if (producer->kept[i].sequence == sequence) {
				reply_json(
					reply, 200,
					json_pack("{s:I,s:I}", "Offset",
						  (json_int_t)producer->kept[i]
							  .offset,
						  "EndOffset",
						  (json_int_t)producer->kept[i]
							  .end));
				return;
			}
		if (producer->next >= 0 && sequence != producer->next) {
			reply_json(reply, 409,
				   json_pack("{s:s,s:I}", "Reason", "seq",
					     "Sequence",
					     (json_int_t)producer->next));
			return;
		}
	}
	offset = (int64_t)topic->count;
	add_records(topic, request);
	if (producer) {
		size_t last = producer->kept_count;

		if (last == RESPONSES_KEPT) {
			memmove(&producer->kept[0], &producer->kept[1],
				sizeof(producer->kept[0]) *
					(RESPONSES_KEPT - 1));
			last--;
		}
		producer->kept[last].sequence = sequence;
		producer->kept[last].offset = offset;
		producer->kept[last].end = (int64_t)topic->count;
		producer->kept_count = last + 1;
		producer->next = sequence + 1;
	}
	pthread_cond_broadcast(&standin_changed);
	reply_json(reply, 200,
		   json_pack("{s:I,s:I}", "Offset", (json_int_t)offset,
			     "EndOffset", (json_int_t)topic->count));
}

static void handle_read(const struct request *request, struct reply *reply)
{
	char name[64];
	struct topic *topic;
	int64_t from = query_number(request, "From", 0);
	int64_t max = query_number(request, "MaxKb", 1024) * 1024;
	int64_t until_ms =
		standin_now_ms() + query_number(request, "WaitMs", 0);
	size_t length = 16;
	size_t last;
	uint64_t numbers[2];
	unsigned char *out;
	size_t at = 16;

	query_text(request, "Topic", name, sizeof(name));
	topic = topic_of(name);
	while ((int64_t)topic->count <= from && standin_now_ms() < until_ms)
		wait_changed(until_ms);
	for (last = (size_t)from; last < topic->count; last++) {
		size_t size = 5 + strlen(topic->records[last].key) +
			      topic->records[last].length;

		if (length > 16 && (int64_t)(length + size) > max)
			break;
		length += size;
	}
	out = malloc(length);
	numbers[0] = htobe64(topic->count);
	numbers[1] = 0;
	memcpy(out, numbers, sizeof(numbers));
	for (size_t i = (size_t)from; i < last; i++) {
		const struct stored *record = &topic->records[i];
		size_t key_length = strlen(record->key);
		uint32_t size =
			htonl((uint32_t)(1 + key_length + record->length));

		memcpy(out + at, &size, sizeof(size));
		out[at + 4] = (unsigned char)key_length;
		memcpy(out + at + 5, record->key, key_length);
		memcpy(out + at + 5 + key_length, record->value,
		       record->length);
		at += 5 + key_length + record->length;
	}
	reply_bytes(reply, 200, out, length);
	free(out);
}

static char *base64(const unsigned char *data, size_t length)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmn"
				     "opqrstuvwxyz0123456789+/";
	char *text = malloc((length + 2) / 3 * 4 + 1);
	size_t at = 0;

	for (size_t i = 0; i < length; i += 3) {
		uint32_t bits = (uint32_t)data[i] << 16;

		if (i + 1 < length)
			bits |= (uint32_t)data[i + 1] << 8;
		if (i + 2 < length)
			bits |= data[i + 2];
		text[at++] = digits[bits >> 18 & 63];
		text[at++] = digits[bits >> 12 & 63];
		text[at++] = i + 1 < length ? digits[bits >> 6 & 63] : '=';
		text[at++] = i + 2 < length ? digits[bits & 63] : '=';
	}
	text[at] = 0;
	return text;
}

static struct topic *sorted_topic;

static int compare_keys(const void *a, const void *b)
{
	return strcmp(sorted_topic->records[*(const size_t *)a].key,
		      sorted_topic->records[*(const size_t *)b].key);
}

/* Answers with a page of the newest records, in the order of their keys. */
static void handle_newest(const struct request *request, struct reply *reply)
{
	char name[64];
	char after[256];
	struct topic *topic;
	json_t *newest = json_object();
	json_t *items = json_array();
	size_t *offsets;
	size_t count = 0;
	bool more = false;
	const char *key;
	json_t *value;

	query_text(request, "Topic", name, sizeof(name));
	query_text(request, "After", after, sizeof(after));
	topic = topic_of(name);
	for (size_t i = 0; i < topic->count; i++)
		json_object_set_new(newest, topic->records[i].key,
				    json_integer((json_int_t)i));
	offsets = malloc((json_object_size(newest) + 1) * sizeof(*offsets));
	json_object_foreach(newest, key, value)
	{
		size_t offset = (size_t)json_integer_value(value);

		if (topic->records[offset].length &&
		    (!after[0] || strcmp(key, after) > 0))
			offsets[count++] = offset;
	}
	sorted_topic = topic;
	qsort(offsets, count, sizeof(*offsets), compare_keys);
	for (size_t i = 0; i < count; i++) {
		const struct stored *record = &topic->records[offsets[i]];
		char *text;

		if (i == NEWEST_PAGE) {
			more = true;
			break;
		}
		text = base64(record->value, record->length);
		json_array_append_new(items, json_pack("{s:s,s:s,s:I}", "Key",
						       record->key, "Value",
						       text, "Offset",
						       (json_int_t)offsets[i]));
		free(text);
	}
	free(offsets);
	json_decref(newest);
	reply_json(reply, 200,
		   json_pack("{s:o,s:b,s:I}", "items", items, "HasMore", more,
			     "EndOffset", (json_int_t)topic->count));
}

static void handle_store(const struct request *request, struct reply *reply)
{
	if (!strcmp(request->path, "/-/log-append"))
		handle_append(request, reply);
	else if (!strcmp(request->path, "/-/log-read"))
		handle_read(request, reply);
	else if (!strcmp(request->path, "/-/log-newest"))
		handle_newest(request, reply);
	else
		reply_bytes(reply, 404, "{}", 2);
}

/* ---- workers ---- */

static int64_t worker_clock_ms(const struct standin_worker *worker)
{
	return standin_now_ms() + worker->clock_offset_ms;
}

/* Appends the worker's entry to the store. */
static void write_entry(struct standin_worker *worker)
{
	char address[64];
	json_t *entry;
	char *text;

	snprintf(address, sizeof(address), "127.0.0.1:%d", worker->server.port);
	entry = json_pack(
		"{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:i,s:i,s:i},s:[s,s],s:I,s:I,"
		"s:I}",
		"Service", "render", "Address", address, "Zone", worker->zone,
		"Version", "v1", "Slots", 8, "State",
		worker->draining ? "draining" : "ready", "ColdLeftMs", 0,
		"Capacity", "Cpu", 128000, "MemMb", 524288, "Gpu", 8, "Labels",
		worker->kind, worker->rack, "ClockMs",
		(json_int_t)worker_clock_ms(worker), "Sequence",
		(json_int_t)++worker->sequence, "born",
		(json_int_t)worker->born_ms);
	text = json_dumps(entry, JSON_COMPACT);
	add_record(topic_of("keyed.servers"), worker->id, text, strlen(text));
	free(text);
	json_decref(entry);
	pthread_cond_broadcast(&standin_changed);
}

/* Ends a run; the end is listed until it is taken note of. */
static void end_run(struct standin_worker *worker, size_t index,
		    const char *how)
{
	struct standin_run run = worker->runs[index];
	struct standin_end *end;

	worker->runs[index] = worker->runs[--worker->run_count];
	worker->ends = realloc(worker->ends,
			       (worker->end_count + 1) * sizeof(*worker->ends));
	end = &worker->ends[worker->end_count++];
	memset(end, 0, sizeof(*end));
	end->position = ++worker->position;
	snprintf(end->task, sizeof(end->task), "%s", run.task);
	end->number = run.number;
	end->how = how;
	end->at_ms = standin_now_ms();
	if (standin_plan.checkpoint && strcmp(how, "done") != 0)
		standin_plan.checkpoint(worker, &run, end->saved,
					sizeof(end->saved));
	json_object_set_new(worker->closed, run.task, json_integer(run.number));
	standin_record("%s end %s run %lld %s", worker->id, run.task,
		       (long long)run.number, how);
	if (standin_plan.on_end)
		standin_plan.on_end(worker, end, false);
	pthread_cond_broadcast(&standin_changed);
}

/* Ends the runs that are due, or all when the lease has lapsed. */
static void advance_worker(struct standin_worker *worker)
{
	int64_t now_ms = standin_now_ms();
	bool lapsed = worker_clock_ms(worker) > worker->lease_until_ms;

	if (!worker->up)
		return;
	if (lapsed)
		worker->lapsed_at_ms = now_ms;
	for (size_t i = worker->run_count; i > 0; i--)
		if (lapsed)
			end_run(worker, i - 1, "lapsed");
		else if (now_ms >= worker->runs[i - 1].end_ms)
			end_run(worker, i - 1, "done");
}

/* Advances all workers, which write their entries in turn. */
static void *advance_thread(void *unused)
{
	int64_t turn = 0;

	for (;;) {
		int64_t now_ms;

		standin_sleep_ms(STEP_MS);
		now_ms = standin_now_ms();
		pthread_mutex_lock(&standin_lock);
		for (size_t i = 0; i < standin_worker_count; i++)
			advance_worker(&standin_workers[i]);
		for (size_t i = 0; i < standin_worker_count; i++) {
			struct standin_worker *worker = &standin_workers[i];
			int64_t shift_ms = (int64_t)i * STANDIN_HEARTBEAT_MS /
					   (int64_t)standin_worker_count;

			if (worker->up &&
			    (now_ms - shift_ms) / STANDIN_HEARTBEAT_MS !=
				    (turn - shift_ms) / STANDIN_HEARTBEAT_MS)
				write_entry(worker);
		}
		turn = now_ms;
		pthread_mutex_unlock(&standin_lock);
	}
	return unused;
}

/* Answers with the worker's clock; takes `object`. */
static void reply_clock(struct standin_worker *worker, struct reply *reply,
			int status, json_t *object)
{
	json_object_set_new(object, "ClockMs",
			    json_integer((json_int_t)worker_clock_ms(worker)));
	reply_json(reply, status, object);
}

static void reject(struct standin_worker *worker, struct reply *reply,
		   const char *reason)
{
	standin_record("%s rejects an order: %s", worker->id, reason);
	reply_clock(worker, reply, 409, json_pack("{s:s}", "Reason", reason));
}

static int64_t number_of(const json_t *body, const char *name)
{
	return json_integer_value(json_object_get(body, name));
}

static struct standin_run *find_run(struct standin_worker *worker,
				    const char *task)
{
	for (size_t i = 0; i < worker->run_count; i++)
		if (!strcmp(worker->runs[i].task, task))
			return &worker->runs[i];
	return NULL;
}

static void extend_lease(struct standin_worker *worker, int64_t deadline_ms)
{
	int64_t most_ms = worker_clock_ms(worker) + STANDIN_HOLD_MAX_MS;

	if (deadline_ms > most_ms)
		deadline_ms = most_ms;
	if (deadline_ms > worker->lease_until_ms)
		worker->lease_until_ms = deadline_ms;
}

static bool has_ticket(const struct standin_worker *worker, const json_t *body);

static void handle_start(struct standin_worker *worker, const json_t *body,
			 struct reply *reply)
{
	const char *task = json_string_value(json_object_get(body, "Task"));
	int64_t number = number_of(body, "RunId");
	struct standin_run *run = find_run(worker, task);

	if (worker_clock_ms(worker) > number_of(body, "DeadlineMs")) {
		reject(worker, reply, "late");
		return;
	}
	if (!has_ticket(worker, body)) {
		reject(worker, reply, "ticket");
		return;
	}
	extend_lease(worker, number_of(body, "DeadlineMs"));
	if (run && run->number == number) {
		reply_clock(worker, reply, 200, json_object());
		return;
	}
	if (run || number <= number_of(worker->closed, task)) {
		reject(worker, reply, "old");
		return;
	}
	standin_record("%s start %s run %lld token %lld", worker->id, task,
		       (long long)number,
		       (long long)number_of(body, "FencingToken"));
	if (standin_plan.on_start)
		standin_plan.on_start(worker, task, number, body);
	worker->runs = realloc(worker->runs,
			       (worker->run_count + 1) * sizeof(*worker->runs));
	run = &worker->runs[worker->run_count++];
	memset(run, 0, sizeof(*run));
	snprintf(run->task, sizeof(run->task), "%s", task);
	run->number = number;
	run->begin_ms = standin_now_ms();
	run->end_ms = run->begin_ms + standin_plan.duration_ms(task, number);
	reply_clock(worker, reply, 200, json_object());
}

static void handle_stop(struct standin_worker *worker, const json_t *body,
			struct reply *reply)
{
	const char *task = json_string_value(json_object_get(body, "Task"));
	int64_t number = number_of(body, "RunId");
	bool stopped = false;

	standin_record("%s stop %s run %lld", worker->id, task,
		       (long long)number);
	for (size_t i = 0; i < worker->run_count && !stopped; i++)
		if (!strcmp(worker->runs[i].task, task) &&
		    worker->runs[i].number <= number) {
			end_run(worker, i, "stopped");
			stopped = true;
		}
	if (number > number_of(worker->closed, task))
		json_object_set_new(worker->closed, task, json_integer(number));
	reply_clock(worker, reply, 200, json_object());
}

/* Forgets the ends up to `seen`. */
static void take_note(struct standin_worker *worker, int64_t seen)
{
	size_t count = 0;

	while (count < worker->end_count &&
	       worker->ends[count].position <= seen) {
		if (standin_plan.on_end)
			standin_plan.on_end(worker, &worker->ends[count], true);
		count++;
	}
	worker->end_count -= count;
	memmove(worker->ends, worker->ends + count,
		worker->end_count * sizeof(*worker->ends));
}

static void handle_hold(struct standin_worker *worker, const json_t *body,
			struct reply *reply)
{
	unsigned int generation = worker->server.generation;
	int64_t until_ms = standin_now_ms() + number_of(body, "WaitMs");
	json_t *running = json_array();
	json_t *finished = json_array();
	int64_t now_ms;

	extend_lease(worker, number_of(body, "DeadlineMs"));
	take_note(worker, number_of(body, "LastSeen"));
	while (!worker->end_count && standin_now_ms() < until_ms &&
	       generation == worker->server.generation)
		wait_changed(until_ms);
	now_ms = standin_now_ms();
	for (size_t i = 0; i < worker->run_count; i++) {
		const struct standin_run *run = &worker->runs[i];
		int64_t span_ms = run->end_ms - run->begin_ms;
		char saved[128] = "";

		if (standin_plan.checkpoint)
			standin_plan.checkpoint(worker, run, saved,
						sizeof(saved));
		json_array_append_new(
			running,
			json_pack("[s,I,s,I,i]", run->task,
				  (json_int_t)run->number, saved,
				  (json_int_t)((now_ms - run->begin_ms) * 100 /
					       (span_ms ? span_ms : 1)),
				  0));
	}
	for (size_t i = 0; i < worker->end_count && i < STANDIN_FINISHED_PAGE;
	     i++) {
		const struct standin_end *end = &worker->ends[i];

		json_array_append_new(
			finished,
			json_pack("[I,s,I,s,s]", (json_int_t)end->position,
				  end->task, (json_int_t)end->number, end->how,
				  end->saved));
	}
	reply_clock(worker, reply, 200,
		    json_pack("{s:I,s:o,s:o}", "born",
			      (json_int_t)worker->born_ms, "Running", running,
			      "Finished", finished));
}

static void handle_worker(struct standin_worker *worker,
			  const struct request *request, struct reply *reply)
{
	json_t *body = json_loadb(request->body, request->length, 0, NULL);
	int64_t token = number_of(body, "FencingToken");

	if (strcmp(request->target, worker->id) != 0) {
		reply_bytes(reply, 421, "{}", 2);
	} else if (token < worker->token) {
		reject(worker, reply, "fence");
	} else {
		worker->token = token;
		if (!strcmp(request->path, "/-/run-start"))
			handle_start(worker, body, reply);
		else if (!strcmp(request->path, "/-/run-stop"))
			handle_stop(worker, body, reply);
		else if (!strcmp(request->path, "/-/hold"))
			handle_hold(worker, body, reply);
		else
			reply_bytes(reply, 404, "{}", 2);
	}
	json_decref(body);
}

/* ---- the policy service ---- */

static struct standin_server policy;

static uint32_t hash_text(uint32_t hash, const char *text)
{
	while (*text)
		hash = (hash ^ (unsigned char)*text++) * 16777619U;
	return hash;
}

/* Identifies a step and a life of a worker. */
static uint32_t hash_of(const struct standin_worker *worker, const char *step)
{
	return hash_text(
		hash_text(2166136261U ^ (uint32_t)worker->born_ms, worker->id),
		step);
}

static void handle_policy(const struct request *request, struct reply *reply)
{
	json_t *body = json_loadb(request->body, request->length, 0, NULL);
	const char *step = json_string_value(json_object_get(body, "Step"));
	const json_t *ids = json_object_get(body, "Workers");
	json_t *rows = json_array();

	for (size_t i = 0; i < json_array_size(ids); i++) {
		const char *id = json_string_value(json_array_get(ids, i));

		for (size_t j = 0; j < standin_worker_count; j++) {
			const struct standin_worker *worker =
				&standin_workers[j];
			char ticket[32];

			if (strcmp(worker->id, id) != 0 ||
			    !standin_plan.eligible(worker, step))
				continue;
			snprintf(ticket, sizeof(ticket), "%08x-%" PRIx64,
				 hash_of(worker, step),
				 standin_now_ms() + STANDIN_VALID_MS);
			json_array_append_new(rows,
					      json_pack("[s,s]", id, ticket));
		}
	}
	standin_record("policy: asked for %s on %zu workers, %zu may", step,
		       json_array_size(ids), json_array_size(rows));
	reply_json(reply, 200,
		   json_pack("{s:o,s:i}", "Eligible", rows, "ValidMs",
			     STANDIN_VALID_MS));
	json_decref(body);
}

/* Whether a start has a valid ticket, if it needs one. */
static bool has_ticket(const struct standin_worker *worker, const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "Task"));
	const char *ticket = json_string_value(json_object_get(body, "Ticket"));
	char step[STANDIN_NAME_BYTES];
	char *end;

	if (!standin_plan.eligible)
		return true;
	snprintf(step, sizeof(step), "%s", task);
	*strrchr(step, '.') = 0;
	return ticket && strtoul(ticket, &end, 16) == hash_of(worker, step) &&
	       *end == '-' && strtoll(end + 1, NULL, 16) >= standin_now_ms();
}

/* ---- servers ---- */

struct connection {
	struct standin_server *server;
	int fd;
	size_t slot;
	unsigned int generation;
};

/* Waits until a cut has ended. Returns whether the connection is still good,
 * with the lock held. */
static bool is_good(const struct connection *connection)
{
	while (connection->server->cut)
		wait_changed(standin_now_ms() + 1000);
	return connection->generation == connection->server->generation;
}

static void *connection_thread(void *private_data)
{
	struct connection *connection = private_data;
	struct standin_server *server = connection->server;
	struct request request;

	while (!read_request(connection->fd, &request)) {
		struct reply reply = { 0 };
		bool good;

		pthread_mutex_lock(&standin_lock);
		good = is_good(connection);
		if (good && server->worker)
			handle_worker(server->worker, &request, &reply);
		else if (good && server == &policy)
			handle_policy(&request, &reply);
		else if (good)
			handle_store(&request, &reply);
		good = good && is_good(connection);
		pthread_mutex_unlock(&standin_lock);
		free(request.body);
		if (good && server == &store)
			standin_sleep_ms(STANDIN_STORE_MS);
		if (good && server == &policy)
			standin_sleep_ms(STANDIN_DECIDE_MS +
					 STANDIN_PER_WORKER_MS *
						 (int64_t)standin_worker_count);
		if (good && send_reply(connection->fd, &reply))
			good = false;
		free(reply.body);
		if (!good)
			break;
	}
	pthread_mutex_lock(&standin_lock);
	if (server->connections[connection->slot] == connection->fd)
		server->connections[connection->slot] = -1;
	close(connection->fd);
	pthread_mutex_unlock(&standin_lock);
	free(connection);
	return NULL;
}

/* Serves a connection in a thread of its own, with the lock held. */
static void serve_connection(struct standin_server *server, int fd)
{
	struct connection *connection = calloc(1, sizeof(*connection));
	const int on = 1;
	pthread_t thread;
	size_t slot = 0;

	while (slot < STANDIN_CONNECTIONS_MAX && server->connections[slot] >= 0)
		slot++;
	if (slot == STANDIN_CONNECTIONS_MAX) {
		close(fd);
		free(connection);
		return;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	server->connections[slot] = fd;
	connection->server = server;
	connection->fd = fd;
	connection->slot = slot;
	connection->generation = server->generation;
	if (pthread_create(&thread, NULL, connection_thread, connection))
		abort();
	pthread_detach(thread);
}

struct listener {
	struct standin_server *server;
	int fd;
};

static void *accept_thread(void *private_data)
{
	struct listener listener = *(struct listener *)private_data;

	free(private_data);
	for (;;) {
		int fd = accept(listener.fd, NULL, NULL);

		if (fd < 0)
			return NULL;
		pthread_mutex_lock(&standin_lock);
		serve_connection(listener.server, fd);
		pthread_mutex_unlock(&standin_lock);
	}
}

/* Listens on the server's port, or on a free one if it has none. */
static int listen_on(struct standin_server *server)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	struct listener *listener = malloc(sizeof(*listener));
	socklen_t length = sizeof(address);
	const int on = 1;
	pthread_t thread;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons((uint16_t)server->port);
	server->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(server->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(server->fd, (struct sockaddr *)&address, sizeof(address)) ||
	    listen(server->fd, 256) ||
	    getsockname(server->fd, (struct sockaddr *)&address, &length)) {
		free(listener);
		return -1;
	}
	server->port = ntohs(address.sin_port);
	listener->server = server;
	listener->fd = server->fd;
	if (pthread_create(&thread, NULL, accept_thread, listener))
		abort();
	pthread_detach(thread);
	return 0;
}

static void init_server(struct standin_server *server,
			struct standin_worker *worker)
{
	memset(server, 0, sizeof(*server));
	server->fd = -1;
	server->worker = worker;
	for (size_t i = 0; i < STANDIN_CONNECTIONS_MAX; i++)
		server->connections[i] = -1;
}

int standin_start_store(void)
{
	pthread_t thread;

	init_server(&store, NULL);
	init_server(&policy, NULL);
	if (listen_on(&store) || listen_on(&policy) ||
	    pthread_create(&thread, NULL, advance_thread, NULL))
		return -1;
	pthread_detach(thread);
	return 0;
}

struct standin_worker *standin_add_worker(const char *zone, const char *rack,
					  const char *kind)
{
	struct standin_worker *worker;

	pthread_mutex_lock(&standin_lock);
	worker = &standin_workers[standin_worker_count];
	memset(worker, 0, sizeof(*worker));
	init_server(&worker->server, worker);
	snprintf(worker->id, sizeof(worker->id), "i-%04zx",
		 0x7f30 + standin_worker_count);
	snprintf(worker->zone, sizeof(worker->zone), "%s", zone);
	snprintf(worker->rack, sizeof(worker->rack), "%s", rack);
	snprintf(worker->kind, sizeof(worker->kind), "%s", kind);
	worker->born_ms = standin_unix_ms();
	worker->clock_offset_ms = 480000 - standin_now_ms();
	worker->closed = json_object();
	if (listen_on(&worker->server))
		abort();
	worker->up = true;
	standin_worker_count++;
	write_entry(worker);
	pthread_mutex_unlock(&standin_lock);
	return worker;
}

void standin_publish(json_t *config)
{
	char *text = json_dumps(config, JSON_COMPACT);

	pthread_mutex_lock(&standin_lock);
	add_record(topic_of("keyed.op"), "config", text, strlen(text));
	pthread_cond_broadcast(&standin_changed);
	pthread_mutex_unlock(&standin_lock);
	standin_record("operator: configuration %lld acknowledged",
		       (long long)number_of(config, "Version"));
	free(text);
	json_decref(config);
}

void standin_cut(struct standin_worker *worker, bool cut)
{
	pthread_mutex_lock(&standin_lock);
	worker->server.cut = cut;
	/* What was held up is lost, as its senders have closed the channels. */
	worker->server.generation++;
	pthread_cond_broadcast(&standin_changed);
	standin_record("%s %s", worker->id,
		       cut ? "is cut off and runs on" : "is reached again");
	pthread_mutex_unlock(&standin_lock);
}

void standin_crash(struct standin_worker *worker)
{
	static const struct linger reset = { 1, 0 };

	pthread_mutex_lock(&standin_lock);
	standin_record("%s crashes with %zu runs", worker->id,
		       worker->run_count);
	worker->up = false;
	worker->server.generation++;
	shutdown(worker->server.fd, SHUT_RDWR);
	close(worker->server.fd);
	worker->server.fd = -1;
	for (size_t i = 0; i < STANDIN_CONNECTIONS_MAX; i++) {
		int fd = worker->server.connections[i];

		if (fd < 0)
			continue;
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
		shutdown(fd, SHUT_RDWR);
	}
	worker->run_count = 0;
	worker->end_count = 0;
	worker->position = 0;
	worker->token = 0;
	worker->lease_until_ms = 0;
	json_object_clear(worker->closed);
	pthread_cond_broadcast(&standin_changed);
	pthread_mutex_unlock(&standin_lock);
}

void standin_reborn(struct standin_worker *worker)
{
	pthread_mutex_lock(&standin_lock);
	worker->born_ms = standin_unix_ms();
	worker->clock_offset_ms = 1000 - standin_now_ms();
	worker->sequence = 0;
	worker->draining = false;
	write_entry(worker);
	pthread_mutex_unlock(&standin_lock);
	standin_sleep_ms(STANDIN_STORE_MS);
	pthread_mutex_lock(&standin_lock);
	if (listen_on(&worker->server))
		abort();
	worker->up = true;
	standin_record("%s is up again, of kind %s", worker->id, worker->kind);
	pthread_mutex_unlock(&standin_lock);
}

/* ---- instances ---- */

struct figure {
	const char *field;
	const char *value;
};

/* Returns the value of a placeholder of the settings template. */
static const char *value_of(const char *field, size_t length,
			    const struct figure *figures, size_t count)
{
	for (size_t i = 0; i < count; i++)
		if (strlen(figures[i].field) == length &&
		    !strncmp(figures[i].field, field, length))
			return figures[i].value;
	return "";
}

/* Renders the settings template as the platform does. Returns 0, or -1. */
static int render(const char *path, const char *name, const char *zone)
{
	char quoted_name[96];
	char quoted_zone[96];
	char quoted_store[64];
	char hint[64];
	const struct figure figures[] = {
		{ "NodeName|json", quoted_name },
		{ "Zone|json", quoted_zone },
		{ "ListenAddrs.Frontend|json", "\"127.0.0.1:0\"" },
		{ "ListenAddrs.ReadyAddr|json", "\"127.0.0.1:0\"" },
		{ "Ip", "127.0.0.1" },
		{ "PortRange.0", "0" },
		{ "platform.Address|json", quoted_store },
		{ "Commands|json", "\"rpc\"" },
		{ "Hint", hint },
		{ "Limits.CpuShare", "0.25" },
		{ "Limits.Cores", "1" },
		{ "Limits.MaxFds", "4100" },
		{ "Limits.LinkMbps", "1000.0" },
		{ "Bounds.GraceS", "6" },
		{ "Bounds.HoldMaxMs", "10000" },
		{ "Bounds.status_s", "120" },
		{ "Bounds.ReclaimMs", "2700" },
		{ "Bounds.RevokeMs", "5000" },
		{ "Bounds.DrainMs", "2000" },
		{ "Bounds.StopMs", "200" },
		{ "Bounds.RestoreMs", "100" },
		{ "HeartbeatMs", "1500" },
		{ "Policies", "base,drain,config,cost,recover,sched,tenants,"
			      "platform,advice,upkeep,sharing" },
	};
	FILE *from = fopen("deploy/settings.json", "r");
	FILE *to = fopen(path, "w");
	char text[8192];
	size_t length;
	const char *at = text;

	if (!from || !to)
		return -1;
	length = fread(text, 1, sizeof(text) - 1, from);
	text[length] = 0;
	fclose(from);
	snprintf(quoted_name, sizeof(quoted_name), "\"%s\"", name);
	snprintf(quoted_zone, sizeof(quoted_zone), "\"%s\"", zone);
	snprintf(quoted_store, sizeof(quoted_store), "\"127.0.0.1:%d\"",
		 store.port);
	snprintf(hint, sizeof(hint), "127.0.0.1:%d", policy.port);
	while (*at) {
		const char *open = strstr(at, "{{");
		const char *close = open ? strstr(open, "}}") : NULL;

		if (!close) {
			fputs(at, to);
			break;
		}
		fwrite(at, 1, (size_t)(open - at), to);
		fputs(value_of(open + 2, (size_t)(close - open - 2), figures,
			       sizeof(figures) / sizeof(figures[0])),
		      to);
		at = close + 2;
	}
	return fclose(to);
}

/* Returns a number of the start event in an instance's output, or 0. */
static int find_port(const char *path, const char *name)
{
	FILE *file = fopen(path, "r");
	char line[4096];
	int port = 0;

	while (file && !port && fgets(line, sizeof(line), file)) {
		const char *at = strstr(line, "\"event\":\"start\"") ?
					 strstr(line, name) :
					 NULL;

		if (at)
			port = (int)strtol(at + strlen(name), NULL, 10);
	}
	if (file)
		fclose(file);
	return port;
}

int standin_start_entry(struct standin_entry *entry, const char *name,
			const char *zone)
{
	char settings[512];
	char output[512];
	int64_t until_ms = standin_now_ms() + START_WAIT_MS;

	memset(entry, 0, sizeof(*entry));
	snprintf(entry->name, sizeof(entry->name), "%s", name);
	snprintf(settings, sizeof(settings), "%s/%zu.json", folder,
		 child_count);
	snprintf(output, sizeof(output), "%s/%zu.out", folder, child_count);
	if (render(settings, name, zone))
		return -1;
	entry->pid = fork();
	if (!entry->pid) {
		int fd = open(output, O_WRONLY | O_CREAT | O_TRUNC, 0600);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		setenv("RADISHJUNCTION_CONFIG", settings, 1);
		execl("target/bin/radishjunction-entry",
		      "target/bin/radishjunction-entry", (char *)NULL);
		_exit(127);
	}
	children[child_count++] = entry->pid;
	while (standin_now_ms() < until_ms) {
		entry->callers_port = find_port(output, "\"callers_port\":");
		entry->ready_port = find_port(output, "\"ready_port\":");
		if (entry->ready_port &&
		    standin_call(entry->ready_port, "GET", "/-/ready", "x", "",
				 NULL, NULL, 0) == 200) {
			standin_record("%s is ready", name);
			return 0;
		}
		standin_sleep_ms(50);
	}
	return -1;
}

int standin_call(int port, const char *method, const char *path,
		 const char *host, const char *key, const char *send_text,
		 char *body, size_t size)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	struct timeval limit = { CALL_TIMEOUT_MS / 1000,
				 (CALL_TIMEOUT_MS % 1000) * 1000 };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	char head[1024];
	char answer[65536];
	size_t have = 0;
	int status = 0;
	int length;
	char *start;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons((uint16_t)port);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	length = snprintf(head, sizeof(head),
			  "%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Token "
			  "%s\r\nDeadline-Ms: 3000\r\nContent-Type: "
			  "application/json\r\nConnection: close\r\n"
			  "Content-Length: %zu\r\n\r\n",
			  method, path, host, key,
			  send_text ? strlen(send_text) : 0);
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) ||
	    send_all(fd, head, (size_t)length) ||
	    (send_text && send_all(fd, send_text, strlen(send_text))))
		goto done;
	while (have < sizeof(answer) - 1) {
		ssize_t got =
			recv(fd, answer + have, sizeof(answer) - 1 - have, 0);

		if (got <= 0)
			break;
		have += (size_t)got;
	}
	answer[have] = 0;
	start = strstr(answer, "\r\n\r\n");
	if (!start || strncmp(answer, "HTTP/1.1 ", 9) != 0)
		goto done;
	status = (int)strtol(answer + 9, NULL, 10);
	if (body)
		snprintf(body, size, "%s", start + 4);
done:
	close(fd);
	return status;
}
