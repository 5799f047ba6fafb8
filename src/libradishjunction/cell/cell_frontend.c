#include "private/cell_frontend.h"

#include <assert.h>
#include <ctype.h>
#include <string.h>
#include <talloc.h>

#include "private/cell_account_admission.h"
#include "private/cell_progress.h"
#include "private/json_values.h"
#include "private/log_event.h"

/* Memory of a request that waits for the log, besides its record. */
#define REQUEST_BYTES 1024
/* A record that is being stored is held twice: encoded, and in the append. */
#define RECORD_COPIES 2
/* Retry delay of clients for whose requests there is no memory. */
#define MEMORY_RETRY_MS 1000
/* Wait of a client that does not announce one. */
#define DEFAULT_WAIT_MS 3000
/* The last answer is sent this long before the client times out. */
#define ANSWER_MARGIN_MS 120
/* Limits the margin to a quarter of a short wait, so that an append, which
 * takes 10 ms, still fits. */
#define ANSWER_MARGIN_DIVISOR 4
/*
 * A state read from the log within this time is returned at once; otherwise the
 * log is read first, which takes about 6 ms. Callers ask once or twice per job,
 * so this costs far fewer reads than every instance reading the log
 * continuously.
 */
#define STATE_FRESH_US (80 * RJ_US_PER_MS)
/* While the log is unavailable, states up to this age are returned. */
#define STATE_AGE_MAX_US (1200 * RJ_US_PER_MS)
/* Maximum age of the owner's heartbeat for its backlog to count; one is written
 * every 0.4 s. */
#define HEARTBEAT_AGE_MAX_US (3 * RJ_US_PER_S)
/* Retry delay of callers whose place in the order of return is kept. */
#define RETURN_DELAY_MIN_MS 1000
#define RETURN_DELAY_SPREAD_MS 1000
#define RETURN_DELAY_UNIT_MS 1000
/*
 * Keys are accepted while the configuration is younger than this part of the
 * revocation bound promised to operators. The rest covers the time until a
 * call reaches a worker, and a clock that is 2 % slow.
 */
#define KEY_FRESH_PERCENT 78

const char *const rj_cell_verb_string[RJ_CELL_VERB_COUNT] = {
	[RJ_CELL_VERB_SUBMIT] = "submit",
	[RJ_CELL_VERB_QUERY] = "ask",
	[RJ_CELL_VERB_CANCEL] = "cancel",
};

const char *const rj_cell_verdict_string[RJ_CELL_VERDICT_COUNT] = {
	[RJ_CELL_VERDICT_ACCEPTED] = "accepted",
	[RJ_CELL_VERDICT_STATE] = "state",
	[RJ_CELL_VERDICT_PENDING] = "pending",
	[RJ_CELL_VERDICT_CANCELLED] = "cancelled",
	[RJ_CELL_VERDICT_NO_QUEUE] = "no_queue",
	[RJ_CELL_VERDICT_NO_JOB] = "no_job",
	[RJ_CELL_VERDICT_BAD_KEY] = "bad_key",
	[RJ_CELL_VERDICT_MALFORMED] = "malformed",
	[RJ_CELL_VERDICT_BUSY] = "busy",
	[RJ_CELL_VERDICT_UNAVAILABLE] = "away",
	[RJ_CELL_VERDICT_UNKNOWN] = "unknown",
};

/* What a request waits for: the log of states; then, if the job is not in it,
 * the log of requests, and the log of states again. */
enum sync_step {
	SYNC_STATES,
	SYNC_REQUESTS,
	SYNC_STATES_AGAIN,
};

/* A call that has not been answered, or that a write or a sync still refers
 * to. */
struct request {
	struct rj_list link;
	struct rj_cell_frontend *frontend;
	struct rj_cell_call *call;
	char id[RJ_CELL_ID_BYTES];
	char account[RJ_NAME_BYTES];
	uint64_t held_bytes; /* charged to the budget of clients */
	uint64_t received_us;
	uint64_t due_us; /* the last answer is sent then */
	bool answered;
	bool writing; /* a write refers to it */
	bool cancels; /* the write is a cancellation */
	bool not_in_log; /* of a job that is not in the log */
	struct rj_cell_sync sync;
	enum sync_step sync_step;
	bool syncing;
};

