#!/bin/sh
# Runs every benchmark program in turn and prints its lines
#   bench NAME VALUE UNIT BOUND VERDICT
# where BOUND is "-" and VERDICT is "slope" for figures without a bound. Exits
# with 1 if a program failed, and with 3 if a figure missed its bound.
set -eu
build=${1:-build}
lines=$(mktemp)
trap 'rm -f "$lines"' EXIT
failed=0
for program in "$build"/bin/*_bench_*; do
	[ -x "$program" ] || continue
	"$program" >>"$lines" || {
		echo "bench program failed: $(basename "$program")" >&2
		failed=1
	}
done
grep '^bench ' "$lines" || true
[ "$failed" -eq 0 ] || exit 1
missed=$(grep -c '^bench .* missed$' "$lines" || true)
if [ "$missed" -ne 0 ]; then
	echo "$missed figures missed their bounds" >&2
	exit 3
fi
