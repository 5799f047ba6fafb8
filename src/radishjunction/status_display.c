#include "status_display.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "http.h"
#include "radishjunction/peer_message.h"
#include "radishjunction/settings.h"

/* Wider workers are drawn as numbers. */
#define BAR_ACCELERATORS_MAX 16

/*
 * A text of a status, or "?" when it is missing.
 */
static const char *text_of(const json_t *object, const char *name)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text ? text : "?";
}

/*
 * A number of a status, 0 when it is missing.
 */
static json_int_t number_of(const json_t *object, const char *name)
{
	return json_integer_value(json_object_get(object, name));
}

/*
 * Whether a flag of a status is true.
 */
static bool is_set(const json_t *object, const char *name)
{
	return json_is_true(json_object_get(object, name));
}

/*
 * How many of the peers an instance believes alive, of how many.
 */
static void count_peers(const json_t *status, uint32_t *alive, uint32_t *all)
{
	json_t *peer;
	size_t i;

	*alive = 0;
	*all = 0;
	json_array_foreach(json_object_get(status, "peers"), i, peer)
	{
		*alive += is_set(peer, "alive");
		*all += 1;
	}
}

/*
 * One line for each instance: revision, queues, peers, what is wrong.
 */
static void print_instances(FILE *out, const struct targets *targets,
			    const struct instance_status *statuses)
{
	fprintf(out, "%-16s %-14s %8s %7s %7s %6s %7s  %s\n", "instance",
		"domain", "revision", "waiting", "running", "open", "peers",
		"state");
	for (uint32_t i = 0; i < targets->count; i++) {
		const json_t *status = statuses[i].json;
		char where[RJ_ADDRESS_BYTES];
		uint32_t alive;
		uint32_t all;

		if (!status) {
			rj_address_format(where, &targets->instances[i]);
			fprintf(out, "%-16s no answer: %s\n", where,
				statuses[i].detail);
			continue;
		}
		count_peers(status, &alive, &all);
		fprintf(out,
			"%-16s %-14s %8" JSON_INTEGER_FORMAT
			" %7" JSON_INTEGER_FORMAT " %7" JSON_INTEGER_FORMAT
			" %6" JSON_INTEGER_FORMAT " %3u/%-3u  %s%s%s%s\n",
			text_of(status, "name"), text_of(status, "domain"),
			number_of(status, "revision"),
			number_of(status, "queued"),
			number_of(status, "running"),
			number_of(status, "open_requests"), alive, all,
			is_set(status, "ready") ? "ready" : "not ready",
			is_set(status, "stopping") ? ", stopping" : "",
			is_set(status, "platform_up") ? "" : ", platform down",
			is_set(status, "log_usable") ? "" : ", log gap");
	}
}

/*
 * By each worker's name, what the instance says of it that is to be drawn: an
 * owner's view if there is one, else the first. A new reference.
 */
static json_t *choose_views(const struct instance_status *statuses,
			    uint32_t count)
{
	json_t *views = json_object();

	for (uint32_t i = 0; i < count; i++) {
		const json_t *list =
			json_object_get(statuses[i].json, "workers");
		json_t *worker;
		size_t j;

		json_array_foreach(list, j, worker)
		{
			const char *name = text_of(worker, "name");

			if (is_set(worker, "owned") ||
			    !json_object_get(views, name))
				json_object_set(views, name, worker);
		}
	}
	return views;
}

/*
 * One worker: a mark for each accelerator, '#' in use and '.' free, and what
 * keeps new work away.
 */
static void print_worker(FILE *out, const json_t *worker)
{
	json_int_t all = number_of(worker, "accelerators");
	json_int_t free_now = number_of(worker, "free");
	const char *health = text_of(worker, "health");

	fprintf(out, "    %-20s ", text_of(worker, "name"));
	if (all <= BAR_ACCELERATORS_MAX) {
		fputc('[', out);
		for (json_int_t i = 0; i < all; i++)
			fputc(i < all - free_now ? '#' : '.', out);
		fputc(']', out);
	} else {
		fprintf(out,
			"%" JSON_INTEGER_FORMAT " of %" JSON_INTEGER_FORMAT
			" in use",
			all - free_now, all);
	}
	if (is_set(worker, "leaving"))
		fprintf(out, " leaving");
	if (strcmp(health, "healthy") != 0)
		fprintf(out, " %s", health);
	fputc('\n', out);
}

