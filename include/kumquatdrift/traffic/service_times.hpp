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
 * @brief Mean time for which requests of each route hold a slot, over all targets. Not synchronised.
 *
 * The mean time of a target says little of the next request, because a target that got long requests lately
 * is no slower than another for a short one.
 */
class service_times {
public:
    /*! @brief Routes above which all are forgotten, so that configurations without end take no memory. */
    static constexpr std::size_t max_routes = 4'096;
    /*! @brief Weight of the newest request; follows a change within some 20 requests. */
    static constexpr double newest_weight = 0.1;

    /**
     * @brief Counts a request.
     * @param route Route.
     * @param held Time for which it held a slot.
     */
    void observe(std::string_view route, microseconds held);

    /**
     * @brief Returns the expected time of a request.
     * @param route Route.
     * @return Mean time, zero if no request of the route has ended.
     */
    [[nodiscard]] microseconds expected(std::string_view route) const noexcept;

private:
    std::map<std::string, microseconds, std::less<>> means{};
};

/**
 * @brief Moves a mean towards the newest value.
 * @param mean Mean so far; zero if this is the first value.
 * @param newest Newest value.
 * @param weight Weight of the newest value, from 0 to 1.
 * @return The mean.
 */
[[nodiscard]] microseconds moving_mean(microseconds mean, microseconds newest, double weight) noexcept;

} // namespace kumquatdrift

#endif
