#!/bin/bash
# run.sh -- the entries are stopped and started in turn while requesters ask on
# open connections.
#
# ENTRIES_WANTED: 3 entries, one at a time (AT_ONCE), or 6, two at a time.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib-3.sh"
ENTRIES=${ENTRIES_WANTED:-3}
AT_ONCE=${AT_ONCE:-1}
GAP_S=${GAP_S:-1.03}   # the least of roll_term in ksc-fulmar
GRACE_MS=6000      # GraceS of ksc-fulmar
LOSS_SLACK_MS=200  # LossSlackMs
LIMIT_MS=3000      # the requesters' time limit
CONFIG='{"Version":1,"Routes":[{"Name":"a","Host":"site","PathPrefix":"/a/","Service":"p","MaxAttempts":3,"Stretch":1.6,"TargetLatencyMs":600}],"Services":[{"Name":"p","AdmissionCheck":true},{"Name":"q","AdmissionCheck":true}],"Tenants":[{"Name":"t","ApiKeys":["key-of-t"],"Weight":100}]}'
JOB='{"Spec":"60000 t 1000","Steps":[{"Count":2,"Cpu":1000,"MemMb":1000,"EstimateMs":60000}]}'

# As the platform stops a process: SIGTERM, after GraceS SIGKILL.  It starts
# again at once.
restart () # N
{
  local n=$1 pid=${ENTRY_PID[$1]} k=0
  note "SIGTERM to entry $n, pid $pid"
  echo "$(now) $(front $n)" >>"$TMP/terms"
  kill -TERM $pid
  while [ $k -lt $((GRACE_MS / 50)) ] && kill -0 $pid 2>/dev/null; do
    sleep 0.05
    k=$((k + 1))
  done
  if kill -0 $pid 2>/dev/null; then
    note "SIGKILL to entry $n, pid $pid: it has not ended in $GRACE_MS ms"
    kill -KILL $pid
    wait $pid 2>/dev/null
  else
    note "entry $n, pid $pid has ended"
  fi
  start_entry $n
  echo "$!" >>"$TMP/restarted"
}

start_platform "$CONFIG"
for ((n = 0; n < ENTRIES; n++)); do start_entry $n; done
wait_ready 20 site /a/ key-of-t || exit 2
call 0 POST site /a/00000000000000a1 key-of-t "$JOB"
[ "$STATUS" = 200 ] || exit 2
for ((n = 0; n < ENTRIES; n++)); do
  for gap in $(seq 900 200 3900); do
    $BIN/poller "$(front $n)" site /a/00000000000000a1 key-of-t $LIMIT_MS $gap 20000 >"$TMP/poll-$n-$gap" &
    POLLERS="$POLLERS $!"
    PIDS="$PIDS $!"
  done
done
sleep 3
touch "$TMP/terms" "$TMP/restarted"
if [ "$TROUBLE" = 1 ]; then
  for ((n = 0; n < ENTRIES; n += AT_ONCE)); do
    for ((m = n; m < n + AT_ONCE; m++)); do restart $m & done
    sleep $GAP_S
  done
fi
for p in $POLLERS; do wait $p; done 2>/dev/null
PIDS="$PIDS $(cat "$TMP/restarted")"
cat "$TMP"/poll-* | sort -n >>"$RECORD"
# LOST: the request was read by a process that got SIGTERM, and its connection
# ended without an answer over LossSlackMs after it was sent, until 1 s after
# GraceS, before its time limit.
lost=$(awk -v slack=$LOSS_SLACK_MS -v limit=$LIMIT_MS -v span=$((GRACE_MS + 1000)) '
  NR == FNR { term[$2] = $1; next }
  $7 == "cut" && $4 > slack && $4 < limit && ($3 in term) && $1 + $4 >= term[$3] && $1 + $4 <= term[$3] + span { n++ }
  END { print n + 0 }' "$TMP/terms" <(cat "$TMP"/poll-*))
answered=$(cat "$TMP"/poll-* | grep -c answered)
note "$answered requests answered, $lost lost"
echo "$answered requests answered, $lost lost"
[ "$answered" -gt 300 ] || exit 2
[ "$lost" = 0 ] || broken "LOST: $lost requests got no answer from an entry that was stopped as planned"
grep -hE '"(stop_begun|stop_done|stopped|ownership_taken|ownership_released)"' "$TMP"/entry-*.log | sort >>"$RECORD"
verdict
