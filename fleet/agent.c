/* Client of the control hosts that runs on each node. */
#include "fleet/agent.h"

#include <string.h>

#include "agent_quota.h"
#include "common/clock.h"
#include "common/counters.h"
#include "common/digest.h"
#include "common/log.h"
#include "fleet/frame.h"

BB_GAUGE(connected_gauge, "baobab_agent_connected",
         "1 while this node is connected to a control host");
BB_COUNTER(connect_attempts_total, "baobab_agent_switches_total",
           "Connections to control hosts that were opened");
BB_GAUGE(version_gauge, "baobab_agent_version",
         "Operators' version of the configuration in force here");

/* How far a control host is from this node; a lower value is nearer. */
enum control_host_distance {
    DISTANCE_SAME_ZONE,
    DISTANCE_SAME_REGION,
    DISTANCE_ELSEWHERE, /* or unknown */
    DISTANCE_COUNT
};

/* A control host to connect to. */
struct control_host {
    struct bb_address address;
    uint32_t distance;  /* enum control_host_distance */
    uint64_t failed_us; /* last failure, 0: none */
    bool is_seed;
    bool is_listed; /* by the control host connected last */
};

struct bb_agent {
    uv_loop_t *loop;
    uv_timer_t timer;
    struct bb_agent_settings settings;
    const struct bb_agent_events *events;
    void *context;
    GArray *hosts; /* struct control_host */
    struct bb_fleet_connection *connection;
    struct bb_address host_address; /* of the current or last connection */
    bool has_received_hello;        /* on this connection */
    bool has_received_instances;    /* on this connection */
    uint64_t last_message_us;
    uint64_t no_quorum_since_us; /* since when the host reports no quorum; 0:
                                    it reports one */
    bool is_seeking_quorum;      /* has left a host without one, and found none
                                    that has one since */
    uint64_t connect_due_us;     /* while there is no connection */
    uint32_t retry_delay_ms;
    uint32_t consecutive_failures;
    /* Hosts below this distance are tried after the others, as one of them did
     * not respond to the attempt before; 0: none. */
    uint32_t least_distance;
    struct bb_instance_table *instances; /* of other nodes */
    struct bb_content_store *content_store;
    uint64_t content_id;   /* of the newest configuration, 0: none */
    uint64_t commit_index; /* of the newest configuration */
    uint64_t version;      /* the operators' version of it */
    uint64_t config_hash;  /* of its text */
    fleet_instance *own_instance;
    uint64_t incarnation; /* of own_instance */
    uint64_t sequence;    /* of own_instance */
    struct agent_quota *quota;
};

static void on_timer(uv_timer_t *t);
static void on_message(void *context, struct bb_fleet_connection *f,
                       fleet_message *m);
static void on_ended(void *context, struct bb_fleet_connection *f);
static void on_opened(void *context, struct bb_fleet_connection *f);

static const struct bb_fleet_connection_events connection_events = {
    .connected = on_opened, .message = on_message, .ended = on_ended};

/* Sets the timer to the next connection attempt or, while connected, to the
 * end of the time without a message or a quorum. */
static void
schedule_timer(struct bb_agent *a)
{
    uint64_t now_us = bb_clock_now_us();
    uint64_t due_us = a->connect_due_us;

    if (a->connection != NULL) {
        due_us = a->last_message_us +
                 (uint64_t)BB_AGENT_SILENCE_TIMEOUT_MS * BB_US_PER_MS;
        if (a->no_quorum_since_us != 0) {
            due_us = MIN(due_us, a->no_quorum_since_us +
                                     (uint64_t)BB_AGENT_NO_QUORUM_TIMEOUT_MS *
                                         BB_US_PER_MS);
        }
    }
    (void)uv_timer_start(
        &a->timer, on_timer,
        due_us > now_us ? (due_us - now_us) / BB_US_PER_MS + 1 : 1, 0);
}

/* Returns the known host with an address, or NULL. */
static struct control_host *
find_host(struct bb_agent *a, const struct bb_address *at)
{
    for (guint i = 0; i < a->hosts->len; i++) {
        struct control_host *host =
            &g_array_index(a->hosts, struct control_host, i);

        if (bb_address_equal(&host->address, at)) {
            return host;
        }
    }
    return NULL;
}

/* Adds a control host, or updates its distance. Returns it; valid until
 * another one is added. */
