# Functions for the demo, the benchmarks and the process tests that run a team
# as real processes: stand-ins, entry instances, and the load generator. To be
# sourced by a bash script with `set -u` that has set `bin` (folder of the
# programs) and `work_dir` (a new folder) and traps EXIT with `stop_all`. The
# system assigns all ports. Scripts wait for conditions instead of sleeping; a
# condition that does not hold within PATIENCE_S seconds ends the script.

PATIENCE_S=${PATIENCE_S:-30}
pids=()
declare -A pid_of caller_address_of peer_address_of domain_of

log_message() { echo "$*" >&2; }
die() { log_message "$0: $*"; exit 1; }

# wait_for CONDITION COMMAND...: repeats the command until it succeeds.
# CONDITION names it in the error message.
wait_for() {
	local condition=$1 deadline_s=$((SECONDS + PATIENCE_S))
	shift
	until "$@"; do
		[ "$SECONDS" -lt "$deadline_s" ] ||
			die "timed out ($PATIENCE_S s) waiting for $condition"
		sleep 0.05
	done
}

# start_process NAME COMMAND...: runs the command in the background; standard
# output goes to $work_dir/NAME.out, standard error to $work_dir/NAME.log.
start_process() {
	local name=$1
	shift
	"$@" >"$work_dir/$name.out" 2>>"$work_dir/$name.log" &
	pid_of[$name]=$!
	pids+=($!)
}

is_listening() { grep -qs '"listening"' "$work_dir/$1.out"; }

# send_signal NAME SIGNAL: to a process that start_process started.
send_signal() { kill -s "$2" "${pid_of[$1]}"; }

# wait_for_exit NAME: waits for the process and sets `status` to its exit
# status.
wait_for_exit() {
	status=0
	wait "${pid_of[$1]}" || status=$?
	unset "pid_of[$1]"
}

# Trap for EXIT: kills the processes that still run; keeps `work_dir` with the
# logs if the script failed.
stop_all() {
	local result=$? name
	trap - EXIT
	set +e
	for name in "${!pid_of[@]}"; do
		kill -s CONT "${pid_of[$name]}" 2>/dev/null
		kill -s KILL "${pid_of[$name]}" 2>/dev/null
		wait "${pid_of[$name]}" 2>/dev/null
	done
	if [ "$result" -eq 0 ]; then
		rm -rf "$work_dir"
	else
		log_message "$0: failed with $result; logs are in $work_dir"
	fi
	exit "$result"
}

# start_platform NAME [OPTIONS...]: starts the platform stand-in and sets
# `platform` to its address.
start_platform() {
	local name=$1
	shift
	start_process "$name" "$bin/rj-standin" platform --listen 127.0.0.1:0 "$@"
	wait_for "$name" is_listening "$name"
	platform=$(sed -E 's/.*"ip": ?"([^"]+)", ?"port": ?([0-9]+).*/\1:\2/' \
		"$work_dir/$name.out")
}

# start_workers NAME DOMAIN COUNT OPTIONS...: starts worker stand-ins that
# register at `platform`.
start_workers() {
	local name=$1 domain=$2 count=$3
	shift 3
	start_process "$name" "$bin/rj-standin" workers --listen-ip 127.0.0.1 \
		--name-prefix "$domain" --domain "$domain" --count "$count" \
		--platform "$platform" "$@"
	wait_for "$name" is_listening "$name"
}

# generate TEAM ANSWERS: writes the configuration and tokens to $work_dir/TEAM.
generate() {
	mkdir -p "$work_dir/$1"
	"$bin/radishjunction" generate "$2" -o "$work_dir/$1/config.json" \
		--tokens "$work_dir/$1/tokens.json"
}

# generate_settings TEAM ANSWERS INSTANCE: prints the settings of an instance
# with ports assigned by the system and without peers, whose ports are not known
# yet: the instance gets them from the platform's list. A script may set
# SETTINGS_EDIT to a sed expression that changes the settings.
generate_settings() {
	"$bin/radishjunction" generate "$2" --settings-for "$3" \
		--peer-key-file "$work_dir/$1/peer.key" |
	sed -E -e '/^  "peers": \[/,/^  \],?$/d' \
		-e 's/"(caller|peer)_address": "[^"]*"/"\1_address": "127.0.0.1:0"/' \
		-e "s/\"platform_address\": \"[^\"]*\"/\"platform_address\": \"$platform\"/" \
		-e "${SETTINGS_EDIT:-}"
}

