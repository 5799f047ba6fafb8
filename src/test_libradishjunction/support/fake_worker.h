/*
 * Interface between the two halves of the fake workers: fake_worker.c executes
 * calls, fake_worker_link.c simulates the network in between.
 */
#ifndef SUPPORT_FAKE_WORKER_H
#define SUPPORT_FAKE_WORKER_H

#include "support/simulation.h"

/* A call in transit, or waiting for the completion of its task. */
struct fake_call {
	struct rj_worker_call call;
	uint32_t node;
	uint32_t worker;
	uint64_t epoch; /* of the calling instance */
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
