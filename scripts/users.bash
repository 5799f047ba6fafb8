# Instances of the users' platform as real processes, over a stand-in of it.
# To be sourced by a bash script after `bin` and `work` are set and
# scripts/processes.bash has been sourced.
HOST="Host: h.example"
KEY="Authorization: Token k1"

# render NAME: the settings of one instance, from the template that is used on
# the platform, with every port chosen by the system.
render() {
	sed -e "s/{{NodeName|json}}/\"$1\"/" -e 's/{{Zone|json}}/"z"/' \
		-e 's/{{ListenAddrs[^}]*}}/"127.0.0.1:0"/' \
		-e 's/{{Ip}}:{{PortRange.0}}/127.0.0.1:0/' \
		-e "s/{{platform.Address|json}}/\"$log\"/" \
		-e 's/{{Limits.CpuShare}}/0.25/' -e 's/{{Limits.Cores}}/1/' \
		-e 's/{{Commands|json}}/"rpc"/' -e 's/{{Hint}}//' \
		-e 's/{{Bounds.GraceS}}/6/' \
		-e 's/{{Bounds.HoldMaxMs}}/6000/' \
		-e 's/{{Bounds.status_s}}/120/' \
		-e 's/{{Bounds.ReclaimMs}}/2900/' \
		-e 's/{{Bounds.RevokeMs}}/5000/' \
		-e 's/{{Bounds.DrainMs}}/2000/' \
		-e 's/{{Bounds.StopMs}}/400/' \
		-e 's/{{Bounds.EvacuateMs}}/5000/' \
		-e 's/{{Limits.MaxFds}}/4096/' \
		-e 's/{{Limits.LinkMbps}}/1000/' \
		-e 's/{{HeartbeatMs}}/500/' \
		deploy/settings.json >"$work/$1.json"
}

# port NAME WHICH: where an instance listens.
port() { grep -m1 '"event":"start"' "$work/$1.out" |
	grep -o "\"$2_port\":[0-9]*" | cut -d: -f2; }
is_started() { grep -qs '"event":"start"' "$work/$1.out"; }
is_up() { curl -sf -o "$work/ready" "http://127.0.0.1:$(port "$1" ready)/-/ready"; }
owns() { grep -qs '"event":"own"' "$work/$1.out"; }

start_entry() {
	render "$1"
	start "$1" "$bin/radishjunction-entry" --settings "$work/$1.json"
	wait_for "$1" is_started "$1"
}

# job NUMBER: an id of 16 digits.
job() { printf '%016x' "$1"; }

# submit NUMBER NAME: until it is accepted, as clients do.
submit() {
	curl -sf -m 3 -o "$work/answer" -X POST -H "$HOST" -H "$KEY" \
		-d '{"Spec":"1500","Steps":[{"Count":3,"Cpu":1000,"MemMb":1000,"Gpu":1,"EstimateMs":1500},{"Count":1,"Cpu":1000,"MemMb":1000,"Gpu":2,"EstimateMs":1500,"After":[0]}]}' \
		"http://127.0.0.1:$(port "$2" callers)/p/$(job "$1")"
}

# is_completed NUMBER NAME
is_completed() {
	curl -sf -m 3 -H "$HOST" -H "$KEY" \
		"http://127.0.0.1:$(port "$2" callers)/p/$(job "$1")" |
		grep -q '"State":"completed"'
}

# start_platform_of_users WORKERS: leaves `log` and `workers`.
start_platform_of_users() {
	start standin "$bin/rj-standin-users" --workers "$1"
	wait_for "the stand-in" is_listening standin
	log=$(grep -o '"log":"[^"]*"' "$work/standin.out" | cut -d'"' -f4)
	workers=$(grep -o '"workers":\[.*\]' "$work/standin.out" |
		grep -o '127.0.0.1:[0-9]*')
	curl -sf -o "$work/answer" -X POST -d '{"Version":1,"Routes":[{"Name":"q","Host":"h.example","PathPrefix":"/p/","TimeoutMs":3000,"TargetLatencyMs":1000,"Priority":1,"Service":"render","MaxAttempts":4,"Stretch":3.0}],"Services":[{"Name":"render"}],"Limits":{},"Tenants":[{"Name":"t","ApiKeys":["k1"],"Guaranteed":{"Gpu":8}}]}' \
		"http://$log/standin/config"
}

# ended_well: a line for each task that has ended well, and how often.
ended_well() {
	local worker
	for worker in $workers; do
		curl -sf -X POST -d '{}' "http://$worker/standin/done"
		echo
	done | grep -o '"[0-9a-f]*\.0\.[01]\.[0-9]":[0-9]*'
}
