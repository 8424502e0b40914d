#include "proxy/proxy.h"

#include <microhttpd.h>
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/digest.h"
#include "common/log.h"
#include "proxy/internal.h"

enum {
    /* More than the slots of a typical upstream: under overload, requests must
     * queue at gatekeepers, which decide by deadline, and not wait for workers
     * in the order in which these become free. */
    DEFAULT_DEPTH_ZERO_MAX = 256,
    DEFAULT_EXTRA_PER_DEPTH = 16,
    DEFAULT_DETACHED_MAX = 64,
    DEFAULT_CONNECTION_LIMIT = 4096,
    DEFAULT_IDLE_TIMEOUT_MS = 10000,
    DEFAULT_CHECK_INTERVAL_MS = 1000,
    DEFAULT_RECORD_ENTRIES = 131072,
    DEFAULT_RETENTION_S = 600,
    STORED_RESPONSES_MAX_BYTES = 16 * 1024 * 1024,
    /* libmicrohttpd keeps the head and the read buffer of a connection in one
     * memory pool. */
    CONNECTION_MEMORY_BYTES = 40 * 1024,
    CONNECTION_MEMORY_INCREMENT_BYTES = 4096,
    STACK_BYTES = 256 * 1024,
    LISTEN_BACKLOG = 1024,
    LOCAL_CONNECTION_LIMIT = 64,
    MS_PER_S = 1000,
    TICK_INTERVAL_US = 50 * BB_US_PER_MS,
    DRAIN_CHECK_INTERVAL_US = 5 * BB_US_PER_MS,
    /* Other nodes may have sent a request on an idle connection just before it
     * was closed. For this long they can still query its state. */
    QUERY_GRACE_US = BB_US_PER_S,
    WORKER_EXIT_TIMEOUT_MS = 3000
};

BB_GAUGE(in_flight_gauge, "baobab_requests_in_flight",
         "Requests from their head to the end of their answer");

/* Workers for the local upstream are limited by its slots, not by the pool. */
static const struct bb_workers_limits upstream_limits = {
    .depth_zero_max = BB_ADMISSION_SLOTS_MAX,
    .extra_per_depth = DEFAULT_EXTRA_PER_DEPTH,
    .detached_max = DEFAULT_DETACHED_MAX,
};

/* Replaces numbers that are 0 by their defaults. */
static void
set_defaults(struct bb_proxy_settings *s)
{
    uint32_t *numbers[] = {
        &s->workers.depth_zero_max, &s->workers.extra_per_depth,
        &s->workers.detached_max,   &s->connection_limit,
        &s->idle_timeout_ms,        &s->check_interval_ms,
        &s->record_entries,         &s->retention_s,
    };
    static const uint32_t defaults[] = {
        DEFAULT_DEPTH_ZERO_MAX,  DEFAULT_EXTRA_PER_DEPTH,
        DEFAULT_DETACHED_MAX,    DEFAULT_CONNECTION_LIMIT,
        DEFAULT_IDLE_TIMEOUT_MS, DEFAULT_CHECK_INTERVAL_MS,
        DEFAULT_RECORD_ENTRIES,  DEFAULT_RETENTION_S,
    };

    for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++) {
        if (*numbers[i] == 0) {
            *numbers[i] = defaults[i];
        }
    }
}

/* URI log callback: creates the exchange while the target is still undecoded.
 */
static void *
on_target(void *context, const char *url, struct MHD_Connection *connection)
{
    (void)connection;
    return bb_exchange_create(context, url);
}

/* Access handler for requests of callers and other nodes. */
static enum MHD_Result
on_request(void *context, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *data,
           size_t *size, void **state)
{
    (void)context;
    (void)url;
    (void)version;
    return *state != NULL
               ? bb_exchange_process(*state, connection, method, data, size)
               : MHD_NO;
}

/* Completion callback: destroys the exchange, complete or aborted. */
static void
on_completed(void *context, struct MHD_Connection *connection, void **state,
             enum MHD_RequestTerminationCode code)
{
    (void)context;
    (void)connection;
    (void)code;
    if (*state != NULL) {
        bb_exchange_destroy(*state);
        *state = NULL;
    }
}

