#include <stdio.h>
#include <string.h>

#include "bench.h"

struct subcommand {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *what;
};

static const struct subcommand subcommands[] = {
	{ "policy", bench_policy, "completion, fragmentation and reclaim" },
};

static int usage(FILE *out)
{
	fputs("usage: bench SUBCOMMAND [OPTION]...\n", out);
	for (size_t i = 0; i < sizeof(subcommands) / sizeof(subcommands[0]);
	     i++)
		fprintf(out, "  %-8s %s; see \"bench %s --help\"\n",
			subcommands[i].name, subcommands[i].what,
			subcommands[i].name);
	return out == stdout ? 0 : 2;
}

/*
 * Run the subcommand that is named first. Exit status 2 for a bad call.
 */
int main(int argc, char **argv)
{
	if (argc > 1 && !strcmp(argv[1], "--help"))
		return usage(stdout);
	for (size_t i = 0;
	     argc > 1 && i < sizeof(subcommands) / sizeof(subcommands[0]); i++)
		if (!strcmp(argv[1], subcommands[i].name))
			return subcommands[i].run(argc - 1, argv + 1);
	return usage(stderr);
}
