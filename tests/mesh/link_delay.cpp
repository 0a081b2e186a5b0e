#include <kumquatdrift/mesh/link_delay.hpp>

#include <gtest/gtest.h>

namespace kumquatdrift {
namespace {

/*! @brief A link whose first ping took 20 ms. */
class link_with_latency : public testing::Test {
protected:
    link_with_latency()
    {
        this->ping(milliseconds{20});
    }

    void ping(milliseconds round_trip)
    {
        this->delay.on_ping(this->now, 0);
        this->now += round_trip;
        this->delay.on_pong(this->now);
    }

    timestamp now{std::chrono::seconds{9}};
    link_delay delay{};
};

TEST_F(link_with_latency, delay_is_zero_without_congestion)
{
    this->ping(milliseconds{20});
    EXPECT_EQ(this->delay.at(this->now), milliseconds{0});
}

TEST_F(link_with_latency, delay_rises_with_the_first_slow_ping)
{
    this->ping(milliseconds{620});
    EXPECT_EQ(this->delay.at(this->now), milliseconds{600});
}

TEST_F(link_with_latency, delay_of_a_link_that_stays_slow_does_not_fall_between_pings)
{
    this->ping(milliseconds{620});
    EXPECT_EQ(this->delay.at(this->now + milliseconds{900}), milliseconds{600});
}

TEST_F(link_with_latency, delay_falls_over_about_a_second_after_fast_pings)
{
    this->ping(milliseconds{820});
    const auto congested_until = this->now;
    this->ping(milliseconds{20});
    EXPECT_GT(this->delay.at(congested_until + milliseconds{100}), milliseconds{400});
    this->ping(milliseconds{20});
    EXPECT_GT(this->delay.at(congested_until + milliseconds{500}), milliseconds{100});
    EXPECT_LT(this->delay.at(congested_until + milliseconds{1'000}), milliseconds{80});
    EXPECT_LT(this->delay.at(congested_until + milliseconds{2'000}), milliseconds{8});
}

// Guards against a link that looks free while its pings are stuck behind other bytes.
TEST_F(link_with_latency, delay_rises_while_a_ping_is_unanswered)
{
    this->delay.on_ping(this->now, 0);
    EXPECT_EQ(this->delay.at(this->now + milliseconds{20}), milliseconds{0});
    EXPECT_EQ(this->delay.at(this->now + milliseconds{320}), milliseconds{300});
    EXPECT_EQ(this->delay.at(this->now + milliseconds{1'020}), milliseconds{1'000});
}

TEST_F(link_with_latency, shorter_round_trip_becomes_the_latency)
{
    this->ping(milliseconds{5});
    this->ping(milliseconds{20});
    EXPECT_EQ(this->delay.at(this->now), milliseconds{15});
}

TEST_F(link_with_latency, unanswered_ping_of_a_closed_link_is_forgotten)
{
    this->delay.on_ping(this->now, 0);
    this->delay.on_link_closed();
    EXPECT_EQ(this->delay.at(this->now + std::chrono::hours{1}), milliseconds{0});
    this->delay.on_pong(this->now + std::chrono::hours{1});
    EXPECT_EQ(this->delay.at(this->now + std::chrono::hours{1}), milliseconds{0});
}

// Guards against a burst that fills a thin link before the next ping shows it.
TEST_F(link_with_latency, requests_in_transit_are_expected_to_delay_as_earlier_ones_did)
{
    EXPECT_EQ(this->delay.expected_at(this->now, 4), milliseconds{0});
    for (int turn = 0; turn < 3; ++turn) {
        this->delay.on_ping(this->now, 3);
        this->now += milliseconds{320};
        this->delay.on_pong(this->now);
    }
    EXPECT_EQ(this->delay.expected_at(this->now, 0), milliseconds{0});
    EXPECT_GT(this->delay.expected_at(this->now, 3), milliseconds{250});
    EXPECT_LE(this->delay.expected_at(this->now, 3), milliseconds{300});
    EXPECT_GT(this->delay.expected_at(this->now, 6), milliseconds{500});
    EXPECT_LT(this->delay.expected_at(this->now + std::chrono::seconds{60}, 3), milliseconds{3});
}

// Guards against one stall of a node that makes its link look thin for long.
TEST_F(link_with_latency, fast_pings_behind_requests_lower_the_expected_delay)
{
    this->delay.on_ping(this->now, 1);
    this->now += milliseconds{1'020};
    this->delay.on_pong(this->now);
    for (int turn = 0; turn < 3; ++turn) {
        this->delay.on_ping(this->now, 3);
        this->now += milliseconds{20};
        this->delay.on_pong(this->now);
    }
    EXPECT_LT(this->delay.expected_at(this->now, 1), milliseconds{100});
}

TEST(unused_link, delay_is_zero)
{
    EXPECT_EQ(link_delay{}.at(timestamp{std::chrono::seconds{9}}), milliseconds{0});
}

} // namespace
} // namespace kumquatdrift
