/* Explains where an entry would send a request now. Uses the functions that
 * decide on requests, on copies of what they would change. Where a decision
 * takes credit or random bits, it shows the shares of the outcomes. */
#include "path/explain.h"

#include <string.h>

#include "common/clock.h"
#include "entry_internal.h"

enum { EXPLAIN_ERROR_QUERY = 1, HTTP_OK = 200, HTTP_BAD_REQUEST = 400 };

/* Odd multiplier that spreads the draws over all bits. */
#define DRAW_MIX 0x9e3779b97f4a7c15ULL

/* Parameters of the query. Text is owned by the table that it was read from.
 */
struct parameters {
    const char *host;
    const char *path;
    const char *method_name;
    const char *team_name; /* empty: no team */
    uint32_t method;       /* enum http_method */
};

/* Returns the name of a reason against a gate; empty for the chosen one. */
static const char *
reason_name(enum bb_balance_reason reason)
{
    switch (reason) {
    case BB_BALANCE_CHOSEN:
        break;
    case BB_BALANCE_NOT_READY:
        return "not_ready";
    case BB_BALANCE_NO_SLOTS:
        return "no_slots";
    case BB_BALANCE_SUSPENDED:
        return "suspended";
    case BB_BALANCE_LIMITED:
        return "limited";
    case BB_BALANCE_NO_HEADROOM:
        return "no_headroom";
    case BB_BALANCE_FARTHER:
        return "farther";
    case BB_BALANCE_NOT_SAMPLED:
        return "not_sampled";
    case BB_BALANCE_SLOWER:
        return "slower";
    }
    return "";
}

/* Returns the name of a distance. */
static const char *
distance_name(enum bb_gate_distance distance)
{
    static const char *const names[] = {"same_host", "same_zone",
                                        "same_region", "other_region"};

    return names[distance];
}

/* Finds the method of a name. Returns false if there is none. */
static bool
find_method(const char *name, uint32_t *method)
{
    for (uint32_t i = HTTP_DELETE; i <= HTTP_SOURCE; i++) {
        if (strcmp(http_method_str((enum http_method)i), name) == 0) {
            *method = i;
            return true;
        }
    }
    return false;
}

/* Reads the decoded parameters. Returns false and sets the error if one is
 * unknown, missing or invalid. */
static bool
read_parameters(GHashTable *table, struct parameters *p, struct bb_error *e)
{
    GHashTableIter it;
    gpointer key;
    gpointer value;

    *p = (struct parameters){.method_name = "GET", .team_name = ""};
    g_hash_table_iter_init(&it, table);
    while (g_hash_table_iter_next(&it, &key, &value)) {
        if (strcmp(key, "host") == 0) {
            p->host = value;
        }
        else if (strcmp(key, "path") == 0) {
            p->path = value;
        }
        else if (strcmp(key, "method") == 0) {
            p->method_name = value;
        }
        else if (strcmp(key, "team") == 0) {
            p->team_name = value;
        }
        else {
            bb_error_set(e, EXPLAIN_ERROR_QUERY,
                         "unknown parameter '%s': known are host, path, "
                         "method and team",
                         (const char *)key);
            return false;
        }
    }
    if (p->host == NULL || p->host[0] == '\0') {
        bb_error_set(e, EXPLAIN_ERROR_QUERY, "the parameter host is missing");
        return false;
    }
    if (p->path == NULL || p->path[0] != '/') {
        bb_error_set(e, EXPLAIN_ERROR_QUERY,
                     "the parameter path is missing or does not begin with "
                     "'/'");
        return false;
    }
    if (!find_method(p->method_name, &p->method)) {
        bb_error_set(e, EXPLAIN_ERROR_QUERY, "unknown method '%s'",
                     p->method_name);
        return false;
    }
    return true;
}

/* Returns what is known of a gate. `rank` is NULL for one of another version.
 */
