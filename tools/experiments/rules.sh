# Time from the acceptance of an edit until it is in force on all of nine entry
# VMs in three failure domains. Read by tools/experiment.
#
# The nodes' logs give both times: `event=edit ... result=accepted` on the one
# that took the edit, `event=rules-in-force` on each. All share one clock.

rules_edits=${EG_EDITS:-200}
rules_nodes="a1 a2 a3 b1 b2 b3 c1 c2 c3"
rules_token=experiment

# rules_port NODE: last digits, from the domain and the number.
rules_port() {
  echo $((3 * $(domain_number "${1%?}") + ${1#?}))
}

rules_operators() { echo "127.0.0.1:$((port_base + 20 + $(rules_port "$1")))"; }

rules_write_platform() {
  cat >"$run/platform.json" <<END
{"admin":"127.0.0.1:$((port_base + 1))",
 "platform":{"listen":"$(platform_address)","latency_ms":2,"vms":[]}}
END
}

rules_write_settings() {
  cat >"$run/$1.toml" <<END
node.name = "$1"
node.failure_domain = "${1%?}"
listen.callers = "127.0.0.1:$((port_base + 10 + $(rules_port "$1")))"
listen.operators = "$(rules_operators "$1")"
platform.address = "$(platform_address)"
operators.token = "$rules_token"
log.level = "notice"
END
}

rules_start() {
  rules_write_platform
  start platform "$build/standin/eelgrass-standin" "$run/platform.json"
  wait_for "http://$(platform_address)/vms"
  for node in $rules_nodes; do
    rules_write_settings "$node"
    start "$node" "$build/router/eelgrasswood" --settings "$run/$node.toml"
  done
  for node in $rules_nodes; do
    wait_for "http://$(rules_operators "$node")/metrics"
  done
}

# rules_control NODE ARGUMENT...
rules_control() {
  EELGRASS_NODE=$(rules_operators "$1")
  EELGRASS_TOKEN=$rules_token
  EELGRASS_WHO=operator
  export EELGRASS_NODE EELGRASS_TOKEN EELGRASS_WHO
  shift
  "$build/ctl/eelgrassctl" "$@"
}

# version_on NODE
version_on() {
  rules_control "$1" status --json | sed 's/.*"version":\([0-9]*\).*/\1/'
}

# Waits until each node has the version of the first one.
rules_wait_for_all() {
  wanted=$(version_on a1)
  for node in $rules_nodes; do
    tries=0
    until [ "$(version_on "$node")" -ge "$wanted" ]; do
      tries=$((tries + 1))
      [ $tries -lt 100 ] || { say "$node has not reached $wanted"; exit 3; }
      sleep 0.1
    done
  done
}

# rules_edit_all FIRST LAST: each edit on the next node in turn.
rules_edit_all() {
  edit=$1
  while [ "$edit" -le "$2" ]; do
    for node in $rules_nodes; do
      [ "$edit" -le "$2" ] || break
      # A node that has not seen the last edit loses the race, and says so.
      until rules_control "$node" rules edit --add \
        "limit organisation=o$edit rate=$edit/s # Ploy, edit $edit" \
        >>"$run/edits.log" 2>&1; do
        lost=$((lost + 1))
        [ $lost -lt 1000 ] || { say "too many lost edits"; exit 3; }
        sleep 0.1
      done
      edit=$((edit + 1))
    done
  done
}

# Prints for each accepted version the time in ms until it was in force on the
# last node, and how many nodes showed it; a node that had already a newer one
# when it looked counts with that.
rules_delays() {
  awk '
    function ms(stamp, part) {
      split(substr(stamp, 12, 12), part, ":")
      return (part[1] * 60 + part[2]) * 60000 + part[3] * 1000
    }
    function value(name, i) {
      for (i = 5; i <= NF; i++)
        if (index($i, name "=") == 1) return substr($i, length(name) + 2)
    }
    /event=edit / && /result=accepted/ { accepted[value("version") + 0] = ms($2) }
    /event=rules-in-force/ {
      version = value("version") + 0
      for (v = reached[FILENAME] + 1; v <= version; v++) {
        if (!(v in last) || ms($2) > last[v]) last[v] = ms($2)
        nodes[v]++
      }
      reached[FILENAME] = version
    }
    END {
      for (v in accepted) print last[v] - accepted[v], nodes[v], v
    }' $(for node in $rules_nodes; do echo "$run/$node.log"; done) | sort -n
}

# quantile FILE SHARE: of the first column of a sorted file.
quantile() {
  awk -v q="$2" '{ v[NR] = $1 }
    END { i = int(q * NR + 0.9999999); print v[i < 1 ? 1 : i] }' "$1"
}

# rules_report NAME TITLE FIRST LAST: of the versions in this range.
rules_report() {
  rules_delays | awk -v first="$3" -v last="$4" '$3 >= first && $3 <= last' \
    >"$results/rules-$1.delays"
  count=$(wc -l <"$results/rules-$1.delays")
  short=$(awk '$2 != 9' "$results/rules-$1.delays" | wc -l)
  {
    printf '%s: %s edits accepted, in force on all 9 nodes after p50 %s, p99 %s, at most %s ms; %s not on all; %s races lost on the way\n' \
      "$2" "$count" "$(quantile "$results/rules-$1.delays" 0.5)" \
      "$(quantile "$results/rules-$1.delays" 0.99)" \
      "$(quantile "$results/rules-$1.delays" 1)" "$short" "$lost"
    verdict "p99 < 1000 ms, on all nodes" \
      "$(quantile "$results/rules-$1.delays" 0.99) < 1000 && $short == 0 && $count > 0"
  } >>"$results/rules.summary"
}

experiment() {
  begin rules
  : >"$results/rules.summary"
  rules_start
  lost=0
  rules_edit_all 1 "$rules_edits"
  rules_wait_for_all
  last=$(version_on a1)
  rules_report quick "store of 2 ms" 1 "$last"
  first=$((last + 1))
  curl -sf -X POST -d '{"fault":"slow","ms":200}' \
    "http://127.0.0.1:$((port_base + 1))/standin/$(platform_address)/faults" >/dev/null
  lost=0
  rules_edit_all $((rules_edits + 1)) $((rules_edits + rules_edits / 4))
  rules_wait_for_all
  rules_report slow "store slowed by 200 ms" "$first" "$(version_on a1)"
  finish
  say ""
  cat "$results/rules.summary"
}
