/* Counters of the traffic of the mesh. */
#include "traffic.h"

#include "common/counters.h"

enum {
    IPV4_UDP_HEADER_BYTES = 28, /* IPv6 headers are counted as IPv4 ones */
    /* TCP and IP headers with timestamps, the record mark and the RPC header,
     * for each direction of a call. */
    RPC_HEADER_BYTES = 96
};

#define COUNTER(name_, help_, label_)                                         \
    {                                                                         \
        .name = (name_), .help = (help_), .label = (label_)                   \
    }
#define MESSAGE_COUNTERS(kind_)                                               \
    {                                                                         \
        COUNTER("baobab_mesh_messages_total", "Control messages",             \
                "kind=\"" kind_ "\",direction=\"in\""),                       \
            COUNTER("baobab_mesh_messages_total", "Control messages",         \
                    "kind=\"" kind_ "\",direction=\"out\""),                  \
    }
#define BYTE_COUNTERS(kind_)                                                  \
    {                                                                         \
        COUNTER("baobab_mesh_bytes_total", "Control bytes with headers",      \
                "kind=\"" kind_ "\",direction=\"in\""),                       \
            COUNTER("baobab_mesh_bytes_total", "Control bytes with headers",  \
                    "kind=\"" kind_ "\",direction=\"out\""),                  \
    }

static struct bb_counter messages[BB_TRAFFIC_KIND_COUNT][2] = {
    MESSAGE_COUNTERS("ping"),  MESSAGE_COUNTERS("ping_req"),
    MESSAGE_COUNTERS("ack"),   MESSAGE_COUNTERS("offer"),
    MESSAGE_COUNTERS("fetch"), MESSAGE_COUNTERS("report"),
    MESSAGE_COUNTERS("sync"),  MESSAGE_COUNTERS("join"),
};

static struct bb_counter bytes[BB_TRAFFIC_KIND_COUNT][2] = {
    BYTE_COUNTERS("ping"),  BYTE_COUNTERS("ping_req"), BYTE_COUNTERS("ack"),
    BYTE_COUNTERS("offer"), BYTE_COUNTERS("fetch"),    BYTE_COUNTERS("report"),
    BYTE_COUNTERS("sync"),  BYTE_COUNTERS("join"),
};

static struct bb_counter other_region_bytes[2] = {
    COUNTER("baobab_mesh_other_region_bytes_total",
            "Control bytes from and to other regions", "direction=\"in\""),
    COUNTER("baobab_mesh_other_region_bytes_total",
            "Control bytes from and to other regions", "direction=\"out\""),
};

/* Registers the counters, which are in tables, before main runs. */
__attribute__((constructor)) static void
register_counters(void)
{
    for (int d = 0; d < 2; d++) {
        for (int kind = 0; kind < BB_TRAFFIC_KIND_COUNT; kind++) {
            bb_counter_register(&messages[kind][d]);
            bb_counter_register(&bytes[kind][d]);
        }
        bb_counter_register(&other_region_bytes[d]);
    }
}

/* Counts one message; size_bytes is its encoded size without headers. */
void
bb_traffic_add_message(enum bb_traffic_kind kind,
                       enum bb_traffic_direction direction, size_t size_bytes,
                       bool is_other_region)
{
    size_t total_bytes =
        size_bytes +
        (kind <= BB_TRAFFIC_ACK ? IPV4_UDP_HEADER_BYTES : RPC_HEADER_BYTES);

    bb_counter_add(&messages[kind][direction], 1);
    bb_counter_add(&bytes[kind][direction], total_bytes);
    if (is_other_region) {
        bb_counter_add(&other_region_bytes[direction], total_bytes);
    }
}
