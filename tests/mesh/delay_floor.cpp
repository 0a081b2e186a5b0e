#include <kumquatdrift/mesh/delay_floor.hpp>

#include <gtest/gtest.h>

namespace kumquatdrift {
namespace {

class recent_delays : public ::testing::Test {
protected:
    void observe_for(microseconds time, microseconds delay)
    {
        for (const auto end = this->now + time; this->now < end; this->now += std::chrono::seconds{1}) {
            this->floor.observe(delay, this->now);
        }
    }

    delay_floor floor{};
    timestamp now{std::chrono::seconds{1'000}};
};

TEST_F(recent_delays, are_none_at_first)
{
    EXPECT_FALSE(this->floor.shortest());
}

TEST_F(recent_delays, shortest_is_kept_for_a_window)
{
    this->observe_for(std::chrono::seconds{1}, milliseconds{-7});
    this->observe_for(delay_floor::window - std::chrono::seconds{1}, milliseconds{800});
    EXPECT_EQ(this->floor.shortest(), milliseconds{-7});
}

// Guards against a delay that is compared for ever with one measured before a clock has jumped.
TEST_F(recent_delays, shortest_is_forgotten_after_two_windows)
{
    this->observe_for(std::chrono::seconds{20}, milliseconds{-5'000});
    this->observe_for(2 * delay_floor::window, milliseconds{3});
    EXPECT_EQ(this->floor.shortest(), milliseconds{3});
}

TEST_F(recent_delays, all_are_forgotten_after_a_pause)
{
    this->observe_for(std::chrono::seconds{1}, milliseconds{-5'000});
    this->now += 2 * delay_floor::window;
    this->observe_for(std::chrono::seconds{1}, milliseconds{3});
    EXPECT_EQ(this->floor.shortest(), milliseconds{3});
}

} // namespace
} // namespace kumquatdrift
