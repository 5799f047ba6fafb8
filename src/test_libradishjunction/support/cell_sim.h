/*
 * A whole site in virtual time: nodes of the real code over a fake log and
 * fake workers that speak the platform's contracts, with a checker of the
 * users' rules.
 *
 * Life cycle: `cell_sim_init` with a plan of the site, then calls that run
 * time on, strike, or speak as a client; `cell_sim_finish` frees all. The
 * same seed gives the same run.
 */
#ifndef TEST_SUPPORT_CELL_SIM_H
#define TEST_SUPPORT_CELL_SIM_H

#include <glib.h>

#include "private/cell_node.h"

#define CELL_SIM_NODES_MAX 16
#define CELL_SIM_WORKERS_MAX 8192
/* Workers write their entries so often; one expires after so many misses. */
#define CELL_SIM_HEARTBEAT_MS 1500
#define CELL_SIM_ENTRY_HEARTBEATS 3
#define MS RJ_US_PER_MS
#define S RJ_US_PER_S

struct cell_sim;

/* What a client was told last of a job it has handed in. */
struct cell_client_job {
	char id[RJ_CELL_ID_BYTES];
	struct rj_cell_def *spec;
	uint32_t submissions;
	uint32_t refusals; /* answers that say "not accepted" */
	uint32_t starts; /* of its tasks, on workers */
	bool accepted;
	bool cancel_sent;
	bool cancelled; /* the wish was acknowledged */
	uint64_t cancelled_us;
	enum rj_cell_job_state state;
	bool has_state;
	uint64_t state_us; /* when that state was shown first */
	bool not_found; /* "no such job" was said of it */
	uint64_t sent_us;
	uint64_t accepted_us;
	uint64_t begun_us; /* when all tasks of the first step had begun */
	uint64_t ended_us; /* when it was shown to have ended */
	/* how the fake workers treat its tasks */
	uint64_t duration_us; /* of each task */
	uint32_t failing_runs; /* the first runs of each task fail */
	GHashTable *tasks; /* name -> struct cell_task_stats, by the checker */
};

/* How the log treats the calls of a node. */
enum cell_log_mode {
	CELL_LOG_AVAILABLE,
	CELL_LOG_REFUSING,
	CELL_LOG_UNREACHABLE,
};

struct cell_log_record {
	char *key;
	GBytes *value; /* NULL: dropped */
};

struct cell_log {
	GPtrArray *records[RJ_CELL_TOPIC_COUNT];
	GHashTable *producers; /* name -> struct producer */
	uint64_t latency_us;
	bool progress_unreachable; /* appends to it are lost, and not done */
	bool reads_unreachable[RJ_CELL_TOPIC_COUNT]; /* reads get no answer */
	uint32_t lost_answer_percent; /* appends done and not answered */
	uint64_t
		apply_delay_us; /* lost appends are done so much later; 0: at once */
	enum cell_log_mode modes[CELL_SIM_NODES_MAX];
	uint64_t first_retained
		[RJ_CELL_TOPIC_COUNT]; /* older records are gone */
	uint64_t
		no_wakeup_until_us; /* until then no append wakes a long poll */
	uint64_t appends;
	uint64_t reads;
	uint64_t read_bytes[CELL_SIM_NODES_MAX]; /* of values, by node */
};

/* A row of a worker's list of runs. */
struct cell_fake_run_info {
	const char *name;
	struct rj_cell_demand allocated;
};

/* One fake worker. */
struct cell_fake_worker {
	uint32_t index;
	char id[RJ_NAME_BYTES];
	struct rj_cell_heartbeat reported;
	bool up;
	bool listed;
	bool partitioned[CELL_SIM_NODES_MAX]; /* its calls get no answer */
	bool partitioned_from_log; /* its entry lapses, it runs on */
	bool requires_ticket; /* starts without one are turned away */
	bool unhealthy; /* starts: it says it is not well */
	bool fails_all;
	bool stalled;
	bool never_completes; /* what is through is not reported so */
	uint32_t delayed_percent; /* orders done late and not answered */
	double speed;
	double clock_rate;
	uint64_t started_us;
	uint64_t incarnation;
	uint64_t token;
	uint64_t lease_ms;
	uint64_t
		lease_expired_us; /* when its lease was last found to have lapsed */
	uint64_t
		drain_reported_us; /* when it said that it drains, if it does */
	bool wrote_entry; /* something else since its last heartbeat was due */
	uint32_t
		heartbeats_missed; /* in a row; its entry expires after three */
	GPtrArray *runs; /* struct cell_fake_run */
	GArray *completions; /* struct cell_fake_completion */
	uint64_t completion_count;
	GHashTable *
		highest_ended; /* name -> highest run that ended or was stopped */
	GPtrArray *polls; /* struct cell_fake_poll that wait */
};

struct cell_sim_node {
	struct rj_cell_store store; /* first member: found from the vtable */
	struct rj_cell_workers workers;
	struct rj_cell_advisor advisor;
	struct cell_sim *sim;
	uint32_t index;
	uint32_t incarnation;
	bool up;
	uint64_t paused_until_us;
	void *mem;
	struct rj_cell_node node;
	uint64_t cpu_ns; /* that its code has taken */
};

struct cell_sim_options {
	uint64_t seed;
	uint32_t nodes;
	uint32_t workers;
	uint32_t rack_workers;
	struct rj_cell_demand capacity;
	bool enforces_capacity;
	uint32_t guaranteed; /* accelerators of each account */
	uint32_t lease_max_ms; /* 0: 6,000 */
	uint32_t attempts_max; /* 0: 4 */
	uint32_t revoke_ms; /* 0: 5,000 */
	uint64_t
		gang_break_us; /* members of a gang end so long after the first */
};

