/* Guards against losing or reordering accepted revisions when control hosts
 * stop, are isolated or lose their disks. Several hosts run in one process. A
 * fake transport calls the other instances directly and can disconnect hosts;
 * the last test uses a real RPC server. */
#include <errno.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <unistd.h>

#include "agree.h"
#include "common/clock.h"
#include "common/log.h"
#include "control/replicate.h"
#include "unit.h"

enum {
    HOSTS = 5,
    WAIT_US = 6 * 1000 * 1000, /* for a leader or a revision */
    POLL_US = 10 * 1000,
    PROPOSE_MS = 5000, /* timeout of a proposal */
    PAYLOAD_BYTES = 100000
};

struct host {
    struct bb_replicate *r;
    char folder[256];
    atomic_bool is_disconnected;
    bool uses_full_disk_files;
    atomic_uint delivered_revision; /* last revision passed to the callback */
    atomic_uint delivery_count;     /* calls of the callback since the start */
    atomic_bool has_delivery_error; /* wrong order or digest */
};

static struct bb_replicate_host control_hosts[HOSTS];
static struct host hosts[HOSTS];
static uint32_t host_count;
static pthread_rwlock_t lock = PTHREAD_RWLOCK_INITIALIZER;
static atomic_ullong cross_region_bytes; /* payload bytes sent to or fetched
                                            from another region */
static atomic_bool disk_is_full;

/* Returns the host with a name, which is "h" and its index. */
static struct host *
find_host(const char *name)
{
    return &hosts[name[1] - '0'];
}

/* Calls the other instance and counts payload bytes; the context is the
 * calling host. */
static bool
call_host(void *context, const struct bb_replicate_host *to,
          uint32_t procedure, void *argument, void *result,
          uint32_t timeout_ms)
{
    struct host *from = context;
    struct host *target = find_host(to->host);
    bool crosses_regions =
        strcmp(to->region, control_hosts[from - hosts].region) != 0;
    bool has_response = false;

    (void)timeout_ms;
    (void)pthread_rwlock_rdlock(&lock);
    if (!from->is_disconnected && !target->is_disconnected &&
        target->r != NULL) {
        has_response =
            bb_replicate_dispatch(target->r, procedure, argument, result);
    }
    if (has_response && crosses_regions && procedure == AGREE_APPEND) {
        cross_region_bytes +=
            ((agree_envelope *)argument)->payload.payload_len;
    }
    if (has_response && crosses_regions && procedure == AGREE_PROPOSE) {
        const agree_propose_body *body =
            &((agree_propose_message *)argument)->body;

        if (body->kind == AGREE_PROPOSE_REQUEST) {
            cross_region_bytes +=
                body->agree_propose_body_u.proposal.payload.payload_len;
        }
    }
    if (has_response && crosses_regions && procedure == AGREE_FETCH_PAYLOAD) {
        cross_region_bytes +=
            ((agree_fetch_response *)result)->payload.payload_len;
    }
    (void)pthread_rwlock_unlock(&lock);
    return has_response;
}

/* Checks that revisions ascend and that the payload matches its digest. */
static void
check_committed(void *context, uint64_t revision, uint64_t version,
                const struct bb_digest *digest, const void *payload,
                size_t size_bytes)
{
    struct host *h = context;
    struct bb_digest found = bb_digest_compute(payload, size_bytes);

    (void)version;
    if (revision <= h->delivered_revision ||
        !bb_digest_equal(&found, digest)) {
        h->has_delivery_error = true;
    }
    h->delivered_revision = (unsigned)revision;
    h->delivery_count++;
}

static ssize_t
failing_write(int fd, const void *data, size_t size_bytes)
{
    if (disk_is_full) {
        errno = ENOSPC;
        return -1;
    }
    return write(fd, data, size_bytes);
}

static const struct bb_store_file_operations failing_files = {
    .write = failing_write,
    .fdatasync = fdatasync,
    .fsync = fsync,
    .ftruncate = ftruncate,
    .rename = rename};

