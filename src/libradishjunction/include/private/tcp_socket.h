/*
 * Non-blocking TCP sockets for numeric IP addresses. The caller owns and
 * closes each returned descriptor.
 */
#ifndef RADISHJUNCTION_PRIVATE_TCP_SOCKET_H
#define RADISHJUNCTION_PRIVATE_TCP_SOCKET_H

#include "radishjunction/error.h"
#include "radishjunction/types.h"

int rj_tcp_connect(const struct rj_address *address, struct rj_error *err);
int rj_tcp_listen(const struct rj_address *address, struct rj_address *bound,
		  struct rj_error *err);
void rj_tcp_limit_receive_buffer(int listener);
int rj_tcp_accept(int listener);

#endif
