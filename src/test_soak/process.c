#include "process.h"

#include <assert.h>
#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <sys/wait.h>
#include <talloc.h>
#include <unistd.h>

#define CHUNK_BYTES 65536

/* Pass complete lines to `on_line`. */
static void handle_lines(struct soak_process *process)
{
	char *end;

	while ((end = strchr(process->partial_line->str, '\n'))) {
		*end = '\0';
		process->on_line(process->private_data,
				 process->partial_line->str);
		g_string_erase(process->partial_line, 0,
			       end + 1 - process->partial_line->str);
	}
}

/* Read from standard output; end of file sets `output_closed`. */
static void readable(struct tevent_context *ev, struct tevent_fd *event,
		     uint16_t flags, void *private_data)
{
	struct soak_process *process = private_data;
	char chunk[CHUNK_BYTES];
	ssize_t count = read(process->fd, chunk, sizeof(chunk));

	if (count < 0 && (errno == EINTR || errno == EAGAIN))
		return;
	if (count <= 0) {
		process->output_closed = true;
		TALLOC_FREE(process->event);
		return;
	}
	(void)fwrite(chunk, 1, (size_t)count, process->log);
	g_string_append_len(process->partial_line, chunk, count);
	handle_lines(process);
}

/*
 * Start a program with `on_line` and `private_data` already set, and append its
 * standard output to `log_path`. Aborts when the program cannot be started.
 */
void soak_process_start(struct soak_process *process, struct tevent_context *ev,
			const char *const *argv, const char *log_path)
{
	GError *error = NULL;

	assert(!process->pid && process->on_line);
	if (!g_spawn_async_with_pipes(
		    NULL, (char **)argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD, NULL,
		    NULL, &process->pid, NULL, &process->fd, NULL, &error))
		g_error("%s: %s; build it first", argv[0], error->message);
	process->log = fopen(log_path, "a");
	process->partial_line = g_string_new(NULL);
	process->output_closed = false;
	process->event = tevent_add_fd(ev, ev, process->fd, TEVENT_FD_READ,
				       readable, process);
	assert(process->log && process->event);
}

/*
 * Whether the program was started and has ended. If so, sets `status` to its
 * exit status, or to the negated number of the signal that killed it. Does not
 * reap the process.
 */
bool soak_process_has_ended(const struct soak_process *process, int *status)
{
	siginfo_t info = { .si_pid = 0 };

	if (!process->pid ||
	    waitid(P_PID, (id_t)process->pid, &info,
		   WEXITED | WNOHANG | WNOWAIT) ||
	    !info.si_pid)
		return false;
	*status = info.si_code == CLD_EXITED ? info.si_status : -info.si_status;
	return true;
}

/*
 * Describes the state of the program for a report: "not started", "ended with N"
 * (see soak_process_has_ended) or "running, state S", S as in /proc. The
 * caller frees the text.
 */
char *soak_process_describe(const struct soak_process *process)
{
	int status = 0;
	bool ended = soak_process_has_ended(process, &status);
	char *path;
	char *stat = NULL;
	char *text;
	const char *state;

	if (!process->pid)
		return g_strdup("not started");
	if (ended || process->output_closed)
		return g_strdup_printf("ended with %d", status);
	path = g_strdup_printf("/proc/%d/stat", (int)process->pid);
	(void)g_file_get_contents(path, &stat, NULL, NULL);
	state = stat ? strrchr(stat, ')') : NULL;
	text = g_strdup_printf("running, state %.1s", state ? state + 2 : "?");
	g_free(stat);
	g_free(path);
	return text;
}

/*
 * Read all output available now, without blocking, and pass on its lines.
 */
void soak_process_drain(struct soak_process *process)
{
	struct pollfd waits = { .fd = process->fd, .events = POLLIN };

	while (process->pid && !process->output_closed &&
	       poll(&waits, 1, 0) > 0)
		readable(NULL, NULL, 0, process);
}

/*
 * Send a signal to the program; no effect when it was never started or is
 * reaped.
 */
void soak_process_signal(const struct soak_process *process, int signal_number)
{
	if (process->pid)
		(void)kill(process->pid, signal_number);
}

/*
 * Kill the program if it still runs, reap it, pass on the rest of its output
 * and close its log.
 */
void soak_process_kill(struct soak_process *process)
{
	int status;

	if (!process->pid)
		return;
	(void)kill(process->pid, SIGKILL);
	while (waitpid(process->pid, &status, 0) < 0 && errno == EINTR)
		;
	while (!process->output_closed)
		readable(NULL, NULL, 0, process);
	close(process->fd);
	(void)fclose(process->log);
	g_string_free(process->partial_line, TRUE);
	g_spawn_close_pid(process->pid);
	process->pid = 0;
}
