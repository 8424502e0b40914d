/* Control hosts and a node's agent on loopback addresses, with real disks. */
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "common/clock.h"
#include "fleet/agent.h"
#include "fleet/content.h"
#include "fleet/core.h"
#include "fleet/frame.h"
#include "fleet/store.h"
#include "net/stream.h"
#include "unit.h"

enum { HOSTS = 4, SEEDS = 3, STEP_MS = 2 };

struct bench {
    uv_loop_t loop;
    char folder[64];
    uint16_t port;
    struct bb_core *cores[HOSTS];
    char ips[HOSTS][32];
    char folders[HOSTS][96];
};

struct answer {
    bool is_done;
    enum bb_order_outcome outcome;
    uint64_t newest;
    bool is_sure;
    char text[256];
};

static void
end_wait(uv_timer_t *t)
{
    *(bool *)t->data = true;
}

/* Runs the loop for a time, or until the flag is set. */
static bool
run(struct bench *b, const bool *flag, uint32_t ms)
{
    uv_timer_t *t = g_new0(uv_timer_t, 1);
    bool is_over = false;

    (void)uv_timer_init(&b->loop, t);
    t->data = &is_over;
    (void)uv_timer_start(t, end_wait, ms, 0);
    while (!is_over && (flag == NULL || !*flag)) {
        (void)uv_run(&b->loop, UV_RUN_ONCE);
    }
    uv_close((uv_handle_t *)t, (uv_close_cb)g_free);
    return flag != NULL && *flag;
}

static struct bb_address_list
seeds(const struct bench *b)
{
    struct bb_address_list list = {.count = SEEDS};

    for (uint32_t i = 0; i < SEEDS; i++) {
        g_strlcpy(list.items[i].ip, b->ips[i], sizeof(list.items[i].ip));
        list.items[i].port = 1; /* of operators; not used here */
    }
    return list;
}

static void
start_core(struct bench *b, uint32_t i, bool may_form)
{
    char zone[8];
    struct bb_core_settings s = {.ip = b->ips[i],
                                 .zone = zone,
                                 .region = "r",
                                 .data_folder = b->folders[i],
                                 .seeds = seeds(b),
                                 .may_form = may_form,
                                 .voters = 3};
    struct bb_error e = {0};

    (void)g_snprintf(zone, sizeof(zone), "z%u", i);
    g_strlcpy(s.peers.ip, b->ips[i], sizeof(s.peers.ip));
    s.peers.port = b->port;
    s.operators = s.peers;
    b->cores[i] = bb_core_create(&b->loop, &s, &e);
    if (b->cores[i] == NULL) {
        (void)printf("core %u: %s\n", i, e.message);
    }
}

static void
stop_core(struct bench *b, uint32_t i)
{
    bb_core_destroy(b->cores[i]);
    b->cores[i] = NULL;
    run(b, NULL, 30);
}

static void
wipe_core(struct bench *b, uint32_t i)
{
    static uint32_t count;

    stop_core(b, i);
    (void)g_snprintf(b->folders[i], sizeof(b->folders[i]), "%s/new-%u",
                     b->folder, ++count);
}

static void
open_bench(struct bench *b, uint32_t hosts)
{
    memset(b, 0, sizeof(*b));
    (void)signal(SIGPIPE, SIG_IGN); /* as the programs do */
    (void)uv_loop_init(&b->loop);
    (void)g_snprintf(b->folder, sizeof(b->folder), "%s/bb-fleet-XXXXXX",
                     g_get_tmp_dir());
    (void)g_mkdtemp(b->folder);
    b->port = (uint16_t)(20000 + g_random_int_range(0, 40000));
    for (uint32_t i = 0; i < HOSTS; i++) {
        (void)g_snprintf(b->ips[i], sizeof(b->ips[i]), "127.0.7.%u", i + 1);
        (void)g_snprintf(b->folders[i], sizeof(b->folders[i]), "%s/%u",
                         b->folder, i);
    }
    for (uint32_t i = 0; i < hosts; i++) {
        start_core(b, i, true);
    }
}

static void
close_handle(uv_handle_t *h, void *context)
{
    (void)context;
    if (!uv_is_closing(h)) {
        uv_close(h, NULL);
    }
}

