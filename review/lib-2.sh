# lib-2.sh -- functions of the cases 6 to 10: starts the entries and the
# stand-ins as processes on free loopback ports, and ends them.
#
# A case sources this file, calls begin_case, and ends with end_case CODE.
# Settings of the entries are those of the deploy template (deploy/entry.json)
# on the small site that claim.txt names.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
tools=$root/target/review-2
entry_count=3
memory_mb=${MEMORY_MB:-260}
declare -A entry_pid
guard_pid=
platform_pid=

begin_case ()
{
  here=$1
  record=$here/record.txt
  work=$(mktemp -d) || exit 2
  trap 'stop_all; rm -rf "$work"' EXIT
  trap 'exit 2' INT TERM
  : >"$record"
  began=$(date +%s.%N)
  for f in "$tools/platform" "$tools/client" "$root/target/fulmartackd"; do
    [ -x "$f" ] || { say "missing: ${f#"$root"/}"; exit 2; }
  done
  find_ports
}

say ()
{
  printf '%8.3f script %s\n' "$(echo "$(date +%s.%N) $began" \
    | awk '{print $1 - $2}')" "$*" | tee -a "$record"
}

# Finds a range of ports that nothing listens on: 80 from $port on.
find_ports ()
{
  local try p busy
  for try in $(seq 1 50); do
    port=$((20000 + (RANDOM % 110) * 100))
    busy=
    for p in $(seq "$port" $((port + 99))); do
      if (exec 3<>"/dev/tcp/127.0.0.1/$p") 2>/dev/null; then busy=1; break; fi
    done
    [ -z "$busy" ] && return
  done
  say "no free ports"
  exit 2
}

# start_platform POOL:COUNT:CPU ...: with the configuration $work/config.json.
start_platform ()
{
  "$tools/platform" "$port" "$work/config.json" "$record" "$@" \
    >"$work/platform.log" 2>&1 &
  platform_pid=$!
  local i
  for i in $(seq 1 100); do
    [ "$(call GET "http://127.0.0.1:$port/report" - | cut -c1-3)" = 200 ] \
      && return
    sleep 0.1
  done
  say "the platform does not start"
  exit 2
}

# The ports of entry I, from 80 on in the range of the case.
front () { echo $((port + 80 + $1)); }

start_entry ()
{
  local i=$1 file=$work/entry-$1.json
  cat >"$file" <<END
{
  "vm": "front-z-$i",
  "zone": "z",
  "cpu_share": 0.25,
  "vm_orders_per_s": 64.0,
  "max_record_bytes": 262144,
  "max_append_bytes": 2097152,
  "listen": "127.0.0.1:$((port + 80 + i))",
  "ready_listen": "127.0.0.1:$((port + 84 + i))",
  "relay_listen": "127.0.0.1:$((port + 88 + i))",
  "metrics_listen": "127.0.0.1:$((port + 92 + i))",
  "store": "127.0.0.1:$port",
  "cloud": "127.0.0.1:$port",
  "relay_secret": "fulmartack-relay-of-this-site",
  "revoke_ms": 5000,
  "lease_max_ms": 10000,
  "task_stop_ms": 400,
  "carrier_gap_ms": 3000,
  "status_s": ${status_s:-120},
  "away_notice_ms": 4500,
  "harm_ms": 4000,
  "early_ms": 250
}
END
  (cd "$root" && FULMARTACK_BOOT=$file exec target/fulmartackd) \
    >>"$work/entry-$i.log" 2>&1 &
  entry_pid[$i]=$!
  disown
  echo "${entry_pid[$i]}" >"$work/pid-$i"
}

start_entries ()
{
  local i
  for i in $(seq 1 $entry_count); do start_entry "$i"; done
}

# kill_entry I: SIGKILL.
kill_entry ()
{
  entry_pid[$1]=$(cat "$work/pid-$1")
  say "SIGKILL to front-z-$1"
  kill -KILL "${entry_pid[$1]}" 2>/dev/null
  while kill -0 "${entry_pid[$1]}" 2>/dev/null; do sleep 0.01; done
}

# Prints the number of the entry that owns the cell, or nothing.
owner ()
{
  call GET "http://127.0.0.1:$port/report" - \
    | sed -n 's/.*"owner": *"front-z-\([0-9]*\)".*/\1/p'
}

# call METHOD URL KEY [BODY]: prints the status and the body.
call ()
{
  "$tools/client" call "$1" "$2" "$3" site.example "${@:4}"
}

fault () { call POST "http://127.0.0.1:$port/fault?$1" - {} >/dev/null; }

report () { call GET "http://127.0.0.1:$port/report" - | cut -c5-; }

# number NAME TEXT: prints the number in the field NAME of the JSON in TEXT.
number () { echo "$2" | sed -n 's/.*"'"$1"'": *\(-*[0-9]*\).*/\1/p'; }

# ports: the front ports of all entries, separated by commas.
ports ()
{
  local i list=
  for i in $(seq 1 $entry_count); do list=$list${list:+,}$(front "$i"); done
  echo "$list"
}

# Waits until an entry has answered a call of the configuration's tenant.
wait_served ()
{
  local i
  for i in $(seq 1 200); do
    [ "$(call GET "http://127.0.0.1:$(front 1)$1" "$2" | cut -c1-3)" = 200 ] \
      && return
    sleep 0.1
  done
  say "the entries do not serve"
  exit 2
}

# guard_memory: does what the platform does with a process over its limit of
# memory, or that has ended: ends it, and starts it again 1 s later.  Runs until
# the case ends.
guard_memory ()
{
  (
    trap - EXIT
    while sleep 0.2; do
      for i in $(seq 1 $entry_count); do
        p=$(cat "$work/pid-$i")
        kb=$(sed -n 's/^VmRSS:[^0-9]*\([0-9]*\) kB/\1/p' "/proc/$p/status" \
          2>/dev/null)
        if [ -z "$kb" ]; then
          [ -f "$work/down-$i" ] && continue
          say "front-z-$i has ended, it starts again"
        elif [ "$kb" -gt $((memory_mb * 1024)) ]; then
          say "front-z-$i takes $((kb / 1024)) MB of $memory_mb: killed"
          kill -KILL "$p"
        else
          echo "$kb" >>"$work/memory-$i"
          continue
        fi
        sleep 1
        start_entry "$i"
      done
    done
  ) &
  guard_pid=$!
}

# most_memory: prints the highest figure of an entry that was seen, in MB.
most_memory ()
{
  cat "$work"/memory-* 2>/dev/null | sort -n | tail -n 1 \
    | awk '{print int($1 / 1024)}'
}

stop_all ()
{
  local i
  [ -n "$guard_pid" ] && { kill "$guard_pid"; wait "$guard_pid"; } 2>/dev/null
  for i in $(seq 1 $entry_count); do
    [ -f "$work/pid-$i" ] && kill -KILL "$(cat "$work/pid-$i")" 2>/dev/null
  done
  [ -n "$platform_pid" ] && kill -TERM "$platform_pid" 2>/dev/null
  sleep 0.1
  [ -n "$platform_pid" ] && kill -KILL "$platform_pid" 2>/dev/null
  wait 2>/dev/null
}

# end_case CODE TEXT
end_case ()
{
  say "$2: exit $1"
  if [ -n "$KEEP" ]; then mkdir -p "$KEEP"; cp "$work"/*.log "$KEEP"; fi
  exit "$1"
}
