/* Explores all interleavings of three hosts, breadth first, up to a number of
 * states (BAOBAB_EXPLORER_STATES per scenario). Guards against any order of
 * loss, duplication, crashes and lost disks in which an accepted revision is
 * lost or changed; and shows that three seeded bugs are found. */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "agree_model.h"
#include "common/clock.h"
#include "unit.h"

enum {
    DEFAULT_STATES = 150000,
    ACTIONS_MAX = 160,
    DEPTH_MAX = 200,
    TABLE_FACTOR = 2
};

/* A visited state: how it was reached; it is rebuilt from the first one. */
struct node {
    uint32_t parent;
    struct model_action action;
};

struct search {
    struct model_state root;
    struct model_state from;
    struct model_state to;
    struct node *nodes;
    uint32_t count;
    uint32_t max;
    uint64_t *table; /* hashes of visited states */
    uint64_t table_size;
    uint64_t transitions;
    uint32_t depth;
};

/* Adds a hash; false if it was there. */
static bool
add_hash(struct search *x, uint64_t hash)
{
    uint64_t i = hash % x->table_size;

    hash += hash == 0;
    while (x->table[i] != 0) {
        if (x->table[i] == hash) {
            return false;
        }
        i = (i + 1) % x->table_size;
    }
    x->table[i] = hash;
    return true;
}

/* Rebuilds a state and returns its depth. */
static uint32_t
rebuild(struct search *x, uint32_t number, bool print)
{
    struct model_action path[DEPTH_MAX];
    uint32_t depth = 0;

    for (uint32_t n = number; n != 0; n = x->nodes[n].parent) {
        path[depth++] = x->nodes[n].action;
    }
    x->from = x->root;
    for (uint32_t i = depth; i > 0; i--) {
        if (print) {
            model_print(&x->from, path[i - 1]);
        }
        model_step(&x->from, path[i - 1]);
    }
    return depth;
}

/* Visits the successors of a state; false at a violation. */
static bool
expand(struct search *x, uint32_t number)
{
    struct model_action actions[ACTIONS_MAX];
    uint32_t n = model_actions(&x->from, actions, ACTIONS_MAX);

    for (uint32_t i = 0; i < n && x->count < x->max; i++) {
        x->to = x->from;
        model_step(&x->to, actions[i]);
        x->transitions++;
        if (x->to.violation != NULL) {
            x->nodes[x->count] =
                (struct node){.parent = number, .action = actions[i]};
            return false;
        }
        if (!x->to.is_cut_short && add_hash(x, model_hash(&x->to))) {
            x->nodes[x->count] =
                (struct node){.parent = number, .action = actions[i]};
            x->count++;
        }
    }
    return true;
}

/* Searches from the root; returns the violation found, or NULL. */
static const char *
search(struct search *x, const char *name, uint32_t max)
{
    uint64_t start_us = bb_clock_now_us();
    const char *violation = NULL;
    bool is_complete = true;

    x->max = max;
    x->table_size = (uint64_t)max * TABLE_FACTOR + 1;
    x->nodes = g_new0(struct node, (gsize)max + 1);
    x->table = g_new0(uint64_t, x->table_size);
    x->count = 1;
    (void)add_hash(x, model_hash(&x->root));
    for (uint32_t i = 0; i < x->count && violation == NULL; i++) {
        x->depth = rebuild(x, i, false);
        if (!expand(x, i)) {
            violation = x->to.violation;
            (void)printf("\n%s: %s, after:\n", name, violation);
            x->depth = rebuild(x, x->count, true);
        }
        if (x->count == x->max) {
            is_complete = false;
            break;
        }
    }
    (void)printf("\n%s: %u states, %llu transitions, depth %u%s, %.1f s", name,
                 x->count, (unsigned long long)x->transitions, x->depth,
                 violation != NULL ? " (violation)"
                 : is_complete     ? " (all states)"
                                   : " (all shorter paths)",
                 (double)(bb_clock_now_us() - start_us) / BB_US_PER_S);
    g_free(x->nodes);
    g_free(x->table);
    return violation;
}

/* Returns the number of states to visit in one scenario. */
static uint32_t
state_limit(void)
{
    const char *text = getenv("BAOBAB_EXPLORER_STATES");

    return text != NULL ? (uint32_t)strtoul(text, NULL, 10) : DEFAULT_STATES;
}

/* Lets operators change the folder of a host and the change be accepted. */
static void
accept_change(struct model_state *s, uint8_t host, uint8_t leader)
{
    s->budget.edits++;
    model_step(s, (struct model_action){.kind = MODEL_EDIT, .host = host});
    model_step(s, (struct model_action){
                      .kind = MODEL_PROPOSE, .host = host, .other = leader});
    model_settle(s);
}