static void
close_bench(struct bench *b)
{
    char command[128];

    for (uint32_t i = 0; i < HOSTS; i++) {
        bb_core_destroy(b->cores[i]);
    }
    run(b, NULL, 50);
    uv_walk(&b->loop, close_handle, NULL);
    (void)uv_run(&b->loop, UV_RUN_DEFAULT);
    (void)uv_loop_close(&b->loop);
    (void)snprintf(command, sizeof(command), "rm -rf %s", b->folder);
    CU_ASSERT_EQUAL(system(command), 0);
}

/* Returns the host that leads and has a majority, after a wait if needed. */
static int32_t
find_leader(struct bench *b, uint32_t ms)
{
    uint64_t end_us = bb_clock_now_us() + (uint64_t)ms * BB_US_PER_MS;

    while (bb_clock_now_us() < end_us) {
        for (uint32_t i = 0; i < HOSTS; i++) {
            struct bb_address at;
            bool is_self = false;

            if (b->cores[i] != NULL &&
                bb_core_leader(b->cores[i], &at, &is_self) && is_self) {
                return (int32_t)i;
            }
        }
        run(b, NULL, STEP_MS);
    }
    return -1;
}

static void
take_order(void *context, enum bb_order_outcome outcome, uint64_t newest)
{
    struct answer *a = context;

    a->is_done = true;
    a->outcome = outcome;
    a->newest = newest;
}

/* Sends an order to the leader, again and again until the answer is clear. */
static enum bb_order_outcome
order(struct bench *b, uint64_t base, uint64_t version, const char *text)
{
    struct answer a = {0};

    for (uint32_t i = 0; i < 20; i++) {
        int32_t leader = find_leader(b, 5000);
        GBytes *raw = g_bytes_new(text, strlen(text));

        a = (struct answer){0};
        if (leader >= 0) {
            bb_core_submit(b->cores[leader], base, version, raw, take_order,
                           &a);
            (void)run(b, &a.is_done, 4000);
            if (!a.is_done) {
                bb_core_cancel(b->cores[leader], &a);
            }
        }
        g_bytes_unref(raw);
        if (a.is_done &&
            (a.outcome == BB_ORDER_ACCEPTED || a.outcome == BB_ORDER_STALE)) {
            return a.outcome;
        }
        run(b, NULL, 100);
    }
    return BB_ORDER_UNKNOWN;
}

static void
take_read(void *context, bool is_sure, GBytes *raw)
{
    struct answer *a = context;
    gsize size = 0;
    const char *text = raw != NULL ? g_bytes_get_data(raw, &size) : "";

    a->is_done = true;
    a->is_sure = is_sure;
    (void)g_snprintf(a->text, sizeof(a->text), "%.*s", (int)size, text);
}

/* Reads from the leader. */
static void
read_back(struct bench *b, struct answer *a)
{
    for (uint32_t i = 0; i < 20; i++) {
        int32_t leader = find_leader(b, 5000);

        *a = (struct answer){0};
        if (leader >= 0) {
            bb_core_read(b->cores[leader], take_read, a);
            (void)run(b, &a->is_done, 2000);
        }
        if (a->is_sure) {
            return;
        }
        run(b, NULL, 100);
    }
}

/* Guards against: an accepted order refused when it is sent again, two orders
 * on one version both accepted, a read that is not what was sent. */
static void
test_orders(void)
{
    struct bench b;
    struct answer a;

    open_bench(&b, HOSTS);
    CU_ASSERT_EQUAL(order(&b, 0, 5, "first"), BB_ORDER_ACCEPTED);
    CU_ASSERT_EQUAL(order(&b, 0, 5, "first"), BB_ORDER_ACCEPTED);
    CU_ASSERT_EQUAL(order(&b, 0, 6, "other"), BB_ORDER_STALE);
    CU_ASSERT_EQUAL(order(&b, 5, 5, "same number"), BB_ORDER_STALE);
    CU_ASSERT_EQUAL(order(&b, 5, 9, "second"), BB_ORDER_ACCEPTED);
    CU_ASSERT_EQUAL(order(&b, 5, 9, "rival"), BB_ORDER_STALE);
    CU_ASSERT_EQUAL(order(&b, 0, 5, "first"), BB_ORDER_ACCEPTED);
    read_back(&b, &a);
    CU_ASSERT_TRUE(a.is_sure);
    CU_ASSERT_STRING_EQUAL(a.text, "second");
    close_bench(&b);
}

