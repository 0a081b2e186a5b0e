#ifndef KUMQUATDRIFT_CORE_BACKOFF_HPP
#define KUMQUATDRIFT_CORE_BACKOFF_HPP

#include <algorithm>
#include <cstdint>

#include <kumquatdrift/core/random.hpp>

namespace kumquatdrift {

/*! @brief Exponential backoff with full jitter. */
struct backoff_policy {
    /*! @brief Upper bound of the first delay. */
    microseconds base{100'000};
    /*! @brief Upper bound of every delay. */
    microseconds cap{5'000'000};
};

/**
 * @brief Draws the delay before an attempt.
 * @param policy Bounds of the delay.
 * @param attempt Number of failed attempts so far.
 * @param rng Random engine.
 * @return A delay between zero and min(cap, base * 2^attempt).
 */
[[nodiscard]] inline microseconds backoff_delay(const backoff_policy& policy, std::uint32_t attempt,
                                                random_engine& rng)
{
    constexpr std::uint32_t max_exponent = 20;
    const auto scaled = policy.base * (std::int64_t{1} << std::min(attempt, max_exponent));
    return full_jitter(rng, std::min(scaled, policy.cap));
}

} // namespace kumquatdrift

#endif
