/* Planned rosters must follow the members of each service, end a change only
 * after the hosts have adopted it, and leave the rest of a revision
 * unchanged. */
#include <string.h>

#include "config/compile.h"
#include "control/roster_plan.h"
#include "unit.h"

enum { NODES = 6, SECOND_US = 1000 * 1000 };

static const char text[] = "[service a]\nretention-s=60\n[service b]\n"
                           "[drain n5]\n[region r]\n[zone z]\nregion=r\n";

static struct bb_member nodes[NODES];
static struct bb_roster_planner_set *plan;
static struct bb_bundle *in_force;
static struct bb_config *config;
static uint64_t now_us;

/* Creates the next revision from the folder above and rosters, which it takes
 * ownership of, and applies it on all reachable nodes. */
static void
set_in_force(struct bb_rosters *rosters)
{
    struct bb_folder_builder *b = bb_folder_builder_create();
    struct bb_config_faults faults = {0};
    struct bb_error e = {0};
    uint64_t revision = in_force == NULL ? 1 : in_force->revision + 1;
    struct bb_folder *f;

    CU_ASSERT_TRUE(bb_folder_builder_add(b, "a.conf", text, strlen(text), &e));
    f = bb_folder_builder_finish(b, &e);
    bb_folder_builder_destroy(b);
    bb_bundle_unref(in_force);
    in_force = bb_bundle_create_with_rosters(revision, 3, f, rosters);
    bb_config_destroy(config);
    config = bb_config_compile(f, &faults);
    CU_ASSERT_PTR_NOT_NULL_FATAL(config);
    for (int i = 0; i < NODES; i++) {
        if (nodes[i].is_reachable) {
            nodes[i].applied_revision = revision;
        }
    }
}

/* Plans once a second for some seconds and puts in force what is planned.
 * Returns the number of revisions made. */
static uint32_t
run_seconds(uint32_t seconds)
{
    const struct bb_member_list members = {nodes, NODES};
    uint32_t count = 0;

    for (uint32_t i = 0; i < seconds; i++) {
        struct bb_rosters *next = bb_roster_planner_set_update(
            plan, in_force, config, &members, now_us);

        if (next != NULL) {
            set_in_force(next);
            count++;
        }
        now_us += SECOND_US;
    }
    return count;
}

/* Sets up nodes n0 to n5, the even ones of service a, the odd ones of b, and
 * revision 1 without rosters. */
static void
start_nodes(void)
{
    memset(nodes, 0, sizeof(nodes));
    for (int i = 0; i < NODES; i++) {
        struct bb_member *m = &nodes[i];

        m->host[0] = 'n';
        m->host[1] = (char)('0' + i);
        m->service[0] = i % 2 == 0 ? 'a' : 'b';
        m->role = BB_ROLE_NODE;
        m->is_reachable = true;
        m->upstream_state = BB_UPSTREAM_READY;
    }
    now_us = 10 * (uint64_t)SECOND_US;
    plan = bb_roster_planner_set_create();
    in_force = NULL;
    config = NULL;
    set_in_force(bb_rosters_create());
}

static void
free_all(void)
{
    bb_roster_planner_set_destroy(plan);
    bb_bundle_unref(in_force);
    bb_config_destroy(config);
}

/* Guards against rosters with hosts of other services or drained hosts, and
 * against a first epoch that an earlier cluster may have used. */
static void
test_first_rosters_list_the_ready_hosts_of_each_service(void)
{
    const struct bb_service_roster *a;
    const struct bb_service_roster *b;

    start_nodes();
    CU_ASSERT_EQUAL(run_seconds(4), 1);
    a = bb_rosters_find(in_force->rosters, "a");
    b = bb_rosters_find(in_force->rosters, "b");
    CU_ASSERT_PTR_NOT_NULL_FATAL(a);
    CU_ASSERT_PTR_NOT_NULL_FATAL(b);
    CU_ASSERT_EQUAL(a->epoch, 2);
    CU_ASSERT_EQUAL(a->hosts.count, 3);
    CU_ASSERT_STRING_EQUAL(a->hosts.names[0], "n0");
    CU_ASSERT_STRING_EQUAL(a->hosts.names[2], "n4");
    CU_ASSERT_EQUAL(b->hosts.count, 2);
    CU_ASSERT_EQUAL(run_seconds(200), 0);
    free_all();
}

/* Guards against removing the previous list while two unreachable or dead
 * hosts may still use it, and against keeping it after one of the two has left
 * the mesh in an orderly way. */
static void
test_change_settles_once_the_hosts_have_adopted_it(void)
{
    const struct bb_service_roster *a;

    start_nodes();
    CU_ASSERT_EQUAL(run_seconds(100), 1);
    nodes[0].is_reachable = nodes[2].is_reachable = false;
    nodes[1].service[0] = 'a'; /* was of service b */
    CU_ASSERT_EQUAL(run_seconds(32), 1);
    a = bb_rosters_find(in_force->rosters, "a");
    CU_ASSERT_EQUAL(a->epoch, 3);
    CU_ASSERT_EQUAL(a->hosts.count, 4);
    CU_ASSERT_EQUAL(a->previous_hosts.count, 3);
    CU_ASSERT_EQUAL(run_seconds(200), 0);
    nodes[0].state = nodes[2].state = BB_MEMBER_DEAD;
    CU_ASSERT_EQUAL(run_seconds(200), 0);
    nodes[0].state = BB_MEMBER_LEFT;
    CU_ASSERT_EQUAL(run_seconds(60), 0);
    CU_ASSERT_EQUAL(run_seconds(1), 1);
    a = bb_rosters_find(in_force->rosters, "a");
    CU_ASSERT_EQUAL(a->epoch, 4);
    CU_ASSERT_EQUAL(a->previous_hosts.count, 0);
    free_all();
}

static const struct bb_unit_test tests[] = {
    {"first rosters list the ready hosts of each service",
     test_first_rosters_list_the_ready_hosts_of_each_service},
    {"a change settles once the hosts have adopted it",
     test_change_settles_once_the_hosts_have_adopted_it},
};

BB_UNIT_MAIN("roster_plan", tests)
