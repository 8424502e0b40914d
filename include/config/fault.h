/* Validation errors of a configuration, called faults. They are collected so
 * that an operator sees all of them at once. */
#ifndef BB_CONFIG_FAULT_H
#define BB_CONFIG_FAULT_H

#include <stdbool.h>
#include <stdint.h>

/* Bounds memory: a hostile folder can contain a million faults. */
enum { BB_CONFIG_FAULTS_MAX = 1000 };

struct bb_config_fault {
    char *file;          /* empty if the fault has no single file */
    char *section_title; /* title, "KIND NAME"; empty for a fault of a whole
                            file */
    char *key;           /* empty for a fault of a whole section */
    char *reason;
};

/* Zero-initialise before use. */
struct bb_config_faults {
    struct bb_config_fault *items;
    uint32_t count;
    uint32_t omitted; /* faults beyond BB_CONFIG_FAULTS_MAX */
};

void bb_config_faults_add(struct bb_config_faults *f, const char *file,
                          const char *section_title, const char *key,
                          const char *format, ...)
    __attribute__((format(printf, 5, 6)));
char *bb_config_faults_format(const struct bb_config_faults *f);
void bb_config_faults_clear(struct bb_config_faults *f);

#endif
