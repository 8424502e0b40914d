/* Teams at the entry: finds the team of a request by its key, refuses a
 * request without one or without a lease, ranks requests and names the team to
 * gates. Nothing here logs a key. */
#include <string.h>
#include <strings.h>

#include "common/random.h"
#include "decide/gate_queue.h"
#include "entry_internal.h"

/* What the rules say of the key of a request. */
enum key_verdict {
    KEY_NOT_NEEDED, /* there may be a valid one nevertheless */
    KEY_VALID,
    KEY_MISSING,
    KEY_UNKNOWN
};

/* Returns the key of a request, without blanks around it, and sets its length.
 * Returns NULL if the request has none: no credentials, or of another scheme.
 */
static const char *
find_key(const struct entry_request *rq, size_t *key_bytes)
{
    const struct bb_dialect_fields *names =
        &rq->entry->settings.dialect->fields;
    const char *scheme = names->credentials_scheme;
    const char *text =
        bb_http_head_get(&rq->exchange->head, names->credentials);
    size_t scheme_bytes = strlen(scheme);

    if (text == NULL || strncasecmp(text, scheme, scheme_bytes) != 0 ||
        strspn(text + scheme_bytes, " \t") == 0) {
        return NULL;
    }
    text += scheme_bytes;
    text += strspn(text, " \t");
    *key_bytes = strlen(text);
    while (*key_bytes > 0 && strchr(" \t", text[*key_bytes - 1]) != NULL) {
        (*key_bytes)--;
    }
    return *key_bytes > 0 ? text : NULL;
}

/* Checks the key of a request on a route of the rules. Sets the team if the
 * key is valid, else NULL. A nested request has no team: the key of its parent
 * was checked. */
static enum key_verdict
check_key(const struct entry_request *rq, const struct bb_rules *rules,
          const struct bb_rules_route *route, const struct bb_team **team)
{
    const char *key;
    size_t key_bytes = 0;

    *team = NULL;
    if (!rules->requires_keys || rq->is_nested) {
        return KEY_NOT_NEEDED;
    }
    key = find_key(rq, &key_bytes);
    if (key != NULL) {
        *team = bb_rules_find_team(rules, key, key_bytes);
    }
    if (*team != NULL) {
        return KEY_VALID;
    }
    if (route->is_public) {
        return KEY_NOT_NEEDED;
    }
    return key != NULL ? KEY_UNKNOWN : KEY_MISSING;
}

/* Returns whether the entry holds a lease, or needs none. If not, sets the
 * Retry-After: the time in which a lease can be expected, plus up to half of
 * it at random, so that callers do not return at the same time. */
static bool
has_lease(const struct bb_entry *n, uint32_t *retry_ms)
{
    uint32_t expected_ms = 0;

    if (n->settings.has_lease == NULL ||
        n->settings.has_lease(n->settings.context, &expected_ms)) {
        return true;
    }
    *retry_ms = expected_ms +
                (uint32_t)(bb_random_global_u64() % (expected_ms / 2 + 1));
    return false;
}

/* Returns whether a request is admitted by its key, which may have been
 * revoked: not a nested or a public one. */
static bool
depends_on_key(const struct entry_request *rq)
{
    return rq->team != NULL && !rq->route->is_public;
}

/* Responds to a request that may not be sent (again) without a lease, and
 * destroys it. */
static void
refuse_without_lease(struct entry_request *rq, uint32_t retry_ms)
{
    if (rq->has_held_response) {
        request_forward_held_response(rq);
    }
    else if (rq->may_have_run) {
        request_respond_locally(rq, 502, "no_lease", 0);
    }
    else {
        request_respond_locally(rq, 503, "no_lease", retry_ms);
    }
}

/* Sets the team of a request that has a route. Returns false if the request
 * was refused: its route needs a key and it has no valid one, or the entry
 * holds no lease. A key that is unknown here may then be newer than the
 * configuration in force. */
bool
request_admit_team(struct entry_request *rq)
{
    uint32_t retry_ms = 0;

    switch (check_key(rq, rq->rules, rq->route, &rq->team)) {
    case KEY_NOT_NEEDED:
        return true;
    case KEY_VALID:
        return rq->route->is_public || request_keep_lease(rq);
    case KEY_MISSING:
        request_respond_locally(rq, 401, "no_key", 0);
        return false;
    case KEY_UNKNOWN:
        if (has_lease(rq->entry, &retry_ms)) {
            request_respond_locally(rq, 401, "unknown_key", 0);
        }
        else {
            refuse_without_lease(rq, retry_ms);
        }
        return false;
    }
    return false;
}

/* Returns whether a request may be sent to a gate now, by a clock that is read
 * now. If not, responds to it and destroys it. */
bool
request_keep_lease(struct entry_request *rq)
{
    uint32_t retry_ms = 0;

    if (!depends_on_key(rq) || has_lease(rq->entry, &retry_ms)) {
        return true;
    }
    refuse_without_lease(rq, retry_ms);
    return false;
}

/* Returns whether a request may be hedged now. */
bool
request_has_lease(const struct entry_request *rq)
{
    uint32_t retry_ms = 0;

    return !depends_on_key(rq) || has_lease(rq->entry, &retry_ms);
}

/* Returns whether the response to a request on a route of the rules does not
 * depend on gates: it has no key, or an unknown one. Sets is_undecided if it
 * depends on a lease that the entry does not hold. */
bool
request_lacks_key(const struct entry_request *rq, const struct bb_rules *rules,
                  const struct bb_rules_route *route, bool *is_undecided)
{
    const struct bb_team *team;
    enum key_verdict v = check_key(rq, rules, route, &team);
    uint32_t retry_ms = 0;

    *is_undecided =
        (v == KEY_UNKNOWN || (v == KEY_VALID && !route->is_public)) &&
        !has_lease(rq->entry, &retry_ms);
    return v == KEY_MISSING || v == KEY_UNKNOWN;
}

/* Returns the rank of a request in the queues of gates, 0 the most urgent:
 * nested requests first, then by priority of the team, then of the route.
 * Without teams it is the priority of the route. A public request without a
 * team counts as one of a team that states no priority. */
uint32_t
request_rank(const struct entry_request *rq)
{
    uint32_t route_priority = MIN(
        rq->route->priority, (uint32_t)BB_GATE_QUEUE_TEAM_PRIORITY_STEP - 1);
    uint32_t team_priority = rq->team != NULL
                                 ? rq->team->priority
                                 : (uint32_t)BB_TEAM_DEFAULT_PRIORITY;

    if (!rq->rules->requires_keys) {
        return rq->route->priority;
    }
    if (rq->is_nested) {
        return route_priority;
    }
    return BB_GATE_QUEUE_TEAM_PRIORITY_STEP * (team_priority + 1) +
           route_priority;
}

/* Appends the field with the name of the team, if the request has one. A
 * public request goes without it while the entry holds no lease, as its key
 * may have been revoked. */
void
request_append_team(const struct entry_request *rq, GString *head)
{
    uint32_t retry_ms = 0;

    if (rq->team != NULL &&
        (!rq->route->is_public || has_lease(rq->entry, &retry_ms))) {
        g_string_append_printf(head, "%s: %s\r\n",
                               rq->entry->settings.dialect->fields.team,
                               rq->team->name);
    }
}
