#ifndef KUMQUATDRIFT_TRAFFIC_SERVICE_TIMES_HPP
#define KUMQUATDRIFT_TRAFFIC_SERVICE_TIMES_HPP

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/traffic/fwd.hpp>

namespace kumquatdrift {

/**
 * @brief Moving means of the time for which requests of each route hold a slot, over all targets. Not
 *        synchronised.
 *
 * The mean of a single target predicts the next request badly, because a target that recently got long
 * requests is no slower than another for a short one.
 */
class service_times {
public:
    /*! @brief Number of routes above which all are discarded. Bounds the memory over many configurations. */
    static constexpr std::size_t max_routes = 4'096;
    /*! @brief Weight of the newest request; follows a change within about 20 requests. */
    static constexpr double newest_weight = 0.1;

    /**
     * @brief Records the service time of a request. A time of zero or less is ignored.
     * @param route Name of the route.
     * @param service_time Time for which the request held a slot.
     */
    void observe(std::string_view route, microseconds service_time);

    /**
     * @brief Returns the expected service time of a request.
     * @param route Name of the route.
     * @return Mean time, zero if none has been recorded for the route.
     */
    [[nodiscard]] microseconds expected(std::string_view route) const noexcept;

private:
    std::map<std::string, microseconds, std::less<>> means{};
};

/**
 * @brief Updates an exponentially weighted moving mean.
 * @param mean Mean so far; zero if this is the first value.
 * @param newest Newest value.
 * @param weight Weight of the newest value, from 0 to 1.
 * @return The new mean.
 */
[[nodiscard]] microseconds moving_mean(microseconds mean, microseconds newest, double weight) noexcept;

} // namespace kumquatdrift

#endif