static void
start_host(uint32_t i)
{
    struct host *h = &hosts[i];
    struct bb_error e = {0};
    const struct bb_replicate_transport transport = {.context = h,
                                                     .call = call_host};
    const struct bb_replicate_settings s = {
        .host = control_hosts[i].host,
        .zone = "z",
        .region = control_hosts[i].region,
        .hosts = control_hosts,
        .host_count = host_count,
        .data_folder = h->folder,
        .seed = 100 + i,
        .transport = &transport,
        .file_operations = h->uses_full_disk_files ? &failing_files : NULL,
        .context = h,
        .revision_committed = check_committed,
    };
    struct bb_replicate *r = bb_replicate_create(&s, &e);

    CU_ASSERT_PTR_NOT_NULL_FATAL(r);
    (void)pthread_rwlock_wrlock(&lock);
    h->r = r;
    (void)pthread_rwlock_unlock(&lock);
}

static void
stop_host(uint32_t i)
{
    struct bb_replicate *r;

    (void)pthread_rwlock_wrlock(&lock);
    r = hosts[i].r;
    hosts[i].r = NULL;
    (void)pthread_rwlock_unlock(&lock);
    bb_replicate_destroy(r);
    hosts[i].delivered_revision = 0;
    hosts[i].delivery_count = 0;
}

/* Removes a host's data folder with its content. */
static void
remove_folder(const char *folder)
{
    const char *name;
    GDir *dir = g_dir_open(folder, 0, NULL);

    while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
        char *path = g_build_filename(folder, name, NULL);

        if (g_file_test(path, G_FILE_TEST_IS_DIR)) {
            remove_folder(path);
        }
        else {
            (void)g_unlink(path);
        }
        g_free(path);
    }
    if (dir != NULL) {
        g_dir_close(dir);
    }
    (void)g_rmdir(folder);
}

/* Returns the index of the leader that knows a quorum, or -1. */
static int
find_leader(void)
{
    for (uint32_t i = 0; i < host_count; i++) {
        struct bb_replicate_status s;

        if (hosts[i].r != NULL && !hosts[i].is_disconnected) {
            bb_replicate_status(hosts[i].r, &s);
            if (s.role == BB_AGREE_LEADER && s.has_recent_quorum) {
                return (int)i;
            }
        }
    }
    return -1;
}

static int
wait_for_leader(void)
{
    uint64_t end_us = bb_clock_now_us() + WAIT_US;
    int leader = find_leader();

    while (leader < 0 && bb_clock_now_us() < end_us) {
        bb_clock_sleep_us(POLL_US);
        leader = find_leader();
    }
    CU_ASSERT_TRUE_FATAL(leader >= 0);
    return leader;
}

/* Waits until all running, connected hosts have a revision; false if that
 * takes longer than WAIT_US. */
static bool
wait_for_revision(uint64_t revision)
{
    uint64_t end_us = bb_clock_now_us() + WAIT_US;
    bool is_everywhere = false;

    while (!is_everywhere && bb_clock_now_us() < end_us) {
        is_everywhere = true;
        for (uint32_t i = 0; i < host_count; i++) {
            if (hosts[i].r != NULL && !hosts[i].is_disconnected &&
                hosts[i].delivered_revision < revision) {
                is_everywhere = false;
            }
        }
        bb_clock_sleep_us(POLL_US);
    }
    return is_everywhere;
}

/* Starts hosts with empty disks and waits for a leader. The first near_count
 * are in one region, the others in another. */
