/* Measures the cost of membership for one process at several mesh sizes: the
 * processor time of merges, queries, digests and datagrams, encoded sizes, and
 * the gossip of a zone in steady state under a virtual clock. Prints JSON. The
 * mesh has one to six zones; the seed is fixed. */
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "common/clock.h"
#include "common/random.h"
#include "mesh/gossip.h"
#include "mesh/wire.h"

enum {
    SEED = 17,
    NS_PER_S = 1000000000,
    ROUNDS = 200,
    ZONES_MAX = 6,
    ZONE_MEMBERS_MAX = 75,
    GOSSIP_DURATION_S = 60,
    GOSSIP_STEP_US = 5 * BB_US_PER_MS,
    QUEUE_MAX = 65536,
    PORT_BASE = 1000,
    IP_UDP_HEADER_BYTES = 28 /* IPv4 and UDP */
};

/* A datagram in transit. from and to are indices of members. */
struct datagram {
    uint16_t from;
    uint16_t to;
    uint16_t size_bytes;
    char data[BB_GOSSIP_DATAGRAM_MAX_BYTES];
};

static struct datagram *queue; /* of QUEUE_MAX datagrams, plus a spare one */
static size_t queue_length;
static uint64_t sent_bytes; /* with IP and UDP headers */
static uint64_t sent_count;

/* Returns the processor time of this thread in nanoseconds. */
static uint64_t
cpu_ns(void)
{
    struct timespec t;

    (void)clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
    return (uint64_t)t.tv_sec * NS_PER_S + (uint64_t)t.tv_nsec;
}

/* Returns the record of node i of a zone, with fields of realistic size. */
static struct bb_member
create_record(uint32_t zone, uint32_t i)
{
    struct bb_member r = {
        .role = BB_ROLE_NODE,
        .http_address = {.ip = "10.20.30.40", .port = 8080},
        .rpc_address = {.ip = "10.20.30.40", .port = 8081},
        .gossip_address = {.ip = "10.20.30.40",
                           .port = (uint16_t)(PORT_BASE + i)},
        .incarnation = 1700000000000000ULL,
        .sequence = 1,
        .held_revision = 100000,
        .applied_revision = 100000,
        .upstream_state = BB_UPSTREAM_READY,
        .slots = 6,
        .connections = 130,
    };

    (void)snprintf(r.host, sizeof(r.host), "node-%u-%03u", zone, i);
    (void)snprintf(r.zone, sizeof(r.zone), "zone-%u", zone);
    (void)snprintf(r.region, sizeof(r.region), "region-%u", zone % 2);
    (void)snprintf(r.service, sizeof(r.service), "service-%u", i % 28);
    return r;
}

/* Creates a table with per_zone members in each zone. */
static struct bb_member_table *
create_table(uint32_t zones, uint32_t per_zone)
{
    struct bb_member_table *m = bb_member_table_create();

    for (uint32_t z = 0; z < zones; z++) {
        for (uint32_t i = 0; i < per_zone; i++) {
            struct bb_member r = create_record(z, i);

            (void)bb_member_table_merge(m, &r, BB_ORIGIN_SAME_REGION, 0);
        }
    }
    return m;
}

/* Measures the mean time to merge a record into a table that has it already,
 * first unchanged, then changed. */
static void
measure_merge(struct bb_member_table *m, json_t *out)
{
    struct bb_member_list list;
    uint64_t start_ns;
    uint64_t unchanged_ns = 0;
    uint64_t changed_ns = 0;

    (void)bb_member_table_select(m, &(struct bb_member_query){0}, &list);
    for (int round = 0; round < ROUNDS; round++) {
        start_ns = cpu_ns();
        for (size_t i = 0; i < list.count; i++) {
            (void)bb_member_table_merge(m, &list.items[i],
                                        BB_ORIGIN_SAME_REGION, 0);
        }
        unchanged_ns += cpu_ns() - start_ns;
        for (size_t i = 0; i < list.count; i++) {
            list.items[i].sequence++;
        }
        start_ns = cpu_ns();
        for (size_t i = 0; i < list.count; i++) {
            (void)bb_member_table_merge(m, &list.items[i],
                                        BB_ORIGIN_SAME_REGION, 0);
        }
        changed_ns += cpu_ns() - start_ns;
    }
    json_object_set_new(
        out, "merge_unchanged_ns",
        json_integer((json_int_t)(unchanged_ns / (ROUNDS * list.count))));
    json_object_set_new(
        out, "merge_changed_ns",
        json_integer((json_int_t)(changed_ns / (ROUNDS * list.count))));
    bb_member_list_clear(&list);
}

/* Measures the mean time of a snapshot, a query of changes, the zone digests
 * and the table digest. */