/* Access handler for requests of the local upstream. */
static enum MHD_Result
on_local_request(void *context, struct MHD_Connection *connection,
                 const char *url, const char *method, const char *version,
                 const char *data, size_t *size, void **state)
{
    (void)version;
    return bb_local_process(context, connection, url, method, data, size,
                            state);
}

/* Completion callback for requests of the local upstream. */
static void
on_local_completed(void *context, struct MHD_Connection *connection,
                   void **state, enum MHD_RequestTerminationCode code)
{
    (void)context;
    (void)connection;
    (void)code;
    bb_local_request_destroy(state);
}

/* Unescape callback that keeps targets as they are, because they are forwarded
 * unchanged. */
static size_t
keep_escapes(void *context, struct MHD_Connection *connection, char *text)
{
    (void)context;
    (void)connection;
    return strlen(text);
}

/* Starts an HTTP server and sets *bound to its address with the actual port.
 * Returns NULL with BB_PROXY_ERROR_START on failure. */
static struct MHD_Daemon *
start_daemon(struct bb_proxy *p, const struct bb_address *listen,
             const struct MHD_OptionItem *options,
             MHD_AccessHandlerCallback handler, struct bb_address *bound,
             struct bb_error *e)
{
    struct sockaddr_storage address;
    const union MHD_DaemonInfo *info;
    struct MHD_Daemon *d;
    char text[BB_ADDRESS_TEXT_BYTES];
    unsigned flags = MHD_USE_THREAD_PER_CONNECTION |
                     MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL |
                     MHD_USE_ITC;

    (void)bb_address_to_sockaddr(listen, &address);
    if (address.ss_family == AF_INET6) {
        flags |= MHD_USE_IPv6;
    }
    d = MHD_start_daemon(
        flags, listen->port, NULL, NULL, handler, p, MHD_OPTION_SOCK_ADDR,
        &address, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        (size_t)CONNECTION_MEMORY_BYTES,
        MHD_OPTION_CONNECTION_MEMORY_INCREMENT,
        (size_t)CONNECTION_MEMORY_INCREMENT_BYTES,
        MHD_OPTION_THREAD_STACK_SIZE, (size_t)STACK_BYTES,
        MHD_OPTION_LISTEN_BACKLOG_SIZE, (unsigned)LISTEN_BACKLOG,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_STRICT_FOR_CLIENT,
        1, MHD_OPTION_CONNECTION_TIMEOUT,
        (p->settings.idle_timeout_ms + MS_PER_S - 1) / MS_PER_S,
        MHD_OPTION_ARRAY, options, MHD_OPTION_END);
    if (d == NULL) {
        bb_error_set(e, BB_PROXY_ERROR_START, "cannot listen on %s",
                     bb_address_format(listen, text));
        return NULL;
    }
    *bound = *listen;
    info = MHD_get_daemon_info(d, MHD_DAEMON_INFO_BIND_PORT);
    if (info != NULL && info->port != 0) {
        bound->port = info->port;
    }
    return d;
}

/* Starts both HTTP servers. Returns false with BB_PROXY_ERROR_START if one
 * cannot listen. */
static bool
start_daemons(struct bb_proxy *p, struct bb_error *e)
{
    const struct MHD_OptionItem caller_options[] = {
        {MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)on_completed, p},
        {MHD_OPTION_URI_LOG_CALLBACK, (intptr_t)on_target, p},
        {MHD_OPTION_UNESCAPE_CALLBACK, (intptr_t)keep_escapes, p},
        {MHD_OPTION_CONNECTION_LIMIT, p->settings.connection_limit, NULL},
        {MHD_OPTION_END, 0, NULL},
    };
    const struct MHD_OptionItem local_options[] = {
        {MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)on_local_completed, p},
        {MHD_OPTION_CONNECTION_LIMIT, LOCAL_CONNECTION_LIMIT, NULL},
        {MHD_OPTION_END, 0, NULL},
    };

    p->caller_daemon =
        start_daemon(p, &p->settings.caller_listen, caller_options, on_request,
                     &p->caller_address, e);
    if (p->caller_daemon == NULL) {
        return false;
    }
    p->local_daemon = start_daemon(p, &p->settings.local_listen, local_options,
                                   on_local_request, &p->local_address, e);
    return p->local_daemon != NULL;
}

