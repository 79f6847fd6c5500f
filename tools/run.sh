#!/bin/sh
# run.sh BUILD: the whole path on loopback. Starts the stand-ins and three
# nodes, publishes examples/$EXAMPLE, sends its load and prints what became of
# it. KILL=1 kills a node in the middle. DURATION, RATE and SEED change the
# load; KEEP=1 keeps the logs.
set -eu
cd "$(dirname "$0")/.."
. tools/cell.sh
nodes=3
cell_init "${1:-build}" "${EXAMPLE:-sitara}"
duration=${DURATION:-15}

echo "starting the stand-ins and $nodes nodes"
cell_start_platform --latency-ms 2 --jitter-ms 3
for i in $(seq 1 $nodes); do
	cell_start_node "$i" $nodes
done
for i in $(seq 1 $nodes); do
	cell_wait "$i" /healthz 20
done

echo "publishing $example/objects"
"$bin/vhctl" publish --server "$(cell_servers $nodes)" \
	--nodes "$(cell_servers $nodes)" --wait \
	"$example/objects"
for i in $(seq 1 $nodes); do
	cell_wait "$i" /readyz 30
done

load_nodes=""
for i in $(seq 1 $nodes); do
	load_nodes="$load_nodes --node $(callers_port "$i")"
done
echo "sending work for $duration s${KILL:+, killing node 2 in the middle}"
if [ -n "${KILL:-}" ]; then
	(sleep $((duration / 2)) && cell_signal_node 2 KILL) &
	pids="$pids $!"
fi
status=0
# shellcheck disable=SC2086
"$bin/vh-standin-load" --profile "$example/load.ini" $load_nodes \
	--witness "$workers_port" --duration "$duration" \
	--rate "${RATE:-0}" --seed "${SEED:-1}" --patience 60 || status=$?
echo "seen by the workers:"
curl -sf "http://127.0.0.1:$workers_port/witness" >"$dir/witness.json"
sed 's/.*"checks":{\([^}]*\)},"violations":{\([^}]*\)}.*/checks     \1\nviolations \2/; s/"//g' \
	"$dir/witness.json"
if grep -q '"trace":\["' "$dir/witness.json"; then
	sed 's/.*"trace":\(\[[^]]*\]\).*/\1/' "$dir/witness.json"
	status=1
fi
exit $status