static void
start_hosts(uint32_t count, uint32_t near_count)
{
    static bool is_log_started;

    if (!is_log_started) {
        /* GLib's default log writer converts local times; the thread sanitizer
         * reports a race in the lock for that. */
        bb_log_init("test_replicate", "test", false);
        is_log_started = true;
    }
    host_count = count;
    for (uint32_t i = 0; i < count; i++) {
        char *folder = g_dir_make_tmp("baobab-replicate-XXXXXX", NULL);

        memset(&hosts[i], 0, sizeof(hosts[i]));
        (void)g_snprintf(control_hosts[i].host, sizeof(control_hosts[i].host),
                         "h%u", i);
        (void)g_strlcpy(control_hosts[i].region,
                        i < near_count ? "near" : "far",
                        sizeof(control_hosts[i].region));
        (void)g_strlcpy(hosts[i].folder, folder, sizeof(hosts[i].folder));
        g_free(folder);
    }
    for (uint32_t i = 0; i < count; i++) {
        start_host(i);
    }
    (void)wait_for_leader();
}

static void
stop_hosts(void)
{
    for (uint32_t i = 0; i < host_count; i++) {
        CU_ASSERT_FALSE(hosts[i].has_delivery_error);
        stop_host(i);
        remove_folder(hosts[i].folder);
    }
}

/* Proposes a payload of a size that starts with a number. */
static struct bb_replicate_result
propose(uint32_t host, uint64_t base, uint64_t version, uint32_t content,
        size_t size, uint32_t timeout_ms)
{
    char *payload = g_malloc0(size);
    struct bb_replicate_result result;
    struct bb_digest digest;

    memcpy(payload, &content, sizeof(content));
    digest = bb_digest_compute(payload, size);
    result = bb_replicate_propose(hosts[host].r, base, version, &digest,
                                  payload, size, timeout_ms);
    g_free(payload);
    return result;
}

static void
check_result(struct bb_replicate_result result,
             enum bb_replicate_outcome outcome, uint64_t revision)
{
    CU_ASSERT_STRING_EQUAL(bb_replicate_outcome_name(result.outcome),
                           bb_replicate_outcome_name(outcome));
    CU_ASSERT_EQUAL(result.revision, revision);
}

/* Guards against payloads larger than an RPC argument not reaching the leader
 * or the other hosts. */
static void
test_largest_payload(void)
{
    start_hosts(3, 2);
    for (uint32_t i = 0; i < 3; i++) {
        check_result(propose(i, i, 0, i + 1, BB_REPLICATE_PAYLOAD_MAX_BYTES,
                             PROPOSE_MS),
                     BB_REPLICATE_ACCEPTED, i + 1);
    }
    CU_ASSERT_TRUE(wait_for_revision(3));
    check_result(propose(0, 3, 0, 4, BB_REPLICATE_PAYLOAD_MAX_BYTES + 1, 100),
                 BB_REPLICATE_BAD_PAYLOAD, 0);
    stop_hosts();
    cross_region_bytes = 0;
}

/* Guards against hosts other than the leader not accepting proposals, and
 * against refusals that differ between hosts. */
static void
test_proposals_on_any_host(void)
{
    start_hosts(3, 3);
    for (uint32_t i = 0; i < 3; i++) {
        check_result(propose(i, i, i + 1, i + 1, 1000, PROPOSE_MS),
                     BB_REPLICATE_ACCEPTED, i + 1);
    }
    check_result(propose(0, 2, 3, 3, 1000, PROPOSE_MS), BB_REPLICATE_ACCEPTED,
                 3);
    check_result(propose(1, 3, 3, 9, 1000, PROPOSE_MS),
                 BB_REPLICATE_VERSION_CONFLICT, 3);
    check_result(propose(2, 1, 0, 9, 1000, PROPOSE_MS),
                 BB_REPLICATE_STALE_BASE, 3);
    CU_ASSERT_TRUE(wait_for_revision(3));
    /* A host that was behind may get only the last of several revisions, but
     * none twice. */
    for (uint32_t i = 0; i < 3; i++) {
        CU_ASSERT_EQUAL(hosts[i].delivered_revision, 3);
        CU_ASSERT_TRUE(hosts[i].delivery_count >= 1 &&
                       hosts[i].delivery_count <= 3);
        CU_ASSERT_FALSE(hosts[i].has_delivery_error);
    }
    stop_hosts();
}

struct concurrent_proposer {
    pthread_t thread;
    uint32_t host;
    struct bb_replicate_result result;
};

