#include <kumquatdrift/traffic/placement.hpp>

#include <algorithm>
#include <limits>

#include <kumquatdrift/traffic/run_queue.hpp>

namespace kumquatdrift {
namespace {

/*! @brief Service time assumed while none is known for the route or target; typical of current services. */
constexpr microseconds default_service_time{100'000};

/*! @brief Factor on the service time of a target that is slow after its start. */
constexpr double cold_factor = 2.0;

/*! @brief Maximum random increase of the expected response time, as a fraction, so that nodes with the same
 *         reports choose differently. */
constexpr double jitter = 0.1;

/*! @brief Additional cost of a full target compared to an empty one, as a fraction of the service time. */
constexpr double utilisation_weight = 0.2;

/*! @brief Cost of a failure as a multiple of the objective: the cost of a retry, and more because some
 *         requests cannot be retried. */
constexpr double failure_weight = 2.0;

/*! @brief Cost of a shed nested call as a multiple of the objective: it may fail the request on whose behalf
 * it is made, with all the work done for it. Other requests are sent to the next target, or their callers
 * return, so they rather use the slots that a shedding target has left than wait for the others. */
constexpr double nested_shed_weight = 2.0;

/*! @brief Multiple of the mean failure rate of all targets above which a target is worse than the others. */
constexpr double normal_failures_factor = 1.5;

/*! @brief Body size above which a request should not cross between data centres only to be rejected. */
constexpr std::size_t large_body_bytes = 16'384;

/*! @brief Largest utilisation at which a target in another data centre gets a large request. Above it, the
 *         slot may be taken on arrival; and if all data centres are full, each would send its large requests
 *         to the next. */
constexpr double max_utilisation_for_large = 0.7;

/*! @brief Difference of failure rates that is within the noise of a rate over about ten requests. */
constexpr double failure_rate_noise = 0.05;

/*! @brief Shortest time after which a rejected caller may retry: less than one service time. */
constexpr milliseconds min_retry_after{50};

/*! @brief Longest time after which a rejected caller may retry. */
constexpr milliseconds max_retry_after{5'000};

/*! @brief Factor on the work that precedes a request: one start in `earliest_due_interval` goes by due time.
 */
constexpr double other_starts_factor =
    static_cast<double>(run_queue::earliest_due_interval) / (run_queue::earliest_due_interval - 1);

double seconds(microseconds time) noexcept
{
    return std::chrono::duration<double>{time}.count();
}

/*! @brief Largest delay of the link to a free target that is ignored in the check of the time left, as a
 *         fraction of the service time: the estimate of the service time is no more accurate. */
constexpr double ignored_delay = 0.5;

struct response_estimate {
    double wait{};
    double service{};
    double link_delay{};
    /*! @brief True if a request sent now starts at once: there is a free slot, room under the rate limit and
     * no congestion. */
    bool is_free{};
};

/*! @brief Returns the time until a nested call starts: only running requests and other nested calls precede
 *         it. */
double nested_wait(const placement_candidate& candidate, double service) noexcept
{
    const auto& load = candidate.load;
    const auto queued = seconds(load.work->queued_before(nested_work_rank));
    if (load.running + candidate.sent_since_load < load.slots && queued == 0.0) {
        return 0.0;
    }
    const auto next_end = seconds(load.work->running) / std::max(1.0, static_cast<double>(load.running));
    return (next_end + queued + candidate.sent_since_load * service) / load.slots;
}

/*! @brief Returns the number of queued requests that start before one of the given rank. */
double queued_before(const target_load& load, std::size_t rank) noexcept
{
    const auto all = load.work ? seconds(load.work->queued_before(late_work_rank)) : 0.0;
    if (all == 0.0) {
        return load.queued;
    }
    return load.queued * std::min(1.0, other_starts_factor * seconds(load.work->queued_before(rank)) / all);
}

response_estimate estimate_response(const placement_candidate& candidate,
                                    const placement_times& times) noexcept
{
    const auto& load = candidate.load;
    const auto cold = candidate.cold_left.count() > 0 ? cold_factor : 1.0;
    const auto target_mean =
        seconds(load.service_time.count() > 0 ? load.service_time : default_service_time) * cold;
    const auto route_mean = times.expected_service_time;
    const auto service = route_mean.count() > 0 ? seconds(route_mean) * load.slowness * cold : target_mean;
    const auto busy = load.running + queued_before(load, times.rank) + candidate.sent_since_load;
    const auto slots = std::max(1.0, static_cast<double>(load.slots));
    const auto backlog = std::max(0.0, busy + 1.0 - slots);
    const auto limit = load.limit.value_or(0.0);
    const auto limit_wait = limit > 0.0 ? seconds(load.limit_wait) + candidate.sent_since_load / limit : 0.0;
    const auto slot_wait =
        times.nested && load.work ? nested_wait(candidate, service) : target_mean * backlog / slots;
    const auto wait = std::max(slot_wait, limit_wait);
    const auto link_delay = seconds(candidate.link_delay);
    return {wait, service, link_delay, wait == 0.0 && link_delay <= ignored_delay * service};
}

/*! @brief Returns the failure rate up to which a target is no worse than the others. A rate that all targets
 *         share is no reason to prefer one: it comes from services that they call, or from the requests. */
double normal_failure_rate(std::span<const placement_candidate> candidates) noexcept
{
    double sum{};
    for (const auto& candidate : candidates) {
        sum += candidate.failure_rate;
    }
    return candidates.empty() ? 0.0 : normal_failures_factor * sum / static_cast<double>(candidates.size());
}

} // namespace

bool is_failure_rate_outlier(double failure_rate, std::span<const placement_candidate> others)
{
    return failure_rate > normal_failure_rate(others) + failure_rate_noise;
}

placement place_request(std::span<const placement_candidate> candidates, const placement_times& times,
                        const placement_settings& settings, random_engine& rng)
{
    placement best{};
    auto best_cost = std::numeric_limits<double>::infinity();
    auto shortest_wait = std::numeric_limits<double>::infinity();
    const auto objective = seconds(times.objective);
    const auto deadline_left = seconds(times.deadline_left);
    std::uniform_real_distribution<double> noise{1.0, 1.0 + jitter};
    const auto normal_rate = normal_failure_rate(candidates);
    const auto shed_weight = times.nested ? nested_shed_weight : 0.0;
    const auto any_not_ejected =
        std::any_of(candidates.begin(), candidates.end(),
                    [](const placement_candidate& candidate) { return !candidate.ejected; });
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const auto& candidate = candidates[index];
        if (candidate.load.slots == 0 || (candidate.ejected && any_not_ejected)) {
            continue;
        }
        const auto estimate = estimate_response(candidate, times);
        const auto time_to_start = estimate.link_delay + estimate.wait;
        shortest_wait = std::min(shortest_wait, time_to_start);
        // The node of a target in this data centre decides by its queue. Once one has refused, the objective
        // counts here, too, so that a refusal by every target in turn doesn't delay the response.
        const auto decided_there =
            candidate.same_data_centre && !(times.was_refused && times.objective_left > microseconds{0});
        const auto limit =
            decided_there ? deadline_left : std::min(deadline_left, seconds(times.objective_left));
        if (!estimate.is_free && time_to_start + estimate.service / 2 > limit) {
            continue;
        }
        // The more free slots a target has now, the more likely one is still free on arrival.
        const auto utilisation = static_cast<double>(candidate.load.running + candidate.sent_since_load) /
                                 std::max(1U, candidate.load.slots);
        if (!candidate.same_data_centre && times.body_bytes > large_body_bytes &&
            (estimate.wait > 0.0 || utilisation > max_utilisation_for_large)) {
            continue;
        }
        const auto is_first_use = candidate.untried && estimate.is_free && candidate.cold_left.count() <= 0;
        if (is_first_use) {
            return {index, microseconds{0}};
        }
        const auto distance =
            candidate.same_host
                ? 0.0
                : objective * (candidate.same_data_centre ? settings.other_node : settings.other_data_centre);
        const auto cost =
            (estimate.wait + estimate.service * (1.0 + utilisation_weight * utilisation)) * noise(rng) +
            std::max(estimate.link_delay, seconds(candidate.expected_link_delay)) + distance +
            objective * (failure_weight * std::max(0.0, candidate.failure_rate - normal_rate) +
                         shed_weight * candidate.load.shed_rate);
        if (cost < best_cost) {
            best_cost = cost;
            best.candidate = index;
        }
    }
    if (!best.candidate) {
        best.time_to_free_slot = shortest_wait < 1e6
                                     ? microseconds{static_cast<microseconds::rep>(shortest_wait * 1e6)}
                                     : std::chrono::duration_cast<microseconds>(max_retry_after) / 10;
    }
    return best;
}

milliseconds draw_retry_after(microseconds time_to_free_slot, random_engine& rng)
{
    const auto base =
        std::clamp(std::chrono::ceil<milliseconds>(time_to_free_slot), min_retry_after, max_retry_after);
    const auto delay = std::chrono::duration_cast<milliseconds>(full_jitter(rng, base * 2));
    return std::min(base + delay, max_retry_after);
}

} // namespace kumquatdrift
