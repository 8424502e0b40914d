/* Damaged or foreign bytes must never become a configuration: every truncation
 * and every flipped bit of a bundle and a delta is refused. */
#include <xxhash.h>

#include "config/bundle.h"
#include "fixture.h"

enum { VERSION = 7 };

static const char *const old_files[] = {
    "10.conf", "[region accra]\n",  "20.conf", "[region kumasi]\n",
    "30.conf", "# to be removed\n", NULL};
static const char *const new_files[] = {
    "10.conf", "[region accra]\n", "20.conf", "[region k]\n",
    "40.conf", "# added\n",        NULL};

static struct bb_bundle *
make_bundle(uint64_t revision, const char *const *files)
{
    return bb_bundle_create(revision, VERSION, fixture_create_folder(files));
}

/* Adds a roster; a count may be 0. A host is named "SERVICE-NNNN", with
 * numbers from `first` for the current hosts and from 0 for the previous ones.
 */
static bool
add_roster(struct bb_rosters *r, const char *service, uint64_t epoch,
           uint32_t first, uint32_t host_count, uint32_t previous_count,
           struct bb_error *e)
{
    struct bb_service_roster item = {.epoch = epoch};
    char(*names)[BB_NAME_BYTES] =
        g_malloc0_n(1 + host_count + previous_count, sizeof(names[0]));
    bool ok;

    (void)g_strlcpy(item.service, service, sizeof(item.service));
    for (uint32_t i = 0; i < host_count + previous_count; i++) {
        uint32_t n = i < host_count ? first + i : i - host_count;

        (void)g_snprintf(names[i], BB_NAME_BYTES, "%s-%04u", service, n);
    }
    item.hosts = (struct bb_host_list){names, host_count};
    item.previous_hosts =
        (struct bb_host_list){names + host_count, previous_count};
    ok = bb_rosters_put(r, &item, e);
    g_free(names);
    return ok;
}

/* Makes a bundle with rosters of the services a and b. That of a has previous
 * hosts if its epoch is above 1. */
static struct bb_bundle *
make_bundle_with_rosters(uint64_t revision, const char *const *files,
                         const char *a, const char *b, uint64_t epoch)
{
    struct bb_rosters *r = bb_rosters_create();
    struct bb_error e = {0};

    CU_ASSERT_TRUE_FATAL(add_roster(r, b, 1, 0, 3, 0, &e));
    CU_ASSERT_TRUE_FATAL(add_roster(r, a, epoch, 1, 3, epoch > 1 ? 3 : 0, &e));
    return bb_bundle_create_with_rosters(revision, VERSION,
                                         fixture_create_folder(files), r);
}

/* Guards against a roster that is lost or changed by encoding, and against a
 * digest that stays equal when a roster changes. */
static void
test_rosters_survive_encoding_and_deltas(void)
{
    struct bb_bundle *from =
        make_bundle_with_rosters(5, old_files, "a", "b", 1);
    struct bb_bundle *to = make_bundle_with_rosters(6, old_files, "a", "c", 2);
    const struct bb_bundle *bundles[] = {from, to};
    struct bb_bundle *copy;
    struct bb_error e = {0};
    uint8_t *bytes;
    size_t size;
    size_t whole_size;

    CU_ASSERT_TRUE(
        bb_digest_equal(&from->folder->digest, &to->folder->digest));
    CU_ASSERT_FALSE(bb_digest_equal(&from->digest, &to->digest));
    for (int i = 0; i < 2; i++) {
        bb_bundle_encode(bundles[i], &bytes, &whole_size);
        copy = bb_bundle_decode(bytes, whole_size, &e);
        fixture_require_not_null(copy);
        CU_ASSERT_TRUE(bb_digest_equal(&copy->digest, &bundles[i]->digest));
        CU_ASSERT_TRUE(bb_service_roster_equal(
            &copy->rosters->items[0], &bundles[i]->rosters->items[0]));
        bb_bundle_unref(copy);
        g_free(bytes);
    }
    bb_bundle_encode_delta(from, to, &bytes, &size);
    copy = bb_bundle_apply_delta(from, bytes, size, &e);
    fixture_require_not_null(copy);
    CU_ASSERT_TRUE(bb_digest_equal(&copy->digest, &to->digest));
    CU_ASSERT_EQUAL(copy->rosters->count, 2);
    CU_ASSERT_PTR_NULL(bb_rosters_find(copy->rosters, "b"));
    CU_ASSERT_EQUAL(bb_rosters_find(copy->rosters, "a")->previous_hosts.count,
                    3);
    CU_ASSERT_PTR_NULL(bb_bundle_apply_delta(to, bytes, size, &e));
    CU_ASSERT_EQUAL(e.code, BB_CONFIG_ERROR_BASE);
    bb_bundle_unref(copy);
    g_free(bytes);
    bb_bundle_unref(from);
    bb_bundle_unref(to);
}

