#!/bin/sh
# build.sh -- builds the stand-in and the client that the scripts of the review
# start, with the libraries of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
libs="libmicrohttpd jansson glib-2.0"
# shellcheck disable=SC2046
cc -std=gnu11 -D_GNU_SOURCE -O2 -I. -o target/review/platform review/standin/platform.c \
  tests/standin/server.c $(pkg-config --cflags $libs) \
  $(pkg-config --libs $libs) -pthread
# shellcheck disable=SC2046
cc -std=gnu11 -O2 -o target/review/call review/standin/call.c \
  $(pkg-config --cflags --libs libcurl)
