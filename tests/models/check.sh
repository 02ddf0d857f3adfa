#!/usr/bin/env bash
# Checks the models of ownership, and that a property breaks without each of
# their mechanisms.  Prints one line for each run.
# Usage: tests/models/check.sh DIRECTORY
set -u
models=$(dirname "$(readlink -f "$0")")
work=$1
failed=0
mkdir -p "$work"
cd "$work" || exit 1

# verify MODEL NAME FLAG...: prints the number of errors that spin finds.
verify () {
  local model=$1 name=$1-$2
  shift 2
  mkdir -p "$name"
  (cd "$name" && spin "$@" -a "$models/$model.pml" > spin.out 2>&1 \
    && gcc -O1 -w -DSAFETY -o pan pan.c && ./pan -m200000 > pan.out 2>&1)
  sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$name/pan.out" | head -n 1
}

report () { # NAME WANTED FOUND
  if [ "$2" = "$3" ]; then
    echo "pass model $1 (errors: $3)"
  else
    echo "FAIL model $1 (errors: $3, expected: $2)"; failed=1
  fi
}

# check MODEL MECHANISM...
check () {
  local model=$1 m
  shift
  report "$model whole" 0 "$(verify "$model" whole)"
  for m in "$@"; do
    report "$model $m" 1 "$(verify "$model" "$m" -D"$m")"
  done
}

check ownership NO_FENCE NO_ASK NO_STOP NO_STORE_FIRST NO_REPEAT
check handover NO_HAND_ON NO_CLAIM_FIRST NO_TELL NO_NEWEST NO_STOP NO_NAMES \
  NO_KNOWN NO_LEASE
check islands NO_CONFIRM_LAPSE NO_CONFIRM_HELD NO_CONFIRM_NEW_BOOT NO_CONFIRM_BOOT \
  NO_CONFIRM_WAIT NO_CONFIRM_REACHED NO_WAIT NO_FENCE_FIRST NO_NEWS_OF_BOOT
exit $failed
