/* Builds and sends gossip datagrams. */
#include <string.h>

#include "common/clock.h"
#include "gossip_internal.h"
#include "mesh/wire.h"
#include "traffic.h"

enum {
    GOSSIPED_RECORDS_MAX = 8,
    /* Also the sender's record, the extra one, and that of a member with the
     * highest revision. */
    RECORDS_PER_DATAGRAM_MAX = GOSSIPED_RECORDS_MAX + 3
};

_Static_assert(RECORDS_PER_DATAGRAM_MAX <= MESH_DATAGRAM_RECORDS_MAX,
               "a datagram may hold all chosen records");

/* Recomputes the digests of this member's table if it has changed. */
void
gossip_refresh_digests(struct bb_gossip *g)
{
    uint64_t change = bb_member_table_get_change_number(g->settings.members);

    if (change == g->digests_change) {
        return;
    }
    g->digests_change = change;
    g->table_digest = bb_member_table_compute_digest(g->settings.members);
    g->revisions_digest = bb_member_table_compute_revisions_digest(
        g->settings.members, g->self.zone);
}

/* Fills in the time since this member's zone last heard from each of the other
 * zones. Returns the number of zones. */
static uint32_t
fill_ages(struct bb_gossip *g, mesh_zone_age *out, uint64_t now_us)
{
    for (uint32_t i = 0; i < g->zone_count; i++) {
        out[i].zone = bb_wire_text_to_xdr(g->zones[i].zone);
        out[i].age_ms =
            (u_int)((now_us - g->zones[i].last_heard_us) / BB_US_PER_MS);
    }
    return g->zone_count;
}

/* Chooses the records of a datagram: this member's, the extra one, and, unless
 * is_minimal, that of a member with the highest revision if this process does
 * not have it, and those with the most gossip sends left. Returns their
 * number. */
static size_t
choose_records(struct bb_gossip *g, const struct gossip_message *m,
               struct bb_member *out)
{
    size_t count = 0;

    out[count++] = g->self;
    if (m->extra_record != NULL &&
        strcmp(m->extra_record->host, g->self.host) != 0) {
        out[count++] = *m->extra_record;
    }
    if (!m->is_minimal && g->highest_revision > g->self.applied_revision &&
        bb_member_table_find_member_with_revision(
            g->settings.members, g->highest_revision, g->self.region,
            &out[count])) {
        /* The receiver learns of the revision and also where to pull it. */
        count++;
    }
    if (!m->is_minimal) {
        count += bb_member_table_take_for_gossip(
            g->settings.members, g->self.zone, g->self.host, out + count,
            GOSSIPED_RECORDS_MAX);
    }
    return count;
}

/* Sends a datagram with as many records as fit. If not even the first one,
 * that of this member, fits, sends nothing. */
void
gossip_send(struct bb_gossip *g, const struct bb_address *to,
            const char *to_region, const struct gossip_message *m,
            uint64_t now_us)
{
    struct bb_member members[RECORDS_PER_DATAGRAM_MAX];
    mesh_record records[RECORDS_PER_DATAGRAM_MAX];
    struct bb_wire_address_buffers storage[RECORDS_PER_DATAGRAM_MAX];
    mesh_zone_age ages[BB_MEMBER_TABLE_ZONES_MAX];
    char data[BB_GOSSIP_DATAGRAM_MAX_BYTES];
    size_t count = choose_records(g, m, members);
    size_t size_bytes = 0;
    mesh_datagram d = {
        .kind = m->kind,
        .ping_number = m->ping_number,
        .target_host = bb_wire_text_to_xdr(m->target),
        .highest_revision = g->highest_revision,
        .table_digest = g->table_digest,
        .revisions_digest = g->revisions_digest,
        .ages = {.ages_val = ages,
                 .ages_len = m->is_minimal ? 0 : fill_ages(g, ages, now_us)},
        .records = {.records_val = records},
    };

    for (size_t i = 0; i < count; i++) {
        bb_wire_member_to_xdr(&members[i], &records[i], &storage[i]);
    }
    for (; count > 0 && size_bytes == 0; count--) {
        d.records.records_len = (u_int)count;
        size_bytes = bb_wire_encode((xdrproc_t)xdr_mesh_datagram, &d, data,
                                    sizeof(data));
    }
    if (size_bytes == 0) {
        return;
    }
    bb_traffic_add_message((enum bb_traffic_kind)(m->kind - MESH_PING),
                           BB_TRAFFIC_OUT, size_bytes,
                           strcmp(to_region, g->self.region) != 0);
    g->settings.send(g->settings.context, to, data, size_bytes);
}
