# lib.sh -- what the scripts of the cases share.  Sourced by review/N/run.sh
# with `here` set to the folder of the case.

root=$(cd "$here/../.." && pwd)
record=$here/record.txt
work=$(mktemp -d)
pids=
begun_ms=$(date +%s%3N)
entries=${entries:-3}
cpu_share=0.25
: >"$record"
cd "$root" || exit 2

say() { # a line of the record
  printf '%8.3f script %s\n' \
    "$(echo "$(($(date +%s%3N) - begun_ms))" | awk '{ print $1 / 1000 }')" \
    "$*" >>"$record"
}

finish() { # ends all processes that were started here, and exits with $1
  trap - EXIT
  { for p in $pids; do kill -CONT "$p"; kill -KILL "$p"; done; wait; } 2>/dev/null
  [ -n "${KEEP:-}" ] && cp -r "$work" "$KEEP"
  rm -rf "$work"
  say "result: $2 (exit $1)"
  echo "$2"
  exit "$1"
}
trap 'finish 2 "the case could not run"' EXIT
trap 'exit 2' INT TERM

fail() { finish 2 "the case could not run: $*"; }

# start_platform RUNNERS [N]: the store and the cloud at $base, runners after it,
# the first N of them in pool p, the others in pool s; all in p without N.
start_platform() {
  [ -x target/fulmartackd ] && [ -x target/review/platform ] &&
    [ -x target/review/call ] || fail "the programs are not built"
  for try in 1 2 3 4 5 6 7 8; do
    base=$((20000 + ($(date +%N | sed 's/^0*//') / 1000 + $$ + try * 977) % 190 * 60))
    list=
    in_p=${2:-$1}
    n=1
    while [ $n -le "$1" ]; do
      list="$list${list:+,}{\"port\":$((base + n)),\"pool\":\"$([ $n -le "$in_p" ] && echo p || echo s)\"}"
      n=$((n + 1))
    done
    echo "{\"port\":$base,\"answer_ms\":4,\"append_ms\":3,\
\"record_bytes\":262144,\"call_bytes\":2097152,\"clock_milli\":${clock_milli:-1000},\"begun_at_ms\":$begun_ms,\
\"runners\":[$list]}" >"$work/platform.json"
    target/review/platform "$work/platform.json" "$record" \
      2>>"$work/platform.log" &
    platform=$!
    sleep 0.4
    if kill -0 $platform 2>/dev/null; then
      pids="$pids $platform"
      return
    fi
  done
  fail "no free ports"
}

front() { echo $((base + 30 + $1)); }

# start_entry I: starts entry I with the command of the deploy file.
start_entry() {
  cat >"$work/entry-$1.json" <<EOT
{"vm":"entry-$1","zone":"z","cpu_share":$cpu_share,
 "listen":"127.0.0.1:$(front "$1")","ready_listen":"127.0.0.1:$((base + 36 + $1))",
 "relay_listen":"127.0.0.1:$((base + 42 + $1))",
 "metrics_listen":"127.0.0.1:$((base + 48 + $1))",
 "store":"127.0.0.1:$base","cloud":"127.0.0.1:$base",
 "relay_secret":"fulmartack-relay-of-this-site","revoke_ms":5000,
 "lease_max_ms":10000,"task_stop_ms":400,"carrier_gap_ms":3000,"status_s":120,
 "away_notice_ms":4500,"harm_ms":4000,"early_ms":250}
EOT
  FULMARTACK_BOOT="$work/entry-$1.json" target/fulmartackd \
    >>"$work/entry-$1.log" 2>&1 &
  eval "entry_$1=$!"
  pids="$pids $!"
  say "entry $1 started"
}

# stop_entry I SIGNAL: ends entry I and waits for its end.
stop_entry() {
  eval "p=\$entry_$1"
  say "entry $1 gets SIG$2"
  kill "-$2" "$p"
  wait "$p" 2>/dev/null
  say "entry $1 has ended"
}

# http METHOD URL TIMEOUT_MS BODY [HEADER ...]: body and status of the answer.
http() { target/review/call "$@"; }

# call I METHOD PATH KEY [BODY]: sets status and answer.
call() {
  answer=$(http "$2" "http://127.0.0.1:$(front "$1")$3" "${limit_ms:-3000}" "${5:-}" \
    'Host: site' "Authorization: Bearer $4" 'X-Fulmartack-Deadline-Ms: 3000' \
    'Content-Type: application/json')
  status=${answer##*
}
  answer=${answer%
*}
  say "entry $1 $2 $3 ($4) ${5:-} -> $status $answer"
}

# submit PATH KEY BODY: hands a job in as a client does; 0 if it was accepted.
submit() {
  tries=0
  while [ $tries -lt 5 ]; do
    call $((tries % entries)) POST "$1" "$2" "$3"
    [ "$status" = 200 ] && return 0
    tries=$((tries + 1))
    sleep 0.3
  done
  return 1
}

operator() { # writes the configuration $1
  http POST "http://127.0.0.1:$base/operator" 3000 "$1" | grep -q '^200$' ||
    fail "the store does not answer"
  say "configuration confirmed: $1"
}

fault() { # sets the fault $1 of the stand-in to $2
  http POST "http://127.0.0.1:$base/fault?$1=$2" 3000 '' >/dev/null
  say "fault $1=$2"
}

report() { http GET "http://127.0.0.1:$base/report" 3000 '' | sed -n 1p; }

number() { # the number of field $1 in the JSON text $2, 0 if it has none
  n=$(printf '%s' "$2" | sed -n "s/.*\"$1\":\\([0-9-]*\\).*/\\1/p")
  echo "${n:-0}"
}

start_entries() {
  i=0
  while [ $i -lt "$entries" ]; do start_entry $i; i=$((i + 1)); done
}

wait_ready() { # until all entries answer with the key $1 on the path $2
  i=0
  waited=0
  while [ $i -lt "$entries" ]; do
    call $i GET "$2" "$1"
    if [ "$status" = 200 ]; then
      i=$((i + 1))
    else
      waited=$((waited + 1))
      [ $waited -gt 100 ] && fail "the entries do not get ready"
      sleep 0.2
    fi
  done
}

find_owner() { # sets owner to the entry whose metrics say so
  waited=0
  while :; do
    owner=0
    while [ $owner -lt "$entries" ]; do
      http GET "http://127.0.0.1:$((base + 48 + owner))/metrics" 1000 '' |
        grep -q '^fulmartack_owner 1' && return
      owner=$((owner + 1))
    done
    waited=$((waited + 1))
    [ $waited -gt 60 ] && fail "no entry owns the cell"
    sleep 0.2
  done
}
