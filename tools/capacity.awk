# Makes the tables of docs/CAPACITY.md from lines
#   bench NAME VALUE UNIT BOUND VERDICT
# Figures NAME_at_SIZE at two or more sizes give a line by least squares.

$1 == "bench" {
	value[$2] = $3
	if (match($2, /_at_[0-9]+$/)) {
		base = substr($2, 1, RSTART - 1)
		size = substr($2, RSTART + 4) + 0
		n[base]++; sx[base] += size; sy[base] += $3
		sxx[base] += size * size; sxy[base] += size * $3
		points[base] = points[base] (points[base] == "" ? "" : ", ") \
			size ": " $3 " " $4
		if (!(base in seen)) { seen[base] = 1; bases[++nb] = base }
	}
}

function known(b) { return n[b] >= 3 }
function slope(b) { return (n[b] * sxy[b] - sx[b] * sy[b]) / (n[b] * sxx[b] - sx[b] * sx[b]) }
function fixed(b) { return (sy[b] - slope(b) * sx[b]) / n[b] }
function max(a, b) { return a > b ? a : b }
function ceil(x) { return x == int(x) ? x : int(x) + 1 }

# A figure with its margin to the bound of a node; "missed" when over it.
function cell(x, bound, unit, scale) {
	if (x == "") return "not measured"
	return sprintf("%.3g %s (%s %.2g x)", x * scale, unit,
		x <= bound ? "margin" : "**missed**",
		x <= bound ? bound / max(x, 1e-12) : x / bound)
}

function role(name, state, messages, bytes, cpu, memory, how) {
	printf "| %s | %s | %s | %s | %s | %s | %s |\n", name, state,
		messages == "" ? "not measured" : sprintf("%.3g", messages),
		cell(bytes, BYTES, "KB/s", 1e-3), cell(cpu, CPU, "% of a core", 100),
		cell(memory, MEMORY, "MB", 1e-6), how
}

function table(nodes,   own, b, c, m) {
	printf "\n### With %d nodes\n\n", nodes
	print "| role | state | messages/s | bytes/s | processor | memory | carried by |"
	print "|---|---|---|---|---|---|---|"
	own = WORKERS / nodes
	if (known("cell_idle_bytes")) {
		b = slope("cell_idle_bytes") * CELL_NODES * own
		c = slope("cell_idle_cpu") * CELL_NODES * own
		m = slope("cell_idle_memory") * CELL_NODES * own
		role("rack owner, renewals", sprintf("%.0f workers", own), 2 * own / RENEW_S, b, c, m, \
			"one exchange a renewal and worker; the owner holds its racks alone")
		role("node, fixed: membership, log and VM list polls", "all nodes", "", \
			fixed("cell_idle_bytes"), fixed("cell_idle_cpu"), fixed("cell_idle_memory"), \
			"random probes with piggybacked news; measured among 3 nodes")
		total_b = b + fixed("cell_idle_bytes")
		total_c = c + fixed("cell_idle_cpu")
		total_m = m + fixed("cell_idle_memory")
	} else {
		role("rack owner, renewals", sprintf("%.0f workers", own), 2 * own / RENEW_S, "", "", "", "")
	}
	if (known("config_change_cpu")) {
		b = (fixed("config_change_bytes") + slope("config_change_bytes") * TEAMS) * CHANGES_PER_S
		c = (fixed("config_change_cpu") + slope("config_change_cpu") * TEAMS) * 1e-6 * CHANGES_PER_S
		m = 2 * (fixed("config_set_bytes") + slope("config_set_bytes") * TEAMS)
		role("log reader, objects", TEAMS " teams", CHANGES_PER_S, b, c, m, \
			"changed groups only; every node checks each change itself")
		total_b += b; total_c += c; total_m += m
	}
	if (known("cell_load_cpu")) {
		# Slopes are a node's cost for each job a second of the whole cell.
		b = slope("cell_load_bytes") * CELL_NODES * STARTS / nodes
		c = slope("cell_load_cpu") * CELL_NODES * STARTS / nodes
		role("entry, home and rack owner, for each start", sprintf("%.3g starts/s", STARTS / nodes), "", b, c, "", \
			"entry to home to rack owner to worker; records batched by group commit")
		total_b += b; total_c += c
	} else {
		role("entry, home and rack owner, for each start", sprintf("%.3g starts/s", STARTS / nodes), "", "", "", "", "")
	}
	m = value["state_home_69000_memory"] * 1e6 / nodes
	if (m) {
		role("home: a day's jobs and keys", sprintf("%.0f keys", 69000 / nodes), "", "", "", m, \
			"one home a team, more for a large team; the window is the day")
		total_m += m
	}
	if (value["state_home_69000_snapshot"])
		role("snapshot writer, once in a quarter of the retention", sprintf("%.0f keys", 69000 / nodes), "", \
			value["state_home_69000_snapshot"] * 1e6 / nodes / (86400 / 4), "", value["state_home_69000_snapshot"] * 1e6 / nodes, \
			"the owner of a stream; chunks of 32 KB, complete or ignored")
	if (value["state_claims_965_memory"])
		role("claims: 900 racks, 65 homes", "965 units", "", "", "", value["state_claims_965_memory"] * 1e6, \
			"one stream that every node reads")
	role("membership among as many nodes", nodes " nodes", "", nodes <= 7 ? value["membership_bytes_7_nodes"] : \
		nodes <= 50 ? value["membership_bytes_50_nodes"] : value["membership_bytes_200_nodes"], "", "", \
		"random probes with news in a byte budget; at a heartbeat of 500 ms, the default of 1 s costs less; part of the fixed row")
	if (total_b)
		role("**sum of what is measured**", "", "", total_b, total_c, total_m, "")
}

