#include <kumquatdrift/traffic/service_times.hpp>

#include <string>

#include <gtest/gtest.h>

namespace kumquatdrift {
namespace {

TEST(service_times_of_routes, each_route_has_its_own_mean)
{
    service_times times{};
    EXPECT_EQ(times.expected("short"), microseconds{0});
    for (int turn = 0; turn < 100; ++turn) {
        times.observe("short", milliseconds{30});
        times.observe("long", milliseconds{300});
    }
    EXPECT_EQ(times.expected("short"), milliseconds{30});
    EXPECT_EQ(times.expected("long"), milliseconds{300});
}

TEST(service_times_of_routes, mean_follows_a_change_within_about_twenty_requests)
{
    service_times times{};
    times.observe("route", milliseconds{100});
    for (int turn = 0; turn < 25; ++turn) {
        times.observe("route", milliseconds{200});
    }
    EXPECT_GT(times.expected("route"), milliseconds{190});
}

TEST(service_times_of_routes, request_without_a_service_time_is_ignored)
{
    service_times times{};
    times.observe("route", microseconds{0});
    EXPECT_EQ(times.expected("route"), microseconds{0});
}

TEST(service_times_of_routes, number_of_routes_is_bounded)
{
    service_times times{};
    for (std::size_t index = 0; index <= service_times::max_routes; ++index) {
        times.observe(std::to_string(index), milliseconds{1});
    }
    EXPECT_EQ(times.expected("0"), microseconds{0});
    EXPECT_EQ(times.expected(std::to_string(service_times::max_routes)), milliseconds{1});
}

} // namespace
} // namespace kumquatdrift
