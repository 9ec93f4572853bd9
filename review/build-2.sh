#!/bin/sh
# Builds the stand-ins of the scripts in review/6 and later, with the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O review/kit-2/stand.rs -o target/review-2/stand
