/* Guards against accepted configurations that are lost, and nodes that miss
 * one, when control hosts fail. Control hosts and agents of nodes run in one
 * process, on loopback addresses and with files in a temporary folder. */
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/random.h"
#include "decide/voters.h"
#include "fixture.h"
#include "fleet/content.h"
#include "fleet/frame.h"
#include "fleet/store.h"
#include "net/stream.h"
#include "unit.h"

/* Stops a control host and gives it an empty data folder. */
static void
replace_disk(struct cluster *c, uint32_t i)
{
    static uint32_t count;

    stop_core(c, i);
    run_loop(c, NULL, 30);
    (void)g_snprintf(c->folders[i], sizeof(c->folders[i]), "%s/new-%u",
                     c->folder, ++count);
}

/* Restarts all control hosts at once. */
static void
restart_cores(struct cluster *c)
{
    for (uint32_t i = 0; i < HOSTS; i++) {
        stop_core(c, i);
        run_loop(c, NULL, 30);
    }
    for (uint32_t i = 0; i < HOSTS; i++) {
        start_core(c, i, false);
    }
}

static void
on_read_done(void *context, bool is_confirmed, GBytes *raw)
{
    struct operation_result *result = context;
    gsize size = 0;
    const char *text = raw != NULL ? g_bytes_get_data(raw, &size) : "";

    result->is_done = true;
    result->is_confirmed = is_confirmed;
    (void)g_snprintf(result->text, sizeof(result->text), "%.*s", (int)size,
                     text);
}

/* Reads from the leader, up to 20 times, until a majority confirms it. */
static void
read_until_confirmed(struct cluster *c, struct operation_result *result)
{
    for (uint32_t i = 0; i < 20; i++) {
        int32_t leader = find_leader(c, 5000);

        *result = (struct operation_result){0};
        if (leader >= 0) {
            bb_core_read_config(c->cores[leader], on_read_done, result);
            (void)run_loop(c, &result->is_done, 2000);
        }
        if (result->is_confirmed) {
            return;
        }
        run_loop(c, NULL, 100);
    }
}

/* Another control host, or a node that has a configuration, of which there is
 * only a connection. */
struct fake_peer {
    struct bb_fleet_connection *connection;
    bool is_node;
    const char *ip;
    const char *zone;
    uint64_t disk_id; /* 0: 99 */
    uint16_t port;
    uint32_t instance_messages;
    uint32_t digests;
    bool has_update;
    bool has_hosts;
    bool had_update_before_hosts;
};

static void
on_fake_peer_connected(void *context, struct bb_fleet_connection *f)
{
    struct fake_peer *h = context;
    fleet_message m = {.kind = FLEET_HELLO};

    m.fleet_message_u.hello =
        (fleet_hello){.is_control = !h->is_node,
                      .content_id = h->is_node ? 1 : 0,
                      .host = {.ip = (char *)h->ip,
                               .peer_port = h->port,
                               .zone = (char *)h->zone,
                               .region = (char *)"r",
                               .disk_id = h->disk_id != 0 ? h->disk_id : 99}};
    (void)bb_fleet_connection_send(f, &m);
}

static void
on_fake_peer_message(void *context, struct bb_fleet_connection *f,
                     fleet_message *m)
{
    struct fake_peer *h = context;

    (void)f;
    h->instance_messages += m->kind == FLEET_INSTANCES;
    h->digests += m->kind == FLEET_DIGEST;
    h->has_update = h->has_update || m->kind == FLEET_UPDATE;
    h->had_update_before_hosts =
        h->had_update_before_hosts || (h->has_update && !h->has_hosts);
    h->has_hosts = h->has_hosts || m->kind == FLEET_HOSTS;
}

static void
on_fake_peer_ended(void *context, struct bb_fleet_connection *f)
{
    struct fake_peer *h = context;

    bb_fleet_connection_close(f);
    h->connection = NULL;
}

static const struct bb_fleet_connection_events fake_peer_events = {
    .connected = on_fake_peer_connected,
    .message = on_fake_peer_message,
    .ended = on_fake_peer_ended};

/* Connects to a control host as another one. */
static void
fake_peer_open(struct fake_peer *h, struct cluster *c, uint32_t to,
               const char *ip, const char *zone)
{
    struct bb_address at = {.port = c->port};

    h->ip = ip;
    h->zone = zone;
    h->port = c->port;
    g_strlcpy(at.ip, c->ips[to], sizeof(at.ip));
    h->connection =
        bb_fleet_connection_open(&c->loop, &at, 500, &fake_peer_events, h);
}

/* Lets control hosts that are gone for good say hello to those that run, and
 * end their connections. */
static void
add_gone_hosts(struct cluster *c, uint32_t count, const char *zone)
{
    char ip[32];

    for (uint32_t i = 0; i < count; i++) {
        for (uint32_t to = 0; to < HOSTS; to++) {
            struct fake_peer h = {.disk_id = 1000 + i};

            (void)g_snprintf(ip, sizeof(ip), "127.0.8.%u", i + 1);
            fake_peer_open(&h, c, to, ip, zone);
            CU_ASSERT_TRUE(run_loop(c, &h.has_hosts, 1000));
            bb_fleet_connection_close(h.connection);
        }
    }
    run_loop(c, NULL, 50);
}

/* Guards against: a first start that never ends, as a seed is gone for good;
 * one by less than half of the seeds, or beside a host that has an entry. */
static void
test_seed_gone_at_first_start(void)
{
    struct cluster c;
    uint32_t stopped;

    create_cluster(&c, 0);
    start_core(&c, 0, true);
    CU_ASSERT_EQUAL(find_leader(&c, BB_CORE_BOOTSTRAP_WAIT_MS + 1000), -1);
    start_core(&c, 2, true);
    start_core(&c, 3, true);
    CU_ASSERT_EQUAL(propose_until_decided(&c, 0, 1, "first"),
                    BB_CORE_PROPOSAL_ACCEPTED);
    run_loop(&c, NULL, 1000);
    stopped = stop_leader(&c, 1000); /* three have it now */
    CU_ASSERT_EQUAL(propose_until_decided(&c, 1, 2, "second"),
                    BB_CORE_PROPOSAL_ACCEPTED);
    start_core(&c, stopped, false);
    run_loop(&c, NULL, 1000);
    replace_disk(&c, 0);
    start_core(&c, 0, true);
    run_loop(&c, NULL, BB_CORE_BOOTSTRAP_WAIT_MS + 1000);
    CU_ASSERT_EQUAL(propose_until_decided(&c, 2, 3, "third"),
                    BB_CORE_PROPOSAL_ACCEPTED);
    destroy_cluster(&c);
}

