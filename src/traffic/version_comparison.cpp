#include <kumquatdrift/traffic/version_comparison.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace kumquatdrift {
namespace {

constexpr double classes_per_octave = 4.0;
/*! @brief Service time at the upper bound of the first class. */
constexpr double first_class_us = 1'000.0;
/*! @brief A response is slow if its class is more than this far above the median of the previous
 * versions: 2.8 times as long. Hosts of one service differ by less. */
constexpr std::size_t slow_classes_above_median = 6;
/*! @brief The same for the time that few responses of the previous versions exceed: 1.4 times as long. */
constexpr std::size_t slow_classes_above_tail = 3;
/*! @brief Share of the responses of the previous versions that may be slow. */
constexpr double usual_slow_share = 0.05;
/*! @brief Smallest increase of the share of failures for which a version is bad. */
constexpr double failure_increase = 0.05;
/*! @brief Smallest increase of the share of slow responses for which a version is bad. Larger, because hosts
 * differ in speed. */
constexpr double slow_increase = 0.2;
/*! @brief Smallest share that is expected: a lower one can't be told from zero. */
constexpr double min_expected_share = 0.005;
/*! @brief Share above which the previous versions are in too much trouble for a comparison. */
constexpr double max_expected_share = 0.6;
/*! @brief Weight that the outcomes of the previous versions keep from one slice to the next. */
constexpr double memory_kept = 0.7;
/*! @brief Number of earlier outcomes that are added to the share of a slice, so that a few outcomes don't
 * decide it. */
constexpr double earlier_weight = 10.0;
/*! @brief Outcomes of the previous versions below which a route is not compared. */
constexpr double min_previous_outcomes = 20.0;
/*! @brief Upper bound of the evidence from one slice, so that a single incident is not enough. */
constexpr double max_slice_evidence = 4.0;
/*! @brief Evidence that each group of targets must show by itself. */
constexpr double group_evidence = 5.0;
/*! @brief Factor on the evidence while there is nothing to compare with. */
constexpr double uncompared_factor = 2.0;
/*! @brief Ratio to the evidence for `bad` up to which a version is not suspected. */
constexpr double suspicion = 0.5;
/*! @brief Requests of the new version without which it is not called good. */
constexpr std::uint64_t min_target_requests = 30;

std::size_t class_of(microseconds service_time) noexcept
{
    const auto octaves = std::log2(std::max(static_cast<double>(service_time.count()), 1.0) / first_class_us);
    const auto number = std::ceil(octaves * classes_per_octave);
    return number <= 0.0 ? 0 : std::min(static_cast<std::size_t>(number), service_time_classes - 1);
}

/*! @brief Outcomes of a kind among the requests that could have it. */
struct share_counts {
    double having{};
    double requests{};

