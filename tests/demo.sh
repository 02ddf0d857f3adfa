#!/usr/bin/env bash
# The main job on one machine: log, fleet, 8 workers in 2 pools, 3 entries;
# two tables and a key; 200 tickets; a stop that cuts nothing.
# Usage: tests/demo.sh BUILD
set -eu
b=$1
d=$(mktemp -d)
pids=()
finish () { for p in "${pids[@]}"; do kill -TERM "$p" 2>/dev/null || true; done; rm -rf "$d"; }
trap finish EXIT
"$b"/standin_log 18001 2>"$d/log" & pids+=($!)
"$b"/standin_fleet 18002 2>"$d/fleet" & pids+=($!)
"$b"/standin_worker 18301 18308 2>"$d/worker" & pids+=($!)
entries=()
for i in 1 2 3; do
  cat > "$d/entry-$i.json" <<J
{ "vm": "entry-$i", "zone": "a$i", "listen": "127.0.0.1:1810$i",
  "peer_listen": "127.0.0.1:1820$i", "log": "127.0.0.1:18001",
  "fleet": "127.0.0.1:18002", "cluster_secret": "demonstration secret" }
J
  "$b"/fulmartackd "$d/entry-$i.json" 2>"$d/entry-$i.log" & entries+=($!); pids+=($!)
done
ctl=("$b/fulmartackctl" --log 127.0.0.1:18001 --entry 127.0.0.1:18101
     --entry 127.0.0.1:18102 --entry 127.0.0.1:18103)
for i in 1 2 3; do
  for _ in $(seq 100); do
    curl -sf -o "$d/health" "127.0.0.1:1810$i/healthz" && continue 2
    sleep 0.1
  done
  echo "entry-$i does not serve"; exit 1
done
echo "== two tables and a key"
"${ctl[@]}" config check examples/kandy.json
"${ctl[@]}" config apply examples/kandy.json
echo "demonstration-key" > "$d/key"
"${ctl[@]}" key grant menders "$d/key"
sleep 0.5
echo "== 200 tickets through 3 entries"
for n in $(seq 200); do
  echo "url = \"http://127.0.0.1:1810$((n % 3 + 1))/v1/queues/tickets\""
  echo "data = \"ticket=t$n run_ms=20\""
  echo "header = \"Authorization: Bearer demonstration-key\""
  echo "write-out = \"%{http_code}\\n\""
  echo "output = \"$d/out-$n\""
  [ "$n" -lt 200 ] && echo next
done > "$d/calls"
curl -s --no-progress-meter --parallel --parallel-max 40 -K "$d/calls" | sort | uniq -c | sed 's/^/answers: /'
echo "== the workers' own record"
curl -s 127.0.0.1:18301/report; echo
echo "== entries"
"${ctl[@]}" status
echo "== time line, last lines"
"${ctl[@]}" timeline | tail -n 8
echo "== planned stop"
for p in "${entries[@]}"; do kill -TERM "$p"; done
for p in "${entries[@]}"; do wait "$p"; echo "entry ended with status $?"; done
curl -s 127.0.0.1:18301/report; echo
