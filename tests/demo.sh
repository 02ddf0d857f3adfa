#!/usr/bin/env bash
# Shows fulmartack on one machine: starts the stand-ins of the log, the fleet
# service and 8 workers in 2 pools, and 3 entries; applies tables, grants a key,
# sends 200 requests and stops the entries gracefully.
# Usage: tests/demo.sh BUILD
set -eu
build=$1
dir=$(mktemp -d)
pids=()
finish () { for p in "${pids[@]}"; do kill -TERM "$p" 2>/dev/null || true; done; rm -rf "$dir"; }
trap finish EXIT
"$build"/standin_log 18001 2>"$dir/log" & pids+=($!)
"$build"/standin_fleet 18002 2>"$dir/fleet" & pids+=($!)
"$build"/standin_worker 18301 18308 2>"$dir/worker" & pids+=($!)
entries=()
for i in 1 2 3; do
  cat > "$dir/entry-$i.json" <<J
{ "vm": "entry-$i", "zone": "a$i", "listen": "127.0.0.1:1810$i",
  "peer_listen": "127.0.0.1:1820$i", "log": "127.0.0.1:18001",
  "fleet": "127.0.0.1:18002", "cluster_secret": "demonstration secret" }
J
  "$build"/fulmartackd "$dir/entry-$i.json" 2>"$dir/entry-$i.log" & entries+=($!); pids+=($!)
done
ctl=("$build/fulmartackctl" --log 127.0.0.1:18001 --entry 127.0.0.1:18101
     --entry 127.0.0.1:18102 --entry 127.0.0.1:18103)
for i in 1 2 3; do
  for _ in $(seq 100); do
    curl -sf -o "$dir/health" "127.0.0.1:1810$i/healthz" && continue 2
    sleep 0.1
  done
  echo "entry-$i did not answer /healthz in 100 tries"; exit 1
done
echo "== tables and a key"
"${ctl[@]}" config check examples/kandy.json
"${ctl[@]}" config apply examples/kandy.json
echo "demonstration-key" > "$dir/key"
"${ctl[@]}" key grant menders "$dir/key"
sleep 0.5
echo "== 200 requests through 3 entries"
for n in $(seq 200); do
  echo "url = \"http://127.0.0.1:1810$((n % 3 + 1))/v1/queues/tickets\""
  echo "data = \"ticket=t$n run_ms=20\""
  echo "header = \"Authorization: Bearer demonstration-key\""
  echo "write-out = \"%{http_code}\\n\""
  echo "output = \"$dir/out-$n\""
  [ "$n" -lt 200 ] && echo next
done > "$dir/calls"
curl -s --no-progress-meter --parallel --parallel-max 40 -K "$dir/calls" | sort | uniq -c | sed 's/^/answers: /'
echo "== the workers' own record"
curl -s 127.0.0.1:18301/report; echo
echo "== entries"
"${ctl[@]}" status
echo "== last lines of the timeline"
"${ctl[@]}" timeline | tail -n 8
echo "== graceful shutdown"
for p in "${entries[@]}"; do kill -TERM "$p"; done
for p in "${entries[@]}"; do wait "$p"; echo "entry ended with status $?"; done
curl -s 127.0.0.1:18301/report; echo
