# A short load that mixes all kinds of requests: streamed and not streamed, with an
# idempotency key, with a deadline too short to be met, and for a model or service
# that does not exist. Sourced by tools/experiment; EG_SEED is the seed.

mixed_streams() {
  cat <<EOF
{"name":"whole","organisation":"registry","model":"$model","rate_per_s":30,"stream":false,"max_tokens":{"min":1,"max":40},"deadline_ms":5000},
{"name":"late","organisation":"exchange","class":"bulk","model":"$model","rate_per_s":10,"max_tokens":200,"deadline_ms":300},
{"name":"keyed","organisation":"exchange","class":"counter","model":"$model","rate_per_s":10,"max_tokens":20,"idempotency_key":true},
{"name":"absent","organisation":"exchange","class":"standard","model":"none","rate_per_s":5},
{"name":"service","organisation":"exchange","class":"standard","path":"/services/none/x","method":"POST","body":"{}","rate_per_s":5}
EOF
}

experiment() {
  engines=4
  slots=8
  token_us=2000
  begin mixed
  cluster_start
  cat >"$run/mixed.json" <<EOF
{"name":"mixed","choice":"random","warm_up_ms":500,"duration_ms":4000,
$(targets_json),$(audit_json),"phases":[{"at_ms":2000,"rate_factor":2}],
"streams":[$(mixed_streams)]}
EOF
  load mixed "${EG_SEED:-3}"
  finish
  {
    # Results are grouped by class; groups 0 to 3: none, bulk, counter, standard.
    verdict "requests that can be served are complete" \
      "$(value mixed groups.0.whole) == $(value mixed groups.0.arrivals)"
    verdict "requests with an idempotency key are complete" \
      "$(value mixed groups.2.whole) == $(value mixed groups.2.arrivals)"
    verdict "requests past their deadline are never complete" \
      "$(value mixed groups.1.whole) == 0"
    verdict "requests for an unknown model or service are refused" \
      "$(value mixed groups.3.refused) == $(value mixed groups.3.arrivals)"
  } >"$results/mixed.summary"
  say ""
  cat "$results/mixed.summary"
}
