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
    /*! @brief Load that its node reported last. */
    target_load load{};
    /*! @brief Requests that this node sent there since that report. */
    std::uint32_t sent_since_load{};
    /*! @brief True if it runs next to this node. */
    bool own{};
    /*! @brief True if it is in the data centre of this node. */
    bool local{};
    /*! @brief True if it failed lately; used only if there is no other. */
    bool ejected{};
    /*! @brief Time for which it stays slow after its start. */
    microseconds cold_left{};
    /*! @brief Share of the latest requests that it failed, from 0 to 1. */
    double failed{};
    /*! @brief True if this node has never sent it a request and this one may be the first. */
    bool untried{};
};

/*! @brief Prices of distance, as the time for which a request would rather wait close by. */
struct placement_settings {
    /*! @brief For a target on another node of the same data centre, as a share of the objective. */
    double other_node{0.02};
    /*! @brief For a target in another data centre, as a share of the objective. */
    double other_data_centre{0.6};
};

/*! @brief Times of a request. */
struct placement_times {
    /*! @brief Time in which a request of its route is to be answered; the scale of the price of distance. */
    microseconds objective{};
    /*! @brief What is left of it. A target in another data centre has to answer within it, or at once: what
     * is refused there has crossed for nothing. */
    microseconds objective_left{};
    /*! @brief Time after which an answer is useless. */
    microseconds useful_left{};
    /*! @brief Time for which requests of the route hold a slot, on the mean of all targets; 0 if unknown. */
    microseconds expected{};
    /*! @brief Bytes of its body. */
    std::size_t body_bytes{};
};

/*! @brief Where to send a request. */
struct placement {
    /*! @brief Index of the candidate; nothing if none can answer in time. */
    std::optional<std::size_t> candidate{};
    /*! @brief If there is none, the time until the least loaded candidate is likely to have room. */
    microseconds time_to_room{};
};

/**
 * @brief Chooses the target with the earliest expected answer, distance counted as time.
 *
 * A target that was never tried gets its first request as soon as it has room and is warm, wherever it is, so
 * that it is known to work before it is needed.
 *
 * Answers the load of one entry node, from what the targets' nodes reported with their latest answers.
 *
 * @param candidates Targets of the service that take requests and were not tried before.
 * @param times Times of the request.
 * @param settings Prices of distance.
 * @param rng Random engine, so that nodes with the same reports do not choose alike.
 * @return The choice.
 */
[[nodiscard]] placement place_request(std::span<const placement_candidate> candidates,
                                      const placement_times& times, const placement_settings& settings,
                                      random_engine& rng);

/**
 * @brief Tells whether a target fails more of its requests than the others, so that its failure may be its
 * own.
 * @param failed Share of the latest requests that it failed.
 * @param others The targets to which a request could be sent instead.
 * @return True if another target is likelier to serve the request.
 */
[[nodiscard]] bool is_worse_than_usual(double failed, std::span<const placement_candidate> others);

/**
 * @brief Draws the time after which a refused caller may come back.
 *
 * Callers that were refused together return spread over the time in which room will be there.
 *
 * @param time_to_room Time until room is expected.
 * @param rng Random engine.
 * @return A time between 50 ms and 5 s.
 */
[[nodiscard]] milliseconds draw_retry_after(microseconds time_to_room, random_engine& rng);

} // namespace kumquatdrift

#endif
