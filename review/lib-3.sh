# lib-3.sh -- starts the stand-ins and the project's entries for review/11 to 14.
# A script sets CASE (its folder) before it reads this file.

cd "$CASE/../.." || exit 2
BIN=review/standin-3/bin
DAEMON=target/fulmartackd
RECORD=$CASE/record.txt
TMP=$(mktemp -d) || exit 2
PIDS=""
FAILED=0
TROUBLE=${TROUBLE:-1}
ENTRIES=3
RUNNERS=4
: >"$RECORD" || exit 2
[ -x $DAEMON ] && [ -x $BIN/platform ] && [ -x $BIN/client ] || exit 2

now () { date +%s%3N; }
note () { echo "$(now) $*" >>"$RECORD"; }
broken () { FAILED=1; note "BROKEN $*"; echo "BROKEN: $*"; }

finish ()
{
  exec 2>/dev/null
  for p in $PIDS; do kill -CONT "$p" 2>/dev/null; kill -KILL "$p" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$TMP"
}
trap finish EXIT

# Chooses a base port with enough free ports after it.
BASE=0
for try in 1 2 3 4 5 6 7 8 9 10; do
  b=$((20000 + (RANDOM % 300) * 40))
  free=1
  for ((k = 0; k < 40; k++)); do
    (exec 3<>/dev/tcp/127.0.0.1/$((b + k))) 2>/dev/null && free=0 && break
  done
  [ $free = 1 ] && BASE=$b && break
done
[ $BASE -gt 0 ] || exit 2
STORE=$BASE

# Ports of entry N, of eight at most: clients from BASE + 8, then readiness,
# relay and metrics.
front () { echo $((BASE + 8 + $1)); }

start_platform () # CONFIG
{
  echo "$1" >"$TMP/config.json"
  $BIN/platform $BASE $RUNNERS "$TMP/config.json" "$RECORD" 2>>"$TMP/platform.log" &
  PIDS="$PIDS $!"
}

# The settings are deploy/entry.json, filled with the fields of a front machine
# of sites/ksc-fulmar.
start_entry () # N
{
  local n=$1
  cat >"$TMP/entry-$n.json" <<EOF
{
  "vm": "front-kandy-$n", "zone": "kandy", "cpu_share": 0.25,
  "vm_orders_per_s": 64.0, "max_record_bytes": 262144,
  "max_append_bytes": 2097152, "listen": "127.0.0.1:$((BASE + 8 + n))",
  "ready_listen": "127.0.0.1:$((BASE + 16 + n))",
  "relay_listen": "127.0.0.1:$((BASE + 24 + n))",
  "metrics_listen": "127.0.0.1:$((BASE + 32 + n))",
  "store": "127.0.0.1:$STORE", "cloud": "127.0.0.1:$STORE",
  "relay_secret": "fulmartack-relay-of-this-site", "revoke_ms": 5000,
  "lease_max_ms": 10000, "task_stop_ms": 400, "carrier_gap_ms": 3000,
  "status_s": 120, "away_notice_ms": 4500, "harm_ms": 4000, "early_ms": 250
}
EOF
  FULMARTACK_BOOT="$TMP/entry-$n.json" $DAEMON >>"$TMP/entry-$n.log" 2>&1 &
  ENTRY_PID[$n]=$!
  PIDS="$PIDS $!"
  note "entry $n started, pid $!"
}

# Sends a call to entry N and sets STATUS and BODY.
call () # N METHOD HOST PATH KEY [BODY]
{
  local out
  out=$($BIN/client "$(front "$1")" "$2" "$3" "$4" "$5" ${WAIT_MS:-3000} ${6:+"$6"})
  STATUS=${out%% *}
  BODY=${out#* }
  note "call entry=$1 $2 $3$4 key=$5 -> $out"
}

# Waits up to SECONDS until each entry serves GET HOST PATH with 200.
wait_ready () # SECONDS HOST PATH KEY
{
  local until=$(($(now) + $1 * 1000)) n
  for ((n = 0; n < ENTRIES; n++)); do
    while call $n GET "$2" "$3" "$4"; [ "$STATUS" != 200 ]; do
      [ "$(now)" -lt $until ] || return 1
      sleep 0.2
    done
  done
}

verdict ()
{
  if [ $FAILED = 1 ]; then echo "the rule was broken"; exit 1; fi
  echo "the rule held"
  exit 0
}
