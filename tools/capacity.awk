# Makes the tables of docs/CAPACITY.md from lines
#   bench NAME VALUE UNIT BOUND VERDICT
# Figures NAME_at_SIZE at three or more sizes are fitted with a straight line by
# least squares: its slope is the cost per unit of size, its intercept the fixed
# cost.

$1 == "bench" {
	value[$2] = $3
	if (match($2, /_at_[0-9]+$/)) {
		name = substr($2, 1, RSTART - 1)
		size = substr($2, RSTART + 4) + 0
		samples[name]++; sum_x[name] += size; sum_y[name] += $3
		sum_xx[name] += size * size; sum_xy[name] += size * $3
		points[name] = points[name] (points[name] == "" ? "" : ", ") \
			size ": " $3 " " $4
		if (!(name in seen)) { seen[name] = 1; names[++name_count] = name }
	}
}

function has_fit(fig) { return samples[fig] >= 3 }
function slope(fig) {
	return (samples[fig] * sum_xy[fig] - sum_x[fig] * sum_y[fig]) / \
		(samples[fig] * sum_xx[fig] - sum_x[fig] * sum_x[fig])
}
function intercept(fig) { return (sum_y[fig] - slope(fig) * sum_x[fig]) / samples[fig] }
function max(a, b) { return a > b ? a : b }
function ceil(x) { return x == int(x) ? x : int(x) + 1 }

# Formats a cost with its margin to the bound of a node, or "missed" above it.
function format_cost(x, bound, unit, scale) {
	if (x == "") return "not measured"
	return sprintf("%.3g %s (%s %.2g x)", x * scale, unit,
		x <= bound ? "margin" : "**missed**",
		x <= bound ? bound / max(x, 1e-12) : x / bound)
}

# Prints the table row of one role; an empty cost was not measured.
function print_role(role, state, messages, bytes, cpu, memory, how) {
	printf "| %s | %s | %s | %s | %s | %s | %s |\n", role, state,
		messages == "" ? "not measured" : sprintf("%.3g", messages),
		format_cost(bytes, BYTES_PER_S_MAX, "KB/s", 1e-3), \
		format_cost(cpu, CPU_CORES_MAX, "% of a core", 100),
		format_cost(memory, MEMORY_BYTES_MAX, "MB", 1e-6), how
}

# Prints the costs of each role in a system of this many nodes.
function print_table(nodes,   workers_per_node, bytes, cpu, memory) {
	printf "\n### With %d nodes\n\n", nodes
	print "| role | state | messages/s | bytes/s | processor | memory | carried by |"
	print "|---|---|---|---|---|---|---|"
	workers_per_node = WORKERS / nodes
	if (has_fit("cell_idle_bytes")) {
		bytes = slope("cell_idle_bytes") * CELL_NODES * workers_per_node
		cpu = slope("cell_idle_cpu") * CELL_NODES * workers_per_node
		memory = slope("cell_idle_memory") * CELL_NODES * workers_per_node
		print_role("rack owner, renewals", sprintf("%.0f workers", workers_per_node), 2 * workers_per_node / RENEW_INTERVAL_S, bytes, cpu, memory, \
			"one exchange a renewal and worker; the owner holds its racks alone")
		print_role("node, fixed: membership, log and VM list polls", "all nodes", "", \
			intercept("cell_idle_bytes"), intercept("cell_idle_cpu"), intercept("cell_idle_memory"), \
			"random probes with piggybacked news; measured among 3 nodes")
		total_bytes = bytes + intercept("cell_idle_bytes")
		total_cpu = cpu + intercept("cell_idle_cpu")
		total_memory = memory + intercept("cell_idle_memory")
	} else {
		print_role("rack owner, renewals", sprintf("%.0f workers", workers_per_node), 2 * workers_per_node / RENEW_INTERVAL_S, "", "", "", "")
	}
	if (has_fit("config_change_cpu")) {
		bytes = (intercept("config_change_bytes") + slope("config_change_bytes") * TEAMS) * CHANGES_PER_S
		cpu = (intercept("config_change_cpu") + slope("config_change_cpu") * TEAMS) * 1e-6 * CHANGES_PER_S
		memory = 2 * (intercept("config_set_bytes") + slope("config_set_bytes") * TEAMS)
		print_role("log reader, objects", TEAMS " teams", CHANGES_PER_S, bytes, cpu, memory, \
			"changed groups only; every node checks each change itself")
		total_bytes += bytes; total_cpu += cpu; total_memory += memory
	}
	if (has_fit("cell_load_cpu")) {
		# A slope is the cost of one node per job or request per second
		# of the whole cell.
		bytes = slope("cell_load_bytes") * CELL_NODES * STARTS_PER_S / nodes
		cpu = slope("cell_load_cpu") * CELL_NODES * STARTS_PER_S / nodes
		print_role("entry, home and rack owner, for each start", sprintf("%.3g starts/s", STARTS_PER_S / nodes), "", bytes, cpu, "", \
			"entry to home to rack owner to worker; records batched by group commit")
		total_bytes += bytes; total_cpu += cpu
	} else {
		print_role("entry, home and rack owner, for each start", sprintf("%.3g starts/s", STARTS_PER_S / nodes), "", "", "", "", "")
	}
	memory = value["state_home_69000_memory"] * 1e6 / nodes
	if (memory) {
		print_role("home: a day's jobs and keys", sprintf("%.0f keys", JOBS_PER_DAY / nodes), "", "", "", memory, \
			"one home a team, more for a large team; the window is the day")
		total_memory += memory
	}
	if (value["state_home_69000_snapshot"])
		print_role("snapshot writer, once in a quarter of the retention", sprintf("%.0f keys", JOBS_PER_DAY / nodes), "", \
			value["state_home_69000_snapshot"] * 1e6 / nodes / (RETENTION_S / 4), "", value["state_home_69000_snapshot"] * 1e6 / nodes, \
			"the owner of a stream; chunks of 32 KB, complete or ignored")
	if (value["state_claims_965_memory"])
		print_role("claims: 900 racks, 65 homes", "965 units", "", "", "", value["state_claims_965_memory"] * 1e6, \
			"one stream that every node reads")
	print_role("membership among as many nodes", nodes " nodes", "", nodes <= 7 ? value["membership_bytes_7_nodes"] : \
		nodes <= 50 ? value["membership_bytes_50_nodes"] : value["membership_bytes_200_nodes"], "", "", \
		"random probes with news in a byte budget; at a heartbeat of 500 ms, the default of 1 s costs less; part of the fixed row")
	if (total_bytes)
		print_role("**sum of what is measured**", "", "", total_bytes, total_cpu, total_memory, "")
}

