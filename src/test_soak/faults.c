/*
 * Fault injection from outside the processes: signals to instances, network
 * faults by proxies, faults of the log and of workers. Faults come in bursts
 * and overlap; lasting ones are undone by a timer or by
 * `soak_cluster_recover`.
 */
#include <assert.h>
#include <signal.h>
#include <string.h>
#include <talloc.h>

#include "soak.h"

/* A pause lasts the minimum plus a random part, below one to three times the
 * spread. */
#define PAUSE_MIN_MS 200
#define PAUSE_SPREAD_MS 1400
/* Time after which an instance that was told to stop is killed; a graceful stop
 * takes at least 2.6 s. */
#define STOP_TIMEOUT_US (6 * RJ_US_PER_S)
#define FAULT_MIN_MS 300
#define FAULT_SPREAD_MS 4000

/* The pending end of a fault, and what it applies to. */
struct recovery {
	void (*recover)(struct recovery *recovery);
	struct soak *soak;
	struct soak_instance *instance;
	struct soak_worker *worker;
	struct soak_proxy *proxy;
};

/* Timer callback: end a fault, unless `soak_cluster_recover` ends them all. */
static void due(struct tevent_context *ev, struct tevent_timer *timer,
		struct timeval now, void *private_data)
{
	struct recovery *recovery = private_data;

	if (!recovery->soak->recovering)
		recovery->recover(recovery);
	talloc_free(recovery);
}

/* Call `recover` in `delay_us`. The caller sets what it applies to in the
 * returned recovery, which is freed afterwards. */
static struct recovery *schedule_recovery(struct soak *soak, uint64_t delay_us,
					  void (*recover)(struct recovery *))
{
	struct recovery *recovery = talloc_zero(soak->ev, struct recovery);
	struct tevent_timer *timer =
		tevent_add_timer(soak->ev, recovery,
				 rj_clock_timeval_in(delay_us), due, recovery);

	assert(timer);
	(void)timer;
	recovery->soak = soak;
	recovery->recover = recover;
	return recovery;
}

/* A random duration of a fault. */
static uint64_t random_duration_us(struct soak *soak)
{
	return (FAULT_MIN_MS + soak_random(soak, FAULT_SPREAD_MS)) *
	       RJ_US_PER_MS;
}

static struct soak_instance *random_instance(struct soak *soak)
{
	return &soak->instances[soak_random(soak, soak->options.instances)];
}

static struct soak_worker *random_worker(struct soak *soak)
{
	return &soak->workers[soak_random(soak, soak->worker_count)];
}

/* Kill the instance if it still runs, and start it. */
static void restart_instance(struct recovery *recovery)
{
	soak_journal_write(recovery->soak, "start %s",
			   recovery->instance->name);
	soak_process_kill(&recovery->instance->process);
	soak_instance_start(recovery->instance);
}

/* Kill an instance and restart it later. */
static void inject_kill(struct soak *soak)
{
	struct soak_instance *instance = random_instance(soak);

	if (!instance->process.pid || instance->stopping)
		return;
	soak_journal_write(soak, "kill %s", instance->name);
	instance->stopping = true;
	soak_process_signal(&instance->process, SIGKILL);
	soak_instance_detach(instance);
	schedule_recovery(soak, random_duration_us(soak), restart_instance)
		->instance = instance;
}

/* Kill all running instances and restart each later. */
static void inject_kill_all(struct soak *soak)
{
	soak_journal_write(soak, "kill all");
	for (uint32_t i = 0; i < soak->options.instances; i++) {
		struct soak_instance *instance = &soak->instances[i];

		if (!instance->process.pid || instance->stopping)
			continue;
		instance->stopping = true;
		soak_process_signal(&instance->process, SIGKILL);
		soak_instance_detach(instance);
		schedule_recovery(soak, random_duration_us(soak),
				  restart_instance)
			->instance = instance;
	}
}

