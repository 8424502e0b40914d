/* The connection of a node to the control hosts. */
#include "fleet/agent.h"

#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "fleet/frame.h"

BB_GAUGE(connected_gauge, "baobab_agent_connected",
         "1 while this node is connected to a control host");
BB_COUNTER(switches_total, "baobab_agent_switches_total",
           "Connections to control hosts that were opened");
BB_GAUGE(version_gauge, "baobab_agent_version",
         "Operators' version of the configuration in force here");

/* A control host that may be connected to. */
struct target {
    struct bb_address at;
    uint32_t distance; /* 0: own zone, 1: own region, 2: elsewhere */
    uint64_t failed_us;
};

struct bb_agent {
    uv_loop_t *loop;
    uv_timer_t timer;
    struct bb_agent_settings settings;
    const struct bb_agent_events *events;
    void *context;
    GArray *targets; /* struct target */
    struct bb_frames *frames;
    struct bb_address connected_to;
    bool is_introduced;
    bool is_recalled; /* the announcements of this connection have come */
    uint64_t heard_us;
    uint64_t out_of_touch_us; /* since when, 0: in touch */
    uint64_t retry_us;        /* when to connect */
    uint32_t retry_wait_ms;
    uint32_t failures;
    struct bb_instances *instances;
    struct bb_contents *contents;
    uint64_t content;
    uint64_t revision;
    uint64_t version;
    fleet_instance *own;
    uint64_t epoch;
    uint64_t sequence;
};

static void run_timer(uv_timer_t *t);
static void take_message(void *context, struct bb_frames *f, fleet_message *m);
static void take_end(void *context, struct bb_frames *f);
static void take_open(void *context, struct bb_frames *f);

static const struct bb_frames_events frames_events = {
    .opened = take_open, .message = take_message, .ended = take_end};

/* Sets the timer to the next thing that is due. */
static void
schedule(struct bb_agent *a)
{
    uint64_t now_us = bb_clock_now_us();
    uint64_t due_us = a->retry_us;

    if (a->frames != NULL) {
        due_us = a->heard_us + (uint64_t)BB_AGENT_SILENCE_MS * BB_US_PER_MS;
        if (a->out_of_touch_us != 0) {
            due_us = MIN(due_us, a->out_of_touch_us +
                                     (uint64_t)BB_AGENT_OUT_OF_TOUCH_MS *
                                         BB_US_PER_MS);
        }
    }
    (void)uv_timer_start(
        &a->timer, run_timer,
        due_us > now_us ? (due_us - now_us) / BB_US_PER_MS + 1 : 1, 0);
}

static struct target *
find_target(struct bb_agent *a, const struct bb_address *at)
{
    for (guint i = 0; i < a->targets->len; i++) {
        struct target *t = &g_array_index(a->targets, struct target, i);

        if (bb_address_equal(&t->at, at)) {
            return t;
        }
    }
    return NULL;
}

/* Adds a control host, or updates how far away it is. */
static void
add_target(struct bb_agent *a, const struct bb_address *at, uint32_t distance)
{
    struct target *t = find_target(a, at);
    struct target new_target = {.at = *at, .distance = distance};

    if (t == NULL) {
        g_array_append_val(a->targets, new_target);
    }
    else {
        t->distance = distance;
    }
}

/* Returns whether a host failed so lately that others go first. */
static bool
is_avoided(const struct target *t, uint64_t now_us)
{
    return t->failed_us != 0 &&
           now_us - t->failed_us < (uint64_t)BB_AGENT_AVOID_MS * BB_US_PER_MS;
}

/* Returns the nearest host that did not fail lately, or the one that failed
 * longest ago. */