/*
 * Initializes the frontend. The writer must be open before the first call.
 */
void rj_cell_frontend_init(struct rj_cell_frontend *frontend, void *mem,
			   struct rj_cell_view *view,
			   struct rj_cell_log_reader *jobs,
			   struct rj_cell_log_reader *requests_log,
			   struct rj_cell_log_reader *configs,
			   struct rj_cell_writer *writer,
			   const struct rj_cell_codec *codec,
			   uint32_t revoke_ms)
{
	memset(frontend, 0, sizeof(*frontend));
	frontend->mem = mem;
	frontend->view = view;
	frontend->jobs = jobs;
	frontend->requests_log = requests_log;
	frontend->configs = configs;
	frontend->writer = writer;
	frontend->codec = codec;
	frontend->revoke_ms = revoke_ms;
	rj_list_init(&frontend->requests);
	rj_cell_rejections_init(&frontend->rejections);
}

/*
 * Whether API keys can be trusted. A removed key must not be accepted for
 * longer than promised to operators, however long this instance was partitioned
 * or suspended, or has known only that there is a newer configuration.
 */
bool rj_cell_frontend_keys_fresh(const struct rj_cell_frontend *frontend,
				 uint64_t now_us)
{
	uint64_t limit_us = (uint64_t)frontend->revoke_ms * RJ_US_PER_MS *
			    KEY_FRESH_PERCENT / 100;
	uint64_t unknown_us = frontend->config_unknown_us;

	if (unknown_us && now_us > unknown_us + limit_us)
		return false;
	return frontend->config &&
	       rj_cell_log_reader_age_us(frontend->configs, now_us) < limit_us;
}

/* Charges memory for a request. Returns 0, or -1 if it does not fit. */
static int hold(struct request *request, uint64_t bytes)
{
	struct rj_client_budget *budget = request->frontend->budget;

	if (!budget)
		return 0;
	if (rj_client_budget_hold(budget, bytes)) {
		rj_client_budget_refuse(budget, RJ_CLIENT_REFUSAL_MEMORY,
					"frontend");
		return -1;
	}
	request->held_bytes += bytes;
	return 0;
}

/* Returns memory that was charged for a request. */
static void release_held(struct request *request, uint64_t bytes)
{
	if (!request->frontend->budget)
		return;
	rj_client_budget_release(request->frontend->budget, bytes);
	request->held_bytes -= bytes;
}

static int request_destructor(struct request *request)
{
	release_held(request, request->held_bytes);
	return 0;
}

/* Frees a request once nothing refers to it. */
static void release(struct request *request)
{
	if (request->answered && !request->writing && !request->syncing)
		talloc_free(request);
}

/* Answers a request; later answers to it are ignored. */
static void answer(struct request *request, const struct rj_cell_answer *reply)
{
	struct rj_cell_frontend *frontend = request->frontend;

	if (request->answered)
		return;
	assert(request->call);
	request->answered = true;
	rj_list_remove(&request->link);
	frontend->open--;
	rj_latency_add(&frontend->counters.answers[reply->verdict],
		       frontend->now_us - request->received_us);
	/* Successful queries are not logged; the verdicts from NO_QUEUE on are
	 * failures. */
	if (request->call->verb != RJ_CELL_VERB_QUERY ||
	    reply->verdict >= RJ_CELL_VERDICT_NO_QUEUE)
		rj_log_event(
			"answer", RJ_LOG_TEXT("job", request->id),
			RJ_LOG_TEXT("account", request->account),
			RJ_LOG_TEXT("call",
				    rj_cell_verb_string[request->call->verb]),
			RJ_LOG_TEXT("verdict",
				    rj_cell_verdict_string[reply->verdict]),
			RJ_LOG_TEXT("why", reply->reason),
			RJ_LOG_NUMBER("come_back_ms", reply->retry_after_ms),
			RJ_LOG_AGE_MS("took_ms",
				      frontend->now_us - request->received_us),
			RJ_LOG_NUMBER("config",
				      frontend->config ?
					      frontend->config->version :
					      0),
			RJ_LOG_AGE_MS("config_ms", rj_cell_log_reader_age_us(
							   frontend->configs,
							   frontend->now_us)),
			RJ_LOG_AGE_MS("jobs_ms", rj_cell_log_reader_age_us(
							 frontend->jobs,
							 frontend->now_us)));
	request->call->answer(request->call, reply);
	request->call = NULL;
	release(request);
}