/* Guards against: two races on one version with two winners. */
static void
test_race(void)
{
    struct bench b;
    struct answer a[2] = {{0}, {0}};
    GBytes *raw[2] = {g_bytes_new("left", 4), g_bytes_new("right", 5)};
    int32_t leader;

    open_bench(&b, HOSTS);
    CU_ASSERT_EQUAL(order(&b, 0, 1, "first"), BB_ORDER_ACCEPTED);
    leader = find_leader(&b, 5000);
    CU_ASSERT_TRUE_FATAL(leader >= 0);
    for (uint32_t i = 0; i < 2; i++) {
        bb_core_submit(b.cores[leader], 1, 2, raw[i], take_order, &a[i]);
        g_bytes_unref(raw[i]);
    }
    (void)run(&b, &a[0].is_done, 3000);
    (void)run(&b, &a[1].is_done, 3000);
    CU_ASSERT_EQUAL(a[0].outcome, BB_ORDER_ACCEPTED);
    CU_ASSERT_EQUAL(a[1].outcome, BB_ORDER_STALE);
    close_bench(&b);
}

/* Guards against: what was accepted lost when all hosts end at once, or when
 * the leader ends right after the answer. */
static void
test_restarts(void)
{
    struct bench b;
    struct answer a;
    int32_t leader;

    open_bench(&b, HOSTS);
    CU_ASSERT_EQUAL(order(&b, 0, 1, "first"), BB_ORDER_ACCEPTED);
    for (uint32_t i = 0; i < HOSTS; i++) {
        stop_core(&b, i);
    }
    for (uint32_t i = 0; i < HOSTS; i++) {
        start_core(&b, i, false);
    }
    read_back(&b, &a);
    CU_ASSERT_STRING_EQUAL(a.text, "first");
    CU_ASSERT_EQUAL(order(&b, 1, 2, "second"), BB_ORDER_ACCEPTED);
    leader = find_leader(&b, 5000);
    CU_ASSERT_TRUE_FATAL(leader >= 0);
    stop_core(&b, (uint32_t)leader);
    read_back(&b, &a);
    CU_ASSERT_STRING_EQUAL(a.text, "second");
    close_bench(&b);
}

/* Guards against: a lost disk that keeps its vote, and a register that stands
 * still after disks were lost one after the other. */
static void
test_lost_disks(void)
{
    struct bench b;
    struct answer a;
    char text[16];

    open_bench(&b, HOSTS);
    CU_ASSERT_EQUAL(order(&b, 0, 1, "v1"), BB_ORDER_ACCEPTED);
    for (uint64_t i = 0; i < 3; i++) {
        wipe_core(&b, (uint32_t)i);
        start_core(&b, (uint32_t)i, false);
        run(&b, NULL, 1500);
        (void)g_snprintf(text, sizeof(text), "v%u", (unsigned)i + 2);
        CU_ASSERT_EQUAL(order(&b, i + 1, i + 2, text), BB_ORDER_ACCEPTED);
        run(&b, NULL, 1500);
    }
    read_back(&b, &a);
    CU_ASSERT_STRING_EQUAL(a.text, "v4");
    close_bench(&b);
}

/* Guards against: an answer to orders or reads by a minority. */
static void
test_minority(void)
{
    struct bench b;
    struct answer a = {0};
    int32_t leader;
    GBytes *raw = g_bytes_new("lone", 4);

    open_bench(&b, SEEDS);
    CU_ASSERT_EQUAL(order(&b, 0, 1, "first"), BB_ORDER_ACCEPTED);
    leader = find_leader(&b, 5000);
    CU_ASSERT_TRUE_FATAL(leader >= 0);
    for (uint32_t i = 0; i < SEEDS; i++) {
        if ((int32_t)i != leader) {
            stop_core(&b, i);
        }
    }
    bb_core_submit(b.cores[leader], 1, 2, raw, take_order, &a);
    g_bytes_unref(raw);
    CU_ASSERT_TRUE(run(&b, &a.is_done, 5000));
    CU_ASSERT_NOT_EQUAL(a.outcome, BB_ORDER_ACCEPTED);
    CU_ASSERT_NOT_EQUAL(a.outcome, BB_ORDER_STALE);
    a = (struct answer){0};
    bb_core_read(b.cores[leader], take_read, &a);
    CU_ASSERT_TRUE(run(&b, &a.is_done, 3000));
    CU_ASSERT_FALSE(a.is_sure);
    close_bench(&b);
}

struct node {
    uint64_t version;
    bool has_gone_back;
    char text[64];
    uint32_t instances;
    uint32_t recalls;
    uint32_t recalled_state;
    uint64_t recalled_born_ms;
};

