#!/bin/bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2, with the
# packages that the deploy file names.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
libraries=$(pkg-config --cflags --libs glib-2.0 jansson libmicrohttpd libcurl)
compile="${CC:-cc} -std=gnu11 -O2 -g -Wall -D_GNU_SOURCE -I."
$compile -o target/review-2/platform review/standin-2/platform.c \
  tests/standin/server.c $libraries -lpthread
$compile -o target/review-2/client review/standin-2/client.c $libraries \
  -lpthread