static void
measure_queries(struct bb_member_table *m, json_t *out)
{
    struct bb_zone_digest digests[BB_MEMBER_TABLE_ZONES_MAX];
    struct bb_member_query q = {0};
    struct bb_member_list list;
    uint64_t times_ns[5] = {cpu_ns()};
    static const char *const names[] = {"snapshot_ns", "changes_ns",
                                        "zone_digests_ns", "table_digest_ns"};

    for (int round = 0; round < ROUNDS; round++) {
        (void)bb_member_table_select(m, &q, &list);
        bb_member_list_clear(&list);
    }
    times_ns[1] = cpu_ns();
    q.since_change = bb_member_table_get_change_number(m) - 1;
    for (int round = 0; round < ROUNDS; round++) {
        (void)bb_member_table_select(m, &q, &list);
        bb_member_list_clear(&list);
    }
    times_ns[2] = cpu_ns();
    for (int round = 0; round < ROUNDS; round++) {
        (void)bb_member_table_compute_zone_digests(m, digests,
                                                   BB_MEMBER_TABLE_ZONES_MAX);
    }
    times_ns[3] = cpu_ns();
    for (int round = 0; round < ROUNDS; round++) {
        (void)bb_member_table_compute_digest(m);
    }
    times_ns[4] = cpu_ns();
    for (int i = 0; i < 4; i++) {
        json_object_set_new(
            out, names[i],
            json_integer(
                (json_int_t)((times_ns[i + 1] - times_ns[i]) / ROUNDS)));
    }
}

/* Measures the encoded size of a record, a table and the zone summaries, and
 * the time to encode a table. */
static void
measure_sizes(struct bb_member_table *m, json_t *out)
{
    struct bb_member_list list;
    struct bb_zone_summary summaries[BB_MEMBER_TABLE_ZONES_MAX];
    size_t zones = bb_member_table_compute_zone_summaries(
        m, NULL, summaries, BB_MEMBER_TABLE_ZONES_MAX);
    mesh_report_request report = {.from_host =
                                      bb_wire_text_to_xdr("control-0")};
    mesh_zone_summary summary = {.zone = summaries[0].zone};
    char *data = g_malloc(MESH_PAYLOAD_MAX_BYTES);
    uint64_t start_ns = cpu_ns();
    size_t size_bytes;

    (void)bb_member_table_select(m, &(struct bb_member_query){0}, &list);
    report.records.records_val = bb_wire_members_to_xdr(&list);
    report.records.records_len = (u_int)list.count;
    size_bytes = bb_wire_encode((xdrproc_t)xdr_mesh_report_request, &report,
                                data, MESH_PAYLOAD_MAX_BYTES);
    json_object_set_new(out, "encode_table_ns",
                        json_integer((json_int_t)(cpu_ns() - start_ns)));
    json_object_set_new(out, "table_bytes",
                        json_integer((json_int_t)size_bytes));
    json_object_set_new(out, "record_bytes",
                        json_integer((json_int_t)(size_bytes / list.count)));
    size_bytes =
        zones * xdr_sizeof((xdrproc_t)xdr_mesh_zone_summary, &summary);
    json_object_set_new(out, "zone_floors_bytes",
                        json_integer((json_int_t)size_bytes));
    report.from_host = NULL;
    xdr_free((xdrproc_t)xdr_mesh_report_request, (char *)&report);
    bb_member_list_clear(&list);
    g_free(data);
}

/* Measures all costs of a table at one mesh size. */
static json_t *
measure_mesh_size(uint32_t zones, uint32_t per_zone)
{
    struct bb_member_table *m = create_table(zones, per_zone);
    json_t *out = json_object();
    uint32_t members = zones * per_zone;

    json_object_set_new(out, "members", json_integer(members));
    measure_merge(m, out);
    measure_queries(m, out);
    measure_sizes(m, out);
    bb_member_table_destroy(m);
    return out;
}

/* Send callback of a gossip instance: counts a datagram and queues it. Drops
 * it if the queue is full. */
static void
queue_datagram(void *context, const struct bb_address *to, const void *data,
               size_t size_bytes)
{
    struct datagram *d = &queue[queue_length];

    sent_bytes += size_bytes + IP_UDP_HEADER_BYTES;
    sent_count++;
    if (queue_length == QUEUE_MAX) {
        return;
    }
    queue_length++;
    d->from = *(const uint16_t *)context;
    d->to = (uint16_t)(to->port - PORT_BASE);
    d->size_bytes = (uint16_t)size_bytes;
    memcpy(d->data, data, size_bytes);
}

/* Runs the gossip between the members of one zone for duration_s of virtual
 * time. If is_changing, each member applies a new revision every second. */
