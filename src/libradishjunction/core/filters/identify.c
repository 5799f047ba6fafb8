/*
 * Authentication: the caller's token determines its account. An account can
 * neither see nor cancel jobs of another.
 */
#include <string.h>

#include "private/core_state.h"

#define NO_CONFIG_RETRY_US (1 * RJ_US_PER_S)

static enum rj_filter_verdict identify(struct rj_core_state *core,
				       struct rj_submission *submission)
{
	if (!core->config)
		return rj_filter_refuse(
			core, submission, RJ_ANSWER_NOT_RUN,
			RJ_REASON_NO_CONFIG,
			rj_core_jitter_us(core, NO_CONFIG_RETRY_US),
			"no configuration is in force here yet: publish one, "
			"or ask another instance");
	submission->account =
		rj_config_account_by_token(core->config, submission->token);
	if (!submission->account)
		return rj_filter_refuse(
			core, submission, RJ_ANSWER_NOT_RUN,
			RJ_REASON_UNAUTHORIZED, 0,
			"Authorization: the token belongs to no client "
			"account; use the token issued for your account");
	g_strlcpy(submission->spec.account, submission->account->name,
		  sizeof(submission->spec.account));
	return RJ_FILTER_NEXT;
}

const struct rj_filter rj_filter_identify = { "identify", identify };
