# Shell functions that run a deployment of stand-ins and entry VMs on this
# machine. To be sourced; the caller sets -eu and changes to the top directory
# of the sources.
#
# There are three failure domains a, b and c; each has one entry VM and one
# process with its engine stand-ins. Engine I of a domain serves stage I modulo
# $stages.

build=${EG_BUILD:-build}
port_base=${EG_PORT_BASE:-8000}
domains="a b c"
model=lineage-8b
service=lineage-llm

# Parameters; scripts override them before they call cluster_start.
engines=4          # per failure domain, unless engines_a and so on are set
own_process=       # engine, as DOMAIN:NUMBER, that runs in a separate process
stages=2
model_layers=32
slots=8
token_us=5000
prefill_us=10
load_lag_ms=100
entry_vms="a b c"  # failure domains that have an entry VM
entry_settings=    # additional lines of the settings files

run=
pids=
run_failed=0 # 1: a load generator ended with an error, such as wrong answers

say() {
  printf '%s\n' "$*" >&2
}

# require TOOL...: exits if a program is not installed.
require() {
  for tool in "$@"; do
    command -v "$tool" >/dev/null || { say "$tool is not installed"; exit 2; }
  done
}

# begin NAME: creates the directories and sets a trap that ends all started
# processes at exit.
begin() {
  require curl awk
  run=$build/run/$1
  results=$build/results
  rm -rf "$run"
  mkdir -p "$run" "$results"
  trap finish EXIT
  trap 'exit 130' INT TERM
}

# start NAME COMMAND...: runs a command in the background, with its pid in
# $run/NAME.pid and its output in $run/NAME.log.
start() {
  name=$1
  shift
  "$@" >"$run/$name.log" 2>&1 &
  echo $! >"$run/$name.pid"
  pids="$pids $!"
}

# stop NAME [SIGNAL]: sends TERM or another signal to a started process.
stop() {
  kill -s "${2:-TERM}" "$(cat "$run/$1.pid")" 2>/dev/null || true
}

# Ends the started processes by pid: sends TERM, and KILL after 3 s. CONT comes
# first, as a stopped process doesn't handle TERM.
finish() {
  trap - EXIT
  for pid in $pids; do
    kill -s CONT "$pid" 2>/dev/null || true
    kill -s TERM "$pid" 2>/dev/null || true
  done
  for pid in $pids; do
    tries=0
    while kill -0 "$pid" 2>/dev/null && [ $tries -lt 30 ]; do
      sleep 0.1
      tries=$((tries + 1))
    done
    kill -s KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  pids=
}

