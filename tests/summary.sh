#!/usr/bin/env bash
# Adds up the results of every build folder into one closing line.
set -u
ok=$(cat build/test_*.log build/asan/test_*.log build/tsan/test_*.log 2>/dev/null | grep -c '^ok')
bad=$(cat build/test_*.log build/asan/test_*.log build/tsan/test_*.log 2>/dev/null | grep -c '^not ok')
grep -v '^#' KNOWN-RED.txt | sed '/^$/d; s/^/known red: /'
echo "$ok passed, $bad failed"
[ "$bad" -eq 0 ]
