#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves the disruption out.
folder=$(mktemp -d) || exit 2
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../../.." || exit 2
child=
clean_up () {
  [ -z "$child" ] || kill "$child" 2>/dev/null
  for file in "$folder"/vm-*.pid; do
    [ -f "$file" ] || continue
    pid=$(cat "$file")
    [ "$pid" -gt 0 ] && [ -d "/proc/$pid" ] \
      && [ "$(readlink "/proc/$pid/cwd")" = "$PWD" ] && kill -KILL "$pid"
  done 2>/dev/null
  rm -rf "$folder"
}
trap clean_up EXIT
trap 'exit 2' INT TERM
for program in target/entry/eelgrass-entry target/review-2/alike; do
  if [ ! -x "$program" ]; then
    echo "$program is not built" >&2
    exit 2
  fi
done
timeout 100 target/review-2/alike target/entry/eelgrass-entry "$folder" \
  "$here/record.txt" "${TROUBLE:-1}" "${SEED:-1}" &
child=$!
wait "$child"
result=$?
child=
[ "$result" -le 1 ] || result=2
exit "$result"
