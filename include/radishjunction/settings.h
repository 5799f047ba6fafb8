/*
 * Settings of one daemon: its addresses and failure domain, the address of
 * the platform, the initial peers and the resource limits.
 *
 * Life cycle: `rj_settings_parse` creates the settings from JSON text as a
 * talloc child or reports all errors of the text. They are read-only and
 * freed with talloc.
 */
#ifndef RADISHJUNCTION_SETTINGS_H
#define RADISHJUNCTION_SETTINGS_H

#include "radishjunction/error.h"
#include "radishjunction/event.h"
#include "radishjunction/types.h"

struct rj_settings {
	char name[RJ_NAME_BYTES];
	char domain[RJ_NAME_BYTES];
	struct rj_address caller_address; /* port 0: any free port */
	struct rj_address peer_address;
	struct rj_address platform_address;
	struct rj_instance *peers; /* initial peers, of role entry */
	uint32_t peer_count;
	char peer_key[RJ_TOKEN_BYTES]; /* shared by all instances */
	uint32_t retention_s; /* of the platform's log */
	uint32_t memory_mb; /* of the machine, for this daemon */
	uint32_t body_max_bytes;
	uint32_t connections_max;
	uint32_t requests_max; /* open at the same time */
	uint32_t idle_timeout_s; /* of a caller's connection */
	uint32_t drain_limit_s;
};

struct rj_settings *rj_settings_parse(void *mem, const char *text,
				      struct rj_error_list *errors);

/* Address as text: IP, brackets, colon, port, terminating zero. */
#define RJ_ADDRESS_BYTES (RJ_IP_BYTES + 8)
int rj_address_parse(struct rj_address *address, const char *text);
void rj_address_format(char text[RJ_ADDRESS_BYTES],
		       const struct rj_address *address);

#endif