/* Guards against more services, hosts or names than a receiver accepts, and
 * against unsorted lists, which would give one roster several digests. */
static void
test_rosters_over_their_limits_are_refused(void)
{
    struct bb_rosters *r = bb_rosters_create();
    struct bb_service_roster bad = {.service = "s", .epoch = 1};
    char names[2][BB_NAME_BYTES] = {"b", "a"};
    char service[BB_NAME_BYTES];
    struct bb_error e = {0};

    CU_ASSERT_FALSE(add_roster(r, "s", 1, 0, BB_ROSTER_HOSTS_MAX + 1, 0, &e));
    CU_ASSERT_FALSE(add_roster(r, "s", 0, 0, 3, 0, &e));
    CU_ASSERT_FALSE(add_roster(r, "", 1, 0, 3, 0, &e));
    CU_ASSERT_FALSE(add_roster(r, "s", 1, 0, 0, 3, &e));
    bad.hosts = (struct bb_host_list){names, 2};
    CU_ASSERT_FALSE(bb_rosters_put(r, &bad, &e));
    CU_ASSERT_EQUAL(e.code, BB_CONFIG_ERROR_DAMAGED);
    CU_ASSERT_EQUAL(r->count, 0);
    /* BB_ROSTERS_MAX rosters of 15 names stay below BB_ROSTERS_HOST_NAMES_MAX;
     * one of 1024 names in place of one of them exceeds it. */
    for (int i = 0; i < BB_ROSTERS_MAX; i++) {
        (void)g_snprintf(service, sizeof(service), "%03d", i);
        CU_ASSERT_TRUE_FATAL(add_roster(r, service, 1, 0, 8, 7, &e));
    }
    CU_ASSERT_FALSE(add_roster(r, "zzz", 1, 0, 1, 0, &e));
    CU_ASSERT_EQUAL(e.code, BB_CONFIG_ERROR_LIMIT);
    CU_ASSERT_TRUE(add_roster(r, "000", 2, 1, 8, 8, &e));
    CU_ASSERT_FALSE(add_roster(r, "001", 2, 1, 512, 512, &e));
    CU_ASSERT_EQUAL(e.code, BB_CONFIG_ERROR_LIMIT);
    bb_rosters_destroy(r);
}

/* Guards against buffers that are too small for the largest set of rosters. */
static void
test_full_rosters_survive_encoding(void)
{
    struct bb_rosters *r = bb_rosters_create();
    char service[BB_NAME_BYTES];
    struct bb_bundle *bundle;
    struct bb_bundle *copy;
    struct bb_error e = {0};
    uint8_t *bytes;
    size_t size;

    for (int i = 0; i < BB_ROSTERS_MAX; i++) {
        /* 58 bytes and the 5 of "-NNNN" make a host name of 63 bytes, the
         * longest. */
        (void)g_snprintf(service, sizeof(service), "%058d", i);
        CU_ASSERT_TRUE_FATAL(add_roster(r, service, 1, 0, 8, 8, &e));
    }
    bundle = bb_bundle_create_with_rosters(
        1, 0, fixture_create_folder(old_files), r);
    bb_bundle_encode(bundle, &bytes, &size);
    CU_ASSERT_TRUE(size < BB_BUNDLE_MAX_BYTES);
    copy = bb_bundle_decode(bytes, size, &e);
    fixture_require_not_null(copy);
    CU_ASSERT_TRUE(bb_digest_equal(&copy->digest, &bundle->digest));
    bb_bundle_unref(copy);
    bb_bundle_unref(bundle);
    g_free(bytes);
}

