# Compares one entry VM with direct calls of the same engines: token rate and time
# to the first token; also measures its memory per stream. Sourced by
# tools/experiment; EG_SECONDS is the duration of a load in seconds, EG_RATES are
# the rates to try, in requests/s.

speed_seconds=${EG_SECONDS:-8}

# chain_json DOMAIN:NUMBER: prints the chain that starts at an engine; the engines
# that follow serve the next stages.
chain_json() {
  split_engine "$1"
  printf '['
  stage=0
  while [ $stage -lt "$stages" ]; do
    [ $stage -eq 0 ] || printf ','
    printf '{"address":"%s","layers":%s}' \
      "$(engine_address "$domain" $((number + stage)))" "$(stage_layers $stage)"
    stage=$((stage + 1))
  done
  printf ']'
}

# Prints the chains of failure domain a.
# shellcheck disable=SC2046
chains_json() {
  printf '"direct":{"chains":['
  each chain_json , $(all_engines | awk -F: -v s="$stages" '$1 == "a" && $2 % s == 0')
  printf ']}'
}

# speed_scenario NAME direct|routed RATE TOKENS: writes a scenario.
speed_scenario() {
  if [ "$2" = direct ]; then
    destination=$(chains_json)
  else
    destination="\"model\":\"$model\""
  fi
  {
    printf '{"name":"%s","warm_up_ms":2000,"duration_ms":%s,"drain_ms":8000,' \
      "$1" "$((speed_seconds * 1000))"
    targets_json
    printf ',"streams":[{"name":"%s","organisation":"registry","class":"counter",' "$1"
    printf '"arrivals":"uniform","rate_per_s":%s,"max_tokens":%s,%s}]}\n' "$3" "$4" "$destination"
  } >"$run/$1.json"
}

# compare NAME RATE TOKENS: runs a load directly, then through the entry VM.
compare() {
  for route in direct routed; do
    speed_scenario "speed-$1-$route" $route "$2" "$3"
    cpu_before=$(cpu_ticks entry-a)
    load "speed-$1-$route" 1
    cpu_after=$(cpu_ticks entry-a)
  done
}

# cpu_ticks NAME: prints the processor time of a started process so far, in
# hundredths of a second.
cpu_ticks() {
  awk '{ print $14 + $15 }' "/proc/$(cat "$run/$1.pid")/stat"
}

# ratio NAME1 NAME2 KEY: prints the value of NAME2 divided by that of NAME1.
ratio() {
  calculate "$(value "$2" "$3") / ($(value "$1" "$3") + 1e-9)"
}

speed_rate() {
  engines=12
  slots=32
  token_us=4000
  entry_settings="backend.default_slots = 64"
  begin speed-rate
  cluster_start
  summary=$results/speed.summary
  : >"$summary"
  for rate in ${EG_RATES:-50 100 150}; do
    compare "$rate" "$rate" 200
    {
      printf 'offered %s requests/s of 200 tokens: direct %.0f, through the entry VM %.0f tokens/s (ratio %s); entry VM used %s cores\n' \
        "$rate" "$(value "speed-$rate-direct" throughput.tokens_per_s)" \
        "$(value "speed-$rate-routed" throughput.tokens_per_s)" \
        "$(ratio "speed-$rate-direct" "speed-$rate-routed" throughput.tokens_per_s)" \
        "$(calculate "($cpu_after - $cpu_before) / 100 / ($speed_seconds + 2)")"
      verdict "ratio >= 0.9" \
        "$(ratio "speed-$rate-direct" "speed-$rate-routed" throughput.tokens_per_s) >= 0.9"
      verdict ">= 10000 tokens/s and 50 requests/s" \
        "$(value "speed-$rate-routed" throughput.tokens_per_s) >= 10000 * 0.99 && $(value "speed-$rate-routed" throughput.requests_per_s) >= 50 * 0.99"
    } >>"$summary"
  done
  finish
}

speed_first_token() {
  engines=4
  slots=16
  token_us=500
  begin speed-first-token
  cluster_start
  compare first-token 50 20
  for quantile in p50 p99; do
    added=$(calculate "($(value speed-first-token-routed exact_first_token.${quantile}_us) - $(value speed-first-token-direct exact_first_token.${quantile}_us)) / 1000")
    limit=2
    [ $quantile = p50 ] || limit=5
    {
      printf 'first token, %s: direct %s us, through the entry VM %s us, added %s ms\n' $quantile \
        "$(value speed-first-token-direct exact_first_token.${quantile}_us)" \
        "$(value speed-first-token-routed exact_first_token.${quantile}_us)" "$added"
      verdict "added $quantile < $limit ms" "$added < $limit"
    } >>"$results/speed.summary"
  done
  finish
}

speed_memory() {
  engines=8
  slots=60
  token_us=50000
  entry_settings="backend.default_slots = 120"
  begin speed-memory
  cluster_start
  before=$(resident_kb entry-a)
  speed_scenario speed-memory routed 100 40
  load speed-memory 1
  streams=$(value speed-memory peak_in_flight)
  peak=$(awk '/^VmHWM:/ { print $2 }' "/proc/$(cat "$run/entry-a.pid")/status")
  kb_per_stream=$(calculate "($peak - $before) / ($streams + 1e-9)")
  {
    printf 'memory: %s kB idle, peak of %s kB with up to %s requests in flight: %s kB per request\n' \
      "$before" "$peak" "$streams" "$kb_per_stream"
    verdict "< 64 kB per stream" "$kb_per_stream < 64"
  } >>"$results/speed.summary"
  finish
}

experiment() {
  domains=a
  entry_vms=a
  speed_rate
  speed_first_token
  speed_memory
  say ""
  cat "$results/speed.summary"
}
