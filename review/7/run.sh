#!/bin/bash
# A start whose lease is on the clock of a boot that is gone runs for 10 s; a
# successor of its owner waits for 3.6 s and starts the tasks a second time.
. "$(dirname "$0")/../lib-2.sh"
begin_case "$(cd "$(dirname "$0")" && pwd)"
trouble=${TROUBLE:-1}
key=key-of-t
cat >"$work/config.json" <<'END'
{"Version":1,"Routes":[{"Name":"q","Host":"site.example","PathPrefix":"/q/","Service":"p","MaxAttempts":3,"Stretch":1.6,"TargetLatencyMs":600},{"Name":"r","Host":"site.example","PathPrefix":"/r/","Service":"s","MaxAttempts":3,"Stretch":1.6,"TargetLatencyMs":600}],"Services":[{"Name":"p","AdmissionCheck":true},{"Name":"s","AdmissionCheck":true}],"Tenants":[{"Name":"t","ApiKeys":["key-of-t"],"Weight":100}],"Limits":{}}
END

# 12 runners, of which the first two are service p.
start_platform p:2:64000 s:10:64000
start_entries
wait_served /q/ $key
url=http://127.0.0.1:$(front 2)/q/00000000000000e1
job='{"Spec":"30000 1000 t done","Steps":[{"Count":8,"Cpu":1000,"MemMb":256,"EstimateMs":30000}]}'
# The runners are idle, and their clocks have run for a while.
sleep 12
if [ "$trouble" != 0 ]; then
  # srv_crash: one runner of 12 (0.083) crashes, is down for 0.3 s and
  # starts again under its id.
  call POST "http://127.0.0.1:$port/reboot?runner=1&down_ms=300" - {} >/dev/null
  say "runner 1 has crashed"
fi
sleep 0.35
say "job: $(call POST "$url" $key "$job")"
sleep 0.8
say "before: $(report)"
[ "$(number running "$(report)")" = 8 ] || end_case 2 "the tasks do not run"
if [ "$trouble" != 0 ]; then
  mine=$(owner)
  say "the owner is front-z-$mine"
  # node_cut, servers: the same runner is cut off from all entries for 5.5 s.
  fault cut_mask=1
  say "runner 1 is cut off"
  # roll_term: the owner is stopped as planned and starts again.
  say "SIGTERM to front-z-$mine"
  kill -TERM "$(cat "$work/pid-$mine")"
  (
    trap - EXIT
    sleep 5.5
    fault cut_mask=0
    say "the cut has ended"
  ) &
  for i in $(seq 1 60); do
    kill -0 "$(cat "$work/pid-$mine")" 2>/dev/null || break
    sleep 0.1
  done
  start_entry "$mine"
  say "front-z-$mine is back"
fi
sleep 10
after=$(report)
say "after: $after"
grep -h "BROKEN" "$record"
if [ "$(number doubled "$after")" != 0 ]; then
  end_case 1 "TWICE is broken"
fi
end_case 0 "TWICE holds"
