/* Tests of the gossip state machine on a simulated network with a virtual
 * clock: changes reach all members, a restarted member is rediscovered without
 * a control host, lost datagrams do not make a member look dead, and malformed
 * datagrams are refused. */
#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/random.h"
#include "mesh/gossip.h"
#include "unit.h"

enum {
    SEED = 3,
    INSTANCES_MAX = 24,
    QUEUE_MAX = 8192,
    PORT_BASE = 1000,
    /* Delay of each datagram and interval of ticks, which may be shorter than
     * BB_GOSSIP_TICK_INTERVAL_MS. */
    NETWORK_STEP_US = 5 * BB_US_PER_MS,
    /* Longer than a probe and the suspicion timeout together. */
    DEATH_DETECTION_US = 4 * BB_US_PER_S
};

_Static_assert(BB_GOSSIP_UNREACHABLE_AFTER_MS == 5000,
               "timeout that the tests were written for");

struct datagram {
    uint16_t from;
    uint16_t to;
    size_t size_bytes;
    char data[BB_GOSSIP_DATAGRAM_MAX_BYTES];
};

static struct {
    struct bb_random *random;
    struct bb_member_table *members[INSTANCES_MAX];
    struct bb_gossip *instances[INSTANCES_MAX];
    uint32_t count;
    uint32_t loss_percent;
    /* Instances from this index on reach only each other. */
    uint32_t partition_start;
    uint64_t now_us;
    struct datagram queue[QUEUE_MAX];
    uint32_t queued;
} net;

static void
queue_datagram(void *context, const struct bb_address *to, const void *data,
               size_t size_bytes)
{
    uint16_t from = *(uint16_t *)context;
    struct datagram *p = &net.queue[net.queued];

    CU_ASSERT_FATAL(size_bytes <= BB_GOSSIP_DATAGRAM_MAX_BYTES);
    if (bb_random_below(net.random, 100) < net.loss_percent ||
        net.queued == QUEUE_MAX) {
        return;
    }
    net.queued++;
    p->from = from;
    p->to = (uint16_t)(to->port - PORT_BASE);
    p->size_bytes = size_bytes;
    memcpy(p->data, data, size_bytes);
}

static struct bb_member
make_record(uint32_t i, uint64_t incarnation, const char *zone)
{
    struct bb_member r = {
        .gossip_address = {.ip = "127.0.0.1",
                           .port = (uint16_t)(PORT_BASE + i)},
        .incarnation = incarnation,
    };

    (void)snprintf(r.host, sizeof(r.host), "host-%u", i);
    (void)snprintf(r.zone, sizeof(r.zone), "%s", zone);
    (void)snprintf(r.region, sizeof(r.region), "region");
    return r;
}

static void
start_instance(uint32_t i, uint64_t incarnation, const char *zone)
{
    static uint16_t indices[INSTANCES_MAX];
    const struct bb_gossip_settings settings = {
        .members = net.members[i] = bb_member_table_create(),
        .self = make_record(i, incarnation, zone),
        .seed = SEED + i,
        .send = queue_datagram,
        .context = &indices[i],
    };

    indices[i] = (uint16_t)i;
    net.instances[i] = bb_gossip_create(&settings, net.now_us);
}

static void
stop_instance(uint32_t i)
{
    bb_gossip_destroy(net.instances[i]);
    bb_member_table_destroy(net.members[i]);
    net.instances[i] = NULL;
    net.members[i] = NULL;
}

static void
start_network(uint32_t count, uint32_t loss_percent)
{
    memset(&net, 0, sizeof(net));
    net.random = bb_random_create(SEED);
    net.count = count;
    net.loss_percent = loss_percent;
    net.now_us = BB_US_PER_S;
    for (uint32_t i = 0; i < count; i++) {
        const struct bb_member first = make_record(0, 1, "zone");

        start_instance(i, 1, "zone");
        (void)bb_member_table_merge(net.members[i], &first,
                                    BB_ORIGIN_SAME_REGION, 0);
    }
}

static void
stop_network(void)
{
    for (uint32_t i = 0; i < net.count; i++) {
        if (net.instances[i] != NULL) {
            stop_instance(i);
        }
    }
    bb_random_destroy(net.random);
}

/* Advances the clock and delivers the datagrams. Between the steps of a test
 * this gives the instances time to learn of a change. */
