#!/usr/bin/env bash
# Repeats the scaling measurements of docs/CAPACITY.md; takes a few minutes on an idle machine.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --release --locked --quiet
echo "== records, hosts and blocks of clients"
target/release/skylark-bench capacity
echo "== blocks beside an ordered map"
target/release/skylark-bench blocks
echo "== budgets: messages and time to admit"
target/release/skylark-bench budgets | tail -n 16
echo "== control processes by fleet size"
cargo test --release --locked --quiet --test config_size -- --ignored --nocapture --test-threads=1
echo "== look-ups"
LOOKUPS=${LOOKUPS:-50000} SECONDS_PER_RUN=4 scripts/measure.sh | tail -n 3
