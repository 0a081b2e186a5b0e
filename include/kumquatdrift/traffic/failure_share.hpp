#ifndef KUMQUATDRIFT_TRAFFIC_FAILURE_SHARE_HPP
#define KUMQUATDRIFT_TRAFFIC_FAILURE_SHARE_HPP

#include <chrono>
#include <cmath>

#include <kumquatdrift/core/time.hpp>

namespace kumquatdrift {

/**
 * @brief Share of the latest requests of one target that failed; finds targets that fail part of their
 *        requests although their liveness check is good. Not synchronised.
 */
class failure_share {
public:
    /*! @brief Weight of the newest request; a target that fails half of its requests shows after some ten. */
    static constexpr double gain = 0.1;
    /*! @brief Time in which the share halves without requests, so that an avoided target is tried again. */
    static constexpr double half_life_s = 1.5;

    /**
     * @brief Counts a request.
     * @param failed True if the target failed it or turned it away.
     * @param now Current time.
     */
    void observe(bool failed, timestamp now) noexcept
    {
        this->share = this->at(now) * (1.0 - gain) + (failed ? gain : 0.0);
        this->observed_at = now;
    }

    /**
     * @brief Returns the share.
     * @param now Current time.
     * @return Share from 0 to 1.
     */
    [[nodiscard]] double at(timestamp now) const noexcept
    {
        if (this->share <= 0.0) {
            return 0.0;
        }
        const auto idle = std::chrono::duration<double>{now - this->observed_at}.count();
        return this->share * std::exp2(-idle / half_life_s);
    }

private:
    double share{};
    timestamp observed_at{};
};

} // namespace kumquatdrift

#endif
