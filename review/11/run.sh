#!/bin/bash
# A job that lasts is given up after workers have crashed under it, one at a time.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../standins-3/lib.sh"
JOB=5c0e7a21d94b36f8
TASKS=4
WORKERS=8
ROUNDS=2

# Ends the script if the job is shown as failed.
check() {
	local state
	state=$(status $(($1 % 3 + 1)) $JOB)
	[ "$state" = failed ] &&
		verdict broken "the job that lasts is shown as failed after $1 crashes; of its runs, $(grep -c 'ends failed' "$RECORD") have failed"
	[ "$state" = canceled ] && verdict broken "nobody has cancelled the job"
	return 0
}

platform_start
for n in $(seq $WORKERS); do worker_start "$n"; done
for n in 1 2 3; do node_start "$n"; done
nodes_ready 1 2 3
got=$(submit 1 $JOB "{\"spec\":\"ms=0\",\"steps\":[{\"count\":$TASKS,\"cpu\":500,\"memMb\":256,\"longRunning\":true}]}")
[ "$got" = 200 ] || give_up "the job was not accepted: $got"
for i in $(seq 100); do
	[ -n "$(runs_on $JOB.0.0.$((TASKS - 1)))" ] && break
	sleep 0.1
done
[ -n "$(runs_on $JOB.0.0.$((TASKS - 1)))" ] || give_up "the tasks never began"

# The workers crash in turn, wherever the tasks are; each is back after one second,
# under the id that it had.
n=0
for k in $(seq $ROUNDS); do
	for at in $(seq $WORKERS); do
		sleep 1.5
		check $n
		[ "$TROUBLE" = 0 ] && continue
		n=$((n + 1))
		worker_crash "$at"
		sleep 1
		worker_start "$at"
	done
done
for i in $(seq 50); do
	check $n
	sleep 0.1
done
verdict held "the tasks run, after $(grep -c begins "$RECORD") starts and $n crashes"
