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
#define GRACE_US (6 * RJ_US_PER_S)
#define HARM_MIN_MS 300
#define HARM_SPREAD_MS 4000

/* What ends a strike. */
struct ending {
	void (*end)(struct ending *ending);
	struct soak *soak;
	struct soak_instance *instance;
	struct soak_worker *worker;
	struct soak_proxy *proxy;
};

/* The time of a strike is over; with the calm all has ended already. */
static void due(struct tevent_context *ev, struct tevent_timer *timer,
		struct timeval now, void *private_data)
{
	struct ending *ending = private_data;

	if (!ending->soak->calm)
		ending->end(ending);
	talloc_free(ending);
}

/* End a strike in a while. */
static struct ending *end_in(struct soak *soak, uint64_t delay_us,
			     void (*end)(struct ending *))
{
	struct ending *ending = talloc_zero(soak->ev, struct ending);
	struct tevent_timer *timer = tevent_add_timer(
		soak->ev, ending, rj_clock_timeval_in(delay_us), due, ending);

	assert(timer);
	(void)timer;
	ending->soak = soak;
	ending->end = end;
	return ending;
}

/* How long a harm lasts. */
static uint64_t some_time_us(struct soak *soak)
{
	return (HARM_MIN_MS + soak_random(soak, HARM_SPREAD_MS)) * RJ_US_PER_MS;
}

/* Any instance. */
static struct soak_instance *some_instance(struct soak *soak)
{
	return &soak->instances[soak_random(soak, soak->options.instances)];
}

/* Any worker. */
static struct soak_worker *some_worker(struct soak *soak)
{
	return &soak->workers[soak_random(soak, soak->worker_count)];
}

/* An instance starts anew. */
static void start_again(struct ending *ending)
{
	soak_journal_write(ending->soak, "start %s", ending->instance->name);
	soak_process_kill(&ending->instance->process);
	soak_instance_start(ending->instance);
}

/* An instance is killed and starts anew. */
static void strike_kill(struct soak *soak)
{
	struct soak_instance *instance = some_instance(soak);

	if (!instance->process.pid || instance->stopping)
		return;
	soak_journal_write(soak, "kill %s", instance->name);
	instance->stopping = true;
	soak_process_signal(&instance->process, SIGKILL);
	soak_instance_detach(instance);
	end_in(soak, some_time_us(soak), start_again)->instance = instance;
}

/* All instances are killed. */
static void strike_kill_all(struct soak *soak)
{
	soak_journal_write(soak, "kill all");
	for (uint32_t i = 0; i < soak->options.instances; i++) {
		struct soak_instance *instance = &soak->instances[i];

		if (!instance->process.pid || instance->stopping)
			continue;
		instance->stopping = true;
		soak_process_signal(&instance->process, SIGKILL);
		soak_instance_detach(instance);
		end_in(soak, some_time_us(soak), start_again)->instance =
			instance;
	}
}

/* An instance is asked to stop, and starts anew once its time is over. */
static void strike_stop(struct soak *soak)
{
	struct soak_instance *instance = some_instance(soak);

	if (!instance->process.pid || instance->stopping)
		return;
	soak_journal_write(soak, "stop %s", instance->name);
	instance->stopping = true;
	soak_process_signal(&instance->process, SIGTERM);
	end_in(soak, GRACE_US, start_again)->instance = instance;
}

/* An instance goes on. */
static void resume(struct ending *ending)
{
	soak_journal_write(ending->soak, "resume %s", ending->instance->name);
	soak_process_signal(&ending->instance->process, SIGCONT);
}

/* An instance stands still. */
static void strike_pause(struct soak *soak)
{
	struct soak_instance *instance = some_instance(soak);

	soak_journal_write(soak, "suspend %s", instance->name);
	soak_process_signal(&instance->process, SIGSTOP);
	end_in(soak,
	       (PAUSE_MIN_MS + soak_random(soak, PAUSE_SPREAD_MS) *
				       (1 + soak_random(soak, 3))) *
		       RJ_US_PER_MS,
	       resume)
		->instance = instance;
}

/* An instance is told that its settings have changed. */
static void strike_reload(struct soak *soak)
{
	soak_process_signal(&some_instance(soak)->process, SIGHUP);
}

/* A way works again. */
static void heal(struct ending *ending)
{
	soak_journal_write(ending->soak, "pass port %u", ending->proxy->port);
	soak_proxy_set_mode(ending->proxy, SOAK_PROXY_PASS);
}