/* Thread main function: runs the gatekeeper's timers and updates metrics. */
static void *
run_ticks(void *context)
{
    struct bb_proxy *p = context;

    while (!atomic_load(&p->is_stopping)) {
        bb_gatekeeper_tick(p->gatekeeper);
        bb_counter_set(&in_flight_gauge, atomic_load(&p->in_flight));
        bb_clock_sleep_us(TICK_INTERVAL_US);
    }
    return NULL;
}

/* Creates the proxy and starts its HTTP servers. Requests are refused until a
 * table is set. Returns NULL with BB_PROXY_ERROR_START if an address cannot
 * be bound or a thread cannot be started. */
struct bb_proxy *
bb_proxy_create(const struct bb_proxy_settings *s, struct bb_error *e)
{
    struct bb_proxy *p = g_new0(struct bb_proxy, 1);
    struct bb_gatekeeper_settings gatekeeper_settings;

    p->settings = *s;
    set_defaults(&p->settings);
    (void)g_strlcpy(p->host, s->host, sizeof(p->host));
    (void)g_strlcpy(p->zone, s->zone, sizeof(p->zone));
    (void)g_strlcpy(p->region, s->region, sizeof(p->region));
    gatekeeper_settings = (struct bb_gatekeeper_settings){
        .incarnation = s->incarnation,
        .record_entries = p->settings.record_entries,
        .retention_s = p->settings.retention_s,
        .stored_max_bytes = STORED_RESPONSES_MAX_BYTES,
        .ignores_slots = s->ignores_slots,
        .upstream_changed = s->upstream_changed,
        .upstream_changed_context = s->upstream_changed_context,
    };
    /* Nodes with the same seed must not generate equal request ids. */
    p->random = bb_random_create(
        bb_hash64(p->host, strlen(p->host), s->seed ^ s->incarnation));
    p->current_table = bb_current_table_create();
    p->workers = bb_workers_create(&p->settings.workers);
    p->client = bb_http_client_create(p->workers);
    p->upstream_workers = bb_workers_create(&upstream_limits);
    p->upstream_client = bb_http_client_create(p->upstream_workers);
    p->picker = bb_picker_create(s->routing_policy != NULL ? s->routing_policy
                                                           : "least_wait");
    p->claims =
        bb_claims_create(bb_host_key(p->host), p->settings.record_entries,
                         p->settings.retention_s, s->restarted_without_data);
    p->gatekeeper = bb_gatekeeper_create(&gatekeeper_settings);
    if (!start_daemons(p, e)) {
        goto fail;
    }
    if (pthread_create(&p->tick_thread, NULL, run_ticks, p) != 0) {
        bb_error_set(e, BB_PROXY_ERROR_START, "cannot start the tick thread");
        goto fail;
    }
    p->has_tick_thread = true;
    return p;
fail:
    bb_proxy_destroy(p);
    return NULL;
}

/* Returns the address for callers and other nodes, with the actual port. */
struct bb_address
bb_proxy_caller_address(const struct bb_proxy *p)
{
    return p->caller_address;
}

/* Returns the address for the local upstream, with the actual port. */
struct bb_address
bb_proxy_local_address(const struct bb_proxy *p)
{
    return p->local_address;
}

/* Closes idle connections to gatekeepers that are no longer usable in the new
 * table. A host that has left would neither respond on them nor to queries
 * about a request. */
static void
close_unusable_peers(struct bb_proxy *p, const struct bb_table *old,
                     const struct bb_table *t)
{
    for (uint16_t i = 0; i < old->service_count; i++) {
        const struct bb_table_service *s = &old->services[i];
        const struct bb_table_service *n =
            bb_table_find_service(t, s->settings.name);

        for (uint32_t k = 0; k < s->usable_gatekeeper_count; k++) {
            if (n == NULL || bb_table_find_usable_gatekeeper(
                                 n, s->usable_gatekeepers[k].host) == NULL) {
                bb_http_client_close_idle(
                    p->client, &s->usable_gatekeepers[k].http_address);
            }
        }
    }
}

/* Sets the table for requests that start from now on. Takes over the caller's
 * reference. */
