# Functions for tests of clients that don't behave: a crowd of connections holds
# on to one process while an ordinary request has to be answered. To be sourced
# with the build folder as $1. The process believes that it runs on a machine of
# MACHINE_MB with DESCRIPTORS; both are bounds of the tests.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
bin=$(cd "$1" && pwd)/bin
work_dir=$(mktemp -d)
PATIENCE_S=40
MACHINE_MB=64
DESCRIPTORS=512
# The platform reserves these of the descriptors for files.
FILE_DESCRIPTORS=200
LEGAL_BODY_BYTES=262144
. scripts/processes.bash
. scripts/users.bash
trap stop_all EXIT

# start_crowd PORT KIND COUNT BYTES [PATH]: returns once the crowd can send no
# more; it holds its connections open.
start_crowd() {
	start_process crowd "$bin/rj-crowd" --port "$1" --kind "$2" \
		--count "$3" --body "$4" --path "${5:-/p/00000000000000ff}"
	wait_for "the crowd to settle" is_settled
}
is_settled() { grep -qs '"settled"' "$work_dir/crowd.out"; }

# start_small_entry: starts an instance on a small machine.
start_small_entry() {
	start_users_platform 2
	start_entry entry
	wait_for "the instance" entry_is_ready entry
}

# expect_within_machine NAME: the process lives, and has kept to its memory and
# descriptors.
expect_within_machine() {
	local pid=${pid_of[$1]} peak_kb sockets
	kill -0 "$pid" 2>/dev/null || die "$1 has ended"
	peak_kb=$(sed -nE 's/^VmHWM:\s+([0-9]+) kB/\1/p' "/proc/$pid/status")
	[ "$peak_kb" -le $((MACHINE_MB * 1024)) ] ||
		die "$1 took $peak_kb kB on a machine of $MACHINE_MB MB"
	sockets=$(find "/proc/$pid/fd" -lname 'socket:*' 2>/dev/null | wc -l)
	[ "$sockets" -le $((DESCRIPTORS - FILE_DESCRIPTORS)) ] ||
		die "$1 holds $sockets sockets, $((DESCRIPTORS - FILE_DESCRIPTORS)) are allowed"
}

# expect_crowd_borne KIND COUNT BYTES: an instance stays within its machine and
# answers an ordinary request while the crowd holds on.
expect_crowd_borne() {
	start_small_entry
	start_crowd "$(listen_port entry callers)" "$@"
	wait_for "an ordinary request to be accepted" submit_job 1 entry
	expect_within_machine entry
}
