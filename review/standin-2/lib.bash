# Functions of the review's scripts. To be sourced by a bash script with
# `set -u` that has set `here`, the folder of the case, and `record`, its record.txt.
cd "$here/../.."
bin=target/bin
work=$(mktemp -d)
: >"$record"
declare -A pid_of port_of
began_ms=$(date +%s%3N)

now_ms() { echo $(($(date +%s%3N) - began_ms)); }
note() { echo "$(now_ms) ms: $*" | tee -a "$record"; }
stop_all() {
	local pid
	for pid in "${pid_of[@]}"; do
		kill -s CONT "$pid" 2>/dev/null
		kill -s KILL "$pid" 2>/dev/null
		wait "$pid" 2>/dev/null
	done
	rm -rf "$work"
}
trap stop_all EXIT
cannot_run() {
	note "could not run: $*"
	exit 2
}
# wait_for SECONDS WHAT COMMAND...
wait_for() {
	local end=$((SECONDS + $1)) what=$2
	shift 2
	until "$@"; do
		[ "$SECONDS" -lt "$end" ] || cannot_run "timed out waiting for $what"
		sleep 0.05
	done
}
start() {
	local name=$1
	shift
	"$@" >"$work/$name.out" 2>"$work/$name.err" &
	pid_of[$name]=$!
}

# publish STORE: a configuration. Its queues are q (priority 1), urgent (0) and
# batch (2); its tenants are t and u.
publish() {
	local route='"Host":"h.example","TimeoutMs":3000,"TargetLatencyMs":1000,"Service":"render","MaxAttempts":4,"Stretch":3.0'
	curl -sf -o /dev/null -X POST "http://$1/standin/config" -d "{\"Version\":1,
\"Routes\":[{\"Name\":\"q\",\"PathPrefix\":\"/p/\",\"Priority\":1,$route},
{\"Name\":\"urgent\",\"PathPrefix\":\"/urgent/\",\"Priority\":0,$route},
{\"Name\":\"batch\",\"PathPrefix\":\"/batch/\",\"Priority\":2,$route}],
\"Services\":[{\"Name\":\"render\"}],\"Limits\":{},
\"Tenants\":[{\"Name\":\"t\",\"ApiKeys\":[\"k1\"],\"Guaranteed\":{\"Gpu\":8}},
{\"Name\":\"u\",\"ApiKeys\":[\"k2\"],\"Guaranteed\":{\"Gpu\":8}}]}" ||
		cannot_run "no configuration"
}

# start_platform WORKERS: the project's stand-in and a configuration.
start_platform() {
	start standin $bin/rj-standin-users --workers "$1" --events
	wait_for 10 "the stand-in" grep -qs listening "$work/standin.out"
	store=$(grep -o '"log":"[^"]*"' "$work/standin.out" | cut -d'"' -f4)
	workers=$(grep -o '"workers":\[.*\]' "$work/standin.out" | grep -o '127.0.0.1:[0-9]*')
	publish "$store"
}

# start_entry NAME STORE: an instance, with the settings template of the
# deploy file and the bounds of a small deployment (vtaq-quotes).
start_entry() {
	sed -e "s/{{NodeName|json}}/\"$1\"/" -e 's/{{Zone|json}}/"z"/' \
		-e 's/{{ListenAddrs[^}]*}}/"127.0.0.1:0"/' \
		-e 's/{{Ip}}:{{PortRange.0}}/127.0.0.1:0/' \
		-e "s/{{platform.Address|json}}/\"$2\"/" \
		-e 's/{{Limits.CpuShare}}/0.25/' -e 's/{{Limits.Cores}}/1/' \
		-e 's/{{Commands|json}}/"rpc"/' -e 's/{{Hint}}//' \
		-e 's/{{Bounds.GraceS}}/6/' -e 's/{{Bounds.HoldMaxMs}}/6000/' \
		-e 's/{{Bounds.status_s}}/120/' -e 's/{{Bounds.ReclaimMs}}/2900/' \
		-e 's/{{Bounds.RevokeMs}}/5000/' -e 's/{{Bounds.DrainMs}}/2000/' \
		-e 's/{{Bounds.StopMs}}/400/' -e 's/{{Bounds.EvacuateMs}}//' \
		-e 's/{{Limits.MaxFds}}/4100/' -e 's/{{Limits.LinkMbps}}/1000/' \
		-e 's/{{HeartbeatMs}}/500/' -e 's/{{Bounds.RestoreMs}}/250/' \
		-e 's/{{platform.RecordBytes}}/262144/' \
		-e 's/{{platform.CallBytes}}/2097152/' \
		-e 's/{{Policies}}/base,drain,config,cost,recover,sched,tenants,platform,advice,upkeep,sharing/' \
		deploy/settings.json >"$work/$1.json"
	RADISHJUNCTION_CONFIG="$work/$1.json" start "$1" $bin/radishjunction-entry
	wait_for 10 "$1" grep -qs '"event":"start"' "$work/$1.out"
	port_of[$1]=$(grep -m1 -o '"callers_port":[0-9]*' "$work/$1.out" | cut -d: -f2)
	port_of[$1-ready]=$(grep -m1 -o '"ready_port":[0-9]*' "$work/$1.out" | cut -d: -f2)
}
is_ready() { curl -sf -o /dev/null "http://127.0.0.1:${port_of[$1-ready]}/-/ready"; }
is_owner() { grep -qs '"event":"own"' "$work/$1.out"; }

# call METHOD NAME ID [BODY]: sets `status` and `answer`. `prefix` and `key` are
# those of a queue and a tenant.
prefix=/p/
key=k1
call() {
	note "sent: $1 $prefix$3 to $2 ${4:-}"
	status=$(curl -s -m 4 -o "$work/answer" -w '%{http_code}' -X "$1" \
		-H 'Host: h.example' -H "Authorization: Token $key" \
		-H 'Deadline-Ms: 3000' ${4:+-d "$4"} \
		"http://127.0.0.1:${port_of[$2]}$prefix$3")
	answer=$(cat "$work/answer")
	note "answered: $status $answer"
}
