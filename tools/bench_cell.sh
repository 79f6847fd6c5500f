#!/bin/sh
# bench_cell.sh BUILD: what a node costs at three sizes of fleet, on loopback:
# three nodes, stand-ins for the platform, no load. Prints lines
#   bench cell_idle_WHAT_at_W VALUE UNIT - -
# for W workers, WHAT one of cpu (of one core), bytes (of control, sent and
# received, a second) and memory, each the mean of the three nodes over SPAN seconds.
# tools/capacity.sh takes the slopes from these. Then, with LOAD_WORKERS workers
# and a mixed load of R jobs and requests a second:
#   bench cell_load_WHAT_at_R VALUE UNIT - -
# WHAT one of cpu, bytes (the mean of the nodes) and appends (a second, all).
set -eu
cd "$(dirname "$0")/.."
. tools/cell.sh
SPAN=${SPAN:-10}
NODES=3

# metric N NAME prints the sum of a counter on node N
metric() {
	curl -sf -m 5 -H "Authorization: Bearer $VHCTL_TOKEN" \
		"http://127.0.0.1:$(operators_port "$1")/metrics" |
		awk -v n="$2" '{ split($1, a, "{") }
			a[1] == n { s += $2; seen = 1 }
			END { if (seen) printf "%.6f\n", s }'
}

total() {
	for n in $(seq 1 $NODES); do
		metric "$n" "$1"
	done | awk -v n=$NODES -v name="$1" '{ s += $1 } END {
		if (NR == n) printf "%.6f\n", s
		else print "bench_cell: not told: " name >"/dev/stderr"
	}'
}

live_workers() {
	"$bin/vhctl" workers --server "$(cell_servers $NODES)" \
		--nodes "$(cell_servers $NODES)" --output json 2>/dev/null |
		grep -c '"state": "live"' || true
}

# start W: a cell with W workers, all adopted
start() {
	cell_init "$build" sitara
	cell_spawn log "$bin/vh-standin-log" --seed 1
	cell_port log
	log_port=$port
	cell_spawn workers "$bin/vh-standin-workers" --seed 1 --count "$1"
	cell_port workers
	workers_port=$port
	curl -sf "http://127.0.0.1:$port/vms" >"$dir/vms.json"
	cell_spawn vms "$bin/vh-standin-vms" --vms "$dir/vms.json"
	cell_port vms
	vms_port=$port
	for n in $(seq 1 $NODES); do
		cell_start_node "$n" $NODES
	done
	for n in $(seq 1 $NODES); do
		cell_wait "$n" /healthz 30
	done
	"$bin/vhctl" publish --server "$(cell_servers $NODES)" --base 0 \
		"$example/objects" >/dev/null
	tries=0
	while [ "$(live_workers)" -lt "$1" ] && [ $tries -lt 60 ]; do
		sleep 1
		tries=$((tries + 1))
	done
	[ $tries -lt 60 ] || {
		echo "bench_cell: not all of $1 workers adopted in 60 s" >&2
		exit 1
	}
	sleep 3
}

measure() {
	start "$1"
	cpu=$(total vh_process_cpu_seconds_total)
	bytes=$(total vh_control_bytes_total)
	sleep "$SPAN"
	cpu2=$(total vh_process_cpu_seconds_total)
	bytes2=$(total vh_control_bytes_total)
	memory=$(total vh_process_resident_bytes)
	[ -n "$cpu" ] && [ -n "$cpu2" ] && [ -n "$bytes" ] &&
		[ -n "$bytes2" ] && [ -n "$memory" ]
	awk -v w="$1" -v n=$NODES -v t="$SPAN" -v c="$cpu" -v c2="$cpu2" \
		-v b="$bytes" -v b2="$bytes2" -v m="$memory" 'BEGIN {
		printf "bench cell_idle_cpu_at_%d %.5f core - -\n", w, (c2 - c) / t / n
		printf "bench cell_idle_bytes_at_%d %.0f B/s - -\n", w, (b2 - b) / t / n
		printf "bench cell_idle_memory_at_%d %.0f B - -\n", w, m / n
	}'
	cell_stop
}

appended() {
	curl -sf "http://127.0.0.1:$log_port/stats" |
		sed 's/.*"appends":\([0-9]*\).*/\1/'
}

# Publishes the example's own objects, whose teams the load sends as.
load() {
	start "$LOAD_WORKERS"
	to=
	for n in $(seq 1 $NODES); do
		cell_wait "$n" /readyz 30
	done
	for n in $(seq 1 $NODES); do
		to="$to --node $(callers_port "$n")"
	done
	for rate in ${RATES:-10 20 40}; do
		cpu=$(total vh_process_cpu_seconds_total)
		bytes=$(total vh_control_bytes_total)
		appends=$(appended)
		# shellcheck disable=SC2086
		"$bin/vh-standin-load" --profile "$example/load.ini" $to \
			--witness "$workers_port" --duration "$SPAN" \
			--rate "$rate" --quiet >"$dir/load.out" || {
			cat "$dir/load.out" >&2
			exit 1
		}
		cpu2=$(total vh_process_cpu_seconds_total)
		bytes2=$(total vh_control_bytes_total)
		appends2=$(appended)
		awk -v r="$rate" -v n=$NODES -v t="$SPAN" -v c="$cpu" \
			-v c2="$cpu2" -v b="$bytes" -v b2="$bytes2" \
			-v a="$appends" -v a2="$appends2" 'BEGIN {
			printf "bench cell_load_cpu_at_%d %.5f core - -\n", r, (c2 - c) / t / n
			printf "bench cell_load_bytes_at_%d %.0f B/s - -\n", r, (b2 - b) / t / n
			printf "bench cell_load_appends_at_%d %.1f appends/s - -\n", r, (a2 - a) / t
		}'
	done
	cell_stop
}

build=${1:-build}
for workers in ${SIZES:-64 192 384}; do
	measure "$workers"
done
LOAD_WORKERS=${LOAD_WORKERS:-50}
load
