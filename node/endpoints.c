/* Administration API endpoints of a node. */
#include "admin/admin.h"
#include "admin/responses.h"
#include "node.h"

/* GET /v1/in-force: the configuration that this node serves, and the nodes of
 * its zone that hold the same one. */
static void
get_in_force(void *context, const struct bb_admin_request *request,
             struct bb_admin_response *response)
{
    struct bb_node *n = context;
    struct bb_bundle *b = bb_node_config_newest(n->config);

    (void)request;
    if (b != NULL &&
        b->revision != bb_node_config_served_revision(n->config)) {
        bb_bundle_unref(b);
        b = NULL;
    }
    response->json = bb_admin_in_force_with_holders_json(b, false, n->mesh,
                                                         n->settings.zone);
    bb_bundle_unref(b);
}

/* GET /v1/status: the state of this node. */
static void
get_status(void *context, const struct bb_admin_request *request,
           struct bb_admin_response *response)
{
    struct bb_node *n = context;
    struct bb_bundle *b = bb_node_config_newest(n->config);
    uint64_t served = bb_node_config_served_revision(n->config);
    uint64_t highest = bb_mesh_highest_revision(n->mesh);
    char digest[BB_DIGEST_TEXT_BYTES] = "";
    json_t *problems = json_array();

    (void)request;
    if (served == 0) {
        (void)json_array_append_new(
            problems, json_string("no configuration is in force"));
    }
    else if (served < highest) {
        (void)json_array_append_new(
            problems, json_string("a later revision is known to the mesh"));
    }
    response->json = json_pack(
        "{s:s,s:s,s:s,s:s,s:I,s:I,s:s,s:b,s:n,s:n,s:o,s:I,s:I}", "host",
        n->settings.host, "zone", n->settings.zone, "region",
        n->settings.region, "role", "node", "revision", (json_int_t)served,
        "version", (json_int_t)(b != NULL ? b->version : 0), "digest",
        b != NULL ? bb_digest_format(&b->folder->digest, digest) : "",
        "confirmed", 0, "leader", "source", "problems", problems, "in_flight",
        (json_int_t)bb_proxy_in_flight(n->proxy), "highest_known_revision",
        (json_int_t)highest);
    bb_bundle_unref(b);
}

/* GET /v1/members: the member records known to this node. */
static void
get_members(void *context, const struct bb_admin_request *request,
            struct bb_admin_response *response)
{
    struct bb_node *n = context;

    (void)request;
    response->json = bb_admin_members_json(n->mesh);
}

static const struct bb_admin_endpoint in_force_endpoint = {
    .help = "configuration that this node serves", .respond = get_in_force};
static const struct bb_admin_endpoint status_endpoint = {
    .help = "state of this node", .respond = get_status};
static const struct bb_admin_endpoint members_endpoint = {
    .help = "members known to this node", .respond = get_members};

BB_PLUGIN(in_force, BB_PLUGIN_ADMIN_ENDPOINT, "GET /v1/in-force",
          &in_force_endpoint);
BB_PLUGIN(status, BB_PLUGIN_ADMIN_ENDPOINT, "GET /v1/status",
          &status_endpoint);
BB_PLUGIN(members, BB_PLUGIN_ADMIN_ENDPOINT, "GET /v1/members",
          &members_endpoint);
