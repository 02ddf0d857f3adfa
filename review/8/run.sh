#!/bin/bash
# After the sixth failed run of a task a new owner counts failed runs again that
# the owner before had counted and stored: the job fails too soon.
. "$(dirname "$0")/../lib-2.sh"
begin_case "$(cd "$(dirname "$0")" && pwd)"
trouble=${TROUBLE:-1}
attempts=${ATTEMPTS:-8}
key=key-of-t
cat >"$work/config.json" <<END
{"Version":1,"Routes":[{"Name":"q","Host":"site.example","PathPrefix":"/q/","Service":"p","MaxAttempts":$attempts,"Stretch":1.6,"TargetLatencyMs":600}],"Services":[{"Name":"p","AdmissionCheck":true}],"Tenants":[{"Name":"t","ApiKeys":["key-of-t"],"Weight":100}],"Limits":{}}
END

start_platform p:9:64000
start_entries
wait_served /q/ $key

# The task fails in all its runs but the last that it may have.
url=http://127.0.0.1:$(front 2)/q/00000000000000c1
job='{"Spec":"1500 1000 t fails'$((attempts - 1))'","Steps":[{"Count":1,"Cpu":1000,"MemMb":256,"EstimateMs":1500}]}'
say "job: $(call POST "$url" $key "$job")"

failed=0
for i in $(seq 1 1500); do
  failed=$(number failed "$(report)")
  [ "$failed" -ge $((attempts - 1)) ] && break
  sleep 0.02
done
say "$failed runs have failed"
[ "$failed" = $((attempts - 1)) ] || end_case 2 "the runs do not fail"
sleep 0.2
if [ "$trouble" != 0 ]; then
  mine=$(owner)
  kill_entry "$mine"
  sleep 3.5
  start_entry "$mine"
  say "front-z-$mine is back"
fi
for i in $(seq 1 100); do
  state=$(call GET "$url" $key)
  case $state in *completed* | *failed* | 410*) break ;; esac
  sleep 0.1
done
after=$(report)
say "platform: $after"
say "state: $state"
failed=$(number failed "$after")
case $state in
  *'"failed"'*)
    [ "$failed" -lt "$attempts" ] \
      && end_case 1 "LOST is broken: failed after $failed failed runs of $attempts" ;;
  *completed*) end_case 0 "LOST holds: completed" ;;
esac
end_case 2 "unclear"
