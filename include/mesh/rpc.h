/* ONC RPC over TCP with libtirpc: one server per process, and a pool of client
 * connections. rpcbind is not used.
 *
 * The server runs all handlers in one thread, so a handler must not block and
 * must not make RPC calls itself. */
#ifndef BB_MESH_RPC_H
#define BB_MESH_RPC_H

#include <rpc/rpc.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/address.h"
#include "common/error.h"

/* Limit of an encoded argument; results are not limited by it. */
enum { BB_RPC_ARGUMENT_MAX_BYTES = 252 * 1024 };

enum bb_rpc_error {
    BB_RPC_ERROR_START = 1, /* the server cannot start */
    BB_RPC_ERROR_CONNECT,   /* could not connect; the call was not sent,
                               unless an idle connection was tried first */
    BB_RPC_ERROR_TIMEOUT,   /* no response; the call may have run */
    BB_RPC_ERROR_CALL       /* any other failure; the call may have run,
                               unless the argument exceeds
                               BB_RPC_ARGUMENT_MAX_BYTES: then it was not
                               sent */
};

/* Decodes the arguments of a call, runs it and sends the response. */
typedef void (*bb_rpc_dispatch)(struct svc_req *request, SVCXPRT *transport);

struct bb_rpc_server;

struct bb_rpc_server *
bb_rpc_server_create(const struct bb_address *listen_address,
                     struct bb_error *e);
bool bb_rpc_server_register_program(struct bb_rpc_server *s, uint32_t program,
                                    uint32_t version, bb_rpc_dispatch dispatch,
                                    struct bb_error *e);
bool bb_rpc_server_start(struct bb_rpc_server *s, struct bb_error *e);
uint16_t bb_rpc_server_get_port(const struct bb_rpc_server *s);
void bb_rpc_server_destroy(struct bb_rpc_server *s);

struct bb_rpc_call {
    uint32_t program;
    uint32_t version;
    uint32_t procedure;
    xdrproc_t argument_codec;
    void *argument;
    xdrproc_t result_codec;
    void *result;
    uint32_t timeout_ms;     /* for connecting and for the call, each */
    bool use_new_connection; /* do not use an idle one of the pool */
};

struct bb_rpc_pool;

struct bb_rpc_pool *bb_rpc_pool_create(void);
bool bb_rpc_pool_call(struct bb_rpc_pool *p, const struct bb_address *to,
                      const struct bb_rpc_call *call, struct bb_error *e);
void bb_rpc_pool_destroy(struct bb_rpc_pool *p);

#endif
