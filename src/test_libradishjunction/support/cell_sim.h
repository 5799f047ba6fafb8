/*
 * Simulation of a whole site in virtual time: nodes that run the real code, a
 * fake log and fake workers that follow the platform's contracts, and a checker
 * of the users' rules.
 *
 * Life cycle: `cell_sim_init` with the options of the site; then calls that
 * advance the time, inject faults or act as a client; `cell_sim_finish` frees
 * everything. The same seed gives the same run.
 */
#ifndef TEST_SUPPORT_CELL_SIM_H
#define TEST_SUPPORT_CELL_SIM_H

#include <glib.h>

#include "private/cell_node.h"

#define CELL_SIM_NODES_MAX 16
#define CELL_SIM_WORKERS_MAX 8192
#define CELL_SIM_ACCOUNTS_MAX 8
/* Interval of workers' heartbeats, and how many have to be missed in a row
 * before the log drops a worker's entry. */
#define CELL_SIM_HEARTBEAT_MS 1500
#define CELL_SIM_ENTRY_HEARTBEATS 3
/* Limits of the log. */
#define CELL_SIM_RECORD_MAX_BYTES (256 * 1024)
#define CELL_SIM_APPEND_MAX_BYTES (2 * 1024 * 1024)
#define MS RJ_US_PER_MS
#define S RJ_US_PER_S

struct cell_sim;

/* A job of a client, with the last answers the client received. */
struct cell_client_job {
	char id[RJ_CELL_ID_BYTES];
	struct rj_cell_job_spec *spec;
	uint32_t submissions;
	uint32_t refusals; /* submissions answered "not accepted" */
	uint32_t retry_after_ms; /* told with the last refusal */
	uint32_t starts; /* of its tasks, on workers */
	bool accepted;
	bool cancel_sent;
	bool cancelled; /* the cancellation was acknowledged */
	uint64_t cancelled_us;
	enum rj_cell_job_state state;
	bool has_state;
	uint64_t state_us; /* first answer with this state */
	bool not_found; /* answered "no such job" after acceptance */
	uint64_t sent_us;
	uint64_t accepted_us;
	uint64_t begun_us; /* all tasks of the first step had started */
	uint64_t ended_us; /* first answer with a final state */
	uint64_t done_us; /* all of its tasks had ended well, on workers */
	/* How the fake workers run its tasks. */
	uint64_t duration_us; /* of each task at speed 1 */
	uint32_t failing_runs; /* the first runs of each task, which fail */
	GHashTable *tasks; /* task name -> struct cell_task_stats */
};

/* How the log answers the calls of a node. */
enum cell_log_mode {
	CELL_LOG_AVAILABLE,
	CELL_LOG_REFUSING,
	CELL_LOG_UNREACHABLE,
};

struct cell_log_record {
	char *key;
	GBytes *value; /* NULL: the key was deleted */
};

struct cell_log {
	GPtrArray *records[RJ_CELL_TOPIC_COUNT];
	GHashTable *producers; /* topic and name -> struct producer */
	uint64_t latency_us;
	bool progress_unreachable; /* its appends are lost */
	bool reads_unreachable[RJ_CELL_TOPIC_COUNT]; /* reads get no answer */
	uint32_t lost_answer_percent; /* appends applied, but not answered */
	uint64_t apply_delay_us; /* of unanswered appends; 0: none */
	uint32_t record_max_bytes; /* appends with longer records are invalid */
	const char *invalid_key; /* and appends with this key; or NULL */
	enum cell_log_mode modes[CELL_SIM_NODES_MAX];
	uint64_t first_retained[RJ_CELL_TOPIC_COUNT]; /* earlier ones expired */
	uint64_t no_wakeup_until_us; /* appends wake no long poll */
	uint64_t appends;
	uint64_t reads;
	uint64_t read_bytes[CELL_SIM_NODES_MAX]; /* of values, by node */
};

/* What the checker needs of a run that a worker lists. */
struct cell_fake_run_info {
	const char *name;
	struct rj_cell_demand allocated;
};

struct cell_fake_worker {
	uint32_t index;
	char id[RJ_NAME_BYTES];
	struct rj_cell_heartbeat reported;
	bool up;
	bool address_reused; /* by another worker, while it is not up */
	bool listed; /* its entry is in the log */
	bool partitioned[CELL_SIM_NODES_MAX]; /* calls get no answer */
	bool partitioned_from_log; /* entry expires, runs go on */
	bool requires_ticket; /* rejects all starts: no ticket */
	bool unhealthy; /* rejects all starts as "sick" */
	bool fails_all; /* every run fails */
	bool stalled; /* runs make no progress */
	bool never_completes; /* runs never report their completion */
	uint32_t delayed_percent; /* orders executed late and not answered */
	double speed;
	double clock_rate; /* of its clock, relative to virtual time */
	uint64_t started_us;
	uint64_t incarnation;
	uint64_t token;
	uint64_t lease_ms;
	uint64_t lease_expired_us; /* last time at which it was expired */
	uint64_t drain_reported_us; /* first report of draining */
	bool wrote_entry; /* an entry since the last heartbeat was due */
	uint32_t heartbeats_missed; /* in a row */
	GPtrArray *runs; /* struct cell_fake_run */
	GArray *completions; /* struct cell_fake_completion */
	uint64_t completion_count;
	GHashTable *highest_ended; /* task name -> run number */
	GPtrArray *polls; /* struct order, long polls that wait */
};