static struct control_host *
add_host(struct bb_agent *a, const struct bb_address *at, uint32_t distance)
{
    struct control_host *host = find_host(a, at);
    struct control_host new_host = {.address = *at, .distance = distance};

    if (host == NULL) {
        g_array_append_val(a->hosts, new_host);
        return &g_array_index(a->hosts, struct control_host,
                              a->hosts->len - 1);
    }
    host->distance = distance;
    return host;
}

/* Forgets the hosts that have failed and that the current one, if it has a
 * quorum, does not list: they are gone for good. Seeds and the current host
 * stay. */
static void
forget_unlisted_hosts(struct bb_agent *a)
{
    for (guint i = a->hosts->len; i-- > 0;) {
        const struct control_host *host =
            &g_array_index(a->hosts, struct control_host, i);

        if (host->failed_us != 0 && !host->is_listed && !host->is_seed &&
            a->no_quorum_since_us == 0 &&
            !bb_address_equal(&host->address, &a->host_address)) {
            g_array_remove_index_fast(a->hosts, i);
        }
    }
}

/* Returns whether a host failed less than BB_AGENT_AVOID_FAILED_MS ago, so
 * that others are tried first. */
static bool
has_failed_recently(const struct control_host *host, uint64_t now_us)
{
    return host->failed_us != 0 &&
           now_us - host->failed_us <
               (uint64_t)BB_AGENT_AVOID_FAILED_MS * BB_US_PER_MS;
}

/* Returns the place of a host in the order of attempts. */
static uint32_t
attempt_rank(const struct bb_agent *a, const struct control_host *host)
{
    return host->distance >= a->least_distance
               ? host->distance
               : host->distance + DISTANCE_COUNT;
}

/* Returns the first host in the order of attempts that has not failed recently
 * (a random one of several), or else the one that failed longest ago. Returns
 * NULL if none is known. */
static struct control_host *
choose_host(struct bb_agent *a, uint64_t now_us)
{
    struct control_host *best = NULL;
    guint start = a->hosts->len > 0
                      ? (guint)g_random_int_range(0, (gint)a->hosts->len)
                      : 0;

    for (guint n = 0; n < a->hosts->len; n++) {
        guint i = (start + n) % a->hosts->len;
        struct control_host *host =
            &g_array_index(a->hosts, struct control_host, i);
        bool is_better;

        if (best == NULL) {
            best = host;
            continue;
        }
        if (has_failed_recently(host, now_us) !=
            has_failed_recently(best, now_us)) {
            is_better = has_failed_recently(best, now_us);
        }
        else if (has_failed_recently(host, now_us)) {
            is_better = host->failed_us < best->failed_us;
        }
        else {
            is_better = attempt_rank(a, host) < attempt_rank(a, best);
        }
        if (is_better) {
            best = host;
        }
    }
    return best;
}

/* Closes the failed connection and schedules the next attempt after a random
 * delay. `reason` is for the log. */
static void
disconnect(struct bb_agent *a, const char *reason)
{
    uint64_t now_us = bb_clock_now_us();
    struct control_host *host = find_host(a, &a->host_address);

    if (a->has_received_hello) {
        bb_log_info("agent.lost", "%s: %s", a->host_address.ip, reason);
    }
    agent_quota_set_connection(a->quota, NULL);
    bb_fleet_connection_close(a->connection);
    a->connection = NULL;
    if (host != NULL) {
        host->failed_us = now_us;
        /* Every second attempt at most goes to a host as near as the one that
         * did not respond: all of those may be gone. */
        a->least_distance = !a->has_received_hello && a->least_distance == 0
                                ? host->distance + 1
                                : 0;
    }
    a->retry_delay_ms =
        a->has_received_hello || a->retry_delay_ms == 0
            ? (uint32_t)BB_AGENT_RETRY_MIN_MS
            : MIN(2 * a->retry_delay_ms, (uint32_t)BB_AGENT_RETRY_MAX_MS);
    /* Random, since all nodes of a zone lose their host at the same time. */
    a->connect_due_us =
        now_us + (uint64_t)g_random_int_range(0, (gint)a->retry_delay_ms) *
                     BB_US_PER_MS;
    a->has_received_hello = false;
    a->has_received_instances = false;
    a->no_quorum_since_us = 0;
    bb_counter_set(&connected_gauge, 0);
    if (++a->consecutive_failures >= a->hosts->len) {
        a->consecutive_failures = 0;
        a->events->no_host_reachable(a->context);
    }
    schedule_timer(a);
}

