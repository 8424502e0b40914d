/* The consensus module without message loss: formation, acceptance of
 * proposals, step-down, catching up by snapshot, and replacement of a disk. */
#include "agree_cluster.h"
#include "common/clock.h"
#include "unit.h"

enum {
    CHANGES = 300,  /* more than BB_AGREE_LOG_MAX */
    NEW_DISK = 500, /* IDs of disks that replace others */
    SECOND_NEW_DISK = 501
};

/* Creates a cluster and waits for its leader. */
static struct cluster *
start_cluster(uint8_t count, uint64_t first_revision)
{
    struct cluster *c = cluster_create(count, first_revision);

    cluster_run(c, 3 * BB_US_PER_S);
    CU_ASSERT_NOT_EQUAL_FATAL(cluster_find_leader(c), BB_AGREE_NO_HOST);
    return c;
}

/* Checks the result of a response and, if accepted, its revision. */
static void
expect_response(struct bb_agree_response r, enum bb_agree_result result,
                uint64_t revision)
{
    CU_ASSERT_NOT_EQUAL(r.ticket, 0);
    CU_ASSERT_STRING_EQUAL(bb_agree_result_name(r.result),
                           bb_agree_result_name(result));
    if (result == BB_AGREE_ACCEPTED) {
        CU_ASSERT_EQUAL(r.revision, revision);
    }
}

/* Guards against a cluster size with which no leader is elected or an accepted
 * revision is not applied on all hosts. */
static void
test_clusters_form_and_accept(void)
{
    static const uint8_t counts[] = {1, 3, 5, 7};

    for (size_t i = 0; i < sizeof(counts); i++) {
        struct cluster *c = start_cluster(counts[i], 1);

        expect_response(cluster_propose(c, 0, 0, 1), BB_AGREE_ACCEPTED, 1);
        cluster_run(c, BB_US_PER_S);
        for (uint8_t h = 0; h < c->count; h++) {
            CU_ASSERT_EQUAL(bb_agree_config_in_force(&c->hosts[h]).revision,
                            1);
            CU_ASSERT_EQUAL(c->hosts[h].durable.formation.id,
                            c->hosts[0].durable.formation.id);
        }
        cluster_destroy(c);
    }
}

/* Guards against a formation that leaves out a host which did not respond. */
static void
test_formation_waits_for_every_host(void)
{
    struct cluster *c = cluster_create(3, 1);

    c->is_isolated[2] = true;
    cluster_run(c, 5 * BB_US_PER_S);
    CU_ASSERT_EQUAL(cluster_find_leader(c), BB_AGREE_NO_HOST);
    c->is_isolated[2] = false;
    cluster_run(c, 3 * BB_US_PER_S);
    CU_ASSERT_NOT_EQUAL(cluster_find_leader(c), BB_AGREE_NO_HOST);
    cluster_destroy(c);
}

/* Guards against a retried proposal that is refused, two contents with the
 * same version, and a change with an old base that reverts a newer one. */
static void
test_proposal_rules(void)
{
    struct cluster *c = start_cluster(3, 1000);

    expect_response(cluster_propose(c, 999, 5, 1), BB_AGREE_ACCEPTED, 1000);
    expect_response(cluster_propose(c, 999, 5, 1), BB_AGREE_ACCEPTED, 1000);
    expect_response(cluster_propose(c, 990, 5, 1), BB_AGREE_ACCEPTED, 1000);
    expect_response(cluster_propose(c, 1000, 5, 2), BB_AGREE_VERSION_CONFLICT,
                    0);
    expect_response(cluster_propose(c, 1000, 4, 3), BB_AGREE_VERSION_CONFLICT,
                    0);
    expect_response(cluster_propose(c, 999, 0, 4), BB_AGREE_STALE_BASE, 0);
    expect_response(cluster_propose(c, 1000, 0, 5), BB_AGREE_ACCEPTED, 1001);
    expect_response(cluster_propose(c, 1001, 5, 1), BB_AGREE_VERSION_CONFLICT,
                    0);
    expect_response(cluster_propose(c, 1001, 6, 6), BB_AGREE_ACCEPTED, 1002);
    expect_response(cluster_propose(c, 999, 5, 1), BB_AGREE_ACCEPTED, 1000);
    cluster_destroy(c);
}

/* Guards against an isolated leader that keeps its role or that confirms reads
 * without a quorum. */
static void
test_isolated_leader_steps_down(void)
{
    struct cluster *c = start_cluster(3, 1);
    uint8_t old = cluster_find_leader(c);
    struct bb_agree_event e = {.kind = BB_AGREE_EVENT_READ, .as.ticket = 77};

    cluster_feed_event(c, old, e);
    cluster_run(c, BB_US_PER_S / 2);
    CU_ASSERT_EQUAL(c->response_count, 1);
    CU_ASSERT_EQUAL(c->responses[0].result, BB_AGREE_CONFIRMED);
    c->is_isolated[old] = true;
    cluster_feed_event(c, old, e);
    e.kind = BB_AGREE_EVENT_PROPOSAL;
    e.as.proposal = (struct bb_agree_proposal){
        .ticket = 78, .base_revision = 0, .digest.bytes = {1}};
    cluster_feed_event(c, old, e);
    CU_ASSERT_EQUAL(c->response_count, 1);
    cluster_run(c, 2 * BB_US_PER_S);
    CU_ASSERT_NOT_EQUAL(c->hosts[old].role, BB_AGREE_LEADER);
    CU_ASSERT_EQUAL(c->responses[1].result, BB_AGREE_UNKNOWN);
    CU_ASSERT_EQUAL(c->responses[2].result, BB_AGREE_NOT_LEADER);
    expect_response(cluster_propose(c, 0, 0, 2), BB_AGREE_ACCEPTED, 1);
    c->is_isolated[old] = false;
    cluster_run(c, 2 * BB_US_PER_S);
    CU_ASSERT_EQUAL(bb_agree_config_in_force(&c->hosts[old]).digest.bytes[0],
                    2);
    cluster_destroy(c);
}

