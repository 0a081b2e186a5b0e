#include <kumquatdrift/traffic/caller_age.hpp>

#include <algorithm>

namespace kumquatdrift {
namespace {

/*! @brief Width of a step of stated times; callers lose a few milliseconds before they state them. */
constexpr microseconds step{50'000};

/*! @brief Difference that says nothing: one step, and the way to the node. */
constexpr microseconds tolerance{100'000};

/*! @brief Count below which a step is forgotten. */
constexpr double least_count = 0.1;

} // namespace

microseconds caller_age::usual(const tally& of) noexcept
{
    double sum{};
    for (const auto& [index, count] : of.counts) {
        sum += count;
        if (sum >= of.total * usual_part) {
            return step * index;
        }
    }
    return microseconds{0};
}

microseconds caller_age::observe(std::string_view route, microseconds left)
{
    auto found = this->tallies.find(route);
    if (found == this->tallies.end()) {
        found = this->tallies.emplace(std::string{route}, tally{}).first;
    }
    auto& known = found->second;
    known.counts[(left + step - microseconds{1}) / step] += 1.0;
    known.total += 1.0;
    if (++known.since_halving >= half_life) {
        known.since_halving = 0;
        known.total = 0.0;
        for (auto& [index, count] : known.counts) {
            count /= 2.0;
            known.total += count;
        }
        std::erase_if(known.counts, [](const auto& one) { return one.second < least_count; });
    }
    if (known.total < static_cast<double>(least_requests)) {
        return microseconds{0};
    }
    const auto age = usual(known) - left;
    return age > tolerance ? age : microseconds{0};
}

} // namespace kumquatdrift