/* Prepares a group with host 0 as leader and revision 1 in force, whose
 * content is in all folders. */
static struct search *
prepare(void)
{
    struct search *x = g_new0(struct search, 1);
    struct model_state *s = &x->root;

    model_start(s);
    CU_ASSERT_TRUE_FATAL(model_elect(s, 0));
    accept_change(s, 2, 0);
    s->budget.heartbeats++;
    model_step(s, (struct model_action){.kind = MODEL_HEARTBEAT, .host = 0});
    model_settle(s);
    for (uint8_t h = 0; h < MODEL_HOSTS; h++) {
        CU_ASSERT_EQUAL_FATAL(bb_agree_in_force(&s->hosts[h]).revision, 1);
        s->folders[h] =
            (struct model_folder){.content = 1, .observed = 1, .base = 1};
    }
    memset(&s->budget, 0, sizeof(s->budget));
    return x;
}

/* Searches a scenario that must hold. */
static void
expect_safe(struct search *x, const char *name)
{
    CU_ASSERT_PTR_NULL(search(x, name, state_limit()));
    g_free(x);
}

/* Searches a scenario with a seeded bug, which must be found. */
static void
expect_bug(struct search *x, const char *name)
{
    CU_ASSERT_PTR_NOT_NULL(search(x, name, 20 * DEFAULT_STATES));
    g_free(x);
}

/* Two operators submit the same label on different hosts while the leader
 * changes. */
static void
test_racing_proposals(void)
{
    struct search *x = prepare();

    x->root.budget =
        (struct model_budget){.timeouts = 1, .edits = 2, .reads = 1};
    expect_safe(x, "racing proposals");
}

static void
test_crashes(void)
{
    struct search *x = prepare();

    x->root.budget =
        (struct model_budget){.timeouts = 2, .edits = 1, .crashes = 2};
    expect_safe(x, "crashes");
}

static void
test_lost_disk(void)
{
    struct search *x = prepare();

    x->root.budget = (struct model_budget){.timeouts = 1,
                                           .heartbeats = 1,
                                           .identities = 1,
                                           .lost_disks = 1,
                                           .edits = 1};
    expect_safe(x, "lost disk");
}

/* The replacement of host 2's disk is running when changes, a crash and a
 * leader change come in. */
static void
test_replacement(void)
{
    struct search *x = prepare();
    struct model_state *s = &x->root;

    s->budget.lost_disks = 1;
    s->budget.identities = 1;
    model_step(s, (struct model_action){.kind = MODEL_LOSE_DISK, .host = 2});
    model_step(s, (struct model_action){.kind = MODEL_IDENTIFY, .host = 2});
    model_settle(s);
    s->budget = (struct model_budget){
        .timeouts = 1, .heartbeats = 1, .crashes = 1, .edits = 1};
    expect_safe(x, "replacement");
}

/* All hosts are empty; one of them loses its disk during the formation. */
static void
test_formation(void)
{
    struct search *x = g_new0(struct search, 1);

    model_start(&x->root);
    x->root.budget = (struct model_budget){
        .timeouts = 1, .identities = 4, .lost_disks = 1, .edits = 1};
    expect_safe(x, "formation");
}

static void
test_bug_answer_before_sync(void)
{
    struct search *x = prepare();

    model_set_faults(&x->root,
                     (struct bb_agree_faults){.answer_before_sync = 1});
    x->root.budget =
        (struct model_budget){.timeouts = 1, .edits = 1, .crashes = 1};
    expect_bug(x, "bug: answer before the sync");
}

static void
test_bug_vote_with_empty_disk(void)
{
    struct search *x = prepare();

    model_set_faults(&x->root,
                     (struct bb_agree_faults){.vote_with_empty_disk = 1});
    x->root.budget =
        (struct model_budget){.timeouts = 1, .edits = 1, .lost_disks = 1};
    expect_bug(x, "bug: vote with an empty disk");
}

static void
test_bug_propose_difference(void)
{
    struct search *x = prepare();

    x->root.budget =
        (struct model_budget){.edits = 1, .proposes_difference = 1};
    expect_bug(x, "bug: propose a difference");
}

static const struct bb_unit_test tests[] = {
    {"racing proposals", test_racing_proposals},
    {"crashes", test_crashes},
    {"lost disk", test_lost_disk},
    {"replacement", test_replacement},
    {"formation", test_formation},
    {"bug: answer before the sync", test_bug_answer_before_sync},
    {"bug: vote with an empty disk", test_bug_vote_with_empty_disk},
    {"bug: propose a difference", test_bug_propose_difference},
};

BB_UNIT_MAIN("agree explorer", tests)
