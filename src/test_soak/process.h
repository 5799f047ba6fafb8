/*
 * A program that the soak has started: its lines, its signals, its end.
 *
 * Life cycle: `soak_process_start`; `line` is called for each whole line of
 * its standard output, which also goes to a file; `soak_process_kill` kills it
 * by its id if it still runs, and waits for it.
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
int soak_process_exit_status(const struct soak_process *process);
void soak_process_drain(struct soak_process *process);
void soak_process_signal(const struct soak_process *process, int signal_number);
void soak_process_kill(struct soak_process *process);

#endif
