#include "print.h"
#include "publish.h"
#include "object_set.h"
#include "vh/delta.h"

#define KEY_BYTES 24
#define CONFLICT_ATTEMPTS_MAX 5 /* while others publish too */

/* A change of one key: withdraws @name, or creates it for @team with the
 * SHA-256 @hash in hexadecimal. */
struct key_edit {
	const char *name;
	const char *team;
	const char *hash;
	bool withdraw;
};

static bool generate_key(char *out, size_t size)
{
	unsigned char raw[KEY_BYTES];
	FILE *f = fopen("/dev/urandom", "rbe");
	bool ok = f && fread(raw, 1, sizeof(raw), f) == sizeof(raw);

	if (f)
		fclose(f);
	for (size_t i = 0; ok && i < sizeof(raw); i++)
		g_snprintf(out + 2 * i, size - 2 * i, "%02x", raw[i]);
	return ok;
}

static const struct vh_key *find_key(const struct vh_objects *set,
				     const char *name)
{
	for (size_t i = 0; i < set->n_keys; i++) {
		if (vh_slice_eq_str(set->keys[i].name, name))
			return &set->keys[i];
	}
	return NULL;
}

/* Appends the group of the edited key, as it is after the edit. Returns the
 * exit code, after printing an error if the edit is impossible. */
static int append_key_group(struct ctl *c, const struct key_edit *edit,
			    const struct vh_objects *set, struct vh_buf *delta)
{
	const struct vh_key *key = find_key(set, edit->name);
	const struct vh_team *team =
		edit->team ? vh_objects_find_team(set, vh_slice_str(edit->team))
			   : NULL;

	if (edit->withdraw && !key) {
		fprintf(c->err, "vhctl: there is no [key \"%s\"]\n",
			edit->name);
		return CTL_FAILED;
	}
	if (!edit->withdraw && (key || !team)) {
		fprintf(c->err,
			key ? "vhctl: there is a [key \"%s\"] already\n"
			    : "vhctl: there is no [team \"%s\"]\n",
			key ? edit->name : edit->team);
		return CTL_FAILED;
	}
	vh_buf_printf(delta, "[key \"%s\"]\nteam = %.*s\nsha256 = ", edit->name,
		      VH_SLICE_ARGS(key ? key->team->name : team->name));
	if (key) {
		for (size_t i = 0; i < VH_KEY_HASH_BYTES; i++)
			vh_buf_printf(delta, "%02x", key->hash[i]);
	} else {
		vh_buf_add_str(delta, edit->hash);
	}
	vh_buf_printf(delta, "\nwithdrawn = %s\n",
		      edit->withdraw ? "true" : "false");
	return CTL_OK;
}

/* Applies the edit to the set in force and publishes the result once. */
static int try_edit_key(struct ctl *c, const struct key_edit *edit,
			uint64_t *version)
{
	struct ctl_response current;
	struct vh_buf delta;
	struct vh_buf text;
	struct ctl_object_set set;
	int code = fetch_objects(c, &current);

	vh_buf_init(&delta);
	vh_buf_init(&text);
	memset(&set, 0, sizeof(set));
	if (code == CTL_OK) {
		ctl_object_set_parse(&set, "version in force",
				     vh_buf_slice(&current.body));
		code = set.ok ? append_key_group(c, edit, &set.objects, &delta)
			      : CTL_INVALID;
	}
	if (code == CTL_OK &&
	    !vh_objects_delta_apply(vh_buf_slice(&set.text),
				    vh_buf_slice(&delta), &text))
		code = CTL_FAILED;
	if (code == CTL_OK)
		code = publish_objects(c, current.version, vh_buf_slice(&text),
				       version);
	ctl_object_set_finish(&set);
	vh_buf_finish(&delta);
	vh_buf_finish(&text);
	ctl_response_finish(&current);
	return code;
}

static int edit_key(struct ctl *c, const struct key_edit *edit,
		    uint64_t *version)
{
	int code = CTL_CONFLICT;

	for (int i = 0; i < CONFLICT_ATTEMPTS_MAX && code == CTL_CONFLICT; i++)
		code = try_edit_key(c, edit, version);
	return code;
}

static int key_grant(struct ctl *c, const char *team)
{
	unsigned char hash[VH_KEY_HASH_BYTES];
	char hex[2 * VH_KEY_HASH_BYTES + 1];
	char key[2 * KEY_BYTES + 1];
	struct key_edit edit = { .team = team, .hash = hex };
	uint64_t version;
	char *name;
	int code;

	if (!generate_key(key, sizeof(key))) {
		fprintf(c->err,
			"vhctl: cannot read random bytes from /dev/urandom\n");
		return CTL_FAILED;
	}
	vh_key_hash(vh_slice_str(key), hash);
	for (size_t i = 0; i < VH_KEY_HASH_BYTES; i++)
		g_snprintf(hex + 2 * i, 3, "%02x", hash[i]);
	name = c->opt.name ? g_strdup(c->opt.name)
			   : g_strdup_printf("%s-%.8s", team, hex);
	edit.name = name;
	code = edit_key(c, &edit, &version);
	if (code == CTL_OK) {
		/* the key cannot be shown again: only its hash is stored */
		if (c->json_output) {
			json_t *json = json_pack("{s:s,s:s}", "name", name,
						 "key", key);

			print_json(c, json);
			json_decref(json);
		} else {
			fprintf(c->out, "name: %s\nkey: %s\n", name, key);
		}
		code = publish_print_result(c, version);
	}
	g_free(name);
	return code;
}

static int key_withdraw(struct ctl *c, const char *name)
{
	struct key_edit edit = { .name = name, .withdraw = true };
	uint64_t version;
	int code = edit_key(c, &edit, &version);

	return code == CTL_OK ? publish_print_result(c, version) : code;
}

int cmd_key(struct ctl *c, int argc, char **argv)
{
	if (argc == 2 && !strcmp(argv[0], "grant"))
		return key_grant(c, argv[1]);
	if (argc == 2 && !strcmp(argv[0], "withdraw"))
		return key_withdraw(c, argv[1]);
	return ctl_usage_error(
		c, "expected \"key grant TEAM\" or \"key withdraw NAME\"");
}
