#!/usr/bin/env bash
# Records the first entry's trace of a small run with each user's tables: 2
# entries, 8 workers, 60 requests with each of two keys, requests with a
# withdrawn key and with an unknown one, and a graceful shutdown.
# Usage: tests/record.sh BUILD FOLDER
set -eu
build=$1
out=$2
port_prefix=${FTK_RECORD_LOW:-24} # first two digits of every port
mkdir -p "$out"
dir=$(mktemp -d)
pids=()
stop_all () { for p in "${pids[@]}"; do kill -TERM "$p" 2>/dev/null || true; wait "$p" || true; done; pids=(); }
finish () { stop_all; rm -rf "$dir"; }
trap finish EXIT

wait_for () { # URL
  for _ in $(seq 100); do
    curl -sf -o "$dir/answer" "$1" && return 0
    sleep 0.1
  done
  echo "no answer from $1 in 100 tries"; exit 1
}

start_entry () { # NUMBER OPTION...
  local i=$1; shift
  sed "s/entry-1/entry-$i/; s/\"a1\"/\"a$i\"/; s/18201/1820$i/; s/18101/1810$i/; s/:18/:$port_prefix/" \
    examples/entry.json > "$dir/entry-$i.json"
  "$build"/fulmartackd "$@" "$dir/entry-$i.json" 2>"$dir/entry-$i.log" & entries+=($!); pids+=($!)
}

requests () { # KEY COUNT QUEUE...
  local key=$1 count=$2 n=0 q; shift 2
  : > "$dir/calls"
  while [ "$n" -lt "$count" ]; do
    for q in "$@"; do
      [ -s "$dir/calls" ] && echo next >> "$dir/calls"
      cat >> "$dir/calls" <<C
url = "http://127.0.0.1:${port_prefix}10$((n % 2 + 1))/v1/queues/$q"
data = "ticket=$key-$q-$n run_ms=$((n % 7 * 5))"
header = "Authorization: Bearer $key"
output = "$dir/answer-$q-$n"
C
      n=$((n + 1))
    done
  done
  curl -s --no-progress-meter --parallel --parallel-max 24 -K "$dir/calls"
}

record () { # NAME TABLES TEAM OTHER_TEAM QUEUE...
  local name=$1 tables=$2 team=$3 other=$4; shift 4
  entries=()
  sed "s/127.0.0.1:18/127.0.0.1:$port_prefix/" "$tables" > "$dir/tables.json"
  "$build"/standin_log ${port_prefix}001 2>"$dir/log" & pids+=($!)
  "$build"/standin_fleet ${port_prefix}002 2>"$dir/fleet" & pids+=($!)
  "$build"/standin_worker ${port_prefix}301 ${port_prefix}308 2>"$dir/worker" & pids+=($!)
  start_entry 1 --record "$dir/$name.trace"
  start_entry 2
  wait_for 127.0.0.1:${port_prefix}101/healthz
  wait_for 127.0.0.1:${port_prefix}102/healthz
  local ctl=("$build/fulmartackctl" --log 127.0.0.1:${port_prefix}001 --entry 127.0.0.1:${port_prefix}101
             --entry 127.0.0.1:${port_prefix}102)
  "${ctl[@]}" config apply "$dir/tables.json" > "$dir/apply"
  echo "first-key" > "$dir/key-1"; "${ctl[@]}" key grant "$team" "$dir/key-1"
  echo "second-key" > "$dir/key-2"; "${ctl[@]}" key grant "$other" "$dir/key-2"
  sleep 0.3
  requests first-key 60 "$@"
  requests second-key 60 "$@"
  "${ctl[@]}" key withdraw "$dir/key-2"
  sleep 0.3
  requests second-key 12 "$@"
  requests no-such-key 6 "$@"
  for p in "${entries[@]}"; do kill -TERM "$p"; done
  for p in "${entries[@]}"; do wait "$p"; done
  curl -s 127.0.0.1:${port_prefix}301/report > "$dir/report"; echo "$name: report of the workers: $(cat "$dir/report")"
  stop_all
  mv "$dir/$name.trace" "$out/$name.trace"
}

record kandy examples/kandy.json menders workshops tickets quotes pickup-slips
record kapurbumi examples/kapurbumi.json coordinators artists plots scores registrations sketches
