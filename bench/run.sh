#!/usr/bin/env bash
# Runs every bench program of a build folder; each prints JSON lines.
# Usage: bench/run.sh BUILD
set -u
build=$1
limit_s=120
export FTK_BUILD=$build FTK_PORT_LOW=${FTK_PORT_LOW:-23000}
failed=0
for b in "$build"/bench_*; do
  [ -x "$b" ] && [ ! -d "$b" ] || continue
  timeout "$limit_s" "$b" || { echo "{\"bench\":\"$(basename "$b")\",\"failed\":$?}"; failed=1; }
done
exit $failed
