# Shell functions that run a deployment for requests that must not run twice: one
# entry VM in each of three failure domains, two backend servers of a plain service
# (not a model), and no engines. To be sourced after common.sh.

plain_service=bookings
plain_servers="0 1"
plain_latency_ms=5
plain_slots=8
platform_writes_per_s=0 # limit of the store; 0: none

plain_address() { echo "127.0.0.1:$((port_base + 100 + $1))"; }
plain_admin() { echo "127.0.0.1:$((port_base + 50))"; }
plain_url() { echo "http://$(plain_admin)/standin/$(plain_address "$1")/$2"; }
platform_url() { echo "http://$(platform_address)/standin/$1"; }

plain_vm_json() {
  printf '{"address":"%s","failure_domain":"%s","kind":"backend","service":"%s","state":"live"}' \
    "$(plain_address "$1")" "$([ "$1" = 0 ] && echo a || echo b)" "$plain_service"
}

plain_server_json() {
  printf '{"listen":"%s","service":"%s","latency_ms":%s,"slots":%s,"queue_max":512}' \
    "$(plain_address "$1")" "$plain_service" "$plain_latency_ms" "$plain_slots"
}

plain_record_json() { printf '{"url":"%s"}' "$(plain_url "$1" record)"; }

# shellcheck disable=SC2086
write_plain_standins() {
  {
    printf '{"platform":{"listen":"%s","latency_ms":2,"threads":2048,"writes_per_s":%s,"vms":[\n' \
      "$(platform_address)" "$platform_writes_per_s"
    each entry_vm_json ',
' $entry_vms
    printf ',\n'
    each plain_vm_json ',
' $plain_servers
    printf ']}}\n'
  } >"$run/platform.json"
  {
    printf '{"admin":"%s","services":[\n' "$(plain_admin)"
    each plain_server_json ',
' $plain_servers
    printf ']}\n'
  } >"$run/services.json"
}

# Starts the deployment, waits until each entry VM reaches the service, and clears
# the records of the requests that ran meanwhile.
plain_start() {
  write_plain_standins
  start platform "$build/standin/eelgrass-standin" "$run/platform.json"
  start services "$build/standin/eelgrass-standin" "$run/services.json"
  wait_for "http://$(platform_address)/vms"
  wait_for "http://$(plain_admin)/standin"
  for domain_name in $entry_vms; do
    write_settings "$domain_name"
    start_entry "$domain_name"
  done
  for domain_name in $entry_vms; do
    wait_for_service "$domain_name"
  done
  sleep 1 # until each entry VM knows both servers
  for server in $plain_servers; do
    curl -sf -X DELETE -o /dev/null "$(plain_url "$server" record)"
  done
}

# wait_for_service DOMAIN: waits until its entry VM reaches the service; exits with 3
# after 100 tries.
wait_for_service() {
  tries=0
  until curl -sf -m 2 -o /dev/null -H "X-Organisation: registry" \
    "http://$(callers_address "$1")/services/$plain_service/ready"; do
    check_running
    tries=$((tries + 1))
    [ $tries -lt 100 ] || { say "entry VM of failure domain $1 does not reach service $plain_service"; exit 3; }
    sleep 0.1
  done
}

# Prints the member "records" of a scenario.
# shellcheck disable=SC2086
plain_records_json() {
  printf '"records":['
  each plain_record_json , $plain_servers
  printf ']'
}

# once NAME SEED: runs the scenario $run/NAME.json and writes its results to
# $results/NAME.*.
once() {
  once_code=0
  "$build/standin/eelgrass-once" "$run/$1.json" --seed "$2" \
    --json "$results/$1.json" --values "$results/$1.txt" \
    --sendings "$results/$1.sendings" >"$results/$1.table" || once_code=$?
  cat "$results/$1.table"
  if [ $once_code -ne 0 ]; then
    say "$1: eelgrass-once failed with exit code $once_code"
    run_failed=1
  fi
}
