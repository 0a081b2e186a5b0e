#ifndef KUMQUATDRIFT_GATEWAY_BODY_GRANTS_HPP
#define KUMQUATDRIFT_GATEWAY_BODY_GRANTS_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include <kumquatdrift/core/time.hpp>

namespace kumquatdrift {

/*! @brief Size of a request body in bytes above which a node asks the target's node before it sends it. */
constexpr std::size_t max_unasked_body_bytes = 16'384;
/*! @brief Number of bytes of granted bodies that may be in transit to a node at the same time, at first. A
 * larger body is granted on its own. */
constexpr std::size_t initial_window_bytes = 262'144;
/*! @brief Smallest such number; 87 ms on a line of 6 Mbit/s. */
constexpr std::size_t min_window_bytes = 65'536;
/*! @brief Largest such number. */
constexpr std::size_t max_window_bytes = 4'194'304;
/*! @brief Interval after which the number is adjusted. */
constexpr microseconds window_interval{100'000};
/*! @brief Queueing delay of the fastest frame of an interval above which the line to this node is congested.
 * Slower frames may be late because of the lines of their senders. */
constexpr microseconds max_line_delay{50'000};
/*! @brief Time after which a granted body no longer counts as in transit, so that slow senders don't stop the
 * others. */
constexpr microseconds max_grant_time{500'000};
/*! @brief A body waits for its grant for at most the time left of its request divided by this number. The
 * rest is for the body, the target, and other targets if it is refused. */
constexpr int grant_wait_divisor = 4;

/*! @brief A request whose sender waits for the grant to send it with its body. */
struct body_offer {
    /*! @brief Identifies the link of the sender. */
    const void* link{};
    /*! @brief Id of the request on the link. */
    std::uint64_t id{};
    /*! @brief Size of the body. */
    std::size_t bytes{};
    /*! @brief Time at which the request is refused if it has not been granted. */
    timestamp refuse_at{};
};

/*! @brief Decision on an offer. */
struct grant_decision {
    /*! @brief Offer. */
    body_offer offer{};
    /*! @brief True to grant, false to refuse. */
    bool granted{};
};

/**
 * @brief Limits the bytes of request bodies that are in transit to this node.
 *
 * Many nodes that send bodies at the same time fill the line to the host of a target for seconds. Whatever
 * else arrives there is delayed, too: small requests, cancellations, replies to pings and new configurations.
 */
struct body_grants {
    /*! @brief A granted body that has not arrived. */
    struct granted_body {
        body_offer offer{};
        timestamp granted_at{};
        /*! @brief Bytes in transit once this body was granted, including its own. */
        std::size_t bytes_in_transit{};
    };
    /*! @brief Offers that wait, in the order of arrival. */
    std::deque<body_offer> waiting{};
    /*! @brief Granted bodies, in the order of their grants. */
    std::vector<granted_body> granted{};
    /*! @brief Number of bytes of granted bodies that may be in transit. */
    std::size_t window_bytes{initial_window_bytes};
    /*! @brief True if an offer didn't fit into the window in this interval. */
    bool is_window_full{};
    /*! @brief End of the interval. */
    timestamp interval_end{};
    /*! @brief Shortest queueing delay of the interval; nothing until the first. */
    std::optional<microseconds> shortest_delay{};
    /*! @brief Mean time that a byte takes to arrive while others are in transit; nothing until a body has. */
    std::optional<double> seconds_per_byte{};
};

/**
 * @brief Estimates the time until an offer that arrives now would be granted.
 * @param grants State.
 * @return Time in which the bodies before it arrive; zero until a body has arrived.
 */
[[nodiscard]] microseconds expected_grant_wait(const body_grants& grants) noexcept;

/**
 * @brief Adds an offer.
 * @param grants State; updated.
 * @param offer Offer, without `refuse_at`.
 * @param time_left Time left until the deadline of the request.
 * @param now Current time.
 * @return False if the bodies before it are expected to take too long to arrive; the offer is not added then.
 */
[[nodiscard]] bool add_offer(body_grants& grants, body_offer offer, microseconds time_left, timestamp now);

/**
 * @brief Decides on waiting offers: grants those that fit, and refuses those that have waited too long.
 * @param grants State; updated.
 * @param now Current time.
 * @return Decisions.
 */
[[nodiscard]] std::vector<grant_decision> take_decisions(body_grants& grants, timestamp now);

/**
 * @brief Records the queueing delay of a small frame, and adjusts the window at the end of an interval.
 * @param grants State; updated.
 * @param delay Queueing delay.
 * @param now Current time.
 */
void observe_line_delay(body_grants& grants, microseconds delay, timestamp now);

/**
 * @brief Records that a granted body has arrived.
 * @param grants State; updated.
 * @param link Link.
 * @param id Id of the request.
 * @param now Current time.
 */
void on_body_arrived(body_grants& grants, const void* link, std::uint64_t id, timestamp now);

/**
 * @brief Forgets an offer, granted or not: the request was cancelled.
 * @param grants State; updated.
 * @param link Link.
 * @param id Id of the request.
 */
void forget_offer(body_grants& grants, const void* link, std::uint64_t id);

/**
 * @brief Forgets all offers of a link that has closed.
 * @param grants State; updated.
 * @param link Link.
 */
void forget_link(body_grants& grants, const void* link);

} // namespace kumquatdrift

#endif