static json_t *
gate_json(const struct bb_gate_record *g, const struct bb_gate_view *v,
          const struct bb_balance_request *r,
          const struct bb_balance_rank *rank, uint64_t now_us)
{
    uint64_t wait_us = bb_balance_wait_us(v, now_us);
    uint64_t duration_us = bb_balance_duration_us(v, r);
    uint64_t finish_us = wait_us + duration_us;
    uint64_t age_us = now_us - v->reported_us;
    json_t *j = json_pack(
        "{s:s, s:s, s:b, s:b, s:b, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, "
        "s:s, s:s}",
        "gate", g->address_text, "distance", distance_name(v->distance),
        "ready", v->is_ready, "suspended", now_us < v->suspended_until_us,
        "limited", v->is_limited, "slots", (json_int_t)v->slots, "running",
        (json_int_t)v->running, "queued", (json_int_t)v->queued, "in_flight",
        (json_int_t)v->in_flight, "wait_us", (json_int_t)wait_us,
        "duration_us", (json_int_t)duration_us, "finish_us",
        (json_int_t)finish_us, "failure_permille",
        (json_int_t)bb_balance_decay_failures(v->failure_permille, age_us),
        "version", g->software_version, "reason",
        rank != NULL ? reason_name(rank->reason) : "other_version");

    (void)json_object_set_new(j, "slowness_permille",
                              json_integer((json_int_t)bb_cost_speed_apply(
                                  &v->speed, BB_BALANCE_PERMILLE)));
    (void)json_object_set_new(
        j, "report_age_us",
        v->reported_us != 0 ? json_integer((json_int_t)age_us) : json_null());
    if (rank != NULL) {
        (void)json_object_set_new(j, "rank", json_integer(rank->rank));
        (void)json_object_set_new(j, "cost_us",
                                  json_integer((json_int_t)rank->cost_us));
    }
    return j;
}

/* Outcomes of the draws for one list of candidates. */
struct draws {
    uint32_t counts[BB_DIRECTORY_CANDIDATES_MAX];
    struct bb_balance_choice choice; /* the most frequent one */
    uint64_t random_bits;            /* of a draw with this choice */
};

/* Makes BB_EXPLAIN_DRAWS choices, with the same random bits each time. */
static void
draw_choices(const struct candidates *l, const struct bb_balance_request *r,
             struct draws *d, uint64_t now_us)
{
    uint32_t most = 0;

    *d = (struct draws){.choice = {.gate = -1, .max_wait_us = UINT64_MAX}};
    for (uint32_t i = 1; i <= BB_EXPLAIN_DRAWS; i++) {
        uint64_t bits = i * DRAW_MIX;
        struct bb_balance_choice c = bb_balance_choose(
            l->views, l->was_full, l->count, r, bits, now_us);

        if (c.gate >= 0 && ++d->counts[c.gate] > most) {
            most = d->counts[c.gate];
            d->choice = c;
            d->random_bits = bits;
        }
    }
}

/* Lists the candidates of a version, with a copy of the view of the gate on
 * this host that contains its current load. */
static void
list_copies(const struct entry_request *rq, struct candidates *l,
            struct bb_gate_view *local, enum bb_version_pick pick,
            uint64_t now_us)
{
    const struct bb_entry_settings *s = &rq->entry->settings;

    request_list_candidates(rq, l, pick);
    for (uint32_t i = 0; i < l->count; i++) {
        if (l->views[i]->distance == BB_GATE_SAME_HOST) {
            *local = *l->views[i];
            s->peek_local_view(s->context, local, now_us);
            l->views[i] = local; /* only one gate is on this host */
        }
    }
}

/* Returns the candidates with the reasons against them, then the gates of
 * other versions. */
static json_t *
candidates_json(const struct entry_request *rq, const struct candidates *l,
                const struct bb_balance_request *r, const struct draws *d,
                uint64_t now_us)
{
    struct bb_balance_rank *ranks = g_new0(struct bb_balance_rank, l->count);
    json_t *list = json_array();

    bb_balance_rank_gates(l->views, l->count, r, d->choice.gate,
                          d->random_bits, now_us, ranks);
    for (uint32_t i = 0; i < l->count; i++) {
        json_t *j = gate_json(l->gates[i], l->views[i], r, &ranks[i], now_us);

        (void)json_object_set_new(
            j, "chance_permille",
            json_integer(d->counts[i] * BB_BALANCE_PERMILLE /
                         BB_EXPLAIN_DRAWS));
        (void)json_array_append_new(list, j);
    }
    for (guint i = 0; i < rq->service->gates->len; i++) {
        const struct bb_gate_record *g =
            g_ptr_array_index(rq->service->gates, i);
        bool is_listed = false;

        for (uint32_t k = 0; k < l->count && !is_listed; k++) {
            is_listed = l->gates[k] == g;
        }
        if (!is_listed) {
            (void)json_array_append_new(
                list, gate_json(g, &g->view, r, NULL, now_us));
        }
    }
    g_free(ranks);
    return list;
}

