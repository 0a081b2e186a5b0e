#ifndef KUMQUATDRIFT_TRAFFIC_FAILURE_RATE_ESTIMATOR_HPP
#define KUMQUATDRIFT_TRAFFIC_FAILURE_RATE_ESTIMATOR_HPP

#include <chrono>
#include <cmath>

#include <kumquatdrift/core/time.hpp>

namespace kumquatdrift {

/**
 * @brief Estimates the failure rate of one target as a moving mean that decays while the target gets no
 * requests. Detects targets that fail part of their requests but pass their liveness check. Not synchronised.
 */
class failure_rate_estimator {
public:
    /*! @brief Weight of the newest request; a target that fails half of its requests is detected after about
     *         ten requests. */
    static constexpr double newest_weight = 0.1;
    /*! @brief Time in seconds in which the rate halves without requests, so that an avoided target gets
     *         requests again. */
    static constexpr double half_life_s = 1.5;

    /**
     * @brief Records a request.
     * @param failed True if the target failed or rejected the request.
     * @param now Current time.
     */
    void observe(bool failed, timestamp now) noexcept
    {
        this->rate = this->rate_at(now) * (1.0 - newest_weight) + (failed ? newest_weight : 0.0);
        this->observed_at = now;
    }

    /**
     * @brief Returns the failure rate.
     * @param now Current time.
     * @return Failure rate, from 0 to 1.
     */
    [[nodiscard]] double rate_at(timestamp now) const noexcept
    {
        if (this->rate <= 0.0) {
            return 0.0;
        }
        const auto idle = std::chrono::duration<double>{now - this->observed_at}.count();
        return this->rate * std::exp2(-idle / half_life_s);
    }

private:
    double rate{};
    timestamp observed_at{};
};

} // namespace kumquatdrift

#endif
