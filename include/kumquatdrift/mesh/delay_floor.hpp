#ifndef KUMQUATDRIFT_MESH_DELAY_FLOOR_HPP
#define KUMQUATDRIFT_MESH_DELAY_FLOOR_HPP

#include <algorithm>
#include <optional>
#include <utility>

#include <kumquatdrift/core/time.hpp>

namespace kumquatdrift {

/**
 * @brief Keeps the shortest recent one-way delay of frames from another process. It includes the difference
 * of the clocks of the two hosts, so only its distance from other delays has a meaning. Not synchronised.
 */
class delay_floor {
public:
    /*! @brief Time after which a delay no longer counts, at the earliest; at the latest twice that time. It
     *         bounds for how long a delay measured with another difference of the clocks is used. */
    static constexpr microseconds window{30'000'000};

    /**
     * @brief Records a delay.
     * @param delay One-way delay, with the difference of the clocks.
     * @param now Current time.
     */
    void observe(microseconds delay, timestamp now) noexcept
    {
        if (now - this->window_started >= window) {
            const auto is_adjacent = now - this->window_started < 2 * window;
            this->previous = is_adjacent ? std::exchange(this->current, {}) : std::nullopt;
            this->current.reset();
            this->window_started = now;
        }
        this->current = std::min(this->current.value_or(delay), delay);
    }

    /*! @brief Returns the shortest recent delay; nothing until one was recorded. */
    [[nodiscard]] std::optional<microseconds> shortest() const noexcept
    {
        if (!this->current || !this->previous) {
            return this->current ? this->current : this->previous;
        }
        return std::min(*this->current, *this->previous);
    }

private:
    timestamp window_started{};
    std::optional<microseconds> current{};
    std::optional<microseconds> previous{};
};

} // namespace kumquatdrift

#endif
