#include "admin/response_parts.h"

#include <glib.h>
#include <inttypes.h>

#include "config/compile.h"

enum { INCARNATION_BYTES = 17 };

static const char *const role_names[] = {
    [BB_ROLE_NODE] = "node",
    [BB_ROLE_CONTROL] = "control",
};

static const char *const state_names[] = {
    [BB_MEMBER_ALIVE] = "alive",
    [BB_MEMBER_SUSPECT] = "suspect",
    [BB_MEMBER_DEAD] = "dead",
    [BB_MEMBER_LEFT] = "left",
};

static const char *const upstream_state_names[] = {
    [BB_UPSTREAM_NONE] = "none",       [BB_UPSTREAM_STARTING] = "starting",
    [BB_UPSTREAM_READY] = "ready",     [BB_UPSTREAM_DRAINING] = "draining",
    [BB_UPSTREAM_LEAVING] = "leaving",
};

/* Returns the name of a value, or "unknown" for one out of the table's range:
 * values of other members come from the network. */
static const char *
find_name(const char *const *names, size_t count, unsigned value)
{
    return value < count ? names[value] : "unknown";
}

/* Returns the files of a folder as a list of {"name", "data"}. */
static json_t *
files_json(const struct bb_folder *f)
{
    json_t *files = json_array();

    for (uint32_t i = 0; i < f->file_count; i++) {
        const struct bb_folder_file *file = &f->files[i];

        (void)json_array_append_new(
            files, json_pack("{s:s, s:s%}", "name", file->name, "data",
                             file->data, file->size_bytes));
    }
    return files;
}

/* Returns host names as a list of strings. */
static json_t *
hosts_json(const struct bb_host_list *l)
{
    json_t *hosts = json_array();

    for (uint32_t i = 0; i < l->count; i++) {
        (void)json_array_append_new(hosts, json_string(l->names[i]));
    }
    return hosts;
}

/* Returns the witness rosters as a list of {"service", "epoch", "hosts",
 * "previous"}. */
static json_t *
rosters_json(const struct bb_rosters *r)
{
    json_t *rosters = json_array();

    for (uint32_t i = 0; i < r->count; i++) {
        const struct bb_service_roster *item = &r->items[i];

        (void)json_array_append_new(
            rosters, json_pack("{s:s, s:I, s:o, s:o}", "service",
                               item->service, "epoch", (json_int_t)item->epoch,
                               "hosts", hosts_json(&item->hosts), "previous",
                               hosts_json(&item->previous_hosts)));
    }
    return rosters;
}

/* Returns the response of /v1/in-force for a bundle, with empty lists of
 * holders and missing members, which bb_admin_in_force_add_node fills. For a
 * NULL bundle, returns the response for revision 0. is_confirmed is true if a
 * quorum of control hosts confirms the revision. The digest is that of the
 * folder alone. The caller frees the object with json_decref. */
json_t *
bb_admin_in_force_json(const struct bb_bundle *b, bool is_confirmed)
{
    char digest[BB_DIGEST_TEXT_BYTES] = "";
    json_t *j;
    char *text;

    if (b == NULL) {
        return json_pack("{s:i, s:i, s:s, s:b, s:s, s:[], s:[], s:[], s:[]}",
                         "revision", 0, "version", 0, "digest", digest,
                         "confirmed", is_confirmed, "text", "", "files",
                         "rosters", "holders", "missing");
    }
    text = bb_config_format_merged(b->folder);
    j = json_pack("{s:I, s:I, s:s, s:b, s:s, s:o, s:o, s:[], s:[]}",
                  "revision", (json_int_t)b->revision, "version",
                  (json_int_t)b->version, "digest",
                  bb_digest_format(&b->folder->digest, digest), "confirmed",
                  is_confirmed, "text", text, "files", files_json(b->folder),
                  "rosters", rosters_json(b->rosters), "holders", "missing");
    g_free(text);
    return j;
}

/* Adds a member to the holders in a response of bb_admin_in_force_json, or to
 * the missing members if the revision that it has applied is another one. A
 * revision that it only holds, without having applied it, does not count. */
void
bb_admin_in_force_add_node(json_t *in_force, const struct bb_member *m,
                           uint64_t applied_revision)
{
    json_int_t in_force_revision =
        json_integer_value(json_object_get(in_force, "revision"));
    bool is_holder = applied_revision == (uint64_t)in_force_revision;
    json_t *item = json_pack("{s:s, s:s, s:s, s:I}", "host", m->host, "zone",
                             m->zone, "region", m->region, "revision",
                             (json_int_t)applied_revision);

    if (!is_holder) {
        (void)json_object_set_new(
            item, "state",
            json_string(
                find_name(state_names, G_N_ELEMENTS(state_names), m->state)));
    }
    (void)json_array_append_new(
        json_object_get(in_force, is_holder ? "holders" : "missing"), item);
}

/* Returns one member of the mesh as in the response of /v1/members. The caller
 * frees the object with json_decref. */
json_t *
bb_admin_member_json(const struct bb_member *m)
{
    char http[BB_ADDRESS_TEXT_BYTES];
    char rpc[BB_ADDRESS_TEXT_BYTES];
    char gossip[BB_ADDRESS_TEXT_BYTES];
    char incarnation[INCARNATION_BYTES];

    (void)g_snprintf(incarnation, sizeof(incarnation), "%016" PRIx64,
                     m->incarnation);
    return json_pack(
        "{s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:I, s:s, s:b, s:I, s:s, "
        "s:s, s:I, s:I}",
        "host", m->host, "zone", m->zone, "region", m->region, "role",
        find_name(role_names, G_N_ELEMENTS(role_names), m->role), "http",
        bb_address_format(&m->http_address, http), "rpc",
        bb_address_format(&m->rpc_address, rpc), "gossip",
        bb_address_format(&m->gossip_address, gossip), "incarnation",
        incarnation, "sequence", (json_int_t)m->sequence, "state",
        find_name(state_names, G_N_ELEMENTS(state_names), m->state),
        "reachable", m->is_reachable, "held_revision",
        (json_int_t)m->held_revision, "service", m->service, "upstream_state",
        find_name(upstream_state_names, G_N_ELEMENTS(upstream_state_names),
                  m->upstream_state),
        "slots", (json_int_t)m->slots, "connections",
        (json_int_t)m->connections);
}