/* Guards against: control hosts that are gone for good and keep others out of
 * the set of voters, so that the second loss of one takes the majority. */
static void
test_many_replaced_hosts(void)
{
    struct cluster c;

    create_cluster(&c, HOSTS);
    CU_ASSERT_EQUAL(propose_until_decided(&c, 0, 1, "first"),
                    BB_CORE_PROPOSAL_ACCEPTED);
    add_gone_hosts(&c, 60, "z0");
    for (uint32_t lost = 0; lost < 2; lost++) {
        uint32_t voter = (uint32_t)find_leader(&c, 5000) == lost ? 2 : lost;

        stop_core(&c, voter);
        run_loop(&c, NULL, BB_VOTERS_REPLACE_AFTER_US / BB_US_PER_MS + 1000);
    }
    CU_ASSERT_EQUAL(propose_until_decided(&c, 1, 2, "second"),
                    BB_CORE_PROPOSAL_ACCEPTED);
    destroy_cluster(&c);
}

/* Guards against: a retried proposal that is refused although it was accepted,
 * two proposals with one base version that are both accepted, a read that
 * returns another configuration than the accepted one. */
static void
test_proposals(void)
{
    struct cluster c;
    struct operation_result result;

    create_cluster(&c, HOSTS);
    CU_ASSERT_EQUAL(propose_until_decided(&c, 0, 5, "first"),
                    BB_CORE_PROPOSAL_ACCEPTED);
    CU_ASSERT_EQUAL(propose_until_decided(&c, 0, 5, "first"),
                    BB_CORE_PROPOSAL_ACCEPTED);
    CU_ASSERT_EQUAL(propose_until_decided(&c, 0, 6, "other"),
                    BB_CORE_PROPOSAL_STALE);
    CU_ASSERT_EQUAL(propose_until_decided(&c, 5, 5, "same number"),
                    BB_CORE_PROPOSAL_STALE);
    CU_ASSERT_EQUAL(propose_until_decided(&c, 5, 9, "second"),
                    BB_CORE_PROPOSAL_ACCEPTED);
    CU_ASSERT_EQUAL(propose_until_decided(&c, 5, 9, "rival"),
                    BB_CORE_PROPOSAL_STALE);
    CU_ASSERT_EQUAL(propose_until_decided(&c, 0, 5, "first"),
                    BB_CORE_PROPOSAL_ACCEPTED);
    read_until_confirmed(&c, &result);
    CU_ASSERT_TRUE(result.is_confirmed);
    CU_ASSERT_STRING_EQUAL(result.text, "second");
    destroy_cluster(&c);
}

/* Guards against: two concurrent proposals with one base version that are both
 * accepted. */
static void
test_concurrent_proposals(void)
{
    struct cluster c;
    struct operation_result results[2] = {{0}, {0}};
    GBytes *raw[2] = {g_bytes_new("left", 4), g_bytes_new("right", 5)};
    int32_t leader;

    create_cluster(&c, HOSTS);
    CU_ASSERT_EQUAL(propose_until_decided(&c, 0, 1, "first"),
                    BB_CORE_PROPOSAL_ACCEPTED);
    leader = find_leader(&c, 5000);
    CU_ASSERT_TRUE_FATAL(leader >= 0);
    for (uint32_t i = 0; i < 2; i++) {
        bb_core_propose(c.cores[leader], 1, 2, raw[i], on_proposal_done,
                        &results[i]);
        g_bytes_unref(raw[i]);
    }
    (void)run_loop(&c, &results[0].is_done, 3000);
    (void)run_loop(&c, &results[1].is_done, 3000);
    CU_ASSERT_EQUAL(results[0].outcome, BB_CORE_PROPOSAL_ACCEPTED);
    CU_ASSERT_EQUAL(results[1].outcome, BB_CORE_PROPOSAL_STALE);
    destroy_cluster(&c);
}

/* Guards against: an accepted configuration that is lost when all hosts
 * restart at once, or when the leader stops right after it responded. */
static void
test_restarts(void)
{
    struct cluster c;
    struct operation_result result;

    create_cluster(&c, HOSTS);
    CU_ASSERT_EQUAL(propose_until_decided(&c, 0, 1, "first"),
                    BB_CORE_PROPOSAL_ACCEPTED);
    restart_cores(&c);
    read_until_confirmed(&c, &result);
    CU_ASSERT_STRING_EQUAL(result.text, "first");
    CU_ASSERT_EQUAL(propose_until_decided(&c, 1, 2, "second"),
                    BB_CORE_PROPOSAL_ACCEPTED);
    (void)stop_leader(&c, 5000);
    run_loop(&c, NULL, 30);
    read_until_confirmed(&c, &result);
    CU_ASSERT_STRING_EQUAL(result.text, "second");
    destroy_cluster(&c);
}

/* Guards against: a lost disk that stays a voter, and a cluster without a
 * majority after disks were lost one after the other. */
static void
test_lost_disks(void)
{
    struct cluster c;
    struct operation_result result;
    char text[16];

    create_cluster(&c, HOSTS);
    CU_ASSERT_EQUAL(propose_until_decided(&c, 0, 1, "v1"),
                    BB_CORE_PROPOSAL_ACCEPTED);
    for (uint64_t i = 0; i < 3; i++) {
        replace_disk(&c, (uint32_t)i);
        start_core(&c, (uint32_t)i, false);
        run_loop(&c, NULL, 1500);
        (void)g_snprintf(text, sizeof(text), "v%u", (unsigned)i + 2);
        CU_ASSERT_EQUAL(propose_until_decided(&c, i + 1, i + 2, text),
                        BB_CORE_PROPOSAL_ACCEPTED);
        run_loop(&c, NULL, 1500);
    }
    read_until_confirmed(&c, &result);
    CU_ASSERT_STRING_EQUAL(result.text, "v4");
    destroy_cluster(&c);
}

/* Guards against: a leader without a majority that accepts or refuses a
 * proposal, or responds to a read. */
