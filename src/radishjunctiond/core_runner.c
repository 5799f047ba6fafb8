#include "core_runner.h"

#include <assert.h>
#include <errno.h>
#include <inttypes.h>
#include <string.h>
#include <sys/timerfd.h>
#include <talloc.h>
#include <tevent.h>
#include <unistd.h>

#include "log_writer.h"
#include "private/clock.h"

/* The actions of one event. */
struct action_batch {
	struct action_batch *next;
	struct rj_actions actions;
};

/* Returns an empty batch, from the free list if possible. */
static struct action_batch *batch_acquire(struct core_runner *runner)
{
	struct action_batch *batch = runner->free_batches;

	if (batch) {
		runner->free_batches = batch->next;
		batch->next = NULL;
		return batch;
	}
	batch = talloc_zero(runner->loop, struct action_batch);
	assert(batch);
	rj_actions_init(&batch->actions, batch);
	return batch;
}

/* Clears an executed batch and returns it to the free list. */
static void batch_release(struct core_runner *runner,
			  struct action_batch *batch)
{
	rj_actions_clear(&batch->actions);
	batch->next = runner->free_batches;
	runner->free_batches = batch;
}

static void execute_action(struct core_runner *runner,
			   const struct rj_action *action)
{
	switch (action->kind) {
	case RJ_ACTION_ANSWER:
		runner->callers->ops->answer(runner->callers,
					     action->u.answer.request_id,
					     &action->u.answer.answer);
		break;
	case RJ_ACTION_APPEND:
		runner->platform->ops->append(runner->platform,
					      &action->u.append);
		break;
	case RJ_ACTION_READ:
		runner->platform->ops->read(runner->platform, &action->u.read);
		break;
	case RJ_ACTION_LIST:
		runner->platform->ops->list(runner->platform);
		break;
	case RJ_ACTION_WORKER_CALL:
		runner->workers->ops->call(runner->workers,
					   &action->u.worker_call);
		break;
	case RJ_ACTION_PEER_CONNECT:
		runner->peers->ops->connect(runner->peers, action->u.peer.name,
					    &action->u.peer.address);
		break;
	case RJ_ACTION_PEER_DROP:
		runner->peers->ops->drop(runner->peers, action->u.peer.name);
		break;
	case RJ_ACTION_PEER_SEND:
		runner->peers->ops->send(runner->peers, action->u.peer.name,
					 action->u.peer.message);
		break;
	case RJ_ACTION_LOG:
		rj_log_writer_decision(&action->u.log);
		break;
	case RJ_ACTION_EXIT:
		runner->exiting = true;
		break;
	case RJ_ACTION_KIND_COUNT:
		assert(!"an action has a kind");
	}
}

/*
 * Arms the timer for the core's wake time, unless it fires earlier anyway.
 *
 * Event loop timers follow the wall clock. If that were set back by an hour,
 * they would fire an hour late, leases would expire and jobs be lost. The core
 * uses the monotonic clock, and so does this timer. A timer that fires too
 * early costs one comparison of the wake time.
 */
static void arm_timer(struct core_runner *runner)
{
	uint64_t wake_us = rj_core_wake_us(&runner->core);
	struct itimerspec at = { 0 };

	if (wake_us >= runner->armed_us)
		return;
	at.it_value.tv_sec = (time_t)(wake_us / RJ_US_PER_S);
	at.it_value.tv_nsec = (long)(wake_us % RJ_US_PER_S) * 1000;
	/* An all-zero value would disarm the timer. */
	if (!wake_us)
		at.it_value.tv_nsec = 1;
	timerfd_settime(runner->timer_fd, TFD_TIMER_ABSTIME, &at, NULL);
	runner->armed_us = wake_us;
}

/* Executes all queued batches in order, including those queued meanwhile. */
static void execute_batches(struct core_runner *runner)
{
	runner->executing = true;
	while (runner->first) {
		struct action_batch *batch = runner->first;

		for (uint32_t i = 0; i < batch->actions.count; i++)
			execute_action(runner, &batch->actions.list[i]);
		runner->first = batch->next;
		if (!runner->first)
			runner->last = NULL;
		batch_release(runner, batch);
	}
	runner->executing = false;
	arm_timer(runner);
}

/*
 * Passes an event to the core and queues the resulting actions behind those
 * of earlier events.
 *
 * An adapter may deliver an event from within an action (when the answer is
 * known at once). The core is not inside `rj_core_process` then, so it can
 * process the event, but executing the new actions first would reorder the
 * actions of the earlier event.
 */
static void runner_deliver(struct rj_sink *sink, struct rj_event *event)
{
	struct core_runner *runner = (struct core_runner *)sink;
	struct action_batch *batch = batch_acquire(runner);

	event->now_us = rj_clock_now_us();
	runner->exiting = false; /* the core repeats it if it still applies */
	rj_core_process(&runner->core, event, &batch->actions);
	if (runner->last)
		runner->last->next = batch;
	else
		runner->first = batch;
	runner->last = batch;
	if (!runner->executing)
		execute_batches(runner);
}

