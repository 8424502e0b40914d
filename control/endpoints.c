/* The administration endpoints of a control host. */
#include "admin/admin.h"
#include "admin/responses.h"
#include "daemon.h"

/* GET /v1/in-force: the newest accepted revision and the nodes that have
 * it. */
static void
get_in_force(void *context, const struct bb_admin_request *request,
             struct bb_admin_response *response)
{
    struct bb_control *c = context;
    struct bb_bundle *b = bb_bundle_history_newest(c->history);
    struct bb_replicate_status s;

    (void)request;
    bb_replicate_status(c->replicate, &s);
    response->json = bb_admin_in_force_with_holders_json(
        b, s.has_recent_quorum, c->mesh, NULL);
    bb_bundle_unref(b);
}

/* Returns a JSON array of problems that an operator has to solve; empty if
 * there are none. source is the status of the source watch. */
static json_t *
list_problems(const struct bb_replicate_status *s, const json_t *source)
{
    json_t *problems = json_array();
    const char *conflict =
        json_string_value(json_object_get(source, "conflict"));

    if (!s->has_recent_quorum) {
        (void)json_array_append_new(
            problems, json_string("no quorum of control hosts: changes are "
                                  "not accepted"));
    }
    if (!s->can_vote) {
        (void)json_array_append_new(
            problems,
            json_sprintf("this host does not vote: %s", s->no_vote_reason));
    }
    if (json_is_object(json_object_get(source, "outage"))) {
        (void)json_array_append_new(
            problems, json_string("the configuration folder cannot be used"));
    }
    if (json_is_true(json_object_get(source, "invalid"))) {
        (void)json_array_append_new(
            problems, json_string("the folder's last version was refused for "
                                  "faults"));
    }
    if (conflict != NULL && g_strcmp0(conflict, "none") != 0) {
        (void)json_array_append_new(
            problems, json_sprintf("the folder was refused: %s", conflict));
    }
    /* Only the leader receives messages from every control host. */
    for (uint32_t i = 0; s->role == BB_AGREE_LEADER && i < s->peer_count;
         i++) {
        if (!s->peers[i].is_alive) {
            (void)json_array_append_new(
                problems, json_sprintf("control host %s does not answer",
                                       s->peers[i].host));
        }
    }
    return problems;
}

/* Returns a JSON array of the other control hosts. */
static json_t *
list_peers(const struct bb_replicate_status *s)
{
    json_t *peers = json_array();

    for (uint32_t i = 0; i < s->peer_count; i++) {
        (void)json_array_append_new(peers, json_pack("{s:s,s:b}", "host",
                                                     s->peers[i].host, "alive",
                                                     s->peers[i].is_alive));
    }
    return peers;
}

/* GET /v1/status: the state of the consensus protocol and of the folder. */
static void
get_status(void *context, const struct bb_admin_request *request,
           struct bb_admin_response *response)
{
    static const char *const roles[] = {
        [BB_AGREE_FOLLOWER] = "follower",
        [BB_AGREE_PRE_CANDIDATE] = "pre-candidate",
        [BB_AGREE_CANDIDATE] = "candidate",
        [BB_AGREE_LEADER] = "leader",
    };
    struct bb_control *c = context;
    char digest[BB_DIGEST_TEXT_BYTES] = "";
    json_t *source = bb_source_watch_status_json(c->source_watch);
    struct bb_bundle *b = bb_bundle_history_newest(c->history);
    struct bb_replicate_status s;

    (void)request;
    bb_replicate_status(c->replicate, &s);
    response->json = json_pack(
        "{s:s,s:s,s:s,s:s,s:I,s:I,s:s,s:b,s:s?,s:I,s:b,s:s,s:b,s:s,s:o,s:o,"
        "s:o}",
        "host", c->settings.host, "zone", c->settings.zone, "region",
        c->settings.region, "role", "control", "revision",
        (json_int_t)s.revision, "version",
        (json_int_t)(b != NULL ? b->version : 0), "digest",
        b != NULL ? bb_digest_format(&b->folder->digest, digest) : "",
        "confirmed", s.has_recent_quorum, "leader",
        s.leader_host[0] != '\0' ? s.leader_host : NULL, "term",
        (json_int_t)s.term, "quorum", s.has_recent_quorum, "agreement_role",
        roles[s.role], "can_vote", s.can_vote, "why_not", s.no_vote_reason,
        "control_hosts", list_peers(&s), "problems", list_problems(&s, source),
        "source", source);
    bb_bundle_unref(b);
}

/* GET /v1/members: all members of the mesh. */
static void
get_members(void *context, const struct bb_admin_request *request,
            struct bb_admin_response *response)
{
    struct bb_control *c = context;

    (void)request;
    response->json = bb_admin_members_json(c->mesh);
}

static const struct bb_admin_endpoint in_force_endpoint = {
    .help = "accepted configuration and its holders", .respond = get_in_force};
static const struct bb_admin_endpoint status_endpoint = {
    .help = "state of agreement and folder", .respond = get_status};
static const struct bb_admin_endpoint members_endpoint = {
    .help = "all members of the mesh", .respond = get_members};

BB_PLUGIN(in_force, BB_PLUGIN_ADMIN_ENDPOINT, "GET /v1/in-force",
          &in_force_endpoint);
BB_PLUGIN(status, BB_PLUGIN_ADMIN_ENDPOINT, "GET /v1/status",
          &status_endpoint);
BB_PLUGIN(members, BB_PLUGIN_ADMIN_ENDPOINT, "GET /v1/members",
          &members_endpoint);
