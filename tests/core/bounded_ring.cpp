#include <gtest/gtest.h>

#include <string>

#include <kumquatdrift/core/backoff.hpp>
#include <kumquatdrift/core/bounded_ring.hpp>
#include <kumquatdrift/core/rendezvous.hpp>
#include <kumquatdrift/core/token_bucket.hpp>

namespace kumquatdrift {
namespace {

class bounded_ring_test : public testing::Test {
protected:
    bounded_ring<std::string> ring{2};
};

// Guards against unbounded growth when a consumer is slower than its producer.
TEST_F(bounded_ring_test, push_to_full_ring_is_rejected_and_keeps_the_element)
{
    ASSERT_TRUE(this->ring.try_push("a"));
    ASSERT_TRUE(this->ring.try_push("b"));
    std::string rejected{"c"};
    EXPECT_FALSE(this->ring.try_push(std::move(rejected)));
    EXPECT_EQ(rejected, "c");
    EXPECT_EQ(this->ring.pop(milliseconds{0}), "a");
}

// Guards against losing queued work at shutdown.
TEST_F(bounded_ring_test, closed_ring_is_drained_before_pop_returns_nothing)
{
    ASSERT_TRUE(this->ring.try_push("a"));
    this->ring.close();
    EXPECT_FALSE(this->ring.try_push("b"));
    EXPECT_EQ(this->ring.pop(milliseconds{0}), "a");
    EXPECT_EQ(this->ring.pop(milliseconds{1000}), std::nullopt);
}

class rendezvous_test : public testing::Test {};

// Guards against mass reassignment when one node leaves.
TEST_F(rendezvous_test, removing_a_member_keeps_the_order_of_the_rest)
{
    const auto before = rendezvous_rank("key", {"a", "b", "c", "d", "e"}, 5);
    auto expected = before;
    expected.erase(expected.begin() + 1);
    EXPECT_EQ(rendezvous_rank("key", expected, 5), expected);
}

class token_bucket_test : public testing::Test {};

// Guards against a limiter that never refills when the test clock starts at zero.
TEST_F(token_bucket_test, empty_bucket_refills_at_its_rate)
{
    token_bucket bucket{10.0, 5.0};
    const timestamp start{};
    EXPECT_TRUE(bucket.try_take(5.0, start));
    EXPECT_FALSE(bucket.try_take(1.0, start));
    EXPECT_TRUE(bucket.try_take(1.0, start + milliseconds{100}));
    EXPECT_FALSE(bucket.try_take(1.0, start + milliseconds{150}));
}

class backoff_test : public testing::Test {};

// Guards against overflow of the exponent after a long outage.
TEST_F(backoff_test, delay_never_exceeds_the_cap)
{
    random_engine rng{7};
    const backoff_policy policy{};
    for (std::uint32_t attempt = 0; attempt < 100; ++attempt) {
        const auto delay = backoff_delay(policy, attempt, rng);
        EXPECT_GE(delay.count(), 0);
        EXPECT_LE(delay, policy.cap);
    }
}

} // namespace
} // namespace kumquatdrift
