#!/usr/bin/env bash
# While the store is slow, workers crash and start again under their ids. Guards
# against subtasks that run again although their end `done` was taken note of.
# exit: 0 the rule held, 1 it was broken, 2 the case could not run
set -u
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
record=$here/record.txt
. "$here/../standin-2/lib.bash"
TROUBLE=${TROUBLE:-1}
WORKERS=12
JOBS=230
RUN_MS=60
JOB="{\"Spec\":\"$RUN_MS\",\"Steps\":[{\"Count\":$WORKERS,\"AntiAffinity\":1,\"Cpu\":1000,\"MemMb\":1000,\"Gpu\":1,\"EstimateMs\":$RUN_MS}]}"

start users target/review-2/review-users $WORKERS
wait_for 10 "the stand-in" grep -qs listening "$work/users.out"
log=$(grep -o '"log":"[^"]*"' "$work/users.out" | cut -d'"' -f4)
control=$(grep -o '"control":"[^"]*"' "$work/users.out" | cut -d'"' -f4)
publish "$log"
start proxy target/review-2/review-proxy "${log##*:}"
wait_for 5 "the proxy" grep -qs port "$work/proxy.out"
store=127.0.0.1:$(cut -d' ' -f2 "$work/proxy.out")
for name in e1 e2 e3; do start_entry $name "$store"; done
owns() { is_owner e1 || is_owner e2 || is_owner e3; }
wait_for 20 "an owner" owns
for name in e1 e2 e3; do wait_for 20 "$name to be ready" is_ready $name; done
note "instances e1, e2, e3 (store through a proxy); $WORKERS workers"

submit_all() {
	local i
	for i in $(seq $JOBS); do
		curl -s -m 4 -o /dev/null -w "$(printf %016x "$i") %{http_code}\n" -X POST \
			-H 'Host: h.example' -H 'Authorization: Token k1' \
			-H 'Deadline-Ms: 3000' -d "$JOB" \
			"http://127.0.0.1:${port_of[e$((i % 3 + 1))]}/p/$(printf %016x "$i")" &
		sleep 0.07
	done
	wait
}
submit_all >"$work/answers" &
pid_of[clients]=$!
sleep 3
for round in 1 2; do
	if [ "$TROUBLE" = 1 ]; then
		kill -s HUP "${pid_of[proxy]}"
		note "the store is slow: its answers take 212 ms more"
	fi
	for i in $(seq 0 $((2 * WORKERS - 1))); do
		sleep 0.17
		[ "$TROUBLE" = 1 ] || continue
		curl -sf -o /dev/null -X POST "http://$control/restart/$((i % WORKERS))"
		note "worker w$((i % WORKERS)) is to crash after its next poll, and to start again after 100 ms"
	done
	sleep 0.3
	kill -s USR2 "${pid_of[proxy]}"
	note "the store is as usual"
	sleep 3
done
wait "${pid_of[clients]}"
sleep 12
note "workers restarted: $(grep -c '"event":"up"' "$work/users.out")"
note "answers: $(cut -d' ' -f2 "$work/answers" | sort | uniq -c | tr -s ' \n' ' ')"
grep '"event"' "$work/users.out" >"$work/events"
awk -F'"' '
	{ task = $12; event = $4 }
	event == "noted" && $0 ~ /"how":"done"/ { noted[task] = $0 }
	event == "begin" { begins++
		if (task in noted) { twice++; print noted[task]; print $0 } }
	END { print begins + 0, twice + 0 }
' "$work/events" >"$work/sums"
grep -v '^[0-9]' "$work/sums" >>"$record"
read -r begins twice < <(tail -1 "$work/sums")
note "runs begun: $begins; begun after the end of their subtask was taken note of: $twice"
if [ "$twice" -gt 0 ]; then
	note "TWICE broken"
	exit 1
fi
note "TWICE held"
