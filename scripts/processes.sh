# shellcheck shell=bash
# Builds the programs, starts background processes and stops them when the script exits.
# Sourced by the other scripts, from the root of the repository.

cargo build --release --locked --quiet
bin=target/release
work=$(mktemp -d)
pids=()

stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop_all EXIT

start() {
  "$@" >>"$work/log" 2>&1 &
  pids+=($!)
}
