/*
 * Deterministic simulation around the decision core: a virtual clock, several
 * instances of an engine, and fakes of the log, the workers, the peer links and
 * the callers.
 *
 * Life cycle: `simulation_create` returns a talloc child with its instances
 * started, `simulation_run_until` advances time, the other functions inject
 * faults; freed with talloc. The same seed gives the same history. Times are
 * virtual microseconds. Each instance's clock differs from them by a constant
 * offset, and with `drift_ppm` its clock and those of the workers run fast or
 * slow.
 */
#ifndef SUPPORT_SIMULATION_H
#define SUPPORT_SIMULATION_H

#include <glib.h>
#include <stdio.h>

#include "support/checker.h"
#include "support/engine.h"

#define SIMULATION_DOMAINS_MAX 3
#define SIMULATION_PPM 1000000
#define SIMULATION_RETENTION_US (600 * RJ_US_PER_S)
#define SIMULATION_KEY_LIFE_S 120
#define SIMULATION_GUARANTEED_ACCOUNT "hub"
#define SIMULATION_GUARANTEED_TASKS 4
#define SIMULATION_OTHER_ACCOUNT "guest"

struct simulation;

struct simulation_event {
	uint64_t at_us;
	uint64_t order; /* events of the same time run in order of creation */
	void (*run)(struct simulation *simulation,
		    struct simulation_event *event);
	uint32_t index; /* the instance or worker concerned */
	uint32_t other;
	uint64_t epoch; /* of the target; dropped if it has changed */
	void *data;
};

/* Probabilities in thousandths; all 0 without faults. */
struct fault_rates {
	uint32_t append_refused;
	uint32_t append_answer_lost; /* takes effect immediately */
	uint32_t append_late; /* reported lost, takes effect later */
	uint32_t read_failed;
	uint32_t call_lost;
	uint32_t call_late; /* may take effect after its timeout */
	uint32_t reply_lost;
	uint32_t reply_truncated; /* reported lost, with part of the result */
	uint32_t reply_late; /* after the timeout was reported */
	uint32_t reply_duplicated;
	uint32_t reply_mismatched; /* echoes another task than the called one */
	uint32_t peer_lost;
	uint32_t peer_late;
};

/* An instance of the engine. */
struct node {
	char name[RJ_NAME_BYTES];
	uint32_t index;
	uint32_t domain;
	struct engine *engine; /* NULL: killed or exited */
	struct rj_actions actions;
	uint64_t incarnation;
	uint64_t epoch; /* incremented by each start and end */
	uint64_t clock_offset_us;
	int64_t drift_ppm; /* its clock runs fast, or slow below 0 */
	uint64_t wake_us; /* of the armed timer */
	bool paused;
	bool stopping;
	uint64_t resumed_us; /* last start or resumption */
	GQueue deferred; /* events that arrived while it was paused */
};

struct fake_task {
	struct rj_attempt attempt;
	uint64_t holder;
	uint32_t member;
	uint32_t gang;
	uint32_t intent;
	uint64_t token;
	char account[RJ_NAME_BYTES];
	char class_name[RJ_NAME_BYTES];
	enum rj_task_state state;
	struct rj_resources each;
	uint64_t lease_until_us;
	uint64_t end_us; /* completion time; RJ_NEVER_US while throttled to 0 */
	uint64_t counted_us; /* time up to which progress is counted */
	uint64_t progress_us;
	uint64_t work_us; /* progress at completion */
	uint32_t throttle_percent;
	bool fails;
	char result[96];
	bool acknowledged; /* completion was delivered; left out of reports */
	GSList *waiting; /* struct fake_call answered on completion */
};