    [[nodiscard]] double share() const noexcept
    {
        return this->requests > 0.0 ? this->having / this->requests : 0.0;
    }
};

/*! @brief Returns the share that the new version is expected to have if it is as good as the previous ones.
 */
double expected_share(const share_counts& slice, const share_counts& earlier) noexcept
{
    const auto before = earlier.share();
    const auto now = (slice.having + before * earlier_weight) / (slice.requests + earlier_weight);
    const auto share = std::max(now, before);
    const auto requests = std::max(slice.requests + earlier_weight, earlier.requests);
    return std::max(share + std::sqrt(share * (1.0 - share) / requests), min_expected_share);
}

/*! @brief Returns the log likelihood ratio between a share increased by at least `increase`, or doubled, and
 * the expected one. */
double likelihood_ratio(const share_counts& seen, double expected, double increase) noexcept
{
    const auto bad = std::min(std::max(expected + increase, 2.0 * expected), 0.95);
    return seen.having * std::log(bad / expected) +
           (seen.requests - seen.having) * std::log((1.0 - bad) / (1.0 - expected));
}

template<typename Counts>
share_counts above(const Counts& by_time, std::size_t limit) noexcept
{
    const auto after_limit = by_time.begin() + static_cast<std::ptrdiff_t>(limit) + 1;
    return {std::accumulate(after_limit, by_time.end(), 0.0),
            std::accumulate(by_time.begin(), by_time.end(), 0.0)};
}

/*! @brief Returns the class above which a response is slow. */
std::size_t slow_limit(const std::array<double, service_time_classes>& by_time) noexcept
{
    const auto total = std::accumulate(by_time.begin(), by_time.end(), 0.0);
    std::size_t median{};
    std::size_t tail{};
    double below{};
    for (std::size_t number = 0; number < service_time_classes; ++number) {
        below += by_time.at(number);
        median = below <= total / 2.0 ? number + 1 : median;
        tail = below <= total * (1.0 - usual_slow_share) ? number + 1 : tail;
    }
    return std::min(std::max(median + slow_classes_above_median, tail + slow_classes_above_tail),
                    service_time_classes - 2);
}

void add_growth(outcome_counts& sum, const outcome_counts& newer, const outcome_counts& older) noexcept
{
    const auto growth = [](auto later, auto earlier) { return later > earlier ? later - earlier : 0; };
    sum.failed += growth(newer.failed, older.failed);
    sum.succeeded += growth(newer.succeeded, older.succeeded);
    for (std::size_t number = 0; number < service_time_classes; ++number) {
        sum.by_time.at(number) += growth(newer.by_time.at(number), older.by_time.at(number));
    }
}

} // namespace

void record_success(outcome_counts& counts, microseconds service_time, bool cold) noexcept
{
    ++counts.succeeded;
    if (!cold) {
        ++counts.by_time.at(class_of(service_time));
    }
}

void add_growth(version_outcomes& sum, const version_outcomes& newer, const version_outcomes& older)
{
    const route_outcomes none{};
    for (const auto& [route, counts] : newer) {
        const auto found = older.find(route);
        const auto& before = found != older.end() ? found->second : none;
        auto& total = sum[route];
        add_growth(total.previous, counts.previous, before.previous);
        for (std::size_t group = 0; group < target_groups; ++group) {
            add_growth(total.target.at(group), counts.target.at(group), before.target.at(group));
        }
    }
}

bool version_comparison::reaches(const evidence& sum, double ratio) noexcept
{
    for (std::size_t group = 0; group < target_groups; ++group) {
        if (sum.has_outcomes.at(group) && sum.by_group.at(group) < group_evidence * ratio) {
            return false;
        }
    }
    return sum.all >= bad_version_evidence * ratio;
}

void version_comparison::accumulate(evidence& sum, const group_ratios& ratios,
                                    const std::array<bool, target_groups>& present,
                                    const comparison_figures& figures)
{
    const auto limited = [](double ratio) { return std::min(ratio, max_slice_evidence); };
    const auto all = std::accumulate(ratios.begin(), ratios.end(), 0.0);
    sum.all = std::max(sum.all + limited(all), 0.0);
    for (std::size_t group = 0; group < target_groups; ++group) {
        auto& by_group = sum.by_group.at(group);
        by_group = std::max(by_group + limited(ratios.at(group)), 0.0);
        sum.has_outcomes.at(group) = sum.has_outcomes.at(group) || present.at(group);
    }
    this->is_bad = this->is_bad || reaches(sum, this->compares ? 1.0 : uncompared_factor);
    if (sum.all > this->largest_now || (this->largest_now == 0.0 && figures.route.empty())) {
        this->largest_now = sum.all;
        this->closest = figures;
        this->closest.evidence = sum.all;
    }
}