/* Leaves a host that has no quorum. */
static void
leave_without_quorum(struct bb_agent *a)
{
    a->is_seeking_quorum = true;
    disconnect(a, "the host has no quorum");
}

/* Opens a connection to the host that choose_host returns. If no host is known
 * or no socket can be created, the timer tries again after
 * BB_AGENT_RETRY_MAX_MS. */
static void
connect_to_best_host(struct bb_agent *a, uint64_t now_us)
{
    struct control_host *host = choose_host(a, now_us);

    a->last_message_us = now_us;
    a->connect_due_us =
        now_us + (uint64_t)BB_AGENT_RETRY_MAX_MS * BB_US_PER_MS;
    if (host == NULL) {
        a->events->no_host_reachable(a->context);
        return;
    }
    a->host_address = host->address;
    bb_counter_add(&connect_attempts_total, 1);
    a->connection = bb_fleet_connection_open(a->loop, &host->address,
                                             BB_AGENT_CONNECT_TIMEOUT_MS,
                                             &connection_events, a);
}

/* Connects if that is due. Gives up a connection without messages, or whose
 * host has had no quorum for too long if another host is known. */
static void
on_timer(uv_timer_t *t)
{
    struct bb_agent *a = t->data;
    uint64_t now_us = bb_clock_now_us();

    if (a->connection == NULL) {
        if (now_us >= a->connect_due_us) {
            connect_to_best_host(a, now_us);
        }
    }
    else if (now_us - a->last_message_us >=
             (uint64_t)BB_AGENT_SILENCE_TIMEOUT_MS * BB_US_PER_MS) {
        disconnect(a, "silent");
        return;
    }
    else if (a->no_quorum_since_us != 0 &&
             now_us - a->no_quorum_since_us >=
                 (uint64_t)BB_AGENT_NO_QUORUM_TIMEOUT_MS * BB_US_PER_MS) {
        /* The only known host is kept. */
        if (a->hosts->len > 1) {
            leave_without_quorum(a);
            return;
        }
        a->no_quorum_since_us = now_us;
    }
    schedule_timer(a);
}

/* Sends the record of this node's upstream, once there is one and the host has
 * sent its own records: until then the node may leave for a nearer host. */
static void
send_own_instance(struct bb_agent *a)
{
    fleet_message m = {.kind = FLEET_INSTANCES};

    if (a->own_instance == NULL || a->connection == NULL ||
        !a->has_received_instances) {
        return;
    }
    m.fleet_message_u.instances.instances_val = a->own_instance;
    m.fleet_message_u.instances.instances_len = 1;
    (void)bb_fleet_connection_send(a->connection, &m);
}

/* Gives the node's own record the next sequence number, so that it supersedes
 * the one sent before. */
static void
assign_next_sequence(struct bb_agent *a)
{
    if (a->own_instance != NULL) {
        a->own_instance->incarnation = a->incarnation;
        a->own_instance->sequence = ++a->sequence;
    }
}

/* Sends the hello of this node on the new connection. */
static void
on_opened(void *context, struct bb_fleet_connection *f)
{
    struct bb_agent *a = context;
    fleet_message m = {.kind = FLEET_HELLO};

    m.fleet_message_u.hello = (fleet_hello){
        .host = {.ip = (char *)a->settings.ip,
                 .zone = (char *)a->settings.zone,
                 .region = (char *)a->settings.region},
        .content_id = a->content_id,
        .commit_index = a->commit_index,
    };
    (void)bb_fleet_connection_send(f, &m);
}

/* Adds the control hosts that the current one lists, and connects to a nearer
 * one if there is one that has not failed recently. */
static void
receive_hosts(struct bb_agent *a, const fleet_message *m)
{
    uint64_t now_us = bb_clock_now_us();
    const struct control_host *current;
    const struct control_host *best;

    for (guint i = 0; i < a->hosts->len; i++) {
        g_array_index(a->hosts, struct control_host, i).is_listed = false;
    }
    for (u_int i = 0; i < m->fleet_message_u.hosts.hosts_len; i++) {
        const fleet_host *h = &m->fleet_message_u.hosts.hosts_val[i];
        struct bb_address at = {.port = (uint16_t)h->peer_port};
        uint32_t distance =
            strcmp(h->zone, a->settings.zone) == 0       ? DISTANCE_SAME_ZONE
            : strcmp(h->region, a->settings.region) == 0 ? DISTANCE_SAME_REGION
                                                         : DISTANCE_ELSEWHERE;

        g_strlcpy(at.ip, h->ip, sizeof(at.ip));
        add_host(a, &at, distance)->is_listed = true;
    }
    forget_unlisted_hosts(a);
    current = find_host(a, &a->host_address);
    best = choose_host(a, now_us);
    if (current != NULL && best != NULL &&
        best->distance < current->distance &&
        !has_failed_recently(best, now_us)) {
        agent_quota_set_connection(a->quota, NULL);
        bb_fleet_connection_close(a->connection);
        a->connection = NULL;
        a->has_received_hello = false;
        a->has_received_instances = false;
        connect_to_best_host(a, now_us);
    }
}

