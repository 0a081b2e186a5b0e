#include <kumquatdrift/traffic/failure_share.hpp>

#include <gtest/gtest.h>

namespace kumquatdrift {
namespace {

constexpr timestamp start{std::chrono::seconds{10}};

TEST(failures_of_target, half_failing_shows_within_a_second_of_requests)
{
    failure_share share{};
    auto now = start;
    for (int turn = 0; turn < 30; ++turn, now += milliseconds{30}) {
        share.observe(turn % 2 == 0, now);
    }
    EXPECT_GT(share.at(now), 0.35);
}

TEST(failures_of_target, time_without_requests_forgives)
{
    failure_share share{};
    for (int turn = 0; turn < 50; ++turn) {
        share.observe(true, start);
    }
    EXPECT_GT(share.at(start), 0.9);
    EXPECT_LT(share.at(start + std::chrono::seconds{6}), 0.1);
}

TEST(failures_of_target, sound_target_has_none)
{
    failure_share share{};
    share.observe(false, start);
    EXPECT_EQ(share.at(start + std::chrono::seconds{1}), 0.0);
}

} // namespace
} // namespace kumquatdrift
