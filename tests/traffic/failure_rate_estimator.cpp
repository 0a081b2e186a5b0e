#include <kumquatdrift/traffic/failure_rate_estimator.hpp>

#include <gtest/gtest.h>

namespace kumquatdrift {
namespace {

constexpr timestamp start{std::chrono::seconds{10}};

TEST(failures_of_target, target_that_fails_half_of_its_requests_is_detected_within_a_second)
{
    failure_rate_estimator failures{};
    auto now = start;
    for (int turn = 0; turn < 30; ++turn, now += milliseconds{30}) {
        failures.observe(turn % 2 == 0, now);
    }
    EXPECT_GT(failures.at(now), 0.35);
}

TEST(failures_of_target, rate_decays_without_requests)
{
    failure_rate_estimator failures{};
    for (int turn = 0; turn < 50; ++turn) {
        failures.observe(true, start);
    }
    EXPECT_GT(failures.at(start), 0.9);
    EXPECT_LT(failures.at(start + std::chrono::seconds{6}), 0.1);
}

TEST(failures_of_target, rate_of_a_healthy_target_is_zero)
{
    failure_rate_estimator failures{};
    failures.observe(false, start);
    EXPECT_EQ(failures.at(start + std::chrono::seconds{1}), 0.0);
}

} // namespace
} // namespace kumquatdrift