/* Stop an instance gracefully and restart it after the stop timeout. */
static void inject_stop(struct soak *soak)
{
	struct soak_instance *instance = random_instance(soak);

	if (!instance->process.pid || instance->stopping)
		return;
	soak_journal_write(soak, "stop %s", instance->name);
	instance->stopping = true;
	soak_process_signal(&instance->process, SIGTERM);
	schedule_recovery(soak, STOP_TIMEOUT_US, restart_instance)->instance =
		instance;
}

static void resume_instance(struct recovery *recovery)
{
	soak_journal_write(recovery->soak, "resume %s",
			   recovery->instance->name);
	soak_process_signal(&recovery->instance->process, SIGCONT);
}

/* Suspend an instance by SIGSTOP for a random time. */
static void inject_pause(struct soak *soak)
{
	struct soak_instance *instance = random_instance(soak);

	soak_journal_write(soak, "suspend %s", instance->name);
	soak_process_signal(&instance->process, SIGSTOP);
	schedule_recovery(soak,
			  (PAUSE_MIN_MS + soak_random(soak, PAUSE_SPREAD_MS) *
						  (1 + soak_random(soak, 3))) *
				  RJ_US_PER_MS,
			  resume_instance)
		->instance = instance;
}

/* Make an instance reload its settings. */
static void inject_reload(struct soak *soak)
{
	struct soak_instance *instance = random_instance(soak);

	soak_journal_write(soak, "reload %s", instance->name);
	soak_process_signal(&instance->process, SIGHUP);
}

static void restore_proxy(struct recovery *recovery)
{
	soak_journal_write(recovery->soak, "pass port %u",
			   recovery->proxy->port);
	soak_proxy_set_mode(recovery->proxy, SOAK_PROXY_PASS);
}

/* A random mode other than pass; requires SOAK_PROXY_DELAY to be the first. */
static enum soak_proxy_mode random_mode(struct soak *soak)
{
	uint32_t fault_modes = SOAK_PROXY_MODE_COUNT - SOAK_PROXY_DELAY;

	return (enum soak_proxy_mode)(SOAK_PROXY_DELAY +
				      soak_random(soak, fault_modes));
}

/* Reset the open connections of a proxy, stop passing data on them, or set a
 * fault mode for a random time. `connections` names them in the journal. */
static void inject_proxy_fault(struct soak *soak, struct soak_proxy *proxy,
			       const char *connections)
{
	uint32_t kind = soak_random(soak, 4);
	enum soak_proxy_mode mode;

	if (kind == 0) {
		soak_journal_write(soak, "reset %s, port %u", connections,
				   proxy->port);
		soak_proxy_reset(proxy);
		return;
	}
	if (kind == 1) {
		soak_journal_write(soak, "silence %s, port %u", connections,
				   proxy->port);
		soak_proxy_blackhole(proxy);
		return;
	}
	mode = random_mode(soak);
	soak_journal_write(soak, "%s %s, port %u", soak_proxy_mode_string[mode],
			   connections, proxy->port);
	soak_proxy_set_mode(proxy, mode);
	schedule_recovery(soak, random_duration_us(soak), restore_proxy)
		->proxy = proxy;
}

static void inject_log_proxy_fault(struct soak *soak)
{
	inject_proxy_fault(soak, &random_instance(soak)->log_proxy,
			   "instance to log");
}

static void inject_caller_proxy_fault(struct soak *soak)
{
	inject_proxy_fault(soak, &random_instance(soak)->caller_proxy,
			   "callers to instance");
}

/* Inject faults between instances and random workers: an eighth of them plus
 * one. */
static void inject_worker_proxy_faults(struct soak *soak)
{
	for (uint32_t i = 0; i <= soak->worker_count / 8; i++)
		inject_proxy_fault(soak, &random_worker(soak)->proxy,
				   "instances to worker");
}

static void restore_log(struct recovery *recovery)
{
	soak_journal_write(recovery->soak, "log: ok");
	soak_standin_post(recovery->soak, &recovery->soak->log_address,
			  "/standin/mode", "ok");
}

