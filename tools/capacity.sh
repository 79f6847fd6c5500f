#!/bin/sh
# capacity.sh [FILE]: makes the tables of docs/CAPACITY.md, between its markers,
# from the lines of make bench in FILE, or from those that it runs itself.
set -eu
cd "$(dirname "$0")/.."
page=docs/CAPACITY.md
lines=${1:-}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
if [ -z "$lines" ]; then
	lines=$work/lines
	tools/bench.sh build >"$lines" || [ $? -eq 3 ]
fi
awk -f tools/capacity.awk "$lines" >"$work/tables"
awk -v tables="$work/tables" '
	/<!-- tables: begin -->/ { print; print ""
		while ((getline line <tables) > 0) print line
		print ""; skip = 1 }
	/<!-- tables: end -->/ { skip = 0 }
	!skip { print }' "$page" >"$work/page"
grep -q '<!-- tables: end -->' "$work/page"
cat "$work/page" >"$page"
