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
struct shell_batch {
	struct shell_batch *next;
	struct rj_actions actions;
};

/* An empty batch, one that was used before if there is any. */
static struct shell_batch *batch_get(struct shell *shell)
{
	struct shell_batch *batch = shell->spare;

	if (batch) {
		shell->spare = batch->next;
		batch->next = NULL;
		return batch;
	}
	batch = talloc_zero(shell->loop, struct shell_batch);
	assert(batch);
	rj_actions_init(&batch->actions, batch);
	return batch;
}

/* Put a batch that was carried out aside for the next event. */
static void batch_put(struct shell *shell, struct shell_batch *batch)
{
	rj_actions_clear(&batch->actions);
	batch->next = shell->spare;
	shell->spare = batch;
}

/* Carry out one action. */
static void carry_out(struct shell *shell, const struct rj_action *action)
{
	switch (action->kind) {
	case RJ_ACTION_ANSWER:
		shell->callers->ops->answer(shell->callers,
					    action->u.answer.request_id,
					    &action->u.answer.answer);
		break;
	case RJ_ACTION_APPEND:
		shell->platform->ops->append(shell->platform,
					     &action->u.append);
		break;
	case RJ_ACTION_READ:
		shell->platform->ops->read(shell->platform, &action->u.read);
		break;
	case RJ_ACTION_LIST:
		shell->platform->ops->list(shell->platform);
		break;
	case RJ_ACTION_WORKER_CALL:
		shell->workers->ops->call(shell->workers,
					  &action->u.worker_call);
		break;
	case RJ_ACTION_PEER_CONNECT:
		shell->peers->ops->connect(shell->peers, action->u.peer.name,
					   &action->u.peer.address);
		break;
	case RJ_ACTION_PEER_DROP:
		shell->peers->ops->drop(shell->peers, action->u.peer.name);
		break;
	case RJ_ACTION_PEER_SEND:
		shell->peers->ops->send(shell->peers, action->u.peer.name,
					action->u.peer.message);
		break;
	case RJ_ACTION_LOG:
		rj_log_writer_decision(&action->u.log);
		break;
	case RJ_ACTION_EXIT:
		shell->exiting = true;
		break;
	case RJ_ACTION_KIND_COUNT:
		assert(!"an action has a kind");
	}
}

/*
 * Arm the timer for the time that the core asks for.
 *
 * A timer of the event loop would follow the calendar clock: set back by an
 * hour, it would fire an hour late, leases would lapse and jobs be lost.
 * The core counts on the monotonic clock, and so does this timer. One that
 * fires too early costs one look.
 */
static void arm_timer(struct shell *shell)
{
	uint64_t wake_us = rj_core_wake_us(&shell->core);
	struct itimerspec at = { 0 };

	if (wake_us >= shell->armed_us)
		return;
	at.it_value.tv_sec = (time_t)(wake_us / RJ_US_PER_S);
	at.it_value.tv_nsec = (long)(wake_us % RJ_US_PER_S) * 1000;
	/* All zero would disarm it. */
	if (!wake_us)
		at.it_value.tv_nsec = 1;
	timerfd_settime(shell->timer_fd, TFD_TIMER_ABSTIME, &at, NULL);
	shell->armed_us = wake_us;
}

/* Carry out all batches in order, those that come meanwhile too. */
static void carry_out_all(struct shell *shell)
{
	shell->carrying_out = true;
	while (shell->first) {
		struct shell_batch *batch = shell->first;

		for (uint32_t i = 0; i < batch->actions.count; i++)
			carry_out(shell, &batch->actions.list[i]);
		shell->first = batch->next;
		if (!shell->first)
			shell->last = NULL;
		batch_put(shell, batch);
	}
	shell->carrying_out = false;
	arm_timer(shell);
}

/*
 * Take an event: the core decides at once; its actions wait for those of
 * earlier events.
 *
 * An adapter may deliver from within a call that an action makes (an answer
 * that is known at once). The core is not within `rj_core_process` then, so
 * it may be asked, but to carry out the new actions first would reorder
 * what one event asked for.
 */
static void shell_deliver(struct rj_sink *sink, struct rj_event *event)
{
	struct shell *shell = (struct shell *)sink;
	struct shell_batch *batch = batch_get(shell);

	event->now_us = rj_clock_now_us();
	shell->exiting = false; /* the core says it again if it still holds */
	rj_core_process(&shell->core, event, &batch->actions);
	if (shell->last)
		shell->last->next = batch;
	else
		shell->first = batch;
	shell->last = batch;
	if (!shell->carrying_out)
		carry_out_all(shell);
}