# Exits with 3 if a started process has ended by itself.
check_running() {
  for pid in $pids; do
    kill -0 "$pid" 2>/dev/null && continue
    for file in "$run"/*.pid; do
      [ "$(cat "$file")" = "$pid" ] || continue
      say "$(basename "$file" .pid) ended unexpectedly; end of its log:"
      tail -n 3 "${file%.pid}.log" >&2
    done
    exit 3
  done
}

# wait_for URL [PATTERN]: waits until the URL responds with a 2xx status and
# PATTERN in the body; exits with 3 after 100 tries.
wait_for() {
  tries=0
  until curl -sf -m 2 "$1" 2>/dev/null | grep -q "${2:-}"; do
    check_running
    tries=$((tries + 1))
    if [ $tries -ge 100 ]; then
      say "$1 did not become ready after $tries tries"
      exit 3
    fi
    sleep 0.1
  done
}

domain_number() {
  case $1 in a) echo 0 ;; b) echo 1 ;; *) echo 2 ;; esac
}

platform_address() { echo "127.0.0.1:$port_base"; }
callers_address() { echo "127.0.0.1:$((port_base + 10 + $(domain_number "$1")))"; }
operators_address() { echo "127.0.0.1:$((port_base + 20 + $(domain_number "$1")))"; }
own_admin_address() { echo "127.0.0.1:$((port_base + 40))"; }
admin_address() { echo "127.0.0.1:$((port_base + 30 + $(domain_number "$1")))"; }
engine_address() { echo "127.0.0.1:$((port_base + 100 + 100 * $(domain_number "$1") + $2))"; }

# stage_layers STAGE: prints [FIRST, LAST], counted from 1.
stage_layers() {
  echo "[$((model_layers * $1 / stages + 1)), $((model_layers * ($1 + 1) / stages))]"
}

# control_url DOMAIN NUMBER faults|record: prints the URL at which an engine
# stand-in accepts faults or returns its record. It is on the admin listener, so
# that it works while the listener of the engine is closed.
control_url() {
  if [ "$1:$2" = "$own_process" ]; then
    admin=$(own_admin_address)
  else
    admin=$(admin_address "$1")
  fi
  echo "http://$admin/standin/$(engine_address "$1" "$2")/$3"
}

# each FUNCTION SEPARATOR ITEM...: calls FUNCTION with each item; prints SEPARATOR
# between the outputs.
each() {
  function=$1
  separator=
  next_separator=$2
  shift 2
  for item in "$@"; do
    printf '%s' "$separator"
    # shellcheck disable=SC2086
    $function $item
    separator=$next_separator
  done
}

# engine_numbers DOMAIN: prints the numbers of its engines, one per line.
engine_numbers() {
  eval "count=\${engines_$1:-$engines}"
  awk -v n="$count" 'BEGIN { for (i = 0; i < n; i++) print i }'
}

# Prints all engines as DOMAIN:NUMBER, one per line.
all_engines() {
  for domain in $domains; do
    for number in $(engine_numbers "$domain"); do
      echo "$domain:$number"
    done
  done
}

# split_engine DOMAIN:NUMBER: sets $domain and $number.
split_engine() {
  domain=${1%%:*}
  number=${1##*:}
}

engine_json() {
  split_engine "$1"
  printf '{"listen":"%s","server":"%s%s","service":"%s","model":"%s",' \
    "$(engine_address "$domain" "$number")" "$domain" "$number" "$service" "$model"
  printf '"version":"1","layers":%s,"model_layers":%s,"accelerator":"large",' \
    "$(stage_layers $((number % stages)))" "$model_layers"
  printf '"slots":%s,"token_us":%s,"prefill_us":%s,"load_lag_ms":%s}' \
    "$slots" "$token_us" "$prefill_us" "$load_lag_ms"
}

backend_vm_json() {
  split_engine "$1"
  printf '{"address":"%s","failure_domain":"%s","kind":"backend","service":"%s","state":"live"}' \
    "$(engine_address "$domain" "$number")" "$domain" "$service"
}

entry_vm_json() {
  printf '{"address":"%s","failure_domain":"%s","kind":"entry","service":"","state":"live"}' \
    "$(callers_address "$1")" "$1"
}

record_json() {
  split_engine "$1"
  printf '{"url":"%s"}' "$(control_url "$domain" "$number" record)"
}

target_json() { printf '{"address":"%s"}' "$(callers_address "$1")"; }

# shellcheck disable=SC2046,SC2086
targets_json() { printf '"targets":['; each target_json , $entry_vms; printf ']'; }

# shellcheck disable=SC2046
audit_json() {
  printf '"audit":{"model_layers":%s,"records":[' "$model_layers"
  each record_json , $(all_engines)
  printf ']}'
}

# shellcheck disable=SC2046,SC2086
write_platform() {
  {
    printf '{"platform":{"listen":"%s","latency_ms":2,"vms":[\n' "$(platform_address)"
    each entry_vm_json ',
' $entry_vms
    printf ',\n'
    each backend_vm_json ',
' $(all_engines)
    printf ']}}\n'
  } >"$run/platform.json"
}

# write_engines FILE ADMIN-ADDRESS ENGINE...: writes the configuration of a process
# of engine stand-ins.
write_engines() {
  file=$1
  printf '{"admin":"%s","engines":[\n' "$2" >"$file"
  shift 2
  each engine_json ',
' "$@" >>"$file"
  printf ']}\n' >>"$file"
}

# start_engines DOMAIN: starts the engines of a failure domain, but for the one that
# runs in a separate process.
# shellcheck disable=SC2046
start_engines() {
  write_engines "$run/engines-$1.json" "$(admin_address "$1")" \
    $(all_engines | grep "^$1:" | grep -vx "${own_process:-none}")
  start "engines-$1" "$build/standin/eelgrass-standin" "$run/engines-$1.json"
}

start_own_engine() {
  write_engines "$run/engine-own.json" "$(own_admin_address)" "$own_process"
  start engine-own "$build/standin/eelgrass-standin" "$run/engine-own.json"
  wait_for "http://$(own_admin_address)/standin"
}

# write_settings DOMAIN: writes the settings file of its entry VM.
write_settings() {
  {
    cat <<EOF
node.name = "entry-$1"
node.failure_domain = "$1"
listen.callers = "$(callers_address "$1")"
listen.operators = "$(operators_address "$1")"
platform.address = "$(platform_address)"
log.level = "notice"
EOF
    printf '%s\n' "$entry_settings"
  } >"$run/entry-$1.toml"
}

start_entry() {
  start "entry-$1" "$build/router/eelgrasswood" --settings "$run/entry-$1.toml"
}

# Starts the deployment and waits until all entry VMs serve the model.
cluster_start() {
  write_platform
  start platform "$build/standin/eelgrass-standin" "$run/platform.json"
  for domain_name in $domains; do
    start_engines "$domain_name"
  done
  [ -z "$own_process" ] || start_own_engine
  wait_for "http://$(platform_address)/vms"
  for domain_name in $domains; do
    wait_for "http://$(admin_address "$domain_name")/standin"
  done
  for domain_name in $entry_vms; do
    write_settings "$domain_name"
    start_entry "$domain_name"
  done
  for domain_name in $entry_vms; do
    wait_for "http://$(callers_address "$domain_name")/v1/models" "$model"
  done
  sleep 1 # until all engines have reported their load
}

# load NAME SEED: runs the scenario $run/NAME.json and writes its results to
# $results/NAME.*.
load() {
  load_code=0
  "$build/standin/eelgrass-load" "$run/$1.json" --seed "$2" --quiet \
    --json "$results/$1.json" --svg "$results/$1.svg" \
    --values "$results/$1.txt" >"$results/$1.table" || load_code=$?
  cat "$results/$1.table"
  if [ $load_code -ne 0 ]; then
    say "$1: eelgrass-load failed with exit code $load_code"
    run_failed=1
  fi
}

# value NAME KEY: prints a value of the results.
value() {
  awk -v key="$2" '$1 == key { print $2 }' "$results/$1.txt"
}

# calculate EXPRESSION: prints the value of an awk expression with two decimals.
calculate() {
  awk "BEGIN { printf \"%.2f\", $1 }"
}

# verdict TEXT CONDITION: prints whether an awk condition is met.
verdict() {
  if awk "BEGIN { exit !($2) }"; then
    printf '  met      %s\n' "$1"
  else
    printf '  NOT MET  %s\n' "$1"
  fi
}

# resident_kb NAME: prints the resident memory of a started process, in kB.
resident_kb() {
  awk '/^VmRSS:/ { print $2 }' "/proc/$(cat "$run/$1.pid")/status"
}
