#!/bin/sh
# run-case.sh N: runs the scenario of case N. Called by N/run.sh. Exits with 1 if
# the rule was broken, 0 if it held, 2 if the case could not run. The nodes end with
# the scenario, which ends with this script and after 118 s at the latest.
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
timeout -k 1 118 "$program" &
scenario=$!
trap 'kill "$scenario"; wait "$scenario"; rm -rf "$TMP"; exit 2' HUP INT TERM
wait "$scenario"
status=$?
if [ -n "${KEEP_LOGS:-}" ]; then
	cp "$TMP"/*.log "$KEEP_LOGS"/
fi
rm -rf "$TMP"
case $status in
0 | 1) exit "$status" ;;
*) exit 2 ;;
esac
