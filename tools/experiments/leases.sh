#!/bin/sh
# Counts the store calls made for the leases on services, which decide which entry
# VM gives orders: entry VMs of one failure domain, no backend servers, and
# SERVICES services with a capacity rule.
# usage: tools/experiments/leases.sh [ENTRY-VMS [SERVICES [SECONDS]]]
set -eu
cd "$(dirname "$0")/../.."
. tools/experiments/common.sh

vms=${1:-3}
services=${2:-2}
seconds=${3:-60}
port_base=${EG_PORT_BASE:-11200}
platform=127.0.0.1:$port_base
token=leases

node_callers() { echo "127.0.0.1:$((port_base + 10 + $1))"; }
node_operators() { echo "127.0.0.1:$((port_base + 50 + $1))"; }
store_call_counts() { curl -s "http://$platform/standin/counts"; }
# count_of COUNTS get|put: extracts a count from the answer of the stand-in.
count_of() { printf '%s' "$1" | sed "s/.*\"$2\": *\([0-9]*\).*/\1/"; }

# measure LABEL: prints the store calls made within $seconds.
measure() {
  before=$(store_call_counts)
  sleep "$seconds"
  after=$(store_call_counts)
  for kind in get put; do
    first=$(count_of "$before" $kind)
    last=$(count_of "$after" $kind)
    awk -v n="$((last - first))" -v s="$seconds" -v label="$1" -v kind="$kind" \
      'BEGIN { printf "%s: %s %d in %d s, %.2f/s\n", label, kind, n, s, n / s }'
  done
}

begin "leases-$vms"
numbers=$(seq 0 $((vms - 1)))
{
  printf '{"platform":{"listen":"%s","latency_ms":2,"vms":[' "$platform"
  for i in $numbers; do
    [ "$i" = 0 ] || printf ','
    printf '{"address":"%s","failure_domain":"a","kind":"entry","state":"live"}' "$(node_callers "$i")"
  done
  printf ']}}\n'
} >"$run/platform.json"
start platform "$build/standin/eelgrass-standin" "$run/platform.json"
wait_for "http://$platform/vms"
for i in $numbers; do
  printf 'node.name = "n%s"\nnode.failure_domain = "a"\nlisten.callers = "%s"\nlisten.operators = "%s"\nplatform.address = "%s"\noperators.token = "%s"\n' \
    "$i" "$(node_callers "$i")" "$(node_operators "$i")" "$platform" "$token" >"$run/n$i.toml"
  start "n$i" "$build/router/eelgrasswood" --settings "$run/n$i.toml"
done
for i in $numbers; do
  wait_for "http://$(node_callers "$i")/health"
done
measure "no rule"
lines=
for i in $(seq 1 "$services"); do
  lines="${lines}capacity service=s$i model=m version=1 layers=1-32 count=1 # Nok: an experiment\\n"
done
curl -sf -X POST "http://$(node_operators 0)/rules" \
  -H "Authorization: Bearer $token" \
  -d "{\"who\":\"Nok\",\"base_version\":0,\"text\":\"$lines\"}" >/dev/null
sleep 25 # until the leases are taken
measure "$services services, $vms entry VMs"
cat "$run"/n*.log | grep -c "event=lease-taken" | sed 's/^/leases taken: /'
