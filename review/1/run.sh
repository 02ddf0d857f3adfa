#!/bin/bash
# Runners whose clocks are 2% slow have been idle for some time.  One gets a job,
# is cut off and runs on; the owner is stopped as planned, and its successor
# starts the tasks elsewhere before their leases have ended.
here=$(cd "$(dirname "$0")" && pwd)
trouble=${TROUBLE:-1} # 0: the same without the disruption
clock_milli=980
. "$here/../lib.sh"

start_platform 6
operator '{"Version":1,"Routes":[{"Name":"q","Host":"site","PathPrefix":"/q/","Service":"p","MaxAttempts":3,"Stretch":1.6,"TargetLatencyMs":600}],"Services":[{"Name":"p","AdmissionCheck":true}],"Tenants":[{"Name":"t","ApiKeys":["key-of-t"],"Weight":100}]}'
start_entries
wait_ready key-of-t /q/
sleep 88
find_owner
other=$(((owner + 1) % entries))
call $other POST /q/00000000000000a1 key-of-t '{"Spec":"15000 1000 t","Steps":[{"Count":8,"Cpu":1000,"MemMb":100,"EstimateMs":15000}]}'
[ "$status" = 200 ] || fail "the job was not accepted"
tries=0
while [ "$(grep -c ' start ' "$record")" -lt 8 ]; do
  tries=$((tries + 1))
  [ $tries -gt 50 ] && fail "the job does not run"
  sleep 0.02
done
port=$(sed -n 's/.* runner r-\([0-9]*\) start .*/\1/p' "$record" | sort | uniq -c |
  sort -rn | sed -n '1s/.* //p')
say "runner r-$port has $(grep -c "runner r-$port start" "$record") tasks"
if [ "$trouble" != 0 ]; then
  fault "cut_$port" 1
  cut_ms=$(date +%s%3N)
  eval "p=\$entry_$owner"
  say "entry $owner gets SIGTERM"
  kill -TERM "$p"
  while [ $(($(date +%s%3N) - cut_ms)) -lt 5000 ]; do sleep 0.1; done
  fault "cut_$port" 0
  wait "$p" 2>/dev/null
  start_entry $owner
else
  sleep 5
fi
sleep 3
last=$(report)
say "report: $last"
doubled=$(number doubled "$last")
if [ "$doubled" -gt 0 ]; then
  finish 1 "TWICE broken: $doubled tasks were started while they ran on the runner that was cut off"
fi
finish 0 "held: no task ran twice at the same time"
