/* From a folder to the compiled configuration, with every fault reported. */
#ifndef BB_CONFIG_COMPILE_H
#define BB_CONFIG_COMPILE_H

#include "config/config.h"
#include "config/fault.h"
#include "config/folder.h"

struct bb_config *bb_config_compile(const struct bb_folder *folder,
                                    struct bb_faults *faults);
void bb_config_destroy(struct bb_config *c);
char *bb_config_merged_text(const struct bb_folder *folder);

/* Receives one merged value, as written, and the file it comes from; key and
 * value are empty for a section without values. */
typedef void (*bb_config_visitor)(void *context, const char *section,
                                  const char *key, const char *value,
                                  const char *file);

void bb_config_visit(const struct bb_folder *folder, bb_config_visitor visit,
                     void *context);
const struct bb_route *bb_config_route(const struct bb_config *c,
                                       const char *path,
                                       enum bb_method method);
enum bb_method bb_method_parse(const char *name);
const char *bb_method_name(enum bb_method m);

#endif
