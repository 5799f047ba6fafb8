#include "fleet.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "private/clock.h"
#include "private/platform_wire.h"

#define REGISTER_TIMEOUT_US (2 * RJ_US_PER_S)
#define REGISTER_RETRY_US (RJ_US_PER_S / 4)
#define REGISTER_ANSWER_MAX_BYTES 4096
#define PLATFORM_CONNECTIONS_MAX 8

struct rj_fleet_member {
	struct rj_standin_worker worker; /* must be the first member */
	struct rj_fleet *fleet;
	uint32_t rack;
	bool registering; /* call open or retry pending */
	bool changed; /* since the last call was sent */
};

/* Private data of a registration call; freed by the HTTP client. */
struct registration {
	struct rj_fleet_member *member;
};

static void register_member(struct rj_fleet_member *member);

static void register_again(struct tevent_context *ev,
			   struct tevent_timer *timer, struct timeval now,
			   void *private_data)
{
	register_member(private_data);
}

/* Registers again after a failure, or if the state changed meanwhile. */
static void on_registration_done(void *private_data,
				 const struct rj_http_result *result)
{
	const struct registration *registration = private_data;
	struct rj_fleet_member *member = registration->member;
	struct tevent_timer *timer;

	if (result->outcome == RJ_HTTP_ANSWERED &&
	    result->status == MHD_HTTP_OK && !member->changed) {
		member->registering = false;
		return;
	}
	timer = tevent_add_timer(
		member->fleet->ev, member->fleet->mem,
		rj_clock_timeval_in(member->changed ? 0 : REGISTER_RETRY_US),
		register_again, member);
	assert(timer);
	(void)timer;
}

/* Encodes a member's entry in the platform's instance list. */
static char *registration_text(void *mem, const struct rj_fleet_member *member)
{
	const struct rj_standin_worker *worker = &member->worker;
	struct rj_instance instance = {
		.role = RJ_ROLE_WORKER,
		.rack = member->rack,
		.address = worker->server.address,
		.incarnation = worker->tasks.incarnation,
		.leaving = worker->tasks.leaving,
	};

	memcpy(instance.name, worker->options.name, sizeof(instance.name));
	memcpy(instance.domain, member->fleet->domain, sizeof(instance.domain));
	return rj_instance_encode(mem, &instance);
}

/* Registers the member's current state with the platform; retries until it is
 * acknowledged. */
static void register_member(struct rj_fleet_member *member)
{
	struct rj_fleet *fleet = member->fleet;
	struct registration *registration = talloc(NULL, struct registration);
	struct rj_http_request send = {
		.method = "PUT",
		.timeout_us = REGISTER_TIMEOUT_US,
		.response_max_bytes = REGISTER_ANSWER_MAX_BYTES,
		.done = on_registration_done,
		.private_data = registration,
	};

	assert(registration);
	registration->member = member;
	member->registering = true;
	member->changed = false;
	send.url = talloc_asprintf(registration, "http://%s/v1/instances/%s",
				   fleet->options.platform,
				   member->worker.options.name);
	send.body = registration_text(registration, member);
	send.length = strlen(send.body);
	rj_http_client_send(&fleet->client, &send);
}

/* Registers a member again after a fault may have changed its state or
 * incarnation. */
static void member_changed(struct rj_standin_worker *worker)
{
	struct rj_fleet_member *member = (struct rj_fleet_member *)worker;

	if (!member->fleet->options.platform)
		return;
	member->changed = true;
	if (!member->registering)
		register_member(member);
}

/* Starts one worker and registers it. Returns 0, or -1 with `err`. */
static int init_member(struct rj_fleet *fleet, uint32_t index,
		       struct rj_error *err)
{
	const struct rj_fleet_options *options = &fleet->options;
	struct rj_fleet_member *member = &fleet->members[index];
	struct rj_standin_worker_options worker_options = {
		.connections_max = options->connections_max,
		.capacity = options->capacity,
		.changed = member_changed,
	};
	char *name = talloc_asprintf(fleet->mem, "%s-%03u",
				     options->name_prefix, index);

	if (rj_name_set(worker_options.name, name))
		return rj_error_set(err, RJ_ERR_INVALID,
				    "name-prefix: \"%s\" is too long; give a "
				    "shorter one",
				    options->name_prefix);
	snprintf(worker_options.address.ip, RJ_IP_BYTES, "%s",
		 options->listen_ip);
	member->fleet = fleet;
	member->rack = options->first_rack + index / options->workers_per_rack;
	if (rj_standin_worker_init(&member->worker, fleet->mem, fleet->ev,
				   &worker_options, err))
		return -1;
	fleet->count++;
	if (options->platform)
		register_member(member);
	return 0;
}

/*
 * Starts options->count workers. Returns 0, or -1 with `err` if a name is too
 * long or a worker cannot listen; the fleet is finished then.
 */
int rj_fleet_init(struct rj_fleet *fleet, void *mem, struct tevent_context *ev,
		  const struct rj_fleet_options *options, struct rj_error *err)
{
	memset(fleet, 0, sizeof(*fleet));
	assert(options->workers_per_rack);
	if (rj_name_set(fleet->domain, options->domain))
		return rj_error_set(err, RJ_ERR_INVALID,
				    "domain: \"%s\" is not a valid name; "
				    "use 1 to %d bytes",
				    options->domain, RJ_NAME_BYTES - 1);
	fleet->options = *options;
	fleet->ev = ev;
	fleet->mem = talloc_named_const(mem, 0, "fleet");
	assert(fleet->mem);
	fleet->members = talloc_zero_array(fleet->mem, struct rj_fleet_member,
					   options->count);
	assert(fleet->members);
	if (rj_http_client_init(&fleet->client, fleet->mem, ev, NULL,
				PLATFORM_CONNECTIONS_MAX, err))
		goto report_error;
	for (uint32_t i = 0; i < options->count; i++)
		if (init_member(fleet, i, err))
			goto report_error;
	return 0;

report_error:
	rj_fleet_finish(fleet);
	return -1;
}

/*
 * Returns a new JSON array of the names and addresses of all workers.
 */
json_t *rj_fleet_listening(const struct rj_fleet *fleet)
{
	json_t *list = json_array();

	for (uint32_t i = 0; i < fleet->count; i++) {
		const struct rj_standin_worker *worker =
			&fleet->members[i].worker;

		json_array_append_new(
			list, json_pack("{s:s, s:s, s:i}", "name",
					worker->options.name, "ip",
					worker->server.address.ip, "port",
					(int)worker->server.address.port));
	}
	return list;
}

/*
 * Stops all workers without deregistering them from the platform.
 */
void rj_fleet_finish(struct rj_fleet *fleet)
{
	for (uint32_t i = 0; i < fleet->count; i++)
		rj_standin_worker_finish(&fleet->members[i].worker);
	fleet->count = 0;
	rj_http_client_finish(&fleet->client);
	TALLOC_FREE(fleet->mem);
}
