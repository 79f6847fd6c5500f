#include "settings.h"

#include <arpa/inet.h>

#include "vh/ini.h"
#include "vh/log.h"

#define SECRET_MIN_BYTES 16
#define PORT_MAX 65535

static const char *const node_keys[] = { "id", "region", "zone", "log_level",
					 NULL };
static const char *const callers_keys[] = { "address",	      "port",
					    "max_body_bytes", "max_connections",
					    "idle_timeout_s", NULL };
static const char *const operators_keys[] = { "address", "port", "tokens",
					      NULL };
static const char *const peers_keys[] = { "address",	  "port",
					  "secret",	  "seeds",
					  "heartbeat_ms", "suspect_ms",
					  "dead_ms",	  NULL };
static const char *const platform_keys[] = { "log", "vms", "appends_per_s",
					     "retention_s", NULL };
static const char *const limits_keys[] = { "buffered_mb", NULL };

void vh_settings_init(struct vh_settings *s)
{
	memset(s, 0, sizeof(*s));
	s->node.log_level = G_LOG_LEVEL_INFO;
	s->callers.max_body_bytes = 1 << 20;
	s->callers.max_connections = 1000;
	s->callers.idle_timeout_s = 60;
	s->peers.seeds = g_new0(char *, 1);
	s->peers.heartbeat_ms = 1000;
	s->peers.suspect_ms = 3000;
	s->peers.dead_ms = 6000;
	s->platform.appends_per_s = 300;
	s->platform.retention_s = 86400;
	s->limits.buffered_mb = 24;
}

void vh_settings_finish(struct vh_settings *s)
{
	g_free(s->node.id);
	g_free(s->node.region);
	g_free(s->node.zone);
	g_free(s->callers.listen.address);
	g_free(s->operators.listen.address);
	for (size_t i = 0; i < s->operators.n_tokens; i++)
		g_free(s->operators.tokens[i].name);
	g_free(s->operators.tokens);
	g_free(s->peers.listen.address);
	g_free(s->peers.secret);
	g_strfreev(s->peers.seeds);
	g_free(s->platform.log.address);
	g_free(s->platform.vms.address);
	memset(s, 0, sizeof(*s));
}

static bool name_is_valid(const char *name)
{
	size_t n = strspn(name, "abcdefghijklmnopqrstuvwxyz0123456789-");

	return n && n <= VH_NAME_MAX && !name[n] && *name != '-';
}

static void read_name(const struct vh_ini_group *g, const char *key, char **out,
		      struct vh_problems *problems)
{
	*out = vh_ini_value(g, key);
	if (!*out)
		vh_ini_problem(problems, g, key,
			       "missing; expected a name of a-z, 0-9 and -");
	else if (!name_is_valid(*out))
		vh_ini_problem(problems, g, key,
			       "\"%s\" is not a valid name; expected 1 to %d "
			       "characters of a-z, 0-9 and -; the first must "
			       "not be -",
			       *out, VH_NAME_MAX);
}

static bool is_ip(const char *text)
{
	unsigned char raw[sizeof(struct in6_addr)];

	return inet_pton(AF_INET, text, raw) == 1 ||
	       inet_pton(AF_INET6, text, raw) == 1;
}

static void read_listen(const struct vh_ini_group *g, struct vh_endpoint *out,
			struct vh_problems *problems)
{
	char *port = vh_ini_value(g, "port");
	uint32_t n = 0;

	out->address = vh_ini_value(g, "address");
	if (!out->address)
		vh_ini_problem(problems, g, "address",
			       "missing; expected an IP address");
	else if (!is_ip(out->address))
		vh_ini_problem(problems, g, "address",
			       "\"%s\" is not an IP address such as 10.0.0.7",
			       out->address);
	if (!port)
		vh_ini_problem(problems, g, "port",
			       "missing; expected 1 to %d, or 0 for any free "
			       "port",
			       PORT_MAX);
	if (vh_ini_u32(g, "port", 0, PORT_MAX, &n, problems))
		out->port = (uint16_t)n;
	g_free(port);
}

/* Parses IP:PORT, with an IPv6 address in brackets. */
static bool endpoint_parse(const char *text, struct vh_endpoint *out)
{
	const char *colon = strrchr(text, ':');
	uint64_t port;
	size_t len;
	char *ip;

	if (!colon || !vh_slice_to_u64(vh_slice_str(colon + 1), &port) ||
	    !port || port > PORT_MAX)
		return false;
	len = (size_t)(colon - text);
	if (len > 2 && text[0] == '[' && text[len - 1] == ']')
		ip = g_strndup(text + 1, len - 2);
	else if (!memchr(text, ':', len))
		ip = g_strndup(text, len);
	else
		return false;
	if (!is_ip(ip)) {
		g_free(ip);
		return false;
	}
	out->address = ip;
	out->port = (uint16_t)port;
	return true;
}

