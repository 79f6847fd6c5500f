# Shared by the scripts of the third review (bash). A script sets CASE, the folder of
# the case, before it reads this file. Everything runs on loopback, in a temporary
# folder; all processes are ended when the script ends.
#
#   platform_start		the store, with the configuration
#   node_start N		node N (1, 2, ...) of the system, from deploy/node.ini
#   node_kill N SIGNAL
#   worker_start N [CPU [MEM]]	worker N, under the id that it had
#   worker_crash N
#   submit NODE ID BODY		prints the status of the answer
#   status NODE ID		prints the state, or the status of another answer
#   begun TASK			how many runs of a task have begun
#   runs_on TASK		the number of the worker that runs a task; empty: none
#   verdict broken|held TEXT	notes the result and ends the script

set -u
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
BOX=$ROOT/target/review-3/box
RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$ROOT/deploy/system.toml")
TROUBLE=${TROUBLE:-1}
RECORD=$CASE/record.txt
TMP=$(mktemp -d)
QUEUE=/q1/
HOST=test.example
KEY=key-of-team-one
declare -A NODE_PID WORKER_PID
STORE_PID=
LOOP_PID= # of a script's loop in the background, which ends once $TMP/stop is there

loop_end() {
	touch "$TMP/stop"
	[ -z "$LOOP_PID" ] || { wait "$LOOP_PID"; } 2>/dev/null
	LOOP_PID=
}

cleanup() {
	exec 2>/dev/null
	local pid
	loop_end
	for pid in ${NODE_PID[@]+"${NODE_PID[@]}"} ${WORKER_PID[@]+"${WORKER_PID[@]}"} \
		$STORE_PID; do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	{ wait; } 2>/dev/null
	rm -rf "$TMP"
}
trap cleanup EXIT

give_up() {
	note "the case could not run: $1"
	exit 2
}
trap 'give_up interrupted' INT TERM

note() {
	echo "$(date +%s.%3N) script: $1" | tee -a "$RECORD"
}

if [ ! -x "$BOX" ] || [ ! -x "$ROOT/${RUN%% *}" ]; then
	echo "not built: the deploy file's build, then review/build-3.sh"
	exit 2