/* Returns the choice among the gates of one version, or of the other one if
 * none of it can be chosen. */
static json_t *
choice_json(const struct entry_request *rq, const struct bb_balance_request *r,
            enum bb_version_pick pick, uint32_t share_permille,
            uint64_t now_us)
{
    static const char *const names[] = {"any", "baseline", "target"};
    struct candidates *l = g_new0(struct candidates, 1);
    struct draws *d = g_new0(struct draws, 1);
    struct bb_gate_view local;
    bool has_gate;
    json_t *j;

    list_copies(rq, l, &local, pick, now_us);
    draw_choices(l, r, d, now_us);
    if (d->choice.gate < 0 && request_change_version(rq, &pick)) {
        list_copies(rq, l, &local, pick, now_us);
        draw_choices(l, r, d, now_us);
    }
    has_gate = d->choice.gate >= 0;
    j = json_pack("{s:s, s:I, s:I, s:s, s:s, s:o}", "version", names[pick],
                  "share_permille", (json_int_t)share_permille, "status",
                  (json_int_t)(has_gate ? HTTP_OK : 503), "reason",
                  has_gate ? "" : service_no_gate_reason(rq->service), "gate",
                  has_gate ? l->gates[d->choice.gate]->address_text : "",
                  "candidates", candidates_json(rq, l, r, d, now_us));
    if (has_gate && d->choice.max_wait_us != UINT64_MAX) {
        (void)json_object_set_new(
            j, "max_wait_us", json_integer((json_int_t)d->choice.max_wait_us));
    }
    g_free(l);
    g_free(d);
    return j;
}

/* Returns the versions that may get requests for a service, NULL if versions
 * are ignored. */
static json_t *
versions_json(const struct bb_version_choice *v)
{
    static const char *const states[] = {"running", "completed",
                                         "rolled_back"};

    if (!v->has_rollout) {
        return json_pack("{s:s}", "baseline", v->baseline);
    }
    return json_pack("{s:s, s:s, s:s, s:I}", "baseline", v->baseline, "target",
                     v->target, "rollout", states[v->state], "target_permille",
                     (json_int_t)v->share_permille);
}

/* Returns the choices for a service, one for each version that may get the
 * request. */
static json_t *
choices_json(const struct entry_request *rq,
             const struct bb_balance_request *r, uint64_t now_us)
{
    const struct bb_entry_settings *s = &rq->entry->settings;
    const struct bb_version_choice *v = &rq->service->versions;
    json_t *list = json_array();
    uint32_t target = 0;

    if (s->evidence == NULL) {
        (void)json_array_append_new(
            list,
            choice_json(rq, r, BB_VERSION_ANY, BB_BALANCE_PERMILLE, now_us));
        return list;
    }
    if (v->has_rollout) {
        target = bb_version_choice_share(v, s->is_in_touch(s->context));
    }
    if (target < BB_BALANCE_PERMILLE) {
        (void)json_array_append_new(
            list, choice_json(rq, r, BB_VERSION_BASELINE,
                              BB_BALANCE_PERMILLE - target, now_us));
    }
    if (target > 0) {
        (void)json_array_append_new(
            list, choice_json(rq, r, BB_VERSION_TARGET, target, now_us));
    }
    return list;
}

/* A service that is looked for by its name. */
struct service_search {
    const char *name;
    struct bb_service_record *found;
};

static void
compare_service(void *context, struct bb_service_record *s)
{
    struct service_search *search = context;

    if (strcmp(s->name, search->name) == 0) {
        search->found = s;
    }
}

/* Returns the services of the route with their shares and choices. A service
 * that the directory does not know is not added to it. */
