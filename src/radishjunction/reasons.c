#include <stdio.h>

#include "command.h"
#include "descriptions.h"

/*
 * `radishjunction reasons`: prints the meaning and the remedy of each reason of
 * an answer or a decision.
 */
int command_reasons(int argc, char **argv)
{
	struct options options;
	struct options_result result;

	options_init(&options);
	void *table[] = { options.help, options.version, options.end };
	result = options_parse(&options, command_find("reasons"), argc, argv,
			       table);
	if (result.proceed)
		print_reasons(stdout);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return result.exit_code;
}
