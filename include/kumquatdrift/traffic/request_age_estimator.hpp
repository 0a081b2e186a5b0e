#ifndef KUMQUATDRIFT_TRAFFIC_REQUEST_AGE_ESTIMATOR_HPP
#define KUMQUATDRIFT_TRAFFIC_REQUEST_AGE_ESTIMATOR_HPP

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/traffic/fwd.hpp>

namespace kumquatdrift {

/**
 * @brief Estimates how long ago callers made their first attempt, from the time for which they still wait.
 *        Not synchronised.
 *
 * Most first attempts of a route state the same remaining time. A caller that retries after a rejection
 * states what is left of it, so that the difference is its age. A few callers that state more than most do
 * not change the estimate.
 */
class request_age_estimator {
public:
    /*! @brief Part of the requests that state the typical time or less. */
    static constexpr double typical_quantile = 0.9;
    /*! @brief Number of requests after which the weight of older ones is halved. */
    static constexpr std::size_t half_life = 512;
    /*! @brief Number of requests of a route below which there is no estimate. */
    static constexpr std::size_t min_requests = 20;

    /**
     * @brief Records a request and estimates its age.
     * @param route Name of the route.
     * @param time_left Time for which the caller still waits.
     * @return Estimated time since its first attempt, zero if it seems to be the first.
     */
    [[nodiscard]] microseconds observe(std::string_view route, microseconds time_left);

private:
    struct histogram {
        /*! @brief Weighted number of requests by the index of their bucket of stated times. */
        std::map<microseconds::rep, double> counts{};
        double total{};
        std::size_t since_halving{};
    };

    [[nodiscard]] static microseconds typical_time(const histogram& stated) noexcept;

    std::map<std::string, histogram, std::less<>> histograms{};
};

} // namespace kumquatdrift

#endif