/* Reports the configuration of an update or, if it is the known one, only that
 * the update holds it: an update may change only the rollouts, and decoding a
 * configuration takes long. */
static void
report_config(struct bb_agent *a, fleet_replicated_state *s)
{
    const struct bb_state_id state = {.commit_index = a->commit_index,
                                      .content_id = a->content_id};
    uint64_t hash = bb_hash64(s->config.config_val, s->config.config_len, 0);
    GBytes *config;

    if (s->config.config_len == 0) {
        return;
    }
    if (a->version == s->config_version && a->config_hash == hash) {
        if (a->events->config_kept != NULL) {
            a->events->config_kept(a->context, &state);
        }
        return;
    }
    a->version = s->config_version;
    a->config_hash = hash;
    bb_counter_set(&version_gauge, a->version);
    bb_log_info("agent.in_force",
                "version %" G_GUINT64_FORMAT " index %" G_GUINT64_FORMAT
                " from %s",
                a->version, a->commit_index, a->host_address.ip);
    config = g_bytes_new_take(s->config.config_val, s->config.config_len);
    s->config.config_val = NULL;
    s->config.config_len = 0;
    a->events->config_updated(a->context, a->version, &state, config);
    g_bytes_unref(config);
}

/* Decompresses and reports a configuration that is newer than the current one.
 * If it cannot be decompressed, for example because its base is missing, the
 * connection is closed, and the next hello requests the state without a base.
 */
static void
receive_update(struct bb_agent *a, const fleet_update *u)
{
    fleet_replicated_state s;

    if (u->commit_index <= a->commit_index) {
        return;
    }
    if (!bb_content_store_add_compressed(a->content_store, &u->content)) {
        bb_log_warning("agent.update",
                       "cannot use an update: its base is missing, it is too "
                       "large, or its hash is wrong; reconnecting to request "
                       "it in full");
        a->content_id = 0;
        disconnect(a, "an update cannot be decompressed");
        return;
    }
    if (!bb_replicated_state_decode(
            bb_content_store_get(a->content_store, u->content.content_id),
            &s)) {
        bb_log_warning("agent.update",
                       "cannot decode an update; the previous configuration "
                       "stays in use");
        return;
    }
    a->content_id = u->content.content_id;
    a->commit_index = u->commit_index;
    if (a->events->rollouts_updated != NULL) {
        a->events->rollouts_updated(a->context, s.rollouts.rollouts_val,
                                    s.rollouts.rollouts_len);
    }
    report_config(a, &s);
    bb_replicated_state_clear(&s);
}

/* If the instance record that the control host holds for this node's own gate
 * is newer than the node's own numbers, it is from an earlier run and the wall
 * clock has gone back since. Raises the incarnation above it and announces the
 * node's record again. */
static void
supersede_earlier_run(struct bb_agent *a, const fleet_instance *r)
{
    if (bb_instance_is_newer(r, a->incarnation, a->sequence)) {
        a->incarnation = r->incarnation + 1;
        assign_next_sequence(a);
        send_own_instance(a);
    }
}

/* Returns a record of another node to the control host, which has one with a
 * lower incarnation: either that is an older one, or its node was restarted
 * after the wall clock went back, does not know of its earlier run and is told
 * of it so. */
static void
return_newer_run(struct bb_agent *a, const fleet_instance *r)
{
    const fleet_instance *known =
        bb_instance_table_find(a->instances, r->gate_address);
    fleet_message m = {.kind = FLEET_INSTANCES};

    if (a->connection == NULL || known == NULL ||
        known->incarnation <= r->incarnation) {
        return;
    }
    m.fleet_message_u.instances.instances_val = (fleet_instance *)known;
    m.fleet_message_u.instances.instances_len = 1;
    (void)bb_fleet_connection_send(a->connection, &m);
}