static void
test_minority(void)
{
    struct cluster c;
    struct operation_result result = {0};
    int32_t leader;
    GBytes *raw = g_bytes_new("lone", 4);

    create_cluster(&c, SEEDS);
    CU_ASSERT_EQUAL(propose_until_decided(&c, 0, 1, "first"),
                    BB_CORE_PROPOSAL_ACCEPTED);
    leader = find_leader(&c, 5000);
    CU_ASSERT_TRUE_FATAL(leader >= 0);
    for (uint32_t i = 0; i < SEEDS; i++) {
        if ((int32_t)i != leader) {
            stop_core(&c, i);
            run_loop(&c, NULL, 30);
        }
    }
    bb_core_propose(c.cores[leader], 1, 2, raw, on_proposal_done, &result);
    g_bytes_unref(raw);
    CU_ASSERT_TRUE(run_loop(&c, &result.is_done, 5000));
    CU_ASSERT_NOT_EQUAL(result.outcome, BB_CORE_PROPOSAL_ACCEPTED);
    CU_ASSERT_NOT_EQUAL(result.outcome, BB_CORE_PROPOSAL_STALE);
    result = (struct operation_result){0};
    bb_core_read_config(c.cores[leader], on_read_done, &result);
    CU_ASSERT_TRUE(run_loop(&c, &result.is_done, 3000));
    CU_ASSERT_FALSE(result.is_confirmed);
    destroy_cluster(&c);
}

/* What the agent of a node has reported. */
struct node {
    uint64_t version;
    bool has_gone_back; /* a version was not higher than the one before */
    char text[64];
    uint32_t instances;
    uint32_t latest_instance_state;
    uint32_t own_instance_count;
    uint32_t own_instance_state;
    uint64_t own_instance_started_ms;
};

static void
on_config_updated(void *context, uint64_t version,
                  const struct bb_state_id *state, GBytes *raw)
{
    struct node *n = context;
    gsize size = 0;
    const char *text = g_bytes_get_data(raw, &size);

    CU_ASSERT_TRUE(state->commit_index != 0 && state->content_id != 0);
    n->has_gone_back = n->has_gone_back || version <= n->version;
    n->version = version;
    (void)g_snprintf(n->text, sizeof(n->text), "%.*s", (int)size, text);
}

static void
on_instance_updated(void *context, const fleet_instance *i)
{
    struct node *n = context;

    n->latest_instance_state = i->state;
    n->instances++;
}

static void
on_own_instance_received(void *context, const fleet_instance *own)
{
    struct node *n = context;

    n->own_instance_started_ms = own != NULL ? own->started_ms : 0;
    n->own_instance_state = own != NULL ? own->state : BB_INSTANCE_NONE;
    n->own_instance_count++;
}

static const struct bb_agent_events agent_events = {
    .config_updated = on_config_updated,
    .instance_updated = on_instance_updated,
    .own_instance_received = on_own_instance_received,
    .no_host_reachable = ignore_event};

/* Waits up to `ms` until a node has a version. Returns whether it has. */
static bool
wait_for_version(struct cluster *c, const struct node *n, uint64_t version,
                 uint32_t ms)
{
    uint64_t end_us = bb_clock_now_us() + (uint64_t)ms * BB_US_PER_MS;

    while (n->version < version && bb_clock_now_us() < end_us) {
        run_loop(c, NULL, STEP_MS);
    }
    return n->version == version;
}

/* Guards against: a node that misses a configuration, stays connected to a
 * host that stopped, or returns to an older version; announcements that do not
 * reach other nodes. */
static void
test_agent(void)
{
    struct cluster c;
    struct node nodes[2] = {{0}, {0}};
    struct bb_agent *agents[2];
    fleet_instance own = instance_record("z0", "127.0.7.50:1", "i");

    create_cluster(&c, HOSTS);
    for (uint32_t i = 0; i < 2; i++) {
        struct bb_agent_settings s =
            agent_settings(&c, i == 0 ? "z0" : "z1",
                           i == 0 ? "127.0.7.50:1" : "127.0.7.50:2");

        agents[i] = bb_agent_create(&c.loop, &s, &agent_events, &nodes[i]);
    }
    CU_ASSERT_EQUAL(propose_until_decided(&c, 0, 1, "first"),
                    BB_CORE_PROPOSAL_ACCEPTED);
    CU_ASSERT_TRUE(wait_for_version(&c, &nodes[0], 1, 3000));
    CU_ASSERT_TRUE(wait_for_version(&c, &nodes[1], 1, 3000));
    bb_agent_announce(agents[0], &own);
    run_loop(&c, NULL, 500);
    CU_ASSERT_EQUAL(nodes[1].instances, 1);
    stop_core(&c, 0); /* in the zone of the first node */
    run_loop(&c, NULL, 30);
    CU_ASSERT_EQUAL(propose_until_decided(&c, 1, 2, "second"),
                    BB_CORE_PROPOSAL_ACCEPTED);
    CU_ASSERT_TRUE(wait_for_version(&c, &nodes[0], 2, 4000));
    CU_ASSERT_STRING_EQUAL(nodes[0].text, "second");
    start_core(&c, 0, false);
    run_loop(&c, NULL, 1000);
    CU_ASSERT_EQUAL(propose_until_decided(&c, 2, 3, "third"),
                    BB_CORE_PROPOSAL_ACCEPTED);
    CU_ASSERT_TRUE(wait_for_version(&c, &nodes[0], 3, 4000));
    CU_ASSERT_FALSE(nodes[0].has_gone_back);
    bb_agent_destroy(agents[0]);
    bb_agent_destroy(agents[1]);
    destroy_cluster(&c);
}

/* Guards against: a node that tries only the control hosts of its own zone
 * that are gone for good, while those of other zones run. */
static void
test_node_of_replaced_hosts(void)
{
    struct cluster c;
    struct node n = {0};
    struct bb_agent *a;
    struct bb_agent_settings s;

    create_cluster(&c, HOSTS);
    s = agent_settings(&c, "z0", "127.0.7.50:1");
    a = bb_agent_create(&c.loop, &s, &agent_events, &n);
    CU_ASSERT_EQUAL(propose_until_decided(&c, 0, 1, "first"),
                    BB_CORE_PROPOSAL_ACCEPTED);
    CU_ASSERT_TRUE(wait_for_version(&c, &n, 1, 3000));
    add_gone_hosts(&c, 20, "z0");
    stop_core(&c, 0); /* in the zone of the node */
    CU_ASSERT_EQUAL(propose_until_decided(&c, 1, 2, "second"),
                    BB_CORE_PROPOSAL_ACCEPTED);
    CU_ASSERT_TRUE(wait_for_version(&c, &n, 2, 2500));
    bb_agent_destroy(a);
    destroy_cluster(&c);
}

