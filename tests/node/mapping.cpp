#include <node/mapping.hpp>

#include <set>

#include <gtest/gtest.h>

namespace kumquatdrift::internal {
namespace {

// Guards against a restarted node whose records are ignored because its clock shows the former start again.
TEST(start_time, differs_between_processes_that_read_the_same_time)
{
    constexpr std::uint64_t epoch_us = 1'768'629'288'000'000;
    std::set<std::uint64_t> starts{};
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        random_engine rng{seed};
        const auto start = make_start_time(epoch_us, rng);
        EXPECT_GE(start, epoch_us);
        EXPECT_LT(start, epoch_us + 1'000'000);
        starts.insert(start);
    }
    EXPECT_EQ(starts.size(), 20U);
}

} // namespace
} // namespace kumquatdrift::internal
