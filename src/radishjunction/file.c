#include <assert.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <talloc.h>
#include <unistd.h>

#include "command.h"

/* Several times the size of the largest configuration. */
#define FILE_MAX_BYTES (4 * 1024 * 1024)
#define MODE_SECRET 0600
#define MODE_PUBLIC 0644

/*
 * Reads a whole file, or standard input for "-", into a NUL-terminated talloc
 * child of `mem`. Returns NULL with `err` set on failure.
 */
char *file_read(void *mem, const char *path, struct rj_error *err)
{
	FILE *file = strcmp(path, "-") ? fopen(path, "r") : stdin;
	char *text = NULL;
	size_t length;

	if (!file) {
		rj_error_set(err, RJ_ERR_IO, "%s: %s; name a file that exists",
			     path, strerror(errno));
		return NULL;
	}
	text = talloc_size(mem, FILE_MAX_BYTES + 1);
	assert(text);
	length = fread(text, 1, FILE_MAX_BYTES + 1, file);
	if (ferror(file) || length > FILE_MAX_BYTES) {
		rj_error_set(err, RJ_ERR_IO,
			     "%s: not a text file of at most %d bytes", path,
			     FILE_MAX_BYTES);
		TALLOC_FREE(text);
	} else {
		text[length] = 0;
		text = talloc_realloc(mem, text, char, length + 1);
	}
	if (file != stdin)
		fclose(file);
	return text;
}

/*
 * Writes `text` to a file, replacing its content, or to standard output for
 * "-". With `secret`, a new file is accessible to its owner only. Returns 0,
 * or -1 with `err` set.
 */
int file_write(const char *path, const char *text, bool secret,
	       struct rj_error *err)
{
	FILE *file = stdout;
	int result = 0;
	int fd;

	if (strcmp(path, "-") != 0) {
		fd = open(path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC,
			  secret ? MODE_SECRET : MODE_PUBLIC);
		file = fd < 0 ? NULL : fdopen(fd, "w");
	}
	if (!file)
		return rj_error_set(err, RJ_ERR_IO,
				    "%s: %s; name a file that can be written",
				    path, strerror(errno));
	if (fputs(text, file) < 0 || fflush(file))
		result = rj_error_set(err, RJ_ERR_IO, "%s: %s", path,
				      strerror(errno));
	if (file != stdout && fclose(file) && !result)
		result = rj_error_set(err, RJ_ERR_IO, "%s: %s", path,
				      strerror(errno));
	return result;
}

/*
 * Prints one error of a subcommand and returns the exit code for its kind.
 */
int print_error(const char *command, const struct rj_error *err)
{
	fprintf(stderr, "radishjunction %s: %s\n", command, err->message);
	return err->kind == RJ_ERR_UNAVAILABLE ? EXIT_UNREACHABLE :
						 EXIT_REFUSED;
}

/*
 * Prints every error and note of a check, one per line, prefixed by `what`.
 */
void print_errors(const char *what, const struct rj_error_list *errors)
{
	for (uint32_t i = 0; i < errors->count; i++)
		fprintf(stderr, "%s: %s%s\n", what,
			errors->errors[i].kind == RJ_ERR_NONE ? "note: " : "",
			errors->errors[i].message);
}
