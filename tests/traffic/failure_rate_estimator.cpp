#include <kumquatdrift/traffic/failure_rate_estimator.hpp>

#include <gtest/gtest.h>

namespace kumquatdrift {
namespace {

constexpr timestamp start{std::chrono::seconds{10}};

TEST(target_failure_rate, target_that_fails_half_of_its_requests_is_detected_within_a_second)
{
    failure_rate_estimator estimator{};
    auto now = start;
    for (int turn = 0; turn < 30; ++turn, now += milliseconds{30}) {
        estimator.observe(turn % 2 == 0, now);
    }
    EXPECT_GT(estimator.rate_at(now), 0.35);
}

TEST(target_failure_rate, rate_decays_without_requests)
{
    failure_rate_estimator estimator{};
    for (int turn = 0; turn < 50; ++turn) {
        estimator.observe(true, start);
    }
    EXPECT_GT(estimator.rate_at(start), 0.9);
    EXPECT_LT(estimator.rate_at(start + std::chrono::seconds{6}), 0.1);
}

TEST(target_failure_rate, rate_of_a_healthy_target_is_zero)
{
    failure_rate_estimator estimator{};
    estimator.observe(false, start);
    EXPECT_EQ(estimator.rate_at(start + std::chrono::seconds{1}), 0.0);
}

} // namespace
} // namespace kumquatdrift
