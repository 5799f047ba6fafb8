/*
 * A small world for the decision core: a virtual clock, several instances of
 * an engine, and fakes of the log, the workers, the peer links and the
 * callers.
 *
 * Life cycle: `simulation_create` makes one as a talloc child and starts its
 * instances, `simulation_run_until` lets time pass, the rest brings faults about;
 * freed with talloc. One seed gives one history. Times are virtual
 * microseconds; each instance's own clock differs from it by a constant, and
 * where `drift_ppm` is set, it and the workers' clocks run fast or slow.
 */
#ifndef SUPPORT_WORLD_H
#define SUPPORT_WORLD_H

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
	uint64_t order; /* events of one time run in the order of making */
	void (*run)(struct simulation *simulation,
		    struct simulation_event *event);
	uint32_t index; /* whatever the event is about */
	uint32_t other;
	uint64_t epoch; /* of the instance or worker; others are dropped */
	void *data;
};

/* Probabilities in thousandths; all 0 without faults. */
struct fault_rates {
	uint32_t append_refused;
	uint32_t append_answer_lost; /* takes effect at once */
	uint32_t append_late; /* answered lost, takes effect later */
	uint32_t read_failed;
	uint32_t call_lost;
	uint32_t call_late; /* takes effect after its timeout */
	uint32_t reply_lost;
	uint32_t reply_truncated; /* lost, with a part of the result */
	uint32_t reply_late; /* after the timeout was told */
	uint32_t reply_duplicated;
	uint32_t reply_mismatched; /* another task's echo under this call */
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
	uint64_t epoch; /* rises with each start and end */
	uint64_t clock_offset_us;
	int64_t drift_ppm; /* its clock runs fast, or slow below 0 */
	uint64_t wake_us; /* of the armed timer */
	bool paused;
	bool stopping;
	uint64_t resumed_us; /* when it last started or went on */
	GQueue deferred; /* events that came while it was paused */
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
	uint64_t end_us; /* when it is done, if let run; else RJ_NEVER_US */
	uint64_t counted_us; /* up to when progress is counted */
	uint64_t progress_us;
	uint64_t work_us; /* progress at its end */
	uint32_t throttle_percent;
	bool fails;
	char result[96];
	bool acknowledged; /* its end has been told; no longer in reports */
	GSList *waiting; /* struct fake_call: answered at the end */
};

struct fake_worker {
	char name[RJ_NAME_BYTES];
	uint32_t index;
	uint32_t domain;
	uint32_t rack;
	uint64_t incarnation;
	struct rj_resources capacity;
	struct rj_resources free;
	GPtrArray *tasks; /* struct fake_task, in order of leases */
	GQueue deferred; /* calls that came while it was paused */
	uint64_t next_token;
	uint64_t timer_us;
	bool down;
	bool paused;
	bool unreachable; /* hears nothing; its own clock runs on */
	bool fails_all;
	bool refuses;
	bool leaving; /* as the platform's list says it, after its lag */
	bool reports_leaving; /* its own answers say it too */
	uint64_t slow_us; /* added to each of its answers */
	int64_t drift_ppm; /* its clock runs fast, or slow below 0 */
	/* The connections that each instance may have, by its last call. */
	uint32_t connections_max[CHECKER_NODES_MAX];
};

struct fake_log {
	GPtrArray *streams[RJ_STREAM_COUNT]; /* struct rj_record */
	uint64_t oldest[RJ_STREAM_COUNT];
	GQueue *readers[RJ_STREAM_COUNT]; /* long polls */
	uint64_t revision; /* by replaying the config stream */
	char config_id[RJ_CONFIG_ID_BYTES];
	char *config_text; /* of that revision, whole */
	GQueue lists; /* snapshots of the instance list, oldest first */
	uint64_t list_lag_us;
	uint64_t slow_us; /* added to each operation */
	bool down;
	bool cut[SIMULATION_DOMAINS_MAX];
	bool cut_node[CHECKER_NODES_MAX]; /* one instance alone */
};

struct fake_link {
	bool wanted;
	bool up;
	bool cut; /* of this pair alone */
	uint64_t up_us; /* since when */
	uint64_t healed_us; /* when a cut that struck it ended */
	uint64_t last_us[2]; /* arrival of the newest message, each way */
	uint64_t epoch;
};

/* One caller's matter: it asks, asks again elsewhere, and looks up. */
struct fake_caller {
	uint32_t intent;
	struct rj_job_spec spec;
	char body[64];
	uint32_t domain;
	uint64_t request_id; /* open one; 0: none */
	uint32_t node; /* that the open request is at */
	uint64_t job_id;
	uint32_t tries;
	uint32_t tries_max;
	uint64_t timeout_us;
	uint64_t first_us;
	uint64_t orphaned_us; /* its instance died; 0: none */
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
	uint32_t drift_ppm; /* the most by which a clock is fast or slow */
	FILE *transcript; /* NULL: none */
	bool brief; /* the transcript is without upkeep */
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
	uint64_t faults; /* how many were brought about */
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

/* What a caller wants. */
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
	bool duplicated; /* the same key at two instances at once */
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
