# Functions of the scripts of this review; to be sourced by a run.sh that has set
# `case_dir` and `record`. Processes are started with the command of deploy/system.toml.
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
cd "$ROOT"
ENTRY=${ENTRY:-target/bin/radishjunction-entry}
WORLD=${WORLD:-target/review-3/rj-world3}
HOST="Host: h.example"
work_dir=$(mktemp -d)
pids=()

# The case could not run.
give_up() {
	echo "could not run: $*" | tee -a "$record"
	exit 2
}
finish() {
	{
		for pid in "${pids[@]}"; do kill -KILL "$pid"; done
		wait
	} 2>/dev/null
	[ -n "${KEEP_DIR:-}" ] && cp "$work_dir"/*.out "$KEEP_DIR"
	rm -rf "$work_dir"
}
trap finish EXIT
: >"$record"
[ -x "$ENTRY" ] && [ -x "$WORLD" ] ||
	give_up "run the build of deploy/system.toml and review/build-3.sh first"

# start_world OPTIONS: the log and the workers; sets `log`.
start_world() {
	"$WORLD" --record "$record" "$@" >"$work_dir/world.out" &
	pids+=($!)
	world_pid=$!
	for _ in $(seq 100); do
		log=$(grep -o '"log":"[^"]*"' "$work_dir/world.out" | cut -d'"' -f4)
		[ -n "$log" ] && return
		sleep 0.05
	done
	give_up "the stand-in does not start"
}

# render NAME: the settings file, as the platform fills in the template. The
# figures are those of sites/vtaq-quotes.toml.
render() {
	sed -e "s/{{NodeName|json}}/\"$1\"/" -e 's/{{Zone|json}}/"z0"/' \
		-e 's/{{ListenAddrs[^}]*}}/"127.0.0.1:0"/' \
		-e 's/{{Ip}}:{{PortRange.0}}/127.0.0.1:0/' \
		-e "s/{{platform.Address|json}}/\"$log\"/" \
		-e 's/{{Limits.CpuShare}}/0.25/' -e 's/{{Limits.Cores}}/1/' \
		-e 's/{{Commands|json}}/"rpc"/' -e 's/{{Hint}}//' \
		-e 's/{{Bounds.GraceS}}/6/' -e 's/{{Bounds.HoldMaxMs}}/6000/' \
		-e 's/{{Bounds.status_s}}/120/' -e 's/{{Bounds.ReclaimMs}}/2900/' \
		-e 's/{{Bounds.RevokeMs}}/5000/' -e 's/{{Bounds.DrainMs}}/2000/' \
		-e 's/{{Bounds.StopMs}}/400/' -e 's/{{Bounds.EvacuateMs}}//' \
		-e 's/{{Limits.MaxFds}}/4100/' -e 's/{{Limits.MemoryMb}}/260/' \
		-e 's/{{Limits.LinkMbps}}/1000.0/' -e 's/{{HeartbeatMs}}/1500/' \
		-e 's/{{Bounds.RestoreMs}}/250/' \
		-e 's/{{platform.RecordBytes}}/262144/' \
		-e 's/{{platform.CallBytes}}/2097152/' \
		-e 's/{{Policies}}/base,drain,config,cost,recover,sched,tenants,platform,advice,upkeep,sharing/' \
		deploy/settings.json >"$work_dir/$1.json"
}

# start_entry NAME: starts an instance; sets port_NAME and pid_NAME.
start_entry() {
	render "$1"
	RADISHJUNCTION_CONFIG="$work_dir/$1.json" "$ENTRY" >"$work_dir/$1.out" &
	pids+=($!)
	disown
	printf -v "pid_$1" %s $!
	local line=""
	for _ in $(seq 200); do
		line=$(grep -m1 '"event":"start"' "$work_dir/$1.out")
		[ -n "$line" ] && break
		sleep 0.05
	done
	[ -n "$line" ] || give_up "instance $1 does not start"
	printf -v "port_$1" %s "$(echo "$line" | grep -o '"callers_port":[0-9]*' | cut -d: -f2)"
	printf -v "ready_$1" %s "$(echo "$line" | grep -o '"ready_port":[0-9]*' | cut -d: -f2)"
}

wait_ready() {
	local ready="ready_$1"
	for _ in $(seq 200); do
		curl -sf -m 1 -o /dev/null "http://127.0.0.1:${!ready}/-/ready" && return
		sleep 0.05
	done
	give_up "instance $1 does not become ready"
}

# owner: the name of the instance that has become the owner last.
owner() {
	grep -H '"event":"own"' "$work_dir"/?.out | sed 's/.*"t_us":\([0-9]*\),"instance":"\([^"]*\)".*/\1 \2/' |
		sort -n | tail -1 | cut -d' ' -f2
}

ctl() { curl -sf -m 2 -o /dev/null -X POST "http://$log/ctl/$1" "${@:2}"; }
# note TEXT: writes a line into the record; no spaces.
note() { ctl "note?$1"; }

# call METHOD NAME PATH KEY [BODY]: a client's call; prints status and body.
call() {
	local port="port_$2"
	curl -s -m 3 -w ' %{http_code}' -X "$1" -H "$HOST" \
		-H "Authorization: Token $4" -H 'Deadline-Ms: 3000' \
		${5:+-H 'Content-Type: application/json' -d "$5"} \
		"http://127.0.0.1:${!port}$3" || true
}

# status_of ANSWER: the HTTP status of what call has printed.
status_of() { echo "${1: -3}"; }

# submit NAME PATH KEY BODY: as clients do, until it is accepted.
submit() {
	local answer
	for _ in $(seq 40); do
		answer=$(call POST "$@")
		note "client_POST_$2_$(status_of "$answer")"
		case $answer in *200) return ;; esac
		sleep 0.5
	done
	give_up "a job is not accepted: $answer"
}