static json_t *
services_json(struct entry_request *rq, const struct bb_balance_request *r,
              uint64_t now_us)
{
    const struct bb_entry_settings *s = &rq->entry->settings;
    json_t *list = json_array();

    for (uint32_t i = 0; i < rq->route->service_count; i++) {
        const struct bb_weighted_service *w = &rq->route->services[i];
        struct service_search search = {.name = w->service};
        struct bb_service_record unknown = {.name = w->service,
                                            .gates = g_ptr_array_new()};
        json_t *j;

        bb_directory_foreach_service(s->directory, compare_service, &search);
        rq->service = search.found != NULL ? search.found : &unknown;
        j = json_pack("{s:s, s:I, s:I, s:o}", "service", w->service, "weight",
                      (json_int_t)w->weight, "share_permille",
                      (json_int_t)(w->weight * (uint64_t)BB_BALANCE_PERMILLE /
                                   rq->route->weight_sum),
                      "choices", choices_json(rq, r, now_us));
        if (s->evidence != NULL) {
            (void)json_object_set_new(j, "versions",
                                      versions_json(&rq->service->versions));
        }
        (void)json_array_append_new(list, j);
        g_ptr_array_free(unknown.gates, TRUE);
    }
    return list;
}

/* Returns whether the entry holds a lease, or needs none. */
static bool
peek_lease(const struct bb_entry_settings *s)
{
    uint32_t expected_ms = 0;

    if (s->peek_lease != NULL) {
        return s->peek_lease(s->context);
    }
    return s->has_lease == NULL || s->has_lease(s->context, &expected_ms);
}

/* Adds key, lease and quota, and returns why the request would be refused, or
 * an empty text. Sets the status of a refusal. */
static const char *
add_team(const struct entry_request *rq, json_t *j, uint32_t *status)
{
    const struct bb_entry_settings *s = &rq->entry->settings;
    bool needs_key = rq->rules->requires_keys && !rq->route->is_public;
    bool has_lease = rq->team == NULL || rq->route->is_public || peek_lease(s);
    uint32_t chance_ppm = BB_QUOTA_PPM;
    bool uses_own_bucket = false;

    (void)json_object_set_new(j, "needs_key", json_boolean(needs_key));
    (void)json_object_set_new(j, "rank", json_integer(request_rank(rq)));
    if (s->has_lease != NULL && needs_key && rq->team != NULL) {
        (void)json_object_set_new(j, "has_lease", json_boolean(has_lease));
    }
    if (rq->team != NULL && rq->team->rate_mrps != 0 && s->quota != NULL) {
        chance_ppm = bb_quota_node_chance_ppm(
            s->quota, rq->team->id, rq->team->rate_mrps, rq->team->burst,
            bb_clock_boot_now_us(), &uses_own_bucket);
        (void)json_object_set_new(
            j, "quota",
            json_pack("{s:I, s:I, s:I, s:s}", "rate_mrps",
                      (json_int_t)rq->team->rate_mrps, "burst",
                      (json_int_t)rq->team->burst, "admitted_ppm",
                      (json_int_t)chance_ppm, "decided_by",
                      uses_own_bucket ? "own_bucket" : "ratio"));
    }
    if (needs_key && rq->team == NULL) {
        *status = 401;
        return "no_key";
    }
    if (!has_lease) {
        *status = 503;
        return "no_lease";
    }
    if (chance_ppm == 0) {
        *status = 429;
        return "quota";
    }
    return "";
}

/* Returns the team of a name in the rules, or NULL. */
static const struct bb_team *
find_team(const struct bb_rules *rules, const char *name)
{
    for (guint i = 0; rules->requires_keys && i < rules->teams->len; i++) {
        const struct bb_team *t = g_ptr_array_index(rules->teams, i);

        if (strcmp(t->name, name) == 0) {
            return t;
        }
    }
    return NULL;
}

/* Adds the route and what follows from it. Returns why the request would be
 * refused before a gate is chosen, or an empty text. */
