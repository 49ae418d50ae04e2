# Offers bulk requests at twice the capacity of 40 engines, together with requests
# of the counter class. Sourced by tools/experiment; EG_STREAMS is the number of
# slots per backend server.

bulk_tokens=100
counter_tokens=20
counter_rate=6

# Prints the highest possible rate of all chains in tokens/s: a stage processes
# $slots tokens in $token_us.
max_token_rate() {
  calculate "$(all_engines | wc -l) / $stages * $slots * 1000000 / $token_us"
}

# stream_json NAME ORGANISATION CLASS RATE TOKENS: prints a stream of a scenario.
stream_json() {
  printf '{"name":"%s","organisation":"%s","class":"%s","rate_per_s":%s,' \
    "$1" "$2" "$3" "$4"
  printf '"max_tokens":%s,"model":"%s"}' "$5" "$model"
}

# throughput_scenario NAME BULK-RATE: writes a scenario; rate 0: no bulk requests.
throughput_scenario() {
  {
    printf '{"name":"%s","warm_up_ms":6000,"duration_ms":20000,' "$1"
    printf '"drain_ms":40000,"bound_tokens_per_s":%s,' "$(max_token_rate)"
    targets_json
    printf ',"streams":['
    stream_json counter registry counter "$counter_rate" "$counter_tokens"
    if [ "$2" != 0 ]; then
      printf ','
      stream_json bulk exchange bulk "$2" "$bulk_tokens"
    fi
    printf ']}\n'
  } >"$run/$1.json"
}

# first_token NAME QUANTILE: prints the time to the first token of the counter
# class, which is the first group, in us.
first_token() {
  value "$1" "groups.0.first_token.$2_us"
}

experiment() {
  engines_a=14
  engines_b=14
  engines_c=12
  slots=4
  token_us=20000
  entry_settings="backend.default_slots = ${EG_STREAMS:-$((slots * stages * 5 / 4))}"
  begin throughput
  cluster_start
  throughput_scenario throughput-idle 0
  load throughput-idle 1
  throughput_scenario throughput-bulk \
    "$(calculate "2 * $(max_token_rate) / $bulk_tokens")"
  load throughput-bulk 1
  {
    share=$(value throughput-bulk throughput.of_bound)
    printf '%s tokens/s, %s of the limit of %s tokens/s\n' \
      "$(value throughput-bulk throughput.tokens_per_s)" "$share" "$(max_token_rate)"
    verdict ">= 95 % of the limit" "$share >= 0.95"
    for quantile in p50 p95 p99; do
      idle=$(first_token throughput-idle $quantile)
      busy=$(first_token throughput-bulk $quantile)
      printf 'first token of the counter class, %s: %s us without and %s us with bulk requests\n' \
        $quantile "$idle" "$busy"
      verdict "at most twice the time without bulk requests ($quantile)" "$busy <= 2 * $idle"
    done
  } >"$results/throughput.summary"
  finish
  say ""
  cat "$results/throughput.summary"
}
