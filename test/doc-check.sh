#!/bin/sh
# Checks that DOCUMENT contains each line that PROGRAM prints.
# Usage: doc-check.sh PROGRAM DOCUMENT
set -eu
lines=$(mktemp)
trap 'rm -f "$lines"' EXIT
"$1" >"$lines"
[ -s "$lines" ]
missing=0
while IFS= read -r line; do
  if ! grep -qxF -- "$line" "$2"; then
    echo "not in $2: $line"
    missing=1
  fi
done <"$lines"
exit $missing
