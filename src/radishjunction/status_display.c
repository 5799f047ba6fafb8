#include "status_display.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "http.h"
#include "radishjunction/peer_message.h"
#include "radishjunction/settings.h"

/* Workers with more accelerators are shown as numbers. */
#define BAR_ACCELERATORS_MAX 16

/*
 * Returns a string of a status, or "?" if it is missing.
 */
static const char *get_text(const json_t *object, const char *name)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text ? text : "?";
}

/*
 * Returns a number of a status, or 0 if it is missing.
 */
static json_int_t get_number(const json_t *object, const char *name)
{
	return json_integer_value(json_object_get(object, name));
}

static bool get_flag(const json_t *object, const char *name)
{
	return json_is_true(json_object_get(object, name));
}

/*
 * Counts the peers that an instance reports as alive, and all its peers.
 */
static void count_peers(const json_t *status, uint32_t *alive, uint32_t *total)
{
	json_t *peer;
	size_t i;

	*alive = 0;
	*total = 0;
	json_array_foreach(json_object_get(status, "peers"), i, peer)
	{
		*alive += get_flag(peer, "alive");
		*total += 1;
	}
}

/*
 * Prints a line for each instance: revision, queues, peers and state.
 */
static void print_instances(FILE *out, const struct targets *targets,
			    const struct instance_status *statuses)
{
	fprintf(out, "%-16s %-14s %8s %7s %7s %6s %7s  %s\n", "instance",
		"domain", "revision", "waiting", "running", "open", "peers",
		"state");
	for (uint32_t i = 0; i < targets->count; i++) {
		const json_t *status = statuses[i].json;
		char address[RJ_ADDRESS_BYTES];
		uint32_t alive;
		uint32_t total;

		if (!status) {
			rj_address_format(address, &targets->instances[i]);
			fprintf(out, "%-16s no answer: %s\n", address,
				statuses[i].detail);
			continue;
		}
		count_peers(status, &alive, &total);
		fprintf(out,
			"%-16s %-14s %8" JSON_INTEGER_FORMAT
			" %7" JSON_INTEGER_FORMAT " %7" JSON_INTEGER_FORMAT
			" %6" JSON_INTEGER_FORMAT " %3u/%-3u  %s%s%s%s\n",
			get_text(status, "name"), get_text(status, "domain"),
			get_number(status, "revision"),
			get_number(status, "queued"),
			get_number(status, "running"),
			get_number(status, "open_requests"), alive, total,
			get_flag(status, "ready") ? "ready" : "not ready",
			get_flag(status, "stopping") ? ", stopping" : "",
			get_flag(status, "platform_up") ? "" :
							  ", platform down",
			get_flag(status, "log_usable") ? "" : ", log gap");
	}
}

/*
 * Selects the view of each worker to display: that of its owner, else the first
 * one. Returns a new reference to an object of views by worker name.
 */
static json_t *select_views(const struct instance_status *statuses,
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
			const char *name = get_text(worker, "name");

			if (get_flag(worker, "owned") ||
			    !json_object_get(views, name))
				json_object_set(views, name, worker);
		}
	}
	return views;
}

/*
 * Prints one worker: a mark for each accelerator, '#' in use and '.' free, and
 * the reason if it gets no new jobs.
 */
static void print_worker(FILE *out, const json_t *worker)
{
	json_int_t total = get_number(worker, "accelerators");
	json_int_t free_count = get_number(worker, "free");
	const char *health = get_text(worker, "health");

	fprintf(out, "    %-20s ", get_text(worker, "name"));
	if (total <= BAR_ACCELERATORS_MAX) {
		fputc('[', out);
		for (json_int_t i = 0; i < total; i++)
			fputc(i < total - free_count ? '#' : '.', out);
		fputc(']', out);
	} else {
		fprintf(out,
			"%" JSON_INTEGER_FORMAT " of %" JSON_INTEGER_FORMAT
			" in use",
			total - free_count, total);
	}
	if (get_flag(worker, "leaving"))
		fprintf(out, " leaving");
	if (strcmp(health, "healthy") != 0)
		fprintf(out, " %s", health);
	fputc('\n', out);
}

/*
 * Comparison function for `qsort`: by worker name.
 */
static int compare_workers(const void *first, const void *second)
{
	const json_t *const *a = first;
	const json_t *const *b = second;

	return strcmp(get_text(*a, "name"), get_text(*b, "name"));
}

/*
 * Prints the workers of one rack of a failure domain, sorted by name, after a
 * line for the rack. Prints nothing for a rack without workers.
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

		if (strcmp(get_text(statuses[i].json, "domain"), domain) != 0)
			continue;
		json_array_foreach(list, j, worker)
		{
			if (get_number(worker, "rack") == rack &&
			    found < RJ_RACK_WORKERS_MAX &&
			    json_object_get(views, get_text(worker, "name")) ==
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
 * Returns the highest rack number reported by an instance of the failure
 * domain, or -1.
 */
static json_int_t last_rack(const struct instance_status *statuses,
			    uint32_t count, const char *domain)
{
	json_int_t last = -1;

	for (uint32_t i = 0; i < count; i++) {
		json_t *worker;
		size_t j;

		if (strcmp(get_text(statuses[i].json, "domain"), domain) != 0)
			continue;
		json_array_foreach(json_object_get(statuses[i].json, "workers"),
				   j, worker)
		{
			if (get_number(worker, "rack") > last)
				last = get_number(worker, "rack");
		}
	}
	return last;
}

/*
 * Prints a line for each guarantee in the failure domain of an instance.
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
			get_text(guarantee, "account"),
			get_number(guarantee, "count"),
			get_number(guarantee, "tasks"),
			get_number(guarantee, "accelerators"),
			get_flag(guarantee, "adjacent") ? ", adjacent" : "");
	}
}

/*
 * Prints one failure domain, given the index of its first instance.
 */
static void print_domain(FILE *out, const struct instance_status *statuses,
			 uint32_t count, const json_t *views, uint32_t first)
{
	const char *domain = get_text(statuses[first].json, "domain");
	json_int_t racks = last_rack(statuses, count, domain);

	fprintf(out, "\n%s\n", domain);
	print_guarantees(out, statuses[first].json);
	for (json_int_t rack = 0; rack <= racks; rack++)
		print_rack(out, statuses, count, views, domain, rack);
}

/*
 * Prints the instances, then each failure domain with its racks.
 */
void status_print(FILE *out, const struct targets *targets,
		  const struct instance_status *statuses)
{
	json_t *views = select_views(statuses, targets->count);

	print_instances(out, targets, statuses);
	for (uint32_t i = 0; i < targets->count; i++) {
		bool first = statuses[i].json != NULL;

		for (uint32_t j = 0; j < i && first; j++)
			first = !statuses[j].json ||
				strcmp(get_text(statuses[j].json, "domain"),
				       get_text(statuses[i].json, "domain")) !=
					0;
		if (first)
			print_domain(out, statuses, targets->count, views, i);
	}
	json_decref(views);
}