/* Guards against a revision, version or file that is lost or changed by
 * encoding. */
static void
test_bundle_survives_encoding(void)
{
    struct bb_bundle *b = make_bundle(5, old_files);
    struct bb_bundle *copy;
    struct bb_error e = {0};
    uint8_t *bytes;
    size_t size;

    bb_bundle_encode(b, &bytes, &size);
    copy = bb_bundle_decode(bytes, size, &e);
    fixture_require_not_null(copy);
    CU_ASSERT_EQUAL(copy->revision, 5);
    CU_ASSERT_EQUAL(copy->version, VERSION);
    CU_ASSERT_TRUE(bb_digest_equal(&copy->digest, &b->digest));
    CU_ASSERT_STRING_EQUAL(copy->folder->files[1].data, old_files[3]);
    bb_bundle_unref(bb_bundle_ref(copy));
    bb_bundle_unref(copy);
    g_free(bytes);
    bb_bundle_unref(b);
}

/* Guards against a delta that is applied to another revision than its base or
 * is decoded as a whole bundle. */
static void
test_delta_applies_only_to_its_base(void)
{
    struct bb_bundle *from = make_bundle(5, old_files);
    struct bb_bundle *to = make_bundle(6, new_files);
    struct bb_bundle *result;
    struct bb_error e = {0};
    uint8_t *bytes;
    size_t size;

    bb_bundle_encode_delta(from, to, &bytes, &size);
    result = bb_bundle_apply_delta(from, bytes, size, &e);
    fixture_require_not_null(result);
    CU_ASSERT_EQUAL(result->revision, 6);
    CU_ASSERT_TRUE(bb_digest_equal(&result->digest, &to->digest));
    CU_ASSERT_EQUAL(result->folder->file_count, 3);
    bb_bundle_unref(result);
    CU_ASSERT_PTR_NULL(bb_bundle_apply_delta(to, bytes, size, &e));
    CU_ASSERT_EQUAL(e.code, BB_CONFIG_ERROR_BASE);
    CU_ASSERT_PTR_NULL(bb_bundle_decode(bytes, size, &e));
    g_free(bytes);
    bb_bundle_unref(from);
    bb_bundle_unref(to);
}

/* Writes a matching hash, so that the checks after that of the hash run. The
 * format of bundle_codec.c is duplicated here on purpose: the last 8 bytes of
 * the header are the hash. */
static void
repair_hash(uint8_t *bytes, size_t size)
{
    enum { HEADER_BYTES = 16, HASH_AT = 8, HASH_SEED = 0x6262 };
    uint64_t hash = XXH64(bytes + HEADER_BYTES, size - HEADER_BYTES,
                          XXH64(bytes, HASH_AT, HASH_SEED));

    for (int i = 0; i < 8; i++) {
        bytes[HASH_AT + i] = (uint8_t)(hash >> (56 - 8 * i));
    }
}

/* Decodes damaged bytes as a delta if there is a base, else as a bundle. They
 * must be refused, or give a bundle with the allowed digest, if not NULL. */
