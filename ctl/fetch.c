/* Reads from the administration API, with the HTTP client library neon. */
#include <glib.h>
#include <ne_request.h>
#include <ne_session.h>
#include <ne_socket.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

enum {
    CONNECT_TIMEOUT_S = 5,
    READ_TIMEOUT_S = 15,
    BLOCK_BYTES = 16 * 1024,
    /* A configuration of up to 4 MiB is twice in the response, as files and as
     * merged text, and a JSON escape takes up to 6 bytes for one: 48 MiB. */
    RESPONSE_MAX_BYTES = 64 * 1024 * 1024,
    HTTP_OK = 200
};

/* Creates a session with the administration address; no connection is made
 * yet. Returns NULL if sockets cannot be used. */
static ne_session *
open_session(const struct bb_ctl_context *c)
{
    bool is_ipv6 = strchr(c->admin.ip, ':') != NULL;
    char *host = g_strdup_printf(is_ipv6 ? "[%s]" : "%s", c->admin.ip);
    ne_session *s = NULL;

    if (ne_sock_init() == 0) {
        s = ne_session_create("http", host, c->admin.port);
        ne_set_connect_timeout(s, CONNECT_TIMEOUT_S);
        ne_set_read_timeout(s, READ_TIMEOUT_S);
    }
    g_free(host);
    return s;
}

/* Sends the request and appends the whole response to body. Returns NE_OK or
 * an error code of neon; NE_ERROR for a response over RESPONSE_MAX_BYTES, for
 * which ne_get_error has no text of its own. */
static int
read_body(ne_request *r, GString *body)
{
    char *block = g_malloc(BLOCK_BYTES);
    ssize_t n = 0;
    int result = ne_begin_request(r);

    if (result == NE_OK) {
        do {
            n = ne_read_response_block(r, block, BLOCK_BYTES);
            if (n > 0) {
                g_string_append_len(body, block, n);
            }
        } while (n > 0 && body->len <= RESPONSE_MAX_BYTES);
        /* ne_end_request is called only after the whole body: it checks that
         * nothing is left. */
        result = n == 0 ? ne_end_request(r) : NE_ERROR;
    }
    g_free(block);
    return result;
}

/* Prints an error for a response whose status is not 200, with the message in
 * it. Returns BB_EXIT_FAILED. */
static enum bb_exit
report_status(const struct bb_ctl_context *c, const char *path, int status,
              const json_t *response)
{
    const json_t *error = json_object_get(response, "error");

    bb_ctl_print_error(
        c, "GET %s failed with HTTP status %d: %s", path, status,
        error != NULL ? bb_ctl_get_text(error, "message") : "no reason");
    return BB_EXIT_FAILED;
}

/* Gets a JSON object from a path. On BB_EXIT_OK the caller frees *response
 * with json_decref. Otherwise the error has been printed and *response is
 * NULL: BB_EXIT_INTERNAL if sockets cannot be initialised, BB_EXIT_UNREACHABLE
 * if there is no complete response of at most RESPONSE_MAX_BYTES,
 * BB_EXIT_FAILED for one with another status than 200 or without a JSON
 * object. */
enum bb_exit
bb_ctl_fetch(const struct bb_ctl_context *c, const char *path,
             json_t **response)
{
    enum bb_exit result = BB_EXIT_UNREACHABLE;
    char address[BB_ADDRESS_TEXT_BYTES];
    GString *body = g_string_new(NULL);
    ne_session *s = open_session(c);
    ne_request *r = NULL;
    json_error_t error;
    int status;

    *response = NULL;
    if (s == NULL) {
        bb_ctl_print_error(c, "cannot initialise sockets");
        result = BB_EXIT_INTERNAL;
        goto out;
    }
    r = ne_request_create(s, "GET", path);
    if (read_body(r, body) != NE_OK) {
        bb_ctl_print_error(c, "cannot read %s from %s: %s", path,
                           bb_address_format(&c->admin, address),
                           ne_get_error(s));
        goto out;
    }
    status = ne_get_status(r)->code;
    *response =
        json_loadb(body->str, body->len, JSON_REJECT_DUPLICATES, &error);
    if (status != HTTP_OK) {
        result = report_status(c, path, status, *response);
    }
    else if (!json_is_object(*response)) {
        bb_ctl_print_error(c, "%s from %s is not a JSON object", path,
                           bb_address_format(&c->admin, address));
        result = BB_EXIT_FAILED;
    }
    else {
        result = BB_EXIT_OK;
    }
out:
    if (result != BB_EXIT_OK) {
        json_decref(*response);
        *response = NULL;
    }
    if (r != NULL) {
        ne_request_destroy(r);
    }
    if (s != NULL) {
        ne_session_destroy(s);
    }
    g_string_free(body, TRUE);
    return result;
}

/* Creates a folder from the files in a response of /v1/in-force. Returns NULL
 * with an error if a name or size is refused or the digest is another one. */
static struct bb_folder *
build_folder(const json_t *response, struct bb_error *e)
{
    struct bb_folder_builder *b = bb_folder_builder_create();
    const json_t *files = json_object_get(response, "files");
    char digest[BB_DIGEST_TEXT_BYTES];
    struct bb_folder *folder = NULL;

    for (size_t i = 0; i < json_array_size(files); i++) {
        const json_t *f = json_array_get(files, i);
        const json_t *data = json_object_get(f, "data");

        if (!bb_folder_builder_add(
                b, bb_ctl_get_text(f, "name"), bb_ctl_get_text(f, "data"),
                data != NULL ? json_string_length(data) : 0, e)) {
            goto out;
        }
    }
    folder = bb_folder_builder_finish(b, e);
    if (folder != NULL && bb_ctl_get_number(response, "revision") > 0 &&
        strcmp(bb_digest_format(&folder->digest, digest),
               bb_ctl_get_text(response, "digest")) != 0) {
        bb_error_set(e, BB_CONFIG_ERROR_DIGEST,
                     "the files do not match the digest");
        bb_folder_destroy(folder);
        folder = NULL;
    }
out:
    bb_folder_builder_destroy(b);
    return folder;
}

/* Gets the response of /v1/in-force and the folder in it, which is empty at
 * revision 0. On BB_EXIT_OK the caller frees both; otherwise the error has
 * been printed and both are NULL. */
enum bb_exit
bb_ctl_fetch_folder(const struct bb_ctl_context *c, json_t **response,
                    struct bb_folder **folder)
{
    enum bb_exit result = bb_ctl_fetch(c, "/v1/in-force", response);
    struct bb_error e = {0};

    *folder = NULL;
    if (result != BB_EXIT_OK) {
        return result;
    }
    *folder = build_folder(*response, &e);
    if (*folder == NULL) {
        bb_ctl_print_error(c, "cannot use the response of /v1/in-force: %s",
                           e.message);
        json_decref(*response);
        *response = NULL;
        return BB_EXIT_FAILED;
    }
    return BB_EXIT_OK;
}
