#!/usr/bin/env bash
# A gang of two fails once, both members in the same run. The worker of one is
# cut off at that time, and the owner is killed before it is back. MaxAttempts is
# 2: is the job tried again, or shown as failed after one failure? Exits with 1 if
# the rule LOST was broken, 0 if it held, 2 if the case could not run. TROUBLE=0:
# nothing is cut off or killed.
case_dir=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
record=$case_dir/record.txt
. "$case_dir/../standin-3/lib.bash"
WORKERS=7
job=00000000000000a1
CUT_S=4

start_world --workers $WORKERS --racks 2
ctl config -d '{"Version":1,"Routes":[{"Name":"q","Host":"h.example","PathPrefix":"/p/","TimeoutMs":3000,"TargetLatencyMs":1000,"Priority":1,"Service":"render","MaxAttempts":2,"Stretch":3.0}],"Services":[{"Name":"render","EnforceLimits":false}],"Limits":{"MaxBodyBytes":262144},"Tenants":[{"Name":"t","ApiKeys":["k1"],"Guaranteed":{"Gpu":8}}]}'
for name in a b c; do start_entry $name; done
for name in a b c; do wait_ready $name; done
sleep 4
submit a /p/00000000000000a1 k1 \
	'{"Spec":"4000","Steps":[{"Count":2,"Cpu":1000,"MemMb":256,"Gpu":8,"EstimateMs":4000,"Gang":true}]}'
sleep 1
# The worker of the second member, the subtask ID.K.STEP.INDEX with index 1.
second=$(printf '%s.%d.%d.%d' "$job" 0 0 1)
cut_worker=$(grep -F " $second " "$record" | grep -m1 ' start ' | cut -d' ' -f3 | tr -d w)
[ -n "$cut_worker" ] || give_up "the gang does not start"
[ "${TROUBLE:-1}" = 0 ] || ctl "cut?worker=$cut_worker&on=1"
sleep 0.2
ctl "fail?00000000000000a1"
sleep 0.8
if [ "${TROUBLE:-1}" != 0 ]; then
	killed=$(owner)
	note "kill_the_owner_$killed"
	pid="pid_$killed"
	kill -KILL "${!pid}"
	sleep $((CUT_S - 1))
	ctl "cut?worker=$cut_worker&on=0"
fi
sleep 25
for name in a b c; do
	[ "$name" = "${killed:-}" ] && continue
	answer=$(call GET $name /p/00000000000000a1 k1)
	note "client_GET_at_${name}_$(echo "$answer" | tr -d ' {}"')"
done
kill -TERM "$world_pid"
wait "$world_pid"

# LOST: the job is shown as failed without cause: its gang has not failed twice.
awk '
$2 == "end" && $6 == "failed" { failed[$5] = 1 }
$2 ~ /^client_GET_at_/ { said++; if ($2 ~ /State:failed/) shown++ }
END {
	for (run in failed) runs++
	print "runs of the gang that failed", runs + 0, "of 2 allowed; answers", said + 0, "failed", shown + 0
	if (!said || !runs) exit 2
	exit shown > 0 && runs < 2
}' "$record" >"$work_dir/verdict"
status=$?
cat "$work_dir/verdict" >>"$record"
tail -1 "$work_dir/verdict"
exit $status