# register_instance NAME INSTANCE STATE: lists the instance at the platform
# stand-in, as the real platform does itself.
register_instance() {
	local address=${peer_address_of[$1]}
	curl -sf -X PUT "http://$platform/v1/instances/$2" -d "{
		\"role\":\"entry\",\"domain\":\"${domain_of[$1]}\",\"rack\":0,
		\"ip\":\"${address%:*}\",\"port\":${address##*:},
		\"incarnation\":\"0000000000000000\",\"state\":\"$3\"}" >/dev/null
}

# start_instance TEAM ANSWERS INSTANCE: starts it as process TEAM-INSTANCE and
# lists it as live.
start_instance() {
	local name=$1-$3 settings=$work_dir/$1/$3.json
	generate_settings "$1" "$2" "$3" >"$settings"
	domain_of[$name]=$(sed -nE 's/^  "domain": "([^"]+)".*/\1/p' "$settings")
	start_process "$name" "$bin/radishjunctiond" --settings "$settings"
	wait_for "$name" is_listening "$name"
	caller_address_of[$name]=$(
		sed -E 's/.*"callers":"([^"]+)".*/\1/' "$work_dir/$name.out")
	peer_address_of[$name]=$(
		sed -E 's/.*"peers":"([^"]+)".*/\1/' "$work_dir/$name.out")
	register_instance "$name" "$3" live
}

is_ready() { curl -sf "http://${caller_address_of[$1]}/v1/ready" >/dev/null; }

# running_caller_addresses TEAM: prints the address for callers of each running
# instance of the team.
running_caller_addresses() {
	local name
	for name in "${!caller_address_of[@]}"; do
		case $name in "$1"-*)
			[ -n "${pid_of[$name]:-}" ] &&
				echo "${caller_address_of[$name]}" ;;
		esac
	done
}

# pin_addresses TEAM INSTANCE: writes its current addresses to its settings, so
# that the next process with these settings listens there.
pin_addresses() {
	local name=$1-$2 kind address
	for kind in caller peer; do
		address=${caller_address_of[$name]}
		[ "$kind" = caller ] || address=${peer_address_of[$name]}
		sed -i "s/\"${kind}_address\": \"[^\"]*\"/\"${kind}_address\": \"$address\"/" \
			"$work_dir/$1/$2.json"
	done
}

# restart_instance TEAM INSTANCE PROGRAM: starts PROGRAM with the existing
# settings of the instance and lists it as live.
restart_instance() {
	start_process "$1-$2" "$3" --settings "$work_dir/$1/$2.json"
	wait_for "$2" is_listening "$1-$2"
	register_instance "$1-$2" "$2" live
}

# replace_instance TEAM INSTANCE PROGRAM: lists it as leaving, stops it
# gracefully, and starts PROGRAM with the same settings and addresses.
replace_instance() {
	local name=$1-$2
	register_instance "$name" "$2" leaving
	send_signal "$name" TERM
	wait_for_exit "$name"
	[ "$status" -eq 0 ] || die "$2 exited with status $status"
	pin_addresses "$1" "$2"
	restart_instance "$1" "$2" "$3"
	wait_for "$2 again" is_ready "$name"
}

# publish TEAM: publishes its configuration and waits until it is in force at
# every running instance.
publish() {
	"$bin/radishjunction" publish "$work_dir/$1/config.json" \
		--platform "$platform" \
		-i "$(running_caller_addresses "$1" | paste -sd,)" >&2
}

# start_load NAME TEAM PLAN: starts the load generator, which prints its result
# line to $work_dir/NAME.out when it exits.
start_load() {
	local name=$1 team=$2 plan=$3 target options=()
	for target in $(running_caller_addresses "$team"); do
		options+=(--target "$target")
	done
	start_process "$name" "$bin/radishjunction" load --plan "$plan" \
		--tokens "$work_dir/$team/tokens.json" --platform "$platform" \
		"${options[@]}"
}

# metric_value NAME METRIC: prints a metric of an instance, 0 if it is missing.
metric_value() {
	local value
	value=$(curl -sf "http://${caller_address_of[$1]}/metrics" |
		grep -F "radishjunction_$2 " | sed 's/.* //')
	echo "${value:-0}"
}

# metric_reaches NAME METRIC VALUE: whether the metric is at least VALUE.
metric_reaches() { [ "$(metric_value "$1" "$2")" -ge "$3" ]; }

# set_platform_fault JSON: changes the faults of the platform stand-in.
set_platform_fault() {
	curl -sf -X POST "http://$platform/v1/fault" -d "$1" >/dev/null
}

# result_field FILE NAME: prints a numeric field of a load's result line.
result_field() { sed -nE "s/.*\"$2\":([0-9]+).*/\1/p" "$1"; }
