/* Directory of gates by service. */
#include "path/directory.h"

#include <string.h>

#include "common/clock.h"
#include "common/digest.h"

struct bb_directory {
    char *own_gate_address; /* IP:PORT of the gate on this host */
    char *zone;
    char *region;
    GHashTable *gates;    /* address text to struct bb_gate_record */
    GHashTable *services; /* name to struct bb_service_record */
};

static void
free_gate(void *data)
{
    struct bb_gate_record *g = data;

    g_free(g->address_text);
    g_free(g->service);
    g_free(g->upstream_id);
    g_free(g->software_version);
    g_free(g);
}

static void
free_service(void *data)
{
    struct bb_service_record *s = data;

    g_ptr_array_free(s->gates, TRUE);
    g_free(s->name);
    g_free(s);
}

/* Creates an empty directory for the node whose gate has this address
 * (IP:PORT). The three texts, which are copied, determine the distance to
 * other gates. */
struct bb_directory *
bb_directory_create(const char *gate_address, const char *zone,
                    const char *region)
{
    struct bb_directory *d = g_new0(struct bb_directory, 1);

    d->own_gate_address = g_strdup(gate_address);
    d->zone = g_strdup(zone);
    d->region = g_strdup(region);
    d->gates = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_gate);
    d->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_service);
    return d;
}

/* Frees a directory; NULL is allowed. */
void
bb_directory_destroy(struct bb_directory *d)
{
    if (d != NULL) {
        g_hash_table_destroy(d->services);
        g_hash_table_destroy(d->gates);
        g_free(d->own_gate_address);
        g_free(d->zone);
        g_free(d->region);
        g_free(d);
    }
}

/* Returns a service, which is created without gates if it is not known. It
 * belongs to the directory and is valid until that is destroyed. */
struct bb_service_record *
bb_directory_get_service(struct bb_directory *d, const char *name)
{
    struct bb_service_record *s = g_hash_table_lookup(d->services, name);

    if (s == NULL) {
        s = g_new0(struct bb_service_record, 1);
        s->name = g_strdup(name);
        s->gates = g_ptr_array_new();
        g_hash_table_insert(d->services, s->name, s);
    }
    return s;
}

/* Returns a gate by its address, IP:PORT, or NULL. It belongs to the directory
 * and is valid until that is destroyed. */
struct bb_gate_record *
bb_directory_find_gate(struct bb_directory *d, const char *address_text)
{
    return g_hash_table_lookup(d->gates, address_text);
}

/* Returns how many gates are known, of all services; one for each node. Gates
 * are never removed, so those of nodes that have left count too. */
uint32_t
bb_directory_gate_count(const struct bb_directory *d)
{
    return g_hash_table_size(d->gates);
}

/* Returns the distance to the gate of an upstream. */
static enum bb_gate_distance
distance_to(const struct bb_directory *d, const fleet_instance *i)
{
    if (strcmp(d->own_gate_address, i->gate_address) == 0) {
        return BB_GATE_SAME_HOST;
    }
    if (strcmp(d->zone, i->zone) == 0) {
        return BB_GATE_SAME_ZONE;
    }
    return strcmp(d->region, i->region) == 0 ? BB_GATE_SAME_REGION
                                             : BB_GATE_OTHER_REGION;
}

/* Adds a gate without a service; returns NULL if its address is invalid. */
static struct bb_gate_record *
add_gate(struct bb_directory *d, const fleet_instance *i)
{
    struct bb_gate_record *g = g_new0(struct bb_gate_record, 1);

    if (!bb_address_parse(i->gate_address, &g->address)) {
        g_free(g);
        return NULL;
    }
    g->address_text = g_strdup(i->gate_address);
    g->service = g_strdup("");
    g->upstream_id = g_strdup("");
    g->software_version = g_strdup("");
    g_hash_table_insert(d->gates, g->address_text, g);
    return g;
}

/* Applies the announced version and start of an upstream, of the same run or
 * another one. */
static void
update_version(struct bb_gate_record *g, const fleet_instance *i)
{
    g->started_ms = i->started_ms;
    g->is_running =
        i->state == BB_INSTANCE_READY || i->state == BB_INSTANCE_DOWN;
    g->upstream_hash = bb_hash64(i->id, strlen(i->id), 0);
    if (!bb_instance_has_version(i, g->software_version)) {
        g_free(g->software_version);
        g->software_version = bb_instance_copy_version(i);
    }
}

/* Applies the announced state of a gate and its upstream. Load and errors that
 * were observed of an earlier upstream or an earlier run of its node are
 * dropped, except for the requests in flight. */
void
bb_directory_update(struct bb_directory *d, const fleet_instance *i,
                    uint64_t now_us)
{
    struct bb_gate_record *g = g_hash_table_lookup(d->gates, i->gate_address);

    if (g == NULL) {
        g = add_gate(d, i);
    }
    if (g == NULL) {
        return;
    }
    if (strcmp(g->service, i->service) != 0) {
        if (g->service[0] != '\0') {
            (void)g_ptr_array_remove(
                bb_directory_get_service(d, g->service)->gates, g);
        }
        if (i->service[0] != '\0') {
            g_ptr_array_add(bb_directory_get_service(d, i->service)->gates, g);
        }
        g_free(g->service);
        g->service = g_strdup(i->service);
    }
    if (strcmp(g->upstream_id, i->id) != 0 ||
        g->incarnation != i->incarnation ||
        !bb_instance_has_version(i, g->software_version)) {
        uint32_t in_flight = g->view.in_flight;

        g->view = (struct bb_gate_view){.in_flight = in_flight};
        g_free(g->upstream_id);
        g->upstream_id = g_strdup(i->id);
        g->incarnation = i->incarnation;
    }
    update_version(g, i);
    g->view.distance = distance_to(d, i);
    g->view.is_ready = i->state == BB_INSTANCE_READY;
    g->view.slots = i->slots;
    g->view.warm_at_us =
        i->warmup_ms != 0 ? now_us + (uint64_t)i->warmup_ms * BB_US_PER_MS : 0;
    if (g->view.is_ready) {
        bb_directory_get_service(d, g->service)->had_ready_gate = true;
        bb_gate_view_resume(&g->view);
    }
    if (g->service[0] != '\0') {
        struct bb_service_record *s = bb_directory_get_service(d, g->service);

        bb_version_choice_refresh(&s->versions, s->gates, now_us);
    }
}

/* Applies the committed rollouts. The random bits set where the selection of a
 * new rollout starts. */
void
bb_directory_set_rollouts(struct bb_directory *d, const fleet_rollout *list,
                          uint32_t count, uint64_t random_bits,
                          uint64_t now_us)
{
    for (uint32_t i = 0; i < count; i++) {
        struct bb_service_record *s =
            bb_directory_get_service(d, list[i].service);

        bb_version_choice_apply(&s->versions, &list[i],
                                (uint32_t)(random_bits % BB_ROLLOUT_PERMILLE));
        bb_version_choice_refresh(&s->versions, s->gates, now_us);
    }
}

/* Calls `visit` for each service, in no particular order. */
void
bb_directory_foreach_service(struct bb_directory *d,
                             void (*visit)(void *context,
                                           struct bb_service_record *s),
                             void *context)
{
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, d->services);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        visit(context, value);
    }
}