static void
run_gossip(struct bb_gossip **instances, uint32_t per_zone, uint64_t *now_us,
           uint32_t duration_s, bool is_changing)
{
    uint64_t end_us = *now_us + (uint64_t)duration_s * BB_US_PER_S;
    uint64_t revision = 1000000;
    struct datagram *batch = g_new(struct datagram, QUEUE_MAX);

    for (; *now_us < end_us; *now_us += GOSSIP_STEP_US) {
        size_t count = queue_length;

        memcpy(batch, queue, count * sizeof(*batch));
        queue_length = 0;
        for (size_t i = 0; i < count; i++) {
            struct bb_address from = {
                .ip = "10.20.30.40",
                .port = (uint16_t)(PORT_BASE + batch[i].from)};

            if (batch[i].to < per_zone) {
                (void)bb_gossip_receive(instances[batch[i].to], &from,
                                        batch[i].data, batch[i].size_bytes,
                                        *now_us);
            }
        }
        revision += *now_us % BB_US_PER_S == 0;
        for (uint32_t i = 0; i < per_zone; i++) {
            if (is_changing && *now_us % BB_US_PER_S == 0) {
                bb_gossip_raise_own_revision(instances[i], revision, *now_us);
            }
            if (*now_us % (BB_GOSSIP_TICK_INTERVAL_MS * BB_US_PER_MS) == 0) {
                bb_gossip_tick(instances[i], *now_us);
            }
        }
    }
    g_free(batch);
}

/* Measures the gossip per member of a zone, idle or with a change every second
 * if is_changing. */
static json_t *
measure_gossip(uint32_t zones, uint32_t per_zone, bool is_changing)
{
    struct bb_gossip *instances[ZONE_MEMBERS_MAX];
    struct bb_member_table *tables[ZONE_MEMBERS_MAX];
    uint16_t indices[ZONE_MEMBERS_MAX];
    json_t *out = json_object();
    uint64_t now_us = BB_US_PER_S;
    uint64_t start_ns;
    double member_seconds = (double)per_zone * GOSSIP_DURATION_S;

    queue_length = 0;
    for (uint32_t i = 0; i < per_zone; i++) {
        struct bb_gossip_settings settings = {
            .members = tables[i] = create_table(zones, per_zone),
            .self = create_record(0, i),
            .seed = SEED + i,
            .send = queue_datagram,
            .context = &indices[i],
        };

        indices[i] = (uint16_t)i;
        instances[i] = bb_gossip_create(&settings, now_us);
    }
    run_gossip(instances, per_zone, &now_us, GOSSIP_DURATION_S, false);
    sent_bytes = 0;
    sent_count = 0;
    start_ns = cpu_ns();
    run_gossip(instances, per_zone, &now_us, GOSSIP_DURATION_S, is_changing);
    json_object_set_new(out, "cpu_percent_per_member",
                        json_real((double)(cpu_ns() - start_ns) / NS_PER_S /
                                  member_seconds * 100));
    json_object_set_new(out, "datagrams_per_s_per_member",
                        json_real((double)sent_count / member_seconds));
    json_object_set_new(out, "bytes_out_per_s_per_member",
                        json_real((double)sent_bytes / member_seconds));
    json_object_set_new(
        out, "bytes_per_datagram",
        json_real(sent_count == 0 ? 0
                                  : (double)sent_bytes / (double)sent_count));
    for (uint32_t i = 0; i < per_zone; i++) {
        bb_gossip_destroy(instances[i]);
        bb_member_table_destroy(tables[i]);
    }
    return out;
}

/* Measures all mesh sizes and prints the results. */
int
main(void)
{
    static const uint32_t zone_counts[] = {1, 2, 4, ZONES_MAX};
    static const uint32_t zone_sizes[] = {16, 32, ZONE_MEMBERS_MAX};
    json_t *out = json_object();
    json_t *tables = json_array();
    json_t *gossip = json_array();

    queue = g_new(struct datagram, QUEUE_MAX + 1);
    for (size_t i = 0; i < G_N_ELEMENTS(zone_counts); i++) {
        json_array_append_new(
            tables, measure_mesh_size(zone_counts[i], ZONE_MEMBERS_MAX));
    }
    for (size_t i = 0; i < G_N_ELEMENTS(zone_sizes); i++) {
        json_t *o = json_object();

        json_object_set_new(o, "zones", json_integer(ZONES_MAX));
        json_object_set_new(o, "members_per_zone",
                            json_integer(zone_sizes[i]));
        json_object_set_new(o, "idle",
                            measure_gossip(ZONES_MAX, zone_sizes[i], false));
        json_object_set_new(o, "change_every_s",
                            measure_gossip(ZONES_MAX, zone_sizes[i], true));
        json_array_append_new(gossip, o);
    }
    json_object_set_new(out, "tables", tables);
    json_object_set_new(out, "gossip", gossip);
    (void)json_dumpf(out, stdout, JSON_INDENT(2) | JSON_REAL_PRECISION(4));
    (void)putchar('\n');
    json_decref(out);
    g_free(queue);
    return 0;
}
