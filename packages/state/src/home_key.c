#include "home_priv.h"

#include "vh/invariant.h"

/* Keys checked per record, which bounds the cost of expiry per record. */
#define KEYS_CHECKED_PER_RECORD 4

struct home_key *home_key_find(const struct vh_home *h, struct vh_slice key)
{
	return (struct home_key *)vh_table_find(&h->keys, key);
}

static void key_push(struct vh_home *h, struct home_key *k)
{
	k->next = NULL;
	*h->key_tail = k;
	h->key_tail = &k->next;
}

static struct home_key *key_pop(struct vh_home *h)
{
	struct home_key *k = h->key_head;

	if (!k)
		return NULL;
	h->key_head = k->next;
	if (!h->key_head)
		h->key_tail = &h->key_head;
	return k;
}

struct home_key *home_key_add(struct vh_home *h, struct vh_slice key,
			      uint64_t fingerprint, int64_t wall_ms)
{
	struct home_key *k = g_malloc0(sizeof(*k) + key.len);

	memcpy(k->key, key.data, key.len);
	k->node.key = vh_slice(k->key, key.len);
	k->fingerprint = fingerprint;
	k->wall_ms = wall_ms;
	vh_table_add(&h->keys, &k->node);
	key_push(h, k);
	h->counts.keys++;
	return k;
}

/* Frees a key that is no longer in the list, together with its job. */
static void key_free(struct vh_home *h, struct home_key *k)
{
	vh_table_remove(&h->keys, &k->node);
	h->counts.keys--;
	if (k->job)
		home_job_remove(h, k->job);
	g_free(k);
}

void home_key_remove(struct vh_home *h, struct home_key *key)
{
	struct home_key **at = &h->key_head;

	while (*at != key)
		at = &(*at)->next;
	*at = key->next;
	if (!*at)
		h->key_tail = at;
	key_free(h, key);
}

void home_keys_expire(struct vh_home *h, int64_t wall_ms)
{
	int64_t window_ms = h->settings.dedupe_window_ms;

	if (wall_ms > h->wall_ms)
		h->wall_ms = wall_ms;
	for (int i = 0; i < KEYS_CHECKED_PER_RECORD; i++) {
		struct home_key *k = h->key_head;

		if (!k || h->wall_ms - k->wall_ms < window_ms)
			return;
		key_pop(h);
		if (!k->durable || (k->job && k->job->pub.n_unfinished))
			key_push(h, k);
		else
			key_free(h, k);
	}
}

void home_keys_clear(struct vh_home *h)
{
	struct home_key *k;

	while ((k = key_pop(h)))
		key_free(h, k);
	vh_table_finish(&h->keys);
}

enum vh_request_state vh_home_request(struct vh_home *h, struct vh_slice key,
				      uint64_t fingerprint, int64_t wall_ms,
				      struct vh_buf *body, uint32_t *status)
{
	struct home_key *k = home_key_find(h, key);

	*status = 0;
	if (!k) {
		home_key_add(h, key, fingerprint, wall_ms);
		vh_pack_array(body, 3);
		vh_pack_slice(body, key);
		vh_pack_u64(body, fingerprint);
		vh_pack_i64(body, wall_ms);
		return VH_REQUEST_NEW;
	}
	if (k->job || k->fingerprint != fingerprint)
		return VH_REQUEST_CONFLICT;
	*status = k->status;
	return k->ended ? VH_REQUEST_ENDED : VH_REQUEST_UNDER_WAY;
}

void vh_home_request_failed(struct vh_home *h, struct vh_slice key)
{
	struct home_key *k = home_key_find(h, key);

	if (k && !k->durable && !k->job)
		home_key_remove(h, k);
}

void vh_home_request_ended(struct vh_home *h, struct vh_slice key,
			   uint32_t status, struct vh_buf *body)
{
	vh_pack_array(body, 3);
	vh_pack_slice(body, key);
	vh_pack_u64(body, status);
	vh_pack_i64(body, h->wall_ms);
}

void home_apply_request(struct vh_home *h, struct vh_slice body)
{
	struct vh_slice key;
	uint64_t fingerprint;
	struct home_key *k;
	struct vh_unpack u;
	int64_t wall_ms;
	bool ok;

	vh_unpack_init(&u, body, NULL);
	key = vh_unpack_slice(&u);
	fingerprint = vh_unpack_u64(&u);
	wall_ms = vh_unpack_i64(&u);
	ok = u.ok;
	vh_unpack_finish(&u);
	if (!ok)
		return;
	k = home_key_find(h, key);
	if (!vh_invariant_check(VH_I7_AT_MOST_ONCE, !k || !k->durable,
				"key %.*s of %s was begun twice",
				VH_SLICE_ARGS(key), h->unit))
		return;
	if (!k)
		k = home_key_add(h, key, fingerprint, wall_ms);
	k->durable = true;
	home_keys_expire(h, wall_ms);
}

void home_apply_request_end(struct vh_home *h, struct vh_slice body)
{
	struct home_key *k;
	struct vh_unpack u;
	uint32_t status;

	vh_unpack_init(&u, body, NULL);
	k = home_key_find(h, vh_unpack_slice(&u));
	status = vh_unpack_u32(&u);
	if (u.ok && k && !k->job && k->durable) {
		if (!status) {
			home_key_remove(h, k);
		} else {
			k->ended = true;
			k->status = status;
		}
	}
	vh_unpack_finish(&u);
}
