#!/usr/bin/env bash
# Records a small run of each user's workload: 2 entries, 8 workers, two
# tables, two keys, 60 requests through each entry, a key withdrawn, a planned
# stop.  The trace is that of the first entry.
# Usage: tests/record.sh BUILD FOLDER
set -eu
b=$1
out=$2
low=${FTK_RECORD_LOW:-24} # first digits of every port
mkdir -p "$out"
d=$(mktemp -d)
pids=()
stop_all () { for p in "${pids[@]}"; do kill -TERM "$p" 2>/dev/null || true; wait "$p" || true; done; pids=(); }
finish () { stop_all; rm -rf "$d"; }
trap finish EXIT

wait_for () { # URL
  for _ in $(seq 100); do
    curl -sf -o "$d/answer" "$1" && return 0
    sleep 0.1
  done
  echo "no answer from $1"; exit 1
}

start_entry () { # NUMBER OPTION...
  local i=$1; shift
  sed "s/entry-1/entry-$i/; s/\"a1\"/\"a$i\"/; s/18201/1820$i/; s/18101/1810$i/; s/:18/:$low/" \
    examples/entry.json > "$d/entry-$i.json"
  "$b"/fulmartackd "$@" "$d/entry-$i.json" 2>"$d/entry-$i.log" & entries+=($!); pids+=($!)
}

requests () { # KEY COUNT QUEUE...
  local key=$1 count=$2 n=0 q; shift 2
  : > "$d/calls"
  while [ "$n" -lt "$count" ]; do
    for q in "$@"; do
      [ -s "$d/calls" ] && echo next >> "$d/calls"
      cat >> "$d/calls" <<C
url = "http://127.0.0.1:${low}10$((n % 2 + 1))/v1/queues/$q"
data = "ticket=$key-$q-$n run_ms=$((n % 7 * 5))"
header = "Authorization: Bearer $key"
output = "$d/answer-$q-$n"
C
      n=$((n + 1))
    done
  done
  curl -s --no-progress-meter --parallel --parallel-max 24 -K "$d/calls"
}

record () { # NAME TABLES TEAM OTHER_TEAM QUEUE...
  local name=$1 tables=$2 team=$3 other=$4; shift 4
  entries=()
  sed "s/127.0.0.1:18/127.0.0.1:$low/" "$tables" > "$d/tables.json"
  "$b"/standin_log ${low}001 2>"$d/log" & pids+=($!)
  "$b"/standin_fleet ${low}002 2>"$d/fleet" & pids+=($!)
  "$b"/standin_worker ${low}301 ${low}308 2>"$d/worker" & pids+=($!)
  start_entry 1 --record "$d/$name.trace"
  start_entry 2
  wait_for 127.0.0.1:${low}101/healthz
  wait_for 127.0.0.1:${low}102/healthz
  local ctl=("$b/fulmartackctl" --log 127.0.0.1:${low}001 --entry 127.0.0.1:${low}101
             --entry 127.0.0.1:${low}102)
  "${ctl[@]}" config apply "$d/tables.json" > "$d/apply"
  echo "first-key" > "$d/key-1"; "${ctl[@]}" key grant "$team" "$d/key-1"
  echo "second-key" > "$d/key-2"; "${ctl[@]}" key grant "$other" "$d/key-2"
  sleep 0.3
  requests first-key 60 "$@"
  requests second-key 60 "$@"
  "${ctl[@]}" key withdraw "$d/key-2"
  sleep 0.3
  requests second-key 12 "$@"
  requests no-such-key 6 "$@"
  for p in "${entries[@]}"; do kill -TERM "$p"; done
  for p in "${entries[@]}"; do wait "$p"; done
  curl -s 127.0.0.1:${low}301/report > "$d/report"; echo "$name: workers say $(cat "$d/report")"
  stop_all
  mv "$d/$name.trace" "$out/$name.trace"
}

record kandy examples/kandy.json menders workshops tickets quotes pickup-slips
record kapurbumi examples/kapurbumi.json coordinators artists plots scores registrations sketches
