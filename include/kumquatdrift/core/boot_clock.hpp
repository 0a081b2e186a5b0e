#ifndef KUMQUATDRIFT_CORE_BOOT_CLOCK_HPP
#define KUMQUATDRIFT_CORE_BOOT_CLOCK_HPP

#include <cstdint>
#include <ctime>

#include <kumquatdrift/core/time.hpp>

namespace kumquatdrift {

/**
 * @brief Reads the monotonic clock that includes the time during which the machine was suspended.
 * @return The current time. Not comparable with `steady_now`.
 */
[[nodiscard]] inline timestamp boot_now() noexcept
{
    std::timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return timestamp{std::chrono::seconds{now.tv_sec} + microseconds{now.tv_nsec / 1'000}};
}

/**
 * @brief Reads the time of day, which may be set at any time.
 * @return Milliseconds of Unix time.
 */
[[nodiscard]] inline std::uint64_t unix_ms() noexcept
{
    std::timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    return static_cast<std::uint64_t>(now.tv_sec) * 1'000 +
           static_cast<std::uint64_t>(now.tv_nsec) / 1'000'000;
}

} // namespace kumquatdrift

#endif
