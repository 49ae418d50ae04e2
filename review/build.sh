#!/bin/sh
# Builds the stand-ins and the programs of the cases into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
flags="-std=gnu17 -O2 -g -Wall -Wextra -D_GNU_SOURCE -I. $(pkg-config --cflags libuv jansson)"
libraries="$(pkg-config --libs libuv jansson) -lhttp_parser"
parts="review/standin/standin.c review/standin/store.c review/standin/servers.c
  review/standin/vms.c review/standin/clients.c review/standin/drafts.c test/soak/http_server.c
  net/socket.c net/http_head.c net/http_reader.c
  base/buffer.c base/clock.c base/status.c base/str.c"
for source in review/[0-9]*/case.c; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  # shellcheck disable=SC2086
  cc $flags -o "target/review/case-$number" "$source" $parts $libraries
done
