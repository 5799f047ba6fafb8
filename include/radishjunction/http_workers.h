/*
 * The workers over HTTP and JSON (docs/WORKER-PROTOCOL.md), behind the
 * vtable of radishjunction/adapter.h.
 *
 * Life cycle: `rj_http_workers_init` on the caller's memory, calls through
 * `base.ops`, and `base.ops->finish`, after which no more events arrive.
 */
#ifndef RADISHJUNCTION_HTTP_WORKERS_H
#define RADISHJUNCTION_HTTP_WORKERS_H

#include <tevent.h>

#include "radishjunction/adapter.h"
#include "radishjunction/error.h"

/* A worker takes 64 connections; 8 instances share them. */
#define RJ_WORKER_CONNECTIONS_SHARE 8

struct rj_http_client;

struct rj_http_workers {
	struct rj_workers base; /* first member, always */
	struct rj_sink *sink;
	/* Talloc children of init's mem. */
	struct rj_http_client *waiting; /* calls answered at a task's end */
	struct rj_http_client *control; /* all others */
};

int rj_http_workers_init(struct rj_http_workers *workers, void *mem,
			 struct tevent_context *ev, struct rj_sink *sink,
			 const char *instance_name, uint32_t connections_max,
			 struct rj_error *err);

#endif
