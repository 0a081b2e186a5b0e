#ifndef KUMQUATDRIFT_TRAFFIC_TARGET_LIMIT_HPP
#define KUMQUATDRIFT_TRAFFIC_TARGET_LIMIT_HPP

#include <cstddef>
#include <optional>

#include <kumquatdrift/core/time.hpp>

namespace kumquatdrift {

/**
 * @brief Rate limit that a target names in its responses. Not synchronised, reads no clock.
 *
 * Held by the node of the target, through which all requests for the target pass, so that it bounds the
 * requests of all nodes together without coordination.
 */
class target_limit {
public:
    /*! @brief Lowest rate in requests per second. Only a response can state that a limit has changed, so some
     *         requests are sent even to a target that accepts none. */
    static constexpr double min_rate = 0.25;
    /*! @brief Largest burst, as a time at the limited rate; at least one request. */
    static constexpr std::chrono::milliseconds burst{250};
    /*! @brief Time after the latest response that named the limit for which it stays in force, in case not
     *         all responses name it. */
    static constexpr std::chrono::milliseconds hold_time{1'000};

    /**
     * @brief Applies what a response states.
     * @param named Limit in requests per second; nothing if the response names none.
     * @param sent Time at which the request was sent.
     * @param now Current time.
     */
    void on_response(std::optional<double> named, timestamp sent, timestamp now) noexcept;

    /**
     * @brief Sets the limit that was in force before a restart of this node. Ignored once the target has
     *        responded to this node.
     * @param rate Requests per second.
     * @param now Current time.
     */
    void restore(double rate, timestamp now) noexcept;

    /*! @brief Forgets the limit, for a new incarnation of the target. */
    void reset() noexcept
    {
        *this = {};
    }

    /**
     * @brief Takes one request off the limit if it allows one.
     * @param now Current time.
     * @return True if a request may be sent now.
     */
    [[nodiscard]] bool try_take(timestamp now) noexcept;

    /**
     * @brief Returns the time until a request can be sent.
     * @param ahead Number of requests that are sent before it.
     * @param now Current time.
     * @return Time from now; 0 without a limit.
     */
    [[nodiscard]] microseconds wait(std::size_t ahead, timestamp now) const noexcept;

    /*! @brief Returns the limit in force in requests per second; nothing if there is none. */
    [[nodiscard]] std::optional<double> rate() const noexcept
    {
        return this->limit;
    }

    /*! @brief Returns true once the target has responded, so that it is known whether it names a limit. */
    [[nodiscard]] bool is_known() const noexcept
    {
        return this->known;
    }

private:
    [[nodiscard]] double available(timestamp now) const noexcept;
    void set(double rate, timestamp now) noexcept;

    std::optional<double> limit{};
    double tokens{};
    timestamp refilled_at{};
    /*! @brief Time of the latest response that named the limit. */
    timestamp named_at{};
    bool known{};
};

} // namespace kumquatdrift

#endif