void
bb_proxy_set_table(struct bb_proxy *p, struct bb_table *t)
{
    const struct bb_picker_limits limits = {
        .retry_budget_percent = t->limits.retry_budget_percent,
        .hedge_budget_percent = t->limits.hedge_budget_percent,
        .max_ejected_percent = t->limits.max_ejected_percent,
        .link_bytes_per_s = t->limits.link_bytes_per_s,
    };

    struct bb_table *old = bb_current_table_get(p->current_table);

    bb_picker_configure(p->picker, &limits);
    bb_gatekeeper_configure(p->gatekeeper, t);
    if (old != NULL) {
        close_unusable_peers(p, old, t);
        bb_table_unref(old);
    }
    bb_current_table_set(p->current_table, t);
}

/* Sets the agreed roster of a service, which lists hosts by host key
 * (bb_roster_host_key of their names). Must be called after the table of the
 * same revision is set, from which it takes the retention time of the service.
 * Without a roster, keyed requests are refused, because nothing could prevent
 * them from running twice. */
void
bb_proxy_set_roster(struct bb_proxy *p, const char *service,
                    const struct bb_roster *r)
{
    struct bb_table *t = bb_current_table_get(p->current_table);
    const struct bb_table_service *s =
        t == NULL ? NULL : bb_table_find_service(t, service);
    uint32_t retention_s = s == NULL ? 0 : s->settings.retention_s;

    bb_table_unref(t);
    bb_claims_set_roster(p->claims, service, r, retention_s);
}

/* Declares that this host never held a configuration before. Its witness then
 * cannot have granted claims and may grant them at once. */
void
bb_proxy_set_first_start(struct bb_proxy *p)
{
    bb_claims_set_first_start(p->claims);
}

/* Returns the number of requests in flight. */
uint32_t
bb_proxy_in_flight(const struct bb_proxy *p)
{
    return atomic_load(&p->in_flight);
}

/* Refuses new requests, except nested calls, and waits up to timeout_ms for
 * those in flight. Returns false if some are left; it may then be called
 * again. Otherwise closes all connections of callers, keeps responding to
 * queries of other nodes for a second, and returns true. */
bool
bb_proxy_drain(struct bb_proxy *p, uint32_t timeout_ms)
{
    uint64_t end_us = bb_clock_now_us() + (uint64_t)timeout_ms * BB_US_PER_MS;

    atomic_store(&p->is_draining, true);
    bb_gatekeeper_refuse_requests(p->gatekeeper);
    bb_log_info("proxy.drain", "%u requests in flight", bb_proxy_in_flight(p));
    while (bb_proxy_in_flight(p) > 0 && bb_clock_now_us() < end_us) {
        bb_clock_sleep_us(DRAIN_CHECK_INTERVAL_US);
    }
    if (bb_proxy_in_flight(p) > 0) {
        return false;
    }
    if (p->caller_daemon != NULL) {
        MHD_stop_daemon(p->caller_daemon);
        p->caller_daemon = NULL;
        bb_clock_sleep_us(QUERY_GRACE_US);
    }
    return true;
}

/* Stops serving and frees the proxy. Requests in flight are aborted, so drain
 * first. Memory that a blocked worker still uses is not freed. NULL is
 * allowed. */
void
bb_proxy_destroy(struct bb_proxy *p)
{
    bool have_workers_ended;

    if (p == NULL) {
        return;
    }
    bb_peer_rpc_unregister(p);
    atomic_store(&p->is_stopping, true);
    if (p->has_tick_thread) {
        (void)pthread_join(p->tick_thread, NULL);
    }
    bb_gatekeeper_refuse_requests(p->gatekeeper);
    if (p->local_daemon != NULL) {
        MHD_stop_daemon(p->local_daemon);
    }
    if (p->caller_daemon != NULL) {
        MHD_stop_daemon(p->caller_daemon);
    }
    have_workers_ended =
        bb_workers_destroy(p->workers, WORKER_EXIT_TIMEOUT_MS);
    have_workers_ended &=
        bb_workers_destroy(p->upstream_workers, WORKER_EXIT_TIMEOUT_MS);
    bb_current_table_destroy(p->current_table);
    bb_picker_destroy(p->picker);
    bb_random_destroy(p->random);
    if (have_workers_ended) {
        bb_http_client_destroy(p->client);
        bb_http_client_destroy(p->upstream_client);
        bb_gatekeeper_destroy(p->gatekeeper);
        bb_claims_destroy(p->claims);
        g_free(p);
    }
}