/* Returns a text that does not compress well; the caller frees it. */
static char *
create_text(size_t size_bytes)
{
    GRand *random = g_rand_new_with_seed(1);
    char *text = g_malloc(size_bytes + 1);

    for (size_t i = 0; i < size_bytes; i++) {
        text[i] = (char)g_rand_int_range(random, ' ', '~');
    }
    text[size_bytes] = '\0';
    g_rand_free(random);
    return text;
}

/* Guards against: a configuration that is committed although no host can read
 * it, and the loss of one that is as large as allowed. */
static void
test_large_configurations(void)
{
    struct cluster c;
    struct node n = {0};
    struct bb_agent *a;
    char *text = create_text(BB_CONFIG_MAX_BYTES + 1);
    struct bb_agent_settings s;

    create_cluster(&c, HOSTS);
    s = agent_settings(&c, "z0", "g:1");
    CU_ASSERT_EQUAL(propose_until_decided(&c, 0, 1, "first"),
                    BB_CORE_PROPOSAL_ACCEPTED);
    CU_ASSERT_EQUAL(propose_until_decided(&c, 1, 2, text),
                    BB_CORE_PROPOSAL_TOO_LARGE);
    text[BB_CONFIG_MAX_BYTES] = '\0';
    CU_ASSERT_EQUAL(propose_until_decided(&c, 1, 2, text),
                    BB_CORE_PROPOSAL_ACCEPTED);
    restart_cores(&c);
    a = bb_agent_create(&c.loop, &s, &agent_events, &n);
    CU_ASSERT_TRUE(wait_for_version(&c, &n, 2, 10000));
    CU_ASSERT_EQUAL(strncmp(n.text, text, sizeof(n.text) - 1), 0);
    CU_ASSERT_EQUAL(propose_until_decided(&c, 2, 3, "third"),
                    BB_CORE_PROPOSAL_ACCEPTED);
    CU_ASSERT_TRUE(wait_for_version(&c, &n, 3, 10000));
    bb_agent_destroy(a);
    destroy_cluster(&c);
    g_free(text);
}

/* Guards against: a restarted node that does not receive the record that its
 * earlier run announced, or whose new record is discarded as older because the
 * wall clock went back in between. */
static void
test_restarted_node(void)
{
    struct cluster c;
    struct node first = {0};
    struct node second = {0};
    struct node other = {0};
    struct bb_agent_settings s;
    struct bb_agent_settings s_other;
    fleet_instance own = instance_record("z0", "g:1", "i");
    struct bb_agent *a;
    struct bb_agent *a_other;

    own.state = BB_INSTANCE_DRAINING;
    own.started_ms = 77;
    create_cluster(&c, HOSTS);
    s = agent_settings(&c, "z0", "g:1");
    s.start_wall_ms = 2000;
    s_other = agent_settings(&c, "z1", "g:2");
    a = bb_agent_create(&c.loop, &s, &agent_events, &first);
    a_other = bb_agent_create(&c.loop, &s_other, &agent_events, &other);
    run_loop(&c, NULL, 1000);
    /* Called even if there is no record. */
    CU_ASSERT_TRUE(first.own_instance_count > 0);
    CU_ASSERT_EQUAL(first.own_instance_state, BB_INSTANCE_NONE);
    bb_agent_announce(a, &own);
    run_loop(&c, NULL, 300);
    bb_agent_destroy(a);
    run_loop(&c, NULL, 50);
    s.start_wall_ms = 1000;
    a = bb_agent_create(&c.loop, &s, &agent_events, &second);
    run_loop(&c, NULL, 1000);
    CU_ASSERT_EQUAL(second.own_instance_state, BB_INSTANCE_DRAINING);
    CU_ASSERT_EQUAL(second.own_instance_started_ms, 77);
    other.instances = 0;
    own.started_ms = 78;
    own.state = BB_INSTANCE_READY;
    bb_agent_announce(a, &own);
    run_loop(&c, NULL, 300);
    CU_ASSERT_EQUAL(other.instances, 1);
    bb_agent_destroy(a);
    bb_agent_destroy(a_other);
    destroy_cluster(&c);
}

/* Guards against: a restarted node whose record other nodes discard as older,
 * as the wall clock went back, and the control hosts, which were all restarted
 * too, know of no earlier one. */
static void
test_restarted_node_and_hosts(void)
{
    struct cluster c;
    struct node nodes[2] = {{0}, {0}};
    struct bb_agent_settings s;
    struct bb_agent_settings s_other;
    fleet_instance own = instance_record("z0", "g:1", "i");
    struct bb_agent *a;
    struct bb_agent *a_other;

    own.state = BB_INSTANCE_GONE;
    create_cluster(&c, HOSTS);
    s = agent_settings(&c, "z0", "g:1");
    s.start_wall_ms = 2000;
    s_other = agent_settings(&c, "z1", "g:2");
    a = bb_agent_create(&c.loop, &s, &agent_events, &nodes[0]);
    a_other = bb_agent_create(&c.loop, &s_other, &agent_events, &nodes[1]);
    run_loop(&c, NULL, 1000);
    bb_agent_announce(a, &own);
    run_loop(&c, NULL, 300);
    CU_ASSERT_EQUAL(nodes[1].latest_instance_state, BB_INSTANCE_GONE);
    bb_agent_destroy(a);
    restart_cores(&c);
    s.start_wall_ms = 1000;
    own.state = BB_INSTANCE_READY;
    a = bb_agent_create(&c.loop, &s, &agent_events, &nodes[0]);
    bb_agent_announce(a, &own);
    run_loop(&c, NULL, 4000);
    CU_ASSERT_EQUAL(nodes[1].latest_instance_state, BB_INSTANCE_READY);
    bb_agent_destroy(a);
    bb_agent_destroy(a_other);
    destroy_cluster(&c);
}

/* A fake control host that sends two configurations, the older one last. */
struct fake_host {
    struct bb_fleet_connection *connection;
    bool is_sent;
};

static void
send_state(struct bb_fleet_connection *f, uint64_t commit_index,
           uint64_t version, const char *text)
{
    struct bb_content_store *content_store = bb_content_store_create();
    fleet_replicated_state s = {.config_version = version,
                                .config = {.config_len = (u_int)strlen(text),
                                           .config_val = (char *)text}};
    GBytes *encoded_state = bb_replicated_state_encode(&s);
    uint64_t content_id = bb_content_store_add(content_store, encoded_state);
    fleet_message m = {.kind = FLEET_UPDATE};

    m.fleet_message_u.update.commit_index = commit_index;
    CU_ASSERT_TRUE(bb_content_store_compress(
        content_store, content_id, 0, &m.fleet_message_u.update.content));
    CU_ASSERT_TRUE(bb_fleet_connection_send(f, &m));
    bb_compressed_content_clear(&m.fleet_message_u.update.content);
    g_bytes_unref(encoded_state);
    bb_content_store_destroy(content_store);
}

