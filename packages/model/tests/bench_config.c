#include <stdio.h>
#include <time.h>

#include "vh/delta.h"
#include "vh/objects.h"

/*
 * Measures the CPU time and the size of a configuration change that withdraws
 * one key, with 16, 65 and 260 teams. Prints lines of the form
 * "bench NAME VALUE UNIT BOUND VERDICT".
 */

#define ROUNDS 50
#define KEYS_PER_TEAM 3
#define QUEUES_PER_TEAM 2
#define CONFIG_CHANGE_MAX_US 6e6 /* all nodes must apply a change within 6 s */

static double now_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

static void generate_set(unsigned int teams, bool withdrawn, struct vh_buf *out)
{
	vh_buf_add_str(out, "[share \"s\"]\nweight = 10\n"
			    "[limit \"l\"]\ntasks = 400\n");
	for (unsigned int t = 0; t < teams; t++) {
		vh_buf_printf(out,
			      "[team \"t%u\"]\nshare = s\nlimit = l\n"
			      "[service \"v%u\"]\nteam = t%u\nreplicas = 80\n",
			      t, t, t);
		for (unsigned int q = 0; q < QUEUES_PER_TEAM; q++)
			vh_buf_printf(out, "[queue \"q%u-%u\"]\nteams = t%u\n",
				      t, q, t);
		for (unsigned int k = 0; k < KEYS_PER_TEAM; k++)
			vh_buf_printf(out,
				      "[key \"k%u-%u\"]\nteam = t%u\n"
				      "withdrawn = %s\nsha256 = %064x\n",
				      t, k, t,
				      !t && !k && withdrawn ? "true" : "false",
				      t * KEYS_PER_TEAM + k + 1);
	}
}

static bool load(struct vh_slice text, struct vh_buf *canonical)
{
	struct vh_ini_source source = { VH_SLICE("bench"), text };
	struct vh_problems problems;
	struct vh_objects set;
	bool ok;

	vh_problems_init(&problems);
	ok = vh_objects_load(&set, &source, 1, &problems);
	if (ok) {
		vh_objects_render(&set, canonical);
		vh_objects_finish(&set);
	}
	vh_problems_finish(&problems);
	return ok;
}

/* Processes a change as a node does: apply, load and validate, render. */
static bool apply_change(struct vh_slice from, struct vh_slice delta)
{
	struct vh_buf text = { 0 };
	struct vh_buf canonical = { 0 };
	bool ok = vh_objects_delta_apply(from, delta, &text) &&
		  load(vh_buf_slice(&text), &canonical);

	vh_buf_finish(&text);
	vh_buf_finish(&canonical);
	return ok;
}

static bool measure(unsigned int teams)
{
	struct vh_buf raw[2] = { { 0 } };
	struct vh_buf set[2] = { { 0 } };
	struct vh_buf delta = { 0 };
	double start;
	double us;
	bool ok = true;

	for (int i = 0; i < 2; i++) {
		generate_set(teams, i, &raw[i]);
		ok = ok && load(vh_buf_slice(&raw[i]), &set[i]);
	}
	vh_objects_delta_make(vh_buf_slice(&set[0]), vh_buf_slice(&set[1]),
			      &delta);
	start = now_us();
	for (int i = 0; ok && i < ROUNDS; i++)
		ok = apply_change(vh_buf_slice(&set[0]), vh_buf_slice(&delta));
	us = (now_us() - start) / ROUNDS;
	printf("bench config_change_cpu_at_%u %.0f us <=%.0f %s\n", teams, us,
	       CONFIG_CHANGE_MAX_US,
	       us <= CONFIG_CHANGE_MAX_US ? "ok" : "FAIL");
	printf("bench config_change_bytes_at_%u %zu B - -\n", teams, delta.len);
	printf("bench config_set_bytes_at_%u %zu B - -\n", teams, set[0].len);
	for (int i = 0; i < 2; i++) {
		vh_buf_finish(&raw[i]);
		vh_buf_finish(&set[i]);
	}
	vh_buf_finish(&delta);
	return ok;
}

int main(void)
{
	bool ok = measure(16);

	ok = measure(65) && ok;
	ok = measure(260) && ok;
	return ok ? 0 : 1;
}