/* Answers with a verdict and no further data. */
static void answer_verdict(struct request *request,
			   enum rj_cell_verdict verdict, const char *reason,
			   uint32_t retry_after_ms)
{
	const struct rj_cell_answer reply = { .verdict = verdict,
					      .reason = reason,
					      .retry_after_ms =
						      retry_after_ms };

	answer(request, &reply);
}

/* Answers that the log is unavailable and nothing was done. */
static void answer_unavailable(struct request *request, const char *reason)
{
	answer_verdict(request, RJ_CELL_VERDICT_UNAVAILABLE, reason,
		       rj_cell_log_availability_retry_after_ms(
			       &request->frontend->log_availability,
			       request->frontend->now_us));
}

/* Answers that there is no memory for the request, which never runs. */
static void answer_no_memory(struct request *request)
{
	answer_verdict(request, RJ_CELL_VERDICT_UNAVAILABLE, "client_memory",
		       MEMORY_RETRY_MS);
}

/* Parses the last part of the path as a job id. Returns 0, or -1. */
static int parse_job_id(const char *text, char id[RJ_CELL_ID_BYTES])
{
	if (strlen(text) != RJ_CELL_ID_BYTES - 1)
		return -1;
	for (const char *c = text; *c; c++)
		if (!isxdigit((unsigned char)*c))
			return -1;
	memcpy(id, text, RJ_CELL_ID_BYTES);
	return 0;
}

/* Answers with the state of a job. A cancellation request counts as
 * cancelled. */
static void answer_state(struct request *request,
			 const struct rj_cell_view_entry *entry)
{
	struct rj_cell_answer reply = { .verdict = RJ_CELL_VERDICT_STATE,
					.state = entry->summary.state,
					.reason = "known" };

	if (entry->cancelled && entry->summary.state < RJ_CELL_JOB_COMPLETED)
		reply.state = RJ_CELL_JOB_CANCELLED;
	answer(request, &reply);
}

/* Returns the request's job if it has been accepted, or NULL. */
static struct rj_cell_view_entry *find_accepted(const struct request *request)
{
	struct rj_cell_view_entry *entry =
		rj_cell_view_find(request->frontend->view, request->id);

	return rj_cell_view_is_accepted(entry) ? entry : NULL;
}

/* Applies a stored request to the view, as this instance does not follow the
 * log of requests. */
static void record_stored(const struct request *request)
{
	struct rj_cell_view *view = request->frontend->view;
	struct rj_cell_view_entry *entry;

	if (!request->cancels) {
		rj_cell_view_accept(view, request->id);
		return;
	}
	entry = rj_cell_view_find(view, request->id);
	if (entry)
		entry->cancelled = true;
}

static void write_done(void *private_data, enum rj_cell_write_outcome outcome)
{
	struct request *request = private_data;

	request->writing = false;
	request->frontend->now_us = request->frontend->writer->now_us;
	if (outcome == RJ_CELL_WRITE_STORED)
		record_stored(request);
	if (request->answered) {
		release(request);
		return;
	}
	if (outcome == RJ_CELL_WRITE_STORED && request->not_in_log)
		answer_verdict(request, RJ_CELL_VERDICT_NO_JOB, "not_in_log",
			       0);
	else if (outcome == RJ_CELL_WRITE_STORED)
		answer_verdict(request,
			       request->call->verb == RJ_CELL_VERB_CANCEL ?
				       RJ_CELL_VERDICT_CANCELLED :
				       RJ_CELL_VERDICT_ACCEPTED,
			       "stored", 0);
	else if (outcome == RJ_CELL_WRITE_NOT_STORED)
		answer_unavailable(request, "log_refused");
	else if (outcome == RJ_CELL_WRITE_INVALID)
		answer_verdict(request, RJ_CELL_VERDICT_MALFORMED,
			       "job: the log does not accept its record; send "
			       "a smaller job",
			       0);
	else
		answer_verdict(request, RJ_CELL_VERDICT_UNKNOWN, "log_unknown",
			       0);
}

