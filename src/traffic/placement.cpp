#include <kumquatdrift/traffic/placement.hpp>

#include <algorithm>
#include <limits>

namespace kumquatdrift {
namespace {

/*! @brief Service time assumed until a request or a node tells one; a middling request of today's services.
 */
constexpr microseconds assumed_service{100'000};

/*! @brief Factor on the service time of a cold target. */
constexpr double cold_factor = 2.0;

/*! @brief Random part of the expected time, so that nodes with equal reports spread. */
constexpr double spread = 0.1;

/*! @brief Part of the service time that a full target costs more than an empty one. */
constexpr double fill_weight = 0.2;

/*! @brief Cost of a failure in objectives: what it costs to ask again, and more where it cannot be. */
constexpr double failure_weight = 2.0;

/*! @brief Times the mean of all targets that one may fail before it counts as worse than the others. */
constexpr double usual_failures_factor = 1.5;

/*! @brief Body above which a request is too dear to cross between data centres for nothing. */
constexpr std::size_t large_body_bytes = 16'384;

/*! @brief Part of the slots of a target in another data centre that may be in use when a large request is
 * sent there. Above it the room may be gone on arrival, and where all data centres are full, each would send
 *         its large requests to the next. */
constexpr double fill_for_large = 0.7;

/*! @brief Difference of shares below which targets count as alike: the noise of a share over some ten
 * requests. */
constexpr double least_difference = 0.05;

/*! @brief Shortest time after which a refused caller may return: less than one service time. */
constexpr milliseconds shortest_return{50};

/*! @brief Longest time after which a refused caller may return. */
constexpr milliseconds longest_return{5'000};

double seconds(microseconds time) noexcept
{
    return std::chrono::duration<double>{time}.count();
}

struct expectation {
    double wait{};
    double service{};
};

expectation expect(const placement_candidate& candidate, microseconds of_route) noexcept
{
    const auto& load = candidate.load;
    const auto cold = candidate.cold_left.count() > 0 ? cold_factor : 1.0;
    const auto mean = seconds(load.service_time.count() > 0 ? load.service_time : assumed_service) * cold;
    const auto service = of_route.count() > 0 ? seconds(of_route) * load.slowness * cold : mean;
    const auto busy = static_cast<double>(load.running) + load.waiting + candidate.sent_since_load;
    const auto slots = std::max(1.0, static_cast<double>(load.slots));
    const auto backlog = std::max(0.0, busy + 1.0 - slots);
    return {mean * backlog / slots, service};
}

/*! @brief What all targets fail alike is no reason to prefer one: their calls fail, or the requests are at
 * fault. */
double usual_share(std::span<const placement_candidate> candidates) noexcept
{
    double sum{};
    for (const auto& candidate : candidates) {
        sum += candidate.failed;
    }
    return candidates.empty() ? 0.0 : usual_failures_factor * sum / static_cast<double>(candidates.size());
}

} // namespace

bool is_worse_than_usual(double failed, std::span<const placement_candidate> others)
{
    return failed > usual_share(others) + least_difference;
}

placement place_request(std::span<const placement_candidate> candidates, const placement_times& times,
                        const placement_settings& settings, random_engine& rng)
{
    placement best{};
    auto best_cost = std::numeric_limits<double>::infinity();
    auto shortest_wait = std::numeric_limits<double>::infinity();
    const auto scale = seconds(times.objective);
    const auto useful = seconds(times.useful_left);
    std::uniform_real_distribution<double> noise{1.0, 1.0 + spread};
    const auto usual_failures = usual_share(candidates);
    const auto any_sound = std::any_of(candidates.begin(), candidates.end(),
                                       [](const placement_candidate& one) { return !one.ejected; });
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const auto& candidate = candidates[index];
        if (candidate.load.slots == 0 || (candidate.ejected && any_sound)) {
            continue;
        }
        const auto expected = expect(candidate, times.expected);
        shortest_wait = std::min(shortest_wait, expected.wait);
        const auto limit = candidate.local ? useful : std::min(useful, seconds(times.objective_left));
        if (expected.wait > 0.0 && expected.wait + expected.service / 2 > limit) {
            continue;
        }
        // Among targets with room, the one with more free slots is likelier to still have one on arrival.
        const auto fill = static_cast<double>(candidate.load.running + candidate.sent_since_load) /
                          std::max(1U, candidate.load.slots);
        if (!candidate.local && times.body_bytes > large_body_bytes &&
            (expected.wait > 0.0 || fill > fill_for_large)) {
            continue;
        }
        const auto first = candidate.untried && expected.wait == 0.0 && candidate.cold_left.count() <= 0;
        if (first) {
            return {index, microseconds{0}};
        }
        const auto distance =
            candidate.own ? 0.0
                          : scale * (candidate.local ? settings.other_node : settings.other_data_centre);
        const auto cost = (expected.wait + expected.service * (1.0 + fill_weight * fill)) * noise(rng) +
                          distance +
                          scale * failure_weight * std::max(0.0, candidate.failed - usual_failures);
        if (cost < best_cost) {
            best_cost = cost;
            best.candidate = index;
        }
    }
    if (!best.candidate) {
        best.time_to_room = shortest_wait < 1e6
                                ? microseconds{static_cast<microseconds::rep>(shortest_wait * 1e6)}
                                : std::chrono::duration_cast<microseconds>(longest_return) / 10;
    }
    return best;
}

milliseconds draw_retry_after(microseconds time_to_room, random_engine& rng)
{
    const auto base =
        std::clamp(std::chrono::ceil<milliseconds>(time_to_room), shortest_return, longest_return);
    const auto jitter = std::chrono::duration_cast<milliseconds>(full_jitter(rng, base * 2));
    return std::min(base + jitter, longest_return);
}

} // namespace kumquatdrift
