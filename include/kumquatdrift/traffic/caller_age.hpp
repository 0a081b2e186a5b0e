#ifndef KUMQUATDRIFT_TRAFFIC_CALLER_AGE_HPP
#define KUMQUATDRIFT_TRAFFIC_CALLER_AGE_HPP

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/traffic/fwd.hpp>

namespace kumquatdrift {

/**
 * @brief Estimates for how long callers have been trying, from the time for which they still wait. Not
 * synchronised.
 *
 * Most first attempts of a route state the same time. A caller that comes back after a refusal states what is
 * left of it, so that the difference is its age. A few callers that state more than most do not change the
 * estimate.
 */
class caller_age {
public:
    /*! @brief Part of the requests that state the usual time or less. */
    static constexpr double usual_part = 0.9;
    /*! @brief Requests after which older ones count half. */
    static constexpr std::size_t half_life = 512;
    /*! @brief Requests of a route before there is an estimate. */
    static constexpr std::size_t least_requests = 20;

    /**
     * @brief Counts a request and estimates its age.
     * @param route Route.
     * @param left Time for which the caller still waits.
     * @return Time since its first attempt, zero if it seems to be the first.
     */
    [[nodiscard]] microseconds observe(std::string_view route, microseconds left);

private:
    struct tally {
        /*! @brief Requests by the time they state, in steps. */
        std::map<microseconds::rep, double> counts{};
        double total{};
        std::size_t since_halving{};
    };

    [[nodiscard]] static microseconds usual(const tally& of) noexcept;

    std::map<std::string, tally, std::less<>> tallies{};
};

} // namespace kumquatdrift

#endif
