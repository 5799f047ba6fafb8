# Processes of one team for the demo and the process tests: stand-ins, entry
# instances, and the load. To be sourced by a bash script with `set -u`, after
# `bin` (the programs) and `work` (a new folder) are set; the script traps EXIT
# with `stop_all`. Every port is chosen by the system. Waiting is for
# conditions; a condition that does not come true in PATIENCE_S ends the script.

PATIENCE_S=${PATIENCE_S:-30}
pids=()
declare -A pid_of caller_address_of peer_address_of domain_of

log_message() { echo "$*" >&2; }
die() { log_message "$0: $*"; exit 1; }

# wait_for WHAT COMMAND...: until the command succeeds.
wait_for() {
	local condition=$1 deadline_s=$((SECONDS + PATIENCE_S))
	shift
	until "$@"; do
		[ "$SECONDS" -lt "$deadline_s" ] || die "waited in vain for $condition"
		sleep 0.05
	done
}

# start NAME COMMAND...: in the background; output in $work/NAME.out and .log.
start_process() {
	local name=$1
	shift
	"$@" >"$work_dir/$name.out" 2>>"$work_dir/$name.log" &
	pid_of[$name]=$!
	pids+=($!)
}

is_listening() { grep -qs '"listening"' "$work_dir/$1.out"; }

# stop NAME SIGNAL: only what this script started, by its pid.
send_signal() { kill -s "$2" "${pid_of[$1]}"; }

# end_of NAME: wait for its end; the status is left in `status`.
wait_for_exit() {
	status=0
	wait "${pid_of[$1]}" || status=$?
	unset "pid_of[$1]"
}

# For EXIT: end what still runs, and keep the logs of a failure.
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

# start_platform NAME [OPTIONS...]: address in `platform`.
start_platform() {
	local name=$1
	shift
	start_process "$name" "$bin/rj-standin" platform --listen 127.0.0.1:0 "$@"
	wait_for "$name" is_listening "$name"
	platform=$(sed -E 's/.*"ip": ?"([^"]+)", ?"port": ?([0-9]+).*/\1:\2/' \
		"$work_dir/$name.out")
}

# start_workers NAME DOMAIN COUNT OPTIONS...: registered at `platform`.
start_workers() {
	local name=$1 domain=$2 count=$3
	shift 3
	start_process "$name" "$bin/rj-standin" workers --listen-ip 127.0.0.1 \
		--name-prefix "$domain" --domain "$domain" --count "$count" \
		--platform "$platform" "$@"
	wait_for "$name" is_listening "$name"
}

# generate TEAM ANSWERS: configuration and tokens in $work/TEAM.
generate() {
	mkdir -p "$work_dir/$1"
	"$bin/radishjunction" generate "$2" -o "$work_dir/$1/config.json" \
		--tokens "$work_dir/$1/tokens.json"
}

# The settings of an instance, with its own ports free and the peers left to
# the platform's list, since nobody knows their ports yet. A script that wants
# other settings sets SETTINGS_EDIT to a sed expression.
generate_settings() {
	"$bin/radishjunction" generate "$2" --settings-for "$3" \
		--peer-key-file "$work_dir/$1/peer.key" |
	sed -E -e '/^  "peers": \[/,/^  \],?$/d' \
		-e 's/"(caller|peer)_address": "[^"]*"/"\1_address": "127.0.0.1:0"/' \
		-e "s/\"platform_address\": \"[^\"]*\"/\"platform_address\": \"$platform\"/" \
		-e "${SETTINGS_EDIT:-}"
}

# register NAME INSTANCE STATE: what the platform does for its instances.
register_instance() {
	local address=${peer_address_of[$1]}
	curl -sf -X PUT "http://$platform/v1/instances/$2" -d "{
		\"role\":\"entry\",\"domain\":\"${domain_of[$1]}\",\"rack\":0,
		\"ip\":\"${address%:*}\",\"port\":${address##*:},
		\"incarnation\":\"0000000000000000\",\"state\":\"$3\"}" >/dev/null
}