/* Stores a record of the request's job; write_done answers the request. */
static void store(struct request *request, enum rj_cell_record_kind kind,
		  struct rj_bytes value)
{
	struct rj_cell_writer *writer = request->frontend->writer;
	char key[RJ_CELL_KEY_BYTES];

	rj_cell_record_key(key, kind, request->id);
	request->writing = true;
	request->cancels = kind == RJ_CELL_RECORD_CANCEL;
	rj_cell_writer_add(writer, key, value,
			   (struct rj_cell_write_done){ write_done, request });
	rj_cell_writer_flush(writer, request->frontend->now_us);
}

/* Stores a cancellation request. */
static void store_cancellation(struct request *request)
{
	/* MessagePack nil; an empty value would delete the key. */
	struct rj_bytes mark = { (const uint8_t *)"\xc0", 1 };

	store(request, RJ_CELL_RECORD_CANCEL, mark);
}

/* Stores a cancellation request, unless the job has ended or has one. */
static void cancel_known(struct request *request,
			 struct rj_cell_view_entry *entry)
{
	if (entry->cancelled || entry->summary.state >= RJ_CELL_JOB_COMPLETED) {
		answer_verdict(request, RJ_CELL_VERDICT_CANCELLED, "ended", 0);
		return;
	}
	if (request->frontend->log_availability.unavailable_since_us) {
		answer_unavailable(request, "log_away");
		return;
	}
	store_cancellation(request);
}

/*
 * Answers a call about a job that is in neither log.
 *
 * A submission without an answer may still be stored, so a cancellation is
 * stored before its caller is told that there is no such job. It is kept for as
 * long as the status of a job that has ended.
 */
static void answer_not_in_log(struct request *request)
{
	if (request->call->verb == RJ_CELL_VERB_CANCEL) {
		request->not_in_log = true;
		store_cancellation(request);
		return;
	}
	answer_verdict(request, RJ_CELL_VERDICT_NO_JOB, "not_in_log", 0);
}

/*
 * Whether a job's state was read within `age_max_us`. A final state never
 * expires.
 *
 * Prevents a state from going backwards: a client that was told that its job
 * has ended may ask again at an instance that has been partitioned since
 * before.
 */
static bool is_current(const struct rj_cell_frontend *frontend,
		       const struct rj_cell_view_entry *entry,
		       uint64_t age_max_us)
{
	return entry->summary.state >= RJ_CELL_JOB_COMPLETED ||
	       rj_cell_log_reader_age_us(frontend->jobs, frontend->now_us) <
		       age_max_us;
}

/* Answers while the log cannot be read: with the known state if it is recent
 * enough. */
static void answer_log_unread(struct request *request,
			      const struct rj_cell_view_entry *entry)
{
	if (entry && request->call->verb == RJ_CELL_VERB_QUERY &&
	    is_current(request->frontend, entry, STATE_AGE_MAX_US))
		answer_state(request, entry);
	else
		answer_unavailable(request, "log_unread");
}

static void sync_done(struct rj_cell_sync *sync, bool reached);

/* Reads a log to its end before answering. */
static void sync_step_begin(struct request *request, enum sync_step step)
{
	struct rj_cell_frontend *frontend = request->frontend;
	struct rj_cell_log_reader *reader =
		step == SYNC_REQUESTS ? frontend->requests_log : frontend->jobs;

	if (reader->state == RJ_CELL_LOG_READER_IDLE)
		rj_cell_log_reader_start(reader, frontend->now_us);
	request->sync_step = step;
	request->syncing = true;
	request->sync.done = sync_done;
	rj_cell_log_reader_sync(reader, &request->sync, frontend->now_us);
}

