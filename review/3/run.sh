#!/bin/bash
# One tenant's recurring job has so many tasks due that its progress is larger
# than a record of the store may be.  Nothing that the system would store after
# that is stored: no cancel, no end, no new job, of any tenant.
here=$(cd "$(dirname "$0")" && pwd)
trouble=${TROUBLE:-1} # 0: the same without the disruption
. "$here/../lib.sh"

start_platform 4
operator '{"Version":1,"Routes":[{"Name":"q","Host":"site","PathPrefix":"/q/","Service":"p","MaxAttempts":3,"Stretch":1.6,"TargetLatencyMs":600},{"Name":"r","Host":"site","PathPrefix":"/r/","Service":"p","Priority":1,"MaxAttempts":3,"Stretch":1.6,"TargetLatencyMs":600}],"Services":[{"Name":"p","AdmissionCheck":true}],"Tenants":[{"Name":"t","ApiKeys":["key-of-t"],"Weight":100},{"Name":"u","ApiKeys":["key-of-u"],"Weight":100,"MaxCount":{"Cpu":1000}}]}'
start_entries
wait_ready key-of-t /q/
find_owner
sleep 2
if [ "$trouble" != 0 ]; then
  # Every 0.2 s, 2,000 tasks; the tenant may run one at a time.
  submit /r/00000000000000c1 key-of-u "{\"Spec\":\"1000 1000 u\",\"Times\":300,\"StartAtMs\":$(date +%s%3N),\"IntervalMs\":200,\"Steps\":[{\"Count\":2000,\"Cpu\":1000,\"MemMb\":10,\"EstimateMs\":1000}]}" ||
    fail "the recurring job was not accepted"
fi
# The jobs of another tenant, which last, are accepted at once.
for n in 1 2 3 4 5 6; do
  submit /q/00000000000000d$n key-of-t '{"Spec":"100000 500 t","Steps":[{"Count":1,"Cpu":500,"MemMb":100,"EstimateMs":100,"LongRunning":true}]}' ||
    fail "job d$n was not accepted"
done
for n in 1 2 3 4 5 6 7 8 9; do
  submit /q/00000000000000e$n key-of-t '{"Spec":"45000 500 t","Steps":[{"Count":1,"Cpu":500,"MemMb":100,"EstimateMs":45000}]}' ||
    fail "job e$n was not accepted"
done
# More than 131 occurrences are due after 27 s.
sleep 40
# Six cancels, each repeated for AckMs (4 s), at all entries in turn.
acked=0
for n in 1 2 3 4 5 6; do
  from_ms=$(date +%s%3N)
  tries=0
  while [ $(($(date +%s%3N) - from_ms)) -lt 4000 ]; do
    limit_ms=4000 call $(((n + tries) % entries)) DELETE /q/00000000000000d$n key-of-t
    tries=$((tries + 1))
    if [ "$status" = 200 ] || [ "$status" = 410 ]; then
      acked=$((acked + 1))
      break
    fi
    sleep 0.2
  done
done
# The ends of nine tasks are listed by now.
sleep 5
accepted=0
for n in 1 2 3; do
  submit /q/00000000000000f$n key-of-t '{"Spec":"100 500 t","Steps":[{"Count":1,"Cpu":500,"MemMb":100,"EstimateMs":100}]}' &&
    accepted=$((accepted + 1))
done
last=$(report)
say "report: $last"
ended=$(number ended "$last")
taken=$(number acked "$last")
completed=0
for n in 1 2 3 4 5 6 7 8 9; do
  call $((n % entries)) GET /q/00000000000000e$n key-of-t
  [ "$answer" = '{"State":"completed"}' ] && completed=$((completed + 1))
done
say "$acked of 6 cancels answered; $accepted of 3 new jobs accepted; $completed of 9 done jobs are shown so; $taken of $ended ends taken note of; $(grep -c 'refused an append' "$record") appends refused"
if [ $acked -lt 5 ]; then
  finish 1 "Acks broken: $acked of 6 cancels of accepted jobs have a 2xx after 4 s; $accepted of 3 new jobs accepted; $completed of 9 ended jobs shown as completed; $taken of $ended ends taken note of"
fi
finish 0 "held: $acked of 6 cancels, $accepted of 3 new jobs, $completed of 9 ended jobs, $taken of $ended ends"
