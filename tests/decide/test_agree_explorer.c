/* Explores the reachable states of three hosts (agree_model.h), breadth first,
 * up to a number of states (BAOBAB_EXPLORER_STATES per scenario), and along
 * random walks (BAOBAB_EXPLORER_WALKS). Guards against any order of message
 * loss, duplication, crashes and lost disks in which
 * - an accepted revision is lost, changed or missing at a leader,
 * - an accepted change is reverted,
 * - a term has two leaders,
 * - a confirmed read misses an accepted revision,
 * - a disk that is not admitted votes,
 * - or a host goes back to an older revision than it applied,
 * and shows that three injected faults are found. */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "agree_model.h"
#include "common/clock.h"
#include "unit.h"

/* The search is single-threaded and about ten times slower under a sanitizer.
 * A sanitizer looks for memory errors, for which fewer states are enough. */
#if defined(__has_feature)
#if __has_feature(address_sanitizer) || __has_feature(thread_sanitizer)
#define IS_SANITIZED 1
#endif
#endif
#ifndef IS_SANITIZED
#define IS_SANITIZED 0
#endif

enum {
    DEFAULT_STATES = IS_SANITIZED ? 50000 : 300000,
    FAULT_STATES_MAX = 3000000, /* states visited to find an injected fault */
    DEFAULT_WALKS = IS_SANITIZED ? 1000 : 10000,
    WALK_STEPS = 250,  /* actions of a walk */
    WALK_ATTEMPTS = 4, /* to choose an action that makes progress */
    ACTIONS_MAX = 160, /* possible in one state */
    WALK_SEED = 20260101,
    DEPTH_MAX = 200, /* actions from the root to a state */
    TABLE_FACTOR = 2 /* elements of the hash table for each state */
};

/* A visited state, stored as the action that led to it from another one. The
 * state itself is rebuilt from the root. */
struct node {
    uint32_t parent;
    struct model_action action;
};

struct search {
    struct model_state root;
    struct model_state parent; /* of the state that was rebuilt last */
    struct model_state from;   /* state whose successors are visited */
    struct model_state to;     /* its successor */
    struct node *nodes;        /* visited states; 0 is the root */
    uint32_t count;
    uint32_t max;
    uint64_t *table; /* hash table of the hashes of visited states; 0: empty */
    uint64_t table_size;
    uint64_t transitions;
    uint32_t parent_number;
    uint32_t parent_depth;
    uint32_t depth;
};

/* Adds the hash of a state; returns false if it was visited before. */
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

/* Rebuilds a state by carrying out the path to it from the root, and prints
 * the path if asked for. Returns the length of the path. */
static uint32_t
replay_path(struct search *x, uint32_t number, struct model_state *s,
            bool print)
{
    struct model_action path[DEPTH_MAX];
    uint32_t depth = 0;

    for (uint32_t n = number; n != 0; n = x->nodes[n].parent) {
        path[depth++] = x->nodes[n].action;
    }
    *s = x->root;
    for (uint32_t i = depth; i > 0; i--) {
        if (print) {
            model_print_action(s, path[i - 1]);
        }
        model_step(s, path[i - 1]);
    }
    return depth;
}

/* Rebuilds a state from its parent and returns its depth. The parent is kept:
 * in breadth-first order most states have the same parent as the one before.
 */
static uint32_t
rebuild_state(struct search *x, uint32_t number)
{
    uint32_t parent = x->nodes[number].parent;

    if (number == 0) {
        x->from = x->root;
        return 0;
    }
    if (parent != x->parent_number || number == 1) {
        x->parent_depth = replay_path(x, parent, &x->parent, false);
        x->parent_number = parent;
    }
    x->from = x->parent;
    model_step(&x->from, x->nodes[number].action);
    return x->parent_depth + 1;
}

/* Visits the successors of a state. Returns false if one violates an
 * invariant; it is stored as the node after the last one. */