static void *
propose_concurrently(void *argument)
{
    struct concurrent_proposer *a = argument;

    a->result = propose(a->host, 0, 7, a->host + 1, 1000, PROPOSE_MS);
    return NULL;
}

/* Guards against accepting two contents with the same version when operators
 * propose them on different hosts at the same time. */
static void
test_concurrent_equal_versions(void)
{
    struct concurrent_proposer proposers[3];
    uint32_t accepted = 0;

    start_hosts(3, 3);
    for (uint32_t i = 0; i < 3; i++) {
        proposers[i].host = i;
        (void)pthread_create(&proposers[i].thread, NULL, propose_concurrently,
                             &proposers[i]);
    }
    for (uint32_t i = 0; i < 3; i++) {
        (void)pthread_join(proposers[i].thread, NULL);
        accepted += proposers[i].result.outcome == BB_REPLICATE_ACCEPTED;
        CU_ASSERT_TRUE(proposers[i].result.outcome == BB_REPLICATE_ACCEPTED ||
                       proposers[i].result.outcome ==
                           BB_REPLICATE_VERSION_CONFLICT);
    }
    CU_ASSERT_EQUAL(accepted, 1);
    stop_hosts();
}

/* Guards against more than one copy of a payload on the paid link between
 * regions. */
static void
test_one_copy_between_regions(void)
{
    uint32_t leader;

    start_hosts(5, 3);
    leader = (uint32_t)find_leader();
    check_result(propose(leader, 0, 0, 1, PAYLOAD_BYTES, PROPOSE_MS),
                 BB_REPLICATE_ACCEPTED, 1);
    CU_ASSERT_TRUE(wait_for_revision(1));
    CU_ASSERT_EQUAL(cross_region_bytes, PAYLOAD_BYTES);
    /* Now a host of the region without the leader proposes. */
    cross_region_bytes = 0;
    check_result(
        propose(leader < 3 ? 4 : 0, 1, 0, 2, PAYLOAD_BYTES, PROPOSE_MS),
        BB_REPLICATE_ACCEPTED, 2);
    CU_ASSERT_TRUE(wait_for_revision(2));
    CU_ASSERT_EQUAL(cross_region_bytes, PAYLOAD_BYTES);
    stop_hosts();
    cross_region_bytes = 0;
}

/* Guards against an isolated leader that still accepts proposals, or whose
 * status does not show the missing quorum within 2 s, and against losing a
 * revision when it returns. */
static void
test_isolated_leader(void)
{
    struct bb_replicate_status s;
    uint32_t old_leader;

    start_hosts(3, 3);
    old_leader = (uint32_t)find_leader();
    hosts[old_leader].is_disconnected = true;
    check_result(propose(old_leader, 0, 0, 1, 1000, 1500),
                 BB_REPLICATE_NO_QUORUM, 0);
    bb_clock_sleep_us(500 * BB_US_PER_MS);
    bb_replicate_status(hosts[old_leader].r, &s);
    CU_ASSERT_FALSE(s.has_recent_quorum);
    CU_ASSERT_NOT_EQUAL(s.role, BB_AGREE_LEADER);
    check_result(
        propose((uint32_t)wait_for_leader(), 0, 0, 2, 1000, PROPOSE_MS),
        BB_REPLICATE_ACCEPTED, 1);
    hosts[old_leader].is_disconnected = false;
    CU_ASSERT_TRUE(wait_for_revision(1));
    check_result(propose(old_leader, 0, 0, 1, 1000, PROPOSE_MS),
                 BB_REPLICATE_STALE_BASE, 1);
    stop_hosts();
}

/* Guards against a host that does not get the current revision when it returns
 * after 300 changes, and against one that does not deliver its recovered
 * revision at the start, before it is connected. */
