/* Internal to control/: saves and loads the state of the source watch, and
 * computes a signature of the watched folder without reading its files. */
#ifndef BB_CONTROL_SOURCE_FILES_H
#define BB_CONTROL_SOURCE_FILES_H

#include <stdbool.h>
#include <stdint.h>

#include "common/error.h"
#include "decide/source.h"

bool bb_source_state_save(const char *data_folder, const char *folder,
                          const struct bb_source_saved *saved,
                          struct bb_error *e);
bool bb_source_state_load(const char *data_folder, const char *folder,
                          struct bb_source_saved *saved, struct bb_error *e);
uint64_t bb_source_signature(const char *folder, bool *is_recent);

#endif
