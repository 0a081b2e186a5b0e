#ifndef KUMQUATDRIFT_CORE_TIME_HPP
#define KUMQUATDRIFT_CORE_TIME_HPP

#include <chrono>

namespace kumquatdrift {

/*! @brief Resolution of all internal times. */
using microseconds = std::chrono::microseconds;

/*! @brief Resolution of times in settings and messages. */
using milliseconds = std::chrono::milliseconds;

/*! @brief Monotonic point in time. Decision logic takes it as an argument and never reads a clock. */
using timestamp = std::chrono::time_point<std::chrono::steady_clock, microseconds>;

/**
 * @brief Reads the monotonic clock. Only adapters may call it, not decision logic.
 * @return The current time.
 */
[[nodiscard]] inline timestamp steady_now() noexcept
{
    return std::chrono::time_point_cast<microseconds>(std::chrono::steady_clock::now());
}

} // namespace kumquatdrift

#endif