static void report_bad_endpoint(const struct vh_ini_group *g, const char *key,
				const char *text, struct vh_problems *problems)
{
	vh_ini_problem(problems, g, key,
		       "\"%s\" is not IP:PORT, for example 10.0.0.7:7100",
		       text);
}

static void read_endpoint(const struct vh_ini_group *g, const char *key,
			  struct vh_endpoint *out, struct vh_problems *problems)
{
	char *text = vh_ini_value(g, key);

	if (!text)
		vh_ini_problem(problems, g, key, "missing; expected IP:PORT");
	else if (!endpoint_parse(text, out))
		report_bad_endpoint(g, key, text, problems);
	g_free(text);
}

static void read_node(struct vh_settings *s, const struct vh_ini_group *g,
		      struct vh_problems *problems)
{
	char *level = vh_ini_value(g, "log_level");
	GLogLevelFlags flags;

	read_name(g, "id", &s->node.id, problems);
	read_name(g, "region", &s->node.region, problems);
	read_name(g, "zone", &s->node.zone, problems);
	if (!level)
		return;
	flags = vh_log_level_from_name(level);
	if (flags)
		s->node.log_level = flags;
	else
		vh_ini_problem(problems, g, "log_level",
			       "\"%s\" is not a level; expected debug, info, "
			       "warning or error",
			       level);
	g_free(level);
}

static void read_callers(struct vh_settings *s, const struct vh_ini_group *g,
			 struct vh_problems *problems)
{
	read_listen(g, &s->callers.listen, problems);
	vh_ini_u32(g, "max_body_bytes", 1024, 16 << 20,
		   &s->callers.max_body_bytes, problems);
	vh_ini_u32(g, "max_connections", 1, 100000, &s->callers.max_connections,
		   problems);
	vh_ini_u32(g, "idle_timeout_s", 1, 3600, &s->callers.idle_timeout_s,
		   problems);
}

/* Adds the operator that an item NAME:SHA256HEX describes. */
static void read_token(struct vh_settings *s, const struct vh_ini_group *g,
		       const char *item, struct vh_problems *problems)
{
	const char *colon = strchr(item, ':');
	struct vh_operator *op;
	char *name = g_strndup(item, colon ? (size_t)(colon - item) : 0);

	s->operators.tokens = g_renew(struct vh_operator, s->operators.tokens,
				      s->operators.n_tokens + 1);
	op = &s->operators.tokens[s->operators.n_tokens];
	if (!colon || !name_is_valid(name) ||
	    !vh_key_hash_parse(colon + 1, op->hash)) {
		/* not printed: it may be a token in plain text */
		vh_ini_problem(problems, g, "tokens",
			       "item %zu is not NAME:SHA256 with the SHA-256 "
			       "of the token in 64 hexadecimal digits",
			       s->operators.n_tokens + 1);
		g_free(name);
		return;
	}
	op->name = name;
	s->operators.n_tokens++;
}

static void read_operators(struct vh_settings *s, const struct vh_ini_group *g,
			   struct vh_problems *problems)
{
	char **items = vh_ini_list(g, "tokens");

	read_listen(g, &s->operators.listen, problems);
	if (!items || !items[0])
		vh_ini_problem(problems, g, "tokens",
			       "missing; expected NAME:SHA256 items separated "
			       "by ;");
	for (size_t i = 0; items && items[i]; i++)
		read_token(s, g, items[i], problems);
	g_strfreev(items);
}

static void check_seeds(const struct vh_settings *s,
			const struct vh_ini_group *g,
			struct vh_problems *problems)
{
	for (size_t i = 0; s->peers.seeds[i]; i++) {
		struct vh_endpoint e = { 0 };

		if (!endpoint_parse(s->peers.seeds[i], &e))
			report_bad_endpoint(g, "seeds", s->peers.seeds[i],
					    problems);
		g_free(e.address);
	}
}

static void check_peer_times(const struct vh_settings *s,
			     const struct vh_ini_group *g,
			     struct vh_problems *problems)
{
	if (s->peers.suspect_ms <= s->peers.heartbeat_ms)
		vh_ini_problem(problems, g, "suspect_ms",
			       "%u is not greater than heartbeat_ms, %u",
			       s->peers.suspect_ms, s->peers.heartbeat_ms);
	if (s->peers.dead_ms <= s->peers.suspect_ms)
		vh_ini_problem(problems, g, "dead_ms",
			       "%u is not greater than suspect_ms, %u",
			       s->peers.dead_ms, s->peers.suspect_ms);
}

static void read_peers(struct vh_settings *s, const struct vh_ini_group *g,
		       struct vh_problems *problems)
{
	char **seeds = vh_ini_list(g, "seeds");
	const char *address;