static const char *
add_route(struct entry_request *rq, const struct parameters *p, json_t *j,
          uint32_t *status)
{
    uint64_t now_us = bb_clock_now_us();
    struct bb_balance_request r;
    const char *reason;

    if (rq->entry->is_stopping) {
        *status = 503;
        return "stopping";
    }
    rq->rules = rq->entry->rules;
    if (rq->rules == NULL) {
        *status = 503;
        return "no_configuration";
    }
    (void)json_object_set_new(j, "configuration_version",
                              json_integer((json_int_t)rq->rules->version));
    rq->route = bb_rules_match(rq->rules, p->host, p->path);
    if (rq->route == NULL) {
        *status = 404;
        return "no_route";
    }
    rq->team = find_team(rq->rules, p->team_name);
    (void)json_object_set_new(
        j, "route",
        json_pack("{s:s, s:s, s:b, s:b, s:I, s:I}", "name", rq->route->name,
                  "prefix", rq->route->prefix, "public", rq->route->is_public,
                  "idempotent", rq->route->is_idempotent, "timeout_ms",
                  (json_int_t)rq->route->timeout_ms, "target_latency_ms",
                  (json_int_t)rq->route->target_latency_ms));
    reason = add_team(rq, j, status);
    rq->cost_key =
        bb_cost_key(rq->route->class_index, p->method, p->path, 0, NULL);
    r = (struct bb_balance_request){
        .class_index = rq->route->class_index,
        .target_left_us =
            (uint64_t)rq->route->target_latency_ms * BB_US_PER_MS,
        .cost_us = bb_cost_mean_us(&rq->entry->cost, &rq->cost_key),
        .class_cost_us =
            bb_cost_class_mean_us(&rq->entry->cost, &rq->cost_key)};
    (void)json_object_set_new(j, "services", services_json(rq, &r, now_us));
    return reason;
}

/* Explains the request that a query such as "host=h&path=/x" describes, as a
 * JSON object that the caller frees. A team is given by its name. Returns NULL
 * and sets the error if the query is invalid. */
json_t *
bb_explain_request(const struct bb_entry *n, const char *query,
                   struct bb_error *e)
{
    GHashTable *table =
        g_uri_parse_params(query, -1, "&", G_URI_PARAMS_WWW_FORM, NULL);
    struct entry_request *rq = g_new0(struct entry_request, 1);
    struct parameters p;
    uint32_t status = HTTP_OK;
    const char *reason;
    json_t *j = NULL;

    if (table == NULL) {
        bb_error_set(e, EXPLAIN_ERROR_QUERY, "the query cannot be decoded");
        goto out;
    }
    if (!read_parameters(table, &p, e)) {
        goto out;
    }
    /* Only functions that leave the entry as it is are called with it. */
    rq->entry = (struct bb_entry *)(uintptr_t)n;
    j = json_pack("{s:s, s:s, s:s, s:s}", "host", p.host, "path", p.path,
                  "method", p.method_name, "team", p.team_name);
    reason = add_route(rq, &p, j, &status);
    (void)json_object_set_new(j, "status", json_integer(status));
    (void)json_object_set_new(j, "reason", json_string(reason));
out:
    if (table != NULL) {
        g_hash_table_unref(table);
    }
    g_free(rq);
    return j;
}

/* Responds to a request for BB_EXPLAIN_PATH; the context is the entry. */
void
bb_explain_serve(void *context, struct bb_http_exchange *x)
{
    const char *query = strchr(bb_http_head_target(&x->head), '?');
    GString *fields = g_string_new("Content-Type: application/json\r\n");
    struct bb_error e = {0};
    uint32_t status = HTTP_OK;
    json_t *j;
    char *text;

    if (x->head.method != HTTP_GET) {
        bb_error_set(&e, EXPLAIN_ERROR_QUERY, "only GET is served");
        j = NULL;
    }
    else {
        j = bb_explain_request(context, query != NULL ? query + 1 : "", &e);
    }
    if (j == NULL) {
        status = HTTP_BAD_REQUEST;
        j = json_pack("{s:{s:s}}", "error", "message", e.message);
    }
    text = json_dumps(j, JSON_INDENT(2));
    bb_http_exchange_respond(x, status, fields, text != NULL ? text : "",
                             text != NULL ? strlen(text) : 0);
    free(text);
    json_decref(j);
    g_string_free(fields, TRUE);
}
