/* Table of instance records. An instance record (fleet_instance) describes one
 * upstream and its gate, the node's proxy in front of it. The node announces
 * it to a control host, which sends it to all others. Each node and each
 * control host has such a table. Of two records of a gate the one with the
 * higher incarnation, then the higher sequence, wins, so merging is
 * commutative and idempotent. */
#ifndef BB_FLEET_INSTANCES_H
#define BB_FLEET_INSTANCES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "fleet.h"

enum bb_instance_state {
    BB_INSTANCE_NONE, /* no upstream has announced itself to the node */
    BB_INSTANCE_READY,
    BB_INSTANCE_DRAINING, /* accepts no new requests */
    BB_INSTANCE_DOWN,     /* its node cannot reach it */
    BB_INSTANCE_GONE      /* its node is stopping */
};

struct bb_instance_table;

typedef void (*bb_instance_visitor)(void *context, const fleet_instance *i);

struct bb_instance_table *bb_instance_table_create(void);
void bb_instance_table_destroy(struct bb_instance_table *t);
bool bb_instance_is_newer(const fleet_instance *i, uint64_t incarnation,
                          uint64_t sequence);
bool bb_instance_table_merge(struct bb_instance_table *t,
                             const fleet_instance *i);
const fleet_instance *bb_instance_table_find(const struct bb_instance_table *t,
                                             const char *gate_address);
uint64_t bb_instance_table_digest(const struct bb_instance_table *t);
uint32_t bb_instance_table_count(const struct bb_instance_table *t);
void bb_instance_table_foreach(const struct bb_instance_table *t,
                               bb_instance_visitor visit, void *context);
fleet_instance *bb_instance_copy(const fleet_instance *i);
void bb_instance_destroy(fleet_instance *i);
bool bb_instance_has_version(const fleet_instance *i, const char *version);
char *bb_instance_copy_version(const fleet_instance *i);
const char *bb_instance_state_name(uint32_t state);

#endif
