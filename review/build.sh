#!/bin/sh
# Builds the stand-ins and the scenarios of the cases that have a script, into
# review/build. They use libevent and jansson, as the project does.
set -eu
cd "$(dirname "$0")"
mkdir -p build
flags=$(pkg-config --cflags --libs libevent jansson)
for scenario in [1-5]/case.c; do
	[ -f "$scenario" ] || continue
	number=${scenario%/case.c}
	# shellcheck disable=SC2086
	${CC:-cc} -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -Istandin \
		-o "build/case-$number" "$scenario" standin/*.c $flags -lpthread
done
