#!/usr/bin/env bash
# Builds the stand-ins of the scripts, each one file with the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/kit/*.rs; do
  name=$(basename "$source" .rs)
  [ "$name" = kit ] && continue
  "${RUSTC:-rustc}" --edition 2021 -O "$source" -o "target/review/$name"
done
