/*
 * A team's answers to the questionnaire, and the configuration and settings
 * generated from them.
 *
 * Answers hold no secrets, so they can be kept under version control. Tokens
 * are created when the configuration is generated, which holds only their
 * hashes.
 */
#ifndef ANSWERS_H
#define ANSWERS_H

#include "private/schemas.h"
#include "radishjunction/config.h"
#include "radishjunction/settings.h"

struct answer_instance {
	char name[RJ_NAME_BYTES];
	char domain[RJ_NAME_BYTES];
	struct rj_address caller_address;
	struct rj_address peer_address;
};

struct answers {
	char team[RJ_NAME_BYTES];
	struct rj_domain *domains;
	uint32_t domain_count;
	struct rj_account *accounts; /* without tokens */
	uint32_t account_count;
	struct rj_job_class *job_kinds;
	uint32_t job_kind_count;
	struct rj_config_limits limits;
	struct rj_address platform_address;
	uint32_t retention_s;
	struct answer_instance *instances;
	uint32_t instance_count;
};

/* A token created for an account: printed once and never stored. */
struct new_token {
	char account[RJ_NAME_BYTES];
	char token[RJ_TOKEN_BYTES];
};

extern const struct rj_schema answers_schema; /* struct answers */
extern const struct rj_schema answer_account_schema; /* struct rj_account */
extern const struct rj_schema answer_instance_schema;

int answers_parse(struct answers *answers, void *mem, const char *text,
		  struct rj_error_list *errors);
char *answers_encode(void *mem, const struct answers *answers);
char *answers_make_config(void *mem, struct answers *answers,
			  const struct rj_config *earlier,
			  const char *renew_account, struct new_token **tokens,
			  uint32_t *token_count);
void answers_check(struct answers *answers, struct rj_error_list *errors);
char *answers_make_settings(void *mem, const struct answers *answers,
			    const char *name, const char *peer_key,
			    struct rj_error *err);
char *config_compact(void *mem, const char *text);
char *json_text(void *mem, json_t *json);

#endif