fi
: >"$RECORD"
note "TROUBLE=$TROUBLE"
mapfile -t PORTS < <("$BOX" ports 80)
[ ${#PORTS[@]} = 80 ] || give_up "no free ports"
STORE_PORT=${PORTS[0]}
ZONES=(zone-a zone-b)
export HOLD_MAX_MS=${HOLD_MAX_MS:-6000}

# Ports of node N: front, readiness, peers, metrics.
port() { echo "${PORTS[$((1 + 4 * ($1 - 1) + $2))]}"; }
front() { port "$1" 0; }

call() { "$BOX" call "$@"; }

config() {
	cat <<-END
	{"version":$1,"routes":[
	{"name":"q1","host":"$HOST","prefix":"/q1/","kind":"mutating","timeoutMs":3000,
	"targetDurationMs":1200,"priority":1,"service":"svc","maxAttempts":3,"stretch":2.2,
	"public":false},
	{"name":"q2","host":"$HOST","prefix":"/q2/","kind":"mutating","timeoutMs":3000,
	"targetDurationMs":600,"priority":0,"service":"svc","maxAttempts":4,"stretch":1.5,
	"public":false},
	{"name":"q3","host":"$HOST","prefix":"/q3/","kind":"mutating","timeoutMs":3000,
	"targetDurationMs":1200,"priority":1,"service":"svc","maxAttempts":2,"stretch":2.2,
	"public":false}],
	"services":[{"name":"svc","admissionCheck":false}],
	"limits":{"maxBodyBytes":262144},
	"tenants":[{"name":"one","apiKeys":["$KEY"],"weight":100,
	"cap":{"cpu":0,"memMb":0,"gpu":0}},
	{"name":"two","apiKeys":["key-of-team-two"],"weight":100,
	"cap":{"cpu":0,"memMb":0,"gpu":0}}]}
	END
}

platform_start() {
	"$BOX" store "$STORE_PORT" "$RECORD" &
	STORE_PID=$!
	sleep 0.3
	[ "$(call POST "$STORE_PORT" "/operator?key=config" store "" 2000 "$(config 1)" |
		cut -d' ' -f1)" = 200 ] || give_up "no store"
}

node_start() {
	local n=$1 file=$TMP/node-$1.ini
	sed -e "s/{{nodeName}}/edge-$n/" -e "s/{{zone}}/${ZONES[$((n % 2))]}/" \
		-e "s/{{listen.frontend}}/127.0.0.1:$(port "$n" 0)/" \
		-e "s/{{listen.readiness}}/127.0.0.1:$(port "$n" 1)/" \
		-e "s/{{ip}}:{{portRange.0}}/127.0.0.1:$(port "$n" 2)/" \
		-e "s/{{ip}}:{{portRange.1}}/127.0.0.1:$(port "$n" 3)/" \
		-e "s/{{platform.address}}/127.0.0.1:$STORE_PORT/" \
		-e "s/{{advice}}//" -e "s/{{limits.cpuShare}}/0.25/" \
		-e "s/{{bounds.holdMaxMs}}/$HOLD_MAX_MS/" -e "s/{{bounds.contactMs}}/4000/" \
		-e "s/{{heartbeatMs}}/1500/" -e "s/{{bounds.stopMs}}/900/" \
		-e "s/{{bounds.gangMs}}/3000/" -e "s/{{bounds.revokeMs}}/5000/" \
		-e "s/{{bounds.cancel_ms}}/3000/" -e "s/{{bounds.drainMs}}/3000/" \
		-e "s/{{bounds.configApplyMs}}/3000/" -e "s/{{bounds.graceS}}/6/" \
		"$ROOT/deploy/node.ini" >"$file"
	grep -q '{{' "$file" && give_up "unknown setting in deploy/node.ini"
	(
		cd "$ROOT" && VANILLAHOLLOW_NODE_FILE=$file exec $RUN
	) >>"$TMP/node-$n.log" 2>&1 &
	NODE_PID[$n]=$!
	note "node edge-$n starts"
}

node_kill() {
	kill "-$2" "${NODE_PID[$1]}"
	note "node edge-$1 gets SIG$2"
	[ "$2" = KILL ] && { wait "${NODE_PID[$1]}"; } 2>/dev/null
	return 0
}

nodes_ready() {
	local n i
	for n in "$@"; do
		for i in $(seq 100); do
			[ "$(call GET "$(port "$n" 1)" /readyz x "" 500 | cut -d' ' -f1)" = 200 ] &&
				continue 2
			sleep 0.1
		done
		give_up "node $n is not ready"
	done
}

worker_start() {
	local n=$1
	"$BOX" worker "i-$n" "${PORTS[$((30 + n))]}" "$STORE_PORT" "$RECORD" \
		"${ZONES[$((n % 2))]}" "r$((n / 4))" "${2:-16000}" "${3:-65536}" &
	WORKER_PID[$n]=$!
	echo "$(date +%s.%3N) i-$n: starts" >>"$RECORD"
}

worker_crash() {
	kill -KILL "${WORKER_PID[$1]}"
	{ wait "${WORKER_PID[$1]}"; } 2>/dev/null
	note "worker i-$1 crashes"
}

submit() {
	local answer
	answer=$(call POST "$(front "$1")" "$QUEUE$2" "$HOST" "$KEY" 3000 "$3")
	note "POST $QUEUE$2 to edge-$1: $answer" >/dev/null
	echo "${answer%% *}"
}

status() {
	local answer
	answer=$(call GET "$(front "$1")" "$QUEUE$2" "$HOST" "$KEY" 3000)
	echo "$(date +%s.%3N) script: GET $QUEUE$2 from edge-$1: $answer" >>"$RECORD"
	case $answer in
	*'"state":"'*) answer=${answer#*\"state\":\"} && echo "${answer%%\"*}" ;;
	*) echo "${answer%% *}" ;;
	esac
}

begun() { grep -c " $1 run [0-9]* begins" "$RECORD"; }

runs_on() {
	awk -v task="$1" '
		$3 == task && $6 == "begins" { at = $2 }
		$3 == task && $6 == "ends" { at = "" }
		$2 == "script:" && $5 == "crashes" && ($4 ":") == at { at = "" }
		END { sub(/^i-/, "", at); sub(/:$/, "", at); print at }' "$RECORD"
}

# The node that began to own the cell last, as the logs tell.
owner() {
	grep -H '"ownership begins"' "$TMP"/node-*.log |
		sed 's/.*node-\([0-9]\).log.*"epoch":"\([0-9]*\)".*/\2 \1/' | sort -n |
		tail -1 | cut -d' ' -f2
}

verdict() {
	note "the rule $1: $2"
	[ "$1" = held ]
	exit $?
}
