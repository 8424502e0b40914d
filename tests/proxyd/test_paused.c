/* Tests of a control host that is paused, and others act meanwhile, with real
 * processes. */
#include <signal.h>
#include <string.h>

#include "fixture.h"
#include "unit.h"

enum {
    GRACE_S = 6,
    /* Longer than an election and than any confirmation is valid. */
    PAUSE_MS = 4000,
    /* Longest time in which a host responds that has just been resumed. */
    RESUMED_MS = 3000
};

#define READ_REQUEST "GET " PATH_READ " HTTP/1.1\r\nHost: o\r\n\r\n"

/* Guards against: a leader that was paused for some seconds while another host
 * took over, and then accepts a proposal on top of the version that it knows,
 * or responds to a read with that version. */
static void
test_paused_leader(void)
{
    struct fixture f;
    struct process *paused;
    struct peer *reader;
    struct peer *operator_peer;
    GString *rival;
    uint32_t old_leader;
    char *old_version;

    fixture_open(&f, FIXTURE_CORES_MAX, GRACE_S);
    old_leader = f.leader;
    paused = &f.cores[old_leader];
    reader = peer_connect(&f, &f.operator_addresses[old_leader], 0);
    operator_peer = peer_connect(&f, &f.operator_addresses[old_leader], 0);
    peer_send(reader, READ_REQUEST);
    CU_ASSERT_TRUE(peer_wait_text(&f, reader, "HTTP/1.1 200", RESUMED_MS));
    old_version =
        g_strdup_printf("{\"version\":%" G_GUINT64_FORMAT ",", f.version);
    CU_ASSERT_EQUAL(peer_count(reader, old_version), 1);
    rival = fixture_build_proposal(&f, FIXTURE_IDLE_TIMEOUT_MS,
                                   FIXTURE_BODY_MAX_BYTES - 1);
    process_signal(paused, SIGSTOP);
    CU_ASSERT_TRUE(fixture_configure(&f, FIXTURE_IDLE_TIMEOUT_MS,
                                     FIXTURE_BODY_MAX_BYTES - 2));
    CU_ASSERT_NOT_EQUAL(f.leader, old_leader);
    fixture_run(&f, PAUSE_MS);
    /* Both are there when it goes on, before it has heard of the others. */
    peer_send(operator_peer, rival->str);
    peer_send(reader, READ_REQUEST);
    fixture_run(&f, 100);
    process_signal(paused, SIGCONT);
    CU_ASSERT_TRUE(peer_wait_text(&f, operator_peer, "HTTP/1.1 ", RESUMED_MS));
    CU_ASSERT_EQUAL(peer_count(operator_peer, "HTTP/1.1 200"), 0);
    fixture_run(&f, RESUMED_MS);
    CU_ASSERT_EQUAL(peer_count(reader, "HTTP/1.1 "), 2);
    CU_ASSERT_EQUAL(peer_count(reader, old_version), 1);
    g_free(old_version);
    g_string_free(rival, TRUE);
    fixture_close(&f);
}

static const struct bb_unit_test tests[] = {
    {"paused leader", test_paused_leader},
};

BB_UNIT_MAIN("paused", tests)
