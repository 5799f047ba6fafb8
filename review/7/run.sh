#!/usr/bin/env bash
# A new version of the configuration takes a key away and adds a tenant whose
# name has 63 characters: is the key refused after RevokeMs? Exits with 1 if the
# rule CONFIG was broken, 0 if it held, 2 if the case could not run. TROUBLE=0:
# the new tenant's name has 11 characters.
case_dir=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
record=$case_dir/record.txt
. "$case_dir/../standin-3/lib.bash"
REVOKE_S=5
LONG_NAME="associacao-de-oficinas-de-encadernacao-e-gravura-do-vale-do-sul"
SHORT_NAME="associacao1"

# publish VERSION KEYS TENANTS: the tenant "t" has these keys; further tenants.
publish() {
	ctl config -d '{"Version":'"$1"',"Routes":[{"Name":"q","Host":"h.example","PathPrefix":"/p/","TimeoutMs":3000,"TargetLatencyMs":1000,"Priority":1,"Service":"render","MaxAttempts":4,"Stretch":3.0}'"$4"'],"Services":[{"Name":"render","EnforceLimits":false}],"Limits":{"MaxBodyBytes":262144},"Tenants":[{"Name":"t","ApiKeys":['"$2"'],"Guaranteed":{"Gpu":8}}'"$3"']}' ||
		give_up "the stand-in does not take a configuration"
	note "acked_version_$1"
}
job() { echo '{"Spec":"500","Steps":[{"Count":1,"Cpu":1000,"MemMb":256,"Gpu":1,"EstimateMs":500}]}'; }

start_world --workers 4 --racks 2
publish 1 '"k1","k2"' ''
for name in a b c; do start_entry $name; done
for name in a b c; do wait_ready $name; done
submit a /p/00000000000000a1 k2 "$(job)"
submit b /p/00000000000000a2 k1 "$(job)"
sleep 3
new_name=$LONG_NAME
[ "${TROUBLE:-1}" = 0 ] && new_name=$SHORT_NAME
publish 3 '"k1"' ',{"Name":"'$new_name'","ApiKeys":["k3"],"Guaranteed":{"Gpu":4}}' \
	',{"Name":"r","Host":"h.example","PathPrefix":"/r/","TimeoutMs":3000,"TargetLatencyMs":1000,"Priority":1,"Service":"render","MaxAttempts":4,"Stretch":3.0}'
sleep $((REVOKE_S + 3))

# Requests that are sent 8 s after the ack, at each instance.
ran=0
number=0
for name in a b c; do
	number=$((number + 1))
	answer=$(call POST $name "/p/00000000000000b$number" k2 "$(job)")
	note "revoked_key_at_${name}_$(status_of "$answer")"
	case $answer in *200) ran=$((ran + 1)) ;; esac
	answer=$(call POST $name "/p/00000000000000c$number" k3 "$(job)")
	note "new_tenant_at_${name}_$(status_of "$answer")"
	answer=$(call POST $name "/r/00000000000000d$number" k1 "$(job)")
	note "new_route_at_${name}_$(status_of "$answer")"
done
sleep 3
started=$(grep -c '^[0-9]* start .* 00000000000000b' "$record")
note "requests_with_the_revoked_key_answered_with_success_${ran}_subtasks_started_$started"
# What a restart changes: the last thing that the record shows, and not judged.
kill -KILL "$pid_c"
start_entry c
sleep 4
answer=$(call POST c /p/00000000000000e1 k1 "$(job)")
note "restarted_instance_$(status_of "$answer")"
kill -TERM "$world_pid"
wait "$world_pid"
echo "requests with a revoked key that ran: $ran of 3; subtasks started for them: $started"
[ "$ran" = 0 ]
