/* Internal to config/: the merged sections of a folder, and the operations of
 * section handlers: plug-ins that each validate and compile the sections of
 * one kind. */
#ifndef BB_CONFIG_MERGE_H
#define BB_CONFIG_MERGE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "config/config.h"
#include "config/fault.h"
#include "config/folder.h"

/* Maximum number of sections of one kind. Bounds the work of checks whose cost
 * grows with the square of the number of sections. */
enum { BB_SECTIONS_MAX = 4096 };

struct bb_merged_value {
    char *key;
    char *raw;        /* as written, for the merged text */
    char *text;       /* escapes resolved, white space at the ends removed */
    const char *file; /* the last that sets it */
};

struct bb_section {
    char *title; /* "KIND" or "KIND NAME" */
    char *kind;
    char *name;       /* empty for a section without a name */
    const char *file; /* the first that contains it */
    GPtrArray *values;
    GHashTable *by_key; /* the same values */
    /* Of the compiled item; BB_INDEX_NONE: there is none. For a route it is
     * valid only until the routes are sorted, in the check of its handler. */
    uint16_t index;
};

/* All files of a folder, merged. File names point into the folder, which must
 * outlive this. */
struct bb_merged_config {
    GPtrArray *sections; /* in the order of first appearance */
    GHashTable *by_title;
    bool is_partial; /* a file could not be parsed and is left out */
};

struct bb_merged_config *
bb_merged_config_create(const struct bb_folder *folder,
                        struct bb_config_faults *faults);
void bb_merged_config_destroy(struct bb_merged_config *m);
char **bb_get_required_files(const struct bb_folder *folder);

/* Describes one key that sections of a kind may have. */
struct bb_key_spec {
    const char *name;
    const char *default_text; /* NULL: none */
    uint64_t min;             /* min and max: of whole numbers only */
    uint64_t max;
    bool is_required;
    bool is_exclusive; /* files must not set different values */
};

/* State of one run of bb_config_compile. The arrays hold the compiled items,
 * which move into config at the end. */
struct bb_compilation {
    struct bb_config *config;
    struct bb_merged_config *merged;
    struct bb_config_faults *faults;
    GArray *teams;
    GArray *services;
    GArray *routes;
    GArray *regions;
    GArray *zones;
    GArray *drains;
};

/* Operations of a section handler, a plug-in of kind BB_PLUGIN_CONFIG_SECTION
 * under the kind of its sections. First add is called for every section, so
 * that references can be resolved, then read for every section, then check
 * once for each handler, for faults that concern several sections. read and
 * check may be NULL. add may be NULL only if has_name is false; it calls
 * bb_section_append_item. */
struct bb_section_operations {
    bool has_name; /* the title is "KIND NAME", not "KIND" */
    const struct bb_key_spec *keys;
    size_t key_count;
    void (*add)(struct bb_compilation *c, struct bb_section *s);
    void (*read)(struct bb_compilation *c, struct bb_section *s);
    void (*check)(struct bb_compilation *c);
};

const struct bb_section_operations *
bb_section_find_operations(const char *kind);
const struct bb_key_spec *
bb_section_find_key_spec(const struct bb_section_operations *o,
                         const char *name);
bool bb_section_has_key(const struct bb_section *s, const char *key);
void bb_section_add_fault(struct bb_compilation *c, const struct bb_section *s,
                          const char *key, const char *format, ...)
    __attribute__((format(printf, 4, 5)));
const char *bb_section_get_text(struct bb_compilation *c,
                                const struct bb_section *s, const char *key);
uint64_t bb_section_get_number(struct bb_compilation *c,
                               const struct bb_section *s, const char *key);
bool bb_section_get_boolean(struct bb_compilation *c,
                            const struct bb_section *s, const char *key,
                            bool default_value);
char **bb_section_get_list(struct bb_compilation *c,
                           const struct bb_section *s, const char *key);
struct bb_section *bb_section_find(const struct bb_compilation *c,
                                   const char *kind, const char *name);
bool bb_section_resolve_reference(struct bb_compilation *c,
                                  const struct bb_section *s, const char *key,
                                  const char *kind, const char *name,
                                  uint16_t *index);
uint16_t bb_section_append_item(struct bb_compilation *c, struct bb_section *s,
                                GArray *items, const void *item);
char **bb_split_list(const char *text);

#endif
