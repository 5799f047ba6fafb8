/*
 * A child process: its standard output, signals and exit status.
 *
 * Life cycle: set `on_line` and `private_data`, then `soak_process_start`.
 * `on_line` is called for each complete line of standard output, which is also
 * appended to a file. `soak_process_kill` kills the process if it still runs
 * and reaps it; it may then be started again.
 */
#ifndef SOAK_PROCESS_H
#define SOAK_PROCESS_H

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <tevent.h>

struct soak_process {
	GPid pid; /* 0: not started, or reaped */
	int fd; /* its standard output */
	struct tevent_fd *event;
	GString *partial_line; /* output after the last newline */
	FILE *log;
	bool output_closed; /* end of file on its standard output */
	void (*on_line)(void *private_data, const char *line);
	void *private_data;
};

void soak_process_start(struct soak_process *process, struct tevent_context *ev,
			const char *const *argv, const char *log_path);
bool soak_process_has_ended(const struct soak_process *process, int *status);
char *soak_process_describe(const struct soak_process *process);
void soak_process_drain(struct soak_process *process);
void soak_process_signal(const struct soak_process *process, int signal_number);
void soak_process_kill(struct soak_process *process);

#endif
