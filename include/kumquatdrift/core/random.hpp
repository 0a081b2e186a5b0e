#ifndef KUMQUATDRIFT_CORE_RANDOM_HPP
#define KUMQUATDRIFT_CORE_RANDOM_HPP

#include <random>

#include <kumquatdrift/core/time.hpp>

namespace kumquatdrift {

/*! @brief Random engine. Decision logic takes it as an argument, so that tests can seed it. */
using random_engine = std::mt19937_64;

/**
 * @brief Draws a uniformly distributed duration (full jitter).
 * @param rng Random engine.
 * @param limit Upper bound, inclusive. A negative limit is treated as zero.
 * @return A duration between zero and the limit.
 */
[[nodiscard]] inline microseconds full_jitter(random_engine& rng, microseconds limit)
{
    const auto upper = limit.count() > 0 ? limit.count() : 0;
    return microseconds{std::uniform_int_distribution<microseconds::rep>{0, upper}(rng)};
}

} // namespace kumquatdrift

#endif
