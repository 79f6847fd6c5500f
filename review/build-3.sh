#!/bin/sh
# Builds the stand-ins of the third review into target/review-3.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
${CC:-cc} -std=gnu11 -O2 -Wall -Wextra -o target/review-3/box \
	review/standins-3/box.c $(pkg-config --cflags --libs libevent jansson)
