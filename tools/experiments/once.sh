# Checks that no request runs twice and that no answer is false while the store
# loses replies and becomes unavailable, backend servers crash, one entry VM is
# killed and another one is paused. Sourced by tools/experiment; EG_SEEDS are the
# seeds.

. tools/experiments/plain.sh

once_requests=400

# fault_time_ms MS: prints the time of a fault, up to 299 ms after MS, depending on
# the seed.
fault_time_ms() { echo $(($1 + (seed * 7919 + $1) % 300)); }

# platform_fault MS LABEL BODY: prints a fault of the store.
platform_fault() {
  printf '{"at_ms":%s,"label":"store %s","post":{"url":"%s","body":%s}},\n' \
    "$(fault_time_ms "$1")" "$2" "$(platform_url faults)" "$3"
}

# platform_recovers MS: prints the end of the store's faults.
platform_recovers() {
  printf '{"at_ms":%s,"label":"store recovers","delete":{"url":"%s"}},\n' \
    "$(fault_time_ms "$1")" "$(platform_url faults)"
}

# server_fault MS NUMBER LABEL BODY
server_fault() {
  printf '{"at_ms":%s,"label":"server %s %s","post":{"url":"%s","body":%s}},\n' \
    "$(fault_time_ms "$1")" "$2" "$3" "$(plain_url "$2" faults)" "$4"
}

# vm_signal MS DOMAIN SIGNAL
vm_signal() {
  printf '{"at_ms":%s,"label":"%s to entry VM %s","kill":{"pid_file":"%s","signal":"%s"}}' \
    "$(fault_time_ms "$1")" "$3" "$2" "$run/entry-$2.pid" "$3"
}

once_faults() {
  platform_fault 600 "loses replies" '{"fault":"lose-reply","count":40}'
  server_fault 1200 0 "loses replies" '{"fault":"lose-reply","count":8}'
  server_fault 1800 1 dies '{"fault":"die"}'
  server_fault 2400 1 revives '{"fault":"revive"}'
  platform_fault 3000 "is slow" '{"fault":"slow","ms":100}'
  vm_signal 3600 b STOP
  printf ',\n'
  platform_recovers 4200
  platform_fault 4800 "is down" '{"fault":"down"}'
  server_fault 5400 1 "loses replies" '{"fault":"lose-reply","count":8}'
  platform_recovers 6000
  platform_fault 6600 "is silent" '{"fault":"silent"}'
  vm_signal 7200 b CONT
  printf ',\n'
  platform_recovers 7800
  platform_fault 8400 "loses replies again" '{"fault":"lose-reply","count":40}'
  vm_signal 9000 c KILL
  printf ',\n'
  server_fault 9600 0 dies '{"fault":"die"}'
  server_fault 9900 1 dies '{"fault":"die"}'
  server_fault 10500 0 revives '{"fault":"revive"}'
  server_fault 10800 1 revives '{"fault":"revive"}'
  platform_recovers 10800 | sed 's/,$//'
}

# once_scenario NAME: writes the scenario.
once_scenario() {
  {
    printf '{"name":"%s","duration_ms":11000,"drain_ms":2000,' "$1"
    printf '"request_timeout_ms":4000,"deadline_ms":2000,'
    printf '"service":"%s","organisation":"registry","requests":%s,' \
      "$plain_service" "$once_requests"
    printf '"ticket_share":0.25,"plain_share":0.2,"other_body_share":0.2,'
    printf '"record_interval_ms":100,'
    targets_json
    printf ','
    plain_records_json
    printf ',"faults":['
    once_faults
    printf ']}\n'
  } >"$run/$1.json"
}

# once_case SEED: runs the scenario and appends its results to the summary.
once_case() {
  seed=$1
  begin "once-$seed"
  plain_start
  once_scenario "once-$seed"
  once "once-$seed" "$seed"
  curl -sf "$(platform_url counts)" >"$results/once-$seed.counts"
  finish
  for kind in key ticket plain; do
    printf 'seed %s: %s: %s requests, %s attempts, %s runs, %s answered, %s ran without an answer\n' \
      "$seed" "$kind" "$(value "once-$seed" $kind.requests)" \
      "$(value "once-$seed" $kind.sendings)" "$(value "once-$seed" $kind.runs)" \
      "$(value "once-$seed" $kind.answered)" \
      "$(value "once-$seed" $kind.ran_unanswered)"
  done >>"$results/once.summary"
  total=$(value "once-$seed" violations.total)
  verdict "seed $seed: run as planned, no request ran twice, no false answer" "$once_code == 0 && ${total:-1} == 0" \
    >>"$results/once.summary"
}

experiment() {
  mkdir -p "$build/results"
  : >"$build/results/once.summary"
  for seed_number in ${EG_SEEDS:-1 2 3 4}; do
    once_case "$seed_number"
  done
  say ""
  cat "$results/once.summary"
}