# start_instance TEAM ANSWERS INSTANCE: as process TEAM-INSTANCE.
start_instance() {
	local name=$1-$3 settings=$work_dir/$1/$3.json
	generate_settings "$1" "$2" "$3" >"$settings"
	domain_of[$name]=$(sed -nE 's/^  "domain": "([^"]+)".*/\1/p' "$settings")
	start_process "$name" "$bin/radishjunctiond" --settings "$settings"
	wait_for "$name" is_listening "$name"
	caller_address_of[$name]=$(sed -E 's/.*"callers":"([^"]+)".*/\1/' "$work_dir/$name.out")
	peer_address_of[$name]=$(sed -E 's/.*"peers":"([^"]+)".*/\1/' "$work_dir/$name.out")
	register_instance "$name" "$3" live
}

is_ready() { curl -sf "http://${caller_address_of[$1]}/v1/ready" >/dev/null; }

# The addresses of all instances of a team that still run.
running_caller_addresses() {
	local name
	for name in "${!caller_address_of[@]}"; do
		case $name in "$1"-*)
			[ -n "${pid_of[$name]:-}" ] && echo "${caller_address_of[$name]}" ;;
		esac
	done
}

# pin TEAM INSTANCE: whoever follows it listens at its addresses.
pin_addresses() {
	local name=$1-$2 kind address
	for kind in caller peer; do
		address=${caller_address_of[$name]}
		[ "$kind" = caller ] || address=${peer_address_of[$name]}
		sed -i "s/\"${kind}_address\": \"[^\"]*\"/\"${kind}_address\": \"$address\"/" \
			"$work_dir/$1/$2.json"
	done
}

# start_again TEAM INSTANCE PROGRAM: with the settings of before, listed live.
restart_instance() {
	start_process "$1-$2" "$3" --settings "$work_dir/$1/$2.json"
	wait_for "$2" is_listening "$1-$2"
	register_instance "$1-$2" "$2" live
}

# replace TEAM INSTANCE PROGRAM: list it as leaving, stop it gracefully, and
# start PROGRAM with the same settings at its addresses.
replace_instance() {
	local name=$1-$2
	register_instance "$name" "$2" leaving
	send_signal "$name" TERM
	wait_for_exit "$name"
	[ "$status" -eq 0 ] || die "$2 ended with status $status"
	pin_addresses "$1" "$2"
	restart_instance "$1" "$2" "$3"
	wait_for "$2 again" is_ready "$name"
}

# publish TEAM: wait until it is in force at every instance.
publish() {
	"$bin/radishjunction" publish "$work_dir/$1/config.json" \
		--platform "$platform" -i "$(running_caller_addresses "$1" | paste -sd,)" >&2
}

# start_load NAME TEAM PLAN: its line will be in $work/NAME.out.
start_load() {
	local name=$1 team=$2 plan=$3 target options=()
	for target in $(running_caller_addresses "$team"); do
		options+=(--target "$target")
	done
	start_process "$name" "$bin/radishjunction" load --plan "$plan" \
		--tokens "$work_dir/$team/tokens.json" --platform "$platform" \
		"${options[@]}"
}

# metric NAME METRIC: a value of an instance, 0 if it has none yet.
metric_value() {
	local value
	value=$(curl -sf "http://${caller_address_of[$1]}/metrics" |
		grep -F "radishjunction_$2 " | sed 's/.* //')
	echo "${value:-0}"
}

# metric_reaches NAME METRIC VALUE
metric_reaches() { [ "$(metric_value "$1" "$2")" -ge "$3" ]; }

# fault JSON: at the platform stand-in.
set_platform_fault() { curl -sf -X POST "http://$platform/v1/fault" -d "$1" >/dev/null; }

# field FILE NAME: a number of a load's line.
result_field() { sed -nE "s/.*\"$2\":([0-9]+).*/\1/p" "$1"; }
