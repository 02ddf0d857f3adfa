#!/usr/bin/env bash
# Memory and processor time of one daemon: idle without tables, then idle with
# tables of the size given, then under changes of configuration.
# Usage: bench/capacity.sh BUILD POOLS VMS TEAMS [MEMBERS]
set -eu
b=$1 pools=$2 vms=$3 teams=$4 members=${5:-1}
low=${FTK_CAPACITY_LOW:-29}
idle_s=${FTK_CAPACITY_SECONDS:-10}
change_count=20
d=$(mktemp -d)
pids=()
finish () { for p in "${pids[@]}"; do kill -TERM "$p" 2>/dev/null || true; done; rm -rf "$d"; }
trap finish EXIT
"$b"/standin_log ${low}001 2>"$d/log" & pids+=($!)
"$b"/standin_fleet ${low}002 2>"$d/fleet" & pids+=($!)
for i in $(seq "$members"); do
  sed "s/entry-1/entry-$i/; s/18201/1820$i/; s/18101/1810$i/; s/:18/:$low/" \
    examples/entry.json > "$d/entry-$i.json"
  "$b"/fulmartackd "$d/entry-$i.json" 2>"$d/entry-$i.log" & entry=$!; pids+=("$entry")
done
ctl=("$b/fulmartackctl" -l "127.0.0.1:${low}001")
for _ in $(seq 50); do curl -sf -o "$d/a" "127.0.0.1:${low}101/healthz" && break; sleep 0.1; done
ticks () { awk '{ print $14 + $15 }' "/proc/$entry/stat"; }
rss_kib () { awk '/^VmRSS/ { print $2 }' "/proc/$entry/status"; }
tables () { # BASE_VERSION SHARE
  awk -v p="$pools" -v v="$vms" -v t="$teams" -v base="$1" -v share="$2" 'BEGIN {
    printf "{\"base_version\":%d,\"teams\":[", base
    for (i = 0; i < t; i++) printf "%s{\"name\":\"t%d\",\"share\":%d,\"ceiling\":100}", i ? "," : "", i, share
    printf "],\"pools\":["
    for (i = 0; i < p; i++) {
      printf "%s{\"name\":\"p%d\",\"vms\":[", i ? "," : "", i
      n = 0
      for (k = i; k < v; k += p) printf "%s{\"name\":\"w%d\",\"address\":\"127.0.0.1:1\",\"rack\":\"r%d\"}", n++ ? "," : "", k, k / 4
      printf "]}"
    }
    printf "],\"routes\":["
    for (i = 0; i < p; i++) printf "%s{\"queue\":\"q%d\",\"pool\":\"p%d\"}", i ? "," : "", i, i
    printf "]}" }'
}
measure () { # NAME SECONDS
  local from to hz
  hz=$(getconf CLK_TCK)
  from=$(ticks); sleep "$2"; to=$(ticks)
  echo "{\"bench\":\"capacity\",\"state\":\"$1\",\"pools\":$pools,\"vms\":$vms,\"teams\":$teams,\"members\":$members,\"rss_kib\":$(rss_kib),\"cpu_percent\":$(awk -v a="$from" -v b="$to" -v s="$2" -v hz="$hz" 'BEGIN { printf "%.2f", (b - a) * 100 / hz / s }')}"
}
measure idle_no_tables "$idle_s"
tables 0 1 > "$d/tables.json"
"${ctl[@]}" config apply "$d/tables.json" > "$d/apply"
measure idle_tables "$idle_s"
from=$(ticks)
for i in $(seq "$change_count"); do
  v=$("${ctl[@]}" config show | awk '/"base_version"/ { gsub (/[^0-9]/, ""); print; exit }')
  tables "$v" "$((i + 1))" > "$d/tables.json"
  "${ctl[@]}" config apply "$d/tables.json" > "$d/apply"
done
to=$(ticks)
echo "{\"bench\":\"capacity\",\"state\":\"changes\",\"changes\":$change_count,\"cpu_ms_per_change\":$(awk -v a="$from" -v b="$to" -v n="$change_count" -v hz="$(getconf CLK_TCK)" 'BEGIN { printf "%.1f", (b - a) * 1000 / hz / n }'),\"record_bytes\":$(wc -c < "$d/tables.json"),\"rss_kib\":$(rss_kib)}"
