#!/bin/sh
# Verifies test/claim.pml with spin: the model must have no error, and each
# BROKEN variant must have one. Usage: spin-check.sh MODEL [--full]
# --full also checks three runners with delayed writes (1 minute, 2 GB).
set -eu
model=$(realpath "$1")
full=${2:-}
variants=7
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
cd "$scratch"

# verify BROKEN RUNNERS READS_MAX DELAYS_MAX: runs the verifier with its output
# in the file "report".
verify ()
{
  spin "-DBROKEN=$1" "-DRUNNERS=$2" "-DREADS_MAX=$3" "-DDELAYS_MAX=$4" \
    -a "$model"
  gcc -O1 -w -DSAFETY -DCOLLAPSE -o pan pan.c
  ./pan -m1000000 >report
}

# verify_model RUNNERS READS_MAX DELAYS_MAX: expects no error in the model.
verify_model ()
{
  verify 0 "$@"
  echo "runners=$1 reads=$2 delays=$3: $(grep -o 'errors: [0-9]*' report)," \
    "$(grep 'states, stored' report | tr -s ' ')"
  grep -q 'errors: 0' report && ! grep -q 'depth too small' report
}

verify_model 2 3 255
verify_model 3 1 0
if [ "$full" = --full ]; then
  verify_model 3 1 255
fi
for variant in $(seq "$variants"); do
  verify "$variant" 2 2 255
  if ! grep -q 'assertion violated' report; then
    echo "BROKEN=$variant: no violation found"
    exit 1
  fi
  echo "BROKEN=$variant: $(grep -o 'assertion violated.*' report)"
done
