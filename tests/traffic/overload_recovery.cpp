#include <cstdint>
#include <iostream>
#include <ostream>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "support/simulated_fleet.hpp"

namespace kumquatdrift {
namespace {

using std::chrono::seconds;

/*! @brief Service times and objectives of two deployments, in three data centres. */
struct fleet_case {
    std::string name{};
    fleet_options options{};
    std::uint64_t seed{};
};

std::ostream& operator<<(std::ostream& stream, const fleet_case& printed)
{
    return stream << printed.name << '_' << printed.seed;
}

const fleet_options long_requests{{{1, 0.25, milliseconds{630}, milliseconds{2'000}, milliseconds{12'000}},
                                   {2, 0.75, milliseconds{480}, milliseconds{1'500}, milliseconds{10'000}}},
                                  18,
                                  15,
                                  0.8,
                                  0.1,
                                  2};
const fleet_options short_requests{{{0, 0.15, milliseconds{42}, milliseconds{150}, milliseconds{600}},
                                    {1, 0.31, milliseconds{78}, milliseconds{250}, milliseconds{1'000}},
                                    {2, 0.54, milliseconds{60}, milliseconds{200}, milliseconds{800}}},
                                   15,
                                   11,
                                   0.8,
                                   0.1,
                                   1};

double in_time_share(const std::vector<caller_counts>& kinds)
{
    double in_time{};
    double calls{};
    for (const auto& kind : kinds) {
        in_time += kind.in_time;
        calls += kind.calls;
    }
    return in_time / calls;
}

double refused_again_share(const std::vector<caller_counts>& kinds)
{
    double returns{};
    double refused{};
    for (const auto& kind : kinds) {
        returns += kind.returns;
        refused += kind.refused_again;
    }
    return returns > 0 ? refused / returns : 0.0;
}

double served_share(const caller_counts& kind)
{
    return (kind.in_time + kind.late) / kind.calls;
}

class fleet_after_a_disturbance : public testing::TestWithParam<fleet_case> {
protected:
    static constexpr microseconds disturbance = seconds{5};
    static constexpr double slow_factor = 5.0;
    static constexpr microseconds window = seconds{5};
    static constexpr std::size_t windows_after = 6;

    /*! @brief Plays a warm-up (period 0), an undisturbed time (1), the disturbance (2) and the windows after
     *         it (from 3); a third of the targets is slow during the disturbance. */
    void play(double load)
    {
        const auto rate = this->fleet.capacity() * load;
        this->fleet.offer(rate, seconds{10});
        this->fleet.offer(rate, seconds{10});
        this->fleet.slow_down(GetParam().options.target_count / 3, slow_factor, disturbance);
        this->fleet.offer(rate, disturbance);
        for (std::size_t count = 0; count < windows_after; ++count) {
            this->fleet.offer(rate, window);
        }
        this->fleet.offer(rate, seconds{10});
        this->fleet.finish();
        std::cout << GetParam() << ", load " << load << ", in time:";
        for (std::size_t period = 1; period < 3 + windows_after; ++period) {
            std::cout << ' ' << in_time_share(this->fleet.period(period));
        }
        std::cout << "; of those that returned at the stated time, refused again:";
        for (std::size_t period = 1; period < 3 + windows_after; ++period) {
            std::cout << ' ' << refused_again_share(this->fleet.period(period));
        }
        std::cout << '\n';
    }

    simulated_fleet fleet{GetParam().seed, GetParam().options};
};

// Guards against targets that get no requests because they were slow, and queues that make all responses
// late.
TEST_P(fleet_after_a_disturbance, share_in_time_is_back_within_five_seconds)
{
    this->play(0.95);
    const auto before = in_time_share(this->fleet.period(1));
    for (std::size_t period = 4; period < 3 + windows_after; ++period) {
        EXPECT_GE(in_time_share(this->fleet.period(period)), 0.95 * before) << "period " << period;
    }
}

TEST_P(fleet_after_a_disturbance, overload_of_1_3_leaves_nine_tenths_of_the_possible_goodput)
{
    constexpr double load = 1.3;
    // Without a queue, too, some requests run for longer than their objective.
    simulated_fleet idle{GetParam().seed, GetParam().options};
    const auto possible = in_time_share(idle.offer(idle.capacity() * 0.3, seconds{20})) / load;
    this->play(load);
    double mean{};
    for (std::size_t period = 4; period < 3 + windows_after; ++period) {
        mean += in_time_share(this->fleet.period(period)) / (windows_after - 1);
        const auto& kinds = this->fleet.period(period);
        for (std::size_t kind = 1; kind < kinds.size(); ++kind) {
            EXPECT_GE(served_share(kinds[kind - 1]), served_share(kinds[kind]) - 0.05) << "period " << period;
        }
    }
    EXPECT_GE(mean, 0.9 * possible);
}

INSTANTIATE_TEST_SUITE_P(fleets, fleet_after_a_disturbance,
                         testing::Values(fleet_case{"long_requests", long_requests, 1},
                                         fleet_case{"long_requests", long_requests, 2},
                                         fleet_case{"short_requests", short_requests, 1},
                                         fleet_case{"short_requests", short_requests, 2}));

} // namespace
} // namespace kumquatdrift
