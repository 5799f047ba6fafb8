/*
 * Trouble from outside the processes: signals, ways that are harmed, a log
 * and workers that misbehave. Strikes come in series and overlap; each ends
 * by itself or with the calm.
 */
#include <assert.h>
#include <signal.h>
#include <string.h>
#include <talloc.h>

#include "soak.h"

#define PAUSE_MIN_MS 200
#define PAUSE_SPREAD_MS 1400
/* A stop takes 2.6 s at least, and is followed by a kill. */
#define STOP_TIMEOUT_US (6 * RJ_US_PER_S)
#define FAULT_MIN_MS 300
#define FAULT_SPREAD_MS 4000

/* What ends a strike. */
struct recovery {
	void (*recover)(struct recovery *recovery);
	struct soak *soak;
	struct soak_instance *instance;
	struct soak_worker *worker;
	struct soak_proxy *proxy;
};

/* The time of a strike is over; with the calm all has ended already. */
static void due(struct tevent_context *ev, struct tevent_timer *timer,
		struct timeval now, void *private_data)
{
	struct recovery *recovery = private_data;

	if (!recovery->soak->recovering)
		recovery->recover(recovery);
	talloc_free(recovery);
}

/* End a strike in a while. */
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

/* How long a harm lasts. */
static uint64_t random_duration_us(struct soak *soak)
{
	return (FAULT_MIN_MS + soak_random(soak, FAULT_SPREAD_MS)) *
	       RJ_US_PER_MS;
}

/* Any instance. */
static struct soak_instance *random_instance(struct soak *soak)
{
	return &soak->instances[soak_random(soak, soak->options.instances)];
}

/* Any worker. */
static struct soak_worker *random_worker(struct soak *soak)
{
	return &soak->workers[soak_random(soak, soak->worker_count)];
}

/* An instance starts anew. */
static void restart_instance(struct recovery *recovery)
{
	soak_journal_write(recovery->soak, "start %s",
			   recovery->instance->name);
	soak_process_kill(&recovery->instance->process);
	soak_instance_start(recovery->instance);
}

/* An instance is killed and starts anew. */
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

/* All instances are killed. */
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

/* An instance is asked to stop, and starts anew once its time is over. */
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

/* An instance goes on. */
static void resume_instance(struct recovery *recovery)
{
	soak_journal_write(recovery->soak, "resume %s",
			   recovery->instance->name);
	soak_process_signal(&recovery->instance->process, SIGCONT);
}

/* An instance stands still. */
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

/* An instance is told that its settings have changed. */
static void inject_reload(struct soak *soak)
{
	soak_process_signal(&random_instance(soak)->process, SIGHUP);
}

/* A way works again. */
static void restore_proxy(struct recovery *recovery)
{
	soak_journal_write(recovery->soak, "pass port %u",
			   recovery->proxy->port);
	soak_proxy_set_mode(recovery->proxy, SOAK_PROXY_PASS);
}

/* Any harm that lasts a while. */
static enum soak_proxy_mode random_mode(struct soak *soak)
{
	uint32_t fault_modes = SOAK_PROXY_MODE_COUNT - SOAK_PROXY_DELAY;

	return (enum soak_proxy_mode)(SOAK_PROXY_DELAY +
				      soak_random(soak, fault_modes));
}

/* A way is harmed for a while, or its connections at once; `what` says which
 * way. */
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

/* The way of an instance to the log is harmed. */
static void inject_log_proxy_fault(struct soak *soak)
{
	inject_proxy_fault(soak, &random_instance(soak)->log_proxy,
			   "instance to log");
}

/* The way of callers to an instance is harmed. */
static void inject_caller_proxy_fault(struct soak *soak)
{
	inject_proxy_fault(soak, &random_instance(soak)->caller_proxy,
			   "callers to instance");
}

/* The ways to some workers are harmed. */
static void inject_worker_proxy_faults(struct soak *soak)
{
	for (uint32_t i = 0; i <= soak->worker_count / 8; i++)
		inject_proxy_fault(soak, &random_worker(soak)->proxy,
				   "instances to worker");
}

/* The log serves again. */
static void restore_log(struct recovery *recovery)
{
	soak_journal_write(recovery->soak, "log: ok");
	soak_standin_post(recovery->soak, &recovery->soak->log_address,
			  "/standin/mode", "ok");
}

/* The log refuses, is silent, or loses its answers. */
static void inject_log_fault(struct soak *soak)
{
	static const char *const modes[] = { "refuse", "silent", "lose" };

	const char *mode = modes[soak_random(soak, G_N_ELEMENTS(modes))];

	soak_journal_write(soak, "log: %s", mode);
	soak_standin_post(soak, &soak->log_address, "/standin/mode", mode);
	schedule_recovery(soak, random_duration_us(soak) / 2, restore_log);
}

/* A worker is well again. */
static void restore_worker(struct recovery *recovery)
{
	soak_standin_post(recovery->soak, &recovery->worker->address,
			  "/standin/fault", "{}");
}

/* A worker misbehaves, says that it leaves, or crashes. */
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
};

/*
 * Strike, when it is time to: half of the strikes follow the one before at
 * once.
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
