#include "fleet.h"

#include "config.h"
#include "racks.h"
#include "vh/codec.h"

#define REFRESH_MS 200
#define MAX_RACKS 2048
#define MAX_ZONES 64
#define ROW_HEADER_BYTES 20    /* msgpack headers of a rack's entry, in bytes */
#define DIGEST_HEADER_BYTES 32 /* the digest's fields but for the address */

/* Hash of the last digest from a node, to skip unchanged digests. */
struct node_digest {
	struct node_digest *next;
	char *node;
	uint64_t hash;
};

struct vh_fleet {
	struct vh_core *core;
	struct vh_service service;
	struct vh_timer timer;
	struct vh_rack_index index;
	char **racks; /* names by index */
	uint32_t n_racks;
	char *regions[VH_REGIONS_MAX];
	uint32_t n_regions;
	char *zones[MAX_ZONES];
	uint32_t n_zones;
	struct vh_res total;
	struct node_digest *node_digest;
	size_t next_own; /* own rack that the next digest begins with */
};

static uint32_t find_name(char **names, uint32_t n, struct vh_slice name)
{
	for (uint32_t i = 0; i < n; i++) {
		if (vh_slice_eq_str(name, names[i]))
			return i;
	}
	return UINT32_MAX;
}

static uint32_t intern_name(char **names, uint32_t *n, uint32_t max,
			    struct vh_slice name)
{
	uint32_t i = find_name(names, *n, name);

	if (i != UINT32_MAX || *n == max)
		return i;
	names[*n] = vh_slice_dup(name);
	return (*n)++;
}

uint32_t fleet_rack_index(const struct vh_fleet *f, struct vh_slice name)
{
	return find_name(f->racks, f->n_racks, name);
}

struct vh_slice fleet_rack_name(const struct vh_fleet *f, uint32_t rack)
{
	return vh_slice_str(rack < f->n_racks ? f->racks[rack] : NULL);
}

uint32_t fleet_region_index(struct vh_fleet *f, struct vh_slice name)
{
	return intern_name(f->regions, &f->n_regions, VH_REGIONS_MAX, name);
}

/* A VM of the rack, which has its region and zone; NULL if none is listed. */
static const struct vh_vm *rack_vm(const struct vh_fleet *f,
				   struct vh_slice rack)
{
	const struct vh_vm *vms;
	size_t n = vh_vm_list_workers(f->core->vms, &vms);

	for (size_t i = 0; i < n; i++) {
		if (vh_slice_eq(vms[i].rack, rack))
			return &vms[i];
	}
	return NULL;
}

static void index_summary(struct vh_fleet *f, struct vh_slice name,
			  const struct vh_rack_summary *summary)
{
	const struct vh_vm *vm = rack_vm(f, name);
	uint32_t rack, region, zone;

	if (!vm)
		return;
	rack = intern_name(f->racks, &f->n_racks, MAX_RACKS, name);
	region = fleet_region_index(f, vm->region);
	zone = intern_name(f->zones, &f->n_zones, MAX_ZONES, vm->zone);
	if (rack != UINT32_MAX && region != UINT32_MAX && zone != UINT32_MAX)
		vh_rack_index_update(&f->index, rack, region, zone, summary);
}

static void index_digest(struct vh_fleet *f, struct vh_slice digest)
{
	struct vh_unpack u, row;
	struct vh_rack_summary summary;
	struct vh_slice name, bytes;

	vh_unpack_init(&u, digest, NULL);
	vh_unpack_slice(&u);
	vh_unpack_u64(&u);
	vh_unpack_i64(&u);
	while (u.ok && u.at < u.n) {
		vh_unpack_array(&u, &row);
		name = vh_unpack_slice(&row);
		bytes = vh_unpack_slice(&row);
		if (!row.ok || bytes.len != sizeof(summary))
			break;
		memcpy(&summary, bytes.data, sizeof(summary));
		index_summary(f, name, &summary);
	}
	vh_unpack_finish(&u);
}

static bool digest_changed(struct vh_fleet *f, const struct vh_node *node)
{
	uint64_t hash = vh_slice_hash(node->summary, node->incarnation);
	struct node_digest *d = f->node_digest;

	while (d && !vh_slice_eq_str(node->id, d->node))
		d = d->next;
	if (!d) {
		d = g_new0(struct node_digest, 1);
		d->node = vh_slice_dup(node->id);
		d->next = f->node_digest;
		f->node_digest = d;
	}
	if (d->hash == hash)
		return false;
	d->hash = hash;
	return true;
}

bool fleet_node_digest_read(const struct vh_node *node,
			    struct fleet_node_digest *out)
{
	struct vh_unpack u;
	bool ok = vh_unpack_init(&u, node->summary, NULL);

	out->operators = vh_unpack_slice(&u);
	out->version = vh_unpack_u64(&u);
	out->config_age_ms = vh_unpack_i64(&u);
	ok = ok && u.ok;
	vh_unpack_finish(&u);
	/* The slice points into the node's summary, not into the unpacker. */
	return ok;
}