struct fake_worker {
	char name[RJ_NAME_BYTES];
	uint32_t index;
	uint32_t domain;
	uint32_t rack;
	uint64_t incarnation;
	struct rj_resources capacity;
	struct rj_resources free;
	GPtrArray *tasks; /* struct fake_task, in order of their leases */
	GQueue deferred; /* calls that arrived while it was paused */
	uint64_t next_token;
	uint64_t timer_us;
	bool down;
	bool paused;
	bool unreachable; /* receives no call; its clock runs on */
	bool fails_all;
	bool refuses;
	bool leaving; /* shown in the platform's list after its lag */
	bool reports_leaving; /* stated in its own replies too */
	uint64_t slow_us; /* delay added to each of its replies */
	int64_t drift_ppm; /* its clock runs fast, or slow below 0 */
	/* Connection limit of each instance, from its last call. */
	uint32_t connections_max[CHECKER_NODES_MAX];
};

struct fake_log {
	GPtrArray *streams[RJ_STREAM_COUNT]; /* struct rj_record */
	uint64_t oldest[RJ_STREAM_COUNT];
	GQueue *readers[RJ_STREAM_COUNT]; /* long polls */
	uint64_t revision; /* from replaying the config stream */
	char config_id[RJ_CONFIG_ID_BYTES];
	char *config_text; /* complete text of that revision */
	GQueue lists; /* snapshots of the instance list, oldest first */
	uint64_t list_lag_us;
	uint64_t slow_us; /* delay added to each operation */
	bool down;
	bool cut[SIMULATION_DOMAINS_MAX];
	bool cut_node[CHECKER_NODES_MAX]; /* single instances */
};

struct fake_link {
	bool wanted;
	bool up;
	bool cut; /* this link alone */
	uint64_t up_us; /* when it came up */
	uint64_t healed_us; /* end of the last cut that affected it */
	uint64_t last_us[2]; /* arrival of the newest message, each way */
	uint64_t epoch;
};

/* A caller with one job: it submits, retries at other instances and polls
 * the outcome. */
struct fake_caller {
	uint32_t intent;
	struct rj_job_spec spec;
	char body[64];
	uint32_t domain;
	uint64_t request_id; /* outstanding request; 0: none */
	uint32_t node; /* instance of the outstanding request */
	uint64_t job_id;
	uint32_t tries;
	uint32_t tries_max;
	uint64_t timeout_us;
	uint64_t first_us;
	uint64_t orphaned_us; /* first end of its instance; 0: none */
	uint64_t served_us; /* first done or accepted; RJ_NEVER_US: none */
	bool cancels;
	bool ended;
};

struct simulation_options {
	const struct engine_ops *engine;
	uint64_t seed;
	uint32_t domains;
	uint32_t nodes_per_domain;
	uint32_t racks_per_domain;
	uint32_t workers_per_rack;
	uint64_t retention_us; /* 0: SIMULATION_RETENTION_US */
	uint32_t key_life_s; /* 0: SIMULATION_KEY_LIFE_S */
	uint32_t drift_ppm; /* largest clock drift, in either direction */
	FILE *transcript; /* NULL: none */
	bool brief; /* leave periodic traffic out of the transcript */
};

struct simulation {
	struct simulation_options options;
	uint64_t now_us;
	uint64_t random;
	uint64_t next_order;
	uint64_t next_request;
	uint32_t next_key;
	GSequence *queue;
	struct checker checker;
	struct fault_rates rates;
	uint64_t faults; /* faults injected so far */
	bool domain_cut[SIMULATION_DOMAINS_MAX]; /* from the other domains */
	uint64_t log_retention_us;
	struct node nodes[CHECKER_NODES_MAX];
	uint32_t node_count;
	struct fake_worker workers[CHECKER_WORKERS_MAX];
	uint32_t worker_count;
	struct fake_log log;
	struct fake_link links[CHECKER_NODES_MAX][CHECKER_NODES_MAX];
	GPtrArray *callers; /* struct fake_caller */
};

struct simulation *simulation_create(void *mem,
				     const struct simulation_options *options);
void simulation_run_until(struct simulation *simulation, uint64_t until_us);
uint64_t simulation_random(struct simulation *simulation, uint64_t below);
bool simulation_chance(struct simulation *simulation, uint32_t thousandths);
int64_t simulation_drift_ppm(struct simulation *simulation);
struct simulation_event *
simulation_schedule(struct simulation *simulation, uint64_t delay_us,
		    void (*run)(struct simulation *simulation,
				struct simulation_event *event));
