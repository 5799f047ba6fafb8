#include "support/transcript.h"

#include <inttypes.h>

#include "radishjunction/core.h"

static void print_attempt(FILE *out, const struct rj_attempt *attempt)
{
	(void)fprintf(out, " job=%016" PRIx64 " owner=%" PRIx64 " attempt=%u",
		      attempt->job_id, attempt->owner, attempt->number);
}

static void print_answer(FILE *out, const struct rj_answer *answer)
{
	(void)fprintf(out,
		      " %s reason=%s job=%016" PRIx64 " retry_after_us=%" PRIu64
		      " result=\"%.*s\"",
		      rj_answer_kind_string[answer->kind],
		      rj_reason_string[answer->reason], answer->job_id,
		      answer->retry_after_us, (int)answer->result.length,
		      (const char *)answer->result.data);
}

static void print_record(FILE *out, const struct rj_record *record)
{
	(void)fprintf(out, " [%s%s author=%s",
		      rj_record_kind_string[record->kind],
		      record->carried ? " carried" : "", record->author);
	if (record->kind == RJ_RECORD_CONFIG)
		(void)fprintf(out, " id=%s revision=%" PRIu64,
			      record->config_id, record->revision);
	else
		print_attempt(out, &record->attempt);
	if (record->spec.key[0])
		(void)fprintf(out, " key=%s", record->spec.key);
	if (record->kind == RJ_RECORD_OUTCOME)
		(void)fprintf(out, " %s reason=%s result=\"%.*s\"",
			      rj_answer_kind_string[record->outcome],
			      rj_reason_string[record->reason],
			      (int)record->result.length,
			      (const char *)record->result.data);
	(void)fputc(']', out);
}

static void print_message(FILE *out, const struct rj_peer_message *message)
{
	(void)fprintf(out, " %s", rj_peer_message_kind_string[message->kind]);
	switch (message->kind) {
	case RJ_PEER_HEARTBEAT:
		(void)fprintf(out, " revision=%" PRIu64 "%s",
			      message->u.heartbeat.config_revision,
			      message->u.heartbeat.draining ? " draining" : "");
		break;
	case RJ_PEER_CONFIG:
		(void)fprintf(out, " revision=%" PRIu64,
			      message->u.config.revision);
		break;
	case RJ_PEER_LEAVING:
		(void)fprintf(out, " worker=%s", message->u.leaving.worker);
		break;
	case RJ_PEER_FORWARD:
		(void)fprintf(out, " id=%" PRIu64 " hops=%u key=%s",
			      message->u.forward.forward_id,
			      message->u.forward.hops,
			      message->u.forward.spec.key);
		break;
	case RJ_PEER_FORWARD_ANSWER:
		(void)fprintf(out, " id=%" PRIu64,
			      message->u.forward_answer.forward_id);
		print_answer(out, &message->u.forward_answer.answer);
		break;
	default:
		break;
	}
}

static void print_reply(FILE *out, const struct rj_worker_reply *reply)
{
	(void)fprintf(out, " %s worker=%s %s", rj_worker_op_string[reply->op],
		      reply->worker, rj_reply_status_string[reply->status]);
	if (reply->leaving)
		(void)fputs(" leaving", out);
	if (reply->op == RJ_WORKER_REPORT)
		(void)fprintf(out, " tasks=%u", reply->report.task_count);
	else if (reply->status != RJ_REPLY_LOST) {
		print_attempt(out, &reply->attempt);
		(void)fprintf(out, " state=%s reason=%s",
			      rj_task_state_string[reply->state],
			      rj_reason_string[reply->reason]);
	}
}

static bool message_is_periodic(const struct rj_peer_message *message)
{
	return message->kind == RJ_PEER_HEARTBEAT ||
	       message->kind == RJ_PEER_SUMMARY;
}

/*
 * Returns whether an event is periodic traffic, which brief transcripts omit.
 */
bool transcript_event_is_periodic(const struct rj_event *event)
{
	switch (event->kind) {
	case RJ_EVENT_TIMER:
	case RJ_EVENT_INSTANCES:
		return true;
	case RJ_EVENT_RECORDS:
		return !event->u.records.count;
	case RJ_EVENT_WORKER_REPLY:
		return event->u.worker_reply.op == RJ_WORKER_REPORT &&
		       event->u.worker_reply.status == RJ_REPLY_OK;
	case RJ_EVENT_PEER_MESSAGE:
		return message_is_periodic(event->u.peer.message);
	default:
		return false;
	}
}

/*
 * Returns whether an action is periodic traffic, which brief transcripts omit.
 */
