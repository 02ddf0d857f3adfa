#!/usr/bin/env bash
# Fails if a name of the users' platform is used outside platform/, and prints
# where.
set -u
names='FencingToken|run-start|run-stop|log-append|log-read|log-newest|log-join'
names="$names|log-commit|machine-move|machine-upkeep|LastSeen|UntilMs|MayMiss"
names="$names|keyed\\.(op|servers|status)|X-Fulmartack-|PathPrefix|ApiKeys"
found=$(grep -rnE "$names" --include='*.c' --include='*.h' \
  port core adapter daemon ctl include bench || true)
if [ -n "$found" ]; then
  echo "names of the users' platform outside platform/:"
  echo "$found"
  exit 1
fi
