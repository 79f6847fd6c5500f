#!/bin/sh
# run.sh BUILD: end-to-end run on loopback. Starts the stand-ins and three
# nodes, publishes the objects of examples/$EXAMPLE, sends its load and prints
# the outcomes. KILL=1 kills a node halfway through. DURATION, RATE and SEED
# change the load; KEEP=1 keeps the logs.
set -eu
cd "$(dirname "$0")/.."
. tools/cell.sh
node_count=3
cell_init "${1:-build}" "${EXAMPLE:-sitara}"
duration=${DURATION:-15}

echo "starting the stand-ins and $node_count nodes"
cell_start_platform --latency-ms 2 --jitter-ms 3
for i in $(seq 1 $node_count); do
	cell_start_node "$i" $node_count
done
for i in $(seq 1 $node_count); do
	cell_wait "$i" /healthz 20
done

echo "publishing $example/objects"
"$bin/vhctl" publish --server "$(cell_servers $node_count)" \
	--nodes "$(cell_servers $node_count)" --wait \
	"$example/objects"
for i in $(seq 1 $node_count); do
	cell_wait "$i" /readyz 30
done

node_options=""
for i in $(seq 1 $node_count); do
	node_options="$node_options --node $(callers_port "$i")"
done
echo "sending the load for $duration s${KILL:+, killing node 2 halfway}"
if [ -n "${KILL:-}" ]; then
	(sleep $((duration / 2)) && cell_signal_node 2 KILL) &
	pids="$pids $!"
fi
status=0
# shellcheck disable=SC2086
"$bin/vh-standin-load" --profile "$example/load.ini" $node_options \
	--witness "$workers_port" --duration "$duration" \
	--rate "${RATE:-0}" --seed "${SEED:-1}" --patience 60 || status=$?
echo "invariant checks by the worker stand-in:"
curl -sf "http://127.0.0.1:$workers_port/witness" >"$dir/witness.json"
sed 's/.*"checks":{\([^}]*\)},"violations":{\([^}]*\)}.*/checks     \1\nviolations \2/; s/"//g' \
	"$dir/witness.json"
if grep -q '"trace":\["' "$dir/witness.json"; then
	sed 's/.*"trace":\(\[[^]]*\]\).*/\1/' "$dir/witness.json"
	status=1
fi
exit $status
