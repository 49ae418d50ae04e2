# What a claim and a ticket add to a plain request: time, calls of the store,
# and the rate that one entry VM and one store sustain. Read by
# tools/experiment; EG_CLAIM_RATES and, at a store of 300 writes/s,
# EG_CAPPED_RATES are the rates tried, in requests/s.

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

# store_count NAME: calls of one kind so far
store_count() {
  curl -sf "$(platform_url counts)" \
    | sed -n "s/.*\"$1\": *\([0-9]*\).*/\1/p"
}

# claims_case NAME KIND RATE: one line of results.
claims_case() {
  for server in $plain_servers; do
    curl -sf -X DELETE -o /dev/null "$(plain_url "$server" record)"
  done
  claims_scenario "$1" "$2" "$3" $claims_seconds
  before_get=$(store_count get)
  before_put=$(store_count put)
  once "$1" 1
  n=$(value "$1" "$2.requests")
  printf '%-6s at %4s/s: %5s of %5s answered, p50 %6.2f ms, p99 %7.2f ms, %s reads and %s writes of the store for each\n' \
    "$2" "$3" "$(value "$1" "$2.answered")" "$n" \
    "$(value "$1" "$2.answer.p50_ms")" "$(value "$1" "$2.answer.p99_ms")" \
    "$(calculate "($(store_count get) - $before_get) / $n")" \
    "$(calculate "($(store_count put) - $before_put) / $n")" \
    >>"$results/claims.summary"
}

# Whether the last case held: all answered, with a p99 of 100 ms at most.
# claims_held NAME KIND
claims_held() {
  awk "BEGIN { exit !($(value "$1" "$2.answered") == $(value "$1" "$2.requests") \
    && $(value "$1" "$2.answer.p99_ms") <= 100) }"
}

# claims_climb LABEL KIND RATE...: the highest rate that held.
claims_climb() {
  label=$1
  kind=$2
  shift 2
  best=0
  for rate in "$@"; do
    claims_case "claims-$label-$kind-$rate" "$kind" "$rate"
    claims_held "claims-$label-$kind-$rate" "$kind" || break
    best=$rate
  done
  printf '%s, %s: held %s/s\n' "$label" "$kind" "$best" \
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
  printf 'a ticket: p50 %s ms, p99 %s ms to get it\n' \
    "$(value claims-ticket tickets.p50_ms)" \
    "$(value claims-ticket tickets.p99_ms)" >>"$results/claims.summary"
  for kind in plain ticket key; do
    # shellcheck disable=SC2086
    claims_climb unbounded $kind ${EG_CLAIM_RATES:-400 800 1200 1600 2000}
  done
  finish
  begin claims
  platform_writes_per_s=300
  plain_start
  # shellcheck disable=SC2086
  claims_climb 300-writes key ${EG_CAPPED_RATES:-100 140 150 160}
  finish
  say ""
  cat "$results/claims.summary"
}