static struct target *
choose_target(struct bb_agent *a, uint64_t now_us)
{
    struct target *best = NULL;
    guint start = a->targets->len > 0
                      ? (guint)g_random_int_range(0, (gint)a->targets->len)
                      : 0;

    for (guint n = 0; n < a->targets->len; n++) {
        guint i = (start + n) % a->targets->len;
        struct target *t = &g_array_index(a->targets, struct target, i);
        bool is_better;

        if (best == NULL) {
            best = t;
            continue;
        }
        if (is_avoided(t, now_us) != is_avoided(best, now_us)) {
            is_better = is_avoided(best, now_us);
        }
        else if (is_avoided(t, now_us)) {
            is_better = t->failed_us < best->failed_us;
        }
        else {
            is_better = t->distance < best->distance;
        }
        if (is_better) {
            best = t;
        }
    }
    return best;
}

/* Closes the connection; the next one is opened after a wait. */
static void
disconnect(struct bb_agent *a, const char *why)
{
    uint64_t now_us = bb_clock_now_us();
    struct target *t = find_target(a, &a->connected_to);

    if (a->is_introduced) {
        bb_log_info("agent.lost", "%s: %s", a->connected_to.ip, why);
    }
    bb_frames_close(a->frames);
    a->frames = NULL;
    if (t != NULL) {
        t->failed_us = now_us;
    }
    a->retry_wait_ms =
        a->is_introduced || a->retry_wait_ms == 0
            ? (uint32_t)BB_AGENT_RETRY_MS
            : MIN(2 * a->retry_wait_ms, (uint32_t)BB_AGENT_RETRY_MAX_MS);
    /* Spread, since all nodes of a zone lose their host at once. */
    a->retry_us =
        now_us +
        (uint64_t)g_random_int_range(0, (gint)a->retry_wait_ms) * BB_US_PER_MS;
    a->is_introduced = false;
    a->out_of_touch_us = 0;
    bb_counter_set(&connected_gauge, 0);
    if (++a->failures >= a->targets->len) {
        a->failures = 0;
        a->events->lost(a->context);
    }
    schedule(a);
}

/* Opens a connection to the best host. */
static void
connect_next(struct bb_agent *a, uint64_t now_us)
{
    struct target *t = choose_target(a, now_us);

    a->heard_us = now_us;
    a->retry_us = now_us + (uint64_t)BB_AGENT_RETRY_MAX_MS * BB_US_PER_MS;
    if (t == NULL) {
        a->events->lost(a->context);
        return;
    }
    a->connected_to = t->at;
    bb_counter_add(&switches_total, 1);
    a->frames = bb_frames_open(a->loop, &t->at, BB_AGENT_CONNECT_MS,
                               &frames_events, a);
}

static void
run_timer(uv_timer_t *t)
{
    struct bb_agent *a = t->data;
    uint64_t now_us = bb_clock_now_us();

    if (a->frames == NULL) {
        if (now_us >= a->retry_us) {
            connect_next(a, now_us);
        }
    }
    else if (now_us - a->heard_us >=
             (uint64_t)BB_AGENT_SILENCE_MS * BB_US_PER_MS) {
        disconnect(a, "silent");
        return;
    }
    else if (a->out_of_touch_us != 0 &&
             now_us - a->out_of_touch_us >=
                 (uint64_t)BB_AGENT_OUT_OF_TOUCH_MS * BB_US_PER_MS) {
        if (a->targets->len > 1) {
            disconnect(a, "out of touch with a majority");
            return;
        }
        a->out_of_touch_us = now_us;
    }
    schedule(a);
}

/* Sends the own announcement. */
static void
send_own(struct bb_agent *a)
{
    fleet_message m = {.kind = FLEET_INSTANCES};

    if (a->own == NULL || a->frames == NULL || !a->is_introduced) {
        return;
    }
    m.fleet_message_u.instances.instances_val = a->own;
    m.fleet_message_u.instances.instances_len = 1;
    (void)bb_frames_send(a->frames, &m);
}

