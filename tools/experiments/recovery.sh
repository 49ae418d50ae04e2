# Measures the recovery time after each kind of failure, under load. Sourced by
# tools/experiment; EG_CASES selects cases.

fault_at_ms=9000

# post_fault LABEL FAULT: prints a fault of engine 1 in failure domain a.
post_fault() {
  printf '{"at_ms":%s,"label":"%s","post":{"url":"%s","body":{"fault":"%s"}}}' \
    $fault_at_ms "$1" "$(control_url a 1 faults)" "$2"
}

# signal_fault LABEL PROCESS SIGNAL: prints a fault that sends a signal to a
# started process.
signal_fault() {
  printf '{"at_ms":%s,"label":"%s","kill":{"pid_file":"%s","signal":"%s"}}' \
    $fault_at_ms "$1" "$run/$2.pid" "$3"
}

# case_faults CASE: prints the faults of a case.
case_faults() {
  case $1 in
  stage-dies) post_fault "stage dies" die ;;
  stage-hangs) post_fault "stage hangs" hang ;;
  backend-vm-killed) signal_fault "backend VM killed" engine-own KILL ;;
  backend-vm-silent) signal_fault "backend VM silent" engine-own STOP ;;
  entry-vm-killed) signal_fault "entry VM killed" entry-b KILL ;;
  entry-vm-silent) signal_fault "entry VM silent" entry-b STOP ;;
  failure-domain-lost)
    signal_fault "engines of a failure domain lost" engines-c KILL
    printf ','
    signal_fault "its entry VM lost" entry-c KILL
    ;;
  esac
}

# The load is half of the capacity, so that two of the three failure domains can
# serve it.
recovery_scenario() {
  {
    printf '{"name":"recovery-%s","warm_up_ms":3000,"duration_ms":20000,' "$1"
    printf '"drain_ms":15000,"request_timeout_ms":15000,"fail_over":true,'
    printf '"health_interval_ms":500,'
    targets_json
    printf ','
    audit_json
    printf ',"streams":['
    printf '{"name":"counter","organisation":"registry","class":"counter",'
    printf '"arrivals":"uniform","rate_per_s":40,"max_tokens":80,"model":"%s"},' "$model"
    printf '{"name":"bulk","organisation":"exchange","class":"bulk",'
    printf '"arrivals":"uniform","rate_per_s":20,"max_tokens":80,"model":"%s"}],' "$model"
    printf '"faults":['
    case_faults "$1"
    printf ']}\n'
  } >"$run/recovery-$1.json"
}

recovery_case() {
  begin "recovery-$1"
  cluster_start
  recovery_scenario "$1"
  load "recovery-$1" 1
  finish
  file=recovery-$1
  if [ -z "$(value "$file" faults.0.recovery.time_ms)" ]; then
    after="NOT RECOVERED within 14 s"
  else
    after="recovered after $(value "$file" faults.0.recovery.time_ms) ms"
  fi
  printf '%-20s %s; %s in flight, %s of them complete; in total %s complete, %s refused, %s broken off, %s transport errors, %s wrong; layers missing %s, repeated %s, out of order %s\n' \
    "$1" "$after" "$(value "$file" faults.0.in_flight)" \
    "$(value "$file" faults.0.in_flight_whole)" "$(value "$file" total.whole)" \
    "$(value "$file" total.refused)" "$(value "$file" total.broken)" \
    "$(value "$file" total.transport)" "$(value "$file" wrong)" \
    "$(value "$file" audit.missing)" "$(value "$file" audit.repeated)" \
    "$(value "$file" audit.out_of_order)" >>"$results/recovery.summary"
}

experiment() {
  engines=4
  slots=8
  token_us=5000
  own_process=a:1
  entry_settings="backend.default_slots = $((slots * stages))"
  mkdir -p "$build/results"
  : >"$build/results/recovery.summary"
  for name in ${EG_CASES:-stage-dies stage-hangs backend-vm-killed \
    backend-vm-silent entry-vm-killed entry-vm-silent failure-domain-lost}; do
    recovery_case "$name"
  done
  say ""
  cat "$results/recovery.summary"
}
