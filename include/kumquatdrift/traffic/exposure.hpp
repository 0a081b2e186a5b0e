#ifndef KUMQUATDRIFT_TRAFFIC_EXPOSURE_HPP
#define KUMQUATDRIFT_TRAFFIC_EXPOSURE_HPP

#include <cstddef>
#include <cstdint>

#include <kumquatdrift/core/time.hpp>

namespace kumquatdrift {

/*! @brief Bound on the requests that reach a new version of a service before the verdict. */
struct exposure_bound {
    /*! @brief Share of the requests for the service. */
    double share{};
    /*! @brief Requests beyond that share, of all nodes together. */
    double slack{};
};

/**
 * @brief Limits what one node sends to a new version, so that all nodes together stay below the bound without
 * agreeing: each uses half of the share, of its own requests, and its part of half of the slack. The other
 * halves cover nodes that restart, and requests that are sent while an order spreads.
 */
class exposure_limit {
public:
    /*! @brief Counts a request for the service. */
    void on_request() noexcept
    {
        ++this->requests;
    }

    /*! @brief Counts a request that was sent to the new version. */
    void on_sent() noexcept
    {
        ++this->sent;
    }

    /**
     * @brief Checks whether one more request may be sent to the new version.
     * @param bound Bound for all nodes.
     * @param nodes Number of nodes, at least 1.
     * @return True if so.
     */
    [[nodiscard]] bool allows(const exposure_bound& bound, std::size_t nodes) const noexcept;

    /*! @brief Returns the number of requests for the service. */
    [[nodiscard]] std::uint64_t request_count() const noexcept
    {
        return this->requests;
    }

    /*! @brief Returns the number of requests that were sent to the new version. */
    [[nodiscard]] std::uint64_t sent_count() const noexcept
    {
        return this->sent;
    }

private:
    std::uint64_t requests{};
    std::uint64_t sent{};
};

/**
 * @brief Returns the number of targets of the new version among which the limited share is divided, so that
 * each is loaded as if all requests went to the new version.
 * @param bound Bound for all nodes.
 * @param targets Targets of the new version that are ready.
 * @return From 2, or the number of targets if that is less, to the number of targets.
 */
[[nodiscard]] std::size_t trial_target_count(const exposure_bound& bound, std::size_t targets) noexcept;

/**
 * @brief Checks whether the limited share is sent at a time. If even the fewest targets would be less busy
 * than in full use, it is sent in a part of the time only, the same at all nodes, and they are as busy then.
 * @param bound Bound for all nodes.
 * @param targets Targets of the new version that are ready.
 * @param age Time since the order.
 * @return True if so.
 */
[[nodiscard]] bool is_trial_time(const exposure_bound& bound, std::size_t targets, microseconds age) noexcept;

} // namespace kumquatdrift

#endif