# The log takes several hundred appends a second over the whole system.
function appends(   one, many) {
	one = value["state_appends_one_home_510_per_s"]
	many = value["state_appends_65_homes_8_per_s"]
	if (!one || !many) return
	print "\n### Appends of the whole system\n"
	print "| at the peak of 510 starts a second | appends/s | bound | |"
	print "|---|---|---|---|"
	printf "| all in one home | %.0f | 300 | %s |\n", one * STARTS / 1000, one * STARTS / 1000 <= 300 ? "holds" : "**missed**"
	printf "| spread over 65 homes | %.0f | 300 | %s |\n", many * STARTS / 1000, many * STARTS / 1000 <= 300 ? "holds" : "**missed**"
	if (known("cell_load_appends"))
		printf "| measured: appends for each job or request, cell of 3 nodes | %.2f | | |\n", slope("cell_load_appends")
}

function needed(   best, k, f, s) {
	if (!known("cell_idle_bytes")) return
	split("cell_idle_bytes cell_idle_cpu cell_idle_memory", names, " ")
	limit[1] = BYTES; limit[2] = CPU; limit[3] = MEMORY
	split("traffic processor memory", words, " ")
	print "\n### Nodes needed for the renewals alone\n"
	print "| measure | a worker costs its owner | fixed a node | nodes |"
	print "|---|---|---|---|"
	for (k = 1; k <= 3; k++) {
		s = slope(names[k]) * CELL_NODES; f = fixed(names[k])
		count[k] = f < limit[k] ? ceil(WORKERS * s / (limit[k] - f)) : 0
		printf "| %s | %.3g | %.3g | %s |\n", words[k], s, f, count[k] ? count[k] : "**missed** at any number"
	}
	most = max(count[1], max(count[2], count[3]))
	if (known("cell_load_bytes")) {
		s = slope("cell_load_bytes") * CELL_NODES * STARTS + WORKERS * slope("cell_idle_bytes") * CELL_NODES
		with_load = ceil(s / (BYTES - fixed("cell_idle_bytes")))
		printf "\nWith the peak of starts as well, traffic needs %d nodes.\n", with_load
		most = max(most, with_load)
	}
	return most
}

END {
	WORKERS = 7200; TEAMS = 65; TASKS = 27000; STARTS = 510
	CHANGES_PER_S = 8000 / 86400
	CPU = 0.022; MEMORY = 64e6; BYTES = 11000
	CELL_NODES = 3; RENEW_S = 2
	print "### Slopes measured\n"
	print "| figure | at the sizes | slope | at size 0 |"
	print "|---|---|---|---|"
	for (i = 1; i <= nb; i++)
		if (known(bases[i]))
			printf "| `%s` | %s | %.4g | %.4g |\n", bases[i], points[bases[i]], slope(bases[i]), fixed(bases[i])
	table(7)
	total_b = total_c = total_m = 0
	nodes = needed()
	if (nodes > 7) table(nodes)
	appends()
}
