#!/usr/bin/env bash
# Compares requests through one entry host on loopback with direct requests to a target.
set -euo pipefail
cd "$(dirname "$0")/.."

source scripts/processes.sh

# Prints the processor time that a process has used, in microseconds.
cpu_micros() {
  awk -v tick="$(getconf CLK_TCK)" '{print int(($14 + $15) * 1000000 / tick)}' "/proc/$1/stat"
}

export SKYLARK_PLATFORM=http://127.30.0.1:7000 SKYLARK_LOG=warn
rate=${RATE:-2000}
seconds=${SECONDS_PER_RUN:-8}
ip=127.30.1.201

start "$bin/skylark-standin" platform --listen 127.30.0.1:7000
targets=()
{
  cat <<YAML
schema: 1
region: {name: east, zones: [east-a], delay: 3ms}
---
schema: 1
account: {name: bench, rate: 1000000/s, burst: 1000000}
---
schema: 1
service:
  name: stock
  routes: [{methods: [GET], path: /stock, access: keyed, idempotent: true}]
  deadline: 2s
  queue: 64
  objective: {good: 99.9%, within: 250ms}
YAML
  for n in 1 2 3 4 5 6 7 8 9 10 11 12; do
    echo "---"
    echo "schema: 1"
    echo "target: {name: stock-$n, service: stock, zone: east-a, address: '127.30.2.$n:9000', slots: 8, connections: 330}"
  done
} >"$work/records.yaml"
for n in 1 2 3 4 5 6 7 8 9 10 11 12; do targets+=("stock-$n=127.30.2.$n:9000/8"); done
start "$bin/skylark-standin" targets "${targets[@]}"
sleep 0.5
"$bin/skylark" apply "$work/records.yaml" >>"$work/log" 2>&1
common="host: bench-1
zone: east-a"
printf '%s\n' "$common" "listen: $ip:8000" "control: $ip:8001" "home: $ip:8005" \
  "admin: $ip:8010" "platform: $SKYLARK_PLATFORM" >"$work/entry.yaml"
printf '%s\n' "$common" "listen: $ip:8002" "control: $ip:8004" "admin: $ip:8011" >"$work/lookup.yaml"
printf '%s\n' "$common" "ports: {entry: '$ip:8000', control: '$ip:8001', home: '$ip:8005', lookup: '$ip:8002', steer: '$ip:8003'}" \
  "lookup_control: $ip:8004" "admin: $ip:8012" "platform: $SKYLARK_PLATFORM" >"$work/steer.yaml"
start "$bin/skylark-entry" "$work/entry.yaml"
entry=$!
start "$bin/skylark-lookup" "$work/lookup.yaml"
lookup=$!
start "$bin/skylark-steer" "$work/steer.yaml"
key=$("$bin/skylark" key issue bench-1 --account bench --json 2>>"$work/log" |
  sed -n 's/.*"secret": *"\([^"]*\)".*/\1/p')
for _ in $(seq 50); do
  "$bin/skylark-load" --url "http://$ip:8000" call /stock/x --key "$key" 2>/dev/null | grep -q 'status: 200' && break
  sleep 0.2
done

load=("$bin/skylark-load" --threads 4)
account=(--account "bench,$key,$rate,1000000,1000000" --seconds "$seconds")
echo "direct to a target, $rate requests/s"
"${load[@]}" --url http://127.30.2.1:9000 run /stock/x "${account[@]}"
echo "through one entry process, $rate requests/s"
before=$(cpu_micros "$entry")
"${load[@]}" --url "http://$ip:8000" run /stock/x "${account[@]}"
after=$(cpu_micros "$entry")
echo "processor time of the entry process: $(((after - before) / (rate * seconds))) us a request"
echo "look-ups, ${LOOKUPS:-20000}/s"
before=$(cpu_micros "$lookup")
"${load[@]}" --url "http://$ip:8002" run /entry-hosts \
  --account "bench,,${LOOKUPS:-20000},10000000,10000000" --seconds "$seconds"
after=$(cpu_micros "$lookup")
echo "processor time of the look-up process: $(((after - before) * 1000 / (${LOOKUPS:-20000} * seconds))) ns a look-up"