/* Tell the core that its time has come, if it has. */
static void on_timer(struct tevent_context *loop, struct tevent_fd *event,
		     uint16_t flags, void *private_data)
{
	struct shell *shell = private_data;
	struct rj_event timer = { .kind = RJ_EVENT_TIMER };
	uint64_t expirations;

	if (read(shell->timer_fd, &expirations, sizeof(expirations)) < 0)
		return;
	shell->armed_us = RJ_NEVER_US;
	if (rj_core_wake_us(&shell->core) <= rj_clock_now_us())
		shell_deliver(&shell->sink, &timer);
	else
		arm_timer(shell);
}

/* The shell that a view belongs to. */
static struct shell *shell_of(struct rj_caller_views *views)
{
	return (struct shell *)((char *)views - offsetof(struct shell, views));
}

static bool view_ready(struct rj_caller_views *views)
{
	return rj_core_ready(&shell_of(views)->core);
}

static json_t *view_status(struct rj_caller_views *views)
{
	return rj_core_status(&shell_of(views)->core, rj_clock_now_us());
}

static json_t *view_revision(struct rj_caller_views *views)
{
	return rj_core_revision(&shell_of(views)->core);
}

static json_t *view_explain(struct rj_caller_views *views, uint64_t job_id)
{
	return rj_core_explain(&shell_of(views)->core, job_id);
}

static void view_metrics(struct rj_caller_views *views, GString *text)
{
	struct shell *shell = shell_of(views);

	for (uint32_t i = 0; i < RJ_COUNT_COUNT; i++)
		g_string_append_printf(text, "radishjunction_%s %" PRIu64 "\n",
				       rj_counter_string[i],
				       rj_core_counter(&shell->core, i));
	for (uint32_t i = 0; i < RJ_PEER_CLOSE_COUNT; i++)
		g_string_append_printf(
			text,
			"radishjunction_peer_links_closed{reason=\"%s\"} "
			"%" PRIu64 "\n",
			rj_peer_close_reason_string[i],
			rj_tcp_peers_close_count(shell->links, i));
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
 * Start a core; the adapters are set by the caller before `shell_start`.
 *
 * Returns 0, or -1 with `err`: the core's, or RJ_ERR_IO without a timer.
 */
int shell_init(struct shell *shell, struct tevent_context *loop,
	       const struct rj_core_options *options, struct rj_error *err)
{
	memset(shell, 0, sizeof(*shell));
	shell->sink.deliver = shell_deliver;
	shell->views.ops = &views_ops;
	shell->loop = loop;
	shell->armed_us = RJ_NEVER_US;
	shell->timer_fd =
		timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
	if (shell->timer_fd < 0)
		return rj_error_set(err, RJ_ERR_IO,
				    "timer: %s; raise the limit of open files",
				    strerror(errno));
	if (rj_core_init(&shell->core, loop, options, err)) {
		close(shell->timer_fd);
		return -1;
	}
	shell->timer_event = tevent_add_fd(loop, loop, shell->timer_fd,
					   TEVENT_FD_READ, on_timer, shell);
	assert(shell->timer_event);
	return 0;
}

/*
 * Let the core begin: its first event is a timer.
 */
void shell_start(struct shell *shell)
{
	struct rj_event timer = { .kind = RJ_EVENT_TIMER };

	assert(shell->platform && shell->workers);
	assert(shell->peers && shell->callers);
	shell_deliver(&shell->sink, &timer);
}

/*
 * Ask for a graceful stop; `exiting` is set while nothing is open.
 */
void shell_stop(struct shell *shell)
{
	struct rj_event stop = { .kind = RJ_EVENT_STOP };

	shell_deliver(&shell->sink, &stop);
}

/*
 * Free the core and the batches. No adapter may deliver afterwards.
 */
void shell_finish(struct shell *shell)
{
	TALLOC_FREE(shell->timer_event);
	close(shell->timer_fd);
	rj_core_finish(&shell->core);
	while (shell->spare) {
		struct shell_batch *batch = shell->spare;

		shell->spare = batch->next;
		rj_actions_finish(&batch->actions);
		talloc_free(batch);
	}
}