void simulation_trace(struct simulation *simulation, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
bool simulation_domains_connected(const struct simulation *simulation,
				  uint32_t a, uint32_t b);
uint64_t simulation_delay_us(struct simulation *simulation, uint32_t from,
			     uint32_t to);
void simulation_reachability_changed(struct simulation *simulation);
char *simulation_config_text(const struct simulation *simulation, void *mem,
			     uint32_t variation);

void node_start(struct simulation *simulation, uint32_t index);
void node_kill(struct simulation *simulation, uint32_t index);
void node_pause(struct simulation *simulation, uint32_t index, bool paused);
void node_stop(struct simulation *simulation, uint32_t index);
void node_deliver_after(struct simulation *simulation, struct node *node,
			uint64_t delay_us, struct rj_event *event);
struct rj_event *node_event(struct simulation *simulation,
			    enum rj_event_kind kind);

void fake_log_init(struct simulation *simulation);
void fake_log_finish(struct simulation *simulation);
void fake_log_append(struct simulation *simulation, struct node *node,
		     const struct rj_append *append);
void fake_log_read(struct simulation *simulation, struct node *node,
		   const struct rj_read *read);
void fake_log_list(struct simulation *simulation, struct node *node);
void fake_log_publish(struct simulation *simulation, uint64_t base,
		      const char *id, const char *text);
void fake_log_publish_change(struct simulation *simulation, uint64_t base,
			     const char *id, const char *text);
bool fake_log_reachable(const struct simulation *simulation,
			const struct node *node);

void fake_worker_init(struct simulation *simulation, uint32_t index);
void fake_worker_finish(struct simulation *simulation, uint32_t index);
void fake_worker_call(struct simulation *simulation, struct node *node,
		      const struct rj_worker_call *call);
void fake_worker_pause(struct simulation *simulation, uint32_t index,
		       bool paused);
void fake_worker_kill(struct simulation *simulation, uint32_t index);
void fake_worker_restart(struct simulation *simulation, uint32_t index);
struct fake_worker *fake_worker_find(struct simulation *simulation,
				     const char *name);

void fake_peers_init(struct simulation *simulation);
void fake_peers_connect(struct simulation *simulation, struct node *node,
			const char *name);
void fake_peers_drop(struct simulation *simulation, struct node *node,
		     const char *name);
void fake_peers_send(struct simulation *simulation, struct node *node,
		     const char *name, const struct rj_peer_message *message);
void fake_peers_node_ended(struct simulation *simulation, struct node *node);
void fake_peers_contact(const struct simulation *simulation, uint32_t node,
			uint64_t contact_us[CHECKER_NODES_MAX]);
void fake_peers_heal(struct simulation *simulation);

/* The job and the behaviour of a fake caller. */
struct fake_caller_options {
	const char *class_name;
	const char *account;
	uint32_t domain;
	uint32_t key; /* 0: none */
	uint32_t tasks;
	uint32_t accelerators; /* of each task */
	uint64_t run_us;
	uint64_t deadline_us; /* 0: none */
	bool idempotent;
	bool adjacent;
	bool guaranteed;
	bool fails;
	bool waits;
	bool cancels;
	bool duplicated; /* submits the key to two instances concurrently */
};

struct fake_caller *fake_caller_add(struct simulation *simulation,
				    uint64_t delay_us,
				    const struct fake_caller_options *options);
struct rj_event *fake_caller_event(struct simulation *simulation,
				   const struct fake_caller *caller,
				   const struct node *node,
				   enum rj_request_op op, uint64_t request_id);
void fake_caller_answer(struct simulation *simulation, struct node *node,
			uint64_t request_id, const struct rj_answer *answer);
void fake_caller_node_ended(struct simulation *simulation, struct node *node);

#endif