/* Make the log refuse requests, not answer, or append without an answer. */
static void inject_log_fault(struct soak *soak)
{
	static const char *const modes[] = { "refuse", "silent", "lose" };

	const char *mode = modes[soak_random(soak, G_N_ELEMENTS(modes))];

	soak_journal_write(soak, "log: %s", mode);
	soak_standin_post(soak, &soak->log_address, "/standin/mode", mode);
	schedule_recovery(soak, random_duration_us(soak) / 2, restore_log);
}

static void restore_worker(struct recovery *recovery)
{
	soak_standin_post(recovery->soak, &recovery->worker->address,
			  "/standin/fault", "{}");
}

/* Make a worker fail its runs, stall them, reject starts, announce that it is
 * leaving, crash, or both of these. */
static void inject_worker_fault(struct soak *soak)
{
	static const char *const bodies[] = {
		"{\"fails\":true}", "{\"stands_still\":true}",
		"{\"sick\":true}",  "{\"leaving\":true}",
		"{\"crash\":true}", "{\"leaving\":true,\"crash\":true}",
	};
	const char *body = bodies[soak_random(soak, G_N_ELEMENTS(bodies))];
	struct soak_worker *worker = random_worker(soak);

	soak_journal_write(soak, "worker w%d: %s",
			   (int)(worker - soak->workers), body);
	soak_standin_post(soak, &worker->address, "/standin/fault", body);
	schedule_recovery(soak, random_duration_us(soak), restore_worker)
		->worker = worker;
}

/* Crash up to a quarter of the workers; each serves again at once, under its
 * id. */
static void inject_worker_restarts(struct soak *soak)
{
	for (uint32_t i = 0; i <= soak_random(soak, 1 + soak->worker_count / 4);
	     i++) {
		struct soak_worker *worker = random_worker(soak);

		soak_journal_write(soak, "worker w%d: restart",
				   (int)(worker - soak->workers));
		soak_standin_post(soak, &worker->address, "/standin/fault",
				  "{\"crash\":true}");
	}
}

/* End up to a quarter of the workers for good, after an announcement or not.
 * Another worker serves each address later. */
static void inject_worker_departures(struct soak *soak)
{
	for (uint32_t i = 0; i <= soak_random(soak, 1 + soak->worker_count / 4);
	     i++) {
		struct soak_worker *worker = random_worker(soak);
		char *body = soak_random(soak, 2) ?
				     g_strdup("{\"vanish\":true,"
					      "\"replaced_in_ms\":2000}") :
				     g_strdup_printf("{\"leaves_in_ms\":2000,"
						     "\"linger_ms\":%u,"
						     "\"replaced_in_ms\":2000}",
						     soak_random(soak, 2000));

		soak_journal_write(soak, "worker w%d: %s",
				   (int)(worker - soak->workers), body);
		soak_standin_post(soak, &worker->address, "/standin/fault",
				  body);
		g_free(body);
	}
}

/* Drawn uniformly; repeated entries are more frequent. */
static void (*const injectors[])(struct soak *) = {
	inject_kill,
	inject_kill,
	inject_kill_all,
	inject_stop,
	inject_pause,
	inject_pause,
	inject_reload,
	inject_log_proxy_fault,
	inject_log_proxy_fault,
	inject_caller_proxy_fault,
	inject_worker_proxy_faults,
	inject_worker_proxy_faults,
	inject_log_fault,
	inject_worker_fault,
	inject_worker_fault,
	inject_worker_restarts,
	inject_worker_restarts,
	inject_worker_departures,
	inject_worker_departures,
};

/*
 * Inject a random fault when one is due. Half of the faults come within 100 ms
 * of the one before, the others within 1.5 s.
 */
void soak_faults_tick(struct soak *soak)
{
	uint64_t now_us = rj_clock_now_us();

	if (now_us < soak->next_fault_us)
		return;
	soak->next_fault_us =
		now_us + soak_random(soak, soak_random(soak, 2) ? 100 : 1500) *
				 RJ_US_PER_MS;
	soak->fault_count++;
	injectors[soak_random(soak, G_N_ELEMENTS(injectors))](soak);
}
