# Functions that run a cell on loopback: the platform's stand-ins and the nodes
# of an example. Sourced by run.sh, soak.sh and bench_cell.sh. All files are in
# one temporary directory ($dir); processes are terminated by the ids in $pids.

# cell_init BUILD EXAMPLE sets the variables that the other functions use and
# the traps that stop the cell
cell_init() {
	bin=$1/bin
	example=examples/$2
	[ -f "$example/fleet.ini" ] || {
		echo "no such example: $2" >&2
		exit 2
	}
	dir=$(mktemp -d)
	pids=""
	port_base=${PORT_BASE:-$((20000 + $$ % 900 * 10))}
	export VHCTL_TOKEN=operator-for-trials-only
	trap cell_stop EXIT
	trap 'exit 130' INT TERM
}

# cell_stop terminates the processes that still run, then removes the directory
# unless KEEP is set
cell_stop() {
	trap - EXIT
	for pid in $pids; do
		kill -CONT "$pid" 2>/dev/null || true
		kill -TERM "$pid" 2>/dev/null || true
	done
	for pid in $pids; do
		cell_wait_exit "$pid"
	done
	if [ -n "${KEEP:-}" ]; then
		echo "kept: $dir"
	else
		rm -rf "$dir"
	fi
}

# cell_wait_exit PID waits until a process exits; kills it after five seconds
cell_wait_exit() {
	polls=0
	while kill -0 "$1" 2>/dev/null && [ $polls -lt 50 ]; do
		sleep 0.1
		polls=$((polls + 1))
	done
	kill -KILL "$1" 2>/dev/null || true
	wait "$1" 2>/dev/null || true
}

# cell_spawn NAME COMMAND... starts a command; its process id is in $pid and
# $dir/NAME.pid, its output in $dir/NAME.out and $dir/NAME.err
cell_spawn() {
	name=$1
	shift
	: >"$dir/$name.out"
	"$@" >>"$dir/$name.out" 2>>"$dir/$name.err" &
	pid=$!
	echo "$pid" >"$dir/$name.pid"
	pids="$pids $pid"
}

# cell_port NAME waits until a stand-in prints its port, and puts it into $port
cell_port() {
	polls=0
	while [ $polls -lt 200 ]; do
		port=$(sed -n 's/.*"port":\([0-9]*\).*/\1/p' "$dir/$1.out")
		[ -n "$port" ] && break
		kill -0 "$(cat "$dir/$1.pid")" 2>/dev/null || polls=200
		sleep 0.05
		polls=$((polls + 1))
	done
	[ -n "$port" ] || {
		echo "stand-in $1 did not report a port:" >&2
		cat "$dir/$1.err" >&2
		exit 1
	}
}

# cell_start_platform [LOG OPTIONS...] starts the stand-ins for the log service,
# the workers and the VM list
cell_start_platform() {
	cell_spawn log "$bin/vh-standin-log" --seed "${SEED:-1}" "$@"
	cell_port log
	log_port=$port
	cell_spawn workers "$bin/vh-standin-workers" --seed "${SEED:-1}" \
		--fleet "$example/fleet.ini" --objects "$example/objects"
	cell_port workers
	workers_port=$port
	curl -sf "http://127.0.0.1:$workers_port/vms" >"$dir/vms.json"
	cell_spawn vms "$bin/vh-standin-vms" --vms "$dir/vms.json" \
		--lag-ms "${VMS_LAG_MS:-1000}"
	cell_port vms
	vms_port=$port
}

# Ports of a node's listeners: callers_port N, operators_port N, peers_port N
callers_port() { echo $((port_base + $1 * 3)); }
operators_port() { echo $((port_base + $1 * 3 + 1)); }
peers_port() { echo $((port_base + $1 * 3 + 2)); }

# cell_seeds COUNT prints the peer addresses of nodes 1 to COUNT
cell_seeds() {
	seeds=""
	for i in $(seq 1 "$1"); do
		seeds="$seeds${seeds:+;}127.0.0.1:$(peers_port "$i")"
	done
	echo "$seeds"
}

# cell_start_node N COUNT starts node N of a cell of COUNT nodes, with the
# settings template of the example
cell_start_node() {
	sed -e "s/@CALLERS@/$(callers_port "$1")/" \
		-e "s/@OPERATORS@/$(operators_port "$1")/" \
		-e "s/@PEERS@/$(peers_port "$1")/" \
		-e "s/@SEEDS@/$(cell_seeds "$2")/" \
		-e "s/@LOG@/$log_port/" -e "s/@VMS@/$vms_port/" \
		"$example/node-$1.ini" >"$dir/node-$1.ini"
	cell_spawn "node-$1" "$bin/vanillahollowd" --settings "$dir/node-$1.ini"
}

# cell_signal_node N SIGNAL sends a signal to node N, if it runs
cell_signal_node() {
	kill "-$2" "$(cat "$dir/node-$1.pid")" 2>/dev/null || true
}

# cell_wait N PATH SECONDS waits until the operators' listener of node N answers
# PATH with 200; fails if the node has exited or after 10 * SECONDS attempts
cell_wait() {
	polls=0
	while ! curl -sf -m 2 -o /dev/null \
		"http://127.0.0.1:$(operators_port "$1")$2"; do
		polls=$((polls + 1))
		if ! kill -0 "$(cat "$dir/node-$1.pid")" 2>/dev/null ||
			[ $polls -ge $(($3 * 10)) ]; then
			echo "node $1 exited, or did not answer $2 with 200" \
				"in $polls attempts:" >&2
			tail -n 20 "$dir/node-$1.out" "$dir/node-$1.err" >&2
			return 1
		fi
		sleep 0.1
	done
}

# cell_servers COUNT prints the operators' addresses of nodes 1 to COUNT, for
# vhctl
cell_servers() {
	servers=""
	for i in $(seq 1 "$1"); do
		servers="$servers${servers:+,}127.0.0.1:$(operators_port "$i")"
	done
	echo "$servers"
}

# cell_control PORT JSON sends a control request to a stand-in
cell_control() {
	curl -sf -m 5 -o /dev/null -d "$2" "http://127.0.0.1:$1/control"
}
