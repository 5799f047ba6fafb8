#!/usr/bin/env bash
# Three of seven workers are busy for long; a gang that needs five waits for one
# of them. Do small jobs run on the four workers that are idle? Exits with 1 if
# the rule LOST was broken, 0 if it held, 2 if the case could not run. TROUBLE=0:
# the gang is not handed in.
case_dir=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
record=$case_dir/record.txt
. "$case_dir/../standin-3/lib.bash"
WORKERS=7
PLAY_S=${PLAY_S:-40}

start_world --workers $WORKERS --racks 2
ctl config -d '{"Version":1,"Routes":[{"Name":"q1","Host":"h.example","PathPrefix":"/p/","TimeoutMs":3000,"TargetLatencyMs":1000,"Priority":1,"Service":"render","MaxAttempts":4,"Stretch":3.0},{"Name":"q2","Host":"h.example","PathPrefix":"/l/","TimeoutMs":3000,"TargetLatencyMs":3000,"Priority":2,"Service":"render","MaxAttempts":4,"Stretch":3.0}],"Services":[{"Name":"render","EnforceLimits":false}],"Limits":{"MaxBodyBytes":262144},"Tenants":[{"Name":"t","ApiKeys":["k1"],"Guaranteed":{"Gpu":8}}]}'
for name in a b c; do start_entry $name; done
for name in a b c; do wait_ready $name; done
sleep 2
submit a /p/00000000000000c1 k1 \
	'{"Spec":"110000","Steps":[{"Count":3,"Cpu":1000,"MemMb":256,"Gpu":8,"EstimateMs":110000}]}'
sleep 2
[ "${TROUBLE:-1}" = 0 ] || submit a /p/00000000000000d1 k1 \
	'{"Spec":"20000","Steps":[{"Count":5,"Cpu":1000,"MemMb":256,"Gpu":8,"EstimateMs":20000,"Gang":true}]}'
sleep 1
for number in 1 2 3; do
	submit b "/l/00000000000000a$number" k1 \
		'{"Spec":"25000","Steps":[{"Count":2,"Cpu":1000,"MemMb":256,"Gpu":1,"EstimateMs":25000}]}'
done
note traffic_ends
sleep "$PLAY_S"
for number in 1 2 3; do
	answer=$(call GET c "/l/00000000000000a$number" k1)
	note "client_GET_${number}_$(echo "$answer" | tr -d ' {}"')"
done
kill -TERM "$world_pid"
wait "$world_pid"

# LOST: from finish_s (14 s) after the end of the traffic on, a small job has
# nothing running for 3 s, with its turn come and room for it many times over: it
# needs 2 of 56 GPUs, and under half of them are in use.
awk -v finish_ms=14000 -v jobs=3 '
$2 == "traffic_ends" { judged = $1 + finish_ms }
$2 == "start" {
	job = substr($4, 1, 16)
	if (!(job in first)) first[job] = $1
	if ($4 ~ /^0*a[1-9]\./) small++
	gpus += $4 ~ /^0*[cd]1\./ ? 8 : 1
	if (gpus > most) most = gpus
}
$2 == "end" { gpus -= $4 ~ /^0*[cd]1\./ ? 8 : 1 }
{ last = $1 }
END {
	for (number = 1; number <= jobs; number++) {
		job = sprintf("00000000000000a%d", number)
		begun = job in first ? first[job] : last
		if (begun - judged > 3000) late++
	}
	print "small jobs without a run for 3 s and more", late + 0, "of", jobs "; GPUs in use at most", most + 0, "of 56"
	if (!judged || most >= 28 + 2 * jobs) exit 2
	exit late > 0
}' "$record" >"$work_dir/verdict"
status=$?
cat "$work_dir/verdict" >>"$record"
tail -1 "$work_dir/verdict"
exit $status
