# Starts a small team for a process test: the platform stand-in, one rack of
# four workers, and three instances with a configuration in force. To be
# sourced with the build folder as $1.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
bin=$(cd "$1" && pwd)/bin
work_dir=$(mktemp -d)
PATIENCE_S=20
. scripts/processes.bash
trap stop_all EXIT
answers=test/team/answers.json
start_platform platform --list-lag-ms 100
start_workers near near 4 --per-rack 4 --slots 8 --accelerators 8 \
	--cores 64 --memory-mb 65536
generate team "$answers"
for i in 1 2 3; do
	start_instance team "$answers" "entry-$i"
done
publish team
for i in 1 2 3; do
	wait_for "entry-$i" is_ready "team-entry-$i"
done

# expect_result NAME FIELD VALUE: checks a field of a load's result line.
expect_result() {
	local got
	got=$(result_field "$work_dir/$1.out" "$2")
	[ "$got" = "$3" ] || die "$1: $2 is ${got:-missing}, expected $3: $(
		cat "$work_dir/$1.out" "$work_dir/$1.log")"
}

# expect_consistent_results NAME: no job was lost, duplicated or answered
# wrongly.
expect_consistent_results() {
	expect_result "$1" lost 0
	expect_result "$1" doubled 0
	expect_result "$1" wrong_answer 0
}
