#!/usr/bin/env bash
# Plays the seeds 1 to SEEDS of the soak, or from FTK_SOAK_FIRST on; prints a line for
# each, and for one that fails what was broken and its script.  Seeds that
# KNOWN-RED.txt names ("test test_soak /soak/seed/N: ...") are played and
# printed, but do not fail the run.
# FTK_SOAK_PLAYER names the build folder of test_soak, to play another build's
# programs with it.
# Usage: tests/soak.sh BUILD SEEDS
set -u
build=$1
seeds=$2
first=${FTK_SOAK_FIRST:-1}
failed=0
for ((seed = first; seed < first + seeds; seed++)); do
  log=$build/soak-$seed.log
  # The braces keep the shell's message on an abort out of the output.
  { FTK_SOAK_LOGS=$build/soak-$seed.logs FTK_BUILD=$build FTK_SOAK_SEEDS=1 FTK_SOAK_FIRST=$seed timeout 300 \
    "${FTK_SOAK_PLAYER:-$build}/test_soak" --tap > "$log" 2>&1; } 2> /dev/null
  code=$?
  grep '^# seed' "$log"
  [ "$code" -eq 0 ] && continue
  if grep -q "^test test_soak /soak/seed/$seed:" KNOWN-RED.txt; then
    echo "KNOWN RED seed $seed"
  else
    echo "FAIL seed $seed ($log)"; failed=1
  fi
  grep '^# [A-Z]*: ' "$log" | head -20
done
exit $failed