/* Delivers a timer event when the core's wake time has passed; otherwise arms
 * the timer again. */
static void on_timer(struct tevent_context *loop, struct tevent_fd *event,
		     uint16_t flags, void *private_data)
{
	struct core_runner *runner = private_data;
	struct rj_event timer = { .kind = RJ_EVENT_TIMER };
	uint64_t expirations;

	if (read(runner->timer_fd, &expirations, sizeof(expirations)) < 0)
		return;
	runner->armed_us = RJ_NEVER_US;
	if (rj_core_wake_us(&runner->core) <= rj_clock_now_us())
		runner_deliver(&runner->sink, &timer);
	else
		arm_timer(runner);
}

static struct core_runner *runner_of(struct rj_caller_views *views)
{
	return (struct core_runner *)((char *)views -
				      offsetof(struct core_runner, views));
}

static bool view_ready(struct rj_caller_views *views)
{
	return rj_core_ready(&runner_of(views)->core);
}

static json_t *view_status(struct rj_caller_views *views)
{
	return rj_core_status(&runner_of(views)->core, rj_clock_now_us());
}

static json_t *view_revision(struct rj_caller_views *views)
{
	return rj_core_revision(&runner_of(views)->core);
}

static json_t *view_explain(struct rj_caller_views *views, uint64_t job_id)
{
	return rj_core_explain(&runner_of(views)->core, job_id);
}

static void view_metrics(struct rj_caller_views *views, GString *text)
{
	struct core_runner *runner = runner_of(views);

	for (uint32_t i = 0; i < RJ_COUNT_COUNT; i++)
		g_string_append_printf(text, "radishjunction_%s %" PRIu64 "\n",
				       rj_counter_string[i],
				       rj_core_counter(&runner->core, i));
	for (uint32_t i = 0; i < RJ_PEER_CLOSE_COUNT; i++)
		g_string_append_printf(
			text,
			"radishjunction_peer_links_closed{reason=\"%s\"} "
			"%" PRIu64 "\n",
			rj_peer_close_reason_string[i],
			rj_tcp_peers_close_count(runner->tcp_peers, i));
	g_string_append_printf(text,
			       "radishjunction_log_lines_lost %" PRIu64 "\n",
			       rj_log_writer_dropped());
}

static const struct rj_caller_views_ops views_ops = {
	.ready = view_ready,
	.status = view_status,
	.explain = view_explain,
	.metrics = view_metrics,
	.revision = view_revision,
};

/*
 * Creates the core and its timer. The caller sets the adapters before
 * `core_runner_start`.
 *
 * Returns 0, or -1 with `err`: the core's error, or RJ_ERR_IO if the timer
 * cannot be created.
 */
int core_runner_init(struct core_runner *runner, struct tevent_context *loop,
		     const struct rj_core_options *options,
		     struct rj_error *err)
{
	memset(runner, 0, sizeof(*runner));
	runner->sink.deliver = runner_deliver;
	runner->views.ops = &views_ops;
	runner->loop = loop;
	runner->armed_us = RJ_NEVER_US;
	runner->timer_fd =
		timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
	if (runner->timer_fd < 0)
		return rj_error_set(err, RJ_ERR_IO,
				    "timer: %s; raise the limit of open files",
				    strerror(errno));
	if (rj_core_init(&runner->core, loop, options, err)) {
		close(runner->timer_fd);
		return -1;
	}
	runner->timer_event = tevent_add_fd(loop, loop, runner->timer_fd,
					    TEVENT_FD_READ, on_timer, runner);
	assert(runner->timer_event);
	return 0;
}

/*
 * Starts the core with a first timer event. All adapters must be set.
 */
void core_runner_start(struct core_runner *runner)
{
	struct rj_event timer = { .kind = RJ_EVENT_TIMER };

	assert(runner->platform && runner->workers);
	assert(runner->peers && runner->callers);
	runner_deliver(&runner->sink, &timer);
}

/*
 * Requests a graceful stop. From then on `exiting` is set while no request is
 * open and no outcome is awaited from the log any longer.
 */
void core_runner_stop(struct core_runner *runner)
{
	struct rj_event stop = { .kind = RJ_EVENT_STOP };

	runner_deliver(&runner->sink, &stop);
}

/*
 * Frees the core and the batches. No adapter may deliver afterwards.
 */
void core_runner_finish(struct core_runner *runner)
{
	TALLOC_FREE(runner->timer_event);
	close(runner->timer_fd);
	rj_core_finish(&runner->core);
	while (runner->free_batches) {
		struct action_batch *batch = runner->free_batches;

		runner->free_batches = batch->next;
		rj_actions_finish(&batch->actions);
		talloc_free(batch);
	}
}