static void
run_for(uint64_t duration_us)
{
    uint64_t end_us = net.now_us + duration_us;

    for (; net.now_us < end_us; net.now_us += NETWORK_STEP_US) {
        for (uint32_t i = 0; i < net.queued; i++) {
            struct datagram p = net.queue[i];
            struct bb_address from = {.ip = "127.0.0.1",
                                      .port = (uint16_t)(PORT_BASE + p.from)};

            if (net.instances[p.to] != NULL &&
                (p.from >= net.partition_start) ==
                    (p.to >= net.partition_start)) {
                CU_ASSERT_TRUE(bb_gossip_receive(net.instances[p.to], &from,
                                                 p.data, p.size_bytes,
                                                 net.now_us));
            }
        }
        net.queued = 0;
        for (uint32_t i = 0; i < net.count; i++) {
            if (net.instances[i] != NULL) {
                bb_gossip_tick(net.instances[i], net.now_us);
            }
        }
    }
}

static uint32_t
count_members_in_state(uint32_t at, enum bb_member_state state)
{
    struct bb_member_list list;
    uint32_t count = 0;

    (void)bb_member_table_select(net.members[at], &(struct bb_member_query){0},
                                 &list);
    for (size_t i = 0; i < list.count; i++) {
        count += list.items[i].state == state;
    }
    bb_member_list_clear(&list);
    return count;
}

/* Guards against members that stay unknown to others and changes that do not
 * reach all members. */
static void
test_records_reach_all_members(void)
{
    struct bb_member self;

    start_network(INSTANCES_MAX, 0);
    run_for(10 * BB_US_PER_S);
    for (uint32_t i = 0; i < net.count; i++) {
        CU_ASSERT_EQUAL(count_members_in_state(i, BB_MEMBER_ALIVE), net.count);
    }
    bb_gossip_get_self(net.instances[5], &self);
    self.upstream_state = BB_UPSTREAM_DRAINING;
    bb_gossip_update_self(net.instances[5], &self, net.now_us);
    bb_gossip_raise_own_revision(net.instances[5], 42, net.now_us);
    run_for(2 * BB_US_PER_S);
    for (uint32_t i = 0; i < net.count; i++) {
        CU_ASSERT_TRUE(bb_member_table_get(net.members[i], "host-5", &self));
        CU_ASSERT_EQUAL(self.upstream_state, BB_UPSTREAM_DRAINING);
        CU_ASSERT_EQUAL(self.held_revision, 42);
        CU_ASSERT_EQUAL(bb_gossip_get_highest_revision(net.instances[i]), 42);
    }
    stop_network();
}

/* Guards against a member that stays marked dead after a restart when no
 * control host can send it the list of its peers, and against losing the
 * revision that it held before. */
static void
test_restarted_member_is_rediscovered(void)
{
    bool is_known;

    start_network(8, 0);
    run_for(5 * BB_US_PER_S);
    bb_gossip_raise_own_revision(net.instances[3], 300, net.now_us);
    run_for(3 * BB_US_PER_S);
    stop_instance(3);
    run_for(DEATH_DETECTION_US);
    CU_ASSERT_EQUAL(count_members_in_state(0, BB_MEMBER_DEAD), 1);
    start_instance(3, 2, "zone");
    run_for(4 * BB_US_PER_S);
    CU_ASSERT_EQUAL(count_members_in_state(0, BB_MEMBER_ALIVE), 8);
    CU_ASSERT_EQUAL(count_members_in_state(3, BB_MEMBER_ALIVE), 8);
    CU_ASSERT_EQUAL(
        bb_member_table_get_held_revision(net.members[0], "host-3", &is_known),
        300);
    CU_ASSERT_EQUAL(
        bb_member_table_get_held_revision(net.members[3], "host-3", &is_known),
        300);
    stop_network();
}

/* Guards against members that are falsely marked dead while 30% of all
 * datagrams are lost for two minutes. */
static void
test_loss_causes_no_death(void)
{
    const struct bb_counter *dead =
        bb_counter_find("baobab_gossip_dead_total", NULL);
    uint64_t before = bb_counter_get(dead);

    start_network(16, 30);
    run_for(120ULL * BB_US_PER_S);
    CU_ASSERT_EQUAL(bb_counter_get(dead), before);
    for (uint32_t i = 0; i < net.count; i++) {
        CU_ASSERT_EQUAL(count_members_in_state(i, BB_MEMBER_DEAD), 0);
    }
    stop_network();
}

