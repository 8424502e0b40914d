/* Inside the configuration layer: the merged sections of a folder, and the
 * interface of section handlers. */
#ifndef BB_CONFIG_MERGE_H
#define BB_CONFIG_MERGE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "config/config.h"
#include "config/fault.h"
#include "config/folder.h"

/* Of one kind. Bounds the work of checks whose cost grows with the square of
 * the number of sections. */
enum { BB_SECTIONS_MAX = 4096 };

struct bb_value {
    char *key;
    char *raw;  /* as written, for the merged text */
    char *text; /* escapes resolved, white space at the ends removed */
    const char *file;
};

struct bb_section {
    char *title; /* kind, or kind, a space and the name */
    char *kind;
    char *name;       /* empty for a section without a name */
    const char *file; /* the first that contains it */
    GPtrArray *values;
    GHashTable *by_key;
    uint16_t index; /* of the compiled item, set by the handler */
};

/* File names point into the folder, which must outlive the merged form. */
struct bb_merged {
    GPtrArray *sections; /* in the order of first appearance */
    GHashTable *by_title;
    bool is_partial; /* a file could not be parsed and is left out */
};

struct bb_merged *bb_merged_create(const struct bb_folder *folder,
                                   struct bb_faults *faults);
void bb_merged_destroy(struct bb_merged *m);
char **bb_listed_files(const struct bb_folder *folder);

/* One key that a section may have. */
struct bb_key {
    const char *name;
    const char *default_text; /* NULL: none */
    uint64_t min;
    uint64_t max;
    bool is_required;
    bool is_exclusive; /* two files must not give different values */
};

/* What is under construction while a folder is compiled. */
struct bb_compilation {
    struct bb_config *config;
    struct bb_merged *merged;
    struct bb_faults *faults;
    GArray *teams;
    GArray *services;
    GArray *routes;
    GArray *regions;
    GArray *zones;
    GArray *drains;
};

/* Operations of a plug-in of kind BB_PLUGIN_CONFIG_SECTION; its name is the
 * section's kind. First all sections are added, then all are read, then all
 * handlers check what concerns several sections. */
struct bb_section_operations {
    bool has_name;
    const struct bb_key *keys;
    size_t key_count;
    void (*add)(struct bb_compilation *c, struct bb_section *s);
    void (*read)(struct bb_compilation *c, struct bb_section *s);
    void (*check)(struct bb_compilation *c);
};

const struct bb_section_operations *bb_section_operations(const char *kind);
const struct bb_key *bb_section_key(const struct bb_section_operations *o,
                                    const char *name);
bool bb_section_has(const struct bb_section *s, const char *key);
void bb_section_fault(struct bb_compilation *c, const struct bb_section *s,
                      const char *key, const char *format, ...)
    __attribute__((format(printf, 4, 5)));
const char *bb_section_text(struct bb_compilation *c,
                            const struct bb_section *s, const char *key);
uint64_t bb_section_number(struct bb_compilation *c,
                           const struct bb_section *s, const char *key);
bool bb_section_boolean(struct bb_compilation *c, const struct bb_section *s,
                        const char *key, bool default_value);
char **bb_section_list(struct bb_compilation *c, const struct bb_section *s,
                       const char *key);
struct bb_section *bb_section_find(const struct bb_compilation *c,
                                   const char *kind, const char *name);
bool bb_section_refer(struct bb_compilation *c, const struct bb_section *s,
                      const char *key, const char *kind, const char *name,
                      uint16_t *index);
uint16_t bb_section_append(struct bb_compilation *c, struct bb_section *s,
                           GArray *items, const void *item);
char **bb_split_list(const char *text);

#endif