struct cell_sim {
	struct cell_sim_options options;
	void *mem;
	uint64_t now_us;
	uint64_t random;
	uint64_t sequence; /* of events */
	GSequence *events;
	struct cell_log log;
	struct cell_fake_worker workers[CELL_SIM_WORKERS_MAX];
	struct cell_sim_node nodes[CELL_SIM_NODES_MAX];
	GHashTable *jobs; /* id -> struct cell_client_job */
	GHashTable *gangs; /* name -> GPtrArray of struct cell_fake_run */
	GPtrArray *job_list;
	uint32_t job_count;
	uint64_t config_version;
	const char *key; /* of the account, in the newest configuration */
	const char *removed_key; /* that was removed last, or NULL */
	uint64_t key_removed_us; /* when it was */
	GHashTable *cordons; /* failure domain -> since when, uint64_t */
	GPtrArray *violations; /* texts */
	uint64_t starts;
	uint64_t refused_starts;
	uint64_t advice_requests; /* to the outside policy */
	bool advisor_unreachable; /* it does not answer */
	uint64_t wasted_us; /* of runs that ended otherwise than done */
	uint64_t
		over_target_max_us; /* longest that a run was over its bound on end */
};

/* Print every note of a world, with its time and node. */
void cell_sim_trace(struct cell_sim *sim);
void cell_sim_node_enter(struct cell_sim_node *node);
void cell_sim_node_leave(struct cell_sim_node *node);
void cell_sim_init(struct cell_sim *sim,
		   const struct cell_sim_options *options);
void cell_sim_finish(struct cell_sim *sim);
void cell_sim_run(struct cell_sim *sim, uint64_t for_us);
void cell_sim_schedule(struct cell_sim *sim, uint64_t delay_us,
		       void (*call)(void *), void *data);
uint32_t cell_sim_random(struct cell_sim *sim, uint32_t below);

/* Clients. */
struct rj_cell_step cell_sim_plain_step(uint32_t tasks, uint32_t accelerators,
					uint32_t estimate_ms);
struct cell_client_job *cell_sim_job_new(struct cell_sim *sim,
					 const char *queue, const char *account,
					 const struct rj_cell_step *steps,
					 uint32_t step_count,
					 uint64_t duration_us);
void cell_sim_submit(struct cell_sim *sim, uint32_t node,
		     struct cell_client_job *job);
void cell_sim_query(struct cell_sim *sim, uint32_t node,
		    struct cell_client_job *job);
void cell_sim_cancel(struct cell_sim *sim, uint32_t node,
		     struct cell_client_job *job);

/* Strikes. */
void cell_sim_node_kill(struct cell_sim *sim, uint32_t node);
void cell_sim_node_start(struct cell_sim *sim, uint32_t node);
void cell_sim_node_pause(struct cell_sim *sim, uint32_t node, uint64_t for_us);
int cell_sim_owner(const struct cell_sim *sim);
void cell_sim_publish(struct cell_sim *sim, const char *key);
void cell_sim_cordon(struct cell_sim *sim, const char *domain, bool cordoned);
void cell_sim_worker_kill(struct cell_sim *sim, uint32_t worker);
void cell_sim_worker_start(struct cell_sim *sim, uint32_t worker);
void cell_sim_worker_partition(struct cell_sim *sim, uint32_t worker,
			       bool partitioned);
uint32_t cell_sim_busy_worker(const struct cell_sim *sim);
void cell_sim_worker_drain(struct cell_sim *sim, uint32_t worker,
			   uint32_t left_ms);
void cell_sim_worker_deregister(struct cell_sim *sim, uint32_t worker);

/* Judgement. */
void cell_sim_violation(struct cell_sim *sim, const char *format, ...)
	G_GNUC_PRINTF(2, 3);
void cell_sim_check_final(struct cell_sim *sim);

/* Between the files of the world. */
struct cell_sim_event;
void cell_log_init(struct cell_sim *sim);
void cell_log_finish(struct cell_sim *sim);
void cell_log_put(struct cell_sim *sim, enum rj_cell_topic topic,
		  const char *key, const void *value, size_t length);
extern const struct rj_cell_store_ops cell_log_ops;
void cell_workers_init(struct cell_sim *sim);
void cell_workers_finish(struct cell_sim *sim);
extern const struct rj_cell_workers_ops cell_workers_ops;
struct cell_fake_run_info cell_fake_run_info_at(struct cell_fake_worker *worker,
						guint place);
extern const struct rj_cell_advisor_ops cell_advice_ops;
bool cell_advice_allows(const char *step, const char *worker);
bool cell_advice_accepts(struct cell_sim *sim,
			 const struct cell_fake_worker *worker,
			 const struct rj_cell_start *start);
bool cell_sim_node_is_current(const struct cell_sim_node *node,
			      uint32_t incarnation);
bool cell_sim_defer_if_paused(struct cell_sim_node *node, void (*call)(void *),
			      void *data);
uint64_t cell_sim_wall_ms(const struct cell_sim *sim);
void cell_check_start(struct cell_sim *sim, struct cell_fake_worker *worker,
		      const struct rj_cell_start *start, uint64_t sent_us);
void cell_check_completion(struct cell_sim *sim,
			   struct cell_fake_worker *worker, const char *name,
			   uint32_t run, enum rj_cell_end outcome);
void cell_check_acknowledged(struct cell_sim *sim,
			     struct cell_fake_worker *worker, const char *name,
			     uint32_t run, enum rj_cell_end outcome);
struct cell_client_job *cell_check_find_job(struct cell_sim *sim,
					    const char *name, uint32_t *step,
					    uint32_t *index);

#endif