static void
take_rules(void *context, uint64_t version, GBytes *raw)
{
    struct node *n = context;
    gsize size = 0;
    const char *text = g_bytes_get_data(raw, &size);

    n->has_gone_back = n->has_gone_back || version <= n->version;
    n->version = version;
    (void)g_snprintf(n->text, sizeof(n->text), "%.*s", (int)size, text);
}

static void
take_instance(void *context, const fleet_instance *i)
{
    struct node *n = context;

    (void)i;
    n->instances++;
}

static void
take_recalled(void *context, const fleet_instance *earlier)
{
    struct node *n = context;

    n->recalled_born_ms = earlier != NULL ? earlier->born_ms : 0;
    n->recalled_state = earlier != NULL ? earlier->state : BB_INSTANCE_NONE;
    n->recalls++;
}

static void
take_lost(void *context)
{
    (void)context;
}

static const struct bb_agent_events agent_events = {.in_force = take_rules,
                                                    .instance = take_instance,
                                                    .recalled = take_recalled,
                                                    .lost = take_lost};

static bool
wait_version(struct bench *b, const struct node *n, uint64_t version,
             uint32_t ms)
{
    uint64_t end_us = bb_clock_now_us() + (uint64_t)ms * BB_US_PER_MS;

    while (n->version < version && bb_clock_now_us() < end_us) {
        run(b, NULL, STEP_MS);
    }
    return n->version == version;
}

/* Guards against: a node that misses a change, stays with a host that is gone,
 * or returns to an older version; announcements that do not reach others. */
static void
test_agent(void)
{
    struct bench b;
    struct node nodes[2] = {{0}, {0}};
    struct bb_agent *agents[2];
    fleet_instance own = {.gate = (char *)"127.0.7.50:1",
                          .zone = (char *)"z0",
                          .region = (char *)"r",
                          .service = (char *)"s",
                          .id = (char *)"i",
                          .state = BB_INSTANCE_READY,
                          .slots = 3};

    open_bench(&b, HOSTS);
    for (uint32_t i = 0; i < 2; i++) {
        struct bb_agent_settings s = {.ip = "127.0.7.50",
                                      .zone = i == 0 ? "z0" : "z1",
                                      .region = "r",
                                      .gate = i == 0 ? "127.0.7.50:1"
                                                     : "127.0.7.50:2",
                                      .peer_port = b.port,
                                      .seeds = seeds(&b)};

        agents[i] = bb_agent_create(&b.loop, &s, &agent_events, &nodes[i]);
    }
    CU_ASSERT_EQUAL(order(&b, 0, 1, "first"), BB_ORDER_ACCEPTED);
    CU_ASSERT_TRUE(wait_version(&b, &nodes[0], 1, 3000));
    CU_ASSERT_TRUE(wait_version(&b, &nodes[1], 1, 3000));
    bb_agent_announce(agents[0], &own);
    run(&b, NULL, 500);
    CU_ASSERT_EQUAL(nodes[1].instances, 1);
    stop_core(&b, 0); /* that of the first node's zone */
    CU_ASSERT_EQUAL(order(&b, 1, 2, "second"), BB_ORDER_ACCEPTED);
    CU_ASSERT_TRUE(wait_version(&b, &nodes[0], 2, 4000));
    CU_ASSERT_STRING_EQUAL(nodes[0].text, "second");
    start_core(&b, 0, false);
    run(&b, NULL, 1000);
    CU_ASSERT_EQUAL(order(&b, 2, 3, "third"), BB_ORDER_ACCEPTED);
    CU_ASSERT_TRUE(wait_version(&b, &nodes[0], 3, 4000));
    CU_ASSERT_FALSE(nodes[0].has_gone_back);
    bb_agent_destroy(agents[0]);
    bb_agent_destroy(agents[1]);
    close_bench(&b);
}

/* Guards against: a restarted node that does not learn what its earlier run
 * said of the upstream, or whose own word is taken for older because the wall
 * clock went back in between. */
