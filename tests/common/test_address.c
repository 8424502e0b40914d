/* Addresses come from settings and from the network. Guards against malformed
 * ones that are accepted in part or change the result. */
#include "common/address.h"
#include "unit.h"

#include <string.h>

/* Guards against an IPv4 or IPv6 address or a port that changes when it is
 * parsed and formatted, or converted to a socket address and back. */
static void
test_valid_addresses_survive_a_round_trip(void)
{
    const char *texts[] = {"127.0.0.1:80", "[::1]:65535", "10.0.0.9:0"};

    for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
        struct bb_address a;
        struct bb_address back;
        struct sockaddr_storage s;
        char text[BB_ADDRESS_TEXT_BYTES];

        CU_ASSERT_TRUE_FATAL(bb_address_parse(texts[i], &a));
        CU_ASSERT_STRING_EQUAL(bb_address_format(&a, text), texts[i]);
        (void)bb_address_to_sockaddr(&a, &s);
        CU_ASSERT_TRUE(bb_address_from_sockaddr(&s, &back));
        CU_ASSERT_TRUE(bb_address_equal(&a, &back));
    }
}

/* Guards against a malformed address that is accepted, and against a refused
 * one that changes the port in the result. */
static void
test_malformed_addresses_are_refused(void)
{
    const char *texts[] = {
        "",           "127.0.0.1",       "127.0.0.1:",   "127.0.0.1:-1",
        ":80",        "127.0.0.1:65536", "host:80",      "127.0.0.1:80x",
        "::1:80",     "[::1:80",         "[::1]80",      "[]:80",
        "127.0.0:80", "1.2.3.4.5:80",    "127.0.0.1: 8", "[::1]:99999999999",
    };

    for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
        struct bb_address a = {.port = 7};

        CU_ASSERT_FALSE(bb_address_parse(texts[i], &a));
        CU_ASSERT_EQUAL(a.port, 7);
    }
}

static const struct bb_unit_test tests[] = {
    {"valid addresses survive a round trip",
     test_valid_addresses_survive_a_round_trip},
    {"malformed addresses are refused", test_malformed_addresses_are_refused},
};

BB_UNIT_MAIN("address", tests)