/*
 * Answers after a read of a log. A job that is in neither log does not exist.
 *
 * Its state is read again after the requests: a job that ends meanwhile leaves
 * the log of requests once its state is stored.
 */
static void sync_done(struct rj_cell_sync *sync, bool reached)
{
	struct request *request = RJ_CONTAINER(sync, struct request, sync);
	struct rj_cell_frontend *frontend = request->frontend;
	struct rj_cell_view_entry *entry;

	request->syncing = false;
	frontend->now_us = request->sync_step == SYNC_REQUESTS ?
				   frontend->requests_log->now_us :
				   frontend->jobs->now_us;
	if (request->answered) {
		release(request);
		return;
	}
	entry = find_accepted(request);
	/* A read that ends after the answer was due may show an outdated
	 * state. */
	if (!reached || frontend->now_us >= request->due_us)
		answer_log_unread(request, entry);
	else if (!entry && request->sync_step != SYNC_STATES_AGAIN)
		sync_step_begin(request, request->sync_step + 1);
	else if (!entry)
		answer_not_in_log(request);
	else if (request->call->verb == RJ_CELL_VERB_CANCEL)
		cancel_known(request, entry);
	else
		answer_state(request, entry);
}

/* Reads the log to its end before answering. */
static void sync_and_answer(struct request *request)
{
	if (request->frontend->log_availability.unavailable_since_us) {
		answer_log_unread(request, find_accepted(request));
		return;
	}
	sync_step_begin(request, SYNC_STATES);
}

/* Sets the id, account and acceptance time of a job spec, and copies the terms
 * of the queue to it. */
static void set_terms(struct rj_cell_job_spec *job_spec,
		      const struct request *request,
		      const struct rj_cell_queue *queue)
{
	memcpy(job_spec->id, request->id, sizeof(job_spec->id));
	memcpy(job_spec->queue, queue->name, sizeof(job_spec->queue));
	memcpy(job_spec->service, queue->service, sizeof(job_spec->service));
	memcpy(job_spec->account, request->account, sizeof(job_spec->account));
	job_spec->priority = queue->priority;
	job_spec->attempts_max = queue->attempts_max;
	job_spec->stretch_milli = queue->stretch_milli;
	job_spec->latency_ms = queue->latency_ms;
	job_spec->advised = queue->advised;
	job_spec->accepted_ms = request->call->wall_ms;
}

/* Returns the queue's load from the owner's newest heartbeat, or NULL. */
static struct rj_cell_queue_load *
find_queue_load(struct rj_cell_frontend *frontend,
		const struct rj_cell_queue *queue)
{
	for (uint32_t i = 0;
	     frontend->heartbeat_us && i < frontend->heartbeat.queue_load_count;
	     i++)
		if (!strcmp(frontend->heartbeat.queue_loads[i].queue,
			    queue->name))
			return &frontend->heartbeat.queue_loads[i];
	return NULL;
}

/*
 * Lengthens a rejected caller's retry delay by up to a half, by job id.
 *
 * Callers that were rejected together would otherwise return together and be
 * rejected again.
 */
static uint32_t spread_retry(const char *id, uint32_t retry_after_ms)
{
	return retry_after_ms +
	       (uint32_t)(rj_hash64_string(id, 0) % (retry_after_ms / 2 + 1));
}

/*
 * Returns the retry delay of a caller whose place in the order is kept. It is
 * spread less than others, as those that were rejected together should return in
 * their order, and lasts whole seconds, as callers are told no fractions.
 */
static uint32_t return_delay(const char *id, uint32_t retry_after_ms)
{
	uint32_t delay_ms = MAX(retry_after_ms, RETURN_DELAY_MIN_MS);

	delay_ms +=
		(uint32_t)(rj_hash64_string(id, 0) % RETURN_DELAY_SPREAD_MS);
	return (delay_ms + RETURN_DELAY_UNIT_MS - 1) / RETURN_DELAY_UNIT_MS *
	       RETURN_DELAY_UNIT_MS;
}

/*
 * Whether the owner's forecast rejects jobs of a request's account. If so, sets
 * the delay after which the caller may retry, and the reason.
 */
