#!/bin/sh
# run-case.sh N: runs the scenario of case N. Called by N/run.sh. Exits with 1 if
# the rule was broken, 0 if it held, 2 if the case could not run.
set -u
review=$(cd "$(dirname "$0")" && pwd)
program=$review/build/case-$1
[ -x "$program" ] || {
	echo "run review/build.sh first" >&2
	exit 2
}
TMP=$(mktemp -d) || exit 2
REPO=$(cd "$review/.." && pwd)
OUT=$review/$1
export TMP REPO OUT
"$program"
status=$?
if [ -n "${KEEP_LOGS:-}" ]; then
	cp "$TMP"/*.log "$KEEP_LOGS"/
fi
rm -rf "$TMP"
case $status in
0 | 1) exit "$status" ;;
*) exit 2 ;;
esac
