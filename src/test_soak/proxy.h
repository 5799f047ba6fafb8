/*
 * A TCP proxy on loopback that injects network faults between two processes:
 * it delays data, holds it back in one or both directions, resets connections,
 * or blackholes the open ones while new ones work.
 *
 * Life cycle: `soak_proxy_init` listens on a free port; `target` may be set at
 * any time and applies to new connections; `soak_proxy_finish` closes
 * everything. Data that was held back is forwarded once the mode permits it, as
 * after a network partition.
 */
#ifndef SOAK_PROXY_H
#define SOAK_PROXY_H

#include <stdbool.h>
#include <stdint.h>
#include <tevent.h>

#include "private/list.h"

enum soak_proxy_mode {
	SOAK_PROXY_PASS,
	SOAK_PROXY_DELAY, /* 250 ms in both directions */
	SOAK_PROXY_HOLD_TO_TARGET, /* hold data to the target */
	SOAK_PROXY_HOLD_FROM_TARGET, /* hold data from the target */
	SOAK_PROXY_HOLD_BOTH, /* hold both directions */
	SOAK_PROXY_REFUSE, /* reset open and new connections */
	SOAK_PROXY_MODE_COUNT
};

extern const char *const soak_proxy_mode_string[SOAK_PROXY_MODE_COUNT];

struct soak_proxy {
	struct tevent_context *ev;
	void *mem;
	int fd;
	struct tevent_fd *accept_event;
	uint16_t port; /* listening port */
	uint16_t target; /* port; 0: reset new connections */
	enum soak_proxy_mode mode;
	struct rj_list connections; /* open ones */
};

void soak_proxy_init(struct soak_proxy *proxy, void *mem,
		     struct tevent_context *ev);
void soak_proxy_set_mode(struct soak_proxy *proxy, enum soak_proxy_mode mode);
void soak_proxy_reset(struct soak_proxy *proxy);
void soak_proxy_blackhole(struct soak_proxy *proxy);
void soak_proxy_finish(struct soak_proxy *proxy);

#endif
