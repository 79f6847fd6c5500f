#!/bin/sh
# soak.sh BUILD SEED SECONDS: runs a load under seeded faults on loopback, for
# half of the time with three nodes and for the other half with five. The
# invariants are checked from outside, by the worker stand-in (/witness) and the
# load client, and inside the nodes. On a violation it exits with a non-zero
# status and prints the seed and the trace of faults.
# NODES=N runs only one cell, of N nodes. EXAMPLE selects the example, RATE is
# the load per second, GAP_MS the mean time between faults, PATIENCE how many
# seconds an answer may take; KEEP=1 keeps the logs.
set -eu
cd "$(dirname "$0")/.."
. tools/cell.sh
build=${1:-build}
SEED=${2:-1}
duration=${3:-60}
settle_s=5 # how long the load continues after the last fault

# report_violation TEXT prints a violation and records it for the exit status
report_violation() {
	echo "VIOLATION seed $SEED, $count nodes: $*" | tee -a "$dir/violations"
}

# trace TEXT appends a line to the trace of faults
trace() {
	echo "$*" >>"$dir/trace"
}

# race_publishes ID makes two concurrent publishes based on the same version; at
# most one may succeed
race_publishes() {
	servers=$(cell_servers "$count")
	"$bin/vhctl" get --server "$servers" >"$dir/objects-$1" 2>/dev/null ||
		return 0
	base=$(sed -n 's/^# version \([0-9]*\).*/\1/p' "$dir/objects-$1" | head -1)
	for variant in a b; do
		{
			cat "$dir/objects-$1"
			printf '\n[queue "soak-%s-%s"]\nclass = batch\n' "$1" $variant
		} >"$dir/objects-$1-$variant.ini"
		{
			code=0
			"$bin/vhctl" publish --server "$servers" \
				--base "${base:-0}" "$dir/objects-$1-$variant.ini" \
				>>"$dir/vhctl.out" 2>&1 || code=$?
			echo $code >"$dir/objects-$1-$variant.code"
		} &
	done
	wait
	if [ "$(cat "$dir/objects-$1-a.code")$(cat \
		"$dir/objects-$1-b.code")" = 00 ]; then
		report_violation "I10: both publishes based on version ${base:-0} succeeded"
	fi
	trace "publish $1: exit statuses $(cat "$dir/objects-$1-a.code")" \
		"$(cat "$dir/objects-$1-b.code")"
}

# submit_with_key N KEY submits a job to node N with an API key and prints the
# HTTP status of the answer
submit_with_key() {
	curl -s -m 2 -o /dev/null -w '%{http_code}' \
		-H "Authorization: Bearer $2" \
		-d '{"tasks":[{"cpus":0.1,"memory_mb":1}]}' \
		"http://127.0.0.1:$(callers_port "$1")/v1/queues/$queue/jobs" ||
		true
}

# check_key_withdrawal ID grants a key and withdraws it; 6 s later no node may
# accept it
check_key_withdrawal() {
	servers=$(cell_servers "$count")
	team=$(sed -n 's/^\[team "\(.*\)"\]/\1/p' "$example/objects/teams.ini" |
		head -1)
	queue=$(sed -n 's/^\[queue "\(.*\)"\]/\1/p' \
		"$example/objects/queues.ini" | head -1)
	key=$("$bin/vhctl" key grant "$team" --name "soak-$1" \
		--server "$servers" 2>>"$dir/vhctl.out" | tail -1 |
		sed 's/.* //') || return 0
	accepted=no
	for try in 1 2 3 4 5 6 7 8 9 10; do
		case $(submit_with_key $((try % count + 1)) "$key") in
		2??) accepted=yes && break ;;
		esac
		sleep 0.5
	done
	trace "granted key soak-$1 accepted: $accepted"
	"$bin/vhctl" key withdraw "soak-$1" --server "$servers" \
		>>"$dir/vhctl.out" 2>&1 || return 0
	sleep 6
	for i in $(seq 1 "$count"); do
		code=$(submit_with_key "$i" "$key")
		case $code in
		2??)
			report_violation "I3: node $i accepted key soak-$1," \
				"6 s after its withdrawal"
			;;
		esac
		trace "withdrawn key soak-$1 at node $i: $code"
	done
}

# run_event AT WHAT TARGET ACTION carries out one line of the schedule
run_event() {
	shift
	case "$1 $3" in
	"node kill") cell_signal_node "$2" KILL && touch "$dir/down-$2" ;;
	"node start") rm -f "$dir/down-$2" && cell_start_node "$2" "$count" ;;
	"node stop") cell_signal_node "$2" STOP ;;
	"node cont") cell_signal_node "$2" CONT ;;
	*)
		case $1 in
		log) cell_control "$log_port" "$2" ;;
		workers) cell_control "$workers_port" "$2" ;;
		vms) cell_control "$vms_port" "$2" ;;
		publish) (race_publishes "$2") & ;;
		withdraw) (check_key_withdrawal "$2") & ;;
		esac
		;;
	esac
}

now_ms() { date +%s%3N; }