struct cell_sim_node {
	struct rj_cell_store store; /* first: its operations cast it back */
	struct rj_cell_workers workers;
	struct rj_cell_advisor advisor;
	struct cell_sim *sim;
	uint32_t index;
	uint32_t incarnation;
	bool up;
	uint64_t paused_until_us;
	void *mem;
	struct rj_cell_node node;
	uint64_t cpu_ns; /* CPU time of its code */
};

struct cell_sim_options {
	uint64_t seed;
	uint32_t nodes;
	uint32_t workers;
	uint32_t rack_workers; /* per rack */
	struct rj_cell_demand capacity;
	bool enforces_capacity; /* workers reject starts that do not fit */
	uint32_t accounts; /* "a", "b" and so on; 0: 2 */
	uint32_t guaranteed; /* accelerators of each account */
	uint32_t lease_max_ms; /* 0: 6,000 */
	uint32_t attempts_max; /* 0: 4 */
	uint32_t revoke_ms; /* 0: 5,000 */
	uint64_t gang_break_us; /* from a member's end to the others' */
	bool gangs_fail_together; /* with one member all others fail too */
	uint32_t record_max_bytes; /* of the log; 0: 256 KiB */
	int checkpoint_digits; /* length of a checkpoint; 0: 16 */
	uint64_t
		answer_spread_us; /* workers' answers may overtake each other */
	bool delays_polls; /* they too may be executed late, see
			    * delayed_percent */
	/* Queues "q0", "q1" and so on, besides those of every site. */
	uint32_t extra_queues;
	struct rj_cell_features features;
};

/* Fields of a struct cell_sim_options: a site whose workers have 64 cores and
 * eight accelerators; each account is guaranteed `accelerators`. */
#define CELL_SITE(random_seed, node_count, worker_count, per_rack, \
		  accelerators)                                    \
	.seed = (random_seed), .nodes = (node_count),              \
	.workers = (worker_count), .rack_workers = (per_rack),     \
	.capacity = { 64000, 64000, 8 }, .guaranteed = (accelerators)

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
	uint32_t guaranteed[CELL_SIM_ACCOUNTS_MAX]; /* in the next one */
	const char *key; /* of the newest configuration */
	const char *removed_key; /* removed last, or NULL */
	uint64_t key_removed_us;
	GHashTable *cordons; /* failure domain -> start time, uint64_t */
	GPtrArray *violations; /* texts */
	uint64_t starts;
	uint64_t refused_starts;
	uint64_t advice_requests; /* calls of the advisor */
	bool advisor_unreachable; /* it does not answer */
	/* Calls to workers without an answer, but for polls that wait for a
	 * completion, and their highest number. */
	uint32_t open_calls;
	uint32_t open_calls_max;
	uint64_t wasted_us; /* progress of runs that did not succeed */
	uint64_t over_target_max_us; /* longest time over a latency target */
};

/* Prints every log event of a simulation, with its time and node. */
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

/* Fault injection. */
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

/* Checks. */
void cell_sim_violation(struct cell_sim *sim, const char *format, ...)
	G_GNUC_PRINTF(2, 3);
void cell_sim_check_final(struct cell_sim *sim);

/* Shared by the files of the simulation. */
struct cell_sim_event;
void cell_log_init(struct cell_sim *sim);
void cell_log_finish(struct cell_sim *sim);
void cell_log_put(struct cell_sim *sim, enum rj_cell_topic topic,
		  const char *key, const void *value, size_t length);
extern const struct rj_cell_store_ops cell_log_ops;
extern const struct rj_cell_codec cell_sim_codec;
const char *cell_sim_queue_prefix(const char *queue);
void cell_workers_init(struct cell_sim *sim);
void cell_workers_finish(struct cell_sim *sim);
extern const struct rj_cell_workers_ops cell_workers_ops;
struct cell_fake_run_info cell_fake_run_info_at(struct cell_fake_worker *worker,
						guint index);
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
			   uint32_t run, enum rj_cell_completion outcome);
void cell_check_acknowledged(struct cell_sim *sim,
			     struct cell_fake_worker *worker, const char *name,
			     uint32_t run, enum rj_cell_completion outcome);
struct cell_client_job *cell_check_find_job(struct cell_sim *sim,
					    const char *name, uint32_t *step,
					    uint32_t *index);
bool cell_check_task_is_due(struct cell_client_job *job, const char *name,
			    uint32_t step, bool *runs);
bool cell_check_has_exhausted_attempts(struct cell_client_job *job);

#endif