static void
send_newer_then_older(void *context, struct bb_fleet_connection *f,
                      fleet_message *m)
{
    struct fake_host *o = context;

    if (m->kind == FLEET_HELLO && !o->is_sent) {
        o->is_sent = true;
        send_state(f, 5, 2, "newer");
        send_state(f, 4, 1, "older");
    }
}

static void
on_connection_ended(void *context, struct bb_fleet_connection *f)
{
    struct fake_host *o = context;

    bb_fleet_connection_close(f);
    o->connection = NULL;
}

static const struct bb_fleet_connection_events fake_host_events = {
    .message = send_newer_then_older, .ended = on_connection_ended};

static void
on_accept(void *context, struct bb_stream *s)
{
    struct fake_host *o = context;

    bb_fleet_connection_close(o->connection);
    o->connection = bb_fleet_connection_accept(s, &fake_host_events, o);
}

/* Guards against: a node that returns to an older configuration because a
 * control host is behind. */
static void
test_older_update(void)
{
    struct cluster c;
    struct node n = {0};
    struct fake_host o = {0};
    struct bb_error e = {0};
    struct bb_address at = {0};
    struct bb_listener *l;
    struct bb_agent_settings s;
    struct bb_agent *a;

    create_cluster(&c, 0);
    s = agent_settings(&c, "z0", "g:1");
    s.seeds.count = 1;
    at.port = c.port;
    g_strlcpy(at.ip, c.ips[0], sizeof(at.ip));
    l = bb_listener_create(&c.loop, &at, on_accept, &o, &e);
    CU_ASSERT_PTR_NOT_NULL_FATAL(l);
    a = bb_agent_create(&c.loop, &s, &agent_events, &n);
    CU_ASSERT_TRUE(wait_for_version(&c, &n, 2, 2000));
    run_loop(&c, NULL, 100);
    CU_ASSERT_EQUAL(n.version, 2);
    CU_ASSERT_STRING_EQUAL(n.text, "newer");
    CU_ASSERT_FALSE(n.has_gone_back);
    bb_agent_destroy(a);
    bb_fleet_connection_close(o.connection);
    bb_listener_destroy(l);
    destroy_cluster(&c);
}

/* A fake control host that states whether it has a quorum. */
struct status_host {
    struct bb_fleet_connection *connection;
    struct bb_listener *listener;
    bool has_quorum;
    uint64_t connected_us; /* the first time; 0: not yet */
};

static void
send_hello_and_status(void *context, struct bb_fleet_connection *f,
                      fleet_message *m)
{
    struct status_host *o = context;
    fleet_message hello = {.kind = FLEET_HELLO};
    fleet_message status = {.kind = FLEET_STATUS};

    if (m->kind != FLEET_HELLO) {
        return;
    }
    if (o->connected_us == 0) {
        o->connected_us = bb_clock_now_us();
    }
    hello.fleet_message_u.hello.is_control = true;
    hello.fleet_message_u.hello.host = (fleet_host){
        .ip = (char *)"", .zone = (char *)"", .region = (char *)""};
    status.fleet_message_u.status.has_recent_quorum = o->has_quorum;
    CU_ASSERT_TRUE(bb_fleet_connection_send(f, &hello));
    CU_ASSERT_TRUE(bb_fleet_connection_send(f, &status));
}

static void
on_status_connection_ended(void *context, struct bb_fleet_connection *f)
{
    struct status_host *o = context;

    bb_fleet_connection_close(f);
    o->connection = NULL;
}

static const struct bb_fleet_connection_events status_host_events = {
    .message = send_hello_and_status, .ended = on_status_connection_ended};

static void
on_accept_status(void *context, struct bb_stream *s)
{
    struct status_host *o = context;

    bb_fleet_connection_close(o->connection);
    o->connection = bb_fleet_connection_accept(s, &status_host_events, o);
}

/* Guards against: a node that has left a control host without a quorum and
 * waits as long for the quorum of each further one, so that it uses an old
 * configuration meanwhile. */
static void
test_several_hosts_without_quorum(void)
{
    struct cluster c;
    struct status_host hosts[SEEDS] = {{0}};
    struct node n = {0};
    struct bb_error e = {0};
    struct bb_agent_settings s;
    struct bb_agent *a;
    uint64_t first_us = UINT64_MAX;

    create_cluster(&c, 0);
    s = agent_settings(&c, "z0", "g:1");
    for (uint32_t i = 0; i < SEEDS; i++) {
        struct bb_address at = {.port = c.port};

        g_strlcpy(at.ip, c.ips[i], sizeof(at.ip));
        hosts[i].listener =
            bb_listener_create(&c.loop, &at, on_accept_status, &hosts[i], &e);
        CU_ASSERT_PTR_NOT_NULL_FATAL(hosts[i].listener);
    }
    a = bb_agent_create(&c.loop, &s, &agent_events, &n);
    run_loop(&c, NULL, BB_AGENT_NO_QUORUM_TIMEOUT_MS + 700);
    for (uint32_t i = 0; i < SEEDS; i++) {
        CU_ASSERT_NOT_EQUAL(hosts[i].connected_us, 0);
        first_us = MIN(first_us, hosts[i].connected_us);
    }
    for (uint32_t i = 0; i < SEEDS; i++) {
        CU_ASSERT_TRUE(hosts[i].connected_us <
                       first_us + (BB_AGENT_NO_QUORUM_TIMEOUT_MS + 600) *
                                      (uint64_t)BB_US_PER_MS);
    }
    bb_agent_destroy(a);
    run_loop(&c, NULL, 50);
    for (uint32_t i = 0; i < SEEDS; i++) {
        bb_fleet_connection_close(hosts[i].connection);
        bb_listener_destroy(hosts[i].listener);
    }
    destroy_cluster(&c);
}

static void
ignore_data(void *context, const char *data, size_t n)
{
    (void)context;
    (void)data;
    (void)n;
}

static void
on_ended(void *context, int status)
{
    (void)status;
    *(bool *)context = true;
}

static const struct bb_stream_events raw_events = {.data = ignore_data,
                                                   .ended = on_ended};

/* Guards against: malformed input that stops a control host, or whose
 * connection stays open. */