static void
test_recall(void)
{
    struct bench b;
    struct node first = {0};
    struct node second = {0};
    struct node other = {0};
    struct bb_agent_settings s = {
        .ip = "127.0.7.50", .zone = "z0", .region = "r", .gate = "g:1"};
    struct bb_agent_settings s_other = {
        .ip = "127.0.7.50", .zone = "z1", .region = "r", .gate = "g:2"};
    fleet_instance own = {.gate = (char *)"g:1",
                          .zone = (char *)"z0",
                          .region = (char *)"r",
                          .service = (char *)"s",
                          .id = (char *)"i",
                          .born_ms = 77,
                          .state = BB_INSTANCE_DRAINING,
                          .slots = 3};
    struct bb_agent *a;
    struct bb_agent *a_other;

    open_bench(&b, HOSTS);
    s.peer_port = b.port;
    s.started_ms = 2000;
    s_other.peer_port = b.port;
    s.seeds = seeds(&b);
    s_other.seeds = s.seeds;
    a = bb_agent_create(&b.loop, &s, &agent_events, &first);
    a_other = bb_agent_create(&b.loop, &s_other, &agent_events, &other);
    run(&b, NULL, 1000);
    CU_ASSERT_TRUE(first.recalls > 0); /* also when there is nothing */
    CU_ASSERT_EQUAL(first.recalled_state, BB_INSTANCE_NONE);
    bb_agent_announce(a, &own);
    run(&b, NULL, 300);
    bb_agent_destroy(a);
    run(&b, NULL, 50);
    s.started_ms = 1000;
    a = bb_agent_create(&b.loop, &s, &agent_events, &second);
    run(&b, NULL, 1000);
    CU_ASSERT_EQUAL(second.recalled_state, BB_INSTANCE_DRAINING);
    CU_ASSERT_EQUAL(second.recalled_born_ms, 77);
    other.instances = 0;
    own.born_ms = 78;
    own.state = BB_INSTANCE_READY;
    bb_agent_announce(a, &own);
    run(&b, NULL, 300);
    CU_ASSERT_EQUAL(other.instances, 1);
    bb_agent_destroy(a);
    bb_agent_destroy(a_other);
    close_bench(&b);
}

/* A control host that sends two configurations, the older one last. */
struct older {
    struct bb_frames *frames;
    bool is_sent;
};

static void
send_state(struct bb_frames *f, uint64_t revision, uint64_t version,
           const char *text)
{
    struct bb_contents *contents = bb_contents_create();
    fleet_state s = {.label = version,
                     .config = {.config_len = (u_int)strlen(text),
                                .config_val = (char *)text}};
    GBytes *raw = bb_state_encode(&s);
    uint64_t content = bb_contents_add(contents, raw);
    fleet_message m = {.kind = FLEET_CONTENT};

    m.fleet_message_u.update.revision = revision;
    CU_ASSERT_TRUE(bb_contents_pack(contents, content, 0,
                                    &m.fleet_message_u.update.content));
    CU_ASSERT_TRUE(bb_frames_send(f, &m));
    bb_content_clear(&m.fleet_message_u.update.content);
    g_bytes_unref(raw);
    bb_contents_destroy(contents);
}

static void
answer_node(void *context, struct bb_frames *f, fleet_message *m)
{
    struct older *o = context;

    if (m->kind == FLEET_HELLO && !o->is_sent) {
        o->is_sent = true;
        send_state(f, 5, 2, "newer");
        send_state(f, 4, 1, "older");
    }
}

static void
note_frames_end(void *context, struct bb_frames *f)
{
    struct older *o = context;

    bb_frames_close(f);
    o->frames = NULL;
}

static const struct bb_frames_events older_events = {.message = answer_node,
                                                     .ended = note_frames_end};

static void
accept_node(void *context, struct bb_stream *s)
{
    struct older *o = context;

    bb_frames_close(o->frames);
    o->frames = bb_frames_accept(s, &older_events, o);
}

/* Guards against: a control host that is behind taking a node back. */
static void
test_older_update(void)
{
    struct bench b;
    struct node n = {0};
    struct older o = {0};
    struct bb_error e = {0};
    struct bb_address at = {0};
    struct bb_listener *l;
    struct bb_agent_settings s = {
        .ip = "127.0.7.50", .zone = "z0", .region = "r", .gate = "g:1"};
    struct bb_agent *a;

    open_bench(&b, 0);
    s.peer_port = b.port;
    s.seeds = seeds(&b);
    s.seeds.count = 1;
    at.port = b.port;
    g_strlcpy(at.ip, b.ips[0], sizeof(at.ip));
    l = bb_listener_create(&b.loop, &at, accept_node, &o, &e);
    CU_ASSERT_PTR_NOT_NULL_FATAL(l);
    a = bb_agent_create(&b.loop, &s, &agent_events, &n);
    CU_ASSERT_TRUE(wait_version(&b, &n, 2, 2000));
    run(&b, NULL, 100);
    CU_ASSERT_EQUAL(n.version, 2);
    CU_ASSERT_STRING_EQUAL(n.text, "newer");
    CU_ASSERT_FALSE(n.has_gone_back);
    bb_agent_destroy(a);
    bb_frames_close(o.frames);
    bb_listener_destroy(l);
    close_bench(&b);
}

