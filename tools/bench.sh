#!/bin/sh
# Runs every benchmark program in turn and prints its lines
#   bench NAME VALUE UNIT BOUND VERDICT
# VERDICT is ok, FAIL or, for a figure without a bound, -. Exits with 1 if a
# program failed, and with 3 if a figure missed its bound.
set -eu
build=${1:-build}
lines=$(mktemp)
trap 'rm -f "$lines"' EXIT
failed=0
missed=0
for program in "$build"/bin/*_bench_*; do
	[ -x "$program" ] || continue
	: >"$lines"
	code=0
	"$program" >"$lines" || code=$?
	grep '^bench ' "$lines" || true
	if grep -q '^bench .* FAIL$' "$lines"; then
		missed=$((missed + $(grep -c '^bench .* FAIL$' "$lines")))
	elif [ "$code" -ne 0 ]; then
		echo "bench program failed: $(basename "$program")" >&2
		failed=1
	fi
done
tools/bench_cell.sh "$build" || failed=1
[ "$failed" -eq 0 ] || exit 1
if [ "$missed" -ne 0 ]; then
	echo "$missed figures missed their bounds" >&2
	exit 3
fi