static void
test_malformed_input(void)
{
    static const char *const garbage[] = {"\xff\xff\xff\xff",
                                          "\x00\x00\x00\x08garbage!",
                                          "GET / HTTP/1.1\r\n\r\n"};
    struct cluster c;

    create_cluster(&c, HOSTS);
    CU_ASSERT_EQUAL(propose_until_decided(&c, 0, 1, "first"),
                    BB_CORE_PROPOSAL_ACCEPTED);
    for (size_t i = 0; i < sizeof(garbage) / sizeof(garbage[0]); i++) {
        struct bb_address at = {.port = c.port};
        bool is_ended = false;
        struct bb_stream *s;

        g_strlcpy(at.ip, c.ips[0], sizeof(at.ip));
        s = bb_stream_connect(&c.loop, &at, 1000, &raw_events, &is_ended);
        /* The second text holds NULs: a length of 8, then 8 bytes. */
        bb_stream_write(s, garbage[i], i == 1 ? 12 : strlen(garbage[i]));
        CU_ASSERT_TRUE(run_loop(&c, &is_ended, 1000));
        bb_stream_close(s);
    }
    CU_ASSERT_EQUAL(propose_until_decided(&c, 1, 2, "second"),
                    BB_CORE_PROPOSAL_ACCEPTED);
    destroy_cluster(&c);
}

static void
close_garbled(void *context, int status)
{
    (void)status;
    bb_stream_close(context);
}

static const struct bb_stream_events garbled_events = {.data = ignore_data,
                                                       .ended = close_garbled};

/* A control host that sends text in place of messages. */
static void
on_accept_and_garble(void *context, struct bb_stream *s)
{
    uint32_t *count = context;

    bb_stream_set_events(s, &garbled_events, s);
    bb_stream_write(s, "\xff\xff\xff\xff garbage", 12);
    (*count)++;
}

/* Guards against: a node that ends, or no longer connects, as a control host
 * sends it malformed messages. */
static void
test_malformed_message_to_node(void)
{
    struct cluster c;
    struct node n = {0};
    uint32_t count = 0;
    struct bb_error e = {0};
    struct bb_address at = {0};
    struct bb_listener *l;
    struct bb_agent_settings s;
    struct bb_agent *a;

    create_cluster(&c, 0);
    s = agent_settings(&c, "z0", "g:1");
    s.seeds.count = 1;
    at.port = c.port;
    g_strlcpy(at.ip, c.ips[0], sizeof(at.ip));
    l = bb_listener_create(&c.loop, &at, on_accept_and_garble, &count, &e);
    CU_ASSERT_PTR_NOT_NULL_FATAL(l);
    a = bb_agent_create(&c.loop, &s, &agent_events, &n);
    run_loop(&c, NULL, 1500);
    CU_ASSERT_TRUE(count >= 2);
    CU_ASSERT_EQUAL(n.version, 0);
    bb_agent_destroy(a);
    run_loop(&c, NULL, 100);
    bb_listener_destroy(l);
    destroy_cluster(&c);
}

static void
on_written(void *context, bool is_written)
{
    *(int *)context = is_written ? 1 : -1;
}

static void
write_state_and_wait(struct cluster *c, struct bb_fleet_store *s,
                     uint64_t term)
{
    fleet_stored_state state = {.disk_id = 7, .term = term};
    int result = 0;

    CU_ASSERT_TRUE(bb_fleet_store_write(s, &state, on_written, &result));
    for (uint32_t i = 0; i < 500 && result == 0; i++) {
        run_loop(c, NULL, STEP_MS);
    }
    CU_ASSERT_EQUAL(result, 1);
}

/* Guards against: an incomplete write that makes the previous state
 * unreadable, too. */
static void
test_torn_file(void)
{
    struct cluster c;
    struct bb_error e = {0};
    fleet_stored_state read;
    bool has_state = true;
    struct bb_fleet_store *s;
    char path[128];
    int fd;

    create_cluster(&c, 0);
    s = bb_fleet_store_open(&c.loop, c.folders[0], &read, &has_state, &e);
    CU_ASSERT_PTR_NOT_NULL_FATAL(s);
    CU_ASSERT_FALSE(has_state);
    write_state_and_wait(&c, s, 1);
    write_state_and_wait(&c, s, 2);
    write_state_and_wait(&c, s, 3);
    bb_fleet_store_close(s);
    /* The third write replaced the file of the first. */
    (void)snprintf(path, sizeof(path), "%s/state.0", c.folders[0]);
    fd = open(path, O_WRONLY);
    /* Offset 40 lies behind the header of 24 bytes, which holds the hash. */
    CU_ASSERT_EQUAL(pwrite(fd, "torn", 4, 40), 4);
    (void)close(fd);
    s = bb_fleet_store_open(&c.loop, c.folders[0], &read, &has_state, &e);
    CU_ASSERT_TRUE(has_state);
    CU_ASSERT_EQUAL(read.term, 2);
    write_state_and_wait(&c, s, 4);
    bb_fleet_store_close(s);
    s = bb_fleet_store_open(&c.loop, c.folders[0], &read, &has_state, &e);
    CU_ASSERT_EQUAL(read.term, 4);
    bb_fleet_store_close(s);
    destroy_cluster(&c);
}

/* Returns the sent bytes of a kind of message at a distance, of all hosts. */
static uint64_t
sent_bytes(const char *kind, const char *distance)
{
    char *label =
        g_strdup_printf("kind=\"%s\",distance=\"%s\"", kind, distance);
    const struct bb_counter *counter =
        bb_counter_find("baobab_fleet_sent_bytes_total", label);

    g_free(label);
    CU_ASSERT_PTR_NOT_NULL_FATAL(counter);
    return bb_counter_get(counter);
}

/* Guards against: a node that gets its configuration and records from a far
 * control host, and once more from a near one: when all nodes return at once,
 * the few seeds would send them to all. */
static void
test_node_is_sent_to_nearer_host(void)
{
    struct cluster c;
    struct node n = {0};
    struct bb_agent_settings s;
    struct bb_agent *a;
    uint64_t far_bytes;
    uint64_t near_bytes;

    create_cluster(&c, HOSTS);
    s = agent_settings(&c, "z2", "g:1");
    s.seeds.count = 1; /* in zone z0 */
    CU_ASSERT_EQUAL(propose_until_decided(&c, 0, 1, "first"),
                    BB_CORE_PROPOSAL_ACCEPTED);
    run_loop(&c, NULL, 300);
    far_bytes = sent_bytes("update", "region");
    near_bytes = sent_bytes("update", "zone");
    a = bb_agent_create(&c.loop, &s, &agent_events, &n);
    CU_ASSERT_TRUE(wait_for_version(&c, &n, 1, BB_CORE_REDIRECT_WAIT_MS));
    run_loop(&c, NULL, 2 * BB_CORE_REDIRECT_WAIT_MS);
    CU_ASSERT_EQUAL(sent_bytes("update", "region"), far_bytes);
    CU_ASSERT_TRUE(sent_bytes("update", "zone") > near_bytes);
    bb_agent_destroy(a);
    destroy_cluster(&c);
}