/* Guards against marking the members of a partitioned zone dead, and against
 * keeping the zone unreachable after the partition has healed. */
static void
test_partitioned_zone_is_unreachable_not_dead(void)
{
    struct bb_member r;

    start_network(4, 0);
    for (uint32_t i = 2; i < 4; i++) {
        stop_instance(i);
        start_instance(i, 2, "other");
    }
    for (uint32_t i = 0; i < 4; i++) {
        for (uint32_t n = 0; n < 4; n++) {
            /* Instances 0 and 1 run with incarnation 1 and refute these
             * records of them. */
            r = make_record(n, 2, n < 2 ? "zone" : "other");
            (void)bb_member_table_merge(net.members[i], &r,
                                        BB_ORIGIN_SAME_REGION, 0);
        }
    }
    bb_gossip_enable_zone_pings(net.instances[0], true);
    bb_gossip_enable_zone_pings(net.instances[2], true);
    run_for(4 * BB_US_PER_S);
    net.partition_start = 2;
    /* Long enough for the zones to be marked unreachable on both sides. */
    run_for(BB_GOSSIP_UNREACHABLE_AFTER_MS * BB_US_PER_MS + 3 * BB_US_PER_S);
    for (uint32_t i = 0; i < 4; i++) {
        const char *far = i < 2 ? "host-3" : "host-1";

        CU_ASSERT_TRUE_FATAL(bb_member_table_get(net.members[i], far, &r));
        CU_ASSERT_FALSE(r.is_reachable);
        CU_ASSERT_EQUAL(r.state, BB_MEMBER_ALIVE);
    }
    /* Longer than the interval of pings between zones. */
    net.partition_start = 0;
    run_for(3 * BB_US_PER_S);
    CU_ASSERT_TRUE(bb_member_table_get(net.members[1], "host-3", &r));
    CU_ASSERT_TRUE(r.is_reachable);
    stop_network();
}

/* Guards against truncated or oversized datagrams being accepted, and against
 * changed or trailing bytes causing a crash. */
static void
test_malformed_datagrams_are_refused(void)
{
    const struct bb_counter *invalid =
        bb_counter_find("baobab_gossip_invalid_total", NULL);
    struct bb_address from = {.ip = "127.0.0.1", .port = PORT_BASE};
    char data[BB_GOSSIP_DATAGRAM_MAX_BYTES + 1] = {0};
    struct datagram sample;
    uint64_t before = bb_counter_get(invalid);

    start_network(2, 0);
    bb_gossip_ping_now(net.instances[1], "host-0", net.now_us);
    CU_ASSERT_FATAL(net.queued > 0);
    sample = net.queue[0];
    for (size_t i = 0; i < sample.size_bytes; i++) {
        CU_ASSERT_FALSE(bb_gossip_receive(net.instances[0], &from, sample.data,
                                          i, net.now_us));
    }
    CU_ASSERT_FALSE(bb_gossip_receive(net.instances[0], &from, data,
                                      sizeof(data), net.now_us));
    CU_ASSERT_EQUAL(bb_counter_get(invalid) - before, sample.size_bytes + 1);
    for (int round = 0; round < 20000; round++) {
        size_t size_bytes = bb_random_below(net.random, sizeof(data));

        memcpy(data, sample.data, sample.size_bytes);
        for (size_t i = 0; i < (size_t)round % 7; i++) {
            data[bb_random_below(net.random, sample.size_bytes)] =
                (char)bb_random_u64(net.random);
        }
        (void)bb_gossip_receive(net.instances[0], &from, data,
                                round % 2 ? sample.size_bytes : size_bytes,
                                net.now_us);
        net.queued = 0;
    }
    stop_network();
}

static const struct bb_unit_test tests[] = {
    {"records reach all members", test_records_reach_all_members},
    {"a restarted member is rediscovered",
     test_restarted_member_is_rediscovered},
    {"loss causes no death", test_loss_causes_no_death},
    {"a partitioned zone is unreachable, not dead",
     test_partitioned_zone_is_unreachable_not_dead},
    {"malformed datagrams are refused", test_malformed_datagrams_are_refused},
};

BB_UNIT_MAIN("gossip", tests)
