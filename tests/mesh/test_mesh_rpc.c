/* A control host and a node in two processes, with RPC over TCP: the node
 * joins, and the control host pushes revisions and learns from the node's
 * record that they are in force. Guards against a protocol that works only
 * with the fake transport. */
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include "fake_mesh.h"

/* Indices of fakes, and the limit of the wait for one push. */
enum { CONTROL_HOST_INDEX = 0, NODE_INDEX = 1, PUSH_TIMEOUT_MS = 10000 };

/* Starts the mesh of this process with RPC over TCP; exits on failure. */
static struct bb_mesh *
start_mesh(uint32_t i, struct bb_rpc_server *server)
{
    struct fake_member *f = &fakes[i];
    struct bb_error e = {0};
    struct bb_mesh_settings s = {
        .self = {.zone = "a1",
                 .region = "a",
                 .role = i == NODE_INDEX ? BB_ROLE_NODE : BB_ROLE_CONTROL,
                 .rpc_address = {.ip = "127.0.0.1",
                                 .port = bb_rpc_server_get_port(server)},
                 .incarnation = 1},
        .control_hosts = fake_control_hosts,
        .gossip_bind_address = {.ip = "127.0.0.1"},
        .seed = i + 1,
        .callbacks = {.context = f,
                      .encode_payload = fake_encode_payload,
                      .apply_payload =
                          i == NODE_INDEX ? fake_apply_payload : NULL},
    };

    (void)snprintf(s.self.host, sizeof(s.self.host), "host-%u", i);
    f->mesh = bb_mesh_create(&s, &e);
    if (f->mesh == NULL || !bb_mesh_register_rpc(f->mesh, server, &e) ||
        !bb_rpc_server_start(server, &e) || !bb_mesh_start(f->mesh, &e)) {
        (void)fprintf(stderr, "%s\n", e.message);
        exit(EXIT_FAILURE);
    }
    return f->mesh;
}

/* Runs the node in the child process: reads the control host's port and runs
 * until it is killed. */
static void
run_node(int port_fd)
{
    const struct bb_address any = {.ip = "127.0.0.1"};
    struct bb_error e = {0};
    struct bb_rpc_server *server = bb_rpc_server_create(&any, &e);

    uint16_t port = 0;

    if (read(port_fd, &port, sizeof(port)) != sizeof(port)) {
        _exit(EXIT_FAILURE);
    }
    fake_control_hosts.items[CONTROL_HOST_INDEX].rpc_address.port = port;
    (void)start_mesh(NODE_INDEX, server);
    bb_clock_sleep_us(60ULL * BB_US_PER_S);
    _exit(EXIT_SUCCESS);
}

static bool
is_in_force_on_node(struct bb_mesh *mesh, uint64_t revision)
{
    struct bb_member_list list;
    bool is_found = false;

    bb_mesh_copy_members(mesh, &list);
    for (size_t i = 0; i < list.count; i++) {
        is_found |= list.items[i].role == BB_ROLE_NODE &&
                    list.items[i].applied_revision == revision;
    }
    bb_member_list_clear(&list);
    return is_found;
}

/* Guards against a revision pushed over TCP that does not come into force on
 * the node, or whose use the control host does not learn of in time. */
static void
test_push_over_rpc(void)
{
    const struct bb_address any = {.ip = "127.0.0.1"};
    struct bb_error e = {0};
    struct bb_rpc_server *server;
    struct bb_mesh *mesh;
    uint16_t port;
    int port_fds[2];
    pid_t node;

    fake_add_control_host(CONTROL_HOST_INDEX, "a1", "a");
    CU_ASSERT_EQUAL_FATAL(pipe(port_fds), 0);
    /* Fork before this process has threads or an RPC server: otherwise the
     * child could accept calls on the inherited listening socket. */
    node = fork();
    if (node == 0) {
        run_node(port_fds[0]);
    }
    server = bb_rpc_server_create(&any, &e);
    CU_ASSERT_PTR_NOT_NULL_FATAL(server);
    port = bb_rpc_server_get_port(server);
    fake_control_hosts.items[CONTROL_HOST_INDEX].rpc_address.port = port;
    CU_ASSERT_EQUAL(write(port_fds[1], &port, sizeof(port)), sizeof(port));
    mesh = start_mesh(CONTROL_HOST_INDEX, server);
    for (uint64_t revision = 1; revision <= 3; revision++) {
        uint64_t end_us = bb_clock_now_us() + PUSH_TIMEOUT_MS * BB_US_PER_MS;

        fake_announce_revision(CONTROL_HOST_INDEX, revision);
        while (!is_in_force_on_node(mesh, revision) &&
               bb_clock_now_us() < end_us) {
            bb_clock_sleep_us(10 * BB_US_PER_MS);
        }
        CU_ASSERT_TRUE(is_in_force_on_node(mesh, revision));
    }
    (void)close(port_fds[0]);
    (void)close(port_fds[1]);
    (void)kill(node, SIGKILL);
    (void)waitpid(node, NULL, 0);
    bb_mesh_stop(mesh, false);
    bb_rpc_server_destroy(server);
    bb_mesh_destroy(mesh);
}

static const struct bb_unit_test tests[] = {
    {"push over RPC", test_push_over_rpc},
};

BB_UNIT_MAIN("mesh_rpc", tests)