static bool
visit_successors(struct search *x, uint32_t number)
{
    struct model_action actions[ACTIONS_MAX];
    uint32_t n = model_list_actions(&x->from, actions, ACTIONS_MAX);

    for (uint32_t i = 0; i < n && x->count < x->max; i++) {
        x->to = x->from;
        model_step(&x->to, actions[i]);
        x->transitions++;
        if (x->to.violation != NULL) {
            x->nodes[x->count] =
                (struct node){.parent = number, .action = actions[i]};
            return false;
        }
        if (!x->to.is_truncated && add_hash(x, model_hash(&x->to))) {
            x->nodes[x->count] =
                (struct node){.parent = number, .action = actions[i]};
            x->count++;
        }
    }
    return true;
}

/* Searches breadth first from the root, up to a number of states. Returns the
 * first violation, after printing its path, or NULL if there is none. */
static const char *
run_search(struct search *x, const char *name, uint32_t max)
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
        x->depth = rebuild_state(x, i);
        if (!visit_successors(x, i)) {
            violation = x->to.violation;
            (void)printf("\n%s: %s, after:\n", name, violation);
            x->depth = replay_path(x, x->count, &x->from, true);
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

/* Returns a bound from an environment variable, or the default. */
static uint32_t
read_bound(const char *variable, uint32_t default_value)
{
    const char *text = getenv(variable);

    return text != NULL ? (uint32_t)strtoul(text, NULL, 10) : default_value;
}

/* Changes the folder of a host and lets the change be accepted. */
static void
accept_change(struct model_state *s, uint8_t host, uint8_t leader)
{
    s->budget.edits++;
    model_step(s, (struct model_action){.kind = MODEL_EDIT, .host = host});
    model_step(s, (struct model_action){
                      .kind = MODEL_PROPOSE, .host = host, .other = leader});
    model_sync_and_deliver_all(s);
}

/* Creates a search whose root is a cluster with host 0 as leader and revision
 * 1 in force, with the same content in all folders. Freed by expect_safe,
 * expect_fault_found or run_walks. */
static struct search *
prepare_cluster(void)
{
    struct search *x = g_new0(struct search, 1);
    struct model_state *s = &x->root;

    model_init(s);
    CU_ASSERT_TRUE_FATAL(model_elect(s, 0));
    accept_change(s, 2, 0);
    s->budget.heartbeats++;
    model_step(s, (struct model_action){.kind = MODEL_HEARTBEAT, .host = 0});
    model_sync_and_deliver_all(s);
    for (uint32_t h = 0; h < MODEL_HOSTS; h++) {
        CU_ASSERT_EQUAL_FATAL(bb_agree_config_in_force(&s->hosts[h]).revision,
                              1);
        s->folders[h] =
            (struct model_folder){.content = 1, .settled = 1, .base = 1};
    }
    memset(&s->budget, 0, sizeof(s->budget));
    return x;
}

/* Searches a scenario in which no invariant may be violated. */
static void
expect_safe(struct search *x, const char *name)
{
    CU_ASSERT_PTR_NULL(run_search(
        x, name, read_bound("BAOBAB_EXPLORER_STATES", DEFAULT_STATES)));
    g_free(x);
}

/* Searches a scenario with an injected fault, which must be found. */
static void
expect_fault_found(struct search *x, const char *name)
{
    CU_ASSERT_PTR_NOT_NULL(run_search(x, name, FAULT_STATES_MAX));
    g_free(x);
}

/* Guards against invariants violated when two operators propose the same
 * version on different hosts while the leader changes. */
static void
test_racing_proposals(void)
{
    struct search *x = prepare_cluster();

    x->root.budget =
        (struct model_budget){.timeouts = 1, .edits = 2, .reads = 1};
    expect_safe(x, "racing proposals");
}

/* Guards against a crash, before or after a write, that loses an accepted
 * revision or a vote. */
static void
test_crashes(void)
{
    struct search *x = prepare_cluster();

    x->root.budget =
        (struct model_budget){.timeouts = 2, .edits = 1, .crashes = 2};
    expect_safe(x, "crashes");
}

/* Guards against a lost disk, and its replacement, by which an accepted
 * revision is lost. */
static void
test_lost_disk(void)
{
    struct search *x = prepare_cluster();

    x->root.budget = (struct model_budget){.timeouts = 1,
                                           .heartbeats = 1,
                                           .identities = 1,
                                           .lost_disks = 1,
                                           .edits = 1};
    expect_safe(x, "lost disk");
}

/* As prepare_cluster, with an empty disk on host 2 that the leader knows of
 * and brings up to date. */
static struct search *
prepare_replacement(void)
{
    struct search *x = prepare_cluster();
    struct model_state *s = &x->root;

    s->budget.lost_disks = 1;
    s->budget.identities = 1;
    model_step(s, (struct model_action){.kind = MODEL_LOSE_DISK, .host = 2});
    model_step(
        s, (struct model_action){.kind = MODEL_REQUEST_IDENTITIES, .host = 2});
    model_sync_and_deliver_all(s);
    return x;
}

/* Guards against invariants violated by changes, a crash and a change of the
 * leader during the replacement of a disk. */
static void
test_replacement(void)
{
    struct search *x = prepare_replacement();

    x->root.budget = (struct model_budget){
        .timeouts = 1, .heartbeats = 1, .crashes = 1, .edits = 1};
    expect_safe(x, "replacement");
}

/* Guards against a violation that test_fault_response_before_sync finds for
 * another reason than its fault: without the fault, no invariant is violated
 * with the same budget. */
static void
test_one_crash(void)
{
    struct search *x = prepare_cluster();

    x->root.budget =
        (struct model_budget){.timeouts = 1, .edits = 1, .crashes = 1};
    expect_safe(x, "one crash");
}

/* Guards against invariants violated when one of the empty disks is lost
 * during the formation. */
static void
test_formation(void)
{
    struct search *x = g_new0(struct search, 1);

    model_init(&x->root);
    x->root.budget = (struct model_budget){
        .timeouts = 1, .identities = 4, .lost_disks = 1, .edits = 1};
    expect_safe(x, "formation");
}

/* Chooses a random action for a walk, mostly a sync or the delivery of a
 * message that was not delivered yet, so that walks make progress. */
static struct model_action
choose_action(const struct model_action actions[], uint32_t n,
              const bool seen[], GRand *random)
{
    struct model_action a = {0};

    for (int i = 0; i < WALK_ATTEMPTS; i++) {
        a = actions[g_rand_int_range(random, 0, (gint)n)];
        if (a.kind == MODEL_SYNC ||
            (a.kind == MODEL_DELIVER && !seen[a.other])) {
            break;
        }
    }
    return a;
}

/* Carries out one random walk of up to WALK_STEPS actions. Returns false if it
 * violates an invariant. */
static bool
run_walk(struct search *x, GRand *random)
{
    struct model_action actions[ACTIONS_MAX];
    bool seen[MODEL_NETWORK_MAX] = {false};
    struct model_state *s = &x->from;

    for (uint32_t i = 0;
         i < WALK_STEPS && !s->is_truncated && s->violation == NULL; i++) {
        uint32_t n = model_list_actions(s, actions, ACTIONS_MAX);
        struct model_action a;

        if (n == 0) {
            break;
        }
        a = choose_action(actions, n, seen, random);
        model_step(s, a);
        x->transitions++;
        if (a.kind == MODEL_DELIVER) {
            seen[a.other] = true;
        }
        if (s->network_count > MODEL_NETWORK_MAX / 2) {
            model_drop_messages(s);
            memset(seen, 0, sizeof(seen));
        }
    }
    return s->violation == NULL;
}

/* Carries out random walks from the root, with a fixed seed; none may violate
 * an invariant. */
static void
run_walks(struct search *x, const char *name)
{
    GRand *random = g_rand_new_with_seed(WALK_SEED);
    uint32_t walks = read_bound("BAOBAB_EXPLORER_WALKS", DEFAULT_WALKS);
    uint32_t replaced = 0;
    uint32_t changed = 0;

    for (uint32_t i = 0; i < walks; i++) {
        x->from = x->root;
        model_reclaim_message_numbers(&x->from);
        if (!run_walk(x, random)) {
            (void)printf("walk %u: %s\n", i, x->from.violation);
            CU_FAIL("a walk violated an invariant");
            break;
        }
        replaced += model_has_admitted_replacement(&x->from);
        changed += x->from.accepted[2] != 0;
    }
    (void)printf("\n%s: %u walks, %llu transitions, %u accepted a change, "
                 "%u replaced a disk ",
                 name, walks, (unsigned long long)x->transitions, changed,
                 replaced);
    /* Walks that accept no change and replace no disk would test nothing. A
     * run with fewer walks than the default may have none that do. */
    CU_ASSERT_TRUE(walks < DEFAULT_WALKS || (changed > 0 && replaced > 0));
    g_rand_free(random);
    g_free(x);
}

static const struct model_budget walk_budget = {.timeouts = 6,
                                                .heartbeats = 15,
                                                .identities = 8,
                                                .crashes = 3,
                                                .lost_disks = 2,
                                                .edits = 6,
                                                .reads = 3};

/* Guards against violations that take more steps than the search reaches. */
static void
test_random_walks(void)
{
    struct search *x = prepare_cluster();

    x->root.budget = walk_budget;
    run_walks(x, "random walks");
}

/* Guards against violations by a second lost disk right after a replacement.
 */
static void
test_random_walks_of_replacement(void)
{
    struct search *x = prepare_replacement();

    x->root.budget = walk_budget;
    run_walks(x, "random walks of a replacement");
}

/* Injected fault: a follower responds to an append before its entries are
 * synced, and loses them in a crash. */
static void
test_fault_response_before_sync(void)
{
    struct search *x = prepare_cluster();

    model_set_faults(&x->root,
                     (struct bb_agree_faults){.responds_before_sync = 1});
    x->root.budget.edits = 1;
    model_step(&x->root, (struct model_action){.kind = MODEL_EDIT, .host = 0});
    x->root.budget = (struct model_budget){.timeouts = 1, .crashes = 1};
    expect_fault_found(x, "bug: response before the sync");
}

/* Injected fault: a disk that was lost votes, although its host no longer has
 * the accepted revisions. */
static void
test_fault_vote_with_empty_disk(void)
{
    struct search *x = prepare_cluster();

    model_set_faults(&x->root,
                     (struct bb_agree_faults){.votes_with_empty_disk = 1});
    x->root.budget =
        (struct model_budget){.timeouts = 1, .edits = 1, .lost_disks = 1};
    expect_fault_found(x, "bug: vote with an empty disk");
}

/* Injected fault: a host proposes its folder because it differs from the
 * configuration in force, which reverts the change of another host. */
static void
test_fault_propose_difference(void)
{
    struct search *x = prepare_cluster();

    x->root.budget =
        (struct model_budget){.edits = 1, .proposes_difference = 1};
    expect_fault_found(x, "bug: propose a difference");
}

static const struct bb_unit_test tests[] = {
    {"racing proposals", test_racing_proposals},
    {"crashes", test_crashes},
    {"lost disk", test_lost_disk},
    {"replacement", test_replacement},
    {"one crash", test_one_crash},
    {"formation", test_formation},
    {"random walks", test_random_walks},
    {"random walks of a replacement", test_random_walks_of_replacement},
    {"bug: response before the sync", test_fault_response_before_sync},
    {"bug: vote with an empty disk", test_fault_vote_with_empty_disk},
    {"bug: propose a difference", test_fault_propose_difference},
};

BB_UNIT_MAIN("agree explorer", tests)