static void
ignore_data(void *context, const char *data, size_t n)
{
    (void)context;
    (void)data;
    (void)n;
}

static void
note_end(void *context, int status)
{
    (void)status;
    *(bool *)context = true;
}

static const struct bb_stream_events raw_events = {.data = ignore_data,
                                                   .ended = note_end};

/* Guards against: bytes that are no message ending a host or being kept. */
static void
test_garbage(void)
{
    static const char *const garbage[] = {"\xff\xff\xff\xff",
                                          "\x00\x00\x00\x08garbage!",
                                          "GET / HTTP/1.1\r\n\r\n"};
    struct bench b;

    open_bench(&b, HOSTS);
    CU_ASSERT_EQUAL(order(&b, 0, 1, "first"), BB_ORDER_ACCEPTED);
    for (size_t i = 0; i < sizeof(garbage) / sizeof(garbage[0]); i++) {
        struct bb_address at = {.port = b.port};
        bool is_ended = false;
        struct bb_stream *s;

        g_strlcpy(at.ip, b.ips[0], sizeof(at.ip));
        s = bb_stream_connect(&b.loop, &at, 1000, &raw_events, &is_ended);
        bb_stream_write(s, garbage[i], i == 1 ? 12 : strlen(garbage[i]));
        CU_ASSERT_TRUE(run(&b, &is_ended, 1000));
        bb_stream_close(s);
    }
    CU_ASSERT_EQUAL(order(&b, 1, 2, "second"), BB_ORDER_ACCEPTED);
    close_bench(&b);
}

static void
note_written(void *context, bool is_written)
{
    *(int *)context = is_written ? 1 : -1;
}

static void
write_state(struct bench *b, struct bb_fleet_store *s, uint64_t term)
{
    fleet_stored state = {.disk = 7, .term = term};
    int result = 0;

    CU_ASSERT_TRUE(bb_fleet_store_write(s, &state, note_written, &result));
    for (uint32_t i = 0; i < 500 && result == 0; i++) {
        run(b, NULL, STEP_MS);
    }
    CU_ASSERT_EQUAL(result, 1);
}

/* Guards against: a torn write that takes the state before it along. */
static void
test_torn_file(void)
{
    struct bench b;
    struct bb_error e = {0};
    fleet_stored read;
    bool has_state = true;
    struct bb_fleet_store *s;
    char path[128];
    int fd;

    open_bench(&b, 0);
    s = bb_fleet_store_open(&b.loop, b.folders[0], &read, &has_state, &e);
    CU_ASSERT_PTR_NOT_NULL_FATAL(s);
    CU_ASSERT_FALSE(has_state);
    write_state(&b, s, 1);
    write_state(&b, s, 2);
    write_state(&b, s, 3);
    bb_fleet_store_close(s);
    /* The third write went to the file of the first. */
    (void)snprintf(path, sizeof(path), "%s/state.0", b.folders[0]);
    fd = open(path, O_WRONLY);
    CU_ASSERT_EQUAL(pwrite(fd, "torn", 4, 40), 4);
    (void)close(fd);
    s = bb_fleet_store_open(&b.loop, b.folders[0], &read, &has_state, &e);
    CU_ASSERT_TRUE(has_state);
    CU_ASSERT_EQUAL(read.term, 2);
    write_state(&b, s, 4);
    bb_fleet_store_close(s);
    s = bb_fleet_store_open(&b.loop, b.folders[0], &read, &has_state, &e);
    CU_ASSERT_EQUAL(read.term, 4);
    bb_fleet_store_close(s);
    close_bench(&b);
}

static const struct bb_unit_test tests[] = {
    {"orders", test_orders},       {"race", test_race},
    {"restarts", test_restarts},   {"lost disks", test_lost_disks},
    {"minority", test_minority},   {"agent", test_agent},
    {"recall", test_recall},       {"garbage", test_garbage},
    {"torn file", test_torn_file}, {"older update", test_older_update},
};

BB_UNIT_MAIN("fleet", tests)
