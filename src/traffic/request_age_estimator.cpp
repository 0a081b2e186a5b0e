#include <kumquatdrift/traffic/request_age_estimator.hpp>

#include <algorithm>

namespace kumquatdrift {
namespace {

/*! @brief Width of a bucket. Stated times vary, because callers lose a few milliseconds before they state
 *         them. */
constexpr microseconds bucket_width{50'000};

/*! @brief Difference up to which a request counts as a first attempt: covers the width of a bucket and the
 *         time of transfer to the node. */
constexpr microseconds tolerance{100'000};

/*! @brief Weighted count below which a bucket is removed. */
constexpr double min_count = 0.1;

} // namespace

microseconds request_age_estimator::typical_time(const histogram& stated) noexcept
{
    double sum{};
    for (const auto& [index, count] : stated.counts) {
        sum += count;
        if (sum >= stated.total * typical_quantile) {
            return bucket_width * index;
        }
    }
    return microseconds{0};
}

microseconds request_age_estimator::observe(std::string_view route, microseconds time_left)
{
    auto found = this->histograms.find(route);
    if (found == this->histograms.end()) {
        found = this->histograms.emplace(std::string{route}, histogram{}).first;
    }
    auto& stated = found->second;
    stated.counts[(time_left + bucket_width - microseconds{1}) / bucket_width] += 1.0;
    stated.total += 1.0;
    if (++stated.since_halving >= half_life) {
        stated.since_halving = 0;
        stated.total = 0.0;
        for (auto& [index, count] : stated.counts) {
            count /= 2.0;
            stated.total += count;
        }
        std::erase_if(stated.counts, [](const auto& bucket) { return bucket.second < min_count; });
    }
    if (stated.total < static_cast<double>(min_requests)) {
        return microseconds{0};
    }
    const auto age = typical_time(stated) - time_left;
    return age > tolerance ? age : microseconds{0};
}

} // namespace kumquatdrift