static bool is_refused_by_load(struct request *request,
			       const struct rj_cell_queue_load *load,
			       uint32_t *retry_after_ms, const char **reason)
{
	struct rj_cell_frontend *frontend = request->frontend;
	const struct rj_cell_owner_heartbeat *heartbeat = &frontend->heartbeat;

	*retry_after_ms = 0;
	if (!load->refuse)
		return false;
	if (!rj_cell_account_admission_refuses(
		    heartbeat, (uint32_t)(load - heartbeat->queue_loads),
		    request->account, retry_after_ms)) {
		frontend->counters.accepted_within_share++;
		return false;
	}
	*reason = *retry_after_ms ? "account_backlog" : "backlog";
	if (!*retry_after_ms)
		*retry_after_ms = load->retry_after_ms;
	return true;
}

/*
 * Rejects a submission unless its turn has come, and keeps the rejection. Returns
 * whether the call has been answered.
 *
 * Load: many callers are rejected and retry at any instance. The owner announces
 * those who are next; all others wait for as long as any are announced, even if
 * the queue accepts meanwhile.
 */
static bool reject_out_of_turn(struct request *request,
			       const struct rj_cell_queue *queue, bool refused,
			       uint32_t retry_after_ms, const char *reason)
{
	struct rj_cell_frontend *frontend = request->frontend;
	uint64_t wall_ms = request->call->wall_ms;
	uint32_t delay_ms = 0;
	enum rj_cell_turn turn =
		rj_cell_rejections_turn(&frontend->heartbeat, request->id,
					queue->name, wall_ms, &delay_ms);

	if (turn == RJ_CELL_TURN_OWN) {
		delay_ms = rj_cell_rejections_left_ms(&frontend->rejections,
						      request->id, wall_ms);
		if (delay_ms)
			turn = RJ_CELL_TURN_EARLY;
	}
	if (turn == RJ_CELL_TURN_OWN || (turn == RJ_CELL_TURN_NONE && !refused))
		return false;
	if (turn != RJ_CELL_TURN_EARLY)
		delay_ms = rj_cell_rejections_add(
			&frontend->rejections, request->id, queue->name,
			wall_ms, return_delay(request->id, retry_after_ms));
	answer_verdict(request, RJ_CELL_VERDICT_BUSY,
		       refused ? reason : "not_in_turn", delay_ms);
	return true;
}

/* Whether the queue rejects a submission, which has then been answered. A queue
 * that rejects others accepts an account within its share out of turn. */
static bool reject(struct request *request, const struct rj_cell_queue *queue)
{
	struct rj_cell_frontend *frontend = request->frontend;
	const struct rj_cell_queue_load *load =
		find_queue_load(frontend, queue);
	const char *reason = NULL;
	uint32_t retry_after_ms;
	bool refused;

	if (!load ||
	    frontend->now_us > frontend->heartbeat_us + HEARTBEAT_AGE_MAX_US)
		return false;
	refused = is_refused_by_load(request, load, &retry_after_ms, &reason);
	if (load->refuse && !refused)
		return false;
	if (frontend->return_order)
		return reject_out_of_turn(request, queue, refused,
					  refused ? retry_after_ms :
						    load->retry_after_ms,
					  reason);
	if (!refused)
		return false;
	answer_verdict(request, RJ_CELL_VERDICT_BUSY, reason,
		       spread_retry(request->id, retry_after_ms));
	return true;
}

/*
 * Decodes the body of a submission, within the memory that clients may take.
 * Returns NULL if the call has been answered.
 */
static struct rj_cell_job_spec *decode(struct request *request)
{
	struct rj_cell_frontend *frontend = request->frontend;
	const struct rj_bytes *body = &request->call->body;
	struct rj_cell_job_spec *job_spec;
	struct rj_error err;
	uint64_t parsed_bytes;
	uint32_t values = 0;