/* Guards against: a node that gets nothing because a nearer control host is
 * listed for it, which it cannot reach. */
static void
test_node_stays_at_far_host(void)
{
    struct cluster c;
    struct node n = {0};
    struct bb_agent_settings s;
    struct fake_peer near = {0};
    struct bb_agent *a;

    create_cluster(&c, SEEDS - 1); /* none in zone z2 */
    start_core(&c, 3, true);
    s = agent_settings(&c, "z2", "g:1");
    s.seeds.count = 1;
    run_loop(&c, NULL, 300);
    fake_peer_open(&near, &c, 0, "127.0.7.99", "z2");
    run_loop(&c, NULL, 200);
    CU_ASSERT_TRUE(near.instance_messages > 0);
    a = bb_agent_create(&c.loop, &s, &agent_events, &n);
    run_loop(&c, NULL, 2500);
    CU_ASSERT_TRUE(n.own_instance_count > 0);
    bb_agent_destroy(a);
    bb_fleet_connection_close(near.connection);
    destroy_cluster(&c);
}

/* Guards against: a node that has an older configuration, left a control host
 * that is out of touch, and is sent back there without the newer one. */
static void
test_node_with_configuration_is_not_sent_on(void)
{
    struct cluster c;
    struct fake_peer near = {0};
    struct fake_peer node = {.is_node = true};

    create_cluster(&c, SEEDS);
    CU_ASSERT_EQUAL(propose_until_decided(&c, 0, 1, "first"),
                    BB_CORE_PROPOSAL_ACCEPTED);
    run_loop(&c, NULL, 300);
    fake_peer_open(&near, &c, 0, "127.0.7.99", "z9");
    run_loop(&c, NULL, 100);
    CU_ASSERT_TRUE(near.instance_messages > 0);
    fake_peer_open(&node, &c, 0, "127.0.7.50", "z9");
    CU_ASSERT_TRUE(
        run_loop(&c, &node.has_update, BB_CORE_REDIRECT_WAIT_MS / 2));
    /* A node reads nothing more once it knows of a nearer host. */
    CU_ASSERT_TRUE(node.had_update_before_hosts);
    bb_fleet_connection_close(near.connection);
    bb_fleet_connection_close(node.connection);
    destroy_cluster(&c);
}

/* Guards against: a record that each control host passes on to all others, so
 * that its copies grow with the square of their number. */
static void
test_records_are_sent_once(void)
{
    enum { RECORD_MAX_BYTES = 160 };
    struct cluster c;
    struct node nodes[2] = {{0}, {0}};
    struct bb_agent *agents[2];
    fleet_instance own = instance_record("z0", "g:1", "i");
    uint64_t bytes;

    create_cluster(&c, HOSTS);
    for (uint32_t i = 0; i < 2; i++) {
        struct bb_agent_settings s =
            agent_settings(&c, i == 0 ? "z0" : "z1", i == 0 ? "g:1" : "g:2");

        agents[i] = bb_agent_create(&c.loop, &s, &agent_events, &nodes[i]);
    }
    run_loop(&c, NULL, 1500);
    bytes = sent_bytes("instances", "region");
    bb_agent_announce(agents[0], &own);
    run_loop(&c, NULL, 500);
    CU_ASSERT_EQUAL(nodes[1].instances, 1);
    bytes = sent_bytes("instances", "region") - bytes;
    CU_ASSERT_TRUE(bytes > 0);
    CU_ASSERT_TRUE(bytes <= (HOSTS - 1) * RECORD_MAX_BYTES);
    bb_agent_destroy(agents[0]);
    bb_agent_destroy(agents[1]);
    destroy_cluster(&c);
}

/* Guards against: a record that a node misses as it changes between the list
 * that the node gets when it connects and the next batch of changes. */
static void
test_records_while_nodes_connect(void)
{
    enum { NODES = 6 };
    struct cluster c;
    struct node nodes[NODES] = {{0}};
    struct bb_agent *agents[NODES];
    char gates[NODES][8];

    create_cluster(&c, SEEDS);
    run_loop(&c, NULL, 500);
    for (uint32_t i = 0; i < NODES; i++) {
        fleet_instance own = instance_record("z0", gates[i], gates[i]);
        struct bb_agent_settings s = agent_settings(&c, "z0", gates[i]);

        (void)snprintf(gates[i], sizeof(gates[i]), "g:%u", i);
        agents[i] = bb_agent_create(&c.loop, &s, &agent_events, &nodes[i]);
        bb_agent_announce(agents[i], &own);
        run_loop(&c, NULL, BB_CORE_INSTANCE_BATCH_MS / 4);
    }
    run_loop(&c, NULL, BB_CORE_DIGEST_QUIET_MS / 2);
    for (uint32_t i = 0; i < NODES; i++) {
        CU_ASSERT_EQUAL(nodes[i].instances, NODES - 1);
        bb_agent_destroy(agents[i]);
    }
    destroy_cluster(&c);
}

/* Guards against: a record that a control host has missed and never gets, as
 * the others do not pass it on. */
static void
test_missed_records(void)
{
    struct cluster c;
    struct fake_peer other = {0};
    fleet_message m = {.kind = FLEET_DIGEST};

    create_cluster(&c, HOSTS);
    run_loop(&c, NULL, 500);
    fake_peer_open(&other, &c, 0, "127.0.7.99", "z9");
    run_loop(&c, NULL, BB_CORE_DIGEST_QUIET_MS + 200);
    CU_ASSERT_EQUAL(other.instance_messages, 1);
    m.fleet_message_u.digest = 0;
    (void)bb_fleet_connection_send(other.connection, &m);
    run_loop(&c, NULL, 100);
    CU_ASSERT_EQUAL(other.instance_messages, 1); /* it has none either */
    m.fleet_message_u.digest = 1;
    (void)bb_fleet_connection_send(other.connection, &m);
    run_loop(&c, NULL, 100);
    CU_ASSERT_EQUAL(other.instance_messages, 2);
    run_loop(&c, NULL, BB_CORE_DIGEST_INTERVAL_MS);
    CU_ASSERT_TRUE(other.digests > 0);
    bb_fleet_connection_close(other.connection);
    destroy_cluster(&c);
}

