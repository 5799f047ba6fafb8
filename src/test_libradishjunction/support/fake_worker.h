/*
 * Between the two halves of the fake workers: what they do with a call, and
 * what the network does to it.
 */
#ifndef SUPPORT_FAKE_WORKER_H
#define SUPPORT_FAKE_WORKER_H

#include "support/simulation.h"

/* A call on its way, or waiting for its task's end. */
struct fake_call {
	struct rj_worker_call call;
	uint32_t node;
	uint32_t worker;
	uint64_t epoch; /* of the node */
	bool answered;
};

void fake_worker_serve(struct simulation *simulation,
		       struct fake_worker *worker, struct fake_call *from);
void fake_worker_answer(struct simulation *simulation, struct fake_call *call,
			struct rj_worker_reply *reply);
void fake_worker_deliver(struct simulation *simulation,
			 const struct fake_call *call, uint64_t delay_us,
			 const struct rj_worker_reply *reply);

#endif
