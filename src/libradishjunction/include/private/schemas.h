/*
 * Schemas of the configuration and the settings, for code that writes such
 * texts from structs.
 */
#ifndef RADISHJUNCTION_PRIVATE_SCHEMAS_H
#define RADISHJUNCTION_PRIVATE_SCHEMAS_H

#include "private/schema.h"

extern const struct rj_schema rj_resources_schema; /* struct rj_resources */
extern const struct rj_schema rj_domain_schema; /* struct rj_domain */
extern const struct rj_schema rj_guarantee_schema; /* struct rj_guarantee */
extern const struct rj_schema rj_job_class_schema; /* struct rj_job_class */
extern const struct rj_schema rj_limits_schema; /* struct rj_config_limits */
extern const struct rj_schema rj_config_schema; /* struct rj_config */
extern const struct rj_schema rj_settings_schema; /* struct rj_settings */

#endif
