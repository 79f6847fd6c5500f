#!/bin/sh
# soak.sh BUILD SEED SECONDS: seeded faults under load on loopback, for half of
# the time with three nodes and for the other half with five. The promises are
# checked from outside, by the workers' witness and the load client, and inside
# by the nodes. Exits non-zero on a violation, with the seed and the trace.
# NODES=N runs one cell of N nodes only; EXAMPLE, RATE, GAP_MS and KEEP=1 as
# their names say.
set -eu
cd "$(dirname "$0")/.."
. tools/cell.sh
build=${1:-build}
SEED=${2:-1}
duration=${3:-60}
settle_s=5

# fail TEXT notes a violation
fail() {
	echo "VIOLATION seed $SEED, $count nodes: $*" | tee -a "$dir/violations"
}

note() {
	echo "$*" >>"$dir/trace"
}

# Two publishes made from one version: at most one may win.
race_publishes() {
	servers=$(cell_servers "$count")
	"$bin/vhctl" get --server "$servers" >"$dir/set-$1" 2>/dev/null ||
		return 0
	base=$(sed -n 's/^# version \([0-9]*\).*/\1/p' "$dir/set-$1" | head -1)
	for side in a b; do
		{
			cat "$dir/set-$1"
			printf '\n[queue "soak-%s-%s"]\nclass = batch\n' "$1" $side
		} >"$dir/set-$1-$side.ini"
		{
			code=0
			"$bin/vhctl" publish --server "$servers" \
				--base "${base:-0}" "$dir/set-$1-$side.ini" \
				>>"$dir/vhctl.out" 2>&1 || code=$?
			echo $code >"$dir/set-$1-$side.code"
		} &
	done
	wait
	if [ "$(cat "$dir/set-$1-a.code")$(cat "$dir/set-$1-b.code")" = 00 ]; then
		fail "I10: both publishes from version ${base:-0} won"
	fi
	note "publish $1: $(cat "$dir/set-$1-a.code") $(cat "$dir/set-$1-b.code")"
}

# try_key N KEY prints the status that node N answers to a job with KEY
try_key() {
	curl -s -m 2 -o /dev/null -w '%{http_code}' \
		-H "Authorization: Bearer $2" \
		-d '{"tasks":[{"cpus":0.1,"memory_mb":1}]}' \
		"http://127.0.0.1:$(callers_port "$1")/v1/queues/$queue/jobs" ||
		true
}

# A key is granted and withdrawn; six seconds later no node may take it.
withdraw_key() {
	servers=$(cell_servers "$count")
	team=$(sed -n 's/^\[team "\(.*\)"\]/\1/p' "$example/objects/teams.ini" |
		head -1)
	queue=$(sed -n 's/^\[queue "\(.*\)"\]/\1/p' \
		"$example/objects/queues.ini" | head -1)
	key=$("$bin/vhctl" key grant "$team" --name "soak-$1" \
		--server "$servers" 2>>"$dir/vhctl.out" | tail -1 |
		sed 's/.* //') || return 0
	worked=no
	for try in 1 2 3 4 5 6 7 8 9 10; do
		case $(try_key $((try % count + 1)) "$key") in
		2??) worked=yes && break ;;
		esac
		sleep 0.5
	done
	note "granted key soak-$1 worked: $worked"
	"$bin/vhctl" key withdraw "soak-$1" --server "$servers" \
		>>"$dir/vhctl.out" 2>&1 || return 0
	sleep 6
	for i in $(seq 1 "$count"); do
		code=$(try_key "$i" "$key")
		case $code in
		2??) fail "I3: node $i took key soak-$1, 6 s after its withdrawal" ;;
		esac
		note "withdrawn key soak-$1 at node $i: $code"
	done
}

# step AT WHAT...: does one line of the schedule
step() {
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
		withdraw) (withdraw_key "$2") & ;;
		esac
		;;
	esac
}

now_ms() { date +%s%3N; }

# follow_schedule does every line of $dir/schedule when its time comes
follow_schedule() {
	begin=$(now_ms)
	while read -r at what target action; do
		wait_ms=$((begin + at - $(now_ms)))
		if [ $wait_ms -gt 0 ]; then
			sleep "$((wait_ms / 1000)).$(printf %03d $((wait_ms % 1000)))"
		fi
		note "$at $what $target $action"
		step "$at" "$what" "$target" "$action" ||
			echo "could not: $what $target $action" | tee -a "$dir/trace"
		check_nodes
	done <"$dir/schedule"
}

# A node that was not killed must be running.
check_nodes() {
	for i in $(seq 1 "$count"); do
		[ -e "$dir/down-$i" ] && continue
		kill -0 "$(cat "$dir/node-$i.pid")" 2>/dev/null && continue
		touch "$dir/down-$i"
		fail "node $i has ended by itself: $(tail -n 3 "$dir/node-$i.out" "$dir/node-$i.err")"
	done
}

# counts KIND prints the nodes' counters vh_invariant_KIND_total, summed
counts() {
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

check_end() {
	curl -sf -m 10 "http://127.0.0.1:$workers_port/witness" \
		>"$dir/witness.json" || fail "the witness does not answer"
	sed 's/.*"checks":{\([^}]*\)},"violations":{\([^}]*\)}.*/witness checks     \1\nwitness violations \2/; s/"//g' \
		"$dir/witness.json"
	if ! grep -q '"trace":\[\]' "$dir/witness.json"; then
		fail "witness: $(sed 's/.*"trace":\(\[[^]]*\]\).*/\1/' \
			"$dir/witness.json")"
	fi
	echo "nodes' checks      $(counts checked)"
	echo "nodes' violations  $(counts violated)"
	if grep -h 'invariant I' "$dir"/node-*.out "$dir"/node-*.err | grep violated \
		>"$dir/asserted"; then
		fail "asserted: $(head -n 5 "$dir/asserted")"
	fi
	check_nodes
	for i in $(seq 1 "$count"); do
		pid=$(cat "$dir/node-$i.pid")
		echo "node $i: $(awk '/VmHWM/ { print $2, $3 }' \
			"/proc/$pid/status" 2>/dev/null) at most"
	done
}

# soak_cell COUNT SECONDS
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
	load_nodes=""
	for i in $(seq 1 "$count"); do
		load_nodes="$load_nodes --node $(callers_port "$i")"
	done
	# shellcheck disable=SC2086
	cell_spawn load "$bin/vh-standin-load" --profile "$example/load.ini" \
		$load_nodes --witness "$workers_port" \
		--duration $(($2 + settle_s)) --rate "${RATE:-20}" \
		--seed "$SEED" --patience "${PATIENCE:-90}"
	load_pid=$pid
	follow_schedule
	status=0
	wait "$load_pid" || status=$?
	cat "$dir/load.out"
	[ $status -eq 0 ] || fail "the load does not add up (exit $status)"
	check_end
	if [ -s "$dir/violations" ]; then
		echo "--- course of faults"
		cat "$dir/trace"
		echo "--- again with: NODES=$count tools/soak.sh $build $SEED $2"
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
