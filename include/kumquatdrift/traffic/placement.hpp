#ifndef KUMQUATDRIFT_TRAFFIC_PLACEMENT_HPP
#define KUMQUATDRIFT_TRAFFIC_PLACEMENT_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include <kumquatdrift/core/random.hpp>
#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/mesh/members.hpp>
#include <kumquatdrift/traffic/fwd.hpp>

namespace kumquatdrift {

/*! @brief A target on which a request may run. */
struct placement_candidate {
    /*! @brief Name of its node. */
    std::string_view node{};
    /*! @brief Load that its node last reported. */
    target_load load{};
    /*! @brief Requests that this node has sent there and that report does not include. */
    std::uint32_t sent_since_load{};
    /*! @brief True if it runs on the host of this node. */
    bool same_host{};
    /*! @brief True if it is in the data centre of this node. */
    bool same_data_centre{};
    /*! @brief True if it failed recently; it is used only if all candidates are ejected. */
    bool ejected{};
    /*! @brief Remaining time for which it is slow after its start. */
    microseconds cold_left{};
    /*! @brief Failure rate of its recent requests, from 0 to 1. */
    double failure_rate{};
    /*! @brief True if this node has never sent it a request and this request may be the first. */
    bool untried{};
    /*! @brief Queueing delay of the link to its node, there and back; 0 on the host of this node. */
    microseconds link_delay{};
    /*! @brief Delay of the link that is expected from the requests in transit on it; less certain than the
     *         measured one, so it adds to the cost but rejects no request. */
    microseconds expected_link_delay{};
};

/*! @brief Costs of distance, as the additional response time that a request accepts to stay closer. */
struct placement_settings {
    /*! @brief For a target on another node of the same data centre, as a share of the objective. */
    double other_node{0.02};
    /*! @brief For a target in another data centre, as a share of the objective. */
    double other_data_centre{0.6};
};

/*! @brief Times of a request. */
struct placement_times {
    /*! @brief Time in which a request of its route should be answered; the unit of the costs of distance
     *         and of failures. */
    microseconds objective{};
    /*! @brief Time left until the objective. A target in another data centre must be expected to respond
     *         within it, or to have a free slot, because a request that is rejected there has crossed between
     *         data centres for nothing. */
    microseconds objective_left{};
    /*! @brief Time until the deadline, after which a response is useless. */
    microseconds deadline_left{};
    /*! @brief Mean time for which requests of the route hold a slot, over all targets; 0 if unknown. */
    microseconds expected_service_time{};
    /*! @brief Bytes of its body. */
    std::size_t body_bytes{};
    /*! @brief True if a target has refused the request because its queue was full. */
    bool was_refused{};
    /*! @brief True for a call made on behalf of a request that already runs. */
    bool nested{};
    /*! @brief Rank in the queue of a target; only work of this rank and before it precedes the request. */
    std::size_t rank{};
};

/*! @brief Result of choosing a target for a request. */
struct placement {
    /*! @brief Index of the candidate; nothing if none can respond in time. */
    std::optional<std::size_t> candidate{};
    /*! @brief If there is none, the estimated time until a candidate has a free slot for a request sent on
     * its link; 500 ms if it cannot be estimated. */
    microseconds time_to_free_slot{};
};

/**
 * @brief Chooses the target with the lowest cost: the expected response time plus costs of distance and
 *        failures.
 *
 * A target that this node has never used gets its first request as soon as it has a free slot, its link is
 * not congested and it is no longer slow after its start, wherever it is, so that it is known to work before
 * it is needed.
 *
 * Takes the load of a target from the last report of its node, and adds the requests that this node has sent
 * to it and that had not arrived there. A rate limit of the target counts as time in its queue. The delay of
 * a congested link is part of the response time. A nested call avoids targets that shed requests.
 *
 * @param candidates Targets of the service that take requests and that the request was not sent to before.
 * @param times Times of the request.
 * @param settings Costs of distance.
 * @param rng Random engine; makes nodes with the same reports choose differently.
 * @return The choice.
 */
[[nodiscard]] placement place_request(std::span<const placement_candidate> candidates,
                                      const placement_times& times, const placement_settings& settings,
                                      random_engine& rng);

/**
 * @brief Checks whether the failure rate of a target is significantly above that of the others, so that the
 *        cause is likely the target and not the requests.
 * @param failure_rate Failure rate of its recent requests.
 * @param others The targets to which a request could be sent instead.
 * @return True if another target is more likely to serve the request.
 */
[[nodiscard]] bool is_failure_rate_outlier(double failure_rate, std::span<const placement_candidate> others);

/**
 * @brief Draws the time after which a rejected caller may retry.
 *
 * The jitter spreads the retries of callers that were rejected at the same time over the time in which slots
 * become free.
 *
 * @param time_to_free_slot Estimated time until a slot is free.
 * @param rng Random engine.
 * @return A time between 50 ms and 5 s.
 */
[[nodiscard]] milliseconds draw_retry_after(microseconds time_to_free_slot, random_engine& rng);

} // namespace kumquatdrift

#endif