	read_listen(g, &s->peers.listen, problems);
	address = s->peers.listen.address;
	if (address && (!strcmp(address, "0.0.0.0") || !strcmp(address, "::")))
		vh_ini_problem(problems, g, "address",
			       "\"%s\" cannot be reached by other nodes; "
			       "expected this VM's own IP address",
			       address);
	s->peers.secret = vh_ini_value(g, "secret");
	if (!s->peers.secret || strlen(s->peers.secret) < SECRET_MIN_BYTES)
		vh_ini_problem(problems, g, "secret",
			       "%s; expected %d or more bytes, the same on "
			       "every node",
			       s->peers.secret ? "too short" : "missing",
			       SECRET_MIN_BYTES);
	if (seeds) {
		g_strfreev(s->peers.seeds);
		s->peers.seeds = seeds;
	}
	check_seeds(s, g, problems);
	vh_ini_u32(g, "heartbeat_ms", 50, 60000, &s->peers.heartbeat_ms,
		   problems);
	vh_ini_u32(g, "suspect_ms", 100, 300000, &s->peers.suspect_ms,
		   problems);
	vh_ini_u32(g, "dead_ms", 150, 600000, &s->peers.dead_ms, problems);
	check_peer_times(s, g, problems);
}

static void read_platform(struct vh_settings *s, const struct vh_ini_group *g,
			  struct vh_problems *problems)
{
	read_endpoint(g, "log", &s->platform.log, problems);
	read_endpoint(g, "vms", &s->platform.vms, problems);
	vh_ini_u32(g, "appends_per_s", 1, 100000, &s->platform.appends_per_s,
		   problems);
	vh_ini_u32(g, "retention_s", 10, 31536000, &s->platform.retention_s,
		   problems);
}

static void read_limits(struct vh_settings *s, const struct vh_ini_group *g,
			struct vh_problems *problems)
{
	vh_ini_u32(g, "buffered_mb", 1, 4096, &s->limits.buffered_mb, problems);
}

/** struct section - a group of the settings file and its parser */
static const struct section {
	const char *name;
	bool required;
	const char *const *keys;
	void (*read)(struct vh_settings *s, const struct vh_ini_group *g,
		     struct vh_problems *problems);
} sections[] = {
	{ "node", true, node_keys, read_node },
	{ "callers", true, callers_keys, read_callers },
	{ "operators", true, operators_keys, read_operators },
	{ "peers", true, peers_keys, read_peers },
	{ "platform", true, platform_keys, read_platform },
	{ "limits", false, limits_keys, read_limits },
};

static const struct section *section_find(const char *group)
{
	for (size_t i = 0; i < G_N_ELEMENTS(sections); i++) {
		if (!strcmp(group, sections[i].name))
			return &sections[i];
	}
	return NULL;
}

static void read_sections(struct vh_settings *s, const struct vh_ini *ini,
			  const char *path, struct vh_problems *problems)
{
	bool seen[G_N_ELEMENTS(sections)] = { false };

	for (size_t i = 0; i < ini->n; i++) {
		const struct vh_ini_group *g = &ini->groups[i];
		const struct section *section = section_find(g->group);

		if (!section) {
			vh_ini_problem(problems, g, NULL,
				       "unknown group; expected node, callers, "
				       "operators, peers, platform or limits");
			continue;
		}
		seen[section - sections] = true;
		vh_ini_check_keys(g, section->keys, problems);
		section->read(s, g, problems);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(sections); i++) {
		if (sections[i].required && !seen[i])
			vh_problems_add(problems, false, path, sections[i].name,
					NULL, "missing group");
	}
}

bool vh_settings_load(struct vh_settings *s, const char *path,
		      struct vh_problems *problems)
{
	size_t errors_before = problems->n_errors;
	struct vh_ini_source source;
	struct vh_ini ini;
	GError *err = NULL;
	char *text;
	gsize len;

	if (!g_file_get_contents(path, &text, &len, &err)) {
		vh_problems_add(problems, false, path, NULL, NULL, "%s",
				err->message);
		g_error_free(err);
		return false;
	}
	source.file = vh_slice_str(path);
	source.text = vh_slice(text, len);
	vh_ini_init(&ini);
	vh_ini_read(&ini, &source, problems);
	read_sections(s, &ini, path, problems);
	vh_ini_finish(&ini);
	g_free(text);
	return problems->n_errors == errors_before;
}

const struct vh_operator *vh_settings_find_operator(const struct vh_settings *s,
						    struct vh_slice token)
{
	const struct vh_operator *found = NULL;
	unsigned char hash[VH_KEY_HASH_BYTES];

	if (!token.len)
		return NULL;
	vh_key_hash(token, hash);
	for (size_t i = 0; i < s->operators.n_tokens; i++) {
		const struct vh_operator *op = &s->operators.tokens[i];

		if (vh_slice_eq_consttime(
			    vh_slice((const char *)hash, sizeof(hash)),
			    vh_slice((const char *)op->hash, sizeof(op->hash))))
			found = op;
	}
	return found;
}
