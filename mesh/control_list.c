#include "mesh/control_list.h"

#include <glib.h>
#include <string.h>

enum { FIELDS_PER_HOST = 4 };

/* Copies a name. Returns false if it is empty or too long. */
static bool
copy_name(char out[BB_NAME_BYTES], const char *text)
{
    return text[0] != '\0' &&
           g_strlcpy(out, text, BB_NAME_BYTES) < BB_NAME_BYTES;
}

/* Parses one entry of the list; false if it is malformed. */
static bool
parse_host(const char *text, struct bb_control_host *h)
{
    char **parts = g_strsplit(text, "/", FIELDS_PER_HOST);
    bool ok = g_strv_length(parts) == FIELDS_PER_HOST &&
              copy_name(h->host, parts[0]) && copy_name(h->zone, parts[1]) &&
              copy_name(h->region, parts[2]) &&
              bb_address_parse(parts[3], &h->rpc_address) &&
              h->rpc_address.port != 0;

    g_strfreev(parts);
    return ok;
}

/* Parses the --control setting. The number of hosts must be 1, 3, 5 or 7, with
 * different names. Returns false with BB_CONTROL_LIST_ERROR_FORMAT on any
 * mistake, with a message that names the entry and what is allowed, and leaves
 * the list unchanged. */
bool
bb_control_list_parse(const char *text, struct bb_control_list *list,
                      struct bb_error *e)
{
    struct bb_control_list parsed = {0};
    char **entries = g_strsplit(text, ",", -1);
    bool ok = true;

    for (size_t i = 0; ok && entries[i] != NULL; i++) {
        struct bb_control_host *h = &parsed.items[parsed.count];

        if (parsed.count == BB_CONTROL_HOSTS_MAX) {
            ok = bb_error_set(e, BB_CONTROL_LIST_ERROR_FORMAT,
                              "setting control: more than %d control hosts",
                              BB_CONTROL_HOSTS_MAX);
        }
        else if (!parse_host(entries[i], h)) {
            ok = bb_error_set(e, BB_CONTROL_LIST_ERROR_FORMAT,
                              "setting control: value '%s' is not allowed; "
                              "use HOST/ZONE/REGION/IP:PORT",
                              entries[i]);
        }
        else if (bb_control_list_find(&parsed, h->host) != NULL) {
            ok = bb_error_set(e, BB_CONTROL_LIST_ERROR_FORMAT,
                              "setting control: host '%s' is listed twice",
                              h->host);
        }
        else {
            parsed.count++;
        }
    }
    g_strfreev(entries);
    if (ok && parsed.count % 2 == 0) {
        ok = bb_error_set(e, BB_CONTROL_LIST_ERROR_FORMAT,
                          "setting control: %u control hosts are not "
                          "allowed; use 1, 3, 5 or 7",
                          parsed.count);
    }
    if (ok) {
        *list = parsed;
    }
    return ok;
}

/* Returns the control host with a name, or NULL. */
const struct bb_control_host *
bb_control_list_find(const struct bb_control_list *list, const char *host)
{
    for (uint32_t i = 0; i < list->count; i++) {
        if (strcmp(list->items[i].host, host) == 0) {
            return &list->items[i];
        }
    }
    return NULL;
}
