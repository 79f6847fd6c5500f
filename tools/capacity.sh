#!/bin/sh
# capacity.sh [FILE]: regenerates the tables between the markers in
# docs/CAPACITY.md from FILE, the output of `make bench`. Without FILE, runs the
# benchmarks in build/ first.
set -eu
cd "$(dirname "$0")/.."
page=docs/CAPACITY.md
results=${1:-}
work_dir=$(mktemp -d)
trap 'rm -rf "$work_dir"' EXIT
if [ -z "$results" ]; then
	results=$work_dir/results
	tools/bench.sh build >"$results" || [ $? -eq 3 ]
fi
awk -f tools/capacity.awk "$results" >"$work_dir/tables"
awk -v tables="$work_dir/tables" '
	/<!-- tables: begin -->/ { print; print ""
		while ((getline line <tables) > 0) print line
		print ""; skip = 1 }
	/<!-- tables: end -->/ { skip = 0 }
	!skip { print }' "$page" >"$work_dir/page"
grep -q '<!-- tables: end -->' "$work_dir/page"
cat "$work_dir/page" >"$page"