/* Guards against a host that cannot catch up after more changes than the log
 * holds, and against a log that fills up. */
static void
test_catch_up_by_snapshot(void)
{
    struct cluster *c = start_cluster(3, 1);
    uint8_t late = (uint8_t)((cluster_find_leader(c) + 1) % 3);

    c->is_isolated[late] = true;
    for (uint64_t i = 0; i < CHANGES; i++) {
        expect_response(cluster_propose(c, i, 0, (uint8_t)(i % 250 + 1)),
                        BB_AGREE_ACCEPTED, i + 1);
    }
    c->is_isolated[late] = false;
    cluster_run(c, 2 * BB_US_PER_S);
    CU_ASSERT_EQUAL(bb_agree_config_in_force(&c->hosts[late]).revision,
                    CHANGES);
    CU_ASSERT_TRUE(c->hosts[late].durable.log_count <= BB_AGREE_LOG_MAX);
    cluster_destroy(c);
}

/* Guards against a replaced disk that is not admitted, and against the loss of
 * accepted revisions when a second host fails right after the replacement. */
static void
test_replacement_then_second_loss(void)
{
    struct cluster *c = start_cluster(3, 1);
    uint8_t leader = cluster_find_leader(c);
    uint8_t lost = (uint8_t)((leader + 1) % 3);

    expect_response(cluster_propose(c, 0, 0, 1), BB_AGREE_ACCEPTED, 1);
    cluster_replace_disk(c, lost, NEW_DISK);
    CU_ASSERT_FALSE(bb_agree_is_voter(&c->hosts[lost]));
    cluster_run(c, 2 * BB_US_PER_S);
    CU_ASSERT_TRUE(bb_agree_is_voter(&c->hosts[lost]));
    expect_response(cluster_propose(c, 1, 0, 2), BB_AGREE_ACCEPTED, 2);
    c->is_isolated[leader] = true;
    cluster_run(c, 3 * BB_US_PER_S);
    CU_ASSERT_NOT_EQUAL_FATAL(cluster_find_leader(c), BB_AGREE_NO_HOST);
    expect_response(cluster_propose(c, 2, 0, 3), BB_AGREE_ACCEPTED, 3);
    cluster_destroy(c);
}

/* Guards against a majority of empty disks that elects a leader, which would
 * lose all accepted revisions. */
static void
test_two_empty_disks_do_not_vote(void)
{
    struct cluster *c = start_cluster(3, 1);

    expect_response(cluster_propose(c, 0, 0, 1), BB_AGREE_ACCEPTED, 1);
    cluster_replace_disk(c, 0, NEW_DISK);
    cluster_replace_disk(c, 1, SECOND_NEW_DISK);
    /* Host 2 may be the leader: in a new term it needs votes to lead. */
    c->hosts[2].durable.term += 1;
    c->hosts[2].role = BB_AGREE_FOLLOWER;
    cluster_run(c, 5 * BB_US_PER_S);
    CU_ASSERT_EQUAL(cluster_find_leader(c), BB_AGREE_NO_HOST);
    CU_ASSERT_EQUAL(c->hosts[0].durable.formation.id, 0);
    cluster_destroy(c);
}

/* Guards against a host that continues to vote after a failed sync. */
static void
test_failed_sync_ends_voting(void)
{
    struct cluster *c = start_cluster(3, 1);
    uint8_t leader = cluster_find_leader(c);

    cluster_feed_event(
        c, leader,
        (struct bb_agree_event){.kind = BB_AGREE_EVENT_SYNC_FAILED});
    CU_ASSERT_FALSE(bb_agree_is_voter(&c->hosts[leader]));
    cluster_run(c, 3 * BB_US_PER_S);
    CU_ASSERT_NOT_EQUAL(cluster_find_leader(c), leader);
    CU_ASSERT_NOT_EQUAL(cluster_find_leader(c), BB_AGREE_NO_HOST);
    expect_response(cluster_propose(c, 0, 0, 1), BB_AGREE_ACCEPTED, 1);
    cluster_destroy(c);
}

static const struct bb_unit_test tests[] = {
    {"clusters of any size form and accept", test_clusters_form_and_accept},
    {"formation waits for every host", test_formation_waits_for_every_host},
    {"which proposals are accepted", test_proposal_rules},
    {"isolated leader steps down", test_isolated_leader_steps_down},
    {"catch-up by snapshot", test_catch_up_by_snapshot},
    {"replacement, then a second loss", test_replacement_then_second_loss},
    {"two empty disks do not vote", test_two_empty_disks_do_not_vote},
    {"a failed sync ends voting", test_failed_sync_ends_voting},
};

BB_UNIT_MAIN("agree", tests)