struct own_racks {
	struct vh_fleet *fleet;
	struct vh_buf rows; /* packed */
	size_t n;
	size_t at;
	size_t bytes_left;
};

static void add_own_rack(void *ctx, struct vh_slice name,
			 const struct vh_rack_summary *summary)
{
	struct own_racks *own = ctx;
	size_t need = name.len + sizeof(*summary) + ROW_HEADER_BYTES;

	index_summary(own->fleet, name, summary);
	if (own->at++ < own->fleet->next_own || need > own->bytes_left)
		return;
	own->bytes_left -= need;
	own->n++;
	vh_pack_array(&own->rows, 2);
	vh_pack_slice(&own->rows, name);
	vh_pack_slice(&own->rows,
		      vh_slice((const char *)summary, sizeof(*summary)));
}

/* A digest contains as many racks as fit; the next one continues after them. */
static void publish_digest(struct vh_fleet *f)
{
	struct own_racks own = { .fleet = f };
	struct vh_slice operators =
		vh_slice_str(f->core->operators ? f->core->operators : "");
	int64_t age = config_age_ms(f->core->config);
	struct vh_buf out;

	own.bytes_left =
		VH_PEER_SUMMARY_MAX - operators.len - DIGEST_HEADER_BYTES;
	racks_summaries(f->core->racks, add_own_rack, &own);
	f->next_own = f->next_own + own.n < own.at ? f->next_own + own.n : 0;
	vh_buf_init(&out);
	vh_pack_array(&out, 3 + own.n);
	vh_pack_slice(&out, operators);
	vh_pack_u64(&out, config_version(f->core->config));
	vh_pack_i64(&out, age == INT64_MAX ? -1 : age);
	vh_buf_add_slice(&out, vh_buf_slice(&own.rows));
	vh_peer_set_summary(f->core->peer, vh_buf_slice(&out));
	vh_buf_finish(&out);
	vh_buf_finish(&own.rows);
}

static void refresh(void *ctx)
{
	struct vh_fleet *f = ctx;
	const struct vh_node *nodes;
	size_t n = vh_peer_nodes(f->core->peer, &nodes);

	vh_timer_start(&f->timer, REFRESH_MS);
	for (size_t i = 1; i < n; i++) {
		if (nodes[i].state != VH_NODE_DEAD &&
		    digest_changed(f, &nodes[i]))
			index_digest(f, nodes[i].summary);
	}
	publish_digest(f);
}

void fleet_pick_rack(struct vh_fleet *f, const struct vh_pick_request *want,
		     struct vh_pick *out)
{
	vh_rack_index_pick(&f->index, want, out);
}

void fleet_note_request(struct vh_fleet *f, uint32_t rack)
{
	vh_rack_index_note_request(&f->index, rack);
}

void fleet_total_capacity(const struct vh_fleet *f, struct vh_res *out)
{
	*out = f->total;
}

static void on_vm(void *ctx, const struct vh_vm *changed)
{
	struct vh_fleet *f = ctx;
	const struct vh_vm *vms;
	size_t n;

	if (changed)
		return;
	memset(&f->total, 0, sizeof(f->total));
	n = vh_vm_list_workers(f->core->vms, &vms);
	for (size_t i = 0; i < n; i++) {
		if (!vms[i].gone)
			vh_res_add(&f->total, &vms[i].capacity);
	}
}

static bool fleet_start(void *self, struct vh_kernel *kernel, GError **err)
{
	struct vh_fleet *f = self;

	(void)kernel;
	(void)err;
	vh_vm_list_watch(f->core->vms, on_vm, f);
	vh_timer_start(&f->timer, REFRESH_MS);
	return true;
}

static void fleet_stop(void *self)
{
	vh_timer_stop(&((struct vh_fleet *)self)->timer);
}

struct vh_fleet *fleet_new(struct vh_core *core)
{
	struct vh_fleet *f = g_new0(struct vh_fleet, 1);

	f->core = core;
	f->racks = g_new0(char *, MAX_RACKS);
	vh_rack_index_init(&f->index, MAX_RACKS);
	vh_timer_init(&f->timer, core->kernel, refresh, f);
	f->service.name = "fleet";
	f->service.self = f;
	f->service.start = fleet_start;
	f->service.stop = fleet_stop;
	return f;
}

void fleet_free(struct vh_fleet *f)
{
	if (!f)
		return;
	while (f->node_digest) {
		struct node_digest *d = f->node_digest;

		f->node_digest = d->next;
		g_free(d->node);
		g_free(d);
	}
	for (uint32_t i = 0; i < f->n_racks; i++)
		g_free(f->racks[i]);
	for (uint32_t i = 0; i < f->n_regions; i++)
		g_free(f->regions[i]);
	for (uint32_t i = 0; i < f->n_zones; i++)
		g_free(f->zones[i]);
	g_free(f->racks);
	vh_rack_index_finish(&f->index);
	vh_timer_finish(&f->timer);
	g_free(f);
}

struct vh_service *fleet_service(struct vh_fleet *f)
{
	return &f->service;
}
