#!/bin/bash
# The stored state of one large job outgrows a record of the store, and stops all jobs.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../standins-3/lib.sh"
LARGE=5c0e7a21d94b36f8
SMALL=7c9c65b0803a055b
TASKS=10000
WORKERS=8

wait_begun() {
	local i
	for i in $(seq 300); do
		[ "$(grep -c "$LARGE.*begins" "$RECORD")" -ge "$1" ] && return 0
		sleep 0.1
	done
	give_up "$(grep -c "$LARGE.*begins" "$RECORD") starts, not $1"
}

platform_start
for n in $(seq $WORKERS); do worker_start "$n"; done
for n in 1 2 3; do node_start "$n"; done
nodes_ready 1 2 3
got=$(submit 1 $LARGE "{\"spec\":\"ms=900000 save=1\",\"steps\":[{\"count\":$TASKS,\"cpu\":5,\"memMb\":1,\"estimateMs\":900000,\"checkpointing\":true}]}")
[ "$got" = 200 ] || give_up "the job was not accepted: $got"
wait_begun $TASKS
note "all tasks have begun"
if [ "$TROUBLE" != 0 ]; then
	for n in 1 2 3; do node_kill $n KILL; done
	sleep 8
	for n in 1 2 3; do node_start $n; done
	nodes_ready 1 2 3
	wait_begun $((2 * TASKS))
	note "all tasks have begun again"
	for at in $(seq $WORKERS); do
		sleep 1.5
		worker_crash "$at"
		sleep 1
		worker_start "$at"
	done
fi
sleep 5
grep over.a.limit "$RECORD" | tail -1
got=$(submit 1 $SMALL '{"spec":"ms=500","steps":[{"count":1,"cpu":100,"memMb":16,"estimateMs":500}]}')
note "small job: $got"
for i in $(seq 150); do
	state=$(status 2 $SMALL)
	[ "$state" = complete ] && verdict held "the small job is complete"
	sleep 0.1
done
verdict broken "the small job: $state"