void version_comparison::add_slice(const version_outcomes& slice)
{
    if (this->is_bad) {
        return;
    }
    this->largest_now = 0.0;
    group_ratios failure_sum{};
    group_ratios slow_sum{};
    std::array<bool, target_groups> present{};
    for (const auto& [route, counts] : slice) {
        auto& state = this->routes[route];
        const auto& previous = counts.previous;
        const auto previous_requests_now = previous.failed + previous.succeeded;
        const share_counts failed_now{static_cast<double>(previous.failed),
                                      static_cast<double>(previous_requests_now)};
        const share_counts failed_before{state.failed, state.failed + state.succeeded};
        // The limit comes from earlier slices if there were any, so that responses that become slow in this
        // one count as slow for all versions.
        auto limit_times = state.by_time;
        if (std::accumulate(limit_times.begin(), limit_times.end(), 0.0) < min_previous_outcomes) {
            std::copy(previous.by_time.begin(), previous.by_time.end(), limit_times.begin());
        }
        const auto limit = slow_limit(limit_times);
        const auto slow_now = above(previous.by_time, limit);
        const auto slow_before = above(state.by_time, limit);
        const auto expected_failures = expected_share(failed_now, failed_before);
        const auto expected_slow = expected_share(slow_now, slow_before);
        this->previous_requests += previous_requests_now;

        share_counts failed_target{};
        share_counts slow_target{};
        group_ratios failure_ratios{};
        group_ratios slow_ratios{};
        std::array<bool, target_groups> route_present{};
        for (std::size_t group = 0; group < target_groups; ++group) {
            const auto& target = counts.target.at(group);
            const share_counts failed{static_cast<double>(target.failed),
                                      static_cast<double>(target.failed + target.succeeded)};
            const auto slow = above(target.by_time, limit);
            route_present.at(group) = failed.requests > 0.0;
            present.at(group) = present.at(group) || route_present.at(group);
            this->target_requests += target.failed + target.succeeded;
            if (failed_now.requests + failed_before.requests >= min_previous_outcomes &&
                expected_failures <= max_expected_share) {
                failure_ratios.at(group) = likelihood_ratio(failed, expected_failures, failure_increase);
            }
            if (slow_now.requests + slow_before.requests >= min_previous_outcomes &&
                expected_slow <= max_expected_share) {
                slow_ratios.at(group) = likelihood_ratio(slow, expected_slow, slow_increase);
            }
            failure_sum.at(group) += failure_ratios.at(group);
            slow_sum.at(group) += slow_ratios.at(group);
            failed_target = {failed_target.having + failed.having, failed_target.requests + failed.requests};
            slow_target = {slow_target.having + slow.having, slow_target.requests + slow.requests};
        }
        this->accumulate(state.of_failures, failure_ratios, route_present,
                         {compared_outcome::failures, route, 0.0, expected_failures, failed_target.share(),
                          this->previous_requests, this->target_requests});
        this->accumulate(state.of_slow_responses, slow_ratios, route_present,
                         {compared_outcome::slow_responses, route, 0.0, expected_slow, slow_target.share(),
                          this->previous_requests, this->target_requests});
        if (previous_requests_now > 0) {
            state.failed = state.failed * memory_kept + static_cast<double>(previous.failed);
            state.succeeded = state.succeeded * memory_kept + static_cast<double>(previous.succeeded);
            for (std::size_t number = 0; number < service_time_classes; ++number) {
                state.by_time.at(number) =
                    state.by_time.at(number) * memory_kept + static_cast<double>(previous.by_time.at(number));
            }
        }
    }
    this->accumulate(
        this->all_failures, failure_sum, present,
        {compared_outcome::failures, "", 0.0, 0.0, 0.0, this->previous_requests, this->target_requests});
    this->accumulate(this->all_slow_responses, slow_sum, present,
                     {compared_outcome::slow_responses, "", 0.0, 0.0, 0.0, this->previous_requests,
                      this->target_requests});
}

version_verdict version_comparison::verdict() const noexcept
{
    if (this->is_bad) {
        return version_verdict::bad;
    }
    const auto suspected = reaches(this->all_failures, suspicion) ||
                           reaches(this->all_slow_responses, suspicion) ||
                           std::any_of(this->routes.begin(), this->routes.end(), [](const auto& entry) {
                               return reaches(entry.second.of_failures, suspicion) ||
                                      reaches(entry.second.of_slow_responses, suspicion);
                           });
    return !suspected && this->target_requests >= min_target_requests ? version_verdict::good
                                                                      : version_verdict::undecided;
}

} // namespace kumquatdrift
