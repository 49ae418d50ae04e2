#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10, and of
# review/seen, start, into
# target/review-2. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
shared="test/soak/store.c test/soak/http_server.c net/socket.c net/exchange.c
  net/http_reader.c net/http_head.c base/buffer.c base/clock.c base/hash.c
  base/map.c base/str.c base/status.c base/random.c base/log.c"
deployment="review/standin-2/deployment.c review/standin-2/path.c
  test/soak/ports.c"
build () {
  name=$1
  shift
  # shellcheck disable=SC2046,SC2086
  cc -O2 -g -D_GNU_SOURCE -DEG_TEST_PORTS='"178"' -I. \
    -o "target/review-2/$name" "review/standin-2/$name.c" "$@" $shared \
    $(pkg-config --cflags --libs libuv jansson) -lhttp_parser -lpthread -lm
}
for name in replaced alike; do
  build "$name"
done
for name in orders empty bodies; do
  build "$name" test/soak/ports.c
done
for name in again held head older-vms; do
  # shellcheck disable=SC2086
  build "$name" $deployment
done
