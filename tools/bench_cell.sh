#!/bin/sh
# bench_cell.sh BUILD: measures what a node costs, on loopback: three nodes
# and the stand-ins for the platform. First without load, at several fleet
# sizes; prints lines
#   bench cell_idle_WHAT_at_W VALUE UNIT - -
# for W workers. WHAT is cpu (of one core), bytes (control traffic sent and
# received per second) or memory; each is the mean of the nodes over SPAN
# seconds. Then with LOAD_WORKERS workers and a mixed load of R jobs and
# requests per second:
#   bench cell_load_WHAT_at_R VALUE UNIT - -
# WHAT is cpu, bytes (means of the nodes) or appends (per second, of the whole
# cell). tools/capacity.sh fits a line to the figures of each name.
set -eu
cd "$(dirname "$0")/.."
. tools/cell.sh
SPAN=${SPAN:-10}
NODES=3

# node_metric N NAME prints the sum of a metric over its labels on node N
node_metric() {
	curl -sf -m 5 -H "Authorization: Bearer $VHCTL_TOKEN" \
		"http://127.0.0.1:$(operators_port "$1")/metrics" |
		awk -v name="$2" '{ split($1, part, "{") }
			part[1] == name { sum += $2; found = 1 }
			END { if (found) printf "%.6f\n", sum }'
}

# metric_sum NAME prints the sum of a metric over all nodes, or nothing if a
# node did not report it
metric_sum() {
	for n in $(seq 1 $NODES); do
		node_metric "$n" "$1"
	done | awk -v nodes=$NODES -v name="$1" '{ sum += $1 } END {
		if (NR == nodes) printf "%.6f\n", sum
		else print "bench_cell: metric " name " reported by " NR \
			" of " nodes " nodes" >"/dev/stderr"
	}'
}

live_workers() {
	"$bin/vhctl" workers --server "$(cell_servers $NODES)" \
		--nodes "$(cell_servers $NODES)" --output json 2>/dev/null |
		grep -c '"state": "live"' || true
}

# start_cell W starts a cell with W workers and waits until all are live
start_cell() {
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
	# The load is sent on behalf of the teams in these objects.
	"$bin/vhctl" publish --server "$(cell_servers $NODES)" --base 0 \
		"$example/objects" >/dev/null
	tries=0
	while [ "$(live_workers)" -lt "$1" ] && [ $tries -lt 60 ]; do
		sleep 1
		tries=$((tries + 1))
	done
	[ $tries -lt 60 ] || {
		echo "bench_cell: fewer than $1 workers live after 60 s" >&2
		exit 1
	}
	sleep 3
}

# measure_idle W prints the figures of a cell with W workers and no load
measure_idle() {
	start_cell "$1"
	cpu_before=$(metric_sum vh_process_cpu_seconds_total)
	bytes_before=$(metric_sum vh_control_bytes_total)
	sleep "$SPAN"
	cpu_after=$(metric_sum vh_process_cpu_seconds_total)
	bytes_after=$(metric_sum vh_control_bytes_total)
	memory=$(metric_sum vh_process_resident_bytes)
	[ -n "$cpu_before" ] && [ -n "$cpu_after" ] && [ -n "$bytes_before" ] &&
		[ -n "$bytes_after" ] && [ -n "$memory" ]
	awk -v workers="$1" -v nodes=$NODES -v span_s="$SPAN" \
		-v cpu_before="$cpu_before" -v cpu_after="$cpu_after" \
		-v bytes_before="$bytes_before" -v bytes_after="$bytes_after" \
		-v memory="$memory" 'BEGIN {
		printf "bench cell_idle_cpu_at_%d %.5f core - -\n",
			workers, (cpu_after - cpu_before) / span_s / nodes
		printf "bench cell_idle_bytes_at_%d %.0f B/s - -\n",
			workers, (bytes_after - bytes_before) / span_s / nodes
		printf "bench cell_idle_memory_at_%d %.0f B - -\n",
			workers, memory / nodes
	}'
	cell_stop
}

# append_count prints the appends that the log stand-in has stored
append_count() {
	curl -sf "http://127.0.0.1:$log_port/stats" |
		sed 's/.*"appends":\([0-9]*\).*/\1/'
}

# measure_load prints the figures of a cell with LOAD_WORKERS workers at each
# rate in RATES
measure_load() {
	start_cell "$LOAD_WORKERS"
	node_options=
	for n in $(seq 1 $NODES); do
		cell_wait "$n" /readyz 30
	done
	for n in $(seq 1 $NODES); do
		node_options="$node_options --node $(callers_port "$n")"
	done
	for rate in ${RATES:-10 20 40}; do
		cpu_before=$(metric_sum vh_process_cpu_seconds_total)
		bytes_before=$(metric_sum vh_control_bytes_total)
		appends_before=$(append_count)
		# shellcheck disable=SC2086
		"$bin/vh-standin-load" --profile "$example/load.ini" $node_options \
			--witness "$workers_port" --duration "$SPAN" \
			--rate "$rate" --quiet >"$dir/load.out" || {
			cat "$dir/load.out" >&2
			exit 1
		}
		cpu_after=$(metric_sum vh_process_cpu_seconds_total)
		bytes_after=$(metric_sum vh_control_bytes_total)
		appends_after=$(append_count)
		awk -v rate="$rate" -v nodes=$NODES -v span_s="$SPAN" \
			-v cpu_before="$cpu_before" -v cpu_after="$cpu_after" \
			-v bytes_before="$bytes_before" \
			-v bytes_after="$bytes_after" \
			-v appends_before="$appends_before" \
			-v appends_after="$appends_after" 'BEGIN {
			printf "bench cell_load_cpu_at_%d %.5f core - -\n",
				rate, (cpu_after - cpu_before) / span_s / nodes
			printf "bench cell_load_bytes_at_%d %.0f B/s - -\n",
				rate, (bytes_after - bytes_before) / span_s / nodes
			printf "bench cell_load_appends_at_%d %.1f appends/s - -\n",
				rate, (appends_after - appends_before) / span_s
		}'
	done
	cell_stop
}

build=${1:-build}
for workers in ${SIZES:-64 192 384}; do
	measure_idle "$workers"
done
LOAD_WORKERS=${LOAD_WORKERS:-50}
measure_load
