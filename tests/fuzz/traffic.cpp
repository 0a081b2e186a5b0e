#include <cstdint>
#include <vector>

#include <rapidcheck.h>

#include "support/fuzz_main.hpp"
#include "support/traffic_world.hpp"

namespace kumquatdrift {
namespace {

rc::Gen<traffic_step> any_step()
{
    // Calls and time steps are drawn more often than faults, so that most faults occur with requests in
    // flight.
    const auto kind = rc::gen::weightedElement<traffic_step_kind>({
        {12, traffic_step_kind::call},
        {8, traffic_step_kind::advance},
        {2, traffic_step_kind::cancel},
        {1, traffic_step_kind::drain},
        {1, traffic_step_kind::replace},
        {1, traffic_step_kind::announce},
        {1, traffic_step_kind::shed},
        {1, traffic_step_kind::network},
        {1, traffic_step_kind::gossip},
    });
    const auto make = [](traffic_step_kind drawn, std::uint32_t first, std::uint32_t second) {
        return traffic_step{drawn, first, second};
    };
    return rc::gen::apply(make, kind, rc::gen::inRange(0U, 64U), rc::gen::inRange(0U, 64U));
}

void check(bool holds, const char* rule)
{
    if (!holds) {
        RC_FAIL(rule);
    }
}

void run_round(std::uint64_t seed, fuzz_budget& budget)
{
    constexpr int cases = 20;
    constexpr int largest_size = 200;
    check_property(seed, cases, largest_size, [&budget] {
        const auto steps = *rc::gen::container<std::vector<traffic_step>>(any_step());
        traffic_world world{*rc::gen::arbitrary<std::uint32_t>(), check};
        for (const auto& next : steps) {
            world.apply(next);
        }
        world.finish_all();
        budget.count(steps.size());
    });
}

} // namespace
} // namespace kumquatdrift

int main(int argc, char** argv)
{
    return kumquatdrift::run_fuzz(argc, argv, "fuzz_traffic", kumquatdrift::run_round);
}
