# Measures the time from the acceptance of a rules edit until it is in force on all
# of nine entry VMs in three failure domains. Sourced by tools/experiment; EG_EDITS
# is the number of edits.
#
# Both times come from the logs of the nodes: `event=edit ... result=accepted` of the
# node that accepted the edit, `event=rules-in-force` of each node. All nodes run on
# one machine, so their clocks agree.

rules_edits=${EG_EDITS:-200}
rules_nodes="a1 a2 a3 b1 b2 b3 c1 c2 c3"
rules_token=experiment

# rules_port_offset NODE: prints a number from 1 to 9.
rules_port_offset() {
  echo $((3 * $(domain_number "${1%?}") + ${1#?}))
}

rules_operators_address() { echo "127.0.0.1:$((port_base + 20 + $(rules_port_offset "$1")))"; }

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
listen.callers = "127.0.0.1:$((port_base + 10 + $(rules_port_offset "$1")))"
listen.operators = "$(rules_operators_address "$1")"
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
    wait_for "http://$(rules_operators_address "$node")/metrics"
  done
}

# rules_ctl NODE ARGUMENT...: runs eelgrassctl against a node.
rules_ctl() {
  EELGRASS_NODE=$(rules_operators_address "$1")
  EELGRASS_TOKEN=$rules_token
  EELGRASS_WHO=operator
  export EELGRASS_NODE EELGRASS_TOKEN EELGRASS_WHO
  shift
  "$build/ctl/eelgrassctl" "$@"
}

# version_on NODE: prints the version of the rules on a node.
version_on() {
  rules_ctl "$1" status --json | sed 's/.*"version":\([0-9]*\).*/\1/'
}

# Waits until each node has the current version of node a1, or a newer one.
rules_wait_for_all() {
  wanted=$(version_on a1)
  for node in $rules_nodes; do
    tries=0
    until [ "$(version_on "$node")" -ge "$wanted" ]; do
      tries=$((tries + 1))
      [ $tries -lt 100 ] || { say "$node has not reached version $wanted of the rules"; exit 3; }
      sleep 0.1
    done
  done
}

# rules_edit_all FIRST LAST: makes the edits with these numbers, on the nodes in
# turn; counts conflicts in $conflicts.
rules_edit_all() {
  edit=$1
  while [ "$edit" -le "$2" ]; do
    for node in $rules_nodes; do
      [ "$edit" -le "$2" ] || break
      # A node that does not yet have the previous edit answers with a conflict.
      until rules_ctl "$node" rules edit --add \
        "limit organisation=o$edit rate=$edit/s # Ploy, edit $edit" \
        >>"$run/edits.log" 2>&1; do
        conflicts=$((conflicts + 1))
        [ $conflicts -lt 1000 ] || { say "more than 1000 edit conflicts"; exit 3; }
        sleep 0.1
      done
      edit=$((edit + 1))
    done
  done
}

# Prints for each accepted version: the time in ms until it was in force on the
# last node, the number of nodes on which it was in force, and the version. A node
# that went straight to a newer version counts with the time of that version.
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

# quantile FILE SHARE: prints a quantile, 0 to 1, of the first column of a sorted
# file.
quantile() {
  awk -v q="$2" '{ v[NR] = $1 }
    END { i = int(q * NR + 0.9999999); print v[i < 1 ? 1 : i] }' "$1"
}

# rules_report NAME TITLE FIRST LAST: appends the results for a range of versions
# to the summary.
rules_report() {
  rules_delays | awk -v first="$3" -v last="$4" '$3 >= first && $3 <= last' \
    >"$results/rules-$1.delays"
  count=$(wc -l <"$results/rules-$1.delays")
  incomplete=$(awk '$2 != 9' "$results/rules-$1.delays" | wc -l)
  {
    printf '%s: %s edits accepted, in force on all 9 nodes after p50 %s, p99 %s, at most %s ms; %s not on all nodes; %s edit conflicts\n' \
      "$2" "$count" "$(quantile "$results/rules-$1.delays" 0.5)" \
      "$(quantile "$results/rules-$1.delays" 0.99)" \
      "$(quantile "$results/rules-$1.delays" 1)" "$incomplete" "$conflicts"
    verdict "p99 < 1000 ms, on all nodes" \
      "$(quantile "$results/rules-$1.delays" 0.99) < 1000 && $incomplete == 0 && $count > 0"
  } >>"$results/rules.summary"
}

experiment() {
  begin rules
  : >"$results/rules.summary"
  rules_start
  conflicts=0
  rules_edit_all 1 "$rules_edits"
  rules_wait_for_all
  last=$(version_on a1)
  rules_report quick "store of 2 ms" 1 "$last"
  first=$((last + 1))
  curl -sf -X POST -d '{"fault":"slow","ms":200}' \
    "http://127.0.0.1:$((port_base + 1))/standin/$(platform_address)/faults" >/dev/null
  conflicts=0
  rules_edit_all $((rules_edits + 1)) $((rules_edits + rules_edits / 4))
  rules_wait_for_all
  rules_report slow "store slowed by 200 ms" "$first" "$(version_on a1)"
  finish
  say ""
  cat "$results/rules.summary"
}
