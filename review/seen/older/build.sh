#!/bin/sh
# Builds the older version that run.sh starts, from the repository's history,
# into target/review-2/older. Run it after review/build-2.sh.
set -eu
cd "$(dirname "$0")/../../.."
commit=5600bb071a556d03bb930462d2c9e78576b60bdd
older=target/review-2/older
rm -rf "$older"
mkdir -p "$older"
git archive "$commit" | tar -x -C "$older"
cd "$older"
cmake -S . -B target -DCMAKE_BUILD_TYPE=Release -DEG_BUILD_TESTS=OFF
cmake --build target -j8 --target eelgrass-entry
