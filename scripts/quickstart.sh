#!/usr/bin/env bash
# Builds skylarkmount and runs the Board's deployment on loopback, step by step.
# Exits 0 only if every step gave the expected result; stops all processes at the end.
set -euo pipefail
cd "$(dirname "$0")/.."

source scripts/processes.sh

fail() {
  echo "FAILED: $*" >&2
  tail -n 20 "$work/log" >&2
  exit 1
}

# Repeats a command until its output matches a pattern, for at most 15 s; prints the output.
expect() {
  local pattern=$1 output
  shift
  for _ in $(seq 75); do
    output=$("$@" 2>&1 || true)
    if grep -Eq -- "$pattern" <<<"$output"; then
      sed 's/^/    /' <<<"$output"
      return
    fi
    sleep 0.2
  done
  fail "no '$pattern' in the output of $*: $output"
}

step() { printf '\n== %s\n' "$*"; }

export SKYLARK_PLATFORM=http://127.10.0.1:7000 SKYLARK_LOG=warn
zones=(kol-ghat kol-howrah khu-rupsa khu-daulatpur bas-ichamati bas-taki)

if "$bin/skylark-load" --url http://127.10.0.1:7000 call /counts >/dev/null 2>&1; then
  echo "another run holds 127.10.0.1:7000: wait until it has ended" >&2
  exit 1
fi

step "Start stand-ins for the platform and for 36 targets"
start "$bin/skylark-standin" platform --listen 127.10.0.1:7000
targets=()
while read -r name address slots; do targets+=("$name=$address/$slots"); done < <(
  awk '/^  name:/ {name = $2} /^  address:/ {address = $2} /^  slots:/ {print name, address, $2}' \
    examples/board/targets.yaml)
start "$bin/skylark-standin" targets "${targets[@]}" --work-micros 2000
expect '"reads"' "$bin/skylark-load" --url http://127.10.0.1:7000 call /counts

step "Apply the Board's records"
expect 'version 1|in force' "$bin/skylark" apply examples/board/*.yaml

step "Start 8 entry hosts over 6 availability zones"
number=0
for zone in "${zones[@]}" kol-ghat khu-rupsa; do
  number=$((number + 1))
  case $zone in
    kol-ghat) net=1 ;; kol-howrah) net=2 ;; khu-rupsa) net=3 ;;
    khu-daulatpur) net=4 ;; bas-ichamati) net=5 ;; *) net=6 ;;
  esac
  ip=127.10.$net.$((200 + number))
  common="host: board-$number
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
lookup=http://127.10.1.201:8002
caller=("$bin/skylark-load" --lookup "$lookup" --zone kol-ghat)

step "Look-up: which entry hosts, in which order, for how long"
expect 'board-8' "$bin/skylark-load" --url "$lookup" call /entry-hosts?zone=kol-ghat

step "Issue a key"
secret=$("$bin/skylark" key issue ghat-1 --account ghat-masters --json |
  sed -n 's/.*"secret": *"\([^"]*\)".*/\1/p')
[ -n "$secret" ] || fail "no key was issued"
echo "    key ghat-1 issued"
sleep 2

step "A look-up of timber stock, answered"
expect 'status: 200' "${caller[@]}" call /timber/teak --key "$secret"

step "A paddle order, and the same order sent again: one start, the same answer"
order=("${caller[@]}" call /orders --method POST --key "$secret" --body '{"paddles": 4}')
"${order[@]}" --idempotency-key HOME.order-1 >"$work/first" || fail "the order has no answer"
grep -q 'status: 200' "$work/first" || fail "$(cat "$work/first")"
sed 's/^/    /' "$work/first"
key=$(sed -n 's/^idempotency-key: //p' "$work/first")
"${order[@]}" --idempotency-key "$key" --attempt 2 >"$work/second" || fail "the resend has no answer"
[ "$(tail -n 1 "$work/first")" = "$(tail -n 1 "$work/second")" ] || fail "$(cat "$work/second")"
starts=0
for target in "${targets[@]}"; do
  address=${target#*=}
  report=$("$bin/skylark-load" --url "http://${address%/*}" call /standin/report)
  grep -q "\"$key\":1[,}]" <<<"$report" && starts=$((starts + 1))
  grep -Eq "\"$key\":([2-9]|1[0-9])" <<<"$report" && fail "started more than once: $report"
done
[ "$starts" = 1 ] || fail "the order was started at $starts targets"
echo "    the resend got the same answer; started once"

step "Requests over the account's rate are refused, not run"
rowing_key=$("$bin/skylark" key issue taki-1 --account taki-rowing-club --json |
  sed -n 's/.*"secret": *"\([^"]*\)".*/\1/p')
expect 'status: 200' "${caller[@]}" call /timber/teak --key "$rowing_key"
load=$("${caller[@]}" --json run /timber/teak --account "taki-rowing-club,$rowing_key,400,20,40" --seconds 2)
refused=$(sed -n 's/.*"over_rate":\([0-9]*\).*/\1/p' <<<"$load")
[ "${refused:-0}" -gt 0 ] || fail "nothing was refused: $load"
echo "    $refused requests refused as over the rate"

step "A withdrawn key stops working"
"$bin/skylark" key withdraw ghat-1 >>"$work/log"
expect 'status: 401' "${caller[@]}" call /timber/teak --key "$secret"

step "A drained target gets no new work"
drained=$("${caller[@]}" call /timber/teak --key "$rowing_key" | sed -n 's/^served-by: //p')
[ -n "$drained" ] || fail "no target served the request"
"$bin/skylark" drain target "$drained" >>"$work/log"
sleep 2
served=0
for _ in $(seq 40); do
  name=$("${caller[@]}" call /timber/teak --key "$rowing_key" | sed -n 's/^served-by: //p')
  [ "$name" != "$drained" ] || fail "the drained target served a request"
  [ -z "$name" ] || served=$((served + 1))
  sleep 0.05
done
[ "$served" -gt 0 ] || fail "no other target served a request"
echo "    $served calls answered, none by $drained"

step "A decision, replayed from its records"
id=$(sed -n 's/^request-id: //p' "$work/first")
expect 'as recorded|same' "$bin/skylark" replay "$id"

step "The burn report, the worst-served client account first"
expect 'ghat-masters' "$bin/skylark" burn

printf '\nEvery step showed what it should.\n'
