#!/bin/sh
# bench.sh [BUILD]: runs every benchmark program in turn and prints its lines
#   bench NAME VALUE UNIT BOUND VERDICT
# VERDICT is ok or FAIL; "-" or "info" marks a figure without a bound. Exits
# with status 1 if a program failed, or with 3 if a figure missed its bound.
set -eu
build=${1:-build}
output=$(mktemp)
trap 'rm -f "$output"' EXIT
failed=0
missed=0
for program in "$build"/bin/*_bench_*; do
	[ -x "$program" ] || continue
	: >"$output"
	status=0
	"$program" >"$output" || status=$?
	grep '^bench ' "$output" || true
	if grep -q '^bench .* FAIL$' "$output"; then
		missed=$((missed + $(grep -c '^bench .* FAIL$' "$output")))
	elif [ "$status" -ne 0 ]; then
		echo "benchmark failed: $(basename "$program") (exit status $status)" >&2
		failed=1
	fi
done
tools/bench_cell.sh "$build" || failed=1
[ "$failed" -eq 0 ] || exit 1
if [ "$missed" -ne 0 ]; then
	echo "$missed figures missed their bounds" >&2
	exit 3
fi
