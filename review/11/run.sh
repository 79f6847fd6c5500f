#!/bin/bash
# Entries of another writer among those of the workers keep each new owner from reading
# the workers, so nothing runs any more.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../standins-3/lib.sh"
LASTING=7c9c65b0803a055b
SMALL=5c0e7a21d94b36f8
WORKERS=8
ENTRIES=${ENTRIES:-6}
BYTES=${BYTES:-200000}

# The other writer repeats its entries as workers do. Their keys hold U+FFFD.
write_foreign() {
	local k
	while [ ! -e "$TMP/stop" ]; do
		for k in $(seq "$ENTRIES"); do
			call POST "$STORE_PORT" "/foreign?key=agent-%EF%BF%BD-$(printf %04d "$k")&n=$BYTES" store "" 2000 >/dev/null
		done
		sleep 1.5
	done
}

platform_start
for n in $(seq $WORKERS); do worker_start "$n"; done
for n in 1 2 3; do node_start "$n"; done
nodes_ready 1 2 3
got=$(submit 1 $LASTING '{"spec":"ms=0","steps":[{"count":1,"cpu":500,"memMb":256,"longRunning":true}]}')
[ "$got" = 200 ] || give_up "the job was not accepted: $got"
sleep 2
[ -n "$(runs_on $LASTING.0.0.0)" ] || give_up "the lasting job does not run"
if [ "$TROUBLE" != 0 ]; then
	write_foreign &
	LOOP_PID=$!
	note "another writer writes $ENTRIES entries of $BYTES bytes"
fi
sleep 3
[ "$(status 1 $LASTING)" = running ] || give_up "the owner does not answer"
old=$(owner)
node_kill "$old" KILL
sleep 0.5
node_start "$old"
sleep 5
got=$(submit 1 $SMALL '{"spec":"ms=500","steps":[{"count":1,"cpu":100,"memMb":16,"estimateMs":500}]}')
note "small job: $got"
for i in $(seq 300); do
	state=$(status 2 $SMALL)
	[ "$state" = complete ] && verdict held "the small job is complete"
	sleep 0.1
done
verdict broken "35 s after the kill of the owner: the small job, accepted with $got, answers $state; the lasting task runs on '$(runs_on $LASTING.0.0.0)'"