bool transcript_action_is_periodic(const struct rj_action *action)
{
	switch (action->kind) {
	case RJ_ACTION_READ:
	case RJ_ACTION_LIST:
		return true;
	case RJ_ACTION_WORKER_CALL:
		return action->u.worker_call.op == RJ_WORKER_REPORT;
	case RJ_ACTION_PEER_SEND:
		return message_is_periodic(action->u.peer.message);
	default:
		return false;
	}
}

/*
 * Writes one event as a line: `time node < kind ...`.
 */
void transcript_event(FILE *out, uint64_t now_us, const char *node,
		      const struct rj_event *event)
{
	(void)fprintf(out, "%" PRIu64 " %s < %s", now_us, node,
		      rj_event_kind_string[event->kind]);
	switch (event->kind) {
	case RJ_EVENT_REQUEST:
		(void)fprintf(out, " %s id=%" PRIu64 " class=%s key=%s",
			      rj_request_op_string[event->u.request.op],
			      event->u.request.request_id,
			      event->u.request.spec.class_name,
			      event->u.request.spec.key);
		break;
	case RJ_EVENT_RECORDS:
		(void)fprintf(out, " %s from=%" PRIu64 " next=%" PRIu64,
			      rj_stream_string[event->u.records.stream],
			      event->u.records.from, event->u.records.next);
		for (uint32_t i = 0; i < event->u.records.count; i++)
			print_record(out, &event->u.records.records[i]);
		break;
	case RJ_EVENT_APPENDED:
		(void)fprintf(
			out, " id=%" PRIu64 " %s", event->u.appended.append_id,
			rj_append_status_string[event->u.appended.status]);
		break;
	case RJ_EVENT_WORKER_REPLY:
		print_reply(out, &event->u.worker_reply);
		break;
	case RJ_EVENT_PEER_UP:
	case RJ_EVENT_PEER_DOWN:
		(void)fprintf(out, " %s", event->u.peer.name);
		break;
	case RJ_EVENT_PEER_MESSAGE:
		(void)fprintf(out, " %s", event->u.peer.name);
		print_message(out, event->u.peer.message);
		break;
	default:
		break;
	}
	(void)fputc('\n', out);
}

static void print_call(FILE *out, const struct rj_worker_call *call)
{
	(void)fprintf(out, " %s worker=%s", rj_worker_op_string[call->op],
		      call->worker);
	if (call->op == RJ_WORKER_REPORT)
		return;
	print_attempt(out, &call->attempt);
	(void)fprintf(out, " member=%u/%u", call->member, call->gang);
	if (call->op == RJ_WORKER_THROTTLE || call->op == RJ_WORKER_START)
		(void)fprintf(out, " throttle=%u", call->throttle_percent);
}

/*
 * Writes one action as a line: `time node > kind ...`.
 */
void transcript_action(FILE *out, uint64_t now_us, const char *node,
		       const struct rj_action *action)
{
	(void)fprintf(out, "%" PRIu64 " %s > %s", now_us, node,
		      rj_action_kind_string[action->kind]);
	switch (action->kind) {
	case RJ_ACTION_ANSWER:
		(void)fprintf(out, " id=%" PRIu64, action->u.answer.request_id);
		print_answer(out, &action->u.answer.answer);
		break;
	case RJ_ACTION_APPEND:
		(void)fprintf(out, " %s id=%" PRIu64,
			      rj_stream_string[action->u.append.stream],
			      action->u.append.append_id);
		for (uint32_t i = 0; i < action->u.append.count; i++)
			print_record(out, &action->u.append.records[i]);
		break;
	case RJ_ACTION_READ:
		(void)fprintf(out, " %s from=%" PRIu64,
			      rj_stream_string[action->u.read.stream],
			      action->u.read.from);
		break;
	case RJ_ACTION_WORKER_CALL:
		print_call(out, &action->u.worker_call);
		break;
	case RJ_ACTION_PEER_CONNECT:
	case RJ_ACTION_PEER_DROP:
		(void)fprintf(out, " %s", action->u.peer.name);
		break;
	case RJ_ACTION_PEER_SEND:
		(void)fprintf(out, " %s", action->u.peer.name);
		print_message(out, action->u.peer.message);
		break;
	case RJ_ACTION_LOG:
		(void)fprintf(out, " %s why=%s job=%016" PRIx64 " target=%s",
			      rj_decision_event_string[action->u.log.event],
			      rj_reason_string[action->u.log.why],
			      action->u.log.job_id, action->u.log.target);
		break;
	default:
		break;
	}
	(void)fputc('\n', out);
}