static void
test_restart_after_many_changes(void)
{
    uint32_t restarted;

    start_hosts(3, 3);
    restarted = ((uint32_t)find_leader() + 1) % 3;
    check_result(propose(restarted, 0, 0, 1, 1000, PROPOSE_MS),
                 BB_REPLICATE_ACCEPTED, 1);
    CU_ASSERT_TRUE(wait_for_revision(1));
    stop_host(restarted);
    for (uint32_t i = 1; i <= 300; i++) {
        check_result(propose((uint32_t)wait_for_leader(), i, 0, i + 1, 1000,
                             PROPOSE_MS),
                     BB_REPLICATE_ACCEPTED, i + 1);
    }
    hosts[restarted].is_disconnected = true;
    start_host(restarted);
    bb_clock_sleep_us(300 * BB_US_PER_MS);
    CU_ASSERT_EQUAL(hosts[restarted].delivered_revision, 1);
    hosts[restarted].is_disconnected = false;
    CU_ASSERT_TRUE(wait_for_revision(301));
    stop_hosts();
}

/* Guards against a host with a replaced disk that does not become a voter, and
 * against losing revisions if the leader's disk is lost right after. */
static void
test_replaced_disk(void)
{
    struct bb_replicate_status s = {0};
    uint64_t end_us;
    uint32_t leader;
    uint32_t lost;

    start_hosts(3, 3);
    leader = (uint32_t)find_leader();
    lost = (leader + 1) % 3;
    check_result(propose(leader, 0, 0, 1, PAYLOAD_BYTES, PROPOSE_MS),
                 BB_REPLICATE_ACCEPTED, 1);
    stop_host(lost);
    remove_folder(hosts[lost].folder);
    start_host(lost);
    end_us = bb_clock_now_us() + WAIT_US;
    while (!s.can_vote && bb_clock_now_us() < end_us) {
        bb_clock_sleep_us(POLL_US);
        bb_replicate_status(hosts[lost].r, &s);
    }
    CU_ASSERT_TRUE(s.can_vote);
    stop_host(leader);
    remove_folder(hosts[leader].folder);
    check_result(propose(lost, 1, 0, 2, 1000, 2 * PROPOSE_MS),
                 BB_REPLICATE_ACCEPTED, 2);
    CU_ASSERT_TRUE(wait_for_revision(2));
    start_host(leader);
    CU_ASSERT_TRUE(wait_for_revision(2));
    stop_hosts();
}

/* Guards against a host with a full disk that still votes or whose status
 * shows its revision as confirmed. */
static void
test_full_disk(void)
{
    struct bb_replicate_status s;
    uint32_t leader;

    start_hosts(3, 3);
    leader = (uint32_t)find_leader();
    stop_host(leader);
    hosts[leader].uses_full_disk_files = true;
    start_host(leader);
    (void)wait_for_leader();
    check_result(
        propose((uint32_t)wait_for_leader(), 0, 0, 1, 1000, PROPOSE_MS),
        BB_REPLICATE_ACCEPTED, 1);
    CU_ASSERT_TRUE(wait_for_revision(1));
    disk_is_full = true;
    check_result(propose((leader + 1) % 3, 1, 0, 2, 1000, 2 * PROPOSE_MS),
                 BB_REPLICATE_ACCEPTED, 2);
    bb_clock_sleep_us(BB_US_PER_S);
    bb_replicate_status(hosts[leader].r, &s);
    CU_ASSERT_FALSE(s.can_vote);
    CU_ASSERT_FALSE(s.has_recent_quorum);
    CU_ASSERT_TRUE(strlen(s.no_vote_reason) > 0);
    CU_ASSERT_EQUAL(s.revision, 1);
    disk_is_full = false;
    stop_hosts();
}

/* Calls a procedure of the RPC server; false if it does not succeed. */
static bool
call_rpc(struct bb_rpc_pool *pool, const struct bb_address *to,
         uint32_t procedure, xdrproc_t argument_codec, void *argument,
         xdrproc_t result_codec, void *result)
{
    struct bb_error e = {0};

    return bb_rpc_pool_call(
        pool, to,
        &(struct bb_rpc_call){.program = AGREE_PROGRAM,
                              .version = AGREE_VERSION,
                              .procedure = procedure,
                              .argument_codec = argument_codec,
                              .argument = argument,
                              .result_codec = result_codec,
                              .result = result,
                              .timeout_ms = 1000},
        &e);
}