/* Numbers the own announcement as the newest. */
static void
renew_own(struct bb_agent *a)
{
    if (a->own != NULL) {
        a->own->epoch = a->epoch;
        a->own->sequence = ++a->sequence;
    }
}

static void
take_open(void *context, struct bb_frames *f)
{
    struct bb_agent *a = context;
    fleet_message m = {.kind = FLEET_HELLO};

    m.fleet_message_u.hello = (fleet_hello){
        .host = {.ip = (char *)a->settings.ip,
                 .zone = (char *)a->settings.zone,
                 .region = (char *)a->settings.region},
        .content = a->content,
        .revision = a->revision,
    };
    (void)bb_frames_send(f, &m);
}

/* Takes the list of control hosts, and changes to a nearer one that has not
 * failed lately. */
static void
take_hosts(struct bb_agent *a, const fleet_message *m)
{
    uint64_t now_us = bb_clock_now_us();
    const struct target *now;
    const struct target *best;

    for (u_int i = 0; i < m->fleet_message_u.hosts.hosts_len; i++) {
        const fleet_host *h = &m->fleet_message_u.hosts.hosts_val[i];
        struct bb_address at = {.port = (uint16_t)h->peer_port};
        uint32_t distance = strcmp(h->zone, a->settings.zone) == 0       ? 0
                            : strcmp(h->region, a->settings.region) == 0 ? 1
                                                                         : 2;

        g_strlcpy(at.ip, h->ip, sizeof(at.ip));
        add_target(a, &at, distance);
    }
    now = find_target(a, &a->connected_to);
    best = choose_target(a, now_us);
    if (now != NULL && best != NULL && best->distance < now->distance &&
        !is_avoided(best, now_us)) {
        bb_frames_close(a->frames);
        a->frames = NULL;
        a->is_introduced = false;
        connect_next(a, now_us);
    }
}

/* Takes a configuration if it is newer than the one in force here. */
static void
take_update(struct bb_agent *a, const fleet_update *u)
{
    fleet_state s;
    GBytes *config;

    if (u->revision <= a->revision) {
        return;
    }
    if (!bb_contents_unpack(a->contents, &u->content)) {
        bb_log_warning("agent.update",
                       "cannot be rebuilt; asking for all of it");
        a->content = 0;
        disconnect(a, "update without its base");
        return;
    }
    if (!bb_state_decode(bb_contents_get(a->contents, u->content.content),
                         &s)) {
        bb_log_warning("agent.update", "cannot be decoded");
        return;
    }
    a->content = u->content.content;
    a->revision = u->revision;
    a->version = s.label;
    bb_counter_set(&version_gauge, a->version);
    bb_log_info("agent.in_force",
                "version %" G_GUINT64_FORMAT " index %" G_GUINT64_FORMAT
                " from %s",
                a->version, a->revision, a->connected_to.ip);
    config = g_bytes_new_take(s.config.config_val, s.config.config_len);
    s.config.config_val = NULL;
    s.config.config_len = 0;
    bb_state_clear(&s);
    if (g_bytes_get_size(config) > 0) {
        a->events->in_force(a->context, a->version, config);
    }
    g_bytes_unref(config);
}

/* Takes what is known of the own gate. A record of an earlier run of this node
 * is outnumbered by a higher epoch, whatever the wall clock says. */
static void
take_own(struct bb_agent *a, const fleet_instance *r)
{
    if (bb_instance_is_newer(r, a->epoch, a->sequence)) {
        a->epoch = r->epoch + 1;
        renew_own(a);
        send_own(a);
    }
}

/* Takes announcements. The first ones of a connection are all that the
 * control host holds. */
static void
take_instances(struct bb_agent *a, const fleet_message *m)
{
    const fleet_instance *earlier = NULL;

    for (u_int i = 0; i < m->fleet_message_u.instances.instances_len; i++) {
        const fleet_instance *r =
            &m->fleet_message_u.instances.instances_val[i];

        if (strcmp(r->gate, a->settings.gate) == 0) {
            earlier = r;
            take_own(a, r);
        }
        else if (bb_instances_merge(a->instances, r)) {
            a->events->instance(a->context, r);
        }
    }
    if (!a->is_recalled) {
        a->is_recalled = true;
        a->events->recalled(a->context, earlier);
    }
}