	if (frontend->budget && frontend->codec->count_values)
		values = frontend->codec->count_values(*body);
	if (frontend->budget && values > frontend->budget->values_max) {
		rj_client_budget_refuse(frontend->budget,
					RJ_CLIENT_REFUSAL_VALUES, "frontend");
		answer_verdict(request, RJ_CELL_VERDICT_MALFORMED,
			       "body: more values than a job may have; send "
			       "fewer",
			       0);
		return NULL;
	}
	parsed_bytes = body->length + (uint64_t)values * RJ_JSON_VALUE_BYTES;
	if (hold(request, parsed_bytes)) {
		answer_no_memory(request);
		return NULL;
	}
	job_spec = frontend->codec->decode_job(request, *body, &err);
	release_held(request, parsed_bytes);
	if (!job_spec ||
	    rj_cell_progress_check(job_spec, frontend->writer->record_max_bytes,
				   &err)) {
		answer_verdict(request, RJ_CELL_VERDICT_MALFORMED, err.message,
			       0);
		return NULL;
	}
	return job_spec;
}

/* Stores a new job, or rejects it at once if it would not be served in time. */
static void submit(struct request *request, const struct rj_cell_queue *queue)
{
	struct rj_cell_frontend *frontend = request->frontend;
	struct rj_cell_job_spec *job_spec;
	struct rj_bytes value;

	if (find_accepted(request)) {
		answer_verdict(request, RJ_CELL_VERDICT_ACCEPTED, "known", 0);
		return;
	}
	if (frontend->log_availability.unavailable_since_us) {
		answer_unavailable(request, "log_away");
		return;
	}
	job_spec = decode(request);
	if (!job_spec)
		return;
	if (reject(request, queue))
		return;
	set_terms(job_spec, request, queue);
	value = rj_cell_job_spec_encode(request, job_spec);
	talloc_free(job_spec);
	if (hold(request, (uint64_t)value.length * RECORD_COPIES))
		answer_no_memory(request);
	else
		store(request, RJ_CELL_RECORD_JOB_SPEC, value);
}

/* Answers with the number of pending jobs of a queue, as the owner counts
 * them. */
static void query_queue(struct request *request,
			const struct rj_cell_queue *queue)
{
	const struct rj_cell_answer reply = {
		.verdict = RJ_CELL_VERDICT_PENDING,
		.pending = rj_cell_owner_heartbeat_pending(
			&request->frontend->heartbeat, queue->name),
		.reason = "counted"
	};

	answer(request, &reply);
}

/* Executes a call that is authorized. */
static void serve(struct request *request, const struct rj_cell_queue *queue)
{
	struct rj_cell_frontend *frontend = request->frontend;
	const struct rj_cell_call *call = request->call;
	const char *rest = call->path + strlen(queue->prefix);
	uint64_t age_max_us = call->verb == RJ_CELL_VERB_CANCEL ?
				      STATE_AGE_MAX_US :
				      STATE_FRESH_US;
	struct rj_cell_view_entry *entry;

	if (!frontend->jobs->caught_up) {
		answer_unavailable(request, "jobs_unread");
		return;
	}
	if (!*rest && call->verb == RJ_CELL_VERB_QUERY) {
		query_queue(request, queue);
		return;
	}
	if (parse_job_id(rest, request->id)) {
		answer_verdict(request, RJ_CELL_VERDICT_NO_QUEUE, "no_id", 0);
		return;
	}
	entry = find_accepted(request);
	if (call->verb == RJ_CELL_VERB_SUBMIT)
		submit(request, queue);
	else if (!entry || !is_current(frontend, entry, age_max_us))
		sync_and_answer(request);
	else if (call->verb == RJ_CELL_VERB_CANCEL)
		cancel_known(request, entry);
	else
		answer_state(request, entry);
}

/* Whether the call's key authorizes it; if so, sets the request's account to
 * that of the key. If not, the call has been answered. */
static bool check_key(struct request *request,
		      const struct rj_cell_queue *queue)
{
	struct rj_cell_frontend *frontend = request->frontend;
	const struct rj_cell_account *account;

	if (queue->open)
		return true;
	if (!rj_cell_frontend_keys_fresh(frontend, frontend->now_us)) {
		answer_unavailable(request, "keys_too_old");
		return false;
	}
	account = request->call->key ? rj_cell_config_key(frontend->config,
							  request->call->key) :
				       NULL;
	if (!account) {
		answer_verdict(request, RJ_CELL_VERDICT_BAD_KEY, "no_such_key",
			       0);
		return false;
	}
	memcpy(request->account, account->name, sizeof(request->account));
	return true;
}

