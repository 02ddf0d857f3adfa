#!/bin/bash
# A new owner does not count what a tenant has running on runners that have not
# answered it yet, and starts the tenant's waiting tasks on the others.
. "$(dirname "$0")/../lib-2.sh"
begin_case "$(cd "$(dirname "$0")" && pwd)"
trouble=${TROUBLE:-1}
key=key-of-t
cat >"$work/config.json" <<'END'
{"Version":1,"Routes":[{"Name":"q","Host":"site.example","PathPrefix":"/q/","Service":"p","MaxAttempts":3,"Stretch":1.6,"TargetLatencyMs":600},{"Name":"r","Host":"site.example","PathPrefix":"/r/","Service":"s","MaxAttempts":3,"Stretch":1.6,"TargetLatencyMs":600}],"Services":[{"Name":"p","AdmissionCheck":true},{"Name":"s","AdmissionCheck":true}],"Tenants":[{"Name":"t","ApiKeys":["key-of-t"],"Weight":100,"MaxCount":{"Cpu":40000}}],"Limits":{}}
END

# 12 runners, of which the first two are service p.
start_platform p:2:64000 s:10:64000
start_entries
wait_served /q/ $key

# The tenant may have 40 cores.  20 tasks of one core run on service p, 20 more
# on service s, where 40 wait.
url=http://127.0.0.1:$(front 2)
one='{"Spec":"40000 1000 t done","Steps":[{"Count":20,"Cpu":1000,"MemMb":256,"EstimateMs":40000}]}'
two='{"Spec":"40000 1000 t done","Steps":[{"Count":60,"Cpu":1000,"MemMb":256,"EstimateMs":40000}]}'
say "job on p: $(call POST "$url/q/00000000000000a1" $key "$one")"
sleep 2
say "job on s: $(call POST "$url/r/00000000000000b1" $key "$two")"
sleep 3
before=$(report)
say "before: $before"
[ "$(number running "$before")" = 40 ] || end_case 2 "not at the limit"

if [ "$trouble" != 0 ]; then
  mine=$(owner)
  say "the owner is front-z-$mine"
  # node_cut, servers: 2 of 12 runners (0.167) are cut off from all entries.
  [ "${CUT:-1}" = 1 ] && { fault cut_mask=3; say "both runners of p are cut off"; }
  sleep 0.3
  # node_kill, leader: it starts again after 3.5 s.
  kill_entry "$mine"
  sleep 3.5
  start_entry "$mine"
  say "front-z-$mine is back"
  sleep 1.7
  fault cut_mask=0
  say "the cut has ended"
fi
sleep 8
after=$(report)
say "after: $after"
[ "$(number quota "$after")" != 0 ] && end_case 1 "QUOTA is broken"
end_case 0 "QUOTA holds"
