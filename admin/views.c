#include "admin/views.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "config/compile.h"

enum { NUMBER_TEXT_BYTES = 24 };

static const char *const state_names[] = {
    [BB_MEMBER_ALIVE] = "alive",
    [BB_MEMBER_SUSPECT] = "suspect",
    [BB_MEMBER_DEAD] = "dead",
    [BB_MEMBER_LEFT] = "left",
};

static const char *const upstream_names[] = {
    [BB_UPSTREAM_NONE] = "none",       [BB_UPSTREAM_STARTING] = "starting",
    [BB_UPSTREAM_READY] = "ready",     [BB_UPSTREAM_DRAINING] = "draining",
    [BB_UPSTREAM_LEAVING] = "leaving",
};

/* Describes one member. */
static json_t *
view_member(const struct bb_member *m)
{
    char http[BB_ADDRESS_TEXT_BYTES];
    char rpc[BB_ADDRESS_TEXT_BYTES];
    char gossip[BB_ADDRESS_TEXT_BYTES];
    char incarnation[NUMBER_TEXT_BYTES];

    (void)snprintf(incarnation, sizeof(incarnation), "%016" PRIx64,
                   m->incarnation);
    return json_pack(
        "{s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:I,s:s,s:b,s:I,s:s,s:s,s:I,s:I}",
        "host", m->host, "zone", m->zone, "region", m->region, "role",
        m->role == BB_ROLE_CONTROL ? "control" : "node", "http",
        bb_address_text(&m->http, http), "rpc", bb_address_text(&m->rpc, rpc),
        "gossip", bb_address_text(&m->gossip, gossip), "incarnation",
        incarnation, "sequence", (json_int_t)m->sequence, "state",
        state_names[m->state], "reachable", m->is_reachable, "held_revision",
        (json_int_t)m->held_revision, "service", m->service, "upstream_state",
        upstream_names[m->upstream_state], "slots", (json_int_t)m->slots,
        "connections", (json_int_t)m->connections);
}

/* Describes all members: the answer of /v1/members. */
json_t *
bb_view_members(const struct bb_member_list *members)
{
    json_t *list = json_array();

    for (size_t i = 0; i < members->count; i++) {
        (void)json_array_append_new(list, view_member(&members->items[i]));
    }
    return json_pack("{s:o}", "members", list);
}

/* Sorts the nodes into those that hold a revision and those that do not.
 * Members that left in good order are not missing. */
static void
add_holders(json_t *answer, uint64_t revision,
            const struct bb_member_list *members, const char *zone)
{
    json_t *holders = json_array();
    json_t *missing = json_array();

    for (size_t i = 0; i < members->count; i++) {
        const struct bb_member *m = &members->items[i];
        json_t *entry;

        if (m->role != BB_ROLE_NODE || m->state == BB_MEMBER_LEFT ||
            (zone != NULL && strcmp(zone, m->zone) != 0)) {
            continue;
        }
        entry = json_pack("{s:s,s:s,s:s,s:I}", "host", m->host, "zone",
                          m->zone, "region", m->region, "revision",
                          (json_int_t)m->held_revision);
        if (m->held_revision == revision && m->state == BB_MEMBER_ALIVE &&
            m->is_reachable) {
            (void)json_array_append_new(holders, entry);
        }
        else {
            (void)json_object_set_new(entry, "state",
                                      json_string(state_names[m->state]));
            (void)json_array_append_new(missing, entry);
        }
    }
    (void)json_object_set_new(answer, "holders", holders);
    (void)json_object_set_new(answer, "missing", missing);
}

/* Lists the files of a folder with their text. */
static json_t *
view_files(const struct bb_folder *f)
{
    json_t *files = json_array();

    for (uint32_t i = 0; i < f->file_count; i++) {
        (void)json_array_append_new(
            files, json_pack("{s:s,s:s%}", "name", f->files[i].name, "data",
                             f->files[i].data, f->files[i].size_bytes));
    }
    return files;
}

/* Describes the configuration in force: the answer of /v1/in-force. The
 * bundle may be NULL; zone limits the holders, NULL means all zones. */
json_t *
bb_view_in_force(const struct bb_bundle *b, bool is_confirmed,
                 const struct bb_member_list *members, const char *zone)
{
    char digest[BB_DIGEST_TEXT_BYTES] = "";
    char *text = b != NULL ? bb_config_merged_text(b->folder) : g_strdup("");
    json_t *answer =
        json_pack("{s:I,s:I,s:s,s:b,s:s,s:o}", "revision",
                  (json_int_t)(b != NULL ? b->revision : 0), "version",
                  (json_int_t)(b != NULL ? b->version : 0), "digest",
                  b != NULL ? bb_digest_text(&b->digest, digest) : "",
                  "confirmed", is_confirmed, "text", text, "files",
                  b != NULL ? view_files(b->folder) : json_array());

    add_holders(answer, b != NULL ? b->revision : 0, members, zone);
    g_free(text);
    return answer;
}
