/* Validates a folder and compiles it to a struct bb_config. All faults are
 * reported at once, not only the first. */
#ifndef BB_CONFIG_COMPILE_H
#define BB_CONFIG_COMPILE_H

#include "config/config.h"
#include "config/fault.h"
#include "config/folder.h"

struct bb_config *bb_config_compile(const struct bb_folder *folder,
                                    struct bb_config_faults *faults);
void bb_config_destroy(struct bb_config *c);
char *bb_config_format_merged(const struct bb_folder *folder);

/* Receives one value of the merged configuration, as written in the file
 * (escapes are not resolved), and the name of that file. The title of the
 * section is "KIND" or "KIND NAME". Key and value are empty strings for a
 * section without keys. */
typedef void (*bb_config_value_visitor)(void *context,
                                        const char *section_title,
                                        const char *key, const char *value,
                                        const char *file);

void bb_config_visit_merged_values(const struct bb_folder *folder,
                                   bb_config_value_visitor visit,
                                   void *context);
const struct bb_route *bb_config_find_route(const struct bb_config *c,
                                            const char *path,
                                            enum bb_method method);
enum bb_method bb_method_parse(const char *name);
const char *bb_method_name(enum bb_method m);

#endif
