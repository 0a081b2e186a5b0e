#ifndef KUMQUATDRIFT_SRC_MEMBERSHIP_EXCHANGE_HPP
#define KUMQUATDRIFT_SRC_MEMBERSHIP_EXCHANGE_HPP

#include <optional>

#include <membership.pb.h>

#include <kumquatdrift/core/random.hpp>
#include <kumquatdrift/core/result.hpp>
#include <kumquatdrift/membership/state.hpp>

namespace kumquatdrift::internal {

/*! @brief Largest message of an exchange that is accepted. */
inline constexpr std::size_t max_exchange_bytes = 400'000;

/*! @brief Answer to a reply of the first step. */
struct exchange_step {
    /*! @brief Request of the second step; nothing if the exchange is complete. */
    std::optional<wire::fetch_request> request{};
    /*! @brief True if the peer left out buckets; the exchange then does not count as synchronisation. */
    bool truncated{};
};

/**
 * @brief Returns the peer of the next digest exchange when one is due.
 *
 * A node that knows no other member has nothing to synchronise with and counts a synchronisation instead.
 *
 * @param state State.
 * @param now Current time.
 * @param rng Random engine.
 * @return Record of the peer, or nothing.
 */
[[nodiscard]] std::optional<member_record> next_exchange_peer(membership_state& state, timestamp now,
                                                              random_engine& rng);

/**
 * @brief Makes the request of the first step: the digests.
 * @param state State.
 * @param now Current time.
 * @return The request.
 */
[[nodiscard]] wire::sync_request begin_exchange(membership_state& state, timestamp now);

/**
 * @brief Answers the first step with the members of the buckets that differ.
 * @param state State.
 * @param request The request.
 * @param now Current time.
 * @param rng Random engine; orders the buckets.
 * @return The reply, or the reason why the request was dropped.
 */
[[nodiscard]] result<wire::sync_reply> answer_sync(membership_state& state, const wire::sync_request& request,
                                                   timestamp now, random_engine& rng);

/**
 * @brief Compares the members of the peer with the own ones.
 * @param state State.
 * @param reply Reply of the first step.
 * @param now Current time.
 * @return The next step, or the reason why the reply was dropped.
 */
[[nodiscard]] result<exchange_step> continue_exchange(membership_state& state, const wire::sync_reply& reply,
                                                      timestamp now);

/**
 * @brief Answers the second step with the records wanted and merges those that came with the request.
 * @param state State.
 * @param request The request.
 * @param now Current time.
 * @return The reply, or the reason why the request was dropped.
 */
[[nodiscard]] result<wire::fetch_reply> answer_fetch(membership_state& state,
                                                     const wire::fetch_request& request, timestamp now);

/**
 * @brief Ends an exchange and schedules the next one.
 * @param state State.
 * @param reply Reply of the second step; nothing if there was none.
 * @param truncated True if the first step was truncated.
 * @param now Current time.
 */
void finish_exchange(membership_state& state, const std::optional<wire::fetch_reply>& reply, bool truncated,
                     timestamp now);

/**
 * @brief Counts a failed exchange and schedules the next one.
 * @param state State.
 * @param now Current time.
 */
void fail_exchange(membership_state& state, timestamp now);

} // namespace kumquatdrift::internal

#endif
