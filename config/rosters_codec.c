/* Encodes and decodes witness rosters in XDR. */
#include <string.h>

#include "bundle_codec.h"

/* Writes the name of a host or service. */
bool
bb_codec_put_name(XDR *x, const char *name)
{
    char *text = (char *)(uintptr_t)name;

    return xdr_string(x, &text, BB_NAME_BYTES - 1);
}

/* Reads the name of a host or service. Returns false for one that contains a
 * zero byte. */
bool
bb_codec_get_name(XDR *x, char name[BB_NAME_BYTES])
{
    u_int length = 0;

    memset(name, 0, BB_NAME_BYTES);
    return xdr_u_int(x, &length) && length < BB_NAME_BYTES &&
           xdr_opaque(x, name, length) && strlen(name) == length;
}

/* Writes the number of hosts and their names. Returns false if the stream is
 * full or a name is too long. */
static bool
put_hosts(XDR *x, const struct bb_host_list *l)
{
    uint32_t count = l->count;
    bool ok = xdr_uint32_t(x, &count);

    for (uint32_t i = 0; ok && i < count; i++) {
        ok = bb_codec_put_name(x, l->names[i]);
    }
    return ok;
}

/* Reads a list of hosts. The caller frees its names with g_free, even after a
 * failure. */
static bool
get_hosts(XDR *x, struct bb_host_list *l)
{
    uint32_t count = 0;
    bool ok;

    if (!xdr_uint32_t(x, &count) || count > BB_ROSTER_HOSTS_MAX) {
        return false;
    }
    l->names = g_malloc0(count * sizeof(l->names[0]));
    l->count = count;
    ok = true;
    for (uint32_t i = 0; ok && i < count; i++) {
        ok = bb_codec_get_name(x, l->names[i]);
    }
    return ok;
}

/* Writes the roster of one service. */
bool
bb_codec_put_roster(XDR *x, const struct bb_service_roster *r)
{
    uint64_t epoch = r->epoch;

    return bb_codec_put_name(x, r->service) && xdr_uint64_t(x, &epoch) &&
           put_hosts(x, &r->hosts) && put_hosts(x, &r->previous_hosts);
}

/* Reads the roster of one service into a set, where it replaces one of the
 * same service. Returns false with BB_CONFIG_ERROR_DAMAGED or an error of
 * bb_rosters_put. */
bool
bb_codec_get_roster(XDR *x, struct bb_rosters *rosters, struct bb_error *e)
{
    struct bb_service_roster r = {0};
    bool ok;

    ok = bb_codec_get_name(x, r.service) && xdr_uint64_t(x, &r.epoch) &&
         get_hosts(x, &r.hosts) && get_hosts(x, &r.previous_hosts);
    if (ok) {
        ok = bb_rosters_put(rosters, &r, e);
    }
    else {
        bb_error_set(e, BB_CONFIG_ERROR_DAMAGED,
                     "an encoded witness roster is truncated, has a name "
                     "that is not allowed or too many hosts");
    }
    g_free(r.hosts.names);
    g_free(r.previous_hosts.names);
    return ok;
}
