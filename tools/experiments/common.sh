# Shell functions that lay out a deployment of stand-ins and entry VMs on this
# machine. To be read with `.`; the reader sets -eu and stands in the top
# directory.
#
# Three failure domains a, b and c; each has one entry VM and one process of
# engine stand-ins. Engine I of a domain holds stage I modulo $stages.

build=${EG_BUILD:-build}
port_base=${EG_PORT_BASE:-8000}
domains="a b c"
model=lineage-8b
service=lineage-llm

# Sizes; scripts set them before they call cluster_start.
engines=4          # of each failure domain, unless engines_a and so on are set
own_process=       # engine, as DOMAIN:NUMBER, that has a process of its own
stages=2
model_layers=32
slots=8
token_us=5000
prefill_us=10
load_lag_ms=100
entry_vms="a b c"  # failure domains that have an entry VM
entry_settings=    # further lines of the settings files

run=
pids=
faulty=0 # whether a run gave wrong answers or did not go as planned

say() {
  printf '%s\n' "$*" >&2
}

need() {
  for tool in "$@"; do
    command -v "$tool" >/dev/null || { say "$tool is not installed"; exit 2; }
  done
}

# begin NAME: makes the directories and sees to the end of all processes.
begin() {
  need curl awk
  run=$build/run/$1
  results=$build/results
  rm -rf "$run"
  mkdir -p "$run" "$results"
  trap finish EXIT
  trap 'exit 130' INT TERM
}

# start NAME COMMAND...: its pid goes to $run/NAME.pid, its output to a log.
start() {
  name=$1
  shift
  "$@" >"$run/$name.log" 2>&1 &
  echo $! >"$run/$name.pid"
  pids="$pids $!"
}

# stop NAME [SIGNAL]
stop() {
  kill -s "${2:-TERM}" "$(cat "$run/$1.pid")" 2>/dev/null || true
}

# Ends what start began, by pid: politely, then for good.
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

# Ends the script if a process that it started has ended by itself.
check_running() {
  for pid in $pids; do
    kill -0 "$pid" 2>/dev/null && continue
    for file in "$run"/*.pid; do
      [ "$(cat "$file")" = "$pid" ] || continue
      say "$(basename "$file" .pid) has ended:"
      tail -n 3 "${file%.pid}.log" >&2
    done
    exit 3
  done
}

# wait_for URL [PATTERN]: until it answers 200 with PATTERN in the body.
wait_for() {
  tries=0
  until curl -sf -m 2 "$1" 2>/dev/null | grep -q "${2:-}"; do
    check_running
    tries=$((tries + 1))
    if [ $tries -ge 100 ]; then
      say "$1 did not become ready"
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

# stage_layers STAGE: [FIRST, LAST]
stage_layers() {
  echo "[$((model_layers * $1 / stages + 1)), $((model_layers * ($1 + 1) / stages))]"
}

# control_url DOMAIN NUMBER SUBJECT: where an engine stand-in takes faults and
# shows its record, even while its own listener is closed.
control_url() {
  if [ "$1:$2" = "$own_process" ]; then
    admin=$(own_admin_address)
  else
    admin=$(admin_address "$1")
  fi
  echo "http://$admin/standin/$(engine_address "$1" "$2")/$3"
}

# each FUNCTION SEPARATOR ITEM...: what FUNCTION prints for each item.
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

# engine_numbers DOMAIN
engine_numbers() {
  eval "count=\${engines_$1:-$engines}"
  awk -v n="$count" 'BEGIN { for (i = 0; i < n; i++) print i }'
}

# All engines as DOMAIN:NUMBER, a line each.
all_engines() {
  for domain in $domains; do
    for number in $(engine_numbers "$domain"); do
      echo "$domain:$number"
    done
  done
}

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

# write_engines FILE ADMIN ENGINE...
write_engines() {
  file=$1
  printf '{"admin":"%s","engines":[\n' "$2" >"$file"
  shift 2
  each engine_json ',
' "$@" >>"$file"
  printf ']}\n' >>"$file"
}

# start_engines DOMAIN: those that have no process of their own.
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

# write_settings DOMAIN
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

# Starts the whole deployment and waits until it serves the model.
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
  sleep 1 # for the first load reports of all engines
}

# load NAME SEED: runs $run/NAME.json; results go to $results/NAME.*
load() {
  load_code=0
  "$build/standin/eelgrass-load" "$run/$1.json" --seed "$2" --quiet \
    --json "$results/$1.json" --svg "$results/$1.svg" \
    --values "$results/$1.txt" >"$results/$1.table" || load_code=$?
  cat "$results/$1.table"
  if [ $load_code -ne 0 ]; then
    say "$1: eelgrass-load ended with code $load_code"
    faulty=1
  fi
}

# value NAME KEY: a number of the results.
value() {
  awk -v key="$2" '$1 == key { print $2 }' "$results/$1.txt"
}

# calculate EXPRESSION: with two decimals.
calculate() {
  awk "BEGIN { printf \"%.2f\", $1 }"
}

# verdict TEXT CONDITION: prints whether an awk condition holds.
verdict() {
  if awk "BEGIN { exit !($2) }"; then
    printf '  met      %s\n' "$1"
  else
    printf '  NOT MET  %s\n' "$1"
  fi
}

# resident_kb NAME: memory of a process in kB.
resident_kb() {
  awk '/^VmRSS:/ { print $2 }' "/proc/$(cat "$run/$1.pid")/status"
}
