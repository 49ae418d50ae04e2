#!/bin/sh
# An upgraded entry VM among older ones, while the servers of a service are down.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves the disruption out. Writes record.txt beside this file.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../../.." || exit 2
older=target/review-2/older/target/entry/eelgrass-entry
for program in target/entry/eelgrass-entry target/review-2/older-vms "$older"; do
  if [ ! -x "$program" ]; then
    echo "$program is not built" >&2
    exit 2
  fi
done
timeout 60 target/review-2/older-vms "$here" "$older"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
