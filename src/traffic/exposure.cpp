#include <kumquatdrift/traffic/exposure.hpp>

#include <algorithm>
#include <cmath>

namespace kumquatdrift {
namespace {

/*! @brief Part of the bound that is used. */
constexpr double used_part = 0.5;
/*! @brief Smallest number of targets, so that a fault of one of them can be told from one of the version. */
constexpr std::size_t min_trial_targets = 2;
/*! @brief Period of the times at which the share is sent; short against the time for stopping a bad version.
 */
constexpr microseconds trial_period{2'000'000};
/*! @brief Smallest part of the time in which the share is sent. */
constexpr double min_trial_time = 0.25;

} // namespace

bool exposure_limit::allows(const exposure_bound& bound, std::size_t nodes) const noexcept
{
    const auto own_slack = bound.slack / static_cast<double>(std::max<std::size_t>(nodes, 1));
    const auto allowed = used_part * (bound.share * static_cast<double>(this->requests) + own_slack);
    return static_cast<double>(this->sent) + 1.0 <= allowed;
}

std::size_t trial_target_count(const exposure_bound& bound, std::size_t targets) noexcept
{
    const auto share = std::ceil(used_part * bound.share * static_cast<double>(targets));
    return std::min(std::max(static_cast<std::size_t>(share), min_trial_targets), targets);
}

bool is_trial_time(const exposure_bound& bound, std::size_t targets, microseconds age) noexcept
{
    const auto count = static_cast<double>(std::max<std::size_t>(trial_target_count(bound, targets), 1));
    const auto load = used_part * bound.share * static_cast<double>(targets) / count;
    const auto part = std::clamp(load, min_trial_time, 1.0);
    const auto position = static_cast<double>((age % trial_period).count());
    return position < part * static_cast<double>(trial_period.count());
}

} // namespace kumquatdrift
