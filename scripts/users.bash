# Functions that run instances for the users' platform as real processes with a
# stand-in of that platform. To be sourced after scripts/processes.bash by a
# bash script that has set `bin` and `work_dir`.
HOST="Host: h.example"
KEY="Authorization: Token k1"

# render_settings NAME: writes the settings of an instance from the template
# that the platform uses, with ports assigned by the system.
render_settings() {
	sed -e "s/{{NodeName|json}}/\"$1\"/" -e 's/{{Zone|json}}/"z"/' \
		-e 's/{{ListenAddrs[^}]*}}/"127.0.0.1:0"/' \
		-e 's/{{Ip}}:{{PortRange.0}}/127.0.0.1:0/' \
		-e "s/{{platform.Address|json}}/\"$log_address\"/" \
		-e 's/{{Limits.CpuShare}}/0.25/' -e 's/{{Limits.Cores}}/1/' \
		-e 's/{{Commands|json}}/"rpc"/' -e 's/{{Hint}}//' \
		-e "s/{{Bounds.GraceS}}/${GRACE_S:-6}/" \
		-e "s/{{Bounds.HoldMaxMs}}/${HOLD_MAX_MS:-6000}/" \
		-e 's/{{Bounds.status_s}}/120/' \
		-e 's/{{Bounds.ReclaimMs}}/2900/' \
		-e 's/{{Bounds.RevokeMs}}/5000/' \
		-e 's/{{Bounds.DrainMs}}/2000/' \
		-e 's/{{Bounds.StopMs}}/400/' \
		-e 's/{{Bounds.EvacuateMs}}/5000/' \
		-e "s/{{Limits.MaxFds}}/${DESCRIPTORS:-4096}/" \
		-e "s/{{Limits.MemoryMb}}/${MACHINE_MB:-260}/" \
		-e 's/{{Limits.LinkMbps}}/1000/' \
		-e "s/{{HeartbeatMs}}/${HEARTBEAT_MS:-500}/" \
		-e 's/{{Bounds.RestoreMs}}/300/' \
		-e 's/{{platform.RecordBytes}}/262144/' \
		-e 's/{{platform.CallBytes}}/2097152/' \
		-e 's/{{Policies}}/health,tenants/' \
		deploy/settings.json >"$work_dir/$1.json"
}

# listen_port NAME KIND: prints the port for KIND (callers, ready or metrics)
# from the instance's start event.
listen_port() {
	grep -m1 '"event":"start"' "$work_dir/$1.out" |
		grep -o "\"$2_port\":[0-9]*" | cut -d: -f2
}
is_started() { grep -qs '"event":"start"' "$work_dir/$1.out"; }
entry_is_ready() {
	curl -sf -o "$work_dir/ready" \
		"http://127.0.0.1:$(listen_port "$1" ready)/-/ready"
}
# Whether the instance has become owner since its start.
is_owner() { grep -qs '"event":"own"' "$work_dir/$1.out"; }

start_entry() {
	render_settings "$1"
	start_process "$1" "$bin/radishjunction-entry" --settings "$work_dir/$1.json"
	wait_for "$1" is_started "$1"
}

# job_id NUMBER: prints the number as a job id of 16 hexadecimal digits.
job_id() { printf '%016x' "$1"; }

# print_request METHOD NUMBER BODY: prints a request for a job as it is sent.
print_request() {
	printf '%s /p/%s HTTP/1.1\r\n%s\r\n%s\r\nContent-Length: %d\r\n\r\n%s' \
		"$1" "$(job_id "$2")" "$HOST" "$KEY" "${#3}" "$3"
}

# submit_job NUMBER NAME: submits a job with two steps at an instance; fails if
# it is not accepted. Used with wait_for, so that it is retried as clients do.
submit_job() {
	curl -sf -m 3 -o "$work_dir/answer" -X POST -H "$HOST" -H "$KEY" \
		-d '{"Spec":"1500","Steps":[{"Count":3,"Cpu":1000,"MemMb":1000,"Gpu":1,"EstimateMs":1500},{"Count":1,"Cpu":1000,"MemMb":1000,"Gpu":2,"EstimateMs":1500,"After":[0]}]}' \
		"http://127.0.0.1:$(listen_port "$2" callers)/p/$(job_id "$1")"
}

# job_is_completed NUMBER NAME: whether the instance reports the job as
# completed.
job_is_completed() {
	curl -sf -m 3 -H "$HOST" -H "$KEY" \
		"http://127.0.0.1:$(listen_port "$2" callers)/p/$(job_id "$1")" |
		grep -q '"State":"completed"'
}

# start_users_platform WORKERS: starts the stand-in with that many workers and
# publishes a configuration; sets `log_address` and `worker_addresses`.
start_users_platform() {
	start_process standin "$bin/rj-standin-users" --workers "$1" --events \
		--lease-max-ms "${HOLD_MAX_MS:-6000}" \
		--heartbeat-ms "${HEARTBEAT_MS:-500}"
	wait_for "the stand-in" is_listening standin
	log_address=$(grep -o '"log":"[^"]*"' "$work_dir/standin.out" | cut -d'"' -f4)
	worker_addresses=$(grep -o '"workers":\[.*\]' "$work_dir/standin.out" |
		grep -o '127.0.0.1:[0-9]*')
	curl -sf -o "$work_dir/answer" -X POST -d '{"Version":1,"Routes":[{"Name":"q","Host":"h.example","PathPrefix":"/p/","TimeoutMs":3000,"TargetLatencyMs":1000,"Priority":1,"Service":"render","MaxAttempts":4,"Stretch":3.0}],"Services":[{"Name":"render"}],"Limits":{'${LIMITS:-}'},"Tenants":[{"Name":"t","ApiKeys":["k1"],"Guaranteed":{"Gpu":8}}]}' \
		"http://$log_address/standin/config"
}

# count_completed_runs: prints one line for each worker and task, with the
# number of runs of the task that completed there.
count_completed_runs() {
	local worker
	for worker in $worker_addresses; do
		curl -sf -X POST -d '{}' "http://$worker/standin/done"
		echo
	done | grep -o '"[0-9a-f]*\.0\.[01]\.[0-9]":[0-9]*'
}
