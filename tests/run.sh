#!/usr/bin/env bash
# Runs every test program of a build folder; each result goes to its log.
# Usage: tests/run.sh BUILD
set -u
build=$1
export FTK_BUILD=$build
export ASAN_OPTIONS=detect_leaks=0 TSAN_OPTIONS="suppressions=tests/tsan.supp halt_on_error=1 exitcode=66"
export UBSAN_OPTIONS=halt_on_error=1
failed=0
for t in "$build"/test_*; do
  [ -x "$t" ] && [ ! -d "$t" ] && [ "${t%.d}" = "$t" ] || continue
  case "$build:$(basename "$t")" in
    build/tsan:test_scripts) continue ;; # one thread: nothing for TSan to see
  esac
  if timeout 300 "$t" --tap > "$t.log" 2>&1; then
    echo "pass $t $(grep -c '^ok' "$t.log")"
  else
    echo "FAIL $t"; tail -n 40 "$t.log"; failed=1
  fi
done
exit $failed
