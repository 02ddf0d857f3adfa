#!/bin/bash
# run.sh -- the owner of the cell is killed once, after the system has completed
# as many jobs as the site brings in half a day.
#
# JOBS is the number of completed jobs: ksc-fulmar brings 22.3 a second
# (8.89 + 1.03 + 11.1 + 1.26), 960,000 in 12 hours.  The script has one job
# completed by the entries and repeats what they stored of it under other ids.
CASE=$(cd "$(dirname "$0")" && pwd)
JOBS=${JOBS:-960000}
. "$CASE/../lib-3.sh"
RECOVER_MS=12000 # RecoverS of ksc-fulmar
WATCH_MS=35000   # Requests are sent this long after that.
CONFIG='{"Version":1,"Routes":[{"Name":"a","Host":"site","PathPrefix":"/a/","Service":"p","MaxAttempts":3,"Stretch":1.6,"TargetLatencyMs":600}],"Services":[{"Name":"p","AdmissionCheck":true},{"Name":"q","AdmissionCheck":true}],"Tenants":[{"Name":"t","ApiKeys":["key-of-t"],"Weight":100}]}'

job () { echo "{\"Spec\":\"$1\",\"Steps\":[{\"Count\":2,\"Cpu\":3500,\"MemMb\":3600,\"EstimateMs\":$1}]}"; }

# Asks each entry for the job of $1, and hands in another; counts the answers.
ask_all ()
{
  local n
  for ((n = 0; n < ENTRIES; n++)); do
    WAIT_MS=1500
    call $n GET site "/a/$1" key-of-t
    sent=$((sent + 1))
    [ "$STATUS" = 200 ] && served=$((served + 1))
    next=$((next + 1))
    call $n POST site "/a/$(printf '%016x' $next)" key-of-t "$(job 100)"
    sent=$((sent + 1))
    [ "$STATUS" = 200 ] && served=$((served + 1))
  done
}

next=4096
start_platform "$CONFIG"
for ((n = 0; n < ENTRIES; n++)); do start_entry $n; done
wait_ready 20 site /a/ key-of-t || exit 2
call 0 POST site /a/00000000000000aa key-of-t "$(job 200)"
[ "$STATUS" = 200 ] || exit 2
sleep 1.5
call 0 GET site /a/00000000000000aa key-of-t
[[ "$BODY" = *completed* ]] || exit 2
note "aged by $JOBS jobs: $(platform POST "/age?jobs=$JOBS&from=1000000000000000&prefix=00000000000000aa")"
note "store: $(platform GET /report)"

# Accepted before the disruption, to be answered after it.
call 1 POST site /a/00000000000000bb key-of-t "$(job 2000)"
[ "$STATUS" = 200 ] || exit 2
sent=0 served=0
for k in 1 2 3; do ask_all 00000000000000bb; done
note "before: $served of $sent requests served"
[ $((4 * served)) -ge $sent ] || exit 2

if [ "$TROUBLE" = 1 ]; then
  o=$(owner)
  [ -n "$o" ] || { sleep 1; o=$(owner); }
  [ -n "$o" ] || exit 2
  note "entry $o is the owner"
  kill_entry $o
  sleep 1
  start_entry $o
fi
back=$(now)
sleep $((RECOVER_MS / 1000))
sent=0 served=0 known=0
while [ $(($(now) - back)) -lt $((RECOVER_MS + WATCH_MS)) ]; do
  ask_all 00000000000000bb
  sleep 0.5
done
note "from $RECOVER_MS ms after the entry was back, for $WATCH_MS ms: $served of $sent requests served"
[ $((4 * served)) -ge $sent ] || broken "RECOVER: $served of $sent requests served"
for ((n = 0; n < ENTRIES; n++)); do
  WAIT_MS=3000
  call $n GET site /a/00000000000000bb key-of-t
  [ "$STATUS" = 200 ] && known=1
done
[ $known = 1 ] || broken "LOST: no entry answers for the accepted job 00000000000000bb, $(($(now) - back)) ms after the entry was back"
for ((n = 0; n < ENTRIES; n++)); do
  note "entry $n: $(grep -E 'VmHWM' /proc/${ENTRY_PID[$n]}/status | tr -s '\t ' ' ')"
  grep -hE '"(ownership_taken|ownership_lost)"' "$TMP/entry-$n.log" >>"$RECORD"
done
verdict
