#ifndef KUMQUATDRIFT_CORE_TIME_HPP
#define KUMQUATDRIFT_CORE_TIME_HPP

#include <chrono>

namespace kumquatdrift {

/*! @brief Resolution of all internal times. */
using microseconds = std::chrono::microseconds;

/*! @brief Resolution of settings and of times on the wire. */
using milliseconds = std::chrono::milliseconds;

/*! @brief Monotonic point in time. Decisions receive it as an argument and never read a clock. */
using timestamp = std::chrono::time_point<std::chrono::steady_clock, microseconds>;

/**
 * @brief Reads the monotonic clock. For adapters only.
 * @return The current time.
 */
[[nodiscard]] inline timestamp steady_now() noexcept
{
    return std::chrono::time_point_cast<microseconds>(std::chrono::steady_clock::now());
}

} // namespace kumquatdrift

#endif
