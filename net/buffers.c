/* Account of the bytes that this process holds for its peers. */
#include "net/buffers.h"

#include "common/counters.h"
#include "common/log.h"

BB_GAUGE(buffered_gauge, "baobab_buffered_bytes",
         "Bytes held for callers, gates and upstreams that have to take them");
BB_COUNTER(full_total, "baobab_buffers_full_total",
           "Times that the buffers were full");

BB_GAUGE(limit_gauge, "baobab_buffers_limit_bytes",
         "Held bytes from which on new requests are refused");

enum { BYTES_PER_MIB = 1024 * 1024 };

static size_t total_bytes;
static size_t exhausted_bytes = (size_t)BB_BUFFERS_DEFAULT_MIB * BYTES_PER_MIB;
static bool is_full;

/* Sets from how many held bytes on new requests are refused. The buffers are
 * full at two thirds of it. */
void
bb_buffers_set_limit(uint64_t limit_mib)
{
    exhausted_bytes = limit_mib * BYTES_PER_MIB;
    bb_counter_set(&limit_gauge, exhausted_bytes);
}

/* Returns from how many held bytes on the buffers are full. */
static size_t
full_bytes(void)
{
    return exhausted_bytes / 3 * 2;
}

/* Updates the gauge, and logs when the buffers become full or half empty. */
static void
update_state(void)
{
    bb_counter_set(&buffered_gauge, total_bytes);
    if (!is_full && total_bytes >= full_bytes()) {
        is_full = true;
        bb_counter_add(&full_total, 1);
        bb_log_warning("server.buffers", "full: %zu bytes are held",
                       total_bytes);
    }
    else if (is_full && total_bytes < full_bytes() / 2) {
        is_full = false;
        bb_log_info("server.buffers", "no longer full");
    }
}

/* Adds bytes that are held. */
void
bb_buffers_add(size_t size_bytes)
{
    total_bytes += size_bytes;
    update_state();
}

/* Removes bytes that are no longer held. */
void
bb_buffers_remove(size_t size_bytes)
{
    total_bytes -= size_bytes;
    update_state();
}

/* Returns whether responses are read on only as their callers take them. */
bool
bb_buffers_are_full(void)
{
    return total_bytes >= full_bytes();
}

/* Returns whether new requests are refused. */
bool
bb_buffers_are_exhausted(void)
{
    return total_bytes >= exhausted_bytes;
}
