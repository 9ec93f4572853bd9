#!/usr/bin/env bash
# Measures the time from a change to the moment it is in force in every zone.
# Usage: SKYLARK_PLATFORM=URL scripts/measure-change.sh ZONE [CHANGES]
# Drains and undrains the zone of a running deployment; leaves it undrained.
set -euo pipefail
cd "$(dirname "$0")/.."

zone=$1
changes=${2:-40}
skylark=${SKYLARK_BIN:-target/release/skylark}
times=$(mktemp)
trap 'rm -f "$times"' EXIT

for number in $(seq "$changes"); do
  undo=()
  [ $((number % 2)) = 1 ] || undo=(--undo)
  begin=$(date +%s%N)
  "$skylark" drain zone "$zone" "${undo[@]}" >/dev/null 2>&1
  echo $((($(date +%s%N) - begin) / 1000000)) >>"$times"
done
"$skylark" drain zone "$zone" --undo >/dev/null 2>&1

sort -n "$times" | awk '
  { value[NR] = $1 }
  END {
    printf "changes %d, ms: p50 %d, p90 %d, max %d\n",
      NR, value[int((NR + 1) / 2)], value[int(NR * 0.9)], value[NR]
  }'
