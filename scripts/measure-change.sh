#!/usr/bin/env bash
# Measures the time until a change takes effect in every zone.
# Usage: SKYLARK_PLATFORM=URL scripts/measure-change.sh ZONE [CHANGES]
# Alternately drains and undrains a zone of a running deployment; leaves it undrained.
set -euo pipefail
cd "$(dirname "$0")/.."

zone=$1
changes=${2:-40}
skylark=${SKYLARK_BIN:-target/release/skylark}
durations=$(mktemp)
trap 'rm -f "$durations"' EXIT

for change in $(seq "$changes"); do
  undo=()
  [ $((change % 2)) = 1 ] || undo=(--undo)
  start_nanos=$(date +%s%N)
  "$skylark" drain zone "$zone" "${undo[@]}" >/dev/null 2>&1
  echo $((($(date +%s%N) - start_nanos) / 1000000)) >>"$durations"
done
"$skylark" drain zone "$zone" --undo >/dev/null 2>&1

sort -n "$durations" | awk '
  { value[NR] = $1 }
  END {
    printf "changes %d, ms: p50 %d, p90 %d, max %d\n",
      NR, value[int((NR + 1) / 2)], value[int(NR * 0.9)], value[NR]
  }'