/* Guards against accepting RPC requests that are malformed, unknown or from
 * another cluster. */
static void
test_rpc_requests(void)
{
    struct bb_rpc_pool *pool = bb_rpc_pool_create();
    struct bb_error e = {0};
    struct bb_rpc_server *server;
    struct bb_address address;
    agree_envelope envelope = {0};
    agree_fetch_request fetch = {0};
    agree_fetch_response fetched = {0};
    agree_ack ack = {.is_accepted = true};

    start_hosts(1, 1);
    check_result(propose(0, 0, 0, 1, PAYLOAD_BYTES, PROPOSE_MS),
                 BB_REPLICATE_ACCEPTED, 1);
    CU_ASSERT_TRUE_FATAL(bb_address_parse("127.0.0.1:0", &address));
    server = bb_rpc_server_create(&address, &e);
    CU_ASSERT_PTR_NOT_NULL_FATAL(server);
    CU_ASSERT_TRUE(bb_replicate_register_rpc(hosts[0].r, server, &e));
    CU_ASSERT_TRUE_FATAL(bb_rpc_server_start(server, &e));
    address.port = bb_rpc_server_get_port(server);
    envelope.message.kind = BB_AGREE_MESSAGE_KIND_COUNT;
    CU_ASSERT_TRUE(call_rpc(pool, &address, AGREE_APPEND,
                            (xdrproc_t)xdr_agree_envelope, &envelope,
                            (xdrproc_t)xdr_agree_ack, &ack));
    CU_ASSERT_FALSE(ack.is_accepted);
    CU_ASSERT_TRUE(call_rpc(pool, &address, AGREE_FETCH_PAYLOAD,
                            (xdrproc_t)xdr_agree_fetch_request, &fetch,
                            (xdrproc_t)xdr_agree_fetch_response, &fetched));
    CU_ASSERT_FALSE(fetched.is_found);
    envelope.message.kind = BB_AGREE_VOTE; /* of no cluster: its id is 0 */
    envelope.payload.payload_val = g_malloc0(AGREE_INLINE_PAYLOAD_MAX_BYTES);
    envelope.payload.payload_len = AGREE_INLINE_PAYLOAD_MAX_BYTES;
    CU_ASSERT_TRUE(call_rpc(pool, &address, AGREE_APPEND,
                            (xdrproc_t)xdr_agree_envelope, &envelope,
                            (xdrproc_t)xdr_agree_ack, &ack));
    CU_ASSERT_FALSE(ack.is_accepted);
    g_free(envelope.payload.payload_val);
    CU_ASSERT_FALSE(call_rpc(pool, &address, 99,
                             (xdrproc_t)xdr_agree_fetch_request, &fetch,
                             (xdrproc_t)xdr_agree_ack, &ack));
    CU_ASSERT_FALSE(call_rpc(pool, &address, AGREE_PROPOSE,
                             (xdrproc_t)xdr_agree_fetch_request, &fetch,
                             (xdrproc_t)xdr_agree_ack, &ack));
    bb_rpc_server_destroy(server);
    bb_rpc_pool_destroy(pool);
    stop_hosts();
}

static const struct bb_unit_test tests[] = {
    {"proposals on any host", test_proposals_on_any_host},
    {"equal versions proposed concurrently", test_concurrent_equal_versions},
    {"one payload copy between regions", test_one_copy_between_regions},
    {"isolated leader", test_isolated_leader},
    {"restart after many changes", test_restart_after_many_changes},
    {"replaced disk", test_replaced_disk},
    {"full disk", test_full_disk},
    {"largest payload", test_largest_payload},
    {"RPC requests", test_rpc_requests},
};

BB_UNIT_MAIN("replicate", tests)
