#!/usr/bin/env bash
# Starts MEMBERS daemons (default: 1) and measures memory and processor time of
# the last one: idle without tables, idle with tables of the sizes given, and
# while the configuration changes.
# Usage: bench/capacity.sh BUILD POOLS VMS TEAMS [MEMBERS]
set -eu
build=$1 pools=$2 vms=$3 teams=$4 members=${5:-1}
port_prefix=${FTK_CAPACITY_LOW:-29} # first two digits of every port
idle_s=${FTK_CAPACITY_SECONDS:-10} # length of each idle measurement
change_count=20
dir=$(mktemp -d)
pids=()
finish () { for p in "${pids[@]}"; do kill -TERM "$p" 2>/dev/null || true; done; rm -rf "$dir"; }
trap finish EXIT
"$build"/standin_log ${port_prefix}001 2>"$dir/log" & pids+=($!)
"$build"/standin_fleet ${port_prefix}002 2>"$dir/fleet" & pids+=($!)
for i in $(seq "$members"); do
  sed "s/entry-1/entry-$i/; s/18201/1820$i/; s/18101/1810$i/; s/:18/:$port_prefix/" \
    examples/entry.json > "$dir/entry-$i.json"
  "$build"/fulmartackd "$dir/entry-$i.json" 2>"$dir/entry-$i.log" & entry=$!; pids+=("$entry")
done
ctl=("$build/fulmartackctl" -l "127.0.0.1:${port_prefix}001")
for _ in $(seq 50); do curl -sf -o "$dir/a" "127.0.0.1:${port_prefix}101/healthz" && break; sleep 0.1; done
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
tables 0 1 > "$dir/tables.json"
"${ctl[@]}" config apply "$dir/tables.json" > "$dir/apply"
measure idle_tables "$idle_s"
from=$(ticks)
for i in $(seq "$change_count"); do
  v=$("${ctl[@]}" config show | awk '/"base_version"/ { gsub (/[^0-9]/, ""); print; exit }')
  tables "$v" "$((i + 1))" > "$dir/tables.json"
  "${ctl[@]}" config apply "$dir/tables.json" > "$dir/apply"
done
to=$(ticks)
echo "{\"bench\":\"capacity\",\"state\":\"changes\",\"changes\":$change_count,\"cpu_ms_per_change\":$(awk -v a="$from" -v b="$to" -v n="$change_count" -v hz="$(getconf CLK_TCK)" 'BEGIN { printf "%.1f", (b - a) * 1000 / hz / n }'),\"record_bytes\":$(wc -c < "$dir/tables.json"),\"rss_kib\":$(rss_kib)}"
