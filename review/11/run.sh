#!/usr/bin/env bash
# One of seven workers, the only one of its kind, is unhealthy for 6.5 s and
# refuses what it is told to start. What is said to be pending meanwhile? Exits
# with 1 if the rule MIXED was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: the worker is healthy.
case_dir=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
. "$case_dir/../standin-3/lib.bash"
WORKERS=7
JOBS=6

start_world --workers $WORKERS --racks 2
ctl config -d '{"Version":1,"Routes":[{"Name":"q","Host":"h.example","PathPrefix":"/p/","TimeoutMs":3000,"TargetLatencyMs":1000,"Priority":1,"Service":"render","MaxAttempts":4,"Stretch":3.0}],"Services":[{"Name":"render","EnforceLimits":false}],"Limits":{"MaxBodyBytes":262144},"Tenants":[{"Name":"t","ApiKeys":["k1"],"Guaranteed":{"Gpu":8}}]}'
for name in a b c; do start_entry $name; done
for name in a b c; do wait_ready $name; done
# In touch: running for ContactMs (3 s) and more.
sleep 4
[ "${TROUBLE:-1}" = 0 ] || ctl "refuse?worker=$((WORKERS - 1))&on=1"
for number in $(seq $JOBS); do
	submit a "/p/00000000000000a$number" k1 \
		'{"Spec":"1000","Steps":[{"Count":1,"Cpu":1000,"MemMb":256,"Gpu":1,"EstimateMs":1000,"Constraints":"b"}]}'
done
note all_accepted
# visible_ms + 2 s after the last of them was accepted.
sleep 5.1
for name in a b c; do
	answer=$(call GET $name /p/ k1)
	note "client_pending_at_${name}_$(echo "$answer" | grep -o '[0-9]* *}' | tr -d ' }')_$(status_of "$answer")"
	answer=$(call GET $name /p/00000000000000a1 k1)
	note "client_GET_at_${name}_$(echo "$answer" | tr -d ' {}"')"
done
ctl "refuse?worker=$((WORKERS - 1))&on=0"
sleep 6
kill -TERM "$world_pid"
wait "$world_pid"

# MIXED: a machine in touch gives as Pending under half of the jobs that were
# accepted over visible_ms + 2 s before and have not begun.
awk -v jobs=$JOBS '
$2 ~ /^client_pending_at_/ {
	split($2, part, "_")
	said++
	unbegun = jobs - begun_count
	if (part[5] + 0 < unbegun / 2) { broken++; print "instance", part[4], "gives", part[5] + 0, "of", unbegun, "jobs that have not begun" }
}
$2 == "start" && $4 ~ /^0*a[1-9]\./ { if (!($4 in begun)) begun_count++; begun[$4] = 1 }
$2 == "refused" { refused++ }
END {
	print "answers", said + 0, "too low", broken + 0, "starts refused", refused + 0, "jobs begun in the end", begun_count + 0
	if (said < 3 || begun_count < jobs) exit 2
	exit broken > 0
}' "$record" >"$work_dir/verdict"
status=$?
cat "$work_dir/verdict" >>"$record"
tail -1 "$work_dir/verdict"
exit $status