/* Any harm that lasts a while. */
static enum soak_proxy_mode some_mode(struct soak *soak)
{
	uint32_t harms = SOAK_PROXY_MODE_COUNT - SOAK_PROXY_DELAY;

	return (enum soak_proxy_mode)(SOAK_PROXY_DELAY +
				      soak_random(soak, harms));
}

/* A way is harmed for a while, or its connections at once; `what` says which
 * way. */
static void harm(struct soak *soak, struct soak_proxy *proxy, const char *what)
{
	uint32_t how = soak_random(soak, 4);
	enum soak_proxy_mode mode;

	if (how == 0) {
		soak_journal_write(soak, "reset %s, port %u", what,
				   proxy->port);
		soak_proxy_reset(proxy);
		return;
	}
	if (how == 1) {
		soak_journal_write(soak, "silence %s, port %u", what,
				   proxy->port);
		soak_proxy_blackhole(proxy);
		return;
	}
	mode = some_mode(soak);
	soak_journal_write(soak, "%s %s, port %u", soak_proxy_mode_string[mode],
			   what, proxy->port);
	soak_proxy_set_mode(proxy, mode);
	end_in(soak, some_time_us(soak), heal)->proxy = proxy;
}

/* The way of an instance to the log is harmed. */
static void strike_store_way(struct soak *soak)
{
	harm(soak, &some_instance(soak)->store, "instance to log");
}

/* The way of callers to an instance is harmed. */
static void strike_caller_way(struct soak *soak)
{
	harm(soak, &some_instance(soak)->callers, "callers to instance");
}

/* The ways to some workers are harmed. */
static void strike_worker_ways(struct soak *soak)
{
	for (uint32_t i = 0; i <= soak->worker_count / 8; i++)
		harm(soak, &some_worker(soak)->orders, "instances to worker");
}

/* The log serves again. */
static void heal_log(struct ending *ending)
{
	soak_journal_write(ending->soak, "log: ok");
	soak_standin_post(ending->soak, &ending->soak->log, "/standin/mode",
			  "ok");
}

/* The log refuses, is silent, or loses its answers. */
static void strike_log(struct soak *soak)
{
	static const char *const modes[] = { "refuse", "silent", "lose" };

	const char *mode = modes[soak_random(soak, G_N_ELEMENTS(modes))];

	soak_journal_write(soak, "log: %s", mode);
	soak_standin_post(soak, &soak->log, "/standin/mode", mode);
	end_in(soak, some_time_us(soak) / 2, heal_log);
}

/* A worker is well again. */
static void heal_worker(struct ending *ending)
{
	soak_standin_post(ending->soak, &ending->worker->address,
			  "/standin/fault", "{}");
}

/* A worker misbehaves, says that it leaves, or crashes. */
static void strike_worker(struct soak *soak)
{
	static const char *const faults[] = {
		"{\"fails\":true}", "{\"stands_still\":true}",
		"{\"sick\":true}",  "{\"leaving\":true}",
		"{\"crash\":true}", "{\"leaving\":true,\"crash\":true}",
	};
	const char *fault = faults[soak_random(soak, G_N_ELEMENTS(faults))];
	struct soak_worker *worker = some_worker(soak);

	soak_journal_write(soak, "worker w%d: %s",
			   (int)(worker - soak->workers), fault);
	soak_standin_post(soak, &worker->address, "/standin/fault", fault);
	end_in(soak, some_time_us(soak), heal_worker)->worker = worker;
}

static void (*const strikes[])(struct soak *) = {
	strike_kill,	   strike_kill,	       strike_kill_all,
	strike_stop,	   strike_pause,       strike_pause,
	strike_reload,	   strike_store_way,   strike_store_way,
	strike_caller_way, strike_worker_ways, strike_worker_ways,
	strike_log,	   strike_worker,      strike_worker,
};

/*
 * Strike, when it is time to: half of the strikes follow the one before at
 * once.
 */
void soak_faults_tick(struct soak *soak)
{
	uint64_t now_us = rj_clock_now_us();

	if (now_us < soak->next_strike_us)
		return;
	soak->next_strike_us =
		now_us + soak_random(soak, soak_random(soak, 2) ? 100 : 1500) *
				 RJ_US_PER_MS;
	soak->strikes++;
	strikes[soak_random(soak, G_N_ELEMENTS(strikes))](soak);
}
