#!/usr/bin/env bash
# Measures the latency that at-most-once adds to an order: at its home, one hop away, and with a
# claim in the platform's table.
# Prints one line per case and stops all processes at the end.
set -euo pipefail
cd "$(dirname "$0")/.."

source scripts/processes.sh
rate=${1:-200}
seconds=${2:-5}

export SKYLARK_PLATFORM=http://127.66.0.1:7000 SKYLARK_LOG=error
start "$bin/skylark-standin" platform --listen 127.66.0.1:7000
start "$bin/skylark-standin" targets desk-1=127.66.1.9:9000/64 desk-2=127.66.2.9:9000/64
cat >"$work/records.yaml" <<YAML
schema: 1
region: {name: east, zones: [east-a, east-b], delay: 3ms}
---
schema: 1
account: {name: shop, rate: 100000/s, burst: 100000}
---
schema: 1
policy: {reserve: 50%, shortage: ask, stale_after: 3s, answer_ttl: 1s}
---
schema: 1
service:
  name: orders
  routes:
    - {methods: [POST], path: /orders, access: keyed, idempotent: false}
    - {methods: [POST], path: /quotes, access: keyed, idempotent: true}
  deadline: 2s
  queue: 64
  objective: {good: 99.9%, within: 500ms}
---
schema: 1
target: {name: desk-1, service: orders, zone: east-a, address: '127.66.1.9:9000', slots: 64, connections: 100}
---
schema: 1
target: {name: desk-2, service: orders, zone: east-b, address: '127.66.2.9:9000', slots: 64, connections: 100}
YAML
for _ in $(seq 50); do
  "$bin/skylark" apply "$work/records.yaml" >/dev/null 2>&1 && break
  sleep 0.2
done
key=$("$bin/skylark" key issue shop-1 --account shop 2>/dev/null | grep -Eo '[0-9a-f]{32,}' | head -n 1)
for number in 1 2; do
  zone=$([[ $number == 1 ]] && echo east-a || echo east-b)
  ip=127.66.$number.1
  common="host: once-$number
zone: $zone"
  cat >"$work/entry-$number.yaml" <<YAML
$common
listen: $ip:8000
control: $ip:8001
home: $ip:8005
admin: $ip:8010
platform: $SKYLARK_PLATFORM
YAML
  cat >"$work/lookup-$number.yaml" <<YAML
$common
listen: $ip:8002
control: $ip:8004
admin: $ip:8011
YAML
  cat >"$work/steer-$number.yaml" <<YAML
$common
ports: {entry: '$ip:8000', control: '$ip:8001', home: '$ip:8005', lookup: '$ip:8002', steer: '$ip:8003'}
lookup_control: $ip:8004
admin: $ip:8012
platform: $SKYLARK_PLATFORM
YAML
  for daemon in entry lookup steer; do
    start "$bin/skylark-$daemon" "$work/$daemon-$number.yaml"
  done
done
for _ in $(seq 100); do
  answer=$("$bin/skylark-load" --url http://127.66.1.1:8000 call /quotes --method POST --key "$key" 2>/dev/null || true)
  lookup_answer=$("$bin/skylark-load" --url http://127.66.1.1:8002 call /entry-hosts 2>/dev/null || true)
  [[ $answer == *"status: 200"* && $lookup_answer == *once-2* ]] && break
  sleep 0.2
done

load() { # label, base URL, path, additional flags
  local label=$1 base=$2 path=$3
  shift 3
  echo "== $label"
  "$bin/skylark-load" --lookup http://127.66.1.1:8002 --zone east-a --url "$base" run "$path" \
    --account "shop,$key,$rate,100000,100000" --method POST --seconds "$seconds" "$@"
}
counts() { "$bin/skylark-load" --url "$SKYLARK_PLATFORM" call /counts | tail -n 1; }

load "idempotent, no ledger" http://127.66.1.1:8000 /quotes
load "order at its home" http://127.66.1.1:8000 /orders --idempotency-key HOME.aNUMBER
load "order one hop from its home" http://127.66.2.1:8000 /orders --idempotency-key HOME.bNUMBER
echo "platform before claims: $(counts)"
load "order claimed in the table" http://127.66.1.1:8000 /orders --idempotency-key made-up-NUMBER
echo "platform after claims: $(counts)"