# run_schedule carries out every line of $dir/schedule at its time
run_schedule() {
	begin_ms=$(now_ms)
	while read -r at what target action; do
		wait_ms=$((begin_ms + at - $(now_ms)))
		if [ $wait_ms -gt 0 ]; then
			sleep "$((wait_ms / 1000)).$(printf %03d $((wait_ms % 1000)))"
		fi
		trace "$at $what $target $action"
		run_event "$at" "$what" "$target" "$action" ||
			echo "event failed: $what $target $action" | tee -a "$dir/trace"
		check_nodes_running
	done <"$dir/schedule"
}

# check_nodes_running reports each node that exited without having been killed
check_nodes_running() {
	for i in $(seq 1 "$count"); do
		[ -e "$dir/down-$i" ] && continue
		kill -0 "$(cat "$dir/node-$i.pid")" 2>/dev/null && continue
		touch "$dir/down-$i"
		report_violation "node $i exited without having been killed:" \
			"$(tail -n 3 "$dir/node-$i.out" "$dir/node-$i.err")"
	done
}

# invariant_counts KIND prints the counters vh_invariant_KIND_total, each summed
# over the nodes
invariant_counts() {
	for i in $(seq 1 "$count"); do
		curl -s -m 3 "http://127.0.0.1:$(operators_port "$i")/metrics" \
			-H "Authorization: Bearer $VHCTL_TOKEN" || true
	done | awk -v name="vh_invariant_$1_total" '
		index($1, name "{") == 1 {
			split($1, part, "\"")
			sum[part[2]] += $2
		}
		END { for (i in sum) printf "%s:%d ", i, sum[i] }'
}

# check_results prints the invariant counts of the worker stand-in and of the
# nodes, and reports their violations
check_results() {
	curl -sf -m 10 "http://127.0.0.1:$workers_port/witness" \
		>"$dir/witness.json" ||
		report_violation "worker stand-in: GET /witness failed or took over 10 s"
	sed 's/.*"checks":{\([^}]*\)},"violations":{\([^}]*\)}.*/witness checks     \1\nwitness violations \2/; s/"//g' \
		"$dir/witness.json"
	if ! grep -q '"trace":\[\]' "$dir/witness.json"; then
		report_violation "witness: $(sed 's/.*"trace":\(\[[^]]*\]\).*/\1/' \
			"$dir/witness.json")"
	fi
	echo "nodes' checks      $(invariant_counts checked)"
	echo "nodes' violations  $(invariant_counts violated)"
	if grep -h 'invariant I' "$dir"/node-*.out "$dir"/node-*.err | grep violated \
		>"$dir/violation-logs"; then
		report_violation "logged by a node: $(head -n 5 "$dir/violation-logs")"
	fi
	check_nodes_running
	for i in $(seq 1 "$count"); do
		pid=$(cat "$dir/node-$i.pid")
		echo "node $i: peak resident memory $(awk '/VmHWM/ { print $2, $3 }' \
			"/proc/$pid/status" 2>/dev/null)"
	done
}

# soak_cell COUNT SECONDS runs one cell of COUNT nodes, with faults for SECONDS
soak_cell() {
	count=$1
	cell_init "$build" "${EXAMPLE:-sitara}"
	: >"$dir/violations"
	VMS_LAG_MS=1500
	echo "seed $SEED: $count nodes, $2 s of faults"
	cell_start_platform --latency-ms 2 --jitter-ms 5
	for i in $(seq 1 "$count"); do
		cell_start_node "$i" "$count"
	done
	for i in $(seq 1 "$count"); do
		cell_wait "$i" /healthz 20
	done
	"$bin/vhctl" publish --wait --server "$(cell_servers "$count")" \
		--nodes "$(cell_servers "$count")" "$example/objects"
	"$bin/vh-standin-soak" --seed "$SEED" --duration "$2" --nodes "$count" \
		--gap-ms "${GAP_MS:-2500}" --fleet "$example/fleet.ini" \
		>"$dir/schedule"
	node_options=""
	for i in $(seq 1 "$count"); do
		node_options="$node_options --node $(callers_port "$i")"
	done
	# shellcheck disable=SC2086
	cell_spawn load "$bin/vh-standin-load" --profile "$example/load.ini" \
		$node_options --witness "$workers_port" \
		--duration $(($2 + settle_s)) --rate "${RATE:-20}" \
		--seed "$SEED" --patience "${PATIENCE:-90}"
	load_pid=$pid
	run_schedule
	status=0
	wait "$load_pid" || status=$?
	cat "$dir/load.out"
	[ $status -eq 0 ] || report_violation "results of the load are" \
		"inconsistent (vh-standin-load exit status $status)"
	check_results
	if [ -s "$dir/violations" ]; then
		echo "--- trace of faults"
		cat "$dir/trace"
		echo "--- repeat with: NODES=$count tools/soak.sh $build $SEED $2"
		exit 1
	fi
	echo "seed $SEED, $count nodes: no violation"
}

if [ -n "${NODES:-}" ]; then
	soak_cell "$NODES" "$duration"
else
	(soak_cell 3 $((duration / 2)))
	(soak_cell 5 $((duration / 2)))
fi