static void
check_damaged(const struct bb_bundle *base, const uint8_t *bytes, size_t size,
              const struct bb_digest *allowed)
{
    struct bb_error e = {0};
    struct bb_bundle *b = base != NULL
                              ? bb_bundle_apply_delta(base, bytes, size, &e)
                              : bb_bundle_decode(bytes, size, &e);

    if (b != NULL) {
        CU_ASSERT_TRUE(allowed != NULL &&
                       bb_digest_equal(&b->digest, allowed));
        bb_bundle_unref(b);
    }
    else {
        CU_ASSERT_NOT_EQUAL(e.code, 0);
    }
}

/* Tries every truncation and every flipped bit, with the hash left as it is
 * and with a matching one. */
static void
check_all_damage(const struct bb_bundle *base, const uint8_t *bytes,
                 size_t size, const struct bb_digest *digest)
{
    for (size_t i = 0; i < size; i++) {
        /* An exact allocation lets the sanitizer find reads past the end. */
        uint8_t *copy = g_memdup2(bytes, i);

        check_damaged(base, copy, i, NULL);
        g_free(copy);
    }
    for (size_t i = 0; i < size * 8; i++) {
        uint8_t *copy = g_memdup2(bytes, size);

        copy[i / 8] ^= (uint8_t)(1 << (i % 8));
        check_damaged(base, copy, size, NULL);
        repair_hash(copy, size);
        check_damaged(base, copy, size, digest);
        g_free(copy);
    }
}

/* Guards against a damaged bundle or delta that is accepted with other
 * content, and against reads past its end. */
static void
test_damaged_bytes_are_refused(void)
{
    struct bb_bundle *from =
        make_bundle_with_rosters(5, old_files, "a", "b", 1);
    struct bb_bundle *to = make_bundle_with_rosters(6, new_files, "a", "c", 2);
    uint8_t *bytes;
    size_t size;

    bb_bundle_encode(to, &bytes, &size);
    check_all_damage(NULL, bytes, size, &to->digest);
    g_free(bytes);
    bb_bundle_encode_delta(from, to, &bytes, &size);
    check_all_damage(from, bytes, size, &to->digest);
    g_free(bytes);
    bb_bundle_unref(from);
    bb_bundle_unref(to);
}

/* Guards against buffers that are too small for the largest folder. */
static void
test_full_folder_survives_encoding(void)
{
    struct bb_folder_builder *b = bb_folder_builder_create();
    struct bb_bundle *bundle;
    struct bb_bundle *copy;
    struct bb_error e = {0};
    char data[BB_FOLDER_MAX_BYTES / BB_FOLDER_FILES_MAX];
    char name[BB_FOLDER_FILE_NAME_MAX_BYTES + 1];
    uint8_t *bytes;
    size_t size;

    memset(data, '\n', sizeof(data));
    for (int i = 0; i < BB_FOLDER_FILES_MAX; i++) {
        (void)g_snprintf(name, sizeof(name), "%0255d", i);
        CU_ASSERT_TRUE_FATAL(
            bb_folder_builder_add(b, name, data, sizeof(data), &e));
    }
    bundle = bb_bundle_create(1, 0, bb_folder_builder_finish(b, &e));
    bb_bundle_encode(bundle, &bytes, &size);
    copy = bb_bundle_decode(bytes, size, &e);
    CU_ASSERT_PTR_NOT_NULL(copy);
    bb_bundle_unref(copy);
    bb_bundle_unref(bundle);
    g_free(bytes);
    bb_folder_builder_destroy(b);
}

static const struct bb_unit_test tests[] = {
    {"a bundle survives encoding", test_bundle_survives_encoding},
    {"rosters survive encoding and deltas",
     test_rosters_survive_encoding_and_deltas},
    {"rosters over their limits are refused",
     test_rosters_over_their_limits_are_refused},
    {"full rosters survive encoding", test_full_rosters_survive_encoding},
    {"a delta applies only to its base", test_delta_applies_only_to_its_base},
    {"damaged bytes are refused", test_damaged_bytes_are_refused},
    {"a full folder survives encoding", test_full_folder_survives_encoding},
};

BB_UNIT_MAIN("bundle", tests)
