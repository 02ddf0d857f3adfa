#!/bin/bash
# build-3.sh -- builds the stand-ins of review/11 to 14.
cd "$(dirname "$0")/.." || exit 2
mkdir -p review/standin-3/bin
FLAGS="-std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -I."
cc $FLAGS review/standin-3/platform.c tests/standin/server.c \
  -o review/standin-3/bin/platform \
  $(pkg-config --cflags --libs glib-2.0 jansson libmicrohttpd) -lpthread \
  && cc $FLAGS review/standin-3/client.c -o review/standin-3/bin/client \
  && cc $FLAGS review/standin-3/poller.c -o review/standin-3/bin/poller