/*
 * Handles a call. It is answered at once if possible, otherwise when the log
 * answers or shortly before the client times out.
 */
void rj_cell_frontend_handle(struct rj_cell_frontend *frontend,
			     struct rj_cell_call *call)
{
	struct request *request = talloc_zero(frontend->mem, struct request);
	const struct rj_cell_queue *queue;
	uint32_t wait_ms = call->wait_ms ? call->wait_ms : DEFAULT_WAIT_MS;

	assert(request);
	frontend->now_us = call->now_us;
	frontend->counters.calls[call->verb]++;
	frontend->open++;
	request->frontend = frontend;
	request->call = call;
	request->received_us = call->now_us;
	request->due_us = call->now_us +
			  (wait_ms - MIN(ANSWER_MARGIN_MS,
					 wait_ms / ANSWER_MARGIN_DIVISOR)) *
				  RJ_US_PER_MS;
	rj_list_init(&request->sync.link);
	rj_list_append(&frontend->requests, &request->link);
	talloc_set_destructor(request, request_destructor);
	if (hold(request, REQUEST_BYTES)) {
		answer_no_memory(request);
		return;
	}
	if (!frontend->config) {
		answer_unavailable(request, "no_config");
		return;
	}
	queue = rj_cell_config_route(frontend->config, call->host, call->path);
	if (queue ? queue->invalid : frontend->config->queues_unknown) {
		answer_unavailable(request, "queue_invalid");
		return;
	}
	if (!queue) {
		answer_verdict(request, RJ_CELL_VERDICT_NO_QUEUE, "no_route",
			       0);
		return;
	}
	if (check_key(request, queue))
		serve(request, queue);
}

/* Final answer to a request that waits for the log. If a write is in flight, it
 * may still succeed, so the outcome is unknown. */
static void answer_unfinished(struct request *request, const char *reason)
{
	if (request->writing)
		answer_verdict(request, RJ_CELL_VERDICT_UNKNOWN, reason, 0);
	else
		answer_unavailable(request, reason);
}

/* Updates whether the log is available, and logs changes. */
static void check_log_contact(struct rj_cell_frontend *frontend)
{
	uint64_t answered_us = MAX(MAX(frontend->jobs->answered_us,
				       frontend->configs->answered_us),
				   frontend->writer->answered_us);
	bool refuses = frontend->jobs->failures && frontend->configs->failures;

	if (answered_us && rj_cell_log_availability_update(
				   &frontend->log_availability, answered_us,
				   refuses, frontend->now_us))
		rj_log_event(frontend->log_availability.unavailable_since_us ?
				     "log_away" :
				     "log_back",
			     RJ_LOG_AGE_MS("silent_ms",
					   frontend->now_us - answered_us),
			     RJ_LOG_NUMBER("refuses", refuses),
			     RJ_LOG_NUMBER("open", frontend->open));
}

/*
 * Answers calls whose clients are about to time out, and all calls if the log
 * is unavailable.
 */
void rj_cell_frontend_tick(struct rj_cell_frontend *frontend, uint64_t now_us)
{
	struct rj_list *at;
	struct rj_list *next;

	frontend->now_us = now_us;
	check_log_contact(frontend);
	RJ_FOR_EACH (at, next, &frontend->requests) {
		struct request *request =
			RJ_CONTAINER(at, struct request, link);

		if (frontend->log_availability.unavailable_since_us)
			answer_unfinished(request, "log_away");
		else if (now_us >= request->due_us)
			answer_unfinished(request, "log_slow");
	}
}

/*
 * Answers all open calls. A request that a write or a sync still refers to is
 * freed by the callback of that.
 */
void rj_cell_frontend_finish(struct rj_cell_frontend *frontend)
{
	while (frontend->requests.next != &frontend->requests) {
		struct request *request = RJ_CONTAINER(frontend->requests.next,
						       struct request, link);

		answer_unfinished(request, "stopping");
	}
}