/*
 * By name, as `qsort` wants it.
 */
static int compare_workers(const void *first, const void *second)
{
	const json_t *const *a = first;
	const json_t *const *b = second;

	return strcmp(text_of(*a, "name"), text_of(*b, "name"));
}

/*
 * Print the workers of one rack of one failure domain by name, after a line
 * for the rack if there is any.
 */
static void print_rack(FILE *out, const struct instance_status *statuses,
		       uint32_t count, const json_t *views, const char *domain,
		       json_int_t rack)
{
	const json_t *workers[RJ_RACK_WORKERS_MAX];
	uint32_t found = 0;

	for (uint32_t i = 0; i < count; i++) {
		const json_t *list =
			json_object_get(statuses[i].json, "workers");
		json_t *worker;
		size_t j;

		if (strcmp(text_of(statuses[i].json, "domain"), domain) != 0)
			continue;
		json_array_foreach(list, j, worker)
		{
			if (number_of(worker, "rack") == rack &&
			    found < RJ_RACK_WORKERS_MAX &&
			    json_object_get(views, text_of(worker, "name")) ==
				    worker)
				workers[found++] = worker;
		}
	}
	if (found)
		fprintf(out, "  rack %" JSON_INTEGER_FORMAT "\n", rack);
	qsort(workers, found, sizeof(workers[0]), compare_workers);
	for (uint32_t i = 0; i < found; i++)
		print_worker(out, workers[i]);
}

/*
 * The highest rack number that an instance of the domain names, or -1.
 */
static json_int_t last_rack(const struct instance_status *statuses,
			    uint32_t count, const char *domain)
{
	json_int_t last = -1;

	for (uint32_t i = 0; i < count; i++) {
		json_t *worker;
		size_t j;

		if (strcmp(text_of(statuses[i].json, "domain"), domain) != 0)
			continue;
		json_array_foreach(json_object_get(statuses[i].json, "workers"),
				   j, worker)
		{
			if (number_of(worker, "rack") > last)
				last = number_of(worker, "rack");
		}
	}
	return last;
}

/*
 * A line for each guarantee in the failure domain of an instance.
 */
static void print_guarantees(FILE *out, const json_t *status)
{
	json_t *guarantee;
	size_t i;

	json_array_foreach(json_object_get(status, "guarantees"), i, guarantee)
	{
		fprintf(out,
			"  guaranteed to %s: %" JSON_INTEGER_FORMAT
			" x (%" JSON_INTEGER_FORMAT
			" tasks of %" JSON_INTEGER_FORMAT " accelerators%s)\n",
			text_of(guarantee, "account"),
			number_of(guarantee, "count"),
			number_of(guarantee, "tasks"),
			number_of(guarantee, "accelerators"),
			is_set(guarantee, "adjacent") ? ", adjacent" : "");
	}
}

/*
 * One failure domain, drawn when its first instance comes up.
 */
static void print_domain(FILE *out, const struct instance_status *statuses,
			 uint32_t count, const json_t *views, uint32_t first)
{
	const char *domain = text_of(statuses[first].json, "domain");
	json_int_t racks = last_rack(statuses, count, domain);

	fprintf(out, "\n%s\n", domain);
	print_guarantees(out, statuses[first].json);
	for (json_int_t rack = 0; rack <= racks; rack++)
		print_rack(out, statuses, count, views, domain, rack);
}

/*
 * Print the instances and then each failure domain with its racks.
 */
void status_print(FILE *out, const struct targets *targets,
		  const struct instance_status *statuses)
{
	json_t *views = choose_views(statuses, targets->count);

	print_instances(out, targets, statuses);
	for (uint32_t i = 0; i < targets->count; i++) {
		bool first = statuses[i].json != NULL;

		for (uint32_t j = 0; j < i && first; j++)
			first = !statuses[j].json ||
				strcmp(text_of(statuses[j].json, "domain"),
				       text_of(statuses[i].json, "domain")) !=
					0;
		if (first)
			print_domain(out, statuses, targets->count, views, i);
	}
	json_decref(views);
}