# Prints the append rate of the whole system. The platform's log service accepts
# several hundred appends per second in total.
function print_appends(   one_home, many_homes) {
	one_home = value["state_appends_one_home_510_per_s"]
	many_homes = value["state_appends_65_homes_8_per_s"]
	if (!one_home || !many_homes) return
	print "\n### Appends of the whole system\n"
	print "| at the peak of 510 starts a second | appends/s | bound | |"
	print "|---|---|---|---|"
	printf "| all in one home | %.0f | 300 | %s |\n", one_home * STARTS_PER_S / 1000, one_home * STARTS_PER_S / 1000 <= APPENDS_PER_S_MAX ? "holds" : "**missed**"
	printf "| spread over 65 homes | %.0f | 300 | %s |\n", many_homes * STARTS_PER_S / 1000, many_homes * STARTS_PER_S / 1000 <= APPENDS_PER_S_MAX ? "holds" : "**missed**"
	if (has_fit("cell_load_appends"))
		printf "| measured: appends for each job or request, cell of 3 nodes | %.2f | | |\n", slope("cell_load_appends")
}

# Prints how many nodes keep each measure within its bound and returns the most.
function print_nodes_needed(   most, k, fixed, per_worker, traffic) {
	if (!has_fit("cell_idle_bytes")) return
	split("cell_idle_bytes cell_idle_cpu cell_idle_memory", figures, " ")
	bound[1] = BYTES_PER_S_MAX; bound[2] = CPU_CORES_MAX; bound[3] = MEMORY_BYTES_MAX
	split("traffic processor memory", labels, " ")
	print "\n### Nodes needed for the renewals alone\n"
	print "| measure | a worker costs its owner | fixed a node | nodes |"
	print "|---|---|---|---|"
	for (k = 1; k <= 3; k++) {
		per_worker = slope(figures[k]) * CELL_NODES; fixed = intercept(figures[k])
		needed[k] = fixed < bound[k] ? ceil(WORKERS * per_worker / (bound[k] - fixed)) : 0
		printf "| %s | %.3g | %.3g | %s |\n", labels[k], per_worker, fixed, needed[k] ? needed[k] : "**missed** at any number"
	}
	most = max(needed[1], max(needed[2], needed[3]))
	if (has_fit("cell_load_bytes")) {
		traffic = slope("cell_load_bytes") * CELL_NODES * STARTS_PER_S + WORKERS * slope("cell_idle_bytes") * CELL_NODES
		with_load = ceil(traffic / (BYTES_PER_S_MAX - intercept("cell_idle_bytes")))
		printf "\nWith the peak of starts as well, traffic needs %d nodes.\n", with_load
		most = max(most, with_load)
	}
	return most
}

END {
	# The size designed for
	WORKERS = 7200; TEAMS = 65; TASKS = 27000; JOBS_PER_DAY = 69000
	STARTS_PER_S = 510
	SECONDS_PER_DAY = 86400
	CHANGES_PER_S = 8000 / SECONDS_PER_DAY
	RETENTION_S = SECONDS_PER_DAY
	# Bounds: control cost of one node, appends of the whole system
	CPU_CORES_MAX = 0.022; MEMORY_BYTES_MAX = 64e6; BYTES_PER_S_MAX = 11000
	APPENDS_PER_S_MAX = 300
	# The measured cell (bench_cell.sh)
	CELL_NODES = 3; RENEW_INTERVAL_S = 2
	print "### Slopes measured\n"
	print "| figure | at the sizes | slope | at size 0 |"
	print "|---|---|---|---|"
	for (i = 1; i <= name_count; i++)
		if (has_fit(names[i]))
			printf "| `%s` | %s | %.4g | %.4g |\n", names[i], points[names[i]], \
				slope(names[i]), intercept(names[i])
	print_table(7)
	total_bytes = total_cpu = total_memory = 0
	nodes = print_nodes_needed()
	if (nodes > 7) print_table(nodes)
	print_appends()
}
