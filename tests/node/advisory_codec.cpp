#include <gtest/gtest.h>

#include <string>

#include "node/advisory_codec.hpp"

namespace kumquatdrift::internal {
namespace {

class advisory_codec : public testing::Test {};

// Guards against quarantine evidence that is lost or changed on its way to another node.
TEST_F(advisory_codec, encoded_advisory_decodes_to_the_same_evidence)
{
    const crash_advisory advisory{0xfedcba9876543210ULL, {}, {{"alfama-1/t1", 2, 1}, {"belem-2/t", 1, 0}}};
    const auto entry = encode_crash_advisory(advisory, "graca-3");
    const auto decoded = decode_crash_advisory(entry.key, entry.value);
    ASSERT_TRUE(decoded) << decoded.last_reason();
    EXPECT_EQ(decoded->fingerprint, advisory.fingerprint);
    ASSERT_EQ(decoded->evidence.size(), 2U);
    EXPECT_EQ(decoded->evidence[0].target, "alfama-1/t1");
    EXPECT_EQ(decoded->evidence[0].crashes, 2U);
    EXPECT_EQ(decoded->evidence[0].cleared, 1U);
}

// Guards against entries that exceed the size limits of gossip, which discards such entries completely.
TEST_F(advisory_codec, long_evidence_is_shortened_to_the_limit)
{
    crash_advisory advisory{1, {}, {}};
    for (int index = 0; index < 50; ++index) {
        advisory.evidence.push_back({"data-centre-node-" + std::to_string(index) + "/target", 1, 0});
    }
    const auto entry = encode_crash_advisory(advisory, "graca-3");
    EXPECT_LE(entry.key.size(), 64U);
    EXPECT_LE(entry.value.size(), 256U);
    EXPECT_TRUE(decode_crash_advisory(entry.key, entry.value));
}

// Guards against a crash of the node on malformed entries from other nodes.
TEST_F(advisory_codec, malformed_entry_is_rejected)
{
    EXPECT_FALSE(decode_crash_advisory("", "[]"));
    EXPECT_FALSE(decode_crash_advisory("crash/xyz", "[]"));
    EXPECT_FALSE(decode_crash_advisory("crash/00000000000000zz/0", "[]"));
    const std::string key = "crash/0000000000000001/0000000000000002";
    for (const auto* value : {"", "{}", "[1]", "[[1,2]]", R"([["t","x",0]])", R"([["t",-1,0]])"}) {
        EXPECT_FALSE(decode_crash_advisory(key, value)) << value;
    }
}

} // namespace
} // namespace kumquatdrift::internal
