#!/usr/bin/env bash
# Runs the test of each line of tests/proof.list with each of its seeds.  Prints
# point, test, seeds and failed runs ("violations") of each line, then the
# totals.  A test named in KNOWN-RED.txt counts as failed here.
# Usage: tests/proof.sh BUILD
set -u
build=$1
export FTK_BUILD=$build
limit_s=60
log=$(mktemp)
passed=0
failed=0
while IFS='|' read -r point program case seeds; do
  program=$(echo $program); case=$(echo $case); seeds=$(echo $seeds)
  violations=0
  for seed in $(seq "$seeds"); do
    FTK_SEED=$seed timeout "$limit_s" "$build/$program" --tap -p "$case" > "$log" 2>&1 \
      && grep -q '^ok' "$log" && ! grep -q '^not ok' "$log" || violations=$((violations + 1))
  done
  printf '%s | %s %s | seeds %s | violations %s\n' "$(echo $point)" "$program" "$case" "$seeds" "$violations"
  if [ "$violations" -eq 0 ]; then passed=$((passed + 1)); else failed=$((failed + 1)); fi
done < <(grep -v '^#' tests/proof.list)
rm -f "$log"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
