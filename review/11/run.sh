#!/usr/bin/env bash
# The policy service of a queue moves to another address; the platform writes it
# into the settings files and sends SIGHUP. Do later jobs of the queue run? Exits
# with 1 if the rule LOST was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: the service stays, and the SIGHUP comes without a change.
case_dir=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
. "$case_dir/../standin-3/lib.bash"
PLAY_S=${PLAY_S:-35}
job='{"Spec":"advised 500","Steps":[{"Count":1,"Cpu":1000,"MemMb":256,"Gpu":1,"EstimateMs":500}]}'

start_world --workers 4 --racks 2
hint=$policy
ctl config -d '{"Version":1,"Routes":[{"Name":"q","Host":"h.example","PathPrefix":"/p/","TimeoutMs":3000,"TargetLatencyMs":1000,"Priority":1,"Service":"render","MaxAttempts":4,"Stretch":3.0,"Hint":{"DecideMs":10,"PerWorkerMs":1,"ValidMs":3000}}],"Services":[{"Name":"render","EnforceLimits":false}],"Limits":{"MaxBodyBytes":262144},"Tenants":[{"Name":"t","ApiKeys":["k1"],"Guaranteed":{"Gpu":8}}]}'
for name in a b c; do start_entry $name; done
for name in a b c; do wait_ready $name; done
submit a /p/00000000000000a1 k1 "$job"
sleep 4
grep -q ' end .* 00000000000000a1.0.0.0 1 done' "$record" ||
	give_up "the first job does not run"
[ "${TROUBLE:-1}" = 0 ] || hint=$policy_next
for name in a b c; do
	render $name
	pid="pid_$name"
	kill -HUP "${!pid}"
done
note "settings_name_the_policy_service_at_${hint}"
sleep 5
[ "${TROUBLE:-1}" = 0 ] || ctl policy-moved
submit b /p/00000000000000a2 k1 "$job"
note traffic_ends
sleep "$PLAY_S"
answer=$(call GET c /p/00000000000000a2 k1)
note "client_GET_$(echo "$answer" | tr -d ' {}"')"
for name in a b c; do
	pid="pid_$name"
	kill -0 "${!pid}" || give_up "instance $name has ended"
done
kill -TERM "$world_pid"
wait "$world_pid"

# LOST: from finish_s (14 s) after the end of the traffic on, the job has nothing
# running for 3 s, on an idle service.
awk -v finish_ms=14000 '
$2 == "traffic_ends" { judged = $1 + finish_ms }
$2 == "start" && $4 ~ /^0*a2\./ { starts++ }
$2 == "end" && $4 ~ /^0*a2\./ && $6 == "done" { done_count++ }
{ last = $1 }
END {
	print "starts of the second job", starts + 0, "done", done_count + 0
	exit !starts && last - judged > 3000
}' "$record" >"$work_dir/verdict"
status=$?
cat "$work_dir/verdict" >>"$record"
tail -1 "$work_dir/verdict"
exit $status
