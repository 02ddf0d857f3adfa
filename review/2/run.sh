#!/bin/bash
# A version of the configuration sends a queue to another service; its running
# job stays where it is.  Its runner is cut off and runs on, and the owner is
# stopped as planned: the successor starts the tasks in the new service at once.
here=$(cd "$(dirname "$0")" && pwd)
trouble=${TROUBLE:-1} # 0: the same without the disruption
. "$here/../lib.sh"

config() { # config VERSION SERVICE
  operator "{\"Version\":$1,\"Routes\":[{\"Name\":\"q\",\"Host\":\"site\",\"PathPrefix\":\"/q/\",\"Service\":\"$2\",\"MaxAttempts\":3,\"Stretch\":1.6,\"TargetLatencyMs\":600}],\"Services\":[{\"Name\":\"p\",\"AdmissionCheck\":true},{\"Name\":\"s\",\"AdmissionCheck\":true}],\"Tenants\":[{\"Name\":\"t\",\"ApiKeys\":[\"key-of-t\"],\"Weight\":100}]}"
}

start_platform 12 6
config 1 p
start_entries
wait_ready key-of-t /q/
find_owner
sleep 2
submit /q/00000000000000a1 key-of-t '{"Spec":"30000 1000 t","Steps":[{"Count":8,"Cpu":1000,"MemMb":100,"EstimateMs":30000}]}' ||
  fail "the job was not accepted"
sleep 1
[ "$(grep -c ' start 00000000000000a1' "$record")" = 8 ] || fail "the job does not run"
port=$(sed -n 's/.* runner r-\([0-9]*\) start .*/\1/p' "$record" | sort | uniq -c |
  sort -rn | sed -n '1s/.* //p')
say "runner r-$port has $(grep -c "runner r-$port start" "$record") tasks"
config 2 s
# Long after the new version is in force everywhere (ConfigApplyMs is 2 s).
sleep 8
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