static void
count_known(void *context, const fleet_instance *i)
{
    *(uint32_t *)context += i->state != BB_INSTANCE_GONE;
}

/* Returns the number of nodes that have not stopped, with this one. */
static uint32_t
count_known_nodes(const struct bb_agent *a)
{
    uint32_t count = 1;

    bb_instance_table_foreach(a->instances, count_known, &count);
    return count;
}

/* Merges received instance records and reports those that are newer. The first
 * message of a connection holds all records that the control host has. */
static void
receive_instances(struct bb_agent *a, const fleet_message *m)
{
    const fleet_instance *own = NULL;

    for (u_int i = 0; i < m->fleet_message_u.instances.instances_len; i++) {
        const fleet_instance *r =
            &m->fleet_message_u.instances.instances_val[i];

        if (strcmp(r->gate_address, a->settings.gate_address) == 0) {
            own = r;
            supersede_earlier_run(a, r);
        }
        else if (bb_instance_table_merge(a->instances, r)) {
            a->events->instance_updated(a->context, r);
        }
        else {
            return_newer_run(a, r);
        }
    }
    agent_quota_set_known(a->quota, count_known_nodes(a));
    if (!a->has_received_instances) {
        a->has_received_instances = true;
        agent_quota_set_connection(a->quota, a->connection);
        a->events->own_instance_received(a->context, own);
        assign_next_sequence(a);
        send_own_instance(a);
    }
}

/* Returns whether a host is known that has not failed recently. */
static bool
has_untried_host(const struct bb_agent *a, uint64_t now_us)
{
    for (guint i = 0; i < a->hosts->len; i++) {
        const struct control_host *host =
            &g_array_index(a->hosts, struct control_host, i);

        if (!bb_address_equal(&host->address, &a->host_address) &&
            !has_failed_recently(host, now_us)) {
            return true;
        }
    }
    return false;
}

/* Records since when the host has had no quorum. A node that has waited for
 * the quorum of an earlier host in vain waits no longer at this one while
 * others are left to try. */
static void
receive_status(struct bb_agent *a, const fleet_status *s)
{
    uint64_t now_us = bb_clock_now_us();

    if (s->has_recent_quorum) {
        a->no_quorum_since_us = 0;
        a->consecutive_failures = 0;
        a->is_seeking_quorum = false;
        return;
    }
    if (a->no_quorum_since_us == 0) {
        a->no_quorum_since_us = now_us;
    }
    if (a->is_seeking_quorum && has_untried_host(a, now_us)) {
        leave_without_quorum(a);
    }
}

/* Passes on the answer to a request for a lease. */
static void
receive_lease_grant(struct bb_agent *a, const fleet_lease_grant *g)
{
    const struct bb_state_id state = {.commit_index = g->commit_index,
                                      .content_id = g->content_id};

    if (a->events->lease_granted != NULL) {
        a->events->lease_granted(a->context, g->number, &state);
    }
}

/* Handles the hello of the control host. */
static void
receive_hello(struct bb_agent *a)
{
    a->has_received_hello = true;
    a->has_received_instances = false;
    a->retry_delay_ms = 0;
    a->least_distance = 0;
    bb_counter_set(&connected_gauge, 1);
    bb_log_info("agent.connected", "%s", a->host_address.ip);
    if (a->events->host_connected != NULL) {
        a->events->host_connected(a->context);
    }
}

/* Handles a message of the control host. Ignores one from a connection that is
 * no longer the current one. */
static void
on_message(void *context, struct bb_fleet_connection *f, fleet_message *m)
{
    struct bb_agent *a = context;

    if (f != a->connection) {
        return;
    }
    a->last_message_us = bb_clock_now_us();
    agent_quota_receive(a->quota, m);
    switch (m->kind) {
    case FLEET_HELLO:
        receive_hello(a);
        break;
    case FLEET_HOSTS:
        receive_hosts(a, m);
        break;
    case FLEET_INSTANCES:
        receive_instances(a, m);
        break;
    case FLEET_UPDATE:
        receive_update(a, &m->fleet_message_u.update);
        break;
    case FLEET_STATUS:
        receive_status(a, &m->fleet_message_u.status);
        break;
    case FLEET_LEASE_GRANT:
        receive_lease_grant(a, &m->fleet_message_u.lease_grant);
        break;
    case FLEET_QUORUM:
    case FLEET_DIGEST:
    case FLEET_LEASE_REQUEST:
    case FLEET_LEASE_CONFIRM:
    case FLEET_LEASE_CONFIRMED:
    case FLEET_QUOTA_USAGE:
    case FLEET_QUOTA_TOTALS:
    case FLEET_QUOTA_RATIOS:
    case FLEET_ROLLOUT_EVIDENCE:
        break;
    }
    if (a->connection != NULL) {
        schedule_timer(a);
    }
}

