#!/bin/sh
# Builds the stand-ins that the scripts of the third review start:
# review/build-3.sh
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=$(pkg-config --cflags --libs jansson)
parts="review/standin-3/rig.c review/standin-3/platform.c
  review/standin-3/traffic.c"
for case in drill foreign lapse unframed late popular; do
  # shellcheck disable=SC2086
  cc -std=gnu11 -O2 -Wall -Wextra -pthread -o "$out/$case" \
    "review/standin-3/$case.c" $parts $flags
done
