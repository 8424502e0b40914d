#include "source_incidents.h"

#include <glib.h>

#include "common/clock.h"

/* Returns an explanation of a conflict for operators; empty for none. */
const char *
bb_source_conflict_text(enum bb_source_conflict c)
{
    switch (c) {
    case BB_SOURCE_CONFLICT_STALE_BASE:
        return "the configuration in force was changed elsewhere; bring the "
               "folder up to date, then repeat the change";
    case BB_SOURCE_CONFLICT_VERSION:
        return "this version number, or a higher one, is in force with "
               "different content; choose a higher one";
    case BB_SOURCE_CONFLICT_UNKNOWN_BASE:
        return "the folder differs from the configuration in force, and this "
               "host has no record of what it was based on; bring it up to "
               "date first";
    case BB_SOURCE_CONFLICT_NONE:
        break;
    }
    return "";
}

/* Records an incident with the current time; the oldest is dropped if there
 * are BB_SOURCE_INCIDENTS_MAX. digest may be NULL; texts are copied. */
void
bb_source_incidents_add(struct bb_source_incidents *n, const char *kind,
                        const struct bb_digest *digest, const char *message)
{
    struct bb_source_incident *item;

    if (n->count == BB_SOURCE_INCIDENTS_MAX) {
        g_free(n->items[0].message);
        for (uint32_t i = 1; i < BB_SOURCE_INCIDENTS_MAX; i++) {
            n->items[i - 1] = n->items[i];
        }
        n->count--;
    }
    item = &n->items[n->count++];
    *item =
        (struct bb_source_incident){.occurred_wall_us = bb_clock_wall_now_us(),
                                    .message = g_utf8_make_valid(message, -1)};
    (void)g_strlcpy(item->kind, kind, sizeof(item->kind));
    if (digest != NULL) {
        (void)bb_digest_format(digest, item->digest);
    }
}

/* Returns a JSON array of the incidents, oldest first, which the caller
 * owns. */
json_t *
bb_source_incidents_json(const struct bb_source_incidents *n)
{
    json_t *list = json_array();

    for (uint32_t i = 0; i < n->count; i++) {
        const struct bb_source_incident *item = &n->items[i];

        (void)json_array_append_new(
            list,
            json_pack("{s:s, s:I, s:s, s:s}", "kind", item->kind, "at_ms",
                      (json_int_t)(item->occurred_wall_us / BB_US_PER_MS),
                      "digest", item->digest, "message", item->message));
    }
    return list;
}

/* Removes all incidents and frees their texts. */
void
bb_source_incidents_clear(struct bb_source_incidents *n)
{
    for (uint32_t i = 0; i < n->count; i++) {
        g_free(n->items[i].message);
    }
    n->count = 0;
}
