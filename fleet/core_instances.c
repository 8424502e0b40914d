/* Instance records of a control host: how they are received, passed on to
 * nodes and other control hosts, and compared with those of the others. */
#include "core_internal.h"

#include "common/clock.h"

/* Instance records whose texts belong to bb_core.instances. */
struct instance_list {
    fleet_instance *items;
    u_int count;
};

/* Appends an instance record to a struct instance_list; drops those above
 * FLEET_INSTANCES_MAX. */
static void
append_instance(void *context, const fleet_instance *i)
{
    struct instance_list *list = context;

    if (list->count < FLEET_INSTANCES_MAX) {
        list->items[list->count++] = *i;
    }
}

/* Encodes instance records, at most FLEET_INSTANCES_MAX. */
static struct bb_fleet_frame *
encode_instances(const struct instance_list *list)
{
    fleet_message m = {.kind = FLEET_INSTANCES};

    m.fleet_message_u.instances.instances_val = list->items;
    m.fleet_message_u.instances.instances_len = list->count;
    return bb_fleet_frame_create(&m);
}

/* Encodes all known instance records. */
static struct bb_fleet_frame *
encode_all_instances(struct bb_core *c)
{
    uint32_t n = bb_instance_table_count(c->instances);
    struct instance_list list = {.items = g_new(fleet_instance, n + 1)};
    struct bb_fleet_frame *frame;

    bb_instance_table_foreach(c->instances, append_instance, &list);
    frame = encode_instances(&list);
    g_free(list.items);
    return frame;
}

/* Sends all known instance records, even if there are none, as a node waits
 * for the first such message. They are encoded once for all nodes that connect
 * before the next batch of changes, which those get as well: when the nodes of
 * a zone return together, encoding them for each would keep the last ones
 * waiting. */
void
core_send_instances(struct core_link *l)
{
    struct bb_core *c = l->core;

    if (c->instances_frame == NULL || l->kind != CORE_LINK_NODE) {
        bb_fleet_frame_destroy(c->instances_frame);
        c->instances_frame = encode_all_instances(c);
    }
    (void)bb_fleet_connection_send_frame(l->connection, c->instances_frame);
}

/* Lists the records of changed gates, and empties the set. The caller frees
 * the items. */
static struct instance_list
take_changed_instances(struct bb_core *c, GHashTable *changed)
{
    struct instance_list list = {
        .items = g_new(fleet_instance, g_hash_table_size(changed) + 1)};
    GHashTableIter it;
    gpointer gate_address;

    g_hash_table_iter_init(&it, changed);
    while (g_hash_table_iter_next(&it, &gate_address, NULL)) {
        append_instance(&list,
                        bb_instance_table_find(c->instances, gate_address));
    }
    g_hash_table_remove_all(changed);
    return list;
}

/* Passes changed instance records on: to the nodes of this host, and those
 * that its nodes announced to the other control hosts, all of which are
 * connected to each other. What one of them misses shows in its digest. */
void
core_send_changed_instances(struct bb_core *c)
{
    struct instance_list for_nodes =
        take_changed_instances(c, c->changed_for_nodes);
    struct instance_list for_hosts =
        take_changed_instances(c, c->changed_for_hosts);
    struct bb_fleet_frame *node_frame = encode_instances(&for_nodes);
    struct bb_fleet_frame *host_frame = encode_instances(&for_hosts);

    c->batch_due_us = 0;
    bb_fleet_frame_destroy(c->instances_frame);
    c->instances_frame = NULL;
    for (guint i = 0; i < c->links->len; i++) {
        struct core_link *l = g_ptr_array_index(c->links, i);
        /* Two connections lead to each control host; one of them is used. */
        bool is_to_host = l->kind == CORE_LINK_CONTROL && l->peer != NULL &&
                          l == core_active_link(l->peer);

        if (l->kind == CORE_LINK_NODE && l->state_due_us == 0 &&
            for_nodes.count > 0) {
            (void)bb_fleet_connection_send_frame(l->connection, node_frame);
        }
        else if (is_to_host && for_hosts.count > 0) {
            (void)bb_fleet_connection_send_frame(l->connection, host_frame);
        }
    }
    bb_fleet_frame_destroy(node_frame);
    bb_fleet_frame_destroy(host_frame);
    g_free(for_nodes.items);
    g_free(for_hosts.items);
}

/* Tells the other control hosts the digest of the instance records, unless
 * these have changed shortly before. */
void
core_broadcast_digest(struct bb_core *c, uint64_t now_us)
{
    fleet_message m = {.kind = FLEET_DIGEST};

    if (now_us - c->instances_changed_us <
        (uint64_t)BB_CORE_DIGEST_QUIET_MS * BB_US_PER_MS) {
        return;
    }
    m.fleet_message_u.digest = bb_instance_table_digest(c->instances);
    for (guint i = 0; i < c->links->len; i++) {
        struct core_link *l = g_ptr_array_index(c->links, i);

        if (l->kind == CORE_LINK_CONTROL && l->peer != NULL &&
            l == core_active_link(l->peer)) {
            (void)bb_fleet_connection_send(l->connection, &m);
        }
    }
}

/* Sends all records to a control host that has others. It does the same, so
 * that both have the newest ones of both. */
void
core_receive_digest(struct core_link *l, uint64_t digest)
{
    struct bb_core *c = l->core;

    if (digest != bb_instance_table_digest(c->instances) &&
        bb_clock_now_us() - c->instances_changed_us >=
            (uint64_t)BB_CORE_DIGEST_QUIET_MS * BB_US_PER_MS) {
        core_send_instances(l);
    }
}

/* Merges received instance records. Those that are newer are passed on with
 * the next batch. */
void
core_receive_instances(struct core_link *from, const fleet_message *m)
{
    struct bb_core *c = from->core;
    uint64_t now_us = bb_clock_now_us();
    u_int count = m->fleet_message_u.instances.instances_len;

    for (u_int i = 0; i < count; i++) {
        const fleet_instance *item =
            &m->fleet_message_u.instances.instances_val[i];

        if (!bb_instance_table_merge(c->instances, item)) {
            continue;
        }
        c->instances_changed_us = now_us;
        (void)g_hash_table_add(c->changed_for_nodes,
                               g_strdup(item->gate_address));
        if (from->kind == CORE_LINK_NODE) {
            (void)g_hash_table_add(c->changed_for_hosts,
                                   g_strdup(item->gate_address));
        }
        if (c->batch_due_us == 0) {
            c->batch_due_us =
                now_us + (uint64_t)BB_CORE_INSTANCE_BATCH_MS * BB_US_PER_MS;
            core_schedule_timer(c);
        }
    }
}
