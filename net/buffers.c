/* Account of the bytes that this process holds for its peers. */
#include "net/buffers.h"

#include "common/counters.h"
#include "common/log.h"

BB_GAUGE(buffered_gauge, "baobab_buffered_bytes",
         "Bytes held for callers, gates and upstreams that have to take them");
BB_COUNTER(full_total, "baobab_buffers_full_total",
           "Times that the buffers were full");

static size_t total_bytes;
static bool is_full;

/* Updates the gauge, and logs when the buffers become full or half empty. */
static void
update_state(void)
{
    bb_counter_set(&buffered_gauge, total_bytes);
    if (!is_full && total_bytes >= BB_BUFFERS_FULL_BYTES) {
        is_full = true;
        bb_counter_add(&full_total, 1);
        bb_log_warning("server.buffers", "full: %zu bytes are held",
                       total_bytes);
    }
    else if (is_full && total_bytes < BB_BUFFERS_FULL_BYTES / 2) {
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
    return total_bytes >= BB_BUFFERS_FULL_BYTES;
}

/* Returns whether new requests are refused. */
bool
bb_buffers_are_exhausted(void)
{
    return total_bytes >= BB_BUFFERS_EXHAUSTED_BYTES;
}
