#include "lease_client.h"

#include <glib.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"

BB_COUNTER(asked_total, "baobab_lease_requests_total",
           "Requests to control hosts for a lease");
BB_COUNTER(granted_total, "baobab_lease_grants_total",
           "Answers that gave or prolonged a lease");
BB_COUNTER(late_total, "baobab_lease_grants_late_total",
           "Answers that came too late");
BB_COUNTER(lost_total, "baobab_lease_lost_total",
           "Times that a request found that the lease had ended");
BB_GAUGE(held_gauge, "baobab_lease_held",
         "1 while this node holds a lease, as of the last request");

struct lease_client {
    uv_timer_t timer;
    struct bb_lease lease;
    struct bb_state_id in_force;
    bool requires_keys; /* of the rules in force */
    bool had_lease;     /* at the last check */
    lease_client_send send;
    void *context;
};

static void on_timer(uv_timer_t *t);

/* Sets the timer to the next request. */
static void
schedule_request(struct lease_client *c)
{
    uint64_t now_us = bb_clock_boot_now_us();
    uint64_t due_us = bb_lease_next_ask_us(&c->lease);

    (void)uv_timer_start(
        &c->timer, on_timer,
        due_us > now_us ? (due_us - now_us) / BB_US_PER_MS + 1 : 1, 0);
}

/* Asks now, if the rules require keys. The lease runs from the time that is
 * read here, before the request is sent. */
static void
ask(struct lease_client *c)
{
    uint64_t number;

    if (!c->requires_keys) {
        return;
    }
    number = bb_lease_ask(&c->lease, bb_clock_boot_now_us());
    bb_counter_add(&asked_total, 1);
    c->send(c->context, number);
    schedule_request(c);
}

/* Asks again. */
static void
on_timer(uv_timer_t *t)
{
    ask(t->data);
}

/* Creates a client without a lease. revoke_ms is the time after which a
 * revoked key must be refused. */
struct lease_client *
lease_client_create(uv_loop_t *loop, uint64_t revoke_ms,
                    lease_client_send send, void *context)
{
    struct lease_client *c = g_new0(struct lease_client, 1);

    bb_lease_init(&c->lease, revoke_ms * BB_US_PER_MS);
    c->send = send;
    c->context = context;
    (void)uv_timer_init(loop, &c->timer);
    c->timer.data = c;
    return c;
}

/* Records which state the rules of the entry are from, once the entry has
 * them, and asks at once if they are the first ones that require keys. */
void
lease_client_set_rules(struct lease_client *c, bool requires_keys,
                       const struct bb_state_id *state)
{
    bool is_first = requires_keys && !c->requires_keys;

    c->in_force = *state;
    c->requires_keys = requires_keys;
    if (is_first) {
        ask(c);
    }
    else if (!requires_keys) {
        (void)uv_timer_stop(&c->timer);
    }
}

/* Asks a control host as soon as it is connected: what was asked before was
 * lost with the earlier connection. */
void
lease_client_connected(struct lease_client *c)
{
    ask(c);
}

/* Takes in an answer. */
void
lease_client_granted(struct lease_client *c, uint64_t number,
                     const struct bb_state_id *state)
{
    bool is_granted =
        bb_lease_grant(&c->lease, number, state, bb_clock_boot_now_us());

    bb_counter_add(is_granted ? &granted_total : &late_total, 1);
}

/* Returns whether requests with a key may be admitted now, by a clock that is
 * read now. If not, sets in how long a lease can be expected. */
bool
lease_client_has_lease(struct lease_client *c, uint32_t *expected_ms)
{
    uint64_t now_us = bb_clock_boot_now_us();
    bool has_lease = bb_lease_is_valid(&c->lease, &c->in_force, now_us);

    if (has_lease != c->had_lease) {
        c->had_lease = has_lease;
        bb_counter_set(&held_gauge, has_lease);
        bb_counter_add(&lost_total, !has_lease);
        bb_log_info("proxy.lease", "%s, index %" G_GUINT64_FORMAT,
                    has_lease ? "held" : "ended", c->in_force.commit_index);
    }
    if (!has_lease) {
        *expected_ms =
            (uint32_t)(bb_lease_expected_us(&c->lease, now_us) / BB_US_PER_MS);
    }
    return has_lease;
}

/* Returns whether the lease is valid now; records nothing. */
bool
lease_client_peek_lease(const struct lease_client *c)
{
    return bb_lease_is_valid(&c->lease, &c->in_force, bb_clock_boot_now_us());
}

static void
free_client(uv_handle_t *h)
{
    g_free(h->data);
}

/* Destroys the client once libuv has closed its timer. NULL is allowed. */
void
lease_client_destroy(struct lease_client *c)
{
    if (c != NULL) {
        uv_close((uv_handle_t *)&c->timer, free_client);
    }
}