static void
take_status(struct bb_agent *a, const fleet_status *s)
{
    if (s->is_in_touch) {
        a->out_of_touch_us = 0;
        a->failures = 0;
    }
    else if (a->out_of_touch_us == 0) {
        a->out_of_touch_us = bb_clock_now_us();
    }
}

static void
take_message(void *context, struct bb_frames *f, fleet_message *m)
{
    struct bb_agent *a = context;

    if (f != a->frames) {
        return;
    }
    a->heard_us = bb_clock_now_us();
    switch (m->kind) {
    case FLEET_HELLO:
        a->is_introduced = true;
        a->is_recalled = false;
        a->retry_wait_ms = 0;
        bb_counter_set(&connected_gauge, 1);
        bb_log_info("agent.connected", "%s", a->connected_to.ip);
        renew_own(a);
        send_own(a);
        break;
    case FLEET_HOSTS:
        take_hosts(a, m);
        break;
    case FLEET_INSTANCES:
        take_instances(a, m);
        break;
    case FLEET_CONTENT:
        take_update(a, &m->fleet_message_u.update);
        break;
    case FLEET_STATUS:
        take_status(a, &m->fleet_message_u.status);
        break;
    case FLEET_QUORUM:
        break;
    }
    if (a->frames != NULL) {
        schedule(a);
    }
}

static void
take_end(void *context, struct bb_frames *f)
{
    struct bb_agent *a = context;

    if (f == a->frames) {
        disconnect(a, "connection ended");
    }
}

/* Connects to the control hosts and stays connected. */
struct bb_agent *
bb_agent_create(uv_loop_t *loop, const struct bb_agent_settings *s,
                const struct bb_agent_events *events, void *context)
{
    struct bb_agent *a = g_new0(struct bb_agent, 1);

    a->loop = loop;
    a->settings = *s;
    a->events = events;
    a->context = context;
    a->targets = g_array_new(FALSE, TRUE, sizeof(struct target));
    a->instances = bb_instances_create();
    a->contents = bb_contents_create();
    a->epoch = s->started_ms;
    (void)uv_timer_init(loop, &a->timer);
    a->timer.data = a;
    bb_agent_set_seeds(a, &s->seeds);
    connect_next(a, bb_clock_now_us());
    schedule(a);
    return a;
}

/* Adds seed addresses to the hosts that are tried. */
void
bb_agent_set_seeds(struct bb_agent *a, const struct bb_address_list *seeds)
{
    for (uint32_t i = 0; i < seeds->count; i++) {
        struct bb_address at = seeds->items[i];

        at.port = a->settings.peer_port;
        if (find_target(a, &at) == NULL) {
            add_target(a, &at, 2);
        }
    }
}

/* Announces the upstream next to this node; epoch and sequence are set
 * here. */
void
bb_agent_announce(struct bb_agent *a, const fleet_instance *own)
{
    bb_instance_destroy(a->own);
    a->own = bb_instance_copy(own);
    renew_own(a);
    send_own(a);
}

static void
free_agent(uv_handle_t *h)
{
    struct bb_agent *a = h->data;

    bb_instance_destroy(a->own);
    bb_instances_destroy(a->instances);
    bb_contents_destroy(a->contents);
    g_array_free(a->targets, TRUE);
    g_free(a);
}

/* Closes the connection; NULL is allowed. */
void
bb_agent_destroy(struct bb_agent *a)
{
    if (a != NULL) {
        bb_frames_close(a->frames);
        a->frames = NULL;
        uv_close((uv_handle_t *)&a->timer, free_agent);
    }
}