/* Bytes of the messages of quotas that were sent, of all distances. */
static uint64_t
quota_bytes(void)
{
    static const char *const kinds[] = {"quota_usage", "quota_totals",
                                        "quota_ratios"};
    static const char *const distances[] = {"zone", "region", "other_region"};
    uint64_t sum = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        for (size_t k = 0; k < G_N_ELEMENTS(distances); k++) {
            sum += sent_bytes(kinds[i], distances[k]);
        }
    }
    return sum;
}

/* Sends requests of a team at a node for a time; returns how many of them were
 * admitted. */
static uint32_t
use_quota(struct cluster *c, struct bb_quota_node *q, uint32_t per_10_ms,
          uint32_t ms)
{
    uint32_t admitted = 0;
    uint32_t retry_ms;

    for (uint32_t i = 0; i < ms / 10; i++) {
        for (uint32_t k = 0; k < per_10_ms; k++) {
            admitted +=
                bb_quota_node_admit(q, 77, 20000, 20, bb_random_global_u64(),
                                    bb_clock_boot_now_us(), &retry_ms);
        }
        run_loop(c, NULL, 10);
    }
    return admitted;
}

/* Guards against: usage that does not reach the nodes of other control hosts,
 * a ratio that does not end, messages while no team has a quota, and a node
 * that lets everything pass once its control hosts are gone. */
static void
test_quotas(void)
{
    struct cluster c;
    struct node nodes[2] = {{0}, {0}};
    struct bb_agent *agents[2];
    struct bb_quota_node *quotas[2];
    char gates[2][8] = {"g:1", "g:2"};
    char zones[2][8] = {"z0", "z1"};
    uint64_t before = quota_bytes();

    create_cluster(&c, HOSTS);
    for (uint32_t i = 0; i < 2; i++) {
        fleet_instance own = instance_record(zones[i], gates[i], "i");
        struct bb_agent_settings s = agent_settings(&c, zones[i], gates[i]);

        quotas[i] = bb_quota_node_create(bb_clock_boot_now_us());
        s.quota = quotas[i];
        agents[i] = bb_agent_create(&c.loop, &s, &agent_events, &nodes[i]);
        bb_agent_announce(agents[i], &own);
    }
    run_loop(&c, NULL, 3000);
    CU_ASSERT_EQUAL(quota_bytes(), before);
    CU_ASSERT_TRUE(use_quota(&c, quotas[0], 2, 1500) < 130);
    /* The other node has not sent a request yet. */
    CU_ASSERT_TRUE(use_quota(&c, quotas[1], 1, 500) < 40);
    run_loop(&c, NULL, 4000);
    CU_ASSERT_EQUAL(use_quota(&c, quotas[1], 1, 100), 10);
    for (uint32_t i = 0; i < HOSTS; i++) {
        stop_core(&c, i);
        run_loop(&c, NULL, 30);
    }
    run_loop(&c, NULL, BB_QUOTA_SILENCE_MS);
    CU_ASSERT_TRUE(use_quota(&c, quotas[0], 2, 1000) < 40);
    for (uint32_t i = 0; i < 2; i++) {
        bb_agent_destroy(agents[i]);
    }
    destroy_cluster(&c);
    for (uint32_t i = 0; i < 2; i++) {
        bb_quota_node_destroy(quotas[i]);
    }
}

/* Guards against: messages larger than docs/design/quotas.md states, from
 * which it computes the traffic. */
static void
test_quota_message_sizes(void)
{
    fleet_quota_usage usage[4] = {{0}};
    fleet_quota_ratio ratios[4] = {{0}};
    fleet_message m = {.kind = FLEET_QUOTA_USAGE};
    struct bb_fleet_frame *frame;

    m.fleet_message_u.quota_usage.quota_usage_val = usage;
    m.fleet_message_u.quota_usage.quota_usage_len = 4;
    frame = bb_fleet_frame_create(&m);
    CU_ASSERT_EQUAL(frame->bytes->len, 12 + 4 * 24);
    bb_fleet_frame_destroy(frame);
    m = (fleet_message){.kind = FLEET_QUOTA_TOTALS};
    m.fleet_message_u.quota_totals.teams.teams_val = usage;
    m.fleet_message_u.quota_totals.teams.teams_len = 4;
    frame = bb_fleet_frame_create(&m);
    CU_ASSERT_EQUAL(frame->bytes->len, 16 + 4 * 24);
    bb_fleet_frame_destroy(frame);
    m = (fleet_message){.kind = FLEET_QUOTA_RATIOS};
    m.fleet_message_u.quota_ratios.quota_ratios_val = ratios;
    m.fleet_message_u.quota_ratios.quota_ratios_len = 4;
    frame = bb_fleet_frame_create(&m);
    CU_ASSERT_EQUAL(frame->bytes->len, 12 + 4 * 12);
    bb_fleet_frame_destroy(frame);
}

static const struct bb_unit_test tests[] = {
    {"quotas", test_quotas},
    {"sizes of quota messages", test_quota_message_sizes},
    {"proposals", test_proposals},
    {"concurrent proposals", test_concurrent_proposals},
    {"restarts", test_restarts},
    {"lost disks", test_lost_disks},
    {"minority leader", test_minority},
    {"seed gone at the first start", test_seed_gone_at_first_start},
    {"many replaced hosts", test_many_replaced_hosts},
    {"agent", test_agent},
    {"node of replaced hosts", test_node_of_replaced_hosts},
    {"large configurations", test_large_configurations},
    {"restarted node", test_restarted_node},
    {"restarted node and hosts", test_restarted_node_and_hosts},
    {"several hosts without a quorum", test_several_hosts_without_quorum},
    {"malformed input", test_malformed_input},
    {"malformed message to a node", test_malformed_message_to_node},
    {"torn file", test_torn_file},
    {"node is sent to a nearer host", test_node_is_sent_to_nearer_host},
    {"node stays at a far host", test_node_stays_at_far_host},
    {"node with a configuration is not sent on",
     test_node_with_configuration_is_not_sent_on},
    {"records are sent once", test_records_are_sent_once},
    {"records while nodes connect", test_records_while_nodes_connect},
    {"missed records", test_missed_records},
    {"older update", test_older_update},
};

BB_UNIT_MAIN("fleet", tests)
