/*
 * A TCP proxy on loopback that stands between two processes and can harm
 * what passes: delay it, hold it in one direction or both, reset it, or leave
 * open connections silent for good while new ones work.
 *
 * Life cycle: `soak_proxy_init` listens on any free port; the target may be
 * set and changed later; `soak_proxy_finish` closes all. What is held passes
 * on when the mode ends, as after a cut of a network.
 */
#ifndef SOAK_PROXY_H
#define SOAK_PROXY_H

#include <stdbool.h>
#include <stdint.h>
#include <tevent.h>

#include "private/list.h"

enum soak_proxy_mode {
	SOAK_PROXY_PASS,
	SOAK_PROXY_DELAY, /* both ways, by a quarter of a second */
	SOAK_PROXY_HOLD_TO_TARGET, /* nothing reaches the target */
	SOAK_PROXY_HOLD_FROM_TARGET, /* nothing comes back from it */
	SOAK_PROXY_HOLD_BOTH, /* neither */
	SOAK_PROXY_REFUSE, /* all is reset, and new connections too */
	SOAK_PROXY_MODE_COUNT
};

extern const char *const soak_proxy_mode_string[SOAK_PROXY_MODE_COUNT];

struct soak_proxy {
	struct tevent_context *ev;
	void *mem;
	int fd;
	struct tevent_fd *accept_event;
	uint16_t port; /* that it listens on */
	uint16_t target; /* port; 0: nobody is there */
	enum soak_proxy_mode mode;
	struct rj_list connections;
};

void soak_proxy_init(struct soak_proxy *proxy, void *mem,
		     struct tevent_context *ev);
void soak_proxy_set_mode(struct soak_proxy *proxy, enum soak_proxy_mode mode);
void soak_proxy_reset(struct soak_proxy *proxy);
void soak_proxy_blackhole(struct soak_proxy *proxy);
void soak_proxy_finish(struct soak_proxy *proxy);

#endif
