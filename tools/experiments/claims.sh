# Cost of claims and tickets compared to plain requests: latency, store calls,
# and the rate that one entry VM and one store sustain. Sourced by
# tools/experiment. EG_CLAIM_RATES and, for a store limited to 300 writes/s,
# EG_CAPPED_RATES are the rates to try, in requests/s.

. tools/experiments/plain.sh

claims_seconds=4

# claims_scenario NAME KIND RATE SECONDS
claims_scenario() {
  case $2 in
  key) shares='"ticket_share":0,"plain_share":0' ;;
  ticket) shares='"ticket_share":1,"plain_share":0' ;;
  plain) shares='"ticket_share":0,"plain_share":1' ;;
  esac
  {
    printf '{"name":"%s","duration_ms":%s,"drain_ms":3000,' "$1" $(($4 * 1000))
    printf '"service":"%s","organisation":"%s","requests":%s,' \
      "$plain_service" "$1" $(($3 * $4))
    printf '%s,"duplicates":false,"repeats":false,' "$shares"
    targets_json
    printf ','
    plain_records_json
    printf '}\n'
  } >"$run/$1.json"
}

# store_count get|put: prints the number of store calls of a kind so far.
store_count() {
  curl -sf "$(platform_url counts)" \
    | sed -n "s/.*\"$1\": *\([0-9]*\).*/\1/p"
}

# claims_case NAME KIND RATE: runs a load and appends a line to the summary.
claims_case() {
  for server in $plain_servers; do
    curl -sf -X DELETE -o /dev/null "$(plain_url "$server" record)"
  done
  claims_scenario "$1" "$2" "$3" $claims_seconds
  gets_before=$(store_count get)
  puts_before=$(store_count put)
  once "$1" 1
  n=$(value "$1" "$2.requests")
  printf '%-6s at %4s/s: %5s of %5s answered, p50 %6.2f ms, p99 %7.2f ms, %s store reads and %s store writes per request\n' \
    "$2" "$3" "$(value "$1" "$2.answered")" "$n" \
    "$(value "$1" "$2.answer.p50_ms")" "$(value "$1" "$2.answer.p99_ms")" \
    "$(calculate "($(store_count get) - $gets_before) / $n")" \
    "$(calculate "($(store_count put) - $puts_before) / $n")" \
    >>"$results/claims.summary"
}

# claims_sustained NAME KIND: checks that all requests of a case were answered,
# with a p99 of at most 100 ms.
claims_sustained() {
  awk "BEGIN { exit !($(value "$1" "$2.answered") == $(value "$1" "$2.requests") \
    && $(value "$1" "$2.answer.p99_ms") <= 100) }"
}

# claims_find_max_rate LABEL KIND RATE...: tries the rates in order until one is
# not sustained; appends the highest sustained rate to the summary.
claims_find_max_rate() {
  label=$1
  kind=$2
  shift 2
  max_rate=0
  for rate in "$@"; do
    claims_case "claims-$label-$kind-$rate" "$kind" "$rate"
    claims_sustained "claims-$label-$kind-$rate" "$kind" || break
    max_rate=$rate
  done
  printf '%s, %s: sustained %s/s\n' "$label" "$kind" "$max_rate" \
    >>"$results/claims.summary"
}

experiment() {
  entry_vms=${EG_ENTRY_VMS:-a}
  plain_slots=64
  entry_settings="backend.default_slots = 64"
  mkdir -p "$build/results"
  : >"$build/results/claims.summary"
  begin claims
  plain_start
  for kind in plain key ticket; do
    claims_case "claims-$kind" "$kind" 50
  done
  printf 'issue of a ticket: p50 %s ms, p99 %s ms\n' \
    "$(value claims-ticket tickets.p50_ms)" \
    "$(value claims-ticket tickets.p99_ms)" >>"$results/claims.summary"
  for kind in plain ticket key; do
    # shellcheck disable=SC2086
    claims_find_max_rate unbounded $kind ${EG_CLAIM_RATES:-400 800 1200 1600 2000}
  done
  finish
  begin claims
  platform_writes_per_s=300
  plain_start
  # shellcheck disable=SC2086
  claims_find_max_rate 300-writes key ${EG_CAPPED_RATES:-100 140 150 160}
  finish
  say ""
  cat "$results/claims.summary"
}
