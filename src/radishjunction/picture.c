#include "picture.h"

#include <inttypes.h>
#include <string.h>

#include "http.h"

/* Wider workers are drawn as numbers. */
#define BAR_ACCELERATORS_MAX 16

static const char *text_of(const json_t *object, const char *name)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text ? text : "?";
}

static json_int_t number_of(const json_t *object, const char *name)
{
	return json_integer_value(json_object_get(object, name));
}

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
		char where[RJ_IP_BYTES + 16];
		uint32_t alive;
		uint32_t all;

		if (!status) {
			address_text(where, &targets->instances[i]);
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
 * Whether `view` is the one to draw a worker from: an owner's if there is
 * one, else the first that knows the worker.
 */
static bool draws_worker(const struct instance_status *statuses, uint32_t count,
			 uint32_t view, const json_t *worker)
{
	uint32_t first = UINT32_MAX;

	for (uint32_t i = 0; i < count; i++) {
		const json_t *list =
			json_object_get(statuses[i].json, "workers");
		json_t *other;
		size_t j;

		json_array_foreach(list, j, other)
		{
			if (strcmp(text_of(other, "name"),
				   text_of(worker, "name")) != 0)
				continue;
			if (is_set(other, "owned"))
				return i == view;
			if (first == UINT32_MAX)
				first = i;
		}
	}
	return first == view;
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
 * The workers of one rack of one failure domain; the rack's line stands
 * before the first. Returns whether there was any.
 */
static bool print_rack(FILE *out, const struct instance_status *statuses,
		       uint32_t count, const char *domain, json_int_t rack)
{
	bool any = false;

	for (uint32_t i = 0; i < count; i++) {
		const json_t *list =
			json_object_get(statuses[i].json, "workers");
		json_t *worker;
		size_t j;

		if (strcmp(text_of(statuses[i].json, "domain"), domain) != 0)
			continue;
		json_array_foreach(list, j, worker)
		{
			if (number_of(worker, "rack") != rack ||
			    !draws_worker(statuses, count, i, worker))
				continue;
			if (!any)
				fprintf(out,
					"  rack %" JSON_INTEGER_FORMAT "\n",
					rack);
			any = true;
			print_worker(out, worker);
		}
	}
	return any;
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
			 uint32_t count, uint32_t first)
{
	const char *domain = text_of(statuses[first].json, "domain");
	json_int_t racks = last_rack(statuses, count, domain);

	fprintf(out, "\n%s\n", domain);
	print_guarantees(out, statuses[first].json);
	for (json_int_t rack = 0; rack <= racks; rack++)
		print_rack(out, statuses, count, domain, rack);
}

/*
 * Print the instances and then each failure domain with its racks.
 */
void picture_print(FILE *out, const struct targets *targets,
		   const struct instance_status *statuses)
{
	print_instances(out, targets, statuses);
	for (uint32_t i = 0; i < targets->count; i++) {
		bool first = statuses[i].json != NULL;

		for (uint32_t j = 0; j < i && first; j++)
			first = !statuses[j].json ||
				strcmp(text_of(statuses[j].json, "domain"),
				       text_of(statuses[i].json, "domain")) !=
					0;
		if (first)
			print_domain(out, statuses, targets->count, i);
	}
}