/* Handles the end of the current connection; ignores that of another one. */
static void
on_ended(void *context, struct bb_fleet_connection *f)
{
    struct bb_agent *a = context;

    if (f == a->connection) {
        disconnect(a, "connection ended");
    }
}

/* Creates a client that connects to the control hosts and reconnects after
 * failures. `events` must outlive it. Never returns NULL. */
struct bb_agent *
bb_agent_create(uv_loop_t *loop, const struct bb_agent_settings *s,
                const struct bb_agent_events *events, void *context)
{
    struct bb_agent *a = g_new0(struct bb_agent, 1);

    a->loop = loop;
    a->settings = *s;
    a->events = events;
    a->context = context;
    a->hosts = g_array_new(FALSE, TRUE, sizeof(struct control_host));
    a->instances = bb_instance_table_create();
    a->content_store = bb_content_store_create();
    a->incarnation = s->start_wall_ms;
    a->quota = agent_quota_create(loop, s->quota);
    (void)uv_timer_init(loop, &a->timer);
    a->timer.data = a;
    bb_agent_set_seeds(a, &s->seeds);
    connect_to_best_host(a, bb_clock_now_us());
    schedule_timer(a);
    return a;
}

/* Adds seed addresses to the known hosts; earlier seeds stay known. Their
 * ports are replaced by the port of the settings. */
void
bb_agent_set_seeds(struct bb_agent *a, const struct bb_address_list *seeds)
{
    for (uint32_t i = 0; i < seeds->count; i++) {
        struct bb_address at = seeds->items[i];
        struct control_host *host;

        at.port = a->settings.control_port;
        host = find_host(a, &at);
        if (host == NULL) {
            host = add_host(a, &at, DISTANCE_ELSEWHERE);
        }
        host->is_seed = true;
    }
}

/* Announces the node's local upstream, now and after each reconnection. Copies
 * `own`, whose incarnation and sequence are ignored. */
void
bb_agent_announce(struct bb_agent *a, const fleet_instance *own)
{
    bb_instance_destroy(a->own_instance);
    a->own_instance = bb_instance_copy(own);
    assign_next_sequence(a);
    send_own_instance(a);
}

/* Asks the control host for a lease. Returns false if none is connected. */
bool
bb_agent_ask_lease(struct bb_agent *a, uint64_t number)
{
    fleet_message m = {.kind = FLEET_LEASE_REQUEST};

    if (a->connection == NULL || !a->has_received_hello) {
        return false;
    }
    m.fleet_message_u.lease_request = number;
    return bb_fleet_connection_send(a->connection, &m);
}

/* Returns whether the connected control host reports a quorum. */
bool
bb_agent_is_in_touch(const struct bb_agent *a)
{
    return a->connection != NULL && a->has_received_hello &&
           a->no_quorum_since_us == 0;
}

/* Sends evidence about the versions of upstreams. Without a connection it is
 * dropped: it would be too old later. */
void
bb_agent_send_evidence(struct bb_agent *a, fleet_rollout_evidence *list,
                       uint32_t count)
{
    fleet_message m = {.kind = FLEET_ROLLOUT_EVIDENCE};

    m.fleet_message_u.rollout_evidence.rollout_evidence_val = list;
    m.fleet_message_u.rollout_evidence.rollout_evidence_len = count;
    if (a->connection != NULL && a->has_received_hello) {
        (void)bb_fleet_connection_send(a->connection, &m);
    }
}

static void
free_agent(uv_handle_t *h)
{
    struct bb_agent *a = h->data;

    bb_instance_destroy(a->own_instance);
    bb_instance_table_destroy(a->instances);
    bb_content_store_destroy(a->content_store);
    g_array_free(a->hosts, TRUE);
    g_free(a);
}

/* Closes the connection and frees the agent. NULL is allowed. */
void
bb_agent_destroy(struct bb_agent *a)
{
    if (a != NULL) {
        agent_quota_destroy(a->quota);
        bb_fleet_connection_close(a->connection);
        a->connection = NULL;
        uv_close((uv_handle_t *)&a->timer, free_agent);
    }
}
