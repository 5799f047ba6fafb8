#!/usr/bin/env bash
# Subtasks that last and fill, beside subtasks that serve and are disturbed by
# them: are those that fill stopped beyond their MayMiss, and started again in
# time? Exits with 1 if the rule AVAIL was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0: they do not disturb.
case_dir=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
. "$case_dir/../standin-3/lib.bash"
WORKERS=4
TARGET_MS=50
PLAY_S=${PLAY_S:-45}

start_world --workers $WORKERS --racks 2
ctl "figure?alone=20&beside=20"
ctl config -d '{"Version":1,"Routes":[{"Name":"q","Host":"h.example","PathPrefix":"/p/","TimeoutMs":3000,"TargetLatencyMs":1000,"Priority":1,"Service":"render","MaxAttempts":4,"Stretch":3.0}],"Services":[{"Name":"render","EnforceLimits":false}],"Limits":{"MaxBodyBytes":262144},"Tenants":[{"Name":"t","ApiKeys":["k1"],"Guaranteed":{"Gpu":8}}]}'
for name in a b c; do start_entry $name; done
for name in a b c; do wait_ready $name; done
submit a /p/00000000000000a1 k1 \
	"{\"Spec\":\"fills\",\"Steps\":[{\"Count\":$WORKERS,\"Cpu\":10000,\"MemMb\":4096,\"EstimateMs\":1000,\"Perpetual\":true,\"AntiAffinity\":1,\"MayMiss\":1,\"Image\":\"i1\"}]}"
submit b /p/00000000000000b2 k1 \
	"{\"Spec\":\"serves\",\"Steps\":[{\"Count\":$WORKERS,\"Cpu\":10000,\"MemMb\":4096,\"EstimateMs\":1000,\"Perpetual\":true,\"AntiAffinity\":1,\"TargetMs\":$TARGET_MS,\"Image\":\"i2\"}]}"
sleep 8
[ "${TROUBLE:-1}" = 0 ] || ctl "figure?alone=20&beside=$((TARGET_MS * 3))"
sleep "$PLAY_S"
note "client_GET_$(call GET b /p/00000000000000a1 k1 | tr -d ' {}"')"
kill -TERM "$world_pid"
wait "$world_pid"

# AVAIL: a stop ends a subtask of the step with MayMiss 1 that is at work, while
# another one was ended by a stop and is not at work again.
awk -v startup_ms=500 '
$2 == "start" && $4 ~ /^0*a1\./ {
	if ($4 in ended) { gap = $1 - ended[$4]; if (gap > worst) worst = gap }
	begun[$4] = $1; delete ended[$4]
}
$2 == "end" && $4 ~ /^0*a1\./ {
	if ($6 == "stopped" && $1 - begun[$4] >= startup_ms) {
		away = 0
		for (name in by_stop)
			if (name != $4 && (name in ended || $1 - begun[name] < startup_ms)) away++
		if (away >= 1) { broken++; print "stopped", $4, "while", away, "others were away, MayMiss is 1" }
	}
	if ($6 == "stopped") by_stop[$4] = 1; else delete by_stop[$4]
	ended[$4] = $1
	delete begun[$4]
}
$2 == "start" { starts++ }
{ last = $1 }
END {
	for (name in ended) if (last - ended[name] > worst) worst = last - ended[name]
	print "starts", starts + 0, "stops beyond MayMiss", broken + 0, "longest time without a run", worst + 0, "ms"
	if (starts < 8) exit 2
	exit broken > 0
}' "$record" >"$work_dir/verdict"
status=$?
cat "$work_dir/verdict" >>"$record"
tail -1 "$work_dir/verdict"
exit $status
