#include "signal_mask.h"

#include <signal.h>
#include <stdio.h>

/*
 * Blocks or unblocks SIGTERM and SIGHUP in the calling thread. Safe between
 * fork and exec.
 */
void rj_signal_mask_set(int how)
{
	sigset_t signals;

	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGHUP);
	if (sigprocmask(how, &signals, NULL))
		perror("sigprocmask");
}
